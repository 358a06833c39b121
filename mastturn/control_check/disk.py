"""A disk of simulated time: one queue in order; slow, full or hanging; emptied by a wipe."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from consensus.codec import Record, apply_record
from consensus.views import DurableState


class Disk:
    """Keeps what was synced; `done(True)` comes after the sync, `done(False)` when it refuses."""

    def __init__(
        self, sync_ms: float, rng: random.Random, later: Callable[[float, Callable[[], None]], None]
    ) -> None:
        self._sync_ms, self._random, self._later = sync_ms, rng, later
        self.synced_state: DurableState | None = None  # None: empty
        self._queue: deque[tuple[Record, Callable[[bool], None]]] = deque()
        self._group = 0
        self._turn = 0  # of the sync under way; a later one makes it void
        self.refuses = False
        self.hangs = False
        self.slow = 1.0  # times as slow
        self.syncs = 0

    def sync(self, record: Record, done: Callable[[bool], None]) -> None:
        """Sync a record behind those that wait."""
        self._queue.append((record, done))
        if len(self._queue) == 1:
            self._start()

    def power_off(self) -> None:
        """The process or the machine dies: of what waits, a part may have reached the disk."""
        for _ in range(self._random.choice((0, 0, 1, 9))):
            if not self._queue or self.refuses or self.synced_state is None:
                break
            apply_record(self.synced_state, self._queue.popleft()[0])
        self._queue.clear()
        self._turn += 1

    def wipe(self, identity: str) -> None:
        """An empty disk, on which a new identity was synced."""
        self._queue.clear()
        self._turn += 1
        self.synced_state = DurableState(identity)

    def recover(self) -> None:
        """The trouble is over; what hung is synced now."""
        self.refuses, self.slow = False, 1.0
        if self.hangs:
            self.hangs = False
            if self._queue:
                self._start()

    def _start(self) -> None:
        self._turn += 1
        self._group = len(self._queue)  # what waits is written together and synced once
        turn = self._turn
        self._later(self._sync_ms * self.slow * self._random.uniform(0.5, 2.0), lambda: self._synced(turn))

    def _synced(self, turn: int) -> None:
        if turn != self._turn or self.hangs or not self._queue:
            return
        if self.refuses:
            waiting = list(self._queue)
            self._queue.clear()
            for _, done in waiting:  # what was given behind a refused record fails with it
                done(False)
            return
        group, self._group = self._group, 0
        synced = [self._queue.popleft() for _ in range(group)]
        assert self.synced_state is not None
        for record, _ in synced:
            apply_record(self.synced_state, record)
        self.syncs += 1
        if self._queue:
            self._start()
        for _, done in synced:
            done(True)
