"""What balancers hold against upstreams: failures of the last seconds, reports up the tree, sums down.

The sums are kept by the zone of the balancers that saw them: what only one zone sees may be its links. Only
upstreams that somebody holds something against are named.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from dissemination.bulletin import LatestUpdates
from dissemination.messages import DoubtNews, DoubtReport, Pulse, UpstreamFailures

PERIOD_S = 0.1  # a change goes on no sooner after the one before
MOST = 2**31 - 1  # that a message holds
FailureCounts = dict[tuple[str, str], tuple[int, int]]  # upstream and zone: balancers, failures that they saw


def unpack(doubts: Iterable[UpstreamFailures]) -> FailureCounts:
    """By upstream and zone."""
    return {(d.upstream, d.zone): (d.balancers, d.failures) for d in doubts}


def pack(doubts: FailureCounts) -> tuple[UpstreamFailures, ...]:
    """For a message; where nothing is held against an upstream it is left out."""
    return tuple(
        UpstreamFailures(upstream, zone, min(balancers, MOST), min(failures, MOST))
        for (upstream, zone), (balancers, failures) in sorted(doubts.items())
        if balancers > 0 and failures > 0
    )


class FailureSum:
    """The doubts below one process: its own and what its children report."""

    def __init__(
        self, own: Callable[[], FailureCounts], changed: Callable[[tuple[UpstreamFailures, ...]], None]
    ) -> None:
        """`own`: what this process holds against upstreams. `changed`: told the sum, not too often."""
        self._own, self._changed = own, changed
        self._children: dict[object, FailureCounts] = {}
        self._told: tuple[UpstreamFailures, ...] = ()
        self._timer: asyncio.TimerHandle | None = None

    def report(self, child: object, message: DoubtReport) -> None:
        """A child's report, in place of its last one."""
        self._children[child] = unpack(message.doubts)
        self.schedule()

    def remove_child(self, child: object) -> None:
        """A child has gone; whoever it attaches to next hears of its doubts."""
        if self._children.pop(child, None):
            self.schedule()

    def schedule(self) -> None:
        """Something has changed: tell it soon."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(PERIOD_S, self._tell)

    def resend(self) -> None:
        """Somebody new is told, who knows of no doubts: say now what there is."""
        self._told = ()
        if self._timer is not None:
            self._timer.cancel()
        self._tell()

    def _tell(self) -> None:
        self._timer = None
        total = dict(self._own())
        for part in self._children.values():
            for key, (balancers, failures) in part.items():
                known = total.get(key, (0, 0))
                total[key] = (known[0] + balancers, known[1] + failures)
        packed = pack(total)
        if packed != self._told:
            self._told = packed
            self._changed(packed)


class Judge(Protocol):
    """Who sees failures and heeds those that others saw: a balancer."""

    def failure_counts(self) -> FailureCounts:
        """What our own calls saw."""

    def apply_failure_counts(self, told: FailureCounts) -> None:
        """What all balancers together saw."""

    def on_failures_changed(self, changed: Callable[[], None]) -> None:
        """`changed` is called whenever `doubts` would tell something new."""


class FailureExchange:
    """One balancer's part in it: what it and those below it saw goes up, what all saw comes down."""

    def __init__(self, judge: Judge, latest: LatestUpdates, say: Callable[[Any], None]) -> None:
        self._judge, self._latest = judge, latest
        self.sum = FailureSum(judge.failure_counts, lambda doubts: say(DoubtReport(doubts)))
        judge.on_failures_changed(self.sum.schedule)

    def on_update(self, message: DoubtNews) -> None:
        """Newer news."""
        self._judge.apply_failure_counts(unpack(message.doubts))

    def on_pulse(self, message: Pulse) -> None:
        """Under another primary all is told anew, unless nothing is held against anybody any more."""
        known = self._latest.doubts
        if known is not None and known.epoch < message.epoch:
            self.clear()

    def clear(self) -> None:
        """What was told is no use any more; what our own calls saw stays."""
        if self._latest.doubts is not None:
            self._latest.clear_failures()
            self._judge.apply_failure_counts({})
