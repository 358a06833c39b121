"""Simulates the front proxy (BRIEF, PROTOCOL), which spreads clients over the balancers of their zone.

It admits a balancer once it is ready and detects a dead one some seconds late; until then clients routed
there fail to connect. Some balancers get several times the mean load, because their clients' connections
differ.
"""

from __future__ import annotations

import math
from bisect import bisect
from itertools import accumulate

from mastturn.emulator.chance import Stream
from mastturn.emulator.events import Events
from mastturn.emulator.host import Balancer

READY_MS = 300.0  # from a balancer's start until the front routes clients to it


class Front:
    """Routes clients of a zone to a balancer."""

    def __init__(self, balancers: list[Balancer], uneven: float, rng: Stream) -> None:
        self._balancers, self._rng = balancers, rng
        self._weights = [math.exp(uneven * rng.normal()) for _ in balancers]
        self._known = [True] * len(balancers)
        self._by_zone: dict[str, tuple[list[int], list[float]]] = {}

    def admit(self, balancer: Balancer) -> None:
        """Route clients to a balancer that is ready."""
        self._set(balancer, True)

    def remove(self, balancer: Balancer) -> None:
        """Stop routing clients to a balancer that is down or draining."""
        self._set(balancer, False)

    def _set(self, balancer: Balancer, known: bool) -> None:
        self._known[balancer.number] = known
        self._by_zone.clear()

    def select(self, zone: str) -> Balancer | None:
        """Select a balancer of the zone, of any zone if it has none, or None if there is none."""
        numbers, sums = self._by_zone.get(zone) or self._table(zone)
        if not numbers:
            return None
        place = bisect(sums, self._rng.uniform() * sums[-1])
        return self._balancers[numbers[min(place, len(numbers) - 1)]]

    def _table(self, zone: str) -> tuple[list[int], list[float]]:
        known = [h.number for h in self._balancers if self._known[h.number]]
        numbers = [n for n in known if self._balancers[n].zone == zone] or known
        table = (numbers, list(accumulate(self._weights[n] for n in numbers)))
        self._by_zone[zone] = table
        return table


class Restarts:
    """Kills and restarts front balancers; the front notices with a delay."""

    def __init__(self, front: Front, events: Events, notice_ms: tuple[float, float], rng: Stream) -> None:
        """`notice_ms`: minimum and maximum delay until the front notices a dead balancer."""
        self._front, self._events, self._notice_ms, self._rng = front, events, notice_ms, rng

    def kill(self, balancer: Balancer) -> None:
        """Kill a balancer; the front notices some seconds later."""
        if balancer.alive:
            balancer.stop()
            wait = self._rng.between(*self._notice_ms)
            self._events.after(wait, self._on_death_noticed, (balancer, balancer.life))

    def start(self, balancer: Balancer) -> None:
        """Restart a balancer without state; the front admits it once it is ready."""
        if not balancer.alive:
            balancer.start()
            self._events.after(READY_MS, self._on_ready, (balancer, balancer.life))

    def _on_death_noticed(self, dead: tuple[Balancer, int]) -> None:
        balancer, life = dead
        if balancer.life == life:
            self._front.remove(balancer)

    def _on_ready(self, ready: tuple[Balancer, int]) -> None:
        balancer, life = ready
        if balancer.life == life:
            self._front.admit(balancer)
