"""Processes whose seeds know no member: after a kill or a loss of power of all, and without their seeds."""

from __future__ import annotations

from itertools import pairwise

import pytest

from control.known_processes import FORGET_AFTER_S, MAX_PROCESSES, Kind, KnownProcesses, ProcessAddress
from tests.fabric_callers import configuration
from tests.fabric_scenes import start_fleet, wait_in_force
from tests.fabric_world import CTL_PORT, World, play

RECOVERY_S = 12.0  # `recovery_s` of the small deployments
CONTACT_S = 3.0  # `contact_ms` of the small deployments
DISKLESS = ("core-7", "core-8", "core-9")
MEMBERS = ("core-1", "core-2", "core-3")
NOBODY = [f"10.77.0.{i}:{CTL_PORT}" for i in (1, 2, 3)]  # addresses of machines that have left


def with_diskless(world: World) -> None:
    """Add three control processes without a disk."""
    world.diskless |= set(DISKLESS)
    for i, name in enumerate(DISKLESS):
        world.core(name, f"10.{7 + i}.0.1", f"hall-{'abc'[i]}")


def outside(world: World) -> list[str]:
    """Return the names of the balancers and of the control processes without a disk."""
    return [*DISKLESS, *(m.name for m in world.edges())]


def ctl_of(world: World, *names: str) -> list[str]:
    """Return seeds that name these machines."""
    return [world.machines[name].ctl for name in names]


def boot_with_seeds(world: World, names: list[str], seeds: list[str]) -> None:
    """Start processes whose settings name these seeds; the seeds of other processes stay."""
    before, world.seeds = world.seeds, seeds
    world.boot(*names)
    world.seeds = before


async def wait_served_with(world: World, ver: int, within_s: float) -> None:
    """Wait until every running balancer receives updates and has this version."""

    def is_served() -> bool:
        edges = [m for m in world.edges() if world.running(m)]
        return all(m.role._follower.is_fresh() and m.plane.ver == ver for m in edges)

    await world.wait_until(is_served, within_s, f"version {ver} and updates at all balancers")


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("with_power", [True, False])
def test_after_the_end_of_all_a_fleet_whose_seeds_have_no_disk_is_served(with_power: bool, seed: int) -> None:
    """Guards against an edge that nobody leads to the core: review/7, no balancer was ever ready again."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        await world.wait(6.0)
        (world.kill if with_power else world.power_off)(*world.machines)
        await world.wait(1.0)
        boot_with_seeds(world, outside(world), ctl_of(world, *DISKLESS))
        world.boot(*MEMBERS)
        await world.wait(0.1)
        await wait_served_with(world, 5, RECOVERY_S)
        for name in DISKLESS:
            assert (await world.operator("operator", name).get()).body == configuration(5)

    play(scenario, edges=4, seed=seed, before=with_diskless)


def test_a_killed_edge_finds_a_core_that_ran_on() -> None:
    """Guards against the same end where the core leads all the time."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        await world.wait(6.0)
        world.kill(*outside(world))
        await world.wait(1.0)
        boot_with_seeds(world, outside(world), ctl_of(world, *DISKLESS))
        await world.wait(0.1)
        await wait_served_with(world, 5, CONTACT_S)

    play(scenario, edges=4, before=with_diskless)


@pytest.mark.parametrize("kills_core", [True, False])
def test_balancers_whose_seeds_have_all_left_are_dialled_by_the_leader(kills_core: bool) -> None:
    """Guards against balancers that are lost with their last seed, though the core has seen them."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        edges = [m.name for m in world.edges()]
        world.kill(*edges, *(MEMBERS if kills_core else ()))
        await world.wait(1.0)
        boot_with_seeds(world, edges, NOBODY)
        if kills_core:
            world.boot(*MEMBERS)
        await world.wait(0.1)
        await wait_served_with(world, 5, RECOVERY_S)

    play(scenario, edges=4)


def test_another_leader_knows_the_balancers_and_those_without_a_disk_too() -> None:
    """Guards against addresses that only the former leader has kept, and loses with its machine."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        await world.wait(6.0)
        first, edges = world.primary(), [m.name for m in world.edges()]
        world.power_off(*world.machines)
        await world.wait(1.0)
        boot_with_seeds(world, list(DISKLESS), ctl_of(world, *DISKLESS))
        boot_with_seeds(world, edges, NOBODY)
        world.boot(*(name for name in MEMBERS if name != first))
        await world.wait(0.1)
        await wait_served_with(world, 5, RECOVERY_S)
        assert (await world.operator("operator", "core-8").put(configuration(6), 5)).status == 200
        await wait_in_force(world, 6)

    play(scenario, edges=2, before=with_diskless)


def test_a_lost_disk_beside_the_end_of_all_leaves_the_addresses_on_the_others() -> None:
    """Guards against addresses that are lost with the one disk that may be lost."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        await world.wait(6.0)
        wiped = world.backup()
        world.kill(*world.machines)
        world.machines[wiped].disk.wipe()
        await world.wait(1.0)
        boot_with_seeds(world, outside(world), ctl_of(world, *DISKLESS))
        world.boot(*MEMBERS)
        await world.wait(0.1)
        await wait_served_with(world, 5, RECOVERY_S)

    play(scenario, edges=2, before=with_diskless)


def test_a_newcomer_whose_seeds_have_no_disk_joins_after_the_end_of_all() -> None:
    """Guards against new core machines that wait forever at seeds that know nobody."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        await world.wait(6.0)
        world.kill(*world.machines)
        await world.wait(1.0)
        boot_with_seeds(world, outside(world), ctl_of(world, *DISKLESS))
        world.boot(*MEMBERS)
        world.core("core-4", "10.4.0.1", "hall-a")
        boot_with_seeds(world, ["core-4"], ctl_of(world, *DISKLESS))
        await world.wait_until(lambda: bool(world.primary()), RECOVERY_S, "a leader")
        gone = next(name for name in MEMBERS if name != world.primary())
        world.power_off(gone)
        await world.wait(0.1)

        def has_slot() -> bool:
            replica = world.node("core-4")._replica
            return replica is not None and replica.durable_state.slot() is not None

        await world.wait_until(has_slot, RECOVERY_S, "the newcomer has a slot")

    play(scenario, edges=2, before=with_diskless)


def test_one_without_a_disk_tells_another_who_the_members_are() -> None:
    """Guards against restarts in turn, each of which loses what the one before has learned."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        await world.wait(6.0)
        world.kill("core-9")
        world.cut(["core-9"], list(MEMBERS))
        boot_with_seeds(world, ["core-9"], ctl_of(world, "core-8"))
        await world.wait_until(
            lambda: world.machines["core-9"].role.known_members() == 3, CONTACT_S, "members"
        )

    play(scenario, edges=1, before=with_diskless)


def test_an_attached_balancer_stays_where_it_is_when_another_process_names_a_leader() -> None:
    """Guards against a process out of date that draws balancers away from the leader."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        follower = world.edges()[0].role._follower
        follower.suggest(("10.77.0.1",))
        candidates = follower._choice.candidates(is_fresh=False)
        assert "10.77.0.1" not in [endpoint.ip for endpoint in candidates]

    play(scenario, edges=1)


def test_a_full_disk_keeps_no_addresses_and_holds_up_nothing() -> None:
    """Guards against a group that waits for a file that it can do without."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        for name in MEMBERS[1:]:
            world.machines[name].disk.is_full = True
        world.edge("edge-late", "10.1.1.99", "hall-a")
        world.boot("edge-late")
        await world.wait_until(lambda: world.machines["edge-late"].role is not None, 1.0, "it runs")
        await wait_served_with(world, 5, CONTACT_S)
        for name in MEMBERS[1:]:
            world.machines[name].disk.is_full = False
        await world.wait(6.0)
        for name in MEMBERS:
            assert b"10.1.1.99" in b"".join(
                bytes(data) for file, data in world.machines[name].disk.files.items() if "known" in file
            )

    play(scenario, edges=1)


@pytest.mark.parametrize("junk", [b"", b"no state", b"\xff" * 64])
def test_a_damaged_file_of_addresses_counts_as_empty(junk: bytes) -> None:
    """Guards against a control process that doesn't start as it can't read what it can do without."""

    async def scenario(world: World) -> None:
        await start_fleet(world)
        world.kill(*MEMBERS)
        for name in MEMBERS:
            files = world.machines[name].disk.files
            for file in [file for file in files if file.startswith("known-")]:
                files[file] = bytearray(junk)
        world.boot(*MEMBERS)
        await world.wait_until(lambda: bool(world.primary()), CONTACT_S, "a leader")
        await wait_served_with(world, 5, CONTACT_S)

    play(scenario, edges=1)


# ---- the known processes by themselves

ONE = ProcessAddress(Kind.BALANCER, "10.0.0.1")
OTHER = ProcessAddress(Kind.CONTROL, "10.0.0.1")


def test_a_silent_process_is_contacted_less_and_less_often_and_forgotten() -> None:
    known = KnownProcesses()
    known.hear(ONE, 0.0)
    contacted = []
    for second in range(int(FORGET_AFTER_S) + 5):
        known.forget(float(second))
        silent = known.silent(Kind.BALANCER, 2.0, float(second))
        if known.take_due(silent, float(second)):
            contacted.append(second)
    gaps = [later - earlier for earlier, later in pairwise(contacted)]
    assert contacted[0] == 3 and gaps[0] == 1 and max(gaps) == 30 and gaps == sorted(gaps)
    assert contacted[-1] <= FORGET_AFTER_S and known.addresses() == frozenset()


def test_a_restored_process_counts_as_silent_until_it_is_heard_from() -> None:
    known = KnownProcesses()
    known.restore([OTHER, ONE], 0.0)
    assert known.silent(Kind.CONTROL, 8.0, 0.0) == [OTHER]
    known.hear(OTHER, 0.5)
    known.restore([OTHER], 1.0)
    assert known.silent(Kind.CONTROL, 8.0, 1.0) == []
    assert known.silent(Kind.BALANCER, 8.0, 1.0) == [ONE], "the same machine, another process"


def test_only_so_many_processes_are_kept_and_the_most_silent_go_first() -> None:
    known = KnownProcesses()
    for number in range(MAX_PROCESSES + 3):
        known.hear(ProcessAddress(Kind.CONTROL, f"10.0.{number // 250}.{number % 250}"), float(number) / 100)
    known.forget(50.0)
    assert len(known.addresses()) == MAX_PROCESSES
    assert ProcessAddress(Kind.CONTROL, "10.0.0.2") not in known.addresses()
    assert ProcessAddress(Kind.CONTROL, "10.0.0.3") in known.addresses()
