"""The kinds of trouble that a day may hold, and between which bounds the fields of each are drawn."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

Field = str | float | int
Trouble = dict[str, Field]

FRONT, CORE = "front", "core"
CORE_HOWS = ("", "leader", "seed", "race drain", "leader race drain hard", "leader meet drain", "meet")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of trouble. Seconds in `for_s` and `gap_s`; a pair of bounds is drawn from evenly."""

    name: str
    is_planned: bool = False
    ranges: Mapping[str, tuple[float, float]] = field(default_factory=dict)
    counts: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    hows: tuple[str, ...] = ()
    needs: str = ""  # "service" or "class": a name of the site that the entry carries
    part: str = ""  # of the rules: the bench plays the kind only where the site names it among `contracts`

    def draw(self, at: float, chance: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """An entry of this kind at that second, in the form of the site files."""
        trouble: Trouble = {"at": round(at, 2), "kind": self.name}
        if self.needs == "service":
            trouble["service"] = chance.choice(services)
        elif self.needs == "class":
            trouble["class"] = chance.choice(classes)
        for name, (least, most) in self.ranges.items():
            trouble[name] = round(chance.uniform(least, most), 2)
        for name, (low, high) in self.counts.items():
            trouble[name] = chance.randint(low, high)
        how = chance.choice(self.hows) if self.hows else ""
        if how:
            trouble["how"] = how
        return trouble


@dataclass(frozen=True, slots=True)
class MachineKind(Kind):
    """A kind that strikes a share of the balancers, or one machine of the core."""

    def draw(self, at: float, chance: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """As the base: `on` is drawn as well, and with it how many and how."""
        if chance.random() < 0.5:
            return Kind.draw(self, at, chance, services, classes)
        trouble = Kind.draw(self, at, chance, services, classes)
        power = "power" in str(trouble.pop("how", ""))
        trouble.pop("share", None)
        how = chance.choice(CORE_HOWS)
        trouble |= {"on": CORE, "count": 1}
        if power:
            how = f"power {how}".strip()
        if how:
            trouble["how"] = how
        return trouble


@dataclass(frozen=True, slots=True)
class HerdKind(Kind):
    """A kill of many at once: of balancers, or of the whole core."""

    def draw(self, at: float, chance: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """As the base: `on` is drawn as well."""
        trouble = Kind.draw(self, at, chance, services, classes)
        if chance.random() < 0.5:
            how = chance.choice(("", "power", "race", "taken", "race drain hard"))
            trouble |= {"on": CORE, "how": how}
        return trouble


@dataclass(frozen=True, slots=True)
class RollKind(Kind):
    """Machines that end and start in turn: balancers, or those of the core."""

    def draw(self, at: float, chance: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """As the base: `on` is drawn as well; machines of the core come back."""
        trouble = Kind.draw(self, at, chance, services, classes)
        if chance.random() < 0.35:
            trouble |= {"on": CORE, "share": 1.0, "gap_s": round(chance.uniform(2.0, 4.0), 2), "how": ""}
        return trouble


_LASTS = {"for_s": (0.3, 6.0)}
_SHARE = {"share": (0.1, 0.6)}

KINDS: tuple[Kind, ...] = (
    Kind("burst", ranges={"x": (1.4, 3.0), "for_s": (2.0, 11.0)}, needs="class"),
    Kind(
        "srv_crash",
        ranges=_LASTS | {"share": (0.1, 0.35)},
        hows=("", "dark", "gone", "dark all"),
        needs="service",
    ),
    Kind("release", True, {"share": (0.2, 0.8), "gap_s": (0.4, 1.5)}, {"x": (1, 2)}),
    Kind("answer_lost", ranges=_LASTS | _SHARE | {"x": (0.02, 0.2)}, hows=("", "reset")),
    Kind("garble", ranges=_LASTS | _SHARE | {"x": (0.02, 0.2)}, hows=("", "extra", "extra late")),
    MachineKind("node_kill", ranges=_LASTS | {"share": (0.1, 0.4)}, hows=("", "power")),
    MachineKind("node_freeze", ranges=_LASTS | {"share": (0.1, 0.4)}),
    RollKind("roll_term", True, {"share": (0.3, 1.0), "gap_s": (0.7, 1.6)}, hows=("", "busy", "remove")),
    HerdKind("herd_kill", ranges={"share": (0.3, 0.9), "for_s": (0.3, 3.0)}, hows=("", "power")),
    Kind("replace_core", ranges={"x": (0.2, 4.0)}, hows=("", "planned")),
    Kind("seed_turnover", True),
    Kind("after_ack_wipe", ranges={"for_s": (0.3, 4.0)}),
    Kind("disk_slow", ranges=_LASTS | {"x": (10.0, 60.0)}, counts={"count": (1, 3)}),
    Kind("disk_full", ranges=_LASTS, counts={"count": (1, 3)}),
    Kind("disk_stall", ranges=_LASTS, counts={"count": (1, 2)}),
    Kind("clock_step", ranges=_LASTS | _SHARE | {"x": (500.0, 20000.0)}, hows=("back", "ahead", "")),
    Kind(
        "core_cut",
        ranges=_LASTS,
        counts={"count": (1, 1)},
        hows=("", "one_way", "leader", "leader race", "leader reset", "refuse meet drain", "leader one_way"),
    ),
    Kind("node_cut", ranges=_LASTS | {"share": (0.1, 0.5)}, hows=("", "servers", "reset", "refuse")),
    Kind("config_change", True, hows=("route", "weights", "timeout", "idle")),
    Kind("config_storm", True, {"for_s": (1.0, 5.0), "gap_s": (0.04, 0.4)}),
    Kind("config_race", True, {"gap_s": (0.2, 1.5)}, {"count": (1, 5)}),
    Kind(
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
            "stale_match",
            "shared_key",
        ),
    ),
    Kind("kv_slow", ranges=_LASTS | {"share": (0.2, 1.0), "x": (4.0, 40.0)}, needs="service"),
    Kind("handle_short", ranges=_LASTS | {"share": (0.2, 1.0)}, needs="service"),
    Kind("srv_slow", ranges=_LASTS | {"share": (0.1, 0.5), "x": (2.0, 8.0)}, needs="service"),
    Kind(
        "srv_grey",
        ranges=_LASTS | {"share": (0.1, 0.4), "x": (0.2, 0.9)},
        hows=("errors", "shed", "busy", "hang", "reset", "mute", "errors one_zone", "hang one_zone"),
    ),
    Kind(
        "srv_lying_health",
        ranges=_LASTS | {"share": (0.1, 0.4)},
        hows=("errors", "hang", "reset", "bad"),
        part="health",
    ),
    Kind("srv_flap", ranges=_LASTS | {"share": (0.1, 0.4), "gap_s": (0.4, 2.0)}, part="health"),
    Kind("shift", ranges=_LASTS | {"share": (0.2, 0.9)}),
    Kind("scale_out", True, {"share": (0.1, 0.5), "gap_s": (0.5, 3.0)}),
)
BY_NAME = {kind.name: kind for kind in KINDS}
