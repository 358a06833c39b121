"""What the primary tells the balancers, and its duties: the platform's list has one caller."""

from __future__ import annotations

import asyncio
from typing import Any

from loguru import logger

from config.settings import Settings
from consensus.views import Document, Member, View
from control.announcer import Announcer
from control.news_relay import NewsRelay
from control.phase_controller import CONTROL_INTERVAL_S, Outrun, PhaseController, Prove
from control.reports import Reports, Stamp
from control.upstream_reader import UpstreamReader
from dissemination.bulletin import LatestUpdates
from dissemination.counting import Presence
from dissemination.feed import Feed
from dissemination.follower import PULSE_INTERVAL_S
from dissemination.holdings import Holdings
from dissemination.lists import diff_lists
from dissemination.messages import (
    Attach,
    ConfigurationNews,
    DoubtReport,
    EpochHeard,
    HoldingNews,
    HoldingReport,
    LoadReport,
    LoadReportStep,
    MemberNews,
    Moved,
    Present,
    Pulse,
    RelayAttach,
    Roll,
    Speaks,
    UpstreamNews,
)
from transport.links import Links
from transport.tasks import run_forever
from transport.wire import EDITION, Link

SILENT_S = 2.5  # a balancer that says nothing for so long has gone
COUNTED_S = 2.0  # a new primary has heard of all balancers after this
MOST_EPOCH = 2**53  # no word of another makes ours larger: fences are written as JSON numbers


class Publisher:
    """Owns the bulletin of one control process; only the primary's goes out."""

    def __init__(self, settings: Settings, links: Links, prove: Prove, outrun: Outrun) -> None:
        """`prove`: our epoch once it is sure that nobody has taken our place, else 0.

        `outrun`: we are to lead in a later epoch than this one, as others believe nobody else.
        """
        self._outrun = outrun
        self._settings = settings
        self.latest = LatestUpdates()
        self._feed = Feed(self.latest, links.kinds, lambda: None)
        self._holdings = Holdings()
        self.relay = NewsRelay(
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
            settings.node, lease_s, prove, self._reports.loads, self._list, outrun
        )
        self._upstreams = UpstreamReader(settings, self._list)
        self._view: View | None = None
        self._leader_ip = ""  # of the other that leads
        self._waiting: dict[Link, list[Any]] = {}  # what balancers have said while nobody led
        self._leads = asyncio.Event()
        self._since = 0.0
        self._first_epoch = 0  # of those that we have led since
        self._epoch_heard = 0  # the latest that a balancer had heard of
        self._announcer = Announcer(links)
        self._number = 0
        self.take_overs = 0  # how often this process came to lead, its first time too
        self._presence = Presence()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to beat and to read the list, both while we lead."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(run_forever(work)) for work in (self._pulse, self._read, self._move)]

    def stop(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()

    def reconfigure(self, settings: Settings) -> None:
        """The settings file has changed."""
        self._settings = settings
        self._upstreams.reconfigure(settings)

    def reported_state(self) -> tuple[tuple[Present, ...], dict[str, tuple[int, int]]]:
        """For a report: who is present, as is told, and calls and tokens of all by upstream."""
        members = self.latest.members
        return tuple(members.balancers) if members is not None else (), self._reports.loads()

    def leads_ms(self) -> int | None:
        """How long this process has led, in ms; None while it doesn't."""
        if self._view is None:
            return None
        return round((asyncio.get_running_loop().time() - self._since) * 1000)

    def list_calls(self) -> int:
        """How often the platform was asked for a page of its list."""
        return self._upstreams.calls()

    # ---- the machine's word

    def lead(self, view: View | None, goes_on: bool = False) -> None:
        """We lead this view, or none; `goes_on`: nobody else has led since our last term."""
        if view is not None and self._view is None:
            self.relay.stop()
            self._since = asyncio.get_running_loop().time()
            self._first_epoch = view.epoch
            self.take_overs += 1
            self.latest.clear_loads()
            self.latest.clear_failures()
        if view is not None and self._first_epoch <= self._epoch_heard < view.epoch:
            self._first_epoch = view.epoch  # what was told before was not believed, and is told anew
        self._view = view
        if view is not None:
            self._leads.set()
        else:
            self._leads.clear()
        self._phase_controller.set_leading(view is not None, asyncio.get_running_loop().time(), goes_on)
        logger.info("event=lead epoch={}", view.epoch if view is not None else 0)
        if view is not None:
            self._tell(MemberNews(view.epoch, self._next(), self._members(), self._cores(view)))
            self._tell_pulse(view)  # before what only the fresh keep
            self._hear_waiting()
            self._reports.resend()
            self._look_at_epochs(view)

    def committed(self, document: Document) -> None:
        """This configuration is in force."""
        self._tell(ConfigurationNews(document.ver, document.body))

    def led_by(self, leader: Member | None) -> None:
        """Another leads: whoever hears the news from us is to hear them there."""
        self._leader_ip = leader.ip if leader is not None else ""
        if self._view is not None or leader is None:
            return
        self.relay.look(leader.ip)
        if self._feed.present() and not self.relay.is_running():
            self._feed.redirect_all(Moved((leader.ip,)))
        self._hear_waiting()

    def _hear_waiting(self) -> None:
        """Answer the balancers that have waited for somebody to lead."""
        waiting, self._waiting = self._waiting, {}
        for link, messages in waiting.items():
            for message in messages:
                self.heard(link, message)

    # ---- the balancers

    def heard(self, link: Link, message: Any) -> None:
        """A balancer's word, or that of a member that passes our news on."""
        if self._view is None and self.relay.heard(link, message):
            return
        match message:
            case Attach():
                self._attach(link, message)
            case RelayAttach():
                self._attach_relay(link, message)
            case Roll() if link in self._waiting:
                self._waiting[link][1:] = [message]  # the latest
            case Roll(present=()):
                self._forget(link)
            case Roll():
                self._feed.on_roll(link, message)
            case Speaks():
                self._feed.on_hello(link, message)
                link.send(Speaks(EDITION, b""))
            case EpochHeard(epoch):
                self.relay.report(message)
                self._epoch_heard = max(self._epoch_heard, min(epoch, MOST_EPOCH))
                if self._view is not None:
                    self._look_at_epochs(self._view)
            case LoadReport() | LoadReportStep() | DoubtReport() | HoldingReport():
                self._reports.heard(link, message)

    def _look_at_epochs(self, view: View) -> None:
        """Lead in a later epoch if balancers have heard of one above ours: of a core that is no more."""
        if self._epoch_heard > view.epoch:
            self._outrun(self._epoch_heard)

    def _attach(self, link: Link, message: Attach) -> None:
        """A balancer wants the news: from us if we lead, from who does; while nobody does it waits here."""
        if self._view is not None:
            self._feed.attach(link, message)
            link.send(HoldingNews(self._holdings.all()))
        elif self._leader_ip:
            self.relay.refer(link, message, self._leader_ip)
        else:
            self._waiting[link] = [message]

    def _attach_relay(self, link: Link, message: RelayAttach) -> None:
        """Another member wants the news for balancers that can't reach us."""
        if self._view is None:
            link.send(Moved((self._leader_ip,) if self._leader_ip else ()))
            return
        self._feed.attach_relay(link, message)
        link.send(HoldingNews(self._holdings.all()))

    def ended(self, link: Link) -> None:
        """A connection is over."""
        self._waiting.pop(link, None)
        self.relay.ended(link)
        self._forget(link)

    def _forget(self, link: Link) -> None:
        """Whoever speaks by this connection hears the news from us no longer."""
        self._feed.on_closed(link)
        self._reports.remove_child(link)

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _stamp(self) -> Stamp | None:
        return None if self._view is None else Stamp(self._view.epoch, self._next())

    def _cores(self, view: View) -> tuple[str, ...]:
        return tuple(m.ip for m in view.members if m is not None)

    def _members(self) -> tuple[Present, ...]:
        return self._presence.members(self._feed.present(), asyncio.get_running_loop().time())

    def _tell(self, message: Any) -> None:
        if self.latest.store(message):
            self._feed.broadcast(message)

    def _tell_members(self, view: View) -> None:
        """Tell who is there if that has changed; all changes since the last time together."""
        known, present = self.latest.members, self._members()
        if known is None or tuple(known.balancers) != present:
            self._tell(MemberNews(view.epoch, self._next(), present, self._cores(view)))

    def _tell_pulse(self, view: View) -> None:
        self._tell(Pulse(view.epoch, self._next(), self._count()))

    def _count(self) -> int:
        """How many balancers there are, at the most within a while; 0 while that can't be known."""
        now = asyncio.get_running_loop().time()
        count = self._presence.most(len(self._feed.present()), now)
        return count if now - self._since > COUNTED_S else 0

    async def _pulse(self) -> None:
        while True:
            view = self._view
            if view is not None:
                self._announcer.look(view, self._settings, asyncio.get_running_loop().time())
                self._feed.drop_silent(asyncio.get_running_loop().time(), SILENT_S)
                self._tell_members(view)
                self._tell_pulse(view)
            await asyncio.sleep(PULSE_INTERVAL_S)

    def _list(self) -> None:
        """Tell the list if it is not what was told last; others may have told another since our last term."""
        page = self._upstreams.page(self._phase_controller.mark_moving)
        known = self.latest.upstreams
        is_told = known is not None and known.epoch >= self._first_epoch and known.page == page
        if self._view is not None and not is_told:
            self._phase_controller.set_list(page)
            self._holdings.keep_only({str(e.get("id")) for e in self._upstreams.entries})
            news = UpstreamNews(self._view.epoch, self._next(), page)
            if self.latest.store(news):
                self._feed.broadcast_list(news, diff_lists(known, news))

    async def _read(self) -> None:
        await self._upstreams.run(self._leads)

    async def _move(self) -> None:
        """See now and then whether an upstream should play another part."""
        while True:
            await asyncio.sleep(CONTROL_INTERVAL_S)
            self._phase_controller.tick(asyncio.get_running_loop().time())
