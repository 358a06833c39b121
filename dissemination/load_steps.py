"""Loads as they go from process to process: by place, what has changed most first, bounded in bytes a second.

Both sides number the upstreams in the order in which they were first named, so that a name crosses a
connection once and a change is some six bytes. Where all changes of a while are more than may be told, the
order is by the share by which a load is wrong times how long it has waited: none waits for ever.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable, Sequence

Loads = dict[str, tuple[int, int]]  # upstream: calls, tokens
MOST = 2**31 - 1  # that a message holds
BYTES_S = 6_000  # to each that is told: news, a report up and all else stay within 11 kB/s at a balancer
STEP_BYTES, FIGURE_BYTES = 24, 6  # of a frame without figures; of one upstream (a name goes once, uncounted)
SAVED_S = 0.25  # what was not used for so long may be used at once
SPARE_PLACES = 1_024  # of upstreams that are gone, before places begin anew
MOST_PLACES = 65_536  # that a peer may name
Figures = tuple[tuple[str, ...], tuple[int, ...]]  # new names; place, calls, tokens, and so on


class LoadStepEncoder:
    """What was told of the loads so far, and what is to be told next."""

    def __init__(self, bytes_s: float = BYTES_S) -> None:
        self._bytes_s = bytes_s
        self._saved, self._saved_at = 0.0, -1e9
        self._places: dict[str, int] = {}
        self._told: list[tuple[int, int]] = []
        self._changed: dict[str, int] = {}  # and in which step that began
        self._steps = 0

    def whole(self, loads: Loads) -> Figures:
        """All that is known, to somebody who knows nothing; places begin anew."""
        self._places, self._told = {}, []
        self._changed.clear()
        return self._figures(sorted(u for u, load in loads.items() if load != (0, 0)), loads)

    def mark(self, upstreams: Iterable[str]) -> None:
        """These may have changed."""
        for upstream in upstreams:
            self._changed.setdefault(upstream, self._steps)

    def behind(self) -> Collection[str]:
        """What may have changed since it was told."""
        return self._changed.keys()

    def is_long(self, upstreams: int) -> bool:
        """Whether most places are of upstreams that are gone."""
        return len(self._places) > 2 * upstreams + SPARE_PLACES

    def step(self, loads: Loads, now: float) -> Figures | None:
        """What has changed most and may be told now; None if that is nothing."""
        changed = [u for u in self._changed if loads.get(u, (0, 0)) != self._known(u)]
        self._changed = {u: self._changed[u] for u in changed}
        self._steps += 1
        if not changed:
            return None
        most = self._bytes_s * SAVED_S
        self._saved = min(self._saved + self._bytes_s * min(now - self._saved_at, 1e6), most)
        self._saved_at = now
        left = int((self._saved - STEP_BYTES) / FIGURE_BYTES)
        if left <= 0:
            return None
        if len(changed) > left:
            changed = heapq.nlargest(
                left, changed, key=lambda u: self._share(u, loads) * (self._steps - self._changed[u])
            )
        found = self._figures(sorted(changed), loads)
        for upstream in changed:
            del self._changed[upstream]
        self._saved -= STEP_BYTES + FIGURE_BYTES * len(changed)
        return found

    def _known(self, upstream: str) -> tuple[int, int]:
        place = self._places.get(upstream)
        return (0, 0) if place is None else self._told[place]

    def _share(self, upstream: str, loads: Loads) -> float:
        """How much a load has changed, as a share of what it is or was."""
        (calls, tokens), (old_calls, old_tokens) = loads.get(upstream, (0, 0)), self._known(upstream)
        return abs(calls - old_calls) / (1 + max(calls, old_calls)) + abs(tokens - old_tokens) / (
            1 + max(tokens, old_tokens)
        )

    def _figures(self, upstreams: Sequence[str], loads: Loads) -> Figures:
        names: list[str] = []
        figures: list[int] = []
        for upstream in upstreams:
            place, load = self._places.get(upstream), loads.get(upstream, (0, 0))
            if place is None:
                place = self._places[upstream] = len(self._told)
                self._told.append(load)
                names.append(upstream)
            self._told[place] = load
            figures += (place, _bounded(load[0]), _bounded(load[1]))
        return tuple(names), tuple(figures)


class LoadTable:
    """What a teller has told: the other side."""

    def __init__(self, epoch: int = 0, number: int = 0) -> None:
        self.epoch, self.number = epoch, number
        self._names: list[str] = []
        self.loads: Loads = {}

    def take(self, number: int, base: int, names: Sequence[str], figures: Sequence[int]) -> Loads | None:
        """A step: what it tells of, as it was before; None if it is not the next one, or makes no sense."""
        if (base and base != self.number) or len(figures) % 3:
            return None
        known = [] if base == 0 else self._names
        places = len(known) + len(names)
        if places > MOST_PLACES or any(not 0 <= place < places for place in figures[::3]):
            return None
        before: Loads = {}
        if base == 0:
            before, self._names, self.loads = self.loads, [], {}
        self._names += names
        for place, calls, tokens in zip(figures[::3], figures[1::3], figures[2::3], strict=True):
            name = self._names[place]
            before.setdefault(name, self.loads.get(name, (0, 0)))
            self.loads[name] = (_bounded(calls), _bounded(tokens))
        self.number = number
        return before

    def whole(self) -> Figures:
        """All of it, with the same places: whoever begins with this can follow the steps to come."""
        figures: list[int] = []
        for place, name in enumerate(self._names):
            load = self.loads.get(name, (0, 0))
            if load != (0, 0):
                figures += (place, *load)
        return tuple(self._names), tuple(figures)


def _bounded(figure: int) -> int:
    return min(max(figure, 0), MOST)
