"""Members of the control state stand so that the zones or regions that `faults` names may be lost."""

from __future__ import annotations

from dataclasses import replace

import pytest

from config.settings import CloudApi, Faults, Settings
from consensus.effects import Spec
from consensus.joining import Newcomers, Standing
from consensus.membership import Add, Keep, Remove, Replace
from consensus.messages import Join
from consensus.replica import Replica
from consensus.spread import Spread
from consensus.views import Member, Memory, View
from control.node import spec_from_settings
from mastturn.control_check.history import play
from mastturn.control_check.shape import Shape

ONE_ZONE = Spread(zones=1)


def members(zones: str) -> list[Member]:
    """One member for each letter, which names its zone."""
    return [Member(f"i{n}", f"core-{n}", f"10.0.{n}.1", 1, "", zone) for n, zone in enumerate(zones)]


@pytest.mark.parametrize(
    ("zones", "spread", "excess"),
    [
        ("abc", ONE_ZONE, 0),
        ("aab", ONE_ZONE, 1),
        ("aaa", ONE_ZONE, 2),
        ("aabcd", ONE_ZONE, 0),
        ("aaabc", ONE_ZONE, 1),
        ("abcde", Spread(zones=2), 0),
        ("aabcd", Spread(zones=2), 1),
        ("aaa", Spread(), 0),
        ("abc", Spread(regions=1, region_of={"a": "east", "b": "east", "c": "west"}), 1),
        ("abc", Spread(regions=1, region_of={"a": "east", "b": "north", "c": "west"}), 0),
    ],
)
def test_excess_is_what_the_worst_loss_takes_beyond_a_minority(
    zones: str, spread: Spread, excess: int
) -> None:
    assert spread.excess(members(zones)) == excess


def test_an_empty_slot_counts_as_lost() -> None:
    assert ONE_ZONE.excess([*members("ab"), None]) == 1


def test_the_first_view_takes_members_of_all_zones() -> None:
    first, *others = members("aaabbbccc")
    chosen = ONE_ZONE.choose(first, others, 3)
    assert [member.zone for member in chosen] == ["a", "b", "c"] and chosen[0] is first
    assert [m.identity for m in ONE_ZONE.choose(first, others, 5)] == ["i0", "i1", "i3", "i4", "i6"]


def test_all_are_taken_in_their_order_where_no_more_than_the_slots_are_there() -> None:
    first, *others = members("aabcd")
    assert ONE_ZONE.choose(first, others, 5) == [first, *others]


def waiting(view: View, *newcomers: Member) -> Newcomers:
    """Newcomers that may be named in a view."""
    found = Newcomers(ONE_ZONE)
    for member in newcomers:
        found.take(Join(member.identity, "", member, view.epoch), 0.0)
    return found


def test_a_newcomer_of_another_zone_is_exchanged_for_one_of_the_fullest() -> None:
    *inside, newcomer = members("aabb")
    inside[2] = replace(inside[2], zone="a")
    view = View(5, 0, (0, 1), tuple(inside))
    everybody = Standing(present=frozenset(range(3)))
    newcomers = waiting(view, newcomer)
    assert newcomers.change(view, everybody, 0.0) == Add(newcomer)
    wider = View(6, 0, (0, 1), (*inside, newcomer))
    all_four = Standing(present=frozenset(range(4)))
    assert newcomers.change(wider, all_four, 0.0) == Remove(1, 4)
    after = View(7, 0, (0, 1), Remove(1, 4).members(wider))
    assert ONE_ZONE.excess(after.members) == 1  # two zones can't do better
    assert newcomers.change(after, everybody, 0.0) == Keep()


def test_nobody_is_exchanged_while_one_may_be_lost_or_where_nothing_is_gained() -> None:
    *inside, newcomer = members("aabc")
    view = View(5, 0, (0, 1), tuple(inside))
    newcomers = waiting(view, newcomer)
    assert newcomers.change(view, Standing(present=frozenset({0, 1})), 0.0) == Keep()
    assert newcomers.change(view, Standing(present=frozenset({0, 1, 2})), 0.0) == Add(newcomer)
    apart = View(5, 0, (0, 1), tuple(members("abc")))
    other = replace(newcomer, zone="a")
    everybody = Standing(present=frozenset(range(3)))
    assert waiting(apart, other).change(apart, everybody, 0.0) == Keep()


def test_of_several_newcomers_the_one_that_spreads_best_comes_first() -> None:
    *inside, near, far = members("abcbc")
    view = View(5, 0, (0, 1), (*inside[:2], None))
    assert waiting(view, near, far).change(view, Standing(), 0.0) == Replace(2, far)
    view = View(5, 0, (0, 1), tuple(inside))
    assert waiting(view, near, far).change(view, Standing(dead=(2,)), 0.0) == Add(far)


def test_where_zones_may_be_lost_there_are_slots_for_it() -> None:
    def of(faults: Faults) -> Spec:
        zones = {"a": "east", "b": "west"}
        return spec_from_settings(
            Settings("n", "10.0.0.1", "a", "core", (1, 2), CloudApi("10.0.0.9:1"), zones=zones, faults=faults)
        )

    assert (of(Faults(nodes=1)).slots, of(Faults(nodes=1)).holders) == (3, 2)
    assert (of(Faults(nodes=2, zones=1)).slots, of(Faults(nodes=2, zones=1)).holders) == (5, 3)
    assert (of(Faults(nodes=1, zones=2)).slots, of(Faults(nodes=1, zones=2)).holders) == (5, 3)
    assert of(Faults(regions=1)).spread == Spread(0, 1, {"a": "east", "b": "west"})


@pytest.mark.parametrize("machines", [3, 5])
def test_the_loss_of_any_zone_is_borne_also_after_a_replacement(machines: int) -> None:
    shape = Shape(machines, machines // 2, zone_losses=True, spares=2, length_ms=90_000.0)
    assert [history.broken for history in (play(shape, seed) for seed in range(3))] == ["", "", ""]


def heedless(
    me: Member, memory: Memory, spec: Spec, seeds: tuple[str, ...], founder: bool, seed: int
) -> Replica:
    """A planted defect: a control process that takes members as they come."""
    return Replica(me, memory, replace(spec, spread=Spread()), seeds, founder, seed)


def test_members_taken_as_they_come_do_not_bear_it() -> None:
    shape = Shape(3, 1, zone_losses=True, spares=2, length_ms=90_000.0)
    assert {play(shape, seed, heedless).rule for seed in range(3)} == {"spread"}
