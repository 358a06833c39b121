"""How long to wait for disks: longer after each wait that was in vain, and less again as time goes by."""

from __future__ import annotations

MAX_FACTOR = 8.0
DECAY_MS = 5_000.0  # after so long without a wait in vain half of the patience goes


class TimeoutBackoff:
    """A factor of 1 to 8 for the times that syncs have a part in; milliseconds of the steady clock."""

    def __init__(self) -> None:
        self._factor = 1.0
        self._changed_at = 0.0

    def factor(self, now: float) -> float:
        """How many times as long as usual to wait."""
        while self._factor > 1.0 and now - self._changed_at > DECAY_MS:
            self._factor, self._changed_at = self._factor / 2, self._changed_at + DECAY_MS
        return self._factor

    def hold(self, now: float) -> None:
        """A wait was long, and not in vain: what we have of patience is needed."""
        self.factor(now)
        self._changed_at = now

    def increase(self, now: float) -> None:
        """A wait was in vain."""
        self._factor, self._changed_at = min(MAX_FACTOR, self.factor(now) * 2), now
