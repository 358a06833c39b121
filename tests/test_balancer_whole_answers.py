"""Answers other than event streams reach clients unchanged, however long or slow."""

from __future__ import annotations

import asyncio

import pytest

from tests.balancer_stage import (
    FakeUpstream,
    Handler,
    answer,
    chunk,
    configuration,
    head,
    route,
    running_balancer,
)
from tests.loopback import ReceivedRequest, Writer, run

LONG = "0123456789abcdef" * 8_192  # twice of what is held of a body with a known length
PLAIN = configuration(1, route(route_type="safe", tries=2))


def slow(body: str, pieces: int = 4, pause_s: float = 0.15, last: bool = True) -> Handler:
    """Send chunks with pauses, so that the length is unknown when forwarding begins."""

    async def handler(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        writer.write(head(got, "Transfer-Encoding: chunked\r\n\r\n").encode())
        size = -(-len(body) // pieces)
        for i in range(0, len(body), size):
            writer.write(chunk(body[i : i + size]))
            await asyncio.sleep(pause_s)
        if last:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    return handler


def chunked(body: str) -> Handler:
    return slow(body, pieces=3, pause_s=0.0)


@pytest.mark.parametrize("handler", [answer("200 OK", body=LONG), chunked(LONG)], ids=["a length", "chunks"])
def test_a_long_whole_answer_reaches_the_client_as_it_is(handler: Handler) -> None:
    async def test() -> None:
        async with running_balancer(FakeUpstream("u1", "", handler), config=PLAIN) as harness:
            reply = await harness.ask()
            assert (reply.status, reply.whole, reply.body) == (200, True, LONG.encode())

    run(test())


def test_a_slow_answer_without_length_reaches_the_client_as_it_is() -> None:
    async def test() -> None:
        async with running_balancer(
            FakeUpstream("u1", "", slow("slowly but whole")), config=PLAIN
        ) as harness:
            reply = await harness.ask()
            assert (reply.status, reply.whole, reply.body) == (200, True, b"slowly but whole")

    run(test())


def test_a_whole_answer_that_breaks_off_is_not_taken_up_by_another_upstream() -> None:
    async def test() -> None:
        config = configuration(1, route(route_type="stream", resumable=True, tries=2))
        upstreams = [FakeUpstream(name, "", slow("slowly", last=False)) for name in ("u1", "u2")]
        async with running_balancer(*upstreams, config=config) as harness:
            reply = await harness.ask()
            assert reply.status == 200 and not reply.whole
            assert sum(len(upstream.got) for upstream in upstreams) == 1

    run(test())
