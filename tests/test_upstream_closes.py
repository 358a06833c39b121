"""Upstreams that close a connection in order: whether that ends a response without length and chunks."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import uvloop

from passpost.attempt import Attempt, OutgoingRequest
from passpost.discovery import parse_address
from passpost.http1 import Address, EndKind
from passpost.response_end import connection_end
from passpost.upstream import Upstreams
from passpost.upstream_options import UpstreamOptions
from tests.loopback import OK, FakeServer, ReceivedRequest, Writer, run, silent, until
from tests.test_upstream import AttemptRunner
from umberworks.interface import Outcome

LIVENESS_LINE = "GET /alive HTTP/1.1"


def liveness_request(name: str, address: Address) -> OutgoingRequest:
    return OutgoingRequest(f"{LIVENESS_LINE}\r\nHost: {name}\r\n".encode(), b"")


@asynccontextmanager
async def liveness_runner(server: FakeServer, max_connections: int = 10) -> AsyncIterator[AttemptRunner]:
    await server.start()
    upstreams = Upstreams(5.0, 30.0, max_connections, UpstreamOptions(liveness_request=liveness_request))
    upstreams.set_addresses({"s0": parse_address(server.host_port)})
    try:
        yield AttemptRunner(upstreams)
    finally:
        upstreams.stop()
        server.stop()


async def half_close(request: ReceivedRequest, writer: Writer) -> None:
    """A response that ends with a FIN; the other direction stays open."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    writer.write_eof()


def half_closing_server(answer: bytes) -> FakeServer:
    """Half-closes after each response, and answers the liveness request with `answer`."""

    async def reply(request: ReceivedRequest, writer: Writer) -> None:
        if request.line == LIVENESS_LINE:
            writer.write(answer)
        else:
            await half_close(request, writer)

    return FakeServer(reply)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (OK, Outcome.SERVED),
        (OK.replace(b"200 OK", b"404 Oh"), Outcome.SERVED),  # any response proves that it is alive
        (OK.replace(b"200 OK", b"503 Full"), Outcome.SERVED),
        (OK.replace(b"200 OK", b"421 Misdirected Request"), Outcome.BROKEN),
        (b"noise\r\n\r\n", Outcome.BROKEN),
    ],
)
def test_a_close_in_order_ends_an_answer_if_its_upstream_still_answers(
    answer: bytes, outcome: Outcome
) -> None:
    async def test() -> None:
        async with liveness_runner(half_closing_server(answer)) as runner:
            assert await runner.outcome() is outcome
            assert runner.outcomes == [outcome]

    run(test())


def test_an_upstream_that_takes_no_new_connections_is_asked_on_one_that_is_open() -> None:
    async def test() -> None:
        server = FakeServer(OK)
        async with liveness_runner(server) as runner:
            runner.send()
            runner.send()
            await until(lambda: len(runner.outcomes) == 2)
            server.refuse()
            server.reply = half_closing_server(OK).reply
            assert await runner.outcome() is Outcome.SERVED
            assert server.connections == 2

    run(test())


@pytest.mark.parametrize("max_connections", [10, 1])
def test_a_close_by_an_upstream_that_takes_no_new_connection_and_keeps_none_cuts_the_answer(
    max_connections: int,
) -> None:
    """Guards against cut answers that pass for whole, also where no further connection is allowed."""

    async def test() -> None:
        server = FakeServer(silent)
        async with liveness_runner(server, max_connections) as runner:
            runner.send()
            await until(lambda: len(server.got) == 1)
            server.refuse()
            await half_close(server.got[0], server.writers[0])
            await until(lambda: bool(runner.outcomes))
            assert runner.outcomes == [Outcome.BROKEN]

    run(test())


def test_an_upstream_is_asked_though_no_descriptor_is_free_for_an_attempt() -> None:
    async def test() -> None:
        server = half_closing_server(OK)
        async with liveness_runner(server, max_connections=1) as runner:
            assert await runner.outcome() is Outcome.SERVED
            assert server.connections == 2

    run(test())


async def await_liveness_check(server: FakeServer, runner: AttemptRunner) -> Attempt:
    """Half-close the only connection, and wait for the liveness request."""
    attempt = runner.send()
    await until(lambda: len(server.got) == 1)
    await half_close(server.got[0], server.writers[0])
    await until(lambda: len(server.got) == 2)
    return attempt


def kernel_ends(upstreams: Upstreams) -> set[EndKind]:
    """How the connections have ended, according to the kernel."""
    (upstream,) = upstreams._upstreams.values()
    return {connection_end(c._transport.get_extra_info("socket")) for c in upstream.open if c._transport}


def test_a_reset_behind_a_close_in_order_cuts_the_answer() -> None:
    async def test() -> None:
        server = FakeServer(silent)
        async with liveness_runner(server) as runner:
            await await_liveness_check(server, runner)
            peer: socket.socket = server.writers[0].get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            server.writers[0].transport.abort()
            await until(lambda: EndKind.RESET in kernel_ends(runner.upstreams))
            server.writers[1].write(OK)
            await until(lambda: bool(runner.outcomes))
            assert runner.outcomes == [Outcome.BROKEN]

    run(test())


def test_a_request_that_is_given_up_while_its_upstream_is_asked_ends_once() -> None:
    async def test() -> None:
        server = FakeServer(silent)
        async with liveness_runner(server) as runner:
            attempt = await await_liveness_check(server, runner)
            attempt.cancel()
            server.writers[1].write(OK)
            await until(lambda: runner.upstreams.has_idle_connection("s0"))
            assert runner.outcomes == [Outcome.CANCELLED]

    run(test())


def test_an_upstream_that_has_left_the_list_is_asked_where_it_was() -> None:
    async def test() -> None:
        server = FakeServer(silent)
        async with liveness_runner(server) as runner:
            runner.send()
            await until(lambda: len(server.got) == 1)
            runner.upstreams.set_addresses({})
            await half_close(server.got[0], server.writers[0])
            await until(lambda: len(server.got) == 2)
            server.writers[1].write(OK)
            await until(lambda: bool(runner.outcomes))
            assert runner.outcomes == [Outcome.SERVED]

    run(test())


@pytest.mark.parametrize("loop_kind", ["asyncio", "uvloop"])
def test_an_upstream_hears_of_the_end_of_an_attempt_before_the_next_one_goes_out(loop_kind: str) -> None:
    """Found by the fleet rig: a request was at one upstream while still in flight at another.

    The event loop closes a connection in its next turn, but writes on an idle one at once.
    """

    def has_ended(writer: Writer) -> bool:
        poll = select.poll()
        poll.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(100))

    async def test() -> None:
        server = FakeServer(silent)
        async with liveness_runner(server) as runner:
            attempt = runner.send()
            await until(lambda: len(server.got) == 1)
            attempt.cancel()
            assert has_ended(server.writers[0])  # in the same turn of the event loop

    if loop_kind == "asyncio":
        asyncio.run(asyncio.wait_for(test(), 10.0))
    else:
        uvloop.run(asyncio.wait_for(test(), 10.0))
