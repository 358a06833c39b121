"""The environment of the fleet in a soak: upstreams that join and leave, and the platform's list of them."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from mastturn.smallfleet.layout import ZONES, Layout
from mastturn.soak.platform import ListFault, Platform
from mastturn.soak.records import Delisted, Records
from mastturn.soak.upstream import Handles, Upstream

DRAIN_S = 2.0  # for how long a leaving upstream is listed as draining
SERVE_AFTER_REMOVAL_S = 8.0  # for how long it still serves after its removal from the list
REPLACE_DELAY_S = 0.4  # until a crashed upstream is replaced
LISTING_DELAY_S = 1.0  # from the start of a new upstream to its listing
MIN_UPSTREAMS = 4  # no upstream leaves while only this many are healthy


class Environment:
    """Upstreams on the layout's addresses, some of which are spare for upstreams started later."""

    def __init__(
        self, layout: Layout, count: int, seed: int, records: Records, fault_filter: str = ""
    ) -> None:
        """`fault_filter`: limits the response faults to those whose names contain this."""
        self._fault_filter = fault_filter
        self._seed, self._records, self._count = seed, records, 0
        self._free_addresses = list(layout.upstreams)
        self._handles = Handles({}, Counter())
        self.listed: list[Upstream] = []
        self._leaving: list[Upstream] = []
        self.platform = Platform(layout.platform, lambda: self.listed)
        self._initial_count = count
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start the upstreams and the list; raises OSError."""
        for number in range(self._initial_count):
            upstream = self._create(self._free_addresses.pop(0), "prefill" if number % 2 else "decode")
            await upstream.start()
            self.listed.append(upstream)
        await self.platform.start()

    def stop(self) -> None:
        """Stop all of them."""
        for task in self._tasks:
            task.cancel()
        self.platform.stop()
        for upstream in (*self.listed, *self._leaving):
            upstream.crash()

    def _create(self, address: str, phase: str) -> Upstream:
        self._count += 1
        zone = ZONES[self._count % len(ZONES)]
        name = f"u{self._count}"
        upstream = Upstream(
            name, address, zone, phase, self._seed, self._records, self._handles, self._fault_filter
        )
        upstream.on_death = self._on_upstream_death
        return upstream

    def _start_task(self, work: asyncio.Task[None]) -> None:
        self._tasks.add(work)
        work.add_done_callback(self._tasks.discard)

    def _healthy_upstreams(self) -> list[Upstream]:
        """Return the upstreams that are neither leaving nor crashed."""
        return [u for u in self.listed if u.state == "up" and u.is_running]

    # ---- faults

    async def crash(self, rng: random.Random) -> None:
        """Crash an upstream and start a replacement at its address."""
        healthy = self._healthy_upstreams()
        if not healthy:
            return
        old = rng.choice(healthy)
        old.crash()
        await self._replace(old)

    def _on_upstream_death(self, upstream: Upstream) -> None:
        """Replace an upstream that has died, unless it was leaving."""
        if upstream in self.listed and upstream.state == "up":
            self._start_task(asyncio.create_task(self._replace(upstream)))
        else:
            span = self._records.begin("crash", upstream.name, time.monotonic())
            span.end = span.begin

    async def _replace(self, old: Upstream) -> None:
        """Start a replacement at the address of a crashed upstream."""
        span = self._records.begin("crash", old.name, time.monotonic())
        await asyncio.sleep(REPLACE_DELAY_S)
        new = self._create(old.address, old.phase)
        await new.start()
        self.listed = [u for u in self.listed if u is not old] + [new]
        span.end = time.monotonic()

    async def leave(self, rng: random.Random) -> None:
        """Drain an upstream, remove it from the list after a while, and start another in its place."""
        healthy = self._healthy_upstreams()
        if len(healthy) <= MIN_UPSTREAMS or not self._free_addresses:
            return
        old = rng.choice(healthy)
        old.state = "draining"
        self._records.delisted.append(Delisted(old.name, time.monotonic()))
        new = self._create(self._free_addresses.pop(0), old.phase)
        await new.start()
        await asyncio.sleep(LISTING_DELAY_S)
        self.listed.append(new)
        await asyncio.sleep(DRAIN_S - LISTING_DELAY_S)
        self.listed = [u for u in self.listed if u is not old]
        self._leaving.append(old)
        self._start_task(asyncio.create_task(self._retire(old)))

    async def _retire(self, upstream: Upstream) -> None:
        await asyncio.sleep(SERVE_AFTER_REMOVAL_S)
        upstream.crash()
        self._leaving.remove(upstream)
        self._free_addresses.append(upstream.address)

    async def inject_list_fault(self, fault: ListFault, seconds: float) -> None:
        """Give the platform's list a fault for `seconds`."""
        span = self._records.begin("list", fault.value, time.monotonic())
        self.platform.fault = fault
        await asyncio.sleep(seconds)
        self.platform.fault = ListFault.NONE
        span.end = time.monotonic()
