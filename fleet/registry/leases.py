"""Tracks the leases that a replica holds and decides whether expired ones may be acted on.

A registrant renews three times per lease. A lease without a renewal for half its length is late. An expired
lease removes its instance only while few leases are late: when more than `SUSPEND_FRACTION` of all are, a
network fault is more likely than that so many processes died at once, so expiry is suspended. A lease that
expires before the others does so at most a third of a lease earlier; by then the others are already late,
so the first of a mass is retained as well. Suspension ends only through renewals: when the share of
late leases falls to half of `SUSPEND_FRACTION`, or their number below `MIN_LATE`. Leases still late then
get one more full lease.

A replica adds its peers' counts of late and held leases to its own, since with few registrants each, one
replica alone can't tell a mass from a single death. It waits for counts taken after the moment of expiry.

All times are milliseconds of the caller's own monotonic clock; clocks of replicas or registrants are never
compared with each other.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import heappop, heappush

from fleet.registry.entries import Key

SUSPEND_FRACTION = 0.2  # share of late leases above which expiry is suspended
MIN_LATE = 3  # fewer late leases never suspend expiry, whatever their share
RENEWALS_PER_LEASE = 3
RECHECK_MS = 250.0  # interval of rechecking an expired lease until all peers have reported
LATE_DIVISOR = 2  # a lease is late after 1/LATE_DIVISOR of its length without a renewal


@dataclass(slots=True)
class _Lease:
    length_ms: float
    renewed_at: float
    row: int  # the only queue row that is valid for this lease


@dataclass(frozen=True, slots=True)
class PeerLeases:
    """Lease counts of the reachable peers, and the time of the oldest of their reports."""

    late: int = 0
    held: int = 0
    known_at: float = math.inf


class Leases:
    """The leases held by one replica, with the time of their last renewal."""

    def __init__(self) -> None:
        self._held: dict[Key, _Lease] = {}
        self._due: list[tuple[float, int, Key]] = []
        self._last_row = 0
        self.is_suspended = False

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, key: object) -> bool:
        return key in self._held

    def renew(self, key: Key, length_ms: float, now: float) -> None:
        """Records a renewal by the registrant."""
        known = self._held.get(key)
        if known is None or length_ms < known.length_ms:
            known = self._held[key] = _Lease(length_ms, now, 0)
            self._queue(key, known, now + length_ms)
        known.length_ms, known.renewed_at = length_ms, now

    def _queue(self, key: Key, lease: _Lease, due: float) -> None:
        self._last_row += 1
        lease.row = self._last_row
        heappush(self._due, (due, lease.row, key))

    def release(self, key: Key) -> None:
        """Stops tracking a lease that this replica no longer holds."""
        self._held.pop(key, None)

    def late_count(self, now: float) -> int:
        """Returns the number of late leases."""
        return sum(now - lease.renewed_at > lease.length_ms / LATE_DIVISOR for lease in self._held.values())

    def due_at(self) -> float | None:
        """Returns when `expire` must be called next, or None."""
        return self._due[0][0] if self._due else None

    def is_alive(self, key: Key, now: float) -> bool:
        """Returns whether a lease is held and has not expired."""
        lease = self._held.get(key)
        return lease is not None and now - lease.renewed_at < lease.length_ms

    def expire(self, now: float, peer_leases: PeerLeases | None = None) -> list[Key]:
        """Returns the expired leases and stops tracking them; none while expiry is suspended.

        Also updates `is_suspended`.
        """
        peers = peer_leases or PeerLeases()
        expired = []
        while self._due and self._due[0][0] <= now:
            _, row, key = heappop(self._due)
            lease = self._held.get(key)
            if lease is None or lease.row != row:
                continue
            expires_at = lease.renewed_at + lease.length_ms
            if expires_at > now:
                self._queue(key, lease, expires_at)
            elif expires_at > peers.known_at:  # it may be one of many that are late at the peers too
                self._queue(key, lease, now + RECHECK_MS)
            else:
                expired.append(key)
        if expired or self.is_suspended:
            self._update_suspension(now, peers)
        if not self.is_suspended:
            for key in expired:
                del self._held[key]
            return expired
        for key in expired:  # retained, and rechecked after half a lease
            lease = self._held[key]
            self._queue(key, lease, now + lease.length_ms / LATE_DIVISOR)
        return []

    def _update_suspension(self, now: float, peers: PeerLeases) -> None:
        late, count = self.late_count(now) + peers.late, len(self._held) + peers.held
        if not self.is_suspended:
            self.is_suspended = late >= MIN_LATE and late > SUSPEND_FRACTION * count
        elif late <= max(SUSPEND_FRACTION / 2 * count, MIN_LATE - 1):
            self.is_suspended = False
            for lease in self._held.values():  # late ones get one more full lease
                if now - lease.renewed_at > lease.length_ms / LATE_DIVISOR:
                    lease.renewed_at = now
