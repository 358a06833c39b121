"""Rare orders of events on the list: watches that fall silent, break, or are left at a bad moment."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from passpost import discovery as module
from passpost.discovery import Discovery, parse_address, parse_listing
from tests.loopback import (
    PATIENCE,
    FakeServer,
    ReceivedRequest,
    Writer,
    answer_json,
    listing,
    member,
    run,
    until,
)
from tests.test_discovery import SAVED, Heard, following
from umberworks.interface import ListKind, Readiness

Step = Callable[[Writer], Awaitable[None]]
LEAVING = answer_json(listing(2, member("a", "127.0.0.1:1001", "leaving"), complete=False))
NOTHING = answer_json(listing(1, complete=False))


def says(data: bytes) -> Step:
    async def step(writer: Writer) -> None:
        writer.write(data)

    return step


async def falls_silent(writer: Writer) -> None:
    """Whatever is asked on this connection, and what is on its way, is never answered."""


async def resets(writer: Writer) -> None:
    writer.transport.abort()


async def begins(writer: Writer) -> None:
    writer.write(LEAVING[: len(LEAVING) // 2])


class Agent(FakeServer):
    """Does step by step what a call meets, whichever connection that comes by; then it is silent."""

    def __init__(self, *steps: Step) -> None:
        super().__init__(self._step)
        self.steps = list(steps)

    async def _step(self, request: ReceivedRequest, writer: Writer) -> None:
        if self.steps:
            await self.steps.pop(0)(writer)


def drained(heard: Heard) -> Callable[[], bool]:
    return lambda: (
        heard.updates[-1].members[-1:] != ()
        and (heard.updates[-1].members[-1].readiness is Readiness.DRAINING)
    )


async def follow(agent: Agent, heard: Heard) -> Discovery:
    await agent.start()
    followed = Discovery(parse_address(agent.host_port), parse_listing(SAVED))
    followed.start(heard)
    followed.subscribe()
    return followed


@pytest.mark.parametrize(
    "steps",
    [
        (falls_silent, says(LEAVING)),
        (says(NOTHING), falls_silent, says(LEAVING)),
        (says(NOTHING), falls_silent, falls_silent, says(LEAVING)),
        (says(NOTHING), begins, falls_silent, resets, falls_silent, says(LEAVING)),
        (resets, resets, resets, says(LEAVING)),
    ],
    ids=["at first", "at once", "also on the retry", "in half an answer", "resets"],
)
def test_a_watch_that_breaks_is_opened_until_it_answers(
    monkeypatch: pytest.MonkeyPatch, steps: tuple[Step, ...]
) -> None:
    for name, value in (("CALL_TIMEOUT", 0.02), ("WATCH_MS", 1), ("AGAIN_S", 0.001)):
        monkeypatch.setattr(module, name, value)

    async def test() -> None:
        agent, heard = Agent(*steps), Heard()
        followed = await follow(agent, heard)
        await until(drained(heard))
        assert heard.kinds.count(ListKind.FAILED) <= 1  # told once, not at each try
        followed.stop()
        agent.stop()

    run(test())


@pytest.mark.parametrize("how", [resets, begins])
def test_a_watch_that_is_reset_is_opened_anew_without_a_pause(
    monkeypatch: pytest.MonkeyPatch, how: Step
) -> None:
    # What the agent has counts as told whether or not a watch is open: here a drain, told in the same moment.
    async def test() -> None:
        async def later(writer: Writer) -> None:
            monkeypatch.setattr(module, "AGAIN_S", -1.0)  # however short the watch was
            await how(writer)
            writer.transport.abort()

        agent, heard = Agent(says(NOTHING), later, says(LEAVING)), Heard()
        followed = await follow(agent, heard)
        await until(drained(heard))
        assert ListKind.FAILED not in heard.kinds
        followed.stop()
        agent.stop()

    run(test())


def test_an_agent_that_answers_once_and_breaks_is_not_asked_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "AGAIN_S", PATIENCE)

    async def test() -> None:
        agent, heard = Agent(says(NOTHING), resets, says(NOTHING), resets), Heard()
        followed = await follow(agent, heard)
        await until(lambda: agent.closed == 1)
        for _ in range(100):
            await asyncio.sleep(0)
        assert agent.connections == 1
        followed.stop()
        agent.stop()

    run(test())


def test_an_answer_on_its_way_when_the_list_moves_is_not_taken() -> None:
    # The old place may know less than what has been heard since.
    async def test() -> None:
        new = Agent(says(answer_json(listing(9, member("c", "127.0.0.1:4001")))))
        await new.start()
        async with following(NOTHING) as (old, followed, heard):
            await until(lambda: len(old.got) == 2)
            old.writers[0].write(LEAVING)
            await asyncio.sleep(0)  # it is in the kernel, and perhaps read by now
            followed.move((parse_address(new.host_port),))
            await until(lambda: set(heard.addresses) == {"c"})
            assert [u.kind for u in heard.updates][-1] is ListKind.WHOLE
            count = len(heard.updates)
            await until(lambda: old.closed == 1)
            assert len(heard.updates) == count
        new.stop()

    run(test())
