"""Leases of the entries that one replica holds, and whether their running out is to be believed.

A replica counts its own late ones and those that the peers say they have: with few registrants on each, one
alone could not tell a mass from a single death. It waits for what they say as of the moment of the lapse.

A registrant renews at a third of its lease. One that is silent for half of it is late. A lease that runs
out is a reason to take an instance off only while few are late: when more than `SUSPEND_FRACTION` of all are,
it is more likely that they can't reach us than that they have all died at once, and nobody is taken off.
Whoever ran out earlier than the peers did so up to a third of a lease before them; by then the peers are
late already, so that the first of a mass is kept as well. Doubt ends by renewals alone: when no more than
half of that share is late, or too few for a mass. Those that are silent then get one more lease.

All times are milliseconds of the caller's own clock that never goes back; no replica's clock is compared
with another's, nor with a registrant's.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import heappop, heappush

from fleet.registry.entries import Key

SUSPEND_FRACTION = 0.2
MIN_LATE = 3  # fewer late ones are no mass, whatever their share
RENEWALS_PER_LEASE = 3  # renewals in one lease
RECHECK_MS = 250.0  # a lease that has run out is looked at again so often until the peers have been heard
LATE_DIVISOR = 2  # silent for one part in so many of its lease, one is late


@dataclass(slots=True)
class _Lease:
    length: float
    renewed: float
    row: int  # the one row of the queue that speaks of it


@dataclass(frozen=True, slots=True)
class PeerLeases:
    """The leases of the other replicas that can be heard, and the moment as of which all are known."""

    late: int = 0
    held: int = 0
    known_at: float = math.inf


class Leases:
    """Who has renewed when."""

    def __init__(self) -> None:
        self._held: dict[Key, _Lease] = {}
        self._due: list[tuple[float, int, Key]] = []
        self._last_row = 0
        self.is_suspended = False

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, key: object) -> bool:
        return key in self._held

    def renew(self, key: Key, length: float, now: float) -> None:
        """A registrant has spoken."""
        known = self._held.get(key)
        if known is None or length < known.length:
            known = self._held[key] = _Lease(length, now, 0)
            self._queue(key, known, now + length)
        known.length, known.renewed = length, now

    def _queue(self, key: Key, held: _Lease, due: float) -> None:
        self._last_row += 1
        held.row = self._last_row
        heappush(self._due, (due, held.row, key))

    def release(self, key: Key) -> None:
        """It is not ours to watch any more."""
        self._held.pop(key, None)

    def late_count(self, now: float) -> int:
        """How many have missed a renewal."""
        return sum(now - held.renewed > held.length / LATE_DIVISOR for held in self._held.values())

    def due_at(self) -> float | None:
        """When to look next."""
        return self._due[0][0] if self._due else None

    def is_alive(self, key: Key, now: float) -> bool:
        """Whether its lease runs."""
        held = self._held.get(key)
        return held is not None and now - held.renewed < held.length

    def expire(self, now: float, peer_leases: PeerLeases | None = None) -> list[Key]:
        """Those to take off now; none while we doubt. `is_suspended` is brought up to date."""
        peers = peer_leases or PeerLeases()
        over = []
        while self._due and self._due[0][0] <= now:
            _, row, key = heappop(self._due)
            held = self._held.get(key)
            if held is None or held.row != row:
                continue
            ends = held.renewed + held.length
            if ends > now:
                self._queue(key, held, ends)
            elif ends > peers.known_at:  # it may be one of many that are late elsewhere
                self._queue(key, held, now + RECHECK_MS)
            else:
                over.append(key)
        if over or self.is_suspended:
            self._update_suspension(now, peers)
        if not self.is_suspended:
            for key in over:
                del self._held[key]
            return over
        for key in over:  # kept: looked at again in half a lease
            held = self._held[key]
            self._queue(key, held, now + held.length / LATE_DIVISOR)
        return []

    def _update_suspension(self, now: float, peers: PeerLeases) -> None:
        late, count = self.late_count(now) + peers.late, len(self._held) + peers.held
        if not self.is_suspended:
            self.is_suspended = late >= MIN_LATE and late > SUSPEND_FRACTION * count
        elif late <= max(SUSPEND_FRACTION / 2 * count, MIN_LATE - 1):
            self.is_suspended = False
            for held in self._held.values():  # whoever is silent still gets one more lease
                if now - held.renewed > held.length / LATE_DIVISOR:
                    held.renewed = now
