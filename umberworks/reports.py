"""What the servers say of their load, taken together (the contract: umberworks/interface.py)."""

from __future__ import annotations

import math

from umberworks.interface import LoadReport

REPORT_MEMORY_MS = 2_000.0  # reports fade by 1/e over this: they are refreshed every second or so
LEAST_REPORTS = 3.0  # in memory; fewer say nothing of a fleet


class Reports:
    """The mean use of the servers' cores, over the reports that came lately."""

    def __init__(self) -> None:
        self._use, self._count, self._seen = 0.0, 0.0, 0.0

    def told(self, report: LoadReport, now: float) -> None:
        """An answer carries a report."""
        self._fade(now)
        self._use += report.util
        self._count += 1.0

    def use(self, now: float) -> float | None:
        """The share of the cores in use, 0 to 1; None if too little is known."""
        self._fade(now)
        return self._use / self._count if self._count >= LEAST_REPORTS else None

    def _fade(self, now: float) -> None:
        fade = math.exp(-(now - self._seen) / REPORT_MEMORY_MS)
        self._use, self._count, self._seen = self._use * fade, self._count * fade, now
