"""Which upstreams move between prefill and decode, on a simulated clock."""

from __future__ import annotations

from dataclasses import replace

from config.configuration import Upstream
from control.phases import ORDER_INTERVAL_S, Order, PhasePlan

Loads = dict[str, tuple[int, int]]


def fleet(prefillers: int, decoders: int, capacity: float = 64.0) -> tuple[Upstream, ...]:
    """Return a service's upstreams: r0, r1, ... in prefill and a0, a1, ... in decode."""
    found = [
        Upstream(f"r{i}", "llm", f"10.0.0.{i + 1}:80", capacity=capacity, phase="prefill")
        for i in range(prefillers)
    ]
    found += [
        Upstream(f"a{i}", "llm", f"10.0.1.{i + 1}:80", capacity=capacity, phase="decode")
        for i in range(decoders)
    ]
    return tuple(found)


def orders_during(
    plan: PhasePlan, upstreams: tuple[Upstream, ...], loads: Loads, start: float, seconds: float
) -> list[Order]:
    """Return the orders during so many seconds of constant load, polled every 0.1 s."""
    found: list[Order] = []
    for tick in range(int(seconds * 10)):
        found += plan.due_orders(upstreams, loads, start + tick / 10)
    return found


def prefill_loads(upstreams: tuple[Upstream, ...], tokens: int = 9_000) -> Loads:
    return {u.id: (3, tokens) for u in upstreams if u.phase == "prefill"}


def test_a_busy_reading_tier_gets_the_answering_upstream_with_the_fewest_calls() -> None:
    upstreams = fleet(2, 3)
    loads = prefill_loads(upstreams) | {"a0": (9, 0), "a1": (4, 0), "a2": (7, 0)}
    assert orders_during(PhasePlan(), upstreams, loads, 0.0, 3.0) == [Order(upstreams[3], "prefill")]


def test_a_calm_fleet_gets_no_orders() -> None:
    upstreams = fleet(2, 3)
    assert orders_during(PhasePlan(), upstreams, {"r0": (1, 500), "a0": (20, 0)}, 0.0, 30.0) == []


def test_a_moment_of_load_is_no_reason() -> None:
    upstreams, plan = fleet(2, 3), PhasePlan()
    assert orders_during(plan, upstreams, {}, 0.0, 5.0) == []
    assert orders_during(plan, upstreams, prefill_loads(upstreams), 5.0, 0.5) == []
    assert orders_during(plan, upstreams, {}, 5.5, 5.0) == []


def test_two_orders_of_a_service_are_apart() -> None:
    upstreams, plan = fleet(4, 16), PhasePlan()
    found = orders_during(plan, upstreams, prefill_loads(upstreams), 0.0, ORDER_INTERVAL_S - 0.5)
    assert len(found) == 2  # a tenth of twenty at once
    assert orders_during(plan, upstreams, prefill_loads(upstreams), ORDER_INTERVAL_S - 0.5, 0.4) == []


def test_two_in_five_go_on_making_answers_however_much_is_to_be_read() -> None:
    upstreams = fleet(3, 2)
    assert orders_during(PhasePlan(), upstreams, prefill_loads(upstreams), 0.0, 60.0) == []


def test_a_lull_takes_no_upstream_from_answers_that_a_burst_needed_a_moment_ago() -> None:
    """A burst after a lull met only two of eight upstreams in decode, with 100 calls at a capacity of 64."""
    upstreams, plan = fleet(4, 5), PhasePlan()
    busy = prefill_loads(upstreams) | {f"a{i}": (45, 0) for i in range(5)}
    lull = prefill_loads(upstreams) | {f"a{i}": (3, 0) for i in range(5)}
    assert orders_during(plan, upstreams, busy, 0.0, 6.0) == []
    assert orders_during(plan, upstreams, lull, 6.0, 4.0) == []


def test_a_crowded_answering_tier_gets_one_back_although_much_is_to_be_read() -> None:
    upstreams, plan = fleet(3, 2), PhasePlan()
    loads = prefill_loads(upstreams) | {"a0": (90, 0), "a1": (95, 0), "r1": (1, 9_000)}
    assert orders_during(plan, upstreams, loads, 0.0, 4.0)[:1] == [Order(upstreams[1], "decode")]


def orders_with_intermittent_prefill(
    plan: PhasePlan, upstreams: tuple[Upstream, ...], seconds: float
) -> list[Order]:
    """Like `orders_during`, with a prompt at each prefill upstream a third of the time."""
    found: list[Order] = []
    for tick in range(int(seconds * 10)):
        loads: Loads = {u.id: (1, 9_000) for u in upstreams if u.phase == "prefill" and tick % 3 == 0}
        found += plan.due_orders(upstreams, loads | {"a0": (25, 0), "a1": (25, 0)}, tick / 10)
    return found


def test_one_is_given_back_where_losses_left_fewer_than_two_in_five_making_answers() -> None:
    """Two decode upstreams were lost: three were left in prefill, and the last one in decode was full."""
    upstreams = fleet(3, 1)
    assert orders_with_intermittent_prefill(PhasePlan(), fleet(2, 2), 10.0) == []
    assert orders_with_intermittent_prefill(PhasePlan(), upstreams, 3.9) == [Order(upstreams[0], "decode")]
    assert (
        orders_during(PhasePlan(), upstreams, prefill_loads(upstreams) | {"a0": (25, 0)}, 0.0, 10.0) == []
    )  # the prefill tier has no spare capacity
    # the last prefill upstream stays
    assert orders_with_intermittent_prefill(PhasePlan(), fleet(1, 1), 10.0) == []


def test_the_last_reader_stays() -> None:
    upstreams = fleet(1, 2)
    assert orders_during(PhasePlan(), upstreams, {"a0": (90, 0), "a1": (95, 0)}, 0.0, 20.0) == []


def test_upstreams_that_drain_or_move_take_no_part() -> None:
    upstreams = fleet(2, 4)
    leaving = tuple(replace(u, state="draining") if u.id == "a0" else u for u in upstreams)
    moving = tuple(replace(u, phase="moving") if u.id == "a1" else u for u in leaving)
    assert orders_during(PhasePlan(), leaving, prefill_loads(upstreams), 0.0, 3.0) == [
        Order(upstreams[3], "prefill")
    ]
    # two of four stay in decode
    assert orders_during(PhasePlan(), moving, prefill_loads(upstreams), 0.0, 3.0) == []


def test_a_zone_keeps_both_parts_as_long_as_it_can() -> None:
    zones = {"r0": "a", "r1": "b", "a0": "a", "a1": "b", "a2": "b", "a3": "c"}
    upstreams = tuple(replace(u, zone=zones[u.id]) for u in fleet(2, 4))
    loads = prefill_loads(upstreams) | {"a0": (1, 0), "a1": (8, 0), "a2": (9, 0), "a3": (0, 0)}
    assert orders_during(PhasePlan(), upstreams, loads, 0.0, 3.0) == [Order(upstreams[3], "prefill")]
