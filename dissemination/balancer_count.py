"""Which balancers are present and how many: budgets are divided by their number."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from dissemination.messages import LeaderHeartbeat, PresentBalancer

# A balancer counts for this long after it has left, as its share of a budget may be spent.
COUNT_WINDOW_S = 20.0
# A balancer stays a member for this long after it has left, as most only change their parent.
LEAVE_DELAY_S = 1.5


class Presence:
    """The present balancers, as the primary publishes them. Times in seconds."""

    def __init__(self) -> None:
        self._last_seen: dict[str, tuple[PresentBalancer, float]] = {}  # by node: when it was last present
        self._counts: deque[tuple[float, int]] = deque()

    def members(self, present: Mapping[str, PresentBalancer], now: float) -> tuple[PresentBalancer, ...]:
        """Return the balancers that are present or were a moment ago, ordered by node."""
        self._last_seen.update({node: (balancer, now) for node, balancer in present.items()})
        self._last_seen = {
            node: last_seen
            for node, last_seen in self._last_seen.items()
            if now - last_seen[1] <= LEAVE_DELAY_S
        }
        return tuple(self._last_seen[node][0] for node in sorted(self._last_seen))

    def recent_peak(self, count: int, now: float) -> int:
        """Return the most balancers present at once within the window, with `count` present now."""
        self._counts.append((now, count))
        while now - self._counts[0][0] > COUNT_WINDOW_S:
            self._counts.popleft()
        return max(n for _, n in self._counts)


class BalancerCount:
    """The number of balancers according to pulses.

    After a change of primary the larger of the old and new numbers holds until the old one expires.
    """

    def __init__(self) -> None:
        self._epoch, self._count, self._received_at = 0, 0, 0.0
        # Counts of earlier epochs, each with its expiry (s).
        self._earlier: deque[tuple[float, int]] = deque()

    def take(self, pulse: LeaderHeartbeat, now: float) -> int:
        """Return the number in force at `now` (s), 0 if unknown; a pulse without a number changes nothing."""
        if pulse.balancers:
            if pulse.epoch != self._epoch and self._count:
                self._earlier.append((self._received_at + COUNT_WINDOW_S, self._count))
            self._epoch, self._count, self._received_at = pulse.epoch, pulse.balancers, now
        self._earlier = deque(entry for entry in self._earlier if entry[0] > now)
        return max([self._count, *(number for _, number in self._earlier)])
