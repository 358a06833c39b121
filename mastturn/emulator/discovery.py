"""The list of servers (PROTOCOL, "Discovery"; site file, `discovery`): late, pushed in steps, silent at
times.

A registry holds a tier's entries. A change is noticed some time after it happened, published at the next
step, and reaches each balancer's agent with a delay of its own. While discovery is silent nothing is told
and a watch fails when its wait is over; what was missed comes afterwards. What has been published counts as
told at the latest `told_within_ms` later, whether it arrived or not.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, replace
from typing import Any, Protocol

from mastturn.emulator.chance import Stream
from mastturn.emulator.day import DiscoveryFigures
from mastturn.emulator.events import Events

ANSWER_MS = 0.3  # of the agent, which is on the balancer's own machine
LATE_MS = 200.0  # by which a watch that is never answered fails after its wait


class Phase(enum.Enum):
    """What the list says of a process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Entry:
    """One server as the list shows it, and when that was published."""

    server: str
    phase: Phase
    zone: str
    cell: int
    up_since_ms: float = 0.0
    published_ms: float = -math.inf


class Registry:
    """One tier's list."""

    def __init__(self, figures: DiscoveryFigures, events: Events, chance: Stream) -> None:
        self._figures, self._events, self._chance = figures, events, chance
        self.entries: dict[str, Entry] = {}
        self._order: dict[str, int] = {}  # of the latest news of each server: news may be noticed out of turn
        self._change_count = 0
        self._changed: dict[str, Entry] = {}
        self._planned = False
        self.agents: list[Agent] = []
        self.silent_until = -math.inf
        self.added_delay_ms = 0.0

    def set_initial_entries(self, entries: list[Entry]) -> None:
        """Everything that runs when the day begins."""
        self.entries = {entry.server: entry for entry in entries}

    def report_change(self, entry: Entry, wait_ms: tuple[float, float]) -> None:
        """Something has happened; discovery notices it after a wait drawn from this range."""
        self._change_count += 1
        wait = self._chance.between(*wait_ms) + self.added_delay_ms
        self._events.after(wait, self._on_noticed, (self._change_count, entry))

    def _on_noticed(self, news: tuple[int, Entry]) -> None:
        number, entry = news
        if number < self._order.get(entry.server, 0):
            return
        self._order[entry.server] = number
        self._changed[entry.server] = entry
        if not self._planned:
            self._planned = True
            self._events.after(self._figures.period_ms * self._chance.uniform(), self._publish)

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
            agent.push(changed, self._chance.uniform() * self._figures.spread_ms)

    def go_silent(self, until_ms: float) -> None:
        """Answer nobody until then; open watches fail when their wait is over."""
        self.silent_until = max(self.silent_until, until_ms)
        for agent in self.agents:
            agent.fail_watch(self._chance.uniform() * self._figures.watch_ms + LATE_MS)

    @property
    def watch_ms(self) -> float:
        """How long a call waits for news."""
        return self._figures.watch_ms

    def known_at_latest_ms(self, entry: Entry) -> float:
        """The moment from which an entry counts as told."""
        return entry.published_ms + self._figures.told_within_ms


class Listener(Protocol):
    """The balancer that an agent passes the list on to."""

    def on_list_update(self, entries: tuple[Entry, ...], gone: tuple[Entry, ...], whole: bool) -> None:
        """News of the list; what is missing from a whole list is gone."""

    def on_list_failed(self) -> None:
        """A call for the list has failed."""


class Agent:
    """What stands beside one balancer and passes the list on."""

    def __init__(self, registry: Registry, balancer: Listener, events: Events) -> None:
        self._registry, self._balancer, self._events = registry, balancer, events
        self._subscribed = False
        self._life = 0  # of the balancer: what was on its way to one that has died is gone
        registry.agents.append(self)

    def reset(self) -> None:
        """The balancer is a new process."""
        self._life += 1
        self._subscribed = False

    def subscribe(self) -> None:
        """The balancer asks for the list and for what changes."""
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
        """News for a balancer that watches."""
        if self._subscribed:
            self._events.after(wait_ms, self._deliver, (self._life, changed))

    def _deliver(self, news: tuple[int, tuple[Entry, ...]]) -> None:
        life, changed = news
        if life == self._life and self._subscribed:
            self._balancer.on_list_update(changed, (), whole=False)

    def fail_watch(self, wait_ms: float) -> None:
        """Discovery has fallen silent: the open watch fails unless it is back by then."""
        if self._subscribed:
            self._events.after(wait_ms, self._watch_failed, self._life)

    def _watch_failed(self, life: int) -> None:
        if life == self._life and self._subscribed and self._events.now < self._registry.silent_until:
            self._subscribed = False
            self._balancer.on_list_failed()
