"""Deadlines: requests and answers end with them, whatever upstreams do."""

from __future__ import annotations

import asyncio

import pytest

from balancer.balancer import end_margin
from balancer.upstream_call import ANSWER_GRACE_S
from passpost.request_reader import HEAD_PARSE_BYTES
from tests.balancer_stage import (
    HOST,
    PATH,
    FakeUpstream,
    chunk,
    configuration,
    event,
    read_reply,
    route,
    running_balancer,
    stream_head,
)
from tests.loopback import ReceivedRequest, Writer, run

READ_S = 0.1  # time within which a request that was sent is read
SLACK_S = 0.15  # for scheduling on the test machine


@pytest.mark.parametrize("resumable", [False, True])
def test_a_stream_that_falls_silent_is_broken_off_at_its_deadline(resumable: bool) -> None:
    async def silent_after_one(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        writer.write(stream_head(got) + chunk(event(1)))
        await asyncio.sleep(30)

    async def test() -> None:
        config = configuration(1, route(resumable=resumable, tries=1))
        async with running_balancer(FakeUpstream("u1", "", silent_after_one), config=config) as harness:
            begun = asyncio.get_running_loop().time()
            reply = await harness.ask(headers="Mastturn-Deadline-Ms: 300\r\n")
            assert reply.status == 200 and not reply.whole
            assert 0.3 <= asyncio.get_running_loop().time() - begun < 1.5

    run(test())


def test_time_counts_for_a_request_that_waits_behind_others_of_its_connection() -> None:
    """Two pipelined requests are read; the third stays unparsed until the first has its answer."""

    async def silent(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(30)

    async def test() -> None:
        async with running_balancer(
            FakeUpstream("u1", "", silent), config=configuration(1, route(tries=1))
        ) as harness:
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            begun = loop.time()
            for number in range(3):
                lines = f"Host: {HOST}\r\nMastturn-Request-Id: r{number}\r\nMastturn-Deadline-Ms: 600\r\n"
                head = f"POST {PATH} HTTP/1.1\r\n{lines}Content-Length: {2 * HEAD_PARSE_BYTES}\r\n\r\n"
                writer.write(head.encode() + bytes(2 * HEAD_PARSE_BYTES))
            replies = [await read_reply(reader) for _ in range(3)]
            assert [reply.status for reply in replies] == [504, 504, 504]
            assert loop.time() - begun < 0.6 + ANSWER_GRACE_S + SLACK_S
            writer.close()

    run(test())


def test_time_counts_for_a_request_that_lies_in_the_kernel_behind_others_of_its_connection() -> None:
    """A pipelined request must not get its whole time again after waiting in the socket buffer.

    A client pipelined three requests, and the third arrived while two were open and nothing was read. Its
    deadline started once it was read, so that it was still open 1.5 s after its deadline (0.85 s too late in
    this test).
    """

    async def silent(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(30)

    async def test() -> None:
        async with running_balancer(
            FakeUpstream("u1", "", silent), config=configuration(1, route(tries=1))
        ) as harness:
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            for number in range(3):
                if number == 2:
                    await asyncio.sleep(READ_S)
                    begun = loop.time()
                lines = f"Host: {HOST}\r\nMastturn-Request-Id: r{number}\r\nMastturn-Deadline-Ms: 600\r\n"
                writer.write(f"POST {PATH} HTTP/1.1\r\n{lines}Content-Length: 1\r\n\r\nb".encode())
            replies = [await read_reply(reader) for _ in range(3)]
            assert [reply.status for reply in replies] == [504, 504, 504]
            assert loop.time() - begun < 0.6 + ANSWER_GRACE_S + SLACK_S
            writer.close()

    run(test())


@pytest.mark.parametrize("after_s", [0.0, 0.3])
def test_a_stop_leaves_time_to_end_though_an_upstream_is_silent(after_s: float) -> None:
    """The wait for an upstream's own answer beyond the deadline must not use up the time to exit."""

    async def silent(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(30)

    async def test() -> None:
        grace_s = 2.0
        config = configuration(1, route(tries=1))
        async with running_balancer(
            FakeUpstream("u1", "", silent), config=config, grace_s=grace_s
        ) as harness:
            loop = asyncio.get_running_loop()
            begun = loop.time()
            ending = asyncio.create_task(harness.balancer.drain())
            await asyncio.sleep(after_s)
            reply = await harness.ask(headers="Mastturn-Deadline-Ms: 9000\r\n")
            assert reply.status == 504
            await ending
            assert loop.time() - begun <= grace_s - end_margin(grace_s) + SLACK_S

    run(test())


def test_a_stream_that_is_still_coming_at_its_deadline_is_broken_off() -> None:
    async def without_end(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        writer.write(stream_head(got))
        for number in range(1, 1_000):
            writer.write(chunk(event(number)))
            await asyncio.sleep(0.05)

    async def test() -> None:
        async with running_balancer(
            FakeUpstream("u1", "", without_end), config=configuration(1, route(tries=1))
        ) as harness:
            reply = await harness.ask(headers="Mastturn-Deadline-Ms: 300\r\n")
            assert reply.status == 200 and not reply.whole and reply.body.startswith(event(1).encode())

    run(test())


@pytest.mark.parametrize(("grace_s", "margin_s"), [(8.0, 1.0), (6.0, 1.0), (4.5, 0.75), (3.0, 0.5)])
def test_nothing_is_cut_off_before_the_last_sixth_of_the_grace(grace_s: float, margin_s: float) -> None:
    assert end_margin(grace_s) == pytest.approx(margin_s)
    assert end_margin(grace_s) <= grace_s / 6
