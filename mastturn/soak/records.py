"""What happened in a soak, as its parties saw it. Times are in seconds on the monotonic clock.

Clients, upstreams and troubles each write their own records; the checker reads them when all is over.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from mastturn.soak.faults import Fault


class Kind(enum.Enum):
    """The kinds of request, one a route."""

    SAFE = "safe"  # a whole answer; may be repeated
    ONCE = "once"  # a whole answer; may run once in a try
    ASK = "ask"  # a stream that may be resumed; its prompt is read by another upstream
    TAG = "tag"  # a stream that may not be resumed

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self in (Kind.SAFE, Kind.ASK)

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream of events."""
        return self in (Kind.ASK, Kind.TAG)


class Style(enum.Enum):
    """How a client behaves."""

    KEPT = "kept"  # one request after the other on a connection that it keeps
    PIPELINED = "pipelined"  # several at once on one connection
    SLOW = "slow"  # reads in small pieces with pauses
    LEAVES = "leaves"  # is gone in the middle of some answers
    HALF_CLOSED = "half_closed"  # ends its own side behind a request


class EndKind(enum.Enum):
    """How a request ended for its client."""

    WHOLE = "whole"  # an answer that its framing calls complete
    CUT = "cut"  # the connection ended in the middle of an answer
    CLOSED = "closed"  # the connection ended without a byte of it
    LEFT = "left"  # the client did not wait for it
    NONE = "none"  # nothing came in its time
    INVALID = "invalid"  # what came is no answer


@dataclass(slots=True)
class End:
    """The end of a request; `body` is what came of it, without framing."""

    kind: EndKind
    at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Ask:
    """One request of a client: a try with an id of its own."""

    request: str
    kind: Kind
    style: Style
    balancer: str  # the machine that it was sent to
    sent_at: float
    deadline_at: float
    is_first: bool  # on its connection
    size: int = 0  # bytes of its body
    ends: list[End] = field(default_factory=list)


@dataclass(slots=True)
class Arrival:
    """A request at an upstream. `body` is its answer's whole body, `events` the last event of its stream."""

    request: str
    upstream: str  # the incarnation's id
    at: float
    fault: Fault
    is_read: bool = False  # a prefill call
    size: int | None = None  # bytes of the request's body, once all of it was there
    after: int = 0  # the event behind which a stream goes on
    ran: bool = False
    status: int = 0
    seal: str = ""
    body: bytes = b""
    events: int = 0
    dirty_s: float = float("inf")  # since half an answer was sent on its connection, before it came
    whole_at: float | None = None  # when the last byte of a whole answer was handed to the kernel


@dataclass(slots=True)
class Span:
    """A time in which something was wrong with a machine or the platform; `end` is inf while it lasts."""

    what: str  # term, kill, stop, hup, crash, list
    who: str
    begin: float
    end: float = float("inf")

    def meets(self, begin: float, end: float) -> bool:
        """Whether some moment between lies in it."""
        return self.begin <= end and begin <= self.end


@dataclass(slots=True)
class Put:
    """A change of the configuration that an operator sent, and what came of it."""

    ver: int
    base: int
    body: bytes
    is_valid: bool
    sent_at: float
    status: int = 0  # 0: no clear answer
    answered_at: float = 0.0


@dataclass(slots=True)
class Read:
    """A read of the configuration; `ver` is 0 where there was no clear answer."""

    by: str
    sent_at: float
    ver: int
    body: bytes = b""


@dataclass(slots=True)
class Delisted:
    """An upstream that left: from `at` on the platform's list shows it as draining, or not at all."""

    upstream: str
    at: float


@dataclass(frozen=True, slots=True)
class Altered:
    """What an upstream got that no client has sent: another body, or bytes that are no request."""

    upstream: str
    at: float
    request: str
    words: str


@dataclass(slots=True)
class Records:
    """All of one soak."""

    asks: list[Ask] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    delisted: list[Delisted] = field(default_factory=list)
    unclean: list[str] = field(default_factory=list)  # processes that did not end as told
    unasked: list[str] = field(default_factory=list)  # bytes that clients got with no request open
    altered: list[Altered] = field(default_factory=list)
    worst_lag_s: float = 0.0  # of the soak's own event loop
    settled_ver: int = 0  # read back at the end
    settled_body: bytes = b""

    def begin(self, what: str, who: str, now: float) -> Span:
        """A span that lasts from now on."""
        span = Span(what, who, now)
        self.spans.append(span)
        return span
