"""The actions that a replica asks its host to carry out, and the replica's settings."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from consensus.codec import Record
from consensus.messages import Message
from consensus.spread import Spread
from consensus.views import Document, View


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the process at an IP; one to the sender's own IP is delivered to itself."""

    ip: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Sync a record and send `then` afterwards; if the disk refuses the record, `then` is never sent."""

    record: Record
    then: tuple[Send, ...]


class Verdict(enum.Enum):
    """The outcome of an operator's command."""

    DONE = "done"
    STALE = "stale"  # The current version is not the one that the change is based on.
    NOT_ABOVE = "not above"  # Its version is not above the current one.
    UNSURE = "unsure"  # Its version is older than the history, so whether it was accepted is not known.
    MOVED = "moved"  # This process is not the primary, or no longer; another process can answer.


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a command, with the document that was current at the replica that took the command."""

    token: int
    verdict: Verdict
    document: Document | None = None


@dataclass(frozen=True, slots=True)
class Committed:
    """A document that is acknowledged or about to be, and permanent; its configuration may be applied."""

    epoch: int
    document: Document


@dataclass(frozen=True, slots=True)
class Lead:
    """This process is primary of a view from now on; with None, it is primary no longer."""

    view: View | None
    is_continuation: bool = False  # We led the base view too, so no other process has led in between.


Effect = Send | Persist | Reply | Committed | Lead


@dataclass(frozen=True, slots=True)
class Spec:
    """The size of the control group and its time-outs in milliseconds of a monotonic clock."""

    slots: int
    holders: int
    heartbeat_ms: float = 150.0
    leader_timeout_ms: float = 600.0  # Without a heartbeat for this long, the primary is considered lost.
    stage_timeout_ms: float = 500.0  # Time limit for each stage of a campaign.
    member_timeout_ms: float = 450.0  # A holder that answers nothing for this long is replaced.
    write_timeout_ms: float = 350.0  # A write that some holder has not synced within this time ends the view.
    quorum_timeout_ms: float = 900.0  # A primary that cannot reach a majority for this long steps down.
    dead_after_ms: float = 1_500.0  # A member silent for this long loses its slot to a waiting newcomer.
    join_interval_ms: float = 250.0
    bootstrap_timeout_ms: float = 2_500.0  # The bootstrap process waits this long for all members to arrive.
    spread: Spread = field(default_factory=Spread)
