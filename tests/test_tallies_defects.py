"""Planted defects in tallies and in the load shares of cold upstreams; a check finds each of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from balancer import cold_share
from balancer.cold_share import ColdShare
from tallies.adds import AddSet
from tallies.digest_tree import DigestTree, span_ms
from tallies.messages import RangeAdds
from tallies.replica import FOLD_LEVEL, FOLD_SPANS, ID_RETENTION_MS, TallyReplica
from tests import test_cold_upstreams as cold
from tests.test_tallies import MERGE_MS, Net, settled_total

IDS = 60


def rough_day() -> None:
    """Adds repeated at other machines, a partition, lost messages, and a disk lost at a critical moment."""
    net, rng = Net(3, copies=2, seed=5), random.Random(5)
    net.run(600)
    sent = set[str]()

    def adds(count: int) -> None:
        for _ in range(count):
            id_ = f"id{rng.randrange(IDS)}"
            sent.add(id_)
            net.add(rng.randrange(3), id_)
            net.run(25)
            assert max(net.totals()) <= len(sent), "a sum exceeds the number of distinct adds"

    adds(30)
    net.cut = {frozenset((net.machines[0].ip, m.ip)) for m in net.machines[1:]}
    adds(30)
    net.cut.clear()
    net.loss = 0.2
    adds(30)
    net.loss = 0.0
    net.run(MERGE_MS)
    net.cut = {frozenset((net.machines[0].ip, net.machines[1].ip))}  # The third machine reaches both.
    net.add(0, "last")
    while "last" not in net.acknowledged:
        net.run(1)
    net.stop(0, wipes=True)
    net.cut.clear()
    net.run(50)
    net.start(0)
    net.run(2)
    first = net.machines[0].replica
    assert not first.is_ready(net.now) or first.adds.total("t") == len(net.acknowledged), (
        "a sum lacks acknowledged adds"
    )
    assert len(net.acknowledged) <= settled_total(net) <= len(sent | {"last"})


def long_day() -> None:
    """A member that is cut off for longer than ids are kept."""
    net = Net(3, copies=2, seed=1)
    net.run(600)
    net.cut = {frozenset((net.machines[2].ip, m.ip)) for m in net.machines[:2]}
    net.add(2, "apart")
    net.add(0, "here")
    net.run(500)
    net.now += ID_RETENTION_MS + 4 * FOLD_SPANS * span_ms(FOLD_LEVEL) - net.now % 1000
    net.run(3_000)
    assert settled_total(net) == 2


def two_sides() -> None:
    """A cold upstream to which both sides of a partition could send at the same time."""
    fleet = cold.fleet_of(80, 1)
    cold.isolate(fleet, range(40))
    cold.isolate(fleet, range(40, 80))
    fleet.send_list(0.0, warm=0, cold=1, left_ms=8000.0)
    assert cold.highest(cold.windows(fleet, 8.0)) <= cold.BOUND


CHECKS = {"rough day": rough_day, "long day": long_day, "two sides": two_sides}


def forgets_ids(patch: pytest.MonkeyPatch) -> None:
    real = AddSet.merge

    def merge(self: AddSet, adds: Any) -> Any:
        changed = real(self, adds)
        known = [add for add in adds if add not in changed]
        for add in known:
            self._live_sums[add.tally] = self._live_sums.get(add.tally, 0) + add.amount
        return changed

    patch.setattr(AddSet, "merge", merge)


def misses_the_newest_span(patch: pytest.MonkeyPatch) -> None:
    real = DigestTree.children_of
    patch.setattr(DigestTree, "children_of", lambda self, node: real(self, node)[1:])


def acknowledges_by_itself(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TallyReplica, "_is_safe", lambda self, pending, now: pending.record <= self._synced)


def acknowledges_before_the_others_have_synced(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TallyReplica, "_is_safe", lambda self, pending, now: True)


def compares_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TallyReplica, "_on_summary", lambda self, ip, peer, summary, now: None)


def takes_no_span_in(patch: pytest.MonkeyPatch) -> None:
    real = TallyReplica._exchange

    def exchange(self: TallyReplica, ip: str, message: RangeAdds, now: float) -> None:
        real(self, ip, RangeAdds(message.level, message.index, (), message.answer), now)

    patch.setattr(TallyReplica, "_exchange", exchange)


def is_ready_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TallyReplica, "is_ready", lambda self, now: True)


def folds_by_itself(patch: pytest.MonkeyPatch) -> None:
    real = TallyReplica._fold

    def fold(self: TallyReplica, wall_ms: int) -> None:
        for peer in self._peers.values():
            peer.agreed_until = self._settled_until(wall_ms)
        real(self, wall_ms)

    patch.setattr(TallyReplica, "_fold", fold)


def gives_each_side_the_whole_bound(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(cold_share, "rate_of", lambda per_s, bounds: per_s * bounds.cold_excess + bounds.cold_slack)


def saves_windows_up(patch: pytest.MonkeyPatch) -> None:
    real = ColdShare.allows
    patch.setattr(
        ColdShare,
        "allows",
        lambda self, peer, now: peer.server.last_sent < 0 or real(self, peer, now),
    )


DEFECTS: list[tuple[str, Callable[[pytest.MonkeyPatch], None]]] = [
    ("rough day", forgets_ids),
    ("rough day", misses_the_newest_span),
    ("rough day", acknowledges_by_itself),
    ("rough day", acknowledges_before_the_others_have_synced),
    ("rough day", compares_nothing),
    ("rough day", takes_no_span_in),
    ("rough day", is_ready_at_once),
    ("long day", folds_by_itself),
    ("two sides", gives_each_side_the_whole_bound),
    ("two sides", saves_windows_up),
]


@pytest.mark.parametrize("check", CHECKS)
def test_nothing_is_found_without_a_defect(check: str) -> None:
    CHECKS[check]()


@pytest.mark.parametrize(("check", "defect"), DEFECTS, ids=lambda d: d.__name__ if callable(d) else "")
def test_a_defect_is_found(
    check: str, defect: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    defect(monkeypatch)
    with pytest.raises((AssertionError, ValueError)):
        CHECKS[check]()
