"""Runs one day of a deployment in simulated time."""

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
from mastturn.engines import troubles
from mastturn.engines.clock import SimulatedLoop
from mastturn.engines.control import LIST_INTERVAL_S
from mastturn.engines.demand import draw
from mastturn.engines.deployment import Day, Deployment
from mastturn.engines.fleet import Fleet
from mastturn.engines.judge import DayScore, score_day

WARM_UP_S = 3.0  # warm-up: long enough for lists, counts and load measurements to settle
SETTLE_S = 10.0  # simulated time after the end of traffic


class _PhaseOrders:
    """Replacement of `control.orders.change_phase`; usable once `fleet` is set."""

    def __init__(self) -> None:
        self.fleet: Fleet | None = None

    async def change_phase(self, upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        """Order an engine to change its phase."""
        return await self.fleet.order(upstream, phase) if self.fleet is not None else Unclear("no fleet")


async def _run_day(
    deployment: Deployment, day: Day, seed: int, tiers: Callable[..., Tiers], orders: _PhaseOrders
) -> DayScore:
    loop = asyncio.get_running_loop()
    requests = draw(deployment, day, seed)
    fleet = Fleet(deployment, seed, tiers)
    orders.fleet = fleet
    await asyncio.sleep(WARM_UP_S)
    begin = loop.time()
    for request in requests:
        loop.call_at(begin + request.at, fleet.submit, request)
    troubles.schedule(fleet, day, seed, begin)
    await asyncio.sleep(deployment.length(day) + SETTLE_S)
    handshakes = sum(n.all_handshakes() for n in fleet.nodes)
    earlier_calls = (
        deployment.lead_s - WARM_UP_S
    ) / LIST_INTERVAL_S  # calls of the list in the bench's longer lead
    calls = fleet.platform.calls + round(earlier_calls)
    return score_day(deployment, deployment.length(day), fleet.records, fleet.counters, handshakes, calls)


def play(deployment: Deployment, day: Day, seed: int, tiers: Callable[..., Tiers] = Tiers) -> DayScore:
    """Simulate a day and score it; `faults` of the score lists exceptions raised in callbacks."""
    cpu_start = time.process_time()
    loop = SimulatedLoop()
    state = random.getstate()
    orders = _PhaseOrders()
    logger.disable("balancer")
    logger.disable("consensus")
    logger.disable("control")
    try:
        with (
            mock.patch("time.monotonic", loop.time),
            mock.patch("control.phase_controller.change_phase", orders.change_phase),
        ):
            score = loop.run_until_complete(_run_day(deployment, day, seed, tiers, orders))
    finally:
        logger.enable("balancer")
        logger.enable("consensus")
        logger.enable("control")
        random.setstate(state)
        loop.close()
    score.faults = list(loop.faults)
    score.seconds = time.process_time() - cpu_start
    return score
