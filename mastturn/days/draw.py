"""Days by number: the same site and number always give the same day; all kinds come up by turns."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mastturn.days.kinds import BY_NAME, KINDS, Kind, Trouble
from mastturn.files import LabError

NAME = "drawn"
EARLIEST_S, LATEST_S = 1.0, 29.0  # of traffic: a day has 34 s
LENGTH_S = 34.0
SHAPES = ("single", "pair", "twice", "recovery", "together")
CLOSINGS = (None, "power_off_all", "wipe_after_ack", "kill_all")
WIPE_HOWS = ("", "aimed", "timed")
NEAR_S = 0.4  # a trouble in the moment of another's end begins within so long of it
BUSY_EVERY = 3  # each so many days have the traffic of a day of high load
DEFAULT_FOR_S = 1.0  # of a kind that states no length
CROWD_S = 4.0  # the troubles of a crowded day begin within so long


@dataclass(frozen=True, slots=True)
class Site:
    """What days are drawn from: names of the site, and the days whose traffic and floors are borrowed."""

    name: str
    kinds: tuple[Kind, ...]
    services: list[str]
    classes: list[str]
    models: dict[str, dict[str, Any]]  # by slot: the first standard day of it
    salt: str = ""  # keeps the days of one choice of kinds apart from those of another


def read_site(path: Path, every: bool = False) -> Site:
    """Read a site file; raises LabError where it can't be read, or names a kind that isn't known here.

    With `every`, days hold all kinds that the bench plays there, also those that the site doesn't name.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise LabError(f"{path}: {error}; name a site file") from None
    names = list(dict.fromkeys(str(t["kind"]) for t in data.get("troubles", [])))
    unknown = [n for n in names if n not in BY_NAME]
    if unknown or not names:
        raise LabError(f"{path}: kinds of trouble {unknown} aren't known; add them to mastturn/days/kinds.py")
    parts = data.get("contracts", [])
    models: dict[str, dict[str, Any]] = {}
    for day in data.get("day", []):
        models.setdefault(day["slot"], day)
    return Site(
        data["name"],
        tuple(k for k in KINDS if k.part in ("", *parts)) if every else tuple(BY_NAME[n] for n in names),
        [s["name"] for s in data["services"]],
        [c["name"] for c in data["classes"]],
        models,
        "every" if every else "",
    )


def draw_day(site: Site, number: int, crowd: int = 0) -> dict[str, Any]:
    """The day of that number (from 0), as the site files write it; `crowd`: so many troubles at once.

    Shapes take turns fastest, then closings, then first kinds; the rest is drawn with a seed made of the
    site's name and the number.
    """
    parts = (site.name, number, crowd or "", site.salt)
    chance = random.Random("/".join(str(p) for p in parts if p != ""))
    shape = f"crowd{crowd}" if crowd else SHAPES[number % len(SHAPES)]
    turn = number // len(SHAPES)
    first = site.kinds[turn % len(site.kinds)]
    closing = CLOSINGS[(turn + turn // len(site.kinds) + number % len(SHAPES)) % len(CLOSINGS)]
    troubles = _crowd(site, first, crowd, chance) if crowd else _troubles(site, shape, first, chance)
    slot = "scale" if number % BUSY_EVERY == BUSY_EVERY - 1 else "trouble"
    model = site.models.get(slot, next(iter(site.models.values()), {}))
    kinds = "+".join(str(t["kind"]) for t in troubles)
    day: dict[str, Any] = {
        "name": f"{NAME}-{number:04d} {shape} {kinds} {closing or 'open'}",
        "slot": slot,
        "seed": chance.randrange(1 << 28),
    }
    if closing is not None:
        day["closing"] = _closing(closing, chance)
    day |= {k: model[k] for k in ("goal", "floor_classes", "floor_zones", "traffic") if k in model}
    changes: list[Trouble] = []
    if not any(str(t["kind"]).startswith("config") for t in troubles):
        changes = [BY_NAME["config_change"].draw(_near(troubles, chance), chance, [], [])]
    planned = [t for t in troubles if BY_NAME[str(t["kind"])].is_planned]
    day["plan"] = sorted(planned + changes, key=lambda t: float(t["at"]))
    day["faults"] = [t for t in troubles if t not in planned]
    return day


def draw_days(site: Site, numbers: range, crowd: int = 0) -> Iterator[dict[str, Any]]:
    """All days of these numbers."""
    return (draw_day(site, number, crowd) for number in numbers)


def _troubles(site: Site, shape: str, first: Kind, chance: random.Random) -> list[Trouble]:
    """The troubles of a day: one, or two that stand to each other as the shape says."""
    at = chance.uniform(EARLIEST_S, LATEST_S - 8.0 if shape != "single" else LATEST_S)
    other = first if shape == "twice" else chance.choice(site.kinds)

    def entry(kind: Kind, second: float) -> Trouble:
        return kind.draw(min(max(second, 0.5), LATEST_S + 3.0), chance, site.services, site.classes)

    head = entry(first, at)
    if shape == "single":
        return [head]
    if shape == "recovery":
        end = at + float(head.get("for_s", DEFAULT_FOR_S))
        return [head, entry(other, end + chance.uniform(-NEAR_S, NEAR_S))]
    if shape == "together":
        return [head, entry(other, at + chance.uniform(-NEAR_S, NEAR_S))]
    return [head, entry(other, chance.uniform(EARLIEST_S, LATEST_S))]


def _crowd(site: Site, first: Kind, count: int, chance: random.Random) -> list[Trouble]:
    """So many troubles within a few seconds, the first one's kind among them."""
    at = chance.uniform(EARLIEST_S, LATEST_S - CROWD_S)
    kinds = [first, *(chance.choice(site.kinds) for _ in range(count - 1))]
    seconds = sorted(at + chance.uniform(0.0, CROWD_S) for _ in kinds)
    return [
        kind.draw(second, chance, site.services, site.classes)
        for kind, second in zip(kinds, seconds, strict=True)
    ]


def _near(troubles: list[Trouble], chance: random.Random) -> float:
    """A second within, or shortly after, one of the troubles: that is when a change is hard to take."""
    trouble = chance.choice(troubles)
    after = chance.uniform(0.0, float(trouble.get("for_s", DEFAULT_FOR_S)) + 2.0)
    return min(float(trouble["at"]) + after, LENGTH_S - 2.0)


def _closing(kind: str, chance: random.Random) -> dict[str, Any]:
    closing: dict[str, Any] = {"kind": kind, "down_s": round(chance.uniform(0.3, 2.0), 2)}
    how = chance.choice(WIPE_HOWS) if kind == "wipe_after_ack" else ""
    if how:
        closing["how"] = how
    return closing
