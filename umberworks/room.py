"""How many calls may be out at once, by their time in service (the contract: umberworks/interface.py)."""

from __future__ import annotations

import math

from umberworks.interface import Learned
from umberworks.reports import Reports

BASE_CALLS = 30  # served calls that make a measure of the time in service; the first find servers free
BASE_DRIFT_MS = 100_000.0  # it rises by 1/e over this, so that a fleet that stays slower gets its room back
RATE_MEMORY_MS = 2_000.0  # smoothing of our own served rate
# By chance alone the lowest of many measures lies about this much below what calls take on a free fleet. With
# a room that much too small, calls out settle at ten times our part of the servers, whatever is asked.
LOWEST_BY_CHANCE = 1.1
FREE_PER_SERVER = 4.0  # calls out for each ready server, over all balancers, let through in any case
# Of a smaller room chance alone refuses much, all the more while another balancer is away and its callers
# come here, which nobody tells us. Guards too against a lowest time in service that few calls made too low.
# All balancers' least rooms together crowd the servers: so it is our part with one of them away and the
# deviations of that, which add up to little over many balancers where a fixed number would not. It holds only
# while calls take about as long as at best, and is gone where they take twice that.
LEAST_ROOM = 16.0  # calls out that a balancer then lets through at the most, up to the room of all servers
LEAST_DEVIATIONS = 3.0
LEAST_FULL, LEAST_NONE = 1.5, 2.0  # time in service, in lowest ones, up to which it holds in full, or at all
# What the servers report of their cores says how much more they could do; all balancers see the same,
# so that each may take that much more than it has. They are asked only after calls hung at a silent server,
# when what was served says little: on other days another tier may be the full one, which the next tier's
# cores don't show. It holds only while calls take about as long as at best, as reports are late.
USE_FULL = 0.85  # share of the cores in use beyond which calls mostly wait
SPOILT_MS = 6_000.0  # after calls hung at a silent server, what was served says little of what could be
LEAST_USE = 0.1  # an idle fleet says little of what a busy one could do
LOAD_PRIOR = 2.0  # calls' worth of belief that all is well, so that a few slow calls do not refuse others


class ConcurrencyLimit:
    """Counts the calls out and measures how long they take, in aims of their classes."""

    def __init__(self, balancers: int) -> None:
        self._balancers = balancers
        self.out, self.other_process_calls = (
            0,
            0,
        )  # calls out, ours and those of the other process of an upgrade
        # In memory: aims of served calls, time in flight; of the block measured: calls, aims, time, start.
        self._aims, self._spent, self._seen = 0.0, 0.0, 0.0
        self.reports, self.spoilt_until = Reports(), -math.inf
        self._earlier = 0.0  # mean calls out, about as old as what is reported of them
        self._calls, self._block_aims, self._times, self._block_from = 0, 0.0, 0.0, 0.0
        self.mean, self.baseline = 0.0, 0.0  # time in service, last and lowest, in aims; 0: not measured yet

    def catch_up(self, now: float) -> None:
        """Bring the measure to `now`: calls that are still out add time, and all of it fades."""
        gap = now - self._seen
        if gap > 0:
            fade = math.exp(-gap / RATE_MEMORY_MS)
            self._aims *= fade
            self._spent = self._spent * fade + self.out * RATE_MEMORY_MS * (1 - fade)
            self._times += self.out * gap
            self._earlier += (self._spent / RATE_MEMORY_MS - self._earlier) * (1 - fade)
            self.baseline = min(
                self.baseline * math.exp(min(gap / BASE_DRIFT_MS, 1.0)), 1.0
            )  # idle for hours
            self._seen = now

    def served(self, aim_ms: float, now: float) -> None:
        """Count a served call."""
        self._calls += 1
        self._aims += aim_ms
        self._block_aims += aim_ms
        if self._calls >= BASE_CALLS and (not self.baseline or now - self._block_from >= RATE_MEMORY_MS):
            self.mean = self._times / self._block_aims
            self.baseline = min(self.baseline or math.inf, self.mean)
            self._calls, self._block_aims, self._times, self._block_from = 0, 0.0, 0.0, now

    def spoilt(self, now: float) -> None:
        """Calls have hung at a silent server: what is served now is less than could be."""
        self.spoilt_until = now + SPOILT_MS

    def learned(self) -> tuple[float, float, float]:
        """The lowest time in service and the memory, for a process that takes our place."""
        return self.baseline, self._aims, self._spent

    def told(self, event: Learned) -> None:
        """Begin with what the process before us has learned: a measure among its calls would mislead."""
        self.mean = self.baseline = event.lowest
        self._aims, self._spent = event.aims_ms, event.spent_ms

    def is_full(self, ready: int) -> bool:
        """Whether no more calls may go out."""
        return self.out + self.other_process_calls >= self.size(ready)

    def load(self, aim_ms: float) -> float:
        """The mean time in service as a class with this aim sees it."""
        return self._spent / (self._aims + LOAD_PRIOR * aim_ms)

    def size(self, ready: int) -> float:
        """How many calls may be out: past its capacity a server only queues, a crowded one slows down."""
        ours = ready / self._balancers
        # A factor in place of the sum would let the room shrink away once calls take longer than it allows.
        queued = ours + LOWEST_BY_CHANCE * self.baseline * self._aims / RATE_MEMORY_MS
        lowest = self.baseline * self._aims
        slower = self._spent / lowest if lowest else 1.0
        calm = min(max((LEAST_NONE - slower) / (LEAST_NONE - LEAST_FULL), 0.0), 1.0)
        away = FREE_PER_SERVER * ready / max(self._balancers - 1, 1)
        least = calm * min(LEAST_ROOM, FREE_PER_SERVER * ready, away + LEAST_DEVIATIONS * math.sqrt(away))
        use = self.reports.use(self._seen) if self._seen < self.spoilt_until else None
        idle = calm * self._earlier * USE_FULL / max(use, LEAST_USE) if use is not None else 0.0
        room = max(FREE_PER_SERVER * ours, queued, least, idle)
        # A burst may pass, a standing crowd does harm: the room bounds the mean once it has been measured.
        return 2 * room - min(self._spent / RATE_MEMORY_MS, room) if self.baseline else room
