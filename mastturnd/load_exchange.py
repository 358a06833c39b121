"""Exchanges load sums: a balancer's own load, its peers' loads, and what it relays to its followers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from dissemination.feed import Feed
from dissemination.follower import Follower
from dissemination.latest_updates import LatestUpdates
from dissemination.load_steps import Figures, Loads
from dissemination.loads import BYTES_S, ENTRY_BYTES, REPORT_INTERVAL_S, LoadSum, PeerLoads
from dissemination.messages import LoadReport, LoadReportStep, LoadStep, LoadUpdate, UpstreamLoad
from transport.wire import Link


class LoadExchange:
    """One balancer's part in the load sums: sent as steps, or complete to peers of an earlier edition."""

    def __init__(
        self,
        local_loads: Callable[[], Loads],
        latest: LatestUpdates,
        feed: Feed,
        follower: Callable[[], Follower],
    ) -> None:
        """`local_loads`: the load of this balancer; `follower`: the follower that reports to its parent."""
        self._local_loads, self._latest, self._feed, self._follower = local_loads, latest, feed, follower
        self.peer_loads = PeerLoads()
        self.sum = LoadSum(self._own_load, self._report, self._step, self._needs_full_report)
        self._reported: Loads = {}
        self._number = 0  # of the last step reported
        # Pending broadcast to followers of an earlier edition.
        self._full_loads_timer: asyncio.TimerHandle | None = None
        self._full_loads_interval_s = REPORT_INTERVAL_S

    # ---- reports to the parent

    def on_child_report(self, link: Link, message: LoadReport | LoadReportStep) -> None:
        """Handle the load of a child and the balancers below it."""
        if isinstance(message, LoadReport):
            self.sum.report(link, message)
        elif not self.sum.report_step(link, message):
            link.close()  # it reconnects and sends a full report

    def _own_load(self) -> Loads:
        self._reported = self._local_loads()
        return self._reported

    def _needs_full_report(self) -> bool:
        """Return whether the parent is not known to accept steps."""
        return not self._follower().takes_steps()

    def _report(self, loads: tuple[UpstreamLoad, ...]) -> None:
        self._follower().send(LoadReport(loads))

    def _step(self, figures: Figures, whole: bool) -> None:
        if self._follower().takes_steps():
            base, self._number = 0 if whole else self._number, self._number + 1
            self._follower().send(LoadReportStep(self._number, base, *figures))

    # ---- updates to the followers

    def on_update(self, message: LoadUpdate | LoadStep, before: Any) -> None:
        """Apply new sums, complete or as a step; `before`: the previous values of what a step has changed."""
        self._feed.broadcast(message)
        if isinstance(message, LoadUpdate):
            self.peer_loads.take(message, self._reported)
            return
        self.peer_loads.step(self._latest.current_loads(), before, self._reported)
        if self._full_loads_timer is None and self._feed.has_earlier_editions():
            self._full_loads_timer = asyncio.get_running_loop().call_later(
                self._full_loads_interval_s, self._broadcast_full_loads
            )

    def _broadcast_full_loads(self) -> None:
        """Send complete sums to followers of an earlier edition, at the interval they expect."""
        self._full_loads_timer = None
        news = self._latest.full_loads()
        if news is not None:
            self._full_loads_interval_s = max(REPORT_INTERVAL_S, ENTRY_BYTES * len(news.loads) / BYTES_S)
            self._feed.broadcast_full_loads(news)
