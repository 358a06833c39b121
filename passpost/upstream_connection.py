"""One connection to an upstream: it carries one attempt at a time, and judges how its answer ended."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import select
import socket
import time
from collections.abc import Callable
from typing import Protocol, cast

from passpost.answer_end import Misuse, ResponseEnd, answer_end, connection_end
from passpost.attempt import Attempt, AttemptCallback, Upload, UpstreamRequest
from passpost.http1 import (
    MAX_BUFFERED_BODY,
    Address,
    EndKind,
    Headers,
    InvalidResponseError,
    Response,
    ResponseReader,
)
from passpost.upstream_options import UpstreamOptions
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

IDLE_SHARE = 0.5  # of the upstream's idle time after which we close: a request must not cross its close
LENGTH_S = 0.1  # an answer of unknown length is held so long from its head on, and then passed on as it comes
KEEP_MARGIN_S = 0.7  # so long before the upstream would we close an idle connection
ASK_S = 0.5  # an upstream that has closed in order is asked for so long whether it lives on
MISDIRECTED = 421  # status: the address has another upstream by now

WatchMisuse = Callable[[str, Misuse], None]  # told of an upstream and what it sent
WatchAnswers = Callable[
    [str, UpstreamRequest, ResponseEnd], None
]  # of an upstream, a request and its answer's end

_KEPT = re.compile(rb"timeout\s*=\s*([0-9]{1,6})")


class Upstream:
    """One upstream's address and connections."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.idle: list[UpstreamConnection] = []  # the most recently used last
        self.open: set[UpstreamConnection] = set()
        self.misused_at = (
            self.misused_before
        ) = -math.inf  # when it last sent what belongs to no request, twice


class Pool(Protocol):
    """Who keeps the connections."""

    options: UpstreamOptions
    on_response_end: WatchAnswers

    def misused(self, upstream: Upstream, misuse: Misuse) -> None:
        """An upstream has sent what belongs to no request that is out."""

    def rest(self, connection: UpstreamConnection, upstream: Upstream) -> None:
        """Keep a connection for the next attempt."""

    def forget(self, connection: UpstreamConnection, upstream: Upstream) -> None:
        """A connection is over."""

    def can_dispatch(self, upstream: Upstream) -> bool:
        """Whether an attempt would find a connection, or could open one."""

    def dispatch(self, attempt: Attempt, upstream: Upstream, unused: bool = False) -> None:
        """Find or open a connection for an attempt; `unused`: one that has carried nothing."""


class Countdown:
    """Calls back once, so many seconds after it was started."""

    def __init__(self, seconds: float, due: Callable[[], None]) -> None:
        self._seconds, self._due = seconds, due
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin, unless it runs already."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(self._seconds, self._end)

    def stop(self) -> None:
        """It calls nobody."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end(self) -> None:
        self._timer = None
        self._due()


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream; carries one attempt at a time."""

    def __init__(self, upstream: Upstream, pool: Pool) -> None:
        self._upstream, self._pool = upstream, pool
        self._attempt: Attempt | None = None
        self._reader: ResponseReader | None = None
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._upload: Upload | None = None
        self._clogged = False  # the transport holds bytes that the upstream has not taken
        self._waiting = False  # for whoever gets the answer
        self._has_closed = False  # the upstream, in order; it is asked whether it lives on
        self._moved = 0.0  # when the last byte of a long message moved
        self._length_timer = Countdown(LENGTH_S, self._waited)
        self.unwritten = True
        self.is_used = False  # it has carried a request
        self.idle_since = 0.0
        self.kept = math.inf  # so many idle seconds its upstream grants it

    def carry(self, attempt: Attempt) -> None:
        """Write the attempt's request."""
        assert self._transport is not None
        self._attempt, self.is_used = attempt, True
        held = MAX_BUFFERED_BODY if attempt.is_holding() else None
        response_matcher = attempt.request.response_matcher
        self._reader = ResponseReader(
            max_buffered=held, is_streamed=self._pool.options.is_streamed, response_matcher=response_matcher
        )
        attempt.connection = self
        self._moved = time.monotonic()
        # The transport says at once if it could not write it all: see pause_writing.
        self._upload, self._clogged, self.unwritten = attempt.request.upload, False, False
        self._transport.write(attempt.request.encode(attempt.remaining()))
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
            self._pool.misused(self._upstream, Misuse.UNASKED)
        return bool(told)

    def drop(self) -> None:
        """Close at once; an attempt on it has been told its end."""
        if self._reader is not None and self._transport is not None:
            end_sending(self._transport)
        self._attempt, self._reader, self._upload = None, None, None
        self._length_timer.stop()
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
        if self._pool.options.unacked_timeout_ms:
            notice_darkness(peer, self._pool.options.unacked_timeout_ms)

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
            self._pool.misused(self._upstream, Misuse.UNASKED)
            self.drop()
            return
        self._moved = time.monotonic()
        had_stale = reader.stale
        try:
            answer = reader.feed(data)
        except InvalidResponseError as error:
            log.warning("upstream %s: bad answer: %s", self._upstream.name, error)
            self._tell_end(EndKind.INVALID)
            attempt.end(Outcome.BROKEN)
            return
        for _ in range(reader.stale - had_stale):
            self._pool.misused(self._upstream, Misuse.STALE_ANSWER)
        self._pass_on(attempt, reader)
        if answer is None and not attempt.is_over():
            if reader.is_open_ended() and not attempt.started:
                self._length_timer.start()
        elif answer is not None:
            self._tell_end(EndKind.WHOLE)
            if reader.has_surplus():
                self._pool.misused(self._upstream, Misuse.SURPLUS)
            self._answered(attempt, answer)

    def _tell_end(self, kind: EndKind) -> None:
        """Whoever watches hears how the answer that was due has ended."""
        if self._attempt is not None and self._reader is not None:
            end = answer_end(kind, self._reader)
            self._pool.on_response_end(self._upstream.name, self._attempt.request, end)

    def _pass_on(self, attempt: Attempt, reader: ResponseReader, waited: bool = False) -> None:
        """Begin or go on with an answer that is too long to be held."""
        if not attempt.started and (start := reader.start(waited)) is not None:
            self._length_timer.stop()
            if not attempt.start(start, self):
                attempt.cancel()
                return
        if attempt.started:
            attempt.more(reader.take())

    def _waited(self) -> None:
        if self._attempt is not None and self._reader is not None:
            self._pass_on(self._attempt, self._reader, waited=True)

    def _answered(self, attempt: Attempt, answer: Response) -> None:
        """The answer is whole; its connection goes on if both sides are through with their messages."""
        if attempt.is_over():
            return
        self._length_timer.stop()
        if answer.reusable and not self.unwritten:
            if self._waiting:
                self.resume()
            self._attempt, self._reader, self._upload, attempt.connection = None, None, None, None
            if self._pool.options.honors_keep_alive and (told := told_idle_s(answer.headers)) is not None:
                self.kept = max(told - KEEP_MARGIN_S, told * IDLE_SHARE)
            self._pool.rest(self, self._upstream)
        attempt.end(self._pool.options.outcome(answer), answer)

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
            ask_whether_alive(self._pool, self._upstream, self._found_after_close)
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


def ask_whether_alive(pool: Pool, upstream: Upstream, found: Callable[[bool], None]) -> None:
    """Ask an upstream that has closed a connection in order whether it lives on; `found` is told once, later.

    The kernel closes the connections of a dead process as the process would have done itself, and its
    listener a little later: only an answer shows that it lives. It is asked on a connection that has carried
    nothing, as it may not read one whose last answer it has not done with; if none comes up, on an idle one.
    """
    question = pool.options.liveness_request
    if question is None or not pool.can_dispatch(upstream):
        asyncio.get_running_loop().call_soon(found, True)  # nothing can be known against it
        return

    def ask(done: AttemptCallback, unused: bool) -> None:
        request = question(upstream.name, upstream.address)
        pool.dispatch(Attempt(request, ASK_S, done), upstream, unused=unused)

    def answered(outcome: Outcome, answer: Response | None) -> None:
        found(answer is not None and answer.status != MISDIRECTED)

    def answered_first(outcome: Outcome, answer: Response | None) -> None:
        if outcome is Outcome.UNREACHED and upstream.idle:  # it takes no new connection, and may live
            ask(answered, unused=False)
        else:
            answered(outcome, answer)

    ask(answered_first, unused=True)


def end_sending(transport: asyncio.Transport) -> None:
    """Tell the other side now that we have gone: the loop closes a connection only in its next turn.

    By then the next attempt may be at another upstream, while this one still works on the request.
    """
    peer = transport.get_extra_info("socket")
    if peer is None or (number := peer.fileno()) < 0:
        return
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=number)
    try:
        held.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # it is over already
    finally:
        held.detach()  # it is the transport's to close


def told_idle_s(headers: Headers) -> float | None:
    """For how many idle seconds an upstream says that it keeps a connection."""
    for name, value in headers:
        if name.lower() == b"keep-alive" and (told := _KEPT.search(value)) is not None:
            return float(told[1])
    return None


def notice_darkness(peer: socket.socket, after_ms: int) -> None:
    """Let the kernel end a connection whose other side has not even acknowledged anything for so long."""
    seconds = max(after_ms // 2000, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, after_ms)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
