"""The state store of a control process: only synced records count, and refusals are repaired."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from config.errors import DiskError
from consensus import messages as control
from consensus.codec import PromiseRecord, WriteRecord, encode_record, snapshot_record
from consensus.disk_store import Loaded, Store
from consensus.state_store import MAX_LOG_BYTES, RETRY_S, SYNC_TIMEOUT_S, StateStore
from consensus.views import Document, DurableState
from control.node import TICK_S
from tests.fabric import Process
from tests.fabric_callers import configuration
from tests.fabric_disk import Disk
from tests.fabric_scenes import start_fleet
from tests.fabric_world import Machine, World, play


class Bench:
    """A `StateStore` on a disk of its own."""

    def __init__(self, world: World) -> None:
        self.world, self.disk = world, Disk()
        self.health_changes: list[bool] = []
        self.done: list[int] = []

    async def load(self, founder: bool = False) -> StateStore:
        """Returns a loaded store, in a simulated process of its own."""
        process = Process(self.world.network, "core-1", "10.1.0.1")
        process.machine = Machine(
            "core-1", "10.1.0.1", "a", True, self.world.settings("c", "1.1.1.1", "a", True)
        )
        process.machine.disk = self.disk

        async def begin() -> StateStore:
            state_store = StateStore("/disk", self.health_changes.append)
            await state_store.load(founder)
            return state_store

        return await self.world.loop.create_task(begin(), context=process.context)

    def append(self, state_store: StateStore, number: int) -> None:
        """Syncs a write as a replica does: the state is changed before the record is appended."""
        state_store.durable_state.document = state_store.durable_state.document.after(
            number, b"", str(number)
        )
        assert state_store.durable_state.document.number == number
        change = state_store.durable_state.document.latest_change()
        state_store.append(WriteRecord(change), lambda: self.done.append(number))


def test_a_new_disk_gets_an_identity_that_stays() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        first = await bench.load(founder=True)
        assert first.durable_state.identity.startswith("f")
        reloaded = await bench.load(founder=False)
        assert reloaded.durable_state.identity == first.durable_state.identity
        bench.disk.wipe()
        wiped = await bench.load(founder=False)
        assert (
            wiped.durable_state.identity.startswith("m")
            and wiped.durable_state.identity != first.durable_state.identity
        )

    play(scene, starts=False)


def test_what_is_synced_is_there_after_a_loss_of_power_and_nothing_is_said_before() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        state_store = await bench.load()
        bench.append(state_store, 1)
        assert bench.done == []
        await world.wait(0.01)
        assert bench.done == [1]
        bench.append(state_store, 2)
        state_store.durable_state.promised = 7
        state_store.append(PromiseRecord(7), lambda: bench.done.append(7))
        await world.wait(0.01)
        bench.disk.lose_power()
        reloaded = await bench.load()
        assert reloaded.durable_state.document.number == 2 and reloaded.durable_state.promised == 7

    play(scene, starts=False)


def test_a_refusal_is_told_and_mended_and_what_was_meanwhile_is_kept() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        state_store = await bench.load()
        bench.disk.is_full = True
        bench.append(state_store, 1)
        await world.wait(0.05)
        assert bench.done == [] and bench.health_changes == [False]
        bench.append(state_store, 2)
        await world.wait(0.3)
        bench.disk.is_full = False
        await world.wait(2 * RETRY_S)
        assert bench.health_changes == [False, True] and bench.done == []
        bench.append(state_store, 3)
        await world.wait(0.01)
        assert bench.done == [3]
        reloaded = await bench.load()
        assert reloaded.durable_state.document.number == 3

    play(scene, starts=False)


def test_nothing_counts_between_a_refusal_and_the_mend_though_the_disk_takes_it() -> None:
    """Later records build on one that is not on disk, so they must not be reported as stored."""

    async def scene(world: World) -> None:
        bench = Bench(world)
        state_store = await bench.load()
        bench.disk.is_full = True
        bench.append(state_store, 1)
        await world.wait(0.05)
        bench.disk.is_full = False
        state_store.durable_state.promised = 4
        state_store.append(PromiseRecord(4), lambda: bench.done.append(4))
        await world.wait(0.01)
        assert bench.done == []
        await world.wait(2 * RETRY_S)
        assert bench.done == []
        reloaded = await bench.load()
        assert reloaded.durable_state.document.number == 1 and reloaded.durable_state.promised == 4

    play(scene, starts=False)


@pytest.mark.parametrize("kind", [control.Promise, control.InstallViewAck, control.WriteAck])
def test_a_process_says_nothing_that_it_has_not_synced(kind: Any) -> None:
    """An answer that others rely on is sent only after the sync that was started for it has returned."""
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
        control.Promise: control.Prepare,
        control.InstallViewAck: control.InstallView,
        control.WriteAck: control.WriteRequest,
    }
    answers = [entry for entry in heard if isinstance(entry[3], kind) and entry[3].ok]
    assert answers
    for at, who, whom, answer in answers:
        asked = [e for e in heard if isinstance(e[3], questions[kind]) and e[1:3] == (whom, who)]
        times = [t for t, _, _, question in asked if question.to == answer.sender and t < at]
        assert at - times[0] >= sync_ms, f"{who} answered {whom} after {at - times[0]:.0f} ms"


async def check_health_for(world: World, state_store: StateStore, seconds: float) -> None:
    """Checks the disk as often as the host does, so that the time isn't mistaken for a stall."""
    for _ in range(round(seconds / TICK_S) + 1):
        await world.wait(TICK_S)
        state_store.check_health()


def test_a_sync_that_hangs_is_told_and_goes_on() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        state_store = await bench.load()
        bench.disk.hang(True)
        bench.append(state_store, 1)
        await check_health_for(world, state_store, SYNC_TIMEOUT_S / 2)
        assert bench.health_changes == []
        await check_health_for(world, state_store, SYNC_TIMEOUT_S)
        assert bench.health_changes == [False] and not state_store.is_idle()
        bench.disk.hang(False)
        await world.wait(0.05)
        assert bench.health_changes == [False, True] and bench.done == [1] and state_store.is_idle()

    play(scene, starts=False)


def test_a_process_that_stood_still_does_not_take_its_disk_for_one_that_hangs() -> None:
    async def scene(world: World) -> None:
        bench = Bench(world)
        state_store = await bench.load()
        bench.disk.hang(True)
        bench.append(state_store, 1)
        await check_health_for(world, state_store, SYNC_TIMEOUT_S / 2)
        await world.wait(2 * SYNC_TIMEOUT_S)  # The process is stalled.
        state_store.check_health()
        assert bench.health_changes == []
        await check_health_for(world, state_store, SYNC_TIMEOUT_S)
        assert bench.health_changes == [False]

    play(scene, starts=False)


class ManualQueue:
    """Replaces the disk queue; the test completes each command itself."""

    def __init__(self) -> None:
        self.log_bytes = 0
        self.commands: list[tuple[str, asyncio.Future[Any]]] = []

    def load(self) -> asyncio.Future[Any]:
        done = self._add("load")
        done.set_result(Loaded(0, None, (), True))
        return done

    def append(self, record: bytes) -> asyncio.Future[Any]:
        return self._add("append")

    def checkpoint(self, state: bytes) -> asyncio.Future[Any]:
        return self._add("checkpoint")

    def _add(self, what: str) -> asyncio.Future[Any]:
        done: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.commands.append((what, done))
        return done


def test_a_refusal_right_behind_the_checkpoint_that_folds_the_log_is_mended() -> None:
    async def scene(world: World) -> None:
        queue, health_changes = ManualQueue(), list[bool]()
        with (
            mock.patch("consensus.state_store.DiskQueue", lambda store: queue),
            mock.patch("consensus.state_store.OsFiles", Disk),
        ):
            state_store = StateStore("/disk", health_changes.append)
        loading = asyncio.create_task(state_store.load(False))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        queue.commands[-1][1].set_result(None)
        await loading
        queue.log_bytes = MAX_LOG_BYTES + 1
        state_store.append(PromiseRecord(1), lambda: None)
        queue.log_bytes = 0
        await asyncio.sleep(0)
        state_store.append(PromiseRecord(2), lambda: health_changes.append(True))
        (_, first), (_, checkpoint), (_, second) = queue.commands[-3:]
        first.set_result(None)
        checkpoint.set_result(None)
        second.set_exception(DiskError("no space left on device", "free space"))
        await world.wait(0.1)
        assert health_changes == [False]
        what, rewrite = queue.commands[-1]
        assert what == "checkpoint" and not rewrite.done()
        rewrite.set_result(None)
        await world.wait(0.1)
        assert health_changes == [False, True]

    play(scene, starts=False)


@pytest.mark.parametrize("at", [x / 10 for x in range(0, 60, 3)])
def test_a_disk_that_fills_at_any_moment_is_mended(at: float) -> None:
    """The disk is full for 30 ms during continuous writes and checkpoints of the log."""

    async def scene(world: World) -> None:
        bench = Bench(world)
        state_store = await bench.load()
        body = b"x" * 400_000

        async def writes() -> None:
            for number in range(1, 100):
                state_store.durable_state.document = state_store.durable_state.document.after(
                    number, body, str(number)
                )
                change = state_store.durable_state.document.latest_change()
                state_store.append(WriteRecord(change), lambda n=number: bench.done.append(n))  # type: ignore[misc]
                await asyncio.sleep(0.0004)

        writing = asyncio.create_task(writes())
        await world.wait(0.002 + at / 1000)
        bench.disk.is_full = True
        await world.wait(0.03)
        bench.disk.is_full = False
        await writing
        await world.wait(3 * RETRY_S)
        assert state_store._is_healthy and state_store._rewrite_task is None
        bench.append(state_store, 100)
        await world.wait(0.01)
        assert bench.done[-1] == 100
        loaded = (await bench.load()).durable_state.document
        assert loaded.number == 100 and [t.ver for t in loaded.taken] == list(range(1, 101))

    play(scene, starts=False)


def test_a_memory_that_cant_be_read_whole_is_no_memory() -> None:
    """A partial state could break promises, so the process joins as a new one."""

    async def scene(world: World) -> None:
        for damage in ("state", "record"):
            bench = Bench(world)
            store = Store.open(Path("/disk"), bench.disk)
            store.load()
            durable_state = DurableState("mold", 9, None, Document(3, 3))
            store.checkpoint(
                b"\0\1\2" if damage == "state" else encode_record(snapshot_record(durable_state))
            )
            store.append(encode_record(PromiseRecord(12)) if damage == "state" else b"\7\7\7")
            state_store = await bench.load(founder=True)
            assert state_store.durable_state.identity not in ("", "mold")
            # A process that had a state creates no first view.
            assert state_store.durable_state.identity.startswith("m")
            assert state_store.durable_state.promised == 0 and state_store.durable_state.document.number == 0

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
