"""The servers: what is known of each, and which are listed or held out by hand (umberworks/interface.py)."""

from __future__ import annotations

import math
from collections.abc import Iterable
from heapq import heappop, heappush

from umberworks import interface as face

MEMORY_MS = 6_000.0  # evidence fades by 1/e over this; long enough for a few calls, short enough to recover


PRIOR_CALLS = 2.0  # calls' worth of belief in the median, so that one slow answer does not ruin an estimate


class Owed:
    """Calls that are out to somewhere, and the call time that has gone by there since anything was heard."""

    __slots__ = ("_seen", "_waited", "out")

    def __init__(self) -> None:
        self.out, self._waited, self._seen = 0, 0.0, 0.0

    def sent(self, now: float) -> None:
        """A call goes out."""
        self.waited(now)
        self.out += 1

    def ended(self, now: float) -> None:
        """A call is over; unless it was answered, that says nothing."""
        self.waited(now)
        self.out -= 1

    def heard(self, now: float) -> None:
        """Something has answered: nothing is owed from before."""
        self._waited, self._seen = 0.0, now

    def waited(self, now: float) -> float:
        """Call time since anything was heard, in milliseconds."""
        self._waited += self.out * (now - self._seen)
        self._seen = now
        return self._waited


class Server:
    """What is known of one server: its list entry, our calls there and the evidence on its capacity."""

    def __init__(self, member: face.Member, now: float, rank: float) -> None:
        self.member, self.rank, self.size = member, rank, 1.0
        self.fit, self.heard = False, now
        self.back = False  # put back by hand, and not sent to since
        self.in_flight = 0  # m of the design, held slots of failures included
        self.last_sent = -math.inf
        self.unanswered = Owed()
        self.forget(now)

    def forget(self, now: float) -> None:
        """Drop the evidence: the process behind the name is a new one."""
        self.served, self.busy, self.seen = 0.0, 0.0, now

    def rate(self, usual: float, now: float) -> float:
        """Answers for each millisecond of a call, as far as it gave any; at most the usual."""
        self.catch_up(now)
        heard = max(self.busy - self.unanswered.waited(now), 0.0)
        return min(usual, (self.served + PRIOR_CALLS) / (heard + PRIOR_CALLS / usual))

    def catch_up(self, now: float) -> None:
        """Bring the evidence to `now`: calls in flight add time, and all of it fades."""
        gap = now - self.seen
        if gap > 0:
            fade = math.exp(-gap / MEMORY_MS)
            self.served *= fade
            self.busy = self.busy * fade + self.in_flight * gap
            self.seen = now


class HeldSlots:
    """Slots of failed calls, in flight to their full time-out: a failing server must not look idle."""

    def __init__(self) -> None:
        self._held: list[tuple[float, int, Server]] = []
        self._count = 0

    def hold(self, server: Server, until: float) -> None:
        """Keep the slot of a call that has failed."""
        self._count += 1
        heappush(self._held, (until, self._count, server))

    def release(self, now: float) -> None:
        """Give back the slots whose time is over."""
        while self._held and self._held[0][0] <= now:
            server = heappop(self._held)[2]
            server.catch_up(now)
            server.in_flight -= 1


def evidence(server: Server, now: float) -> face.Evidence:
    """What a process that takes our place begins with."""
    server.catch_up(now)
    unsent = now - max(server.last_sent, 0.0)
    return face.Evidence(
        server.member.server, server.member.up_since_ms, server.served, server.busy, max(unsent, 0.0)
    )


class Members:
    """The names that the list holds, and those that operators hold out, whatever the list says of them."""

    def __init__(self) -> None:
        self.listed = set[str]()  # draining ones too
        self.cordoned = set[str]()
        self._left = dict[str, face.Evidence]()  # by the process before us, on servers not seen yet

    def follow(self, event: face.ListUpdate) -> None:
        """Take over news of the list."""
        if event.kind is not face.ListKind.CHANGES:
            self.listed.clear()
        for member in event.members:
            if member.readiness is face.Readiness.GONE:
                self.listed.discard(member.server)
            else:
                self.listed.add(member.server)

    def cordon(self, event: face.Cordon, server: Server | None) -> None:
        """Hold a server out, or end that; once undoes it, however often it was said."""
        if server is not None:
            server.back = not event.out
        if event.out:
            self.cordoned.add(event.server)
        else:
            self.cordoned.discard(event.server)

    def told(self, event: face.Learned, servers: Iterable[Server], now: float) -> None:
        """Take over what the process before us has learned, or keep it until its servers are seen."""
        self._left |= {item.server: item for item in event.evidence}
        for server in servers:
            self.remember(server, now)

    def remember(self, server: Server, now: float) -> None:
        """Take over what was left on a server; on one that restarted since, it says nothing."""
        item = self._left.pop(server.member.server, None)
        if item is not None and item.up_since_ms == server.member.up_since_ms:
            server.served, server.busy, server.seen = item.served, item.busy_ms, now
            server.last_sent = max(server.last_sent, now - item.unsent_ms)

    def usable(self, servers: Iterable[Server]) -> list[Server]:
        """Those that may be sent to, in the order of our ranks."""
        able = [s for s in servers if s.fit and s.member.server not in self.cordoned]
        return sorted(able, key=lambda s: s.rank)

    def excluded(self, kept_to: Iterable[Server]) -> frozenset[str]:
        """The listed servers that get no calls now: cordoned, draining, or not among those kept to."""
        return frozenset(self.listed) - {s.member.server for s in kept_to}
