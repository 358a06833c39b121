"""Sums the reports of balancers: the leader publishes the sums, a relaying member forwards them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from control.update_relay import UpdateRelay
from dissemination.cached_prefixes import Holdings
from dissemination.failure_reports import FailureSum
from dissemination.feed import Feed
from dissemination.latest_updates import LatestUpdates
from dissemination.load_steps import Figures, Loads
from dissemination.loads import LoadSum
from dissemination.messages import (
    CachedPrefixReport,
    CachedPrefixUpdate,
    FailureReport,
    FailureUpdate,
    LoadReport,
    LoadReportStep,
    LoadStep,
    LoadUpdate,
    UpstreamFailures,
    UpstreamLoad,
)
from transport.wire import Link

Report = LoadReport | LoadReportStep | FailureReport | CachedPrefixReport


class Stamp(NamedTuple):
    """Orders updates: a greater stamp is newer."""

    epoch: int
    number: int


class Reports:
    """Total loads, failures and holdings over all balancers attached below this process."""

    def __init__(
        self,
        latest: LatestUpdates,
        feed: Feed,
        holdings: Holdings,
        relay: UpdateRelay,
        stamp: Callable[[], Stamp | None],
    ) -> None:
        """`stamp`: returns the stamp for the next update; None while this process doesn't lead."""
        self._latest, self._feed, self._holdings, self._relay = latest, feed, holdings, relay
        self._stamp = stamp
        self._loads = LoadSum(dict, self._on_loads, self._on_load_step, self._wants_whole_loads)
        self._load_number = 0  # of the last load step that was published
        self._failures = FailureSum(dict, self._on_failures)

    def on_report(self, link: Link, report: Report) -> None:
        """Handle a report of a balancer or of a relaying member."""
        match report:
            case LoadReport():
                self._loads.report(link, report)
            case LoadReportStep():
                if not self._loads.report_step(link, report):
                    link.close()  # it attaches again and reports everything
            case FailureReport():
                self._failures.report(link, report)
            case CachedPrefixReport(holdings):
                if new := self._holdings.add(holdings):
                    self._feed.broadcast(CachedPrefixUpdate(new))
                    self._relay.forward_report(CachedPrefixReport(new))

    def remove_child(self, link: Link) -> None:
        """Remove the reports that came over this connection."""
        self._loads.remove_child(link)
        self._failures.remove_child(link)

    def resend(self) -> None:
        """Send all sums again, to a receiver that has none of them."""
        self._failures.resend()
        self._loads.resend()

    def loads(self) -> Loads:
        """Return the total calls and tokens by upstream."""
        return self._loads.total()

    def _wants_whole_loads(self) -> bool:
        return self._relay.is_running() or self._feed.has_earlier_editions()

    def _on_loads(self, loads: tuple[UpstreamLoad, ...]) -> None:
        """Send the complete load sums, to receivers of an earlier edition or to the leader."""
        stamp = self._stamp()
        if stamp is None:
            self._relay.forward_report(LoadReport(loads))
        else:
            self._feed.broadcast_full_loads(LoadUpdate(*stamp, loads))

    def _on_load_step(self, figures: Figures, whole: bool) -> None:
        """Publish the changed load sums."""
        stamp = self._stamp()
        if stamp is None:
            return
        base, self._load_number = 0 if whole else self._load_number, stamp.number
        step = LoadStep(*stamp, base, *figures)
        if self._latest.apply_step(step) is not None:
            self._feed.broadcast(step)

    def _on_failures(self, failures: tuple[UpstreamFailures, ...]) -> None:
        """Publish or forward the changed failure sums."""
        stamp = self._stamp()
        if stamp is None:
            self._relay.forward_report(FailureReport(failures))
            return
        update = FailureUpdate(*stamp, failures)
        if self._latest.store(update):
            self._feed.broadcast(update)
