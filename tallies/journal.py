"""Storage of the tallies of a control process: two slots and a short log, beside the consensus state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from config.errors import DiskError, WireError
from consensus.disk_queue import DiskQueue
from consensus.disk_store import Store
from consensus.files import OsFiles
from tallies.messages import KINDS, Add, PushAdds, Snapshot
from transport.wire import FrameReader

FILE_PREFIX = "tallies-"  # Prefix of the file names.
MAX_LOG_BYTES = 1 << 20  # A longer log is replaced by the whole state.
RETRY_S = 0.25  # Delay between attempts after the disk has refused.
SYNC_TIMEOUT_S = 0.4  # A longer sync marks the disk as unhealthy.
ENCODE_CHUNK = 500  # Adds encoded at a time, so that other work of the process can run in between.


class Journal:
    """Writes records of adds in order, and occasionally the whole state."""

    def __init__(self, folder: str, state: Callable[[], Snapshot], synced: Callable[[int], None]) -> None:
        """`state` returns the current state; `synced` is called with the number of the last synced record."""
        self._queue = DiskQueue(Store.open(Path(folder), OsFiles(), FILE_PREFIX), "tallies")
        self._state, self._synced = state, synced
        self._last = 0  # Number of the last queued record.
        # Start time of each queued record in seconds of the event loop, by number.
        self._in_flight: dict[int, float] = {}
        self._adds_since: list[Add] | None = None  # Adds queued while a state is being written.
        self._has_failed, self._rewrite_again = False, False
        self._state_task: asyncio.Task[None] | None = None

    async def load(self) -> Snapshot:
        """Returns the stored state; retries while the disk is unreadable.

        Damaged content is treated like a lost disk.
        """
        last_logged = ""
        while True:
            try:
                loaded = await self._queue.load()
                break
            except DiskError as error:
                if str(error) != last_logged:
                    last_logged = str(error)
                    logger.error("event=tallies_unreadable error={!r}", last_logged)
                await asyncio.sleep(RETRY_S)
        try:
            return _read(([loaded.state] if loaded.state is not None else []) + list(loaded.records))
        except WireError as error:
            logger.error("event=tallies_damaged error={!r}", str(error))
            return Snapshot(0, 0, bytes(8), (), ())

    def is_healthy(self) -> bool:
        """Whether the disk accepts records, and in time."""
        oldest = min(self._in_flight.values(), default=None)
        now = asyncio.get_running_loop().time()
        return not self._has_failed and (oldest is None or now - oldest <= SYNC_TIMEOUT_S)

    def append(self, number: int, adds: tuple[Add, ...]) -> None:
        """Queues a record; `synced` is called once it is on disk."""
        self._last = number
        self._in_flight[number] = asyncio.get_running_loop().time()
        if self._adds_since is not None:
            self._adds_since += adds
        self._queue.append(KINDS.encode(PushAdds(number, adds))).add_done_callback(
            lambda future: self._on_appended(number, future)
        )
        if self._queue.log_bytes > MAX_LOG_BYTES and self._state_task is None:
            self.write_state()

    def write_state(self) -> None:
        """Writes the whole state, which replaces all earlier records."""
        if self._state_task is not None:
            self._rewrite_again = True
            return
        self._state_task = asyncio.get_running_loop().create_task(self._write_state())
        self._state_task.add_done_callback(self._on_state_written)

    def _on_appended(self, number: int, future: asyncio.Future[None]) -> None:
        if future.cancelled() or (error := future.exception()) is not None:
            self._has_failed = True
            if self._state_task is None and not future.cancelled():
                logger.warning("event=tallies_refused error={!r}", str(error))
            self.write_state()
        # After a refusal an earlier record may be missing; the whole state is being written.
        elif not self._has_failed:
            self._mark_synced(number)

    def _mark_synced(self, number: int) -> None:
        self._in_flight = {n: at for n, at in self._in_flight.items() if n > number}
        self._synced(number)

    def _on_state_written(self, task: asyncio.Task[None]) -> None:
        self._state_task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("event=tallies_not_written error={!r}", str(error))
        if self._rewrite_again and not task.cancelled():
            self._rewrite_again = False
            self.write_state()

    async def _write_state(self) -> None:
        """Writes the state, with retries until the disk accepts it."""
        while True:
            self._adds_since = []
            state = self._state()
            frames = [KINDS.encode(Snapshot(state.until, state.count, state.digest, state.tallies, ()))]
            for at in range(0, len(state.adds), ENCODE_CHUNK):
                frames.append(KINDS.encode(PushAdds(0, state.adds[at : at + ENCODE_CHUNK])))
                await asyncio.sleep(0)
            frames.append(KINDS.encode(PushAdds(0, tuple(self._adds_since))))
            self._adds_since, last_record = None, self._last
            try:
                await self._queue.checkpoint(b"".join(frames))
                break
            except Exception as error:  # The disk refuses, or memory is exhausted.
                self._has_failed = True
                logger.debug("event=tallies_refused_whole error={!r}", str(error))
                await asyncio.sleep(RETRY_S)
        self._has_failed = False
        self._mark_synced(last_record)


def _read(chunks: list[bytes]) -> Snapshot:
    """Returns the state given by a slot and the records after it; raises WireError."""
    state, adds = Snapshot(0, 0, bytes(8), (), ()), list[Add]()
    for chunk in chunks:
        for frame in FrameReader().feed(chunk):
            message = KINDS.decode(frame.number, frame.body)
            if isinstance(message, Snapshot):
                state, adds = message, list(message.adds)
            elif isinstance(message, PushAdds):
                adds += message.adds
    return Snapshot(state.until, state.count, state.digest, state.tallies, tuple(adds))
