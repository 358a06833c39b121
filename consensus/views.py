"""Views: who is primary, who holds data and who votes in one epoch; and the document that holders keep."""

from __future__ import annotations

import enum
from bisect import bisect_left
from dataclasses import dataclass, field
from operator import attrgetter

MAX_HISTORY = 4_096  # changes in the history: about a day at 4,500 a day, in some 300 kB


@dataclass(frozen=True, slots=True)
class Member:
    """One control process: `identity` is drawn with its disk and lost with it; `port` is its links'."""

    identity: str
    node: str
    ip: str
    port: int
    ctl: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class View:
    """One epoch: members by slot (None: nobody yet), the primary's slot and the slots that hold data."""

    epoch: int
    primary: int
    holders: tuple[int, ...]
    members: tuple[Member | None, ...]

    @property
    def majority(self) -> int:
        """How many slots make more than half."""
        return len(self.members) // 2 + 1

    def slot_of(self, identity: str) -> int | None:
        """The slot of a member; None if it is none."""
        for slot, member in enumerate(self.members):
            if member is not None and member.identity == identity:
                return slot
        return None

    def member_at(self, slot: int) -> Member:
        """The member at a slot that is taken."""
        member = self.members[slot]
        if member is None:
            raise ValueError(f"slot {slot} is empty")
        return member

    def extra_member(self) -> Member | None:
        """The member that a view with one more than an odd number has beside them, until one is removed."""
        return self.members[-1] if len(self.members) % 2 == 0 else None

    def leader(self) -> Member:
        """The primary."""
        return self.member_at(self.primary)


@dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """A version that was taken once, and the digest of what was sent under its number."""

    ver: int
    digest: str


class ChangeStatus(enum.Enum):
    """Whether a change was ever taken, as far as the history tells."""

    ACCEPTED = "taken"
    NOT_ACCEPTED = "never"
    UNKNOWN = "forgotten"  # its version is older than all that the history holds


@dataclass(frozen=True, slots=True)
class Document:
    """What the holders keep: the newest configuration as it was sent, and the history of changes.

    Versions rise strictly, so the history is sorted and `ver` is its last. It holds the newest changes, at
    most `MOST_REMEMBERED`: keeping and sending it has a bound, however many changes there have been.
    """

    number: int = 0  # of the write that made it, counted from 1
    ver: int = 0
    body: bytes = b""
    taken: tuple[AcceptedVersion, ...] = ()  # the oldest first

    def change_status(self, ver: int, digest: str) -> ChangeStatus:
        """Whether this very configuration was taken once.

        What is not in the history was never taken, unless the history is cut and the version is older than
        its oldest: then nobody can tell, and the caller gets neither an acknowledgement nor a refusal.
        """
        if ver > self.ver:
            return ChangeStatus.NOT_ACCEPTED
        is_cut = self.number > len(self.taken)
        if is_cut and (not self.taken or ver < self.taken[0].ver):
            return ChangeStatus.UNKNOWN
        place = bisect_left(self.taken, ver, key=attrgetter("ver"))
        is_there = place < len(self.taken) and self.taken[place] == AcceptedVersion(ver, digest)
        return ChangeStatus.ACCEPTED if is_there else ChangeStatus.NOT_ACCEPTED

    def after(self, ver: int, body: bytes, digest: str) -> Document:
        """The document that the next write makes."""
        taken = (*self.taken, AcceptedVersion(ver, digest))[-MAX_HISTORY:]
        return Document(self.number + 1, ver, body, taken)

    def latest_change(self) -> Document:
        """The last write alone, as it is sent and logged: without the history before it."""
        return Document(self.number, self.ver, self.body, self.taken[-1:])

    def accepts(self, change: Document) -> bool:
        """Whether a write is the next one, or the last one once more."""
        if change.number == self.number:
            return self.latest_change() == change.latest_change()
        return change.number == self.number + 1 and bool(change.taken)

    def with_change(self, change: Document) -> Document:
        """The document after a write; raises ValueError for one that is not next, nor the last once more.

        Earlier releases send and log the whole document with each write; its last change is all that counts.
        """
        if not self.accepts(change):
            raise ValueError(f"write {change.number} does not follow write {self.number}")
        if change.number == self.number:
            return self
        return self.after(change.ver, change.body, change.taken[-1].digest)


@dataclass(slots=True)
class DurableState:
    """What a control process must not forget; every change of it is synced before anybody hears of it."""

    identity: str
    promised: int = 0  # nothing of an epoch below is accepted any more
    view: View | None = None
    document: Document = field(default_factory=Document)

    def slot(self) -> int | None:
        """Our slot in the view that we know."""
        return None if self.view is None else self.view.slot_of(self.identity)

    def is_holder(self) -> bool:
        """Whether we hold the data of the view that we know."""
        return self.view is not None and self.slot() in self.view.holders
