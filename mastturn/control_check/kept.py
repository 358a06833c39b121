"""What histories and searches have given, kept as lines of JSON; and both summed up as tables."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from mastturn.control_check.explore import SearchResult
from mastturn.control_check.history import History
from mastturn.control_check.shape import Shape, Takeover
from mastturn.control_check.state import Bounds
from mastturn.files import LabError

TARGET_MS = 1_500.0
TROUBLE_LABELS = {
    "kill": "killed",
    "power": "loses power",
    "freeze": "frozen",
    "isolate": "cut off",
    "mute": "can't be heard",
    "deaf": "hears nothing",
    "flap": "cut and healed again and again",
    "wipe": "wiped",
    "replace": "replaced",
    "planned": "replaced as planned",
    "term": "told to stop",
    "full, write": "disk full: the first write",
    "hang, write": "disk hangs: the first write",
    "slow, write": "disk slow: the first write",
    "herd": "all killed at once, back within 1 s",
    "herd-beside-another": "all killed while one is in trouble",
}
TWO_TROUBLES = "two troubles at once"


@dataclass(frozen=True, slots=True)
class Series:
    """The histories of one shape: over how many machines, how long a sync takes, and which seeds."""

    machines: int
    sync_ms: float
    first: int
    last: int
    broken: tuple[str, ...]
    acknowledged: int
    reads: int
    views: int
    gaps: dict[str, list[float]]  # ms without an answer, by trouble, sorted
    slots_taken: list[float]  # ms until a newcomer has a slot, sorted
    healed: dict[str, list[float]] = field(default_factory=dict)  # ms from a return to full membership


def summarize(shape: Shape, histories: Sequence[History]) -> Series:
    """A series out of its histories."""
    gaps: defaultdict[str, list[float]] = defaultdict(list)
    for history in histories:
        for gap in history.gaps:
            gaps[TWO_TROUBLES if "+" in gap.trouble else gap.trouble].append(round(gap.took_ms, 1))
    return Series(
        shape.machines,
        shape.sync_ms,
        min(h.seed for h in histories),
        max(h.seed for h in histories),
        tuple(f"{h.seed}: {h.broken}" for h in histories if h.broken),
        sum(h.acknowledged for h in histories),
        sum(h.reads for h in histories),
        sum(h.views for h in histories),
        {kind: sorted(found) for kind, found in sorted(gaps.items())},
        sorted(round(ms, 1) for h in histories for ms in h.slots_taken),
        _by_trouble(took for h in histories for took in h.healed),
    )


def _by_trouble(found: Iterable[Takeover]) -> dict[str, list[float]]:
    by_trouble: defaultdict[str, list[float]] = defaultdict(list)
    for one in found:
        by_trouble[one.trouble].append(round(one.took_ms, 1))
    return {kind: sorted(times) for kind, times in sorted(by_trouble.items())}


def write_series(path: Path, series: Series) -> None:
    """Write a series to a file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(asdict(series)) + "\n", encoding="utf-8")


def read_series(path: Path) -> Series:
    """A series out of its file; raises LabError."""
    try:
        raw = json.loads(path.read_text(encoding="utf-8"))
        return Series(**{**raw, "broken": tuple(raw["broken"])})
    except (OSError, ValueError, TypeError, KeyError) as error:
        raise LabError(f"{path} is no series of histories ({error}); make one with play --out") from None


def at_share(values: Sequence[float], share: float) -> float:
    """The value that so large a share of the sorted ones doesn't exceed."""
    return values[min(int(len(values) * share), len(values) - 1)]


def histories_table(found: Iterable[Series]) -> list[str]:
    """How much was played, and what was broken."""
    lines = [
        "| histories of 60 s | seeds | broken | acknowledged | reads | views |",
        "|---|---|---|---|---|---|",
    ]
    for one in found:
        lines.append(
            f"| {one.machines} machines, {one.sync_ms:g} ms a sync | {one.first} to {one.last} "
            f"| {len(one.broken)} | {one.acknowledged:,} | {one.reads:,} | {one.views:,} |"
        )
    return lines


def takeovers_table(found: Sequence[Series]) -> list[str]:
    """Time without an answer by trouble: how many; median, 95 of 100, most; how many above the aim."""
    heads = "".join(f" {one.machines} machines, {one.sync_ms:g} ms a sync |" for one in found)
    lines = [f"| trouble |{heads}", "|---|" + "---|" * len(found)]
    for kind, words in (*TROUBLE_LABELS.items(), (TWO_TROUBLES, TWO_TROUBLES)):
        cells = [_cell(one.gaps.get(kind, [])) for one in found]
        lines.append(f"| {words} | " + " | ".join(cells) + " |")
    return lines


def healed_table(found: Sequence[Series]) -> list[str]:
    """Time from a machine's return until the next loss is borne: how many; median, 99 of 100, most; in ms."""
    kinds = list(dict.fromkeys(kind for one in found for kind in one.healed))
    if not kinds:
        return []
    heads = "".join(f" {one.machines} machines, {one.sync_ms:g} ms a sync |" for one in found)
    lines = [f"| healed after |{heads}", "|---|" + "---|" * len(found)]
    for kind in kinds:
        cells = []
        for one in found:
            times = one.healed.get(kind, [])
            figures = (at_share(times, 0.5), at_share(times, 0.99), times[-1]) if times else ()
            cells.append(f"{len(times):,}: " + ", ".join(f"{ms:,.0f}" for ms in figures))
        lines.append(f"| {kind} | " + " | ".join(cells) + " |")
    return lines


def _cell(values: Sequence[float]) -> str:
    if not values:
        return "-"
    over = sum(v > TARGET_MS for v in values)
    above = f"; {over} above" if over else ""
    middle, most = at_share(values, 0.5), values[-1]
    return f"{len(values):,}: {middle:,.0f}, {at_share(values, 0.95):,.0f}, {most:,.0f}{above}"


def search_row(bounds: Bounds, found: SearchResult) -> str:
    """A line of the table of searches."""
    extra = f", {bounds.wipes} wipes" if bounds.wipes else ""
    whole = f"yes, depth {found.depth}" if found.is_whole else f"no: all of fewer than {found.depth} steps"
    return (
        f"| {bounds.machines} | {bounds.writes} | {bounds.campaigns} | {bounds.crashes}{extra} "
        f"| {found.states:,} | {whole} | {found.broken or 'none'} | {found.seconds:.0f} |"
    )
