"""Provides an independent random stream for each component of a simulation, all derived from one seed.

A component's stream is named by its path ("machine", 12), so that a change in the number of draws of one
component does not affect the others. The path is hashed with CRC-32, which is stable across runs and
platforms.
"""

from __future__ import annotations

import zlib
from typing import Literal

import numpy as np

BLOCK = 256  # draws fetched at once; single draws cost about ten times as much

Draw = Literal["uniform", "normal"]


def generator(seed: int, *path: str | int) -> np.random.Generator:
    """Return the random generator of one component."""
    key = zlib.crc32("/".join(map(str, path)).encode())
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=(key,))))


class Stream:
    """Draws single values from a component's random generator."""

    def __init__(self, seed: int, *path: str | int) -> None:
        self._generator = generator(seed, *path)
        self._uniform: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """Return a uniform draw from [0, 1)."""
        if not self._uniform:
            self._uniform = self._generator.random(BLOCK).tolist()
        return self._uniform.pop()

    def normal(self) -> float:
        """Return a standard normal draw."""
        if not self._normal:
            self._normal = self._generator.standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def between(self, low: float, high: float) -> float:
        """Return a uniform draw from a range."""
        return low + (high - low) * self.uniform()

    def factor(self, spread: float) -> float:
        """Return a noise factor around 1 with standard deviation `spread`, at least 0.2."""
        return max(1.0 + spread * self.normal(), 0.2)

    def below(self, count: int) -> int:
        """Return a uniform integer from 0 to `count` - 1."""
        return int(self.uniform() * count)

    def order(self, of: int) -> list[int]:
        """Return the integers below `of` in random order."""
        return [int(i) for i in self._generator.permutation(of)]

    def some(self, count: int, of: int) -> list[int]:
        """Return `count` distinct integers below `of` in ascending order."""
        return sorted(self.order(of)[: max(0, count)])
