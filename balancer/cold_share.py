"""Rate limit for cold upstreams, divided among the balancers without communication between them.

All balancers together send a cold upstream at most `rate` requests per second. Each has a short window to
send one request in, once per period; a period is long enough for all balancers to take their turns. The
window's position follows from the balancer's place among all of them, which spaces the windows evenly. An
unused window is lost: requests saved up while an upstream is not selected would all come at once when it is.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from balancer.peer import Peer
from config.configuration import Configuration
from config.settings import Bounds

# In a network partition the balancers of each side count only their own side. The bound holds for two sides
# whose windows meet in any second, and for three whose windows are evenly used.
MAX_PARTITIONS = 3
WINDOW_S = 0.4
UNKNOWN_BALANCERS = 100  # assumed until the number of balancers is known


@dataclass(frozen=True, slots=True)
class Place:
    """The index of a balancer, from 0, among the number of balancers that are present."""

    index: int
    count: int

    @classmethod
    def among(cls, node: str, nodes: Sequence[str]) -> Place | None:
        """Return a balancer's place in an order that all balancers know; None if it is not among them."""
        return cls(nodes.index(node), len(nodes)) if node in nodes else None


def rate_of(per_s: float, bounds: Bounds) -> float:
    """Return the requests per second of all balancers for a cold upstream with the capacity `per_s`."""
    allowed = per_s * bounds.cold_excess + bounds.cold_slack
    return min(per_s, allowed / MAX_PARTITIONS)


class ColdShare:
    """Decides when this balancer may send to a cold upstream. Times in seconds on the monotonic clock."""

    def __init__(self, node: str, bounds: Bounds) -> None:
        self._node, self._bounds = node, bounds
        self._rates: dict[str, float] = {}  # by service; services without a bound are absent
        self._place: Place | None = None
        self._balancers = UNKNOWN_BALANCERS
        self._offsets: dict[str, float] = {}  # by upstream: start of the window, as share of a period

    def configure(self, configuration: Configuration) -> None:
        """Apply the services of a newer configuration."""
        self._rates = {
            s.name: rate_of(s.cold_per_s, self._bounds) for s in configuration.svcs if s.cold_per_s
        }

    def count_balancers(self, balancers: int) -> None:
        """Set the number of balancers that are live, or were recently."""
        self._balancers = max(balancers, 1)

    def set_place(self, place: Place | None) -> None:
        """Set this balancer's place among those present; None: it is not listed yet."""
        if place != self._place:
            self._place = place
            self._offsets.clear()

    def on_list_changed(self) -> None:
        """Drop the cached offsets, as the list of upstreams has changed."""
        self._offsets.clear()

    def allows(self, peer: Peer, now: float) -> bool:
        """Return whether an upstream may get a request now, as far as it is cold."""
        rate = self._rates.get(peer.entry.svc)
        if not rate or not peer.is_cold(now):
            return True
        period = max(self._balancers, self._place.count if self._place is not None else 1) / rate
        elapsed = now - peer.cold_since - self._offset(peer.entry.id) * period
        in_period = elapsed % period
        if elapsed < 0 or in_period >= min(WINDOW_S, period):
            return False
        sent = peer.server.last_sent / 1000
        return sent < now - in_period and (sent < peer.cold_since or now - sent >= period / 2)

    def _offset(self, upstream: str) -> float:
        """Return the window's offset, rotated by upstream so that each has a different first balancer."""
        offset = self._offsets.get(upstream)
        if offset is None:
            place = self._place
            if place is None:
                offset = _hash_fraction(f"{self._node}@{upstream}")
            else:
                offset = (place.index / place.count + _hash_fraction(upstream)) % 1.0
            self._offsets[upstream] = offset
        return offset


def _hash_fraction(text: str) -> float:
    """Return a number from 0 to 1 that is the same for a text in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest()) / 2**64
