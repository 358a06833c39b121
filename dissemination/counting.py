"""Which balancers are present and how many there are: budgets are shared out by their number."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from dissemination.messages import Present, Pulse

COUNT_S = 20.0  # balancers that were there within this still count: their part of a budget may be spent
LINGER_S = 1.5  # one that has gone stays a member for so long: most only hear the news from elsewhere now


class Presence:
    """Who is present, as the primary tells it. Times in seconds."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[Present, float]] = {}  # by node: when it was last present
        self._counts: deque[tuple[float, int]] = deque()

    def members(self, present: Mapping[str, Present], now: float) -> tuple[Present, ...]:
        """Who is present or was a moment ago, by node."""
        self._seen.update({node: (balancer, now) for node, balancer in present.items()})
        self._seen = {node: seen for node, seen in self._seen.items() if now - seen[1] <= LINGER_S}
        return tuple(self._seen[node][0] for node in sorted(self._seen))

    def most(self, count: int, now: float) -> int:
        """The most that were present at once within a while, with so many now."""
        self._counts.append((now, count))
        while now - self._counts[0][0] > COUNT_S:
            self._counts.popleft()
        return max(n for _, n in self._counts)


class BalancerCount:
    """The number that the pulses tell; a new primary's holds only once what the last one told is old."""

    def __init__(self) -> None:
        self._epoch, self._number, self._heard_at = 0, 0, 0.0
        self._earlier: deque[tuple[float, int]] = deque()  # of earlier epochs: until when (s) it counts

    def take(self, pulse: Pulse, now: float) -> int:
        """The number that holds now (s), 0 if none is known; a pulse without one only says nothing new."""
        if pulse.balancers:
            if pulse.epoch != self._epoch and self._number:
                self._earlier.append((self._heard_at + COUNT_S, self._number))
            self._epoch, self._number, self._heard_at = pulse.epoch, pulse.balancers, now
        self._earlier = deque(entry for entry in self._earlier if entry[0] > now)
        return max([self._number, *(number for _, number in self._earlier)])
