"""Which upstreams move between reading and answering, on a clock of the test's own."""

from __future__ import annotations

from dataclasses import replace

from config.configuration import Upstream
from control.phases import PAUSE_S, Order, PhasePlan

Loads = dict[str, tuple[int, int]]


def fleet(readers: int, runners: int, places: float = 64.0) -> tuple[Upstream, ...]:
    """A service's upstreams: r0, r1 read prompts, a0, a1 make answers."""
    found = [
        Upstream(f"r{i}", "llm", f"10.0.0.{i + 1}:80", capacity=places, phase="prefill")
        for i in range(readers)
    ]
    found += [
        Upstream(f"a{i}", "llm", f"10.0.1.{i + 1}:80", capacity=places, phase="decode")
        for i in range(runners)
    ]
    return tuple(found)


def watch(
    plan: PhasePlan, ups: tuple[Upstream, ...], loads: Loads, start: float, seconds: float
) -> list[Order]:
    """The orders of so many seconds of one load, looked at every tenth of a second."""
    found: list[Order] = []
    for tick in range(int(seconds * 10)):
        found += plan.look(ups, loads, start + tick / 10)
    return found


def reading(ups: tuple[Upstream, ...], tokens: int = 9_000) -> Loads:
    return {u.id: (3, tokens) for u in ups if u.phase == "prefill"}


def test_a_busy_reading_tier_gets_the_answering_upstream_with_the_fewest_calls() -> None:
    ups = fleet(2, 3)
    loads = reading(ups) | {"a0": (9, 0), "a1": (4, 0), "a2": (7, 0)}
    assert watch(PhasePlan(), ups, loads, 0.0, 3.0) == [Order(ups[3], "prefill")]


def test_a_calm_fleet_gets_no_orders() -> None:
    ups = fleet(2, 3)
    assert watch(PhasePlan(), ups, {"r0": (1, 500), "a0": (20, 0)}, 0.0, 30.0) == []


def test_a_moment_of_load_is_no_reason() -> None:
    ups, plan = fleet(2, 3), PhasePlan()
    assert watch(plan, ups, {}, 0.0, 5.0) == []
    assert watch(plan, ups, reading(ups), 5.0, 0.5) == []
    assert watch(plan, ups, {}, 5.5, 5.0) == []


def test_two_orders_of_a_service_are_apart() -> None:
    ups, plan = fleet(4, 16), PhasePlan()
    found = watch(plan, ups, reading(ups), 0.0, PAUSE_S - 0.5)
    assert len(found) == 2  # a tenth of twenty at once
    assert watch(plan, ups, reading(ups), PAUSE_S - 0.5, 0.4) == []


def test_two_in_five_go_on_making_answers_however_much_is_to_be_read() -> None:
    ups = fleet(3, 2)
    assert watch(PhasePlan(), ups, reading(ups), 0.0, 60.0) == []


def test_a_lull_takes_no_upstream_from_answers_that_a_burst_needed_a_moment_ago() -> None:
    """Found in a play: the burst after the lull met two of eight, with 100 calls at 64 places."""
    ups, plan = fleet(4, 5), PhasePlan()
    busy = reading(ups) | {f"a{i}": (45, 0) for i in range(5)}
    lull = reading(ups) | {f"a{i}": (3, 0) for i in range(5)}
    assert watch(plan, ups, busy, 0.0, 6.0) == []
    assert watch(plan, ups, lull, 6.0, 4.0) == []


def test_a_crowded_answering_tier_gets_one_back_although_much_is_to_be_read() -> None:
    ups, plan = fleet(3, 2), PhasePlan()
    loads = reading(ups) | {"a0": (90, 0), "a1": (95, 0), "r1": (1, 9_000)}
    assert watch(plan, ups, loads, 0.0, 4.0)[:1] == [Order(ups[1], "decode")]


def third_reading(plan: PhasePlan, ups: tuple[Upstream, ...], seconds: float) -> list[Order]:
    """Each reader has a prompt a third of the time: looked at like `watch`."""
    found: list[Order] = []
    for tick in range(int(seconds * 10)):
        loads: Loads = {u.id: (1, 9_000) for u in ups if u.phase == "prefill" and tick % 3 == 0}
        found += plan.look(ups, loads | {"a0": (25, 0), "a1": (25, 0)}, tick / 10)
    return found


def test_one_is_given_back_where_losses_left_fewer_than_two_in_five_making_answers() -> None:
    """Found in a play: two that made answers were gone; three read, and the last runner was full."""
    ups = fleet(3, 1)
    assert third_reading(PhasePlan(), fleet(2, 2), 10.0) == []
    assert third_reading(PhasePlan(), ups, 3.9) == [Order(ups[0], "decode")]
    assert watch(PhasePlan(), ups, reading(ups) | {"a0": (25, 0)}, 0.0, 10.0) == []  # readers have no room
    assert third_reading(PhasePlan(), fleet(1, 1), 10.0) == []  # the last reader stays


def test_the_last_reader_stays() -> None:
    ups = fleet(1, 2)
    assert watch(PhasePlan(), ups, {"a0": (90, 0), "a1": (95, 0)}, 0.0, 20.0) == []


def test_upstreams_that_drain_or_move_take_no_part() -> None:
    ups = fleet(2, 4)
    leaving = tuple(replace(u, state="draining") if u.id == "a0" else u for u in ups)
    moving = tuple(replace(u, phase="moving") if u.id == "a1" else u for u in leaving)
    assert watch(PhasePlan(), leaving, reading(ups), 0.0, 3.0) == [Order(ups[3], "prefill")]
    assert watch(PhasePlan(), moving, reading(ups), 0.0, 3.0) == []  # two of four answer


def test_a_zone_keeps_both_parts_as_long_as_it_can() -> None:
    zones = {"r0": "a", "r1": "b", "a0": "a", "a1": "b", "a2": "b", "a3": "c"}
    ups = tuple(replace(u, zone=zones[u.id]) for u in fleet(2, 4))
    loads = reading(ups) | {"a0": (1, 0), "a1": (8, 0), "a2": (9, 0), "a3": (0, 0)}
    assert watch(PhasePlan(), ups, loads, 0.0, 3.0) == [Order(ups[3], "prefill")]
