"""Converts the result of a simulated day to plain values for JSON files, tables and plots."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from mastturn.emulator.day import Day
from mastturn.emulator.events import START_MS
from mastturn.emulator.judge import RULES, Judge, Score, counted_requests, is_served
from mastturn.emulator.record import DayResult
from mastturn.lab.losses import Lost, losses

QUANTILES = (50.0, 90.0, 99.0, 99.9)
LOWEST_US, HIGHEST_US, DIGITS = 1, 3_600_000_000, 3
SHARE = "share of the worth asked, 0 to 1"
POINTS = "points taken off the score"


def _quantity(value: float, unit: str) -> dict[str, Any]:
    return {"value": round(value, 6), "unit": unit}


def latencies(played: DayResult) -> HdrHistogram:
    """Latencies of served requests, in microseconds, from the client's first attempt."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for client_request in counted_requests(played.judge.client_requests):
        if client_request.served_ms >= 0:
            histogram.record_value(
                max(LOWEST_US, int((client_request.served_ms - client_request.arrived_ms) * 1000))
            )
    return histogram


def _series(played: DayResult) -> dict[str, Any]:
    """Time series by second, for plots."""
    length = int(played.day.fleet.length_ms // 1000)
    asked, served, refused = ([0.0] * length for _ in range(3))
    for client_request in played.judge.client_requests:
        second = int((client_request.arrived_ms - START_MS) // 1000)
        if second < length:
            asked[second] += client_request.worth
            served[second] += client_request.worth * is_served(client_request)
            refused[second] += client_request.worth * (
                not is_served(client_request) and client_request.served_ms < 0
            )
    samples = [s for s in played.samples if s.at_ms <= played.day.fleet.length_ms]
    return {
        "unit": "worth asked, served, unanswered in each second of arrival; calls out; cores in use",
        "asked": [round(v, 3) for v in asked],
        "served": [round(v, 3) for v in served],
        "unanswered": [round(v, 3) for v in refused],
        "out": [list(s.in_flight) for s in samples],
        "util": [[round(u, 2) for u in s.util] for s in samples],
        "boxes": list(played.box_names),
    }


def _parts(parts: Score) -> dict[str, Any]:
    return {
        "whole": _quantity(parts.whole, SHARE),
        "worst_window": _quantity(parts.worst_window, f"{SHARE}, of the worst 10 s"),
        "worst_class": _quantity(parts.worst_class, SHARE),
        "worst_tenant": _quantity(parts.worst_tenant, SHARE),
    }


def _counts(played: DayResult) -> dict[str, Any]:
    judge = played.judge
    served = sum(is_served(f) for f in judge.client_requests)
    return {
        "requests": _quantity(len(judge.client_requests), "clients' first tries"),
        "served": _quantity(served, "first tries answered within their aim"),
        "unreached": _quantity(judge.counts["unreached by clients"], "tries that met no balancer"),
        "later_tries": _quantity(judge.counts["later tries"], "tries"),
        "list_calls": _quantity(judge.counts["list calls"], "calls for the list of servers"),
        "fallen": _quantity(played.fallen, "cold boxes pushed over"),
        "events": _quantity(played.events, "simulated events"),
    }


def _tier(judge: Judge, number: int) -> dict[str, Any]:
    """Counts of the balancers in front of one tier."""
    return {
        "calls": _quantity(judge.calls[number], "requests at balancers"),
        "sends": _quantity(judge.sends[number], "attempts"),
        "retries": _quantity(judge.retries[number], "attempts after the first"),
        "handshakes": _quantity(judge.handshakes[number], "connections opened"),
        "outcomes": dict(sorted(judge.outcomes[number].items())),
        "answers": {final.value: count for final, count in sorted(judge.ended[number].items(), key=str)},
    }


def _latency(played: DayResult) -> dict[str, Any]:
    histogram = latencies(played)
    return {
        **{f"p{q:g}": _quantity(histogram.get_value_at_percentile(q) / 1000, "ms") for q in QUANTILES},
        "histogram": histogram.encode().decode(),
    }


def _loss(lost: Lost) -> dict[str, Any]:
    return {
        "tier": lost.tier,
        "cause": lost.cause,
        "worth_share": round(lost.worth_share, 6),
        "requests": lost.requests,
        "by_class": {k: round(v, 6) for k, v in lost.by_class.items()},
        "by_second": {str(k): round(v, 6) for k, v in lost.by_second.items()},
    }


def _day_size(day: Day) -> dict[str, Any]:
    """Size of the day."""
    return {
        "balancers": [
            len(day.machines[tier - 1]) if tier else day.fleet.balancers_front
            for tier in range(len(day.tiers))
        ],
        "boxes": [len(machines) for machines in day.machines],
        "requests_per_s": round(day.requests_per_s, 3),
        "load_share": round(day.fleet.load_share, 4),
        "length_s": day.fleet.length_ms / 1000,
        "passes_deadline": day.passes_deadline,
    }


def result_values(name: str, version: str, played: DayResult, series: bool = True) -> dict[str, Any]:
    """Return a run as plain values with units; independent of time and machine."""
    judge, parts = played.judge, played.parts
    result: dict[str, Any] = {
        "scenario": name,
        "seed": played.day.seed,
        "version": version,
        "digest": played.digest,
        "fault": played.fault,
        "score": _quantity(parts.g, SHARE),
        "parts": _parts(parts),
        "prices": {key: _quantity(value, POINTS) for key, value in parts.prices.items()},
        "rules": {rule: _quantity(judge.rules[rule], "times broken") for rule in RULES},
        "breaks": judge.breaks,
        "counts": _counts(played),
        "tiers": {tier.name: _tier(judge, number) for number, tier in enumerate(played.day.tiers)},
        "latency": _latency(played),
        "losses": [_loss(lost) for lost in losses(played)],
        "troubles": [{"name": n, "start_s": s / 1000, "end_s": e / 1000} for n, s, e in played.marks],
        "day": _day_size(played.day),
    }
    if series:
        result["series"] = _series(played)
    return result
