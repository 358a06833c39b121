"""Outlier detection: ejects upstreams by the outcome of requests; health checks are not considered.

Failures are an upstream's own errors, answers that broke off or were invalid, and calls in flight to a silent
upstream (at half weight, as silence may be load). The failures of the last `WINDOW_S` are compared with the
calls that an upstream usually gets in that time. With many balancers each sees too few calls, so failures are
summed over the fleet (`dissemination.failure_reports`). An upstream is ejected on the evidence of this
balancer's own calls, of two balancers of its zone, or of balancers of two zones: one balancer's bad link, or
one zone's, ejects nothing elsewhere. Once most failures have expired, an upstream is on probation for
`PROBATION_S`: it gets only repeatable requests, and a third of the evidence ejects it again.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from loguru import logger

from balancer.peer import Peer
from dissemination.failure_reports import FailureCounts
from passpost.http1 import Response
from umberworks.interface import Outcome

WINDOW_S = 4.0  # failures count for this long
MAX_FAILURE_SHARE = 0.15  # share of an upstream's usual calls whose failure ejects it
MIN_FAILURES = 2  # for an ejection, at any number of calls
FAILURE_WEIGHT, SILENCE_WEIGHT = 2, 1  # of a failure, and of a call in flight to a silent upstream
PROBATION_S = 4.0  # after an ejection; only repeatable requests
PROBATION_FACTOR = 1 / 3  # of the evidence that ejects an upstream on probation
MIN_IN_USE = 0.75  # share of a tier that stays in use, those with the fewest failures first, to bear the load


@dataclass(slots=True)
class CallRate:
    """This balancer's ended calls of one tier, decaying over the window."""

    count: float = 0.0
    at: float = 0.0

    def add(self, now: float) -> None:
        """Count a call."""
        self.count, self.at = self.recent(now) + 1.0, now

    def recent(self, now: float) -> float:
        """Return about how many calls ended in the last window."""
        return self.count * math.exp(-(now - self.at) / WINDOW_S)


def is_failure(outcome: Outcome, answer: Response | None, valid: bool) -> bool:
    """Return whether a call's end counts against its upstream; rejections and deadlines do not."""
    if outcome is Outcome.ERROR and answer is not None:
        return answer.status >= 500 and answer.status != 504
    return outcome is Outcome.BROKEN or not valid


class OutlierDetector:
    """Decides which upstreams one balancer ejects. Times in seconds on the monotonic clock."""

    def __init__(self, zone: str, group_size: Callable[[tuple[str, str]], int]) -> None:
        """`zone`: this balancer's. `group_size`: the number of upstreams of a service and phase."""
        self._zone, self._group_size = zone, group_size
        self.balancers = 1  # that are present
        self.zones = 1  # of the upstreams
        self._own: dict[str, deque[tuple[float, int]]] = {}  # failures seen here: time, weight
        self._fleet: dict[str, dict[str, tuple[int, int]]] = {}  # by upstream and zone, with ours
        self._calls: dict[tuple[str, str], CallRate] = {}
        self._groups: dict[str, tuple[str, str]] = {}  # service and phase of upstreams with failures
        self._probation: dict[str, float] = {}  # end of it, by upstream
        self._ejected: set[str] = set()
        self._next_evaluation = math.inf  # when evidence expires

    # ---- evidence

    def on_call_ended(self, peer: Peer, now: float) -> None:
        """Count a call that ended, with whatever outcome."""
        key = (peer.entry.svc, peer.entry.phase)
        calls = self._calls.get(key)
        if calls is None:
            calls = self._calls[key] = CallRate()
        calls.add(now)

    def on_failure(self, peer: Peer, now: float, weight: int = FAILURE_WEIGHT) -> None:
        """Record a failed call, or several with this weight together."""
        name = peer.entry.id
        self._groups[name] = (peer.entry.svc, peer.entry.phase)
        self._own.setdefault(name, deque()).append((now, max(weight, 1)))
        self._next_evaluation = min(self._next_evaluation, now + WINDOW_S)
        self._evaluate(now)

    def own_failures(self, now: float) -> FailureCounts:
        """Return the failures that this balancer saw, for its report to the fleet."""
        self._expire(now)
        return {(name, self._zone): (1, sum(n for _, n in failures)) for name, failures in self._own.items()}

    def set_fleet_failures(
        self, failures: FailureCounts, find: Callable[[str], Peer | None], now: float
    ) -> None:
        """Set the failures that all balancers saw; `find` returns a listed upstream by its id."""
        self._fleet = {}
        for (name, zone), count in failures.items():
            peer = find(name)
            if peer is not None:
                self._groups[name] = (peer.entry.svc, peer.entry.phase)
                self._fleet.setdefault(name, {})[zone] = count
        self._evaluate(now)

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop upstreams that are not listed any more."""
        listed = set(names)
        for table in (self._own, self._fleet, self._probation, self._groups):
            for name in [name for name in table if name not in listed]:
                del table[name]
        self._ejected &= listed

    # ---- ejection

    def filter(self, pool: list[Peer], repeatable: bool, now: float) -> list[Peer]:
        """Return the usable upstreams of a pool, and as many ejected ones as MIN_IN_USE requires."""
        if now >= self._next_evaluation:
            self._evaluate(now)
        if not self._ejected and not self._probation:
            return pool
        usable = [p for p in pool if self._is_usable(p.entry.id, repeatable)]
        needed = math.ceil(MIN_IN_USE * len(pool))
        if len(usable) >= needed:
            return usable
        rest = sorted((p for p in pool if p not in usable), key=lambda p: self._weight(p.entry.id))
        return usable + rest[: needed - len(usable)]

    def is_ejected(self, name: str) -> bool:
        """Return whether an upstream gets nothing while others are available."""
        return name in self._ejected

    def ejected(self) -> Sequence[str]:
        """Return the ids of the ejected upstreams."""
        return sorted(self._ejected)

    def state(self, name: str, now: float) -> str:
        """Return for a report "distrusted" (ejected), "wary" (on probation), or an empty string."""
        if name in self._ejected:
            return "distrusted"
        return "wary" if self._probation.get(name, 0.0) > now else ""

    def failure_count(self, name: str) -> int:
        """Return for a report the failures at an upstream in the last window, as seen by all balancers."""
        return self._weight(name) // FAILURE_WEIGHT

    def _is_usable(self, name: str, repeatable: bool) -> bool:
        return name not in self._ejected and (repeatable or name not in self._probation)

    def _weight(self, name: str) -> int:
        fleet = sum(failures for _, failures in self._fleet.get(name, {}).values())
        return max(fleet, sum(n for _, n in self._own.get(name, ())))

    def _evaluate(self, now: float) -> None:
        """Update ejections and probations from the evidence."""
        self._expire(now)
        self._probation = {name: until for name, until in self._probation.items() if until > now}
        for name in [*(self._own.keys() | self._fleet.keys() | self._ejected)]:
            suspect = name in self._ejected or name in self._probation
            bad = self._is_outlier(name, PROBATION_FACTOR if suspect else 1.0, now)
            if bad and name not in self._ejected:
                self._ejected.add(name)
                logger.warning("event=distrusted upstream={} failures={}", name, self._weight(name))
            elif not bad and name in self._ejected:
                self._ejected.discard(name)
                self._probation[name] = now + PROBATION_S
                logger.info("event=trusted_again upstream={}", name)
        expiries = [failures[0][0] + WINDOW_S for failures in self._own.values()]
        self._next_evaluation = min([*expiries, *self._probation.values()], default=math.inf)

    def _is_outlier(self, name: str, factor: float, now: float) -> bool:
        key = self._groups.get(name)
        calls = self._calls.get(key) if key is not None else None
        usual = (
            calls.recent(now) / max(self._group_size(key), 1)
            if calls is not None and key is not None
            else 0.0
        )

        def too_many(weight: int, balancers: float) -> bool:
            return (
                weight >= FAILURE_WEIGHT * max(MIN_FAILURES, MAX_FAILURE_SHARE * usual * balancers) * factor
            )

        if too_many(sum(n for _, n in self._own.get(name, ())), 1):
            return True
        fleet = self._fleet.get(name, {})
        own_zone = fleet.get(self._zone, (0, 0))
        if own_zone[0] > 1 and too_many(own_zone[1], self.balancers / max(self.zones, 1)):
            return True
        return len(fleet) > 1 and too_many(sum(weight for _, weight in fleet.values()), self.balancers)

    def _expire(self, now: float) -> None:
        for name, failures in list(self._own.items()):
            while failures and failures[0][0] + WINDOW_S <= now:
                failures.popleft()
            if not failures:
                del self._own[name]
