"""The tree of relays: who hears the news from whom, worked out by all alike from the list of members."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from dissemination.messages import Present

DEGREE = 8  # balancers that one relay tells


def score(name: str, key: str) -> int:
    """The rendezvous score of a name for a key: the highest wins; another member changes no other's score."""
    return int.from_bytes(hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest(), "big")


def _rank(member: Present) -> tuple[int, str]:
    return score(member.node, "relay"), member.node


def parent_of(own: str, zone: str, members: Iterable[Present]) -> Present | None:
    """The balancer that tells us the news; None: the control state itself does.

    In each zone the balancers stand in the order of their scores, and each tells the next ones: news cross
    into a zone once.
    """
    order = sorted((m for m in members if m.zone == zone), key=_rank)
    place = next((i for i, m in enumerate(order) if m.node == own), None)
    if not place:
        return None
    return order[(place - 1) // DEGREE]


def heads_of(members: Iterable[Present]) -> dict[str, Present]:
    """By zone: the first in that order, which hears the news from the control state itself."""
    zones: dict[str, list[Present]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    return {zone: min(zones[zone], key=_rank) for zone in sorted(zones)}


def watched_by(own: str, members: Iterable[Present], most: int) -> list[Present]:
    """The few others that a balancer knows and watches."""
    others = [m for m in members if m.node != own]
    return sorted(others, key=lambda m: (-score(m.node, own), m.node))[:most]
