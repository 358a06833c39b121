"""The paper's own claim (Theorem 3): m = C balls into n bins of capacities c_i, d draws by capacity each.

The maximum load stays under ln ln n / ln d + O(1), with high probability, where random choice grows without
such a bound. Played by Algorithm 1 as the paper gives it, one ball after another.
"""

from __future__ import annotations

import math
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate

from mastturn.emulator.chance import Stream


@dataclass(frozen=True, slots=True)
class BinLoad:
    """One filling: the largest load (balls over capacity), and the paper's bound without its constant."""

    bins: int
    draws: int
    max_load: float
    bound: float


def fill_bins(capacities: list[int], draws: int, seed: int) -> BinLoad:
    """Throw as many balls as the capacities add up to; ValueError for no bins or no draws."""
    if not capacities or draws < 1 or min(capacities) < 1:
        raise ValueError("capacities and draws have to be 1 or more")
    chance = Stream(seed, "bins", len(capacities), draws)
    sums = list(accumulate(capacities))
    held = [0] * len(capacities)
    for _ in range(sums[-1]):
        best, chosen = (math.inf, 0, 0.0), 0
        for _ in range(draws):
            i = min(bisect(sums, chance.uniform() * sums[-1]), len(held) - 1)
            load = ((held[i] + 1) / capacities[i], -capacities[i], chance.uniform())
            if load < best:
                best, chosen = load, i
        held[chosen] += 1
    most = max(m / c for m, c in zip(held, capacities, strict=True))
    n = len(capacities)
    bound = math.log(math.log(n)) / math.log(draws) if draws > 1 and n > 2 else math.inf
    return BinLoad(n, draws, most, bound)


def mixed_capacities(bins: int, sizes: tuple[int, ...] = (1, 2, 3, 10)) -> list[int]:
    """Bins of the given sizes, as many of each."""
    return [sizes[i % len(sizes)] for i in range(bins)]
