"""Defines the kinds of trouble of a day and the bounds from which their fields are drawn."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

Field = str | float | int
Trouble = dict[str, Field]

FRONT, CORE = "front", "core"
CORE_VARIANTS = ("", "leader", "seed", "race drain", "leader race drain hard", "leader meet drain", "meet")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of trouble; `for_s` and `gap_s` are in seconds. Fields are drawn uniformly within bounds."""

    name: str
    is_planned: bool = False
    ranges: Mapping[str, tuple[float, float]] = field(default_factory=dict)
    counts: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    hows: tuple[str, ...] = ()
    needs: str = ""  # "service" or "class": the entry names one of the site's
    part: str = ""  # the bench supports the kind only if the site lists this part in `contracts`

    def draw(self, at: float, rng: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """Draw an entry of this kind at second `at`, in the form of the site files."""
        trouble: Trouble = {"at": round(at, 2), "kind": self.name}
        if self.needs == "service":
            trouble["service"] = rng.choice(services)
        elif self.needs == "class":
            trouble["class"] = rng.choice(classes)
        for name, (minimum, maximum) in self.ranges.items():
            trouble[name] = round(rng.uniform(minimum, maximum), 2)
        for name, (low, high) in self.counts.items():
            trouble[name] = rng.randint(low, high)
        how = rng.choice(self.hows) if self.hows else ""
        if how:
            trouble["how"] = how
        return trouble


@dataclass(frozen=True, slots=True)
class MachineKind(Kind):
    """A kind that affects a share of the balancers, or one machine of the core."""

    def draw(self, at: float, rng: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """Draw as the base class, or for one machine of the core with a variant of its own."""
        if rng.random() < 0.5:
            return Kind.draw(self, at, rng, services, classes)
        trouble = Kind.draw(self, at, rng, services, classes)
        power = "power" in str(trouble.pop("how", ""))
        trouble.pop("share", None)
        how = rng.choice(CORE_VARIANTS)
        trouble |= {"on": CORE, "count": 1}
        if power:
            how = f"power {how}".strip()
        if how:
            trouble["how"] = how
        return trouble


@dataclass(frozen=True, slots=True)
class MassKillKind(Kind):
    """A simultaneous kill of many balancers, or of the whole core."""

    def draw(self, at: float, rng: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """Draw as the base class, or for the core with a variant of its own."""
        trouble = Kind.draw(self, at, rng, services, classes)
        if rng.random() < 0.5:
            how = rng.choice(("", "power", "race", "taken", "race drain hard"))
            trouble |= {"on": CORE, "how": how}
        return trouble


@dataclass(frozen=True, slots=True)
class RollingRestartKind(Kind):
    """A rolling restart of balancers, or of the machines of the core."""

    def draw(self, at: float, rng: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """Draw as the base class, or for the core; machines of the core always restart."""
        trouble = Kind.draw(self, at, rng, services, classes)
        if rng.random() < 0.35:
            trouble |= {"on": CORE, "share": 1.0, "gap_s": round(rng.uniform(2.0, 4.0), 2), "how": ""}
        return trouble


_DURATION = {"for_s": (0.3, 6.0)}
_AFFECTED_SHARE = {"share": (0.1, 0.6)}

KINDS: tuple[Kind, ...] = (
    Kind("burst", ranges={"x": (1.4, 3.0), "for_s": (2.0, 11.0)}, needs="class"),
    Kind(
        "srv_crash",
        ranges=_DURATION | {"share": (0.1, 0.35)},
        hows=("", "dark", "gone", "dark all"),
        needs="service",
    ),
    Kind("release", True, {"share": (0.2, 0.8), "gap_s": (0.4, 1.5)}, {"x": (1, 2)}),
    Kind("answer_lost", ranges=_DURATION | _AFFECTED_SHARE | {"x": (0.02, 0.2)}, hows=("", "reset")),
    Kind("garble", ranges=_DURATION | _AFFECTED_SHARE | {"x": (0.02, 0.2)}, hows=("", "extra", "extra late")),
    MachineKind("node_kill", ranges=_DURATION | {"share": (0.1, 0.4)}, hows=("", "power")),
    MachineKind("node_freeze", ranges=_DURATION | {"share": (0.1, 0.4)}),
    RollingRestartKind(
        "roll_term", True, {"share": (0.3, 1.0), "gap_s": (0.7, 1.6)}, hows=("", "busy", "remove")
    ),
    MassKillKind("herd_kill", ranges={"share": (0.3, 0.9), "for_s": (0.3, 3.0)}, hows=("", "power")),
    Kind("replace_core", ranges={"x": (0.2, 4.0)}, hows=("", "planned")),
    Kind("seed_turnover", True),
    Kind("after_ack_wipe", ranges={"for_s": (0.3, 4.0)}),
    Kind("disk_slow", ranges=_DURATION | {"x": (10.0, 60.0)}, counts={"count": (1, 3)}),
    Kind("disk_full", ranges=_DURATION, counts={"count": (1, 3)}),
    Kind("disk_stall", ranges=_DURATION, counts={"count": (1, 2)}),
    Kind(
        "clock_step", ranges=_DURATION | _AFFECTED_SHARE | {"x": (500.0, 20000.0)}, hows=("back", "ahead", "")
    ),
    Kind(
        "core_cut",
        ranges=_DURATION,
        counts={"count": (1, 1)},
        hows=("", "one_way", "leader", "leader race", "leader reset", "refuse meet drain", "leader one_way"),
    ),
    Kind("node_cut", ranges=_DURATION | {"share": (0.1, 0.5)}, hows=("", "servers", "reset", "refuse")),
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
    Kind("kv_slow", ranges=_DURATION | {"share": (0.2, 1.0), "x": (4.0, 40.0)}, needs="service"),
    Kind("handle_short", ranges=_DURATION | {"share": (0.2, 1.0)}, needs="service"),
    Kind("srv_slow", ranges=_DURATION | {"share": (0.1, 0.5), "x": (2.0, 8.0)}, needs="service"),
    Kind(
        "srv_grey",
        ranges=_DURATION | {"share": (0.1, 0.4), "x": (0.2, 0.9)},
        hows=("errors", "shed", "busy", "hang", "reset", "mute", "errors one_zone", "hang one_zone"),
    ),
    Kind(
        "srv_lying_health",
        ranges=_DURATION | {"share": (0.1, 0.4)},
        hows=("errors", "hang", "reset", "bad"),
        part="health",
    ),
    Kind("srv_flap", ranges=_DURATION | {"share": (0.1, 0.4), "gap_s": (0.4, 2.0)}, part="health"),
    Kind("shift", ranges=_DURATION | {"share": (0.2, 0.9)}),
    Kind("scale_out", True, {"share": (0.1, 0.5), "gap_s": (0.5, 3.0)}),
)
BY_NAME = {kind.name: kind for kind in KINDS}
