"""Digests of sets of adds by time span, with which two replicas find their differences in a few comparisons.

The spans form a tree: a leaf spans `LEAF_MS`, and each higher node spans `FAN` nodes of the level below. A
node holds the number of adds in its span and the sum of their hashes, so it doesn't depend on the order of
arrival.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from tallies.messages import Add, RangeDigest

LEAF_MS = 64
FAN = 16
LEVELS = 10  # The root is level 9 and spans 139 years.
ROOT = (LEVELS - 1, 0)
MAX_STAMP = LEAF_MS * FAN ** (LEVELS - 1) - 1
MODULUS = 2**64

Node = tuple[int, int]  # Level and index.


def hash_of(add: Add) -> int:
    """Returns a 64-bit hash of one add."""
    text = f"{add.tally}\0{add.id}\0{add.amount}\0{add.stamp}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def encode_hash_sum(total: int) -> bytes:
    """Returns a hash sum as it is sent."""
    return total.to_bytes(8)


def span_ms(level: int) -> int:
    """Returns the length of a node's span in ms, by level."""
    return LEAF_MS * int(FAN**level)


class DigestTree:
    """The adds of one replica by time; the caller ensures that they are unique by tally and id."""

    def __init__(self) -> None:
        self._sums: dict[Node, tuple[int, int]] = {}  # Count and hash sum.
        self._leaves: dict[int, dict[tuple[str, str], Add]] = {}

    def insert(self, add: Add) -> None:
        """Adds one entry."""
        leaf = add.stamp // LEAF_MS
        self._leaves.setdefault(leaf, {})[add.tally, add.id] = add
        self._adjust(leaf, 1, hash_of(add))

    def remove(self, add: Add) -> None:
        """Removes one entry."""
        leaf = add.stamp // LEAF_MS
        entries = self._leaves[leaf]
        del entries[add.tally, add.id]
        if not entries:
            del self._leaves[leaf]
        self._adjust(leaf, -1, -hash_of(add))

    def _adjust(self, leaf: int, count: int, total: int) -> None:
        index = leaf
        for level in range(LEVELS):
            before = self._sums.get((level, index), (0, 0))
            after = before[0] + count, (before[1] + total) % MODULUS
            if after[0]:
                self._sums[level, index] = after
            else:
                del self._sums[level, index]
            index //= FAN

    def sum_of(self, node: Node) -> tuple[int, int]:
        """Returns the number of adds in a node and the sum of their hashes."""
        return self._sums.get(node, (0, 0))

    def sum_before(self, stamp: int) -> tuple[int, int]:
        """Returns count and hash sum of all adds before a time; it must be a multiple of the leaf span."""
        index = stamp // LEAF_MS
        count = total = 0
        for level in range(LEVELS - 1):
            first = index - index % FAN
            for sibling in range(first, index):
                node_sum = self.sum_of((level, sibling))
                count, total = count + node_sum[0], total + node_sum[1]
            index //= FAN
        return count, total % MODULUS

    def digest_of(self, node: Node) -> RangeDigest:
        """Returns the digest of a node as it is sent."""
        count, total = self.sum_of(node)
        return RangeDigest(*node, count, encode_hash_sum(total))

    def children_of(self, node: Node) -> list[RangeDigest]:
        """Returns the digests of the non-empty child nodes, the newest first."""
        level, index = node
        below = ((level - 1, i) for i in range(index * FAN + FAN - 1, index * FAN - 1, -1))
        return [self.digest_of(child) for child in below if child in self._sums]

    def adds_in(self, node: Node) -> Iterator[Add]:
        """Yields the adds in a node, the newest spans first."""
        if node not in self._sums:
            return
        if node[0] == 0:
            yield from self._leaves[node[1]].values()
            return
        for child in self.children_of(node):
            yield from self.adds_in((child.level, child.index))

    def adds_before(self, stamp: int) -> list[Add]:
        """Returns the adds before a time; it must be a multiple of the leaf span."""
        last = stamp // LEAF_MS
        old = [leaf for leaf in self._leaves if leaf < last]
        return [add for leaf in old for add in self._leaves[leaf].values()]


def sum_of(adds: Iterable[Add]) -> tuple[int, int]:
    """Returns the number of adds and the sum of their hashes."""
    count = total = 0
    for add in adds:
        count, total = count + 1, total + hash_of(add)
    return count, total % MODULUS
