"""What a day was worth (RULES, "The score"), as far as it is modelled.

Modelled: aims, late worth, sizes, a refusal and then an answer in time, the worst windows, kind (the largest
tenth of one and the fifth below it too) and zone, what is refused again or put behind, and the prices of
machines, memory of machines, calls of the list, connections, bytes between zones, moves, prompts read for
nothing, orders, shared parts that are read again. Not modelled: processor time, refusals that come late.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from mastturn.engines.deployment import Sheet
from mastturn.engines.jobs import Figures
from mastturn.engines.records import Record

WINDOW_S = 2.0
OUT_WEIGHT = 10  # of a token out against one in
TAIL_S = 8.2  # machines run on after the last request, about the longest deadline
REFUSED_AGAIN, BEHIND, BEHIND_ALLOWED = 0.3, 0.5, 0.05  # shares of the worth, and of what is served
LEAST_OF_SIZE = 30  # requests that a tenth by size has to have to count by itself
MACHINE_GB = 0.0209  # of memory that one program takes on the bench


@dataclass(slots=True)
class Worth:
    """What a day was worth and what it cost."""

    worth: float
    day: float
    window: float
    kind: float
    zone: float
    prices: dict[str, float]
    asked: int
    in_aim: int
    late: int
    refused: int  # at the end
    failed: int
    refusals: int
    first_p50_ms: float
    first_p99_ms: float
    read: int
    again: int  # tokens of shared parts
    wasted: int
    moved_gb: float
    handshakes: int
    preempted: int
    orders: int
    kinds: dict[str, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    seconds: float = 0.0  # of a core that the play took


def weigh(sheet: Sheet, records: Sequence[Record]) -> dict[int, float]:
    """The worth that each request is owed, by number: by its size against the mean of its kind."""
    sizes: dict[str, list[float]] = defaultdict(list)
    for record in records:
        sizes[record.asked.kind.name].append(_size(sheet, record))
    found = {}
    for record in records:
        kind = record.asked.kind
        mean = sum(sizes[kind.name]) / len(sizes[kind.name])
        share = min(0.3 + 0.7 * _size(sheet, record) / mean, 4.0)
        found[record.asked.number] = kind.worth * share
    return found


def _size(sheet: Sheet, record: Record) -> float:
    return record.asked.tokens + OUT_WEIGHT * record.asked.pieces * sheet.service.llm.stride


def is_in_aim(record: Record, since_try: bool = False) -> bool:
    """Whether an answer came whole, in time and without long pauses."""
    kind, first = record.asked.kind, record.again_first if since_try else record.first
    in_time = first is not None and first * 1000 <= kind.aim_ms
    return record.whole and in_time and record.pause * 1000 <= kind.stream.gap_aim_ms


def earned(record: Record) -> float:
    """The share of its worth that a request earns."""
    kind = record.asked.kind
    if not record.whole:
        return 0.0
    late = kind.late_worth / kind.worth
    if is_in_aim(record):
        return 1.0
    offered = record.refused is not None and record.refused * 1000 <= kind.aim_ms / 4
    if offered and is_in_aim(record, since_try=True):
        return (1.0 + late) / 2
    return late


def judge(
    sheet: Sheet, length: float, records: Sequence[Record], figures: Figures, handshakes: int, calls: int
) -> Worth:
    """Weigh a day of so many seconds of traffic; `calls` of the platform's list."""
    owed = weigh(sheet, records)

    def parts(key: Callable[[Record], str]) -> dict[str, float]:
        got: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for record in records:
            entry = got[key(record)]
            entry[0] += owed[record.asked.number] * earned(record)
            entry[1] += owed[record.asked.number]
        return {k: v[0] / v[1] for k, v in got.items()}

    total = sum(owed.values())
    day = parts(lambda r: "")[""]
    windows = sorted(parts(lambda r: str(int(r.asked.at // WINDOW_S))).values())
    kinds, zones = parts(lambda r: r.asked.kind.name), parts(lambda r: r.asked.zone)
    window = sum(windows[:2]) / len(windows[:2])
    goal = sheet.goal
    prices = {k: v / total for k, v in _prices(sheet, length, figures, handshakes, calls).items()}
    prices["refused again"] = (
        REFUSED_AGAIN * sum(owed[r.asked.number] for r in records if _in_vain(r)) / total
    )
    prices["put behind"] = BEHIND * _behind(records, owed) / total
    kind, zone = min([*kinds.values(), *_sizes(sheet, records, owed)]), min(zones.values())
    worth = goal.mean * day + goal.window * window + goal.kind * kind + goal.zone * zone
    firsts = sorted(r.first for r in records if r.first is not None)
    in_aim = sum(is_in_aim(r) for r in records)
    served = sum(r.whole for r in records)
    refused = sum(r.end == "refused" for r in records)
    return Worth(
        worth - sum(prices.values()),
        day,
        window,
        kind,
        zone,
        prices,
        len(records),
        in_aim,
        served - in_aim,
        refused,
        len(records) - served - refused,
        sum(r.refusals for r in records),
        quantile(firsts, 0.5) * 1000,
        quantile(firsts, 0.99) * 1000,
        figures.read,
        figures.again,
        figures.wasted,
        figures.moved_gb,
        handshakes,
        figures.preempted,
        figures.orders,
        kinds,
    )


def _in_vain(record: Record) -> bool:
    """It came back after a refusal and was refused."""
    return record.end == "refused" and record.refusals > 1


def _behind(records: Sequence[Record], owed: dict[int, float]) -> float:
    """Worth of kinds that are served less often than a less urgent one, beyond what is allowed."""
    found: dict[int, list[Record]] = defaultdict(list)
    for record in records:
        found[record.asked.kind.priority].append(record)
    served = {k: sum(r.whole for r in v) / len(v) for k, v in found.items()}
    worth = 0.0
    for priority, mine in found.items():
        best = max((s for k, s in served.items() if k > priority), default=0.0)
        over = best - served[priority] - BEHIND_ALLOWED
        worth += max(over, 0.0) * sum(owed[r.asked.number] for r in mine)
    return worth


def _sizes(sheet: Sheet, records: Sequence[Record], owed: dict[int, float]) -> list[float]:
    """Worth of the largest tenth of each kind, and of the fifth below it, where those are many enough."""
    kinds: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        kinds[record.asked.kind.name].append(record)
    found = []
    for mine in kinds.values():
        mine.sort(key=lambda r: -_size(sheet, r))
        tenth = len(mine) // 10
        for group in (mine[:tenth], mine[tenth : 3 * tenth]):
            if len(group) >= LEAST_OF_SIZE:
                weights = [owed[r.asked.number] for r in group]
                got = sum(w * earned(r) for w, r in zip(weights, group, strict=True))
                found.append(got / sum(weights))
    return found


def _prices(sheet: Sheet, length: float, figures: Figures, handshakes: int, calls: int) -> dict[str, float]:
    prices, machines = sheet.prices, sum(m.count for m in sheet.machines)
    span = sheet.lead_s + length + TAIL_S
    return {
        "machines": machines * span * prices.machine_s * sheet.thin,
        "memory": machines * span * MACHINE_GB * prices.memory_gb_s * sheet.thin,
        "list": calls * prices.cloud_call * sheet.thin,
        "between zones": figures.crossed / 1e9 * prices.cross_zone_gb,
        "connections": handshakes * prices.handshake,
        "moves": figures.moved_gb * prices.kv_gb,
        "read for nothing": figures.wasted / 1000 * prices.read_waste,
        "read again": figures.again / 1000 * prices.read,
        "orders": figures.orders * prices.order,
    }


def quantile(values: Sequence[float], share: float) -> float:
    """Of sorted values; nan where there are none."""
    return values[min(int(len(values) * share), len(values) - 1)] if values else math.nan
