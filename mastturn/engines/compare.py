"""Choosers side by side in the same days, and the emulator beside what the bench has played."""

from __future__ import annotations

import json
import statistics
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from mastturn.engines.choosers import CHOOSERS
from mastturn.engines.days import own_days
from mastturn.engines.deployment import Day, Sheet, load
from mastturn.engines.play import play
from mastturn.engines.scoring import Worth
from mastturn.files import LabError


@dataclass(frozen=True, slots=True)
class Played:
    """One day, one chooser, one seed."""

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


def _one(path: Path, day: Day, chooser: str, seed: int) -> Played:
    sheet = load(path)
    found = play(sheet, day, seed, CHOOSERS[chooser])
    return Played(
        sheet.name,
        day.name,
        chooser,
        seed,
        round(found.worth, 4),
        round(found.first_p99_ms, 1),
        found.again,
        round(found.moved_gb, 2),
        found.refusals,
        round(found.seconds, 2),
        tuple(found.faults[:3]),
    )


def compare(path: Path, days: Sequence[str], seeds: int, jobs: int) -> list[Played]:
    """All choosers on days of our own (all if none is named), by as many processes as `jobs`."""
    sheet = load(path)
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        tasks = [
            pool.submit(_one, path, day, chooser, seed)
            for day in own_days(sheet)
            if not days or day.name in days
            for chooser in CHOOSERS
            for seed in range(1, seeds + 1)
        ]
        return [task.result() for task in tasks]


@dataclass(frozen=True, slots=True)
class Held:
    """A day on the bench and here; `spread`: the deviation of the emulated worth over seeds."""

    site: str
    day: str
    bench: tuple[float, ...]
    emulated: float
    spread: float
    parts_bench: dict[str, float]
    parts: dict[str, float]


def _emulated(path: Path, day: Day, seed: int) -> Worth:
    return play(load(path), day, seed)


def _day(sheet: Sheet, name: str) -> Day:
    own = {d.name: d for d in own_days(sheet)}
    return own[name] if name in own else sheet.day(name)


def hold(path: Path, reports: Sequence[Path], seeds: int, jobs: int) -> list[Held]:
    """The worth of days that the bench has played (`--report`), beside the emulator's mean over seeds.

    A report is named DAY.json, or DAY-SEED.json; raises LabError for another file.
    """
    sheet = load(path)
    by_day: dict[str, list[dict[str, object]]] = {}
    names = [d.name for d in (*own_days(sheet), *sheet.days)]
    for report in sorted(reports):
        day = next((n for n in names if report.stem == n or report.stem.startswith(n + "-s")), None)
        if day is None:
            raise LabError(f"{report} names no day of {sheet.name}: call it DAY.json or DAY-sSEED.json")
        by_day.setdefault(day, []).append(json.loads(report.read_text(encoding="utf-8")))
    found = []
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        for name, benches in by_day.items():
            played = _day(sheet, name)
            worths = list(pool.map(_emulated, [path] * seeds, [played] * seeds, range(1, seeds + 1)))
            values = [w.worth for w in worths]
            means = {
                part: round(statistics.mean(getattr(w, part) for w in worths), 4)
                for part in ("day", "window", "kind", "zone")
            }
            found.append(
                Held(
                    sheet.name,
                    name,
                    tuple(_number(b["G"]) for b in benches),
                    round(statistics.mean(values), 4),
                    round(statistics.pstdev(values), 4),
                    _parts(benches),
                    means,
                )
            )
    return found


def _number(value: object) -> float:
    assert isinstance(value, int | float)
    return float(value)


_PARTS = {"whole day": "day", "worst windows": "window", "worst class": "kind", "worst zone": "zone"}


def _parts(benches: Sequence[dict[str, object]]) -> dict[str, float]:
    got: dict[str, list[float]] = {}
    for bench in benches:
        parts = bench["parts"]
        assert isinstance(parts, list)
        for name, _, value in parts:
            got.setdefault(_PARTS.get(name, name), []).append(value)
    return {k: round(statistics.mean(v), 4) for k, v in got.items()}


def save(items: Sequence[Played] | Sequence[Held], path: Path) -> None:
    """Write them, one a line."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = ",\n".join(json.dumps(asdict(item)) for item in items)
    path.write_text(f"[\n{text}\n]\n", encoding="utf-8")


def read_played(path: Path) -> list[Played]:
    """What `save` has written."""
    return [
        Played(**{**e, "faults": tuple(e["faults"])}) for e in json.loads(path.read_text(encoding="utf-8"))
    ]


def read_held(path: Path) -> list[Held]:
    """What `save` has written."""
    return [Held(**{**e, "bench": tuple(e["bench"])}) for e in json.loads(path.read_text(encoding="utf-8"))]
