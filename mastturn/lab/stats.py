"""Statistics over seeds: bootstrap intervals and rank correlation."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from mastturn.emulator.chance import generator

RESAMPLES = 10_000
LEVEL = 0.95


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean and its bootstrap confidence interval at `LEVEL`."""

    mean: float
    low: float
    high: float
    count: int

    def contains_zero(self) -> bool:
        """Whether the interval contains zero, so that no difference is significant."""
        return self.low <= 0.0 <= self.high


def bootstrap(values: list[float], seed: int = 0) -> Interval:
    """Mean of values with its bootstrap interval; raises ValueError if there are none."""
    if not values:
        raise ValueError("no values")
    data = np.array(values)
    if len(data) == 1:
        return Interval(float(data[0]), -np.inf, np.inf, 1)
    draws = generator(seed, "bootstrap").integers(len(data), size=(RESAMPLES, len(data)))
    means = data[draws].mean(axis=1)
    low, high = np.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return Interval(float(data.mean()), float(low), float(high), len(data))


def ranks(values: list[float]) -> np.ndarray:
    """Ranks from 0; equal values share their mean rank."""
    data = np.array(values)
    _, inverse, counts = np.unique(data, return_inverse=True, return_counts=True)
    ends = np.cumsum(counts)
    return np.asarray((ends - (counts + 1) / 2)[inverse])


def spearman(one: list[float], other: list[float]) -> float:
    """Spearman rank correlation of two lists of equal length; nan if one is constant."""
    a, b = ranks(one), ranks(other)
    if a.std() == 0 or b.std() == 0:
        return float("nan")
    return float(np.corrcoef(a, b)[0, 1])
