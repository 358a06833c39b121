"""Random histories of a whole fleet: tolerable faults under continuous writes, with invariants checked."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.fabric_callers import configuration, upstream
from tests.fabric_world import World, play

CONTACT_S, APPLY_S, ACK_S, SYNC_S = 3.0, 2.0, 4.0, 4.0


class History:
    """One run: the acknowledged versions and those that may be in force."""

    def __init__(self, world: World, seed: int) -> None:
        self.world, self.rng = world, random.Random(seed)
        self.acked: dict[int, int] = {}  # version: its base version
        self.sent: set[int] = set()  # versions that may be in force
        self.newest = 0
        self.next = 1
        self.ends = False
        self.machines = 9  # new machines are numbered from here

    async def submit_orders(self, name: str) -> None:
        """An operator who keeps writing on top of the newest version."""
        world = self.world
        while not self.ends:
            base, self.next = self.newest, self.next + self.rng.randint(1, 3)
            ver = self.next
            self.sent.add(ver)
            cores = [m.name for m in world.cores()]
            self.rng.shuffle(cores)
            operator = world.operator(name, *cores)
            ended = await operator.put(configuration(ver), base, 6)
            if ended.status == 200:
                assert base not in self.acked.values(), f"two orders on top of {base}"
                self.acked[ver] = base
                self.newest = max(self.newest, ver)
            elif ended.status == 412:
                read = await operator.get(6)
                if read.status == 200:
                    found = int(read.body.split(b'"ver": ')[1].split(b",")[0])
                    assert found >= self.newest, f"read {found} after {self.newest}"
                    assert found in self.sent
                    self.newest = max(self.newest, found)
            await world.wait(self.rng.uniform(0.05, 1.5))

    async def inject_fault(self) -> None:
        """Inject one fault of the core or a balancer, then repair it."""
        world, rng = self.world, self.rng
        core = rng.choice([m for m in world.cores()])
        edge = rng.choice(world.edges())
        name = rng.choice([core, core, edge]).name
        machine = world.machines[name]
        match rng.choice(
            [
                "kill",
                "power",
                "freeze",
                "cut",
                "cut-in",
                "cut-out",
                "full",
                "hang",
                "wipe",
                "term",
                "herd",
                "split",
                "replace",
                "slow",
            ]
        ):
            case "kill":
                world.kill(name)
                await world.wait(rng.uniform(0.05, 3))
                world.boot(name)
            case "power":
                world.power_off(name)
                await world.wait(rng.uniform(0.5, 5))
                world.boot(name)
            case "freeze":
                world.freeze(name)
                await world.wait(rng.uniform(0.1, 5))
                world.thaw(name)
            case "cut" | "cut-in" | "cut-out" as how:
                rest = [n for n in world.machines if n != name]
                if how == "cut-in":
                    world.cut(rest, [name], both_ways=False)
                else:
                    world.cut([name], rest, both_ways=how == "cut")
                await world.wait(rng.uniform(0.1, 5))
                world.heal()
            case "full":
                world.note(f"the disk of {core.name} fills")
                core.disk.is_full = True
                await world.wait(rng.uniform(0.1, 5))
                core.disk.is_full = False
                world.note(f"the disk of {core.name} has room")
            case "hang":
                world.note(f"the disk of {core.name} hangs")
                core.disk.hang(True)
                await world.wait(rng.uniform(0.1, 5))
                core.disk.hang(False)
                world.note(f"the disk of {core.name} goes on")
            case "wipe":
                world.power_off(core.name)
                core.disk.wipe()
                await world.wait(rng.uniform(0.5, 3))
                world.boot(core.name)
            case "split":  # two core members lose contact, but each reaches all others
                there = rng.choice([m for m in world.cores() if m is not core])
                world.cut([core.name], [there.name], both_ways=rng.random() < 0.6)
                await world.wait(rng.uniform(0.1, 8))
                world.heal()
            case "replace":
                world.power_off(core.name)
                del world.machines[core.name]
                self.machines += 1
                ip = core.ip.rpartition(".")[0] + f".{self.machines}"
                new = world.core(f"core-{self.machines}", ip, core.zone)
                await world.wait(rng.uniform(0.0, 3))
                world.boot(new.name)
                world.seeds = [m.ctl for m in world.cores()]
                for other in world.machines.values():  # their settings follow
                    if world.running(other):
                        other.role.reconfigure(
                            world.settings(other.name, other.ip, other.zone, other.is_core)
                        )
            case "slow":
                machine.disk.sync_s = rng.uniform(0.05, 1.0)
                for other in world.machines.values():
                    for a, b in ((name, other.name), (other.name, name)):
                        ends = world.machines[a].ip, world.machines[b].ip
                        world.network.delays[ends] = 0.03
                await world.wait(rng.uniform(0.1, 5))
                machine.disk.sync_s = 0.001
                world.network.delays.clear()
            case "term":
                await world.terminate(name)
                await world.wait(rng.uniform(0.2, 1))
                world.boot(name)
            case _:
                everybody = list(world.machines)
                world.kill(*everybody)
                await world.wait(rng.uniform(0.2, 1))
                world.boot(*everybody)
        assert machine.process is not None

    async def check(self) -> None:
        """After recovery: a write is accepted in time and in force on all balancers in time."""
        world = self.world
        since = world.loop.time()
        read = await world.operator("checker").get()
        assert read.status == 200 or not self.newest, "nothing can be read"
        base = int(read.body.split(b'"ver": ')[1].split(b",")[0]) if read.status == 200 else 0
        assert base >= self.newest, f"{base} is read after {self.newest} was acknowledged"
        self.newest = max(base, self.newest)
        while True:
            self.next += 1
            ver = self.next
            self.sent.add(ver)
            ended = await world.operator("checker").put(configuration(ver), self.newest)
            if ended.status == 412:  # another operator was quicker
                await world.wait(0.01)
                continue
            assert ended.status == 200
            break
        assert world.loop.time() - since < ACK_S
        self.acked[ver], self.newest = self.newest, max(ver, self.newest)
        await world.wait_until(
            lambda: all(m.plane.ver >= ver for m in world.edges()), APPLY_S, f"{ver} everywhere"
        )
        assert all(m.plane.is_allowed and m.plane.ids for m in world.edges())


async def history(world: World, seed: int, rounds: int) -> None:
    world.platform.entries = [upstream("i-1")]
    state = History(world, seed)
    await world.wait_served(8.0)
    operators = [world.loop.create_task(state.submit_orders(name)) for name in ("one", "two")]
    try:
        for _ in range(rounds):
            await world.wait(state.rng.uniform(0.0, 1.0))
            await state.inject_fault()
            await world.wait(SYNC_S)
            await state.check()
            for task in operators:
                if task.done():
                    task.result()
    finally:
        state.ends = True
    await asyncio.gather(*operators)
    for machine in world.edges():  # within one life of a balancer, versions never go back
        versions = [c.ver for _, c in machine.plane.configured]
        assert versions == sorted(versions)
        assert set(versions) <= state.sent


@pytest.mark.parametrize("seed", range(6))
def test_history(seed: int) -> None:
    play(lambda world: history(world, seed, 4), edges=3, seed=seed)


@pytest.mark.parametrize("seed", range(3))
def test_history_of_five(seed: int) -> None:
    play(lambda world: history(world, 100 + seed, 3), cores=5, edges=3, faults=2, seed=seed)
