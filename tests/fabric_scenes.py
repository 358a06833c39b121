"""Common beginnings and checks of the scenarios on a simulated fleet."""

from __future__ import annotations

from tests.fabric_callers import configuration, upstream
from tests.fabric_world import World

ACK_S = 4.0  # a valid change is acknowledged within this
APPLY_S = 2.0  # and takes effect at all balancers within this


async def start_fleet(world: World, ver: int = 5) -> None:
    """Wait until the fleet serves a first configuration; the transcript begins after that."""
    world.transcript.is_quiet = True
    world.platform.entries = [upstream("i-1"), upstream("i-2")]
    await world.wait_served()
    ended = await world.operator().put(configuration(ver), 0)
    assert ended.status == 200
    await world.wait(3.0)
    world.transcript.is_quiet = False


async def wait_in_force(world: World, ver: int, within_s: float = APPLY_S) -> None:
    """Wait until all running balancers have this version."""
    planes = [m.plane for m in world.edges() if world.running(m)]
    await world.wait_until(lambda: all(p.ver == ver for p in planes), within_s, f"version {ver} everywhere")
