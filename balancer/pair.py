"""The decision for one request, sans IO: which step is next, by how the last one ended.

A split request is read by a prefill upstream and run by a decode upstream that fetches the memory. `tries`
bounds the upstreams that it arrives at; the first prefill call that an upstream takes up counts neither there
nor in the budget. One that broke off may not have been taken up: the budget counts it until another one is.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

UNSENT_MOST = 4  # connections that may fail before anything was written, and then the request is given up


class End(enum.Enum):
    """How a step ended."""

    TAKEN = "taken"  # a prefill call brought its handle
    REJECTED = "rejected"  # the upstream says that it did not run
    UNSENT = "unsent"  # nothing was written: it never arrived
    BROKEN = "broken"  # reset, closed, silent or no answer to it: it may have run
    LATE = "late"  # the deadline has passed while it was out


@dataclass(frozen=True, slots=True)
class Handle:
    """The memory of a read prompt, at the upstream that read it; `born` in seconds on the steady clock."""

    holder: str
    address: str
    ref: str
    born: float


@dataclass(frozen=True, slots=True)
class Read:
    """Have the prompt read by a prefill upstream."""


@dataclass(frozen=True, slots=True)
class Run:
    """Send the request to run; `handle`: the memory to fetch."""

    handle: Handle | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """It has not run and never will."""


@dataclass(frozen=True, slots=True)
class Fail:
    """It may have run; `status` is 502 or 504."""

    status: int


@dataclass(frozen=True, slots=True)
class BreakOff:
    """Its answer has begun and can't be finished."""


Step = Read | Run | Refuse | Fail | BreakOff


class Budget(Protocol):
    """What extra arrivals are paid from."""

    def allows(self, extra: int) -> bool:
        """Whether so many may be caused."""

    def spend(self) -> None:
        """One is caused."""

    def refund(self) -> None:
        """It did not arrive after all."""


class RequestStateMachine:
    """The steps of one request."""

    def __init__(self, tries: int, idempotent: bool, resumable: bool, budget: Budget) -> None:
        self._tries, self._idempotent, self._resumable, self._budget = (
            max(tries, 1),
            idempotent,
            resumable,
            budget,
        )
        self._arrivals, self._unsent, self._reads = 0, 0, 0
        self._read_is_free = True  # until an upstream has taken up a prefill call
        self._paid_read = False
        self._doubtful = False  # a prefill call broke off, and none has been taken up since
        self.handle: Handle | None = None  # that is ours to use or to free
        self.may_have_run = False
        self.has_broken = False  # a call of it broke off: nobody knows whether it was read
        self.started = False  # its answer has begun at the client

    def first(self, split: bool) -> Step:
        """The step to begin with."""
        return self._read() if split else self._run(None)

    # ---- prefill

    def _read(self) -> Step:
        self._paid_read = not self._read_is_free
        if self._paid_read:
            self._arrive()
        self._reads += 1
        return Read()

    def read_ended(self, end: End, handle: Handle | None = None) -> Step:
        """A prefill call is over."""
        self.has_broken |= end is End.BROKEN
        if end is End.TAKEN and handle is not None:
            self._read_is_free, self.handle = False, handle
            self._doubt(False)
            return self._run(handle)
        if end is End.LATE:
            return Refuse()
        if end is End.UNSENT:
            if self._paid_read:
                self._withdraw()
            self._unsent += 1
            return self._read() if self._unsent < UNSENT_MOST else self._run(None)
        if end is End.REJECTED:
            if not self._paid_read:
                self._arrive()
        elif self._read_is_free:
            self._read_is_free = False  # it may have been taken up
            self._doubt(True)
        if self._reads < 2 and self._may(1 if self._read_is_free else 2):
            return self._read()
        return self._run(None) if self._may(1) else Refuse()

    def no_reader(self) -> Step:
        """No prefill upstream is there to be called: a decode upstream reads by itself."""
        if self._paid_read:
            self._withdraw()
        return self._run(None) if self._may(1) else Refuse()

    # ---- the run

    def _run(self, handle: Handle | None) -> Step:
        self._arrive()
        return Run(handle)

    def run_ended(self, end: End, keeps_handle: bool = False) -> Step:
        """A run is over without an answer that can be passed on; `keeps_handle`: it may still be fetched."""
        self.has_broken |= end is End.BROKEN
        if end is End.UNSENT:
            self._withdraw()
            self._unsent += 1
            if self._unsent < UNSENT_MOST:
                return self._run(self.handle)
            return self._give_up()
        if end is End.LATE:
            self.may_have_run = True
            return BreakOff() if self.started else Fail(504)
        if end is End.BROKEN:
            self.may_have_run = True
            repeatable = self._resumable if self.started else self._idempotent
            if not repeatable:
                return BreakOff() if self.started else Fail(502)
            self.handle = None
        if not self._may(1):
            return self._give_up()
        if not keeps_handle:
            self.handle = None
        return self._run(self.handle)

    def begin_answer(self, is_stream: bool) -> None:
        """Its answer begins at the client; only a stream of events can be resumed."""
        self.started = True
        self._resumable = self._resumable and is_stream

    def may_repeat(self) -> bool:
        """Whether the run that is out could be left for another."""
        return (self._resumable if self.started else self._idempotent) and self._may(1)

    def no_runner(self) -> Step:
        """No decode upstream is there to be sent to."""
        self._withdraw()
        return self._give_up()

    def _give_up(self) -> Step:
        if self.started:
            return BreakOff()
        return Fail(502) if self.may_have_run else Refuse()

    def expired(self, step: Read | Run) -> Step:
        """Its client has stopped waiting before this step could be taken."""
        if self._paid_read or isinstance(step, Run):
            self._withdraw()
        return self._give_up()

    # ---- what counts

    def _may(self, more: int) -> bool:
        """Whether so many more arrivals are allowed."""
        paid = self._arrivals + self._doubtful
        return self._arrivals + more <= self._tries and self._budget.allows(paid + more - max(paid, 1))

    def _arrive(self) -> None:
        self._arrivals += 1
        if self._arrivals + self._doubtful > 1:
            self._budget.spend()

    def _withdraw(self) -> None:
        if self._arrivals + self._doubtful > 1:
            self._budget.refund()
        self._arrivals -= 1

    def _doubt(self, doubtful: bool) -> None:
        """Whether the budget counts a prefill call that may have arrived without being taken up."""
        if doubtful != self._doubtful and self._arrivals:
            if doubtful:
                self._budget.spend()
            else:
                self._budget.refund()
        self._doubtful = doubtful
