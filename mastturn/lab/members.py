"""Measures membership over fleet sizes and fault conditions, compared with all-to-all heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from mastturn.emulator.presence import Setup, play

CONDITIONS: dict[str, dict[str, Any]] = {
    "dies": {"kills": 5},
    "vanishes": {"kills": 5, "silent": True},
    "loss 1%": {"kills": 0, "loss": 0.01},
    "loss 5%": {"kills": 0, "loss": 0.05},
    "loss 20%": {"kills": 0, "loss": 0.2},
    "a tenth slow": {"kills": 0, "slow": 0.1},
    "halves for 30 s": {"kills": 0, "split_s": 30.0, "seconds": 50.0},
}
METRICS = {
    "last_ms": "from a failure to the last process that knows, ms (99%)",
    "messages_s": "messages of a process a second",
    "bytes_s": "bytes of a process a second",
    "false_h": "live processes failed in an hour of one process",
}
MAX_HEARTBEAT_SIZE = 40  # processes; messages grow with the square of the size and take too long beyond this


@dataclass(frozen=True, slots=True)
class MembershipResult:
    """Result of one run; durations in ms, as median and 99th percentile over failures."""

    kind: str
    size: int
    trouble: str
    first_ms: tuple[float, float] | None
    last_ms: float | None
    undetected: int
    false_h: float
    messages_s: float
    bytes_s: float
    healed_ms: float | None

    def describe(self) -> str:
        """Describe the result in one line."""
        parts = [f"{self.kind:10} {self.size:5} {self.trouble:16}"]
        if self.first_ms is not None and self.last_ms is not None:
            parts.append(f"first {self.first_ms[0]:.0f} ms, last {self.last_ms:.0f} ms (99%)")
        if self.undetected:
            parts.append(f"{self.undetected} not known to all")
        if self.healed_ms is not None:
            parts.append(f"equal views {self.healed_ms:.0f} ms after healing")
        parts.append(f"false {self.false_h:.2f}/h")
        parts.append(f"{self.messages_s:.1f} messages/s, {self.bytes_s:.0f} B/s")
        return "  ".join(parts)


def measure(size: int, seed: int) -> list[MembershipResult]:
    """Run all conditions at one size, with heartbeats up to `MAX_HEARTBEAT_SIZE` processes."""
    seconds = 60.0 if size <= 200 else 10.0
    rows = []
    for trouble, overrides in CONDITIONS.items():
        if size > 200 and trouble not in ("dies", "vanishes"):
            continue
        for kind in ("views", "heartbeats") if size <= MAX_HEARTBEAT_SIZE else ("views",):
            rows.append(
                _measure_one(
                    trouble,
                    Setup(**{"processes": size, "seconds": seconds, "kind": kind, "seed": seed} | overrides),
                )
            )
    return rows


def _measure_one(trouble: str, setup: Setup) -> MembershipResult:
    outcome = play(setup)
    first = last = None
    if outcome.first_ms:
        first = (float(np.median(outcome.first_ms)), float(np.quantile(outcome.first_ms, 0.99)))
        last = float(np.quantile(outcome.last_ms, 0.99))
    return MembershipResult(
        setup.kind, setup.processes, trouble, first, last, outcome.undetected, outcome.false / outcome.hours,
        outcome.messages_s, outcome.bytes_s, outcome.healed_ms,
    )  # fmt: skip
