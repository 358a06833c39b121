"""How often a process reports on itself: whoever asks oftener waits, and the rest of its work does not."""

from __future__ import annotations

from collections import deque

MOST, WINDOW_S = 8, 1.0  # reports in a second


class Pace:
    """Counts the reports of one process."""

    def __init__(self) -> None:
        self._given: deque[float] = deque()

    def allows(self, now: float) -> bool:
        """Whether one more may be given now (s on the steady clock); it counts if so."""
        while self._given and now - self._given[0] >= WINDOW_S:
            self._given.popleft()
        if len(self._given) >= MOST:
            return False
        self._given.append(now)
        return True
