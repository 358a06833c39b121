"""Whether the platform's list gets through at all, by how many pages it has and how many calls are taken."""

from __future__ import annotations

import asyncio
from typing import Any

from mastturn.capacity.fleet import PAGE, Fleet, play
from mastturn.capacity.shapes import TARGET, Shape

SIZES = (1_000, 2_000, 2_400, 2_500, 2_600, 2_800)  # upstreams
WITHIN_S = 20.0


def one(upstreams: int, rate_per_s: float) -> dict[str, Any]:
    """A fleet of two balancers: when the first list is told (s; None: not within the time), and the calls."""
    told: dict[str, Any] = {"upstreams": upstreams, "pages": -(-upstreams // PAGE), "rate_per_s": rate_per_s}
    shape = Shape(balancers=2, upstreams=upstreams, zones=1, regions=1, cores=1, services=3, routes=3)

    async def day(fleet: Fleet) -> None:
        fleet.platform.rate_per_s = rate_per_s
        fleet.boot_core(0, first=True)
        await fleet.until(fleet.has_primary, 20.0, "a primary")
        await fleet.put(shape.routes)
        machine, since = fleet.boot_edge(0), fleet.loop.time()
        await asyncio.sleep(0.1)
        told["listed_s"] = None
        while fleet.loop.time() - since < WITHIN_S and told["listed_s"] is None:
            await asyncio.sleep(0.05)
            if fleet.plane(machine).lists:
                told["listed_s"] = round(fleet.loop.time() - since, 2)
        told["calls"], told["turned_away"] = len(fleet.platform.calls), fleet.platform.turned_away

    play(shape, day)
    return told


def measured() -> dict[str, Any]:
    """All sizes at the target's rate."""
    return {"lists": [one(size, TARGET.list_rate) for size in SIZES], "within_s": WITHIN_S}
