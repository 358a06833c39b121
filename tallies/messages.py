"""What replicas of tallies say to each other, and what they keep on disk."""

from __future__ import annotations

from dataclasses import dataclass

from transport.schema import Int32
from transport.wire import MessageKinds

KINDS = MessageKinds()


@dataclass(frozen=True, slots=True)
class Add:
    """So much is added to a tally; `stamp`: when it was taken, in ms of the time of day of who took it."""

    tally: str
    id: str
    amount: int
    stamp: int


@dataclass(frozen=True, slots=True)
class RangeDigest:
    """How many adds lie in a span of time, and the sum of their hashes (see `tallies.ranges`)."""

    level: Int32
    index: int
    count: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class Folded:
    """The sum of the adds to a tally whose ids are no longer kept."""

    tally: str
    sum: int


@KINDS.declare(120, nested=(Add,))
@dataclass(frozen=True, slots=True)
class Push:
    """Adds that were just taken; the receiver says once they are on its disk."""

    number: int
    adds: tuple[Add, ...]


@KINDS.declare(121)
@dataclass(frozen=True, slots=True)
class Kept:
    """The adds of a push are on the sender's disk."""

    number: int


@KINDS.declare(122)
@dataclass(frozen=True, slots=True)
class Summary:
    """What the sender has: what is folded, what lies before `settled_until`, all that lies before `until`.

    Times are stamps, counts are adds, digests the sums of their hashes.
    """

    folded_until: int
    folded_count: int
    folded_digest: bytes
    settled_until: int
    settled_count: int
    settled_digest: bytes
    until: int
    count: int
    digest: bytes


@KINDS.declare(123, nested=(RangeDigest,))
@dataclass(frozen=True, slots=True)
class Digests:
    """The spans below one, those that hold nothing left out."""

    level: Int32
    index: int
    below: tuple[RangeDigest, ...]


@KINDS.declare(124, nested=(Add,))
@dataclass(frozen=True, slots=True)
class RangeAdds:
    """The sender's adds in a span; `answer`: it wants to hear of those that it lacks."""

    level: Int32
    index: int
    adds: tuple[Add, ...]
    answer: bool


@KINDS.declare(125)
@dataclass(frozen=True, slots=True)
class WantFolded:
    """The sender lacks some of what the receiver has folded."""

    until: int


@KINDS.declare(126, nested=(Folded,))
@dataclass(frozen=True, slots=True)
class FoldedAdds:
    """What the sender has folded: all adds before `until`."""

    until: int
    count: int
    digest: bytes
    tallies: tuple[Folded, ...]


@KINDS.declare(127, nested=(Add, Folded))
@dataclass(frozen=True, slots=True)
class State:
    """A whole replica as it lies on disk."""

    until: int
    count: int
    digest: bytes
    tallies: tuple[Folded, ...]
    adds: tuple[Add, ...]


Message = Push | Kept | Summary | Digests | RangeAdds | WantFolded | FoldedAdds
