"""The upstreams of the list, each tier's ready ones, and the choice among them.

The rule is `umberworks.choice`; here the ready set is filtered before the draw: by state, part, silence,
trust (`balancer.trust`), home and zone.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Callable, Collection, Iterable, Mapping

from balancer.cold_share import ColdShare
from balancer.kept import PrefixIndex
from balancer.peer import Peer
from balancer.prompt import Prompt
from balancer.trust import OutlierDetector
from balancer.versions import Wanted, with_wanted
from config.configuration import Upstream
from umberworks import interface as face
from umberworks.choice import ServerSelector

PREFILL, DECODE = "prefill", "decode"
PACE_S = 0.000025  # seconds for each token of a prompt, until it is learned
ITSELF = 10.0
AGAIN = 10  # times as much as others a shared token weighs that would be read again
SPARE_TOKENS = 2_000  # to be read above the least of the others: with more an upstream is not drawn
MANY = 16  # upstreams of a part: of more, a balancer keeps to those that it has connections to
BUSIER, SPARE_CALLS = 1.25, 3  # the same for calls, where they run

_RULE = face.Settings(classes=(face.RequestClass("any", 1.0, 1.0, face.Effect.ONCE),))


class Group:
    """The ready upstreams of one service and part."""

    def __init__(self, chance: random.Random) -> None:
        self.selector = ServerSelector(_RULE, chance)
        self.peers: list[Peer] = []

    def update(self, peers: list[Peer], now: float) -> None:
        """Take over which they are."""
        if [p.entry.id for p in peers] != [p.entry.id for p in self.peers]:
            self.peers = peers
            self.selector.take([p.server for p in peers], now * 1000)


class Tiers:
    """All upstreams of the list, by service and part."""

    def __init__(
        self,
        chance: random.Random,
        has_place: Callable[[str], bool],
        zone: str = "",
        has_idle: Callable[[str], bool] | None = None,
        cold_share: ColdShare | None = None,
    ) -> None:
        """`has_idle`: whether we have an idle connection there; a new one is dear.

        `cold_share`: our part of what cold upstreams bear; None: they bear all.
        """
        self._chance, self._has_place = chance, has_place
        self._has_idle = has_idle or has_place
        self.outliers = OutlierDetector(zone, self._size)
        self._cold_share = cold_share
        self.other_loads: Callable[[str], tuple[int, int]] = (
            _unknown  # others' calls and tokens at an upstream
        )
        self._peers: dict[str, Peer] = {}
        self._groups: dict[tuple[str, str], Group] = {}
        self._entries: tuple[Upstream, ...] | None = None
        self._versions: Mapping[str, Wanted] = {}  # of models' weights, by service
        self.prefix_index = PrefixIndex()

    def update(self, entries: tuple[Upstream, ...], now: float) -> bool:
        """Take over the whole list; whether it has changed. Draining and missing ones get nothing new."""
        if entries == self._entries:
            return False
        self._entries = entries
        if self._cold_share is not None:
            self._cold_share.forget()
        known, self._peers = self._peers, {}
        emptied = set(known)
        for entry in entries:
            peer = known.get(entry.id)
            if peer is None or peer.entry.addr != entry.addr or peer.entry.svc != entry.svc:
                peer = Peer(entry, now, self._chance.random())
            elif peer.entry.phase != entry.phase:
                peer.server.forget(now * 1000)
                peer.blocked_until = 0.0
            else:
                emptied.discard(entry.id)
            if peer is not known.get(entry.id) or peer.entry.cold_left_ms != entry.cold_left_ms:
                peer.set_cold(now, entry.cold_left_ms)
            peer.entry = entry
            self._peers[entry.id] = peer
        self._regroup(now)
        self.prefix_index.forget(emptied)
        self.outliers.keep_only(self._peers)
        self.outliers.zones = len({entry.zone for entry in entries})
        return True

    def set_wanted_versions(self, versions: Mapping[str, Wanted], now: float) -> None:
        """The versions of models' weights that services are to run, where upstreams hold them."""
        if versions != self._versions:
            self._versions = versions
            self._regroup(now)

    def _regroup(self, now: float) -> None:
        """Make the ready sets anew."""
        ready: dict[tuple[str, str], list[Peer]] = {}
        for peer in self._peers.values():
            if peer.entry.state == "up":
                ready.setdefault((peer.entry.svc, peer.entry.phase), []).append(peer)
        ready = with_wanted(ready, self._versions)
        for key in self._groups.keys() | ready.keys():
            if key not in self._groups:
                self._groups[key] = Group(self._chance)
            self._groups[key].update(sorted(ready.get(key, []), key=lambda p: p.entry.id), now)

    def _size(self, part: tuple[str, str]) -> int:
        group = self._groups.get(part)
        return len(group.peers) if group is not None else 0

    def addresses(self) -> Iterable[tuple[str, str]]:
        """Id and address of each upstream of the list, draining ones too."""
        return ((p.entry.id, p.entry.addr) for p in self._peers.values())

    def peer(self, name: str) -> Peer | None:
        """The upstream of this id, if it is on the list."""
        return self._peers.get(name)

    def missing(self, peer: Peer, prompt: Prompt) -> int:
        """How many tokens of a prompt an upstream would have to read."""
        has = peer.entry.id in self.prefix_index.holders(prompt.prefix)
        return prompt.tokens - prompt.shared_tokens if has else prompt.tokens

    def has_any(self) -> bool:
        """Whether any upstream is ready."""
        return any(group.peers for group in self._groups.values())

    def is_split(self, service: str) -> bool:
        """Whether requests for this service are read first."""
        return self._is_there(service, PREFILL) and self._is_there(service, DECODE)

    def _is_there(self, service: str, part: str) -> bool:
        group = self._groups.get((service, part))
        return group is not None and bool(group.peers)

    def pick_prefill(self, service: str, prompt: Prompt, avoid: Collection[str], now: float) -> Peer | None:
        """The prefill upstream that reads a prompt: where that takes least, the subject's home first."""
        group = self._groups.get((service, PREFILL))
        able = self._eligible(group, avoid, now)
        if group is None or not able:
            return None
        return self._draw(group, self._near(group, self._readers(able, prompt)), now)

    def pick_decode(
        self,
        service: str,
        prompt: Prompt | None,
        zone: str,
        avoid: Collection[str],
        now: float,
        repeatable: bool = True,
    ) -> Peer | None:
        """The upstream that runs: of `zone`, where the memory is; or one that reads `prompt` by itself.

        `repeatable`: the request may be tried at one whose trust is about to return.
        """
        group = self._groups.get((service, DECODE))
        if group is None or not group.peers:
            group, prompt = self._groups.get((service, "")), None
        able = self._eligible(group, avoid, now, repeatable)
        if group is None or not able:
            return None
        if prompt is not None and prompt.tokens:
            return self._draw(group, self._readers(able, prompt), now)
        tokens = [self.outstanding(p) for p in able]  # what is read there goes between the tokens of runs
        able = [p for p, held in zip(able, tokens, strict=True) if held <= min(tokens) + SPARE_TOKENS]
        calls = [p.server.in_flight + self.other_loads(p.entry.id)[0] for p in able]
        most = min(calls) * BUSIER + SPARE_CALLS
        able = [p for p, held in zip(able, calls, strict=True) if held <= most]
        able = [p for p in able if p.entry.zone == zone] or able
        return self._draw(group, self._near(group, able), now)

    def _near(self, group: Group, able: list[Peer]) -> list[Peer]:
        """Of many upstreams those of `able`, about equally loaded, that we have idle connections to.

        So each of many balancers keeps to a few, and goes to others as far as those are busier, gone or
        distrusted. Of few upstreams a balancer reaches all often enough.
        """
        if len(group.peers) <= MANY:
            return able
        return [p for p in able if self._has_idle(p.entry.id)] or able

    def _readers(self, able: list[Peer], prompt: Prompt) -> list[Peer]:
        """Those of `able` (not empty) that have read a prompt soonest, shared parts at home or where kept."""
        if len(able) == 1:
            return able
        costs, home = self._costs(able, prompt)
        most = min(costs) + SPARE_TOKENS
        free = [p for p, cost in zip(able, costs, strict=True) if cost <= most]
        return [home] if home in free else free

    def _costs(self, able: list[Peer], prompt: Prompt) -> tuple[list[float], Peer | None]:
        """Tokens to be read at each of `able` until a prompt is, shared ones weighed; its subject's home.

        A subject that nobody has read has its home where rendezvous hashing puts it: all read it there.
        """
        home, holders = None, self.prefix_index.holders(prompt.prefix)
        if prompt.prefix and able and not any(p.entry.id in holders for p in able):
            home = max(able, key=lambda p: _rendezvous_weight(prompt.prefix, p.id_bytes))
        own = prompt.tokens - prompt.shared_tokens
        costs = []
        for peer in able:
            shared = 0 if peer.entry.id in holders else prompt.shared_tokens * (1 if peer is home else AGAIN)
            costs.append(float(self.outstanding(peer) + own + shared))
        return costs, home

    def prefill_cost(self, service: str, part: str, prompt: Prompt, now: float) -> float:
        """The least of those costs in a tier, in tokens; infinite where nobody is there."""
        able = self._eligible(self._groups.get((service, part)), (), now)
        return min(self._costs(able, prompt)[0], default=math.inf)

    # ---- what it would take

    def outstanding(self, peer: Peer) -> int:
        """Prompt tokens that all balancers together wait for there, as far as we know."""
        return peer.pending_tokens + self.other_loads(peer.entry.id)[1]

    def prefill_wait_s(self, service: str, now: float) -> float:
        """Seconds until a prefill upstream begins to read what comes now; infinite where there is none."""
        able = self._eligible(self._groups.get((service, PREFILL)), (), now)
        return min((self.outstanding(p) * (p.prefill_s_per_token or PACE_S) for p in able), default=math.inf)

    def decode_wait_s(self, service: str, now: float) -> float:
        """Seconds until a decode upstream begins to read what comes now without its memory."""
        able = self._eligible(self._groups.get((service, DECODE)), (), now)
        return min((self.outstanding(p) for p in able), default=math.inf) * PACE_S * ITSELF

    def _eligible(
        self, group: Group | None, avoid: Collection[str], now: float, repeatable: bool = True
    ) -> list[Peer]:
        """Those of its ready ones that are trusted, not avoided or blocked; blocked ones rather than none.

        One that is cold and not ours to send to now is left out even where nobody else is there: an upstream
        that has just come is empty, so it would win the draw of every balancer and fall over.
        """
        if group is None:
            return []
        able = [p for p in group.peers if p.entry.id not in avoid and self._has_place(p.entry.id)]
        if (share := self._cold_share) is not None:
            able = [p for p in able if now >= p.cold_until or share.allows(p, now)]
        heard = [p for p in able if not p.is_silent]
        if not heard:
            return able
        heard = self.outliers.narrow(heard, repeatable, now)
        return [p for p in heard if p.blocked_until <= now] or heard

    def _draw(self, group: Group, able: list[Peer], now: float) -> Peer:
        if len(able) == 1:
            return able[0]
        median = group.selector.bring_up(now * 1000)
        chosen = group.selector.pick([p.server for p in able], median, now * 1000)
        return next(p for p in able if p.server is chosen)

    def loads(self) -> dict[str, tuple[int, int]]:
        """Our calls and outstanding prompt tokens, by upstream; those with none are left out."""
        return {
            p.entry.id: (p.server.in_flight, p.pending_tokens)
            for p in self._peers.values()
            if p.server.in_flight > 0 or p.pending_tokens > 0
        }

    def in_flight(self) -> int:
        """Calls that are out to upstreams of the list."""
        return sum(p.server.in_flight for p in self._peers.values())


def _unknown(upstream: str) -> tuple[int, int]:
    return 0, 0


def _rendezvous_weight(subject: bytes, upstream: bytes) -> bytes:
    """Rendezvous hashing: a subject's home is the upstream of the highest weight, whoever else is there."""
    return hashlib.blake2b(subject + b"@" + upstream, digest_size=8).digest()
