"""Outlier ejection by the outcome of requests, including failures that other balancers saw."""

from __future__ import annotations

import asyncio
import math
import random

import pytest

from balancer.outlier_detection import (
    FAILURE_WEIGHT,
    MIN_IN_USE,
    PROBATION_S,
    SILENCE_WEIGHT,
    WINDOW_S,
    is_failure,
)
from balancer.peer import Peer
from balancer.prompt import Prompt
from balancer.tiers import Tiers
from config.configuration import Upstream
from dissemination.failure_reports import FailureSum, pack, unpack
from dissemination.messages import FailureReport, UpstreamFailures
from passpost.http1 import Response
from tests.balancer_stage import FakeUpstream, answer, configuration, route, running_balancer
from tests.fabric_scenes import start_fleet
from tests.fabric_world import World, play
from tests.test_dissemination_news import wait_settled
from umberworks.interface import Outcome

PROMPT = Prompt(1000, 800, b"s")


def make_tiers(count: int = 10, zones: int = 1, seed: int = 1) -> Tiers:
    tiers = Tiers(random.Random(seed), lambda name: True, "z0")
    entries = (Upstream(f"i-{n}", "pool", f"10.0.0.{n}:80", f"z{n % zones}") for n in range(count))
    tiers.update(tuple(entries), 0.0)
    return tiers


def peer(tiers: Tiers, name: str = "i-0") -> Peer:
    found = tiers.peer(name)
    assert found is not None
    return found


def served(tiers: Tiers, calls: int, now: float = 0.0) -> None:
    """Count this many successful calls, spread over all upstreams."""
    for n in range(calls):
        tiers.outliers.on_call_ended(peer(tiers, f"i-{n % 10}"), now)


def eligible(tiers: Tiers, now: float, repeatable: bool = True) -> set[str]:
    """Return the upstreams that are selected in many draws."""
    found = set()
    for _ in range(300):
        one = tiers.pick_decode("pool", None, "z0", (), now, repeatable)
        assert one is not None
        found.add(one.entry.id)
    return found


def set_fleet_failures(tiers: Tiers, failures: dict[tuple[str, str], tuple[int, int]], now: float) -> None:
    tiers.outliers.set_fleet_failures(failures, tiers.peer, now)


# ---- what counts as a failure


@pytest.mark.parametrize(
    ("outcome", "status", "valid", "failed"),
    [
        (Outcome.SERVED, 200, True, False),
        (Outcome.SERVED, 200, False, True),
        (Outcome.ERROR, 500, True, True),
        (Outcome.ERROR, 504, True, False),
        (Outcome.ERROR, 404, True, False),
        (Outcome.BROKEN, 0, True, True),
        (Outcome.TURNED_AWAY, 503, True, False),
        (Outcome.TIMED_OUT, 0, True, False),
        (Outcome.CANCELLED, 0, True, False),
    ],
)
def test_errors_breaks_and_spoilt_answers_are_failures_and_rejections_are_not(
    outcome: Outcome, status: int, valid: bool, failed: bool
) -> None:
    response = Response(status, [], b"", True) if status else None
    assert is_failure(outcome, response, valid) is failed


# ---- one balancer alone


def test_failures_of_our_own_calls_are_held_against_how_many_calls_there_usually_are() -> None:
    few, many = make_tiers(), make_tiers()
    served(few, 10)
    served(many, 400)
    for tiers in (few, many):
        tiers.outliers.on_failure(peer(tiers), 0.0)
        tiers.outliers.on_failure(peer(tiers), 0.0)
    assert "i-0" not in eligible(few, 0.1)
    assert "i-0" in eligible(many, 0.1)
    many.outliers.on_failure(peer(many), 0.2, 5 * FAILURE_WEIGHT)
    assert "i-0" not in eligible(many, 0.3)


def test_silence_counts_half_as_it_may_be_load() -> None:
    """At full weight, two pauses under load ejected an upstream for 4 s on a small site."""
    tiers = make_tiers()
    tiers.outliers.on_failure(peer(tiers), 0.0, 3 * SILENCE_WEIGHT)
    assert "i-0" in eligible(tiers, 0.1)
    tiers.outliers.on_failure(peer(tiers), 0.2, SILENCE_WEIGHT)
    assert "i-0" not in eligible(tiers, 0.3)


def test_trust_returns_by_requests_that_may_be_repeated_and_a_relapse_costs_little() -> None:
    tiers = make_tiers()
    tiers.outliers.on_failure(peer(tiers), 0.0, 2 * FAILURE_WEIGHT)
    assert "i-0" not in eligible(tiers, WINDOW_S - 0.1)
    assert (tiers.outliers.state("i-0", WINDOW_S - 0.1), tiers.outliers.failure_count("i-0")) == (
        "distrusted",
        2,
    )
    back = WINDOW_S + 0.1
    assert "i-0" in eligible(tiers, back)
    assert (tiers.outliers.state("i-0", back), tiers.outliers.failure_count("i-0")) == ("wary", 0)
    assert "i-0" not in eligible(tiers, back, repeatable=False)
    tiers.outliers.on_failure(peer(tiers), back + 1)  # one failure is enough on probation
    assert "i-0" not in eligible(tiers, back + 1.1)
    calm = back + 1 + WINDOW_S + PROBATION_S + 0.2
    eligible(tiers, back + 1 + WINDOW_S + 0.1)  # its failure has expired
    assert "i-0" in eligible(tiers, calm, repeatable=False)
    assert tiers.outliers.state("i-0", calm) == ""


def test_nine_in_ten_bad_at_once_leave_most_in_use_those_least_doubted() -> None:
    tiers = make_tiers()
    for n in range(9):
        tiers.outliers.on_failure(peer(tiers, f"i-{n}"), 0.0, 20 - n)
    used = eligible(tiers, 0.1)
    assert used == {f"i-{n}" for n in range(2, 10)} and len(used) == math.ceil(MIN_IN_USE * 10)


@pytest.mark.parametrize(("count", "left"), [(1, 1), (2, 2), (3, 3), (4, 3), (8, 6)])
def test_a_tier_of_few_is_not_left_to_fewer(count: int, left: int) -> None:
    """Ejecting one of two upstreams left the whole load to the other for 4 s on a small site."""
    tiers = make_tiers(count)
    for n in range(count // 2 + 1):
        tiers.outliers.on_failure(peer(tiers, f"i-{n}"), 0.0, 20)
    assert len(eligible(tiers, 0.1)) == left


def test_one_that_left_the_list_is_forgotten() -> None:
    tiers = make_tiers()
    tiers.outliers.on_failure(peer(tiers), 0.0, 5)
    tiers.update(tuple(peer(tiers, f"i-{n}").entry for n in range(1, 10)), 0.1)
    assert tiers.outliers.ejected() == [] and tiers.outliers.own_failures(0.2) == {}


# ---- failures seen by other balancers


def test_one_balancers_bad_link_condemns_nothing() -> None:
    tiers = make_tiers(zones=2)
    tiers.outliers.balancers = 80
    set_fleet_failures(tiers, {("i-0", "z0"): (1, 50)}, 0.0)
    assert "i-0" in eligible(tiers, 0.1)


def test_two_balancers_of_our_zone_are_enough_and_those_of_one_other_zone_are_not() -> None:
    tiers = make_tiers(zones=2)
    tiers.outliers.balancers = 80
    set_fleet_failures(tiers, {("i-0", "z0"): (2, 2 * FAILURE_WEIGHT), ("i-2", "z1"): (9, 50)}, 0.0)
    used = eligible(tiers, 0.1)
    assert "i-0" not in used and "i-2" in used


def test_balancers_of_two_zones_are_enough_and_what_they_take_back_is_over() -> None:
    tiers = make_tiers(zones=2)
    tiers.outliers.balancers = 80
    set_fleet_failures(tiers, {("i-0", "z1"): (1, FAILURE_WEIGHT), ("i-0", "z2"): (2, FAILURE_WEIGHT)}, 0.0)
    assert "i-0" not in eligible(tiers, 0.1)
    set_fleet_failures(tiers, {}, 0.2)
    assert "i-0" in eligible(tiers, 0.3) and "i-0" not in eligible(tiers, 0.3, repeatable=False)


# ---- exchange between balancers


def test_sums_of_doubts_hold_each_child_once_and_forget_the_gone() -> None:
    async def scene() -> None:
        sent: list[tuple[UpstreamFailures, ...]] = []
        total = FailureSum(lambda: {("a", "z"): (1, 2)}, sent.append)
        total.report("x", FailureReport((UpstreamFailures("a", "z", 2, 3), UpstreamFailures("b", "y", 1, 1))))
        total.report("x", FailureReport((UpstreamFailures("a", "z", 1, 1),)))
        total._send()
        total.remove_child("x")
        total._send()
        total._send()
        assert sent == [(UpstreamFailures("a", "z", 2, 3),), (UpstreamFailures("a", "z", 1, 2),)]

    asyncio.run(scene())
    assert unpack(pack({("a", "z"): (1, 2), ("b", "z"): (0, 0)})) == {("a", "z"): (1, 2)}


def test_failures_are_known_to_all_balancers_and_gone_when_they_are_taken_back() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        first, second, *others = world.edges()
        for machine in (first, second):
            machine.plane.own_failures = {("i-1", "z"): (1, 2)}
            machine.plane.notify_failures()
        wanted = {("i-1", "z"): (2, 4)}
        await world.wait_until(lambda: all(m.plane.fleet_failures == wanted for m in world.edges()), 1.0)
        world.kill(first.name)
        wanted = {("i-1", "z"): (1, 2)}
        await world.wait_until(lambda: all(m.plane.fleet_failures == wanted for m in others), 4.0)
        second.plane.own_failures = {}
        second.plane.notify_failures()
        await world.wait_until(lambda: all(m.plane.fleet_failures == {} for m in others), 1.0)

    play(scene, edges=12, zones=1)


def test_a_take_over_keeps_what_is_held_and_drops_what_nobody_holds() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        first, second = world.edges()[:2]
        for machine, upstream in ((first, "i-1"), (second, "i-2")):
            machine.plane.own_failures = {(upstream, "z"): (1, 2)}
            machine.plane.notify_failures()
        await world.wait_until(lambda: all(len(m.plane.fleet_failures) == 2 for m in world.edges()), 1.0)
        world.kill(world.primary())
        second.plane.own_failures = {}
        second.plane.notify_failures()
        wanted = {("i-1", "z"): (1, 2)}
        await world.wait_until(lambda: all(m.plane.fleet_failures == wanted for m in world.edges()), 6.0)

    play(scene, edges=5, zones=1)


# ---- on sockets


def test_one_that_can_not_be_reached_counts_as_a_failure() -> None:
    """At half weight, as for silence, flapping upstreams were detected after twice the time."""

    async def scene() -> None:
        gone, good = FakeUpstream("i-0", ""), [FakeUpstream(f"i-{n}", "") for n in range(1, 4)]
        async with running_balancer(gone, *good, config=configuration(1, route(tries=4))) as harness:
            gone.stop()
            harness.list(gone, *good)
            for n in range(30):
                await harness.ask(f"r{n}")
            assert harness.balancer.failure_counts() == {("i-0", "a"): (1, FAILURE_WEIGHT)}

    asyncio.run(scene())


def test_an_upstream_that_fails_requests_gets_no_more_of_them() -> None:
    async def scene() -> None:
        bad, good = (
            FakeUpstream("i-0", "", answer("500 Error")),
            [FakeUpstream(f"i-{n}", "") for n in range(1, 4)],
        )
        config = configuration(1, route(route_type="unsafe", split=()))
        async with running_balancer(bad, *good, config=config) as harness:
            harness.list(bad, *good)
            for n in range(60):
                await harness.ask(f"r{n}")
            assert len(bad.got) <= 8 and sum(len(s.got) for s in good) >= 52

    asyncio.run(scene())
