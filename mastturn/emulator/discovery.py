"""Simulates server discovery (PROTOCOL, "Discovery"; site file, `discovery`) with delays and outages.

A registry holds a tier's entries. A change is noticed some time after it happened, published at the next
interval, and reaches each balancer's agent with its own delay. During an outage no update is sent and a
watch fails when its wait ends; missed changes are sent afterwards. Balancers count as informed of a
published change at the latest `told_within_ms` later, whether it arrived or not.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, replace
from typing import Any, Protocol

from mastturn.emulator.chance import Stream
from mastturn.emulator.day import DiscoveryParameters
from mastturn.emulator.events import Events

ANSWER_MS = 0.3  # response time of the agent, which runs on the balancer's machine
LATE_MS = 200.0  # from the end of an unanswered watch's wait to its failure


class Phase(enum.Enum):
    """State of a process in the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Entry:
    """One server in the list, with the time of its publication."""

    server: str
    phase: Phase
    zone: str
    cell: int
    up_since_ms: float = 0.0
    published_ms: float = -math.inf


class Registry:
    """The server list of one tier."""

    def __init__(self, parameters: DiscoveryParameters, events: Events, rng: Stream) -> None:
        self._parameters, self._events, self._rng = parameters, events, rng
        self.entries: dict[str, Entry] = {}
        self._order: dict[
            str, int
        ] = {}  # number of each server's latest change: changes may be noticed out of order
        self._change_count = 0
        self._changed: dict[str, Entry] = {}
        self._planned = False
        self.agents: list[Agent] = []
        self.silent_until = -math.inf
        self.added_delay_ms = 0.0

    def set_initial_entries(self, entries: list[Entry]) -> None:
        """Set the servers that run when the day begins."""
        self.entries = {entry.server: entry for entry in entries}

    def report_change(self, entry: Entry, wait_ms: tuple[float, float]) -> None:
        """Report a change, which discovery notices after a wait drawn from the range `wait_ms`."""
        self._change_count += 1
        wait = self._rng.between(*wait_ms) + self.added_delay_ms
        self._events.after(wait, self._on_noticed, (self._change_count, entry))

    def _on_noticed(self, news: tuple[int, Entry]) -> None:
        number, entry = news
        if number < self._order.get(entry.server, 0):
            return
        self._order[entry.server] = number
        self._changed[entry.server] = entry
        if not self._planned:
            self._planned = True
            self._events.after(self._parameters.period_ms * self._rng.uniform(), self._publish)

    def _publish(self, _: Any) -> None:
        now = self._events.now
        if now < self.silent_until:
            self._events.at(self.silent_until, self._publish)
            return
        self._planned = False
        changed = tuple(replace(e, published_ms=now) for e in self._changed.values())
        self._changed.clear()
        for entry in changed:
            self.entries[entry.server] = entry
        for agent in self.agents:
            agent.push(changed, self._rng.uniform() * self._parameters.spread_ms)

    def go_silent(self, until_ms: float) -> None:
        """Stop answering until `until_ms`; open watches fail when their wait ends."""
        self.silent_until = max(self.silent_until, until_ms)
        for agent in self.agents:
            agent.fail_watch(self._rng.uniform() * self._parameters.watch_ms + LATE_MS)

    @property
    def watch_ms(self) -> float:
        """Maximum wait of a watch for changes."""
        return self._parameters.watch_ms

    def known_at_latest_ms(self, entry: Entry) -> float:
        """Return the time from which all balancers count as informed of an entry."""
        return entry.published_ms + self._parameters.told_within_ms


class Listener(Protocol):
    """The balancer that receives the list from an agent."""

    def on_list_update(self, entries: tuple[Entry, ...], gone: tuple[Entry, ...], whole: bool) -> None:
        """Handle a list update; servers missing from a whole list are gone."""

    def on_list_failed(self) -> None:
        """Handle a failed list request."""


class Agent:
    """The local discovery agent of one balancer, which forwards list updates."""

    def __init__(self, registry: Registry, balancer: Listener, events: Events) -> None:
        self._registry, self._balancer, self._events = registry, balancer, events
        self._subscribed = False
        self._life = 0  # of the balancer: updates in flight to an earlier process are discarded
        registry.agents.append(self)

    def reset(self) -> None:
        """Reset the subscription: the balancer is a new process."""
        self._life += 1
        self._subscribed = False

    def subscribe(self) -> None:
        """Subscribe the balancer to the list and its changes."""
        silent = self._events.now < self._registry.silent_until
        wait = self._registry.watch_ms + LATE_MS if silent else ANSWER_MS
        self._events.after(wait, self._answer, self._life)

    def _answer(self, life: int) -> None:
        if life != self._life:
            return
        if self._events.now < self._registry.silent_until:
            self._subscribed = False
            self._balancer.on_list_failed()
            return
        self._subscribed = True
        entries = tuple(e for e in self._registry.entries.values() if e.phase is not Phase.GONE)
        gone = tuple(e for e in self._registry.entries.values() if e.phase is Phase.GONE)
        self._balancer.on_list_update(entries, gone, whole=True)

    def push(self, changed: tuple[Entry, ...], wait_ms: float) -> None:
        """Send changes to the balancer if it is subscribed."""
        if self._subscribed:
            self._events.after(wait_ms, self._deliver, (self._life, changed))

    def _deliver(self, news: tuple[int, tuple[Entry, ...]]) -> None:
        life, changed = news
        if life == self._life and self._subscribed:
            self._balancer.on_list_update(changed, (), whole=False)

    def fail_watch(self, wait_ms: float) -> None:
        """Fail the open watch after `wait_ms` unless discovery answers again by then."""
        if self._subscribed:
            self._events.after(wait_ms, self._watch_failed, self._life)

    def _watch_failed(self, life: int) -> None:
        if life == self._life and self._subscribed and self._events.now < self._registry.silent_until:
            self._subscribed = False
            self._balancer.on_list_failed()
