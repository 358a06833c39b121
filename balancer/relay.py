"""Forwards one answer to a client: an event stream from one or several runs, or a long plain answer.

A stream is forwarded in whole events, so that another run can resume it. Any other answer is forwarded as its
bytes arrive, with the framing that its upstream gave it, and can't be resumed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from balancer.streams import BadStreamError, EventReader
from balancer.upstream_protocol import is_event_stream, is_sound
from passpost.http1 import FlowControl, ResponseStart

if TYPE_CHECKING:
    from passpost.engine import Client


class RelayOwner(Protocol):
    """The request whose answer is forwarded."""

    def is_wanted(self) -> bool:
        """Return whether the client still waits."""

    def on_upstream_data(self) -> None:
        """Note that the upstream has sent something."""

    def on_forward(self) -> None:
        """Called before events, or pieces of another answer, go to the client."""

    def on_bad_stream(self) -> None:
        """Called when the event stream is invalid and its call has to be cancelled."""


class Relay:
    """The sink of each run's answer, and the flow control that the client uses."""

    def __init__(self, owner: RelayOwner, client: Client, after: int | None) -> None:
        """`after`: id of the last event that the client already has."""
        self._owner, self._client = owner, client
        self._events = EventReader(after)
        self._head: ResponseStart | None = None  # a stream's head is held until the first event
        self.is_stream = True  # the answer is an event stream
        self._flow: FlowControl | None = None
        self._paused = False  # by the client
        self.begun = False  # the head has gone to the client
        self.bad = False  # the current answer is invalid

    @property
    def last_event_id(self) -> int | None:
        """The id of the last event that the client has."""
        return self._events.last_event_id

    def on_new_run(self) -> None:
        """Prepare for another run, which continues after the last event."""
        self.bad, self._head, self._flow = False, None, None
        self._events.on_new_run()

    def is_forwarding(self) -> bool:
        """Return whether the current run has begun an answer that is forwarded as it arrives."""
        return self._head is not None

    def is_complete(self) -> bool:
        """Return whether a stream ends between two events; any other answer is complete by its framing."""
        return not self.is_stream or self._events.is_between()

    def on_response_start(self, start: ResponseStart, flow: FlowControl) -> bool:
        """Begin an answer; False if it is not wanted any more or not sound."""
        if not self._owner.is_wanted():
            return False
        self.bad = not is_sound(start.headers)
        if self.bad:
            return False
        self._head, self._flow = start, flow
        self.is_stream = is_event_stream(start.status, start.headers)
        if self._paused:
            flow.pause()
        return True

    def on_body(self, data: bytes) -> None:
        """Forward a piece of the answer; of a stream, only the whole events in order."""
        if not self._owner.is_wanted():
            return
        self._owner.on_upstream_data()
        if not self.is_stream:
            self._forward(data)
            return
        try:
            self._forward(self._events.feed(data))
        except BadStreamError as error:
            self._forward(error.valid)
            self.bad = True
            self._owner.on_bad_stream()

    def _forward(self, data: bytes) -> None:
        if data:
            self._owner.on_forward()
            self.forward_head()
            self._client.send_body(data)

    def forward_head(self) -> None:
        """Send the client the head of the first run's answer; heads of later runs are dropped."""
        if not self.begun and self._head is not None:
            self.begun = True
            # One run's length does not apply to a stream that another run may resume.
            length = None if self.is_stream else self._head.length
            self._client.begin_response(ResponseStart(self._head.headers, length, self._head.status), self)

    # ---- flow control by the client

    def pause(self) -> None:
        """Pause the upstream that is sending, as the client is behind."""
        self._paused = True
        if self._flow is not None:
            self._flow.pause()

    def resume(self) -> None:
        """Resume the upstream, as the client reads again."""
        self._paused = False
        if self._flow is not None:
            self._flow.resume()
