"""Runs scenarios over seeds in parallel processes, and saves and reads their results."""

from __future__ import annotations

import hashlib
import math
import traceback
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from mastturn.emulator.world import play
from mastturn.files import LabError
from mastturn.lab.outcome import result_values
from mastturn.lab.scenario import find_scenario
from mastturn.lab.versions import open_version

RunResult = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Task:
    """A run to make; `folder` is the result of `Versions.folder` for `version`."""

    scenario: str
    seed: int
    version: str
    folder: str
    series: bool = True


def run_one(task: Task) -> RunResult:
    """Simulate one day; an emulator error is returned as the run's `fault`, so that other seeds continue."""
    try:
        scenario = find_scenario(task.scenario)
        played = play(scenario.day(task.seed), scenario.troubles, open_version(task.folder))
        return result_values(scenario.name, task.version, played, task.series)
    except LabError:
        raise
    except Exception as error:
        lines = traceback.format_exc().strip().splitlines()
        return {
            "scenario": task.scenario,
            "seed": task.seed,
            "version": task.version,
            "digest": "",
            "fault": f"{type(error).__name__}: {error} ({lines[-3].strip() if len(lines) > 2 else ''})",
            "score": {"value": 0.0, "unit": "share of the worth asked, 0 to 1"},
        }


def run_all(tasks: Iterable[Task], jobs: int, done: Callable[[RunResult], None]) -> Iterator[RunResult]:
    """Run tasks, `jobs` at a time, and yield results in task order; `done` is called as each completes."""
    pending = list(tasks)
    if jobs <= 1 or len(pending) == 1:
        for task in pending:
            values = run_one(task)
            done(values)
            yield values
        return
    with ProcessPoolExecutor(max_workers=min(jobs, len(pending))) as pool:
        futures = {pool.submit(run_one, task): i for i, task in enumerate(pending)}
        results: dict[int, RunResult] = {}
        try:
            for future in as_completed(futures):
                results[futures[future]] = values = future.result()
                done(values)
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    for i in range(len(pending)):
        yield results[i]


def save_run(values: RunResult, folder: Path) -> Path:
    """Write a result to a folder atomically, so that an interrupted lab leaves only complete files."""
    path = (
        folder
        / str(values["scenario"])
        / str(values["version"]).replace("/", "_")
        / f"seed-{values['seed']}.json"
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    partial = path.with_suffix(".part")
    partial.write_bytes(msgspec.json.format(msgspec.json.encode(values), indent=1))
    partial.replace(path)
    return path


def read_runs(folder: Path) -> list[RunResult]:
    """Read all results saved to a folder, ordered by path; raises LabError."""
    if not folder.is_dir():
        raise LabError(f"{folder}: no such folder")
    runs = []
    for path in sorted(folder.rglob("seed-*.json")):
        try:
            runs.append(msgspec.json.decode(path.read_bytes()))
        except msgspec.DecodeError as error:
            raise LabError(f"{path}: not a saved run: {error}") from None
    if not runs:
        raise LabError(f"{folder}: holds no runs; 'mastturn lab run SCENARIO --out {folder}' saves some")
    return runs


def combine_runs(runs: list[RunResult]) -> RunResult:
    """Return the single result, or all results with their mean score and a common digest."""
    if len(runs) == 1:
        return runs[0]
    digest = hashlib.sha256("".join(str(run["digest"]) for run in runs).encode()).hexdigest()[:32]
    mean = math.fsum(run["score"]["value"] for run in runs) / len(runs)
    return {
        "digest": digest,
        "score": {"value": round(mean, 6), "unit": "mean share of the worth asked, 0 to 1"},
        "runs": runs,
    }
