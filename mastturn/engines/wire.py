"""Upstream connections of one balancer in simulated time; replaces `passpost.upstream.Upstreams`."""

from __future__ import annotations

import asyncio
import json
import math
import re
from collections.abc import Callable, Mapping
from typing import Any

from balancer import options
from balancer.upstream_protocol import UpstreamRequest
from mastturn.engines.engine import Engine
from mastturn.engines.jobs import MISPLACED, Counters, Job
from passpost.attempt import AttemptCallback, OutgoingRequest, ResponseSink
from passpost.http1 import Headers, Response, ResponseStart
from umberworks.interface import Outcome

CONNECT_S = 0.5
HEAD_BYTES, EVENT_BYTES = 600, 180  # size of a request head, and of an event with its packet
IDLE_S = 15.0  # idle connections are closed after this
_HEADER_LINE = re.compile(rb"([A-Za-z-]+): ([^\r]*)\r\n")
_DELETE_HANDLE = re.compile(rb"DELETE /api/kv-handle/(\S+) ")
_EVENTS: Headers = [(b"Content-Type", b"text/event-stream"), (b"Mastturn-Server-Seal", b"s")]
_NOT_RUN: Headers = [(b"Mastturn-Not-Run", b"1")]


class Network:
    """One-way latencies between zones, in seconds."""

    def __init__(self, in_zone_ms: float, cross_zone_ms: float) -> None:
        self._in_zone_s, self._cross_zone_s = in_zone_ms / 1000, cross_zone_ms / 1000

    def one_way_s(self, a: str, b: str) -> float:
        """One-way latency between two zones, in seconds."""
        return self._in_zone_s if a == b else self._cross_zone_s


class UnlimitedFlow:
    """Flow control without backpressure: simulated clients always read."""

    def pause(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""


class SimulatedAttempt:
    """One attempt: the balancer's handle of it, and the caller that the engine notifies."""

    def __init__(
        self,
        upstreams: SimulatedUpstreams,
        engine: Engine,
        request: OutgoingRequest,
        done: AttemptCallback,
        sink: ResponseSink | None,
    ) -> None:
        self._upstreams, self._engine, self._request, self._sink = upstreams, engine, request, sink
        self._done: AttemptCallback | None = done
        self._timer: asyncio.TimerHandle | None = None
        self._one_way_s = upstreams.network.one_way_s(upstreams.zone, engine.zone)
        self._loop = asyncio.get_running_loop()
        self._job: Job | None = None
        self._sent = False
        self._has_started = False

    # ---- the balancer's side

    def is_finished(self) -> bool:
        """Whether the outcome has been reported."""
        return self._done is None

    def cancel(self) -> None:
        """Cancel the attempt."""
        self.end(Outcome.CANCELLED)

    def start(self, timeout: float, write_within_s: float, connected: bool, handshake_s: float) -> None:
        """Connect unless connected already, and send."""
        self._timer = self._loop.call_later(timeout, self._on_timeout)
        engine = self._engine
        if connected:
            self._send()
        elif engine.down:
            wait = CONNECT_S if engine.dark else 2 * self._one_way_s
            self._loop.call_later(wait, self.end, Outcome.UNREACHED)
        else:
            wait = 2 * self._one_way_s + handshake_s
            self._loop.call_later(min(wait, write_within_s), self._send)

    def _send(self) -> None:
        if self._done is None:
            return
        self._sent = True
        self._upstreams.count_bytes(self._engine, self._upstreams.request_bytes(self._request))
        self._loop.call_later(self._one_way_s, self._on_arrival, self._engine.incarnation)

    def _on_arrival(self, incarnation: int) -> None:
        if self._done is None:
            return
        engine = self._engine
        if engine.down or incarnation != engine.incarnation:
            if engine.dark:
                self._loop.call_later(options.UNACKED_MS / 1000, self.end, Outcome.BROKEN)
            else:
                self._respond(self.end, Outcome.BROKEN)
            return
        if not isinstance(self._request, UpstreamRequest):
            found = _DELETE_HANDLE.match(self._request.head)
            if found is not None:
                engine.handover.free(found[1].decode())
            self._respond(self._on_response, 200, b"")
            return
        self._job = self._upstreams.job(self._request, self, self._loop.time())
        engine.accept(self._job)

    def _on_timeout(self) -> None:
        self.end(Outcome.TIMED_OUT if self._sent else Outcome.UNREACHED)

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome once, and cancel the call at an engine that still works on it."""
        if self._done is None:
            return
        done, self._done = self._done, None
        if self._timer is not None:
            self._timer.cancel()
        if self._job is not None and not self._job.over:
            self._loop.call_later(self._one_way_s, self._engine.cancel, self._job)
        self._upstreams.over(self._engine, reusable=response is not None)
        done(outcome, response)

    # ---- the engine's side

    def _respond(self, callback: Callable[..., None], *args: Any) -> None:
        self._loop.call_later(self._one_way_s, callback, *args)

    def _on_response(self, status: int, body: bytes) -> None:
        headers = _EVENTS[1:] if 200 <= status < 300 else _NOT_RUN
        response = Response(status, headers, body, True)
        if 200 <= status < 300:
            self.end(Outcome.SERVED, response)
        else:
            self.end(Outcome.TURNED_AWAY, response)

    def prompt_read(self, handle: str) -> None:
        """Answer a finished prefill with its handle."""
        self._respond(self._on_response, 200, json.dumps({"kv_ref": handle, "ntokens": 1, "ver": 1}).encode())

    def rejected(self, reason: str) -> None:
        """Answer a rejected call."""
        self._respond(self._on_response, 421 if reason == MISPLACED else 503, b"")

    def event_sent(self, number: int) -> None:
        """Send an event of the answer."""
        self._upstreams.count_bytes(self._engine, EVENT_BYTES)
        self._respond(self._on_event, number)

    def _on_event(self, number: int) -> None:
        if self._done is None or self._sink is None:
            return
        if not self._has_started:
            self._has_started = True
            request = self._request
            assert isinstance(request, UpstreamRequest)
            headers = [*_EVENTS, (b"Mastturn-Request-Id", request.request_id)]
            if not self._sink.on_response_start(ResponseStart(headers, None), UnlimitedFlow()):
                self.end(Outcome.BROKEN)
                return
            if self._timer is not None:
                self._timer.cancel()
        self._sink.on_body(b"id: %d\ndata: x\n\n" % number)

    def completed(self) -> None:
        """End the answer."""
        self._respond(self._on_complete)

    def _on_complete(self) -> None:
        self.end(Outcome.SERVED, Response(200, _EVENTS, b"", True))

    def connection_lost(self) -> None:
        """Break the connection."""
        self._respond(self.end, Outcome.BROKEN)


class SimulatedUpstreams:
    """The engines of the list by id, and the connections to them."""

    def __init__(
        self,
        zone: str,
        network: Network,
        handshake_ms: float,
        job: Callable[..., Job],
        request_bytes: Callable[[OutgoingRequest], float],
        counters: Counters,
    ) -> None:
        """`job` makes the engine's call of a request, its caller and the time of arrival."""
        self.zone, self.network, self.job = zone, network, job
        self._handshake_s = handshake_ms / 1000
        self._engines: dict[str, Engine] = {}
        self._idle: dict[Engine, list[tuple[float, int]]] = {}  # idle since, incarnation of the engine
        self._open: dict[Engine, int] = {}
        self._max_connections_each = math.inf
        self.handshakes = 0
        self.counters = counters
        self.request_bytes = request_bytes

    def count_bytes(self, engine: Engine, size: float) -> None:
        """Count bytes sent to or received from an engine of another zone."""
        if engine.zone != self.zone:
            self.counters.cross_zone_bytes += size

    def set_engines(self, engines: Mapping[str, Engine]) -> None:
        """Set the engines of the list, by id."""
        self._engines = dict(engines)

    def start(self) -> None:
        """Do nothing: there are no sockets."""

    def stop(self) -> None:
        """Do nothing: there are no sockets."""

    def set_addresses(self, addresses: Mapping[str, object]) -> None:
        """Ignore addresses; see `set_engines`."""

    def limit_connections_each(self, most: float) -> None:
        """Limit the open connections to each upstream."""
        self._max_connections_each = most

    def close_idle_connections(self, server: str) -> None:
        """Close the idle connections to one upstream."""
        engine = self._engines.get(server)
        if engine is not None:
            self._open[engine] = self._open.get(engine, 0) - len(self._idle.get(engine, ()))
            self._idle[engine] = []

    def _idle_connections(self, engine: Engine) -> list[tuple[float, int]]:
        idle = self._idle.setdefault(engine, [])
        now = asyncio.get_running_loop().time()
        while idle and (now - idle[0][0] > IDLE_S or (idle[0][1] != engine.incarnation and not engine.dark)):
            del idle[0]  # a process that ends closes its connections, a dark one does not
            self._open[engine] -= 1
        return idle

    def can_send(self, server: str) -> bool:
        """Whether an attempt would find a connection to this upstream, or could open one."""
        engine = self._engines.get(server)
        if engine is None:
            return False
        return bool(self._idle_connections(engine)) or self._open.get(engine, 0) < self._max_connections_each

    def send(
        self,
        server: str,
        request: OutgoingRequest,
        timeout: float,
        done: AttemptCallback,
        written: Callable[[], None] = lambda: None,
        sink: ResponseSink | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
        write_within_s: float = math.inf,
    ) -> SimulatedAttempt:
        """Make one attempt."""
        engine = self._engines.get(server)
        if engine is None:
            attempt = SimulatedAttempt(self, _UNKNOWN_ENGINE, request, done, sink)
            attempt.end(Outcome.NOT_SENT)
            return attempt
        attempt = SimulatedAttempt(self, engine, request, done, sink)
        idle = self._idle_connections(engine)
        if idle:
            idle.pop()
            attempt.start(timeout, write_within_s, True, 0.0)
        elif self._open.get(engine, 0) >= self._max_connections_each:
            self._open[engine] = self._open.get(engine, 0) + 1
            attempt.end(Outcome.UNREACHED)
        else:
            self._open[engine] = self._open.get(engine, 0) + 1
            self.handshakes += not engine.down
            attempt.start(timeout, write_within_s, False, self._handshake_s)
        return attempt

    def over(self, engine: Engine, reusable: bool) -> None:
        """Release the connection of an ended attempt; it is reusable after a complete response."""
        if reusable:
            now = asyncio.get_running_loop().time()
            self._idle.setdefault(engine, []).append((now, engine.incarnation))
        else:
            self._open[engine] = self._open.get(engine, 0) - 1

    def probe(self, server: str, found: Callable[[bool], None]) -> None:
        """Report whether a connection can be opened."""
        loop, engine = asyncio.get_running_loop(), self._engines.get(server)
        if engine is None or not engine.down:
            one_way_s = self.network.one_way_s(self.zone, engine.zone) if engine is not None else 0.0
            loop.call_later(2 * one_way_s, found, True)
        else:
            loop.call_later(CONNECT_S if engine.dark else 0.001, found, False)


class _UnknownEngine:
    zone, incarnation, down, dark = "", 0, True, False


_UNKNOWN_ENGINE: Any = _UnknownEngine()


def stage_headers(request: UpstreamRequest) -> dict[bytes, bytes]:
    """Header lines added for the stage of a request."""
    return {name: value for name, value in _HEADER_LINE.findall(request.extra)}
