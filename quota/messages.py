"""What a replica and the ledger say to each other: totals since the window began, never differences.

So a message that comes twice, late, or in another order does no harm, and one that is lost is made good by
the next.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """A replica's account of one tenant, in tokens. `incarnation`: it has a new one with each start."""

    replica: str
    incarnation: str
    tenant: str
    window: int
    granted: int  # that it knows of
    returned: int
    spent: int  # by requests that have ended
    needed: int  # for requests that wait
    extra: int  # that it would use soon


@dataclass(frozen=True, slots=True)
class Grant:
    """The ledger's answer: all that this incarnation of a replica was ever granted in the window."""

    replica: str
    incarnation: str
    tenant: str
    window: int
    granted: int
    remaining: int  # that the ledger has not granted


@dataclass(frozen=True, slots=True)
class Recall:
    """What a replica does not need is to come back: somebody needs it."""

    tenant: str
    window: int
