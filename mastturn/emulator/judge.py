"""What counts: the four rules, the worth served, the goal's mix and the prices (BRIEF, "How we count";
BENCH).

G is the worth answered within the aim over the worth asked, mixed from the whole day, the worst 10 s, the
worst class and the worst tenant within its share, less the prices. A broken rule makes the day 0.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import numpy as np

from mastturn.emulator.calls import ClientRequest, FinalOutcome, LossCause
from mastturn.emulator.day import Day
from mastturn.emulator.events import START_MS

RULES = ("lost", "duplicate", "drain", "cold")
FIRST_COUNTED_MS = 1_000.0  # worth counts from the first second on
WINDOW_MS = 10_000.0
STEP_MS = 1_000.0
MIN_SHARE = 0.02  # of the worth asked: a class, tenant or window with less says little
MAX_RECORDED_BREAKS = 20  # broken rules that are kept word by word


@dataclass(frozen=True, slots=True)
class Score:
    """G and what it is made of; all are shares of the worth asked, prices are points taken off."""

    g: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    prices: dict[str, float]


@dataclass
class Judge:
    """Counts while a day runs, and judges it when it is over."""

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
        """A rule has been broken."""
        self.rules[rule] += 1
        if len(self.breaks) < MAX_RECORDED_BREAKS:
            self.breaks.append(f"{rule}: {words}")

    def record_send(self, tier: int, crosses: bool, again: bool) -> None:
        """An attempt goes out."""
        self.sends[tier] += 1
        self.crossings[tier] += crosses
        self.retries[tier] += again


def is_served(first: ClientRequest) -> bool:
    """Whether a client's first try, or a later one of the same, was answered within its aim."""
    return 0 <= first.served_ms <= first.arrived_ms + first.cls.aim_ms


def counted_requests(client_requests: list[ClientRequest]) -> list[ClientRequest]:
    """The first tries that count: from the first second on, and not those whose client left early."""
    start = START_MS + FIRST_COUNTED_MS
    return [
        f
        for f in client_requests
        if f.arrived_ms >= start and not (f.loss and f.loss.cause is LossCause.LEFT)
    ]


def _ratio(served: float, asked: float) -> float:
    return served / asked if asked > 0 else 1.0


def _worst_of(keys: np.ndarray, served: np.ndarray, asked: np.ndarray) -> float:
    """The least share served of any group that asked for enough."""
    if not len(keys):
        return 1.0
    groups = int(keys.max()) + 1
    of = np.bincount(keys, weights=asked, minlength=groups)
    had = np.bincount(keys, weights=served, minlength=groups)
    enough = of >= MIN_SHARE * asked.sum()
    return float((had[enough] / of[enough]).min()) if enough.any() else 1.0


def _worst_window(times: np.ndarray, served: np.ndarray, asked: np.ndarray) -> float:
    if not len(times):
        return 1.0
    steps = ((times - times.min()) // STEP_MS).astype(int)
    width = min(round(WINDOW_MS / STEP_MS), int(steps.max()) + 1)
    ones = np.ones(width)
    of = np.convolve(np.bincount(steps, weights=asked), ones, "valid")
    had = np.convolve(np.bincount(steps, weights=served), ones, "valid")
    enough = of > 0
    return float((had[enough] / of[enough]).min()) if enough.any() else 1.0


def parts(day: Day, judge: Judge, work_done_ms: float, choked_share: float) -> Score:
    """G, its parts and its prices."""
    client_requests = counted_requests(judge.client_requests)
    asked = np.array([f.worth for f in client_requests])
    good = np.array([is_served(f) for f in client_requests], dtype=bool)
    served = asked * good if len(client_requests) else asked
    times = np.array([f.arrived_ms for f in client_requests])
    whole = _ratio(float(served.sum()), float(asked.sum()))
    window = _worst_window(times, served, asked)
    worst_class = _worst_of(np.array([f.class_number for f in client_requests], dtype=int), served, asked)
    within = np.array([not f.over_share for f in client_requests], dtype=bool)
    brands = np.array([f.brand for f in client_requests], dtype=int)
    tenant = _worst_of(brands[within], served[within], asked[within]) if len(client_requests) else 1.0
    goal = day.site.goal
    mix = (
        goal.whole * whole
        + goal.worst_window * window
        + goal.worst_class * worst_class
        + goal.worst_tenant * tenant
    )
    prices = _prices(day, judge, client_requests, float(asked.sum()), work_done_ms, choked_share)
    g = 0.0 if sum(judge.rules.values()) else max(mix - sum(prices.values()), 0.0)
    return Score(g, whole, window, worst_class, tenant, prices)


def _prices(
    day: Day,
    judge: Judge,
    client_requests: list[ClientRequest],
    asked: float,
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
        "late_fail": prices.late_fail * _ratio(late, asked) if asked else 0.0,
        "choke": choke * choked_share,
    }
