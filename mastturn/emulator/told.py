"""Tracks what one balancer knows of upstreams: which it was told of, their starts and their removals."""

from __future__ import annotations

import math

from mastturn.emulator.discovery import Entry, Phase, Registry
from mastturn.emulator.machine import Box


class KnownServers:
    """The list updates received by one balancer process. Times in ms of the simulated clock."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._named = set[str]()
        self._removed_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}

    def reset(self) -> None:
        """Discard all knowledge when a new process starts."""
        self._named.clear()
        self._removed_at.clear()
        self._started_at.clear()

    def record(self, entries: tuple[Entry, ...], now: float) -> None:
        """Record entries received at time `now`."""
        for entry in entries:
            self._named.add(entry.server)
            if entry.phase is Phase.READY:
                self._removed_at.pop(entry.server, None)
                self._started_at[entry.server] = entry.up_since_ms
            else:
                self._removed_at.setdefault(entry.server, now)

    def is_known(self, server: str) -> bool:
        """Whether the list has ever contained an upstream."""
        return server in self._named

    def is_start_known(self, box: Box, now: float) -> bool:
        """Whether the balancer knows, or counts as knowing, of a box's latest start (WIRE, rule 4)."""
        if self._started_at.get(box.name, -math.inf) >= box.started_ms:
            return True
        entry = self._registry.entries.get(box.name)
        return (
            entry is not None
            and entry.up_since_ms >= box.started_ms
            and now >= self._registry.known_at_latest_ms(entry)
        )

    def removed_at(self, server: str) -> tuple[float, Phase | None]:
        """Return when the balancer counts as informed of a removal, and the phase; None if ready."""
        entry = self._registry.entries.get(server)
        if entry is None or entry.phase is Phase.READY:
            return math.inf, None
        known_ms = min(self._removed_at.get(server, math.inf), self._registry.known_at_latest_ms(entry))
        return known_ms, entry.phase
