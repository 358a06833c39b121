"""Calls of one balancer at engines, in simulated time: what `passpost.upstream.Upstreams` does on sockets."""

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
from mastturn.engines.jobs import MISPLACED, Figures, Job
from passpost.attempt import AttemptCallback, OutgoingRequest, ResponseSink
from passpost.http1 import Headers, Response, ResponseStart
from umberworks.interface import Outcome

CONNECT_S = 0.5
HEAD_BYTES, EVENT_BYTES = 600, 180  # of a request, and of an event with its packet
IDLE_S = 15.0  # an idle connection is closed after this
_EXTRA = re.compile(rb"([A-Za-z-]+): ([^\r]*)\r\n")
_FREED = re.compile(rb"DELETE /api/kv-handle/(\S+) ")
_EVENTS: Headers = [(b"Content-Type", b"text/event-stream"), (b"Mastturn-Server-Seal", b"s")]
_NOT_RUN: Headers = [(b"Mastturn-Not-Run", b"1")]


class Network:
    """One-way times between zones, in seconds."""

    def __init__(self, in_zone_ms: float, cross_zone_ms: float) -> None:
        self._near, self._far = in_zone_ms / 1000, cross_zone_ms / 1000

    def way(self, a: str, b: str) -> float:
        """From one zone to another."""
        return self._near if a == b else self._far


class Flowing:
    """The flow of a stream: the emulated clients always read."""

    def pause(self) -> None:
        """Nothing is held back."""

    def resume(self) -> None:
        """Nothing is held back."""


class SimulatedAttempt:
    """One call: the sending side, and the caller that its engine knows."""

    def __init__(
        self,
        pool: SimulatedUpstreams,
        engine: Engine,
        request: OutgoingRequest,
        done: AttemptCallback,
        sink: ResponseSink | None,
    ) -> None:
        self._pool, self._engine, self._request, self._sink = pool, engine, request, sink
        self._done: AttemptCallback | None = done
        self._timer: asyncio.TimerHandle | None = None
        self._way = pool.network.way(pool.zone, engine.zone)
        self._loop = asyncio.get_running_loop()
        self._job: Job | None = None
        self._sent = False
        self._flowing = False

    # ---- the sending side

    def is_finished(self) -> bool:
        """Whether the outcome has been told."""
        return self._done is None

    def cancel(self) -> None:
        """Nobody waits any more."""
        self.end(Outcome.CANCELLED)

    def begin(self, timeout: float, write_within_s: float, connected: bool, handshake_s: float) -> None:
        """Connect if need be, and send."""
        self._timer = self._loop.call_later(timeout, self._timed_out)
        engine = self._engine
        if connected:
            self._send()
        elif engine.down:
            wait = CONNECT_S if engine.dark else 2 * self._way
            self._loop.call_later(wait, self.end, Outcome.UNREACHED)
        else:
            wait = 2 * self._way + handshake_s
            self._loop.call_later(min(wait, write_within_s), self._send)

    def _send(self) -> None:
        if self._done is None:
            return
        self._sent = True
        self._pool.crossed(self._engine, self._pool.size_of(self._request))
        self._loop.call_later(self._way, self._arrive, self._engine.serial)

    def _arrive(self, serial: int) -> None:
        if self._done is None:
            return
        engine = self._engine
        if engine.down or serial != engine.serial:
            if engine.dark:
                self._loop.call_later(options.UNACKED_MS / 1000, self.end, Outcome.BROKEN)
            else:
                self._back(self.end, Outcome.BROKEN)
            return
        if not isinstance(self._request, UpstreamRequest):
            found = _FREED.match(self._request.head)
            if found is not None:
                engine.handover.free(found[1].decode())
            self._back(self._answered, 200, b"")
            return
        self._job = self._pool.job(self._request, self, self._loop.time())
        engine.take(self._job)

    def _timed_out(self) -> None:
        self.end(Outcome.TIMED_OUT if self._sent else Outcome.UNREACHED)

    def end(self, outcome: Outcome, answer: Response | None = None) -> None:
        """Tell the outcome, once; an engine at work on it hears that nobody waits."""
        if self._done is None:
            return
        done, self._done = self._done, None
        if self._timer is not None:
            self._timer.cancel()
        if self._job is not None and not self._job.over:
            self._loop.call_later(self._way, self._engine.drop, self._job)
        self._pool.over(self._engine, reusable=answer is not None)
        done(outcome, answer)

    # ---- what the engine says

    def _back(self, then: Callable[..., None], *args: Any) -> None:
        self._loop.call_later(self._way, then, *args)

    def _answered(self, status: int, body: bytes) -> None:
        headers = _EVENTS[1:] if 200 <= status < 300 else _NOT_RUN
        answer = Response(status, headers, body, True)
        if 200 <= status < 300:
            self.end(Outcome.SERVED, answer)
        else:
            self.end(Outcome.TURNED_AWAY, answer)

    def read(self, handle: str) -> None:
        """The prompt is read."""
        self._back(self._answered, 200, json.dumps({"kv_ref": handle, "ntokens": 1, "ver": 1}).encode())

    def rejected(self, why: str) -> None:
        """It did not run."""
        self._back(self._answered, 421 if why == MISPLACED else 503, b"")

    def begun(self, number: int) -> None:
        """An event of the answer."""
        self._pool.crossed(self._engine, EVENT_BYTES)
        self._back(self._event, number)

    def _event(self, number: int) -> None:
        if self._done is None or self._sink is None:
            return
        if not self._flowing:
            self._flowing = True
            request = self._request
            assert isinstance(request, UpstreamRequest)
            headers = [*_EVENTS, (b"Mastturn-Request-Id", request.request_id)]
            if not self._sink.on_response_start(ResponseStart(headers, None), Flowing()):
                self.end(Outcome.BROKEN)
                return
            if self._timer is not None:
                self._timer.cancel()
        self._sink.on_body(b"id: %d\ndata: x\n\n" % number)

    def ended(self) -> None:
        """The answer is whole."""
        self._back(self._whole)

    def _whole(self) -> None:
        self.end(Outcome.SERVED, Response(200, _EVENTS, b"", True))

    def cut(self) -> None:
        """The connection broke."""
        self._back(self.end, Outcome.BROKEN)


class SimulatedUpstreams:
    """All engines by name, and the connections to them."""

    def __init__(
        self,
        zone: str,
        network: Network,
        handshake_ms: float,
        job: Callable[..., Job],
        size_of: Callable[[OutgoingRequest], float],
        figures: Figures,
    ) -> None:
        """`job`: what a staged request, its caller and the time of its arrival mean to an engine."""
        self.zone, self.network, self.job = zone, network, job
        self._handshake_s = handshake_ms / 1000
        self._engines: dict[str, Engine] = {}
        self._idle: dict[Engine, list[tuple[float, int]]] = {}  # since when, to which incarnation
        self._open: dict[Engine, int] = {}
        self._most_each = math.inf
        self.handshakes = 0
        self.figures = figures
        self.size_of = size_of

    def crossed(self, engine: Engine, size: float) -> None:
        """So many bytes go to or come from an engine."""
        if engine.zone != self.zone:
            self.figures.crossed += size

    def know(self, engines: Mapping[str, Engine]) -> None:
        """The engines of the list, by id."""
        self._engines = dict(engines)

    def start(self) -> None:
        """Nothing is to be done."""

    def stop(self) -> None:
        """Nothing is held."""

    def set_addresses(self, addresses: Mapping[str, object]) -> None:
        """The engines are known otherwise."""

    def limit_connections_each(self, most: float) -> None:
        """So many connections are opened to one upstream."""
        self._most_each = most

    def close_idle_connections(self, server: str) -> None:
        """Close the idle connections to one upstream."""
        engine = self._engines.get(server)
        if engine is not None:
            self._open[engine] = self._open.get(engine, 0) - len(self._idle.get(engine, ()))
            self._idle[engine] = []

    def _idle_ones(self, engine: Engine) -> list[tuple[float, int]]:
        idle = self._idle.setdefault(engine, [])
        now = asyncio.get_running_loop().time()
        while idle and (now - idle[0][0] > IDLE_S or (idle[0][1] != engine.serial and not engine.dark)):
            del idle[0]  # a process that ends closes its connections, a dark one tells nobody
            self._open[engine] -= 1
        return idle

    def can_send(self, server: str) -> bool:
        """Whether an attempt would find a connection to this upstream, or could open one."""
        engine = self._engines.get(server)
        if engine is None:
            return False
        return bool(self._idle_ones(engine)) or self._open.get(engine, 0) < self._most_each

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
            attempt = SimulatedAttempt(self, _NOWHERE, request, done, sink)
            attempt.end(Outcome.NOT_SENT)
            return attempt
        attempt = SimulatedAttempt(self, engine, request, done, sink)
        idle = self._idle_ones(engine)
        if idle:
            idle.pop()
            attempt.begin(timeout, write_within_s, True, 0.0)
        elif self._open.get(engine, 0) >= self._most_each:
            self._open[engine] = self._open.get(engine, 0) + 1
            attempt.end(Outcome.UNREACHED)
        else:
            self._open[engine] = self._open.get(engine, 0) + 1
            self.handshakes += not engine.down
            attempt.begin(timeout, write_within_s, False, self._handshake_s)
        return attempt

    def over(self, engine: Engine, reusable: bool) -> None:
        """A call has ended; its connection can be used again after a whole answer."""
        if reusable:
            now = asyncio.get_running_loop().time()
            self._idle.setdefault(engine, []).append((now, engine.serial))
        else:
            self._open[engine] = self._open.get(engine, 0) - 1

    def probe(self, server: str, found: Callable[[bool], None]) -> None:
        """See whether a connection comes up."""
        loop, engine = asyncio.get_running_loop(), self._engines.get(server)
        if engine is None or not engine.down:
            way = self.network.way(self.zone, engine.zone) if engine is not None else 0.0
            loop.call_later(2 * way, found, True)
        else:
            loop.call_later(CONNECT_S if engine.dark else 0.001, found, False)


class _Nowhere:
    zone, serial, down, dark = "", 0, True, False


_NOWHERE: Any = _Nowhere()


def extra(request: UpstreamRequest) -> dict[bytes, bytes]:
    """The header lines of a stage."""
    return {name: value for name, value in _EXTRA.findall(request.extra)}
