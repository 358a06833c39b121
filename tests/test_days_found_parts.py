"""Upstreams that are gone for good: whoever is left takes over the part that nobody plays any more."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest

from control.phases import LEAST_RUNNERS, PAUSE_S, SETTLED_S, Order, PhasePlan
from tests.test_phases import Loads, fleet, reading, watch


@pytest.mark.parametrize(("readers", "moved"), [(1, 1), (2, 1), (3, 2), (5, 2), (8, 4)])
def test_without_any_that_make_answers_readers_take_that_over(readers: int, moved: int) -> None:
    """Found in a day whose two answering upstreams crashed for good: all was refused from then on."""
    ups = fleet(readers, 0)
    orders = watch(PhasePlan(), ups, {}, 0.0, SETTLED_S + 0.5)
    assert [(o.phase, o.upstream.phase) for o in orders] == [("decode", "prefill")] * moved
    assert len({o.upstream.id for o in orders}) == moved


def test_the_order_is_repeated_after_a_pause_while_still_nobody_makes_answers() -> None:
    ups, plan = fleet(2, 0), PhasePlan()
    assert len(watch(plan, ups, {}, 0.0, PAUSE_S)) == 1
    assert len(watch(plan, ups, {}, PAUSE_S, SETTLED_S + 0.5)) == 1


def test_those_that_answer_and_are_lost_later_are_followed_whatever_was_measured_of_them() -> None:
    ups, plan = fleet(3, 2), PhasePlan()
    loads = reading(ups) | {"a0": (5, 0), "a1": (5, 0)}
    assert watch(plan, ups, loads, 0.0, 20.0) == []
    left = ups[:3]
    orders = watch(plan, left, reading(left), 20.0, 0.5)
    assert [o.phase for o in orders] == ["decode", "decode"]


def test_without_readers_one_of_many_that_read_by_themselves_becomes_one() -> None:
    ups = fleet(0, 4)
    loads: Loads = {u.id: (4, 9_000) for u in ups}
    assert watch(PhasePlan(), ups, loads, 0.0, 3.0) == [Order(ups[0], "prefill")]


def test_without_readers_and_with_little_to_read_all_go_on_making_answers() -> None:
    ups = fleet(0, 4)
    assert watch(PhasePlan(), ups, {"a0": (4, 500)}, 0.0, 30.0) == []
    assert watch(PhasePlan(), fleet(0, 1), {"a0": (4, 9_000)}, 0.0, 30.0) == []


@pytest.mark.parametrize(("readers", "runners"), [(5, 3), (6, 2), (13, 7), (4, 1)])
def test_fewer_than_the_least_that_make_answers_stay_where_they_are(readers: int, runners: int) -> None:
    """Found in a day in which one of four drained: two of the other three were told to read."""
    ups = fleet(readers, runners)
    loads = reading(ups) | {f"a{i}": (6, 0) for i in range(runners)}
    assert watch(PhasePlan(), ups, loads, 0.0, 30.0) == []


def test_a_service_without_any_upstream_gets_no_orders() -> None:
    assert watch(PhasePlan(), (), {}, 0.0, 3.0) == []


def test_no_order_leaves_a_part_to_fewer_than_it_may_have() -> None:
    """Fleets and loads drawn by number, with upstreams that come and go between two looks."""
    for seed in range(300):
        chance = random.Random(seed)
        plan = PhasePlan()
        ups = list(fleet(chance.randint(0, 12), chance.randint(0, 12)))
        for tick in range(120):
            if ups and chance.random() < 0.05:
                ups.pop(chance.randrange(len(ups)))
            loads = {u.id: (chance.randint(0, 90), chance.choice((0, 0, 9_000))) for u in ups}
            orders = plan.look(ups, loads, tick / 2)
            moved = {o.upstream.id: o.phase for o in orders}
            after = [moved.get(u.id, u.phase) for u in ups]
            before = [u.phase for u in ups]
            runners, least = before.count("decode"), math.ceil(LEAST_RUNNERS * len(ups))
            if runners:
                assert after.count("decode") >= min(runners, least)
            if before.count("prefill") > 1 or (runners and before.count("prefill")):
                assert after.count("prefill") >= 1
            assert len({o.upstream.svc for o in orders}) <= 1
            ups = [replace(u, phase=moved.get(u.id, u.phase)) for u in ups]


def test_those_that_nobody_can_reach_are_no_free_places_although_the_list_shows_them() -> None:
    """Day drawn-0006 (every kind) of magnolia-shelf: two runners were gone, their places counted as free."""
    ups = fleet(4, 4)
    crowded = {"a0": (99, 0), "a1": (98, 0)} | {f"r{i}": (2, 900) for i in range(4)}
    found = watch(PhasePlan(), ups, crowded, 0.0, 4.0)
    assert [o.phase for o in found] == ["decode"]
    # With work now and then they are only little used, and so are those beside one that has little.
    plan = PhasePlan()
    for tick in range(60):
        loads = crowded | {"a2": (tick % 8 == 0, 0), "a3": (tick % 8 == 0, 0)}
        assert plan.look(ups, loads, tick / 10) == []
    assert watch(PhasePlan(), ups, crowded | {"a1": (5, 0)}, 0.0, 4.0) == []


def test_a_reader_that_nobody_can_reach_takes_no_share_of_the_reading() -> None:
    ups = fleet(2, 4)
    busy = {"r0": (4, 9_000)} | {f"a{i}": (4, 0) for i in range(4)}
    found = watch(PhasePlan(), ups, busy, 0.0, 4.0)
    assert [o.phase for o in found] == ["prefill"]
