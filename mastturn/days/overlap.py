"""Draws days of two or three overlapping troubles, with operators' changes and cycling closings."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from mastturn.days.control import CONTROL_KINDS
from mastturn.days.draw import LENGTH_S, NAME_PREFIX, Site
from mastturn.days.kinds import Kind, Trouble
from mastturn.days.listed import LISTED_KINDS

EARLIEST_S, LATEST_S = 1.0, 20.0  # start of the first trouble, in seconds of traffic
LAST_S = 30.0  # latest start of any trouble
OVERLAP_S = 3.0  # maximum distance of a further trouble from the start or end of an earlier one
PAIR_SHARE = 0.5  # share of days with two troubles; the others have three
CHANGE_PATTERNS = ("storm", "race", "changes")
CLOSINGS = (None, "power_off_all", "wipe_after_ack", "kill_all")
CLOSING_VARIANTS = {
    "power_off_all": ("", "timed"),
    "wipe_after_ack": ("", "aimed", "timed", "oldest", "oldest timed"),
    "kill_all": ("", "timed"),
}


@dataclass(frozen=True, slots=True)
class Profile:
    """A set of kinds to draw from; `name` is part of the seed and of the days' names."""

    name: str
    kinds: tuple[Kind, ...]


PROFILES = (Profile("control", CONTROL_KINDS), Profile("listed", LISTED_KINDS))


CHANGE_KINDS_BY_PATTERN = {
    "storm": Kind("config_storm", True, {"for_s": (2.0, 20.0), "gap_s": (0.04, 0.4)}),
    "race": Kind("config_race", True, {"gap_s": (0.2, 1.0)}, {"count": (3, 12)}),
    "changes": Kind("config_change", True, hows=("route", "weights", "timeout", "idle")),
    "bad": Kind(
        "bad_config",
        True,
        {"gap_s": (0.2, 1.2)},
        {"count": (1, 4)},
        (
            "",
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
            "stale_match",
        ),
    ),
}


def draw_overlapping_day(site: Site, profile: Profile, number: int) -> dict[str, Any]:
    """Return day `number` (from 0) in the form of the site files; kinds and closings cycle."""
    kinds = profile.kinds
    rng = random.Random(f"{site.name}/{profile.name}/{number}")
    first = kinds[number % len(kinds)]
    closing = CLOSINGS[(number + number // len(kinds)) % len(CLOSINGS)]
    troubles = _draw_overlapping(site, kinds, first, rng)
    changes = _draw_changes(troubles, rng)
    template = site.templates.get("trouble", next(iter(site.templates.values()), {}))
    names = "+".join(str(t["kind"]) for t in troubles)
    day: dict[str, Any] = {
        "name": f"{NAME_PREFIX}-{profile.name[0]}{number:04d} {profile.name} {names} {closing or 'open'}",
        "slot": "trouble",
        "seed": rng.randrange(1 << 28),
    }
    if closing is not None:
        day["closing"] = {"kind": closing, "down_s": round(rng.uniform(0.3, 2.0), 2)}
        how = rng.choice(CLOSING_VARIANTS[closing])
        if how:
            day["closing"]["how"] = how
    day |= {k: template[k] for k in ("goal", "floor_classes", "floor_zones", "traffic") if k in template}
    planned_names = {kind.name for kind in kinds if kind.is_planned}
    planned = [t for t in troubles if t["kind"] in planned_names]
    day["plan"] = sorted(planned + changes, key=lambda t: float(t["at"]))
    day["faults"] = [t for t in troubles if t not in planned]
    return day


def draw_overlapping_days(site: Site, profile: Profile, numbers: range) -> Iterator[dict[str, Any]]:
    """Yield the days of these numbers."""
    return (draw_overlapping_day(site, profile, number) for number in numbers)


def _draw_overlapping(site: Site, kinds: tuple[Kind, ...], first: Kind, rng: random.Random) -> list[Trouble]:
    """Draw two or three troubles, each near the start or end of an earlier one."""
    troubles = [first.draw(rng.uniform(EARLIEST_S, LATEST_S), rng, site.services, site.classes)]
    count = 2 if rng.random() < PAIR_SHARE else 3
    while len(troubles) < count:
        earlier = rng.choice(troubles)
        at = float(earlier["at"]) + rng.choice((0.0, float(earlier.get("for_s", 1.0))))
        at = min(max(at + rng.uniform(-OVERLAP_S, OVERLAP_S), 0.5), LAST_S)
        troubles.append(rng.choice(kinds).draw(at, rng, site.services, site.classes))
    return troubles


def _draw_changes(troubles: list[Trouble], rng: random.Random) -> list[Trouble]:
    """Draw operators' changes during the troubles: a storm, races or single ones, some of them invalid."""
    begin = min(float(t["at"]) for t in troubles)
    changes: list[Trouble] = []
    change_kind = rng.choice(CHANGE_PATTERNS)
    repeats = 5 if change_kind == "changes" else 1
    for _ in range(repeats):
        at = max(begin + rng.uniform(-1.0, 6.0), 0.5)
        changes.append(CHANGE_KINDS_BY_PATTERN[change_kind].draw(min(at, LENGTH_S - 4.0), rng, [], []))
    if rng.random() < 0.3:
        changes.append(
            CHANGE_KINDS_BY_PATTERN["bad"].draw(
                min(begin + rng.uniform(0.0, 4.0), LENGTH_S - 4.0), rng, [], []
            )
        )
    return changes
