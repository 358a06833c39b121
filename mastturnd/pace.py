"""Rate limiter for reports: it protects the rest of a process's work from frequent requests."""

from __future__ import annotations

from collections import deque

MAX_REPORTS, WINDOW_S = 8, 1.0  # reports per window


class RateLimiter:
    """Limits the reports of one process within a sliding window."""

    def __init__(self) -> None:
        self._allowed_at: deque[float] = deque()

    def allows(self, now: float) -> bool:
        """Return whether another report is allowed now (monotonic seconds), and count it if so."""
        while self._allowed_at and now - self._allowed_at[0] >= WINDOW_S:
            self._allowed_at.popleft()
        if len(self._allowed_at) >= MAX_REPORTS:
            return False
        self._allowed_at.append(now)
        return True
