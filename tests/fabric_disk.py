"""Simulated disks for the test fabric: in-memory files that refuse, hang or lose unsynced writes."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from config.errors import DiskError
from consensus.disk_store import Loaded, Store
from tests.fabric import PROCESS


class Disk:
    """The files of one machine, as `consensus.files.Files`; they outlive its processes."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.durable: dict[str, bytes] = {}
        self.is_full = False
        self.hangs = False
        self.sync_s = 0.001
        self.queues: list[InlineQueue] = []

    # ---- faults

    def wipe(self) -> None:
        """Removes all files."""
        self.files.clear()
        self.durable.clear()

    def lose_power(self) -> None:
        """Drops everything that was not synced."""
        self.files = {name: bytearray(data) for name, data in self.durable.items()}

    def hang(self, hangs: bool) -> None:
        """Blocks all operations, or resumes them."""
        self.hangs = hangs
        if not hangs:
            for queue in self.queues:
                queue.resume()

    # ---- Files

    def names(self, folder: Path) -> list[str]:
        return list(self.files)

    def read(self, path: Path) -> bytes:
        return bytes(self.files[path.name])

    def write(self, path: Path, offset: int, data: bytes) -> None:
        self._raise_if_full()
        file = self.files.setdefault(path.name, bytearray())
        file.extend(b"\0" * (offset - len(file)))
        file[offset : offset + len(data)] = data

    def truncate(self, path: Path, length: int) -> None:
        self._raise_if_full()
        file = self.files.setdefault(path.name, bytearray())
        del file[length:]
        file.extend(b"\0" * (length - len(file)))

    def sync(self, path: Path) -> None:
        self._raise_if_full()
        self.durable[path.name] = bytes(self.files[path.name])

    def sync_folder(self, folder: Path) -> None:
        return None

    def _raise_if_full(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left")


@dataclass(slots=True)
class _Command:
    kind: str
    data: bytes
    future: asyncio.Future[Any]


class InlineQueue:
    """Replaces `DiskQueue` without a thread: same results, each after the simulated duration of a sync."""

    def __init__(self, store: Store, name: str = "disk") -> None:
        process = PROCESS.get()
        assert process is not None
        self._process = process
        self._store, self.disk = store, process.machine.disk
        self._loop = asyncio.get_running_loop()
        self._commands: deque[_Command] = deque()
        self._is_busy = self._is_suspended = False
        self.disk.queues.append(self)

    @property
    def waiting(self) -> int:
        return len(self._commands)

    @property
    def log_bytes(self) -> int:
        return self._store.log_bytes

    def load(self) -> asyncio.Future[Loaded]:
        return self._enqueue("load", b"")

    def append(self, record: bytes) -> asyncio.Future[None]:
        return self._enqueue("append", record)

    def checkpoint(self, state: bytes) -> asyncio.Future[None]:
        return self._enqueue("checkpoint", state)

    def resume(self) -> None:
        """Continues after the disk has stopped hanging."""
        if self._is_suspended and not self._process.is_dead:
            self._is_suspended = False
            self._loop.call_soon(self._run_next, context=self._process.context)

    def _enqueue(self, kind: str, data: bytes) -> asyncio.Future[Any]:
        future: asyncio.Future[Any] = self._loop.create_future()
        self._commands.append(_Command(kind, data, future))
        if not self._is_busy:
            self._schedule()
        return future

    def _schedule(self) -> None:
        self._is_busy = True
        self._loop.call_later(self.disk.sync_s, self._run_next)

    def _run_next(self) -> None:
        if self.disk.hangs:
            self._is_suspended = True
            return
        group = [self._commands.popleft()]
        while group[0].kind == "append" and self._commands and self._commands[0].kind == "append":
            group.append(self._commands.popleft())
        try:
            result = self._execute(group)
        except Exception as error:
            overtaken = list(self._commands)  # Their callers assumed that the failed command had succeeded.
            self._commands.clear()
            for command in group:
                self._fail(command.future, error)
            for command in overtaken:
                self._fail(command.future, DiskError("a command queued earlier failed", "retry it"))
        else:
            for command in group:
                if not command.future.done():
                    command.future.set_result(result)
        self._is_busy = False
        if self._commands:
            self._schedule()

    def _fail(self, future: asyncio.Future[Any], error: Exception) -> None:
        if not future.done():
            future.set_exception(error)

    def _execute(self, group: list[_Command]) -> Any:
        match group[0].kind:
            case "load":
                return self._store.load()
            case "checkpoint":
                return self._store.checkpoint(group[0].data)
            case _:
                return self._store.append_all([command.data for command in group])


def own_disk() -> Disk:
    """Returns the disk of the machine that the caller runs on."""
    process = PROCESS.get()
    assert process is not None
    disk: Disk = process.machine.disk
    return disk
