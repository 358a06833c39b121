"""The plain front (BRIEF, PROTOCOL): it spreads clients over the balancers of their zone, as far as it knows.

It admits a balancer once it is ready, and learns some seconds late that one has died; clients that it still
sends there find nobody. Some balancers get several times the mean: their clients' connections are not alike.
"""

from __future__ import annotations

import math
from bisect import bisect
from itertools import accumulate

from mastturn.emulator.chance import Stream
from mastturn.emulator.events import Events
from mastturn.emulator.host import Balancer

READY_MS = 300.0  # from a balancer's start until the front sends it clients


class Front:
    """Which balancer a client of a zone is connected to."""

    def __init__(self, balancers: list[Balancer], uneven: float, chance: Stream) -> None:
        self._balancers, self._chance = balancers, chance
        self._weights = [math.exp(uneven * chance.normal()) for _ in balancers]
        self._known = [True] * len(balancers)
        self._by_zone: dict[str, tuple[list[int], list[float]]] = {}

    def admit(self, balancer: Balancer) -> None:
        """It is ready."""
        self._set(balancer, True)

    def remove(self, balancer: Balancer) -> None:
        """It is known to be gone, or to be leaving."""
        self._set(balancer, False)

    def _set(self, balancer: Balancer, known: bool) -> None:
        self._known[balancer.number] = known
        self._by_zone.clear()

    def pick(self, zone: str) -> Balancer | None:
        """A balancer of the zone, of any zone if it has none, or nobody."""
        numbers, sums = self._by_zone.get(zone) or self._table(zone)
        if not numbers:
            return None
        place = bisect(sums, self._chance.uniform() * sums[-1])
        return self._balancers[numbers[min(place, len(numbers) - 1)]]

    def _table(self, zone: str) -> tuple[list[int], list[float]]:
        known = [h.number for h in self._balancers if self._known[h.number]]
        numbers = [n for n in known if self._balancers[n].zone == zone] or known
        table = (numbers, list(accumulate(self._weights[n] for n in numbers)))
        self._by_zone[zone] = table
        return table


class Restarts:
    """Balancers of the front that die and start again; the front knows it some time later."""

    def __init__(self, front: Front, events: Events, notice_ms: tuple[float, float], chance: Stream) -> None:
        """`notice_ms`: the least and the most until the front notices that one has died."""
        self._front, self._events, self._notice_ms, self._chance = front, events, notice_ms, chance

    def kill(self, balancer: Balancer) -> None:
        """Killed; the front learns of it some seconds later."""
        if balancer.alive:
            balancer.stop()
            wait = self._chance.between(*self._notice_ms)
            self._events.after(wait, self._on_death_noticed, (balancer, balancer.life))

    def start(self, balancer: Balancer) -> None:
        """It starts again from nothing; the front admits it once it is ready."""
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
