"""The keeper of a control process's memory: what is synced counts, refusals are mended, nothing half read."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from config.errors import DiskError
from consensus import messages as control
from consensus.codec import PromiseRecord, WriteRecord, whole, write_record
from consensus.keeper import AGAIN_S, LOG_BYTES, STUCK_S, Keeper
from consensus.slots import Loaded, Store
from consensus.views import Document, Memory
from control.node import TICK_S
from tests.fabric import Process
from tests.fabric_callers import configuration
from tests.fabric_disk import Disk
from tests.fabric_scenes import start_fleet
from tests.fabric_world import Machine, World, play


class Bench:
    """A keeper on a disk of its own."""

    def __init__(self, world: World) -> None:
        self.world, self.disk = world, Disk()
        self.told: list[bool] = []
        self.done: list[int] = []

    async def load(self, founder: bool = False) -> Keeper:
        """A keeper that has loaded, as a process of its own."""
        process = Process(self.world.network, "core-1", "10.1.0.1")
        process.machine = Machine(
            "core-1", "10.1.0.1", "a", True, self.world.settings("c", "1.1.1.1", "a", True)
        )
        process.machine.disk = self.disk

        async def begin() -> Keeper:
            keeper = Keeper("/disk", self.told.append)
            await keeper.load(founder)
            return keeper

        return await self.world.loop.create_task(begin(), context=process.context)

    def keep(self, keeper: Keeper, number: int) -> None:
        """Sync a write, as the machine does: the memory is changed first."""
        keeper.memory.document = keeper.memory.document.after(number, b"", str(number))
        assert keeper.memory.document.number == number
        change = keeper.memory.document.latest_change()
        keeper.keep(WriteRecord(change), lambda: self.done.append(number))


def test_a_new_disk_gets_an_identity_that_stays() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        first = await bench.load(founder=True)
        assert first.memory.identity.startswith("f")
        again = await bench.load(founder=False)
        assert again.memory.identity == first.memory.identity
        bench.disk.wipe()
        wiped = await bench.load(founder=False)
        assert wiped.memory.identity.startswith("m") and wiped.memory.identity != first.memory.identity

    play(scene, starts=False)


def test_what_is_synced_is_there_after_a_loss_of_power_and_nothing_is_said_before() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        keeper = await bench.load()
        bench.keep(keeper, 1)
        assert bench.done == []
        await world.wait(0.01)
        assert bench.done == [1]
        bench.keep(keeper, 2)
        keeper.memory.promised = 7
        keeper.keep(PromiseRecord(7), lambda: bench.done.append(7))
        await world.wait(0.01)
        bench.disk.lose_power()
        again = await bench.load()
        assert again.memory.document.number == 2 and again.memory.promised == 7

    play(scene, starts=False)


def test_a_refusal_is_told_and_mended_and_what_was_meanwhile_is_kept() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        keeper = await bench.load()
        bench.disk.is_full = True
        bench.keep(keeper, 1)
        await world.wait(0.05)
        assert bench.done == [] and bench.told == [False]
        bench.keep(keeper, 2)
        await world.wait(0.3)
        bench.disk.is_full = False
        await world.wait(2 * AGAIN_S)
        assert bench.told == [False, True] and bench.done == []
        bench.keep(keeper, 3)
        await world.wait(0.01)
        assert bench.done == [3]
        again = await bench.load()
        assert again.memory.document.number == 3

    play(scene, starts=False)


def test_nothing_counts_between_a_refusal_and_the_mend_though_the_disk_takes_it() -> None:
    """What a later record builds on is not on the disk: nobody may hear that the later one is kept."""

    async def scene(world: World) -> None:
        bench = Bench(world)
        keeper = await bench.load()
        bench.disk.is_full = True
        bench.keep(keeper, 1)
        await world.wait(0.05)
        bench.disk.is_full = False
        keeper.memory.promised = 4
        keeper.keep(PromiseRecord(4), lambda: bench.done.append(4))
        await world.wait(0.01)
        assert bench.done == []
        await world.wait(2 * AGAIN_S)
        assert bench.done == []
        again = await bench.load()
        assert again.memory.document.number == 1 and again.memory.promised == 4

    play(scene, starts=False)


@pytest.mark.parametrize("kind", [control.Promised, control.Installed, control.Written])
def test_a_process_says_nothing_that_it_has_not_synced(kind: Any) -> None:
    """Each answer that others count on leaves no sooner than the sync that was begun for it has returned."""
    sync_ms = 40

    async def scene(world: World) -> None:
        await start_fleet(world)
        for machine in world.cores():
            machine.disk.sync_s = sync_ms / 1000
        world.transcript.received.clear()
        await world.operator().put(configuration(6), 5)
        first = world.primary()
        world.kill(first)
        await world.wait_until(lambda: world.primary() not in ("", first), 3.0, "another leads")
        await world.wait(1.0)
        world.boot(first)
        await world.wait(2.0)

    heard = play(scene).transcript.received
    questions: dict[type, type] = {
        control.Promised: control.Prepare,
        control.Installed: control.Install,
        control.Written: control.Write,
    }
    answers = [entry for entry in heard if isinstance(entry[3], kind) and entry[3].ok]
    assert answers
    for at, who, whom, answer in answers:
        asked = [e for e in heard if isinstance(e[3], questions[kind]) and e[1:3] == (whom, who)]
        times = [t for t, _, _, question in asked if question.to == answer.sender and t < at]
        assert at - times[0] >= sync_ms, f"{who} answers {whom} after {at - times[0]:.0f} ms"


async def look_for(world: World, keeper: Keeper, seconds: float) -> None:
    """Look as often as the host does, so that the time is not taken for a stall of the process."""
    for _ in range(round(seconds / TICK_S) + 1):
        await world.wait(TICK_S)
        keeper.look()


def test_a_sync_that_hangs_is_told_and_goes_on() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        keeper = await bench.load()
        bench.disk.hang(True)
        bench.keep(keeper, 1)
        await look_for(world, keeper, STUCK_S / 2)
        assert bench.told == []
        await look_for(world, keeper, STUCK_S)
        assert bench.told == [False] and not keeper.is_idle()
        bench.disk.hang(False)
        await world.wait(0.05)
        assert bench.told == [False, True] and bench.done == [1] and keeper.is_idle()

    play(scene, starts=False)


def test_a_process_that_stood_still_does_not_take_its_disk_for_one_that_hangs() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        keeper = await bench.load()
        bench.disk.hang(True)
        bench.keep(keeper, 1)
        await look_for(world, keeper, STUCK_S / 2)
        await world.wait(2 * STUCK_S)  # nothing runs
        keeper.look()
        assert bench.told == []
        await look_for(world, keeper, STUCK_S)
        assert bench.told == [False]

    play(scene, starts=False)


class ByHand:
    """Stands in for the queue to the disk: the test itself ends each command."""

    def __init__(self) -> None:
        self.log_bytes = 0
        self.given: list[tuple[str, asyncio.Future[Any]]] = []

    def load(self) -> asyncio.Future[Any]:
        done = self._give("load")
        done.set_result(Loaded(0, None, (), True))
        return done

    def append(self, record: bytes) -> asyncio.Future[Any]:
        return self._give("append")

    def checkpoint(self, state: bytes) -> asyncio.Future[Any]:
        return self._give("checkpoint")

    def _give(self, what: str) -> asyncio.Future[Any]:
        done: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.given.append((what, done))
        return done


def test_a_refusal_right_behind_the_checkpoint_that_folds_the_log_is_mended() -> None:
    async def scene(world: World) -> None:
        queue, told = ByHand(), list[bool]()
        with (
            mock.patch("consensus.keeper.DiskQueue", lambda store: queue),
            mock.patch("consensus.keeper.OsFiles", Disk),
        ):
            keeper = Keeper("/disk", told.append)
        loading = asyncio.create_task(keeper.load(False))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        queue.given[-1][1].set_result(None)
        await loading
        queue.log_bytes = LOG_BYTES + 1
        keeper.keep(PromiseRecord(1), lambda: None)
        queue.log_bytes = 0
        await asyncio.sleep(0)
        keeper.keep(PromiseRecord(2), lambda: told.append(True))
        (_, first), (_, fold), (_, second) = queue.given[-3:]
        first.set_result(None)
        fold.set_result(None)
        second.set_exception(DiskError("the disk refuses", "free space"))
        await world.wait(0.1)
        assert told == [False]
        what, mend = queue.given[-1]
        assert what == "checkpoint" and not mend.done()
        mend.set_result(None)
        await world.wait(0.1)
        assert told == [False, True]

    play(scene, starts=False)


@pytest.mark.parametrize("at", [x / 10 for x in range(0, 60, 3)])
def test_a_disk_that_fills_at_any_moment_is_mended(at: float) -> None:
    """Writes come all the while, the log is folded again and again; the disk is full for 30 ms."""

    async def scene(world: World) -> None:
        bench = Bench(world)
        keeper = await bench.load()
        body = b"x" * 400_000

        async def writes() -> None:
            for number in range(1, 100):
                keeper.memory.document = keeper.memory.document.after(number, body, str(number))
                change = keeper.memory.document.latest_change()
                keeper.keep(WriteRecord(change), lambda n=number: bench.done.append(n))  # type: ignore[misc]
                await asyncio.sleep(0.0004)

        writing = asyncio.create_task(writes())
        await world.wait(0.002 + at / 1000)
        bench.disk.is_full = True
        await world.wait(0.03)
        bench.disk.is_full = False
        await writing
        await world.wait(3 * AGAIN_S)
        assert keeper._well and keeper._mending is None
        bench.keep(keeper, 100)
        await world.wait(0.01)
        assert bench.done[-1] == 100
        loaded = (await bench.load()).memory.document
        assert loaded.number == 100 and [t.ver for t in loaded.taken] == list(range(1, 101))

    play(scene, starts=False)


def test_a_memory_that_cant_be_read_whole_is_no_memory() -> None:
    """Half of what was promised is worse than nothing: the process is a new one then, and asks to join."""

    async def scene(world: World) -> None:
        for damage in ("state", "record"):
            bench = Bench(world)
            store = Store.open(Path("/disk"), bench.disk)
            store.load()
            memory = Memory("mold", 9, None, Document(3, 3))
            store.checkpoint(b"\0\1\2" if damage == "state" else write_record(whole(memory)))
            store.append(write_record(PromiseRecord(12)) if damage == "state" else b"\7\7\7")
            keeper = await bench.load(founder=True)
            assert keeper.memory.identity not in ("", "mold")
            assert keeper.memory.identity.startswith("m")  # whoever had a memory makes no first view
            assert keeper.memory.promised == 0 and keeper.memory.document.number == 0

    play(scene, starts=False)


def test_a_disk_that_cant_be_read_is_told_once_and_tried_again() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        await bench.load()
        names, bench.disk.names = bench.disk.names, lambda folder: (_ for _ in ()).throw(OSError(5, "no"))  # type: ignore[method-assign]
        loading = asyncio.create_task(bench.load())
        await world.wait(10.0)
        assert not loading.done()
        bench.disk.names = names  # type: ignore[method-assign]
        await world.wait(1.0)
        assert loading.done()
        assert sum("event=disk_unreadable" in line for line in world.transcript.logs) == 1

    play(scene, starts=False)


def test_a_process_that_starts_on_a_full_disk_serves_once_there_is_room() -> None:
    async def scene(world: World) -> None:
        for machine in world.cores():
            machine.disk.is_full = True
        world.boot(*world.machines)
        world.is_first = False
        await world.wait(5.0)
        assert not world.primary()
        for machine in world.cores():
            machine.disk.is_full = False
        await world.wait_served(4.0)

    play(scene, starts=False)
