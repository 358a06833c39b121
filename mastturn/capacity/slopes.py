"""Straight lines through measured points, with 95% bounds, and what they foresee."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Two-sided 95% quantiles of Student's t by degrees of freedom; beyond the last one the normal one.
_T: tuple[float, ...] = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)
_T = (*_T, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086)
NORMAL = 1.96
AGREES = 0.25  # foreseen and measured agree within this share


@dataclass(frozen=True, slots=True)
class Line:
    """y = base + slope x, with the half-width of the slope's 95% bounds; `n` points from `low` to `high`."""

    base: float
    slope: float
    bound: float
    low: float
    high: float
    n: int
    scatter: float  # standard deviation around the line
    mean_x: float
    spread_x: float  # sum of squares of x around its mean

    def at(self, x: float) -> float:
        """What is foreseen at x."""
        return self.base + self.slope * x

    def bounds_at(self, x: float) -> tuple[float, float]:
        """The 95% bounds of one more measurement at x."""
        if self.n < 3:
            return -math.inf, math.inf
        around = 1 + 1 / self.n + ((x - self.mean_x) ** 2 / self.spread_x if self.spread_x else 0.0)
        half = quantile(self.n - 2) * self.scatter * math.sqrt(around)
        return self.at(x) - half, self.at(x) + half


def quantile(freedom: int) -> float:
    """Student's t for 95%, two-sided."""
    if freedom < 1:
        return math.inf
    return _T[freedom - 1] if freedom <= len(_T) else NORMAL * (1 + 1.2 / freedom)


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Least squares; raises ValueError for fewer than two different x."""
    n = len(points)
    xs, ys = [p[0] for p in points], [p[1] for p in points]
    if len(set(xs)) < 2:
        raise ValueError("a line needs two sizes; measure another one")
    mean_x, mean_y = math.fsum(xs) / n, math.fsum(ys) / n
    spread = math.fsum((x - mean_x) ** 2 for x in xs)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    rest = math.fsum((y - base - slope * x) ** 2 for x, y in points)
    scatter = math.sqrt(rest / (n - 2)) if n > 2 else 0.0
    bound = quantile(n - 2) * scatter / math.sqrt(spread) if n > 2 else math.inf
    return Line(base, slope, bound, min(xs), max(xs), n, scatter, mean_x, spread)


def agrees(foreseen: float, measured: float) -> bool:
    """Whether what was foreseen lies within a quarter of what was measured."""
    return abs(foreseen - measured) <= AGREES * abs(measured)
