"""Parameter sweeps of the list service: one parameter varies, the others keep their defaults."""

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
CHANGES = 60  # changes of the list in each run


@dataclass(frozen=True, slots=True)
class DelaySummary:
    """Delays from a write to each agent, in milliseconds, and missing deliveries."""

    median_ms: float
    p99_ms: float  # 99th percentile
    missing: int  # superseded by a later change, or never delivered
    differing: int  # agents whose list differs at the end

    def describe(self) -> str:
        """Describe the result in one line."""
        return (
            f"median {self.median_ms:.1f} ms, 99% {self.p99_ms:.1f} ms, "
            f"not told one by one {self.missing}, lists that differ at the end {self.differing}"
        )


def measure_delays(setup: Setup) -> DelaySummary:
    """Run one setup and summarize its delays."""
    outcome = play(setup)
    delays = np.array(outcome.waits_ms or [0.0])
    median, p99 = (float(np.quantile(delays, q)) for q in (0.5, 0.99))
    return DelaySummary(median, p99, outcome.missing, outcome.differing)


def sweep(name_of_sweep: str, agents: int, seed: int) -> list[tuple[float, DelaySummary]]:
    """Run a sweep; returns the parameter's values with their results."""
    name, values = SWEEPS[name_of_sweep]
    results = []
    for value in values:
        changed: dict[str, Any] = {name: int(value) if name == "replicas" else value}
        setup = replace(Setup(agents=agents, seed=seed), **changed)
        results.append((value, measure_delays(replace(setup, seconds=CHANGES / setup.rate_per_s))))
    return results
