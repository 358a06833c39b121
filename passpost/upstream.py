"""All upstreams and the connections to them; which connection carries an attempt.

Nothing is ever sent a second time from here: every attempt is one that the module asked for.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from passpost.answer_end import Misuse, ResponseEnd
from passpost.attempt import Attempt, AttemptCallback, ResponseSink, UpstreamRequest
from passpost.http1 import Address
from passpost.upstream_connection import IDLE_SHARE, Upstream, UpstreamConnection, WatchAnswers, WatchMisuse
from passpost.upstream_options import UpstreamOptions
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

SWEEP_S = 1.0
STALL_S = 10.0  # an upstream that neither takes nor gives a byte of a long message for so long is given up
MISUSED_S = 15.0  # so long after an upstream has misused a connection, used ones are held to be in doubt
MISUSED_SHARE = 0.25  # of all upstreams, two at least: with so many the others are in doubt, too
REST_S = 0.005  # an upstream that closes behind an answer, or sends more than it, does so within this


def _unwatched(server: str, request: UpstreamRequest, end: ResponseEnd) -> None:
    """Nobody wants to know how answers end."""


def _unwatched_misuse(server: str, misuse: Misuse) -> None:
    """Nobody wants to know what upstreams send besides answers."""


class Upstreams:
    """All upstreams by name, and the connections to them, of which there are `max_open` at most."""

    def __init__(
        self,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        options: UpstreamOptions | None = None,
    ) -> None:
        self.options = options or UpstreamOptions()
        self.on_response_end: WatchAnswers = _unwatched
        self.on_misuse: WatchMisuse = _unwatched_misuse
        self._connect_timeout = connect_timeout
        self._idle_limit = idle_timeout * IDLE_SHARE
        self._max_connections = self._allowed = max_connections
        self._most_each = math.inf
        self._upstreams: dict[str, Upstream] = {}
        self._open = 0
        self._said_full = False
        self._kept_none = frozenset[str]()
        self._sweeper: asyncio.TimerHandle | None = None
        self._probes = set[asyncio.Task[None]]()

    def start(self) -> None:
        """Begin to close idle connections in time."""
        self._sweep()

    def stop(self) -> None:
        """Close everything."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for probe in self._probes:
            probe.cancel()
        self.set_addresses({})

    def set_addresses(self, addresses: dict[str, Address]) -> None:
        """Take over a list; upstreams that left it or moved lose their idle connections."""
        for name, upstream in list(self._upstreams.items()):
            if addresses.get(name) != upstream.address:
                del self._upstreams[name]  # attempts that are out go on
                for connection in list(upstream.idle):
                    connection.drop()
        for name, address in addresses.items():
            if name not in self._upstreams:
                self._upstreams[name] = Upstream(name, address)

    def send(
        self,
        server: str,
        request: UpstreamRequest,
        timeout: float,
        done: AttemptCallback,
        written: Callable[[], None] = lambda: None,
        sink: ResponseSink | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
        write_within_s: float = math.inf,
    ) -> Attempt:
        """Make one attempt; `done` is told its outcome once, later or at once.

        `wanted` is asked again where it has had to wait for its connection. What has not been written within
        so many seconds is not any more.
        """
        bounded = self.options.applies_timeout_to_streams
        attempt = Attempt(request, timeout, done, written, sink, is_wanted, write_within_s, bounded)
        upstream = self._upstreams.get(server)
        if upstream is None or not request.is_sendable():
            attempt.end(Outcome.NOT_SENT)
        else:
            self.dispatch(attempt, upstream)
        return attempt

    def dispatch(self, attempt: Attempt, upstream: Upstream, unused: bool = False) -> None:
        """Find or open a connection for an attempt; `unused`: one that has carried nothing."""
        unused = unused or self._needs_unused(attempt.request, upstream)
        if (connection := self._idle(upstream, unused)) is not None:
            self._carry(connection, attempt)
        elif len(upstream.open) >= self._most_each and not self._give_way(upstream):
            attempt.end(Outcome.UNREACHED)
        elif self._has_room():
            connection = attempt.opening = self._new(upstream)
            attempt.connecting = asyncio.get_running_loop().create_task(
                self._connect(connection, upstream, attempt)
            )
        else:
            if not self._said_full:  # one line a second at most: a shortage must not flood the log
                self._said_full = True
                log.warning("no descriptor left for a connection to %s", upstream.name)
            attempt.end(Outcome.UNREACHED)

    def _needs_unused(self, request: UpstreamRequest, upstream: Upstream) -> bool:
        """Whether a request goes out on no connection that has carried another.

        What is sent while an upstream sends stray bytes and closes is never read. It may be tried again where
        a request may run twice: those that may not are careful after one misuse, and all after two.
        """
        if not self.options.avoids_misused_connections:
            return False
        since = time.monotonic() - MISUSED_S
        if upstream.misused_before > since:
            return True
        if not request.needs_unused_connection:
            return False
        return upstream.misused_at > since or self._are_many_misused(since)

    def _are_many_misused(self, since: float) -> bool:
        count = sum(upstream.misused_at > since for upstream in self._upstreams.values())
        return count >= max(2.0, MISUSED_SHARE * len(self._upstreams))

    def _give_way(self, upstream: Upstream) -> bool:
        """Close the connection that has been idle for longest, for one that is to be unused."""
        if upstream.idle:
            upstream.idle[0].drop()
        return len(upstream.open) < self._most_each

    def misused(self, upstream: Upstream, misuse: Misuse) -> None:
        """An upstream has sent what belongs to no request of ours that is out."""
        upstream.misused_before, upstream.misused_at = upstream.misused_at, time.monotonic()
        self.on_misuse(upstream.name, misuse)

    def can_dispatch(self, upstream: Upstream) -> bool:
        """Whether an attempt would find a connection to this upstream, or could open one."""
        return bool(upstream.idle) or (len(upstream.open) < self._most_each and self._has_room())

    def limit_connections_each(self, most: float) -> None:
        """From now on at most so many connections are opened to one upstream; those that are open go on."""
        self._most_each = most

    def can_send(self, server: str) -> bool:
        """Whether an attempt would find a connection to this upstream, or could open one."""
        upstream = self._upstreams.get(server)
        return upstream is not None and (bool(upstream.idle) or len(upstream.open) < self._most_each)

    def has_idle_connection(self, server: str) -> bool:
        """Whether an attempt on this upstream would most likely need no new connection."""
        upstream = self._upstreams.get(server)
        return upstream is not None and bool(upstream.idle)

    def probe(self, server: str, found: Callable[[bool], None]) -> None:
        """See whether a connection comes up, and keep it; `found` is told once, later.

        Where none can be opened, for want of a descriptor, nothing is known against the upstream.
        """
        upstream = self._upstreams.get(server)
        if upstream is None or not self._has_room():
            asyncio.get_running_loop().call_soon(found, True)
            return
        probe = asyncio.get_running_loop().create_task(self._probe(self._new(upstream), upstream, found))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(
        self, connection: UpstreamConnection, upstream: Upstream, found: Callable[[bool], None]
    ) -> None:
        reached = await self._reach(connection, upstream)
        if reached:
            self.rest(connection, upstream)
        else:
            connection.drop()
        found(reached)

    def _new(self, upstream: Upstream) -> UpstreamConnection:
        connection = UpstreamConnection(upstream, self)
        upstream.open.add(connection)
        self._open += 1
        return connection

    def keep_none(self, servers: frozenset[str]) -> None:
        """From now on these alone have no idle connections; attempts that are out go on."""
        self._kept_none = servers
        for name in servers & self._upstreams.keys():
            for connection in list(self._upstreams[name].idle):
                connection.drop()

    def close_idle_connections(self, server: str) -> None:
        """Close the idle connections to one upstream."""
        upstream = self._upstreams.get(server)
        for connection in list(upstream.idle) if upstream is not None else ():
            connection.drop()

    def share(self, shared: bool) -> None:
        """While two processes are one balancer each has half of the connections; idle ones go for that."""
        self._allowed = self._max_connections // 2 if shared else self._max_connections
        while self._open > self._allowed and self._drop_oldest():
            pass

    def _idle(self, upstream: Upstream, unused: bool = False) -> UpstreamConnection | None:
        """The idle connection to use: the latest that has rested, else the one idle for longest.

        `unused`: only one that has carried nothing yet.
        """
        now = time.monotonic()
        limit = now - REST_S
        rested = [c for c in upstream.idle if c.idle_since <= limit]
        for connection in [*reversed(rested), *upstream.idle[len(rested) :]]:
            if unused and connection.is_used:
                continue
            if now - connection.idle_since < connection.kept and not connection.is_spent():
                upstream.idle.remove(connection)
                return connection
            connection.drop()
        return None

    def rest(self, connection: UpstreamConnection, upstream: Upstream) -> None:
        """Keep a connection for the next attempt, unless its upstream has left, moved or is held out."""
        if self._upstreams.get(upstream.name) is not upstream or upstream.name in self._kept_none:
            connection.drop()
            return
        connection.idle_since = time.monotonic()
        upstream.idle.append(connection)

    def forget(self, connection: UpstreamConnection, upstream: Upstream) -> None:
        """A connection is over."""
        if connection in upstream.open:
            upstream.open.remove(connection)
            self._open -= 1
            if connection in upstream.idle:
                upstream.idle.remove(connection)

    async def _reach(self, connection: UpstreamConnection, upstream: Upstream) -> bool:
        """Whether a connection comes up in time."""
        try:
            async with asyncio.timeout(self._connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *upstream.address)
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                log.exception("connecting to %s", upstream.name)
            return False
        return True

    async def _connect(self, connection: UpstreamConnection, upstream: Upstream, attempt: Attempt) -> None:
        try:
            reached = await self._reach(connection, upstream)
        except asyncio.CancelledError:
            return  # the attempt has ended, and its connection with it
        attempt.connecting = None
        if not reached:
            attempt.end(Outcome.UNREACHED)
        elif attempt.is_over() or not attempt.is_wanted():
            attempt.end(Outcome.NOT_SENT)  # where nobody has told it another end
        else:
            attempt.opening = None
            self._carry(connection, attempt)

    def _carry(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        try:
            connection.carry(attempt)
        except Exception:  # the attempt still owes its outcome, and some of it may have gone out
            log.exception("could not write a request")
            attempt.end(Outcome.BROKEN)
            connection.drop()

    def _has_room(self) -> bool:
        """Whether another connection may be opened; the one idle for longest gives way."""
        return self._open < self._allowed or self._drop_oldest()

    def _drop_oldest(self) -> bool:
        oldest = min(
            (u.idle[0] for u in self._upstreams.values() if u.idle), key=lambda c: c.idle_since, default=None
        )
        if oldest is not None:
            oldest.drop()
        return oldest is not None

    def _sweep(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)
        self._said_full = False
        now = time.monotonic()
        limit = now - self._idle_limit
        stalled = now - (self.options.stall_timeout_s or STALL_S)
        for upstream in self._upstreams.values():
            for connection in [c for c in upstream.open if c.stalls(stalled)]:
                connection.give_up()
            while upstream.idle and upstream.idle[0].idle_since < limit:
                upstream.idle[0].drop()
            if self.options.honors_keep_alive:
                for connection in [c for c in upstream.idle if now - c.idle_since >= c.kept]:
                    connection.drop()
