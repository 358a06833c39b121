"""One request in a box: it waits for a slot, works, waits on others, calls the next tier, works on, answers.

BENCH, "This kind of server": a box does a part of the work, calls the next tier once or several times, one
call after another, and then does the rest; it keeps its slot meanwhile; a failed call fails the request.
Cancels and time-outs stop nothing. How the work is parted is not said: half before the calls and half after.
"""

from __future__ import annotations

from typing import Protocol

from mastturn.emulator.calls import Attempt, Call, FinalOutcome, Loss, LossCause
from mastturn.emulator.day import Day
from mastturn.emulator.events import Events

BEFORE_CALLS = 0.5  # of a box's own work
LOOPBACK_MS = 0.05  # between a box and the balancer beside it
MIN_REMAINING_MS = 1.0  # less time than this for a call is none


class VisitEnvironment(Protocol):
    """What a request in a box needs of the world."""

    day: Day
    events: Events

    def next_number(self) -> int:
        """A number for a request."""

    def deliver_response(self, attempt: Attempt, visit: Visit, served: bool, loss: Loss | None) -> None:
        """A box has an answer."""


class Visit:
    """An attempt that has reached its box."""

    __slots__ = ("_begun_ms", "_calls_left", "_epoch", "_rest_ms", "_service_ms", "_wait_ms", "_world",
                 "answered", "attempt", "call", "extra_ms", "useful_ms", "waits", "work_ms")  # fmt: skip

    def __init__(
        self, world: VisitEnvironment, attempt: Attempt, work_ms: float, wait_ms: float, calls: int
    ) -> None:
        self._world, self.attempt = world, attempt
        self.work_ms, self._wait_ms, self._calls_left = work_ms, wait_ms, calls
        self.extra_ms = 0.0  # of a handshake
        self._epoch = attempt.box.epoch
        self._rest_ms = self._begun_ms = self._service_ms = 0.0
        self.call: Call | None = None
        self.answered, self.waits = False, True
        self.useful_ms = work_ms

    def begin(self) -> None:
        """It has a slot: the first part of its work."""
        self.waits = False
        self._begun_ms = self._world.events.now
        first = self.work_ms * (BEFORE_CALLS if self._calls_left else 1.0)
        self._rest_ms = self.work_ms - first
        self.attempt.box.work(self, first + self.extra_ms)

    def on_work_done(self) -> None:
        """A part of its work is done."""
        if self._wait_ms > 0:
            wait, self._wait_ms = self._wait_ms, 0.0
            self._world.events.after(wait, self._waited)
        else:
            self._go_on()

    def _waited(self, _: None) -> None:
        if self._epoch == self.attempt.box.epoch:
            self._go_on()

    def _go_on(self) -> None:
        if self._calls_left:
            self._calls_left -= 1
            self._call()
        elif self._rest_ms > 0:
            rest, self._rest_ms = self._rest_ms, 0.0
            self.attempt.box.work(self, rest)
        else:
            self._answer(True, None)

    def _call(self) -> None:
        """Call the next tier through the balancer beside the box."""
        world, box = self._world, self.attempt.box
        balancer, caller = box.local_balancer, self.attempt.call
        assert balancer is not None
        remaining = caller.client_request.cls.deadline_ms
        if world.day.passes_deadline:
            remaining = max(caller.deadline_ms - world.events.now, MIN_REMAINING_MS)
        self.call = Call(
            world.next_number(), caller.client_request, balancer, self, remaining, world.events.now
        )
        world.events.after(LOOPBACK_MS, balancer.on_request, self.call)

    def on_final_outcome(self, call: Call, final: FinalOutcome, retry_after_ms: float) -> None:
        """The call is over: the next one, the rest of the work, or an error."""
        if self._epoch != self.attempt.box.epoch or call is not self.call:
            return
        if final is FinalOutcome.SERVED:
            self.useful_ms += call.useful_ms
            self._go_on()
        else:
            self._answer(False, call.loss)

    def _answer(self, served: bool, loss: Loss | None) -> None:
        box = self.attempt.box
        self.answered = True
        if served and box.errors > 0 and box.chance.uniform() < box.errors:
            served, loss = False, Loss(box.number, LossCause.ERROR)
        if served:
            box.load_reporter.record_served(self._world.events.now - self._begun_ms)
        self._world.deliver_response(self.attempt, self, served, loss)
        box.leave(self)
