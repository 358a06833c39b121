"""A connection to an upstream: carries one attempt at a time and determines how its response ended."""

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

from passpost.attempt import Attempt, OutgoingRequest, Upload
from passpost.http1 import (
    MAX_BUFFERED_BODY,
    Address,
    EndKind,
    Headers,
    InvalidResponseError,
    Response,
    ResponseReader,
)
from passpost.liveness import LivenessCheck
from passpost.response_end import Misuse, ResponseEnd, connection_end, response_end
from passpost.upstream_options import UpstreamOptions
from umberworks.interface import Outcome

log = logging.getLogger(__name__)

IDLE_SHARE = 0.5  # of the upstream's idle timeout, after which we close: a request must not cross its close
LENGTH_WAIT_S = 0.1  # a response of unknown length is buffered for so long, then streamed
KEEP_ALIVE_MARGIN_S = 0.7  # how long before the upstream's own timeout we close an idle connection

OnMisuse = Callable[[str, Misuse], None]  # upstream, what it sent
OnResponseEnd = Callable[[str, OutgoingRequest, ResponseEnd], None]  # upstream, its request, the end

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*([0-9]{1,6})")


class Upstream:
    """The address of one upstream and the connections to it."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.idle: list[UpstreamConnection] = []  # most recently used last
        self.open: set[UpstreamConnection] = set()
        self.liveness = LivenessCheck()
        self.last_misuse_at = self.previous_misuse_at = -math.inf


class Pool(Protocol):
    """The owner of the connections."""

    options: UpstreamOptions
    on_response_end: OnResponseEnd

    def record_misuse(self, upstream: Upstream, misuse: Misuse) -> None:
        """An upstream has sent bytes that belong to no pending request."""

    def release(self, connection: UpstreamConnection, upstream: Upstream) -> None:
        """Keep a connection for later attempts."""

    def remove(self, connection: UpstreamConnection, upstream: Upstream) -> None:
        """Remove a closed connection."""

    def dispatch(
        self, attempt: Attempt, upstream: Upstream, unused: bool = False, replaces_ended: bool = False
    ) -> None:
        """Find or open a connection for an attempt; `unused`: one that has carried no request.

        `replaces_ended`: the upstream has just ended a connection, whose place the new one takes.
        """


class OneShotTimer:
    """Calls back once, a fixed time after it was started."""

    def __init__(self, seconds: float, callback: Callable[[], None]) -> None:
        self._seconds, self._callback = seconds, callback
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start, unless it is running."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(self._seconds, self._end)

    def stop(self) -> None:
        """Cancel the call."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end(self) -> None:
        self._timer = None
        self._callback()


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream; carries one attempt at a time."""

    def __init__(self, upstream: Upstream, pool: Pool) -> None:
        self._upstream, self._pool = upstream, pool
        self._attempt: Attempt | None = None
        self._reader: ResponseReader | None = None
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._upload: Upload | None = None
        self._is_write_blocked = False  # the transport holds bytes that the upstream has not accepted
        self._is_paused = False  # reading is paused for the receiver of the response
        self._has_closed = False  # the upstream has closed in order; its liveness is being checked
        self._last_progress = 0.0  # when a byte of a long message was last sent or received
        self._length_timer = OneShotTimer(LENGTH_WAIT_S, self._on_length_timeout)
        self.is_unwritten = True
        self.is_used = False  # it has carried a request
        self.idle_since = 0.0
        self.idle_limit_s = math.inf  # idle time that its upstream grants, in seconds

    def start_attempt(self, attempt: Attempt) -> None:
        """Write the request of an attempt."""
        assert self._transport is not None
        self._attempt, self.is_used = attempt, True
        max_buffered = MAX_BUFFERED_BODY if attempt.can_stream() else None
        response_matcher = attempt.request.response_matcher
        self._reader = ResponseReader(
            max_buffered=max_buffered,
            is_streamed=self._pool.options.is_streamed,
            response_matcher=response_matcher,
        )
        attempt.connection = self
        self._last_progress = time.monotonic()
        # The transport reports at once if it could not write everything: see pause_writing.
        self._upload, self._is_write_blocked, self.is_unwritten = attempt.request.upload, False, False
        self._transport.write(attempt.request.encode(attempt.remaining_s()))
        if self._upload is not None:
            self.is_unwritten = True
            self._upload.attach(self)
        elif not self.is_unwritten:
            attempt.on_written()

    # ---- UploadTarget

    def forward(self, data: bytes) -> None:
        """Forward a piece of the request body."""
        if self._upload is None or self._transport is None:
            return
        self._last_progress = time.monotonic()
        if self._upload.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)

    def forward_end(self) -> None:
        """The body is complete: the request may run once its last byte is sent."""
        if self._upload is None or self._transport is None or self._attempt is None:
            return
        if self._upload.length is None:
            self._transport.write(b"0\r\n\r\n")
        self._attempt.on_request_complete()
        if not self._is_write_blocked:
            self._on_written()

    def abandon(self) -> None:
        """The body will never be complete: the upstream can't have run the request."""
        if self._attempt is not None:
            self._attempt.finish(Outcome.UNREACHED)

    def _on_written(self) -> None:
        self.is_unwritten = False
        if self._attempt is not None:
            self._attempt.on_written()

    # ---- flow control of a streamed response

    def pause(self) -> None:
        """Stop reading: the receiver of the response is slower than the upstream."""
        if self._transport is not None and not self._transport.is_closing() and not self._has_closed:
            self._is_paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continue reading."""
        if self._transport is not None and not self._transport.is_closing() and not self._has_closed:
            self._is_paused, self._last_progress = False, time.monotonic()
            self._transport.resume_reading()

    def has_stalled(self, since: float) -> bool:
        """Whether a long message has not progressed since then, because of the upstream."""
        attempt = self._attempt
        if attempt is None or self._last_progress > since:
            return False
        return (attempt.is_streaming and not self._is_paused) or (
            self._upload is not None and self._is_write_blocked
        )

    def abort_stalled(self) -> None:
        """End an attempt that has stalled."""
        if self._attempt is not None:
            log.warning("upstream %s: no progress of a long message", self._upstream.name)
            self._attempt.finish(Outcome.UNREACHED if self.is_unwritten else Outcome.BROKEN)

    def is_spent(self) -> bool:
        """Whether it can't be reused: it is closing, or has received something since the last response.

        A FIN or surplus bytes may be unread in the kernel, as the event loop has had no turn since. A request
        written then would be lost, or the stray bytes would be taken for its response.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        events = next((events for _, events in self._poll.poll(0)), 0)
        if events == select.POLLIN:
            self._pool.record_misuse(self._upstream, Misuse.UNSOLICITED)
        return bool(events)

    def close(self) -> None:
        """Close at once; the outcome of its attempt has been reported."""
        if self._reader is not None and self._transport is not None:
            shutdown_sending(self._transport)
        self._attempt, self._reader, self._upload = None, None, None
        self._length_timer.stop()
        self._pool.remove(self, self._upstream)
        if self._transport is not None:
            self._transport.abort()

    # ---- asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the transport; a high-water mark of 0 makes pause_writing report any unsent byte."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class is not a subclass
        if self not in self._upstream.open:  # closed while it was being established
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(high=0)
        peer = transport.get_extra_info("socket")
        self._poll.register(peer, select.POLLIN | select.POLLRDHUP)
        if self._pool.options.unacked_timeout_ms:
            set_dead_peer_timeout(peer, self._pool.options.unacked_timeout_ms)

    def pause_writing(self) -> None:
        """Part of the request is not sent yet: the upstream can't have run it."""
        self.is_unwritten = self._is_write_blocked = True
        if self._upload is not None and not self._upload.is_complete:
            self._upload.flow.pause()

    def resume_writing(self) -> None:
        """All written bytes are sent; unless more of the body follows, the request is complete."""
        self._is_write_blocked, self._last_progress = False, time.monotonic()
        if self._upload is None or self._upload.is_complete:
            self._on_written()
        else:
            self._upload.flow.resume()

    def data_received(self, data: bytes) -> None:
        """A piece of the response; without an attempt it is misuse, and the connection is closed."""
        attempt, reader = self._attempt, self._reader
        if attempt is None or reader is None:
            self._pool.record_misuse(self._upstream, Misuse.UNSOLICITED)
            self.close()
            return
        self._last_progress = time.monotonic()
        previous_stale = reader.stale_count
        try:
            response = reader.feed(data)
        except InvalidResponseError as error:
            log.warning("upstream %s: invalid response: %s", self._upstream.name, error)
            self._report_end(EndKind.INVALID)
            attempt.finish(Outcome.BROKEN)
            return
        for _ in range(reader.stale_count - previous_stale):
            self._pool.record_misuse(self._upstream, Misuse.STALE_RESPONSE)
        self._stream(attempt, reader)
        if response is None and not attempt.is_finished():
            if reader.is_open_ended() and not attempt.is_streaming:
                self._length_timer.start()
        elif response is not None:
            self._report_end(EndKind.WHOLE)
            if reader.has_surplus():
                self._pool.record_misuse(self._upstream, Misuse.SURPLUS)
            self._finish_attempt(attempt, response)

    def _report_end(self, kind: EndKind) -> None:
        """Report to the observer how the pending response has ended."""
        if self._attempt is not None and self._reader is not None:
            end = response_end(kind, self._reader)
            self._pool.on_response_end(self._upstream.name, self._attempt.request, end)

    def _stream(self, attempt: Attempt, reader: ResponseReader, has_waited: bool = False) -> None:
        """Start or continue streaming a response that is too long to buffer."""
        if not attempt.is_streaming and (start := reader.stream_start(has_waited)) is not None:
            self._length_timer.stop()
            if not attempt.start_stream(start, self):
                attempt.cancel()
                return
        if attempt.is_streaming:
            attempt.on_body(reader.take_body())

    def _on_length_timeout(self) -> None:
        if self._attempt is not None and self._reader is not None:
            self._stream(self._attempt, self._reader, has_waited=True)

    def _finish_attempt(self, attempt: Attempt, response: Response) -> None:
        """The response is complete; the connection is kept if both messages have ended."""
        if attempt.is_finished():
            return
        self._length_timer.stop()
        if response.reusable and not self.is_unwritten:
            if self._is_paused:
                self.resume()
            self._attempt, self._reader, self._upload, attempt.connection = None, None, None, None
            if (
                self._pool.options.honors_keep_alive
                and (timeout_s := keep_alive_timeout_s(response.headers)) is not None
            ):
                self.idle_limit_s = max(timeout_s - KEEP_ALIVE_MARGIN_S, timeout_s * IDLE_SHARE)
            self._pool.release(self, self._upstream)
        attempt.finish(self._pool.options.outcome(response), response)

    def eof_received(self) -> bool:
        """The upstream has closed: an idle connection is dropped, a response may be complete.

        Only an orderly close by a live upstream completes a response: the event loop reports some resets as
        end of file, and the kernel closes the connections of a dead process just as the process would have.
        Returns True, which keeps our side open, while the upstream's liveness is checked.
        """
        if self._transport is None:
            return False
        kind = connection_end(self._transport.get_extra_info("socket"))
        if kind is EndKind.FIN and self._reader is not None and self._reader.ends_with_connection():
            self._has_closed = True
            self._upstream.liveness.request(self._pool, self._upstream, self._on_liveness_result)
            return True
        self._on_connection_end(kind)
        return False

    def _on_liveness_result(self, lives: bool) -> None:
        """Whether the upstream that closed in order is alive; a reset may have arrived meanwhile."""
        if self._attempt is None or self._transport is None:
            return
        kind = connection_end(self._transport.get_extra_info("socket"))
        self._on_connection_end(kind if lives or kind is EndKind.RESET else EndKind.GONE)

    def _on_connection_end(self, kind: EndKind) -> None:
        """The connection has ended in this way, which completes the response or cuts it."""
        self._report_end(kind)
        attempt, reader = self._attempt, self._reader
        if attempt is not None and reader is not None and (response := reader.end(kind)) is not None:
            self._finish_attempt(attempt, response)
        else:
            self._on_connection_lost()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has been reset or closed; see eof_received."""
        self._report_end(EndKind.RESET)
        self._on_connection_lost()

    def _on_connection_lost(self) -> None:
        if self._attempt is not None:
            self._attempt.finish(Outcome.UNREACHED if self.is_unwritten else Outcome.BROKEN)
        else:
            self.close()


def shutdown_sending(transport: asyncio.Transport) -> None:
    """Send a FIN now: the event loop closes a connection only in its next turn.

    By then the next attempt may be at another upstream while this one still works on the request.
    """
    peer = transport.get_extra_info("socket")
    if peer is None or (number := peer.fileno()) < 0:
        return
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=number)
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # the connection is closed already
    finally:
        sock.detach()  # the transport owns the descriptor


def keep_alive_timeout_s(headers: Headers) -> float | None:
    """For how many idle seconds an upstream announces to keep a connection, if it does."""
    for name, value in headers:
        if name.lower() == b"keep-alive" and (match := _KEEP_ALIVE_TIMEOUT.search(value)) is not None:
            return float(match[1])
    return None


def set_dead_peer_timeout(peer: socket.socket, after_ms: int) -> None:
    """Let the kernel end a connection whose peer has acknowledged nothing for so long."""
    seconds = max(after_ms // 2000, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, after_ms)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
