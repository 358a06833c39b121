"""State of open requests and their attempts (the contract: umberworks/interface.py)."""

from __future__ import annotations

from umberworks import interface as face
from umberworks.members import Server


class Attempt:
    """One call to a server on behalf of a request."""

    def __init__(self, server: Server, now: float, timeout: float) -> None:
        self.server, self.sent, self.ends_at = server, now, now + timeout
        self.open, self.may_have_run = True, True  # no outcome yet; may have run until that is ruled out
        self.started = False  # its answer has begun
        self.is_awaited = False  # counted among the unanswered calls of its server
        self.is_uncounted = False  # at a suspected server: not counted against the concurrency limit
        self.is_paid = False  # cancelled to be made elsewhere; the retry budget has been charged for it


class Request:
    """One request that awaits its answer, or that still has attempts in flight."""

    def __init__(self, event: face.RequestArrived, cls: face.RequestClass, now: float) -> None:
        self.id, self.cls, self.whole = event.request, cls, event.whole
        self.remaining = event.remaining_ms
        self.deadline, self.aim_at = now + self.remaining, now + cls.aim_ms
        self.attempts: list[Attempt] = []
        self.is_open, self.over_share, self.streaming = True, False, False
        self.is_retry = False  # taken for a client's retry of a request that went unserved

    def on_complete(self, now: float) -> None:
        """Start the request's deadlines at `now`, when its last byte has arrived."""
        self.whole, self.deadline, self.aim_at = True, now + self.remaining, now + self.cls.aim_ms
        for attempt in self.attempts:
            attempt.ends_at += now - attempt.sent

    def first_executed(self) -> Attempt | None:
        """Return the first attempt that may have run."""
        return next((a for a in self.attempts if a.may_have_run), None)

    def has_calls(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        return any(a.open for a in self.attempts)

    def useful_ms(self, now: float) -> float:
        """Return how long an answer is of use; of an incomplete request, as if its last byte came now."""
        deadline, aim_at = self.deadline, self.aim_at
        if not self.whole:
            deadline, aim_at = now + self.remaining, now + self.cls.aim_ms
        return (deadline if self.cls.late_share > 0 else min(deadline, aim_at)) - now
