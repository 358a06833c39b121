"""The messages between replicas of tallies; some of them are also the stored form.

Kind numbers and the order and types of fields are shared with earlier releases, so they don't change.
"""

from __future__ import annotations

from dataclasses import dataclass

from transport.schema import Int32
from transport.wire import MessageKinds

KINDS = MessageKinds()


@dataclass(frozen=True, slots=True)
class Add:
    """An amount added to a tally; `stamp`: wall-clock ms at which the first process accepted it."""

    tally: str
    id: str
    amount: int
    stamp: int


@dataclass(frozen=True, slots=True)
class RangeDigest:
    """The number of adds in a span of time and the sum of their hashes (see `tallies.digest_tree`)."""

    level: Int32
    index: int
    count: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class FoldedSum:
    """The sum of the folded adds of one tally."""

    tally: str
    sum: int


@KINDS.declare(120, nested=(Add,))
@dataclass(frozen=True, slots=True)
class PushAdds:
    """New adds; the receiver confirms with `PushAck` once they are on its disk."""

    number: int
    adds: tuple[Add, ...]


@KINDS.declare(121)
@dataclass(frozen=True, slots=True)
class PushAck:
    """The adds of a push are on the sender's disk."""

    number: int


@KINDS.declare(122)
@dataclass(frozen=True, slots=True)
class Summary:
    """The counts and hash sums of the sender's adds.

    They cover the folded adds, those before `settled_until` and all before `until`. Times are stamps.
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
class ChildDigests:
    """The digests of the non-empty child spans of a span."""

    level: Int32
    index: int
    below: tuple[RangeDigest, ...]


@KINDS.declare(124, nested=(Add,))
@dataclass(frozen=True, slots=True)
class RangeAdds:
    """The sender's adds in a span; with `answer`, the receiver replies with those that the sender lacks."""

    level: Int32
    index: int
    adds: tuple[Add, ...]
    answer: bool


@KINDS.declare(125)
@dataclass(frozen=True, slots=True)
class FoldedAddsRequest:
    """Requests the folded sums, because the sender lacks some of the folded adds."""

    until: int


@KINDS.declare(126, nested=(FoldedSum,))
@dataclass(frozen=True, slots=True)
class FoldedAdds:
    """The sender's folded sums: all adds before `until`."""

    until: int
    count: int
    digest: bytes
    tallies: tuple[FoldedSum, ...]


@KINDS.declare(127, nested=(Add, FoldedSum))
@dataclass(frozen=True, slots=True)
class Snapshot:
    """The complete state of a replica, as stored on disk."""

    until: int
    count: int
    digest: bytes
    tallies: tuple[FoldedSum, ...]
    adds: tuple[Add, ...]


Message = PushAdds | PushAck | Summary | ChildDigests | RangeAdds | FoldedAddsRequest | FoldedAdds
