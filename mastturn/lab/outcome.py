"""The result of one played day as plain values: what JSON files hold and what tables and pictures are made
of."""

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


def _figure(value: float, unit: str) -> dict[str, Any]:
    return {"value": round(value, 6), "unit": unit}


def latencies(played: DayResult) -> HdrHistogram:
    """Times of the answers that were served, in microseconds, from the client's first try."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for client_request in counted_requests(played.judge.client_requests):
        if client_request.served_ms >= 0:
            histogram.record_value(
                max(LOWEST_US, int((client_request.served_ms - client_request.arrived_ms) * 1000))
            )
    return histogram


def _series(played: DayResult) -> dict[str, Any]:
    """Figures of each second, for pictures."""
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
        "whole": _figure(parts.whole, SHARE),
        "worst_window": _figure(parts.worst_window, f"{SHARE}, of the worst 10 s"),
        "worst_class": _figure(parts.worst_class, SHARE),
        "worst_tenant": _figure(parts.worst_tenant, SHARE),
    }


def _counts(played: DayResult) -> dict[str, Any]:
    judge = played.judge
    served = sum(is_served(f) for f in judge.client_requests)
    return {
        "requests": _figure(len(judge.client_requests), "clients' first tries"),
        "served": _figure(served, "first tries answered within their aim"),
        "unreached": _figure(judge.counts["unreached by clients"], "tries that met no balancer"),
        "later_tries": _figure(judge.counts["later tries"], "tries"),
        "list_calls": _figure(judge.counts["list calls"], "calls for the list of servers"),
        "fallen": _figure(played.fallen, "cold boxes pushed over"),
        "events": _figure(played.events, "simulated events"),
    }


def _tier(judge: Judge, number: int) -> dict[str, Any]:
    """What the balancers before one tier did."""
    return {
        "calls": _figure(judge.calls[number], "requests at balancers"),
        "sends": _figure(judge.sends[number], "attempts"),
        "retries": _figure(judge.retries[number], "attempts after the first"),
        "handshakes": _figure(judge.handshakes[number], "connections opened"),
        "outcomes": dict(sorted(judge.outcomes[number].items())),
        "answers": {final.value: count for final, count in sorted(judge.ended[number].items(), key=str)},
    }


def _latency(played: DayResult) -> dict[str, Any]:
    histogram = latencies(played)
    return {
        **{f"p{q:g}": _figure(histogram.get_value_at_percentile(q) / 1000, "ms") for q in QUANTILES},
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


def _shape(day: Day) -> dict[str, Any]:
    """How large the day is."""
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
    """One run as plain values, each with its unit; nothing in it depends on when or where it ran."""
    judge, parts = played.judge, played.parts
    result: dict[str, Any] = {
        "scenario": name,
        "seed": played.day.seed,
        "version": version,
        "digest": played.digest,
        "fault": played.fault,
        "score": _figure(parts.g, SHARE),
        "parts": _parts(parts),
        "prices": {key: _figure(value, POINTS) for key, value in parts.prices.items()},
        "rules": {rule: _figure(judge.rules[rule], "times broken") for rule in RULES},
        "breaks": judge.breaks,
        "counts": _counts(played),
        "tiers": {tier.name: _tier(judge, number) for number, tier in enumerate(played.day.tiers)},
        "latency": _latency(played),
        "losses": [_loss(lost) for lost in losses(played)],
        "troubles": [{"name": n, "start_s": s / 1000, "end_s": e / 1000} for n, s, e in played.marks],
        "day": _shape(played.day),
    }
    if series:
        result["series"] = _series(played)
    return result
