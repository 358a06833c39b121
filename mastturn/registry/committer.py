"""Applies events to a replica in batches, and commits each batch to disk before anybody hears of it.

Events that come while a batch is being written wait for the next one, so what the replica knows is never more
than one batch ahead of its file. Readers who come meanwhile wait for that batch too: nobody is told what is
not stored. The event loop never waits for the disk. A disk that refuses, or takes longer than `STUCK_S`,
fails: writers are then refused, and readers are told of what peers say as before, stored or not.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from fleet.registry import replica as core
from fleet.registry.entries import Entry, Key
from mastturn.registry.disk_thread import DiskThread
from mastturn.registry.http import now_ms
from mastturn.registry.store import Store, StoreError

log = logging.getLogger(__name__)

STUCK_S = 1.0  # a commit that takes longer makes the disk one that fails
RETRY_S = 1.0  # how often a disk that failed is tried again
STOP_S = 2.0  # the last commit is waited for so long

Outcome = asyncio.Future[core.Reply | None]
HostAction = core.SetTimer | core.Log


@dataclass(slots=True)
class _Batch:
    """Events that were applied together, and what is to be told once they are stored."""

    replies: list[tuple[Outcome, core.Reply | None]] = field(default_factory=list)
    lists: set[str] = field(default_factory=set)
    is_changed: bool = False


class Committer:
    """Owns a replica and its file; milliseconds of the steady clock."""

    def __init__(
        self,
        replica: core.Replica,
        store: Store,
        told: Callable[[frozenset[str]], None],
        host: Callable[[HostAction], None],
    ) -> None:
        """`told`: readers of these lists can be told of changes; `host`: carries out timers and log lines."""
        self.replica, self._store, self._told, self._host = replica, store, told, host
        self.failing = ""  # what the disk said last, if it fails
        self.stored_seen = dict(replica.seen)  # how far the peers' logs are on our disk
        self._queue: list[tuple[core.Event, Outcome]] = []
        self._given = asyncio.Event()
        self._unstored: dict[Key, tuple[int, Entry]] = {}
        self._forgotten: dict[Key, None] = {}
        self._late: asyncio.Task[None] | None = None  # a commit that takes longer than STUCK_S
        self._committed_at = 0.0  # when the last commit was begun
        self._is_settled = True
        self._readers: list[asyncio.Future[None]] = []
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to apply events."""
        self._thread = DiskThread()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Commit what is left, if the disk takes it within `STOP_S`, and let go of the file."""
        if self._task is None:
            self._store.close()
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        batch = self._apply()
        with contextlib.suppress(StoreError, TimeoutError):
            async with asyncio.timeout(STOP_S):
                await self._write()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_S):
                await self._thread.run(self._store.close)
        self._tell(batch)
        self._wake_readers()
        self._thread.stop()

    def submit(self, event: core.Event) -> Outcome:
        """Apply an event; resolved once what it changes is stored, or the disk has failed."""
        outcome: Outcome = asyncio.get_running_loop().create_future()
        self._queue.append((event, outcome))
        self._given.set()
        return outcome

    def is_settled(self) -> bool:
        """Whether what the replica knows is stored, or the disk has failed."""
        return self._is_settled or bool(self.failing)

    async def settled(self) -> None:
        """Return once what the replica knows is stored, or the disk has failed.

        The caller reads the replica before it awaits anything else: a batch may begin then.
        """
        while not self.is_settled():
            reader: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._readers.append(reader)
            await reader

    # ---- batches

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RETRY_S):
                    await self._given.wait()
            batch = self._apply()
            if batch.is_changed or self._is_commit_due():
                self._is_settled = False
                await self._commit()
                self._is_settled = True
            self._tell(batch)
            self._wake_readers()
            await asyncio.sleep(0)  # readers who have waited look before the next batch is applied

    def _apply(self) -> _Batch:
        """Apply all events that wait."""
        queue, self._queue = self._queue, []
        self._given.clear()
        batch = _Batch()
        for event, outcome in queue:
            reply: core.Reply | None = None
            for action in self.replica.handle(event, now_ms()):
                match action:
                    case core.Persist(entries, forgotten):
                        self.remember(entries, forgotten)
                        batch.is_changed = True
                    case core.ListsChanged(lists):
                        batch.lists |= lists
                    case core.Reply():
                        reply = action
                    case core.SetTimer() | core.Log():
                        self._host(action)
            batch.replies.append((outcome, reply))
        return batch

    def remember(self, entries: tuple[tuple[int, Entry], ...], forgotten: tuple[Key, ...]) -> None:
        """The next commit stores these entries, each with its revision, and drops the forgotten ones."""
        for revision, entry in entries:
            self._unstored[entry.key] = (revision, entry)
            self._forgotten.pop(entry.key, None)
        for key in forgotten:
            self._unstored.pop(key, None)
            self._forgotten[key] = None

    def _tell(self, batch: _Batch) -> None:
        if batch.lists:
            self._told(frozenset(batch.lists))
        for outcome, reply in batch.replies:
            if not outcome.done():
                outcome.set_result(reply)

    def _wake_readers(self) -> None:
        readers, self._readers = self._readers, []
        for reader in readers:
            if not reader.done():
                reader.set_result(None)

    # ---- the disk

    def _is_commit_due(self) -> bool:
        """Whether a disk that failed is to be tried again, or how far peers' logs are known to be kept."""
        since = asyncio.get_running_loop().time() - self._committed_at
        return since >= RETRY_S and (bool(self.failing) or self.stored_seen != self.replica.seen)

    async def _commit(self) -> None:
        """Store all that is not stored; returns at once while an earlier commit is late."""
        if self._late is not None:
            return
        loop = asyncio.get_running_loop()
        self._committed_at = loop.time()
        self._late = commit = loop.create_task(self._write())
        commit.add_done_callback(self._ended)
        done, _ = await asyncio.wait({commit}, timeout=STUCK_S)
        if not done:
            self._fail(f"the disk has not answered for {STUCK_S:g} s")
        elif (error := commit.exception()) is not None:
            self._fail(str(error))
        else:
            self._recover()

    async def _write(self) -> None:
        """Commit what is not stored now; raises StoreError."""
        rows, gone = dict(self._unstored), dict(self._forgotten)
        replica = self.replica
        seen, acked = dict(replica.seen), dict(replica.acked)
        await self._thread.run(
            self._store.write,
            list(rows.values()),
            list(gone),
            replica.history.state_without_entries(),
            seen,
            acked,
        )
        for key, row in rows.items():
            if self._unstored.get(key) == row:
                del self._unstored[key]
        for key in gone:
            self._forgotten.pop(key, None)
        self.stored_seen = seen

    def _ended(self, commit: asyncio.Task[None]) -> None:
        """A commit has ended, perhaps late: what came after it is stored by the next one."""
        self._late = None
        if not commit.cancelled() and (error := commit.exception()) is not None and self.failing:
            self.failing = str(error)

    def _fail(self, error: str) -> None:
        if not self.failing:
            log.error("registry: %s; writes are refused until it can be written again", error)
        self.failing = error

    def _recover(self) -> None:
        if self.failing:
            log.info("registry: the disk can be written again")
        self.failing = ""
