"""The number of balancers that budgets go by: up at once, down slowly, and at once for those who said so.

Every use divides what the fleet may do by this number: the room for calls, tenants' quota, and cold servers'
budget. Too high a number wastes some of it, too low a one exceeds it, for cold servers and for quota beyond
what can be taken back. Who seems gone may be serving beyond a cut; who says that it goes is gone.
"""

from __future__ import annotations

import math

DECAY_MS = 10_000.0  # what is counted beyond those who are seen falls to 1/e in so long


class BalancerCount:
    """One process's number."""

    def __init__(self, balancers: int = 1) -> None:
        """`balancers`: those that were set up, until views say more."""
        self._level, self._present, self._updated_at = float(balancers), balancers, 0.0

    def update(self, count: int, left: int, now: float) -> None:
        """So many are present or suspected, `left` have gone by their own word since the last time."""
        self._decay(now)
        self._level = max(self._level - left, float(count))
        self._present = count

    def value(self, now: float) -> int:
        """How many to go by."""
        self._decay(now)
        return max(math.ceil(self._level - 0.05), 1)

    def _decay(self, now: float) -> None:
        elapsed = max(now - self._updated_at, 0.0)
        self._level = self._present + max(self._level - self._present, 0.0) * math.exp(-elapsed / DECAY_MS)
        self._updated_at = max(now, self._updated_at)
