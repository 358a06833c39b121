"""Plain policies in the same world, spoken to through the same contract, to hold a module against.

They send each request at once, try again elsewhere while an attempt proves not to have run, and refuse
nothing for want of room. Only the oracles see the true state of the boxes: `oracle` as it is, `oracle-late`
as it was `LATE_MS` ago. `known-capacity` is Algorithm 1 of the paper: d servers drawn with probability c_i /
C, the lowest (m_i + 1) / c_i, ties to the larger capacity, the capacities known.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable
from itertools import accumulate
from typing import Any

from mastturn.emulator.contract import BoxState, Truth, Version, installed

DRAWS = 2  # d of the paper's experiments
LATE_MS = 1_000.0  # how old the state is that the late oracle sees
NOT_EXECUTED = ("TURNED_AWAY", "UNREACHED", "NOT_SENT")


class Baseline:
    """A balancer that picks by one plain rule; subclasses say which."""

    def __init__(self, interface: Any, settings: Any, seed: int, truth: Truth) -> None:
        self.interface, self.settings, self.truth = interface, settings, truth
        self.chance = random.Random(seed)
        self.ready: list[str] = []
        self.out: dict[str, int] = {}
        self.now = 0.0
        self._members: dict[str, Any] = {}
        self._open: dict[int, tuple[Any, float, int]] = {}  # class, deadline, attempts made
        self._subscribed = False

    def pick(self, able: list[str]) -> str:
        """One of the servers, of which there is at least one."""
        raise NotImplementedError

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event and return the actions, in order."""
        self.now = now
        interface, actions = self.interface, []
        if not self._subscribed:
            self._subscribed = True
            actions.append(interface.Subscribe())
        if isinstance(event, interface.RequestArrived):
            cls = next(c for c in self.settings.classes if c.name == event.class_name)
            self._open[event.request] = (cls, now + event.remaining_ms, 0)
            actions += self._send(event.request, None)
        elif isinstance(event, interface.AttemptEnded):
            self.out[event.server] = self.out.get(event.server, 1) - 1
            if event.answered:
                self._open.pop(event.request, None)
            else:
                actions += self._after(event)
        elif isinstance(event, interface.ClientLeft):
            self._open.pop(event.request, None)
        elif isinstance(event, interface.ListUpdate):
            actions += self._on_list_update(event)
        elif isinstance(event, interface.TimerDue):
            actions.append(interface.Subscribe())
        return actions

    def _on_list_update(self, event: Any) -> list[Any]:
        interface = self.interface
        if event.kind is interface.ListKind.FAILED:
            return [interface.SetTimer(self.now + 1_000.0, "list")]
        if event.kind is not interface.ListKind.CHANGES:
            self._members.clear()
        for member in event.members:
            self._members[member.server] = member
        self.ready = [m.server for m in self._members.values() if m.readiness is interface.Readiness.READY]
        return []

    def _send(self, request: int, tried: str | None) -> list[Any]:
        cls, deadline, made = self._open[request]
        able = [s for s in self.ready if s != tried] or self.ready
        if not able or deadline <= self.now or made >= self.settings.max_attempts:
            del self._open[request]
            return [self.interface.Refuse(request)]
        self._open[request] = (cls, deadline, made + 1)
        server = self.pick(able)
        self.out[server] = self.out.get(server, 0) + 1
        return [self.interface.Send(request, server, deadline - self.now)]

    def _after(self, event: Any) -> list[Any]:
        known = self._open.get(event.request)
        if known is None:
            return []
        repeatable = known[0].effect is self.interface.Effect.REPEATABLE
        if event.outcome.name in NOT_EXECUTED:
            return self._send(event.request, event.server)
        del self._open[event.request]
        return [self.interface.Refuse(event.request) if repeatable else self.interface.Fail(event.request)]


class Random(Baseline):
    """Any server, evenly."""

    def pick(self, able: list[str]) -> str:
        """One drawn evenly."""
        return able[int(self.chance.random() * len(able))]


class RoundRobin(Baseline):
    """One after another."""

    _next = 0

    def pick(self, able: list[str]) -> str:
        """The next one."""
        self._next += 1
        return able[self._next % len(able)]


class LeastOutstanding(Baseline):
    """The server with the fewest of our calls, ties at random."""

    def pick(self, able: list[str]) -> str:
        """The least of all."""
        return min(able, key=lambda s: (self.out.get(s, 0), self.chance.random()))


class TwoChoices(Baseline):
    """Two drawn evenly, the one with fewer of our calls."""

    def pick(self, able: list[str]) -> str:
        """The less loaded of two."""
        drawn = [able[int(self.chance.random() * len(able))] for _ in range(DRAWS)]
        return min(drawn, key=lambda s: self.out.get(s, 0))


class KnownCapacity(Baseline):
    """The paper's Algorithm 1, with the machines' own capacities."""

    def pick(self, able: list[str]) -> str:
        """The least load after taking the call of DRAWS drawn by capacity."""
        power = [self.truth(s).power for s in able]
        sums = list(accumulate(power))
        drawn = [min(bisect(sums, self.chance.random() * sums[-1]), len(able) - 1) for _ in range(DRAWS)]
        best = min(
            drawn,
            key=lambda i: ((self.out.get(able[i], 0) + 1) / power[i], -power[i], self.chance.random()),
        )
        return able[best]


class Oracle(Baseline):
    """The box that is in truth the least loaded for its power, among those that in truth can serve."""

    late_ms = 0.0

    def __init__(self, interface: Any, settings: Any, seed: int, truth: Truth) -> None:
        super().__init__(interface, settings, seed, truth)
        self._seen: dict[str, BoxState] = {}
        self._seen_at = -1e18

    def pick(self, able: list[str]) -> str:
        """The least loaded that serves; any if none does."""
        if self.now - self._seen_at >= self.late_ms:
            self._seen_at = self.now
            self._seen = {s: self.truth(s) for s in self.ready}
        states = [(s, self._seen.get(s) or self.truth(s)) for s in able]
        serving = [(s, state) for s, state in states if state.ready and state.power > 0] or states
        mine = self.out if self.late_ms else {}
        least = min(
            serving,
            key=lambda item: (
                (item[1].held + mine.get(item[0], 0) + 1) / max(item[1].power, 1e-9),
                self.chance.random(),
            ),
        )
        return least[0]


class LateOracle(Oracle):
    """The same, with a state that is `LATE_MS` old, and our own calls since then unseen."""

    late_ms = LATE_MS


BASELINES: dict[str, type[Baseline]] = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
    "known-capacity": KnownCapacity,
    "oracle": Oracle,
    "oracle-late": LateOracle,
}


def _maker(kind: type[Baseline], interface: Any) -> Callable[[Any, int, Truth], Baseline]:
    return lambda settings, seed, truth: kind(interface, settings, seed, truth)


def baseline(name: str) -> Version:
    """A baseline by name, on the installed contract; KeyError if there is none of that name."""
    interface = installed().interface
    return Version(name, interface, _maker(BASELINES[name], interface))
