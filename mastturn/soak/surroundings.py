"""What stands around the fleet in a soak: upstreams that come and go, and the platform's list of them."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from mastturn.smallfleet.layout import ZONES, Layout
from mastturn.soak.platform import Platform, Trouble
from mastturn.soak.records import Delisted, Records
from mastturn.soak.upstream import Handles, Upstream

DRAIN_S = 2.0  # an upstream that leaves is shown as draining so long
SERVES_ON_S = 8.0  # and answers so long after it is off the list
CRASH_S = 0.4  # a crashed one is back after this
UNLISTED_S = 1.0  # a new one is listed so long after it listens
SMALLEST = 4  # upstreams that stay


class Surroundings:
    """Upstreams on the layout's addresses; the last of them are free for those that come later."""

    def __init__(self, layout: Layout, count: int, seed: int, records: Records, answers: str = "") -> None:
        """`answers`: of the faults of answers, those whose names hold this."""
        self._answers = answers
        self._seed, self._records, self._count = seed, records, 0
        self._places = list(layout.upstreams)
        self._handles = Handles({}, Counter())
        self.listed: list[Upstream] = []
        self._leaving: list[Upstream] = []
        self.platform = Platform(layout.platform, lambda: self.listed)
        self._first = count
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen; raises OSError."""
        for number in range(self._first):
            upstream = self._new(self._places.pop(0), "prefill" if number % 2 else "decode")
            await upstream.start()
            self.listed.append(upstream)
        await self.platform.start()

    def stop(self) -> None:
        """End all."""
        for task in self._tasks:
            task.cancel()
        self.platform.stop()
        for upstream in (*self.listed, *self._leaving):
            upstream.crash()

    def _new(self, address: str, phase: str) -> Upstream:
        self._count += 1
        zone = ZONES[self._count % len(ZONES)]
        name = f"u{self._count}"
        upstream = Upstream(
            name, address, zone, phase, self._seed, self._records, self._handles, self._answers
        )
        upstream.on_death = self._died
        return upstream

    def _begin(self, work: asyncio.Task[None]) -> None:
        self._tasks.add(work)
        work.add_done_callback(self._tasks.discard)

    def _standing(self) -> list[Upstream]:
        """Those that neither leave nor have crashed."""
        return [u for u in self.listed if u.state == "up" and u.is_running]

    # ---- troubles

    async def crash(self, dice: random.Random) -> None:
        """One ends without a word and is back at its address, as a new incarnation or at another's."""
        standing = self._standing()
        if not standing:
            return
        old = dice.choice(standing)
        old.crash()
        await self._replace(old)

    def _died(self, upstream: Upstream) -> None:
        """One that leaves is missed by nobody; another comes for any other."""
        if upstream in self.listed and upstream.state == "up":
            self._begin(asyncio.create_task(self._replace(upstream)))
        else:
            span = self._records.begin("crash", upstream.name, time.monotonic())
            span.end = span.begin

    async def _replace(self, old: Upstream) -> None:
        """Another comes at the address of one that has crashed."""
        span = self._records.begin("crash", old.name, time.monotonic())
        await asyncio.sleep(CRASH_S)
        new = self._new(old.address, old.phase)
        await new.start()
        self.listed = [u for u in self.listed if u is not old] + [new]
        span.end = time.monotonic()

    async def leave(self, dice: random.Random) -> None:
        """One drains, is off the list and serves on for a while; another comes in its place."""
        standing = self._standing()
        if len(standing) <= SMALLEST or not self._places:
            return
        old = dice.choice(standing)
        old.state = "draining"
        self._records.delisted.append(Delisted(old.name, time.monotonic()))
        new = self._new(self._places.pop(0), old.phase)
        await new.start()
        await asyncio.sleep(UNLISTED_S)
        self.listed.append(new)
        await asyncio.sleep(DRAIN_S - UNLISTED_S)
        self.listed = [u for u in self.listed if u is not old]
        self._leaving.append(old)
        self._begin(asyncio.create_task(self._end(old)))

    async def _end(self, upstream: Upstream) -> None:
        await asyncio.sleep(SERVES_ON_S)
        upstream.crash()
        self._leaving.remove(upstream)
        self._places.append(upstream.address)

    async def trouble_list(self, trouble: Trouble, seconds: float) -> None:
        """The platform's list has a trouble for so long."""
        span = self._records.begin("list", trouble.value, time.monotonic())
        self.platform.trouble = trouble
        await asyncio.sleep(seconds)
        self.platform.trouble = Trouble.NONE
        span.end = time.monotonic()
