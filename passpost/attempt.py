"""Attempts of requests at upstreams: what is sent, and how each attempt ended."""

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

    def __init__(self, length: int | None, first: bytes, flow: FlowControl) -> None:
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
            if self._size > MAX_BUFFERED_BODY:
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
class UpstreamRequest:
    """A request as it goes on, but for the time left, which is known when it is written."""

    head: bytes
    body: bytes
    upload: Upload | None = None  # in place of a body that is there already

    def encode(self, remaining: float) -> bytes:
        """The bytes for the wire."""
        return b"%bX-Remaining: %.3f\r\n\r\n%b" % (self.head, remaining, self.body)

    def is_sendable(self) -> bool:
        """Whether an attempt can be made: nothing of it is gone."""
        return self.upload is None or self.upload.is_fresh()

    @property
    def needs_unused_connection(self) -> bool:
        """Whether it goes out on no connection that an upstream which misuses its connections has used."""
        return False

    @property
    def response_matcher(self) -> Callable[[int, Headers], bool] | None:
        """Tells by an answer's status and headers whether it is to this request; None: all are."""
        return None


class ResponseSink(Protocol):
    """Who gets a long answer as it comes."""

    def on_response_start(self, start: ResponseStart, flow: FlowControl) -> bool:
        """It begins; False if nobody wants it any more."""

    def on_body(self, data: bytes) -> None:
        """A piece of its body."""


class AttemptConnection(Protocol):
    """The connection that an attempt is on, or waits for."""

    unwritten: bool  # part of the request is still with us

    def drop(self) -> None:
        """Close at once."""


class Attempt:
    """One attempt; it ends exactly once, with the outcome that `done` is told."""

    def __init__(
        self,
        request: UpstreamRequest,
        timeout: float,
        done: AttemptCallback,
        written: Callable[[], None] = lambda: None,
        sink: ResponseSink | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
        write_within_s: float = math.inf,
        is_bounded: bool = False,
    ) -> None:
        """`is_bounded`: an answer that is passed on as it comes has to end within the timeout as well."""
        self._is_bounded = is_bounded
        self.request, self.is_wanted = request, is_wanted
        self.connection: AttemptConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.opening: AttemptConnection | None = None  # that is coming up for it
        self.started = False  # its answer is being passed on
        self._timeout = timeout
        self._ends = time.monotonic() + timeout
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        if write_within_s < timeout:
            self._write_timer = asyncio.get_running_loop().call_later(write_within_s, self._not_written)
        if request.upload is None or request.upload.whole:
            self._run_timer()
        self._done: AttemptCallback | None = done
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

    def start(self, start: ResponseStart, flow: FlowControl) -> bool:
        """Its answer is passed on from now on; False if nobody wants it."""
        if self._sink is None or not self._sink.on_response_start(start, flow):
            return False
        self.started = True
        if self._timer is not None and not self._is_bounded:
            self._timer.cancel()
        return True

    def more(self, data: bytes) -> None:
        """A piece of the answer that is passed on."""
        if self._sink is not None and self._done is not None and data:
            self._sink.on_body(data)

    def end(self, outcome: Outcome, answer: Response | None = None) -> None:
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
