"""Server selection by learned capacity (the contract: umberworks/interface.py).

Candidates are drawn at random with probability proportional to their estimated capacity, and the candidate
with the lowest (calls in flight + 1) / capacity is taken (Algorithm 1 of the paper that DESIGN follows).
Servers that started recently ("cold") receive only what their warm-up allows.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from itertools import accumulate

from umberworks.interface import Settings
from umberworks.members import MEMORY_MS, PRIOR_CALLS, Server
from umberworks.room import RATE_MEMORY_MS

DRAWS = 4  # candidates per selection; with few calls per server, 2 too often miss the idle one
MIN_SUBSET = 16  # smallest subset of servers to use; in a smaller one a few failing servers weigh too much
CALLS_PER_SERVER = 4.0  # remembered calls per server in a subset above the minimum; fewer teach too little
HEALTHY = 0.5  # share of its usual capacity; a server below it is slow, cold or silent
COLD_BUDGET_SHARE = 0.8  # of a cold server's budget; the rest covers other balancers and expensive calls


class ServerSelector:
    """Selects servers for calls, by the capacities learned from earlier calls."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings, self._random = settings, rng
        self.ready, self.subset = list[Server](), list[Server]()  # subset: the ready servers in use here
        # With at least as many servers as balancers, calls in flight are numerous enough to be limited by
        # count.
        self.limits_by_count, self._sparse = False, False  # sparse: only a few calls per server
        self.median = 0.0  # of the known capacities; 0: none is known
        self._median_at, self._warm_rate, self._cold_until = 0.0, 0.0, 0.0

    def set_ready(self, ready: list[Server], now: float) -> None:
        """Replace the servers that may receive calls, and recompute what depends on them."""
        self.ready = ready
        self._update_subset(now)
        started = max((s.member.up_since_ms for s in ready), default=0.0)
        self._cold_until = started + self._settings.cold_ms
        self.invalidate_median()

    def invalidate_median(self) -> None:
        """Have the median recomputed at its next use."""
        self._median_at = -math.inf

    def _update_subset(self, now: float) -> None:
        """Limit the subset to as many servers, by this balancer's ranks, as its calls can measure."""
        calls = sum(s.served for s in self.ready)
        self.subset = self.ready[: max(MIN_SUBSET, round(calls / CALLS_PER_SERVER))]
        self.limits_by_count = len(self.ready) >= self._settings.balancers
        self._sparse = self._settings.sizes_exact and calls < CALLS_PER_SERVER * len(self.ready)
        warm = [s.served for s in self.subset if self._warm_share(s, now) >= 1]
        self._warm_rate = sum(warm) / len(warm) / MEMORY_MS if warm else self._warm_rate

    def refresh_median(self, now: float) -> float:
        """Return the median of the known estimates, recomputed over all servers only now and then."""
        if now - self._median_at >= RATE_MEMORY_MS / 4:
            self._median_at = now
            self._update_subset(now)
            known = sorted(s.served / s.busy / s.size for s in self.ready if s.served > 0.5 and s.busy > 0)
            if known:
                self.median = known[len(known) // 2]
        return self.median or 1.0

    def without_saturated_cold(self, servers: list[Server], now: float) -> list[Server]:
        """Return the servers that are warm, or cold with some of their budget left."""
        return [s for s in servers if self._has_cold_budget(s, now)] if now < self._cold_until else servers

    def pick(self, pool: list[Server], median: float, now: float) -> Server:
        """Draw candidates by capacity and return the least loaded one; `pool` is not empty."""
        capacity = [self._capacity(s, median, now) for s in pool]
        # With few calls most servers are idle, and the fastest of the candidates would always win. In that
        # case the first idle healthy candidate ends the draws, so that shares follow capacity and not a power
        # of it.
        sums = list(accumulate(capacity))
        best, chosen = (math.inf, 0.0, 0.0), pool[-1]
        for _ in range(DRAWS):
            i = min(bisect(sums, self._random.random() * sums[-1]), len(pool) - 1)
            load = ((pool[i].in_flight + 1) / capacity[i], -capacity[i], self._random.random())
            if load < best:
                best, chosen = load, pool[i]
            if self._sparse and not pool[i].in_flight and capacity[i] >= HEALTHY * median * pool[i].size:
                break
        return chosen

    def _capacity(self, server: Server, median: float, now: float) -> float:
        """Return calls served per millisecond in flight at the server, with the median as prior."""
        server.advance(now)
        usual = median * server.size
        estimate = (server.served + PRIOR_CALLS) / (server.busy + PRIOR_CALLS / usual)
        # A server uncordoned by an operator starts at the median, like a new one: rated as cold, it would
        # lose to every idle server.
        warmth = self._warm_share(server, now) if now < self._cold_until and not server.returned else 1.0
        return min(estimate, usual * warmth) if warmth < 1 else estimate

    def _warm_share(self, server: Server, now: float) -> float:
        """Return the share of its full capacity that a server of this age has at least."""
        age = now - server.member.up_since_ms
        if server.member.up_since_ms <= 0 or age >= self._settings.cold_ms:
            return 1.0
        start = self._settings.cold_from
        return start + (1 - start) * max(age, 0.0) / self._settings.cold_ms

    def _has_cold_budget(self, server: Server, now: float) -> bool:
        """Return whether a cold server may get a call; even spacing keeps balancers' bursts apart."""
        warmth = self._warm_share(server, now)
        rate = COLD_BUDGET_SHARE * self._settings.cold_overload_factor * warmth * self._warm_rate
        gap = now - server.last_sent
        return warmth >= 1 or gap * rate >= 1 or (not rate and gap >= self._settings.cold_window_ms)
