"""How the ends of upstreams' answers are told apart, counted and logged."""

from __future__ import annotations

import pytest
from loguru import logger

from passpost.http1 import EndKind, Framing
from tests.loopback import run
from tests.windvane_stage import (
    CuttingStage,
    Stage,
    answer,
    configuration,
    cut_after,
    event,
    playing,
    reset,
    route,
)

UNSAFE = configuration(1, route(route_type="unsafe", tries=1))


async def _garbage(stage: Stage, got: object, writer: object) -> None:
    writer.write(b"noise\r\n\r\n")  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("stage", "framing", "kind"),
    [
        (Stage("u1", "", answer("200 OK", body="whole")), Framing.LENGTH, EndKind.WHOLE),
        (Stage("u1", "", answer("500 Oh")), Framing.LENGTH, EndKind.WHOLE),
        (Stage("u1", "", cut_after(2)), Framing.CHUNKED, EndKind.FIN),
        (Stage("u1", "", reset), Framing.UNKNOWN, EndKind.FIN),
        (Stage("u1", "", _garbage), Framing.UNKNOWN, EndKind.INVALID),
        (CuttingStage("u1", "whole"), Framing.CLOSE, EndKind.FIN),
        (CuttingStage("u1", "part", by_reset=True), Framing.CLOSE, EndKind.RESET),
    ],
    ids=["length", "error", "chunks cut", "nothing", "noise", "closed", "reset at once"],
)
def test_each_end_of_an_answer_is_counted_by_its_framing_and_by_what_ended_it(
    stage: Stage, framing: Framing, kind: EndKind
) -> None:
    async def test() -> None:
        async with playing(stage, config=UNSAFE) as play:
            await play.ask()
            assert play.balancer.answers.ends == {(framing, kind): 1}

    run(test())


def test_an_answer_that_is_cut_is_logged_with_its_request_and_what_had_come() -> None:
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}", level="INFO")

    async def test() -> None:
        async with playing(CuttingStage("u1", "part", by_reset=True), config=UNSAFE) as play:
            await play.ask("r7")

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
        async with playing(CuttingStage("u1", text, kind, by_reset=True), config=UNSAFE) as play:
            reply = await play.ask()
            assert reply.status == 502 or not reply.whole

    run(test())


def test_a_request_that_may_be_repeated_goes_to_another_upstream_after_a_reset() -> None:
    async def test() -> None:
        config = configuration(1, route(route_type="safe", tries=2))
        cutting = [CuttingStage(name, "part", by_reset=True) for name in ("u1", "u2")]
        async with playing(*cutting, config=config) as play:
            reply = await play.ask()
            assert reply.status == 502
            assert sorted(len(stage.got) for stage in cutting) == [1, 1]

    run(test())
