"""The ranks that calls tell upstreams: short readings first, runs by their route."""

from __future__ import annotations

import random

from balancer.urgency import LAST, MIDDLE, Urgency
from config.configuration import Route


def route(prio: int) -> Route:
    return Route(f"r{prio}", "h", "/", 8000.0, "stream", 800.0, prio, "s")


def settled() -> Urgency:
    """One that has seen a day's mix: long prompts of the first rank, short ones of the second."""
    urgency, chance = Urgency(), random.Random(7)
    for _ in range(400):
        urgency.of_reading(route(0), round(chance.lognormvariate(8.6, 0.9)))
        urgency.of_reading(route(1), round(chance.lognormvariate(6.4, 0.7)))
    return urgency


def test_the_first_reading_is_a_usual_one() -> None:
    assert Urgency().of_reading(route(1), 1460) == MIDDLE


def test_a_short_prompt_goes_before_a_long_one_of_a_more_urgent_route() -> None:
    """quiet-1 of fc-kitchen-line: 811 tokens waited 1.7 s behind 45,874 that had come later."""
    urgency = settled()
    assert urgency.of_reading(route(1), 811) < urgency.of_reading(route(0), 45_874)


def test_of_two_prompts_alike_the_more_urgent_route_goes_first() -> None:
    urgency = settled()
    assert urgency.of_reading(route(0), 3000) < urgency.of_reading(route(2), 3000)


def test_a_reading_rank_rises_with_length_and_stays_in_bounds() -> None:
    ranks = [settled().of_reading(route(0), 2**n) for n in range(22)]
    assert ranks == sorted(ranks) and ranks[0] == 0 and ranks[-1] == LAST


def test_runs_go_by_rank_and_within_it_by_length() -> None:
    urgency = Urgency()
    for _ in range(50):
        urgency.of_run(route(0), 6000)
        urgency.of_run(route(1), 600)
    ranks = [urgency.of_run(route(p), t) for p, t in ((0, 1000), (0, 6000), (0, 54_000), (1, 100), (1, 600))]
    assert ranks == [0, 1, 2, 3, 4] and urgency.of_run(route(5), 1) == LAST


def test_routes_that_are_no_more_are_forgotten() -> None:
    urgency = Urgency()
    urgency.of_run(route(0), 6000)
    urgency.keep_only({"r1"})
    assert urgency.of_run(route(0), 10) == 1  # nothing is usual there yet
