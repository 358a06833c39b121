"""The balancer's role: the data plane, and beside it whoever tells it the news."""

from __future__ import annotations

import asyncio
import secrets
import socket
from typing import Any

from loguru import logger

from balancer.balancer import Balancer
from balancer.cold_share import Place
from config.checking import ConfigurationReader
from config.errors import FleetError, InvalidConfigurationError
from config.settings import Settings, parse_address
from control.platform import PlatformList
from dissemination import messages
from dissemination.bulletin import LatestUpdates
from dissemination.counting import BalancerCount
from dissemination.doubts import FailureExchange
from dissemination.feed import Feed
from dissemination.follower import STALE_AFTER_S, Follower, Ports
from dissemination.holdings import Holdings
from dissemination.list_reader import ListReader
from dissemination.messages import (
    Attach,
    ConfigurationNews,
    DoubtNews,
    DoubtReport,
    EpochHeard,
    Holding,
    HoldingNews,
    HoldingReport,
    LoadNews,
    LoadReport,
    LoadReportStep,
    LoadStep,
    MemberNews,
    Moved,
    Present,
    Pulse,
    Roll,
    Speaks,
    UpstreamChange,
    UpstreamNews,
)
from mastturnd import draining, logs
from mastturnd.alone import LoneReader
from mastturnd.load_exchange import LoadExchange
from transport.endpoint import Endpoint
from transport.links import Links
from transport.tasks import run_forever
from transport.wire import EDITION, Link, MessageKinds

KINDS = MessageKinds().include(messages.KINDS)
HOLDINGS_S = 0.1  # what was seen read is reported no sooner after the report before
SILENT_S = 2.5  # a balancer below us that says nothing for so long has gone


class BalancerRole:
    """One balancer of the fleet."""

    def __init__(self, settings: Settings, listener: socket.socket | None = None) -> None:
        """`listener`: the socket for clients, where it listens already."""
        self.settings = settings
        self.balancer = Balancer(settings, secrets.randbits(32), listener)
        self._latest = LatestUpdates()
        self._list_reader = ListReader()
        self._reader = ConfigurationReader()
        own = Endpoint(settings.ip, settings.balancer_port)
        self._links = Links(KINDS, own, self._heard, self._ended)
        self._feed = Feed(self._latest, KINDS, lambda: None)
        self._loads = LoadExchange(self.balancer.loads, self._latest, self._feed, lambda: self._follower)
        self._others = self._loads.others
        self.balancer.set_other_loads(self._others.of)
        self.balancer.watch_loads(self._loads.sum.schedule)
        self._holdings = Holdings()
        self._unsaid: list[Holding] = []  # seen here or below, and not reported yet
        self.balancer.watch_cached_prefixes(self._kept)
        me = Present(settings.node, settings.ip, settings.zone)
        self._follower = Follower(
            me,
            self._links,
            self._latest,
            Ports(settings.control_port, settings.balancer_port),
            settings.seed_ips,
            self._told,
            self._feed.present,
            self._attached,
            self._loads.sum.resend_steps,
            secrets.randbits(32),
        )
        self._doubts = FailureExchange(self.balancer, self._latest, self._follower.send)
        self._platform = PlatformList(parse_address(settings.cloud_api.addr), settings.cloud_api.rate_per_s)
        self._lone = LoneReader(
            me,
            self._platform,
            self._latest,
            self._links,
            self._follower.is_fresh,
            self._told,
            settings.balancer_port,
        )
        self._lone.allow(settings.cloud_api.rate_per_s)
        self._tasks: list[asyncio.Task[None]] = []
        self._headcount = BalancerCount()
        self._drained = False  # the configuration has us take no new clients
        self._tap: Any = None  # while every step of a request is logged
        self.balancer.request_handler = self._asked

    async def start(self) -> None:
        """Listen, and hear the news from now on; raises OSError where an address can't be had."""
        await self._links.start()
        await self.balancer.start()
        self._log_steps()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(run_forever(work)) for work in (self._follower.run, self._watch)]

    async def stop(self) -> None:
        """Answer what is held, and end."""
        await self.balancer.drain()
        for task in self._tasks:
            task.cancel()
        self._links.stop()

    def reconfigure(self, settings: Settings) -> None:
        """The settings file has changed."""
        self.settings = settings
        self._follower.set_seeds(settings.seed_ips)
        self._platform.set_address(parse_address(settings.cloud_api.addr))
        self._lone.allow(settings.cloud_api.rate_per_s)
        self._log_steps()

    # ---- what operators ask; nothing of it is loaded until they do

    def _asked(self, head: bytes, transport: asyncio.Transport) -> bool:
        from mastturnd import balancer_calls

        return balancer_calls.take(self, head, transport)

    def _log_steps(self) -> None:
        """Log every step of each request while the level is DEBUG."""
        if (self._tap is not None) == logs.is_debug():
            return
        if self._tap is not None:
            self._tap.remove()
            self._tap = None
            return
        from mastturnd.tap import StepLog

        self._tap = StepLog(self.balancer)

    def standing(self) -> dict[str, Any]:
        """What this process knows and is told, for a report."""
        known = self._latest
        return {
            "drained": self._drained,
            "fresh": self._follower.is_fresh(),
            "told_by": str(self._follower.parent() or ""),
            "tells": sorted(self._feed.present()),
            "ver": known.configuration.ver if known.configuration is not None else 0,
            "epoch": known.pulse.epoch if known.pulse is not None else 0,
            "listed": self._lone.listed,
            "list_calls": self._platform.calls,
            "news_age_s": self._follower.age_s(),
        }

    # ---- news

    def _heard(self, link: Link, message: Any) -> None:
        if self._follower.is_parent_link(link):
            self._follower.on_message(link, message)
            return
        match message:
            case Attach():
                if self._follower.is_fresh():
                    self._feed.attach(link, message)
                    link.send(HoldingNews(self._holdings.all()))
                else:
                    link.send(Moved(()))  # what we know may be old
            case Roll():
                self._feed.on_roll(link, message)
            case Speaks():
                self._feed.on_hello(link, message)
                link.send(Speaks(EDITION, b""))
            case LoadReport() | LoadReportStep():
                self._loads.heard_below(link, message)
            case DoubtReport():
                self._doubts.sum.report(link, message)
            case HoldingReport(holdings):
                self._say_later(self._hold(holdings))
            case EpochHeard(epoch) if epoch > self._latest.epoch():
                self._follower.send(message)
            case UpstreamNews() | UpstreamChange():
                self._lone.heard(link.peer, message)

    def _ended(self, link: Link) -> None:
        self._follower.on_closed(link)
        self._feed.on_closed(link)
        self._loads.sum.remove_child(link)
        self._doubts.sum.remove_child(link)

    # ---- what upstreams have read

    def _kept(self, subject: bytes, upstream: str) -> None:
        """An upstream has read the shared parts of a subject for us."""
        self._say_later(self._holdings.add((Holding(subject, upstream),), first_hand=True))

    def _hold(self, holdings: tuple[Holding, ...]) -> tuple[Holding, ...]:
        """Take others' news; what is new goes on to whoever hears it from us."""
        new = self._holdings.add(holdings)
        for holding in new:
            self.balancer.add_cached_prefix(holding.subject, holding.upstream)
        if new:
            self._feed.broadcast(HoldingNews(new))
        return new

    def _say_later(self, new: tuple[Holding, ...]) -> None:
        if new and not self._unsaid:
            asyncio.get_running_loop().call_later(HOLDINGS_S, self._say_holdings)
        self._unsaid += new

    def _say_holdings(self) -> None:
        unsaid, self._unsaid = tuple(self._unsaid), []
        self._follower.send(HoldingReport(unsaid))
        self._feed.broadcast(HoldingNews(unsaid))

    def _attached(self) -> None:
        """Whoever tells us the news from now on knows nothing of us yet."""
        self._loads.sum.resend()
        self._doubts.sum.resend()
        self._follower.send(HoldingReport(self._holdings.first_hand()))

    def _told(self, message: Any, new: Any = None) -> None:
        """A newer piece of news: on to whoever hears it from us, and in force here. `new`: see `Follower`."""
        match message:
            case UpstreamNews():
                self._feed.broadcast_list(message, new)
                self._list(message, new)
            case LoadNews() | LoadStep():
                self._loads.heard(message, new)
            case DoubtNews():
                self._feed.broadcast(message)
                self._doubts.on_update(message)
            case HoldingNews(holdings):
                self._hold(holdings)
            case ConfigurationNews(ver, body):
                self._feed.broadcast(message)
                self._configure(ver, body)
            case MemberNews(balancers=present):
                self._feed.broadcast(message)
                nodes = sorted(one.node for one in present)
                self.balancer.set_place(Place.among(self.settings.node, nodes))
            case Pulse():
                self._feed.broadcast(message)
                self._doubts.on_pulse(message)
                if number := self._headcount.take(message, asyncio.get_running_loop().time()):
                    self.balancer.count_balancers(number)
            case _:
                self._feed.broadcast(message)

    def _configure(self, ver: int, body: bytes) -> None:
        try:
            self.balancer.configure(self._reader.parse(body))
        except InvalidConfigurationError as error:
            logger.error("event=configuration_unusable ver={} error={!r}", ver, str(error))
            return
        logger.info("event=configured ver={}", ver)
        self._drain(draining.is_drained(body, self.settings.node))
        self._allow()

    def _list(self, message: UpstreamNews, change: UpstreamChange | None) -> None:
        try:
            entries = self._list_reader.read(message, change)
        except FleetError as error:
            logger.error("event=list_unusable error={!r}", str(error))
            return
        self._lone.listed = len(entries)
        self._holdings.keep_only({e.id for e in entries})
        self.balancer.list_upstreams(entries)
        self._allow()

    def _allow(self) -> None:
        known = self._latest
        equipped = known.configuration is not None and known.upstreams is not None
        self.balancer.allow_ready(equipped and not self._drained)

    def _drain(self, drained: bool) -> None:
        if drained != self._drained:
            self._drained = drained
            logger.info("event={}", "drained" if drained else "undrained")

    # ---- alone

    async def _watch(self) -> None:
        """Without the control state the list is read here, or by another balancer of the zone for us."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._lone.wait_s(loop.time(), STALE_AFTER_S / 2))
            now = loop.time()
            self._feed.drop_silent(now, SILENT_S)
            if not self._follower.is_fresh():
                self._others.clear()
                self._latest.clear_loads()
                self._doubts.clear()
            await self._lone.look(now)
