"""The upstreams and the connections to them; selects the connection for each attempt.

Nothing is retried here: every attempt is one that the policy requested.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from passpost.attempt import Attempt, AttemptCallback, OutgoingRequest, ResponseSink
from passpost.http1 import Address
from passpost.response_end import Misuse, ResponseEnd
from passpost.upstream_connection import IDLE_SHARE, OnMisuse, OnResponseEnd, Upstream, UpstreamConnection
from passpost.upstream_options import UpstreamOptions
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 1.0
STALL_TIMEOUT_S = 10.0  # an upstream that moves no byte of a long message for so long is given up
MISUSE_WINDOW_S = 15.0  # for so long a misuse keeps used connections to its upstream in doubt
MISUSED_SHARE = 0.25  # of all upstreams, at least two: with so many misusing, the others are in doubt
REUSE_DELAY_S = 0.005  # an upstream that closes after a response, or sends surplus bytes, does so within this


def _ignore_response_end(server: str, request: OutgoingRequest, end: ResponseEnd) -> None:
    """Ignore the end of a response: the default observer."""


def _ignore_misuse(server: str, misuse: Misuse) -> None:
    """Ignore misuse: the default observer."""


class Upstreams:
    """All upstreams by name and the connections to them, at most `max_connections`."""

    def __init__(
        self,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        options: UpstreamOptions | None = None,
    ) -> None:
        self.options = options or UpstreamOptions()
        self.on_response_end: OnResponseEnd = _ignore_response_end
        self.on_misuse: OnMisuse = _ignore_misuse
        self._connect_timeout = connect_timeout
        self._idle_limit = idle_timeout * IDLE_SHARE
        self._max_connections = self._open_limit = max_connections
        self._max_each = math.inf
        self._upstreams: dict[str, Upstream] = {}
        self._open_count = 0
        self._warned_full = False
        self._cordoned = frozenset[str]()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._probes = set[asyncio.Task[None]]()

    def start(self) -> None:
        """Start closing idle and stalled connections."""
        self._sweep()

    def stop(self) -> None:
        """Close everything."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for probe in self._probes:
            probe.cancel()
        self.set_addresses({})

    def set_addresses(self, addresses: dict[str, Address]) -> None:
        """Replace the list; upstreams that left it or moved lose their idle connections."""
        for name, upstream in list(self._upstreams.items()):
            if addresses.get(name) != upstream.address:
                del self._upstreams[name]  # attempts in flight continue
                for connection in list(upstream.idle):
                    connection.close()
        for name, address in addresses.items():
            if name not in self._upstreams:
                self._upstreams[name] = Upstream(name, address)

    def send(
        self,
        server: str,
        request: OutgoingRequest,
        timeout_s: float,
        on_done: AttemptCallback,
        on_written: Callable[[], None] = lambda: None,
        sink: ResponseSink | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
        write_within_s: float = math.inf,
    ) -> Attempt:
        """Make one attempt; `on_done` gets its outcome once, at once or later.

        `is_wanted` is checked again after waiting for a connection. A request that has not been written
        within `write_within_s` seconds is not written any more.
        """
        limits_stream = self.options.applies_timeout_to_streams
        attempt = Attempt(
            request, timeout_s, on_done, on_written, sink, is_wanted, write_within_s, limits_stream
        )
        upstream = self._upstreams.get(server)
        if upstream is None or not request.is_sendable():
            attempt.finish(Outcome.NOT_SENT)
        else:
            self.dispatch(attempt, upstream)
        return attempt

    def dispatch(
        self, attempt: Attempt, upstream: Upstream, unused: bool = False, replaces_ended: bool = False
    ) -> None:
        """Find or open a connection for an attempt; `unused`: one that has carried no request.

        `replaces_ended`: the upstream has just ended a connection, whose place the new one takes.
        """
        unused = unused or self._needs_unused(attempt.request, upstream)
        if (connection := self._find_idle(upstream, unused)) is not None:
            self._start_attempt(connection, attempt)
        elif not (replaces_ended or len(upstream.open) < self._max_each or self._evict_idle(upstream)):
            attempt.finish(Outcome.UNREACHED)
        elif self._has_room() or replaces_ended:
            connection = attempt.pending_connection = self._create_connection(upstream)
            attempt.connect_task = asyncio.get_running_loop().create_task(
                self._connect(connection, upstream, attempt)
            )
        else:
            if not self._warned_full:  # at most one line per second: a shortage must not flood the log
                self._warned_full = True
                log.warning("no descriptor free for a connection to %s", upstream.name)
            attempt.finish(Outcome.UNREACHED)

    def _needs_unused(self, request: OutgoingRequest, upstream: Upstream) -> bool:
        """Whether a request must go out on a connection that has carried no other.

        A request written while an upstream sends stray bytes and closes is never read. It can be retried if
        it may run twice: requests that may not use new connections after one misuse, all others after two.
        """
        if not self.options.avoids_misused_connections:
            return False
        since = time.monotonic() - MISUSE_WINDOW_S
        if upstream.previous_misuse_at > since:
            return True
        if not request.needs_unused_connection:
            return False
        return upstream.last_misuse_at > since or self._are_many_misused(since)

    def _are_many_misused(self, since: float) -> bool:
        count = sum(upstream.last_misuse_at > since for upstream in self._upstreams.values())
        return count >= max(2.0, MISUSED_SHARE * len(self._upstreams))

    def _evict_idle(self, upstream: Upstream) -> bool:
        """Close the longest idle connection to make room for an unused one; returns whether there is room."""
        if upstream.idle:
            upstream.idle[0].close()
        return len(upstream.open) < self._max_each

    def record_misuse(self, upstream: Upstream, misuse: Misuse) -> None:
        """An upstream has sent bytes that belong to no pending request."""
        upstream.previous_misuse_at, upstream.last_misuse_at = upstream.last_misuse_at, time.monotonic()
        self.on_misuse(upstream.name, misuse)

    def limit_connections_each(self, max_each: float) -> None:
        """Limit new connections to each upstream; open ones are not closed."""
        self._max_each = max_each

    def can_send(self, server: str) -> bool:
        """Whether an attempt would find a connection to this upstream, or could open one."""
        upstream = self._upstreams.get(server)
        return upstream is not None and (bool(upstream.idle) or len(upstream.open) < self._max_each)

    def has_idle_connection(self, server: str) -> bool:
        """Whether an attempt at this upstream would probably need no new connection."""
        upstream = self._upstreams.get(server)
        return upstream is not None and bool(upstream.idle)

    def probe(self, server: str, on_result: Callable[[bool], None]) -> None:
        """Check whether a connection can be established, and keep it; `on_result` is called once, later.

        Without a free descriptor nothing is known, and the result is True.
        """
        upstream = self._upstreams.get(server)
        if upstream is None or not self._has_room():
            asyncio.get_running_loop().call_soon(on_result, True)
            return
        probe = asyncio.get_running_loop().create_task(
            self._probe(self._create_connection(upstream), upstream, on_result)
        )
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(
        self, connection: UpstreamConnection, upstream: Upstream, on_result: Callable[[bool], None]
    ) -> None:
        is_established = await self._establish(connection, upstream)
        if is_established:
            self.release(connection, upstream)
        else:
            connection.close()
        on_result(is_established)

    def _create_connection(self, upstream: Upstream) -> UpstreamConnection:
        connection = UpstreamConnection(upstream, self)
        upstream.open.add(connection)
        self._open_count += 1
        return connection

    def set_cordoned(self, servers: frozenset[str]) -> None:
        """Keep no idle connections to exactly these upstreams; attempts in flight continue."""
        self._cordoned = servers
        for name in servers & self._upstreams.keys():
            for connection in list(self._upstreams[name].idle):
                connection.close()

    def close_idle_connections(self, server: str) -> None:
        """Close the idle connections to one upstream."""
        upstream = self._upstreams.get(server)
        for connection in list(upstream.idle) if upstream is not None else ():
            connection.close()

    def set_shared(self, shared: bool) -> None:
        """Halve the connection limit while two processes are one balancer, closing idle connections."""
        self._open_limit = self._max_connections // 2 if shared else self._max_connections
        while self._open_count > self._open_limit and self._close_oldest_idle():
            pass

    def _find_idle(self, upstream: Upstream, unused: bool = False) -> UpstreamConnection | None:
        """The idle connection to use: the latest idle for REUSE_DELAY_S, else the longest idle.

        `unused`: only one that has carried no request.
        """
        now = time.monotonic()
        limit = now - REUSE_DELAY_S
        reusable = [c for c in upstream.idle if c.idle_since <= limit]
        for connection in [*reversed(reusable), *upstream.idle[len(reusable) :]]:
            if unused and connection.is_used:
                continue
            if now - connection.idle_since < connection.idle_limit_s and not connection.is_spent():
                upstream.idle.remove(connection)
                return connection
            connection.close()
        return None

    def release(self, connection: UpstreamConnection, upstream: Upstream) -> None:
        """Keep a connection for later attempts, unless its upstream has left, moved or is cordoned."""
        if self._upstreams.get(upstream.name) is not upstream or upstream.name in self._cordoned:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        upstream.idle.append(connection)

    def remove(self, connection: UpstreamConnection, upstream: Upstream) -> None:
        """Remove a closed connection."""
        if connection in upstream.open:
            upstream.open.remove(connection)
            self._open_count -= 1
            if connection in upstream.idle:
                upstream.idle.remove(connection)

    async def _establish(self, connection: UpstreamConnection, upstream: Upstream) -> bool:
        """Whether a connection is established in time."""
        try:
            async with asyncio.timeout(self._connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *upstream.address)
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                log.exception("could not connect to %s", upstream.name)
            return False
        return True

    async def _connect(self, connection: UpstreamConnection, upstream: Upstream, attempt: Attempt) -> None:
        try:
            is_established = await self._establish(connection, upstream)
        except asyncio.CancelledError:
            return  # the attempt has ended, and its connection with it
        attempt.connect_task = None
        if not is_established:
            attempt.finish(Outcome.UNREACHED)
        elif attempt.is_finished() or not attempt.is_wanted():
            attempt.finish(Outcome.NOT_SENT)  # no effect if it has ended already
        else:
            attempt.pending_connection = None
            self._start_attempt(connection, attempt)

    def _start_attempt(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        try:
            connection.start_attempt(attempt)
        except Exception:  # the attempt needs an outcome, and part of the request may have been sent
            log.exception("could not write a request")
            attempt.finish(Outcome.BROKEN)
            connection.close()

    def _has_room(self) -> bool:
        """Whether another connection may be opened, after closing the longest idle one if necessary."""
        return self._open_count < self._open_limit or self._close_oldest_idle()

    def _close_oldest_idle(self) -> bool:
        oldest = min(
            (u.idle[0] for u in self._upstreams.values() if u.idle), key=lambda c: c.idle_since, default=None
        )
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def _sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        self._warned_full = False
        now = time.monotonic()
        limit = now - self._idle_limit
        stalled = now - (self.options.stall_timeout_s or STALL_TIMEOUT_S)
        for upstream in self._upstreams.values():
            for connection in [c for c in upstream.open if c.has_stalled(stalled)]:
                connection.abort_stalled()
            while upstream.idle and upstream.idle[0].idle_since < limit:
                upstream.idle[0].close()
            if self.options.honors_keep_alive:
                for connection in [c for c in upstream.idle if now - c.idle_since >= c.idle_limit_s]:
                    connection.close()
