"""Processes one request in a box: it waits for a slot, works, waits, calls the next tier, and answers.

BENCH, "This kind of server": a box does a part of the work, calls the next tier once or several times in
sequence, and then does the rest; it keeps its slot meanwhile, and a failed call fails the request. Cancels
and time-outs do not stop work that has begun. BENCH does not specify how the work is divided: half of it is
done before the calls and half after.
"""

from __future__ import annotations

from typing import Protocol

from mastturn.emulator.calls import Attempt, Call, FinalOutcome, Loss, LossCause
from mastturn.emulator.day import Day
from mastturn.emulator.events import Events

BEFORE_CALLS = 0.5  # share of a box's own work done before its calls
LOOPBACK_MS = 0.05  # between a box and its local balancer
MIN_REMAINING_MS = 1.0  # lower bound of the remaining time passed to a call


class VisitEnvironment(Protocol):
    """The parts of the world that a request in a box uses."""

    day: Day
    events: Events

    def next_number(self) -> int:
        """Return a new request number."""

    def deliver_response(self, attempt: Attempt, visit: Visit, served: bool, loss: Loss | None) -> None:
        """Send a box's response."""


class Visit:
    """An attempt being processed by its box."""

    __slots__ = ("_begun_ms", "_calls_left", "_epoch", "_rest_ms", "_service_ms", "_wait_ms", "_world",
                 "answered", "attempt", "call", "extra_ms", "useful_ms", "waits", "work_ms")  # fmt: skip

    def __init__(
        self, world: VisitEnvironment, attempt: Attempt, work_ms: float, wait_ms: float, calls: int
    ) -> None:
        self._world, self.attempt = world, attempt
        self.work_ms, self._wait_ms, self._calls_left = work_ms, wait_ms, calls
        self.extra_ms = 0.0  # work of the connection handshake
        self._epoch = attempt.box.epoch
        self._rest_ms = self._begun_ms = self._service_ms = 0.0
        self.call: Call | None = None
        self.answered, self.waits = False, True
        self.useful_ms = work_ms

    def begin(self) -> None:
        """Start the first part of the work in a slot."""
        self.waits = False
        self._begun_ms = self._world.events.now
        first = self.work_ms * (BEFORE_CALLS if self._calls_left else 1.0)
        self._rest_ms = self.work_ms - first
        self.attempt.box.work(self, first + self.extra_ms)

    def on_work_done(self) -> None:
        """Continue after a part of the work has completed."""
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
        """Call the next tier through the box's local balancer."""
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
        """Continue after a call to the next tier: the next call, the remaining work, or an error."""
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
        if served and box.errors > 0 and box.rng.uniform() < box.errors:
            served, loss = False, Loss(box.number, LossCause.ERROR)
        if served:
            box.load_reporter.record_served(self._world.events.now - self._begun_ms)
        self._world.deliver_response(self.attempt, self, served, loss)
        box.leave(self)
