"""The list service in simulated time: the cores of `fleet.registry`, messages with delays and loss between
them.

What is measured is how long a change takes from its replica to each agent. A message takes `delay_ms` and up
to as much again; one that is lost is missed by whoever waits for its answer, who gives up `ANSWER_MS` after
the wait that was asked for. Processor time is not modelled: `mastturn bench registry` measures that.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from fleet.registry import follower, replica
from fleet.registry.entries import Entry
from mastturn.emulator.chance import Stream
from mastturn.emulator.events import START_MS, Events

ANSWER_MS = 2_000.0
WAKE_MS = 20.0  # after news, changes within so long are told together, as `mastturn.registry` does
PEER_WAIT_MS = 1_000.0
PEER_PAUSE_MS = (100.0, 1_000.0)
SETTLE_MS = 15_000.0  # after the last change, until what is not told counts as missing
START_S = 1_700_000_000.0


@dataclass(frozen=True, slots=True)
class Setup:
    """One run: sizes, the network, and how often something changes."""

    replicas: int = 3
    agents: int = 200
    entries: int = 100
    rate_per_s: float = 10.0
    seconds: float = 20.0
    delay_ms: float = 0.5
    loss: float = 0.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of it: waits in ms of every change at every agent, those never told, messages by kind."""

    waits_ms: list[float]
    missing: int
    differing: int  # agents whose list is another than the replicas' at the end
    messages: dict[str, int]


@dataclass(slots=True)
class _Waiting:
    """A watch at a replica."""

    reader: Any
    after: int | None
    ends_ms: float
    peer: str = ""
    over: bool = False


@dataclass
class _World:
    setup: Setup
    events: Events = field(default_factory=Events)
    messages: Counter[str] = field(default_factory=Counter)
    begun: dict[tuple[str, int], float] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.chance = Stream(self.setup.seed, "list service")

    def send(self, kind: str, action: Any, subject: Any) -> None:
        """One message, if it is not lost."""
        self.messages[kind] += 1
        if self.setup.loss and self.chance.uniform() < self.setup.loss:
            return
        self.events.after(self.setup.delay_ms * (1.0 + self.chance.uniform()), action, subject)


class _Replica:
    """Hosts one replica's decisions: readers' watches, its peers' logs, its timer."""

    def __init__(self, world: _World, name: str, names: list[str]) -> None:
        self._world, self.name = world, name
        self._peers = [other for other in names if other != name]
        settings = replica.Settings(name, tuple(self._peers))
        self.core = replica.Replica(settings, START_S, world.events.now)
        self.others: dict[str, _Replica] = {}
        self._waiting: list[_Waiting] = []
        self._waking, self._woken = False, -WAKE_MS
        self._asked = 0

    def begin(self) -> None:
        """Follow the peers."""
        self.do(replica.TimeDue())
        for peer in self._peers:
            self._ask_peer(peer)

    def do(self, event: replica.Event) -> None:
        """Give the decisions an event."""
        events = self._world.events
        for action in self.core.handle(event, events.now):
            if isinstance(action, replica.ListsChanged) and not self._waking:
                self._waking = True
                events.at(max(self._woken + WAKE_MS, events.now), self._wake)
            elif isinstance(action, replica.SetTimer) and isinstance(event, replica.TimeDue):
                events.at(action.at_ms, lambda _: self.do(replica.TimeDue()))

    def _wake(self, _: Any) -> None:
        self._waking, self._woken = False, self._world.events.now
        waiting, self._waiting = self._waiting, []
        for watch in waiting:
            self._answer(watch, final=False)

    def asked(self, watch: _Waiting) -> None:
        """A reader's or a peer's question has come."""
        if watch.peer and watch.after is not None:
            self.do(replica.PeerRequest(watch.peer, watch.after))
        self._answer(watch, final=watch.after is None or watch.ends_ms <= self._world.events.now)

    def _answer(self, watch: _Waiting, final: bool) -> None:
        if watch.over:
            return
        changes = self.core.history.changes_since(watch.after)
        if changes.is_full or changes.entries or final:
            watch.over = True
            self._world.send("answers", watch.reader, (self, changes, self.core.version_vector()))
            return
        self._waiting.append(watch)
        self._world.events.at(watch.ends_ms, partial(self._ended, watch))

    def _ended(self, watch: _Waiting, _: Any) -> None:
        if not watch.over:
            if watch in self._waiting:
                self._waiting.remove(watch)
            self._answer(watch, final=True)

    # ---- as a reader of its peers ----------------------------------------------------------------

    def _ask_peer(self, peer: str) -> None:
        world = self._world
        call = _Call(world, PEER_WAIT_MS + ANSWER_MS, partial(self._told, peer), partial(self._lost, peer))
        watch = _Waiting(call.answer, self.core.seen.get(peer), world.events.now + PEER_WAIT_MS, self.name)
        world.send("questions of peers", self.others[peer].asked, watch)

    def _told(self, peer: str, answer: tuple[_Replica, Any, dict[str, int]]) -> None:
        source, changes, seen = answer
        leases = source.core.lease_counts(self._world.events.now)
        self.do(replica.PeerResponse(peer, changes, seen, *leases))
        self._ask_peer(peer)

    def _lost(self, peer: str) -> None:
        wait = self._world.chance.between(*PEER_PAUSE_MS)
        self._world.events.after(wait, lambda _: self._ask_peer(peer))


class _Call:
    """A question that is out: its answer, or its time-out, whichever is first."""

    def __init__(self, world: _World, within_ms: float, told: Any, lost: Any) -> None:
        self._told, self._lost, self._over = told, lost, False
        world.events.after(within_ms, self._late)

    def answer(self, subject: Any) -> None:
        """It has been answered."""
        if not self._over:
            self._over = True
            self._told(subject)

    def _late(self, _: Any) -> None:
        if not self._over:
            self._over = True
            self._lost()


class _Agent:
    """Hosts one agent's decisions."""

    def __init__(self, world: _World, number: int, replicas: dict[str, _Replica]) -> None:
        self._world, self._replicas = world, replicas
        self.core = follower.Follower(tuple(replicas), "", world.setup.seed * 100_003 + number, START_S)

    def do(self, event: follower.Event) -> None:
        """Give the decisions an event."""
        world = self._world
        for action in self.core.handle(event, world.events.now):
            if isinstance(action, follower.FetchList):
                self._ask(action)
            elif isinstance(action, follower.Backoff):
                world.events.after(action.wait_ms, lambda _: self.do(follower.BackoffElapsed()))

    def _ask(self, ask: follower.FetchList) -> None:
        world, name = self._world, ask.replica
        lost = partial(self.do, follower.FetchFailed(name, "no answer"))
        call = _Call(world, ask.wait_ms + ANSWER_MS, self._told, lost)
        watch = _Waiting(call.answer, ask.after, world.events.now + ask.wait_ms)
        world.send("questions of agents", self._replicas[name].asked, watch)

    def _told(self, answer: tuple[_Replica, Any, dict[str, int]]) -> None:
        source, changes, seen = answer
        world = self._world
        for entry in changes.entries:
            known = self.core.history.get(entry.key)
            begun = world.begun.get((entry.id, entry.incarnation))
            if begun is not None and (known is None or known.incarnation < entry.incarnation):
                world.waits.append(world.events.now - begun)
        self.do(follower.ListReceived(source.name, source.name, changes, source.core.history.epoch, seen))


def play(setup: Setup) -> Outcome:
    """Let it run: the list is filled, agents come, changes are made one after another."""
    world = _World(setup)
    names = [f"replica-{i}" for i in range(setup.replicas)]
    replicas = {name: _Replica(world, name, names) for name in names}
    for one in replicas.values():
        one.others = replicas
    for i in range(setup.entries):
        replicas[names[0]].do(replica.Put(i, Entry(f"s-{i}", "127.0.0.1:1"), 0))
    for one in replicas.values():
        one.begin()
    agents = [_Agent(world, i, replicas) for i in range(setup.agents)]
    for agent in agents:
        world.events.after(1_000.0 + 1_000.0 * world.chance.uniform(), agent.do, follower.Begin())

    def change(number: int) -> None:
        id_ = f"s-{number % setup.entries}"
        world.begun[id_, number] = world.events.now
        one = replicas[names[world.chance.below(len(names))]]
        one.do(replica.Put(setup.entries + number, Entry(id_, f"127.0.0.1:{1 + number % 60_000}"), number))

    count = int(setup.rate_per_s * setup.seconds)
    begin = START_MS + 5_000.0
    for number in range(1, count + 1):
        world.events.at(begin + 1_000.0 * number / setup.rate_per_s, change, number)
    world.events.run(begin + 1_000.0 * setup.seconds + SETTLE_MS)
    lists = [_values(a.core.history.entries()) for a in agents]
    wanted = _values(replicas[names[0]].core.history.entries())
    differing = sum(found != wanted for found in lists)
    return Outcome(world.waits, count * setup.agents - len(world.waits), differing, dict(world.messages))


def _values(entries: Any) -> dict[str, int]:
    return {entry.id: entry.incarnation for entry in entries if not entry.is_gone}
