"""Fleet membership: states, accusations and refutations, failure marks, views and the balancer count."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import Any

import pytest

from fleet.membership import detector as core
from fleet.membership.count import DECAY_MS, BalancerCount
from fleet.membership.settings import MAX_STALL_MS, PERIOD_MS, Settings, suspicion_ms
from fleet.membership.states import TRANSITIONS, State, Trigger
from fleet.membership.view import REFUSED, SILENT, TOMBSTONE_MS, View
from fleet.registry.entries import Entry, InvalidEntryError

START_S = 1_700_000_000.0
FLEET = "shop"


def settings(name: str, fleet: str = FLEET) -> Settings:
    return Settings(name, fleet, f"127.0.0.1:{1 + sum(name.encode())}")


def view(name: str, incarnation: int = 1, fleet: str = FLEET) -> View:
    return View(settings(name, fleet), incarnation, START_S)


def merge_views(reader: View, *sources: View, now: float = 0.0) -> None:
    for source in sources:
        reader.merge(source.history.changes_since(None).entries, source.own.id, now)


def connected_views(*names: str) -> dict[str, View]:
    """Returns views that contain each other as present."""
    views = {name: view(name) for name in names}
    for _ in range(2):
        for one, other in itertools.permutations(views.values(), 2):
            merge_views(one, other)
    return views


def state(view: View, name: str) -> State:
    return view.members[name].state


def test_the_table_moves_nobody_back_from_leaving_but_by_a_newer_process() -> None:
    assert {trigger for (before, trigger) in TRANSITIONS if before is State.LEFT} == {Trigger.SUPERSEDED}
    assert {before for (before, trigger) in TRANSITIONS if trigger is Trigger.LEFT} == set(State) - {
        State.LEFT
    }
    assert (
        TRANSITIONS[State.SUSPECTED, Trigger.REFUTED]
        is State.PRESENT
        is TRANSITIONS[State.FAILED, Trigger.REFUTED]
    )
    assert all(TRANSITIONS[key] is not key[0] for key in TRANSITIONS)


def test_what_one_tells_who_is_not_present_counts_when_we_have_reached_it() -> None:
    """A process that is not a member must not be able to fill views with invented members."""
    views = connected_views("a", "b", "c")
    unknown_members = [Entry(f"x{i}", "10.0.0.9:1", f"members.{FLEET}") for i in range(50)]
    views["a"].merge(unknown_members, "nobody", 1.0)
    assert {state(views["a"], entry.id) for entry in unknown_members} == {State.JOINING}
    assert views["a"].count(State.PRESENT, State.SUSPECTED) == 3
    views["a"].merge(unknown_members[:1], "c", 2.0)
    views["a"].mark_reached("x1", 3.0)
    assert state(views["a"], "x0") is State.PRESENT is state(views["a"], "x1")
    assert state(views["a"], "x2") is State.JOINING


def test_who_is_written_in_is_asked_at_its_address_and_not_listed_before_it_answers() -> None:
    """Entries from any client only cause a bounded number of view fetches, never a member."""
    detector = core.Detector(settings("a"), 1, 1, START_S)
    detector.handle(core.Begin(), 0.0)
    asked = 0
    for i in range(50):
        entry = Entry(f"x{i}", f"10.0.0.9:{1 + i}", f"members.{FLEET}")
        asked += sum(isinstance(a, core.FetchView) for a in detector.handle(core.EntryReceived(entry), 1.0))
    assert asked == core.MAX_FETCHES and set(detector.view.members) == {"a"}


def test_two_fleets_that_share_an_address_do_not_merge() -> None:
    ours, theirs = view("a"), view("b", fleet="bank")
    merge_views(ours, theirs)
    assert set(ours.members) == {"a"}


def test_an_accused_process_refutes_and_the_accusation_does_nothing_any_more() -> None:
    views = connected_views("a", "b", "c")
    views["a"].accuse("b", SILENT, 10.0)
    merge_views(views["c"], views["a"])
    assert state(views["c"], "b") is State.SUSPECTED
    merge_views(views["b"], views["c"], now=20.0)
    merge_views(views["c"], views["b"], now=30.0)
    assert state(views["c"], "b") is State.PRESENT and not views["c"].accusers("b")
    merge_views(views["c"], views["a"], now=40.0)  # the refuted accusation again
    assert state(views["c"], "b") is State.PRESENT


def test_an_accuser_that_withdraws_can_accuse_again_and_views_become_equal() -> None:
    """Repeated accusations by one accuser must each take effect after an earlier one was withdrawn."""
    views = connected_views("a", "b", "c")
    for _ in range(3):
        views["a"].accuse("b", SILENT, 1.0)
        merge_views(views["c"], views["a"])
        assert views["c"].accusers("b") == {"a": SILENT}
        views["a"].withdraw("b", 2.0)
        merge_views(views["c"], views["a"])
        assert state(views["c"], "b") is State.PRESENT


def test_one_that_was_failed_and_lives_is_present_again_whatever_comes_first() -> None:
    """A refuted failure mark must lose in every order of arrival."""
    for order in itertools.permutations(range(3)):
        views = connected_views("a", "b", "c", "d")
        views["a"].accuse("b", SILENT, 1.0)
        accused = views["a"].history.changes_since(None).entries
        views["a"].mark_failed("b", 2.0)
        failed = views["a"].history.changes_since(None).entries
        merge_views(views["b"], views["a"], now=3.0)
        refuted = views["b"].history.changes_since(None).entries
        for place in order:
            views["d"].merge((accused, failed, refuted)[place], "a", 4.0)
        assert state(views["d"], "b") is State.PRESENT


def test_what_two_say_of_the_same_turn_ends_alive_when_the_accused_says_so() -> None:
    # A refutation and a failure mark made at the same time have the same turn; the refutation must win.
    views = connected_views("a", "b", "c")
    views["a"].accuse("b", SILENT, 1.0)
    merge_views(views["b"], views["a"], now=2.0)
    views["a"].mark_failed("b", 2.0)
    assert state(views["a"], "b") is State.FAILED
    merge_views(views["a"], views["b"], now=3.0)
    assert state(views["a"], "b") is State.PRESENT


def test_leaving_is_told_and_never_read_as_a_failure() -> None:
    """An announced departure must not turn into a failure, and a new process of the name is present again."""
    views = connected_views("a", "b")
    views["b"].leave(1.0)
    merge_views(views["a"], views["b"])
    assert state(views["a"], "b") is State.LEFT
    views["a"].accuse("b", REFUSED, 2.0)
    assert state(views["a"], "b") is State.LEFT
    later = view("b", incarnation=2)
    merge_views(views["a"], later, now=3.0)
    assert state(views["a"], "b") is State.PRESENT  # by its own entry, as a newer process


def test_a_later_process_of_our_name_takes_our_place() -> None:
    """Of two processes with one name, only the one with the lower incarnation considers itself superseded."""
    old, new = view("a", incarnation=1), view("a", incarnation=2)
    merge_views(old, new)
    assert old.superseded and not new.superseded
    merge_views(new, old)
    assert not new.superseded and new.members["a"].entry.incarnation == 2


def test_what_is_long_gone_is_forgotten() -> None:
    """Gone members and withdrawn accusations must not accumulate."""
    views = connected_views("a", "b")
    views["a"].accuse("b", SILENT, 0.0)
    views["a"].withdraw("b", 0.0)
    views["b"].leave(0.0)
    views["b"].publish(replace(views["b"].own, lapsed=True, turn=views["b"].own.turn + 1), 0.0)
    merge_views(views["a"], views["b"])
    views["a"].purge(TOMBSTONE_MS)
    assert set(views["a"].members) == {"a"} and len(views["a"].history) == 1


@pytest.mark.parametrize(
    ("more", "field"),
    [
        ({"name": "a>b"}, "name"),
        ({"name": "x" * 91}, "name"),
        ({"fleet": ""}, "fleet"),
        ({"period_ms": 0}, "period_ms"),
    ],
)
def test_settings_that_no_process_can_have_are_refused(more: dict[str, Any], field: str) -> None:
    with pytest.raises(InvalidEntryError, match=field):
        replace(settings("a"), **more)


def test_suspicion_grows_with_the_fleet_and_with_loss() -> None:
    assert suspicion_ms(10) == suspicion_ms(200) == MAX_STALL_MS
    assert suspicion_ms(2_000, loss=0.2) > suspicion_ms(200, loss=0.2) > MAX_STALL_MS
    with pytest.raises(ValueError, match="loss"):
        suspicion_ms(10, loss=0.9)


# ---- the balancer count -----------------------------------------------------------------------------------


def test_the_number_rises_at_once_falls_slowly_and_at_once_for_those_who_said_so() -> None:
    counted = BalancerCount(1)
    counted.update(10, 0, 0.0)
    assert counted.value(0.0) == 10
    counted.update(3, 0, 1.0)
    assert counted.value(1.0) == 10 and 5 <= counted.value(DECAY_MS) <= 6
    assert counted.value(10 * DECAY_MS) == 3
    counted.update(2, 1, 10 * DECAY_MS)
    assert counted.value(10 * DECAY_MS) == 2
    counted.update(20, 0, 10 * DECAY_MS)
    assert counted.value(10 * DECAY_MS) == 20


# ---- the detector ---------------------------------------------------------------------------------


class Cluster:
    """Runs the detectors of a few processes and answers their actions directly."""

    def __init__(self, *names: str) -> None:
        self.now = 1_000.0
        self.detectors = {name: core.Detector(settings(name), 1, 1, START_S) for name in names}
        self.named = {detector.view.own.host_port: name for name, detector in self.detectors.items()}
        self.log: list[str] = []
        self.numbers: dict[str, int] = {}
        self.unreached: dict[tuple[str, str], str] = {}  # (from, to): the result of a check
        for name in names:
            seeds = tuple(settings(other).host_port for other in names if other != name)
            self.do(name, core.Begin(seeds))

    def do(self, name: str, event: core.Event) -> None:
        for action in self.detectors[name].handle(event, self.now):
            match action:
                case core.Check(other, _, _):
                    self.do(name, core.Checked(other, self.unreached.get((name, other), "")))
                case core.FetchView(address, after, _):
                    other = self.named[address]
                    if self.unreached.get((name, other)):
                        self.do(name, core.ViewFetchFailed(address))
                        continue
                    source = self.detectors[other]
                    changes = source.view.history.changes_since(after)
                    if changes.is_full or changes.entries:
                        self.do(name, core.ViewReceived(address, other, changes))
                    else:
                        self.do(name, core.ViewFetchFailed(address))  # stands for a watch that stays open
                case core.SendEntry(address, entry):
                    target = self.named[address]
                    if not self.unreached.get((name, target)):
                        self.do(target, core.EntryReceived(entry))
                case core.Log(text):
                    self.log.append(f"{name}: {text}")
                case core.BalancerCountChanged(count):
                    self.numbers[name] = count

    def wait(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += PERIOD_MS
            for name in self.detectors:
                self.do(name, core.TimeDue())

    def cut(self, *names: str, found: str = SILENT) -> None:
        """Separates these processes from all others."""
        for one, other in itertools.permutations(self.detectors, 2):
            if (one in names) != (other in names):
                self.unreached[one, other] = found

    def state(self, at: str, name: str) -> State:
        return self.detectors[at].view.members[name].state


def test_all_find_each_other_from_seeds_and_count_each_other() -> None:
    """Processes that only know seed addresses must find each other."""
    cluster = Cluster("a", "b", "c", "d")
    cluster.wait(3_000.0)
    assert cluster.numbers == dict.fromkeys("abcd", 4)


def test_one_that_all_find_silent_is_failed_after_its_time_with_witnesses_named() -> None:
    """A silent process stays suspected for its full timeout, fails everywhere, and returns when reachable."""
    cluster = Cluster("a", "b", "c", "d", "e")
    cluster.wait(4_000.0)
    cluster.cut("e")
    cluster.wait(MAX_STALL_MS - PERIOD_MS)
    assert cluster.state("a", "e") is State.SUSPECTED
    cluster.wait(3_000.0)
    assert [cluster.state(name, "e") for name in "abcd"] == [State.FAILED] * 4
    assert any("e is failed (reported by" in line and ", " in line for line in cluster.log)
    cluster.unreached.clear()
    cluster.wait(6_000.0)
    assert {cluster.state(a, b) for a, b in itertools.permutations("abcde", 2)} == {State.PRESENT}


def test_a_one_way_link_makes_one_witness_and_takes_nobody_out() -> None:
    """One process that can't reach another must not be enough to mark it failed."""
    cluster = Cluster("a", "b", "c", "d")
    cluster.wait(4_000.0)
    cluster.unreached["a", "b"] = SILENT
    cluster.wait(30_000.0)
    assert [cluster.state(name, "b") for name in "cd"] != [State.FAILED] * 2
    assert cluster.state("a", "b") in (State.PRESENT, State.SUSPECTED)
    assert not any("b is failed" in line for line in cluster.log)


def test_a_minority_doubts_itself_and_the_majority_judges() -> None:
    """After a partition, the minority must not mark the majority failed; the majority marks the minority."""
    cluster = Cluster(*"abcdefghi")
    cluster.wait(6_000.0)
    cluster.cut("a", "b")
    cluster.wait(12_000.0)
    assert cluster.detectors["a"].is_isolated and not cluster.detectors["c"].is_isolated
    assert {cluster.state("a", name) for name in "cdefghi"} == {State.SUSPECTED}
    assert {cluster.state("c", name) for name in "ab"} == {State.FAILED}
    cluster.unreached.clear()
    cluster.wait(8_000.0)
    assert {cluster.state(a, b) for a, b in itertools.permutations("abcdefghi", 2)} == {State.PRESENT}


def test_seven_in_ten_whose_machines_refuse_are_failed_for_that_is_no_cut() -> None:
    """Refused connections show a dead process, so they count even if most of the fleet refuses."""
    cluster = Cluster(*"abcdefghij")
    cluster.wait(6_000.0)
    for dead in "defghij":
        del cluster.detectors[dead]
    for one, dead in itertools.product("abc", "defghij"):
        cluster.unreached[one, dead] = REFUSED
    cluster.wait(8_000.0)
    assert {cluster.state("a", dead) for dead in "defghij"} == {State.FAILED}
    cluster.wait(60_000.0)
    assert cluster.numbers["a"] == 3


def test_who_stood_still_accuses_nobody_for_what_it_missed() -> None:
    """Checks that time out because this process was stalled must not lead to accusations."""
    cluster = Cluster("a", "b", "c")
    cluster.wait(4_000.0)
    detector, checks = cluster.detectors["a"], []
    actions = detector.handle(core.TimeDue(), cluster.now + PERIOD_MS)
    checks = [action for action in actions if isinstance(action, core.Check)]
    detector.handle(core.TimeDue(), cluster.now + 30_000.0)
    for check in checks:
        detector.handle(core.Checked(check.name, SILENT), cluster.now + 30_001.0)
    assert not detector.view.accusers("b") and not detector.view.accusers("c")


def test_quiescing_takes_effect_at_once_on_the_number() -> None:
    """An announced departure lowers the balancer count at once and is not logged as a failure."""
    cluster = Cluster("a", "b", "c")
    cluster.wait(4_000.0)
    cluster.do("c", core.Leave())
    cluster.wait(PERIOD_MS)
    assert cluster.numbers["a"] == cluster.numbers["b"] == 2
    assert not any("failed" in line for line in cluster.log)


def test_every_order_of_what_three_say_of_each_other_ends_in_equal_views() -> None:
    """Views must converge for every order of two accusations, a failure mark, a refutation and a departure.

    Each statement may also be lost on its way to another view.
    """
    explored = 0
    steps = (
        ("a", "accuse", "b"),
        ("c", "accuse", "b"),
        ("a", "fail", "b"),
        ("b", "merge", "a"),
        ("c", "leave", "c"),
    )
    for order in itertools.permutations(steps):
        for links in itertools.product((False, True), repeat=3):
            views = connected_views("a", "b", "c")
            for at, ((actor, step, target), is_sent) in enumerate(
                zip(order, (*links, True, False), strict=True)
            ):
                now = float(at)
                if step == "accuse":
                    views[actor].accuse(target, SILENT, now)
                elif step == "fail" and state(views[actor], target) is not State.LEFT:
                    views[actor].mark_failed(target, now)
                elif step == "merge":
                    merge_views(views[actor], views[target], now=now)
                elif step == "leave":
                    views[actor].leave(now)
                if is_sent:  # lost otherwise
                    merge_views(views["a" if actor != "a" else "c"], views[actor], now=now)
            for _ in range(3):
                for one, other in itertools.permutations(views.values(), 2):
                    merge_views(one, other, now=10.0)
            seen = [
                {n: (m.entry.order, m.state) for n, m in v.members.items() if n != v.own.id}
                for v in views.values()
            ]
            for first, second in itertools.combinations(seen, 2):
                assert all(first[name] == second[name] for name in first.keys() & second.keys())
            # No refuted accusation stays valid, and no reachable live process stays marked failed.
            assert state(views["a"], "b") is State.PRESENT and state(views["a"], "c") is State.LEFT
            explored += 1
    assert explored == 120 * 8
