"""Simulates the list service: the cores of `fleet.registry`, with message delays and loss between them.

It measures how long a change takes from its replica to each agent. A message takes `delay_ms` to twice
that. If one is lost, the requester times out `RESPONSE_TIMEOUT_MS` after the wait that it asked for.
Processor time is not modelled; `mastturn bench registry` measures it.
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

RESPONSE_TIMEOUT_MS = 2_000.0
BATCH_MS = 20.0  # changes within this time are sent together, as `mastturn.registry` does
PEER_WAIT_MS = 1_000.0
PEER_PAUSE_MS = (100.0, 1_000.0)
SETTLE_MS = 15_000.0  # after the last change; what is not delivered by then counts as missing
START_S = 1_700_000_000.0


@dataclass(frozen=True, slots=True)
class Setup:
    """Parameters of one run: sizes, network and rate of changes."""

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
    """Result: delay in ms of every change at every agent, undelivered changes, messages by kind."""

    waits_ms: list[float]
    missing: int
    differing: int  # agents whose list differs from the replicas' at the end
    messages: dict[str, int]


@dataclass(slots=True)
class _Watch:
    """A long-poll request at a replica."""

    reader: Any
    after: int | None
    ends_ms: float
    peer: str = ""
    is_done: bool = False


@dataclass
class _Simulation:
    setup: Setup
    events: Events = field(default_factory=Events)
    messages: Counter[str] = field(default_factory=Counter)
    change_started_ms: dict[tuple[str, int], float] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Stream(self.setup.seed, "list service")

    def send(self, kind: str, action: Any, subject: Any) -> None:
        """Send a message, which may be lost."""
        self.messages[kind] += 1
        if self.setup.loss and self.rng.uniform() < self.setup.loss:
            return
        self.events.after(self.setup.delay_ms * (1.0 + self.rng.uniform()), action, subject)


class _Replica:
    """Runs the core of one replica with its readers' watches, its peers' logs and its timer."""

    def __init__(self, simulation: _Simulation, name: str, names: list[str]) -> None:
        self._simulation, self.name = simulation, name
        self._peers = [other for other in names if other != name]
        settings = replica.Settings(name, tuple(self._peers))
        self.core = replica.Replica(settings, START_S, simulation.events.now)
        self.replicas_by_name: dict[str, _Replica] = {}
        self._watches: list[_Watch] = []
        self._wake_scheduled, self._last_wake_ms = False, -BATCH_MS
        self._request_count = 0

    def begin(self) -> None:
        """Start the timer and replication from the peers."""
        self.handle_event(replica.TimeDue())
        for peer in self._peers:
            self._fetch_from_peer(peer)

    def handle_event(self, event: replica.Event) -> None:
        """Pass an event to the core and execute its actions."""
        events = self._simulation.events
        for action in self.core.handle(event, events.now):
            if isinstance(action, replica.ListsChanged) and not self._wake_scheduled:
                self._wake_scheduled = True
                events.at(max(self._last_wake_ms + BATCH_MS, events.now), self._answer_watches)
            elif isinstance(action, replica.SetTimer) and isinstance(event, replica.TimeDue):
                events.at(action.at_ms, lambda _: self.handle_event(replica.TimeDue()))

    def _answer_watches(self, _: Any) -> None:
        self._wake_scheduled, self._last_wake_ms = False, self._simulation.events.now
        watches, self._watches = self._watches, []
        for watch in watches:
            self._answer(watch, final=False)

    def on_request(self, watch: _Watch) -> None:
        """Handle a request of a reader or a peer."""
        if watch.peer and watch.after is not None:
            self.handle_event(replica.PeerRequest(watch.peer, watch.after))
        self._answer(watch, final=watch.after is None or watch.ends_ms <= self._simulation.events.now)

    def _answer(self, watch: _Watch, final: bool) -> None:
        if watch.is_done:
            return
        changes = self.core.history.changes_since(watch.after)
        if changes.is_full or changes.entries or final:
            watch.is_done = True
            self._simulation.send("answers", watch.reader, (self, changes, self.core.version_vector()))
            return
        self._watches.append(watch)
        self._simulation.events.at(watch.ends_ms, partial(self._on_watch_expired, watch))

    def _on_watch_expired(self, watch: _Watch, _: Any) -> None:
        if not watch.is_done:
            if watch in self._watches:
                self._watches.remove(watch)
            self._answer(watch, final=True)

    # ---- as a reader of its peers ----------------------------------------------------------------

    def _fetch_from_peer(self, peer: str) -> None:
        simulation = self._simulation
        request = _PendingRequest(
            simulation,
            PEER_WAIT_MS + RESPONSE_TIMEOUT_MS,
            partial(self._on_response, peer),
            partial(self._on_failure, peer),
        )
        watch = _Watch(
            request.answer, self.core.seen.get(peer), simulation.events.now + PEER_WAIT_MS, self.name
        )
        simulation.send("questions of peers", self.replicas_by_name[peer].on_request, watch)

    def _on_response(self, peer: str, answer: tuple[_Replica, Any, dict[str, int]]) -> None:
        source, changes, seen = answer
        leases = source.core.lease_counts(self._simulation.events.now)
        self.handle_event(replica.PeerResponse(peer, changes, seen, *leases))
        self._fetch_from_peer(peer)

    def _on_failure(self, peer: str) -> None:
        wait = self._simulation.rng.between(*PEER_PAUSE_MS)
        self._simulation.events.after(wait, lambda _: self._fetch_from_peer(peer))


class _PendingRequest:
    """A pending request, completed by its response or its time-out, whichever comes first."""

    def __init__(self, simulation: _Simulation, within_ms: float, on_response: Any, on_failure: Any) -> None:
        self._on_response, self._on_failure, self._is_done = on_response, on_failure, False
        simulation.events.after(within_ms, self._on_timeout)

    def answer(self, subject: Any) -> None:
        """Complete the request with a response."""
        if not self._is_done:
            self._is_done = True
            self._on_response(subject)

    def _on_timeout(self, _: Any) -> None:
        if not self._is_done:
            self._is_done = True
            self._on_failure()


class _Agent:
    """Runs the core of one agent."""

    def __init__(self, simulation: _Simulation, number: int, replicas: dict[str, _Replica]) -> None:
        self._simulation, self._replicas = simulation, replicas
        self.core = follower.Follower(tuple(replicas), "", simulation.setup.seed * 100_003 + number, START_S)

    def handle_event(self, event: follower.Event) -> None:
        """Pass an event to the core and execute its actions."""
        simulation = self._simulation
        for action in self.core.handle(event, simulation.events.now):
            if isinstance(action, follower.FetchList):
                self._fetch(action)
            elif isinstance(action, follower.Backoff):
                simulation.events.after(
                    action.wait_ms, lambda _: self.handle_event(follower.BackoffElapsed())
                )

    def _fetch(self, fetch: follower.FetchList) -> None:
        simulation, name = self._simulation, fetch.replica
        on_failure = partial(self.handle_event, follower.FetchFailed(name, "no answer"))
        request = _PendingRequest(
            simulation, fetch.wait_ms + RESPONSE_TIMEOUT_MS, self._on_response, on_failure
        )
        watch = _Watch(request.answer, fetch.after, simulation.events.now + fetch.wait_ms)
        simulation.send("questions of agents", self._replicas[name].on_request, watch)

    def _on_response(self, answer: tuple[_Replica, Any, dict[str, int]]) -> None:
        source, changes, seen = answer
        simulation = self._simulation
        for entry in changes.entries:
            known = self.core.history.get(entry.key)
            change_started_ms = simulation.change_started_ms.get((entry.id, entry.incarnation))
            if change_started_ms is not None and (known is None or known.incarnation < entry.incarnation):
                simulation.waits.append(simulation.events.now - change_started_ms)
        self.handle_event(
            follower.ListReceived(source.name, source.name, changes, source.core.history.epoch, seen)
        )


def play(setup: Setup) -> Outcome:
    """Run the simulation: fill the list, start the agents, then apply changes at the given rate."""
    simulation = _Simulation(setup)
    names = [f"replica-{i}" for i in range(setup.replicas)]
    replicas = {name: _Replica(simulation, name, names) for name in names}
    for node in replicas.values():
        node.replicas_by_name = replicas
    for i in range(setup.entries):
        replicas[names[0]].handle_event(replica.Put(i, Entry(f"s-{i}", "127.0.0.1:1"), 0))
    for node in replicas.values():
        node.begin()
    agents = [_Agent(simulation, i, replicas) for i in range(setup.agents)]
    for agent in agents:
        simulation.events.after(
            1_000.0 + 1_000.0 * simulation.rng.uniform(), agent.handle_event, follower.Begin()
        )

    def change(number: int) -> None:
        id_ = f"s-{number % setup.entries}"
        simulation.change_started_ms[id_, number] = simulation.events.now
        node = replicas[names[simulation.rng.below(len(names))]]
        node.handle_event(
            replica.Put(setup.entries + number, Entry(id_, f"127.0.0.1:{1 + number % 60_000}"), number)
        )

    count = int(setup.rate_per_s * setup.seconds)
    begin = START_MS + 5_000.0
    for number in range(1, count + 1):
        simulation.events.at(begin + 1_000.0 * number / setup.rate_per_s, change, number)
    simulation.events.run(begin + 1_000.0 * setup.seconds + SETTLE_MS)
    lists = [_values(a.core.history.entries()) for a in agents]
    expected = _values(replicas[names[0]].core.history.entries())
    differing = sum(agent_list != expected for agent_list in lists)
    return Outcome(
        simulation.waits, count * setup.agents - len(simulation.waits), differing, dict(simulation.messages)
    )


def _values(entries: Any) -> dict[str, int]:
    return {entry.id: entry.incarnation for entry in entries if not entry.is_gone}
