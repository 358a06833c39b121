"""Implements the simulated clock and its event queue.

Times are milliseconds of one clock. Events at the same time run in the order in which they were scheduled, so
that the result does not depend on the layout of a heap or hash table.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

START_MS = 100_000.0  # initial clock value; 0 means "long ago" in the list of servers


class Events:
    """Event queue and simulated clock."""

    def __init__(self) -> None:
        self.now = START_MS
        self.handled = 0
        self._queue: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._sequence = 0

    def at(self, when_ms: float, action: Callable[[Any], None], subject: Any = None) -> None:
        """Schedule `action(subject)` at a time; a time in the past runs next."""
        self._sequence += 1
        heappush(self._queue, (when_ms, self._sequence, action, subject))

    def after(self, wait_ms: float, action: Callable[[Any], None], subject: Any = None) -> None:
        """Schedule `action(subject)` after a delay."""
        self._sequence += 1
        heappush(self._queue, (self.now + wait_ms, self._sequence, action, subject))

    def run(self, until_ms: float) -> None:
        """Run all events due before `until_ms` and set the clock to it."""
        queue = self._queue
        handled = 0
        while queue and queue[0][0] < until_ms:
            when, _, action, subject = heappop(queue)
            if when > self.now:
                self.now = when
            handled += 1
            action(subject)
        self.handled += handled
        self.now = until_ms
