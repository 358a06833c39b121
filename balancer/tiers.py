"""The upstreams by service and phase (tiers), and the selection of an upstream for a call.

Upstreams are drawn by `umberworks.choice`. Before the draw the ready set is filtered here: by state, phase,
silence, outlier ejection (`balancer.outlier_detection`), cached prefixes and zone.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Callable, Collection, Iterable, Mapping

from balancer.cold_share import ColdShare
from balancer.outlier_detection import OutlierDetector
from balancer.peer import Peer
from balancer.prefix_index import PrefixIndex
from balancer.prompt import Prompt
from balancer.versions import WantedVersions, with_wanted_versions
from config.configuration import Upstream
from umberworks import interface as face
from umberworks.choice import ServerSelector

PREFILL, DECODE = "prefill", "decode"
DEFAULT_PREFILL_S_PER_TOKEN = 0.000025  # until it has been measured
DECODE_PREFILL_FACTOR = 10.0  # cost of prefill on a decode upstream relative to a prefill upstream
REREAD_WEIGHT = 10  # weight of a shared token that another upstream has cached already
TOKEN_TOLERANCE = 2_000  # upstreams with more pending tokens than the least loaded plus this are not drawn
MANY_UPSTREAMS = 16  # with more upstreams of a phase, those with idle connections are preferred
CALL_TOLERANCE_FACTOR, CALL_TOLERANCE = 1.25, 3  # the same as TOKEN_TOLERANCE, for the calls of runs

_SELECTOR_SETTINGS = face.Settings(classes=(face.RequestClass("any", 1.0, 1.0, face.Effect.ONCE),))


class Group:
    """The ready upstreams of one service and phase."""

    def __init__(self, rng: random.Random) -> None:
        self.selector = ServerSelector(_SELECTOR_SETTINGS, rng)
        self.peers: list[Peer] = []

    def update(self, peers: list[Peer], now: float) -> None:
        """Replace the upstreams of the group."""
        if [p.entry.id for p in peers] != [p.entry.id for p in self.peers]:
            self.peers = peers
            self.selector.set_ready([p.server for p in peers], now * 1000)


class Tiers:
    """All upstreams of the list, by service and phase."""

    def __init__(
        self,
        rng: random.Random,
        can_connect: Callable[[str], bool],
        zone: str = "",
        has_idle: Callable[[str], bool] | None = None,
        cold_share: ColdShare | None = None,
    ) -> None:
        """`can_connect`: whether a call to an upstream would get a connection.

        `has_idle`: whether there is an idle connection to an upstream; new ones are expensive. `cold_share`:
        this balancer's share of cold upstreams' capacity; None: unlimited.
        """
        self._rng, self._can_connect = rng, can_connect
        self._has_idle = has_idle or can_connect
        self.outliers = OutlierDetector(zone, self._group_size)
        self._cold_share = cold_share
        self.other_loads: Callable[[str], tuple[int, int]] = _no_load  # others' calls and pending tokens
        self._peers: dict[str, Peer] = {}
        self._groups: dict[tuple[str, str], Group] = {}
        self._entries: tuple[Upstream, ...] | None = None
        self._versions: Mapping[str, WantedVersions] = {}  # of models' weights, by service
        self.prefix_index = PrefixIndex()

    def update(self, entries: tuple[Upstream, ...], now: float) -> bool:
        """Apply a whole list; return whether it differs. Draining and missing upstreams get nothing new."""
        if entries == self._entries:
            return False
        self._entries = entries
        if self._cold_share is not None:
            self._cold_share.on_list_changed()
        known, self._peers = self._peers, {}
        emptied = set(known)
        for entry in entries:
            peer = known.get(entry.id)
            if peer is None or peer.entry.addr != entry.addr or peer.entry.svc != entry.svc:
                peer = Peer(entry, now, self._rng.random())
            elif peer.entry.phase != entry.phase:
                peer.server.reset_evidence(now * 1000)
                peer.blocked_until = 0.0
            else:
                emptied.discard(entry.id)
            if peer is not known.get(entry.id) or peer.entry.cold_left_ms != entry.cold_left_ms:
                peer.set_cold(now, entry.cold_left_ms)
            peer.entry = entry
            self._peers[entry.id] = peer
        self._regroup(now)
        self.prefix_index.remove_upstreams(emptied)
        self.outliers.keep_only(self._peers)
        self.outliers.zones = len({entry.zone for entry in entries})
        return True

    def set_wanted_versions(self, versions: Mapping[str, WantedVersions], now: float) -> None:
        """Set the versions of models' weights that services should run, as far as upstreams have them."""
        if versions != self._versions:
            self._versions = versions
            self._regroup(now)

    def _regroup(self, now: float) -> None:
        """Rebuild the ready sets."""
        ready: dict[tuple[str, str], list[Peer]] = {}
        for peer in self._peers.values():
            if peer.entry.state == "up":
                ready.setdefault((peer.entry.svc, peer.entry.phase), []).append(peer)
        ready = with_wanted_versions(ready, self._versions)
        for key in self._groups.keys() | ready.keys():
            if key not in self._groups:
                self._groups[key] = Group(self._rng)
            self._groups[key].update(sorted(ready.get(key, []), key=lambda p: p.entry.id), now)

    def _group_size(self, key: tuple[str, str]) -> int:
        group = self._groups.get(key)
        return len(group.peers) if group is not None else 0

    def addresses(self) -> Iterable[tuple[str, str]]:
        """Return the id and address of each listed upstream, including draining ones."""
        return ((p.entry.id, p.entry.addr) for p in self._peers.values())

    def peer(self, name: str) -> Peer | None:
        """Return the upstream with this id, if it is listed."""
        return self._peers.get(name)

    def uncached_tokens(self, peer: Peer, prompt: Prompt) -> int:
        """Return how many tokens of a prompt an upstream would have to prefill."""
        cached = peer.entry.id in self.prefix_index.holders(prompt.prefix)
        return prompt.tokens - prompt.shared_tokens if cached else prompt.tokens

    def has_ready(self) -> bool:
        """Return whether any upstream is ready."""
        return any(group.peers for group in self._groups.values())

    def is_split(self, service: str) -> bool:
        """Return whether the service has upstreams for both prefill and decode."""
        return self._has_phase(service, PREFILL) and self._has_phase(service, DECODE)

    def _has_phase(self, service: str, phase: str) -> bool:
        group = self._groups.get((service, phase))
        return group is not None and bool(group.peers)

    def pick_prefill(self, service: str, prompt: Prompt, avoid: Collection[str], now: float) -> Peer | None:
        """Select a prefill upstream by the tokens to prefill there, preferring the prefix's home."""
        group = self._groups.get((service, PREFILL))
        pool = self._eligible(group, avoid, now)
        if group is None or not pool:
            return None
        return self._draw(group, self._prefer_connected(group, self._cheapest(pool, prompt)), now)

    def pick_decode(
        self,
        service: str,
        prompt: Prompt | None,
        zone: str,
        avoid: Collection[str],
        now: float,
        repeatable: bool = True,
    ) -> Peer | None:
        """Select an upstream for a run: in `zone`, which has the KV cache, or one that prefills `prompt` too.

        `repeatable`: whether the request may go to an upstream on probation after an ejection.
        """
        group = self._groups.get((service, DECODE))
        if group is None or not group.peers:
            group, prompt = self._groups.get((service, "")), None
        pool = self._eligible(group, avoid, now, repeatable)
        if group is None or not pool:
            return None
        if prompt is not None and prompt.tokens:
            return self._draw(group, self._cheapest(pool, prompt), now)
        tokens = [self.pending_tokens(p) for p in pool]  # prefill on a decode upstream delays its runs
        pool = [p for p, load in zip(pool, tokens, strict=True) if load <= min(tokens) + TOKEN_TOLERANCE]
        calls = [p.server.in_flight + self.other_loads(p.entry.id)[0] for p in pool]
        limit = min(calls) * CALL_TOLERANCE_FACTOR + CALL_TOLERANCE
        pool = [p for p, load in zip(pool, calls, strict=True) if load <= limit]
        pool = [p for p in pool if p.entry.zone == zone] or pool
        return self._draw(group, self._prefer_connected(group, pool), now)

    def _prefer_connected(self, group: Group, pool: list[Peer]) -> list[Peer]:
        """Return the upstreams of a large group's pool that have idle connections, if any.

        The pool is about equally loaded. So each of many balancers uses a few upstreams, and others only as
        far as those are busier, gone or ejected. In a small group a balancer has enough calls for each
        upstream.
        """
        if len(group.peers) <= MANY_UPSTREAMS:
            return pool
        return [p for p in pool if self._has_idle(p.entry.id)] or pool

    def _cheapest(self, pool: list[Peer], prompt: Prompt) -> list[Peer]:
        """Return the upstreams of a non-empty pool that prefill a prompt soonest, or the prefix's home."""
        if len(pool) == 1:
            return pool
        costs, home = self._prefill_costs(pool, prompt)
        limit = min(costs) + TOKEN_TOLERANCE
        cheap = [p for p, cost in zip(pool, costs, strict=True) if cost <= limit]
        return [home] if home in cheap else cheap

    def _prefill_costs(self, pool: list[Peer], prompt: Prompt) -> tuple[list[float], Peer | None]:
        """Return for each upstream the weighted tokens until a prompt is prefilled, and its prefix's home.

        A prefix that no upstream has cached has its home by rendezvous hashing, which all balancers agree on.
        """
        home, holders = None, self.prefix_index.holders(prompt.prefix)
        if prompt.prefix and pool and not any(p.entry.id in holders for p in pool):
            home = max(pool, key=lambda p: _rendezvous_weight(prompt.prefix, p.id_bytes))
        own = prompt.tokens - prompt.shared_tokens
        costs = []
        for peer in pool:
            shared = (
                0
                if peer.entry.id in holders
                else prompt.shared_tokens * (1 if peer is home else REREAD_WEIGHT)
            )
            costs.append(float(self.pending_tokens(peer) + own + shared))
        return costs, home

    def prefill_cost(self, service: str, phase: str, prompt: Prompt, now: float) -> float:
        """Return the lowest cost of prefill in a tier, in weighted tokens; infinite without an upstream."""
        pool = self._eligible(self._groups.get((service, phase)), (), now)
        return min(self._prefill_costs(pool, prompt)[0], default=math.inf)

    # ---- expected waiting times

    def pending_tokens(self, peer: Peer) -> int:
        """Return the prompt tokens to be prefilled on an upstream for all balancers, as far as known."""
        return peer.pending_tokens + self.other_loads(peer.entry.id)[1]

    def prefill_wait_s(self, service: str, now: float) -> float:
        """Return the seconds until a prefill upstream could begin a new prompt; infinite without one."""
        pool = self._eligible(self._groups.get((service, PREFILL)), (), now)
        return min(
            (self.pending_tokens(p) * (p.prefill_s_per_token or DEFAULT_PREFILL_S_PER_TOKEN) for p in pool),
            default=math.inf,
        )

    def decode_wait_s(self, service: str, now: float) -> float:
        """Return the seconds until a decode upstream could begin to prefill a prompt by itself."""
        pool = self._eligible(self._groups.get((service, DECODE)), (), now)
        return (
            min((self.pending_tokens(p) for p in pool), default=math.inf)
            * DEFAULT_PREFILL_S_PER_TOKEN
            * DECODE_PREFILL_FACTOR
        )

    def _eligible(
        self, group: Group | None, avoid: Collection[str], now: float, repeatable: bool = True
    ) -> list[Peer]:
        """Return a group's upstreams that are neither avoided, ejected nor blocked; blocked ones if need be.

        A cold upstream outside this balancer's share is left out even if there is no other: it has just
        started and is empty, so that every balancer would select it and overload it.
        """
        if group is None:
            return []
        pool = [p for p in group.peers if p.entry.id not in avoid and self._can_connect(p.entry.id)]
        if (share := self._cold_share) is not None:
            pool = [p for p in pool if now >= p.cold_until or share.allows(p, now)]
        answering = [p for p in pool if not p.is_silent]
        if not answering:
            return pool
        answering = self.outliers.filter(answering, repeatable, now)
        return [p for p in answering if p.blocked_until <= now] or answering

    def _draw(self, group: Group, pool: list[Peer], now: float) -> Peer:
        if len(pool) == 1:
            return pool[0]
        median = group.selector.refresh_median(now * 1000)
        chosen = group.selector.pick([p.server for p in pool], median, now * 1000)
        return next(p for p in pool if p.server is chosen)

    def loads(self) -> dict[str, tuple[int, int]]:
        """Return this balancer's calls and pending prompt tokens by upstream, without idle upstreams."""
        return {
            p.entry.id: (p.server.in_flight, p.pending_tokens)
            for p in self._peers.values()
            if p.server.in_flight > 0 or p.pending_tokens > 0
        }

    def in_flight(self) -> int:
        """Return the calls in flight to listed upstreams."""
        return sum(p.server.in_flight for p in self._peers.values())


def _no_load(upstream: str) -> tuple[int, int]:
    return 0, 0


def _rendezvous_weight(prefix: bytes, upstream: bytes) -> bytes:
    """Return an upstream's weight for a prefix; the highest makes its home, whatever else is listed."""
    return hashlib.blake2b(prefix + b"@" + upstream, digest_size=8).digest()
