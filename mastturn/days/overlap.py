"""Days of two or three troubles that overlap, with operators at work all the time and closings by turns."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from mastturn.days.control import CONTROL_KINDS
from mastturn.days.draw import LENGTH_S, NAME, Site
from mastturn.days.kinds import Kind, Trouble
from mastturn.days.listed import LISTED_KINDS

EARLIEST_S, LATEST_S = 1.0, 20.0  # when the first trouble of a day begins, in seconds of traffic
LAST_S = 30.0  # no trouble begins later
OVERLAP_S = 3.0  # each further trouble begins within so long of the begin or the end of one before
PAIR_SHARE = 0.5  # of the days have two troubles, the others three
BUSY_CHANGES = ("storm", "race", "changes")
CLOSINGS = (None, "power_off_all", "wipe_after_ack", "kill_all")
CLOSING_HOWS = {
    "power_off_all": ("", "timed"),
    "wipe_after_ack": ("", "aimed", "timed", "oldest", "oldest timed"),
    "kill_all": ("", "timed"),
}


@dataclass(frozen=True, slots=True)
class Profile:
    """What the troubles of a day are drawn from; `name` seeds the draw and stands in the days' names."""

    name: str
    kinds: tuple[Kind, ...]


PROFILES = (Profile("control", CONTROL_KINDS), Profile("listed", LISTED_KINDS))


CHANGE_KINDS = {
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
    """The day of that number (from 0), as the site files write it; kinds and closings take turns."""
    kinds = profile.kinds
    chance = random.Random(f"{site.name}/{profile.name}/{number}")
    first = kinds[number % len(kinds)]
    closing = CLOSINGS[(number + number // len(kinds)) % len(CLOSINGS)]
    troubles = _overlapping(site, kinds, first, chance)
    changes = _changes(troubles, chance)
    model = site.models.get("trouble", next(iter(site.models.values()), {}))
    names = "+".join(str(t["kind"]) for t in troubles)
    day: dict[str, Any] = {
        "name": f"{NAME}-{profile.name[0]}{number:04d} {profile.name} {names} {closing or 'open'}",
        "slot": "trouble",
        "seed": chance.randrange(1 << 28),
    }
    if closing is not None:
        day["closing"] = {"kind": closing, "down_s": round(chance.uniform(0.3, 2.0), 2)}
        how = chance.choice(CLOSING_HOWS[closing])
        if how:
            day["closing"]["how"] = how
    day |= {k: model[k] for k in ("goal", "floor_classes", "floor_zones", "traffic") if k in model}
    planned_names = {kind.name for kind in kinds if kind.is_planned}
    planned = [t for t in troubles if t["kind"] in planned_names]
    day["plan"] = sorted(planned + changes, key=lambda t: float(t["at"]))
    day["faults"] = [t for t in troubles if t not in planned]
    return day


def draw_overlapping_days(site: Site, profile: Profile, numbers: range) -> Iterator[dict[str, Any]]:
    """All days of these numbers."""
    return (draw_overlapping_day(site, profile, number) for number in numbers)


def _overlapping(site: Site, kinds: tuple[Kind, ...], first: Kind, chance: random.Random) -> list[Trouble]:
    """Two or three troubles, each near the begin or the end of one before it."""
    troubles = [first.draw(chance.uniform(EARLIEST_S, LATEST_S), chance, site.services, site.classes)]
    count = 2 if chance.random() < PAIR_SHARE else 3
    while len(troubles) < count:
        earlier = chance.choice(troubles)
        at = float(earlier["at"]) + chance.choice((0.0, float(earlier.get("for_s", 1.0))))
        at = min(max(at + chance.uniform(-OVERLAP_S, OVERLAP_S), 0.5), LAST_S)
        troubles.append(chance.choice(kinds).draw(at, chance, site.services, site.classes))
    return troubles


def _changes(troubles: list[Trouble], chance: random.Random) -> list[Trouble]:
    """Operators' changes through all of it: a storm, races or single ones; now and then invalid ones too."""
    begin = min(float(t["at"]) for t in troubles)
    found: list[Trouble] = []
    busy = chance.choice(BUSY_CHANGES)
    repeats = 5 if busy == "changes" else 1
    for _ in range(repeats):
        at = max(begin + chance.uniform(-1.0, 6.0), 0.5)
        found.append(CHANGE_KINDS[busy].draw(min(at, LENGTH_S - 4.0), chance, [], []))
    if chance.random() < 0.3:
        found.append(
            CHANGE_KINDS["bad"].draw(min(begin + chance.uniform(0.0, 4.0), LENGTH_S - 4.0), chance, [], [])
        )
    return found
