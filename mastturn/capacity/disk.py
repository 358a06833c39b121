"""The disk of a hollow fleet's control process: files in memory, and a queue that needs no thread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from consensus.disk_store import Loaded, Store
from mastturn.capacity.clockwork import OWNER

SYNC_S = 0.001


class MemoryFiles:
    """As `consensus.files.Files`; counts what a disk would have done."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.syncs, self.written = 0, 0
        owner = OWNER.get()
        if owner is not None:
            owner.disk = self

    def names(self, folder: Path) -> list[str]:
        """The names in the folder."""
        return list(self.files)

    def read(self, path: Path) -> bytes:
        """All bytes of a file."""
        return bytes(self.files[path.name])

    def write(self, path: Path, offset: int, data: bytes) -> None:
        """Write from an offset on."""
        file = self.files.setdefault(path.name, bytearray())
        file.extend(b"\0" * (offset - len(file)))
        file[offset : offset + len(data)] = data
        self.written += len(data)

    def truncate(self, path: Path, length: int) -> None:
        """Set the length."""
        file = self.files.setdefault(path.name, bytearray())
        del file[length:]
        file.extend(b"\0" * (length - len(file)))

    def sync(self, path: Path) -> None:
        """Count it."""
        self.syncs += 1

    def sync_folder(self, folder: Path) -> None:
        """Count it."""
        self.syncs += 1


class InlineQueue:
    """As `consensus.disk_queue.DiskQueue`, in the loop itself: each command takes the time of a sync."""

    def __init__(self, store: Store, name: str = "disk") -> None:
        self._store, self._loop = store, asyncio.get_running_loop()
        self._free_at = 0.0
        self.waiting = 0

    @property
    def log_bytes(self) -> int:
        """How long the log is."""
        return self._store.log_bytes

    def load(self) -> asyncio.Future[Loaded]:
        """What is kept."""
        return self._give(self._store.load)

    def append(self, record: bytes) -> asyncio.Future[None]:
        """Resolved once the record is synced."""
        return self._give(lambda: self._store.append_all([record]))

    def checkpoint(self, state: bytes) -> asyncio.Future[None]:
        """Resolved once the state is synced."""
        return self._give(lambda: self._store.checkpoint(state))

    def _give(self, work: Callable[[], Any]) -> asyncio.Future[Any]:
        done: asyncio.Future[Any] = self._loop.create_future()
        self.waiting += 1
        self._free_at = max(self._free_at, self._loop.time()) + SYNC_S

        def over() -> None:
            self.waiting -= 1
            result = work()
            if not done.done():
                done.set_result(result)

        self._loop.call_at(self._free_at, over)
        return done
