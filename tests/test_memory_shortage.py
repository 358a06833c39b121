"""A control process recovers from failed allocations once memory is available again.

On a machine without free memory, one failed allocation while the whole state was rewritten left a process's
disk unused until its restart. With two of three processes affected, none could lead, and the configuration
was unavailable for 20 s.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from consensus import disk_queue
from consensus.codec import PromiseRecord, Record, encode_record
from consensus.disk_queue import DiskQueue
from consensus.disk_store import Store
from consensus.files import OsFiles
from consensus.state_store import StateStore
from tests.loopback import run, until


class ShortFiles(OsFiles):
    """Files whose next `failing` writes raise MemoryError."""

    failing = 0

    def write(self, path: Path, offset: int, data: bytes) -> None:
        if ShortFiles.failing:
            ShortFiles.failing -= 1
            raise MemoryError
        super().write(path, offset, data)


@pytest.fixture
def short(monkeypatch: pytest.MonkeyPatch) -> type[ShortFiles]:
    monkeypatch.setattr("consensus.state_store.OsFiles", ShortFiles)
    monkeypatch.setattr("consensus.state_store.RETRY_S", 0.01)
    ShortFiles.failing = 0
    return ShortFiles


@pytest.mark.parametrize("failing", [1, 2, 3, 6])
def test_a_disk_is_written_again_once_there_is_memory(
    tmp_path: Path, short: type[ShortFiles], failing: int
) -> None:
    async def test() -> None:
        health_changes: list[bool] = []
        state_store = StateStore(str(tmp_path), health_changes.append)
        await state_store.load(True)
        short.failing = failing
        done: list[int] = []
        state_store.durable_state.promised = 4
        state_store.append(PromiseRecord(4), lambda: done.append(4))
        await until(lambda: health_changes[-1:] == [True])
        assert health_changes == [False, True] and done == []  # The refused record is not reported as synced.
        state_store.durable_state.promised = 5
        state_store.append(PromiseRecord(5), lambda: done.append(5))
        await until(lambda: done == [5])
        reloaded = await StateStore(str(tmp_path), health_changes.append).load(False)
        assert reloaded.promised == 5

    run(test())


def test_the_queue_to_the_disk_outlives_a_failure_between_two_commands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    failing = [True]
    group = DiskQueue._collect_group

    def without_memory(self: DiskQueue, first: disk_queue._Append) -> list[disk_queue._Append]:
        if failing.pop() if failing else False:
            raise MemoryError
        return group(self, first)

    monkeypatch.setattr(DiskQueue, "_collect_group", without_memory)

    async def test() -> None:
        queue = DiskQueue(Store.open(tmp_path, OsFiles()))
        await queue.load()
        await queue.checkpoint(b"begun")
        with pytest.raises(MemoryError):
            await asyncio.wait_for(queue.append(b"lost"), 2.0)
        await asyncio.wait_for(queue.append(b"kept"), 2.0)
        await queue.close()

    run(test())
    loaded = Store.open(tmp_path, OsFiles()).load()
    assert list(loaded.records) == [b"kept"]


def test_a_record_that_can_not_be_handed_over_is_not_passed_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, short: type[ShortFiles]
) -> None:
    """Later records must not be stored on top of the missing one."""
    failing = [True]

    def without_memory(record: Record) -> bytes:
        if isinstance(record, PromiseRecord) and failing:
            failing.clear()
            raise MemoryError
        return encode_record(record)

    async def test() -> None:
        health_changes: list[bool] = []
        state_store = StateStore(str(tmp_path), health_changes.append)
        await state_store.load(True)
        monkeypatch.setattr("consensus.state_store.encode_record", without_memory)
        done: list[int] = []
        state_store.append(PromiseRecord(4), lambda: done.append(4))
        assert health_changes == [False]
        await until(lambda: health_changes == [False, True])
        state_store.append(PromiseRecord(5), lambda: done.append(5))
        await until(lambda: done == [5])

    run(test())
