"""Random numbers: a stream of its own for each part of the world, all from one seed.

A part's stream is named by its path ("machine", 12), so that another part may draw more, less or not at all
without moving this one's draws. The name is hashed with CRC-32, which no run or platform changes.
"""

from __future__ import annotations

import zlib
from typing import Literal

import numpy as np

BLOCK = 256  # draws fetched at once: one draw at a time costs some ten times as much

Draw = Literal["uniform", "normal"]


def generator(seed: int, *path: str | int) -> np.random.Generator:
    """The random numbers of one part."""
    key = zlib.crc32("/".join(map(str, path)).encode())
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=(key,))))


class Stream:
    """Single draws from a part's random numbers."""

    def __init__(self, seed: int, *path: str | int) -> None:
        self._generator = generator(seed, *path)
        self._uniform: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """A number from 0 up to but not including 1."""
        if not self._uniform:
            self._uniform = self._generator.random(BLOCK).tolist()
        return self._uniform.pop()

    def normal(self) -> float:
        """A number around 0 with deviation 1."""
        if not self._normal:
            self._normal = self._generator.standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def between(self, low: float, high: float) -> float:
        """A number from a range, evenly."""
        return low + (high - low) * self.uniform()

    def factor(self, spread: float) -> float:
        """A factor around 1, never under a fifth: noise of `spread` on a measure."""
        return max(1.0 + spread * self.normal(), 0.2)

    def below(self, count: int) -> int:
        """A whole number from 0 up to but not including `count`."""
        return int(self.uniform() * count)

    def order(self, of: int) -> list[int]:
        """All numbers below `of`, shuffled."""
        return [int(i) for i in self._generator.permutation(of)]

    def some(self, count: int, of: int) -> list[int]:
        """`count` different numbers below `of`, in ascending order."""
        return sorted(self.order(of)[: max(0, count)])
