"""Compares two versions of the decision module on the same days: differences paired by seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mastturn.lab.run import RunResult, Task
from mastturn.lab.stats import Interval, bootstrap

METRICS: dict[str, Callable[[RunResult], float]] = {
    "score": lambda run: run["score"]["value"],
    "whole": lambda run: run["parts"]["whole"]["value"],
    "worst 10 s": lambda run: run["parts"]["worst_window"]["value"],
    "worst class": lambda run: run["parts"]["worst_class"]["value"],
    "prices": lambda run: sum(price["value"] for price in run["prices"].values()),
}


@dataclass(frozen=True, slots=True)
class Difference:
    """One metric of a scenario: mean of the base version, and the new version's difference to it."""

    scenario: str
    figure: str
    base_mean: float
    difference: Interval

    def verdict(self) -> str:
        """Verdict on the new version, in words."""
        if self.difference.count < 2:
            return "one seed"
        if self.difference.contains_zero():
            return "no difference seen"
        better = (self.difference.mean > 0) != (self.figure == "prices")
        return "better" if better else "worse"


def comparison_tasks(scenarios: list[str], seeds: list[int], versions: list[tuple[str, str]]) -> list[Task]:
    """Tasks of a comparison; `versions` are pairs of name and folder, the base first."""
    return [
        Task(scenario, seed, name, folder, series=False)
        for scenario in scenarios
        for seed in seeds
        for name, folder in versions
    ]


def differences(runs: list[RunResult], base: str, new: str) -> list[Difference]:
    """Pair runs by scenario and seed; a seed is skipped if the emulator failed on it in either version."""
    scored = {(r["scenario"], r["seed"], r["version"]): r for r in runs if "parts" in r}
    results = []
    for scenario in dict.fromkeys(run["scenario"] for run in runs):
        seeds = [s for (name, s, v) in scored if name == scenario and v == base and (name, s, new) in scored]
        if not seeds:
            continue
        for figure, read in METRICS.items():
            before = [read(scored[scenario, seed, base]) for seed in seeds]
            after = [read(scored[scenario, seed, new]) for seed in seeds]
            paired = [b - a for a, b in zip(before, after, strict=True)]
            results.append(Difference(scenario, figure, sum(before) / len(before), bootstrap(paired)))
    return results
