"""The interface of the balancer's decisions: settings, list members, events and actions.

The contract with the caller:

- The caller owns the clock. All times and durations are milliseconds on one clock that may stand still but
  never goes backwards.
- It calls `Balancer.handle` with one event at a time, in the order in which they happened, and carries out
  the returned actions in order.
- It answers each `Send` with exactly one `AttemptEnded`, each `Probe` with one `Probed`, each `SetTimer` with
  one `TimerDue` at or after its time, and each `Subscribe` with the list and then its changes.
- A served attempt ends its request; every other request ends with the one `Refuse` or `Fail` that the
  balancer returns.
- A balancer is single-threaded, shares no state, and takes its randomness from its seed alone.
- Settings out of range and impossible events (an unknown class, a request seen twice, an attempt that was
  never made) raise `ValueError`.

Every type is an immutable value; the decisions are in `umberworks.rules`.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, fields


class Effect(enum.Enum):
    """Whether a request of a class may run more than once."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class RepeatGroup(enum.Enum):
    """Which servers recognize and drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Readiness(enum.Enum):
    """State of a server's process according to the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """Kind of a list event: changes, the whole list, a saved copy of it, or a failure to get it."""

    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


class Outcome(enum.Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


NEVER_RAN = frozenset({Outcome.TURNED_AWAY, Outcome.UNREACHED, Outcome.NOT_SENT})
"""Outcomes that prove that the attempt had no effect."""


def _require(condition: bool, name: str, requirement: str) -> None:
    if not condition:
        raise ValueError(f"{name}: {requirement}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: target latency (the aim), deadline, and how requests may be repeated."""

    name: str
    aim_ms: float
    deadline_ms: float
    effect: Effect
    repeat_group: RepeatGroup = RepeatGroup.ALL
    repeat_window_ms: float = 0.0
    worth: float = 1.0
    late_share: float = 0.0
    streamed: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        for field in ("aim_ms", "deadline_ms"):
            value = getattr(self, field)
            _require(math.isfinite(value) and value > 0, field, "must be a finite number above 0")
        _require(self.repeat_window_ms >= 0, "repeat_window_ms", "must not be negative")
        _require(self.worth >= 0, "worth", "must not be negative")
        _require(0 <= self.late_share <= 1, "late_share", "must be between 0 and 1")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota of requests per second, over all balancers."""

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one balancer instance, fixed when it starts."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    calling_tier: int = 0
    list_is_asked: bool = False
    ask_within_ms: float = 10_000.0
    max_attempts: int = 3
    may_cancel: bool = False
    may_probe: bool = False  # whether `Probe` may be returned
    may_duplicate: bool = False
    max_retry_after_ms: float = 0.0  # longest retry-after that clients honour; 0: they are given none
    sizes_exact: bool = False  # member sizes are the registered ones, not estimates or placeholders
    cold_ms: float = 0.0
    cold_from: float = 1.0
    cold_overload_factor: float = 1.0
    cold_window_ms: float = 1_000.0
    tick_ms: float = 1.0

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "must name at least one class")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", "must not name a class twice")
        for field in ("balancers", "max_attempts"):
            _require(getattr(self, field) >= 1, field, "must be 1 or more")
        for field in ("calling_tier", "cold_ms", "max_retry_after_ms"):
            _require(getattr(self, field) >= 0, field, "must not be negative")
        for field in ("ask_within_ms", "cold_window_ms", "cold_overload_factor", "tick_ms"):
            _require(getattr(self, field) > 0, field, "must be above 0")
        _require(0 < self.cold_from <= 1, "cold_from", "must be above 0 and at most 1")
        for item in fields(self):
            value = getattr(self, item.name)
            _require(not isinstance(value, float) or math.isfinite(value), item.name, "must be finite")


@dataclass(frozen=True, slots=True)
class Member:
    """One server as listed; `up_since_ms` is 0 if it started long ago."""

    server: str
    readiness: Readiness = Readiness.READY
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0

    def __post_init__(self) -> None:
        _require(math.isfinite(self.size) and self.size > 0, "size", "must be a finite number above 0")


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """An update of the server list; FAILED carries no members and leaves the old list in force."""

    kind: ListKind
    members: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, to be answered exactly once within `remaining_ms`.

    `free_connections`: connections left to clients while they cannot open new ones, as in a drain.
    `whole`: false for a request whose body is forwarded as it arrives. Its deadline, and the time-outs of its
    attempts, run from `RequestWhole` on.
    """

    request: int
    class_name: str
    remaining_ms: float
    tenant: str | None = None
    free_connections: float = math.inf
    whole: bool = True


@dataclass(frozen=True, slots=True)
class RequestWhole:
    """The last byte of a request that was incomplete on arrival has come."""

    request: int


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The answer to a streamed request has begun; its deadline no longer applies."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's report of its own load, late and noisy: share of its cores in use, and service time."""

    util: float
    latency_ms: float | None = None

    def __post_init__(self) -> None:
        _require(0 <= self.util <= 1, "util", "must be between 0 and 1")
        if self.latency_ms is not None:
            _require(0 <= self.latency_ms < math.inf, "latency_ms", "must be finite and not negative")


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; `answered`: whether the request has its final answer.

    `repeatable`: false if no further attempt can be made, as part of the body is no longer held. `report`:
    the load that the server reported in its answer, if any.
    """

    request: int
    attempt: int
    server: str
    outcome: Outcome
    answered: bool = False
    repeatable: bool = True
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client has disconnected; its request needs no answer."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by `SetTimer` has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a `Probe`: whether a connection to the server was established in time."""

    server: str
    reached: bool


@dataclass(frozen=True, slots=True)
class Cordon:
    """Operators cordon a server, whatever its state on the list, or uncordon it with `out` false."""

    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence on one server's capacity: calls served, time in flight, and time since the last send."""

    server: str
    up_since_ms: float
    served: float
    busy_ms: float
    unsent_ms: float

    def __post_init__(self) -> None:
        _require(math.isfinite(self.up_since_ms), "up_since_ms", "must be finite")
        for value in (self.served, self.busy_ms, self.unsent_ms):
            _require(math.isfinite(value) and value >= 0, "evidence", "must be finite and not negative")


@dataclass(frozen=True, slots=True)
class Learned:
    """What the process that this one replaces has learned; the two are one balancer.

    `lowest`: the lowest service time, in aims; `aims_ms` and `spent_ms`: the decaying sums of the aims of
    served calls and of time in flight.
    """

    lowest: float
    aims_ms: float
    spent_ms: float
    evidence: tuple[Evidence, ...] = ()

    def __post_init__(self) -> None:
        for value in (self.lowest, self.aims_ms, self.spent_ms):
            _require(math.isfinite(value) and value >= 0, "learned", "must be finite and not negative")


@dataclass(frozen=True, slots=True)
class CallsBeside:
    """How many calls the other process of an upgrade has in flight."""

    out: int

    def __post_init__(self) -> None:
        _require(self.out >= 0, "out", "must not be negative")


Event = (
    ListUpdate
    | RequestArrived
    | RequestWhole
    | AnswerStarted
    | AttemptEnded
    | ClientLeft
    | TimerDue
    | Probed
    | Cordon
    | Learned
    | CallsBeside
)


# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Make the next attempt of a request; attempts are numbered from 0.

    `write_by_ms`, a time on the caller's clock: a request not completely written by then must not be sent.
    """

    request: int
    server: str
    timeout_ms: float
    write_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Try to connect to a server; the connection may then serve calls. `Probed` gives the result."""

    server: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not executed and safe to retry, best after `retry_after_ms` (0: no advice)."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may or may not have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerDue` at a time of the clock; tokens contain no spaces."""

    at_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the server list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for operators."""

    text: str


Action = Send | Cancel | Probe | Refuse | Fail | SetTimer | Subscribe | Log
