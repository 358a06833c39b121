"""Models a machine that has just started (WIRE, rule 4): its capacity while cold, and its overload.

The rule limits the work sent within any window to multiple x present capacity x window, with some tolerance
for chance. A leaky bucket that holds one window's budget and drains at the rate at which the budget grows
overflows exactly if some window that ends now exceeded it.
"""

from __future__ import annotations

from dataclasses import dataclass

SLACK = 1.1  # tolerance on the budget: one heavy call more than expected is not a violation


def warmth(age_ms: float, cold_from: float, cold_ms: float) -> float:
    """Return the share of its capacity that a machine of this age has."""
    if age_ms >= cold_ms:
        return 1.0
    return cold_from + (1.0 - cold_from) * max(age_ms, 0.0) / cold_ms


@dataclass(slots=True)
class ColdBudget:
    """Leaky bucket of the work sent to one cold machine, in milliseconds of a reference core."""

    multiple: float
    window_ms: float
    level: float = 0.0
    seen_ms: float = 0.0
    total: float = 0.0
    informed_work: float = 0.0

    def add_work(self, work_ms: float, sender_told: bool, power: float, now: float) -> bool:
        """Add received work; return whether the budget is exceeded. `power`: work per millisecond."""
        drained = (now - self.seen_ms) * self.multiple * power
        kept = max(0.0, 1.0 - drained / self.level) if self.level > 0 else 0.0
        # Drained work is removed in proportion from informed and uninformed senders.
        self.total, self.informed_work = (
            self.total * kept + work_ms,
            self.informed_work * kept + work_ms * sender_told,
        )
        self.level = max(0.0, self.level - drained) + work_ms
        self.seen_ms = now
        return self.level > SLACK * self.multiple * power * self.window_ms

    def informed_share(self) -> float:
        """Return the share of the current work sent by balancers that knew of the machine's start."""
        return self.informed_work / self.total if self.total else 0.0
