"""Implements simple load-balancing policies behind the module's contract, as baselines for comparison.

Each baseline sends a request at once, retries on another server while attempts provably did not execute,
and never refuses a request for lack of capacity. Only the oracles see the true state of the boxes: `oracle`
the present state, `oracle-late` a state up to `LATE_MS` old. `known-capacity` is Algorithm 1 of the paper:
d servers drawn with probability c_i / C, the lowest (m_i + 1) / c_i, ties to the larger capacity, the
capacities known.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable
from itertools import accumulate
from typing import Any

from mastturn.emulator.contract import BoxState, Truth, Version, installed

DRAWS = 2  # d of the paper's experiments
LATE_MS = 1_000.0  # refresh interval of the state that the late oracle sees
NOT_EXECUTED = ("TURNED_AWAY", "UNREACHED", "NOT_SENT")


class Baseline:
    """Base class of balancers that select servers by a single rule, which subclasses define."""

    def __init__(self, interface: Any, settings: Any, seed: int, truth: Truth) -> None:
        self.interface, self.settings, self.truth = interface, settings, truth
        self.rng = random.Random(seed)
        self.ready: list[str] = []
        self.in_flight: dict[str, int] = {}
        self.now = 0.0
        self._members: dict[str, Any] = {}
        self._open: dict[int, tuple[Any, float, int]] = {}  # class, deadline, attempts made
        self._subscribed = False

    def select(self, candidates: list[str]) -> str:
        """Select one of the available servers; the list is never empty."""
        raise NotImplementedError

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle one event and return the resulting actions in order."""
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
            self.in_flight[event.server] = self.in_flight.get(event.server, 1) - 1
            if event.answered:
                self._open.pop(event.request, None)
            else:
                actions += self._on_attempt_failed(event)
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
        cls, deadline, attempts_made = self._open[request]
        candidates = [s for s in self.ready if s != tried] or self.ready
        if not candidates or deadline <= self.now or attempts_made >= self.settings.max_attempts:
            del self._open[request]
            return [self.interface.Refuse(request)]
        self._open[request] = (cls, deadline, attempts_made + 1)
        server = self.select(candidates)
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        return [self.interface.Send(request, server, deadline - self.now)]

    def _on_attempt_failed(self, event: Any) -> list[Any]:
        known = self._open.get(event.request)
        if known is None:
            return []
        repeatable = known[0].effect is self.interface.Effect.REPEATABLE
        if event.outcome.name in NOT_EXECUTED:
            return self._send(event.request, event.server)
        del self._open[event.request]
        return [self.interface.Refuse(event.request) if repeatable else self.interface.Fail(event.request)]


class Random(Baseline):
    """Selects a server uniformly at random."""

    def select(self, candidates: list[str]) -> str:
        """Select a server uniformly at random."""
        return candidates[int(self.rng.random() * len(candidates))]


class RoundRobin(Baseline):
    """Selects servers in turn."""

    _next = 0

    def select(self, candidates: list[str]) -> str:
        """Select the next server in turn."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class LeastOutstanding(Baseline):
    """Selects the server with the fewest outstanding calls of this balancer, ties at random."""

    def select(self, candidates: list[str]) -> str:
        """Select the server with the fewest outstanding calls."""
        return min(candidates, key=lambda s: (self.in_flight.get(s, 0), self.rng.random()))


class TwoChoices(Baseline):
    """Draws two servers uniformly and selects the one with fewer outstanding calls of this balancer."""

    def select(self, candidates: list[str]) -> str:
        """Select the less loaded of two random servers."""
        drawn = [candidates[int(self.rng.random() * len(candidates))] for _ in range(DRAWS)]
        return min(drawn, key=lambda s: self.in_flight.get(s, 0))


class KnownCapacity(Baseline):
    """Implements the paper's Algorithm 1 with the true machine capacities."""

    def select(self, candidates: list[str]) -> str:
        """Select the lowest load after the call among DRAWS servers drawn by capacity."""
        power = [self.truth(s).power for s in candidates]
        sums = list(accumulate(power))
        drawn = [min(bisect(sums, self.rng.random() * sums[-1]), len(candidates) - 1) for _ in range(DRAWS)]
        best = min(
            drawn,
            key=lambda i: (
                (self.in_flight.get(candidates[i], 0) + 1) / power[i],
                -power[i],
                self.rng.random(),
            ),
        )
        return candidates[best]


class Oracle(Baseline):
    """Selects the ready box with the lowest true load relative to its power."""

    refresh_ms = 0.0

    def __init__(self, interface: Any, settings: Any, seed: int, truth: Truth) -> None:
        super().__init__(interface, settings, seed, truth)
        self._seen: dict[str, BoxState] = {}
        self._seen_at = -1e18

    def select(self, candidates: list[str]) -> str:
        """Select the least loaded ready box, or any box if none is ready."""
        if self.now - self._seen_at >= self.refresh_ms:
            self._seen_at = self.now
            self._seen = {s: self.truth(s) for s in self.ready}
        states = [(s, self._seen.get(s) or self.truth(s)) for s in candidates]
        serving = [(s, state) for s, state in states if state.ready and state.power > 0] or states
        own_in_flight = self.in_flight if self.refresh_ms else {}
        least = min(
            serving,
            key=lambda item: (
                (item[1].held + own_in_flight.get(item[0], 0) + 1) / max(item[1].power, 1e-9),
                self.rng.random(),
            ),
        )
        return least[0]


class LateOracle(Oracle):
    """An oracle whose view of the box states is refreshed every `LATE_MS`."""

    refresh_ms = LATE_MS


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
    """Return the named baseline on the installed contract; raises KeyError for an unknown name."""
    interface = installed().interface
    return Version(name, interface, _maker(BASELINES[name], interface))
