"""Scores a day by rules, worth served, weighted goal and prices (BRIEF, "How we count"; BENCH).

G is the worth answered within the aim over the worth requested, mixed from the whole day, the worst 10 s,
the worst class and the worst tenant within its share, less the prices. A rule violation makes the score of
the day 0.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import numpy as np

from mastturn.emulator.calls import ClientRequest, FinalOutcome, LossCause
from mastturn.emulator.day import Day
from mastturn.emulator.events import START_MS

RULES = ("lost", "duplicate", "drain", "cold")
FIRST_COUNTED_MS = 1_000.0  # requests of the first second are not scored
WINDOW_MS = 10_000.0
STEP_MS = 1_000.0
MIN_SHARE = 0.02  # of the requested worth; smaller classes and tenants are too noisy to score
MAX_RECORDED_BREAKS = 20  # violations whose text is recorded


@dataclass(frozen=True, slots=True)
class Score:
    """G and its components as shares of the requested worth; prices are points deducted."""

    g: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    prices: dict[str, float]


@dataclass
class Judge:
    """Collects the counts of a day for its score."""

    tiers: int
    client_requests: list[ClientRequest] = field(default_factory=list)
    rules: Counter[str] = field(default_factory=Counter)
    breaks: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.calls = [0] * self.tiers
        self.sends, self.crossings, self.retries = ([0] * self.tiers for _ in range(3))
        self.handshakes = [0] * self.tiers
        self.outcomes: list[Counter[str]] = [Counter() for _ in range(self.tiers)]
        self.ended: list[Counter[FinalOutcome]] = [Counter() for _ in range(self.tiers)]

    def record_violation(self, rule: str, words: str) -> None:
        """Count a rule violation and record its text."""
        self.rules[rule] += 1
        if len(self.breaks) < MAX_RECORDED_BREAKS:
            self.breaks.append(f"{rule}: {words}")

    def record_send(self, tier: int, crosses: bool, again: bool) -> None:
        """Count an attempt that is sent."""
        self.sends[tier] += 1
        self.crossings[tier] += crosses
        self.retries[tier] += again


def is_served(first: ClientRequest) -> bool:
    """Whether some try of a client request was answered within its aim."""
    return 0 <= first.served_ms <= first.arrived_ms + first.cls.aim_ms


def counted_requests(client_requests: list[ClientRequest]) -> list[ClientRequest]:
    """Return the scored requests: none of the first second and none whose client left early."""
    start = START_MS + FIRST_COUNTED_MS
    return [
        f
        for f in client_requests
        if f.arrived_ms >= start and not (f.loss and f.loss.cause is LossCause.LEFT)
    ]


def _ratio(served: float, requested: float) -> float:
    return served / requested if requested > 0 else 1.0


def _worst_of(keys: np.ndarray, served: np.ndarray, requested: np.ndarray) -> float:
    """Return the lowest served share of any group with enough requested worth."""
    if not len(keys):
        return 1.0
    groups = int(keys.max()) + 1
    requested_sums = np.bincount(keys, weights=requested, minlength=groups)
    served_sums = np.bincount(keys, weights=served, minlength=groups)
    enough = requested_sums >= MIN_SHARE * requested.sum()
    return float((served_sums[enough] / requested_sums[enough]).min()) if enough.any() else 1.0


def _worst_window(times: np.ndarray, served: np.ndarray, requested: np.ndarray) -> float:
    if not len(times):
        return 1.0
    steps = ((times - times.min()) // STEP_MS).astype(int)
    width = min(round(WINDOW_MS / STEP_MS), int(steps.max()) + 1)
    ones = np.ones(width)
    requested_sums = np.convolve(np.bincount(steps, weights=requested), ones, "valid")
    served_sums = np.convolve(np.bincount(steps, weights=served), ones, "valid")
    enough = requested_sums > 0
    return float((served_sums[enough] / requested_sums[enough]).min()) if enough.any() else 1.0


def parts(day: Day, judge: Judge, work_done_ms: float, choked_share: float) -> Score:
    """Compute G, its components and its prices."""
    client_requests = counted_requests(judge.client_requests)
    requested = np.array([f.worth for f in client_requests])
    is_served_mask = np.array([is_served(f) for f in client_requests], dtype=bool)
    served = requested * is_served_mask if len(client_requests) else requested
    times = np.array([f.arrived_ms for f in client_requests])
    whole = _ratio(float(served.sum()), float(requested.sum()))
    window = _worst_window(times, served, requested)
    worst_class = _worst_of(np.array([f.class_number for f in client_requests], dtype=int), served, requested)
    within = np.array([not f.over_share for f in client_requests], dtype=bool)
    brands = np.array([f.brand for f in client_requests], dtype=int)
    tenant = _worst_of(brands[within], served[within], requested[within]) if len(client_requests) else 1.0
    goal = day.site.goal
    mix = (
        goal.whole * whole
        + goal.worst_window * window
        + goal.worst_class * worst_class
        + goal.worst_tenant * tenant
    )
    prices = _prices(day, judge, client_requests, float(requested.sum()), work_done_ms, choked_share)
    g = 0.0 if sum(judge.rules.values()) else max(mix - sum(prices.values()), 0.0)
    return Score(g, whole, window, worst_class, tenant, prices)


def _prices(
    day: Day,
    judge: Judge,
    client_requests: list[ClientRequest],
    requested: float,
    work_done_ms: float,
    choked_share: float,
) -> dict[str, float]:
    prices, tries = day.site.prices, max(len(judge.client_requests), 1)
    late = sum(
        f.worth for f in client_requests if not is_served(f) and f.ended_ms > f.arrived_ms + f.cls.aim_ms
    )
    calls, offered_work = 1.0, 0.0
    for tier in day.tiers:
        calls *= tier.calls
        offered_work += calls * tier.work_share
    offered = sum(f.work_ms for f in judge.client_requests) * offered_work
    useful = sum(f.useful_ms for f in judge.client_requests if f.served_ms >= 0)
    choke = max((t.choke.price for t in day.tiers if t.choke is not None), default=0.0)
    return {
        "cross_zone": prices.cross_zone * sum(judge.crossings) / tries,
        "waste": prices.waste * _ratio(max(work_done_ms - useful, 0.0), offered) if offered else 0.0,
        "handshake": prices.handshake * sum(judge.handshakes) / tries,
        "probe": prices.probe * judge.counts["probes"] / tries,
        "late_fail": prices.late_fail * _ratio(late, requested) if requested else 0.0,
        "choke": choke * choked_share,
    }
