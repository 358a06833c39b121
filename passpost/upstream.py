"""The upstreams' side: connections, attempts on them, and how each attempt ended.

Nothing is ever sent a second time from here: every attempt is one that the module asked for.
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
import select
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

from passpost.answer_end import AnswerEnd, Misuse, answer_end, connection_end
from passpost.http1 import (
    HELD_BODY,
    Address,
    Answer,
    AnswerReader,
    BadAnswerError,
    EndKind,
    Flow,
    Headers,
    Start,
)
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

IDLE_SHARE = 0.5  # of the upstream's idle time after which we close: a request must not cross its close
SWEEP_S = 1.0
STALL_S = 10.0  # an upstream that neither takes nor gives a byte of a long message for so long is given up
LENGTH_S = 0.1  # an answer of unknown length is held so long from its head on, and then passed on as it comes
KEEP_MARGIN_S = 0.7  # so long before the upstream would we close an idle connection
ASK_S = 0.5  # an upstream that has closed in order is asked for so long whether it lives on
MISDIRECTED = 421  # status: the address has another upstream by now
REST_S = 0.005  # an upstream that closes behind an answer, or sends more than it, does so within this

Done = Callable[[Outcome, Answer | None], None]
WatchMisuse = Callable[[str, Misuse], None]  # told of an upstream and what it sent
WatchAnswers = Callable[
    [str, "Outgoing", AnswerEnd], None
]  # told of an upstream, a request and its answer's end

_KEPT = re.compile(rb"timeout\s*=\s*([0-9]{1,6})")


def outcome_of(answer: Answer) -> Outcome:
    """What an answer means, by the protocol's table."""
    if answer.status == 200:
        return Outcome.SERVED
    if answer.status in (503, 504):
        away = any(n.lower() == b"x-turned-away" and v.strip() == b"1" for n, v in answer.headers)
        return Outcome.TURNED_AWAY if away else Outcome.ERROR
    return Outcome.ERROR


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """How upstreams are spoken to; spans in seconds. What stands here is the program in service."""

    outcome: Callable[[Answer], Outcome] = outcome_of
    at_once: Callable[[int, Headers], bool] | None = None  # answers passed on from their heads on
    stall_s: float | None = None  # STALL_S
    heeds_keep_alive: bool = False  # idle connections live as long as the upstream's Keep-Alive tells
    bounds_answers: bool = False  # an answer that is passed on as it comes has to end in its attempt's time
    question: Callable[[str, Address], Outgoing] | None = None  # that a live upstream of that name answers
    dark_ms: int = 0  # TCP_USER_TIMEOUT and keep-alive probes: a peer that says nothing so long is gone


class Carrier(Protocol):
    """The connection by which an upload goes on."""

    def forward(self, data: bytes) -> None:
        """Pass a piece of the body on."""

    def forward_end(self) -> None:
        """The body has ended in order."""

    def abandon(self) -> None:
        """The body will never be whole."""


class Upload:
    """A body that is passed on while it comes. One attempt can carry it; what is gone can't be sent again."""

    def __init__(self, length: int | None, first: bytes, flow: Flow) -> None:
        self.length, self.whole, self.failed, self.carried = length, False, False, False
        self.flow = flow  # of the client's bytes
        self._held, self._size = [first], len(first)
        self._carrier: Carrier | None = None

    def is_fresh(self) -> bool:
        """Whether nothing of it is gone."""
        return not self.carried and not self.failed

    def feed(self, data: bytes) -> None:
        """A piece has come; without a carrier some is held, and then the client has to wait."""
        if self._carrier is not None:
            self._carrier.forward(data)
        elif self.is_fresh():
            self._held.append(data)
            self._size += len(data)
            if self._size > HELD_BODY:
                self.flow.pause()

    def finish(self) -> None:
        """Its last byte has come."""
        self.whole = True
        if self._carrier is not None:
            self._carrier.forward_end()

    def fail(self) -> None:
        """It will never be whole: the client has gone, or sends what is no body."""
        if not self.whole and not self.failed:
            self.failed = True
            self._held = []
            if self._carrier is not None:
                self._carrier.abandon()

    def attach(self, carrier: Carrier) -> None:
        """Pass on what has come, and from now on what comes."""
        self.carried, self._carrier = True, carrier
        held, self._held = self._held, []
        for data in held:
            carrier.forward(data)
        if self.whole:
            carrier.forward_end()
        else:
            self.flow.resume()

    def detach(self) -> None:
        """Its attempt is over; what still comes is of no use."""
        self._carrier = None
        self.flow.resume()


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it goes on, but for the time left, which is known when it is written."""

    head: bytes
    body: bytes
    upload: Upload | None = None  # in place of a body that is there already

    def write(self, remaining: float) -> bytes:
        """The bytes for the wire."""
        return b"%bX-Remaining: %.3f\r\n\r\n%b" % (self.head, remaining, self.body)

    def is_sendable(self) -> bool:
        """Whether an attempt can be made: nothing of it is gone."""
        return self.upload is None or self.upload.is_fresh()

    @property
    def is_due(self) -> Callable[[int, Headers], bool] | None:
        """Tells by an answer's status and headers whether it is to this request; None: all are."""
        return None


class Sink(Protocol):
    """Who gets a long answer as it comes."""

    def start(self, start: Start, flow: Flow) -> bool:
        """It begins; False if nobody wants it any more."""

    def more(self, data: bytes) -> None:
        """A piece of its body."""


class Attempt:
    """One attempt; it ends exactly once, with the outcome that `done` is told."""

    def __init__(
        self,
        request: Outgoing,
        timeout: float,
        done: Done,
        written: Callable[[], None] = lambda: None,
        sink: Sink | None = None,
        wanted: Callable[[], bool] = lambda: True,
        write_within: float = math.inf,
        is_bounded: bool = False,
    ) -> None:
        """`is_bounded`: an answer that is passed on as it comes has to end within the timeout as well."""
        self._is_bounded = is_bounded
        self.request, self.wanted = request, wanted
        self.connection: _Connection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.opening: _Connection | None = None  # that is coming up for it
        self.started = False  # its answer is being passed on
        self._timeout = timeout
        self._ends = time.monotonic() + timeout
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        if write_within < timeout:
            self._write_timer = asyncio.get_running_loop().call_later(write_within, self._not_written)
        if request.upload is None or request.upload.whole:
            self._run_timer()
        self._done: Done | None = done
        self._sink = sink
        self.written = written  # told once the last byte has gone out

    def _run_timer(self) -> None:
        self._ends = time.monotonic() + self._timeout
        self._timer = asyncio.get_running_loop().call_later(self._timeout, self._timed_out)

    def whole(self) -> None:
        """The last byte of a request that was passed on as it came is there: its time runs from now on."""
        if self._done is not None and self._timer is None and not self.started:
            self._run_timer()

    def remaining(self) -> float:
        """How long we still wait, in seconds."""
        return self._timeout if self._timer is None else max(self._ends - time.monotonic(), 0.0)

    def is_over(self) -> bool:
        """Whether the outcome has been told."""
        return self._done is None

    def is_written(self) -> bool:
        """Whether the last byte has gone out, so that it may have run."""
        return self.connection is not None and not self.connection.unwritten

    def is_holding(self) -> bool:
        """Whether long answers can be passed on as they come."""
        return self._sink is not None

    def start(self, start: Start, flow: Flow) -> bool:
        """Its answer is passed on from now on; False if nobody wants it."""
        if self._sink is None or not self._sink.start(start, flow):
            return False
        self.started = True
        if self._timer is not None and not self._is_bounded:
            self._timer.cancel()
        return True

    def more(self, data: bytes) -> None:
        """A piece of the answer that is passed on."""
        if self._sink is not None and self._done is not None and data:
            self._sink.more(data)

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """Tell the outcome, once; a connection that still waits for the answer is of no further use."""
        if self._done is None:
            return
        done, self._done = self._done, None
        for timer in (self._timer, self._write_timer):
            if timer is not None:
                timer.cancel()
        if self.connecting is not None:
            self.connecting.cancel()  # one that has not begun hears nothing of it
        for connection in (self.opening, self.connection):
            if connection is not None:
                connection.drop()
        if self.request.upload is not None and self.request.upload.carried:
            self.request.upload.detach()
        done(outcome, answer)

    def cancel(self) -> None:
        """Stop waiting for it."""
        self.end(Outcome.CANCELLED)

    def _not_written(self) -> None:
        """Written from now on it might run a second time."""
        if not self.is_written():
            self.end(Outcome.UNREACHED)

    def _timed_out(self) -> None:
        self.end(Outcome.TIMED_OUT if self.is_written() else Outcome.UNREACHED)


class _Connection(asyncio.Protocol):
    """One connection to an upstream; carries one attempt at a time."""

    def __init__(self, upstream: _Upstream, pool: Upstreams) -> None:
        self._upstream, self._pool = upstream, pool
        self._attempt: Attempt | None = None
        self._reader: AnswerReader | None = None
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._upload: Upload | None = None
        self._clogged = False  # the transport holds bytes that the upstream has not taken
        self._waiting = False  # for whoever gets the answer
        self._has_closed = False  # the upstream, in order; it is asked whether it lives on
        self._moved = 0.0  # when the last byte of a long message moved
        self._length_timer: asyncio.TimerHandle | None = None
        self.unwritten = True
        self.idle_since = 0.0
        self.kept = math.inf  # so many idle seconds its upstream grants it

    def carry(self, attempt: Attempt) -> None:
        """Write the attempt's request."""
        assert self._transport is not None
        self._attempt = attempt
        held = HELD_BODY if attempt.is_holding() else None
        is_due = attempt.request.is_due
        self._reader = AnswerReader(held=held, at_once=self._pool.options.at_once, is_due=is_due)
        attempt.connection = self
        self._moved = time.monotonic()
        # The transport says at once if it could not write it all: see pause_writing.
        self._upload, self._clogged, self.unwritten = attempt.request.upload, False, False
        self._transport.write(attempt.request.write(attempt.remaining()))
        if self._upload is not None:
            self.unwritten = True
            self._upload.attach(self)
        elif not self.unwritten:
            attempt.written()

    # ---- an upload's carrier

    def forward(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        if self._upload is None or self._transport is None:
            return
        self._moved = time.monotonic()
        if self._upload.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)

    def forward_end(self) -> None:
        """The body is whole: once its last byte is out the attempt may run."""
        if self._upload is None or self._transport is None or self._attempt is None:
            return
        if self._upload.length is None:
            self._transport.write(b"0\r\n\r\n")
        self._attempt.whole()
        if not self._clogged:
            self._wrote()

    def abandon(self) -> None:
        """The body will never be whole: the upstream can't have begun it."""
        if self._attempt is not None:
            self._attempt.end(Outcome.UNREACHED)

    def _wrote(self) -> None:
        self.unwritten = False
        if self._attempt is not None:
            self._attempt.written()

    # ---- the flow of an answer that is passed on

    def pause(self) -> None:
        """Whoever gets the answer is behind: read no more for now."""
        if self._transport is not None and not self._transport.is_closing() and not self._has_closed:
            self._waiting = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None and not self._transport.is_closing() and not self._has_closed:
            self._waiting, self._moved = False, time.monotonic()
            self._transport.resume_reading()

    def stalls(self, since: float) -> bool:
        """Whether it is the upstream for which a long message has stood still since then."""
        attempt = self._attempt
        if attempt is None or self._moved > since:
            return False
        return (attempt.started and not self._waiting) or (self._upload is not None and self._clogged)

    def give_up(self) -> None:
        """End an attempt that stalls."""
        if self._attempt is not None:
            log.warning("upstream %s: a long message stands still", self._upstream.name)
            self._attempt.end(Outcome.UNREACHED if self.unwritten else Outcome.BROKEN)

    def is_spent(self) -> bool:
        """Whether it can carry no more: it is closing, or has been told something since the last answer.

        An end, or bytes behind the answer, may lie in the kernel unread: the loop has had no turn since. What
        is written then is lost, or the stray bytes are taken for its answer.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        told = next((told for _, told in self._poll.poll(0)), 0)
        if told == select.POLLIN:
            self._pool.watch_misuse(self._upstream.name, Misuse.UNASKED)
        return bool(told)

    def drop(self) -> None:
        """Close at once; an attempt on it has been told its end."""
        self._attempt, self._reader, self._upload = None, None, None
        self._forget_timer()
        self._pool.forget(self, self._upstream)
        if self._transport is not None:
            self._transport.abort()

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """With a high-water mark of 0, pause_writing tells of every byte that has not gone out yet."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's do not derive from it
        if self not in self._upstream.open:  # dropped while it came up
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(high=0)
        peer = transport.get_extra_info("socket")
        self._poll.register(peer, select.POLLIN | select.POLLRDHUP)
        if self._pool.options.dark_ms:
            notice_darkness(peer, self._pool.options.dark_ms)

    def pause_writing(self) -> None:
        """Part of the request is still with us: the upstream can't have begun it."""
        self.unwritten = self._clogged = True
        if self._upload is not None and not self._upload.whole:
            self._upload.flow.pause()

    def resume_writing(self) -> None:
        """All that was written has gone out; unless more of a body is to come, so has the last byte."""
        self._clogged, self._moved = False, time.monotonic()
        if self._upload is None or self._upload.whole:
            self._wrote()
        else:
            self._upload.flow.resume()

    def data_received(self, data: bytes) -> None:
        """A piece of the answer; without an attempt it is stray, and the connection can't be trusted."""
        attempt, reader = self._attempt, self._reader
        if attempt is None or reader is None:
            self._pool.watch_misuse(self._upstream.name, Misuse.UNASKED)
            self.drop()
            return
        self._moved = time.monotonic()
        had_stale = reader.stale
        try:
            answer = reader.feed(data)
        except BadAnswerError as error:
            log.warning("upstream %s: bad answer: %s", self._upstream.name, error)
            self._tell_end(EndKind.INVALID)
            attempt.end(Outcome.BROKEN)
            return
        for _ in range(reader.stale - had_stale):
            self._pool.watch_misuse(self._upstream.name, Misuse.STALE_ANSWER)
        self._pass_on(attempt, reader)
        if answer is None and not attempt.is_over():
            if reader.is_open_ended() and not attempt.started and self._length_timer is None:
                timer = asyncio.get_running_loop().call_later(LENGTH_S, self._waited)
                self._length_timer = timer
        elif answer is not None:
            self._tell_end(EndKind.WHOLE)
            if reader.has_surplus():
                self._pool.watch_misuse(self._upstream.name, Misuse.SURPLUS)
            self._answered(attempt, answer)

    def _tell_end(self, kind: EndKind) -> None:
        """Whoever watches hears how the answer that was due has ended."""
        if self._attempt is not None and self._reader is not None:
            end = answer_end(kind, self._reader)
            self._pool.watch_answers(self._upstream.name, self._attempt.request, end)

    def _pass_on(self, attempt: Attempt, reader: AnswerReader, waited: bool = False) -> None:
        """Begin or go on with an answer that is too long to be held."""
        if not attempt.started and (start := reader.start(waited)) is not None:
            self._forget_timer()
            if not attempt.start(start, self):
                attempt.cancel()
                return
        if attempt.started:
            attempt.more(reader.take())

    def _waited(self) -> None:
        self._length_timer = None
        if self._attempt is not None and self._reader is not None:
            self._pass_on(self._attempt, self._reader, waited=True)

    def _forget_timer(self) -> None:
        if self._length_timer is not None:
            self._length_timer.cancel()
            self._length_timer = None

    def _answered(self, attempt: Attempt, answer: Answer) -> None:
        """The answer is whole; its connection goes on if both sides are through with their messages."""
        if attempt.is_over():
            return
        self._forget_timer()
        if answer.reusable and not self.unwritten:
            if self._waiting:
                self.resume()
            self._attempt, self._reader, self._upload, attempt.connection = None, None, None, None
            if self._pool.options.heeds_keep_alive:
                self._heed(answer.headers)
            self._pool.rest(self, self._upstream)
        attempt.end(self._pool.options.outcome(answer), answer)

    def _heed(self, headers: Headers) -> None:
        """Its upstream closes it after so many idle seconds; we do before: a request must not cross that."""
        for name, value in headers:
            if name.lower() == b"keep-alive" and (told := _KEPT.search(value)) is not None:
                self.kept = max(int(told[1]) - KEEP_MARGIN_S, int(told[1]) * IDLE_SHARE)
                return

    def eof_received(self) -> bool:
        """The upstream has closed: an idle connection must not be used again, an answer may end so.

        Only a close in order by an upstream that lives on ends an answer: the loop reports an end of file for
        some resets, and the kernel closes the connections of a dead process as that would have done itself.
        True: our side stays open while the upstream is asked.
        """
        if self._transport is None:
            return False
        kind = connection_end(self._transport.get_extra_info("socket"))
        if kind is EndKind.FIN and self._reader is not None and self._reader.ends_with_connection():
            self._has_closed = True
            self._pool.ask_after_close(self._upstream, self._found_after_close)
            return True
        self._end_answer(kind)
        return False

    def _found_after_close(self, lives: bool) -> None:
        """Whether the upstream that has closed in order lives on; a reset may have come meanwhile."""
        if self._attempt is None or self._transport is None:
            return
        kind = connection_end(self._transport.get_extra_info("socket"))
        self._end_answer(kind if lives or kind is EndKind.RESET else EndKind.GONE)

    def _end_answer(self, kind: EndKind) -> None:
        """The connection has ended so: that may be the end of the answer, or cut it."""
        self._tell_end(kind)
        attempt, reader = self._attempt, self._reader
        if attempt is not None and reader is not None and (answer := reader.end(kind)) is not None:
            self._answered(attempt, answer)
        else:
            self._ended()

    def connection_lost(self, exc: Exception | None) -> None:
        """As eof_received."""
        self._tell_end(EndKind.RESET)
        self._ended()

    def _ended(self) -> None:
        if self._attempt is not None:
            self._attempt.end(Outcome.UNREACHED if self.unwritten else Outcome.BROKEN)
        else:
            self.drop()


def notice_darkness(peer: socket.socket, after_ms: int) -> None:
    """Let the kernel end a connection whose other side has not even acknowledged anything for so long."""
    seconds = max(after_ms // 2000, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, after_ms)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class _Upstream:
    """One upstream's address and connections."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.idle: list[_Connection] = []  # the most recently used last
        self.open: set[_Connection] = set()


def _unwatched(server: str, request: Outgoing, end: AnswerEnd) -> None:
    """Nobody wants to know how answers end."""


def _unwatched_misuse(server: str, misuse: Misuse) -> None:
    """Nobody wants to know what upstreams send besides answers."""


class Upstreams:
    """All upstreams by name, and the connections to them, of which there are `max_open` at most."""

    def __init__(
        self,
        connect_timeout: float,
        idle_timeout: float,
        max_open: int,
        options: UpstreamOptions | None = None,
    ) -> None:
        self.options = options or UpstreamOptions()
        self.watch_answers: WatchAnswers = _unwatched
        self.watch_misuse: WatchMisuse = _unwatched_misuse
        self._connect_timeout = connect_timeout
        self._idle_limit = idle_timeout * IDLE_SHARE
        self._max_open = self._allowed = max_open
        self._most_each = math.inf
        self._upstreams: dict[str, _Upstream] = {}
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
        self.route({})

    def route(self, addresses: dict[str, Address]) -> None:
        """Take over a list; upstreams that left it or moved lose their idle connections."""
        for name, upstream in list(self._upstreams.items()):
            if addresses.get(name) != upstream.address:
                del self._upstreams[name]  # attempts that are out go on
                for connection in list(upstream.idle):
                    connection.drop()
        for name, address in addresses.items():
            if name not in self._upstreams:
                self._upstreams[name] = _Upstream(name, address)

    def send(
        self,
        server: str,
        request: Outgoing,
        timeout: float,
        done: Done,
        written: Callable[[], None] = lambda: None,
        sink: Sink | None = None,
        wanted: Callable[[], bool] = lambda: True,
        write_within: float = math.inf,
    ) -> Attempt:
        """Make one attempt; `done` is told its outcome once, later or at once.

        `wanted` is asked again where it has had to wait for its connection. What has not been written within
        so many seconds is not any more.
        """
        bounded = self.options.bounds_answers
        attempt = Attempt(request, timeout, done, written, sink, wanted, write_within, bounded)
        upstream = self._upstreams.get(server)
        if upstream is None or not request.is_sendable():
            attempt.end(Outcome.NOT_SENT)
        else:
            self._dispatch(attempt, upstream)
        return attempt

    def _dispatch(self, attempt: Attempt, upstream: _Upstream) -> None:
        """Find or open a connection for an attempt."""
        if (connection := self._idle(upstream)) is not None:
            self._carry(connection, attempt)
        elif len(upstream.open) >= self._most_each:
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

    def ask_after_close(self, upstream: _Upstream, found: Callable[[bool], None]) -> None:
        """See whether an upstream that has closed a connection in order still answers; `found` is told once.

        The kernel closes the connections of a dead process as the process would have done itself, and its
        listener a little later: only an answer shows that it lives.
        """
        question = self.options.question
        can_ask = bool(upstream.idle) or (len(upstream.open) < self._most_each and self._has_room())
        if question is None or not can_ask:
            asyncio.get_running_loop().call_soon(found, True)  # nothing can be known against it
            return

        def answered(outcome: Outcome, answer: Answer | None) -> None:
            found(answer is not None and answer.status != MISDIRECTED)

        attempt = Attempt(question(upstream.name, upstream.address), ASK_S, answered)
        self._dispatch(attempt, upstream)

    def limit_each(self, most: float) -> None:
        """From now on at most so many connections are opened to one upstream; those that are open go on."""
        self._most_each = most

    def has_place(self, server: str) -> bool:
        """Whether an attempt would find a connection to this upstream, or could open one."""
        upstream = self._upstreams.get(server)
        return upstream is not None and (bool(upstream.idle) or len(upstream.open) < self._most_each)

    def has_idle(self, server: str) -> bool:
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
        self, connection: _Connection, upstream: _Upstream, found: Callable[[bool], None]
    ) -> None:
        reached = await self._reach(connection, upstream)
        if reached:
            self.rest(connection, upstream)
        else:
            connection.drop()
        found(reached)

    def _new(self, upstream: _Upstream) -> _Connection:
        connection = _Connection(upstream, self)
        upstream.open.add(connection)
        self._open += 1
        return connection

    def keep_none(self, servers: frozenset[str]) -> None:
        """From now on these alone have no idle connections; attempts that are out go on."""
        self._kept_none = servers
        for name in servers & self._upstreams.keys():
            for connection in list(self._upstreams[name].idle):
                connection.drop()

    def drop_idle(self, server: str) -> None:
        """Close the idle connections to one upstream."""
        upstream = self._upstreams.get(server)
        for connection in list(upstream.idle) if upstream is not None else ():
            connection.drop()

    def share(self, shared: bool) -> None:
        """While two processes are one balancer each has half of the connections; idle ones go for that."""
        self._allowed = self._max_open // 2 if shared else self._max_open
        while self._open > self._allowed and self._drop_oldest():
            pass

    def _idle(self, upstream: _Upstream) -> _Connection | None:
        """The idle connection to use: the latest that has rested, else the one idle for longest."""
        now = time.monotonic()
        limit = now - REST_S
        rested = [c for c in upstream.idle if c.idle_since <= limit]
        for connection in [*reversed(rested), *upstream.idle[len(rested) :]]:
            if now - connection.idle_since < connection.kept and not connection.is_spent():
                upstream.idle.remove(connection)
                return connection
            connection.drop()
        return None

    def rest(self, connection: _Connection, upstream: _Upstream) -> None:
        """Keep a connection for the next attempt, unless its upstream has left, moved or is held out."""
        if self._upstreams.get(upstream.name) is not upstream or upstream.name in self._kept_none:
            connection.drop()
            return
        connection.idle_since = time.monotonic()
        upstream.idle.append(connection)

    def forget(self, connection: _Connection, upstream: _Upstream) -> None:
        """A connection is over."""
        if connection in upstream.open:
            upstream.open.remove(connection)
            self._open -= 1
            if connection in upstream.idle:
                upstream.idle.remove(connection)

    async def _reach(self, connection: _Connection, upstream: _Upstream) -> bool:
        """Whether a connection comes up in time."""
        try:
            async with asyncio.timeout(self._connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *upstream.address)
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                log.exception("connecting to %s", upstream.name)
            return False
        return True

    async def _connect(self, connection: _Connection, upstream: _Upstream, attempt: Attempt) -> None:
        try:
            reached = await self._reach(connection, upstream)
        except asyncio.CancelledError:
            return  # the attempt has ended, and its connection with it
        attempt.connecting = None
        if not reached:
            attempt.end(Outcome.UNREACHED)
        elif attempt.is_over() or not attempt.wanted():
            attempt.end(Outcome.NOT_SENT)  # where nobody has told it another end
        else:
            attempt.opening = None
            self._carry(connection, attempt)

    def _carry(self, connection: _Connection, attempt: Attempt) -> None:
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
        stalled = now - (self.options.stall_s or STALL_S)
        for upstream in self._upstreams.values():
            for connection in [c for c in upstream.open if c.stalls(stalled)]:
                connection.give_up()
            while upstream.idle and upstream.idle[0].idle_since < limit:
                upstream.idle[0].drop()
            if self.options.heeds_keep_alive:
                for connection in [c for c in upstream.idle if now - c.idle_since >= c.kept]:
                    connection.drop()
