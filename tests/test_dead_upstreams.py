"""Incident MIXED, second report: an upstream that dies during a response (docs/incidents/mixed.md).

Guards against taking the FIN of a dying process for the end of a response without length and chunks. The
kernel sends one for each socket without unread data: 20 of 20 such responses looked complete, of 40 with a
length or chunks none. A new connection proves no life, as the listener is closed last (2 of 20 trials).
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any, cast

import pytest
from loguru import logger

from passpost.attempt import Attempt, OutgoingRequest
from passpost.http1 import EndKind, Framing, Response
from passpost.upstream_connection import Upstream
from passpost.upstream_options import UpstreamOptions
from tests.balancer_stage import FakeUpstream, answer, configuration, decode, head, route, running_balancer
from tests.loopback import ReceivedRequest, Writer, run
from umberworks.interface import Outcome

SAFE = configuration(1, route(route_type="safe", tries=2))
RESUMABLE = configuration(1, route(route_type="stream", resumable=True, tries=2))
UNSAFE = configuration(1, route(route_type="unsafe", tries=1))
LIMIT = 4  # connections to the upstream that are allowed
ASKED = OutgoingRequest(b"", b"")


class DyingUpstream(FakeUpstream):
    """An upstream in its own process (`dying_upstream.py`)."""

    def __init__(
        self, framing: str = "close", is_stream: bool = False, name: str = "dying", count: int = 1
    ) -> None:
        super().__init__(name)
        program = str(Path(__file__).with_name("dying_upstream.py"))
        self._command = [sys.executable, program, framing, str(int(is_stream)), str(count)]

    async def start(self) -> None:
        self._process = subprocess.Popen(self._command, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None
        port = await asyncio.to_thread(self._process.stdout.readline)
        self.entry = replace(self.entry, addr=f"127.0.0.1:{port.strip()}")

    def stop(self) -> None:
        self._process.kill()
        with self._process:
            pass


@pytest.mark.parametrize("is_stream", [False, True], ids=["plain", "stream"])
@pytest.mark.parametrize("framing", ["close", "length", "chunks"])
def test_what_a_dying_upstream_cuts_never_reaches_a_client_as_whole(framing: str, is_stream: bool) -> None:
    async def test() -> None:
        async with running_balancer(DyingUpstream(framing, is_stream), config=UNSAFE) as play:
            reply = await play.ask()
            assert reply.status == 502 or not reply.whole

    run(test())


@pytest.mark.parametrize("is_stream", [False, True], ids=["plain", "stream"])
def test_answers_cut_at_once_are_cut_though_no_further_connection_is_allowed(is_stream: bool) -> None:
    """Guards against taking such cuts for whole at the connection limit: review/6, up to 46 of 48 streams."""

    async def test() -> None:
        upstream = DyingUpstream("close", is_stream, count=LIMIT)
        async with running_balancer(upstream, config=UNSAFE) as play:
            play.balancer.upstreams.limit_connections_each(LIMIT)
            replies = await asyncio.gather(*(play.ask(f"r{i}") for i in range(LIMIT)))
            assert [reply.status == 502 or not reply.whole for reply in replies] == [True] * LIMIT
            assert play.balancer.answer_log.ends == {(Framing.CLOSE, EndKind.GONE): LIMIT}

    run(test())


def test_answers_that_end_at_once_at_the_limit_share_one_question() -> None:
    """Guards against a question for each of many ends, and against cutting whole answers at the limit."""

    async def test() -> None:
        may_end, is_served = asyncio.Event(), []

        async def respond_when_all_are_there(
            upstream: FakeUpstream, got: ReceivedRequest, writer: Writer
        ) -> None:
            is_served.append(got)
            if len(is_served) == LIMIT:
                may_end.set()
            await may_end.wait()
            await respond_unframed(upstream, got, writer)

        upstream = FakeUpstream("u1", "", *[respond_when_all_are_there] * LIMIT)
        async with running_balancer(upstream, config=UNSAFE) as play:
            play.balancer.upstreams.limit_connections_each(LIMIT)
            replies = await asyncio.gather(*(play.ask(f"r{i}") for i in range(LIMIT)))
            assert [(reply.whole, reply.body) for reply in replies] == [(True, b"whole")] * LIMIT
            assert 1 <= len(upstream.reports) < LIMIT
            assert upstream.connections == LIMIT + len(upstream.reports)

    run(test())


def test_an_end_behind_a_question_is_not_proven_by_its_answer() -> None:
    """Guards against an upstream that answers the question of an earlier end, and dies before the next."""

    class SilentPool:
        """Keeps the requests that are dispatched."""

        def __init__(self) -> None:
            self.options = UpstreamOptions(liveness_request=lambda name, address: ASKED)
            self.attempts: list[Attempt] = []

        def dispatch(self, attempt: Attempt, upstream: Upstream, *how: bool, **more: bool) -> None:
            self.attempts.append(attempt)

    async def test() -> None:
        pool, upstream, results = SilentPool(), Upstream("u1", ("127.0.0.1", 9)), dict[int, bool]()
        for number in (1, 2):
            upstream.liveness.request(cast(Any, pool), upstream, partial(results.__setitem__, number))
        await asyncio.sleep(0)
        assert len(pool.attempts) == 1, "two ends of one turn"
        upstream.liveness.request(cast(Any, pool), upstream, partial(results.__setitem__, 3))
        await asyncio.sleep(0)
        assert len(pool.attempts) == 1, "one request at a time"
        pool.attempts[0].finish(Outcome.SERVED, Response(200, [], b"", True))
        assert results == {1: True, 2: True}
        await asyncio.sleep(0)
        assert len(pool.attempts) == 2
        pool.attempts[1].finish(Outcome.BROKEN)
        assert results == {1: True, 2: True, 3: False}

    run(test())


def test_a_request_that_may_be_repeated_is_answered_by_another_upstream() -> None:
    async def test() -> None:
        async with running_balancer(DyingUpstream(), FakeUpstream("standing"), config=SAFE) as play:
            ends = play.balancer.answer_log.ends
            number = 0
            while not ends[Framing.CLOSE, EndKind.GONE]:  # until the dying upstream is selected
                number += 1
                reply = await play.ask(f"r{number}")
                assert (reply.status, reply.whole, reply.body) == (200, True, b"standing")

    run(test())


def test_a_stream_that_may_be_resumed_goes_on_at_another_upstream() -> None:
    async def test() -> None:
        upstreams = DyingUpstream(is_stream=True), FakeUpstream("standing", "", decode)
        async with running_balancer(*upstreams, config=RESUMABLE) as play:
            ends = play.balancer.answer_log.ends
            number = 0
            while not ends[Framing.CLOSE, EndKind.GONE]:  # until the dying upstream is selected
                number += 1
                reply = await play.ask(f"r{number}")
                lines = reply.body.decode().splitlines()
                assert reply.whole
                assert [n for n in lines if n.startswith("id: ")] == ["id: 1", "id: 2", "id: 3"]

    run(test())


@contextmanager
def log_lines() -> Iterator[list[str]]:
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}", level="INFO")
    try:
        yield lines
    finally:
        logger.remove(sink)


def test_an_answer_whose_upstream_is_gone_is_counted_and_logged_as_such() -> None:
    async def test() -> None:
        async with running_balancer(DyingUpstream(), config=UNSAFE) as play:
            with log_lines() as lines:
                await play.ask("r7")
            assert play.balancer.answer_log.ends == {(Framing.CLOSE, EndKind.GONE): 1}
        expected = "event=answer_cut upstream=dying request=r7 end=gone framing=close status=200 bytes=4\n"
        assert expected in lines

    run(test())


async def respond_unframed(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
    writer.write((head(got, "\r\n") + "whole").encode())
    writer.close()


def test_an_answer_whose_upstream_lives_on_is_whole_and_the_connection_that_asked_is_used_again() -> None:
    async def test() -> None:
        upstream = FakeUpstream("u1", "", respond_unframed, answer("200 OK", body="next"))
        async with running_balancer(upstream, config=UNSAFE) as play:
            reply = await play.ask("r1")
            assert (reply.whole, reply.body) == (True, b"whole")
            assert play.balancer.answer_log.ends == {(Framing.CLOSE, EndKind.FIN): 1}
            assert (await play.ask("r2")).body == b"next"
            assert (upstream.connections, upstream.reports) == (2, ["u1"])

    run(test())


def test_an_answer_is_cut_where_another_upstream_has_the_address_by_now() -> None:
    async def test() -> None:
        upstream = FakeUpstream("u1", "", respond_unframed)
        upstream.report = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
        async with running_balancer(upstream, config=UNSAFE) as play:
            assert (await play.ask()).status == 502
            assert play.balancer.answer_log.ends == {(Framing.CLOSE, EndKind.GONE): 1}

    run(test())


def test_an_answer_is_whole_though_the_connection_that_is_asked_by_is_not_read() -> None:
    """Found by a soak (seed 52100): a live upstream that does not read one of its idle connections."""

    async def test() -> None:
        may_respond, is_done = asyncio.Event(), asyncio.Event()

        async def respond_then_stop_reading(
            upstream: FakeUpstream, got: ReceivedRequest, writer: Writer
        ) -> None:
            await answer("200 OK", body="first")(upstream, got, writer)
            await is_done.wait()  # nothing more is read from this connection

        async def respond_unframed_later(
            upstream: FakeUpstream, got: ReceivedRequest, writer: Writer
        ) -> None:
            await may_respond.wait()
            await respond_unframed(upstream, got, writer)

        upstream = FakeUpstream("u1", "", respond_then_stop_reading, respond_unframed_later)
        async with running_balancer(upstream, config=UNSAFE) as play:
            first = asyncio.create_task(play.ask("r1"))
            second = asyncio.create_task(play.ask("r2"))
            done, _ = await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)
            assert [task.result().body for task in done] == [b"first"]
            may_respond.set()
            reply = await (second if first in done else first)
            is_done.set()
            assert (reply.status, reply.whole, reply.body) == (200, True, b"whole")

    run(test())
