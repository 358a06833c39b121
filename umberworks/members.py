"""Server state: capacity evidence, calls in flight, list entries, cordons (umberworks/interface.py)."""

from __future__ import annotations

import math
from collections.abc import Iterable
from heapq import heappop, heappush

from umberworks import interface as face

MEMORY_MS = 6_000.0  # evidence decays by 1/e over this: long enough for a few calls, short enough to recover


PRIOR_CALLS = 2.0  # weight of the median, in calls, so that one slow answer does not ruin an estimate


class UnansweredCalls:
    """Calls in flight to a server or zone, and the call time accumulated there since its last answer."""

    __slots__ = ("_updated_at", "_waited", "calls")

    def __init__(self) -> None:
        self.calls, self._waited, self._updated_at = 0, 0.0, 0.0

    def on_sent(self, now: float) -> None:
        """Count a call that is sent."""
        self.waited(now)
        self.calls += 1

    def on_ended(self, now: float) -> None:
        """Uncount a call that has ended; without an answer the accumulated time stays."""
        self.waited(now)
        self.calls -= 1

    def on_answer(self, now: float) -> None:
        """Reset the accumulated time, as something has answered."""
        self._waited, self._updated_at = 0.0, now

    def waited(self, now: float) -> float:
        """Return the call time since the last answer, in milliseconds, summed over the calls in flight."""
        self._waited += self.calls * (now - self._updated_at)
        self._updated_at = now
        return self._waited


class Server:
    """One server: its list entry, this balancer's calls to it, and the evidence on its capacity."""

    def __init__(self, member: face.Member, now: float, rank: float) -> None:
        self.member, self.rank, self.size = member, rank, 1.0
        self.is_ready, self.served_at = False, now
        self.returned = False  # uncordoned by an operator, and not sent to since
        self.in_flight = 0  # including the held slots of failed calls
        self.last_sent = -math.inf
        self.unanswered = UnansweredCalls()
        self.reset_evidence(now)

    def reset_evidence(self, now: float) -> None:
        """Drop the evidence, as the process behind the name is a new one."""
        self.served, self.busy, self.updated_at = 0.0, 0.0, now  # calls; milliseconds in flight

    def answer_rate(self, usual: float, now: float) -> float:
        """Return the server's answers per millisecond of a call, at most the usual rate."""
        self.advance(now)
        answered_ms = max(self.busy - self.unanswered.waited(now), 0.0)
        return min(usual, (self.served + PRIOR_CALLS) / (answered_ms + PRIOR_CALLS / usual))

    def advance(self, now: float) -> None:
        """Bring the evidence up to `now`: calls in flight add time, and all of it decays."""
        gap = now - self.updated_at
        if gap > 0:
            decay = math.exp(-gap / MEMORY_MS)
            self.served *= decay
            self.busy = self.busy * decay + self.in_flight * gap
            self.updated_at = now


class HeldSlots:
    """Slots of failed calls, in flight until their full time-out: a failing server must not look idle."""

    def __init__(self) -> None:
        self._held: list[tuple[float, int, Server]] = []
        self._count = 0

    def hold(self, server: Server, until: float) -> None:
        """Keep the slot of a failed call."""
        self._count += 1
        heappush(self._held, (until, self._count, server))

    def release_expired(self, now: float) -> None:
        """Free the slots whose time-out has passed."""
        while self._held and self._held[0][0] <= now:
            server = heappop(self._held)[2]
            server.advance(now)
            server.in_flight -= 1


def evidence(server: Server, now: float) -> face.Evidence:
    """Return the evidence on a server in the form in which a successor process receives it."""
    server.advance(now)
    unsent = now - max(server.last_sent, 0.0)
    return face.Evidence(
        server.member.server, server.member.up_since_ms, server.served, server.busy, max(unsent, 0.0)
    )


class Members:
    """The servers on the list, and those that operators have cordoned, whether listed or not."""

    def __init__(self) -> None:
        self.listed = set[str]()  # including draining servers
        self.cordoned = set[str]()
        self._inherited = dict[str, face.Evidence]()  # from the previous process, on servers not listed yet

    def apply(self, event: face.ListUpdate) -> None:
        """Apply an update of the server list."""
        if event.kind is not face.ListKind.CHANGES:
            self.listed.clear()
        for member in event.members:
            if member.readiness is face.Readiness.GONE:
                self.listed.discard(member.server)
            else:
                self.listed.add(member.server)

    def cordon(self, event: face.Cordon, server: Server | None) -> None:
        """Cordon or uncordon a server; uncordoning once undoes any number of cordons."""
        if server is not None:
            server.returned = not event.out
        if event.out:
            self.cordoned.add(event.server)
        else:
            self.cordoned.discard(event.server)

    def inherit(self, event: face.Learned, servers: Iterable[Server], now: float) -> None:
        """Take over the previous process's evidence, and keep it for servers that are not listed yet."""
        self._inherited |= {item.server: item for item in event.evidence}
        for server in servers:
            self.restore(server, now)

    def restore(self, server: Server, now: float) -> None:
        """Apply inherited evidence to a server, unless the server has restarted since."""
        item = self._inherited.pop(server.member.server, None)
        if item is not None and item.up_since_ms == server.member.up_since_ms:
            server.served, server.busy, server.updated_at = item.served, item.busy_ms, now
            server.last_sent = max(server.last_sent, now - item.unsent_ms)

    def usable(self, servers: Iterable[Server]) -> list[Server]:
        """Return the ready servers that are not cordoned, ordered by this balancer's ranks."""
        usable = [s for s in servers if s.is_ready and s.member.server not in self.cordoned]
        return sorted(usable, key=lambda s: s.rank)

    def excluded(self, in_use: Iterable[Server]) -> frozenset[str]:
        """Return the listed servers that get no calls: cordoned, draining, silent or outside the subset."""
        return frozenset(self.listed) - {s.member.server for s in in_use}
