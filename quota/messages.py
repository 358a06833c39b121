"""What a replica and the ledger say to each other: totals since the window began, never differences.

So a message that comes twice, late, or in another order does no harm, and one that is lost is made good by
the next.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ask:
    """A replica's account of one tenant, in tokens. `life`: it has a new one with each start."""

    replica: str
    life: str
    tenant: str
    window: int
    granted: int  # that it knows of
    returned: int
    spent: int  # by requests that have ended
    need: int  # for requests that wait
    more: int  # that it would use soon


@dataclass(frozen=True, slots=True)
class Grant:
    """The ledger's answer: all that this life of a replica was ever granted in the window."""

    replica: str
    life: str
    tenant: str
    window: int
    granted: int
    left: int  # that the ledger has not granted


@dataclass(frozen=True, slots=True)
class Recall:
    """What a replica does not need is to come back: somebody needs it."""

    tenant: str
    window: int
