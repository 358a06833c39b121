"""Members are placed so that the zones or regions named in `faults` may be lost."""

from __future__ import annotations

from dataclasses import replace

import pytest

from config.settings import CloudApi, Faults, Settings
from consensus.effects import Spec
from consensus.joining import MembershipStatus, Newcomers
from consensus.membership import Add, NoChange, Remove, Replace
from consensus.messages import JoinRequest
from consensus.replica import Replica
from consensus.spread import Spread
from consensus.views import DurableState, Member, View
from control.node import spec_from_settings
from mastturn.control_check.history import play
from mastturn.control_check.shape import Shape

ONE_ZONE = Spread(zones=1)


def members(zones: str) -> list[Member]:
    """Returns one member per letter; the letter is its zone."""
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


def eligible_newcomers(view: View, *newcomers: Member) -> Newcomers:
    """Returns newcomers that may be named in a view."""
    eligible = Newcomers(ONE_ZONE)
    for member in newcomers:
        eligible.add(JoinRequest(member.identity, "", member, view.epoch), 0.0)
    return eligible


def test_a_newcomer_of_another_zone_is_exchanged_for_one_of_the_fullest() -> None:
    *inside, newcomer = members("aabb")
    inside[2] = replace(inside[2], zone="a")
    view = View(5, 0, (0, 1), tuple(inside))
    all_present = MembershipStatus(present=frozenset(range(3)))
    newcomers = eligible_newcomers(view, newcomer)
    assert newcomers.due_change(view, all_present, 0.0) == Add(newcomer)
    wider = View(6, 0, (0, 1), (*inside, newcomer))
    all_four = MembershipStatus(present=frozenset(range(4)))
    assert newcomers.due_change(wider, all_four, 0.0) == Remove(1, 4)
    after = View(7, 0, (0, 1), Remove(1, 4).members(wider))
    assert ONE_ZONE.excess(after.members) == 1  # Two zones allow no better spread.
    assert newcomers.due_change(after, all_present, 0.0) == NoChange()


def test_nobody_is_exchanged_while_one_may_be_lost_or_where_nothing_is_gained() -> None:
    *inside, newcomer = members("aabc")
    view = View(5, 0, (0, 1), tuple(inside))
    newcomers = eligible_newcomers(view, newcomer)
    assert newcomers.due_change(view, MembershipStatus(present=frozenset({0, 1})), 0.0) == NoChange()
    assert newcomers.due_change(view, MembershipStatus(present=frozenset({0, 1, 2})), 0.0) == Add(newcomer)
    apart = View(5, 0, (0, 1), tuple(members("abc")))
    other = replace(newcomer, zone="a")
    all_present = MembershipStatus(present=frozenset(range(3)))
    assert eligible_newcomers(apart, other).due_change(apart, all_present, 0.0) == NoChange()


def test_of_several_newcomers_the_one_that_spreads_best_comes_first() -> None:
    *inside, near, far = members("abcbc")
    view = View(5, 0, (0, 1), (*inside[:2], None))
    assert eligible_newcomers(view, near, far).due_change(view, MembershipStatus(), 0.0) == Replace(2, far)
    view = View(5, 0, (0, 1), tuple(inside))
    assert eligible_newcomers(view, near, far).due_change(view, MembershipStatus(dead=(2,)), 0.0) == Add(far)


def test_where_zones_may_be_lost_there_are_slots_for_it() -> None:
    def spec_with(faults: Faults) -> Spec:
        zones = {"a": "east", "b": "west"}
        return spec_from_settings(
            Settings("n", "10.0.0.1", "a", "core", (1, 2), CloudApi("10.0.0.9:1"), zones=zones, faults=faults)
        )

    assert (spec_with(Faults(nodes=1)).slots, spec_with(Faults(nodes=1)).holders) == (3, 2)
    assert (spec_with(Faults(nodes=2, zones=1)).slots, spec_with(Faults(nodes=2, zones=1)).holders) == (5, 3)
    assert (spec_with(Faults(nodes=1, zones=2)).slots, spec_with(Faults(nodes=1, zones=2)).holders) == (5, 3)
    assert spec_with(Faults(regions=1)).spread == Spread(0, 1, {"a": "east", "b": "west"})


@pytest.mark.parametrize("machines", [3, 5])
def test_the_loss_of_any_zone_is_borne_also_after_a_replacement(machines: int) -> None:
    shape = Shape(machines, machines // 2, zone_losses=True, spares=2, length_ms=90_000.0)
    assert [history.broken for history in (play(shape, seed) for seed in range(3))] == ["", "", ""]


def without_spread(
    me: Member, durable_state: DurableState, spec: Spec, seeds: tuple[str, ...], founder: bool, seed: int
) -> Replica:
    """A planted defect: members are chosen without regard to their zones."""
    return Replica(me, durable_state, replace(spec, spread=Spread()), seeds, founder, seed)


def test_members_taken_as_they_come_do_not_bear_it() -> None:
    shape = Shape(3, 1, zone_losses=True, spares=2, length_ms=90_000.0)
    assert {play(shape, seed, without_spread).rule for seed in range(3)} == {"spread"}
