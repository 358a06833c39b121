"""The tree of relays: each process derives its parent from the list of members, with the same result."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from dissemination.messages import PresentBalancer

DEGREE = 8  # children per relay


def rendezvous_score(name: str, key: str) -> int:
    """Return the rendezvous score of a name for a key; it does not depend on other members."""
    return int.from_bytes(hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest(), "big")


def _rank(member: PresentBalancer) -> tuple[int, str]:
    return rendezvous_score(member.node, "relay"), member.node


def parent_of(own: str, zone: str, members: Iterable[PresentBalancer]) -> PresentBalancer | None:
    """Return the parent of a balancer; None if that is a control process.

    In each zone balancers are ordered by score and each is the parent of the next ones, so updates cross into
    a zone once.
    """
    order = sorted((m for m in members if m.zone == zone), key=_rank)
    index = next((i for i, m in enumerate(order) if m.node == own), None)
    if not index:
        return None
    return order[(index - 1) // DEGREE]


def heads_of(members: Iterable[PresentBalancer]) -> dict[str, PresentBalancer]:
    """Return the first balancer of each zone, which attaches to a control process."""
    zones: dict[str, list[PresentBalancer]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    return {zone: min(zones[zone], key=_rank) for zone in sorted(zones)}


def watched_by(own: str, members: Iterable[PresentBalancer], max_count: int) -> list[PresentBalancer]:
    """Return the few other balancers that a balancer watches."""
    others = [m for m in members if m.node != own]
    return sorted(others, key=lambda m: (-rendezvous_score(m.node, own), m.node))[:max_count]
