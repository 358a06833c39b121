"""Asynchronous access to the store on disk: the event loop queues commands for one worker thread.

Only the thread touches the store, so no call in the event loop waits for the disk. Appends that are waiting
are written together and synced once (group commit). Commands run in the order in which they were queued.
"""

from __future__ import annotations

import asyncio
import queue
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from config.errors import DiskError
from consensus.disk_store import MAX_RECORD_BYTES, Loaded, Store

MAX_GROUP_BYTES = 1 << 20
MEMORY_RETRY_S = 0.05  # Delay between attempts to report a failure while memory is exhausted.
_T = TypeVar("_T")


@dataclass(frozen=True, slots=True, eq=False)
class _Load:
    """Reads the store."""

    future: asyncio.Future[Loaded]
    known_failures: int


@dataclass(frozen=True, slots=True, eq=False)
class _Append:
    """Appends one record."""

    future: asyncio.Future[None]
    known_failures: int
    record: bytes


@dataclass(frozen=True, slots=True, eq=False)
class _Checkpoint:
    """Replaces the stored state."""

    future: asyncio.Future[None]
    known_failures: int
    state: bytes


@dataclass(frozen=True, slots=True, eq=False)
class _Stop:
    """Ends the thread."""

    pass


class DiskQueue:
    """Runs a store in a thread of its own; created and called in the thread of the event loop.

    A future resolves after the disk has synced. When a command fails, all appends and checkpoints that were
    queued before the loop learned of the failure fail too, because their callers assumed that the failed one
    had succeeded. Commands queued later run normally. Cancelling a future leaves its command in the queue.
    """

    def __init__(self, store: Store, name: str = "disk") -> None:
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._commands: queue.SimpleQueue[_Load | _Append | _Checkpoint | _Stop] = queue.SimpleQueue()
        # Taken off the queue while a group was collected.
        self._next: _Load | _Append | _Checkpoint | _Stop | None = None
        # Taken off the queue and not answered yet.
        self._in_progress: list[_Load | _Append | _Checkpoint] = []
        self._failure_count = 0  # Counted by the thread.
        self._known_failures = 0  # The failures that the event loop has been told of.
        self._waiting = 0
        self._log_bytes = 0
        self._stopped = False
        self._is_loop_closed = False
        self._ended = asyncio.Event()
        # A daemon thread: a disk that hangs must not keep the process from exiting.
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    @property
    def waiting(self) -> int:
        """The number of unanswered commands; it grows while the disk hangs."""
        return self._waiting

    @property
    def log_bytes(self) -> int:
        """The length of the log in bytes, as of the latest completed command."""
        return self._log_bytes

    def load(self) -> asyncio.Future[Loaded]:
        """Reads the stored state as `Store.load` does; the future fails with DiskError."""
        future: asyncio.Future[Loaded] = self._loop.create_future()
        self._enqueue(_Load(future, self._known_failures))
        return future

    def append(self, record: bytes) -> asyncio.Future[None]:
        """Queues a record; the future resolves once it is synced and fails with DiskError.

        Raises ValueError for a record above the size limit.
        """
        if len(record) > MAX_RECORD_BYTES:
            raise ValueError(f"record of {len(record)} bytes is too long for the log; make a checkpoint")
        future: asyncio.Future[None] = self._loop.create_future()
        self._enqueue(_Append(future, self._known_failures, record))
        return future

    def checkpoint(self, state: bytes) -> asyncio.Future[None]:
        """Queues a checkpoint; the future resolves once it is synced and fails with DiskError."""
        future: asyncio.Future[None] = self._loop.create_future()
        self._enqueue(_Checkpoint(future, self._known_failures, state))
        return future

    async def close(self) -> None:
        """Returns once all queued commands are done and the thread has ended.

        No command may be queued after this call. It hangs while the disk hangs, so callers should set a time
        limit.
        """
        if not self._stopped:
            self._stopped = True
            self._commands.put(_Stop())
        await self._ended.wait()
        self._thread.join()

    def _enqueue(self, command: _Load | _Append | _Checkpoint) -> None:
        if self._stopped:
            raise DiskError("the disk queue is closed", "queue no command after close")
        self._waiting += 1
        self._commands.put(command)

    # --- in the worker thread

    def _run(self) -> None:
        while not self._is_loop_closed:
            command, self._next = self._next or self._commands.get(), None
            if isinstance(command, _Stop):
                self._call_in_loop(self._ended.set)
                return
            self._in_progress = [command]
            try:
                self._execute(command)
            except Exception as error:  # Memory was too short to run the command or to report its outcome.
                self._fail_in_progress(error)

    def _execute(self, command: _Load | _Append | _Checkpoint) -> None:
        if isinstance(command, _Append):
            self._append(self._collect_group(command))
        elif isinstance(command, _Load):
            self._load(command)
        else:
            self._checkpoint(command)

    def _fail_in_progress(self, error: Exception) -> None:
        """Fails the commands in progress; retries while memory is too short to report the failure."""
        while True:
            try:
                futures: list[asyncio.Future[Any]] = [command.future for command in self._in_progress]
                self._fail(futures, error, failed_now=True)
                return
            except MemoryError:
                time.sleep(MEMORY_RETRY_S)

    def _collect_group(self, first: _Append) -> list[_Append]:
        """Returns an append and those queued directly behind it, up to `MAX_GROUP_BYTES`."""
        group, size = [first], len(first.record)
        while size < MAX_GROUP_BYTES:
            try:
                command = self._commands.get_nowait()
            except queue.Empty:
                break
            if not isinstance(command, _Append):
                self._next = command
                break
            group.append(command)
            self._in_progress.append(command)
            size += len(command.record)
        return group

    def _append(self, commands: Sequence[_Append]) -> None:
        overtaken = [command.future for command in commands if command.known_failures != self._failure_count]
        group = [command for command in commands if command.known_failures == self._failure_count]
        if overtaken:
            self._fail(overtaken, _earlier_failure())
        if not group:
            return
        futures = [command.future for command in group]
        try:
            self._store.append_all([command.record for command in group])
        except Exception as error:
            self._fail(futures, error, failed_now=True)
        else:
            self._answer(futures, lambda future: future.set_result(None))

    def _checkpoint(self, command: _Checkpoint) -> None:
        if command.known_failures != self._failure_count:
            self._fail([command.future], _earlier_failure())
            return
        try:
            self._store.checkpoint(command.state)
        except Exception as error:
            self._fail([command.future], error, failed_now=True)
        else:
            self._answer([command.future], lambda future: future.set_result(None))

    def _load(self, command: _Load) -> None:
        try:
            loaded = self._store.load()
        except Exception as error:
            self._fail([command.future], error, failed_now=True)
        else:
            self._answer([command.future], lambda future: future.set_result(loaded))

    def _fail(
        self, futures: Sequence[asyncio.Future[_T]], error: Exception, failed_now: bool = False
    ) -> None:
        self._failure_count += failed_now
        failures = self._failure_count

        def record_failures() -> None:
            self._known_failures = failures  # Also when no future is waiting any more.

        self._answer(futures, lambda future: future.set_exception(error), record_failures)

    def _answer(
        self,
        futures: Sequence[asyncio.Future[_T]],
        resolve: Callable[[asyncio.Future[_T]], None],
        before_resolving: Callable[[], None] | None = None,
    ) -> None:
        """Passes an outcome to the event loop, one call for a whole group."""
        log_bytes = self._store.log_bytes

        def in_loop() -> None:
            self._log_bytes = log_bytes
            self._waiting -= len(futures)
            if before_resolving is not None:
                before_resolving()
            for future in futures:
                if not future.done():  # False if the caller cancelled it.
                    resolve(future)

        self._call_in_loop(in_loop)

    def _call_in_loop(self, call: Callable[[], object]) -> None:
        try:
            self._loop.call_soon_threadsafe(call)
        except RuntimeError:  # The loop is closed, so nothing is waiting and nothing more will be queued.
            self._is_loop_closed = True


def _earlier_failure() -> DiskError:
    return DiskError("a command queued earlier failed", "retry it on top of the stored state")
