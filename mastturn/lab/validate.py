"""Validates the emulator: compares its scores of earlier module versions with those of the bench.

The journal holds the module's source and the scores of the days for each run of the bench. Each version runs
on the scenarios that match these kinds of days. Scores are compared by rank, as the days themselves differ.
Results are in docs/emulator.md.
"""

from __future__ import annotations

import hashlib
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from mastturn.emulator.contract import PACKAGE
from mastturn.files import LabError
from mastturn.lab.run import RunResult, Task, run_all
from mastturn.lab.stats import spearman

# Kinds of days on the bench, and the scenarios with the same faults at about the same size.
KINDS: dict[str, tuple[str, ...]] = {
    "calm+mass": ("calm-200",),
    "roll+mass": ("release-200",),
    "herd+mass": ("herd-200",),
    "zone+mass": ("lost-zone-200",),
    "split+mass": ("cut-off-zone-200", "silent-fifth-200"),
    "join+mass": ("cold-join-200",),
    "disco+vast": ("release-40",),
    "zone+vast": ("lost-zone-40",),
    "join+vast": ("cold-join-40",),
}
SECOND_DAY_SUFFIX = "-2"  # suffix of a kind's second day in one score
VERSION_DIGITS = 8  # digits of a version's hash used as its name
FILE_DIGITS = 16  # digits of a file's hash used as its name in the journal


@dataclass(frozen=True, slots=True)
class Cell:
    """Mean score G of one version on one kind of day, on the bench and in the emulator."""

    kind: str
    version: str
    plays: int
    bench: float
    emulated: float


@dataclass(frozen=True, slots=True)
class ModuleVersion:
    """A version of the module in the journal: source files by path, and scores G by kind of day."""

    version: str
    files_by_path: dict[str, Path]
    days: dict[str, list[float]]


def _entries(journal: Path) -> list[Any]:
    if not journal.is_dir():
        raise LabError(f"{journal}: no such folder")
    results = []
    for path in sorted(journal.glob("*.json")):
        try:
            results.append(msgspec.json.decode(path.read_bytes()))
        except msgspec.DecodeError as error:
            raise LabError(f"{path}: not a journal entry: {error}") from None
    return results


def read_journal(journal: Path) -> list[ModuleVersion]:
    """Read all versions that have source files and days of a known kind; raises LabError."""
    results: dict[str, ModuleVersion] = {}
    for entry in _entries(journal):
        files = [*(entry.get("policy") or []), *(entry.get("node") or [])]
        files_by_path = {
            f["path"]: journal / "blobs" / f"{f['sha256'][:FILE_DIGITS]}.txt"
            for f in files
            if f["path"].startswith(PACKAGE + "/")
        }
        if f"{PACKAGE}/rules.py" not in files_by_path or not all(
            path.is_file() for path in files_by_path.values()
        ):
            continue
        joined_hashes = "".join(f"{name}{path.stem}" for name, path in sorted(files_by_path.items()))
        name = hashlib.sha256(joined_hashes.encode()).hexdigest()[:VERSION_DIGITS]
        for day in entry.get("days") or []:
            kind = str(day.get("name", "")).removesuffix(SECOND_DAY_SUFFIX)
            if kind in KINDS and day.get("G") is not None:
                module_version = results.setdefault(name, ModuleVersion(name, files_by_path, {}))
                module_version.days.setdefault(kind, []).append(float(day["G"]))
    if not results:
        raise LabError(f"{journal}: holds no days of the kinds {', '.join(KINDS)}")
    return list(results.values())


def write_package(module_version: ModuleVersion, folder: Path) -> Path:
    """Write a version's module as an importable package; returns its parent folder."""
    target = folder / module_version.version / PACKAGE
    target.mkdir(parents=True, exist_ok=True)
    (target / "__init__.py").write_text('"""A version of the module."""\n')
    for name, path in module_version.files_by_path.items():
        (target / Path(name).name).write_bytes(path.read_bytes())
    return target.parent


def score_versions(
    versions: list[ModuleVersion],
    folder: Path,
    seeds: list[int],
    jobs: int,
    done: Callable[[RunResult], None],
) -> list[Cell]:
    """Run each version on the scenarios of the kinds of days that the bench has run with it."""
    tasks = [
        Task(scenario, seed, module_version.version, str(write_package(module_version, folder)), series=False)
        for module_version in versions
        for kind in module_version.days
        for scenario in KINDS[kind]
        for seed in seeds
    ]
    scores: dict[tuple[str, str], list[float]] = defaultdict(list)
    for run in run_all(tasks, jobs, done):
        if run["fault"]:
            raise LabError(f"{run['version']} on {run['scenario']}: {run['fault']}")
        scores[run["version"], run["scenario"]].append(run["score"]["value"])
    results = []
    for module_version in versions:
        for kind, plays in module_version.days.items():
            emulated = [v for scenario in KINDS[kind] for v in scores[module_version.version, scenario]]
            bench = sum(plays) / len(plays)
            results.append(
                Cell(kind, module_version.version, len(plays), bench, sum(emulated) / len(emulated))
            )
    return results


def by_kind(results: list[Cell]) -> list[Cell]:
    """Mean over versions, by kind of day."""
    kinds: dict[str, list[Cell]] = defaultdict(list)
    for cell in results:
        kinds[cell.kind].append(cell)
    return [
        Cell(
            kind,
            "all",
            sum(c.plays for c in group),
            sum(c.bench for c in group) / len(group),
            sum(c.emulated for c in group) / len(group),
        )
        for kind, group in kinds.items()
    ]


def rank_correlation(results: list[Cell]) -> float:
    """Spearman correlation between scores of the bench and of the emulator."""
    return spearman([c.bench for c in results], [c.emulated for c in results])
