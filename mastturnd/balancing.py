"""The balancer role: the data plane, and its exchange of control state and load with the fleet."""

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
from dissemination.balancer_count import BalancerCount
from dissemination.cached_prefixes import Holdings
from dissemination.failure_reports import FailureExchange
from dissemination.feed import Feed
from dissemination.follower import STALE_AFTER_S, Follower
from dissemination.latest_updates import LatestUpdates
from dissemination.list_reader import ListReader
from dissemination.messages import (
    Attach,
    CachedPrefix,
    CachedPrefixReport,
    CachedPrefixUpdate,
    ConfigurationUpdate,
    EpochNotice,
    FailureReport,
    FailureUpdate,
    Hello,
    LeaderHeartbeat,
    LoadReport,
    LoadReportStep,
    LoadStep,
    LoadUpdate,
    MembershipUpdate,
    PresenceReport,
    PresentBalancer,
    Redirect,
    UpstreamChange,
    UpstreamListUpdate,
)
from dissemination.parent_choice import Ports
from mastturnd import draining, logs
from mastturnd.alone import FallbackListReader
from mastturnd.load_exchange import LoadExchange
from transport.endpoint import Endpoint
from transport.links import Links
from transport.tasks import run_forever
from transport.wire import EDITION, Link, MessageKinds

KINDS = MessageKinds().include(messages.KINDS)
HOLDINGS_REPORT_DELAY_S = 0.1  # minimum delay between two reports of cached prefixes
CHILD_TIMEOUT_S = 2.5  # a child that sends nothing for this long is dropped


class BalancerRole:
    """One balancer of the fleet."""

    def __init__(self, settings: Settings, listener: socket.socket | None = None) -> None:
        """`listener`: the client socket, if it is listening already."""
        self.settings = settings
        self.balancer = Balancer(settings, secrets.randbits(32), listener)
        self._latest = LatestUpdates()
        self._list_reader = ListReader()
        self._reader = ConfigurationReader()
        own = Endpoint(settings.ip, settings.balancer_port)
        self._links = Links(KINDS, own, self._on_message, self._on_link_closed)
        self._feed = Feed(self._latest, KINDS, lambda: None)
        self._loads = LoadExchange(self.balancer.loads, self._latest, self._feed, lambda: self._follower)
        self._peer_loads = self._loads.peer_loads
        self.balancer.set_other_loads(self._peer_loads.of)
        self.balancer.watch_loads(self._loads.sum.schedule)
        self._holdings = Holdings()
        self._unreported: list[CachedPrefix] = []  # from here or from children, not yet reported
        self.balancer.watch_cached_prefixes(self._on_prefix_cached)
        me = PresentBalancer(settings.node, settings.ip, settings.zone)
        self._follower = Follower(
            me,
            self._links,
            self._latest,
            Ports(settings.control_port, settings.balancer_port),
            settings.seed_ips,
            self._on_update,
            self._feed.present,
            self._on_attached,
            self._loads.sum.resend_steps,
            secrets.randbits(32),
        )
        self._doubts = FailureExchange(self.balancer, self._latest, self._follower.send)
        self._platform = PlatformList(parse_address(settings.cloud_api.addr), settings.cloud_api.rate_per_s)
        self._fallback_reader = FallbackListReader(
            me,
            self._platform,
            self._latest,
            self._links,
            self._follower.is_fresh,
            self._on_update,
            settings.balancer_port,
        )
        self._fallback_reader.set_rate(settings.cloud_api.rate_per_s)
        self._tasks: list[asyncio.Task[None]] = []
        self._balancer_count = BalancerCount()
        self._drained = False  # by the configuration: new clients are not accepted
        self._step_log: Any = None  # set while the steps of requests are logged
        self.balancer.request_handler = self._handle_request

    async def start(self) -> None:
        """Start listening and following updates; raises OSError if an address is not available."""
        await self._links.start()
        await self.balancer.start()
        self._log_steps()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(run_forever(work)) for work in (self._follower.run, self._run_fallback)
        ]

    async def stop(self) -> None:
        """Finish the requests in flight, then shut down."""
        await self.balancer.drain()
        for task in self._tasks:
            task.cancel()
        self._links.stop()

    def reconfigure(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self._follower.set_seeds(settings.seed_ips)
        self._platform.set_address(parse_address(settings.cloud_api.addr))
        self._fallback_reader.set_rate(settings.cloud_api.rate_per_s)
        self._log_steps()

    # ---- operators' requests; their modules are imported on the first one

    def _handle_request(self, head: bytes, transport: asyncio.Transport) -> bool:
        from mastturnd import balancer_calls

        return balancer_calls.handle_request(self, head, transport)

    def _log_steps(self) -> None:
        """Log every step of each request while the log level is DEBUG."""
        if (self._step_log is not None) == logs.is_debug():
            return
        if self._step_log is not None:
            self._step_log.remove()
            self._step_log = None
            return
        from mastturnd.tap import StepLog

        self._step_log = StepLog(self.balancer)

    def report_state(self) -> dict[str, Any]:
        """Return the control state of this process for a report."""
        latest = self._latest
        return {
            "drained": self._drained,
            "fresh": self._follower.is_fresh(),
            "told_by": str(self._follower.parent() or ""),
            "tells": sorted(self._feed.present()),
            "ver": latest.configuration.ver if latest.configuration is not None else 0,
            "epoch": latest.pulse.epoch if latest.pulse is not None else 0,
            "listed": self._fallback_reader.upstream_count,
            "list_calls": self._platform.calls,
            "news_age_s": self._follower.age_s(),
        }

    # ---- updates

    def _on_message(self, link: Link, message: Any) -> None:
        if self._follower.is_parent_link(link):
            self._follower.on_message(link, message)
            return
        match message:
            case Attach():
                if self._follower.is_fresh():
                    self._feed.attach(link, message)
                    link.send(CachedPrefixUpdate(self._holdings.all()))
                else:
                    link.send(Redirect(()))  # the state known here may be stale
            case PresenceReport():
                self._feed.on_roll(link, message)
            case Hello():
                self._feed.on_hello(link, message)
                link.send(Hello(EDITION, b""))
            case LoadReport() | LoadReportStep():
                self._loads.on_child_report(link, message)
            case FailureReport():
                self._doubts.sum.report(link, message)
            case CachedPrefixReport(holdings):
                self._report_later(self._store_holdings(holdings))
            case Redirect(ips):
                self._follower.suggest(ips)
            case EpochNotice(epoch) if epoch > self._latest.epoch():
                self._follower.send(message)
            case UpstreamListUpdate() | UpstreamChange():
                self._fallback_reader.on_message(link.peer, message)

    def _on_link_closed(self, link: Link) -> None:
        self._follower.on_closed(link)
        self._feed.on_closed(link)
        self._loads.sum.remove_child(link)
        self._doubts.sum.remove_child(link)

    # ---- cached prefixes

    def _on_prefix_cached(self, subject: bytes, upstream: str) -> None:
        """Record that an upstream has cached the shared prefixes of a subject for this balancer."""
        self._report_later(self._holdings.add((CachedPrefix(subject, upstream),), first_hand=True))

    def _store_holdings(self, holdings: tuple[CachedPrefix, ...]) -> tuple[CachedPrefix, ...]:
        """Store holdings reported by others and broadcast the new ones to the followers."""
        new = self._holdings.add(holdings)
        for holding in new:
            self.balancer.add_cached_prefix(holding.subject, holding.upstream)
        if new:
            self._feed.broadcast(CachedPrefixUpdate(new))
        return new

    def _report_later(self, new: tuple[CachedPrefix, ...]) -> None:
        if new and not self._unreported:
            asyncio.get_running_loop().call_later(HOLDINGS_REPORT_DELAY_S, self._report_holdings)
        self._unreported += new

    def _report_holdings(self) -> None:
        unreported, self._unreported = tuple(self._unreported), []
        self._follower.send(CachedPrefixReport(unreported))
        self._feed.broadcast(CachedPrefixUpdate(unreported))

    def _on_attached(self) -> None:
        """Send the complete state to a new parent, which knows nothing of this balancer yet."""
        self._loads.sum.resend()
        self._doubts.sum.resend()
        self._follower.send(CachedPrefixReport(self._holdings.first_hand()))

    def _on_update(self, message: Any, new: Any = None) -> None:
        """Apply a newer update and broadcast it to the followers; `new`: see `Follower`."""
        match message:
            case UpstreamListUpdate():
                self._feed.broadcast_list(message, new)
                self._apply_upstreams(message, new)
            case LoadUpdate() | LoadStep():
                self._loads.on_update(message, new)
            case FailureUpdate():
                self._feed.broadcast(message)
                self._doubts.on_update(message)
            case CachedPrefixUpdate(holdings):
                self._store_holdings(holdings)
            case ConfigurationUpdate(ver, body):
                self._feed.broadcast(message)
                self._apply_configuration(ver, body)
            case MembershipUpdate(balancers=present):
                self._feed.broadcast(message)
                nodes = sorted(one.node for one in present)
                self.balancer.set_place(Place.among(self.settings.node, nodes))
            case LeaderHeartbeat():
                self._feed.broadcast(message)
                self._doubts.on_pulse(message)
                if number := self._balancer_count.take(message, asyncio.get_running_loop().time()):
                    self.balancer.count_balancers(number)
            case _:
                self._feed.broadcast(message)

    def _apply_configuration(self, ver: int, body: bytes) -> None:
        try:
            self.balancer.configure(self._reader.parse(body))
        except InvalidConfigurationError as error:
            logger.error("event=configuration_unusable ver={} error={!r}", ver, str(error))
            return
        logger.info("event=configured ver={}", ver)
        self._set_drained(draining.is_drained(body, self.settings.node))
        self._update_readiness()

    def _apply_upstreams(self, message: UpstreamListUpdate, change: UpstreamChange | None) -> None:
        try:
            entries = self._list_reader.read(message, change)
        except FleetError as error:
            logger.error("event=list_unusable error={!r}", str(error))
            return
        self._fallback_reader.upstream_count = len(entries)
        self._holdings.keep_only({e.id for e in entries})
        self.balancer.list_upstreams(entries)
        self._update_readiness()

    def _update_readiness(self) -> None:
        self.balancer.allow_ready(self._latest.is_complete() and not self._drained)

    def _set_drained(self, drained: bool) -> None:
        if drained != self._drained:
            self._drained = drained
            logger.info("event={}", "drained" if drained else "undrained")

    # ---- without a control process

    async def _run_fallback(self) -> None:
        """Drop stale peer state, and read the list here while no control process is reachable."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._fallback_reader.seconds_until_due(loop.time(), STALE_AFTER_S / 2))
            now = loop.time()
            self._feed.drop_silent(now, CHILD_TIMEOUT_S)
            if not self._follower.is_fresh():
                self._peer_loads.clear()
                self._latest.clear_loads()
                self._doubts.clear()
            await self._fallback_reader.read_if_due(now)
