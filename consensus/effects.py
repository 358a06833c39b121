"""What the control machine asks of its host, and how it may be set."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from consensus.codec import Record
from consensus.messages import Message
from consensus.spread import Spread
from consensus.views import Document, View


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the process at an IP; the sender's own IP brings it back to itself."""

    ip: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Sync a record, and only then send `then`; if the disk refuses, never."""

    record: Record
    then: tuple[Send, ...]


class Verdict(enum.Enum):
    """What became of an operator's call."""

    DONE = "done"
    STALE = "stale"  # another version is in place
    NOT_ABOVE = "not above"  # its number is not above that of the version in place
    UNSURE = "unsure"  # its version is older than the history, so nobody can tell whether it was taken
    MOVED = "moved"  # we are not the primary, or no longer: another can tell


@dataclass(frozen=True, slots=True)
class Reply:
    """The outcome of a command; with the document that was in place where it was asked for."""

    token: int
    verdict: Verdict
    document: Document | None = None


@dataclass(frozen=True, slots=True)
class Committed:
    """This document is acknowledged or about to be, and stays: it may be in force."""

    epoch: int
    document: Document


@dataclass(frozen=True, slots=True)
class Lead:
    """We are primary of this view from now on; None: no longer."""

    view: View | None
    is_continuation: bool = False  # we led the view that it came from, so nobody else has led since


Effect = Send | Persist | Reply | Committed | Lead


@dataclass(frozen=True, slots=True)
class Spec:
    """The shape of the control state and its times, in milliseconds of the steady clock."""

    slots: int
    holders: int
    heartbeat_ms: float = 150.0
    leader_timeout_ms: float = 600.0  # without a beat for so long the primary is taken for lost
    stage_timeout_ms: float = 500.0  # each stage of a campaign
    member_timeout_ms: float = 450.0  # a holder that answers nothing for so long is replaced
    write_timeout_ms: float = 350.0  # a write that is not synced everywhere by then ends the view
    quorum_timeout_ms: float = 900.0  # a primary that hears no majority for so long stands down
    dead_after_ms: float = 1_500.0  # a member silent for so long loses its slot to one that waits
    join_interval_ms: float = 250.0
    bootstrap_timeout_ms: float = 2_500.0  # the founder waits so long for all to come
    spread: Spread = field(default_factory=Spread)
