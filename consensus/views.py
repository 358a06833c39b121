"""Views: who is primary, who holds data and who votes in one epoch; and the document that holders keep."""

from __future__ import annotations

from dataclasses import dataclass, field

MOST_TAKEN = 512  # versions remembered as taken: an operator resends within seconds


@dataclass(frozen=True, slots=True)
class Member:
    """One control process: `identity` is drawn with its disk and lost with it; `port` is the station port."""

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

    def at(self, slot: int) -> Member:
        """The member at a slot that is taken."""
        member = self.members[slot]
        if member is None:
            raise ValueError(f"slot {slot} is empty")
        return member

    def leader(self) -> Member:
        """The primary."""
        return self.at(self.primary)


@dataclass(frozen=True, slots=True)
class Taken:
    """A version that was taken once, and the digest of what was sent under its number."""

    ver: int
    digest: str


@dataclass(frozen=True, slots=True)
class Document:
    """What the holders keep: the newest configuration as it was sent, and which versions were ever taken."""

    number: int = 0  # of the write that made it, counted from 1
    ver: int = 0
    body: bytes = b""
    taken: tuple[Taken, ...] = ()  # the oldest first

    def holds(self, ver: int, digest: str) -> bool:
        """Whether this very configuration was taken once."""
        return Taken(ver, digest) in self.taken

    def after(self, ver: int, body: bytes, digest: str) -> Document:
        """The document that the next write makes."""
        taken = (*self.taken, Taken(ver, digest))[-MOST_TAKEN:]
        return Document(self.number + 1, ver, body, taken)


@dataclass(slots=True)
class Memory:
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
