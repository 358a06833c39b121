"""Which requests upstreams take up first: the `Priority` that each call tells, 0 to 9, the lowest first.

An upstream reads one prompt after the other and leaves none half read for a more urgent one. A short prompt
costs a long one little and waits long behind it, so readings go by length, weighed with the route's rank.
Runs share their upstream: they go by the route's rank, and within it by length.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from config.configuration import Route

USUAL_SHARE = 0.05  # of a smoothed length that the latest one makes up
LAST = 9
MIDDLE = 4  # a reading of the usual weight; each step beyond is twice as long


class Urgency:
    """Remembers how long prompts usually are. Lengths in tokens."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}  # tokens of a prompt, smoothed, by route
        self._reading = 0.0  # weight of a reading, smoothed over all routes

    def keep_only(self, routes: Collection[str]) -> None:
        """Forget routes that are no more."""
        self._usual = {name: usual for name, usual in self._usual.items() if name in routes}

    def of_run(self, route: Route, tokens: int) -> int:
        """A run's, for a prompt that is read already; it counts for what is usual."""
        usual = self._usual.get(route.name, 0.0) or float(tokens)
        self._usual[route.name] = usual + (tokens - usual) * USUAL_SHARE
        size = 0 if tokens < usual / 2 else 1 if tokens <= usual * 2 else 2
        return min(route.prio * 3 + size, LAST)

    def of_reading(self, route: Route, missing: int) -> int:
        """That of a call which has `missing` tokens (one at the least) read; it counts for what is usual."""
        weight = float(missing * (1 + route.prio))
        usual = self._reading or weight
        self._reading = usual + (weight - usual) * USUAL_SHARE
        return min(max(round(MIDDLE + math.log2(weight / usual)), 0), LAST)
