"""Publishes updates to balancers and performs the primary's duties, such as reading the platform's list."""

from __future__ import annotations

import asyncio
from typing import Any

from loguru import logger

from config.settings import Settings
from consensus.views import Document, Member, View
from control.phase_controller import CONTROL_INTERVAL_S, ConfirmEpoch, OnNewerEpoch, PhaseController
from control.reports import Reports, Stamp
from control.update_relay import UpdateRelay
from control.upstream_reader import UpstreamReader
from dissemination.balancer_count import Presence
from dissemination.cached_prefixes import Holdings
from dissemination.feed import Feed
from dissemination.follower import PULSE_INTERVAL_S
from dissemination.latest_updates import LatestUpdates
from dissemination.list_changes import diff_lists
from dissemination.messages import (
    Attach,
    CachedPrefixReport,
    CachedPrefixUpdate,
    ConfigurationUpdate,
    EpochNotice,
    FailureReport,
    Hello,
    LeaderHeartbeat,
    LoadReport,
    LoadReportStep,
    MembershipUpdate,
    PresenceReport,
    PresentBalancer,
    Redirect,
    RelayAttach,
    UpstreamListUpdate,
)
from transport.links import Links
from transport.tasks import run_forever
from transport.wire import EDITION, Link

SILENCE_TIMEOUT_S = 2.5  # a balancer that sends nothing for this long is dropped
COUNT_DELAY_S = 2.0  # all balancers have attached to a new primary by then
MAX_EPOCH = 2**53  # reported epochs are capped at this: fencing tokens are JSON numbers


class Publisher:
    """Holds the latest updates of one control process; only the primary publishes them."""

    def __init__(
        self, settings: Settings, links: Links, confirm_epoch: ConfirmEpoch, on_newer_epoch: OnNewerEpoch
    ) -> None:
        """`confirm_epoch`: returns the epoch once a quorum confirms that this process leads, else 0.

        `on_newer_epoch`: called with an epoch to exceed, as balancers ignore older ones.
        """
        self._on_newer_epoch = on_newer_epoch
        self._settings = settings
        self.latest = LatestUpdates()
        self._feed = Feed(self.latest, links.kinds, lambda: None)
        self._holdings = Holdings()
        self.relay = UpdateRelay(
            settings.node,
            links,
            settings.control_port,
            self.latest,
            self._feed,
            self._holdings,
            lambda: self._reports.resend(),
        )
        self._reports = Reports(self.latest, self._feed, self._holdings, self.relay, self._stamp)
        lease_s = settings.bounds.lease_ms / 1000
        self._phase_controller = PhaseController(
            settings.node, lease_s, confirm_epoch, self._reports.loads, self._publish_list, on_newer_epoch
        )
        self._upstreams = UpstreamReader(settings, self._publish_list)
        self._view: View | None = None
        self._leader_ip = ""  # of the primary, if it is another process
        self._waiting_messages: dict[Link, list[Any]] = {}  # from balancers, while there is no primary
        self._leads = asyncio.Event()
        self._leading_since = 0.0
        self._first_epoch = 0  # first epoch of the current uninterrupted leadership
        self._reported_epoch = 0  # the latest that a balancer has reported
        self._number = 0
        self.take_overs = 0  # how often this process became primary, including the first time
        self._presence = Presence()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks that send pulses, read the list and control phases."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(run_forever(work))
            for work in (self._run_pulse, self._read_list, self._run_phase_controller)
        ]

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()

    def reconfigure(self, settings: Settings) -> None:
        """Apply a changed settings file."""
        self._settings = settings
        self._upstreams.reconfigure(settings)

    def reported_state(self) -> tuple[tuple[PresentBalancer, ...], dict[str, tuple[int, int]]]:
        """Return the published members, and calls and tokens by upstream, for a status report."""
        members = self.latest.members
        return tuple(members.balancers) if members is not None else (), self._reports.loads()

    def leads_ms(self) -> int | None:
        """Return how long this process has led, in ms; None while it doesn't lead."""
        if self._view is None:
            return None
        return round((asyncio.get_running_loop().time() - self._leading_since) * 1000)

    def list_calls(self) -> int:
        """Return the number of calls to the platform's list."""
        return self._upstreams.calls()

    # ---- state of the replica

    def on_lead(self, view: View | None, is_continued: bool = False) -> None:
        """Start leading a view, or stop if None; `is_continued`: nobody else has led since the last term."""
        if view is not None and self._view is None:
            self.relay.stop()
            self._leading_since = asyncio.get_running_loop().time()
            self._first_epoch = view.epoch
            self.take_overs += 1
            self.latest.clear_loads()
            self.latest.clear_failures()
        if view is not None and self._first_epoch <= self._reported_epoch < view.epoch:
            self._first_epoch = view.epoch  # balancers ignored earlier updates, so they are published again
        self._view = view
        if view is not None:
            self._leads.set()
        else:
            self._leads.clear()
        self._phase_controller.set_leading(view is not None, asyncio.get_running_loop().time(), is_continued)
        logger.info("event=lead epoch={}", view.epoch if view is not None else 0)
        if view is not None:
            self._publish(
                MembershipUpdate(view.epoch, self._next_number(), self._members(), self._core_ips(view))
            )
            self._publish_pulse(view)  # first, as some updates are kept only while pulses are recent
            self._process_waiting()
            self._reports.resend()
            self._check_reported_epoch(view)

    def on_committed(self, document: Document) -> None:
        """Publish a committed configuration."""
        self._publish(ConfigurationUpdate(document.ver, document.body))

    def on_other_leader(self, leader: Member | None) -> None:
        """Redirect attached balancers to the primary, which is another process."""
        self._leader_ip = leader.ip if leader is not None else ""
        if self._view is not None or leader is None:
            return
        self.relay.tick(leader.ip)
        if self._feed.present() and not self.relay.is_running():
            self._feed.redirect_all(Redirect((leader.ip,)))
        self._process_waiting()

    def _process_waiting(self) -> None:
        """Handle the messages that balancers sent while there was no primary."""
        waiting, self._waiting_messages = self._waiting_messages, {}
        for link, messages in waiting.items():
            for message in messages:
                self.on_message(link, message)

    # ---- balancers

    def on_message(self, link: Link, message: Any) -> None:
        """Handle a message of a balancer, or of a member that relays updates."""
        if self._view is None and self.relay.on_message(link, message):
            return
        match message:
            case Attach():
                self._attach(link, message)
            case RelayAttach():
                self._attach_relay(link, message)
            case PresenceReport() if link in self._waiting_messages:
                self._waiting_messages[link][1:] = [message]  # only the latest
            case PresenceReport(present=()):
                self._remove_child(link)
            case PresenceReport():
                self._feed.on_roll(link, message)
            case Hello():
                self._feed.on_hello(link, message)
                link.send(Hello(EDITION, b""))
            case EpochNotice(epoch):
                self.relay.forward_report(message)
                self._reported_epoch = max(self._reported_epoch, min(epoch, MAX_EPOCH))
                if self._view is not None:
                    self._check_reported_epoch(self._view)
            case LoadReport() | LoadReportStep() | FailureReport() | CachedPrefixReport():
                self._reports.on_report(link, message)

    def _check_reported_epoch(self, view: View) -> None:
        """Request a higher epoch if balancers have seen one above this, from a core that no longer exists."""
        if self._reported_epoch > view.epoch:
            self._on_newer_epoch(self._reported_epoch)

    def _attach(self, link: Link, message: Attach) -> None:
        """Attach a balancer here or redirect it to the primary; without a primary its request is kept."""
        if self._view is not None:
            self._feed.attach(link, message)
            link.send(CachedPrefixUpdate(self._holdings.all()))
        elif self._leader_ip:
            self.relay.attach_or_redirect(link, message, self._leader_ip)
        else:
            self._waiting_messages[link] = [message]

    def _attach_relay(self, link: Link, message: RelayAttach) -> None:
        """Attach another member that relays updates to balancers which can't reach this process."""
        if self._view is None:
            link.send(Redirect((self._leader_ip,) if self._leader_ip else ()))
            return
        self._feed.attach_relay(link, message)
        link.send(CachedPrefixUpdate(self._holdings.all()))

    def on_closed(self, link: Link) -> None:
        """Handle the end of a connection."""
        self._waiting_messages.pop(link, None)
        self.relay.on_closed(link)
        self._remove_child(link)

    def _remove_child(self, link: Link) -> None:
        """Remove the child that is attached over this connection."""
        self._feed.on_closed(link)
        self._reports.remove_child(link)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _stamp(self) -> Stamp | None:
        return None if self._view is None else Stamp(self._view.epoch, self._next_number())

    def _core_ips(self, view: View) -> tuple[str, ...]:
        return tuple(member.ip for member in view.members if member is not None)

    def _members(self) -> tuple[PresentBalancer, ...]:
        return self._presence.members(self._feed.present(), asyncio.get_running_loop().time())

    def _publish(self, message: Any) -> None:
        if self.latest.store(message):
            self._feed.broadcast(message)

    def _publish_members(self, view: View) -> None:
        """Publish the members if they have changed, at most once per pulse."""
        known, present = self.latest.members, self._members()
        if known is None or tuple(known.balancers) != present:
            self._publish(MembershipUpdate(view.epoch, self._next_number(), present, self._core_ips(view)))

    def _publish_pulse(self, view: View) -> None:
        self._publish(LeaderHeartbeat(view.epoch, self._next_number(), self._count()))

    def _count(self) -> int:
        """Return the recent maximum of attached balancers; 0 while it is not yet known."""
        now = asyncio.get_running_loop().time()
        count = self._presence.recent_peak(len(self._feed.present()), now)
        return count if now - self._leading_since > COUNT_DELAY_S else 0

    async def _run_pulse(self) -> None:
        while True:
            view = self._view
            if view is not None:
                self._feed.drop_silent(asyncio.get_running_loop().time(), SILENCE_TIMEOUT_S)
                self._publish_members(view)
                self._publish_pulse(view)
            await asyncio.sleep(PULSE_INTERVAL_S)

    def _publish_list(self) -> None:
        """Publish the list if it differs from the last one, or if that one is of another leader's term."""
        page = self._upstreams.page(self._phase_controller.mark_moving)
        known = self.latest.upstreams
        is_published = known is not None and known.epoch >= self._first_epoch and known.page == page
        if self._view is not None and not is_published:
            self._phase_controller.set_list(page)
            self._holdings.keep_only({str(entry.get("id")) for entry in self._upstreams.entries})
            update = UpstreamListUpdate(self._view.epoch, self._next_number(), page)
            if self.latest.store(update):
                self._feed.broadcast_list(update, diff_lists(known, update))

    async def _read_list(self) -> None:
        await self._upstreams.run(self._leads)

    async def _run_phase_controller(self) -> None:
        """Check repeatedly whether an upstream should change its phase."""
        while True:
            await asyncio.sleep(CONTROL_INTERVAL_S)
            self._phase_controller.tick(asyncio.get_running_loop().time())
