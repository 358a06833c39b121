"""Adaptive concurrency limit: bounds the calls in flight by their service time (umberworks/interface.py)."""

from __future__ import annotations

import math

from umberworks.interface import Learned
from umberworks.reports import Reports

SAMPLE_CALLS = 30  # served calls per measurement of the service time; the first ones find the servers idle
BASELINE_DRIFT_MS = 100_000.0  # the baseline rises by 1/e over this, to readmit a fleet that stays slower
RATE_MEMORY_MS = 2_000.0  # smoothing of this balancer's served rate
# The lowest of many measurements lies about this much below the service time on an idle fleet, by chance
# alone. Without this factor the calls in flight settle at ten times this balancer's part of the servers at
# any demand.
BASELINE_BIAS = 1.1
CALLS_PER_SERVER = 4.0  # calls in flight per ready server, over all balancers, that are always allowed
# A smaller limit refuses much by random variation alone, the more so while another balancer is down and its
# clients come here, which is not announced. The floor also guards against a baseline that few calls made too
# low. All balancers' floors add up and could overload the servers: so the floor is this balancer's share with
# one balancer down, plus a few standard deviations, which add up to little over many balancers where a fixed
# number would not. It applies in full while service times are near the baseline, and not at all once they
# have doubled.
MAX_FLOOR = 16.0  # calls in flight; the floor also stays within the limit of all servers
FLOOR_DEVIATIONS = 3.0
FLOOR_FULL_AT, FLOOR_NONE_AT = 1.5, 2.0  # slowdown (service time / baseline): floor in full up to, none from
# Reported core utilization tells how much more the servers could do. All balancers see the same reports, so
# each may grow by the same factor. They are used only after calls have hung at a silent server, when the
# served rate says little: otherwise a later tier may be the full one, which the cores of the next tier do not
# show. As reports are late, they count only while service times are near the baseline.
FULL_UTIL = 0.85  # share of the cores in use beyond which calls mostly queue
UNRELIABLE_MS = 6_000.0  # time after calls hung at a silent server for which the served rate is unreliable
MIN_UTIL = 0.1  # an idle fleet says little about the capacity of a busy one
LOAD_PRIOR = 2.0  # weight, in calls, of assuming no load, so that a few slow calls do not refuse others


class ConcurrencyLimit:
    """Counts the calls in flight and measures their service time, in multiples of their classes' aims."""

    def __init__(self, balancers: int) -> None:
        self._balancers = balancers
        self.in_flight, self.other_process_calls = 0, 0  # of this process, and of the other one in an upgrade
        # Decaying sums: aims of served calls, call time. Sample: calls, aims, call time, start.
        self._aims, self._spent, self._now = 0.0, 0.0, 0.0
        self.reports, self.unreliable_until = Reports(), -math.inf
        self._earlier_calls = 0.0  # mean calls in flight, about as old as the reports
        self._calls, self._sample_aims, self._sample_spent, self._sample_start = 0, 0.0, 0.0, 0.0
        self.mean, self.baseline = 0.0, 0.0  # latest and lowest service time, in aims; 0: not measured yet

    def advance(self, now: float) -> None:
        """Bring the measurements up to `now`: calls in flight add time, and the decaying sums decay."""
        gap = now - self._now
        if gap > 0:
            decay = math.exp(-gap / RATE_MEMORY_MS)
            self._aims *= decay
            self._spent = self._spent * decay + self.in_flight * RATE_MEMORY_MS * (1 - decay)
            self._sample_spent += self.in_flight * gap
            self._earlier_calls += (self._spent / RATE_MEMORY_MS - self._earlier_calls) * (1 - decay)
            self.baseline = min(self.baseline * math.exp(min(gap / BASELINE_DRIFT_MS, 1.0)), 1.0)  # idle gaps
            self._now = now

    def on_served(self, aim_ms: float, now: float) -> None:
        """Count a served call of a class with this aim."""
        self._calls += 1
        self._aims += aim_ms
        self._sample_aims += aim_ms
        if self._calls >= SAMPLE_CALLS and (not self.baseline or now - self._sample_start >= RATE_MEMORY_MS):
            self.mean = self._sample_spent / self._sample_aims
            self.baseline = min(self.baseline or math.inf, self.mean)
            self._calls, self._sample_aims, self._sample_spent, self._sample_start = 0, 0.0, 0.0, now

    def on_silent_server(self, now: float) -> None:
        """Distrust the served rate for a while: calls hung at a silent server and held others back."""
        self.unreliable_until = now + UNRELIABLE_MS

    def state(self) -> tuple[float, float, float]:
        """Return the baseline and the decaying sums, for a successor process."""
        return self.baseline, self._aims, self._spent

    def restore(self, event: Learned) -> None:
        """Start from the previous process's values: a measurement among its calls would mislead."""
        self.mean = self.baseline = event.lowest
        self._aims, self._spent = event.aims_ms, event.spent_ms

    def is_full(self, ready: int) -> bool:
        """Return whether the limit for this number of ready servers is reached."""
        return self.in_flight + self.other_process_calls >= self.limit(ready)

    def load(self, aim_ms: float) -> float:
        """Return the mean service time in aims, weighed for a class with this aim."""
        return self._spent / (self._aims + LOAD_PRIOR * aim_ms)

    def limit(self, ready: int) -> float:
        """Return how many calls may be in flight; beyond its capacity a server only queues, or slows down."""
        ours = ready / self._balancers
        # The queueing term is added: a factor would let the limit shrink to nothing once calls take longer
        # than the factor allows for.
        queued = ours + BASELINE_BIAS * self.baseline * self._aims / RATE_MEMORY_MS
        lowest = self.baseline * self._aims
        slowdown = self._spent / lowest if lowest else 1.0
        calm = min(max((FLOOR_NONE_AT - slowdown) / (FLOOR_NONE_AT - FLOOR_FULL_AT), 0.0), 1.0)
        share = CALLS_PER_SERVER * ready / max(self._balancers - 1, 1)
        floor = calm * min(MAX_FLOOR, CALLS_PER_SERVER * ready, share + FLOOR_DEVIATIONS * math.sqrt(share))
        use = self.reports.utilization(self._now) if self._now < self.unreliable_until else None
        spare = calm * self._earlier_calls * FULL_UTIL / max(use, MIN_UTIL) if use is not None else 0.0
        limit = max(CALLS_PER_SERVER * ours, queued, floor, spare)
        # Once a baseline is known the limit bounds the mean: a burst may pass, sustained excess does harm.
        return 2 * limit - min(self._spent / RATE_MEMORY_MS, limit) if self.baseline else limit
