"""Attempts and their outcomes, and the connections they use, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from passpost import upstream as module
from passpost.attempt import Attempt, OutgoingRequest
from passpost.discovery import parse_address
from passpost.http1 import Response
from passpost.upstream import Upstreams
from passpost.upstream_connection import UpstreamConnection
from tests.loopback import (
    OK,
    TURNED_AWAY,
    CuttingServer,
    FakeServer,
    ReceivedRequest,
    Writer,
    balancer,
    run,
    silent,
    until,
)
from umberworks.interface import Outcome

REQUEST = OutgoingRequest(b"GET /read HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 0\r\n", b"")


class AttemptRunner:
    """Makes attempts and records their outcomes."""

    def __init__(self, upstreams: Upstreams) -> None:
        self.upstreams = upstreams
        self.outcomes: list[Outcome] = []

    def send(self, server: str = "s0", request: OutgoingRequest = REQUEST, timeout: float = 10.0) -> Attempt:
        def done(outcome: Outcome, answer: Response | None) -> None:
            assert (answer is not None) or outcome is not Outcome.SERVED
            self.outcomes.append(outcome)

        return self.upstreams.send(server, request, timeout, done)

    async def outcome(self, server: str = "s0", timeout: float = 10.0) -> Outcome:
        previous_count = len(self.outcomes)
        self.send(server, timeout=timeout)
        await until(lambda: len(self.outcomes) > previous_count)
        return self.outcomes[-1]


@asynccontextmanager
async def attempt_runner(
    *servers: FakeServer | CuttingServer, max_connections: int = 10, idle: float = 30.0
) -> AsyncIterator[AttemptRunner]:
    for server in servers:
        await server.start()
    upstreams = Upstreams(5.0, idle, max_connections)
    upstreams.start()
    upstreams.set_addresses({f"s{i}": parse_address(s.host_port) for i, s in enumerate(servers)})
    try:
        yield AttemptRunner(upstreams)
    finally:
        upstreams.stop()
        for server in servers:
            server.stop()


@pytest.mark.parametrize(
    ("raw", "outcome"),
    [
        (OK, Outcome.SERVED),
        (b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + OK, Outcome.SERVED),
        (TURNED_AWAY, Outcome.TURNED_AWAY),
        (TURNED_AWAY.replace(b"503", b"504"), Outcome.TURNED_AWAY),
        (TURNED_AWAY.replace(b"503", b"500"), Outcome.ERROR),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 404 Oh\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"noise\r\n\r\n", Outcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 20_000, Outcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", Outcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", Outcome.BROKEN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", Outcome.BROKEN),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Outcome.BROKEN,
        ),
        (
            b"HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n\r\n11171\r\n" + b"x" * 70_001 + b"\r\n",
            Outcome.BROKEN,
        ),
        (b"HTTP/1.1 101 Go\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", Outcome.BROKEN),
        (b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * 1_000, Outcome.BROKEN),
        (OK.replace(b"\r\n\r\n", b"\r\nX-Pressure: {\xff\r\n\r\n"), Outcome.SERVED),
    ],
)
def test_what_an_answer_means(raw: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        async with attempt_runner(FakeServer(raw)) as runner:
            assert await runner.outcome() is outcome

    run(test())


@pytest.mark.parametrize(
    "raw",
    [b"", OK[:-1], OK[:20], OK[:30], b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"],
)
def test_an_answer_cut_short_is_a_reset(raw: bytes) -> None:
    async def cut(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(raw)
        writer.close()

    async def test() -> None:
        async with attempt_runner(FakeServer(cut)) as runner:
            assert await runner.outcome() is Outcome.BROKEN

    run(test())


def test_an_answer_that_ends_with_its_connection_is_whole_after_a_fin_and_not_after_a_reset() -> None:
    async def test() -> None:
        for by_reset, outcome in ((False, Outcome.SERVED), (True, Outcome.BROKEN)):
            server = CuttingServer(lambda got: b"HTTP/1.1 200 OK\r\n\r\npart", by_reset)
            async with attempt_runner(server) as runner:
                assert await runner.outcome() is outcome

    run(test())


def test_a_refused_connection_never_ran() -> None:
    async def test() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))  # bound, but not listening
            async with attempt_runner() as runner:
                runner.upstreams.set_addresses({"s0": unused.getsockname()})
                assert await runner.outcome() is Outcome.UNREACHED
                assert await runner.outcome("unknown") is Outcome.NOT_SENT

    run(test())


def test_a_break_before_the_last_byte_is_out_never_ran() -> None:
    # The kernel's buffers hold a few MB, so this request can't have been sent completely.
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            async with attempt_runner() as runner:
                runner.upstreams.set_addresses({"s0": listener.getsockname()})
                attempt = runner.send(request=OutgoingRequest(REQUEST.head, b"x" * 64 * 1024 * 1024))
                peer, _ = await asyncio.get_running_loop().sock_accept(listener)
                await until(lambda: attempt.connection is not None)
                assert not attempt.is_written()
                peer.close()
                await until(lambda: runner.outcomes == [Outcome.UNREACHED])

    run(test())


def test_a_timed_out_or_cancelled_attempt_closes_its_connection() -> None:
    async def test() -> None:
        server = FakeServer(silent)
        async with attempt_runner(server) as runner:
            assert await runner.outcome(timeout=0.02) in (Outcome.TIMED_OUT, Outcome.UNREACHED)
            attempt = runner.send()
            await until(lambda: attempt.is_written())
            attempt.cancel()
            attempt.cancel()
            assert runner.outcomes[1:] == [Outcome.CANCELLED]
            await until(lambda: server.closed == server.connections)

    run(test())


@pytest.mark.parametrize(("reuse_delay", "used"), [(0.0, -1), (60.0, 0)])
def test_the_most_recent_connection_that_has_rested_is_used_again(
    monkeypatch: pytest.MonkeyPatch, reuse_delay: float, used: int
) -> None:
    # An upstream may close right after its response: without a delay the next request would cross that close.
    monkeypatch.setattr(module, "REUSE_DELAY_S", reuse_delay)

    async def test() -> None:
        order: list[Writer] = []
        release = asyncio.Event()

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            order.append(writer)
            await release.wait()
            writer.write(OK)

        server = FakeServer(reply)
        async with attempt_runner(server) as runner:
            runner.send(), runner.send()
            await until(lambda: len(order) == 2)
            release.set()
            await until(lambda: len(runner.outcomes) == 2)
            wanted = runner.upstreams._upstreams["s0"].idle[used]
            attempt = runner.send()
            assert attempt.connection is wanted
            await until(lambda: len(runner.outcomes) == 3)
            assert server.connections == 2

    run(test())


@pytest.mark.parametrize("after", [b"stray", OK, None])
def test_an_idle_connection_that_speaks_or_ends_is_dropped(after: bytes | None) -> None:
    async def test() -> None:
        server = FakeServer()
        async with attempt_runner(server) as runner:
            assert await runner.outcome() is Outcome.SERVED
            if after is None:
                server.writers[0].close()
            else:
                server.writers[0].write(after)
            await until(lambda: runner.upstreams._open_count == 0)
            assert await runner.outcome() is Outcome.SERVED
            assert server.connections == 2

    run(test())


def test_an_answer_with_more_behind_it_is_good_but_its_connection_is_not() -> None:
    async def test() -> None:
        async with attempt_runner(FakeServer(OK + OK)) as runner:
            assert await runner.outcome() is Outcome.SERVED
            assert runner.upstreams._open_count == 0

    run(test())


@pytest.mark.parametrize("after", [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", b"noise", None])
def test_a_connection_with_something_unread_is_not_used_again(after: bytes | None) -> None:
    # The event loop has no turn between the arrival of these bytes and the next attempt: only the kernel
    # knows.
    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            async with attempt_runner() as runner:
                runner.upstreams.set_addresses({"s0": listener.getsockname()})
                runner.send()
                peer, _ = await loop.sock_accept(listener)
                with peer:
                    await loop.sock_recv(peer, 65536)
                    peer.send(OK)
                    await until(
                        lambda: runner.outcomes == [Outcome.SERVED] and runner.upstreams._open_count == 1
                    )
                    if after is None:
                        peer.shutdown(socket.SHUT_WR)
                    else:
                        peer.send(after)
                    attempt = runner.send()
                    assert attempt.connection is None and runner.upstreams._open_count == 1  # a new one
                    attempt.cancel()

    run(test())


def test_connections_idle_for_long_are_closed_by_us(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "SWEEP_INTERVAL_S", 0.01)

    async def test() -> None:
        server = FakeServer()
        async with attempt_runner(server, idle=0.0) as runner:
            assert await runner.outcome() is Outcome.SERVED
            await until(lambda: server.closed == 1)

    run(test())


def test_a_new_address_under_the_same_name_is_used_at_once() -> None:
    async def test() -> None:
        old, new = FakeServer(), FakeServer()
        async with attempt_runner(old, new) as runner:
            await runner.outcome("s0")
            runner.upstreams.set_addresses({"s0": parse_address(new.host_port)})
            await until(lambda: old.closed == 1)
            assert await runner.outcome("s0") is Outcome.SERVED
            assert len(new.got) == 1

    run(test())


def test_at_the_limit_the_oldest_idle_connection_gives_way() -> None:
    async def test() -> None:
        first, second = FakeServer(), FakeServer(silent)
        async with attempt_runner(first, second, max_connections=1) as runner:
            assert await runner.outcome("s0") is Outcome.SERVED
            held = runner.send("s1")
            await until(held.is_written)
            await until(lambda: first.closed == 1)
            assert await runner.outcome("s0") is Outcome.UNREACHED  # no idle connection is left to close
            assert runner.upstreams._open_count == 1

    run(test())


def test_a_write_that_raises_still_ends_its_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(connection: object, attempt: Attempt) -> None:
        raise RuntimeError("made up")

    async def test() -> None:
        async with attempt_runner(FakeServer()) as runner:
            monkeypatch.setattr(UpstreamConnection, "start_attempt", fail)
            assert await runner.outcome() is Outcome.BROKEN
            assert runner.upstreams._open_count == 0

    run(test())


def test_only_the_module_sends_again() -> None:
    async def test() -> None:
        async def reset(request: ReceivedRequest, writer: Writer) -> None:
            writer.close()

        broken, away, good = FakeServer(reset), FakeServer(TURNED_AWAY), FakeServer()
        async with balancer(broken, away) as b:
            answer = await (await b.connect()).ask("/pay", method="POST")
            assert answer is not None and answer.status in (502, 503)
            assert len(broken.got) <= 1  # it may have run, so it is not sent again
        async with balancer(away, good) as b:
            answer = await (await b.connect()).ask("/pay", method="POST")
            assert answer is not None and answer.status == 200  # a request turned away has not run

    run(test())


def test_a_probe_tells_whether_a_connection_comes_up_and_keeps_it() -> None:
    async def play() -> None:
        server = FakeServer()
        async with attempt_runner(server) as runner:
            found = list[bool]()
            runner.upstreams.probe("s0", found.append)
            await until(lambda: len(found) == 1)
            assert found == [True]
            assert await runner.outcome() is Outcome.SERVED
            assert server.connections == 1  # the one opened by the probe
            server.stop()
            runner.upstreams.probe("s0", found.append)
            await until(lambda: len(found) == 2)
            assert found == [True, False]

    run(play())


def test_a_probe_that_can_not_be_made_tells_nothing_against_the_upstream() -> None:
    async def play() -> None:
        server = FakeServer(silent)
        async with attempt_runner(server, max_connections=1) as runner:
            found = list[bool]()
            runner.send()
            await until(lambda: len(server.got) == 1)
            runner.upstreams.probe("s0", found.append)
            runner.upstreams.probe("nowhere", found.append)
            await until(lambda: len(found) == 2)
            assert found == [True, True]

    run(play())
