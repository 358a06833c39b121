"""A machine that has just started (WIRE, rule 4): how much of its capacity it has, and what makes it fall
over.

The rule is a budget over any window: the work sent within it must stay under multiple x present capacity x
window, with a little slack for chance. A bucket that holds one window's budget and drains at the rate that
the budget grows overflows if, and only if, some stretch that ends now went over.
"""

from __future__ import annotations

from dataclasses import dataclass

SLACK = 1.1  # of the budget, for chance: one heavy call more than expected is no fault of anybody's


def warmth(age_ms: float, cold_from: float, cold_ms: float) -> float:
    """The share of its capacity that a machine of this age has."""
    if age_ms >= cold_ms:
        return 1.0
    return cold_from + (1.0 - cold_from) * max(age_ms, 0.0) / cold_ms


@dataclass(slots=True)
class ColdBudget:
    """What has been sent to one cold machine, in yardstick milliseconds of work."""

    multiple: float
    window_ms: float
    level: float = 0.0
    seen_ms: float = 0.0
    total: float = 0.0
    informed_work: float = 0.0

    def add_work(self, work_ms: float, sender_told: bool, power: float, now: float) -> bool:
        """Book work that has reached it; whether it falls over. `power`: work it can do a millisecond."""
        drained = (now - self.seen_ms) * self.multiple * power
        kept = max(0.0, 1.0 - drained / self.level) if self.level > 0 else 0.0
        # What drains away leaves in the proportions in which it came.
        self.total, self.informed_work = (
            self.total * kept + work_ms,
            self.informed_work * kept + work_ms * sender_told,
        )
        self.level = max(0.0, self.level - drained) + work_ms
        self.seen_ms = now
        return self.level > SLACK * self.multiple * power * self.window_ms

    def informed_share(self) -> float:
        """The part of the work at hand that came from balancers which had been told of its start."""
        return self.informed_work / self.total if self.total else 0.0
