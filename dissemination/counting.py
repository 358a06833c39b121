"""How many balancers there are, as each of them counts on it: budgets are shared out by this number."""

from __future__ import annotations

from collections import deque

from dissemination.messages import Pulse

COUNT_S = 20.0  # balancers that were there within this still count: their part of a budget may be spent


class Headcount:
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
