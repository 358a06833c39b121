"""The number of balancers that budgets go by: up at once, down slowly, and at once for those who said so.

Every use divides what the fleet may do by this number: the room for calls, tenants' quota, and cold servers'
budget. Too high a number wastes some of it, too low a one exceeds it, for cold servers and for quota beyond
what can be taken back. Who seems gone may be serving beyond a cut; who says that it goes is gone.
"""

from __future__ import annotations

import math

FADE_MS = 10_000.0  # what is counted beyond those who are seen falls to 1/e in so long


class Counted:
    """One process's number."""

    def __init__(self, balancers: int = 1) -> None:
        """`balancers`: those that were set up, until views say more."""
        self._level, self._seen, self._at = float(balancers), balancers, 0.0

    def see(self, count: int, left: int, now: float) -> None:
        """So many are present or suspected, `left` have gone by their own word since the last time."""
        self._fade(now)
        self._level = max(self._level - left, float(count))
        self._seen = count

    def number(self, now: float) -> int:
        """How many to go by."""
        self._fade(now)
        return max(math.ceil(self._level - 0.05), 1)

    def _fade(self, now: float) -> None:
        gap = max(now - self._at, 0.0)
        self._level = self._seen + max(self._level - self._seen, 0.0) * math.exp(-gap / FADE_MS)
        self._at = max(now, self._at)
