"""Recent failures of upstreams as seen by balancers: reports go up the tree, sums come down.

Sums are kept per zone of the observing balancers: failures that only one zone sees may be those of its
network. Only upstreams with failures are listed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from dissemination.latest_updates import LatestUpdates
from dissemination.messages import FailureReport, FailureUpdate, LeaderHeartbeat, UpstreamFailures

REPORT_INTERVAL_S = 0.1  # at least this long between two sums
MAX_INT32 = 2**31 - 1  # limit of a message field
# By upstream and zone: the number of balancers, and the failures that they saw.
FailureCounts = dict[tuple[str, str], tuple[int, int]]


def unpack(entries: Iterable[UpstreamFailures]) -> FailureCounts:
    """Return the counts by upstream and zone."""
    return {(entry.upstream, entry.zone): (entry.balancers, entry.failures) for entry in entries}


def pack(counts: FailureCounts) -> tuple[UpstreamFailures, ...]:
    """Return the message entries; upstreams without failures are left out."""
    return tuple(
        UpstreamFailures(upstream, zone, min(balancers, MAX_INT32), min(failures, MAX_INT32))
        for (upstream, zone), (balancers, failures) in sorted(counts.items())
        if balancers > 0 and failures > 0
    )


class FailureSum:
    """The failures seen below one process: its own and those that its children report."""

    def __init__(
        self, own: Callable[[], FailureCounts], on_change: Callable[[tuple[UpstreamFailures, ...]], None]
    ) -> None:
        """`own`: returns the failures that this process has seen. `on_change`: called with a changed sum."""
        self._own, self._on_change = own, on_change
        self._children: dict[object, FailureCounts] = {}
        self._last_sent: tuple[UpstreamFailures, ...] = ()
        self._timer: asyncio.TimerHandle | None = None

    def report(self, child: object, message: FailureReport) -> None:
        """Replace a child's report."""
        self._children[child] = unpack(message.doubts)
        self.schedule()

    def remove_child(self, child: object) -> None:
        """Remove the report of a child that is gone; it reports to its next parent."""
        if self._children.pop(child, None):
            self.schedule()

    def schedule(self) -> None:
        """Schedule sending the sum after a change."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self._send)

    def resend(self) -> None:
        """Send the sum at once, to a receiver that knows of no failures."""
        self._last_sent = ()
        if self._timer is not None:
            self._timer.cancel()
        self._send()

    def _send(self) -> None:
        self._timer = None
        total = dict(self._own())
        for counts in self._children.values():
            for key, (balancers, failures) in counts.items():
                current = total.get(key, (0, 0))
                total[key] = (current[0] + balancers, current[1] + failures)
        entries = pack(total)
        if entries != self._last_sent:
            self._last_sent = entries
            self._on_change(entries)


class FailureObserver(Protocol):
    """Observes failures of upstreams and uses those that others have seen: a balancer."""

    def failure_counts(self) -> FailureCounts:
        """Return the failures of this balancer's own calls."""

    def apply_failure_counts(self, totals: FailureCounts) -> None:
        """Use the failures that all balancers have seen together."""

    def on_failures_changed(self, on_change: Callable[[], None]) -> None:
        """Have `on_change` called whenever the result of `failure_counts` changes."""


class FailureExchange:
    """Reports the failures of a balancer and those below it, and passes the received sums to it."""

    def __init__(self, observer: FailureObserver, latest: LatestUpdates, send: Callable[[Any], None]) -> None:
        self._observer, self._latest = observer, latest
        self.sum = FailureSum(observer.failure_counts, lambda failures: send(FailureReport(failures)))
        observer.on_failures_changed(self.sum.schedule)

    def on_update(self, message: FailureUpdate) -> None:
        """Handle a newer sum."""
        self._observer.apply_failure_counts(unpack(message.doubts))

    def on_pulse(self, message: LeaderHeartbeat) -> None:
        """Drop sums of an earlier epoch, as a new primary publishes none while there are no failures."""
        known = self._latest.doubts
        if known is not None and known.epoch < message.epoch:
            self.clear()

    def clear(self) -> None:
        """Drop the received sums; failures of this balancer's own calls stay."""
        if self._latest.doubts is not None:
            self._latest.clear_failures()
            self._observer.apply_failure_counts({})
