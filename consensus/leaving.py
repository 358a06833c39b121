"""Planned departures: a member that shuts down stays until the active view no longer depends on it.

The member notifies the leader repeatedly. The leader replaces it as a holder, gives its slot to a newcomer if
one is waiting, and releases it once both changes are in force. Only then does its process exit, so that an
unplanned loss right after a planned stop finds as many copies and votes as before.
"""

from __future__ import annotations

from collections.abc import Callable

from consensus.effects import Effect, Send
from consensus.messages import LeaveAck, LeaveRequest
from consensus.views import Member

RESEND_MS = 100.0  # Interval between a leaving member's notices.
SETTLE_MS = 50.0  # How long a leader that shuts down waits for notices from other leaving members.
# A member without a notice for this long is leaving no longer: it has restarted, or is gone.
EXPIRY_MS = 1_000.0


class LeavingMembers:
    """The members that this process knows to be shutting down."""

    def __init__(self) -> None:
        self._notified_at: dict[str, float] = {}  # By identity.

    def add(self, identity: str, now: float) -> None:
        """Records a notice from a member that is leaving or has named us its successor."""
        self._notified_at[identity] = now

    def expire(self, now: float) -> None:
        """Drops members that have sent no notice for a while."""
        self._notified_at = {
            identity: at for identity, at in self._notified_at.items() if now - at < EXPIRY_MS
        }

    def identities(self) -> frozenset[str]:
        """Returns the identities of all leaving members."""
        return frozenset(self._notified_at)


class Departure:
    """The departure of this process: from the start of the shutdown until the leader has released it."""

    def __init__(self, identity: str, emit: Callable[[Effect], None]) -> None:
        self._identity, self._emit = identity, emit
        self.is_begun = False
        self.is_released = False
        self._begun_at = self._sent_at = -1e12

    def begin(self, now: float) -> None:
        """Starts the shutdown."""
        self.is_begun, self._begun_at = True, now

    def is_settled(self, now: float) -> bool:
        """Whether notices from members that were stopped at the same moment have had time to arrive."""
        return now - self._begun_at >= SETTLE_MS

    def tick(self, leader: Member | None, now: float) -> None:
        """Notifies the leader again when due; called while this process doesn't lead."""
        is_due = self.is_begun and not self.is_released and now - self._sent_at >= RESEND_MS
        if is_due and leader is not None and leader.identity != self._identity:
            self._sent_at = now
            self._emit(Send(leader.ip, LeaveRequest(self._identity, leader.identity)))

    def on_released(self, message: LeaveAck) -> None:
        """Handles the leader's message that no view depends on this process any more."""
        self.is_released = self.is_released or (self.is_begun and message.to == self._identity)
