"""Ends of upstream answers: how they are distinguished, counted and logged."""

from __future__ import annotations

import pytest
from loguru import logger

from balancer.upstream_protocol import belongs_to_request
from passpost.http1 import EndKind, Framing, Headers, ResponseReader
from passpost.response_end import Misuse
from tests.balancer_stage import (
    FakeUpstream,
    Handler,
    UnframedUpstream,
    answer,
    chunk,
    configuration,
    cut_after,
    event,
    reset,
    route,
    running_balancer,
)
from tests.loopback import ReceivedRequest, Writer, run

UNSAFE = configuration(1, route(route_type="unsafe", tries=1))


async def _garbage(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
    writer.write(b"noise\r\n\r\n")


@pytest.mark.parametrize(
    ("upstream", "framing", "kind"),
    [
        (FakeUpstream("u1", "", answer("200 OK", body="whole")), Framing.LENGTH, EndKind.WHOLE),
        (FakeUpstream("u1", "", answer("500 Oh")), Framing.LENGTH, EndKind.WHOLE),
        (FakeUpstream("u1", "", cut_after(2)), Framing.CHUNKED, EndKind.FIN),
        (FakeUpstream("u1", "", reset), Framing.UNKNOWN, EndKind.FIN),
        (FakeUpstream("u1", "", _garbage), Framing.UNKNOWN, EndKind.INVALID),
        (UnframedUpstream("u1", "whole"), Framing.CLOSE, EndKind.FIN),
        (UnframedUpstream("u1", "part", by_reset=True), Framing.CLOSE, EndKind.RESET),
    ],
    ids=["length", "error", "chunks cut", "nothing", "noise", "closed", "reset at once"],
)
def test_each_end_of_an_answer_is_counted_by_its_framing_and_by_what_ended_it(
    upstream: FakeUpstream, framing: Framing, kind: EndKind
) -> None:
    async def test() -> None:
        async with running_balancer(upstream, config=UNSAFE) as harness:
            await harness.ask()
            assert harness.balancer.answer_log.ends == {(framing, kind): 1}

    run(test())


def test_an_answer_that_is_cut_is_logged_with_its_request_and_what_had_come() -> None:
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}", level="INFO")

    async def test() -> None:
        async with running_balancer(UnframedUpstream("u1", "part", by_reset=True), config=UNSAFE) as harness:
            await harness.ask("r7")

    try:
        run(test())
    finally:
        logger.remove(sink)
    said = "event=answer_cut upstream=u1 request=r7 end=reset framing=close status=200 bytes=4\n"
    assert said in lines


@pytest.mark.parametrize(
    ("text", "kind"),
    [("part", "text/plain"), (event(1) + event(2), "text/event-stream")],
    ids=["plain", "stream between events"],
)
def test_what_a_reset_cuts_never_reaches_a_client_as_whole(text: str, kind: str) -> None:
    async def test() -> None:
        async with running_balancer(
            UnframedUpstream("u1", text, kind, by_reset=True), config=UNSAFE
        ) as harness:
            reply = await harness.ask()
            assert reply.status == 502 or not reply.whole

    run(test())


def test_a_request_that_may_be_repeated_goes_to_another_upstream_after_a_reset() -> None:
    async def test() -> None:
        config = configuration(1, route(route_type="safe", tries=2))
        cutting = [UnframedUpstream(name, "part", by_reset=True) for name in ("u1", "u2")]
        async with running_balancer(*cutting, config=config) as harness:
            reply = await harness.ask()
            assert reply.status == 502
            assert sorted(len(upstream.got) for upstream in cutting) == [1, 1]

    run(test())


def text(
    request_id: str | None, body: str, status: str = "200 OK", sealed: bool = True, extra: str = ""
) -> str:
    """Return an answer with a length, and without an id if `request_id` is None."""
    lines = f"Mastturn-Request-Id: {request_id}\r\n" if request_id is not None else ""
    seal = "Mastturn-Server-Seal: s.1\r\n" if sealed else ""
    return f"HTTP/1.1 {status}\r\n{lines}{seal}{extra}Content-Length: {len(body)}\r\n\r\n{body}"


def says(*answers: str) -> Handler:
    """Send all of these at once."""

    async def handler(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        writer.write("".join(answers).encode())

    return handler


STALE = {
    "its own id": text("r1", "stale"),
    "an error without an id": text(None, "stale", "500 Oh", sealed=False),
    "a success without an id": text(None, "stale"),
    "chunks": "HTTP/1.1 200 OK\r\nMastturn-Request-Id: r1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nstale\r\n0\r\n\r\n",
    "a stream": "HTTP/1.1 200 OK\r\nMastturn-Request-Id: r1\r\nMastturn-Server-Seal: s.1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunk(event(1)).decode()
    + "0\r\n\r\n",
    "two of them": text("r1", "stale") + text(None, "", "500 Oh", sealed=False),
}


@pytest.mark.parametrize("stale", list(STALE.values()), ids=list(STALE))
def test_a_late_second_answer_is_skipped_and_the_next_request_gets_its_own(stale: str) -> None:
    async def test() -> None:
        own = text("r2", "own")
        upstream = FakeUpstream(
            "u1", "", answer("200 OK", body="first"), says(stale, own), answer("200 OK", body="third")
        )
        async with running_balancer(upstream, config=UNSAFE) as harness:
            assert (await harness.ask("r1")).body == b"first"
            reply = await harness.ask("r2")
            assert (reply.status, reply.body, reply.headers["mastturn-request-id"]) == (200, b"own", "r2")
            assert (await harness.ask("r3")).body == b"third"
            assert upstream.connections == 2  # more stale answers may follow on the first one
            assert harness.balancer.answer_log.misuses[Misuse.STALE_RESPONSE] == stale.count("HTTP/1.1")

    run(test())


def is_due_to_r2(status: int, headers: Headers) -> bool:
    return belongs_to_request(status, headers, b"r2")


@pytest.mark.parametrize("stale", list(STALE.values()), ids=list(STALE))
def test_a_stale_answer_is_skipped_wherever_its_bytes_are_split(stale: str) -> None:
    data = (stale + text("r2", "own")).encode()
    for cut in range(1, len(data)):
        reader = ResponseReader(max_buffered=0, response_matcher=is_due_to_r2)
        found = [reader.feed(data[:cut]), reader.feed(data[cut:])] if cut < len(data) else []
        whole = found[-1]
        assert whole is not None and whole.body == b"own" and not whole.reusable


def test_a_stale_answer_that_ends_with_its_connection_is_no_answer() -> None:
    for owner, is_taken in (("r2", True), ("r1", False)):
        reader = ResponseReader(response_matcher=is_due_to_r2)
        assert reader.feed(f"HTTP/1.1 200 OK\r\nMastturn-Request-Id: {owner}\r\n\r\nx".encode()) is None
        assert (reader.end(EndKind.FIN) is not None) == is_taken


def test_a_rejection_without_an_id_is_taken_at_its_word() -> None:
    async def test() -> None:
        rejection = text(None, "", "503 Full", sealed=False, extra="Mastturn-Not-Run: 1\r\n")
        async with running_balancer(FakeUpstream("u1", "", says(rejection)), config=UNSAFE) as harness:
            assert (await harness.ask("r1")).status == 503
            assert not harness.balancer.answer_log.misuses

    run(test())
