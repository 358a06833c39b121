"""Lasting network cuts: while a majority of the core is connected, changes are accepted and take effect."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from dissemination.messages import LeaderHeartbeat
from tests.fabric_callers import Answer, ask, call, configuration
from tests.fabric_scenes import ACK_S, APPLY_S, start_fleet, wait_in_force
from tests.fabric_world import CTL_PORT, World, play

PAIRS = [*itertools.combinations(["primary", "backup", "witness"], 2)]


def machines_by_role(world: World) -> dict[str, str]:
    return {"primary": world.primary(), "backup": world.backup(), "witness": world.witness()}


async def assert_orders_accepted(world: World, base: int, *at: str) -> int:
    """Assert that several changes in a row are accepted in time; returns the latest version."""
    for _ in range(4):
        since = world.loop.time()
        ended = await world.operator("operator", *at).put(configuration(base + 1), base)
        assert ended.status == 200, world.transcript.text()
        assert ended.at - since < ACK_S
        base += 1
        await wait_in_force(world, base)
        await world.wait(1.0)
    return base


@pytest.mark.parametrize("pair", PAIRS, ids="-".join)
@pytest.mark.parametrize("way", ["both", "there", "back"])
def test_two_that_dont_reach_each_other_but_the_third(pair: tuple[str, str], way: str) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        here, there = (machines_by_role(world)[name] for name in pair)
        if way == "back":
            here, there = there, here
        world.cut([here], [there], both_ways=way == "both")
        await world.wait(3.0)
        ver = await assert_orders_accepted(world, 5)
        epochs = {
            m.epoch for at, _, _, m in world.transcript.messages(LeaderHeartbeat) if at > world.now() - 4000
        }
        assert len(epochs) <= 2, f"the primary changes again and again: {epochs}"
        world.heal()
        await world.wait(3.0)
        await assert_orders_accepted(world, ver)

    play(scene, edges=3)


@pytest.mark.parametrize("alone", ["primary", "backup", "witness"])
def test_one_that_reaches_neither_of_the_others(alone: str) -> None:
    """Balancers and operators reach all three members and have to find the majority."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        names = machines_by_role(world)
        others = [name for role, name in names.items() if role != alone]
        world.cut([names[alone]], others)
        await world.wait(3.0)
        await assert_orders_accepted(world, 5)
        read = await world.operator("reader", names[alone], *others).get()
        assert read.status == 200 and read.body == configuration(9)
        world.heal()
        await world.wait(3.0)
        await assert_orders_accepted(world, 9, names[alone])

    play(scene, edges=3)


@pytest.mark.parametrize("way", ["both", "there", "back"])
def test_a_balancer_that_reaches_only_a_witness_and_others(way: str) -> None:
    """It gets updates through its relay or not at all, never outdated ones, and all of them after the cut."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        names = machines_by_role(world)
        here, there = ["edge-1"], [names["primary"]]
        if way == "back":
            here, there = there, here
        world.cut(here, there, both_ways=way == "both")
        await world.wait(3.0)
        assert (await world.operator().put(configuration(6), 5)).status == 200
        await world.wait(APPLY_S)
        assert all(m.plane.ver == 6 for m in world.edges() if m.name != "edge-1")
        world.heal()
        await world.wait_until(lambda: world.machines["edge-1"].plane.ver == 6, APPLY_S, "after the cut")

    play(scene, edges=4, zones=1)


@pytest.mark.parametrize("slow", ["primary", "backup", "witness"])
@pytest.mark.parametrize("delay_ms", [30, 100])
def test_slow_links_of_one_machine(slow: str, delay_ms: int) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        name = machines_by_role(world)[slow]
        ip = world.machines[name].ip
        for machine in world.machines.values():
            if machine.ip != ip:
                world.network.delays[ip, machine.ip] = world.network.delays[machine.ip, ip] = delay_ms / 1000
        await world.wait(3.0)
        await assert_orders_accepted(world, 5)
        epochs = {
            m.epoch for at, _, _, m in world.transcript.messages(LeaderHeartbeat) if at > world.now() - 4000
        }
        assert len(epochs) <= 2, f"the primary changes again and again: {epochs}"

    play(scene, edges=3)


@pytest.mark.parametrize("sync_ms", [5, 50, 150])
def test_slow_disks(sync_ms: int) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        for machine in world.cores():
            machine.disk.sync_s = sync_ms / 1000
        await world.wait(3.0)
        await assert_orders_accepted(world, 5)
        world.kill(world.primary())
        await world.wait(ACK_S)
        await assert_orders_accepted(world, 9)

    play(scene, edges=3)


@pytest.mark.parametrize("trouble", ["cut", "cut-in", "cut-out", "freeze"])
def test_whoever_leads_no_longer_answers_no_question_from_what_it_knew(trouble: str) -> None:
    """A read that begins after a newer version was acknowledged never returns the older one."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        old = world.primary()
        others = [m.name for m in world.cores() if m.name != old]
        asked: list[tuple[float, asyncio.Task[Answer | None]]] = []
        address = (world.machines[old].ip, CTL_PORT)

        async def keep_asking() -> None:
            while True:
                question = asyncio.create_task(ask(address, call("GET", "/api/config"), 5.0))
                asked.append((world.loop.time(), question))
                await world.wait(0.01)

        asking = asyncio.create_task(keep_asking())
        match trouble:
            case "freeze":
                world.freeze(old)
            case "cut-in":
                world.cut(others, [old], both_ways=False)
            case _:
                world.cut([old], others, both_ways=trouble == "cut")
        await world.wait_until(lambda: any(world.node(n).is_leader() for n in others), 3.0, "another leads")
        new = next(n for n in others if world.node(n).is_leader())
        assert trouble != "cut" or world.node(old).is_leader()  # not noticed yet
        ended = await world.operator("operator", new).put(configuration(6), 5)
        assert ended.status == 200 and ended.tries == 1
        await world.wait(1.0)
        world.thaw(old) if trouble == "freeze" else world.heal()
        await world.wait(2.0)
        asking.cancel()
        answers = [(at, await question) for at, question in asked]
        late = [a for at, a in answers if at >= ended.at and a is not None and a.status == 200]
        assert all(a.headers["etag"] == "6" for a in late)

    play(scene)
