"""Rare orders of events on the list: watches that lose their connection, break, or are moved."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from passpost import discovery as module
from passpost.discovery import Discovery, parse_address, parse_listing
from tests.loopback import (
    TEST_TIMEOUT_S,
    FakeServer,
    ReceivedRequest,
    Writer,
    answer_json,
    listing,
    member,
    run,
    until,
)
from tests.test_discovery import SAVED, RecordedUpdates, following
from umberworks.interface import ListKind, Readiness

Step = Callable[[Writer], Awaitable[None]]
LEAVING = answer_json(listing(2, member("a", "127.0.0.1:1001", "leaving"), complete=False))
NOTHING = answer_json(listing(1, complete=False))


def responds(data: bytes) -> Step:
    async def step(writer: Writer) -> None:
        writer.write(data)

    return step


async def ignores(writer: Writer) -> None:
    """Neither this request nor a later one on the connection is answered."""


async def resets(writer: Writer) -> None:
    writer.transport.abort()


async def sends_half(writer: Writer) -> None:
    writer.write(LEAVING[: len(LEAVING) // 2])


class Agent(FakeServer):
    """Performs one step per call, on whichever connection; after the last step it is silent."""

    def __init__(self, *steps: Step) -> None:
        super().__init__(self._step)
        self.steps = list(steps)

    async def _step(self, request: ReceivedRequest, writer: Writer) -> None:
        if self.steps:
            await self.steps.pop(0)(writer)


def has_drained(recorded: RecordedUpdates) -> Callable[[], bool]:
    return lambda: (
        recorded.updates[-1].members[-1:] != ()
        and (recorded.updates[-1].members[-1].readiness is Readiness.DRAINING)
    )


async def follow(agent: Agent, recorded: RecordedUpdates) -> Discovery:
    await agent.start()
    discovery = Discovery(parse_address(agent.host_port), parse_listing(SAVED))
    discovery.start(recorded)
    discovery.subscribe()
    return discovery


@pytest.mark.parametrize(
    "steps",
    [
        (ignores, responds(LEAVING)),
        (responds(NOTHING), ignores, responds(LEAVING)),
        (responds(NOTHING), ignores, ignores, responds(LEAVING)),
        (responds(NOTHING), sends_half, ignores, resets, ignores, responds(LEAVING)),
        (resets, resets, resets, responds(LEAVING)),
    ],
    ids=["at first", "at once", "also on the retry", "in half an answer", "resets"],
)
def test_a_watch_that_breaks_is_opened_until_it_answers(
    monkeypatch: pytest.MonkeyPatch, steps: tuple[Step, ...]
) -> None:
    for name, value in (("CALL_TIMEOUT_S", 0.02), ("WATCH_WAIT_MS", 1), ("RETRY_DELAY_S", 0.001)):
        monkeypatch.setattr(module, name, value)

    async def test() -> None:
        agent, recorded = Agent(*steps), RecordedUpdates()
        discovery = await follow(agent, recorded)
        await until(has_drained(recorded))
        assert recorded.kinds.count(ListKind.FAILED) <= 1  # reported once, not at each retry
        discovery.stop()
        agent.stop()

    run(test())


@pytest.mark.parametrize("break_watch", [resets, sends_half])
def test_a_watch_that_is_reset_is_opened_anew_without_a_pause(
    monkeypatch: pytest.MonkeyPatch, break_watch: Step
) -> None:
    # The agent counts updates as delivered whether or not a watch is open: here a drain at that moment.
    async def test() -> None:
        async def break_later(writer: Writer) -> None:
            monkeypatch.setattr(module, "RETRY_DELAY_S", -1.0)  # however short the watch was
            await break_watch(writer)
            writer.transport.abort()

        agent, recorded = Agent(responds(NOTHING), break_later, responds(LEAVING)), RecordedUpdates()
        discovery = await follow(agent, recorded)
        await until(has_drained(recorded))
        assert ListKind.FAILED not in recorded.kinds
        discovery.stop()
        agent.stop()

    run(test())


def test_an_agent_that_answers_once_and_breaks_is_not_asked_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "RETRY_DELAY_S", TEST_TIMEOUT_S)

    async def test() -> None:
        agent, recorded = Agent(responds(NOTHING), resets, responds(NOTHING), resets), RecordedUpdates()
        discovery = await follow(agent, recorded)
        await until(lambda: agent.closed == 1)
        for _ in range(100):
            await asyncio.sleep(0)
        assert agent.connections == 1
        discovery.stop()
        agent.stop()

    run(test())


def test_an_answer_on_its_way_when_the_list_moves_is_not_taken() -> None:
    # The old address may have an older list than the one received since.
    async def test() -> None:
        new = Agent(responds(answer_json(listing(9, member("c", "127.0.0.1:4001")))))
        await new.start()
        async with following(NOTHING) as (old, discovery, recorded):
            await until(lambda: len(old.got) == 2)
            old.writers[0].write(LEAVING)
            await asyncio.sleep(0)  # it is in the kernel, and possibly read by now
            discovery.change_addresses((parse_address(new.host_port),))
            await until(lambda: set(recorded.addresses) == {"c"})
            assert [u.kind for u in recorded.updates][-1] is ListKind.WHOLE
            count = len(recorded.updates)
            await until(lambda: old.closed == 1)
            assert len(recorded.updates) == count
        new.stop()

    run(test())
