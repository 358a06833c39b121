"""What a soak reports: one violation of a rule."""

from __future__ import annotations

from dataclasses import dataclass

from mastturn.soak.rules import Rule


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation of a rule: the faults that its request met, and a description. `at`: monotonic clock."""

    rule: Rule
    at: float
    request_id: str
    description: str
    faults: tuple[str, ...] = ()
    balancer: str = ""
