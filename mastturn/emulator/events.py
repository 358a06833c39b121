"""Simulated time: what is due, in order.

Times are milliseconds of one clock. Two events at the same moment happen in the order in which they were
asked for, so that nothing depends on how a heap or a hash table lays things out.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

START_MS = 100_000.0  # where the clock begins: 0 stands for "long ago" in the list of servers


class Events:
    """The queue of events, and the clock that they move."""

    def __init__(self) -> None:
        self.now = START_MS
        self.handled = 0
        self._queue: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._sequence = 0

    def at(self, when_ms: float, action: Callable[[Any], None], subject: Any = None) -> None:
        """Do `action(subject)` at a moment; one that is past happens next."""
        self._sequence += 1
        heappush(self._queue, (when_ms, self._sequence, action, subject))

    def after(self, wait_ms: float, action: Callable[[Any], None], subject: Any = None) -> None:
        """Do `action(subject)` after a wait."""
        self._sequence += 1
        heappush(self._queue, (self.now + wait_ms, self._sequence, action, subject))

    def run(self, until_ms: float) -> None:
        """Let everything happen that is due before `until_ms`, and end there."""
        due = self._queue
        handled = 0
        while due and due[0][0] < until_ms:
            when, _, action, subject = heappop(due)
            if when > self.now:
                self.now = when
            handled += 1
            action(subject)
        self.handled += handled
        self.now = until_ms
