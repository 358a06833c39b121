"""Planned departures: a member that is told to stop stays until the view no longer rests on it.

The member tells the leader, again and again. The leader replaces it as a holder of the data, gives its place
to a newcomer if one waits, and releases it once both are done and in force. Only then does its process end:
a second loss right after a planned stop finds as many copies and as many votes as before it.
"""

from __future__ import annotations

from collections.abc import Callable

from consensus.effects import Effect, Send
from consensus.messages import Leaving, Released
from consensus.views import Member

RESEND_MS = 100.0  # a member that leaves says so again until it is released
SETTLE_MS = 50.0  # a leader that is told to stop waits so long for others that leave too
EXPIRY_MS = 1_000.0  # one that has not said so for longer leaves no more: it has started again, or is gone


class LeavingMembers:
    """The members that are told to stop, as far as this process has heard."""

    def __init__(self) -> None:
        self._notified_at: dict[str, float] = {}  # by identity

    def add(self, identity: str, now: float) -> None:
        """A member says that it leaves, or has named us its successor."""
        self._notified_at[identity] = now

    def expire(self, now: float) -> None:
        """Who has not said so for a while leaves no more."""
        self._notified_at = {i: at for i, at in self._notified_at.items() if now - at < EXPIRY_MS}

    def identities(self) -> frozenset[str]:
        """All of them."""
        return frozenset(self._notified_at)


class Departure:
    """Our own departure: begun when the process is told to stop, over when the leader has released us."""

    def __init__(self, identity: str, emit: Callable[[Effect], None]) -> None:
        self._identity, self._emit = identity, emit
        self.is_begun = False
        self.is_released = False
        self._begun_at = self._sent_at = -1e12

    def begin(self, now: float) -> None:
        """The process is told to stop."""
        self.is_begun, self._begun_at = True, now

    def is_settled(self, now: float) -> bool:
        """Whether others that were told to stop in the same moment have been heard of."""
        return now - self._begun_at >= SETTLE_MS

    def tick(self, leader: Member | None, now: float) -> None:
        """Tell the leader once more if it is time; called while we don't lead ourselves."""
        due = self.is_begun and not self.is_released and now - self._sent_at >= RESEND_MS
        if due and leader is not None and leader.identity != self._identity:
            self._sent_at = now
            self._emit(Send(leader.ip, Leaving(self._identity, leader.identity)))

    def on_released(self, message: Released) -> None:
        """The leader says that nothing rests on us any more."""
        self.is_released = self.is_released or (self.is_begun and message.to == self._identity)
