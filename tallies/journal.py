"""The tallies of a control process on its disk: two slots and a short log, beside the control state's."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from config.errors import DiskError, WireError
from consensus.disk_queue import DiskQueue
from consensus.files import OsFiles
from consensus.slots import Store
from tallies.messages import KINDS, Add, Push, State
from transport.wire import FrameReader

FILE_PREFIX = "tallies-"  # of the files' names
MAX_LOG_BYTES = 1 << 20  # a longer log is made a state
RETRY_S = 0.25  # after a refusal
SYNC_TIMEOUT_S = 0.4  # a sync that takes longer makes the disk one that can't be counted on
ENCODE_CHUNK = 500  # adds that are encoded in one go: other work of the process goes on in between


class Journal:
    """Keeps records of adds in order, and the whole state now and then."""

    def __init__(self, folder: str, state: Callable[[], State], synced: Callable[[int], None]) -> None:
        """`state`: everything as it is now. `synced`: told the number of the last record on the disk."""
        self._queue = DiskQueue(Store.open(Path(folder), OsFiles(), FILE_PREFIX), "tallies")
        self._state, self._synced = state, synced
        self._last = 0  # number of the last record that was given
        self._in_flight: dict[int, float] = {}  # by number: when, on the loop's clock
        self._adds_since: list[Add] | None = None  # given while a state is written
        self._has_failed, self._rewrite_again = False, False
        self._state_task: asyncio.Task[None] | None = None

    async def load(self) -> State:
        """What is kept; waits for a disk that can't be read. What is damaged counts as lost with the disk."""
        told = ""
        while True:
            try:
                loaded = await self._queue.load()
                break
            except DiskError as error:
                if str(error) != told:
                    told = str(error)
                    logger.error("event=tallies_unreadable error={!r}", told)
                await asyncio.sleep(RETRY_S)
        try:
            return _read(([loaded.state] if loaded.state is not None else []) + list(loaded.records))
        except WireError as error:
            logger.error("event=tallies_damaged error={!r}", str(error))
            return State(0, 0, bytes(8), (), ())

    def is_healthy(self) -> bool:
        """Whether the disk takes what it is given, and in time."""
        oldest = min(self._in_flight.values(), default=None)
        now = asyncio.get_running_loop().time()
        return not self._has_failed and (oldest is None or now - oldest <= SYNC_TIMEOUT_S)

    def append(self, number: int, adds: tuple[Add, ...]) -> None:
        """Bring a record to the disk; `synced` is told once it is there."""
        self._last = number
        self._in_flight[number] = asyncio.get_running_loop().time()
        if self._adds_since is not None:
            self._adds_since += adds
        self._queue.append(KINDS.encode(Push(number, adds))).add_done_callback(
            lambda done: self._on_appended(number, done)
        )
        if self._queue.log_bytes > MAX_LOG_BYTES and self._state_task is None:
            self.write_state()

    def write_state(self) -> None:
        """Bring the whole state to the disk, in the place of the records before."""
        if self._state_task is not None:
            self._rewrite_again = True
            return
        self._state_task = asyncio.get_running_loop().create_task(self._write_state())
        self._state_task.add_done_callback(self._on_state_written)

    def _on_appended(self, number: int, done: asyncio.Future[None]) -> None:
        if done.cancelled() or (error := done.exception()) is not None:
            self._has_failed = True
            if self._state_task is None and not done.cancelled():
                logger.warning("event=tallies_refused error={!r}", str(error))
            self.write_state()
        elif not self._has_failed:  # else one before it may be missing, and the whole state is written
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
        """Write a state until the disk takes it."""
        while True:
            self._adds_since = []
            state = self._state()
            pieces = [KINDS.encode(State(state.until, state.count, state.digest, state.tallies, ()))]
            for at in range(0, len(state.adds), ENCODE_CHUNK):
                pieces.append(KINDS.encode(Push(0, state.adds[at : at + ENCODE_CHUNK])))
                await asyncio.sleep(0)
            pieces.append(KINDS.encode(Push(0, tuple(self._adds_since))))
            self._adds_since, last = None, self._last
            try:
                await self._queue.checkpoint(b"".join(pieces))
                break
            except Exception as error:  # the disk refuses, or there is no memory for it
                self._has_failed = True
                logger.debug("event=tallies_refused_whole error={!r}", str(error))
                await asyncio.sleep(RETRY_S)
        self._has_failed = False
        self._mark_synced(last)


def _read(parts: list[bytes]) -> State:
    """The state that a slot and the records behind it make; raises WireError."""
    state, adds = State(0, 0, bytes(8), (), ()), list[Add]()
    for part in parts:
        for frame in FrameReader().feed(part):
            message = KINDS.decode(frame.number, frame.body)
            if isinstance(message, State):
                state, adds = message, list(message.adds)
            elif isinstance(message, Push):
                adds += message.adds
    return State(state.until, state.count, state.digest, state.tallies, tuple(adds))
