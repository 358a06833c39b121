"""Runs a plan on loopback: starts all servers, sends requests, injects faults and stops everything."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from mastturn.lab.outcome import QUANTILES
from mastturn.standins.agent import Agent
from mastturn.standins.balancers import Balancer, settings
from mastturn.standins.clients import Clients
from mastturn.standins.plan import Plan
from mastturn.standins.upstream import Upstream

FRONT_SHARE, KITCHEN_SHARE = 0.5, 0.5  # share of a request's work at each tier
DRAIN_S = 0.6  # from phase "leaving" in the list to the stop of a process in a release
PROGRESS_INTERVAL_S = 1.0

PrintLine = Callable[[str], None]


class Play:
    """A run with two tiers, their server lists and their balancers."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan, self._folder = plan, folder
        kinds = {request_class.name: request_class for request_class in plan.classes}
        self._kitchen = [
            Upstream(f"kitchen-{i}", kinds, plan.cores, KITCHEN_SHARE) for i in range(plan.kitchen_upstreams)
        ]
        self._front = [
            Upstream(f"front-{i}", kinds, plan.cores, FRONT_SHARE) for i in range(plan.front_upstreams)
        ]
        self._agents: list[Agent] = []
        self._balancers: list[Balancer] = []  # of the front tier
        self._exit_stack = AsyncExitStack()
        self._print_line: PrintLine = lambda text: None

    async def run(self, print_line: PrintLine) -> dict[str, Any]:
        """Play it, with a line a second; Ctrl-C ends it early, and clean. Returns what came of it."""
        self._print_line = print_line
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            with contextlib.suppress(NotImplementedError, RuntimeError):
                loop.add_signal_handler(number, stop.set)
        async with self._exit_stack:
            await self._start()
            clients = Clients(self._plan, [b.address for b in self._balancers])
            side_tasks = [
                asyncio.create_task(self._run_troubles(stop)),
                asyncio.create_task(self._print_progress(clients)),
            ]
            try:
                await clients.play(stop)
            finally:
                for task in side_tasks:
                    task.cancel()
                results = await asyncio.gather(*side_tasks, return_exceptions=True)
            for outcome in results:
                if isinstance(outcome, Exception):
                    raise outcome
        return self._result(clients, stop.is_set())

    async def _start(self) -> None:
        for upstreams in (self._front, self._kitchen):
            for upstream in upstreams:
                await upstream.start()
                self._exit_stack.push_async_callback(upstream.stop)
            agent = Agent(upstreams)
            await agent.start()
            self._exit_stack.push_async_callback(agent.stop)
            self._agents.append(agent)
        inner = [
            self._balancer(f"kitchen-balancer-{i}", 1, len(self._front)) for i in range(len(self._front))
        ]
        self._balancers = [
            self._balancer(f"front-balancer-{i}", 0, self._plan.balancers)
            for i in range(self._plan.balancers)
        ]
        started = (*inner, *self._balancers)
        self._exit_stack.push_async_callback(_stop_all, started)
        await asyncio.gather(*(balancer.start() for balancer in started))
        for upstream, balancer in zip(self._front, inner, strict=True):
            upstream.next_tier = balancer.address

    def _balancer(self, name: str, tier: int, count: int) -> Balancer:
        agent = self._agents[tier]
        return Balancer(
            name, agent.address, agent.build_listing(), settings(self._plan, tier, count), self._folder
        )

    async def _print_progress(self, clients: Clients) -> None:
        before, second = clients.outcomes.copy(), 0
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            second += 1
            recent = clients.outcomes - before
            before = clients.outcomes.copy()
            p99 = clients.latencies.get_value_at_percentile(99) / 1000
            counts = "  ".join(
                f"{outcome} {recent[outcome]:4d}" for outcome in ("served", "refused", "failed", "lost")
            )
            self._print_line(f"{second:4d} s  {counts}  open {clients.in_flight:3d}  p99 {p99:6.1f} ms")

    async def _run_troubles(self, stop: asyncio.Event) -> None:
        plan, begin = self._plan, time.monotonic()
        troubles = [
            (at, apply)
            for at, apply in (
                (plan.release_at_s, self._release),
                (plan.silent_at_s, self._silence_upstream),
                (plan.kill_balancer_at_s, self._kill_balancer),
            )
            if at is not None
        ]
        for at, apply in sorted(troubles, key=lambda item: item[0]):
            await asyncio.sleep(max(begin + at - time.monotonic(), 0.0))
            await apply()

    async def _release(self) -> None:
        self._print_line("        a release: each front upstream drains, stops and restarts")
        for upstream in self._front:
            upstream.draining = True
            await self._agents[0].notify_change()
            await asyncio.sleep(DRAIN_S)
            await upstream.restart()
            await self._agents[0].notify_change()

    async def _silence_upstream(self) -> None:
        self._print_line(f"        {self._kitchen[0].name} stops answering")
        self._kitchen[0].silent = True

    async def _kill_balancer(self) -> None:
        self._print_line(f"        {self._balancers[0].name} is killed and restarted")
        await self._balancers[0].kill()
        await self._balancers[0].start()

    def _result(self, clients: Clients, is_interrupted: bool) -> dict[str, Any]:
        repeated = 0
        for upstreams in (self._front, self._kitchen):
            executions = Counter(number for u in upstreams for number in u.non_repeatable_ids)
            repeated += sum(count - 1 for count in executions.values())
        return {
            "asked": clients.request_count,
            **{outcome: clients.outcomes[outcome] for outcome in ("served", "refused", "failed", "lost")},
            "ended_early": is_interrupted,
            "ran_twice": repeated,
            "by_class": {name: dict(counts) for name, counts in clients.by_class.items()},
            "latency_ms": {f"p{q:g}": clients.latencies.get_value_at_percentile(q) / 1000 for q in QUANTILES},
        }


async def _stop_all(balancers: tuple[Balancer, ...]) -> None:
    await asyncio.gather(*(balancer.stop() for balancer in balancers))


def play(plan: Plan, print_line: PrintLine) -> dict[str, Any]:
    """Run a plan on loopback and return the result; raises LabError if a balancer does not start."""
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder:
        return asyncio.run(Play(plan, Path(folder)).run(print_line))
