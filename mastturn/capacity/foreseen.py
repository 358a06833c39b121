"""What hollow fleets of some sizes foresee of a larger one, and what was measured there."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from dissemination.load_steps import BYTES_S, FIGURE_BYTES, STEP_BYTES
from dissemination.loads import REPORT_INTERVAL_S
from dissemination.relay_tree import DEGREE
from mastturn.capacity.shapes import FITTED, HELD_OUT, TARGET, Shape
from mastturn.capacity.slopes import Line, agrees, fit
from mastturn.capacity.sources import as_quiet

Figures = dict[str, Any]
Regressor = Callable[[Shape], float]


def shape_of(balancers: int) -> Shape:
    """The target with fewer balancers, and traffic in proportion."""
    return replace(TARGET, balancers=balancers)


def _loaded(shape: Shape, balancers: float) -> float:
    """Upstreams at which so many balancers together have work: the mean, where each choice is at random."""
    rate = shape.requests_s * balancers / 350
    readers = shape.upstreams * shape.reading
    runners = shape.upstreams - readers
    return readers * (1 - math.exp(-rate * shape.read_s / readers)) + runners * (
        1 - math.exp(-rate * shape.stream_s / runners)
    )


def told_entries(shape: Shape) -> float:
    """Entries of the sums that go down."""
    return _loaded(shape, shape.balancers)


def zone_entries(shape: Shape) -> float:
    """Upstreams at which the balancers of one zone have work: what its first one sums up and looks at."""
    return _loaded(shape, shape.balancers / shape.zones)


def _steps(shape: Shape, balancers: float) -> float:
    """Bytes a second of steps that tell so many balancers' load: what changes, up to what may be told."""
    loaded = _loaded(shape, balancers)
    changes_s = 4 * shape.requests_s * balancers / 350
    changed = loaded * (1 - math.exp(-changes_s * REPORT_INTERVAL_S / loaded))
    return min((STEP_BYTES + FIGURE_BYTES * changed) / REPORT_INTERVAL_S, BYTES_S)


def steps_down(shape: Shape) -> float:
    """Bytes a second of the sums that each balancer is told."""
    return _steps(shape, shape.balancers)


def steps_up(shape: Shape) -> float:
    """Bytes a second of all zones' reports to the primary."""
    return shape.zones * _steps(shape, shape.balancers / shape.zones)


def head_children(shape: Shape) -> float:
    """Balancers that the first of a zone tells."""
    return min(float(DEGREE), shape.balancers / shape.zones - 1)


def balancers(shape: Shape) -> float:
    """How many there are."""
    return float(shape.balancers)


def one_report_entries(shape: Shape) -> float:
    """Entries of one balancer's own report."""
    return _loaded(shape, 1)


def total(counter: dict[str, float], *kinds: str) -> float:
    """Sum of some kinds, or of all."""
    return sum(v for k, v in counter.items() if not kinds or k in kinds)


def rate(figures: Figures, phase: str, role: str, what: str, *kinds: str) -> float:
    """Per second, the mean over a role's programs; processor time as on a quiet core."""
    told = figures["phases"][phase]
    found = total(told["roles"][role][what], *kinds) / float(told["seconds"])
    return as_quiet(found, float(told["spin_ns"])) if what == "cpu" else found


def without_lists(figures: Figures, role: str) -> float:
    """Processor time at the peak; changes of the list, by orders in a play, have a line of their own."""
    return rate(figures, "busy", role, "cpu") - rate(figures, "busy", role, "cpu", *LISTS)


def per_change(figures: Figures, phase: str, role: str, what: str, *kinds: str) -> float:
    """For one change of a phase that makes some."""
    told = figures["phases"][phase]
    changes = float(told.get("changes") or told.get("restarts") or 1)
    found = total(told["roles"][role][what], *kinds) / changes
    return as_quiet(found, float(told["spin_ns"])) if what == "cpu" else found


@dataclass(frozen=True, slots=True)
class Quantity:
    """Something that is measured at every size, and what it grows with."""

    name: str
    unit: str
    scale: float
    grows_with: str
    regressor: Regressor
    value: Callable[[Figures], float]


LOADS = ("LoadNews", "LoadStep")
REPORTS = ("LoadReport", "LoadReportStep")
LISTS = ("UpstreamNews", "UpstreamChange")
QUANTITIES = (
    Quantity("balancer, quiet: bytes in and out", "B/s", 1, "balancers", balancers,
             lambda f: rate(f, "quiet", "leaf", "got_bytes") + rate(f, "quiet", "leaf", "sent_bytes")),
    Quantity("balancer, quiet: processor time", "% of a core", 100, "balancers", balancers,
             lambda f: rate(f, "quiet", "leaf", "cpu")),
    Quantity("balancer, peak: sums of load in", "kB/s", 1e-3, "bytes of steps", steps_down,
             lambda f: rate(f, "busy", "leaf", "got_bytes", *LOADS)),
    Quantity("balancer, peak: reports of load out", "kB/s", 1e-3, "balancers", balancers,
             lambda f: rate(f, "busy", "leaf", "sent_bytes", *REPORTS)),
    Quantity("balancer, peak: processor time, no list", "% of a core", 100, "bytes of steps", steps_down,
             lambda f: without_lists(f, "leaf")),
    Quantity("head of a zone, peak: sums of load out", "kB/s", 1e-3, "bytes of steps x children",
             lambda s: steps_down(s) * head_children(s),
             lambda f: rate(f, "busy", "head", "sent_bytes", *LOADS)),
    Quantity("head, peak: processor time, no list", "% of a core", 100, "entries of its zone", zone_entries,
             lambda f: without_lists(f, "head")),
    Quantity("primary, peak: reports of load in", "kB/s", 1e-3, "bytes of steps", steps_up,
             lambda f: rate(f, "busy", "primary", "got_bytes", *REPORTS)),
    Quantity("primary, peak: sums of load out", "kB/s", 1e-3, "bytes of steps x zones",
             lambda s: steps_down(s) * s.zones,
             lambda f: rate(f, "busy", "primary", "sent_bytes", *LOADS)),
    Quantity("primary, peak: processor time", "% of a core", 100, "entries told", told_entries,
             lambda f: rate(f, "busy", "primary", "cpu")),
    Quantity("primary, quiet: rolls in", "B/s", 1, "balancers", balancers,
             lambda f: rate(f, "quiet", "primary", "got_bytes", "Roll")),
    Quantity("primary, quiet: processor time", "% of a core", 100, "balancers", balancers,
             lambda f: rate(f, "quiet", "primary", "cpu")),
    Quantity("backup, idle, caches empty: processor time", "% of a core", 100, "balancers", balancers,
             lambda f: rate(f, "idle", "backup", "cpu")),
    Quantity("witness, quiet: bytes in and out", "B/s", 1, "balancers", balancers,
             lambda f: rate(f, "quiet", "witness", "got_bytes") + rate(f, "quiet", "witness", "sent_bytes")),
    Quantity("configuration: bytes out of the primary, one change", "kB", 1e-3, "balancers", balancers,
             lambda f: per_change(f, "configuration", "primary", "sent_bytes", "ConfigurationNews")),
    Quantity("configuration: processor time of a balancer, one change", "ms", 1e3, "balancers", balancers,
             lambda f: per_change(f, "configuration", "leaf", "cpu", "ConfigurationNews")),
    Quantity("list: bytes into a balancer, one change", "kB", 1e-3, "balancers", balancers,
             lambda f: rate(f, "list", "leaf", "got_bytes", *LISTS)
             / max(rate(f, "list", "leaf", "got", *LISTS), 1e-9)),
    Quantity("list: processor time of a balancer, one change", "ms", 1e3, "balancers", balancers,
             lambda f: rate(f, "list", "leaf", "cpu", *LISTS)
             / max(rate(f, "list", "leaf", "got", *LISTS), 1e-9)),
    Quantity("restart of one: members told to a balancer", "kB", 1e-3, "balancers", balancers,
             lambda f: per_change(f, "restart", "leaf", "got_bytes", "MemberNews")),
    Quantity("start of all: bytes out of the primary", "MB", 1e-6, "balancers", balancers,
             lambda f: per_change(f, "boot", "primary", "sent_bytes")),
    Quantity("memory of a balancer's tables", "MB", 1, "balancers", balancers,
             lambda f: float(f["memory_mb_a_balancer"])),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Foreseen:
    """A quantity's line through the fitted sizes, and what was found at the size that was left out."""

    quantity: Quantity
    line: Line
    foreseen: float
    low: float
    high: float
    measured: float | None

    @property
    def agrees(self) -> bool | None:
        """Whether both are within a quarter; None where nothing was measured."""
        return None if self.measured is None else agrees(self.foreseen, self.measured)


def read_fleets(folder: Path, charged: bool = False) -> dict[int, list[Figures]]:
    """The saved days of hollow fleets with all of the target's upstreams, by how many balancers they had."""
    found: dict[int, list[Figures]] = {}
    for path in sorted(folder.glob("fleet-*.json")):
        figures = json.loads(path.read_text(encoding="utf-8"))
        if bool(figures["charge"]) == charged and figures["shape"]["upstreams"] == TARGET.upstreams:
            found.setdefault(int(figures["shape"]["balancers"]), []).append(figures)
    return found


def foresee(fleets: dict[int, list[Figures]]) -> list[Foreseen]:
    """All quantities; those that not all fitted sizes have are left out."""
    found = []
    for quantity in QUANTITIES:
        points = []
        for size in FITTED:
            for figures in fleets.get(size, []):
                points.append((quantity.regressor(shape_of(size)), quantity.value(figures) * quantity.scale))
        if len({x for x, _ in points}) < 2:
            continue
        line, x = fit(points), quantity.regressor(shape_of(HELD_OUT))
        held = [quantity.value(figures) * quantity.scale for figures in fleets.get(HELD_OUT, [])]
        measured = sum(held) / len(held) if held else None
        low, high = line.bounds_at(x)
        found.append(Foreseen(quantity, line, line.at(x), max(low, 0.0), high, measured))
    return found
