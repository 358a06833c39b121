"""Messages between replicas and the quota ledger. They carry totals since the window began, never deltas.

Duplicated, delayed and reordered messages are therefore harmless, and a lost one is made up for by the next.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """A replica's account of one tenant, in tokens. `incarnation` changes with each start of the replica."""

    replica: str
    incarnation: str
    tenant: str
    window: int
    granted: int  # as known to the replica
    returned: int
    spent: int  # by completed requests
    needed: int  # for waiting requests
    extra: int  # expected to be used soon


@dataclass(frozen=True, slots=True)
class Grant:
    """The ledger's answer: the total granted to this incarnation of a replica in the window."""

    replica: str
    incarnation: str
    tenant: str
    window: int
    granted: int
    remaining: int  # not granted to any replica


@dataclass(frozen=True, slots=True)
class Recall:
    """Asks the replicas to return unreserved tokens, because another replica lacks them."""

    tenant: str
    window: int
