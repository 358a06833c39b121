"""One balancer's part of the retry budget that all balancers share for a service."""

from __future__ import annotations

from collections import deque

SAFETY = 0.8  # used share of this balancer's part: retries reach upstreams later than they are counted
UNKNOWN_BALANCERS = 24  # assumed until the number of balancers is known
BUCKETS = 20  # in which the requests of one window are counted
LATE_S = 0.5  # an extra arrival counts this much longer than the window, as it may reach its upstream late
STARTUP_SHARE = 0.5  # of the slack in the first window, as the previous process may have used some of it


class RetryBudget:
    """Extra arrivals of one service: at most `ratio` x own requests + own part of `slack` in any window."""

    def __init__(self, ratio: float, window_s: float, slack: float, now: float) -> None:
        self._ratio, self._window, self._slack = ratio, window_s, slack
        self._balancers = UNKNOWN_BALANCERS
        self._extras = deque[float]()
        self._bucket_s = window_s / BUCKETS
        self._requests = deque[tuple[int, int]]()  # bucket number, requests in it
        self._startup_until = now + window_s

    def count_balancers(self, live: int) -> None:
        """Set the number of balancers that share the slack."""
        self._balancers = max(live, 1)

    def arrived(self, now: float) -> None:
        """Count a client's request for the service."""
        bucket = int(now / self._bucket_s)
        if self._requests and self._requests[-1][0] == bucket:
            self._requests[-1] = (bucket, self._requests[-1][1] + 1)
        else:
            self._requests.append((bucket, 1))
            self._expire(now)

    def _expire(self, now: float) -> None:
        oldest = int((now - self._window) / self._bucket_s)
        while self._requests and self._requests[0][0] <= oldest:
            self._requests.popleft()
        while self._extras and self._extras[0] < now - self._window - LATE_S:
            self._extras.popleft()

    def allows(self, extra: int, now: float) -> bool:
        """Return whether this many extra arrivals may be caused now."""
        if extra <= 0:
            return True
        self._expire(now)
        slack = self._slack / self._balancers * (STARTUP_SHARE if now < self._startup_until else 1.0)
        own = self._ratio * sum(count for _, count in self._requests) + slack
        return len(self._extras) + extra <= SAFETY * own

    def spend(self, now: float) -> None:
        """Count an extra arrival."""
        self._extras.append(now)

    def refund(self) -> None:
        """Uncount the latest extra arrival, as it did not arrive after all."""
        if self._extras:
            self._extras.pop()
