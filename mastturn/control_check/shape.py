"""Configuration of simulated histories, and the times measured in them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from consensus.effects import Spec
from consensus.replica import Replica
from consensus.views import DurableState, Member
from mastturn.control_check.network import LinkProfile

ReplicaFactory = Callable[[Member, DurableState, Spec, tuple[str, ...], bool, int], Replica]


@dataclass(frozen=True, slots=True)
class Shape:
    """The configuration of a simulated history."""

    machines: int
    losses: int
    sync_ms: float = 1.0
    length_ms: float = 60_000.0
    air: LinkProfile = field(default_factory=LinkProfile)
    jumps: bool = False  # the processes' clocks jump, which monotonic clocks never do
    repeats: bool = False  # operators resend earlier changes
    eager: bool = False  # the next machine is lost as soon as the one before is a full member again
    overlaps: bool = False  # any number of simultaneous faults, within the tolerated number of lost disks
    stalls: bool = False  # processes stall briefly and repeatedly; nothing is lost
    zone_losses: bool = False  # whole zones are lost, and machines are replaced by others elsewhere
    spares: int = 0  # machines beyond the number of slots
    storm: bool = False  # all are killed every few seconds: only safety is checked


STORM_LINK = LinkProfile(slow_share=0.08, slow_ms=1_500.0, lost_share=0.02, repeated_share=0.05)


@dataclass(frozen=True, slots=True)
class Takeover:
    """Time from a fault to the next answer, or from a return to full membership, in milliseconds."""

    trouble: str
    took_ms: float
