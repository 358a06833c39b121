"""State machine of one request, without I/O: the next step, by how the previous one ended.

A split request is prefilled by a prefill upstream and run by a decode upstream that fetches the KV cache.
`tries` limits the number of upstreams where the request arrives. The first prefill call that an upstream
accepts counts neither there nor in the retry budget. A prefill call that broke off may not have been
accepted: the budget counts it until another one is.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

MAX_UNSENT = 4  # calls that may fail before anything was written; then the request is given up


class CallEnd(enum.Enum):
    """How a call to an upstream ended."""

    PREFILLED = "prefilled"  # a prefill call returned its handle
    REJECTED = "rejected"  # the upstream reports that the request did not run
    UNSENT = "unsent"  # nothing was written: the request did not arrive
    BROKEN = "broken"  # reset, closed, silent or a mismatched answer: the request may have run
    LATE = "late"  # the deadline passed while the call was in flight


@dataclass(frozen=True, slots=True)
class Handle:
    """A prompt's KV cache on the upstream that prefilled it; `created_at` in seconds, monotonic clock."""

    holder: str
    address: str
    ref: str
    created_at: float


@dataclass(frozen=True, slots=True)
class Prefill:
    """Have a prefill upstream prefill the prompt."""


@dataclass(frozen=True, slots=True)
class Run:
    """Send the request to be run; `handle`: the KV cache to fetch."""

    handle: Handle | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request, which has not run and never will."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request, which may have run; `status` is 502 or 504."""

    status: int


@dataclass(frozen=True, slots=True)
class Abort:
    """Break off an answer that has begun and can't be completed."""


Step = Prefill | Run | Refuse | Fail | Abort


class Budget(Protocol):
    """The retry budget, which pays for extra arrivals."""

    def allows(self, extra: int) -> bool:
        """Return whether this many extra arrivals may be caused."""

    def spend(self) -> None:
        """Count an extra arrival."""

    def refund(self) -> None:
        """Uncount an extra arrival that did not happen after all."""


class RequestStateMachine:
    """Determines the steps of one request."""

    def __init__(self, tries: int, idempotent: bool, resumable: bool, budget: Budget) -> None:
        self._tries, self._idempotent, self._resumable, self._budget = (
            max(tries, 1),
            idempotent,
            resumable,
            budget,
        )
        self._arrivals, self._unsent, self._prefills = 0, 0, 0
        self._prefill_is_free = True  # until an upstream has accepted a prefill call
        self._prefill_is_paid = False
        self._is_uncertain = False  # a prefill call broke off, and none has been accepted since
        self.handle: Handle | None = None  # to be used or freed by this request
        self.may_have_run = False
        self.has_broken = False  # a call broke off, and the upstream may or may not have received it
        self.started = False  # the client has received the beginning of the answer

    def start(self, split: bool) -> Step:
        """Return the first step."""
        return self._prefill() if split else self._run(None)

    # ---- prefill

    def _prefill(self) -> Step:
        self._prefill_is_paid = not self._prefill_is_free
        if self._prefill_is_paid:
            self._count_arrival()
        self._prefills += 1
        return Prefill()

    def prefill_ended(self, end: CallEnd, handle: Handle | None = None) -> Step:
        """Return the step after the end of a prefill call."""
        self.has_broken |= end is CallEnd.BROKEN
        if end is CallEnd.PREFILLED and handle is not None:
            self._prefill_is_free, self.handle = False, handle
            self._set_uncertain(False)
            return self._run(handle)
        if end is CallEnd.LATE:
            return Refuse()
        if end is CallEnd.UNSENT:
            if self._prefill_is_paid:
                self._uncount_arrival()
            self._unsent += 1
            return self._prefill() if self._unsent < MAX_UNSENT else self._run(None)
        if end is CallEnd.REJECTED:
            if not self._prefill_is_paid:
                self._count_arrival()
        elif self._prefill_is_free:
            self._prefill_is_free = False  # the call may have been accepted
            self._set_uncertain(True)
        if self._prefills < 2 and self._may_arrive(1 if self._prefill_is_free else 2):
            return self._prefill()
        return self._run(None) if self._may_arrive(1) else Refuse()

    def no_prefill_upstream(self) -> Step:
        """Return the step where no prefill upstream is available: a decode upstream prefills by itself."""
        if self._prefill_is_paid:
            self._uncount_arrival()
        return self._run(None) if self._may_arrive(1) else Refuse()

    # ---- the run

    def _run(self, handle: Handle | None) -> Step:
        self._count_arrival()
        return Run(handle)

    def run_ended(self, end: CallEnd, keeps_handle: bool = False) -> Step:
        """Return the step after a run without a usable answer; `keeps_handle`: it may still be fetched."""
        self.has_broken |= end is CallEnd.BROKEN
        if end is CallEnd.UNSENT:
            self._uncount_arrival()
            self._unsent += 1
            if self._unsent < MAX_UNSENT:
                return self._run(self.handle)
            return self._give_up()
        if end is CallEnd.LATE:
            self.may_have_run = True
            return Abort() if self.started else Fail(504)
        if end is CallEnd.BROKEN:
            self.may_have_run = True
            repeatable = self._resumable if self.started else self._idempotent
            if not repeatable:
                return Abort() if self.started else Fail(502)
            self.handle = None
        if not self._may_arrive(1):
            return self._give_up()
        if not keeps_handle:
            self.handle = None
        return self._run(self.handle)

    def on_answer_begun(self, is_stream: bool) -> None:
        """Note that the client gets the beginning of the answer; only an event stream can be resumed."""
        self.started = True
        self._resumable = self._resumable and is_stream

    def may_repeat(self) -> bool:
        """Return whether the run in flight may be abandoned for another one."""
        return (self._resumable if self.started else self._idempotent) and self._may_arrive(1)

    def no_run_upstream(self) -> Step:
        """Return the step where no upstream is available for a run."""
        self._uncount_arrival()
        return self._give_up()

    def _give_up(self) -> Step:
        if self.started:
            return Abort()
        return Fail(502) if self.may_have_run else Refuse()

    def on_expired(self, step: Prefill | Run) -> Step:
        """Return the final step where the client's deadline passed before `step` could be executed."""
        if self._prefill_is_paid or isinstance(step, Run):
            self._uncount_arrival()
        return self._give_up()

    # ---- accounting

    def _may_arrive(self, more: int) -> bool:
        """Return whether tries and budget allow this many more arrivals."""
        paid = self._arrivals + self._is_uncertain
        return self._arrivals + more <= self._tries and self._budget.allows(paid + more - max(paid, 1))

    def _count_arrival(self) -> None:
        self._arrivals += 1
        if self._arrivals + self._is_uncertain > 1:
            self._budget.spend()

    def _uncount_arrival(self) -> None:
        if self._arrivals + self._is_uncertain > 1:
            self._budget.refund()
        self._arrivals -= 1

    def _set_uncertain(self, uncertain: bool) -> None:
        """Set whether the budget counts a prefill call that may have arrived without being accepted."""
        if uncertain != self._is_uncertain and self._arrivals:
            if uncertain:
                self._budget.spend()
            else:
                self._budget.refund()
        self._is_uncertain = uncertain
