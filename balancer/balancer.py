"""The data plane of one balancer: clients, upstreams and readiness, as the control side steers it."""

from __future__ import annotations

import asyncio
import math
import random
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from balancer import options, readiness
from balancer.active_request import ActiveRequest
from balancer.answer_log import AnswerLog
from balancer.budget import RetryBudget
from balancer.cold_share import ColdShare, Place
from balancer.ingress import RoutedCall, read_head
from balancer.pair import Handle
from balancer.peer import Peer
from balancer.prompt import Prompt
from balancer.request_counters import Refusal, RequestCounters
from balancer.routes import RouteTable, draw_service
from balancer.standing import Standing
from balancer.tiers import Tiers
from balancer.upstream_call import ANSWER_GRACE_S
from balancer.urgency import Urgency
from balancer.versions import wanted_versions
from balancer.wire import free_handle
from config.configuration import Configuration, Upstream
from config.settings import Settings, parse_address
from dissemination.doubts import FailureCounts
from passpost.attempt import Outgoing
from passpost.client_options import ClientOptions
from passpost.http1 import Headers
from passpost.server import Server
from passpost.upstream import Upstreams
from passpost.validation import BadRequestError, Call

if TYPE_CHECKING:
    from passpost.engine import Client

TOLD_TOKENS = 512  # shared parts that are shorter are not worth a word to others
CONNECT_S = 0.5
IDLE_S = 120.0  # an upstream that tells no time keeps idle connections at least so long
DOOR_S = 0.9  # clients wait so long at the most for a process that has just started: then they go elsewhere
UPSTREAM_SHARE = 0.4  # of the descriptors
RESERVED_FILES = 300
HELD_BODIES = 48 * 1024 * 1024  # bytes of long bodies held at once
CONNS_SHARE = 0.9  # of a service's max_conns that all balancers together use
CONNS_LEAST = 4.0  # connections to one upstream that each balancer may have
UNKNOWN_BALANCERS = 24  # until their number is known
# Before the platform kills us, for the end of the process itself: no more than the last sixth, in which the
# operators count no request that is cut off while its upstream is at work.
END_MARGIN_S, END_MARGIN_SHARE = 1.0, 1 / 6
LEAST_DRAIN_S = 0.5
FREE_S = 2.0  # a call that frees a handle is given up after this


class ServiceBudget:
    """The budget of one service on the steady clock, as a request's decision sees it."""

    def __init__(self, retries: RetryBudget) -> None:
        self.retries = retries

    def allows(self, extra: int) -> bool:
        """Whether so many extra arrivals may be caused now."""
        return self.retries.allows(extra, time.monotonic())

    def spend(self) -> None:
        """One is caused."""
        self.retries.spend(time.monotonic())

    def refund(self) -> None:
        """It did not arrive after all."""
        self.retries.refund()


def end_margin(grace_s: float) -> float:
    """So long before a process that is told to stop would be killed all its requests are over, in seconds."""
    return min(END_MARGIN_S, END_MARGIN_SHARE * grace_s)


def _nothing() -> None:
    """Nobody wants to be told."""


class Balancer:
    """One balancer's data plane, steered by the control side; all on one asyncio loop."""

    def __init__(self, settings: Settings, seed: int, listener: socket.socket | None = None) -> None:
        """`listener`: the socket for clients, where it listens already."""
        self.settings, self._listener = settings, listener
        self.counters = RequestCounters()
        files = max(settings.limits.max_fds - RESERVED_FILES, 64)
        to_upstreams = max(int(files * UPSTREAM_SHARE), 16)
        self.upstreams = Upstreams(CONNECT_S, IDLE_S * 2, to_upstreams, options.upstream_options())
        self.answers = AnswerLog()
        self.upstreams.watch_answers = self.answers.ended
        self.upstreams.watch_misuse = self.answers.misused
        self._chance = random.Random(seed)
        self.load_changed: Callable[[], None] = _nothing
        self._tell_kept: Callable[[bytes, str], None] | None = None
        self.other_calls: readiness.Other | None = None  # at the address of readiness
        self._cold_share = ColdShare(settings.node, settings.bounds)
        self.tiers = Tiers(
            self._chance, self.upstreams.has_place, settings.zone, self.upstreams.has_idle, self._cold_share
        )
        self.standing = Standing(self.tiers, self.upstreams)
        self._max_open = files - to_upstreams
        self._server: Server | None = None
        self._readyz: asyncio.Server | None = None
        self._configuration: Configuration | None = None
        self._table = RouteTable(Configuration(0))
        self._budgets: dict[str, ServiceBudget] = {}
        self._requests: dict[int, ActiveRequest] = {}
        self.urgency = Urgency()
        self._count, self._balancers = 0, 0
        self._allowed, self._draining = False, False

    # ---- what the control side calls

    async def start(self) -> None:
        """Bind `listen.http` and `listen.readyz`; raises OSError where one can't be bound."""
        listen = self.settings.listen
        if listen.readyz is not None:
            self._readyz = await readiness.listen(
                parse_address(listen.readyz), self.is_ready, self.other_calls
            )
        if listen.http is not None:
            address = parse_address(listen.http)
            self._server = Server(
                self,
                address,
                self._max_open,
                listener=self._listener,
                held=HELD_BODIES,
                options=self._client_options(),
            )
            asyncio.get_running_loop().call_later(DOOR_S, self._open_door)
        self.upstreams.start()

    def _open_door(self) -> None:
        """Take in clients; those that came while we knew nothing have waited in the socket's queue."""
        if self._server is not None and not self._server.acceptor.is_serving() and not self._draining:
            self._server.start()

    def configure(self, configuration: Configuration) -> None:
        """A newer configuration is in force from now on; an older one or the same changes nothing."""
        if self._configuration is not None and configuration.ver <= self._configuration.ver:
            return
        self._configuration = configuration
        self._table = RouteTable(configuration)
        self._cold_share.configure(configuration)
        self.urgency.keep_only({r.name for r in configuration.routes})
        self.tiers.want_versions(wanted_versions(configuration), time.monotonic())
        if self._server is not None:
            self._server.treat(self._client_options())
        self._limit_connections()
        if self.tiers.has_any():
            self._open_door()

    def list_upstreams(self, entries: tuple[Upstream, ...]) -> None:
        """The whole list as it is now; the same as before costs little."""
        if self.tiers.take(entries, time.monotonic()):
            self.upstreams.route({name: parse_address(address) for name, address in self.tiers.addresses()})
        if self._configuration is not None:
            self._open_door()

    def count_balancers(self, n: int) -> None:
        """So many balancers live: our parts of what all of them share follow."""
        if n != self._balancers:
            self._balancers = n
            self.tiers.trust.balancers = max(n, 1)
            self._cold_share.count_balancers(n)
            for budget in self._budgets.values():
                budget.retries.count_balancers(n)
            self._limit_connections()

    def stand_among(self, place: Place | None) -> None:
        """Our place among the balancers that are present; None while we are not among them."""
        self._cold_share.stand(place)

    def allow_ready(self, allowed: bool) -> None:
        """Whether the control side lets us call ourselves ready."""
        self._allowed = allowed

    @property
    def ready(self) -> bool:
        """Whether readyz answers 200."""
        return self.is_ready()

    def loads(self) -> dict[str, tuple[int, int]]:
        """Our calls and outstanding prompt tokens, by upstream; those with none are left out."""
        return self.tiers.loads()

    def heed_others(self, load: Callable[[str], tuple[int, int]]) -> None:
        """From now on `load` tells the other balancers' calls and prompt tokens at an upstream."""
        self.tiers.others = load

    def tell_load(self, changed: Callable[[], None]) -> None:
        """`changed` is called whenever `loads` would tell something new."""
        self.load_changed = changed

    def on_failures_changed(self, changed: Callable[[], None]) -> None:
        """`changed` is called whenever `failure_counts` would tell something new."""
        self.standing.changed = changed

    def failure_counts(self) -> FailureCounts:
        """Failures that our calls saw, by upstream and our zone, each as of one balancer."""
        return self.tiers.trust.seen(time.monotonic())

    def apply_failure_counts(self, told: FailureCounts) -> None:
        """What all balancers together hold against upstreams, ourselves among them."""
        self.tiers.trust.heed(told, self.tiers.peer, time.monotonic())

    def tell_kept(self, tell: Callable[[bytes, str], None]) -> None:
        """`tell` hears of each subject whose shared parts an upstream has newly read or fetched for us."""
        self._tell_kept = tell

    def heed_kept(self, subject: bytes, upstream: str) -> None:
        """Another balancer has seen that an upstream has the shared parts of a subject."""
        if self.tiers.peer(upstream) is not None:
            self.tiers.kept.add(subject, upstream)

    def kept(self, peer: Peer, prompt: Prompt) -> None:
        """An upstream has read or fetched a prompt for us."""
        is_new = self.tiers.kept.add(prompt.subject, peer.entry.id)
        if is_new and prompt.shared >= TOLD_TOKENS and self._tell_kept is not None:
            self._tell_kept(prompt.subject, peer.entry.id)

    async def drain(self) -> None:
        """Not ready from now on; returns when all is answered, or shortly before `bounds.grace_s` ends."""
        self._draining = True
        if self._server is not None:
            grace_s = self.settings.bounds.grace_s
            # What is open at the end has its upstream's word awaited for a moment more.
            within = grace_s - end_margin(grace_s) - ANSWER_GRACE_S
            await self._server.drain(max(within, LEAST_DRAIN_S))
        await self.stop()

    async def stop(self) -> None:
        """End at once, whatever is open."""
        if self._readyz is not None:
            self._readyz.close()
        if self._server is not None:
            self._server.stop()
        self.upstreams.stop()

    def figures(self) -> dict[str, Any]:
        """What has been served and what is in flight, for a status call."""
        ends = {final.value: count for final, count in self.counters.ends.items()}
        out, version = self.tiers.in_flight(), self._table.version
        return {**ends, "in_flight": self.counters.in_flight, "calls_out": out, "config_ver": version}

    # ---- what follows from it

    def is_ready(self) -> bool:
        """Allowed, configured and not draining."""
        return self._allowed and self._configuration is not None and not self._draining

    def _client_options(self) -> ClientOptions:
        limits = (self._configuration or Configuration(0)).limits
        return options.client_options(limits, self.settings.bounds.grace_s)

    def _limit_connections(self) -> None:
        services = self._configuration.svcs if self._configuration is not None else ()
        most = min((s.max_conns for s in services), default=math.inf)
        if math.isfinite(most):
            part = CONNS_SHARE * most / (self._balancers or UNKNOWN_BALANCERS)
            self.upstreams.limit_each(max(CONNS_LEAST, part))

    def budget(self, service: str) -> ServiceBudget:
        """What pays for extra arrivals at a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            retries = RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack, time.monotonic()
            )
            if self._balancers:
                retries.count_balancers(self._balancers)
            budget = self._budgets[service] = ServiceBudget(retries)
        return budget

    def free(self, handle: Handle) -> None:
        """Free memory that nobody will fetch."""
        request = free_handle(handle.address, handle.holder, handle.ref)
        self.upstreams.send(handle.holder, request, FREE_S, lambda outcome, answer: None)

    # ---- the host of passpost.server

    @property
    def has_upstreams(self) -> bool:
        """Whether any upstream is ready."""
        return self.tiers.has_any()

    def read(self, method: bytes, target: bytes, version: str, headers: Headers) -> Call:
        """The call that a head stands for; raises BadRequestError."""
        if self._configuration is None:
            self.counters.refused(Refusal.UNCONFIGURED)
            raise BadRequestError(503)
        return read_head(method, target, version, headers, self._table, self._configuration.limits)

    def take_up(
        self, call: Call, remaining: float, outgoing: Outgoing, client: Client, free_connections: float
    ) -> int:
        """A request is there, with so many seconds to answer it; the result is its number."""
        assert isinstance(call, RoutedCall)
        now = time.monotonic()
        self._count += 1
        number = self._count
        service = draw_service(call.route, self._chance)
        self.budget(service).retries.arrived(now)
        passage = self._requests[number] = ActiveRequest(
            self, number, call, service, now + remaining, outgoing, client
        )
        passage.begin()
        return number

    def whole(self, number: int) -> None:
        """Bodies are held whole before their requests are taken up: there is nothing to do."""

    def left(self, number: int) -> None:
        """The client has gone."""
        passage = self._requests.get(number)
        if passage is not None:
            passage.left()

    def ended(self, number: int) -> None:
        """A request has its answer."""
        self._requests.pop(number, None)
