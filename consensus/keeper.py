"""The memory of a control process on its disk: loaded at the start, then every change synced in order."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from config.errors import DiskError, WireError
from consensus.awake_clock import AwakeClock
from consensus.codec import Record, apply, read_record, whole, write_record
from consensus.disk_queue import DiskQueue
from consensus.files import OsFiles
from consensus.slots import Store
from consensus.views import Memory

LOG_BYTES = 1 << 20  # a longer log is folded into the next slot
AGAIN_S = 0.25  # after a refusal
STUCK_S = 0.4  # a sync that takes longer makes the disk one that can't be counted on
FOUNDER = "f"  # an identity that begins so was drawn by the process that makes the first view


class Keeper:
    """Owns the disk; says when it can be counted on."""

    def __init__(self, folder: str, told: Callable[[bool], None]) -> None:
        """`told`: whether the disk takes writes, whenever that changes."""
        self._queue = DiskQueue(Store.open(Path(folder), OsFiles()))
        self._told, self._well, self._refused = told, True, False
        self._clock = AwakeClock(lambda stall_ms, now: None)
        self._given: dict[int, float] = {}  # when each sync that is under way was asked for, in ms
        self._count = 0
        self.synced = 0  # changes that are on the disk
        self._mending: asyncio.Task[None] | None = None
        self.memory = Memory("")

    async def load(self, founder: bool) -> Memory:
        """What is kept; on an empty disk a new identity, kept before anybody hears of it."""
        told = ""
        while True:
            try:
                loaded = await self._queue.load()
                break
            except DiskError as error:
                if str(error) != told:
                    told = str(error)
                    logger.error("event=disk_unreadable error={!r}", told)
                await asyncio.sleep(AGAIN_S)
        parts = ([loaded.state] if loaded.state is not None else []) + list(loaded.records)
        try:
            for part in parts:
                apply(self.memory, read_record(part))
        except (WireError, IndexError, ValueError, KeyError, TypeError) as error:
            logger.error("event=memory_unreadable error={!r}", str(error))
            self.memory = Memory("")  # half of what was promised is none: we are a new process
        if not self.memory.identity:
            self.memory.identity = (FOUNDER if founder and not parts else "m") + secrets.token_hex(8)
        await self._write_whole()
        return self.memory

    def keep(self, record: Record, done: Callable[[], None]) -> None:
        """Sync a record, then call `done`; never if the disk refuses.

        After a refusal nothing counts until all of the memory has been synced: what a later record builds on
        might not be there.
        """
        self._count += 1
        if self._refused:
            return
        number = self._count
        try:
            future = self._queue.append(write_record(record))
        except Exception as error:  # there is no memory for it
            self._failed(error)
            return
        self._given[number] = self._now()

        def over(result: asyncio.Future[None]) -> None:
            self._given.pop(number, None)
            if result.cancelled() or result.exception() is not None:
                self._failed(result.exception() if not result.cancelled() else None)
            else:
                self.synced += 1
                done()
                self.look()

        future.add_done_callback(over)
        if self._queue.log_bytes > LOG_BYTES and self._mending is None:
            self._mend()

    def look(self) -> None:
        """See whether a sync has been under way for too long; called now and then."""
        now = self._now()
        stuck = any(now - since > STUCK_S * 1000 for since in self._given.values())
        well = not (stuck or self._refused)
        if well != self._well:
            self._well = well
            logger.info("event=disk well={}", well)
            self._told(well)

    def _now(self) -> float:
        return self._clock.read(asyncio.get_running_loop().time() * 1000)

    def is_well(self) -> bool:
        """Whether the disk took what it was last given, and in time."""
        return self._well

    def is_idle(self) -> bool:
        """Whether all that was given is synced."""
        return not self._given

    def _failed(self, error: BaseException | None) -> None:
        self._refused = True
        self.look()
        if self._mending is None:
            logger.warning("event=disk_refused error={!r}", str(error))
            self._mend()

    def _mend(self) -> None:
        self._mending = asyncio.get_running_loop().create_task(self._write_whole())
        self._mending.add_done_callback(self._mended)

    def _mended(self, task: asyncio.Task[None]) -> None:
        self._mending = None
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("event=disk_mending_failed error={!r}", str(error))
        elif self._refused and not task.cancelled():
            self._mend()  # something behind the last checkpoint failed as that was done

    async def _write_whole(self) -> None:
        """Keep all of the memory in the other slot, however long it takes."""
        while True:
            known = self._count
            try:
                await self._queue.checkpoint(write_record(whole(self.memory)))
                if known == self._count or not self._refused:
                    break
            except Exception as error:  # the disk refuses, or there is no memory for it
                logger.debug("event=disk_refused_all error={!r}", str(error) or type(error).__name__)
                await asyncio.sleep(AGAIN_S)
        self._refused = False
        self.look()
