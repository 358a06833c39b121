"""One balancer in simulated time: the fleet's own data plane and sums of load, without sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from balancer.balancer import Balancer
from balancer.ingress import RoutedCall
from balancer.prompt import Prompt
from balancer.tiers import Tiers
from balancer.upstream_health import UpstreamHealth
from balancer.upstream_protocol import UpstreamRequest
from config.configuration import Configuration, Upstream
from config.settings import Bounds, CloudApi, Limits, Settings
from dissemination.cached_prefixes import Holdings
from dissemination.load_steps import Loads
from dissemination.loads import ENTRY_BYTES, LoadSum, PeerLoads
from dissemination.messages import (
    CachedPrefix,
    CachedPrefixReport,
    CachedPrefixUpdate,
    LoadReport,
    LoadUpdate,
    UpstreamLoad,
)
from mastturn.engines.demand import Asked
from mastturn.engines.engine import Engine
from mastturn.engines.jobs import Figures, Job
from mastturn.engines.upstreams import HEAD_BYTES, Network, SimulatedUpstreams, extra
from mastturnd.balancing import HOLDINGS_REPORT_DELAY_S
from passpost.attempt import OutgoingRequest

MakeTiers = Callable[[random.Random, Callable[[str], bool]], Tiers]


PACKET_BYTES, HOLDING_BYTES = 60, 30  # of a message of news beside its entries; of an entry


def size_of(message: Any) -> int:
    """Bytes of a message of news, about."""
    if isinstance(message, LoadUpdate | LoadReport):
        return PACKET_BYTES + ENTRY_BYTES * len(message.loads)
    return PACKET_BYTES + HOLDING_BYTES * len(message.holdings)


class DataPlane(Balancer):
    """The real one, on simulated connections and with a chooser that can be replaced."""

    def __init__(self, settings: Settings, seed: int, upstreams: Any, tiers: MakeTiers) -> None:
        super().__init__(settings, seed)
        self.upstreams = upstreams
        self.tiers = tiers(self._rng, upstreams.can_send)
        self.health = UpstreamHealth(self.tiers, upstreams)


class Node:
    """A balancer of the fleet: its data plane, who tells it the news, and who hears them from it."""

    def __init__(
        self,
        name: str,
        zone: str,
        seed: int,
        network: Network,
        handshake_ms: float,
        slack: float,
        tiers: MakeTiers,
        engine_at: Callable[[str], Engine | None],
        figures: Figures,
    ) -> None:
        self._figures = figures
        self.name, self.zone, self.network, self._engine_at = name, zone, network, engine_at
        self._seed, self._handshake_ms, self._tiers = seed, handshake_ms, tiers
        self._settings = Settings(
            name,
            "10.0.0.1",
            zone,
            "edge",
            (1, 1),
            CloudApi("10.0.0.2:80"),
            zones={zone: ""},
            limits=Limits(max_fds=4100),
            bounds=Bounds(retry_slack=slack),
        )
        self.up, self.starting = True, False
        self._at_door: list[Callable[[], None]] = []
        self.parent: Node | Root | None = None
        self.children: list[Node] = []
        self.handshakes = 0
        self._entries: tuple[Upstream, ...] = ()
        self._begin()

    def _begin(self) -> None:
        self._asked: dict[bytes, Asked] = {}
        self.upstreams = SimulatedUpstreams(
            self.zone, self.network, self._handshake_ms, self._job, self._size_of, self._figures
        )
        self.plane = DataPlane(self._settings, self._seed, self.upstreams, self._tiers)
        self._others = PeerLoads()
        self.loads = LoadSum(self._own, self._loaded)
        self._reported: Loads = {}
        self.plane.set_other_loads(self._others.of)
        self.plane.watch_loads(self.loads.schedule)
        self.plane.watch_cached_prefixes(self._kept)
        self.holdings = Holdings()
        self._unsaid: list[CachedPrefix] = []

    # ---- clients

    def take(self, asked: Asked, name: bytes, left: float, after: int | None, client: Any) -> int | None:
        """A whole request is there."""
        if not self.up or not self.plane.is_ready():
            return None
        route = self._routes.get(asked.kind.name)
        if route is None:
            return None
        self._asked[name] = asked
        shared = sum(t for _, t in asked.chain)
        subject = asked.chain[-1][0].encode() if asked.chain else b""
        call = RoutedCall(
            route.name,
            name,
            None,
            left,
            b"POST",
            b"/",
            [],
            route,
            Prompt(asked.tokens, shared, subject),
            str(after).encode() if after is not None else None,
        )
        outgoing = UpstreamRequest(b"", b"", None, 0.0, name)
        self._clients[name] = client
        return self.plane.take_up(call, min(left, route.deadline_ms / 1000), outgoing, client, 0.0)

    def is_starting(self) -> bool:
        """Whether the process listens, and will take requests in a moment."""
        return self.starting

    def wait(self, then: Callable[[], None]) -> None:
        """Do that once it takes requests."""
        self._at_door.append(then)

    def listen(self) -> None:
        """The process has started: clients wait in its socket's queue."""
        self.starting = True

    def left(self, number: int) -> None:
        """A client has gone."""
        if self.up:
            self.plane.on_client_disconnected(number)

    def _job(self, request: UpstreamRequest, caller: Any, now: float) -> Job:
        lines = extra(request)
        asked = self._asked[request.request_id]
        handle, source = "", None
        if (told := lines.get(b"Kv-From")) is not None:
            address, _, handle = told.decode().partition("/")
            source = self._engine_at(address)
        return Job(
            request.request_id.decode(),
            caller,
            asked.chain,
            asked.own,
            asked.pieces,
            int(lines.get(b"Priority", b"5")),
            request.deadline,
            b"Mastturn-Stage" in lines,
            after=int(lines.get(b"Last-Event-Id", b"0")),
            handle=handle,
            source=source,
        )

    def _size_of(self, request: OutgoingRequest) -> float:
        """Bytes of a request."""
        asked = self._asked.get(request.request_id) if isinstance(request, UpstreamRequest) else None
        return HEAD_BYTES + (asked.kind.req_bytes.mean if asked is not None else 0.0)

    # ---- the control side

    def configure(self, configuration: Configuration) -> None:
        """A configuration is in force."""
        self._routes = {r.name: r for r in configuration.routes}
        self._clients: dict[bytes, Any] = {}
        self.plane.configure(configuration)
        self.plane.allow_ready(True)

    def count(self, balancers: int) -> None:
        """So many balancers live."""
        self.plane.count_balancers(balancers)

    def list_upstreams(self, entries: tuple[Upstream, ...]) -> None:
        """The list as it is told now."""
        if not self.up:
            return
        self._entries = entries
        self.upstreams.know({e.id: g for e in entries if (g := self._engine_at(e.addr)) is not None})
        self.holdings.keep_only({e.id for e in entries})
        self.plane.list_upstreams(entries)

    def kill(self) -> None:
        """The process ends, with all that is open."""
        self.up = False
        self.handshakes += self.upstreams.handshakes
        passages = list(self.plane._requests.values())
        clients, self._clients = self._clients, {}
        for passage in passages:
            passage.on_client_left()
        for client in clients.values():
            client.abort()
        if self.parent is not None:
            self.parent.loads.remove_child(self)

    def start(self, configuration: Configuration, entries: tuple[Upstream, ...], balancers: int) -> None:
        """A new process in its place."""
        self.up = True
        self._begin()
        self.configure(configuration)
        self.count(balancers)
        self.list_upstreams(entries)
        self.starting = False
        waiting, self._at_door = self._at_door, []
        for then in waiting:
            then()

    def all_handshakes(self) -> int:
        """New connections to upstreams, of all its processes."""
        return self.handshakes + (self.upstreams.handshakes if self.up else 0)

    def forget_loads(self) -> None:
        """No news for a while: what others have out is not known."""
        self._others.clear()

    # ---- news

    def way_to(self, other: Node | Root) -> float:
        """One way, in seconds."""
        return self.network.way(self.zone, other.zone)

    def _own(self) -> Loads:
        self._reported = self.plane.loads()
        return self._reported

    def _loaded(self, loads: tuple[UpstreamLoad, ...]) -> None:
        self._say(LoadReport(loads))

    def _say(self, message: Any) -> None:
        parent = self.parent
        if parent is not None and self.up:
            self._figures.crossed += size_of(message) * (parent.zone != self.zone)
            asyncio.get_running_loop().call_later(self.way_to(parent), parent.heard, self, message)

    def _tell(self, message: Any) -> None:
        for child in self.children:
            self._figures.crossed += size_of(message) * (child.zone != self.zone)
            asyncio.get_running_loop().call_later(self.way_to(child), child.told, message)

    def heard(self, child: Node, message: Any) -> None:
        """A word from below."""
        if not self.up:
            return
        if isinstance(message, LoadReport):
            self.loads.report(child, message)
        elif isinstance(message, CachedPrefixReport):
            self._say_later(self._hold(message.holdings))

    def told(self, message: Any) -> None:
        """News from above."""
        if not self.up:
            return
        if isinstance(message, LoadUpdate):
            self._others.take(message, self._reported)
            self._tell(message)
        elif isinstance(message, CachedPrefixUpdate):
            self._hold(message.holdings)

    def _hold(self, holdings: tuple[CachedPrefix, ...]) -> tuple[CachedPrefix, ...]:
        new = self.holdings.add(holdings)
        for holding in new:
            self.plane.add_cached_prefix(holding.subject, holding.upstream)
        if new:
            self._tell(CachedPrefixUpdate(new))
        return new

    def _kept(self, subject: bytes, upstream: str) -> None:
        self._say_later(self.holdings.add((CachedPrefix(subject, upstream),), first_hand=True))

    def _say_later(self, new: tuple[CachedPrefix, ...]) -> None:
        if new and not self._unsaid:
            asyncio.get_running_loop().call_later(HOLDINGS_REPORT_DELAY_S, self._say_holdings)
        self._unsaid += new

    def _say_holdings(self) -> None:
        unsaid, self._unsaid = tuple(self._unsaid), []
        self._say(CachedPrefixReport(unsaid))
        self._tell(CachedPrefixUpdate(unsaid))


class Root:
    """The primary of the control state: sums of load, what was read, and the list as it is told."""

    def __init__(self, zone: str, network: Network, figures: Figures) -> None:
        self.zone, self._network, self._figures = zone, network, figures
        self.children: list[Node] = []
        self.silent_until = 0.0
        self._number = 0
        self.begin_anew()

    def begin_anew(self) -> None:
        """Nothing is known yet."""
        self.loads = LoadSum(dict, self._loaded)
        self.loaded_by: dict[str, tuple[int, int]] = {}
        self.holdings = Holdings()

    def heard(self, child: Node, message: Any) -> None:
        """A word from below."""
        if isinstance(message, LoadReport):
            self.loads.report(child, message)
        elif isinstance(message, CachedPrefixReport) and (new := self.holdings.add(message.holdings)):
            self._tell(CachedPrefixUpdate(new))

    def _loaded(self, loads: tuple[UpstreamLoad, ...]) -> None:
        self.loaded_by = {e.upstream: (e.calls, e.tokens) for e in loads}
        self._number += 1
        self._tell(LoadUpdate(1, self._number, loads))

    def _tell(self, message: Any) -> None:
        loop = asyncio.get_running_loop()
        for child in self.children if loop.time() >= self.silent_until else ():
            self._figures.crossed += size_of(message) * (child.zone != self.zone)
            loop.call_later(self._network.way(self.zone, child.zone), child.told, message)
