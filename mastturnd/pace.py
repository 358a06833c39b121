"""How often a process reports on itself: whoever asks oftener waits, and the rest of its work does not."""

from __future__ import annotations

from collections import deque

MAX_REPORTS, WINDOW_S = 8, 1.0  # reports in a second


class RateLimiter:
    """Counts the reports of one process."""

    def __init__(self) -> None:
        self._allowed_at: deque[float] = deque()

    def allows(self, now: float) -> bool:
        """Whether one more may be given now (s on the steady clock); it counts if so."""
        while self._allowed_at and now - self._allowed_at[0] >= WINDOW_S:
            self._allowed_at.popleft()
        if len(self._allowed_at) >= MAX_REPORTS:
            return False
        self._allowed_at.append(now)
        return True
