"""A balancer in simulated time: the product's data plane and load aggregation without sockets."""

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
from mastturn.engines.demand import ClientRequest
from mastturn.engines.engine import Engine
from mastturn.engines.jobs import Counters, Job
from mastturn.engines.wire import HEAD_BYTES, Network, SimulatedUpstreams, stage_headers
from mastturnd.balancing import HOLDINGS_REPORT_DELAY_S
from passpost.attempt import OutgoingRequest

MakeTiers = Callable[[random.Random, Callable[[str], bool]], Tiers]


PACKET_BYTES, HOLDING_BYTES = 60, 30  # of a dissemination message without its entries; of one entry


def message_bytes(message: Any) -> int:
    """Approximate size of a dissemination message, in bytes."""
    if isinstance(message, LoadUpdate | LoadReport):
        return PACKET_BYTES + ENTRY_BYTES * len(message.loads)
    return PACKET_BYTES + HOLDING_BYTES * len(message.holdings)


class DataPlane(Balancer):
    """The product's data plane on simulated connections, with a replaceable upstream chooser."""

    def __init__(self, settings: Settings, seed: int, upstreams: Any, tiers: MakeTiers) -> None:
        super().__init__(settings, seed)
        self.upstreams = upstreams
        self.tiers = tiers(self._rng, upstreams.can_send)
        self.health = UpstreamHealth(self.tiers, upstreams)


class Node:
    """A balancer process: its data plane, its parent and its children in the relay tree."""

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
        counters: Counters,
    ) -> None:
        self._counters = counters
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
        self._waiting_clients: list[Callable[[], None]] = []
        self.parent: Node | ControlPrimary | None = None
        self.children: list[Node] = []
        self.handshakes = 0
        self._entries: tuple[Upstream, ...] = ()
        self._start_process()

    def _start_process(self) -> None:
        self._client_requests: dict[bytes, ClientRequest] = {}
        self.upstreams = SimulatedUpstreams(
            self.zone, self.network, self._handshake_ms, self._job, self._request_bytes, self._counters
        )
        self.plane = DataPlane(self._settings, self._seed, self.upstreams, self._tiers)
        self._peer_loads = PeerLoads()
        self.loads = LoadSum(self._own_loads, self._on_loads_summed)
        self._reported: Loads = {}
        self.plane.set_other_loads(self._peer_loads.of)
        self.plane.watch_loads(self.loads.schedule)
        self.plane.watch_cached_prefixes(self._on_prefix_cached)
        self.holdings = Holdings()
        self._unsent_holdings: list[CachedPrefix] = []

    # ---- clients

    def accept_request(
        self, client_request: ClientRequest, name: bytes, time_left_s: float, after: int | None, client: Any
    ) -> int | None:
        """Accept a complete request; returns its number, or None if it can't be routed now."""
        if not self.up or not self.plane.is_ready():
            return None
        route = self._routes.get(client_request.kind.name)
        if route is None:
            return None
        self._client_requests[name] = client_request
        shared = sum(t for _, t in client_request.chain)
        subject = client_request.chain[-1][0].encode() if client_request.chain else b""
        call = RoutedCall(
            route.name,
            name,
            None,
            time_left_s,
            b"POST",
            b"/",
            [],
            route,
            Prompt(client_request.tokens, shared, subject),
            str(after).encode() if after is not None else None,
        )
        outgoing = UpstreamRequest(b"", b"", None, 0.0, name)
        self._clients[name] = client
        return self.plane.take_up(call, min(time_left_s, route.deadline_ms / 1000), outgoing, client, 0.0)

    def is_starting(self) -> bool:
        """Whether the process listens but does not accept requests yet."""
        return self.starting

    def call_when_ready(self, callback: Callable[[], None]) -> None:
        """Call back once the process accepts requests."""
        self._waiting_clients.append(callback)

    def listen(self) -> None:
        """Mark the process as started; clients wait in the backlog of its listening socket."""
        self.starting = True

    def disconnect_client(self, number: int) -> None:
        """Handle the disconnection of a client."""
        if self.up:
            self.plane.on_client_disconnected(number)

    def _job(self, request: UpstreamRequest, caller: Any, now: float) -> Job:
        headers = stage_headers(request)
        client_request = self._client_requests[request.request_id]
        handle, source = "", None
        if (kv_from := headers.get(b"Kv-From")) is not None:
            address, _, handle = kv_from.decode().partition("/")
            source = self._engine_at(address)
        return Job(
            request.request_id.decode(),
            caller,
            client_request.chain,
            client_request.own_tokens,
            client_request.pieces,
            int(headers.get(b"Priority", b"5")),
            request.deadline,
            b"Mastturn-Stage" in headers,
            events_sent=int(headers.get(b"Last-Event-Id", b"0")),
            handle=handle,
            source=source,
        )

    def _request_bytes(self, request: OutgoingRequest) -> float:
        """Size of a request, in bytes."""
        client_request = (
            self._client_requests.get(request.request_id) if isinstance(request, UpstreamRequest) else None
        )
        return HEAD_BYTES + (client_request.kind.req_bytes.mean if client_request is not None else 0.0)

    # ---- control

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration into force."""
        self._routes = {r.name: r for r in configuration.routes}
        self._clients: dict[bytes, Any] = {}
        self.plane.configure(configuration)
        self.plane.allow_ready(True)

    def count(self, balancers: int) -> None:
        """Set the number of live balancers."""
        self.plane.count_balancers(balancers)

    def list_upstreams(self, entries: tuple[Upstream, ...]) -> None:
        """Apply the current list of upstreams."""
        if not self.up:
            return
        self._entries = entries
        self.upstreams.set_engines(
            {e.id: engine for e in entries if (engine := self._engine_at(e.addr)) is not None}
        )
        self.holdings.keep_only({e.id for e in entries})
        self.plane.list_upstreams(entries)

    def kill(self) -> None:
        """Kill the process; all its connections break."""
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
        """Start a new process in place of the killed one."""
        self.up = True
        self._start_process()
        self.configure(configuration)
        self.count(balancers)
        self.list_upstreams(entries)
        self.starting = False
        waiting, self._waiting_clients = self._waiting_clients, []
        for callback in waiting:
            callback()

    def all_handshakes(self) -> int:
        """Number of connections opened to upstreams by all its processes."""
        return self.handshakes + (self.upstreams.handshakes if self.up else 0)

    def clear_loads(self) -> None:
        """Drop the loads reported by other balancers after a long gap in dissemination."""
        self._peer_loads.clear()

    # ---- dissemination

    def one_way_to_s(self, other: Node | ControlPrimary) -> float:
        """One-way network latency, in seconds."""
        return self.network.one_way_s(self.zone, other.zone)

    def _own_loads(self) -> Loads:
        self._reported = self.plane.loads()
        return self._reported

    def _on_loads_summed(self, loads: tuple[UpstreamLoad, ...]) -> None:
        self._send_to_parent(LoadReport(loads))

    def _send_to_parent(self, message: Any) -> None:
        parent = self.parent
        if parent is not None and self.up:
            self._counters.cross_zone_bytes += message_bytes(message) * (parent.zone != self.zone)
            asyncio.get_running_loop().call_later(
                self.one_way_to_s(parent), parent.on_child_message, self, message
            )

    def _send_to_children(self, message: Any) -> None:
        for child in self.children:
            self._counters.cross_zone_bytes += message_bytes(message) * (child.zone != self.zone)
            asyncio.get_running_loop().call_later(self.one_way_to_s(child), child.on_parent_message, message)

    def on_child_message(self, child: Node, message: Any) -> None:
        """Handle a message from a child in the relay tree."""
        if not self.up:
            return
        if isinstance(message, LoadReport):
            self.loads.report(child, message)
        elif isinstance(message, CachedPrefixReport):
            self._queue_holdings(self._add_holdings(message.holdings))

    def on_parent_message(self, message: Any) -> None:
        """Handle a message from the parent in the relay tree."""
        if not self.up:
            return
        if isinstance(message, LoadUpdate):
            self._peer_loads.take(message, self._reported)
            self._send_to_children(message)
        elif isinstance(message, CachedPrefixUpdate):
            self._add_holdings(message.holdings)

    def _add_holdings(self, holdings: tuple[CachedPrefix, ...]) -> tuple[CachedPrefix, ...]:
        new = self.holdings.add(holdings)
        for holding in new:
            self.plane.add_cached_prefix(holding.subject, holding.upstream)
        if new:
            self._send_to_children(CachedPrefixUpdate(new))
        return new

    def _on_prefix_cached(self, subject: bytes, upstream: str) -> None:
        self._queue_holdings(self.holdings.add((CachedPrefix(subject, upstream),), first_hand=True))

    def _queue_holdings(self, new: tuple[CachedPrefix, ...]) -> None:
        if new and not self._unsent_holdings:
            asyncio.get_running_loop().call_later(HOLDINGS_REPORT_DELAY_S, self._send_holdings)
        self._unsent_holdings += new

    def _send_holdings(self) -> None:
        unsent, self._unsent_holdings = tuple(self._unsent_holdings), []
        self._send_to_parent(CachedPrefixReport(unsent))
        self._send_to_children(CachedPrefixUpdate(unsent))


class ControlPrimary:
    """The control primary, root of the relay tree: sums of load and holders of cached prefixes."""

    def __init__(self, zone: str, network: Network, counters: Counters) -> None:
        self.zone, self._network, self._counters = zone, network, counters
        self.children: list[Node] = []
        self.silent_until = 0.0
        self._number = 0
        self.reset()

    def reset(self) -> None:
        """Discard all state."""
        self.loads = LoadSum(dict, self._on_loads_summed)
        self.loaded_by: dict[str, tuple[int, int]] = {}
        self.holdings = Holdings()

    def on_child_message(self, child: Node, message: Any) -> None:
        """Handle a message from a child in the relay tree."""
        if isinstance(message, LoadReport):
            self.loads.report(child, message)
        elif isinstance(message, CachedPrefixReport) and (new := self.holdings.add(message.holdings)):
            self._send_to_children(CachedPrefixUpdate(new))

    def _on_loads_summed(self, loads: tuple[UpstreamLoad, ...]) -> None:
        self.loaded_by = {e.upstream: (e.calls, e.tokens) for e in loads}
        self._number += 1
        self._send_to_children(LoadUpdate(1, self._number, loads))

    def _send_to_children(self, message: Any) -> None:
        loop = asyncio.get_running_loop()
        for child in self.children if loop.time() >= self.silent_until else ():
            self._counters.cross_zone_bytes += message_bytes(message) * (child.zone != self.zone)
            loop.call_later(self._network.one_way_s(self.zone, child.zone), child.on_parent_message, message)
