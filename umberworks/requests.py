"""Open requests and their attempts, as the decisions keep them (the contract: umberworks/interface.py)."""

from __future__ import annotations

from umberworks import interface as face
from umberworks.members import Server


class Attempt:
    """One call to a server."""

    def __init__(self, server: Server, now: float, timeout: float) -> None:
        self.server, self.sent, self.ends = server, now, now + timeout
        self.out, self.ran = True, True  # it may have run until its outcome proves otherwise
        self.started = False  # its answer has begun
        self.owing = False  # it is counted among the calls that its server owes an answer to
        self.apart = False  # at a suspect: it takes up no room
        self.paid = False  # called off to be made elsewhere, out of the savings


class Request:
    """One request that is owed an answer, or whose attempts are still out."""

    def __init__(self, event: face.RequestArrived, cls: face.RequestClass, now: float) -> None:
        self.id, self.cls, self.whole = event.request, cls, event.whole
        self.remaining = event.remaining_ms
        self.deadline, self.aim_at = now + self.remaining, now + cls.aim_ms
        self.attempts: list[Attempt] = []
        self.owed, self.over_share, self.streaming = True, False, False
        self.later = False  # taken for a later try of one that went unserved

    def complete(self, now: float) -> None:
        """Its last byte has come: its time runs from here."""
        self.whole, self.deadline, self.aim_at = True, now + self.remaining, now + self.cls.aim_ms
        for attempt in self.attempts:
            attempt.ends += now - attempt.sent

    def ran(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if a.ran), None)

    def is_out(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(a.out for a in self.attempts)

    def time_left(self, now: float) -> float:
        """How long an answer is worth anything; of a request not whole, as if its last byte came now."""
        deadline, aim_at = self.deadline, self.aim_at
        if not self.whole:
            deadline, aim_at = now + self.remaining, now + self.cls.aim_ms
        return (deadline if self.cls.late_share > 0 else min(deadline, aim_at)) - now
