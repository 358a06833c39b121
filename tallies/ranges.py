"""Digests of sets of adds by ranges of time: two replicas find what they lack by comparing few of them.

A tree of spans: a leaf is `LEAF_MS` long, a node of the next level spans `FAN` of those. Each node has the
number of adds within and the sum of their hashes, so that it does not depend on the order in which they
came.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from tallies.messages import Add, RangeDigest

LEAF_MS = 64
FAN = 16
LEVELS = 10  # the root is level 9: it spans 139 years
ROOT = (LEVELS - 1, 0)
MAX_STAMP = LEAF_MS * FAN ** (LEVELS - 1) - 1
MODULUS = 2**64

Node = tuple[int, int]  # level and index


def hash_of(add: Add) -> int:
    """64 bits that stand for one add."""
    text = f"{add.tally}\0{add.id}\0{add.amount}\0{add.stamp}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def encode_hash_sum(total: int) -> bytes:
    """A sum of hashes as it goes to others."""
    return total.to_bytes(8)


def span_ms(level: int) -> int:
    """How much time a node of a level spans."""
    return LEAF_MS * int(FAN**level)


class DigestTree:
    """The adds of one replica by time; they are unique by tally and id, which its owner sees to."""

    def __init__(self) -> None:
        self._sums: dict[Node, tuple[int, int]] = {}  # adds and the sum of their hashes
        self._leaves: dict[int, dict[tuple[str, str], Add]] = {}

    def insert(self, add: Add) -> None:
        """One more."""
        leaf = add.stamp // LEAF_MS
        self._leaves.setdefault(leaf, {})[add.tally, add.id] = add
        self._adjust(leaf, 1, hash_of(add))

    def remove(self, add: Add) -> None:
        """One less."""
        leaf = add.stamp // LEAF_MS
        held = self._leaves[leaf]
        del held[add.tally, add.id]
        if not held:
            del self._leaves[leaf]
        self._adjust(leaf, -1, -hash_of(add))

    def _adjust(self, leaf: int, count: int, total: int) -> None:
        index = leaf
        for level in range(LEVELS):
            known = self._sums.get((level, index), (0, 0))
            changed = known[0] + count, (known[1] + total) % MODULUS
            if changed[0]:
                self._sums[level, index] = changed
            else:
                del self._sums[level, index]
            index //= FAN

    def sum_of(self, node: Node) -> tuple[int, int]:
        """How many adds there are within, and the sum of their hashes."""
        return self._sums.get(node, (0, 0))

    def sum_before(self, stamp: int) -> tuple[int, int]:
        """The same of all adds before a time that is a whole number of leaves."""
        index = stamp // LEAF_MS
        count = total = 0
        for level in range(LEVELS - 1):
            first = index - index % FAN
            for sibling in range(first, index):
                held = self.sum_of((level, sibling))
                count, total = count + held[0], total + held[1]
            index //= FAN
        return count, total % MODULUS

    def digest_of(self, node: Node) -> RangeDigest:
        """A node as others are told of it."""
        count, total = self.sum_of(node)
        return RangeDigest(*node, count, encode_hash_sum(total))

    def children_of(self, node: Node) -> list[RangeDigest]:
        """The nodes below one that hold anything, the newest first."""
        level, index = node
        below = ((level - 1, i) for i in range(index * FAN + FAN - 1, index * FAN - 1, -1))
        return [self.digest_of(child) for child in below if child in self._sums]

    def adds_in(self, node: Node) -> Iterator[Add]:
        """The adds within, the newest spans first."""
        if node not in self._sums:
            return
        if node[0] == 0:
            yield from self._leaves[node[1]].values()
            return
        for child in self.children_of(node):
            yield from self.adds_in((child.level, child.index))

    def adds_before(self, stamp: int) -> list[Add]:
        """The adds before a time that is a whole number of leaves."""
        last = stamp // LEAF_MS
        old = [leaf for leaf in self._leaves if leaf < last]
        return [add for leaf in old for add in self._leaves[leaf].values()]


def sum_of(adds: Iterable[Add]) -> tuple[int, int]:
    """How many there are, and the sum of their hashes."""
    count = total = 0
    for add in adds:
        count, total = count + 1, total + hash_of(add)
    return count, total % MODULUS
