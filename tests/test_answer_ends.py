"""How the ends of upstreams' answers are told apart, counted and logged."""

from __future__ import annotations

import pytest
from loguru import logger

from passpost.answer_end import EndKind
from passpost.http1 import Framing
from tests.loopback import run
from tests.windvane_stage import (
    Act,
    Play,
    Stage,
    answer,
    configuration,
    cut_after,
    playing,
    reset,
    route,
    until_close,
)

UNSAFE = configuration(1, route(route_type="unsafe", tries=1))


def has_begun(play: Play) -> bool:
    """Whether the balancer has read something of the body that is coming."""
    connections = [c for u in play.balancer.upstreams._upstreams.values() for c in u.open]
    return any(c._reader is not None and c._reader.body_size() > 0 for c in connections)


async def _garbage(stage: Stage, got: object, writer: object) -> None:
    writer.write(b"noise\r\n\r\n")  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("act", "framing", "kind"),
    [
        (answer("200 OK", body="whole"), Framing.LENGTH, EndKind.WHOLE),
        (answer("500 Oh"), Framing.LENGTH, EndKind.WHOLE),
        (until_close("whole"), Framing.CLOSE, EndKind.FIN),
        (until_close("part", by_reset=True), Framing.CLOSE, EndKind.RESET),
        (cut_after(2), Framing.CHUNKED, EndKind.FIN),
        (reset, Framing.UNKNOWN, EndKind.FIN),
        (_garbage, Framing.UNKNOWN, EndKind.INVALID),
    ],
    ids=["length", "error", "closed", "reset at once", "chunks cut", "nothing", "noise"],
)
def test_each_end_of_an_answer_is_counted_by_its_framing_and_by_what_ended_it(
    act: Act, framing: Framing, kind: EndKind
) -> None:
    async def test() -> None:
        async with playing(Stage("u1", "", act), config=UNSAFE) as play:
            await play.ask()
            assert play.balancer.answers.ends == {(framing, kind): 1}

    run(test())


def test_a_reset_that_comes_after_the_bytes_were_read_counts_as_one_too() -> None:
    async def test() -> None:
        async with playing(config=UNSAFE) as play:
            late = Stage("u1", "", until_close("part", by_reset=True, begun=lambda: has_begun(play)))
            await late.start()
            play.list(late)
            await play.ask()
            assert play.balancer.answers.ends == {(Framing.CLOSE, EndKind.RESET): 1}
            late.stop()

    run(test())


def test_an_answer_that_is_cut_is_logged_with_its_request_and_what_had_come() -> None:
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}", level="INFO")

    async def test() -> None:
        async with playing(Stage("u1", "", until_close("part", by_reset=True)), config=UNSAFE) as play:
            await play.ask("r7")

    try:
        run(test())
    finally:
        logger.remove(sink)
    said = "event=answer_cut upstream=u1 request=r7 end=reset framing=close status=200 bytes=4\n"
    assert said in lines
