"""Records of a soak. Times are in seconds on the monotonic clock.

Clients, upstreams and troubles each write their own records; the checker reads them after the run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from mastturn.soak.faults import Fault


class RequestKind(enum.Enum):
    """The kinds of request, one per route."""

    SAFE = "safe"  # a plain response; idempotent
    ONCE = "once"  # a plain response; must not run more than once per request id
    ASK = "ask"  # a resumable stream; another upstream prefills its prompt
    TAG = "tag"  # a stream that cannot be resumed

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self in (RequestKind.SAFE, RequestKind.ASK)

    @property
    def is_stream(self) -> bool:
        """Whether its response is an event stream."""
        return self in (RequestKind.ASK, RequestKind.TAG)


class ClientBehavior(enum.Enum):
    """How a client behaves."""

    KEPT = "kept"  # one request after the other on a persistent connection
    PIPELINED = "pipelined"  # several requests at once on one connection
    SLOW = "slow"  # reads in small pieces with pauses
    LEAVES = "leaves"  # disconnects during some responses
    HALF_CLOSED = "half_closed"  # shuts down its sending side after a request


class EndKind(enum.Enum):
    """How a request ended for its client."""

    COMPLETE = "whole"  # a response that is complete by its framing
    CUT = "cut"  # the connection ended within a response
    CLOSED = "closed"  # the connection ended before the first byte of a response
    LEFT = "left"  # the client disconnected first
    NONE = "none"  # no end within the client's time-out
    INVALID = "invalid"  # the bytes received are not a valid response


@dataclass(slots=True)
class RequestEnd:
    """The end of a request; `body`: what was received of its response's body, without framing."""

    kind: EndKind
    at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class ClientRequest:
    """One request of a client; each retry is a request with a new id."""

    request_id: str
    kind: RequestKind
    behavior: ClientBehavior
    balancer: str  # machine that it was sent to
    sent_at: float
    deadline_at: float
    is_first: bool  # on its connection
    size: int = 0  # bytes of its body
    ends: list[RequestEnd] = field(default_factory=list)


@dataclass(slots=True)
class Arrival:
    """A request at an upstream. `body`: of the whole response; `events`: number of its last event."""

    request_id: str
    upstream: str  # id of the incarnation
    at: float
    fault: Fault
    is_prefill: bool = False  # a prefill call
    size: int | None = None  # bytes of the request's body, once received completely
    after: int = 0  # the event after which a stream resumes
    ran: bool = False
    status: int = 0
    seal: str = ""
    body: bytes = b""
    events: int = 0
    since_partial_s: float = float("inf")  # since a partial response was sent on its connection
    complete_at: float | None = None  # when the last byte of a complete response was passed to the kernel


@dataclass(slots=True)
class Span:
    """A period of a fault of a machine or the platform; `end` is inf while it lasts."""

    cause: str  # term, kill, stop, crash, list, lag
    subject: str
    begin: float
    end: float = float("inf")

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether it overlaps the period from `begin` to `end`."""
        return self.begin <= end and begin <= self.end


@dataclass(slots=True)
class ConfigurationPut:
    """A change of the configuration that an operator sent, and its result."""

    ver: int
    base: int
    body: bytes
    is_valid: bool
    sent_at: float
    status: int = 0  # 0: no conclusive response
    answered_at: float = 0.0


@dataclass(slots=True)
class ConfigurationRead:
    """A read of the configuration; `ver` is 0 if it failed."""

    by: str
    sent_at: float
    ver: int
    body: bytes = b""


@dataclass(slots=True)
class Delisted:
    """An upstream that was removed: from `at` on it is listed as draining, or not at all."""

    upstream: str
    at: float


@dataclass(frozen=True, slots=True)
class UnexpectedInput:
    """Input of an upstream that no client sent: a wrong body, or bytes that are not a request."""

    upstream: str
    at: float
    request_id: str
    description: str


@dataclass(slots=True)
class Records:
    """All records of one soak."""

    requests: list[ClientRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    puts: list[ConfigurationPut] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    delisted: list[Delisted] = field(default_factory=list)
    unready: list[str] = field(default_factory=list)  # balancers that were not ready in time at the end
    unclean_exits: list[str] = field(default_factory=list)  # processes that did not exit in order
    unsolicited: list[str] = field(default_factory=list)  # received by clients without a pending request
    unexpected_inputs: list[UnexpectedInput] = field(default_factory=list)
    worst_lag_s: float = 0.0  # largest lag of the soak's own event loop
    final_ver: int = 0  # read at the end
    final_body: bytes = b""

    def begin(self, cause: str, subject: str, now: float) -> Span:
        """Add and return a span that begins now."""
        span = Span(cause, subject, now)
        self.spans.append(span)
        return span
