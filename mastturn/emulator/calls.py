"""Requests and attempts, as the world keeps them; what a balancer thinks of them is its own affair."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from mastturn.emulator.day import ClassFigures
from mastturn.emulator.machine import BalancerHandle, Box


class FinalOutcome(enum.Enum):
    """How a request ended for whoever asked."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    RESET = "reset"  # its balancer died
    UNREACHED = "unreached"  # no balancer there


class LossCause(enum.Enum):
    """Why an answer was not had."""

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
    """Where an answer was lost: the tier that was being called, and why."""

    tier: int
    cause: LossCause


class VisitState(Protocol):
    """An attempt's time in its box, as far as others ask."""

    answered: bool
    waits: bool
    call: Call | None


class Caller(Protocol):
    """Whoever asked a balancer."""

    def on_final_outcome(self, call: Call, final: FinalOutcome, retry_after_ms: float) -> None:
        """Take the final answer; `advice_ms`: how long to stay away after a refusal, 0 for no advice."""


@dataclass(slots=True)
class ClientRequest:
    """A client's first try, with all its later ones: what the judge counts."""

    number: int
    arrived_ms: float
    cls: ClassFigures
    class_number: int
    brand: int
    zone: str
    work_ms: float  # of the whole request, on a yardstick core; a tier's call does its share of it
    honours_retry_after: bool
    leaves_ms: float  # moment at which an impatient client leaves; inf for all others
    over_share: bool
    worth: float
    calls: tuple[int, ...]  # that a box of each tier but the last makes to the next one for it
    tries: int = 0
    served_ms: float = -1.0  # moment of the answer; -1: none
    ended_ms: float = -1.0  # moment at which the client had its last answer or gave up
    loss: Loss | None = None  # why the last try was not served
    useful_ms: float = 0.0  # work done for the answer that the client got
    received: int = 0  # attempts at boxes of any tier


class Call:
    """One request at one balancer."""

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
    """One send of a call to a box."""

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
    """Where an attempt hangs that has had no answer: at its box, or at one that its box has called."""
    visit, box = attempt.visit, attempt.box
    if cut or box.silent or box.epoch != attempt.box_epoch:
        return Loss(box.number, LossCause.SILENT)
    if visit is None or visit.answered:
        return Loss(box.number, LossCause.ON_THE_WAY)
    if visit.waits:
        return Loss(box.number, LossCause.QUEUED)
    inner = visit.call
    if inner is not None and not inner.done:
        out = next((a for a in inner.attempts if not a.over), None)
        if out is not None:
            return locate_loss(out, out.call.balancer.is_cut_from(out.box))
        return inner.loss or Loss(box.number + 1, LossCause.ROOM)
    return Loss(box.number, LossCause.WORKING)
