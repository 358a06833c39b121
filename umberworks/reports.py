"""Aggregates the load that servers report in their answers (the contract: umberworks/interface.py)."""

from __future__ import annotations

import math

from umberworks.interface import LoadReport

REPORT_MEMORY_MS = 2_000.0  # reports decay by 1/e over this; servers refresh them about once a second
MIN_REPORTS = 3.0  # decayed count; fewer reports say nothing about a fleet


class Reports:
    """The mean utilization of the servers' cores over recent reports."""

    def __init__(self) -> None:
        self._sum, self._count, self._updated_at = 0.0, 0.0, 0.0

    def add(self, report: LoadReport, now: float) -> None:
        """Add a report that came with an answer."""
        self._decay(now)
        self._sum += report.util
        self._count += 1.0

    def utilization(self, now: float) -> float | None:
        """Return the share of the cores in use, from 0 to 1, or None with too few reports."""
        self._decay(now)
        return self._sum / self._count if self._count >= MIN_REPORTS else None

    def _decay(self, now: float) -> None:
        factor = math.exp(-(now - self._updated_at) / REPORT_MEMORY_MS)
        self._sum, self._count, self._updated_at = self._sum * factor, self._count * factor, now
