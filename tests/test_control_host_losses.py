"""Core machines leave, return and are replaced: no acknowledged change is lost, and more are accepted."""

from __future__ import annotations

from functools import partial

import pytest

from tests.fabric_callers import configuration, upstream
from tests.fabric_scenes import ACK_S, start_fleet, wait_in_force
from tests.fabric_world import Scenario, World, assert_approved, play


async def put_in_force(world: World, ver: int, base: int, *at: str) -> None:
    """Assert that a change is acknowledged in time and takes effect everywhere."""
    since = world.loop.time()
    ended = await world.operator("operator", *at).put(configuration(ver), base)
    assert ended.status == 200
    assert ended.at - since < ACK_S
    await wait_in_force(world, ver)


async def wiped(world: World, which: str) -> None:
    """A machine loses its disk right after an acknowledgement and returns with an empty one."""
    await start_fleet(world)
    name = {"primary": world.primary, "backup": world.backup, "witness": world.witness}[which]()
    await put_in_force(world, 6, 5)
    world.power_off(name)
    world.machines[name].disk.wipe()
    world.note(f"{name} has lost its disk")
    await world.wait(1.0)
    world.boot(name)
    await world.wait(4.0)
    members = [m for m in world.node(world.primary())._replica.primary.view.members]  # type: ignore[union-attr]
    assert sorted(m.node for m in members if m is not None) == ["core-1", "core-2", "core-3"]
    await put_in_force(world, 7, 6, name)
    # With the wiped machine back, either of the others may fail.
    other = next(m.name for m in world.cores() if m.name != name)
    world.power_off(other)
    await world.wait(2.0)
    read = await world.operator("reader", *(m.name for m in world.cores() if m.name != other)).get()
    assert read.status == 200 and read.body == configuration(7)


async def replaced(world: World, planned: bool) -> None:
    """A core machine is removed for good; another joins with an empty disk and another address."""
    await start_fleet(world)
    gone = world.primary()
    if planned:
        await world.terminate(gone)
        world.network.off.add(world.machines[gone].ip)
    else:
        world.power_off(gone)
    await world.wait(1.0)
    del world.machines[gone]
    world.core("core-4", "10.1.0.4", "hall-a")
    world.boot("core-4")
    await put_in_force(world, 6, 5)
    await world.wait(4.0)
    members = [m for m in world.node(world.primary())._replica.primary.view.members]  # type: ignore[union-attr]
    assert sorted(m.node for m in members if m is not None) == ["core-2", "core-3", "core-4"]
    # The new machine counts: another may fail now.
    other = world.primary()
    world.power_off(other)
    await put_in_force(world, 7, 6, *(m.name for m in world.cores() if m.name != other))


async def all_killed(world: World) -> None:
    """All processes are killed at once right after an acknowledgement, and restarted."""
    await start_fleet(world)
    ended = await world.operator().put(configuration(6), 5)
    assert ended.status == 200
    machine_names = list(world.machines)
    world.kill(*machine_names)
    await world.wait(0.7)
    world.boot(*machine_names)
    started = world.loop.time()
    read = await world.operator("reader").get()
    assert read.status == 200 and read.body == configuration(6)
    assert world.loop.time() - started < ACK_S
    await wait_in_force(world, 6)
    await world.wait(0.1)  # the configuration arrives at once; the list is read by the new primary
    assert all(m.plane.is_allowed for m in world.edges())
    await put_in_force(world, 9, 6)


async def all_lose_power(world: World) -> None:
    """All machines lose power at once right after an acknowledgement."""
    await start_fleet(world)
    ended = await world.operator().put(configuration(6), 5)
    assert ended.status == 200
    machine_names = list(world.machines)
    world.power_off(*machine_names)
    await world.wait(1.0)
    world.boot(*machine_names)
    read = await world.operator("reader").get()
    assert read.status == 200 and read.body == configuration(6)
    await wait_in_force(world, 6)


async def seeds_turned_over(world: World) -> None:
    """Two core machines are replaced one after the other; the seeds in the settings follow."""
    await start_fleet(world)
    for number, (gone, ip, hall) in enumerate(
        [("core-1", "10.1.0.4", "hall-a"), ("core-2", "10.2.0.5", "hall-b")]
    ):
        world.power_off(gone)
        del world.machines[gone]
        new = world.core(f"core-{number + 4}", ip, hall)
        world.boot(new.name)
        await world.wait(4.0)
        world.seeds = [m.ctl for m in world.cores()]
        for machine in world.machines.values():
            machine.role.reconfigure(world.settings(machine.name, machine.ip, machine.zone, machine.is_core))
        world.note(f"the seeds are {','.join(m.name for m in world.cores())}")
    await put_in_force(world, 6, 5)
    world.kill(*(m.name for m in world.machines.values()))
    await world.wait(0.5)
    world.boot(*world.machines)
    await put_in_force(world, 7, 6)


def test_a_newcomer_whose_seeds_were_all_down_joins_once_the_file_names_others() -> None:
    """Its settings file was outdated at the start and changes without a signal."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        seeds, world.seeds = world.seeds, ["10.7.0.1:8166", "10.7.0.2:8166"]
        world.power_off("core-1")
        del world.machines["core-1"]
        new = world.core("core-4", "10.1.0.4", "hall-a")
        balancer = world.edge("edge-9", "10.1.1.9", "hall-a")
        world.boot(new.name, balancer.name)
        await world.wait(3.0)
        world.seeds = seeds[1:]
        for machine in (new, balancer):
            machine.role.reconfigure(world.settings(machine.name, machine.ip, machine.zone, machine.is_core))
        await world.wait_until(lambda: balancer.plane.ver == 5, 2.0, "the balancer receives updates")

        def is_member() -> bool:
            replica = world.node(world.primary())._replica if world.primary() else None
            primary = replica.primary if replica is not None else None
            return primary is not None and primary.view.slot_of(new.role._replica.me.identity) is not None

        await world.wait_until(is_member, 4.0, "the newcomer is a member")

    play(scene, edges=2)


def test_five_bear_the_loss_of_two() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        first = world.primary()
        world.kill(first)
        await put_in_force(world, 6, 5, *(m.name for m in world.cores() if m.name != first))
        second = world.primary()
        world.power_off(second)
        rest = [m.name for m in world.cores() if m.name not in (first, second)]
        await put_in_force(world, 7, 6, *rest)
        world.boot(first, second)
        await world.wait(4.0)
        third = world.primary()
        others = [n for n in rest if n != third]
        world.power_off(third, others[0])
        await world.wait(2.0)
        read = await world.operator("reader", first, second, others[1]).get()
        assert read.status == 200 and read.body == configuration(7)

    play(scene, cores=5, edges=2, faults=2)


def test_one_control_machine_alone_serves_where_nothing_may_be_lost() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.kill("core-1")
        await world.wait(0.5)
        world.boot("core-1")
        await put_in_force(world, 6, 5)

    play(scene, cores=1, edges=2, faults=0)


SCENES: dict[str, Scenario] = {
    **{f"wiped-{w}": partial(wiped, which=w) for w in ("primary", "backup", "witness")},
    "replaced-planned": partial(replaced, planned=True),
    "replaced-unplanned": partial(replaced, planned=False),
    "all-killed": all_killed,
    "all-lose-power": all_lose_power,
    "seeds-turned-over": seeds_turned_over,
}


@pytest.mark.parametrize("name", SCENES)
def test_exchange(name: str) -> None:
    world = play(SCENES[name], edges=2)
    assert_approved(f"losses-{name}", world.transcript.text())


async def core_restarted_without_disks(world: World) -> None:
    """All disks of the core are lost and it is bootstrapped again; running balancers follow it."""
    await start_fleet(world)
    await put_in_force(world, 6, 5)
    for _ in range(3):  # several terms, so that balancers have seen a later epoch
        gone = world.primary()
        world.kill(gone)
        await world.wait(1.5)
        world.boot(gone)
        await world.wait(1.5)
    epochs = [m.role._latest.epoch() for m in world.edges()]
    assert min(epochs) >= 4
    cores = [m.name for m in world.cores()]
    world.power_off(*cores)
    for name in cores:
        world.machines[name].disk.wipe()
    await world.wait(3.0)
    world.platform.entries = [upstream("i-1"), upstream("i-2"), upstream("i-3")]
    world.is_first = True  # `bootstrap` as at the first start
    world.boot(*cores)
    await world.wait_served(8.0)
    replica = world.node(world.primary())._replica
    assert replica is not None and replica.primary is not None
    assert replica.primary.view.epoch > max(epochs)
    ended = await world.operator().put(configuration(7), 0)
    assert ended.status == 200
    await wait_in_force(world, 7)

    def has_list() -> bool:
        wanted = {"i-1", "i-2", "i-3"}
        return all({e.id for e in m.plane.listed[-1][1]} == wanted for m in world.edges())

    await world.wait_until(has_list, 3.0, "the list of the new core")


def test_a_core_that_is_begun_anew_is_believed_by_balancers_that_ran_on() -> None:
    """Its epochs started at 1 again: running balancers ignored its updates until they were restarted."""
    play(core_restarted_without_disks, edges=3)
