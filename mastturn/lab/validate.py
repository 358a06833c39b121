"""How far the emulator can be believed: earlier versions of the module, held against what the bench saw of
them.

The journal keeps, for each run of the bench, the text of the module and the figures of its days. Each text
is played on the scenarios that match these kinds of days, and the two sets of scores are compared by rank,
as the days themselves are not the same ones. docs/emulator.md has the outcome.
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

# Kinds of days on the bench, and the scenarios that have the same troubles at about the same size.
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
AGAIN = "-2"  # a kind's second day of one score
SHOWN = 8  # of a version's own hash, which names it
DIGITS = 16  # of a text's hash, by which the journal names it


@dataclass(frozen=True, slots=True)
class Cell:
    """One version on one kind of day: mean G on the bench and in the emulator."""

    kind: str
    version: str
    plays: int
    bench: float
    emulated: float


@dataclass(frozen=True, slots=True)
class ModuleVersion:
    """One version of the module as the journal has it: its texts by path, and G of its days by kind."""

    version: str
    texts: dict[str, Path]
    days: dict[str, list[float]]


def _entries(journal: Path) -> list[Any]:
    if not journal.is_dir():
        raise LabError(f"{journal}: no such folder")
    found = []
    for path in sorted(journal.glob("*.json")):
        try:
            found.append(msgspec.json.decode(path.read_bytes()))
        except msgspec.DecodeError as error:
            raise LabError(f"{path}: no entry of a journal: {error}") from None
    return found


def read_journal(journal: Path) -> list[ModuleVersion]:
    """Every version whose texts the journal keeps and that has played days of these kinds."""
    found: dict[str, ModuleVersion] = {}
    for entry in _entries(journal):
        files = [*(entry.get("policy") or []), *(entry.get("node") or [])]
        texts = {
            f["path"]: journal / "blobs" / f"{f['sha256'][:DIGITS]}.txt"
            for f in files
            if f["path"].startswith(PACKAGE + "/")
        }
        if f"{PACKAGE}/rules.py" not in texts or not all(path.is_file() for path in texts.values()):
            continue
        stems = "".join(f"{name}{path.stem}" for name, path in sorted(texts.items()))
        name = hashlib.sha256(stems.encode()).hexdigest()[:SHOWN]
        for day in entry.get("days") or []:
            kind = str(day.get("name", "")).removesuffix(AGAIN)
            if kind in KINDS and day.get("G") is not None:
                seen = found.setdefault(name, ModuleVersion(name, texts, {}))
                seen.days.setdefault(kind, []).append(float(day["G"]))
    if not found:
        raise LabError(f"{journal}: holds no days of the kinds {', '.join(KINDS)}")
    return list(found.values())


def write_package(seen: ModuleVersion, folder: Path) -> Path:
    """The version's module as a folder that can be loaded."""
    target = folder / seen.version / PACKAGE
    target.mkdir(parents=True, exist_ok=True)
    (target / "__init__.py").write_text('"""A version of the module."""\n')
    for name, path in seen.texts.items():
        (target / Path(name).name).write_bytes(path.read_bytes())
    return target.parent


def score_versions(
    versions: list[ModuleVersion],
    folder: Path,
    seeds: list[int],
    jobs: int,
    done: Callable[[RunResult], None],
) -> list[Cell]:
    """Play every version on the scenarios of each kind that the bench has played with it."""
    tasks = [
        Task(scenario, seed, seen.version, str(write_package(seen, folder)), series=False)
        for seen in versions
        for kind in seen.days
        for scenario in KINDS[kind]
        for seed in seeds
    ]
    scores: dict[tuple[str, str], list[float]] = defaultdict(list)
    for run in run_all(tasks, jobs, done):
        if run["fault"]:
            raise LabError(f"{run['version']} on {run['scenario']}: {run['fault']}")
        scores[run["version"], run["scenario"]].append(run["score"]["value"])
    found = []
    for seen in versions:
        for kind, plays in seen.days.items():
            emulated = [v for scenario in KINDS[kind] for v in scores[seen.version, scenario]]
            bench = sum(plays) / len(plays)
            found.append(Cell(kind, seen.version, len(plays), bench, sum(emulated) / len(emulated)))
    return found


def by_kind(found: list[Cell]) -> list[Cell]:
    """The mean over versions of each kind."""
    kinds: dict[str, list[Cell]] = defaultdict(list)
    for cell in found:
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


def rank_correlation(found: list[Cell]) -> float:
    """Spearman's, between the bench's scores and the emulator's."""
    return spearman([c.bench for c in found], [c.emulated for c in found])
