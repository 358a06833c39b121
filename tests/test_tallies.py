"""Replicas of tallies: acknowledged adds count once despite partitions, losses, repeats and wiped disks."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tallies.adds import AddSet
from tallies.digest_tree import LEAF_MS, DigestTree, span_ms, sum_of
from tallies.effects import Acknowledge, PersistAdds, PersistState, Send
from tallies.messages import KINDS, Add, Snapshot
from tallies.replica import FOLD_LEVEL, FOLD_SPANS, ID_RETENTION_MS, MAX_EXCHANGED_ADDS, TallyReplica

EPOCH_MS = 1_790_000_000_000
EMPTY = Snapshot(0, 0, bytes(8), (), ())
MERGE_MS = 3_000.0
DELAY_MS, SYNC_MS = 3.0, 2.0


@dataclass
class Machine:
    """A replica, its disk, and the adds that it has acknowledged since its last start."""

    ip: str
    replica: TallyReplica
    disk: Snapshot = EMPTY
    is_up: bool = True
    incarnation: int = 0
    acknowledged: set[str] = field(default_factory=set)


class Net:
    """Replicas on a network that delays, loses and partitions messages; simulated in steps of 1 ms."""

    def __init__(self, count: int, copies: int, seed: int) -> None:
        self.rng, self.now, self.copies = random.Random(seed), 0.0, copies
        self.machines = [self._machine(f"10.0.0.{i + 1}") for i in range(count)]
        self.cut: set[frozenset[str]] = set()
        self._due: dict[int, list[tuple[str, int, object, str]]] = defaultdict(list)
        self._tokens = 0
        self.requests: dict[int, tuple[str, str, int]] = {}  # IP, id and incarnation by token.
        self.acknowledged: dict[str, list[tuple[str, float]]] = defaultdict(list)  # Where and when, by id.
        self.loss = 0.0
        self.bytes = 0
        self.skew = [0] * count  # Of the machines' wall clocks, in ms.

    def _machine(self, ip: str) -> Machine:
        return Machine(ip, TallyReplica(self.copies, MERGE_MS, self.now))

    def at(self, ip: str) -> Machine:
        return next(m for m in self.machines if m.ip == ip)

    def wall_ms(self, machine: Machine) -> int:
        return EPOCH_MS + int(self.now) + self.skew[self.machines.index(machine)]

    def add(self, number: int, id_: str, amount: int = 1) -> None:
        machine = self.machines[number]
        if not machine.is_up or not machine.replica.is_ready(self.now):
            return
        self._tokens += 1
        self.requests[self._tokens] = machine.ip, id_, machine.incarnation
        machine.replica.add(self._tokens, "t", id_, amount, self.wall_ms(machine), self.now)
        self._carry_out(machine)

    def stop(self, number: int, wipes: bool = False) -> None:
        machine = self.machines[number]
        machine.is_up = False
        machine.incarnation += 1
        if wipes:
            machine.disk = EMPTY
        for at, due in self._due.items():  # Messages that have not arrived yet are lost with the process.
            self._due[at] = [entry for entry in due if entry[3] != machine.ip]

    def start(self, number: int) -> None:
        machine = self.machines[number]
        if machine.is_up:
            return
        fresh = self._machine(machine.ip)
        machine.replica, machine.is_up, machine.acknowledged = fresh.replica, True, set()
        machine.replica.load(machine.disk)

    def run(self, span_ms: float) -> None:
        until = self.now + span_ms
        while self.now < until:
            self.now += 1.0
            for ip, incarnation, what, sender in self._due.pop(int(self.now), ()):
                machine = self.at(ip)
                if not machine.is_up or machine.incarnation != incarnation:
                    continue
                if isinstance(what, int):
                    machine.replica.on_synced(what, self.now)
                elif frozenset((ip, sender)) not in self.cut:
                    machine.replica.on_message(sender, what, self.now)  # type: ignore[arg-type]
                self._carry_out(machine)
            if int(self.now) % 30 == 0:
                for machine in self.machines:
                    if machine.is_up:
                        machine.replica.set_peers(m.ip for m in self.machines if m is not machine)
                        machine.replica.tick(self.wall_ms(machine), self.now)
                        self._carry_out(machine)

    def _carry_out(self, machine: Machine) -> None:
        for effect in machine.replica.take_effects():
            match effect:
                case Send(ip, message):
                    self.bytes += len(KINDS.encode(message))
                    if self.rng.random() >= self.loss:
                        self._schedule(
                            DELAY_MS + self.rng.random() * 4, ip, self.at(ip).incarnation, message, machine.ip
                        )
                case PersistAdds(number, adds):
                    kept = machine.disk
                    machine.disk = Snapshot(
                        kept.until, kept.count, kept.digest, kept.tallies, (*kept.adds, *adds)
                    )
                    self._schedule(SYNC_MS, machine.ip, machine.incarnation, number, "")
                case PersistState():
                    machine.disk = machine.replica.adds.state()
                case Acknowledge(token):
                    ip, id_, incarnation = self.requests[token]
                    assert (ip, incarnation) == (machine.ip, machine.incarnation)
                    machine.acknowledged.add(id_)
                    self.acknowledged[id_].append((ip, self.now))

    def _schedule(self, delay_ms: float, ip: str, incarnation: int, what: object, sender: str) -> None:
        self._due[int(self.now + delay_ms) + 1].append((ip, incarnation, what, sender))

    def totals(self) -> list[int]:
        return [m.replica.adds.total("t") for m in self.machines if m.is_up]


def settled_total(net: Net) -> int:
    """Returns the sum on which all machines agree after all faults have ended."""
    net.cut.clear()
    net.loss = 0.0
    for number in range(len(net.machines)):
        net.start(number)
    net.run(MERGE_MS)
    (total,) = set(net.totals())
    return total


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "add", "add", "cut", "heal", "stop", "wipe", "start", "wait", "loss"]),
        st.integers(0, 4),
        st.integers(0, 7),
    ),
    max_size=40,
)


@settings(max_examples=80, deadline=None)
@given(steps=STEPS, count=st.integers(1, 5), seed=st.integers(0, 10_000))
def test_what_is_acknowledged_counts_once_behind_any_troubles(
    steps: list[tuple[str, int, int]], count: int, seed: int
) -> None:
    """A disk is lost only while there are no partitions and no message loss, one machine at a time."""
    net = Net(count, copies=2, seed=seed)
    net.skew = [net.rng.choice((-6000, 0, 0, 6000)) for _ in net.machines]
    net.run(600)
    sent: set[str] = set()
    has_lost = False  # Whether an add may be on a single disk.
    for what, number, other in steps:
        number, other = number % count, other % count
        match what:
            case "add":
                sent.add(f"id{other}{number // 2}")
                net.add(number, f"id{other}{number // 2}")
            case "cut" if number != other:
                net.cut.add(frozenset((net.machines[number].ip, net.machines[other].ip)))
                has_lost = True
            case "heal":
                net.cut.clear()
            case "stop":
                net.stop(number)
                has_lost = True
            case "start":
                net.start(number)
            case "wipe" if count > 2 and not has_lost and all(m.is_up for m in net.machines):
                net.run(30)
                net.stop(number, wipes=True)
                has_lost = True
            case "loss":
                net.loss = 0.3
                has_lost = True
            case "wait":
                net.run(700)
        net.run(3)
        for machine in net.machines:
            total = machine.replica.adds.total("t")
            if machine.is_up:
                assert len(machine.acknowledged) <= total <= len(sent)
    net.run(700)
    assert len(net.acknowledged) <= settled_total(net) <= len(sent)


@pytest.mark.parametrize("seed", range(4))
def test_two_sides_agree_within_a_second_of_a_heal(seed: int) -> None:
    """After 60 s apart at 41 adds a second, the repair sends only a few times the difference in bytes."""
    net = Net(5, copies=3, seed=seed)
    net.run(600)
    here = [m.ip for m in net.machines[:2]]
    net.cut = {frozenset((a, b.ip)) for a in here for b in net.machines[2:]}
    rng = random.Random(seed)
    for number in range(60 * 41):
        net.add(rng.randrange(5), f"{number:016x}")
        net.run(1000 / 41)
    apart = net.totals()
    assert max(apart) < 60 * 41
    net.cut.clear()
    net.bytes = 0
    net.run(1_000)
    assert net.totals() == [60 * 41] * 5
    assert net.bytes < 10 * 60 * 41 * 50


def test_an_add_waits_for_others_and_not_for_those_that_are_cut_off() -> None:
    net = Net(3, copies=2, seed=1)
    net.run(600)
    net.add(0, "a")
    net.run(2)
    assert not net.acknowledged
    net.run(20)
    assert [ip for ip, _ in net.acknowledged["a"]] == ["10.0.0.1"]
    net.cut = {frozenset(("10.0.0.1", m.ip)) for m in net.machines[1:]}
    net.add(0, "b")
    net.run(250)
    assert not net.acknowledged["b"]
    net.run(150)
    assert net.acknowledged["b"]
    net.add(0, "c")
    net.run(20)
    assert net.acknowledged["c"]  # Unreachable replicas are no longer waited for.


def test_a_wiped_machine_answers_once_it_has_what_the_others_have() -> None:
    net = Net(3, copies=2, seed=1)
    net.run(600)
    net.add(0, "a")
    net.run(30)
    net.stop(0, wipes=True)
    net.run(100)
    net.start(0)
    assert not net.machines[0].replica.is_ready(net.now)
    net.run(1_200)
    assert net.machines[0].replica.is_ready(net.now)
    assert net.totals() == [1, 1, 1]


def test_an_id_that_two_sides_took_holds_once_with_the_same_amount_everywhere() -> None:
    net = Net(2, copies=1, seed=1)
    net.run(600)
    net.cut = {frozenset(m.ip for m in net.machines)}
    net.add(0, "a", 4)
    net.run(50)
    net.add(1, "a", 9)
    net.run(50)
    assert settled_total(net) == 4


def test_old_adds_are_folded_on_all_and_a_wiped_machine_takes_the_numbers_over() -> None:
    net = Net(3, copies=2, seed=1)
    net.run(600)
    for number in range(300):
        net.add(number % 3, f"old{number}")
        net.run(20)
    net.run(MERGE_MS)
    step = FOLD_SPANS * span_ms(FOLD_LEVEL)
    net.now += ID_RETENTION_MS + 2 * step - net.now % 1000
    net.run(1_500)
    net.add(0, "new")
    net.run(6_000)
    assert [m.replica.adds.live for m in net.machines] == [1, 1, 1]
    assert net.totals() == [301] * 3
    net.stop(2, wipes=True)
    net.run(500)
    net.start(2)
    net.run(2_500)
    assert net.totals() == [301] * 3
    assert net.machines[2].disk.count == 300
    net.stop(1)
    net.start(1)  # Restarts from its disk.
    net.run(1_500)
    assert net.totals() == [301] * 3


def test_nothing_is_folded_that_one_member_lacks() -> None:
    net = Net(3, copies=2, seed=1)
    net.run(600)
    net.cut = {frozenset(("10.0.0.3", m.ip)) for m in net.machines[:2]}
    net.add(2, "apart")
    net.add(0, "here")
    net.run(500)
    net.now += ID_RETENTION_MS + 4 * FOLD_SPANS * span_ms(FOLD_LEVEL) - net.now % 1000
    net.run(3_000)
    assert all(m.replica.adds.folded_until == 0 for m in net.machines)
    assert settled_total(net) == 2


ADDS = st.lists(
    st.builds(
        Add,
        st.sampled_from("tu"),
        st.sampled_from("abcdefgh"),
        st.integers(1, 9),
        st.integers(0, 40 * LEAF_MS).map(lambda ms: EPOCH_MS + ms * 37),
    ),
    max_size=30,
)


@given(adds=ADDS, seed=st.integers(0, 1000))
def test_a_set_is_the_same_in_whatever_order_and_however_often(adds: list[Add], seed: int) -> None:
    one, other = AddSet(), AddSet()
    one.merge(adds)
    mixed = adds * 2
    random.Random(seed).shuffle(mixed)
    for add in mixed:
        other.merge([add])
    assert one.sum() == other.sum()
    assert one.state() != EMPTY or not adds
    assert {n: one.total(n) for n in "tu"} == {n: other.total(n) for n in "tu"}


@given(adds=ADDS, leaf=st.integers(0, 40 * 37))
def test_sums_of_spans_are_those_of_the_adds_within(adds: list[Add], leaf: int) -> None:
    unique = {(a.tally, a.id): a for a in adds}.values()
    tree = DigestTree()
    for add in unique:
        tree.insert(add)
    until = (EPOCH_MS // LEAF_MS + leaf) * LEAF_MS
    assert tree.sum_before(until) == sum_of(a for a in unique if a.stamp < until)
    node = (3, EPOCH_MS // span_ms(3))
    within = [a for a in unique if a.stamp // span_ms(3) == node[1]]
    assert tree.sum_of(node) == sum_of(within)
    assert sorted(map(str, tree.adds_in(node))) == sorted(map(str, within))
    for add in unique:
        tree.remove(add)
    assert not tree._sums and not tree._leaves


def test_a_large_difference_is_compared_by_spans() -> None:
    net = Net(2, copies=1, seed=3)
    net.run(600)
    lacks, has = (m.replica for m in net.machines)
    has.adds.merge(Add("t", f"{n:016x}", 1, EPOCH_MS + n * 50) for n in range(20 * MAX_EXCHANGED_ADDS))
    net.run(1_500)
    assert lacks.adds.total("t") == 20 * MAX_EXCHANGED_ADDS
