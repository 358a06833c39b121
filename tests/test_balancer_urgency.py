"""Priorities of upstream calls: short prefills first, runs by their route."""

from __future__ import annotations

import random

from balancer.priority import LAST, MIDDLE, PriorityEstimator
from config.configuration import Route


def route(prio: int) -> Route:
    return Route(f"r{prio}", "h", "/", 8000.0, "stream", 800.0, prio, "s")


def settled() -> PriorityEstimator:
    """Return an estimator that has seen long prompts of priority 0 and short ones of priority 1."""
    estimator, rng = PriorityEstimator(), random.Random(7)
    for _ in range(400):
        estimator.prefill_priority(route(0), round(rng.lognormvariate(8.6, 0.9)))
        estimator.prefill_priority(route(1), round(rng.lognormvariate(6.4, 0.7)))
    return estimator


def test_the_first_reading_is_a_usual_one() -> None:
    assert PriorityEstimator().prefill_priority(route(1), 1460) == MIDDLE


def test_a_short_prompt_goes_before_a_long_one_of_a_more_urgent_route() -> None:
    """811 tokens waited 1.7 s behind 45,874 that had arrived later (quiet-1 of fc-kitchen-line)."""
    estimator = settled()
    assert estimator.prefill_priority(route(1), 811) < estimator.prefill_priority(route(0), 45_874)


def test_of_two_prompts_alike_the_more_urgent_route_goes_first() -> None:
    estimator = settled()
    assert estimator.prefill_priority(route(0), 3000) < estimator.prefill_priority(route(2), 3000)


def test_a_reading_rank_rises_with_length_and_stays_in_bounds() -> None:
    ranks = [settled().prefill_priority(route(0), 2**n) for n in range(22)]
    assert ranks == sorted(ranks) and ranks[0] == 0 and ranks[-1] == LAST


def test_runs_go_by_rank_and_within_it_by_length() -> None:
    estimator = PriorityEstimator()
    for _ in range(50):
        estimator.run_priority(route(0), 6000)
        estimator.run_priority(route(1), 600)
    ranks = [
        estimator.run_priority(route(p), t)
        for p, t in ((0, 1000), (0, 6000), (0, 54_000), (1, 100), (1, 600))
    ]
    assert ranks == [0, 1, 2, 3, 4] and estimator.run_priority(route(5), 1) == LAST


def test_routes_that_are_no_more_are_forgotten() -> None:
    estimator = PriorityEstimator()
    estimator.run_priority(route(0), 6000)
    estimator.keep_only({"r1"})
    assert estimator.run_priority(route(0), 10) == 1  # no usual length is known
