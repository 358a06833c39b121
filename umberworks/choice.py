"""The ordinary path: which server a call goes to, after DESIGN (the contract: umberworks/interface.py).

Servers are drawn with probability proportional to the capacity that we have learned of them; the one with the
lowest (our calls in flight + 1) / capacity is taken (the paper's Algorithm 1). Cold ones are spared.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from itertools import accumulate

from umberworks.interface import Settings
from umberworks.members import MEMORY_MS, PRIOR_CALLS, Server
from umberworks.room import RATE_MEMORY_MS

DRAWS = 4  # d of the design; with few calls out for each server a draw of 2 too often misses the free one
LEAST_KEPT = 16  # servers that a balancer keeps to at the least: of fewer, a few failing ones weigh too much
CALLS_EACH = 4.0  # calls in memory for each server kept to beyond these; with fewer our view is a sliver
GOOD = 0.5  # of its usual capacity; below it a server is slow, cold or silent
COLD_SAFETY = 0.8  # the part of a cold server's budget that we use: other balancers and heavy calls count too


class ServerSelector:
    """The servers that may be sent to, and what is known of them together."""

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        self._settings, self._random = settings, chance
        self.ready, self.fit = list[Server](), list[Server]()  # fit: the part of them that we keep to
        # As many servers as balancers, so that a count of calls out is no chance; few calls for each server.
        self.counted, self._sliver = False, False
        self.median = 0.0  # of the known capacities; 0: none is known
        self._median_at, self._usual_rate, self._cold_until = 0.0, 0.0, 0.0

    def take(self, ready: list[Server], now: float) -> None:
        """Take over which servers may be sent to, with the measures of them all."""
        self.ready = ready
        self._keep(now)
        started = max((s.member.up_since_ms for s in ready), default=0.0)
        self._cold_until = started + self._settings.cold_ms
        self.measure_anew()

    def measure_anew(self) -> None:
        """The median is out of date."""
        self._median_at = -math.inf

    def _keep(self, now: float) -> None:
        """Keep to as many servers as our calls can tell of, by ranks of our own: more we know by scraps."""
        calls = sum(s.served for s in self.ready)
        self.fit = self.ready[: max(LEAST_KEPT, round(calls / CALLS_EACH))]
        self.counted = len(self.ready) >= self._settings.balancers
        self._sliver = self._settings.sizes_exact and calls < CALLS_EACH * len(self.ready)
        warm = [s.served for s in self.fit if self._warm_fraction(s, now) >= 1]
        self._usual_rate = sum(warm) / len(warm) / MEMORY_MS if warm else self._usual_rate

    def bring_up(self, now: float) -> float:
        """The median of the known estimates; measures of the whole fleet are taken now and then only."""
        if now - self._median_at >= RATE_MEMORY_MS / 4:
            self._median_at = now
            self._keep(now)
            known = sorted(s.served / s.busy / s.size for s in self.ready if s.served > 0.5 and s.busy > 0)
            if known:
                self.median = known[len(known) // 2]
        return self.median or 1.0

    def spare_cold(self, able: list[Server], now: float) -> list[Server]:
        """Those that a call does no harm to: warm, or cold with something of their budget left."""
        return [s for s in able if self._cold_room(s, now)] if now < self._cold_until else able

    def pick(self, able: list[Server], median: float, now: float) -> Server:
        """Draw servers by capacity and take the one least loaded after this call; `able` is not empty."""
        capacity = [self._capacity(s, median, now) for s in able]
        # Of few calls our counts are mostly 0, and the fastest of four idle servers would always win: there
        # an idle server in good standing ends the draws, and shares follow capacity, not a power of it.
        sums = list(accumulate(capacity))
        best, chosen = (math.inf, 0.0, 0.0), able[-1]
        for _ in range(DRAWS):
            i = min(bisect(sums, self._random.random() * sums[-1]), len(able) - 1)
            load = ((able[i].in_flight + 1) / capacity[i], -capacity[i], self._random.random())
            if load < best:
                best, chosen = load, able[i]
            if self._sliver and not able[i].in_flight and capacity[i] >= GOOD * median * able[i].size:
                break
        return chosen

    def _capacity(self, server: Server, median: float, now: float) -> float:
        """c of the design: served calls over our time in flight there, leaning on the median."""
        server.catch_up(now)
        usual = median * server.size
        estimate = (server.served + PRIOR_CALLS) / (server.busy + PRIOR_CALLS / usual)
        # One put back by hand starts at the median, like a new id: cold, it would lose to each idle one.
        warmth = self._warm_fraction(server, now) if now < self._cold_until and not server.back else 1.0
        return min(estimate, usual * warmth) if warmth < 1 else estimate

    def _warm_fraction(self, server: Server, now: float) -> float:
        """The share of its capacity that a server has at the least, by its age."""
        age = now - server.member.up_since_ms
        if server.member.up_since_ms <= 0 or age >= self._settings.cold_ms:
            return 1.0
        start = self._settings.cold_from
        return start + (1 - start) * max(age, 0.0) / self._settings.cold_ms

    def _cold_room(self, server: Server, now: float) -> bool:
        """Whether a cold server can take a call: evenly spaced, as bursts and roundings of many add up."""
        warmth = self._warm_fraction(server, now)
        rate = COLD_SAFETY * self._settings.cold_overload_factor * warmth * self._usual_rate
        gap = now - server.last_sent
        return warmth >= 1 or gap * rate >= 1 or (not rate and gap >= self._settings.cold_window_ms)
