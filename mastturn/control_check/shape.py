"""What a series of histories plays, and what is measured in them."""

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
    """What is played."""

    machines: int
    losses: int
    sync_ms: float = 1.0
    length_ms: float = 60_000.0
    air: LinkProfile = field(default_factory=LinkProfile)
    jumps: bool = False  # the clocks that processes measure by jump, which steady clocks never do
    repeats: bool = False  # operators send changes of before once more
    eager: bool = False  # the next machine is lost as soon as the one before is a full member again
    overlaps: bool = False  # any number in trouble at once, with no more disks lost than may be
    stalls: bool = False  # processes stand still for a moment again and again, and nothing is lost
    zone_losses: bool = False  # whole zones are lost, and machines are replaced by others elsewhere
    spares: int = 0  # machines that run beside those that have slots
    storm: bool = False  # all are killed every few seconds: only what must never happen is judged


STORM_LINK = LinkProfile(slow_share=0.08, slow_ms=1_500.0, lost_share=0.02, repeated_share=0.05)


@dataclass(frozen=True, slots=True)
class Takeover:
    """How long it took after a trouble until somebody answered, or until it was healed; milliseconds."""

    trouble: str
    took_ms: float
