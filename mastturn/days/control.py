"""Kinds of trouble that strike the control state: its processes, their disks and network, operators' changes.

They are those of the bench, with all of their variants. `overlap.py` draws days of them.
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
