"""One day of a deployment, played in simulated time."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from unittest import mock

from loguru import logger

from balancer.tiers import Tiers
from config.configuration import Upstream
from control.orders import Outcome, Unclear
from mastturn.engines import faults
from mastturn.engines.clock import SimulatedLoop
from mastturn.engines.control import LIST_S
from mastturn.engines.demand import draw
from mastturn.engines.deployment import Day, Sheet
from mastturn.engines.fleet import Fleet
from mastturn.engines.scoring import Worth, judge

LEAD_S = 3.0  # long enough for lists, counts and measures to settle
SETTLE_S = 10.0  # after the last request


class _Orders:
    """Stands in for `control.orders.change_phase` once a fleet is there."""

    def __init__(self) -> None:
        self.fleet: Fleet | None = None

    async def give(self, upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        """Order an engine to play another part."""
        return await self.fleet.order(upstream, phase) if self.fleet is not None else Unclear("no fleet")


async def _play(sheet: Sheet, day: Day, seed: int, tiers: Callable[..., Tiers], orders: _Orders) -> Worth:
    loop = asyncio.get_running_loop()
    asked = draw(sheet, day, seed)
    fleet = Fleet(sheet, seed, tiers)
    orders.fleet = fleet
    await asyncio.sleep(LEAD_S)
    begin = loop.time()
    for request in asked:
        loop.call_at(begin + request.at, fleet.ask, request)
    faults.arrange(fleet, day, seed, begin)
    await asyncio.sleep(sheet.length(day) + SETTLE_S)
    handshakes = sum(n.all_handshakes() for n in fleet.nodes)
    early = (sheet.lead_s - LEAD_S) / LIST_S  # calls of the list before our clock begins
    calls = fleet.platform.calls + round(early)
    return judge(sheet, sheet.length(day), fleet.records, fleet.figures, handshakes, calls)


def play(sheet: Sheet, day: Day, seed: int, tiers: Callable[..., Tiers] = Tiers) -> Worth:
    """Play a day; `faults` of the outcome holds what was raised in it."""
    began = time.process_time()
    loop = SimulatedLoop()
    state = random.getstate()
    orders = _Orders()
    logger.disable("balancer")
    logger.disable("consensus")
    logger.disable("control")
    try:
        with (
            mock.patch("time.monotonic", loop.time),
            mock.patch("control.phase_controller.change_phase", orders.give),
        ):
            outcome = loop.run_until_complete(_play(sheet, day, seed, tiers, orders))
    finally:
        logger.enable("balancer")
        logger.enable("consensus")
        logger.enable("control")
        random.setstate(state)
        loop.close()
    outcome.faults = list(loop.faults)
    outcome.seconds = time.process_time() - began
    return outcome
