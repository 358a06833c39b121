"""Kinds of trouble that affect the control state: its processes, their disks and network, operators' changes.

These are the kinds of the bench with all of their variants. `overlap.py` draws days from them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from mastturn.days.kinds import CORE, Kind, Trouble

LONG_CUT_S = (0.5, 22.0)
SHORT_S = (0.3, 6.0)
SUFFIXES = ("", "meet", "meet drain", "race", "race drain", "race drain hard", "hard")
TARGETS = ("", "leader", "turn", "reader", "giver", "seed")
CUTS = ("", "one_way", "all", "near", "split", "oldest", "behind", "seeds", "both", "lure", "relieve")
CUT_CONNECTION_ENDS = ("", "", "reset", "refuse")


@dataclass(frozen=True, slots=True)
class CoreKind(Kind):
    """A kind that affects one machine of the core, or a given share of them."""

    def draw(self, at: float, rng: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """Draw as the base class, with `on` set to the core and a variant of target and follow-up action."""
        trouble = Kind.draw(self, at, rng, services, classes)
        words = [str(trouble.pop("how", "")), rng.choice(TARGETS), rng.choice(SUFFIXES)]
        how = " ".join(word for word in words if word)
        trouble |= {"on": CORE}
        if "share" not in trouble:
            trouble |= {"count": 1}
        if how:
            trouble["how"] = how
        return trouble


@dataclass(frozen=True, slots=True)
class CutKind(Kind):
    """A network partition between machines of the core, in one of its forms."""

    def draw(self, at: float, rng: random.Random, services: list[str], classes: list[str]) -> Trouble:
        """Draw as the base class, with variants of form, target, connection end and operators' action."""
        trouble = Kind.draw(self, at, rng, services, classes)
        form = rng.choice(CUTS)
        target = rng.choice(("", "leader")) if form in ("", "one_way", "all", "near") else ""
        words = [target, form, rng.choice(CUT_CONNECTION_ENDS), rng.choice(SUFFIXES)]
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
