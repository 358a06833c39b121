"""Losses at a size: the primary, a zone, a region for a while; who hears nothing, and the storm after."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from dataclasses import asdict
from typing import Any

from mastturn.capacity.days import Day, Figures, Meter
from mastturn.capacity.fleet import Fleet, Machine, play
from mastturn.capacity.shapes import Shape

FRESH_S = 0.9  # news older than this count as none, as `dissemination.follower` has it
LOOK_S = 0.02
ZONE_AWAY_S = 10.0
WITHIN_S = 60.0


def _epoch(fleet: Fleet) -> int:
    """The newest that any control process has heard of: more with each election and each new member."""
    views = [m.role._replica.acceptor.latest_view for m in fleet.cores.values() if m.role is not None]
    return max(int(view.epoch) for view in views if view is not None)


class Troubles:
    """Three losses, one after the other, on a fleet without traffic; a fourth where regions are cut."""

    def __init__(self, shape: Shape, apart_s: float, watch_s: float, brief: bool) -> None:
        """`apart_s`: how long a region is cut off; its balancers go on by themselves meanwhile.

        `watch_s`: how long newer views are counted after the primary's loss. `brief`: no more is lost.
        """
        self._shape, self._apart_s, self._watch_s, self._brief = shape, apart_s, watch_s, brief
        self.figures: Figures = {"shape": asdict(shape), "apart_s": apart_s}

    async def __call__(self, fleet: Fleet) -> None:
        """All of them."""
        day = Day(self._shape, 1.0, 1)
        await day.boot(fleet)
        gc.collect()
        gc.freeze()
        self.figures["boot"] = day.figures["phases"]["boot"]
        self.figures["primary"] = await self._primary(fleet)
        if self._brief:
            return
        self.figures["zone"] = await self._zone(fleet)
        self.figures["region"] = await self._region(fleet)

    async def _over(self, fleet: Fleet, since: float, meter: Meter, balancers: list[Machine]) -> Figures:
        """How long nobody led, and until all of these hear news again; what that cost."""
        led = heard = None
        silent: dict[str, float] = {}
        while heard is None and fleet.loop.time() - since < WITHIN_S:
            await asyncio.sleep(LOOK_S)
            now = fleet.loop.time()
            if led is None and fleet.has_primary():
                led = now - since
            fresh = [m for m in balancers if self._is_fresh(fleet, m)]
            for machine in balancers:
                if machine not in fresh:
                    silent[machine.program.name] = now - since
            if led is not None and len(fresh) == len(balancers) and now - since > FRESH_S:
                heard = now - since
        return {
            "led_again_s": led,
            "all_hear_again_s": heard,
            "heard_nothing": len(silent),
            "heard_nothing_longest_s": max(silent.values(), default=0.0),
        } | meter.end()

    def _is_fresh(self, fleet: Fleet, machine: Machine) -> bool:
        return fleet.loop.time() - fleet.follower(machine)._pulsed_at <= FRESH_S

    async def _primary(self, fleet: Fleet) -> Figures:
        """The primary's process is killed and starts again on an empty disk two seconds later."""
        machine = fleet.primary()
        number = list(fleet.cores).index(machine.program.name)
        meter, since = Meter(fleet), fleet.loop.time()
        machine.program.kill()
        fleet.loop.at(since + 2.0, fleet.boot_core, number)
        found = await self._over(fleet, since, meter, fleet.live())
        meter, epoch = Meter(fleet), _epoch(fleet)
        await asyncio.sleep(self._watch_s)
        found["after"] = {"newer_views": _epoch(fleet) - epoch} | meter.end()
        return found

    async def _zone(self, fleet: Fleet) -> Figures:
        """All machines of the primary's zone end at once, and are back after a while."""
        zone = fleet.primary().program.place[0]
        lost = [m for m in [*fleet.cores.values(), *fleet.live()] if m.program.place[0] == zone]
        edges = [list(fleet.edges).index(m.program.name) for m in lost if m.program.name in fleet.edges]
        cores = [list(fleet.cores).index(m.program.name) for m in lost if m.program.name in fleet.cores]
        meter, since = Meter(fleet), fleet.loop.time()
        for machine in lost:
            machine.program.kill()
        found = await self._over(fleet, since, meter, fleet.live())
        await asyncio.sleep(ZONE_AWAY_S)
        meter, since = Meter(fleet), fleet.loop.time()
        for number in cores:
            fleet.boot_core(number)
        back = [fleet.boot_edge(number) for number in edges]
        await fleet.until(
            lambda: all(m.role is not None and fleet.plane(m).is_ready() for m in back),
            WITHIN_S,
            "the zone is back",
        )
        found["back"] = {"ready_s": fleet.loop.time() - since, "balancers": len(back)} | meter.end()
        await asyncio.sleep(6.0)
        return found

    async def _region(self, fleet: Fleet) -> Figures:
        """A region that has few of the core, and not the primary, is cut off from the others for a while."""
        own = fleet.primary().program.place[1]
        cores = Counter(m.program.place[1] for m in fleet.cores.values())
        region = min({m.program.place[1] for m in fleet.live()} - {own}, key=lambda r: (cores[r], r))
        cut = [m for m in fleet.live() if m.program.place[1] == region]
        meter, since, calls = Meter(fleet), fleet.loop.time(), len(fleet.platform.calls)
        listed = {m.program.name: fleet.plane(m).lists for m in cut}
        fleet.platform.entries[5]["state"] = "draining"
        fleet.loop.network.apart = {region}
        fleet.loop.network.spared = {"platform"}
        await asyncio.sleep(self._apart_s)
        away: dict[str, Any] = {
            "balancers": len(cut),
            "list_calls": len(fleet.platform.calls) - calls,
            "learned_of_the_change": sum(fleet.plane(m).lists > listed[m.program.name] for m in cut),
            "heard_nothing": sum(not self._is_fresh(fleet, m) for m in cut),
        }
        away |= meter.end()
        meter, since = Meter(fleet), fleet.loop.time()
        fleet.loop.network.apart = set()
        return {"apart": away, "healed": await self._over(fleet, since, meter, fleet.live())}


def run_troubles(
    shape: Shape, apart_s: float, charge: float, mbps: float, watch_s: float = 6.0, brief: bool = False
) -> Figures:
    """Play them; their figures."""
    troubles = Troubles(shape, apart_s, watch_s, brief)
    fleet = play(shape, troubles, charge, mbps)
    return troubles.figures | {
        "charge": charge,
        "mbps": mbps,
        "list_calls_turned_away": fleet.platform.turned_away,
    }
