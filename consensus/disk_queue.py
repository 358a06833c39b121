"""The event loop's side of the state on disk: a queue of commands that one thread works through.

The thread alone touches the store, so no call of the loop ever waits for the disk. Appends that wait are
written together and synced once (group commit). Commands run in the order in which they were given.
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
from consensus.slots import MAX_RECORD_BYTES, Loaded, Store

MAX_GROUP_BYTES = 1 << 20
MEMORY_RETRY_S = 0.05  # without memory to answer it is tried again after this
_T = TypeVar("_T")


@dataclass(frozen=True, slots=True, eq=False)
class _Load:
    future: asyncio.Future[Loaded]
    known_failures: int


@dataclass(frozen=True, slots=True, eq=False)
class _Append:
    future: asyncio.Future[None]
    known_failures: int
    record: bytes


@dataclass(frozen=True, slots=True, eq=False)
class _Checkpoint:
    future: asyncio.Future[None]
    known_failures: int
    state: bytes


@dataclass(frozen=True, slots=True, eq=False)
class _Stop:
    pass


class DiskQueue:
    """Runs a store in a thread of its own; made and called in the event loop's thread.

    A future is resolved once the disk has synced. After a failure, every append and checkpoint given before
    the loop was told of it fails as well: whoever gave it took the failed one as kept. Commands given after
    that are tried anew. Cancelling a future leaves its command in the queue.
    """

    def __init__(self, store: Store, name: str = "disk") -> None:
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._commands: queue.SimpleQueue[_Load | _Append | _Checkpoint | _Stop] = queue.SimpleQueue()
        self._next: _Load | _Append | _Checkpoint | _Stop | None = None  # taken while a group was made
        self._in_progress: list[_Load | _Append | _Checkpoint] = []  # off the queue, and not answered
        self._failure_count = 0  # counted by the thread
        self._known_failures = 0  # the failures that the loop was told of
        self._waiting = 0
        self._log_bytes = 0
        self._stopped = False
        self._is_loop_closed = False
        self._ended = asyncio.Event()
        # A hanging disk must not keep the process from ending: nothing waits for the thread at exit.
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    @property
    def waiting(self) -> int:
        """How many commands have no answer yet; many, or one for long, say that the disk hangs."""
        return self._waiting

    @property
    def log_bytes(self) -> int:
        """How long the log was, in bytes, at the newest answer."""
        return self._log_bytes

    def load(self) -> asyncio.Future[Loaded]:
        """What is kept, as `Store.load`; fails with DiskError."""
        done: asyncio.Future[Loaded] = self._loop.create_future()
        self._enqueue(_Load(done, self._known_failures))
        return done

    def append(self, record: bytes) -> asyncio.Future[None]:
        """Resolved once the record is synced; fails with DiskError. Raises ValueError for one too long."""
        if len(record) > MAX_RECORD_BYTES:
            raise ValueError(f"a record of {len(record)} bytes; make a checkpoint of what is so long")
        done: asyncio.Future[None] = self._loop.create_future()
        self._enqueue(_Append(done, self._known_failures, record))
        return done

    def checkpoint(self, state: bytes) -> asyncio.Future[None]:
        """Resolved once the state is what is kept, as `Store.checkpoint`; fails with DiskError."""
        done: asyncio.Future[None] = self._loop.create_future()
        self._enqueue(_Checkpoint(done, self._known_failures, state))
        return done

    async def close(self) -> None:
        """Returns once all that was given is done and the thread has ended; nothing may be given after.

        On a disk that hangs it hangs too: give it a time limit.
        """
        if not self._stopped:
            self._stopped = True
            self._commands.put(_Stop())
        await self._ended.wait()
        self._thread.join()

    def _enqueue(self, command: _Load | _Append | _Checkpoint) -> None:
        if self._stopped:
            raise DiskError("the queue to the disk is closed", "give no command after close")
        self._waiting += 1
        self._commands.put(command)

    # --- in the thread

    def _run(self) -> None:
        while not self._is_loop_closed:
            command, self._next = self._next or self._commands.get(), None
            if isinstance(command, _Stop):
                self._call_in_loop(self._ended.set)
                return
            self._in_progress = [command]
            try:
                self._execute(command)
            except Exception as error:  # there is no memory to do it, or to answer
                self._fail_in_progress(error)

    def _execute(self, command: _Load | _Append | _Checkpoint) -> None:
        if isinstance(command, _Append):
            self._append(self._collect_group(command))
        elif isinstance(command, _Load):
            self._load(command)
        else:
            self._checkpoint(command)

    def _fail_in_progress(self, error: Exception) -> None:
        """Whoever waits hears of a failure, however long there is no memory to say so."""
        while True:
            try:
                waiting: list[asyncio.Future[Any]] = [command.future for command in self._in_progress]
                self._fail(waiting, error, failed_now=True)
                return
            except MemoryError:
                time.sleep(MEMORY_RETRY_S)

    def _collect_group(self, first: _Append) -> list[_Append]:
        """An append and those that wait next behind it, up to a bound on their bytes."""
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
        late = [command.future for command in commands if command.known_failures != self._failure_count]
        group = [command for command in commands if command.known_failures == self._failure_count]
        if late:
            self._fail(late, _earlier_failure())
        if not group:
            return
        waiting = [command.future for command in group]
        try:
            self._store.append_all([command.record for command in group])
        except Exception as error:
            self._fail(waiting, error, failed_now=True)
        else:
            self._answer(waiting, lambda done: done.set_result(None))

    def _checkpoint(self, command: _Checkpoint) -> None:
        if command.known_failures != self._failure_count:
            self._fail([command.future], _earlier_failure())
            return
        try:
            self._store.checkpoint(command.state)
        except Exception as error:
            self._fail([command.future], error, failed_now=True)
        else:
            self._answer([command.future], lambda done: done.set_result(None))

    def _load(self, command: _Load) -> None:
        try:
            loaded = self._store.load()
        except Exception as error:
            self._fail([command.future], error, failed_now=True)
        else:
            self._answer([command.future], lambda done: done.set_result(loaded))

    def _fail(
        self, waiting: Sequence[asyncio.Future[_T]], error: Exception, failed_now: bool = False
    ) -> None:
        self._failure_count += failed_now
        failures = self._failure_count

        def tell() -> None:
            self._known_failures = failures  # also where nobody waits any more

        self._answer(waiting, lambda done: done.set_exception(error), tell)

    def _answer(
        self,
        waiting: Sequence[asyncio.Future[_T]],
        resolve: Callable[[asyncio.Future[_T]], None],
        tell: Callable[[], None] | None = None,
    ) -> None:
        """Hands an outcome to the loop, that of a whole group in one call."""
        log_bytes = self._store.log_bytes

        def in_loop() -> None:
            self._log_bytes = log_bytes
            self._waiting -= len(waiting)
            if tell is not None:
                tell()
            for done in waiting:
                if not done.done():  # else whoever waited was cancelled
                    resolve(done)

        self._call_in_loop(in_loop)

    def _call_in_loop(self, call: Callable[[], object]) -> None:
        try:
            self._loop.call_soon_threadsafe(call)
        except RuntimeError:  # the loop is closed: nobody waits any more, or gives anything
            self._is_loop_closed = True


def _earlier_failure() -> DiskError:
    return DiskError("a command given before this one failed", "give it again, on top of what is kept")
