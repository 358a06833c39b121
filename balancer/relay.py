"""One answer to a client: a stream out of the runs of one upstream or of several, or a long whole answer.

A stream goes on in whole events, so that another run can take it up. Any other answer goes on byte by byte as
it comes, with the framing that its upstream gave it, and nobody can take it up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from balancer.streams import BadStreamError, EventReader
from balancer.wire import is_event_stream, is_sound
from passpost.http1 import FlowControl, ResponseStart

if TYPE_CHECKING:
    from passpost.engine import Client


class Owner(Protocol):
    """Whoever runs the request that the answer is for."""

    def wants(self) -> bool:
        """Whether its client still waits."""

    def heard(self) -> None:
        """Something has come from the upstream."""

    def passes(self) -> None:
        """Events, or pieces of another answer, go to the client now."""

    def spoilt(self) -> None:
        """The stream is broken: nothing more of this upstream is wanted."""


class Relay:
    """The sink of each run's answer, and the flow that the client steers."""

    def __init__(self, owner: Owner, client: Client, after: int | None) -> None:
        """`after`: the last event that the client has already."""
        self._owner, self._client = owner, client
        self._events = EventReader(after)
        self._head: ResponseStart | None = None  # a stream's waits for the first event
        self.is_stream = True  # of events
        self._flow: FlowControl | None = None
        self._held_up = False  # the client does not read
        self.begun = False  # the head has gone to the client
        self.bad = False  # the run was broken by what it brought

    @property
    def last(self) -> int | None:
        """The last event that the client has."""
        return self._events.last

    def begin_anew(self) -> None:
        """Another run goes on from the last event."""
        self.bad, self._head, self._flow = False, None, None
        self._events.begin_anew()

    def is_streaming(self) -> bool:
        """Whether the run that is out has begun an answer that is passed on as it comes."""
        return self._head is not None

    def is_whole(self) -> bool:
        """Whether what has come of a stream ends between two events."""
        return not self.is_stream or self._events.is_between()

    def on_response_start(self, start: ResponseStart, flow: FlowControl) -> bool:
        """An answer begins; False if nobody wants it, or if it is not sound."""
        if not self._owner.wants():
            return False
        self.bad = not is_sound(start.headers)
        if self.bad:
            return False
        self._head, self._flow = start, flow
        self.is_stream = is_event_stream(start.status, start.headers)
        if self._held_up:
            flow.pause()
        return True

    def on_body(self, data: bytes) -> None:
        """A piece of it; of a stream only whole events, in their order, reach the client."""
        if not self._owner.wants():
            return
        self._owner.heard()
        if not self.is_stream:
            self._pass_on(data)
            return
        try:
            self._pass_on(self._events.feed(data))
        except BadStreamError as error:
            self._pass_on(error.good)
            self.bad = True
            self._owner.spoilt()

    def _pass_on(self, data: bytes) -> None:
        if data:
            self._owner.passes()
            self.show_head()
            self._client.send_body(data)

    def show_head(self) -> None:
        """Let the client have the head of the first stream; those of later ones are nobody's."""
        if not self.begun and self._head is not None:
            self.begun = True
            # The length of one run says nothing of a stream that another may go on with.
            length = None if self.is_stream else self._head.length
            self._client.begin_response(ResponseStart(self._head.headers, length, self._head.status), self)

    # ---- the flow of what the client gets

    def pause(self) -> None:
        """The client is behind: whichever upstream streams now has to wait."""
        self._held_up = True
        if self._flow is not None:
            self._flow.pause()

    def resume(self) -> None:
        """The client reads on."""
        self._held_up = False
        if self._flow is not None:
            self._flow.resume()
