"""The data plane of one balancer: client requests, upstreams and readiness."""

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
from balancer.cold_share import ColdShare, Place
from balancer.ingress import RoutedCall, read_head
from balancer.peer import Peer
from balancer.priority import PriorityEstimator
from balancer.prompt import Prompt
from balancer.request_counters import Refusal, RequestCounters
from balancer.request_machine import Handle
from balancer.retry_budget import RetryBudget
from balancer.routes import RouteTable, draw_service
from balancer.tiers import Tiers
from balancer.upstream_call import ANSWER_GRACE_S
from balancer.upstream_health import UpstreamHealth
from balancer.upstream_protocol import free_handle_call
from balancer.versions import wanted_versions
from config.configuration import Configuration, Upstream
from config.settings import Settings, parse_address
from dissemination.failure_reports import FailureCounts
from passpost.attempt import OutgoingRequest
from passpost.client_options import ClientOptions
from passpost.http1 import Headers
from passpost.server import Server
from passpost.upstream import Upstreams
from passpost.validation import BadRequestError, RequestHead

if TYPE_CHECKING:
    from passpost.engine import Client

MIN_SHARED_TOKENS = 512  # shorter shared prefixes are not reported to other balancers
CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 120.0  # upstreams without Keep-Alive header keep idle connections at least this long
MAX_STARTUP_WAIT_S = 0.9  # clients wait no longer for a starting process before they go elsewhere
UPSTREAM_FD_SHARE = 0.4  # share of the file descriptors for upstream connections
RESERVED_FDS = 300
MAX_HELD_BODY_BYTES = 48 * 1024 * 1024  # of long bodies, all requests together
CONNS_SHARE = 0.9  # share of a service's max_conns that all balancers together use
MIN_CONNS = 4.0  # connections to one upstream that each balancer may have in any case
UNKNOWN_BALANCERS = 24  # assumed until the number of balancers is known
# Time before the platform kills the process, reserved for its own exit. At most the last sixth of the grace
# period: requests cut off in it while their upstreams are at work are not counted as lost by the operators.
END_MARGIN_S, END_MARGIN_SHARE = 1.0, 1 / 6
MIN_DRAIN_S = 0.5
FREE_TIMEOUT_S = 2.0  # of a call that frees a handle


class ServiceBudget:
    """The retry budget of one service on the monotonic clock, as requests use it."""

    def __init__(self, retries: RetryBudget) -> None:
        self.retries = retries

    def allows(self, extra: int) -> bool:
        """Return whether this many extra arrivals may be caused now."""
        return self.retries.allows(extra, time.monotonic())

    def spend(self) -> None:
        """Count an extra arrival."""
        self.retries.spend(time.monotonic())

    def refund(self) -> None:
        """Uncount an extra arrival that did not happen after all."""
        self.retries.refund()


def end_margin(grace_s: float) -> float:
    """Return the seconds before a stopping process is killed at which all its requests must have ended."""
    return min(END_MARGIN_S, END_MARGIN_SHARE * grace_s)


def _noop() -> None:
    """Do nothing."""


class Balancer:
    """One balancer's data plane, on a single asyncio loop."""

    def __init__(self, settings: Settings, seed: int, listener: socket.socket | None = None) -> None:
        """`listener`: the client socket, if it is already listening."""
        self.settings, self._listener = settings, listener
        self.counters = RequestCounters()
        fds = max(settings.limits.max_fds - RESERVED_FDS, 64)
        upstream_fds = max(int(fds * UPSTREAM_FD_SHARE), 16)
        self.upstreams = Upstreams(
            CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S * 2, upstream_fds, options.upstream_options()
        )
        self.answer_log = AnswerLog()
        self.upstreams.on_response_end = self.answer_log.on_ended
        self.upstreams.on_misuse = self.answer_log.on_misuse
        self._rng = random.Random(seed)
        self.load_changed: Callable[[], None] = _noop
        self._on_prefix_cached: Callable[[bytes, str], None] | None = None
        self.request_handler: readiness.RequestHandler | None = None  # at the readiness address
        self._cold_share = ColdShare(settings.node, settings.bounds)
        self.tiers = Tiers(
            self._rng,
            self.upstreams.can_send,
            settings.zone,
            self.upstreams.has_idle_connection,
            self._cold_share,
        )
        self.health = UpstreamHealth(self.tiers, self.upstreams)
        self._max_open = fds - upstream_fds
        self._server: Server | None = None
        self._readyz: asyncio.Server | None = None
        self._configuration: Configuration | None = None
        self._table = RouteTable(Configuration(0))
        self._budgets: dict[str, ServiceBudget] = {}
        self._requests: dict[int, ActiveRequest] = {}
        self.priorities = PriorityEstimator()
        self._last_number, self._balancers = 0, 0
        self._ready_allowed, self._draining = False, False

    # ---- called by the control side

    async def start(self) -> None:
        """Bind `listen.http` and `listen.readyz`; raises OSError if one can't be bound."""
        listen = self.settings.listen
        if listen.readyz is not None:
            self._readyz = await readiness.listen(
                parse_address(listen.readyz), self.is_ready, self.request_handler
            )
        if listen.http is not None:
            address = parse_address(listen.http)
            self._server = Server(
                self,
                address,
                self._max_open,
                listener=self._listener,
                buffer_bytes=MAX_HELD_BODY_BYTES,
                options=self._client_options(),
            )
            asyncio.get_running_loop().call_later(MAX_STARTUP_WAIT_S, self._start_accepting)
        self.upstreams.start()

    def _start_accepting(self) -> None:
        """Start accepting clients; earlier ones have waited in the socket's backlog for the configuration."""
        if self._server is not None and not self._server.acceptor.is_serving() and not self._draining:
            self._server.start()

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration; an older or equal one is ignored."""
        if self._configuration is not None and configuration.ver <= self._configuration.ver:
            return
        self._configuration = configuration
        self._table = RouteTable(configuration)
        self._cold_share.configure(configuration)
        self.priorities.keep_only({r.name for r in configuration.routes})
        self.tiers.set_wanted_versions(wanted_versions(configuration), time.monotonic())
        if self._server is not None:
            self._server.apply_options(self._client_options())
        self._limit_connections()
        if self.tiers.has_ready():
            self._start_accepting()

    def list_upstreams(self, entries: tuple[Upstream, ...]) -> None:
        """Apply the whole list of upstreams; cheap if it has not changed."""
        if self.tiers.update(entries, time.monotonic()):
            self.upstreams.set_addresses(
                {name: parse_address(address) for name, address in self.tiers.addresses()}
            )
        if self._configuration is not None:
            self._start_accepting()

    def count_balancers(self, n: int) -> None:
        """Set the number of live balancers, from which this balancer's part of shared limits follows."""
        if n != self._balancers:
            self._balancers = n
            self.tiers.outliers.balancers = max(n, 1)
            self._cold_share.count_balancers(n)
            for budget in self._budgets.values():
                budget.retries.count_balancers(n)
            self._limit_connections()

    def set_place(self, place: Place | None) -> None:
        """Set this balancer's place among those present; None while it is not listed."""
        self._cold_share.set_place(place)

    def allow_ready(self, allowed: bool) -> None:
        """Set whether the control side allows this balancer to report ready."""
        self._ready_allowed = allowed

    @property
    def ready(self) -> bool:
        """Whether readyz answers with 200."""
        return self.is_ready()

    def loads(self) -> dict[str, tuple[int, int]]:
        """Return this balancer's calls and pending prompt tokens by upstream, without idle upstreams."""
        return self.tiers.loads()

    def set_other_loads(self, load: Callable[[str], tuple[int, int]]) -> None:
        """Set `load`, which returns the other balancers' calls and prompt tokens at an upstream."""
        self.tiers.other_loads = load

    def watch_loads(self, on_change: Callable[[], None]) -> None:
        """Set the callback for changes of `loads`."""
        self.load_changed = on_change

    def on_failures_changed(self, on_change: Callable[[], None]) -> None:
        """Set the callback for changes of `failure_counts`."""
        self.health.on_change = on_change

    def failure_counts(self) -> FailureCounts:
        """Return the failures that this balancer's calls saw, by upstream and this balancer's zone."""
        return self.tiers.outliers.own_failures(time.monotonic())

    def apply_failure_counts(self, totals: FailureCounts) -> None:
        """Apply the failures that all balancers saw, including this one's."""
        self.tiers.outliers.set_fleet_failures(totals, self.tiers.peer, time.monotonic())

    def watch_cached_prefixes(self, callback: Callable[[bytes, str], None]) -> None:
        """Set the callback for each prefix that an upstream has newly cached for this balancer."""
        self._on_prefix_cached = callback

    def add_cached_prefix(self, prefix: bytes, upstream: str) -> None:
        """Add a prefix that an upstream has cached according to another balancer."""
        if self.tiers.peer(upstream) is not None:
            self.tiers.prefix_index.add(prefix, upstream)

    def on_prompt_cached(self, peer: Peer, prompt: Prompt) -> None:
        """Record that an upstream has prefilled or fetched a prompt for this balancer."""
        is_new = self.tiers.prefix_index.add(prompt.prefix, peer.entry.id)
        if is_new and prompt.shared_tokens >= MIN_SHARED_TOKENS and self._on_prefix_cached is not None:
            self._on_prefix_cached(prompt.prefix, peer.entry.id)

    async def drain(self) -> None:
        """Stop being ready; returns when all requests are answered or `bounds.grace_s` is almost over."""
        self._draining = True
        if self._server is not None:
            grace_s = self.settings.bounds.grace_s
            # For requests open at the end, the upstream's own answer is awaited a little longer.
            within = grace_s - end_margin(grace_s) - ANSWER_GRACE_S
            await self._server.drain(max(within, MIN_DRAIN_S))
        await self.stop()

    async def stop(self) -> None:
        """Stop at once, even with open requests."""
        if self._readyz is not None:
            self._readyz.close()
        if self._server is not None:
            self._server.stop()
        self.upstreams.stop()

    def counts(self) -> dict[str, Any]:
        """Return how requests ended and what is in flight, for the status endpoint."""
        ends = {final.value: count for final, count in self.counters.ends.items()}
        out, version = self.tiers.in_flight(), self._table.version
        return {**ends, "in_flight": self.counters.in_flight, "calls_out": out, "config_ver": version}

    # ---- derived state

    def is_ready(self) -> bool:
        """Return whether this balancer is allowed to be ready, configured and not draining."""
        return self._ready_allowed and self._configuration is not None and not self._draining

    def _client_options(self) -> ClientOptions:
        limits = (self._configuration or Configuration(0)).limits
        return options.client_options(limits, self.settings.bounds.grace_s)

    def _limit_connections(self) -> None:
        services = self._configuration.svcs if self._configuration is not None else ()
        limit = min((s.max_conns for s in services), default=math.inf)
        if math.isfinite(limit):
            share = CONNS_SHARE * limit / (self._balancers or UNKNOWN_BALANCERS)
            self.upstreams.limit_connections_each(max(MIN_CONNS, share))

    def budget(self, service: str) -> ServiceBudget:
        """Return the retry budget of a service."""
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

    def free_handle(self, handle: Handle) -> None:
        """Free the KV cache behind a handle that will not be fetched."""
        request = free_handle_call(handle.address, handle.holder, handle.ref)
        self.upstreams.send(handle.holder, request, FREE_TIMEOUT_S, lambda outcome, answer: None)

    # ---- host of passpost.server

    @property
    def has_upstreams(self) -> bool:
        """Whether any upstream is ready."""
        return self.tiers.has_ready()

    def parse_head(self, method: bytes, target: bytes, version: str, headers: Headers) -> RequestHead:
        """Parse a request head; raises BadRequestError."""
        if self._configuration is None:
            self.counters.refused(Refusal.UNCONFIGURED)
            raise BadRequestError(503)
        return read_head(method, target, version, headers, self._table, self._configuration.limits)

    def take_up(
        self,
        call: RequestHead,
        remaining: float,
        outgoing: OutgoingRequest,
        client: Client,
        free_connections: float,
    ) -> int:
        """Start a request that has to be answered in `remaining` seconds; return its number."""
        assert isinstance(call, RoutedCall)
        now = time.monotonic()
        self._last_number += 1
        number = self._last_number
        service = draw_service(call.route, self._rng)
        self.budget(service).retries.arrived(now)
        request = self._requests[number] = ActiveRequest(
            self, number, call, service, now + remaining, outgoing, client
        )
        request.start()
        return number

    def on_request_complete(self, number: int) -> None:
        """Do nothing: a request starts only when its whole body is held."""

    def on_client_disconnected(self, number: int) -> None:
        """Handle a client's disconnect."""
        request = self._requests.get(number)
        if request is not None:
            request.on_client_left()

    def on_request_ended(self, number: int) -> None:
        """Drop a request that has its final answer."""
        self._requests.pop(number, None)
