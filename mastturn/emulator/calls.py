"""Defines requests, attempts and their outcomes, independent of any balancer's own state."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from mastturn.emulator.day import ClassParameters
from mastturn.emulator.machine import BalancerHandle, Box


class FinalOutcome(enum.Enum):
    """Final outcome of a request for its caller."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    RESET = "reset"  # its balancer died
    UNREACHED = "unreached"  # no balancer accepted the connection


class LossCause(enum.Enum):
    """Why a request got no successful response."""

    ROOM = "refused for room"
    TURNED_AWAY = "turned away"
    UNREACHED = "could not connect"
    SILENT = "hung at a silent box"
    QUEUED = "late in a waiting room"
    WORKING = "late at work"
    ON_THE_WAY = "answer lost or late"
    ERROR = "failed at a box"
    RESET = "connection reset"
    CANCELLED = "called off"
    NO_ANSWER = "no answer from the balancer"
    BALANCER_DIED = "balancer died"
    LEFT = "client left early"


@dataclass(frozen=True, slots=True)
class Loss:
    """Where a response was lost: the tier that was being called, and the cause."""

    tier: int
    cause: LossCause


class VisitState(Protocol):
    """State of an attempt at its box that other modules read."""

    answered: bool
    waits: bool
    call: Call | None


class Caller(Protocol):
    """The caller of a balancer."""

    def on_final_outcome(self, call: Call, final: FinalOutcome, retry_after_ms: float) -> None:
        """Handle the final outcome; `retry_after_ms`: minimum wait after a refusal, 0 for none."""


@dataclass(slots=True)
class ClientRequest:
    """A client's request with all its tries; the unit that is scored."""

    number: int
    arrived_ms: float
    cls: ClassParameters
    class_number: int
    brand: int
    zone: str
    work_ms: float  # of the whole request on a reference core; each tier's call does its share
    honours_retry_after: bool
    leaves_ms: float  # time at which an impatient client leaves; inf for all others
    over_share: bool
    worth: float
    calls: tuple[int, ...]  # calls that a box of each tier but the last makes to the next tier
    tries: int = 0
    served_ms: float = -1.0  # time of the response; -1: none
    ended_ms: float = -1.0  # time at which the client got its last response or gave up
    loss: Loss | None = None  # why the last try failed
    useful_ms: float = 0.0  # work done for the response that the client received
    received: int = 0  # attempts at boxes of any tier


class Call:
    """A request at one balancer."""

    __slots__ = (
        "attempts",
        "balancer",
        "caller",
        "client_request",
        "deadline_ms",
        "done",
        "loss",
        "number",
        "remaining_ms",
        "taken_ms",
        "useful_ms",
    )  # fmt: skip

    def __init__(
        self,
        number: int,
        client_request: ClientRequest,
        balancer: BalancerHandle,
        caller: Caller,
        remaining_ms: float,
        now: float,
    ) -> None:
        self.number, self.client_request, self.balancer, self.caller = (
            number,
            client_request,
            balancer,
            caller,
        )
        self.remaining_ms, self.taken_ms = remaining_ms, now
        self.deadline_ms = now + remaining_ms
        self.attempts: list[Attempt] = []
        self.done = False
        self.loss: Loss | None = None
        self.useful_ms = 0.0


class Attempt:
    """One attempt to run a call on a box."""

    __slots__ = ("arrived", "box", "box_epoch", "call", "connected", "ended_ms", "ends_ms", "handshake",
                 "index", "life", "outcome", "over", "sent_ms", "visit")  # fmt: skip

    def __init__(self, call: Call, index: int, box: Box, now: float, ends_ms: float, life: int) -> None:
        self.call, self.index, self.box, self.sent_ms, self.ends_ms = call, index, box, now, ends_ms
        self.box_epoch, self.life = box.epoch, life
        self.over = self.connected = self.handshake = self.arrived = False
        self.outcome = ""
        self.ended_ms = -1.0
        self.visit: VisitState | None = None


def locate_loss(attempt: Attempt, cut: bool) -> Loss:
    """Return where an unanswered attempt is stuck: at its box, or at a box that its box has called."""
    visit, box = attempt.visit, attempt.box
    if cut or box.silent or box.epoch != attempt.box_epoch:
        return Loss(box.number, LossCause.SILENT)
    if visit is None or visit.answered:
        return Loss(box.number, LossCause.ON_THE_WAY)
    if visit.waits:
        return Loss(box.number, LossCause.QUEUED)
    inner = visit.call
    if inner is not None and not inner.done:
        in_flight = next((a for a in inner.attempts if not a.over), None)
        if in_flight is not None:
            return locate_loss(in_flight, in_flight.call.balancer.is_cut_from(in_flight.box))
        return inner.loss or Loss(box.number + 1, LossCause.ROOM)
    return Loss(box.number, LossCause.WORKING)
