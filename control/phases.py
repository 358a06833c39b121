"""Which upstreams are to change their part: prompts are read by some and answers made by others.

Pure: the list and the loads of all balancers in, the orders that are due out. Times in seconds, steady clock.
How busy the reading tier is, is told by the share of its upstreams that have prompt tokens outstanding: over
time that is its utilisation, whatever an upstream's pace. The other tier's is the share of its places in use.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from config.configuration import Upstream

PREFILL, DECODE = "prefill", "decode"
MEMORY_S = 2.0  # measures are smoothed over this
SETTLED_S = 1.0  # measures count after so long
PEAK_S = 15.0  # the most places in use are forgotten over this: a lull is no reason to take one away
READING_HIGH = 0.55  # use of the reading tier beyond which waits grow fast
READING_LOW = 0.15
PLACES_HIGH = 0.7  # share of the places of the other tier beyond which it is crowded
PLACES_FULL = 1.0  # beyond this requests wait there, whatever else
PLACES_AFTER = 0.45  # share of them in use with one upstream less, at the most, at the peak
PAUSE_S = 4.0  # between two orders for one service: the one before has to show in the measures
STEP = 0.1  # share of a service's upstreams that move at once: one of few
SHUNNED_S = 1.0  # one without work for so long, while each other of its part has much, is out of reach
SHUNNED_CALLS, SHUNNED_TOKENS = 6, 4_000  # so much: twice what the choice allows above the least
LEAST_RUNNERS = 0.4  # share of the upstreams that make answers, in any case: one or two may be lost


@dataclass(frozen=True, slots=True)
class Order:
    """An upstream is to play another part."""

    upstream: Upstream
    phase: str


@dataclass(slots=True)
class _Measure:
    """What is known of one service's tiers, smoothed."""

    since: float
    at: float
    reading: float = 0.0  # upstreams' worth of reading
    places: float = 0.0  # places in use where answers are made
    peak: float = 0.0  # the most of them, slowly forgotten
    ordered: float = -math.inf
    idle: dict[str, float] = field(default_factory=dict)  # without work, and since when others have had much

    def reading_lately(self) -> float:
        """Upstreams' worth of reading, without what smoothing takes off while a settled measure is young."""
        return self.reading / (1 - math.exp(-(self.at - self.since) / MEMORY_S))

    def shunned(self, now: float) -> set[str]:
        """Those that balancers keep away from: they hear nothing from them, and the list shows them still."""
        return {name for name, since in self.idle.items() if now - since >= SHUNNED_S}


class PhasePlan:
    """Watches the tiers of all services and says when an upstream should move."""

    def __init__(self) -> None:
        self._measures: dict[str, _Measure] = {}

    def reset(self) -> None:
        """Another has led meanwhile: what was measured is old."""
        self._measures.clear()

    def ask_another(self, service: str) -> None:
        """An order for this service had no answer: the next one need not wait."""
        measure = self._measures.get(service)
        if measure is not None:
            measure.ordered = -math.inf

    def look(
        self,
        entries: Sequence[Upstream],
        loads: Mapping[str, tuple[int, int]],
        now: float,
        may_order: bool = True,
    ) -> list[Order]:
        """The orders that are due, of one service; `loads`: calls and prompt tokens by upstream.

        While they can't be given, `may_order` is False: all is measured, and nothing counts as ordered.
        """
        services: dict[str, list[Upstream]] = {}
        for entry in entries:
            if entry.state == "up" and entry.phase in (PREFILL, DECODE):
                services.setdefault(entry.svc, []).append(entry)
        found: list[Order] = []
        for service, ups in services.items():
            measure = self._measure(service, ups, loads, now)
            settled = now - measure.since >= SETTLED_S and now - measure.ordered >= PAUSE_S
            if may_order and not found and settled:
                shunned = measure.shunned(now)
                least = max(math.ceil(LEAST_RUNNERS * len(ups)), 1)
                short = sum(u.phase == DECODE for u in ups) < least
                found = _due(measure, [u for u in ups if u.id not in shunned], loads, least, short)
                if found:
                    measure.ordered = now
        return found

    def _measure(
        self, service: str, ups: list[Upstream], loads: Mapping[str, tuple[int, int]], now: float
    ) -> _Measure:
        measure = self._measures.get(service)
        if measure is None:
            measure = self._measures[service] = _Measure(now, now)
        reading = places = 0.0
        for up in ups:
            calls, tokens = loads.get(up.id, (0, 0))
            if up.phase == PREFILL:
                reading += tokens > 0
            else:
                reading += 0.5 * (tokens > 0)  # it reads at half the pace
                places += calls
        keep = math.exp(-max(now - measure.at, 0.0) / MEMORY_S)
        measure.reading = measure.reading * keep + reading * (1 - keep)
        measure.places = measure.places * keep + places * (1 - keep)
        measure.peak = max(measure.places, measure.peak * math.exp(-max(now - measure.at, 0.0) / PEAK_S))
        measure.at = now
        idle = _idle(ups, loads)
        measure.idle = {name: measure.idle.get(name, now) for name in idle}
        return measure


def _idle(ups: list[Upstream], loads: Mapping[str, tuple[int, int]]) -> list[str]:
    """Those without work while each other one of their part has much: the choice would have taken them."""
    found: list[str] = []
    for phase, part, much in ((PREFILL, 1, SHUNNED_TOKENS), (DECODE, 0, SHUNNED_CALLS)):
        work = {u.id: loads.get(u.id, (0, 0))[part] for u in ups if u.phase == phase}
        if min((held for held in work.values() if held), default=0) >= much:
            found += [name for name, held in work.items() if not held]
    return found


def _due(
    measure: _Measure, ups: list[Upstream], loads: Mapping[str, tuple[int, int]], least: int, short: bool
) -> list[Order]:
    """The orders for one service's upstreams; `least`: how many make answers in any case.

    `short`: losses have left fewer of them on the list.
    """
    readers = _leaving(ups, PREFILL, loads)
    runners = _leaving(ups, DECODE, loads)
    step = max(int(STEP * len(ups)), 1)
    if not runners:  # they are gone for good, and no load will ever show that some are needed
        return [Order(u, DECODE) for u in readers[: max(min(least, len(readers) - 1), 1)]]
    places = sum(u.capacity for u in runners)
    reading = measure.reading / max(len(readers), 1)  # without readers the others read by themselves
    used = measure.places / max(places, 1.0)
    if reading > READING_HIGH and used <= PLACES_FULL:
        leaving = runners[: max(min(step, len(runners) - least), 0)]
        while leaving and measure.peak > PLACES_AFTER * (places - sum(u.capacity for u in leaving)):
            leaving.pop()
        return [Order(u, PREFILL) for u in leaving]
    crowded = used > PLACES_FULL or (used > PLACES_HIGH and reading < READING_HIGH)
    idle = reading < READING_LOW and used > PLACES_AFTER
    spare = measure.reading_lately() <= READING_HIGH * (len(readers) - step)
    if (crowded or idle or (short and spare)) and len(readers) > 1:
        return [Order(u, DECODE) for u in readers[: min(step, len(readers) - 1)]]
    return []


def _leaving(ups: list[Upstream], phase: str, loads: Mapping[str, tuple[int, int]]) -> list[Upstream]:
    """Those that play a part, in the order in which they leave it: one of a zone that has more of them first.

    Memory that crosses zones takes longer and costs more: a zone keeps both parts as long as it can.
    """
    left = sorted((u for u in ups if u.phase == phase), key=lambda u: (loads.get(u.id, (0, 0))[0], u.id))
    zones = Counter(u.zone for u in left)
    order: list[Upstream] = []
    while left:
        most = max(zones[u.zone] for u in left)
        leaving = next(u for u in left if zones[u.zone] == most)
        left.remove(leaving)
        zones[leaving.zone] -= 1
        order.append(leaving)
    return order
