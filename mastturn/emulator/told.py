"""What one balancer has been told of upstreams: which were named, when each started or was said to leave."""

from __future__ import annotations

import math

from mastturn.emulator.discovery import Entry, Phase, Registry
from mastturn.emulator.machine import Box


class KnownServers:
    """The news of the list as one process has had it. Times in ms of the day."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._named = set[str]()
        self._removed_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}

    def reset(self) -> None:
        """A new process has been told nothing."""
        self._named.clear()
        self._removed_at.clear()
        self._started_at.clear()

    def record(self, entries: tuple[Entry, ...], now: float) -> None:
        """It is told of these."""
        for entry in entries:
            self._named.add(entry.server)
            if entry.phase is Phase.READY:
                self._removed_at.pop(entry.server, None)
                self._started_at[entry.server] = entry.up_since_ms
            else:
                self._removed_at.setdefault(entry.server, now)

    def is_known(self, server: str) -> bool:
        """Whether the list has ever named an upstream."""
        return server in self._named

    def is_start_known(self, box: Box, now: float) -> bool:
        """Whether it has been told, or counts as told, of a box's latest start (WIRE, rule 4)."""
        if self._started_at.get(box.name, -math.inf) >= box.started_ms:
            return True
        entry = self._registry.entries.get(box.name)
        return (
            entry is not None
            and entry.up_since_ms >= box.started_ms
            and now >= self._registry.known_at_latest_ms(entry)
        )

    def removed_at(self, server: str) -> tuple[float, Phase | None]:
        """When it was told, or counts as told, that an upstream is not to be used, and why; None if it is."""
        entry = self._registry.entries.get(server)
        if entry is None or entry.phase is Phase.READY:
            return math.inf, None
        known_ms = min(self._removed_at.get(server, math.inf), self._registry.known_at_latest_ms(entry))
        return known_ms, entry.phase
