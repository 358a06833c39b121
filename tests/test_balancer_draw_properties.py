"""Properties of the selection: draws follow capacity, the pick minimizes load, ties, and recovery."""

from __future__ import annotations

import math
import random
from collections import Counter

import pytest

from balancer.peer import Peer
from balancer.tiers import DECODE, Tiers
from config.configuration import Upstream

SVC = "pool"


def make_tiers(names: str, seed: int) -> Tiers:
    tiers = Tiers(random.Random(seed), lambda name: True)
    tiers.update(
        tuple(Upstream(n, SVC, f"10.0.0.{i}:80", "a", phase=DECODE) for i, n in enumerate(names)), 0.0
    )
    return tiers


def known(tiers: Tiers, name: str) -> Peer:
    peer = tiers.peer(name)
    assert peer is not None
    return peer


def learn(peer: Peer, rate: float) -> None:
    """Set a capacity of `rate` calls per second in flight, with enough evidence to outweigh the prior."""
    peer.server.served, peer.server.busy, peer.server.updated_at = 1e6, 1e9 / rate, 0.0


def draw(tiers: Tiers) -> str:
    group = tiers._groups[SVC, DECODE]
    return tiers._draw(group, group.peers, 0.0).entry.id


def chi_square(counts: Counter[str], shares: dict[str, float]) -> float:
    total = counts.total()
    return sum((counts[n] - total * p) ** 2 / (total * p) for n, p in shares.items())


def above(degrees: int) -> float:
    """The value that chi-square exceeds once in 10,000 times (Wilson-Hilferty approximation)."""
    part = 2 / (9 * degrees)
    return float(degrees * (1 - part + 3.719 * math.sqrt(part)) ** 3)


@pytest.mark.parametrize("seed", range(3))
def test_100_000_draws_follow_capacity(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    monkeypatch.setattr("umberworks.choice.DRAWS", 1)
    rng = random.Random(seed)
    names = "abcdefgh"
    rates = {n: rng.uniform(0.2, 5.0) for n in names}
    tiers = make_tiers(names, seed)
    for name, rate in rates.items():
        learn(known(tiers, name), rate)
    counts = Counter(draw(tiers) for _ in range(100_000))
    shares = {n: r / sum(rates.values()) for n, r in rates.items()}
    assert chi_square(counts, shares) < above(len(names) - 1), (counts, shares)


def test_the_better_of_d_draws_is_taken_as_often_as_chance_says(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of d draws the least loaded server wins unless none of them meets it, and so on in order of load."""
    monkeypatch.setattr("umberworks.choice.DRAWS", 2)
    rates, out = {"a": 1.0, "b": 2.0, "c": 3.0, "d": 4.0}, {"a": 0, "b": 3, "c": 8, "d": 15}
    tiers = make_tiers("abcd", 4)
    for name, rate in rates.items():
        learn(known(tiers, name), rate)
        known(tiers, name).server.in_flight = out[name]
    order = sorted(rates, key=lambda n: (out[n] + 1) / rates[n])
    shares, left = {}, 1.0
    for name in order:
        rest = left - rates[name] / sum(rates.values())
        shares[name] = left**2 - max(rest, 0.0) ** 2
        left = rest
    counts = Counter(draw(tiers) for _ in range(100_000))
    assert chi_square(counts, shares) < above(3), (counts, shares)


def test_the_pick_minimises_whatever_the_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("umberworks.choice.DRAWS", 200)  # enough draws to meet all five
    for seed in range(300):
        rng = random.Random(seed)
        tiers = make_tiers("vwxyz", seed)
        loads = {}
        for name in "vwxyz":
            rate, peer = rng.choice((0.5, 1.0, 2.0)) * rng.uniform(0.8, 1.2), known(tiers, name)
            learn(peer, rate)
            peer.server.in_flight = rng.randrange(8)
            loads[name] = (peer.server.in_flight + 1) / rate
        assert loads[draw(tiers)] == pytest.approx(min(loads.values()), rel=1e-3), (seed, loads)


def test_a_tie_goes_to_the_larger_capacity_and_then_to_chance(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("umberworks.choice.DRAWS", 64)
    monkeypatch.setattr("umberworks.choice.PRIOR_CALLS", 0.0)
    for factor in (2, 3, 4):
        tiers = make_tiers("xyz", factor)
        for name, rate, out in (("x", 1.0, 0), ("y", float(factor), factor - 1), ("z", 1.0, 0)):
            learn(known(tiers, name), rate)
            known(tiers, name).server.in_flight = out
        assert {draw(tiers) for _ in range(100)} == {"y"}
    tiers = make_tiers("xyz", 1)
    for name in "xyz":
        learn(known(tiers, name), 2.0)
    counts = Counter(draw(tiers) for _ in range(3000))
    assert chi_square(counts, dict.fromkeys("xyz", 1 / 3)) < above(2)


@pytest.mark.parametrize("silent_s", [0.5, 2.0, 8.0])
@pytest.mark.parametrize("calls", [1, 5, 30])
def test_an_estimate_that_fell_near_zero_comes_back_by_itself(silent_s: float, calls: int) -> None:
    """It rises monotonically and never above the median, so that the server is not overloaded."""
    tiers = make_tiers("xyz", 2)
    for name in "xy":
        learn(known(tiers, name), 4.0)
    group = tiers._groups[SVC, DECODE]
    median = group.selector.refresh_median(0.0)
    peer = known(tiers, "z")
    for _ in range(calls):
        peer.on_call_sent(0.0, 0)
    for _ in range(calls):
        peer.on_call_ended(silent_s, 0, served=False)
    found = [
        group.selector._capacity(peer.server, median, 1000 * (silent_s + s)) / median for s in range(0, 61, 2)
    ]
    assert found == sorted(found) and found[-1] > 0.9
    assert max(found) <= 1.0 + 1e-9
