"""Membership in simulated time: the cores of `fleet.membership`, and plain heartbeats to all beside them.

A message takes `delay_ms` and up to as much again, or is lost. A killed process refuses; one that is stopped,
or beyond a cut, is silent. Processor time is not modelled; bytes are those of the messages' values with what
the published form puts around them.
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

ANSWER_MS = 1_000.0  # beyond the wait that was asked for
HEAD_BYTES, ENTRY_BYTES = (
    120,
    230,
)  # of a message, and of an entry in it (measured on `mastturn.registry.form`)
START_S = 1_700_000_000.0
SETTLE_MS = 5_000.0  # until all know all, before anything is counted
ONCE_MS = 5_000.0
GATHER_MS = 20.0  # after news, changes within so long are told together, as on sockets


@dataclass(frozen=True, slots=True)
class Setup:
    """One run. `slow`: the part of the processes that stop for 1 to 5 s, each about every 20 s."""

    processes: int = 40
    seconds: float = 60.0
    delay_ms: float = 0.5
    loss: float = 0.0
    slow: float = 0.0
    kills: int = 5
    silent: bool = False  # machines vanish in place of processes that die
    split_s: float = 0.0  # how long two halves can't reach each other
    small: float = 0.5  # the smaller part of the split
    kind: str = "views"  # or "heartbeats"
    seed: int = 1


@dataclass
class Outcome:
    """What came of it; spans in ms."""

    first_ms: list[float] = field(default_factory=list)  # from a death to the first that says so
    last_ms: list[float] = field(default_factory=list)  # and to the last
    undetected: int = 0
    false: int = 0  # live processes that were failed while nothing was cut
    false_slow: int = 0  # of them, those that stood still at the time or had just done so
    hours: float = 0.0  # of all processes together
    messages_s: float = 0.0  # of one process
    bytes_s: float = 0.0
    healed_ms: float | None = None  # from the end of the split to equal views
    counts: list[tuple[float, int, int]] = field(default_factory=list)  # moment, least, most number


class _World:
    """Time, the network and what is counted; hosts know it."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.events = Events()
        self.chance = Stream(setup.seed, "membership")
        self.hosts: dict[str, Any] = {}
        self.messages, self.bytes = 0, 0
        self.cut: frozenset[str] = frozenset()  # these reach each other alone
        self.died: dict[str, float] = {}
        self.heard: dict[str, list[float]] = {}
        self.outcome = Outcome()
        self.counting = False
        self.false_until: dict[str, float] = {}  # what all say of one process at about one time counts once

    def is_cut(self, here: str, there: str) -> bool:
        """Whether nothing passes between two processes."""
        return bool(self.cut) and (here in self.cut) != (there in self.cut)

    def send(self, here: str, there: str, size: int, action: Callable[[Any], None], subject: Any) -> None:
        """One message; it is counted when sent, and may never come."""
        if self.counting:
            self.messages += 1
            self.bytes += HEAD_BYTES + size
        if self.is_cut(here, there) or (self.setup.loss and self.chance.uniform() < self.setup.loss):
            return
        self.events.after(self.setup.delay_ms * (1.0 + self.chance.uniform()), action, subject)

    def found(self, name: str) -> None:
        """Somebody says that `name` has failed."""
        if name in self.died:
            self.heard.setdefault(name, []).append(self.events.now - self.died[name])
        elif self.counting and not self.setup.split_s and self.events.now >= self.false_until.get(name, 0.0):
            self.false_until[name] = self.events.now + ONCE_MS
            self.outcome.false += 1
            self.outcome.false_slow += self.hosts[name].stopped_until > self.events.now - ONCE_MS


class _Host:
    """What every kind of process has: it can die, and stand still."""

    def __init__(self, world: _World, name: str) -> None:
        self.world, self.name = world, name
        self.dead, self.silent, self.stopped_until = False, False, 0.0

    def take(self, action: Callable[[Any], None], subject: Any) -> None:
        """Something has come for this process: now, or when it goes on."""
        if self.dead:
            return
        if self.stopped_until > self.world.events.now:
            self.world.events.at(self.stopped_until, partial(self.take, action), subject)
        else:
            action(subject)


@dataclass(frozen=True, slots=True, eq=False)
class _Watch:
    """A question for a view that has no answer yet."""

    asker: str
    after: int | None
    call: _Call


class _Member(_Host):
    """Hosts one process's decisions."""

    def __init__(self, world: _World, name: str, number: int) -> None:
        super().__init__(world, name)
        setup = world.setup
        settings = Settings(name, "fleet", address(number), suspicion_ms=suspicion_ms(setup.processes))
        self.core = core.Detector(settings, setup.seed * 100_003 + number, 1, START_S)
        self._watches: list[_Watch] = []
        self._waking, self._woken = False, -GATHER_MS
        self._timer = 0

    def do(self, event: core.Event) -> None:
        """Give the decisions an event."""
        events = self.world.events
        for action in self.core.handle(event, events.now):
            match action:
                case core.Check():
                    self._check(action)
                case core.FetchView():
                    self._ask(action)
                case core.SendEntry(address, entry):
                    other = self.world.hosts[name_at(address)]
                    written = partial(other.take, other.written)
                    self.world.send(self.name, other.name, ENTRY_BYTES, written, entry)
                case core.SetTimer(at):
                    self._timer += 1
                    events.at(at, partial(self.take, self._due), self._timer)
                case core.Changed() if not self._waking:
                    self._waking = True
                    events.at(max(self._woken + GATHER_MS, events.now), partial(self.take, self._wake))
                case core.Log(text) if " is failed" in text:
                    self.world.found(text.split()[1])

    def written(self, entry: Entry) -> None:
        """Another tells us its entry."""
        self.do(core.EntryReceived(entry))

    def _due(self, timer: int) -> None:
        if timer == self._timer:
            self.do(core.TimeDue())

    # ---- checks ----------------------------------------------------------------------------------

    def _check(self, check: core.Check) -> None:
        world, other = self.world, self.world.hosts[check.name]
        ended = partial(self.take, lambda found: self.do(core.Checked(check.name, found)))
        call = _Call(world, check.within_ms, ended, lambda: ended(core.SILENT))

        def asked(_: Any) -> None:
            if other.dead:
                if not other.silent:
                    world.send(other.name, self.name, 0, call.answer, core.REFUSED)
            else:
                other.take(lambda _: world.send(other.name, self.name, 0, call.answer, ""), None)

        world.send(self.name, other.name, 0, asked, None)

    # ---- views -----------------------------------------------------------------------------------

    def _ask(self, ask: core.FetchView) -> None:
        world, name = self.world, name_at(ask.host_port)
        other = world.hosts[name]
        told = partial(self.take, lambda changes: self.do(core.ViewReceived(ask.host_port, name, changes)))
        lost = partial(self.take, lambda _: self.do(core.ViewFetchFailed(ask.host_port)))
        call = _Call(world, ask.wait_ms + ANSWER_MS, told, lambda: lost(None))

        def asked(until: float) -> None:
            if not other.dead:
                other.take(lambda _: other.watched(_Watch(self.name, ask.after, call), until), None)
            elif not other.silent:
                world.send(name, self.name, 0, lambda _: call.fail(), None)

        world.send(self.name, name, 0, asked, world.events.now + ask.wait_ms)

    def watched(self, watch: _Watch, until: float) -> None:
        """Another asks for our view."""
        if not self._answer(watch, until <= self.world.events.now):
            self._watches.append(watch)
            self.world.events.at(until, partial(self.take, self._over), watch)

    def _answer(self, watch: _Watch, at_once: bool) -> bool:
        changes = self.core.view.history.changes_since(watch.after)
        if not (changes.is_full or changes.entries or at_once):
            return False
        size = ENTRY_BYTES * len(changes.entries)
        self.world.send(self.name, watch.asker, size, watch.call.answer, changes)
        return True

    def _over(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer(watch, True)

    def _wake(self, _: Any) -> None:
        self._waking, self._woken = False, self.world.events.now
        self._watches = [watch for watch in self._watches if not self._answer(watch, False)]

    def states(self) -> dict[str, State]:
        """How it sees the others."""
        return {name: member.state for name, member in self.core.view.members.items()}


class _Call:
    """A question that is out: its answer, its failure, or its time-out, whichever is first."""

    def __init__(
        self, world: _World, within_ms: float, told: Callable[[Any], None], lost: Callable[[], None]
    ) -> None:
        self._told, self._lost, self._over = told, lost, False
        world.events.after(within_ms, lambda _: self.fail())

    def answer(self, subject: Any) -> None:
        """It has been answered."""
        if not self._over:
            self._over = True
            self._told(subject)

    def fail(self) -> None:
        """No answer."""
        if not self._over:
            self._over = True
            self._lost()


class _Heart(_Host):
    """The baseline: a heartbeat to all each period; silent for long enough is failed."""

    def __init__(self, world: _World, name: str, number: int) -> None:
        super().__init__(world, name)
        self.last: dict[str, float] = {}
        self._failed: set[str] = set()
        self._due_at = 0.0

    def begin(self, names: list[str]) -> None:
        """Know all, as from a list."""
        self.last = {name: self.world.events.now for name in names if name != self.name}
        self._beat(None)

    def _beat(self, _: Any) -> None:
        world, now = self.world, self.world.events.now
        for name in self.last:
            other = world.hosts[name]
            world.send(self.name, name, 0, partial(other.take, other.beaten), self.name)
        # The same time to detect as with views: a period for the check, its wait, and the suspicion.
        longest = suspicion_ms(world.setup.processes) + 2 * PERIOD_MS
        for name, last in self.last.items():
            if now - last >= longest and name not in self._failed:
                self._failed.add(name)
                world.found(name)
        world.events.after(PERIOD_MS, partial(self.take, self._beat))

    def beaten(self, name: str) -> None:
        """Another lives."""
        self.last[name] = self.world.events.now
        self._failed.discard(name)

    def states(self) -> dict[str, State]:
        """How it sees the others."""
        return {n: State.FAILED if n in self._failed else State.PRESENT for n in self.last}


def address(number: int) -> str:
    """Where a process listens."""
    return f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:7070"


def name_at(host_port: str) -> str:
    """Whose address it is."""
    a, b, c = (int(part) for part in host_port.partition(":")[0].split(".")[1:])
    return f"b-{a * 65536 + b * 256 + c}"


def play(setup: Setup) -> Outcome:
    """Let all come, then befall them what the setup says."""
    world = _World(setup)
    kind: Any = _Member if setup.kind == "views" else _Heart
    names = [f"b-{i}" for i in range(setup.processes)]
    for i, name in enumerate(names):
        world.hosts[name] = kind(world, name, i)
    events, chance = world.events, world.chance
    for i, host in enumerate(world.hosts.values()):
        wait = PERIOD_MS * chance.uniform()
        if isinstance(host, _Member):
            seeds = tuple(address(j) for j in range(min(3, setup.processes)) if j != i)
            events.after(wait, partial(host.take, host.do), core.Begin(seeds))
        else:
            events.after(wait, partial(host.take, host.begin), names)
    events.run(START_MS + SETTLE_MS)
    world.counting = True
    begin, end = events.now, events.now + 1000.0 * setup.seconds
    _plan(world, names, begin, end)
    events.run(end)
    return _outcome(world, names, begin)


def _plan(world: _World, names: list[str], begin: float, end: float) -> None:
    setup, chance, events = world.setup, world.chance, world.events
    order = chance.order(len(names))
    for k in range(setup.kills):
        host = world.hosts[names[order[k]]]
        events.at(begin + (end - begin) * (k + 0.5) / (setup.kills + 1), partial(_kill, world), host)
    for name in (names[i] for i in order[setup.kills : setup.kills + round(setup.slow * len(names))]):
        moment = begin + 20_000.0 * chance.uniform()
        while moment < end - 10_000.0:
            events.at(moment, partial(_stop, world, chance.between(1_000.0, 5_000.0)), world.hosts[name])
            moment += 20_000.0 * (0.5 + chance.uniform())
    if setup.split_s:
        some = frozenset(names[i] for i in order[: max(round(setup.small * len(names)), 1)])
        events.at(begin + 5_000.0, lambda _: setattr(world, "cut", some))
        events.at(begin + 5_000.0 + 1000.0 * setup.split_s, partial(_heal, world))
    if setup.kind == "views":
        for k in range(int(setup.seconds)):
            events.at(begin + 1000.0 * k, partial(_count, world, begin))


def _kill(world: _World, host: _Host) -> None:
    host.dead, host.silent = True, world.setup.silent
    world.died[host.name] = world.events.now


def _stop(world: _World, for_ms: float, host: _Host) -> None:
    host.stopped_until = world.events.now + for_ms


def _heal(world: _World, _: Any) -> None:
    world.cut = frozenset()
    _until_equal(world, world.events.now)


def _until_equal(world: _World, healed: float) -> None:
    live = [host.states() for host in world.hosts.values() if not host.dead]
    if all(set(view.values()) == {State.PRESENT} and len(view) >= len(live) - 1 for view in live):
        world.outcome.healed_ms = world.events.now - healed
    else:
        world.events.after(100.0, lambda _: _until_equal(world, healed))


def _count(world: _World, begin: float, _: Any) -> None:
    now = world.events.now
    numbers = [
        h.core.balancer_count(now) for h in world.hosts.values() if isinstance(h, _Member) and not h.dead
    ]
    world.outcome.counts.append((now - begin, min(numbers), max(numbers)))


def _outcome(world: _World, names: list[str], begin: float) -> Outcome:
    outcome, live = world.outcome, [n for n in names if n not in world.died]
    for name in world.died:
        heard = world.heard.get(name, [])
        if len(heard) < len(live) - len(world.died):
            outcome.undetected += 1
        if heard:
            outcome.first_ms.append(min(heard))
            outcome.last_ms.append(max(heard))
    span_s = (world.events.now - begin) / 1000
    outcome.hours = len(live) * span_s / 3600
    outcome.messages_s = world.messages / len(names) / span_s
    outcome.bytes_s = world.bytes / len(names) / span_s
    return outcome
