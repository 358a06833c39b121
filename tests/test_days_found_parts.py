"""Upstreams that are lost for good: the remaining ones take over a phase that has none left."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest

from control.phases import MIN_DECODE_SHARE, ORDER_INTERVAL_S, WARMUP_S, Order, PhasePlan
from tests.test_phases import Loads, fleet, orders_during, prefill_loads


@pytest.mark.parametrize(("prefillers", "moved"), [(1, 1), (2, 1), (3, 2), (5, 2), (8, 4)])
def test_without_any_that_make_answers_readers_take_that_over(prefillers: int, moved: int) -> None:
    """Both decode upstreams crashed for good, and all requests were refused from then on."""
    upstreams = fleet(prefillers, 0)
    orders = orders_during(PhasePlan(), upstreams, {}, 0.0, WARMUP_S + 0.5)
    assert [(o.phase, o.upstream.phase) for o in orders] == [("decode", "prefill")] * moved
    assert len({o.upstream.id for o in orders}) == moved


def test_the_order_is_repeated_after_a_pause_while_still_nobody_makes_answers() -> None:
    upstreams, plan = fleet(2, 0), PhasePlan()
    assert len(orders_during(plan, upstreams, {}, 0.0, ORDER_INTERVAL_S)) == 1
    assert len(orders_during(plan, upstreams, {}, ORDER_INTERVAL_S, WARMUP_S + 0.5)) == 1


def test_those_that_answer_and_are_lost_later_are_followed_whatever_was_measured_of_them() -> None:
    upstreams, plan = fleet(3, 2), PhasePlan()
    loads = prefill_loads(upstreams) | {"a0": (5, 0), "a1": (5, 0)}
    assert orders_during(plan, upstreams, loads, 0.0, 20.0) == []
    left = upstreams[:3]
    orders = orders_during(plan, left, prefill_loads(left), 20.0, 0.5)
    assert [o.phase for o in orders] == ["decode", "decode"]


def test_without_readers_one_of_many_that_read_by_themselves_becomes_one() -> None:
    upstreams = fleet(0, 4)
    loads: Loads = {u.id: (4, 9_000) for u in upstreams}
    assert orders_during(PhasePlan(), upstreams, loads, 0.0, 3.0) == [Order(upstreams[0], "prefill")]


def test_without_readers_and_with_little_to_read_all_go_on_making_answers() -> None:
    upstreams = fleet(0, 4)
    assert orders_during(PhasePlan(), upstreams, {"a0": (4, 500)}, 0.0, 30.0) == []
    assert orders_during(PhasePlan(), fleet(0, 1), {"a0": (4, 9_000)}, 0.0, 30.0) == []


@pytest.mark.parametrize(("prefillers", "decoders"), [(5, 3), (6, 2), (13, 7), (4, 1)])
def test_fewer_than_the_least_that_make_answers_stay_where_they_are(prefillers: int, decoders: int) -> None:
    """One of four drained, and two of the other three were ordered into prefill."""
    upstreams = fleet(prefillers, decoders)
    loads = prefill_loads(upstreams) | {f"a{i}": (6, 0) for i in range(decoders)}
    assert orders_during(PhasePlan(), upstreams, loads, 0.0, 30.0) == []


def test_a_service_without_any_upstream_gets_no_orders() -> None:
    assert orders_during(PhasePlan(), (), {}, 0.0, 3.0) == []


def test_no_order_leaves_a_part_to_fewer_than_it_may_have() -> None:
    """Random fleets and loads, with upstreams that come and go between two polls."""
    for seed in range(300):
        rng = random.Random(seed)
        plan = PhasePlan()
        upstreams = list(fleet(rng.randint(0, 12), rng.randint(0, 12)))
        for tick in range(120):
            if upstreams and rng.random() < 0.05:
                upstreams.pop(rng.randrange(len(upstreams)))
            loads = {u.id: (rng.randint(0, 90), rng.choice((0, 0, 9_000))) for u in upstreams}
            orders = plan.due_orders(upstreams, loads, tick / 2)
            moved = {o.upstream.id: o.phase for o in orders}
            after = [moved.get(u.id, u.phase) for u in upstreams]
            before = [u.phase for u in upstreams]
            decoders, min_decoders = before.count("decode"), math.ceil(MIN_DECODE_SHARE * len(upstreams))
            if decoders:
                assert after.count("decode") >= min(decoders, min_decoders)
            if before.count("prefill") > 1 or (decoders and before.count("prefill")):
                assert after.count("prefill") >= 1
            assert len({o.upstream.svc for o in orders}) <= 1
            upstreams = [replace(u, phase=moved.get(u.id, u.phase)) for u in upstreams]


def test_those_that_nobody_can_reach_are_no_free_places_although_the_list_shows_them() -> None:
    """Day drawn-0006 (every kind) of magnolia-shelf: the capacity of two lost upstreams counted as free."""
    upstreams = fleet(4, 4)
    crowded = {"a0": (99, 0), "a1": (98, 0)} | {f"r{i}": (2, 900) for i in range(4)}
    found = orders_during(PhasePlan(), upstreams, crowded, 0.0, 4.0)
    assert [o.phase for o in found] == ["decode"]
    # Occasional work means little use, and so does one neighbour with little work.
    plan = PhasePlan()
    for tick in range(60):
        loads = crowded | {"a2": (tick % 8 == 0, 0), "a3": (tick % 8 == 0, 0)}
        assert plan.due_orders(upstreams, loads, tick / 10) == []
    assert orders_during(PhasePlan(), upstreams, crowded | {"a1": (5, 0)}, 0.0, 4.0) == []


def test_a_reader_that_nobody_can_reach_takes_no_share_of_the_reading() -> None:
    upstreams = fleet(2, 4)
    busy = {"r0": (4, 9_000)} | {f"a{i}": (4, 0) for i in range(4)}
    found = orders_during(PhasePlan(), upstreams, busy, 0.0, 4.0)
    assert [o.phase for o in found] == ["prefill"]
