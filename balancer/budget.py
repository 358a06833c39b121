"""The part of one balancer in the budget of extra arrivals that all balancers share for a service."""

from __future__ import annotations

from collections import deque

SAFETY = 0.8  # of our part: others may have more than theirs, and arrivals reach the upstream later than sent
UNKNOWN_BALANCERS = 24  # taken as live until the number is known
SLOTS = 20  # the window's requests are counted in so many pieces
LATE_S = 0.5  # an extra arrival counts so much longer: it may reach its upstream late
FRESH_SHARE = 0.5  # of the slack in the first window: the process before us may have used its part


class RetryBudget:
    """Extra arrivals of one service: in any window at most `ratio` x own requests + own part of `slack`."""

    def __init__(self, ratio: float, window_s: float, slack: float, now: float) -> None:
        self._ratio, self._window, self._slack = ratio, window_s, slack
        self._balancers = UNKNOWN_BALANCERS
        self._extras = deque[float]()
        self._piece = window_s / SLOTS
        self._requests = deque[tuple[int, int]]()  # piece of time, requests in it
        self._known_from = now + window_s

    def count_balancers(self, live: int) -> None:
        """So many balancers share the slack from now on."""
        self._balancers = max(live, 1)

    def arrived(self, now: float) -> None:
        """A client's request for the service is there."""
        piece = int(now / self._piece)
        if self._requests and self._requests[-1][0] == piece:
            self._requests[-1] = (piece, self._requests[-1][1] + 1)
        else:
            self._requests.append((piece, 1))
            self._drop(now)

    def _drop(self, now: float) -> None:
        oldest = int((now - self._window) / self._piece)
        while self._requests and self._requests[0][0] <= oldest:
            self._requests.popleft()
        while self._extras and self._extras[0] < now - self._window - LATE_S:
            self._extras.popleft()

    def allows(self, extra: int, now: float) -> bool:
        """Whether so many extra arrivals may be caused now."""
        if extra <= 0:
            return True
        self._drop(now)
        slack = self._slack / self._balancers * (FRESH_SHARE if now < self._known_from else 1.0)
        own = self._ratio * sum(count for _, count in self._requests) + slack
        return len(self._extras) + extra <= SAFETY * own

    def spend(self, now: float) -> None:
        """An extra arrival is caused."""
        self._extras.append(now)

    def refund(self) -> None:
        """The latest one did not arrive after all."""
        if self._extras:
            self._extras.pop()
