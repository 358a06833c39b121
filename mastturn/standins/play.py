"""One play: everything is started, asked, troubled and ended; nothing that was started is left."""

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

FRONT_SHARE, KITCHEN_SHARE = 0.5, 0.5  # of a request's work, at each tier
DRAIN_S = 0.6  # from "leaving" in the list to the end of a process in a release
LINE_S = 1.0

Line = Callable[[str], None]


class Play:
    """The two tiers, their lists and their balancers."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan, self._folder = plan, folder
        kinds = {kind.name: kind for kind in plan.classes}
        self._kitchen = [
            Upstream(f"kitchen-{i}", kinds, plan.cores, KITCHEN_SHARE) for i in range(plan.kitchen_upstreams)
        ]
        self._front = [
            Upstream(f"front-{i}", kinds, plan.cores, FRONT_SHARE) for i in range(plan.front_upstreams)
        ]
        self._agents: list[Agent] = []
        self._balancers: list[Balancer] = []  # of the front
        self._ending = AsyncExitStack()
        self._said: Line = lambda text: None

    async def run(self, say: Line) -> dict[str, Any]:
        """Play it, with a line a second; Ctrl-C ends it early, and clean. Returns what came of it."""
        self._said = say
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            with contextlib.suppress(NotImplementedError, RuntimeError):
                loop.add_signal_handler(number, stop.set)
        async with self._ending:
            await self._start()
            clients = Clients(self._plan, [b.address for b in self._balancers])
            side = [asyncio.create_task(self._trouble(stop)), asyncio.create_task(self._watch(clients))]
            try:
                await clients.play(stop)
            finally:
                for task in side:
                    task.cancel()
                ends = await asyncio.gather(*side, return_exceptions=True)
            for end in ends:
                if isinstance(end, Exception):
                    raise end
        return self._result(clients, stop.is_set())

    async def _start(self) -> None:
        for upstreams in (self._front, self._kitchen):
            for upstream in upstreams:
                await upstream.start()
                self._ending.push_async_callback(upstream.stop)
            agent = Agent(upstreams)
            await agent.start()
            self._ending.push_async_callback(agent.stop)
            self._agents.append(agent)
        inner = [
            self._balancer(f"kitchen-balancer-{i}", 1, len(self._front)) for i in range(len(self._front))
        ]
        self._balancers = [
            self._balancer(f"front-balancer-{i}", 0, self._plan.balancers)
            for i in range(self._plan.balancers)
        ]
        started = (*inner, *self._balancers)
        self._ending.push_async_callback(_stop_all, started)
        await asyncio.gather(*(balancer.start() for balancer in started))
        for upstream, balancer in zip(self._front, inner, strict=True):
            upstream.next_tier = balancer.address

    def _balancer(self, name: str, tier: int, count: int) -> Balancer:
        agent = self._agents[tier]
        return Balancer(name, agent.address, agent.listing(), settings(self._plan, tier, count), self._folder)

    async def _watch(self, clients: Clients) -> None:
        before, second = clients.ended.copy(), 0
        while True:
            await asyncio.sleep(LINE_S)
            second += 1
            new = clients.ended - before
            before = clients.ended.copy()
            p99 = clients.latencies.get_value_at_percentile(99) / 1000
            counts = "  ".join(f"{end} {new[end]:4d}" for end in ("served", "refused", "failed", "lost"))
            self._said(f"{second:4d} s  {counts}  open {clients.open:3d}  p99 {p99:6.1f} ms")

    async def _trouble(self, stop: asyncio.Event) -> None:
        plan, begin = self._plan, time.monotonic()
        troubles = [
            (at, what)
            for at, what in (
                (plan.release_at_s, self._release),
                (plan.silent_at_s, self._silence),
                (plan.kill_balancer_at_s, self._kill),
            )
            if at is not None
        ]
        for at, what in sorted(troubles, key=lambda item: item[0]):
            await asyncio.sleep(max(begin + at - time.monotonic(), 0.0))
            await what()

    async def _release(self) -> None:
        self._said("        a release: each front upstream drains, ends and comes back")
        for upstream in self._front:
            upstream.draining = True
            await self._agents[0].changed()
            await asyncio.sleep(DRAIN_S)
            await upstream.restart()
            await self._agents[0].changed()

    async def _silence(self) -> None:
        self._said(f"        {self._kitchen[0].name} falls silent")
        self._kitchen[0].silent = True

    async def _kill(self) -> None:
        self._said(f"        {self._balancers[0].name} is killed and started again")
        await self._balancers[0].kill()
        await self._balancers[0].start()

    def _result(self, clients: Clients, early: bool) -> dict[str, Any]:
        twice = 0
        for upstreams in (self._front, self._kitchen):
            begun = Counter(number for u in upstreams for number in u.begun_once_only)
            twice += sum(times - 1 for times in begun.values())
        return {
            "asked": clients.asked,
            **{end: clients.ended[end] for end in ("served", "refused", "failed", "lost")},
            "ended_early": early,
            "ran_twice": twice,
            "by_class": {name: dict(counts) for name, counts in clients.by_class.items()},
            "latency_ms": {f"p{q:g}": clients.latencies.get_value_at_percentile(q) / 1000 for q in QUANTILES},
        }


async def _stop_all(balancers: tuple[Balancer, ...]) -> None:
    await asyncio.gather(*(balancer.stop() for balancer in balancers))


def play(plan: Plan, say: Line) -> dict[str, Any]:
    """Play a plan on loopback; raises LabError if a balancer does not start."""
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder:
        return asyncio.run(Play(plan, Path(folder)).run(say))
