"""The list service over sizes and networks: one figure is varied, the others stay."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import numpy as np

from mastturn.emulator.listing import Setup, play

SWEEPS: dict[str, tuple[str, tuple[float, ...]]] = {
    "replicas": ("replicas", (1, 3, 5, 7)),
    "loss of messages, share": ("loss", (0.0, 0.01, 0.02, 0.05)),
    "rate of change, 1/s": ("rate_per_s", (1.0, 10.0, 50.0, 100.0)),
}
CHANGES = 60  # of each run


@dataclass(frozen=True, slots=True)
class DelaySummary:
    """From the write to each agent, in milliseconds; and what never came."""

    median_ms: float
    p99_ms: float  # 99% of all
    missing: int  # replaced by a later change first, or never told
    differing: int  # agents whose list differs at the end

    def describe(self) -> str:
        """One line."""
        return (
            f"median {self.median_ms:.1f} ms, 99% {self.p99_ms:.1f} ms, "
            f"not told one by one {self.missing}, lists that differ at the end {self.differing}"
        )


def measure_delays(setup: Setup) -> DelaySummary:
    """One run."""
    outcome = play(setup)
    waits = np.array(outcome.waits_ms or [0.0])
    median, most = (float(np.quantile(waits, q)) for q in (0.5, 0.99))
    return DelaySummary(median, most, outcome.missing, outcome.differing)


def sweep(what: str, agents: int, seed: int) -> list[tuple[float, DelaySummary]]:
    """One figure varied."""
    name, values = SWEEPS[what]
    found = []
    for value in values:
        changed: dict[str, Any] = {name: int(value) if name == "replicas" else value}
        setup = replace(Setup(agents=agents, seed=seed), **changed)
        found.append((value, measure_delays(replace(setup, seconds=CHANGES / setup.rate_per_s))))
    return found
