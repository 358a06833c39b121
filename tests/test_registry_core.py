"""The registry without clocks and sockets: conflict resolution, answers to readers, leases, followers."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace
from typing import Any

import pytest

from fleet.registry import follower as follow
from fleet.registry.entries import Entry, InvalidEntryError, Key, Lifecycle
from fleet.registry.follower import Follower
from fleet.registry.history import REVISIONS_PER_SECOND, SLOTS, Changes, History
from fleet.registry.leases import Leases
from fleet.registry.replica import (
    MAINTENANCE_MS,
    MIN_TOMBSTONE_MS,
    ORPHAN_LEASES,
    PeerRequest,
    PeerResponse,
    Put,
    Remove,
    Replica,
    ReplicaState,
    Reply,
    Settings,
    TimeDue,
)

START_S = 1_700_000_000.0
LEASE = 3_000.0


def entry(id_: str = "x", port: int = 1, **more: Any) -> Entry:
    return replace(Entry(id_, f"127.0.0.1:{port}"), **more)


class Fleet:
    """Replicas that exchange changes only through `sync`."""

    def __init__(self, *names: str) -> None:
        self.now = 1_000.0
        self.names = names
        self.replicas = {name: self.make(name) for name in names}
        self._calls = itertools.count()

    def make(self, name: str, state: ReplicaState | None = None, start_s: float = START_S) -> Replica:
        peers = tuple(n for n in self.names if n != name)
        return Replica(Settings(name, peers), start_s, self.now, state)

    def put(self, name: str, entry: Entry, incarnation: int | None = None) -> Reply:
        return self._write(name, Put(next(self._calls), entry, incarnation))

    def remove(self, name: str, id_: str, incarnation: int | None = None) -> Reply:
        return self._write(name, Remove(next(self._calls), ("", id_), incarnation))

    def _write(self, name: str, event: Put | Remove) -> Reply:
        actions = self.replicas[name].handle(event, self.now)
        (reply,) = [a for a in actions if isinstance(a, Reply)]
        return reply

    def sync(self, *pairs: tuple[str, str]) -> None:
        """In each (source, reader) pair, the reader fetches the changes it lacks from the source."""
        for source, reader in pairs or tuple(itertools.permutations(self.names, 2)):
            replica = self.replicas[source]
            after = self.replicas[reader].seen.get(source)
            if after is not None:
                replica.handle(PeerRequest(reader, after), self.now)
            leases = replica.lease_counts(self.now)
            answer = PeerResponse(
                source, replica.history.changes_since(after), replica.version_vector(), *leases
            )
            self.replicas[reader].handle(answer, self.now)

    def wait(self, ms: float, step: float = 250.0) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += step
            for replica in self.replicas.values():
                replica.handle(TimeDue(), self.now)

    def phase(self, name: str, id_: str = "x") -> str:
        found = self.replicas[name].history.get(("", id_))
        return found.phase if found is not None else "unknown"

    def lists(self) -> list[dict[Key, Entry]]:
        return [{e.key: e for e in r.history.entries()} for r in self.replicas.values()]


def saved_state(replica: Replica) -> ReplicaState:
    return ReplicaState(replica.history.state(), dict(replica.seen), dict(replica.acked))


# ---- entries and history ---------------------------------------------------------------------------


def test_of_two_reports_the_same_wins_in_every_order() -> None:
    """Replicas receive versions in different orders; the winner must not depend on it."""
    generator = random.Random(3)
    for _ in range(200):
        reports = [
            entry(
                port=generator.randint(1, 3),
                incarnation=generator.randint(0, 2),
                lifecycle=Lifecycle(generator.randint(0, 2)),
                turn=generator.randint(0, 2),
                lapsed=generator.random() < 0.5,
                holder=generator.choice("ab"),
            )
            for _ in range(4)
        ]
        winners = set()
        for order in itertools.permutations(reports):
            best = order[0]
            for report in order[1:]:
                best = report if report.order > best.order else best
            winners.add(best)
        assert len(winners) == 1


@pytest.mark.parametrize(
    ("field", "value"),
    [("id", ""), ("id", "a b"), ("id", "x" * 201), ("host_port", "nowhere:1"), ("host_port", "127.0.0.1:0"),
     ("size", 0.0), ("size", float("nan")), ("cell", -1), ("incarnation", 2**53), ("lease_ms", 1.0),
     ("up_since_ms", float("inf")), ("locality", "a\nb")],
)  # fmt: skip
def test_a_value_that_no_entry_can_have_is_named(field: str, value: Any) -> None:
    with pytest.raises(InvalidEntryError, match=f"^{field}: allowed is "):
        replace(entry(), **{field: value})


def test_changes_lead_from_any_revision_to_the_list_or_the_answer_is_whole() -> None:
    """A reader that applies the changes since any revision must arrive at the current list."""
    for seed in range(20):
        generator = random.Random(seed)
        history = History(generator.randrange(SLOTS), START_S)
        known: dict[int, dict[Key, Entry]] = {history.revision: {}}
        for _ in range(300):
            action = generator.random()
            if action < 0.9:
                history.put(entry(f"s{generator.randrange(8)}", lapsed=generator.random() < 0.4))
            elif action < 0.95:
                gone = [e.key for e in history.entries() if e.is_gone]
                if gone:
                    history.purge(generator.choice(gone))
            elif action < 0.97:
                history.compact()
            else:  # a restart from saved state, with the clock set back
                saved = history.state()
                before = history.revision
                history = History(history.revision % SLOTS, START_S - generator.randrange(60), saved)
                assert history.revision > before
            now = {e.key: e for e in history.entries() if not e.is_gone}
            known[history.revision] = now
            after = generator.choice(list(known))
            answer = history.changes_since(after)
            received = {} if answer.is_full else dict(known[after])
            received |= {e.key: e for e in answer.entries}
            assert {k: e for k, e in received.items() if not e.is_gone} == now
            assert answer.revision >= after


def test_a_reader_who_knows_more_than_an_old_snapshot_gets_the_whole_list() -> None:
    """A reader with revisions that a restored replica has lost must not be told that nothing changed."""
    history = History(2, START_S)
    history.put(entry("a"))
    old = history.state()
    for i in range(5):
        history.put(entry("b", port=i + 1))
    lost = history.revision
    restored = History(2, START_S - 3_600, old)  # with its clock an hour behind
    assert restored.changes_since(old.revision).is_full is False  # changes since a common revision are known
    if restored.is_lost_revision(lost):
        restored.advance_past(lost)
    for i in range(9):
        restored.put(entry("c", port=i + 1))
    answer = restored.changes_since(lost)
    assert answer.is_full and answer.revision > lost and restored.epoch > lost


def test_two_lives_that_begin_in_one_second_use_no_number_twice() -> None:
    """Two restarts from one snapshot within a second must not reuse a revision for another change."""
    first = History(1, START_S)
    old = first.state()
    second = History(1, START_S + 0.1, old)
    second.put(entry())
    third = History(1, START_S + 0.3, old)  # from the same old state again, in the same second
    third.put(entry("other"))
    assert third.revision > second.revision and third.changes_since(second.revision).is_full


def test_another_keepers_number_and_a_list_of_other_make_get_the_whole_list() -> None:
    """Revisions of another replica, or of another kind, must not be taken for own ones."""
    one, two = History(1, START_S), History(2, START_S)
    for history in (one, two):
        history.put(entry())
    assert (
        one.changes_since(two.revision).is_full
        and one.changes_since(41).is_full
        and one.changes_since(0).is_full
    )
    assert not one.changes_since(one.revision).is_full
    assert one.revision < 2**53 and one.revision // SLOTS >= START_S * REVISIONS_PER_SECOND


# ---- replicas --------------------------------------------------------------------------------------


def test_replicas_come_to_one_list_whatever_is_cut_meanwhile() -> None:
    """Replicas must converge after random writes, restarts and exchanges."""
    for seed in range(30):
        generator, fleet = random.Random(seed), Fleet("a", "b", "c")
        for _ in range(150):
            name, id_ = generator.choice(fleet.names), f"s{generator.randrange(5)}"
            action = generator.random()
            if action < 0.35:
                fleet.put(name, entry(id_, generator.randint(1, 2), lease_ms=LEASE), generator.randint(0, 3))
            elif action < 0.45:
                fleet.put(name, entry(id_, lifecycle=Lifecycle.LEAVING), generator.randint(0, 3))
            elif action < 0.55:
                fleet.remove(name, id_)
            elif action < 0.65:
                fleet.wait(generator.choice((250.0, LEASE)))
            elif action < 0.7:  # killed and restarted with its saved state
                fleet.replicas[name] = fleet.make(name, saved_state(fleet.replicas[name]), START_S + 1)
            else:
                fleet.sync(tuple(generator.sample(fleet.names, 2)))  # type: ignore[arg-type]
        for _ in range(4):
            fleet.sync()
        one, two, three = fleet.lists()
        assert one == two == three


def test_a_removal_wins_over_a_renewal_and_a_new_incarnation_over_a_removal() -> None:
    """After a partition, a concurrent renewal must not undo a removal, but a new process must return."""
    fleet = Fleet("a", "b")
    fleet.put("a", entry(lease_ms=LEASE), 5)
    fleet.sync()
    fleet.remove("a", "x")  # partitioned from here on
    fleet.put("b", entry(lease_ms=LEASE), 5)
    fleet.sync()
    assert (fleet.phase("a"), fleet.phase("b")) == ("left", "left")
    fleet.remove("a", "x", 5)
    fleet.put("b", entry(port=9, lease_ms=LEASE), 6)
    fleet.sync()
    assert (fleet.phase("a"), fleet.phase("b")) == ("active", "active")


def test_a_restart_under_the_same_id_wins_over_the_old_lease_that_lives_elsewhere() -> None:
    """The expiry of an old process's lease at another replica must not remove the new process."""
    fleet = Fleet("a", "b")
    fleet.put("a", entry(port=1, lease_ms=LEASE), 1)
    fleet.sync()
    fleet.put("b", entry(port=2, lease_ms=LEASE), 2)
    fleet.sync()
    late = fleet.put("a", entry(port=1, lease_ms=LEASE), 1)  # the last renewal of the old process
    assert late.status == 409 and late.reason.startswith("incarnation: 1 is older than 2")
    fleet.wait(2 * LEASE, LEASE / 3)  # the expiry of the old lease at a removes nothing
    for replica in fleet.replicas.values():
        found = replica.history.get(("", "x"))
        assert found is not None and found.host_port == "127.0.0.1:2"


@pytest.mark.parametrize(
    ("second", "number", "reason"),
    [
        (entry(port=7), 4, "incarnation: 4 is older"),
        (entry(port=7, lifecycle=Lifecycle.LEAVING), 5, "incarnation: 5 is listed with other values"),
        (entry(), 5, "phase: incarnation 5 is leaving already"),
    ],
)
def test_a_write_that_can_not_follow_is_refused_and_changes_nothing(
    second: Entry, number: int, reason: str
) -> None:
    fleet = Fleet("a")
    fleet.put("a", entry(), 5)
    fleet.put("a", entry(lifecycle=Lifecycle.LEAVING), 5)
    before = fleet.replicas["a"].history.revision
    reply = fleet.put("a", second, number)
    assert reply.status == 409 and reply.reason.startswith(reason)
    assert fleet.replicas["a"].history.revision == before


def test_a_registrant_that_names_no_incarnation_renews_with_the_same_and_changes_with_the_next() -> None:
    fleet = Fleet("a")
    first = fleet.put("a", entry(port=1))
    again = fleet.put("a", entry(port=1))
    moved = fleet.put("a", entry(port=2))
    numbers = [r.entry.incarnation for r in (first, again, moved) if r.entry is not None]
    assert numbers == [0, 0, 1]


def test_one_that_does_not_renew_is_left_and_comes_back_by_renewing() -> None:
    fleet = Fleet("a")
    for i in range(10):
        fleet.put("a", entry(f"s{i}", lease_ms=LEASE), 1)
    for _ in range(12):
        fleet.wait(LEASE / 3)
        for i in range(9):
            fleet.put("a", entry(f"s{i}", lease_ms=LEASE), 1)
    assert fleet.phase("a", "s9") == "left"
    assert {fleet.phase("a", f"s{i}") for i in range(9)} == {"active"}
    fleet.put("a", entry("s9", lease_ms=LEASE), 1)
    assert fleet.phase("a", "s9") == "active"


def test_nobody_is_taken_off_while_most_are_silent_and_one_that_stays_so_goes_afterwards() -> None:
    """Expiry is suspended while most registrants are silent; afterwards one that stays silent is removed."""
    fleet = Fleet("a")
    ids = [f"s{i}" for i in range(10)]
    for id_ in ids:  # renewals are spread over a third of the lease
        fleet.put("a", entry(id_, lease_ms=LEASE), 1)
        fleet.wait(100.0, 100.0)
    fleet.wait(20 * LEASE)
    assert {fleet.phase("a", id_) for id_ in ids} == {"active"}
    assert fleet.replicas["a"].is_expiry_suspended()
    fleet.wait(20 * LEASE)
    assert fleet.replicas["a"].is_expiry_suspended()  # time alone does not end the suspension
    for _ in range(8):
        for id_ in ids[1:]:
            fleet.put("a", entry(id_, lease_ms=LEASE), 1)
        fleet.wait(LEASE / 3)
    assert not fleet.replicas["a"].is_expiry_suspended()
    assert fleet.phase("a", ids[0]) == "left"
    assert {fleet.phase("a", id_) for id_ in ids[1:]} == {"active"}


def test_a_mass_is_seen_though_each_replica_holds_but_one_or_two_of_it() -> None:
    """With few leases per replica, only the sum over all replicas shows that many are late."""
    fleet = Fleet("a", "b", "c")
    ids = [f"s{i}" for i in range(4)]
    for i, id_ in enumerate(ids):
        fleet.put(fleet.names[i % 3], entry(id_, lease_ms=LEASE), 1)
    for _ in range(40):  # all registrants are cut off
        fleet.wait(LEASE / 4)
        fleet.sync()
    assert {fleet.phase(name, id_) for name in fleet.names for id_ in ids} == {"active"}
    for _ in range(16):  # all but one are reachable again
        for i, id_ in enumerate(ids[1:], 1):
            fleet.put(fleet.names[i % 3], entry(id_, lease_ms=LEASE), 1)
        fleet.wait(LEASE / 4)
        fleet.sync()
    assert [fleet.phase("b", id_) for id_ in ids] == ["left", "active", "active", "active"]


def test_a_holder_refutes_that_its_lease_has_lapsed() -> None:
    """A partitioned replica that took over a lease and expired it must lose against the active holder."""
    fleet = Fleet("a", "b")
    fleet.put("a", entry(lease_ms=LEASE), 1)
    fleet.sync()
    for _ in range(6 * ORPHAN_LEASES):  # a continues and is partitioned from b
        fleet.put("a", entry(lease_ms=LEASE), 1)
        fleet.wait(LEASE / 3)
    assert (fleet.phase("a"), fleet.phase("b")) == ("active", "left")
    for _ in range(2):
        fleet.sync()
    assert (fleet.phase("a"), fleet.phase("b")) == ("active", "active")
    assert fleet.lists()[0] == fleet.lists()[1]


def test_a_lease_moves_with_the_second_renewal_where_the_first_went_before_the_news() -> None:
    """The holder's acknowledged entry reaches the next replica only after the first renewal there."""
    fleet = Fleet("a", "b", "c")
    assert fleet.put("b", entry(lease_ms=600.0)).status == 200
    fleet.sync(("b", "c"))
    assert fleet.put("a", entry(lease_ms=600.0)).status == 200  # does not know b's entry
    fleet.sync(("c", "a"))
    held = fleet.replicas["a"].history.get(("", "x"))
    assert held is not None and (held.holder, held.turn) == ("b", 1)  # the greater name wins
    fleet.wait(300.0)
    assert fleet.phase("a") == "active"
    assert fleet.put("a", entry(lease_ms=600.0)).status == 200
    held = fleet.replicas["a"].history.get(("", "x"))
    assert held is not None and (held.holder, held.turn, held.phase) == ("a", 2, "active")


def test_only_the_first_that_can_be_heard_takes_over_the_leases_of_a_silent_replica() -> None:
    """Leases of a silent replica must be taken over by one replica only."""
    fleet = Fleet("a", "b", "c")
    fleet.put("a", entry(lease_ms=LEASE), 1)
    fleet.sync()
    for _ in range(4 * (ORPHAN_LEASES + 2)):
        fleet.wait(LEASE / 4)
        fleet.sync(("b", "c"), ("c", "b"))
        held = fleet.replicas["c"].history.get(("", "x"))
        assert held is not None and held.holder in ("a", "b")
    assert fleet.phase("b") == fleet.phase("c") == "left"


def test_what_is_gone_is_remembered_until_every_peer_has_it() -> None:
    """A tombstone purged before every peer has it would let a peer reintroduce the entry."""
    fleet = Fleet("a", "b", "c")
    fleet.put("a", entry(), 1)
    fleet.sync()
    fleet.remove("a", "x")
    for _ in range(2):
        fleet.sync(("a", "b"), ("b", "a"))
    fleet.wait(MIN_TOMBSTONE_MS + MAINTENANCE_MS, MAINTENANCE_MS)
    assert fleet.phase("a") == "left"  # c could still reintroduce it
    for _ in range(2):
        fleet.sync()
    fleet.wait(MIN_TOMBSTONE_MS + MAINTENANCE_MS, MAINTENANCE_MS)
    assert [fleet.phase(name) for name in fleet.names] == ["unknown"] * 3


def test_a_replica_from_an_old_snapshot_brings_back_nothing_that_all_have_forgotten() -> None:
    """A replica restored from an old snapshot must not reintroduce an entry that was removed and purged."""
    fleet = Fleet("a", "b")
    fleet.put("a", entry("kept"), 1)
    fleet.put("a", entry("removed"), 1)
    for _ in range(2):
        fleet.sync()
    old = saved_state(fleet.replicas["a"])
    fleet.put("a", entry("late"), 1)
    fleet.remove("a", "removed")
    for _ in range(3):
        fleet.sync()
    fleet.wait(MIN_TOMBSTONE_MS + MAINTENANCE_MS, MAINTENANCE_MS)
    assert fleet.phase("b", "removed") == "unknown"
    fleet.replicas["a"] = fleet.make("a", old, START_S + 3_600)
    fleet.replicas["a"].seen.clear()  # makes it fetch the full list
    for _ in range(3):
        fleet.sync()
    assert fleet.phase("a", "removed") == "left" and fleet.phase("b", "removed") != "active"
    assert fleet.phase("a", "late") == fleet.phase("b", "kept") == "active"


def test_what_one_replica_alone_acknowledged_is_passed_on_after_its_restart() -> None:
    """A write acknowledged by a replica that was killed before its peers had it must still reach them."""
    fleet = Fleet("a", "b")
    fleet.sync()
    fleet.put("a", entry(), 1)  # killed before b received it
    fleet.replicas["a"] = fleet.make("a", saved_state(fleet.replicas["a"]), START_S + 5)
    for _ in range(2):
        fleet.sync()
    assert fleet.phase("a") == fleet.phase("b") == "active"


def test_leases_of_which_a_few_are_silent_run_out_one_by_one() -> None:
    leases = Leases()
    for i in range(20):
        leases.renew(("", str(i)), 1_000.0, 0.0)
    for now in (400.0, 800.0):
        for i in range(18):
            leases.renew(("", str(i)), 1_000.0, now)
    assert sorted(leases.expire(1_000.0)) == [("", "18"), ("", "19")]
    assert leases.expire(1_100.0) == [] and len(leases) == 18


# ---- followers -------------------------------------------------------------------------------------


class FollowerHarness:
    """Runs a follower and keeps its last actions."""

    def __init__(
        self, *replicas: str, state: follow.FollowerState | None = None, start_s: float = START_S
    ) -> None:
        self.follower = Follower(replicas, "", 7, start_s, state)
        self.now, self.actions = 0.0, list[follow.Action]()
        self.do(follow.Begin())

    def do(self, event: follow.Event) -> None:
        self.actions = self.follower.handle(event, self.now)

    def last_fetch(self) -> follow.FetchList:
        while not any(isinstance(a, follow.FetchList) for a in self.actions):
            (pause,) = [a for a in self.actions if isinstance(a, follow.Backoff)]
            self.now += pause.wait_ms
            self.do(follow.BackoffElapsed())
        return next(a for a in self.actions if isinstance(a, follow.FetchList))

    def receive(self, source: Replica, name: str) -> None:
        """Answers the last fetch with the list of a replica."""
        ask = self.last_fetch()
        changes = source.history.changes_since(ask.after)
        if changes.is_full:
            changes = replace(changes, entries=tuple(e for e in changes.entries if not e.is_gone))
        self.do(
            follow.ListReceived(ask.replica, name, changes, source.history.epoch, source.version_vector())
        )

    def fail(self) -> None:
        self.do(follow.FetchFailed(self.last_fetch().replica, "cut"))

    def listed(self) -> set[str]:
        return {e.id for e in self.follower.history.entries() if not e.is_gone}


def test_an_agent_tells_nothing_older_when_it_moves_to_a_replica_that_lags() -> None:
    """A follower that fails over to a lagging replica must not lose entries or go back to older ones."""
    fleet = Fleet("a", "b")
    harness = FollowerHarness("a", "b")
    first = harness.last_fetch().replica
    other = "b" if first == "a" else "a"
    for id_ in ("x", "y"):
        fleet.put(first, entry(id_), 1)
    fleet.sync()
    fleet.put(first, entry("z"), 1)
    fleet.remove(first, "y")
    harness.receive(fleet.replicas[first], first)
    assert harness.listed() == {"x", "z"}
    revision = harness.follower.history.revision
    harness.fail()
    assert harness.last_fetch().replica == other
    harness.receive(fleet.replicas[other], other)  # it lacks z and still lists y
    assert "z" in harness.listed() and harness.follower.history.revision >= revision
    fleet.sync()
    while harness.last_fetch().replica != other:
        harness.fail()
    harness.receive(fleet.replicas[other], other)
    assert harness.listed() == {"x", "z"}


def test_an_agent_does_not_take_back_what_a_replica_from_an_old_snapshot_lacks() -> None:
    """A replica restored from an old snapshot must not make a follower drop entries."""
    fleet = Fleet("a", "b")
    harness = FollowerHarness("a", "b")
    first = harness.last_fetch().replica
    old = saved_state(fleet.replicas[first])
    fleet.put(first, entry("x"), 1)
    harness.receive(fleet.replicas[first], first)
    fleet.sync()
    fleet.replicas[first] = fleet.make(first, old, START_S + 60)
    harness.receive(fleet.replicas[first], first)
    assert harness.listed() == {"x"}
    other = harness.last_fetch().replica
    assert other != first
    harness.receive(fleet.replicas[other], other)
    assert harness.listed() == {"x"}


def test_what_every_replica_has_lost_goes_in_the_end() -> None:
    """Entries that no replica has any more are dropped after MAX_UNCONFIRMED_MS."""
    fleet = Fleet("a")
    harness = FollowerHarness("a")
    old = saved_state(fleet.replicas["a"])
    fleet.put("a", entry("x"), 1)
    harness.receive(fleet.replicas["a"], "a")
    fleet.replicas["a"] = fleet.make("a", old, START_S + 60)
    fleet.put("a", entry("y"), 1)
    harness.receive(fleet.replicas["a"], "a")
    assert harness.listed() == {"x", "y"}
    began = harness.now
    while harness.listed() != {"y"}:
        harness.receive(fleet.replicas["a"], "a")
        assert harness.now < began + 2 * follow.MAX_UNCONFIRMED_MS
    assert harness.now >= began + follow.MAX_UNCONFIRMED_MS / 2


def test_an_empty_list_after_a_full_one_is_believed_from_two_replicas_alone() -> None:
    """A single replica that lost its data must not empty the list of its followers."""

    def empty(harness: FollowerHarness) -> None:
        ask = harness.last_fetch()
        seen = {name: 2**50 for name in "ab"}
        harness.do(follow.ListReceived(ask.replica, ask.replica, Changes(2**50, True, ()), 0, seen))

    fleet = Fleet("a", "b")
    for replicas, is_accepted in ((("a", "b"), True), (("a",), False)):
        harness = FollowerHarness(*replicas)
        name = harness.last_fetch().replica
        fleet.put(name, entry("x"), 1)
        harness.receive(fleet.replicas[name], name)
        harness.fail()
        for _ in range(6):
            harness.follower.handle(follow.BackoffElapsed(), harness.now)
            empty(harness)
            if "x" not in harness.listed():
                break
        assert ("x" not in harness.listed()) is is_accepted


def test_an_agent_without_a_replica_keeps_its_list_pauses_ever_longer_and_starts_from_its_snapshot() -> None:
    """While all replicas are down, a follower keeps its list and backs off; its state survives a restart."""
    fleet = Fleet("a", "b", "c")
    fleet.put("a", entry("x"), 1)
    fleet.sync()
    harness = FollowerHarness("a", "b", "c")
    harness.receive(fleet.replicas[harness.last_fetch().replica], harness.last_fetch().replica)
    pauses = []
    for _ in range(30):
        harness.fail()
        pauses += [a.wait_ms for a in harness.actions if isinstance(a, follow.Backoff)]
    assert harness.follower.is_down and harness.listed() == {"x"}
    assert max(pauses[:1]) <= follow.INITIAL_BACKOFF_MS and 1_000 < max(pauses) <= follow.MAX_BACKOFF_MS
    received = harness.follower.history.revision
    again = FollowerHarness("a", "b", "c", state=harness.follower.state(), start_s=START_S - 60)
    assert again.listed() == {"x"} and again.follower.history.revision > received
    again.receive(fleet.replicas[again.last_fetch().replica], again.last_fetch().replica)
    assert again.listed() == {"x"} and not again.follower.is_down


def test_an_entry_of_another_list_spoils_the_answer() -> None:
    harness = FollowerHarness("a")
    changes = Changes(16, True, (entry(list="kitchen"),))
    harness.do(follow.ListReceived("a", "a", changes, 0, {"a": 16}))
    assert harness.listed() == set() and harness.follower.is_down


def test_a_watcher_that_sleeps_over_a_compaction_is_told_the_whole_list() -> None:
    """A watcher whose revision is older than the change log must get the full list."""
    fleet = Fleet("a")
    fleet.put("a", entry("x"), 1)
    history = fleet.replicas["a"].history
    asleep = history.revision
    fleet.put("a", entry("y"), 1)
    fleet.put("a", entry("x", lifecycle=Lifecycle.LEAVING), 1)
    two = history.changes_since(asleep)  # two changes in one answer
    assert not two.is_full and {(e.id, e.phase) for e in two.entries} == {("x", "leaving"), ("y", "active")}
    history.compact()
    answer = history.changes_since(asleep)
    assert answer.is_full and {e.id for e in answer.entries} == {"x", "y"}
    assert not history.changes_since(answer.revision).is_full


def test_leases_do_not_depend_on_what_time_another_replica_has() -> None:
    """Clock skew between replicas must not shorten or prolong a lease."""
    fleet = Fleet("a", "b")
    fleet.replicas["b"] = fleet.make("b", start_s=START_S + 30)  # its clock is half a minute ahead
    fleet.put("a", entry(lease_ms=LEASE), 1)
    for _ in range(30):
        fleet.sync()
        fleet.put("a", entry(lease_ms=LEASE), 1)
        fleet.wait(LEASE / 3)
    assert fleet.phase("a") == fleet.phase("b") == "active"
    fleet.wait(LEASE + MAINTENANCE_MS)
    fleet.sync()
    assert fleet.phase("a") == fleet.phase("b") == "left"
