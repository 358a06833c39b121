"""Runs: a scenario over seeds, several at a time, each kept as soon as it is done."""

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
    """One run to make; `folder` is what `Versions.folder` gave for `version`."""

    scenario: str
    seed: int
    version: str
    folder: str
    series: bool = True


def run_one(task: Task) -> RunResult:
    """Play one day; a fault of the emulator itself is told as the run's, and the other seeds go on."""
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
    """Make the runs, `jobs` at a time, and yield them in the order asked for; `done` hears of each."""
    asked = list(tasks)
    if jobs <= 1 or len(asked) == 1:
        for task in asked:
            values = run_one(task)
            done(values)
            yield values
        return
    with ProcessPoolExecutor(max_workers=min(jobs, len(asked))) as pool:
        futures = {pool.submit(run_one, task): i for i, task in enumerate(asked)}
        results: dict[int, RunResult] = {}
        try:
            for future in as_completed(futures):
                results[futures[future]] = values = future.result()
                done(values)
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    for i in range(len(asked)):
        yield results[i]


def save_run(values: RunResult, folder: Path) -> Path:
    """Write one run under a folder; what is there of an interrupted lab is whole."""
    path = (
        folder
        / str(values["scenario"])
        / str(values["version"]).replace("/", "_")
        / f"seed-{values['seed']}.json"
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    part = path.with_suffix(".part")
    part.write_bytes(msgspec.json.format(msgspec.json.encode(values), indent=1))
    part.replace(path)
    return path


def read_runs(folder: Path) -> list[RunResult]:
    """All runs kept under a folder, in the order of their names; raises LabError."""
    if not folder.is_dir():
        raise LabError(f"{folder}: no such folder")
    found = []
    for path in sorted(folder.rglob("seed-*.json")):
        try:
            found.append(msgspec.json.decode(path.read_bytes()))
        except msgspec.DecodeError as error:
            raise LabError(f"{path}: no run: {error}") from None
    if not found:
        raise LabError(f"{folder}: holds no runs; 'mastturn lab run SCENARIO --out {folder}' makes some")
    return found


def combine_runs(runs: list[RunResult]) -> RunResult:
    """What JSON files hold: the one run, or all of them with their mean score and one digest."""
    if len(runs) == 1:
        return runs[0]
    digest = hashlib.sha256("".join(str(run["digest"]) for run in runs).encode()).hexdigest()[:32]
    mean = math.fsum(run["score"]["value"] for run in runs) / len(runs)
    return {
        "digest": digest,
        "score": {"value": round(mean, 6), "unit": "mean share of the worth asked, 0 to 1"},
        "runs": runs,
    }
