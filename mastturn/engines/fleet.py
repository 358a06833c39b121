"""Assembles a simulated day: engines, the platform's list, balancers, control primary and clients."""

from __future__ import annotations

import asyncio

from config.configuration import Configuration, Route, Service, Upstream
from control.orders import Outcome, Rejected, Taken
from dissemination.messages import PresentBalancer
from dissemination.relay_tree import parent_of
from mastturn.emulator.chance import Stream
from mastturn.engines.balancer import ControlPrimary, MakeTiers, Node
from mastturn.engines.clients import Client
from mastturn.engines.control import SERVICE, Control, Platform
from mastturn.engines.demand import ClientRequest
from mastturn.engines.deployment import Deployment
from mastturn.engines.engine import Engine
from mastturn.engines.jobs import Counters
from mastturn.engines.records import Record
from mastturn.engines.wire import Network

CRASHED_LISTED_S = 3.0  # a crashed upstream stays on the list this long
DRAIN_EXTRA_S = 1.0  # a drained upstream runs this long beyond its drain period
READINESS_POLL_S = 1.0  # interval of the platform's readiness checks
ELECTION_S = 0.8  # from a restart of all machines until the control primary sends anything
LISTEN_S = 0.15  # from the start of a balancer process until it listens
READY_AFTER_S = 0.15  # and from then until it has its state and accepts requests


class Fleet:
    """All simulated processes of a day."""

    def __init__(self, deployment: Deployment, seed: int, tiers: MakeTiers) -> None:
        self.deployment, service = deployment, deployment.service
        self._rng = Stream(seed, "fleet")
        self.network = Network(deployment.net.in_zone_ms, deployment.net.cross_zone_ms)
        self.counters = Counters()
        self.platform = Platform(deployment.discovery.lag_ms / 1000)
        self.engines: list[Engine] = []
        self._replaced = 0
        self._by_address: dict[str, Engine] = {}
        for index, (zone, speed, phase) in enumerate(deployment.upstreams()):
            engine = Engine(
                f"10.0.64.{index}:80", f"i-{seed}-{index}", zone, speed, phase, service, self.counters
            )
            self._add(engine)
        self.configuration = _configuration(deployment)
        core = next((m.zone for m in deployment.machines if m.kind == "core"), deployment.machines[0].zone)
        self.primary = ControlPrimary(core, self.network, self.counters)
        self.nodes = [
            Node(
                f"edge-{m.zone}-{i + 1}",
                m.zone,
                seed * 1000 + n * 10 + i,
                self.network,
                service.handshake_ms,
                deployment.bounds.budget_slack,
                tiers,
                self._by_address.get,
                self.counters,
            )
            for n, m in enumerate(m for m in deployment.machines if m.kind == "front")
            for i in range(m.count)
        ]
        self._build_relay_tree()
        self.control = Control(self.primary, self.platform, self.network, self.nodes)
        self._client_positions = {
            (t.zone, c): self._rng.uniform() for t in deployment.traffic for c in range(max(t.clients, 1))
        }
        self.records: list[Record] = []
        self._listed_ready = list(self.nodes)
        for node in self.nodes:
            node.configure(self.configuration)
            node.count(len(self.nodes))
        self.control.start()
        self._poll_readiness()

    def _build_relay_tree(self) -> None:
        """Build the relay tree with the balancers' own algorithm."""
        present = [PresentBalancer(n.name, n.name, n.zone) for n in self.nodes]
        by_name = {n.name: n for n in self.nodes}
        for node in self.nodes:
            parent = parent_of(node.name, node.zone, present)
            upper: Node | ControlPrimary = self.primary if parent is None else by_name[parent.node]
            node.parent = upper
            upper.children.append(node)

    # ---- the list and the upstreams' phases

    def update_listing(self, engine: Engine) -> None:
        """Update the list after a phase change or restart of an engine."""
        self.platform.put(engine, engine.upstream_id, self.deployment.service.slots)

    async def order(self, upstream: Upstream, phase: str) -> Outcome:
        """Order a phase change, as `control.orders.change_phase` does on sockets."""
        engine = self._by_address[upstream.addr]
        await asyncio.sleep(2 * self.network.one_way_s(self.primary.zone, engine.zone))
        return Taken() if engine.order(phase) else Rejected(409)

    def drain(self, engine: Engine) -> None:
        """Drain an upstream and stop it."""
        if engine.draining or engine.down:
            return
        engine.draining = True
        self.platform.put(engine, engine.upstream_id, self.deployment.service.slots, "draining")
        wait = self.deployment.bounds.drain_ms / 1000 + DRAIN_EXTRA_S
        asyncio.get_running_loop().call_later(wait, self._on_drained, engine)

    def _on_drained(self, engine: Engine) -> None:
        self.platform.remove(engine.upstream_id)
        engine.crash(dark=False)

    def replace(self, engine: Engine) -> None:
        """Start a replacement of an upstream and drain the old one."""
        if engine.draining:
            return
        self._replaced += 1
        address = f"10.0.65.{self._replaced}:80"
        upstream_id = f"{engine.upstream_id}r{self._replaced}"
        phase = engine.next_phase or engine.phase
        self._add(
            Engine(
                address, upstream_id, engine.zone, engine.speed, phase, self.deployment.service, self.counters
            )
        )
        self.drain(engine)

    def _add(self, engine: Engine) -> None:
        engine.changed = lambda: self.update_listing(engine)
        self.engines.append(engine)
        self._by_address[engine.address] = engine
        self.platform.put(engine, engine.upstream_id, self.deployment.service.slots)

    # ---- clients

    def _poll_readiness(self) -> None:
        self._listed_ready = [n for n in self.nodes if n.up and n.plane.is_ready()]
        asyncio.get_running_loop().call_later(READINESS_POLL_S, self._poll_readiness)

    def choose(self, client_request: ClientRequest, attempt: int) -> Node | None:
        """Choose the balancer that a client connects to; each further attempt goes to another one."""
        zone = [n for n in self.nodes if n.zone == client_request.zone]
        ready = [n for n in zone if n in self._listed_ready]
        if 2 * len(ready) < len(zone):
            ready = zone
        if not ready:
            return None
        position = self._client_positions.get((client_request.zone, client_request.client), 0.0) * len(ready)
        return ready[(int(position) + attempt - 1) % len(ready)]

    def submit(self, client_request: ClientRequest) -> None:
        """Start the client of a request."""
        record = Record(client_request)
        self.records.append(record)
        Client(record, self.choose, self.deployment.net.client_ms / 1000, lambda closed: None).start_attempt()

    # ---- faults

    def crash(self, engine: Engine, dark: bool, for_s: float) -> None:
        """Crash an upstream for `for_s` seconds; it returns under a new id."""
        loop = asyncio.get_running_loop()
        engine.crash(dark)
        old = engine.upstream_id
        loop.call_later(CRASHED_LISTED_S, self.platform.remove, old)
        loop.call_later(for_s, self._restart_engine, engine)

    def _restart_engine(self, engine: Engine) -> None:
        engine.upstream_id += "n"
        engine.restart()
        self.update_listing(engine)

    def kill(self, node: Node, for_s: float, ready_s: float = READY_AFTER_S) -> None:
        """Kill a balancer for `for_s` seconds; `ready_s` after it listens again it accepts requests."""
        loop = asyncio.get_running_loop()
        if node.up:
            node.kill()
            loop.call_later(for_s + LISTEN_S, node.listen)
            loop.call_later(for_s + LISTEN_S + ready_s, self._start_node, node)

    def kill_all(self, for_s: float) -> None:
        """Stop all machines at once; known loads and cached prefixes are lost."""
        self.control.silence(for_s + LISTEN_S + ELECTION_S)
        self.primary.reset()
        for node in self.nodes:
            self.kill(node, for_s, ELECTION_S)

    def _start_node(self, node: Node) -> None:
        node.start(self.configuration, self.control.entries, len(self.nodes))


def _configuration(deployment: Deployment) -> Configuration:
    service = deployment.service
    routes = tuple(
        Route(
            k.name,
            "h",
            f"/{k.name}/",
            k.timeout_ms or k.deadline_ms,
            "stream",
            k.aim_ms,
            k.priority,
            SERVICE,
            tries=k.attempts,
            sticky=True,
            resumable=k.stream.resume,
            gap_aim_ms=k.stream.gap_aim_ms,
        )
        for k in deployment.classes
    )
    return Configuration(1, routes, (Service(SERVICE, max_conns=service.conn_cap),))
