"""Smooths the number of balancers by which shared budgets are divided: it rises at once and falls slowly.

Every use divides a fleet-wide limit by this number: room for calls, tenants' quotas, and the budget of cold
servers. Too high a number wastes part of the limit; too low a one exceeds it, and for cold servers and for
quota the excess can't be taken back. A balancer that seems to have failed may still be serving on the other
side of a partition, so it is counted for a while; one that announced its departure is deducted at once.
"""

from __future__ import annotations

import math

DECAY_MS = 10_000.0  # time in which the excess over the number present falls to 1/e


class BalancerCount:
    """One process's smoothed count of balancers."""

    def __init__(self, balancers: int = 1) -> None:
        """`balancers` is the configured number, used until views are received."""
        self._level, self._present, self._updated_at = float(balancers), balancers, 0.0

    def update(self, count: int, left: int, now: float) -> None:
        """Updates the count: `count` are present or suspected, `left` departed since the last update."""
        self._decay(now)
        self._level = max(self._level - left, float(count))
        self._present = count

    def value(self, now: float) -> int:
        """Returns the number of balancers to divide budgets by, at least 1."""
        self._decay(now)
        return max(math.ceil(self._level - 0.05), 1)

    def _decay(self, now: float) -> None:
        elapsed = max(now - self._updated_at, 0.0)
        self._level = self._present + max(self._level - self._present, 0.0) * math.exp(-elapsed / DECAY_MS)
        self._updated_at = max(now, self._updated_at)
