"""Compares choosers on the same days, and the emulator with reports of the bench."""

from __future__ import annotations

import json
import statistics
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from mastturn.engines.choosers import CHOOSERS
from mastturn.engines.days import built_in_days
from mastturn.engines.deployment import Day, Deployment, load
from mastturn.engines.judge import DayScore
from mastturn.engines.play import play
from mastturn.files import LabError


@dataclass(frozen=True, slots=True)
class ChooserResult:
    """Result of one day with one chooser and seed."""

    site: str
    day: str
    chooser: str
    seed: int
    worth: float
    first_p99_ms: float
    again: int
    moved_gb: float
    refusals: int
    seconds: float
    faults: tuple[str, ...]


def _simulate(path: Path, day: Day, chooser: str, seed: int) -> ChooserResult:
    deployment = load(path)
    results = play(deployment, day, seed, CHOOSERS[chooser])
    return ChooserResult(
        deployment.name,
        day.name,
        chooser,
        seed,
        round(results.worth, 4),
        round(results.first_p99_ms, 1),
        results.again,
        round(results.moved_gb, 2),
        results.refusals,
        round(results.seconds, 2),
        tuple(results.faults[:3]),
    )


def compare(path: Path, days: Sequence[str], seeds: int, jobs: int) -> list[ChooserResult]:
    """Run all choosers on the built-in days named (default: all), in `jobs` processes."""
    deployment = load(path)
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        tasks = [
            pool.submit(_simulate, path, day, chooser, seed)
            for day in built_in_days(deployment)
            if not days or day.name in days
            for chooser in CHOOSERS
            for seed in range(1, seeds + 1)
        ]
        return [task.result() for task in tasks]


@dataclass(frozen=True, slots=True)
class BenchComparison:
    """Worth of a day on the bench and emulated; `spread` is the standard deviation over seeds."""

    site: str
    day: str
    bench: tuple[float, ...]
    emulated: float
    spread: float
    parts_bench: dict[str, float]
    parts: dict[str, float]


def _simulate_score(path: Path, day: Day, seed: int) -> DayScore:
    return play(load(path), day, seed)


def _find_day(deployment: Deployment, name: str) -> Day:
    built_in = {d.name: d for d in built_in_days(deployment)}
    return built_in[name] if name in built_in else deployment.day(name)


def compare_with_bench(path: Path, reports: Sequence[Path], seeds: int, jobs: int) -> list[BenchComparison]:
    """Compare the worth in reports of the bench (`--report`) with the emulator's mean over seeds.

    A report is named DAY.json, or DAY-SEED.json; raises LabError for another file.
    """
    deployment = load(path)
    by_day: dict[str, list[dict[str, object]]] = {}
    names = [d.name for d in (*built_in_days(deployment), *deployment.days)]
    for report in sorted(reports):
        day = next((n for n in names if report.stem == n or report.stem.startswith(n + "-s")), None)
        if day is None:
            raise LabError(f"{report} names no day of {deployment.name}: expected DAY.json or DAY-sSEED.json")
        by_day.setdefault(day, []).append(json.loads(report.read_text(encoding="utf-8")))
    results = []
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        for name, bench_reports in by_day.items():
            day_to_play = _find_day(deployment, name)
            scores = list(
                pool.map(_simulate_score, [path] * seeds, [day_to_play] * seeds, range(1, seeds + 1))
            )
            values = [score.worth for score in scores]
            means = {
                part: round(statistics.mean(getattr(score, part) for score in scores), 4)
                for part in ("day", "window", "kind", "zone")
            }
            results.append(
                BenchComparison(
                    deployment.name,
                    name,
                    tuple(_as_float(b["G"]) for b in bench_reports),
                    round(statistics.mean(values), 4),
                    round(statistics.pstdev(values), 4),
                    _mean_parts(bench_reports),
                    means,
                )
            )
    return results


def _as_float(value: object) -> float:
    assert isinstance(value, int | float)
    return float(value)


_PART_FIELDS = {"whole day": "day", "worst windows": "window", "worst class": "kind", "worst zone": "zone"}


def _mean_parts(bench_reports: Sequence[dict[str, object]]) -> dict[str, float]:
    values_by_part: dict[str, list[float]] = {}
    for bench in bench_reports:
        parts = bench["parts"]
        assert isinstance(parts, list)
        for name, _, value in parts:
            values_by_part.setdefault(_PART_FIELDS.get(name, name), []).append(value)
    return {k: round(statistics.mean(v), 4) for k, v in values_by_part.items()}


def save(items: Sequence[ChooserResult] | Sequence[BenchComparison], path: Path) -> None:
    """Write results as a JSON array, one item a line."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = ",\n".join(json.dumps(asdict(item)) for item in items)
    path.write_text(f"[\n{text}\n]\n", encoding="utf-8")


def read_results(path: Path) -> list[ChooserResult]:
    """Read results of choosers that `save` has written."""
    return [
        ChooserResult(**{**e, "faults": tuple(e["faults"])})
        for e in json.loads(path.read_text(encoding="utf-8"))
    ]


def read_comparisons(path: Path) -> list[BenchComparison]:
    """Read comparisons with the bench that `save` has written."""
    return [
        BenchComparison(**{**e, "bench": tuple(e["bench"])})
        for e in json.loads(path.read_text(encoding="utf-8"))
    ]
