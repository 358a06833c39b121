"""Simulates Theorem 3 of the paper: m = C balls into n bins of capacities c_i, with d draws by capacity each.

With high probability the maximum load stays below ln ln n / ln d + O(1); a single draw has no such bound.
Balls are placed one at a time by Algorithm 1 of the paper.
"""

from __future__ import annotations

import math
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate

from mastturn.emulator.chance import Stream


@dataclass(frozen=True, slots=True)
class BinLoad:
    """Result of one simulation: maximum load (balls over capacity), and the bound without its constant."""

    bins: int
    draws: int
    max_load: float
    bound: float


def fill_bins(capacities: list[int], draws: int, seed: int) -> BinLoad:
    """Place as many balls as the total capacity; raises ValueError for no bins or no draws."""
    if not capacities or draws < 1 or min(capacities) < 1:
        raise ValueError("capacities and draws have to be 1 or more")
    rng = Stream(seed, "bins", len(capacities), draws)
    cumulative = list(accumulate(capacities))
    balls = [0] * len(capacities)
    for _ in range(cumulative[-1]):
        best, chosen = (math.inf, 0, 0.0), 0
        for _ in range(draws):
            i = min(bisect(cumulative, rng.uniform() * cumulative[-1]), len(balls) - 1)
            load = ((balls[i] + 1) / capacities[i], -capacities[i], rng.uniform())
            if load < best:
                best, chosen = load, i
        balls[chosen] += 1
    maximum = max(count / c for count, c in zip(balls, capacities, strict=True))
    n = len(capacities)
    bound = math.log(math.log(n)) / math.log(draws) if draws > 1 and n > 2 else math.inf
    return BinLoad(n, draws, maximum, bound)


def mixed_capacities(bins: int, sizes: tuple[int, ...] = (1, 2, 3, 10)) -> list[int]:
    """Capacities of `bins` bins that cycle through `sizes`."""
    return [sizes[i % len(sizes)] for i in range(bins)]
