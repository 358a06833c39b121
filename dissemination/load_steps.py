"""Encoding of loads between processes: indexes instead of names, largest changes first, limited bandwidth.

Both sides number the upstreams in the order of their first mention, so that a name crosses a connection once
and a change takes about six bytes. When there are more changes than the bandwidth allows, they are ordered by
relative error times waiting time, so none waits forever.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable, Sequence

Loads = dict[str, tuple[int, int]]  # by upstream: calls, tokens
MAX_INT32 = 2**31 - 1  # limit of a message field
BYTES_S = 6_000  # to each receiver: with all other messages a balancer stays within 11 kB/s
# Of a frame without figures; of one upstream without its name, which is sent once.
STEP_BYTES, FIGURE_BYTES = 24, 6
BURST_S = 0.25  # unused bandwidth of this time may be used at once
SPARE_INDEXES = 1_024  # unused indexes that may accumulate before numbering restarts
MAX_INDEXES = 65_536  # limit on what a peer may send
Figures = tuple[tuple[str, ...], tuple[int, ...]]  # new names; index, calls, tokens, repeated


class LoadStepEncoder:
    """Encodes changed loads as steps, tracking what was already sent."""

    def __init__(self, bytes_s: float = BYTES_S) -> None:
        self._bytes_s = bytes_s
        self._budget_bytes, self._budget_at = 0.0, -1e9
        self._indexes: dict[str, int] = {}
        self._sent: list[tuple[int, int]] = []
        self._changed: dict[str, int] = {}  # by upstream: the step in which it changed
        self._step_number = 0

    def whole(self, loads: Loads) -> Figures:
        """Return all loads, for a receiver without any; numbering restarts."""
        self._indexes, self._sent = {}, []
        self._changed.clear()
        return self._encode(sorted(upstream for upstream, load in loads.items() if load != (0, 0)), loads)

    def mark_changed(self, upstreams: Iterable[str]) -> None:
        """Mark the loads of these upstreams as possibly changed."""
        for upstream in upstreams:
            self._changed.setdefault(upstream, self._step_number)

    def pending(self) -> Collection[str]:
        """Return the upstreams whose loads may have changed since they were sent."""
        return self._changed.keys()

    def needs_restart(self, upstreams: int) -> bool:
        """Return whether most indexes belong to upstreams that are gone."""
        return len(self._indexes) > 2 * upstreams + SPARE_INDEXES

    def step(self, loads: Loads, now: float) -> Figures | None:
        """Return the largest changes that may be sent now; None if there are none."""
        changed = [name for name in self._changed if loads.get(name, (0, 0)) != self._known(name)]
        self._changed = {name: self._changed[name] for name in changed}
        self._step_number += 1
        if not changed:
            return None
        max_budget = self._bytes_s * BURST_S
        self._budget_bytes = min(
            self._budget_bytes + self._bytes_s * min(now - self._budget_at, 1e6), max_budget
        )
        self._budget_at = now
        max_entries = int((self._budget_bytes - STEP_BYTES) / FIGURE_BYTES)
        if max_entries <= 0:
            return None
        if len(changed) > max_entries:
            changed = heapq.nlargest(
                max_entries,
                changed,
                key=lambda name: (
                    self._relative_change(name, loads) * (self._step_number - self._changed[name])
                ),
            )
        step_figures = self._encode(sorted(changed), loads)
        for upstream in changed:
            del self._changed[upstream]
        self._budget_bytes -= STEP_BYTES + FIGURE_BYTES * len(changed)
        return step_figures

    def _known(self, upstream: str) -> tuple[int, int]:
        index = self._indexes.get(upstream)
        return (0, 0) if index is None else self._sent[index]

    def _relative_change(self, upstream: str, loads: Loads) -> float:
        """Return the change of a load relative to the larger of its old and new values."""
        (calls, tokens), (old_calls, old_tokens) = loads.get(upstream, (0, 0)), self._known(upstream)
        return abs(calls - old_calls) / (1 + max(calls, old_calls)) + abs(tokens - old_tokens) / (
            1 + max(tokens, old_tokens)
        )

    def _encode(self, upstreams: Sequence[str], loads: Loads) -> Figures:
        names: list[str] = []
        figures: list[int] = []
        for upstream in upstreams:
            index, load = self._indexes.get(upstream), loads.get(upstream, (0, 0))
            if index is None:
                index = self._indexes[upstream] = len(self._sent)
                self._sent.append(load)
                names.append(upstream)
            self._sent[index] = load
            figures += (index, _clamp(load[0]), _clamp(load[1]))
        return tuple(names), tuple(figures)


class LoadTable:
    """The loads that a receiver has decoded from steps."""

    def __init__(self, epoch: int = 0, number: int = 0) -> None:
        self.epoch, self.number = epoch, number
        self._names: list[str] = []
        self.loads: Loads = {}

    def take(self, number: int, base: int, names: Sequence[str], figures: Sequence[int]) -> Loads | None:
        """Apply a step; returns the previous loads of the upstreams in it.

        Returns None if the step does not follow the last one or is invalid.
        """
        if (base and base != self.number) or len(figures) % 3:
            return None
        known = [] if base == 0 else self._names
        index_count = len(known) + len(names)
        if index_count > MAX_INDEXES or any(not 0 <= index < index_count for index in figures[::3]):
            return None
        before: Loads = {}
        if base == 0:
            before, self._names, self.loads = self.loads, [], {}
        self._names += names
        for index, calls, tokens in zip(figures[::3], figures[1::3], figures[2::3], strict=True):
            name = self._names[index]
            before.setdefault(name, self.loads.get(name, (0, 0)))
            self.loads[name] = (_clamp(calls), _clamp(tokens))
        self.number = number
        return before

    def whole(self) -> Figures:
        """Return all loads with the same indexes, so that a receiver can apply the steps that follow."""
        figures: list[int] = []
        for index, name in enumerate(self._names):
            load = self.loads.get(name, (0, 0))
            if load != (0, 0):
                figures += (index, *load)
        return tuple(self._names), tuple(figures)


def _clamp(figure: int) -> int:
    return min(max(figure, 0), MAX_INT32)
