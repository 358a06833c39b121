"""The memory of one engine: blocks of tokens, parts of prompts that are kept, and what gives way.

A part is held by as many requests and handles as use it; one that nobody uses is kept until room is needed,
and those unused longest give way first. Sizes in tokens, rounded up to blocks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

Part = tuple[str, int]  # id, tokens


@dataclass(slots=True)
class Handle:
    """Memory of a prompt that was read."""

    parts: tuple[Part, ...]
    tokens: int
    taken: bool = False


class Memory:
    """What an engine holds."""

    def __init__(self, size: int, block: int) -> None:
        self._size, self._block = size, block
        self._held: dict[str, list[int]] = {}  # id: how many use it, its tokens in blocks
        self._idle: OrderedDict[str, int] = (
            OrderedDict()
        )  # id: its tokens in blocks; the longest unused first
        self._read = set[str]()  # those, held or idle, that are there: others are still being read
        self.used = 0  # by what can't give way
        self._kept = 0  # by what can

    def blocks(self, tokens: int) -> int:
        """So many tokens, in whole blocks."""
        return -(-tokens // self._block) * self._block

    def kept(self, parts: Sequence[Part]) -> tuple[int, int]:
        """How many of the parts are there without a gap, from the first on, and their tokens."""
        found = count = 0
        for name, tokens in parts:
            if name not in self._read:
                break
            found += tokens
            count += 1
        return count, found

    def read(self, parts: Iterable[Part]) -> None:
        """These parts, which are held, have been read or fetched."""
        self._read.update(name for name, _ in parts)

    def fits_ever(self, tokens: int) -> bool:
        """Whether an engine with nothing else to hold could."""
        return self.blocks(tokens) <= self._size

    def has(self, tokens: int) -> bool:
        """Whether so much room can be made."""
        return self.used + tokens <= self._size

    def hold(self, parts: Iterable[Part]) -> bool:
        """Hold these parts, whether they are there or are to be read; False if there is no room."""
        parts = tuple(parts)
        new = sum(self.blocks(t) for n, t in parts if n not in self._held)
        if not self.has(new):
            return False
        for name, tokens in parts:
            entry = self._held.get(name)
            if entry is not None:
                entry[0] += 1
                continue
            size = self._idle.pop(name, 0)
            self._kept -= size
            size = size or self.blocks(tokens)
            self._held[name] = [1, size]
            self.used += size
        self._give_way()
        return True

    def release(self, parts: Iterable[Part], keep: bool = True) -> None:
        """One that used these parts has ended; with `keep` they stay until room is needed."""
        for name, _ in parts:
            entry = self._held[name]
            entry[0] -= 1
            if entry[0]:
                continue
            del self._held[name]
            self.used -= entry[1]
            if keep and name in self._read:
                self._idle[name] = entry[1]
                self._kept += entry[1]
            else:
                self._read.discard(name)

    def grow(self, tokens: int) -> bool:
        """Room for tokens that are written; False if there is none."""
        if not self.has(tokens):
            return False
        self.used += tokens
        self._give_way()
        return True

    def shrink(self, tokens: int) -> None:
        """Room for written tokens is given back."""
        self.used -= tokens

    def _give_way(self) -> None:
        while self.used + self._kept > self._size:
            name, size = self._idle.popitem(last=False)
            self._read.discard(name)
            self._kept -= size
