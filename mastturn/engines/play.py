"""One day of a deployment, played in simulated time."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from unittest import mock

from loguru import logger

import barograph.mover
from barograph.orders import Unclear
from mastturn.engines import troubles
from mastturn.engines.clock import SimulatedLoop
from mastturn.engines.demand import draw
from mastturn.engines.fleet import LIST_S, Fleet
from mastturn.engines.judge import Outcome, judge
from mastturn.engines.sheet import Day, Sheet
from screen.configuration import Upstream
from windvane.tiers import Tiers

LEAD_S = 3.0  # long enough for lists, counts and measures to settle
SETTLE_S = 10.0  # after the last request


async def _no_fleet(upstream: Upstream, phase: str, owner: str, fence: int) -> Unclear:
    return Unclear("no fleet is there yet")


async def _play(sheet: Sheet, day: Day, seed: int, tiers: Callable[..., Tiers]) -> Outcome:
    loop = asyncio.get_running_loop()
    asked = draw(sheet, day, seed)
    fleet = Fleet(sheet, seed, tiers)
    barograph.mover.change_phase = fleet.order
    await asyncio.sleep(LEAD_S)
    begin = loop.time()
    for request in asked:
        loop.call_at(begin + request.at, fleet.ask, request)
    troubles.arrange(fleet, day, seed, begin)
    await asyncio.sleep(sheet.length(day) + SETTLE_S)
    handshakes = sum(n.all_handshakes() for n in fleet.nodes)
    early = (sheet.lead_s - LEAD_S) / LIST_S  # calls of the list before our clock begins
    calls = fleet.platform.calls + round(early)
    return judge(sheet, sheet.length(day), fleet.records, fleet.figures, handshakes, calls)


def play(sheet: Sheet, day: Day, seed: int, tiers: Callable[..., Tiers] = Tiers) -> Outcome:
    """Play a day; `faults` of the outcome holds what was raised in it."""
    began = time.process_time()
    loop = SimulatedLoop()
    state = random.getstate()
    logger.disable("windvane")
    logger.disable("barograph")
    try:
        with (
            mock.patch("time.monotonic", loop.time),
            mock.patch("barograph.mover.change_phase", _no_fleet),
        ):
            outcome = loop.run_until_complete(_play(sheet, day, seed, tiers))
    finally:
        logger.enable("windvane")
        logger.enable("barograph")
        random.setstate(state)
        loop.close()
    outcome.faults = list(loop.faults)
    outcome.seconds = time.process_time() - began
    return outcome
