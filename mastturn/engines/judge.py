"""Scores a day by the rules of the bench (RULES, "The score"), as far as they are modelled.

Modelled: objectives, late worth, sizes, an answer in time after a refusal, the worst windows, the worst class
(also by its largest tenth and the fifth below it) and zone, repeated refusals, priority inversion, and the
prices of machines, their memory, calls of the list, connections, bytes between zones, KV transfers, unused
prefills, phase orders and repeated prefills of shared parts. Not modelled: processor time, late refusals.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from mastturn.engines.deployment import Deployment
from mastturn.engines.jobs import Counters
from mastturn.engines.records import Record

WINDOW_S = 2.0
OUTPUT_TOKEN_WEIGHT = 10  # weight of an output token relative to an input token
TAIL_S = 8.2  # machines are paid this long after the last request, about the longest deadline
# Factors on the worth, and the allowed difference in the served share.
REPEATED_REFUSAL_FACTOR, INVERSION_FACTOR, INVERSION_ALLOWED = 0.3, 0.5, 0.05
MIN_SIZE_GROUP = 30  # smallest group by size that counts on its own
MACHINE_GB = 0.0209  # memory of one program on the bench


@dataclass(slots=True)
class DayScore:
    """Score of a day: its worth, the parts of it and what it cost."""

    worth: float
    day: float
    window: float
    kind: float
    zone: float
    prices: dict[str, float]
    asked: int
    in_aim: int
    late: int
    refused: int  # final outcome, after all attempts
    failed: int
    refusals: int
    first_p50_ms: float
    first_p99_ms: float
    read: int
    again: int  # tokens of shared parts prefilled again
    wasted: int
    moved_gb: float
    handshakes: int
    preempted: int
    orders: int
    kinds: dict[str, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    seconds: float = 0.0  # processor time of the simulation


def worth_by_request(deployment: Deployment, records: Sequence[Record]) -> dict[int, float]:
    """Worth of each request, by number: scaled by its size relative to the mean of its class."""
    sizes: dict[str, list[float]] = defaultdict(list)
    for record in records:
        sizes[record.client_request.kind.name].append(_size(deployment, record))
    results = {}
    for record in records:
        kind = record.client_request.kind
        mean = sum(sizes[kind.name]) / len(sizes[kind.name])
        share = min(0.3 + 0.7 * _size(deployment, record) / mean, 4.0)
        results[record.client_request.number] = kind.worth * share
    return results


def _size(deployment: Deployment, record: Record) -> float:
    return (
        record.client_request.tokens
        + OUTPUT_TOKEN_WEIGHT * record.client_request.pieces * deployment.service.llm.stride
    )


def meets_objective(record: Record, since_try: bool = False) -> bool:
    """Whether the answer was complete, in time and without long pauses."""
    kind, first = (
        record.client_request.kind,
        record.retry_first_event_s if since_try else record.first_event_s,
    )
    in_time = first is not None and first * 1000 <= kind.aim_ms
    return record.is_complete and in_time and record.longest_pause_s * 1000 <= kind.stream.gap_aim_ms


def earned_share(record: Record) -> float:
    """Share of its worth that a request earns."""
    kind = record.client_request.kind
    if not record.is_complete:
        return 0.0
    late = kind.late_worth / kind.worth
    if meets_objective(record):
        return 1.0
    offered = record.refused is not None and record.refused * 1000 <= kind.aim_ms / 4
    if offered and meets_objective(record, since_try=True):
        return (1.0 + late) / 2
    return late


def score_day(
    deployment: Deployment,
    length: float,
    records: Sequence[Record],
    counters: Counters,
    handshakes: int,
    calls: int,
) -> DayScore:
    """Score a day of `length` seconds of traffic; `calls` counts calls of the platform's list."""
    request_worth = worth_by_request(deployment, records)

    def parts(key: Callable[[Record], str]) -> dict[str, float]:
        totals: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for record in records:
            entry = totals[key(record)]
            entry[0] += request_worth[record.client_request.number] * earned_share(record)
            entry[1] += request_worth[record.client_request.number]
        return {k: v[0] / v[1] for k, v in totals.items()}

    total = sum(request_worth.values())
    day = parts(lambda r: "")[""]
    windows = sorted(parts(lambda r: str(int(r.client_request.at // WINDOW_S))).values())
    kinds, zones = parts(lambda r: r.client_request.kind.name), parts(lambda r: r.client_request.zone)
    window = sum(windows[:2]) / len(windows[:2])
    goal = deployment.goal
    prices = {k: v / total for k, v in _prices(deployment, length, counters, handshakes, calls).items()}
    prices["refused again"] = (
        REPEATED_REFUSAL_FACTOR
        * sum(request_worth[r.client_request.number] for r in records if _is_refused_again(r))
        / total
    )
    prices["put behind"] = INVERSION_FACTOR * _inverted_worth(records, request_worth) / total
    kind, zone = (
        min([*kinds.values(), *_size_group_shares(deployment, records, request_worth)]),
        min(zones.values()),
    )
    worth = goal.mean * day + goal.window * window + goal.kind * kind + goal.zone * zone
    firsts = sorted(r.first_event_s for r in records if r.first_event_s is not None)
    in_aim = sum(meets_objective(r) for r in records)
    served = sum(r.is_complete for r in records)
    refused = sum(r.end == "refused" for r in records)
    return DayScore(
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
        counters.prefill_tokens,
        counters.reread_tokens,
        counters.wasted_tokens,
        counters.transferred_gb,
        handshakes,
        counters.preempted,
        counters.orders,
        kinds,
    )


def _is_refused_again(record: Record) -> bool:
    """Whether a request was refused, retried and refused again."""
    return record.end == "refused" and record.refusals > 1


def _inverted_worth(records: Sequence[Record], request_worth: dict[int, float]) -> float:
    """Worth of classes that are served less often than one of lower priority, beyond the allowance."""
    results: dict[int, list[Record]] = defaultdict(list)
    for record in records:
        results[record.client_request.kind.priority].append(record)
    served = {k: sum(r.is_complete for r in v) / len(v) for k, v in results.items()}
    worth = 0.0
    for priority, group_records in results.items():
        best = max((s for k, s in served.items() if k > priority), default=0.0)
        over = best - served[priority] - INVERSION_ALLOWED
        worth += max(over, 0.0) * sum(request_worth[r.client_request.number] for r in group_records)
    return worth


def _size_group_shares(
    deployment: Deployment, records: Sequence[Record], request_worth: dict[int, float]
) -> list[float]:
    """Earned share of the largest tenth of each class, and of the fifth below it, if large enough."""
    kinds: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        kinds[record.client_request.kind.name].append(record)
    results = []
    for group_records in kinds.values():
        group_records.sort(key=lambda r: -_size(deployment, r))
        tenth = len(group_records) // 10
        for group in (group_records[:tenth], group_records[tenth : 3 * tenth]):
            if len(group) >= MIN_SIZE_GROUP:
                weights = [request_worth[r.client_request.number] for r in group]
                totals = sum(w * earned_share(r) for w, r in zip(weights, group, strict=True))
                results.append(totals / sum(weights))
    return results


def _prices(
    deployment: Deployment, length: float, counters: Counters, handshakes: int, calls: int
) -> dict[str, float]:
    prices, machines = deployment.prices, sum(m.count for m in deployment.machines)
    span = deployment.lead_s + length + TAIL_S
    return {
        "machines": machines * span * prices.machine_s * deployment.thin,
        "memory": machines * span * MACHINE_GB * prices.memory_gb_s * deployment.thin,
        "list": calls * prices.cloud_call * deployment.thin,
        "between zones": counters.cross_zone_bytes / 1e9 * prices.cross_zone_gb,
        "connections": handshakes * prices.handshake,
        "moves": counters.transferred_gb * prices.kv_gb,
        "read for nothing": counters.wasted_tokens / 1000 * prices.read_waste,
        "read again": counters.reread_tokens / 1000 * prices.read,
        "orders": counters.orders * prices.order,
    }


def quantile(values: Sequence[float], share: float) -> float:
    """Quantile of sorted values; nan if there are none."""
    return values[min(int(len(values) * share), len(values) - 1)] if values else math.nan
