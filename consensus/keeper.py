"""The memory of a control process on its disk: loaded at the start, then every change synced in order."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from config.errors import DiskError, WireError
from consensus.awake_clock import AwakeClock
from consensus.codec import Record, apply_record, decode_record, encode_record, snapshot_record
from consensus.disk_queue import DiskQueue
from consensus.files import OsFiles
from consensus.slots import Store
from consensus.views import DurableState

MAX_LOG_BYTES = 1 << 20  # a longer log is folded into the next slot
RETRY_S = 0.25  # after a refusal
SYNC_TIMEOUT_S = 0.4  # a sync that takes longer makes the disk one that can't be counted on
FOUNDER_PREFIX = "f"  # an identity that begins so was drawn by the process that makes the first view


class StateStore:
    """Owns the disk; says when it can be counted on."""

    def __init__(self, folder: str, told: Callable[[bool], None]) -> None:
        """`told`: whether the disk takes writes, whenever that changes."""
        self._queue = DiskQueue(Store.open(Path(folder), OsFiles()))
        self._on_health_change, self._is_healthy, self._has_failed = told, True, False
        self._clock = AwakeClock(lambda stall_ms, now: None)
        self._in_flight: dict[int, float] = {}  # when each sync that is under way was asked for, in ms
        self._record_count = 0
        self.synced = 0  # changes that are on the disk
        self._rewrite_task: asyncio.Task[None] | None = None
        self.durable_state = DurableState("")

    async def load(self, founder: bool) -> DurableState:
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
                await asyncio.sleep(RETRY_S)
        parts = ([loaded.state] if loaded.state is not None else []) + list(loaded.records)
        try:
            for part in parts:
                apply_record(self.durable_state, decode_record(part))
        except (WireError, IndexError, ValueError, KeyError, TypeError) as error:
            logger.error("event=memory_unreadable error={!r}", str(error))
            self.durable_state = DurableState("")  # half of what was promised is none: we are a new process
        if not self.durable_state.identity:
            self.durable_state.identity = (
                FOUNDER_PREFIX if founder and not parts else "m"
            ) + secrets.token_hex(8)
        await self._rewrite()
        return self.durable_state

    def append(self, record: Record, done: Callable[[], None]) -> None:
        """Sync a record, then call `done`; never if the disk refuses.

        After a refusal nothing counts until all of the memory has been synced: what a later record builds on
        might not be there.
        """
        self._record_count += 1
        if self._has_failed:
            return
        number = self._record_count
        try:
            future = self._queue.append(encode_record(record))
        except Exception as error:  # there is no memory for it
            self._on_failure(error)
            return
        self._in_flight[number] = self._now()

        def over(result: asyncio.Future[None]) -> None:
            self._in_flight.pop(number, None)
            if result.cancelled() or result.exception() is not None:
                self._on_failure(result.exception() if not result.cancelled() else None)
            else:
                self.synced += 1
                done()
                self.check_health()

        future.add_done_callback(over)
        if self._queue.log_bytes > MAX_LOG_BYTES and self._rewrite_task is None:
            self._start_rewrite()

    def check_health(self) -> None:
        """See whether a sync has been under way for too long; called now and then."""
        now = self._now()
        stuck = any(now - since > SYNC_TIMEOUT_S * 1000 for since in self._in_flight.values())
        well = not (stuck or self._has_failed)
        if well != self._is_healthy:
            self._is_healthy = well
            logger.info("event=disk well={}", well)
            self._on_health_change(well)

    def _now(self) -> float:
        return self._clock.read(asyncio.get_running_loop().time() * 1000)

    def is_healthy(self) -> bool:
        """Whether the disk took what it was last given, and in time."""
        return self._is_healthy

    def is_idle(self) -> bool:
        """Whether all that was given is synced."""
        return not self._in_flight

    def _on_failure(self, error: BaseException | None) -> None:
        self._has_failed = True
        self.check_health()
        if self._rewrite_task is None:
            logger.warning("event=disk_refused error={!r}", str(error))
            self._start_rewrite()

    def _start_rewrite(self) -> None:
        self._rewrite_task = asyncio.get_running_loop().create_task(self._rewrite())
        self._rewrite_task.add_done_callback(self._on_rewrite_done)

    def _on_rewrite_done(self, task: asyncio.Task[None]) -> None:
        self._rewrite_task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("event=disk_mending_failed error={!r}", str(error))
        elif self._has_failed and not task.cancelled():
            self._start_rewrite()  # something behind the last checkpoint failed as that was done

    async def _rewrite(self) -> None:
        """Keep all of the memory in the other slot, however long it takes."""
        while True:
            known = self._record_count
            try:
                await self._queue.checkpoint(encode_record(snapshot_record(self.durable_state)))
                if known == self._record_count or not self._has_failed:
                    break
            except Exception as error:  # the disk refuses, or there is no memory for it
                logger.debug("event=disk_refused_all error={!r}", str(error) or type(error).__name__)
                await asyncio.sleep(RETRY_S)
        self._has_failed = False
        self.check_health()
