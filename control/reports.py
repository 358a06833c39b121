"""What balancers report, summed: told to all by the leader, and on to the leader by a member that relays."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from control.news_relay import NewsRelay
from dissemination.bulletin import LatestUpdates
from dissemination.doubts import FailureSum
from dissemination.feed import Feed
from dissemination.holdings import Holdings
from dissemination.load_steps import Figures, Loads
from dissemination.loads import LoadSum
from dissemination.messages import (
    DoubtNews,
    DoubtReport,
    HoldingNews,
    HoldingReport,
    LoadNews,
    LoadReport,
    LoadReportStep,
    LoadStep,
    UpstreamFailures,
    UpstreamLoad,
)
from transport.wire import Link

Report = LoadReport | LoadReportStep | DoubtReport | HoldingReport


class Stamp(NamedTuple):
    """What makes a piece of news newer than another."""

    epoch: int
    number: int


class Reports:
    """The sums of loads and doubts, and what upstreams have read, over all balancers below this process."""

    def __init__(
        self,
        latest: LatestUpdates,
        feed: Feed,
        holdings: Holdings,
        relay: NewsRelay,
        stamp: Callable[[], Stamp | None],
    ) -> None:
        """`stamp`: that of the next piece of news; None while this process does not lead."""
        self._latest, self._feed, self._holdings, self._relay = latest, feed, holdings, relay
        self._stamp = stamp
        self._loads = LoadSum(dict, self._loaded, self._stepped, self._wants_whole_loads)
        self._load_number = 0  # of the last step that was told
        self._doubts = FailureSum(dict, self._doubted)

    def heard(self, link: Link, report: Report) -> None:
        """A balancer's report, or that of a member that relays."""
        match report:
            case LoadReport():
                self._loads.report(link, report)
            case LoadReportStep():
                if not self._loads.report_step(link, report):
                    link.close()  # it comes back, and tells all
            case DoubtReport():
                self._doubts.report(link, report)
            case HoldingReport(holdings):
                if new := self._holdings.add(holdings):
                    self._feed.broadcast(HoldingNews(new))
                    self._relay.report(HoldingReport(new))

    def remove_child(self, link: Link) -> None:
        """Whoever spoke by this connection reports to us no longer."""
        self._loads.remove_child(link)
        self._doubts.remove_child(link)

    def resend(self) -> None:
        """Somebody else is told from now on: what was reported before was told to nobody there."""
        self._doubts.resend()
        self._loads.resend()

    def loads(self) -> Loads:
        """Calls and tokens of all by upstream."""
        return self._loads.total()

    def _wants_whole_loads(self) -> bool:
        return self._relay.is_running() or self._feed.has_earlier_editions()

    def _loaded(self, loads: tuple[UpstreamLoad, ...]) -> None:
        """The sum of all loads has changed: all of it, for those of an earlier edition."""
        stamp = self._stamp()
        if stamp is None:
            self._relay.report(LoadReport(loads))
        else:
            self._feed.broadcast_full_loads(LoadNews(*stamp, loads))

    def _stepped(self, figures: Figures, whole: bool) -> None:
        """What has changed in it, for the others."""
        stamp = self._stamp()
        if stamp is None:
            return
        base, self._load_number = 0 if whole else self._load_number, stamp.number
        step = LoadStep(*stamp, base, *figures)
        if self._latest.apply_step(step) is not None:
            self._feed.broadcast(step)

    def _doubted(self, doubts: tuple[UpstreamFailures, ...]) -> None:
        """What all together hold against upstreams has changed."""
        stamp = self._stamp()
        if stamp is None:
            self._relay.report(DoubtReport(doubts))
            return
        news = DoubtNews(*stamp, doubts)
        if self._latest.store(news):
            self._feed.broadcast(news)
