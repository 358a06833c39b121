"""Stored updates are never replaced by older ones, and all members derive the same relay tree."""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest

from dissemination.balancer_count import COUNT_WINDOW_S, BalancerCount
from dissemination.latest_updates import LatestUpdates
from dissemination.messages import (
    ConfigurationUpdate,
    LeaderHeartbeat,
    LoadUpdate,
    MembershipUpdate,
    PresentBalancer,
    Redirect,
    UpstreamListUpdate,
)
from dissemination.relay_tree import DEGREE, parent_of, watched_by

KINDS: dict[str, Any] = {
    "upstreams": lambda e, n: UpstreamListUpdate(e, n, b"%d.%d" % (e, n)),
    "members": lambda e, n: MembershipUpdate(e, n, (), (f"{e}.{n}",)),
    "pulse": lambda e, n: LeaderHeartbeat(e, n, n),
    "loads": lambda e, n: LoadUpdate(e, n, ()),
}


@pytest.mark.parametrize("kind", KINDS)
def test_whatever_the_order_the_newest_stays(kind: str) -> None:
    stamps = [(1, 1), (1, 2), (1, 30), (2, 1), (2, 2), (7, 1)]
    for order in itertools.islice(itertools.permutations(stamps), 0, 720, 7):
        latest, newest = LatestUpdates(), (0, 0)
        for stamp in order:
            assert latest.store(KINDS[kind](*stamp)) == (stamp > newest)
            assert not latest.store(KINDS[kind](*stamp))  # the same again
            newest = max(newest, stamp)
            assert getattr(latest, kind) == KINDS[kind](*newest)


def test_configurations_go_by_their_version_alone() -> None:
    latest = LatestUpdates()
    assert latest.store(ConfigurationUpdate(5, b"five"))
    assert not latest.store(ConfigurationUpdate(5, b"other")) and not latest.store(
        ConfigurationUpdate(4, b"four")
    )
    assert latest.configuration == ConfigurationUpdate(5, b"five")
    assert latest.store(ConfigurationUpdate(9, b"nine"))


def test_what_is_no_news_is_not_taken() -> None:
    assert not LatestUpdates().store(Redirect(()))


def test_everything_is_what_somebody_lacks_the_configuration_first() -> None:
    latest = LatestUpdates()
    assert latest.updates_since(0, (0, 0)) == []
    updates = [ConfigurationUpdate(5, b""), *(make(2, 3) for make in KINDS.values())]
    for message in updates:
        latest.store(message)
    assert latest.updates_since(0, (0, 0)) == updates
    assert latest.updates_since(5, (2, 2)) == updates[1:]
    assert latest.updates_since(5, (2, 3)) == latest.updates_since(9, (3, 0)) == updates[2:]
    latest.clear_loads()
    assert latest.updates_since(5, (2, 3)) == updates[2:4]
    assert latest.store(updates[-1])  # the same sums count as new again


def members(count: int, zones: int) -> list[PresentBalancer]:
    return [PresentBalancer(f"edge-{n}", f"10.{n % zones}.1.{n}", f"hall-{n % zones}") for n in range(count)]


@pytest.mark.parametrize(("count", "zones"), [(1, 1), (2, 1), (7, 3), (9, 4), (40, 1), (350, 10)])
def test_the_tree_has_one_root_a_zone_and_no_circles(count: int, zones: int) -> None:
    everybody = members(count, zones)
    shuffled = random.Random(1).sample(everybody, count)
    parents = {m.node: parent_of(m.node, m.zone, everybody) for m in everybody}
    assert parents == {m.node: parent_of(m.node, m.zone, shuffled) for m in everybody}
    by_node = {m.node: m for m in everybody}
    assert sum(p is None for p in parents.values()) == min(count, zones)
    children = [p.node for p in parents.values() if p is not None]
    assert all(children.count(node) <= DEGREE for node in children)
    for node, parent in parents.items():
        steps = 0
        while parent is not None:
            assert by_node[parent.node].zone == by_node[node].zone
            parent, steps = parents[parent.node], steps + 1
            assert steps <= 3


def test_who_is_no_member_hears_from_the_control_state() -> None:
    assert parent_of("edge-99", "hall-0", members(9, 1)) is None
    assert parent_of("edge-0", "hall-0", []) is None


def test_few_change_their_relay_when_one_goes_that_tells_nobody() -> None:
    everybody = members(40, 1)
    before = {m.node: parent_of(m.node, m.zone, everybody) for m in everybody}
    relays = {p.node for p in before.values() if p is not None}
    for gone in everybody:
        rest = [m for m in everybody if m != gone]
        changed = sum(parent_of(m.node, m.zone, rest) != before[m.node] for m in rest)
        assert changed <= len(relays) or gone.node in relays


def test_the_watched_are_few_and_the_same_whatever_the_order() -> None:
    everybody = members(40, 3)
    watched = watched_by("edge-3", everybody, 3)
    assert len(watched) == 3 and all(m.node != "edge-3" for m in watched)
    assert watched == watched_by("edge-3", everybody[::-1], 3)
    assert watched_by("edge-0", members(1, 1), 3) == []


def test_the_number_of_an_earlier_epoch_holds_for_a_while() -> None:
    count = BalancerCount()
    assert count.take(LeaderHeartbeat(1, 1, 0), 0.0) == 0
    assert count.take(LeaderHeartbeat(1, 2, 6), 1.0) == 6
    assert (
        count.take(LeaderHeartbeat(1, 3, 5), 2.0) == 5
    )  # only the primary knows how long the sixth balancer counts
    assert count.take(LeaderHeartbeat(2, 1, 0), 3.0) == 5
    assert count.take(LeaderHeartbeat(2, 2, 4), 4.0) == 5
    assert count.take(LeaderHeartbeat(3, 1, 2), 5.0) == 5
    assert count.take(LeaderHeartbeat(3, 2, 2), 2.0 + COUNT_WINDOW_S - 0.1) == 5
    assert count.take(LeaderHeartbeat(3, 3, 2), 2.0 + COUNT_WINDOW_S) == 4
    assert count.take(LeaderHeartbeat(3, 4, 2), 4.0 + COUNT_WINDOW_S) == 2
    assert count.take(LeaderHeartbeat(3, 5, 9), 4.5 + COUNT_WINDOW_S) == 9
