"""Days for the control state: all troubles that touch it, overlapping, with operators at work all the time.

The kinds here are those of the bench that strike control processes, their disks, their network or the
operators' changes, with all of their variants. Days of balancers and upstreams are drawn in `draw.py`.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from mastturn.days.draw import LENGTH_S, NAME, Site
from mastturn.days.kinds import CORE, Kind, Trouble

EARLIEST_S, LATEST_S = 1.0, 20.0  # when the first trouble of a day begins, in seconds of traffic
LAST_S = 30.0  # no trouble begins later
LONG_CUT_S = (0.5, 22.0)
SHORT_S = (0.3, 6.0)
OVERLAP_S = 3.0  # each further trouble begins within so long of the begin or the end of one before
PAIR_SHARE = 0.5  # of the days have two troubles, the others three
BUSY_CHANGES = ("storm", "race", "changes")
CLOSINGS = (None, "power_off_all", "wipe_after_ack", "kill_all")
CLOSING_HOWS = {
    "power_off_all": ("", "timed"),
    "wipe_after_ack": ("", "aimed", "timed", "oldest", "oldest timed"),
    "kill_all": ("", "timed"),
}
SUFFIXES = ("", "meet", "meet drain", "race", "race drain", "race drain hard", "hard")
TARGETS = ("", "leader", "turn", "reader", "giver", "seed")
CUTS = ("", "one_way", "all", "near", "split", "oldest", "behind", "seeds", "both", "lure", "relieve")
CUT_MANNERS = ("", "", "reset", "refuse")


@dataclass(frozen=True, slots=True)
class CoreKind(Kind):
    """A kind that strikes one machine of the core, or a stated share of it."""

    def draw(self, at: float, chance: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """As the base, with `on`; and whom it strikes and what happens then, among the variants."""
        trouble = Kind.draw(self, at, chance, services, classes)
        words = [str(trouble.pop("how", "")), chance.choice(TARGETS), chance.choice(SUFFIXES)]
        how = " ".join(word for word in words if word)
        trouble |= {"on": CORE}
        if "share" not in trouble:
            trouble |= {"count": 1}
        if how:
            trouble["how"] = how
        return trouble


@dataclass(frozen=True, slots=True)
class CutKind(Kind):
    """A cut between the machines of the core, in one of its forms."""

    def draw(self, at: float, chance: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """As the base, with the form, whom it strikes, how connections end, and what operators do."""
        trouble = Kind.draw(self, at, chance, services, classes)
        form = chance.choice(CUTS)
        target = chance.choice(("", "leader")) if form in ("", "one_way", "all", "near") else ""
        words = [target, form, chance.choice(CUT_MANNERS), chance.choice(SUFFIXES)]
        how = " ".join(word for word in words if word)
        if how:
            trouble["how"] = how
        return trouble


CONTROL_KINDS: tuple[Kind, ...] = (
    CutKind("core_cut", ranges={"for_s": LONG_CUT_S}, counts={"count": (1, 2)}),
    CutKind("core_cut", ranges={"for_s": LONG_CUT_S}, counts={"count": (1, 2)}),
    CutKind("core_cut", ranges={"for_s": LONG_CUT_S}, counts={"count": (1, 2)}),
    CoreKind("node_cut", ranges={"for_s": LONG_CUT_S}, hows=("", "all")),
    CoreKind("node_kill", ranges={"for_s": SHORT_S}, hows=("", "power")),
    CoreKind("node_freeze", ranges={"for_s": LONG_CUT_S}),
    CoreKind("node_slow", ranges={"for_s": SHORT_S, "x": (2.0, 10.0)}),
    CoreKind("reset_conns", ranges={"x": (0.3, 1.0)}),
    CoreKind(
        "herd_kill", ranges={"share": (0.3, 1.0), "for_s": (0.3, 4.0)}, hows=("", "off", "taken", "taken all")
    ),
    CoreKind("roll_term", True, {"share": (1.0, 1.0), "gap_s": (1.0, 4.0)}, hows=("", "busy")),
    CoreKind("hup", True, {"share": (1.0, 1.0), "gap_s": (0.0, 1.0)}),
    Kind("replace_core", ranges={"x": (0.2, 4.0)}, hows=("", "planned", "oldest", "planned oldest")),
    Kind("replace_core", ranges={"x": (0.2, 4.0)}, hows=("", "planned", "oldest", "planned oldest")),
    Kind("seed_turnover", True),
    Kind("after_ack_wipe", ranges={"for_s": SHORT_S}, hows=("", "oldest", "timed")),
    Kind("after_ack_wipe", ranges={"for_s": SHORT_S}, hows=("", "oldest", "timed")),
    Kind("after_ack_kill", ranges={"for_s": SHORT_S}, counts={"count": (1, 2)}, hows=("", "kill", "timed")),
    Kind("disk_slow", ranges={"for_s": SHORT_S, "x": (10.0, 80.0)}, counts={"count": (1, 3)}),
    Kind("disk_full", ranges={"for_s": SHORT_S}, counts={"count": (1, 3)}),
    Kind("disk_stall", ranges={"for_s": SHORT_S}, counts={"count": (1, 2)}),
    Kind(
        "clock_step",
        ranges={"for_s": SHORT_S, "share": (0.1, 1.0), "x": (500.0, 20000.0)},
        hows=("back", "ahead"),
    ),
    Kind("ack_lost", ranges={"for_s": (2.0, 20.0), "share": (0.5, 1.0), "x": (0.3, 1.0)}),
)
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


def draw_control_day(site: Site, number: int) -> dict[str, Any]:
    """The day of that number (from 0), as the site files write it; kinds and closings take turns."""
    chance = random.Random(f"{site.name}/control/{number}")
    first = CONTROL_KINDS[number % len(CONTROL_KINDS)]
    closing = CLOSINGS[(number + number // len(CONTROL_KINDS)) % len(CLOSINGS)]
    troubles = _overlapping(site, first, chance)
    changes = _changes(troubles, chance)
    model = site.models.get("trouble", next(iter(site.models.values()), {}))
    kinds = "+".join(str(t["kind"]) for t in troubles)
    day: dict[str, Any] = {
        "name": f"{NAME}-c{number:04d} control {kinds} {closing or 'open'}",
        "slot": "trouble",
        "seed": chance.randrange(1 << 28),
    }
    if closing is not None:
        day["closing"] = {"kind": closing, "down_s": round(chance.uniform(0.3, 2.0), 2)}
        how = chance.choice(CLOSING_HOWS[closing])
        if how:
            day["closing"]["how"] = how
    day |= {k: model[k] for k in ("goal", "floor_classes", "floor_zones", "traffic") if k in model}
    planned_names = {kind.name for kind in CONTROL_KINDS if kind.is_planned}
    planned = [t for t in troubles if t["kind"] in planned_names]
    day["plan"] = sorted(planned + changes, key=lambda t: float(t["at"]))
    day["faults"] = [t for t in troubles if t not in planned]
    return day


def draw_control_days(site: Site, numbers: range) -> Iterator[dict[str, Any]]:
    """All days of these numbers."""
    return (draw_control_day(site, number) for number in numbers)


def _overlapping(site: Site, first: Kind, chance: random.Random) -> list[Trouble]:
    """Two or three troubles, each near the begin or the end of one before it."""
    troubles = [first.draw(chance.uniform(EARLIEST_S, LATEST_S), chance, site.services, site.classes)]
    count = 2 if chance.random() < PAIR_SHARE else 3
    while len(troubles) < count:
        earlier = chance.choice(troubles)
        at = float(earlier["at"]) + chance.choice((0.0, float(earlier.get("for_s", 1.0))))
        at = min(max(at + chance.uniform(-OVERLAP_S, OVERLAP_S), 0.5), LAST_S)
        troubles.append(chance.choice(CONTROL_KINDS).draw(at, chance, site.services, site.classes))
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
