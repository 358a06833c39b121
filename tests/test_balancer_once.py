"""At-most-once execution, with clients that change balancers or try at two at once."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict

import pytest

from tests.balancer_stage import (
    BalancerHarness,
    FakeUpstream,
    Handler,
    Reply,
    answer,
    configuration,
    cut_after,
    decode,
    prefill,
    read_reply,
    reset,
    route,
    running_balancer,
)

PROMPT = "Mastturn-Model: m\r\nMastturn-Token-Count: 900,9\r\nMastturn-Prompt-Prefix: aa:600,bb:300\r\n"


def runs(upstreams: list[FakeUpstream]) -> dict[str, list[int]]:
    """Return by request the first event of each of its runs, as recorded by the upstreams."""
    found = defaultdict(list)
    for upstream in upstreams:
        for got in upstream.got:
            if "mastturn-stage" not in got.headers:
                found[got.headers["mastturn-request-id"]].append(int(got.headers.get("last-event-id", 0)))
    return dict(found)


async def leave_in_the_middle(harness: BalancerHarness, request_id: str) -> None:
    """A client that disconnects once its stream has begun, as when it moves to another zone."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    head = f"POST /run/1 HTTP/1.1\r\nHost: shop.example\r\nMastturn-Request-Id: {request_id}\r\n"
    writer.write(f"{head}{PROMPT}Content-Length: 1\r\n\r\nb".encode())
    await reader.read(1)
    writer.transport.abort()


async def ask(harness: BalancerHarness, request_id: str) -> Reply:
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    head = f"POST /run/1 HTTP/1.1\r\nHost: shop.example\r\nMastturn-Request-Id: {request_id}\r\n"
    writer.write(f"{head}{PROMPT}Content-Length: 1\r\n\r\nb".encode())
    try:
        return await read_reply(reader)
    finally:
        writer.close()


def events(reply: Reply) -> list[int]:
    return [int(line[4:]) for line in reply.body.decode().splitlines() if line.startswith("id: ")]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("resumable", [False, True])
def test_no_request_runs_twice_wherever_its_client_goes(seed: int, resumable: bool) -> None:
    """Each try has its own id; a request that must not run twice reaches one upstream that accepts it."""
    rng = random.Random(seed)
    bad = [reset, cut_after(0), cut_after(2), answer("500 Broken"), answer("200 OK", sealed=False)]

    def script(good: Handler) -> list[Handler]:
        return [rng.choice([*bad, good, good, good]) for _ in range(60)] + [good]

    async def scene() -> None:
        upstreams = [FakeUpstream(f"p{n}", "prefill", *script(prefill)) for n in range(2)]
        upstreams += [FakeUpstream(f"d{n}", "decode", *script(decode)) for n in range(4)]
        config = configuration(1, route(route_type="stream", resumable=resumable, tries=3))
        async with (
            running_balancer(*upstreams, config=config) as here,
            running_balancer(config=config) as there,
        ):
            here.list(*upstreams)
            there.list(*upstreams)
            for number in range(25):
                left = asyncio.create_task(leave_in_the_middle(here, f"left-{number}"))
                replies = await asyncio.gather(
                    ask(there, f"moved-{number}"),
                    ask(here, f"both-{number}-a"),
                    ask(there, f"both-{number}-b"),
                )
                await left
                for reply in replies:
                    seen = events(reply)
                    assert seen == list(range(1, len(seen) + 1))  # no event repeated or missing
                    assert (
                        not (reply.whole and reply.status == 200) or len(seen) >= 3
                    )  # an upstream that cuts may have sent 4
        for request_id, begun in runs(upstreams).items():
            assert len(begun) <= (3 if resumable else 1), (request_id, begun)

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("kind", "resumable", "status", "sent"),
    [("safe", False, 200, 2), ("stream", True, 200, 2), ("unsafe", False, 502, 1), ("stream", False, 502, 1)],
)
def test_an_idle_connection_that_was_forgotten_costs_only_what_may_be_repeated(
    kind: str, resumable: bool, status: int, sent: int
) -> None:
    """A stale idle connection is reset at the first write; by the protocol the request may have run."""

    async def scene() -> None:
        one, other = FakeUpstream("x", "", decode, reset, reset), FakeUpstream("y", "", decode)
        config = configuration(1, route(route_type=kind, resumable=resumable))
        async with running_balancer(one, other, config=config) as harness:
            harness.list(one)
            assert (await ask(harness, "r1")).status == 200  # its connection is kept idle from here on
            harness.list(one, other)
            while len(one.got) < 2:
                before = len(one.got) + len(other.got)
                reply = await ask(harness, "r2")
            assert one.connections == 1 and len(one.got) + len(other.got) - before == sent
            assert reply.status == status

    asyncio.run(scene())
