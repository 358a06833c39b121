"""Simulates membership: the cores of `fleet.membership`, and all-to-all heartbeats as a baseline.

A message takes `delay_ms` to twice that, or is lost. A killed process refuses connections; one that is
paused, or beyond a partition, is silent. Processor time is not modelled; bytes are those of the messages'
values plus the overhead of the published form.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from fleet.membership import detector as core
from fleet.membership.settings import PERIOD_MS, Settings, suspicion_ms
from fleet.membership.states import State
from fleet.registry.entries import Entry
from mastturn.emulator.chance import Stream
from mastturn.emulator.events import START_MS, Events

RESPONSE_TIMEOUT_MS = 1_000.0  # beyond the requested wait
HEAD_BYTES, ENTRY_BYTES = (
    120,
    230,
)  # of a message, and of an entry in it (measured on `mastturn.registry.form`)
START_S = 1_700_000_000.0
SETTLE_MS = 5_000.0  # warm-up until all views are complete, before counting starts
DEDUPLICATION_MS = 5_000.0
BATCH_MS = 20.0  # changes within this time are sent together, as on sockets


@dataclass(frozen=True, slots=True)
class Setup:
    """Parameters of one run. `slow`: the share of processes that pause for 1 to 5 s about every 20 s."""

    processes: int = 40
    seconds: float = 60.0
    delay_ms: float = 0.5
    loss: float = 0.0
    slow: float = 0.0
    kills: int = 5
    silent: bool = False  # machines fail silently instead of processes being killed
    split_s: float = 0.0  # duration of a partition into two sides
    small: float = 0.5  # share of the smaller side
    kind: str = "views"  # or "heartbeats"
    seed: int = 1


@dataclass
class Outcome:
    """Result of one run; durations in ms."""

    first_ms: list[float] = field(default_factory=list)  # from a failure to its first detection
    last_ms: list[float] = field(default_factory=list)  # from a failure to its last detection
    undetected: int = 0
    false: int = 0  # live processes declared failed while there was no partition
    false_slow: int = 0  # of them, those that were paused at the time or shortly before
    hours: float = 0.0  # process hours in total
    messages_s: float = 0.0  # messages per process and second
    bytes_s: float = 0.0
    healed_ms: float | None = None  # from the end of the partition to equal views
    counts: list[tuple[float, int, int]] = field(
        default_factory=list
    )  # time, minimum and maximum balancer count


class _Simulation:
    """Shared state of a run: clock, network and counters."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.events = Events()
        self.rng = Stream(setup.seed, "membership")
        self.hosts: dict[str, Any] = {}
        self.messages, self.bytes = 0, 0
        self.cut: frozenset[str] = frozenset()  # one side of the partition
        self.died_ms: dict[str, float] = {}
        self.detection_delays_ms: dict[str, list[float]] = {}
        self.outcome = Outcome()
        self.is_counting = False
        self.false_until: dict[str, float] = {}  # concurrent false reports of one process count once

    def is_cut(self, here: str, there: str) -> bool:
        """Whether a partition separates two processes."""
        return bool(self.cut) and (here in self.cut) != (there in self.cut)

    def send(self, here: str, there: str, size: int, action: Callable[[Any], None], subject: Any) -> None:
        """Send a message; it is counted when sent and may be lost."""
        if self.is_counting:
            self.messages += 1
            self.bytes += HEAD_BYTES + size
        if self.is_cut(here, there) or (self.setup.loss and self.rng.uniform() < self.setup.loss):
            return
        self.events.after(self.setup.delay_ms * (1.0 + self.rng.uniform()), action, subject)

    def record_failure_report(self, name: str) -> None:
        """Record that some process declared `name` failed."""
        if name in self.died_ms:
            self.detection_delays_ms.setdefault(name, []).append(self.events.now - self.died_ms[name])
        elif (
            self.is_counting and not self.setup.split_s and self.events.now >= self.false_until.get(name, 0.0)
        ):
            self.false_until[name] = self.events.now + DEDUPLICATION_MS
            self.outcome.false += 1
            self.outcome.false_slow += self.hosts[name].paused_until > self.events.now - DEDUPLICATION_MS


class _Process:
    """Base class of simulated processes, which can be killed and paused."""

    def __init__(self, simulation: _Simulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.dead, self.silent, self.paused_until = False, False, 0.0

    def receive(self, action: Callable[[Any], None], subject: Any) -> None:
        """Run an action on this process now, or when its pause ends."""
        if self.dead:
            return
        if self.paused_until > self.simulation.events.now:
            self.simulation.events.at(self.paused_until, partial(self.receive, action), subject)
        else:
            action(subject)


@dataclass(frozen=True, slots=True, eq=False)
class _Watch:
    """A pending long-poll request for a view."""

    requester: str
    after: int | None
    request: _PendingRequest


class _MemberProcess(_Process):
    """Runs the failure detector of one process."""

    def __init__(self, simulation: _Simulation, name: str, number: int) -> None:
        super().__init__(simulation, name)
        setup = simulation.setup
        settings = Settings(name, "fleet", address(number), suspicion_ms=suspicion_ms(setup.processes))
        self.core = core.Detector(settings, setup.seed * 100_003 + number, 1, START_S)
        self._watches: list[_Watch] = []
        self._wake_scheduled, self._last_wake_ms = False, -BATCH_MS
        self._timer = 0

    def handle_event(self, event: core.Event) -> None:
        """Pass an event to the core and execute its actions."""
        events = self.simulation.events
        for action in self.core.handle(event, events.now):
            match action:
                case core.Check():
                    self._start_check(action)
                case core.FetchView():
                    self._fetch_view(action)
                case core.SendEntry(address, entry):
                    other = self.simulation.hosts[process_name(address)]
                    on_entry_received = partial(other.receive, other.on_entry_received)
                    self.simulation.send(self.name, other.name, ENTRY_BYTES, on_entry_received, entry)
                case core.SetTimer(at):
                    self._timer += 1
                    events.at(at, partial(self.receive, self._on_timer), self._timer)
                case core.Changed() if not self._wake_scheduled:
                    self._wake_scheduled = True
                    events.at(
                        max(self._last_wake_ms + BATCH_MS, events.now),
                        partial(self.receive, self._answer_watches),
                    )
                case core.Log(text) if " is failed" in text:
                    self.simulation.record_failure_report(text.split()[1])

    def on_entry_received(self, entry: Entry) -> None:
        """Handle an entry received from another process."""
        self.handle_event(core.EntryReceived(entry))

    def _on_timer(self, timer: int) -> None:
        if timer == self._timer:
            self.handle_event(core.TimeDue())

    # ---- checks ----------------------------------------------------------------------------------

    def _start_check(self, check: core.Check) -> None:
        simulation, other = self.simulation, self.simulation.hosts[check.name]
        on_result = partial(self.receive, lambda found: self.handle_event(core.Checked(check.name, found)))
        request = _PendingRequest(simulation, check.within_ms, on_result, lambda: on_result(core.SILENT))

        def on_request(_: Any) -> None:
            if other.dead:
                if not other.silent:
                    simulation.send(other.name, self.name, 0, request.answer, core.REFUSED)
            else:
                other.receive(lambda _: simulation.send(other.name, self.name, 0, request.answer, ""), None)

        simulation.send(self.name, other.name, 0, on_request, None)

    # ---- views -----------------------------------------------------------------------------------

    def _fetch_view(self, fetch: core.FetchView) -> None:
        simulation, name = self.simulation, process_name(fetch.host_port)
        other = simulation.hosts[name]
        on_response = partial(
            self.receive, lambda changes: self.handle_event(core.ViewReceived(fetch.host_port, name, changes))
        )
        on_failure = partial(self.receive, lambda _: self.handle_event(core.ViewFetchFailed(fetch.host_port)))
        request = _PendingRequest(
            simulation, fetch.wait_ms + RESPONSE_TIMEOUT_MS, on_response, lambda: on_failure(None)
        )

        def on_request(until: float) -> None:
            if not other.dead:
                other.receive(lambda _: other.on_watch(_Watch(self.name, fetch.after, request), until), None)
            elif not other.silent:
                simulation.send(name, self.name, 0, lambda _: request.fail(), None)

        simulation.send(self.name, name, 0, on_request, simulation.events.now + fetch.wait_ms)

    def on_watch(self, watch: _Watch, until: float) -> None:
        """Handle a request for this process's view."""
        if not self._answer(watch, until <= self.simulation.events.now):
            self._watches.append(watch)
            self.simulation.events.at(until, partial(self.receive, self._on_watch_expired), watch)

    def _answer(self, watch: _Watch, at_once: bool) -> bool:
        changes = self.core.view.history.changes_since(watch.after)
        if not (changes.is_full or changes.entries or at_once):
            return False
        size = ENTRY_BYTES * len(changes.entries)
        self.simulation.send(self.name, watch.requester, size, watch.request.answer, changes)
        return True

    def _on_watch_expired(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer(watch, True)

    def _answer_watches(self, _: Any) -> None:
        self._wake_scheduled, self._last_wake_ms = False, self.simulation.events.now
        self._watches = [watch for watch in self._watches if not self._answer(watch, False)]

    def states(self) -> dict[str, State]:
        """Return the state of each other process in this process's view."""
        return {name: member.state for name, member in self.core.view.members.items()}


class _PendingRequest:
    """A pending request, completed by its response, a failure or its time-out, whichever comes first."""

    def __init__(
        self,
        simulation: _Simulation,
        within_ms: float,
        on_response: Callable[[Any], None],
        on_failure: Callable[[], None],
    ) -> None:
        self._on_response, self._on_failure, self._is_done = on_response, on_failure, False
        simulation.events.after(within_ms, lambda _: self.fail())

    def answer(self, subject: Any) -> None:
        """Complete the request with a response."""
        if not self._is_done:
            self._is_done = True
            self._on_response(subject)

    def fail(self) -> None:
        """Complete the request as failed."""
        if not self._is_done:
            self._is_done = True
            self._on_failure()


class _HeartbeatProcess(_Process):
    """The baseline: sends heartbeats to all each period and fails processes after a silence."""

    def __init__(self, simulation: _Simulation, name: str, number: int) -> None:
        super().__init__(simulation, name)
        self.last: dict[str, float] = {}
        self._failed: set[str] = set()
        self._due_at = 0.0

    def begin(self, names: list[str]) -> None:
        """Start with the full list of processes."""
        self.last = {name: self.simulation.events.now for name in names if name != self.name}
        self._send_heartbeats(None)

    def _send_heartbeats(self, _: Any) -> None:
        simulation, now = self.simulation, self.simulation.events.now
        for name in self.last:
            other = simulation.hosts[name]
            simulation.send(self.name, name, 0, partial(other.receive, other.on_heartbeat), self.name)
        # The same detection time as with views: one period for the check, its wait, and the suspicion.
        longest = suspicion_ms(simulation.setup.processes) + 2 * PERIOD_MS
        for name, last in self.last.items():
            if now - last >= longest and name not in self._failed:
                self._failed.add(name)
                simulation.record_failure_report(name)
        simulation.events.after(PERIOD_MS, partial(self.receive, self._send_heartbeats))

    def on_heartbeat(self, name: str) -> None:
        """Handle a heartbeat."""
        self.last[name] = self.simulation.events.now
        self._failed.discard(name)

    def states(self) -> dict[str, State]:
        """Return the state of each other process in this process's view."""
        return {n: State.FAILED if n in self._failed else State.PRESENT for n in self.last}


def address(number: int) -> str:
    """Return the address of a process."""
    return f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:7070"


def process_name(host_port: str) -> str:
    """Return the name of the process at an address."""
    a, b, c = (int(part) for part in host_port.partition(":")[0].split(".")[1:])
    return f"b-{a * 65536 + b * 256 + c}"


def play(setup: Setup) -> Outcome:
    """Run the simulation: start all processes, then apply the faults of the setup."""
    simulation = _Simulation(setup)
    kind: Any = _MemberProcess if setup.kind == "views" else _HeartbeatProcess
    names = [f"b-{i}" for i in range(setup.processes)]
    for i, name in enumerate(names):
        simulation.hosts[name] = kind(simulation, name, i)
    events, rng = simulation.events, simulation.rng
    for i, host in enumerate(simulation.hosts.values()):
        wait = PERIOD_MS * rng.uniform()
        if isinstance(host, _MemberProcess):
            seeds = tuple(address(j) for j in range(min(3, setup.processes)) if j != i)
            events.after(wait, partial(host.receive, host.handle_event), core.Begin(seeds))
        else:
            events.after(wait, partial(host.receive, host.begin), names)
    events.run(START_MS + SETTLE_MS)
    simulation.is_counting = True
    begin, end = events.now, events.now + 1000.0 * setup.seconds
    _plan(simulation, names, begin, end)
    events.run(end)
    return _outcome(simulation, names, begin)


def _plan(simulation: _Simulation, names: list[str], begin: float, end: float) -> None:
    setup, rng, events = simulation.setup, simulation.rng, simulation.events
    order = rng.order(len(names))
    for k in range(setup.kills):
        host = simulation.hosts[names[order[k]]]
        events.at(begin + (end - begin) * (k + 0.5) / (setup.kills + 1), partial(_kill, simulation), host)
    for name in (names[i] for i in order[setup.kills : setup.kills + round(setup.slow * len(names))]):
        pause_at_ms = begin + 20_000.0 * rng.uniform()
        while pause_at_ms < end - 10_000.0:
            events.at(
                pause_at_ms,
                partial(_pause, simulation, rng.between(1_000.0, 5_000.0)),
                simulation.hosts[name],
            )
            pause_at_ms += 20_000.0 * (0.5 + rng.uniform())
    if setup.split_s:
        side = frozenset(names[i] for i in order[: max(round(setup.small * len(names)), 1)])
        events.at(begin + 5_000.0, lambda _: setattr(simulation, "cut", side))
        events.at(begin + 5_000.0 + 1000.0 * setup.split_s, partial(_heal_partition, simulation))
    if setup.kind == "views":
        for k in range(int(setup.seconds)):
            events.at(begin + 1000.0 * k, partial(_record_counts, simulation, begin))


def _kill(simulation: _Simulation, host: _Process) -> None:
    host.dead, host.silent = True, simulation.setup.silent
    simulation.died_ms[host.name] = simulation.events.now


def _pause(simulation: _Simulation, for_ms: float, host: _Process) -> None:
    host.paused_until = simulation.events.now + for_ms


def _heal_partition(simulation: _Simulation, _: Any) -> None:
    simulation.cut = frozenset()
    _await_equal_views(simulation, simulation.events.now)


def _await_equal_views(simulation: _Simulation, healed: float) -> None:
    live = [host.states() for host in simulation.hosts.values() if not host.dead]
    if all(set(view.values()) == {State.PRESENT} and len(view) >= len(live) - 1 for view in live):
        simulation.outcome.healed_ms = simulation.events.now - healed
    else:
        simulation.events.after(100.0, lambda _: _await_equal_views(simulation, healed))


def _record_counts(simulation: _Simulation, begin: float, _: Any) -> None:
    now = simulation.events.now
    numbers = [
        h.core.balancer_count(now)
        for h in simulation.hosts.values()
        if isinstance(h, _MemberProcess) and not h.dead
    ]
    simulation.outcome.counts.append((now - begin, min(numbers), max(numbers)))


def _outcome(simulation: _Simulation, names: list[str], begin: float) -> Outcome:
    outcome, live = simulation.outcome, [n for n in names if n not in simulation.died_ms]
    for name in simulation.died_ms:
        detection_delays_ms = simulation.detection_delays_ms.get(name, [])
        if len(detection_delays_ms) < len(live) - len(simulation.died_ms):
            outcome.undetected += 1
        if detection_delays_ms:
            outcome.first_ms.append(min(detection_delays_ms))
            outcome.last_ms.append(max(detection_delays_ms))
    span_s = (simulation.events.now - begin) / 1000
    outcome.hours = len(live) * span_s / 3600
    outcome.messages_s = simulation.messages / len(names) / span_s
    outcome.bytes_s = simulation.bytes / len(names) / span_s
    return outcome
