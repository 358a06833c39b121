"""Views, which define the primary, holders and voters of an epoch, and the document that holders store."""

from __future__ import annotations

import enum
from bisect import bisect_left
from dataclasses import dataclass, field
from operator import attrgetter

MAX_HISTORY = 4_096  # Changes in the history: about a day's worth at 4,500 changes a day, in some 300 kB.


@dataclass(frozen=True, slots=True)
class Member:
    """One control process.

    `identity` is drawn with its disk and lost with it; `port` is for links between processes.
    """

    identity: str
    node: str
    ip: str
    port: int
    ctl: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class View:
    """The configuration of one epoch: members by slot (None if empty), primary and holders as slots."""

    epoch: int
    primary: int
    holders: tuple[int, ...]
    members: tuple[Member | None, ...]

    @property
    def majority(self) -> int:
        """The number of slots that form a majority."""
        return len(self.members) // 2 + 1

    def slot_of(self, identity: str) -> int | None:
        """Returns the slot of a member, None for other processes."""
        for slot, member in enumerate(self.members):
            if member is not None and member.identity == identity:
                return slot
        return None

    def member_at(self, slot: int) -> Member:
        """Returns the member at an occupied slot; raises ValueError for an empty one."""
        member = self.members[slot]
        if member is None:
            raise ValueError(f"slot {slot} is empty")
        return member

    def extra_member(self) -> Member | None:
        """Returns the last member of an enlarged view, recognized by its even size; None for other views."""
        return self.members[-1] if len(self.members) % 2 == 0 else None

    def leader(self) -> Member:
        """Returns the primary."""
        return self.member_at(self.primary)


@dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """An accepted version, and the digest of the configuration sent with it."""

    ver: int
    digest: str


class ChangeStatus(enum.Enum):
    """Whether a change was ever accepted, according to the history."""

    ACCEPTED = "taken"
    NOT_ACCEPTED = "never"
    UNKNOWN = "forgotten"  # The version is older than the whole history.


@dataclass(frozen=True, slots=True)
class Document:
    """The replicated document: the newest configuration as sent by the operator, and the history of changes.

    Versions strictly increase, so the history is sorted and `ver` is its last entry. It holds the newest
    `MAX_HISTORY` changes, which bounds the cost of storing and sending it.
    """

    number: int = 0  # Number of the write that produced it, counted from 1.
    ver: int = 0
    body: bytes = b""
    taken: tuple[AcceptedVersion, ...] = ()  # Oldest first.

    def change_status(self, ver: int, digest: str) -> ChangeStatus:
        """Returns whether this exact configuration was ever accepted.

        A change that is not in the history was never accepted, unless the history is truncated and the
        version is older than its oldest entry. The answer is then unknown, and the caller gets neither an
        acknowledgement nor a refusal.
        """
        if ver > self.ver:
            return ChangeStatus.NOT_ACCEPTED
        is_truncated = self.number > len(self.taken)
        if is_truncated and (not self.taken or ver < self.taken[0].ver):
            return ChangeStatus.UNKNOWN
        position = bisect_left(self.taken, ver, key=attrgetter("ver"))
        is_in_history = position < len(self.taken) and self.taken[position] == AcceptedVersion(ver, digest)
        return ChangeStatus.ACCEPTED if is_in_history else ChangeStatus.NOT_ACCEPTED

    def after(self, ver: int, body: bytes, digest: str) -> Document:
        """Returns the document after one more write."""
        taken = (*self.taken, AcceptedVersion(ver, digest))[-MAX_HISTORY:]
        return Document(self.number + 1, ver, body, taken)

    def latest_change(self) -> Document:
        """Returns the last write only, without the earlier history, as it is sent and logged."""
        return Document(self.number, self.ver, self.body, self.taken[-1:])

    def accepts(self, change: Document) -> bool:
        """Whether a write is the next one or a repeat of the last one."""
        if change.number == self.number:
            return self.latest_change() == change.latest_change()
        return change.number == self.number + 1 and bool(change.taken)

    def with_change(self, change: Document) -> Document:
        """Returns the document after a write; raises ValueError unless it is the next or the last one.

        Earlier releases send and log the whole document with each write; only its last change counts.
        """
        if not self.accepts(change):
            raise ValueError(f"write {change.number} does not follow write {self.number}")
        if change.number == self.number:
            return self
        return self.after(change.ver, change.body, change.taken[-1].digest)


@dataclass(slots=True)
class DurableState:
    """The state of a control process that must survive restarts; each change is synced before it is sent."""

    identity: str
    promised: int = 0  # No lower epoch is accepted any more.
    view: View | None = None
    document: Document = field(default_factory=Document)

    def slot(self) -> int | None:
        """Returns this process's slot in the accepted view, None if it has none."""
        return None if self.view is None else self.view.slot_of(self.identity)

    def is_holder(self) -> bool:
        """Whether this process holds the data of the accepted view."""
        return self.view is not None and self.slot() in self.view.holders
