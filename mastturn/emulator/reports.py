"""Simulates load reports (PROTOCOL, X-Pressure) of utilization and service time, with delay and noise."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mastturn.emulator.chance import Stream
from mastturn.emulator.day import TierParameters


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of a response: mean service time without queueing, and core utilization."""

    latency_ms: float
    util: float


class LoadReporter:
    """Produces one machine's load reports, refreshed only when a response reads them."""

    def __init__(self, tier: TierParameters, rng: Stream) -> None:
        self._tier, self._rng = tier, rng
        self._taken_ms, self._busy_then = 0.0, 0.0
        self._served, self._service_ms = 0, 0.0
        self._pending: deque[tuple[float, LoadReport]] = deque()
        self._last: LoadReport | None = None
        self.added_delay_ms = 0.0

    def record_served(self, service_ms: float) -> None:
        """Count a response and its service time without queueing."""
        self._served += 1
        self._service_ms += service_ms

    def read(self, now: float, busy_core_ms: float, cores: int) -> LoadReport | None:
        """Return the report for a response; `busy_core_ms` is the machine's cumulative busy time."""
        gap = now - self._taken_ms
        if gap >= self._tier.report_every_ms:
            noise = self._rng.factor(self._tier.report_noise)
            util = min(max((busy_core_ms - self._busy_then) / (cores * gap) * noise, 0.0), 1.0)
            mean = self._service_ms / self._served if self._served else 0.0
            due = now + self._tier.report_delay_ms + self.added_delay_ms
            self._pending.append((due, LoadReport(mean * self._rng.factor(self._tier.report_noise), util)))
            self._taken_ms, self._busy_then = now, busy_core_ms
            self._served, self._service_ms = 0, 0.0
        while self._pending and self._pending[0][0] <= now:
            self._last = self._pending.popleft()[1]
        return self._last
