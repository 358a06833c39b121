"""Draws days by number: a site and number determine the day; all kinds come first in turn."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mastturn.days.kinds import BY_NAME, KINDS, Kind, Trouble
from mastturn.files import LabError

NAME_PREFIX = "drawn"
EARLIEST_S, LATEST_S = 1.0, 29.0  # in seconds of traffic: a day has 34 s
LENGTH_S = 34.0
SHAPES = ("single", "pair", "twice", "recovery", "together")
CLOSINGS = (None, "power_off_all", "wipe_after_ack", "kill_all")
WIPE_VARIANTS = ("", "aimed", "timed")
ADJACENT_S = 0.4  # maximum distance of adjacent troubles from the start or end of the first
HIGH_LOAD_EVERY = 3  # every third day has the traffic of a high-load day
DEFAULT_FOR_S = 1.0  # for kinds without a duration
CROWD_S = 4.0  # the troubles of a crowded day begin within this time


@dataclass(frozen=True, slots=True)
class Site:
    """Input of the draw: names of the site, and the days whose traffic and floors are reused."""

    name: str
    kinds: tuple[Kind, ...]
    services: list[str]
    classes: list[str]
    templates: dict[str, dict[str, Any]]  # first standard day of each slot
    salt: str = ""  # part of the seed that distinguishes sets of kinds


def read_site(path: Path, every: bool = False) -> Site:
    """Read a site file; raises LabError if it can't be read or names an unknown kind.

    With `every`, the kinds are all that the bench supports on this site, including those it doesn't name.
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
    templates: dict[str, dict[str, Any]] = {}
    for day in data.get("day", []):
        templates.setdefault(day["slot"], day)
    return Site(
        data["name"],
        tuple(k for k in KINDS if k.part in ("", *parts)) if every else tuple(BY_NAME[n] for n in names),
        [s["name"] for s in data["services"]],
        [c["name"] for c in data["classes"]],
        templates,
        "every" if every else "",
    )


def draw_day(site: Site, number: int, crowd: int = 0) -> dict[str, Any]:
    """Return day `number` (from 0) in the form of the site files; `crowd`: number of concurrent troubles.

    Shapes cycle fastest, then closings, then first kinds; the rest is drawn with a seed made of the
    site's name and the number.
    """
    parts = (site.name, number, crowd or "", site.salt)
    rng = random.Random("/".join(str(p) for p in parts if p != ""))
    shape = f"crowd{crowd}" if crowd else SHAPES[number % len(SHAPES)]
    turn = number // len(SHAPES)
    first = site.kinds[turn % len(site.kinds)]
    closing = CLOSINGS[(turn + turn // len(site.kinds) + number % len(SHAPES)) % len(CLOSINGS)]
    troubles = _draw_crowd(site, first, crowd, rng) if crowd else _draw_troubles(site, shape, first, rng)
    slot = "scale" if number % HIGH_LOAD_EVERY == HIGH_LOAD_EVERY - 1 else "trouble"
    template = site.templates.get(slot, next(iter(site.templates.values()), {}))
    kinds = "+".join(str(t["kind"]) for t in troubles)
    day: dict[str, Any] = {
        "name": f"{NAME_PREFIX}-{number:04d} {shape} {kinds} {closing or 'open'}",
        "slot": slot,
        "seed": rng.randrange(1 << 28),
    }
    if closing is not None:
        day["closing"] = _draw_closing(closing, rng)
    day |= {k: template[k] for k in ("goal", "floor_classes", "floor_zones", "traffic") if k in template}
    changes: list[Trouble] = []
    if not any(str(t["kind"]).startswith("config") for t in troubles):
        changes = [BY_NAME["config_change"].draw(_draw_change_time(troubles, rng), rng, [], [])]
    planned = [t for t in troubles if BY_NAME[str(t["kind"])].is_planned]
    day["plan"] = sorted(planned + changes, key=lambda t: float(t["at"]))
    day["faults"] = [t for t in troubles if t not in planned]
    return day


def draw_days(site: Site, numbers: range, crowd: int = 0) -> Iterator[dict[str, Any]]:
    """Yield the days of these numbers."""
    return (draw_day(site, number, crowd) for number in numbers)


def _draw_troubles(site: Site, shape: str, first: Kind, rng: random.Random) -> list[Trouble]:
    """Return the troubles of a day: one, or two in the relation that the shape defines."""
    at = rng.uniform(EARLIEST_S, LATEST_S - 8.0 if shape != "single" else LATEST_S)
    other = first if shape == "twice" else rng.choice(site.kinds)

    def entry(kind: Kind, second: float) -> Trouble:
        return kind.draw(min(max(second, 0.5), LATEST_S + 3.0), rng, site.services, site.classes)

    head = entry(first, at)
    if shape == "single":
        return [head]
    if shape == "recovery":
        end = at + float(head.get("for_s", DEFAULT_FOR_S))
        return [head, entry(other, end + rng.uniform(-ADJACENT_S, ADJACENT_S))]
    if shape == "together":
        return [head, entry(other, at + rng.uniform(-ADJACENT_S, ADJACENT_S))]
    return [head, entry(other, rng.uniform(EARLIEST_S, LATEST_S))]


def _draw_crowd(site: Site, first: Kind, count: int, rng: random.Random) -> list[Trouble]:
    """Return `count` troubles within a few seconds, including one of the first kind."""
    at = rng.uniform(EARLIEST_S, LATEST_S - CROWD_S)
    kinds = [first, *(rng.choice(site.kinds) for _ in range(count - 1))]
    seconds = sorted(at + rng.uniform(0.0, CROWD_S) for _ in kinds)
    return [
        kind.draw(second, rng, site.services, site.classes)
        for kind, second in zip(kinds, seconds, strict=True)
    ]


def _draw_change_time(troubles: list[Trouble], rng: random.Random) -> float:
    """Draw a time during or shortly after a trouble, when a configuration change is hardest to apply."""
    trouble = rng.choice(troubles)
    after = rng.uniform(0.0, float(trouble.get("for_s", DEFAULT_FOR_S)) + 2.0)
    return min(float(trouble["at"]) + after, LENGTH_S - 2.0)


def _draw_closing(kind: str, rng: random.Random) -> dict[str, Any]:
    closing: dict[str, Any] = {"kind": kind, "down_s": round(rng.uniform(0.3, 2.0), 2)}
    how = rng.choice(WIPE_VARIANTS) if kind == "wipe_after_ack" else ""
    if how:
        closing["how"] = how
    return closing
