"""Complete exchanges of control processes, operators and balancers, compared with approved transcripts."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from tests.fabric_callers import ask, call, configuration, upstream
from tests.fabric_scenes import ACK_S, start_fleet, wait_in_force
from tests.fabric_world import CTL_PORT, Scenario, World, assert_approved, play


async def first_start(world: World) -> None:
    world.platform.entries = [upstream("i-1"), upstream("i-2")]
    await world.wait_served(2.0)
    ended = await world.operator().put(configuration(5), 0)
    assert ended.status == 200 and ended.tries == 1
    await wait_in_force(world, 5)
    assert all(m.plane.is_allowed for m in world.edges())


async def two_operators(world: World) -> None:
    await start_fleet(world)
    one = world.operator("one", "core-1", "core-2").put(configuration(6), 5)
    two = world.operator("two", "core-2", "core-3").put(configuration(8), 5)
    ends = await asyncio.gather(one, two)
    assert sorted(e.status for e in ends) == [200, 412]
    await wait_in_force(world, 6 if ends[0].status == 200 else 8)


async def resent(world: World) -> None:
    """The response is lost, and the same change is sent again to another process."""
    await start_fleet(world)
    operator = world.operator("operator", "core-1", "core-2", "core-3")
    order = asyncio.create_task(operator.put(configuration(6), 5))
    await world.wait(0.0015)
    world.network.cut([world.machines["core-1"].ip], ["10.99.0.1"], both_ways=False)
    world.note("the operator's link from core-1 is cut")
    await world.wait(1.1)
    world.heal()
    ended = await order
    assert ended.status == 200 and ended.tries == 2
    assert (await operator.put(configuration(6), 5)).status == 200
    assert (await operator.put(configuration(6, routes=[]), 5)).status == 412
    assert (await operator.put(configuration(6, routes=[]), 6)).status == 400
    assert (await operator.put(configuration(4), 6)).status == 400
    read = await operator.get()
    assert read.body == configuration(6)


async def stale_and_invalid(world: World) -> None:
    await start_fleet(world)
    operator = world.operator("operator", "core-2")
    bad = configuration(
        7, routes=[{"name": "r", "host": "h", "path_prefix": "/", "deadline_ms": 0, "svc": "x"}]
    )
    assert (await operator.put(bad, 3)).status in (400, 412)
    assert (await operator.put(bad, 5)).status == 400
    assert (await operator.put(b"{", 5)).status == 400
    assert (await operator.put(configuration(7), 3)).status == 412
    assert (await operator.put(configuration(7), 5)).status == 200


async def write_while(world: World, trouble: str) -> None:
    """The primary fails in some way during a write."""
    await start_fleet(world)
    primary = world.primary()
    others = [m.name for m in world.cores() if m.name != primary]
    everybody_else = [m.name for m in world.machines.values() if m.name != primary]
    order = asyncio.create_task(world.operator("operator", primary, *others).put(configuration(6), 5))
    await world.wait(0.0025)
    match trouble:
        case "kill":
            world.kill(primary)
        case "power":
            world.power_off(primary)
        case "freeze":
            world.freeze(primary)
        case "cut":
            world.cut([primary], everybody_else)
        case "cut-out":
            world.cut([primary], everybody_else, both_ways=False)
        case "cut-in":
            world.cut(everybody_else, [primary], both_ways=False)
    since = world.now()
    ended = await order
    assert ended.status == 200
    assert ended.at * 1000 - world.began * 1000 - since < ACK_S * 1000
    await wait_in_force(world, 6)
    assert (await world.operator("reader", *others).get()).body == configuration(6)
    match trouble:
        case "kill" | "power":
            world.boot(primary)
        case "freeze":
            world.thaw(primary)
        case _:
            world.heal()
    await world.wait(3.0)
    read = await world.operator("reader", primary).get()
    assert read.status == 200 and read.body == configuration(6)
    assert (await world.operator("operator", primary).put(configuration(9), 6)).status == 200
    await wait_in_force(world, 9)


async def disk(world: World, at: str, trouble: str) -> None:
    await start_fleet(world)
    primary = world.primary()
    machine = world.machines[primary if at == "primary" else world.backup()]
    others = [m.name for m in world.cores() if m.name != primary]
    world.note(f"the disk of {machine.name} {trouble}s")
    if trouble == "fill":
        machine.disk.is_full = True
    else:
        machine.disk.hang(True)
    since = world.now()
    ended = await world.operator("operator", primary, *others).put(configuration(6), 5)
    assert ended.status == 200
    assert ended.at * 1000 - world.began * 1000 - since < ACK_S * 1000
    await wait_in_force(world, 6)
    world.note(f"the disk of {machine.name} is well")
    machine.disk.is_full = False
    machine.disk.hang(False)
    await world.wait(3.0)
    world.kill(*(n for n in (world.primary(), world.backup()) if n != machine.name))
    await world.wait(2.0)
    world.boot(*(m.name for m in world.cores() if m.process is not None and m.process.is_dead))
    read = await world.operator("reader").get()
    assert read.status == 200 and read.body == configuration(6)


@pytest.mark.parametrize("trouble", ["nobody leads", "the write hangs"])
def test_an_operator_is_told_to_come_back_before_he_takes_us_for_silent(trouble: str) -> None:
    """Clients give up on a process after a second without a response."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        primary, others = world.primary(), [m for m in world.cores() if m.name != world.primary()]
        if trouble == "nobody leads":
            for machine in others:
                world.power_off(machine.name)
            await world.wait(2.0)
        else:
            for machine in world.cores():
                machine.disk.hang(True)
        for method in ("PUT", "GET") if trouble == "nobody leads" else ("PUT",):
            since = world.loop.time()
            raw = call(method, "/api/config", configuration(6), If_Match="5")
            answer = await ask((world.machines[primary].ip, CTL_PORT), raw, 5.0)
            assert answer is not None and answer.status == 503
            assert float(answer.headers["retry-after"]) < 1.0
            assert world.loop.time() - since < 0.9

    play(scene)


SCENES: dict[str, Scenario] = {
    "first-start": first_start,
    "two-operators": two_operators,
    "resent": resent,
    "stale-and-invalid": stale_and_invalid,
    **{
        f"write-{t}": partial(write_while, trouble=t)
        for t in ("kill", "power", "freeze", "cut", "cut-out", "cut-in")
    },
    **{
        f"disk-{trouble}-{at}": partial(disk, at=at, trouble=trouble)
        for at in ("primary", "backup")
        for trouble in ("fill", "hang")
    },
}


@pytest.mark.parametrize("name", SCENES)
def test_exchange(name: str) -> None:
    world = play(SCENES[name], edges=2)
    assert_approved(f"control-{name}", world.transcript.text())
