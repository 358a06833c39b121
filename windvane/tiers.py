"""The upstreams of the list, each tier's ready ones, and the choice among them.

The rule is `umberworks.choice`; here the ready set is filtered before the draw: by state, part, silence, home
and zone.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Collection, Iterable

from screen.configuration import Upstream
from umberworks import interface as face
from umberworks.choice import Choice
from umberworks.members import Server
from windvane.prompt import Prompt

PREFILL, DECODE = "prefill", "decode"
UNREACHED_S = 1.0  # so long nothing is sent to an upstream that could not be reached; doubled each time
UNREACHED_MOST_S = 4.0
MISPLACED_S = 0.5  # the same where it says that it plays another part
FULL_S = 0.1  # the same where it had no place
HOME_SPARE_TOKENS = 16_000  # of ours at the home above the least of the others, and all may be drawn
ZONE_SPARE = 2  # our calls at the same zone's above the least of the others, and all may be drawn

# The choice asks its settings for what cold servers can bear; the list's `cold_left_ms` is not held against them.
_RULE = face.Settings(classes=(face.RequestClass("any", 1.0, 1.0, face.Effect.ONCE),))


class Peer:
    """One upstream: its list entry, and what this balancer knows of it. Times in seconds on the steady clock."""

    __slots__ = ("blocked_until", "entry", "home", "misses", "server", "tokens")

    def __init__(self, entry: Upstream, now: float, rank: float) -> None:
        self.entry = entry
        self.server = Server(face.Member(entry.id, zone=entry.zone), now * 1000, rank)
        self.tokens = 0  # of prompts that are being read there for us
        self.blocked_until, self.misses = 0.0, 0
        self.home = entry.id.encode()

    def sent(self, now: float, tokens: int) -> None:
        """A call goes out to it."""
        self.server.catch_up(now * 1000)
        self.server.in_flight += 1
        self.server.last_sent = now * 1000
        self.tokens += tokens

    def ended(self, now: float, tokens: int, served: bool) -> None:
        """A call there is over; one that did not run adds nothing to its rate."""
        self.server.catch_up(now * 1000)
        self.server.in_flight -= 1
        self.tokens -= tokens
        if served:
            self.server.served += 1
            self.heard()

    def heard(self) -> None:
        """It has answered."""
        self.misses, self.blocked_until = 0, 0.0

    def unreached(self, now: float) -> None:
        """No connection came up, or it went dark."""
        self.blocked_until = now + min(UNREACHED_S * 2**self.misses, UNREACHED_MOST_S)
        self.misses += 1

    def avoid(self, now: float, span: float) -> None:
        """Send nothing there for so long."""
        self.blocked_until = max(self.blocked_until, now + span)


class Group:
    """The ready upstreams of one service and part."""

    def __init__(self, chance: random.Random) -> None:
        self.choice = Choice(_RULE, chance)
        self.peers: list[Peer] = []

    def take(self, peers: list[Peer], now: float) -> None:
        """Take over which they are."""
        if [p.entry.id for p in peers] != [p.entry.id for p in self.peers]:
            self.peers = peers
            self.choice.take([p.server for p in peers], now * 1000)


class Tiers:
    """All upstreams of the list, by service and part."""

    def __init__(self, chance: random.Random, has_place: Callable[[str], bool]) -> None:
        self._chance, self._has_place = chance, has_place
        self._peers: dict[str, Peer] = {}
        self._groups: dict[tuple[str, str], Group] = {}
        self._entries: tuple[Upstream, ...] | None = None

    def take(self, entries: tuple[Upstream, ...], now: float) -> bool:
        """Take over the whole list; whether it has changed. Draining and missing ones get nothing new."""
        if entries == self._entries:
            return False
        self._entries = entries
        known, self._peers = self._peers, {}
        ready: dict[tuple[str, str], list[Peer]] = {}
        for entry in entries:
            peer = known.get(entry.id)
            if peer is None or peer.entry.addr != entry.addr or peer.entry.svc != entry.svc:
                peer = Peer(entry, now, self._chance.random())
            elif peer.entry.phase != entry.phase:
                peer.server.forget(now * 1000)
                peer.blocked_until = 0.0
            peer.entry = entry
            self._peers[entry.id] = peer
            if entry.state == "up":
                ready.setdefault((entry.svc, entry.phase), []).append(peer)
        for key in self._groups.keys() | ready.keys():
            if key not in self._groups:
                self._groups[key] = Group(self._chance)
            self._groups[key].take(sorted(ready.get(key, []), key=lambda p: p.entry.id), now)
        return True

    def addresses(self) -> Iterable[tuple[str, str]]:
        """Id and address of each upstream of the list, draining ones too."""
        return ((p.entry.id, p.entry.addr) for p in self._peers.values())

    def peer(self, name: str) -> Peer | None:
        """The upstream of this id, if it is on the list."""
        return self._peers.get(name)

    def has_any(self) -> bool:
        """Whether any upstream is ready."""
        return any(group.peers for group in self._groups.values())

    def is_split(self, service: str) -> bool:
        """Whether requests for this service are read first."""
        return self._is_there(service, PREFILL) and self._is_there(service, DECODE)

    def _is_there(self, service: str, part: str) -> bool:
        group = self._groups.get((service, part))
        return group is not None and bool(group.peers)

    def pick_reader(self, service: str, prompt: Prompt, avoid: Collection[str], now: float) -> Peer | None:
        """The prefill upstream that reads: the subject's home unless that has clearly more of our work."""
        group = self._groups.get((service, PREFILL))
        able = self._able(group, avoid, now)
        if group is None or not able:
            return None
        if prompt.subject and len(able) > 1:
            home = max(able, key=lambda p: _weight(prompt.subject, p.home))
            least = min(p.tokens for p in able)
            if home.tokens - least <= HOME_SPARE_TOKENS:
                return home
        return self._draw(group, able, now)

    def pick_runner(self, service: str, zone: str, avoid: Collection[str], now: float) -> Peer | None:
        """The upstream that runs: of `zone`, where the memory is, unless those are clearly busier."""
        group = self._groups.get((service, DECODE))
        if group is None or not group.peers:
            group = self._groups.get((service, ""))
        able = self._able(group, avoid, now)
        if group is None or not able:
            return None
        near = [p for p in able if p.entry.zone == zone]
        if near and len(near) < len(able):
            least = min(p.server.in_flight for p in able)
            if min(p.server.in_flight for p in near) - least <= ZONE_SPARE:
                able = near
        return self._draw(group, able, now)

    def _able(self, group: Group | None, avoid: Collection[str], now: float) -> list[Peer]:
        """Those of its ready ones that are not avoided or blocked; blocked ones rather than none."""
        if group is None:
            return []
        able = [p for p in group.peers if p.entry.id not in avoid and self._has_place(p.entry.id)]
        return [p for p in able if p.blocked_until <= now] or able

    def _draw(self, group: Group, able: list[Peer], now: float) -> Peer:
        if len(able) == 1:
            return able[0]
        median = group.choice.bring_up(now * 1000)
        chosen = group.choice.pick([p.server for p in able], median, now * 1000)
        return next(p for p in able if p.server is chosen)

    def in_flight(self) -> int:
        """Calls that are out to upstreams of the list."""
        return sum(p.server.in_flight for p in self._peers.values())


def _weight(subject: bytes, upstream: bytes) -> bytes:
    """Rendezvous hashing: a subject's home is the upstream of the highest weight, whoever else is there."""
    return hashlib.blake2b(subject + b"@" + upstream, digest_size=8).digest()
