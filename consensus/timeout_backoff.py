"""Backoff for time-outs that depend on disks: doubled after each time-out, and halved as time passes."""

from __future__ import annotations

MAX_FACTOR = 8.0
DECAY_MS = 5_000.0  # The factor is halved after this long without a time-out.


class TimeoutBackoff:
    """A factor from 1 to 8 for time-outs that include syncs; times are milliseconds of a monotonic clock."""

    def __init__(self) -> None:
        self._factor = 1.0
        self._changed_at = 0.0

    def factor(self, now: float) -> float:
        """Returns the factor for time-outs at this time."""
        while self._factor > 1.0 and now - self._changed_at > DECAY_MS:
            self._factor, self._changed_at = self._factor / 2, self._changed_at + DECAY_MS
        return self._factor

    def hold(self, now: float) -> None:
        """Postpones the next decay, after a wait that was long but successful."""
        self.factor(now)
        self._changed_at = now

    def increase(self, now: float) -> None:
        """Doubles the factor after a time-out."""
        self._factor, self._changed_at = min(MAX_FACTOR, self.factor(now) * 2), now
