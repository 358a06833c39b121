"""The `Priority` header of upstream calls: 0 to 9, lowest first.

An upstream prefills one prompt after the other and does not preempt one for a more urgent one. A short prompt
delays a long one little but would wait long behind it, so prefills are ordered by length, weighed with the
route's priority. Runs share their upstream: they are ordered by the route's priority, and within it by
length.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from config.configuration import Route

SMOOTHING = 0.05  # weight of the latest prompt in the usual length
LAST = 9
MIDDLE = 4  # a prefill of the usual weight; each step beyond is twice as long


class PriorityEstimator:
    """Computes priorities relative to the usual length of prompts. Lengths in tokens."""

    def __init__(self) -> None:
        self._usual_tokens: dict[str, float] = {}  # prompt length by route, smoothed
        self._usual_weight = 0.0  # weight of a prefill, smoothed over all routes

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop routes that no longer exist."""
        self._usual_tokens = {name: usual for name, usual in self._usual_tokens.items() if name in routes}

    def run_priority(self, route: Route, tokens: int) -> int:
        """Return the priority of a run whose prompt is prefilled already, and learn from its length."""
        usual = self._usual_tokens.get(route.name, 0.0) or float(tokens)
        self._usual_tokens[route.name] = usual + (tokens - usual) * SMOOTHING
        size = 0 if tokens < usual / 2 else 1 if tokens <= usual * 2 else 2
        return min(route.prio * 3 + size, LAST)

    def prefill_priority(self, route: Route, uncached: int) -> int:
        """Return the priority of a call with `uncached` tokens (at least 1) to prefill, and learn from it."""
        weight = float(uncached * (1 + route.prio))
        usual = self._usual_weight or weight
        self._usual_weight = usual + (weight - usual) * SMOOTHING
        return min(max(round(MIDDLE + math.log2(weight / usual)), 0), LAST)
