"""Keeps the known processes outside the group on disk, beside the consensus state."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from loguru import logger

from config.errors import DiskError
from consensus.disk_queue import DiskQueue
from consensus.disk_store import Store
from consensus.files import OsFiles
from control.known_processes import Kind, ProcessAddress

FILE_PREFIX = "known-"  # prefix of the file names
RETRY_S = 1.0  # delay between attempts while the disk refuses


class KnownProcessesStore:
    """Writes the latest set of known processes; a set that is superseded before its turn is skipped."""

    def __init__(self, folder: str) -> None:
        self._queue = DiskQueue(Store.open(Path(folder), OsFiles(), FILE_PREFIX), "known")
        self._wanted: frozenset[ProcessAddress] = frozenset()
        self._stored: frozenset[ProcessAddress] = frozenset()
        self._task: asyncio.Task[None] | None = None

    async def load(self) -> frozenset[ProcessAddress]:
        """Return the stored set; retries while the disk is unreadable; damaged content counts as empty."""
        while True:
            try:
                loaded = await self._queue.load()
                break
            except DiskError as error:
                logger.warning("event=known_processes_unreadable error={!r}", str(error))
                await asyncio.sleep(RETRY_S)
        self._stored = self._wanted = _decode(loaded.state or b"[]")
        return self._stored

    def save(self, addresses: frozenset[ProcessAddress]) -> None:
        """Store this set in the background; called after `load` has returned."""
        self._wanted = addresses
        if self._task is None and self._wanted != self._stored:
            self._task = asyncio.get_running_loop().create_task(self._write())
            self._task.add_done_callback(self._on_written)

    async def _write(self) -> None:
        while self._wanted != self._stored:
            addresses = self._wanted
            try:
                await self._queue.checkpoint(_encode(addresses))
                self._stored = addresses
            except DiskError as error:
                logger.debug("event=known_processes_refused error={!r}", str(error))
                await asyncio.sleep(RETRY_S)

    def _on_written(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("event=known_processes_not_written error={!r}", str(error))


def _encode(addresses: frozenset[ProcessAddress]) -> bytes:
    return json.dumps(sorted([address.kind.value, address.ip] for address in addresses)).encode()


def _decode(state: bytes) -> frozenset[ProcessAddress]:
    try:
        return frozenset(ProcessAddress(Kind(kind), str(ip)) for kind, ip in json.loads(state))
    except (ValueError, TypeError) as error:
        logger.error("event=known_processes_damaged error={!r}", str(error))
        return frozenset()
