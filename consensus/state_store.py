"""The durable state of a control process: loaded at start, then updated with one synced record per change."""

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
from consensus.disk_store import Store
from consensus.files import OsFiles
from consensus.views import DurableState

MAX_LOG_BYTES = 1 << 20  # A longer log is replaced by a checkpoint.
RETRY_S = 0.25  # Delay between attempts after the disk has refused.
SYNC_TIMEOUT_S = 0.4  # A longer sync marks the disk as unhealthy.
FOUNDER_PREFIX = "f"  # Prefix of an identity that the bootstrap process has drawn.


class StateStore:
    """Owns the state on disk and reports whether the disk is healthy."""

    def __init__(self, folder: str, on_health_change: Callable[[bool], None]) -> None:
        """`on_health_change` is called with whether the disk accepts writes, on each change."""
        self._queue = DiskQueue(Store.open(Path(folder), OsFiles()))
        self._on_health_change, self._is_healthy, self._has_failed = on_health_change, True, False
        self._clock = AwakeClock(lambda stall_ms, now: None)
        self._in_flight: dict[int, float] = {}  # Start time in ms of each sync in progress, by record number.
        self._record_count = 0
        self.synced = 0  # The number of synced records.
        self._rewrite_task: asyncio.Task[None] | None = None
        self.durable_state = DurableState("")

    async def load(self, is_bootstrap_node: bool) -> DurableState:
        """Returns the stored state.

        On an empty disk it draws a new identity, which is synced before other processes learn of it.
        """
        last_logged = ""
        while True:
            try:
                loaded = await self._queue.load()
                break
            except DiskError as error:
                if str(error) != last_logged:
                    last_logged = str(error)
                    logger.error("event=disk_unreadable error={!r}", last_logged)
                await asyncio.sleep(RETRY_S)
        records = ([loaded.state] if loaded.state is not None else []) + list(loaded.records)
        try:
            for record in records:
                apply_record(self.durable_state, decode_record(record))
        except (WireError, IndexError, ValueError, KeyError, TypeError) as error:
            logger.error("event=memory_unreadable error={!r}", str(error))
            # A partial state could break promises, so the process starts as a new one.
            self.durable_state = DurableState("")
        if not self.durable_state.identity:
            self.durable_state.identity = (
                FOUNDER_PREFIX if is_bootstrap_node and not records else "m"
            ) + secrets.token_hex(8)
        await self._rewrite()
        return self.durable_state

    def append(self, record: Record, done: Callable[[], None]) -> None:
        """Syncs a record and then calls `done`; if the disk refuses, `done` is never called.

        After a refusal no record counts until the whole state has been synced, since later records build on
        the one that may be missing.
        """
        self._record_count += 1
        if self._has_failed:
            return
        number = self._record_count
        try:
            future = self._queue.append(encode_record(record))
        except Exception as error:  # No memory to encode or queue the record.
            self._on_failure(error)
            return
        self._in_flight[number] = self._now()

        def on_done(result: asyncio.Future[None]) -> None:
            self._in_flight.pop(number, None)
            if result.cancelled() or result.exception() is not None:
                self._on_failure(result.exception() if not result.cancelled() else None)
            else:
                self.synced += 1
                done()
                self.check_health()

        future.add_done_callback(on_done)
        if self._queue.log_bytes > MAX_LOG_BYTES and self._rewrite_task is None:
            self._start_rewrite()

    def check_health(self) -> None:
        """Checks whether a sync has been in progress for too long; called periodically."""
        now = self._now()
        is_stuck = any(now - since > SYNC_TIMEOUT_S * 1000 for since in self._in_flight.values())
        is_healthy = not (is_stuck or self._has_failed)
        if is_healthy != self._is_healthy:
            self._is_healthy = is_healthy
            logger.info("event=disk well={}", is_healthy)
            self._on_health_change(is_healthy)

    def _now(self) -> float:
        return self._clock.read(asyncio.get_running_loop().time() * 1000)

    def is_healthy(self) -> bool:
        """Whether the disk accepted the latest record, and in time."""
        return self._is_healthy

    def is_idle(self) -> bool:
        """Whether all records are synced."""
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
            # A record queued behind the checkpoint failed while the checkpoint completed.
            self._start_rewrite()

    async def _rewrite(self) -> None:
        """Writes the whole state as a checkpoint, with retries until the disk accepts it."""
        while True:
            count_before = self._record_count
            try:
                await self._queue.checkpoint(encode_record(snapshot_record(self.durable_state)))
                if count_before == self._record_count or not self._has_failed:
                    break
            except Exception as error:  # The disk refuses, or memory is exhausted.
                logger.debug("event=disk_refused_all error={!r}", str(error) or type(error).__name__)
                await asyncio.sleep(RETRY_S)
        self._has_failed = False
        self.check_health()
