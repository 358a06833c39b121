"""What a balancer says of its load and hears of the others', and what it passes on to those below it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from dissemination.bulletin import LatestUpdates
from dissemination.feed import Feed
from dissemination.follower import Follower
from dissemination.load_steps import Figures, Loads
from dissemination.loads import BYTES_S, ENTRY_BYTES, REPORT_INTERVAL_S, LoadSum, PeerLoads
from dissemination.messages import LoadNews, LoadReport, LoadReportStep, LoadStep, UpstreamLoad
from transport.wire import Link


class LoadExchange:
    """One balancer's part in the sums of load: as steps, or whole with those of an earlier edition."""

    def __init__(
        self, own: Callable[[], Loads], latest: LatestUpdates, feed: Feed, follower: Callable[[], Follower]
    ) -> None:
        """`own`: our own load; `follower`: whoever tells us the news is spoken to by it."""
        self._own, self._latest, self._feed, self._follower = own, latest, feed, follower
        self.others = PeerLoads()
        self.sum = LoadSum(self._own_load, self._report, self._step, self._wants_whole)
        self._reported: Loads = {}
        self._number = 0  # of the last step that we have reported
        self._whole_timer: asyncio.TimerHandle | None = None  # to tell those of an earlier edition below us
        self._whole_s = REPORT_INTERVAL_S

    # ---- up

    def heard_below(self, link: Link, message: LoadReport | LoadReportStep) -> None:
        """The load of a child and those below it."""
        if isinstance(message, LoadReport):
            self.sum.report(link, message)
        elif not self.sum.report_step(link, message):
            link.close()  # it comes back, and tells all

    def _own_load(self) -> Loads:
        self._reported = self._own()
        return self._reported

    def _wants_whole(self) -> bool:
        """Whoever tells us the news takes no steps, as far as we know."""
        return not self._follower().takes_steps()

    def _report(self, loads: tuple[UpstreamLoad, ...]) -> None:
        self._follower().send(LoadReport(loads))

    def _step(self, figures: Figures, whole: bool) -> None:
        if self._follower().takes_steps():
            base, self._number = 0 if whole else self._number, self._number + 1
            self._follower().send(LoadReportStep(self._number, base, *figures))

    # ---- down

    def heard(self, message: LoadNews | LoadStep, before: Any) -> None:
        """The sums, whole or a step; `before`: what a step has changed, as it was."""
        self._feed.broadcast(message)
        if isinstance(message, LoadNews):
            self.others.take(message, self._reported)
            return
        self.others.step(self._latest.current_loads(), before, self._reported)
        if self._whole_timer is None and self._feed.has_earlier_editions():
            self._whole_timer = asyncio.get_running_loop().call_later(self._whole_s, self._tell_whole)

    def _tell_whole(self) -> None:
        """To those of an earlier edition that hear the sums from us, as often as they always did."""
        self._whole_timer = None
        news = self._latest.full_loads()
        if news is not None:
            self._whole_s = max(REPORT_INTERVAL_S, ENTRY_BYTES * len(news.loads) / BYTES_S)
            self._feed.broadcast_full_loads(news)
