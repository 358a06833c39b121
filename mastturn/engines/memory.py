"""KV cache of one engine: reference-counted prompt parts with LRU eviction.

Requests and handles hold references to parts; unreferenced parts stay cached until room is needed, and the
least recently used are evicted first. Sizes are in tokens, rounded up to blocks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

Part = tuple[str, int]  # id, tokens


@dataclass(slots=True)
class Handle:
    """KV cache of a prefilled prompt, held for a decode upstream."""

    parts: tuple[Part, ...]
    tokens: int
    is_claimed: bool = False


class Memory:
    """The KV cache of an engine."""

    def __init__(self, size: int, block: int) -> None:
        self._size, self._block = size, block
        self._in_use: dict[str, list[int]] = {}  # id: references, size
        self._idle: OrderedDict[str, int] = OrderedDict()  # id: size; least recently used first
        self._computed = set[str]()  # computed parts, in use or idle; others are still in prefill
        self.used = 0  # size of what can't be evicted
        self._idle_size = 0  # size of idle parts

    def blocks(self, tokens: int) -> int:
        """Round tokens up to whole blocks."""
        return -(-tokens // self._block) * self._block

    def cached(self, parts: Sequence[Part]) -> tuple[int, int]:
        """Length of the computed prefix of `parts`: number of parts and tokens."""
        total = count = 0
        for name, tokens in parts:
            if name not in self._computed:
                break
            total += tokens
            count += 1
        return count, total

    def mark_computed(self, parts: Iterable[Part]) -> None:
        """Mark parts in use as computed or fetched."""
        self._computed.update(name for name, _ in parts)

    def can_ever_fit(self, tokens: int) -> bool:
        """Whether an empty cache could hold this many tokens."""
        return self.blocks(tokens) <= self._size

    def has_room(self, tokens: int) -> bool:
        """Whether this much room is free or can be freed by eviction."""
        return self.used + tokens <= self._size

    def acquire(self, parts: Iterable[Part]) -> bool:
        """Reference parts, computed or not; False if there is no room."""
        parts = tuple(parts)
        new_size = sum(self.blocks(t) for n, t in parts if n not in self._in_use)
        if not self.has_room(new_size):
            return False
        for name, tokens in parts:
            entry = self._in_use.get(name)
            if entry is not None:
                entry[0] += 1
                continue
            size = self._idle.pop(name, 0)
            self._idle_size -= size
            size = size or self.blocks(tokens)
            self._in_use[name] = [1, size]
            self.used += size
        self._evict()
        return True

    def release(self, parts: Iterable[Part], cache: bool = True) -> None:
        """Drop references to parts; with `cache`, unreferenced computed parts stay cached."""
        for name, _ in parts:
            entry = self._in_use[name]
            entry[0] -= 1
            if entry[0]:
                continue
            del self._in_use[name]
            self.used -= entry[1]
            if cache and name in self._computed:
                self._idle[name] = entry[1]
                self._idle_size += entry[1]
            else:
                self._computed.discard(name)

    def grow(self, tokens: int) -> bool:
        """Reserve room for generated tokens; False if there is none."""
        if not self.has_room(tokens):
            return False
        self.used += tokens
        self._evict()
        return True

    def shrink(self, tokens: int) -> None:
        """Give back room of generated tokens."""
        self.used -= tokens

    def _evict(self) -> None:
        while self.used + self._idle_size > self._size:
            name, size = self._idle.popitem(last=False)
            self._computed.discard(name)
            self._idle_size -= size
