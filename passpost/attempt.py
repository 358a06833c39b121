"""Attempts of requests at upstreams: what is sent, and how each attempt ends."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from passpost.http1 import MAX_BUFFERED_BODY, FlowControl, Headers, Response, ResponseStart
from umberworks.interface import Outcome

AttemptCallback = Callable[[Outcome, Response | None], None]


class UploadTarget(Protocol):
    """The upstream connection that an upload is forwarded to."""

    def forward(self, data: bytes) -> None:
        """Forward a piece of the body."""

    def forward_end(self) -> None:
        """The body is complete."""

    def abandon(self) -> None:
        """The body will never be complete."""


class Upload:
    """A request body forwarded while it arrives; one attempt can carry it, as sent bytes can't be resent."""

    def __init__(self, length: int | None, first: bytes, flow: FlowControl) -> None:
        self.length, self.is_complete, self.has_failed, self.was_attached = length, False, False, False
        self.flow = flow  # flow control of the client's bytes
        self._buffered, self._size = [first], len(first)
        self._target: UploadTarget | None = None

    def is_unsent(self) -> bool:
        """Whether none of it has been forwarded."""
        return not self.was_attached and not self.has_failed

    def feed(self, data: bytes) -> None:
        """Forward a piece; before an attempt is attached some is buffered, and then the client is paused."""
        if self._target is not None:
            self._target.forward(data)
        elif self.is_unsent():
            self._buffered.append(data)
            self._size += len(data)
            if self._size > MAX_BUFFERED_BODY:
                self.flow.pause()

    def finish(self) -> None:
        """The last byte has arrived."""
        self.is_complete = True
        if self._target is not None:
            self._target.forward_end()

    def fail(self) -> None:
        """The body will never be complete: the client has disconnected or sent an invalid body."""
        if not self.is_complete and not self.has_failed:
            self.has_failed = True
            self._buffered = []
            if self._target is not None:
                self._target.abandon()

    def attach(self, target: UploadTarget) -> None:
        """Forward what has arrived to `target`, and what arrives from now on."""
        self.was_attached, self._target = True, target
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            target.forward(data)
        if self.is_complete:
            target.forward_end()
        else:
            self.flow.resume()

    def detach(self) -> None:
        """The attempt has ended: the rest of the body is discarded."""
        self._target = None
        self.flow.resume()


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as sent to an upstream, except for the remaining time, which is added when it is written."""

    head: bytes
    body: bytes
    upload: Upload | None = None  # replaces `body`

    def encode(self, remaining: float) -> bytes:
        """The bytes to send."""
        return b"%bX-Remaining: %.3f\r\n\r\n%b" % (self.head, remaining, self.body)

    def is_sendable(self) -> bool:
        """Whether an attempt can be made: no part of the body has been forwarded."""
        return self.upload is None or self.upload.is_unsent()

    @property
    def needs_unused_connection(self) -> bool:
        """Whether it must not reuse a connection while its upstream misuses connections."""
        return False

    @property
    def response_matcher(self) -> Callable[[int, Headers], bool] | None:
        """Tells by status and headers whether a response is to this request; None if every response is."""
        return None


class ResponseSink(Protocol):
    """Receives a long response as it arrives."""

    def on_response_start(self, start: ResponseStart, flow: FlowControl) -> bool:
        """The response begins; returns False if it is no longer wanted."""

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""


class AttemptConnection(Protocol):
    """The connection that an attempt uses or waits for."""

    is_unwritten: bool  # part of the request has not been sent

    def close(self) -> None:
        """Close at once."""


class Attempt:
    """One attempt; it ends exactly once, with the outcome passed to `on_done`."""

    def __init__(
        self,
        request: OutgoingRequest,
        timeout_s: float,
        on_done: AttemptCallback,
        on_written: Callable[[], None] = lambda: None,
        sink: ResponseSink | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
        write_within_s: float = math.inf,
        limits_stream: bool = False,
    ) -> None:
        """`limits_stream`: the timeout also covers a response that is streamed."""
        self._limits_stream = limits_stream
        self.request, self.is_wanted = request, is_wanted
        self.connection: AttemptConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.pending_connection: AttemptConnection | None = None  # being established for this attempt
        self.is_streaming = False  # its response is being streamed
        self._timeout_s = timeout_s
        self._deadline = time.monotonic() + timeout_s
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        if write_within_s < timeout_s:
            self._write_timer = asyncio.get_running_loop().call_later(write_within_s, self._on_write_deadline)
        if request.upload is None or request.upload.is_complete:
            self._start_timer()
        self._on_done: AttemptCallback | None = on_done
        self._sink = sink
        self.on_written = on_written  # called once the last byte has been sent

    def _start_timer(self) -> None:
        self._deadline = time.monotonic() + self._timeout_s
        self._timer = asyncio.get_running_loop().call_later(self._timeout_s, self._on_timeout)

    def on_request_complete(self) -> None:
        """The last byte of a streamed request has arrived: the timeout starts now."""
        if self._on_done is not None and self._timer is None and not self.is_streaming:
            self._start_timer()

    def remaining_s(self) -> float:
        """Seconds until the attempt times out."""
        return self._timeout_s if self._timer is None else max(self._deadline - time.monotonic(), 0.0)

    def is_finished(self) -> bool:
        """Whether the outcome has been reported."""
        return self._on_done is None

    def is_written(self) -> bool:
        """Whether the last byte has been sent, so that the request may have run."""
        return self.connection is not None and not self.connection.is_unwritten

    def can_stream(self) -> bool:
        """Whether long responses can be streamed."""
        return self._sink is not None

    def start_stream(self, start: ResponseStart, flow: FlowControl) -> bool:
        """Stream the response from now on; returns False if it is not wanted."""
        if self._sink is None or not self._sink.on_response_start(start, flow):
            return False
        self.is_streaming = True
        if self._timer is not None and not self._limits_stream:
            self._timer.cancel()
        return True

    def on_body(self, data: bytes) -> None:
        """Pass on a piece of the streamed response."""
        if self._sink is not None and self._on_done is not None and data:
            self._sink.on_body(data)

    def finish(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome, once, and close a connection that is still waiting for the response."""
        if self._on_done is None:
            return
        on_done, self._on_done = self._on_done, None
        for timer in (self._timer, self._write_timer):
            if timer is not None:
                timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()  # a task that has not started never runs
        for connection in (self.pending_connection, self.connection):
            if connection is not None:
                connection.close()
        if self.request.upload is not None and self.request.upload.was_attached:
            self.request.upload.detach()
        on_done(outcome, response)

    def cancel(self) -> None:
        """Stop waiting for the response."""
        self.finish(Outcome.CANCELLED)

    def _on_write_deadline(self) -> None:
        """Unwritten by the deadline: if it were written now, the request might run a second time."""
        if not self.is_written():
            self.finish(Outcome.UNREACHED)

    def _on_timeout(self) -> None:
        self.finish(Outcome.TIMED_OUT if self.is_written() else Outcome.UNREACHED)
