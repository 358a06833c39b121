"""All of a day in simulated time: engines, the platform's list, balancers, the mover of parts, clients."""

from __future__ import annotations

import asyncio

from config.configuration import Configuration, Route, Service, Upstream
from control.orders import Outcome, Rejected, Taken
from dissemination.messages import PresentBalancer
from dissemination.relay_tree import parent_of
from mastturn.emulator.chance import Stream
from mastturn.engines.balancer import MakeTiers, Node, Root
from mastturn.engines.clients import User
from mastturn.engines.control import SERVICE, Control, Platform
from mastturn.engines.demand import Asked
from mastturn.engines.deployment import Sheet
from mastturn.engines.engine import Engine
from mastturn.engines.jobs import Figures
from mastturn.engines.records import Record
from mastturn.engines.upstreams import Network

GONE_S = 3.0  # an upstream that has crashed stays on the list so long
DRAIN_MORE_S = 1.0  # an upstream that leaves goes on so long beyond the time it was given
READY_S = 1.0  # the platform asks balancers so often whether they are ready
ELECTED_S = 0.8  # after all have stopped, until the control state tells anything
LISTEN_S = 0.15  # from the start of a balancer's process until it listens
READY_AFTER_S = 0.15  # and from then until it has the news and takes clients


class Fleet:
    """Everything that is there on a day."""

    def __init__(self, sheet: Sheet, seed: int, tiers: MakeTiers) -> None:
        self.sheet, service = sheet, sheet.service
        self._chance = Stream(seed, "fleet")
        self.network = Network(sheet.net.in_zone_ms, sheet.net.cross_zone_ms)
        self.figures = Figures()
        self.platform = Platform(sheet.discovery.lag_ms / 1000)
        self.engines: list[Engine] = []
        self._replaced = 0
        self._by_address: dict[str, Engine] = {}
        for index, (zone, speed, phase) in enumerate(sheet.upstreams()):
            engine = Engine(
                f"10.0.64.{index}:80", f"i-{seed}-{index}", zone, speed, phase, service, self.figures
            )
            self._add(engine)
        self.configuration = _configuration(sheet)
        core = next((m.zone for m in sheet.machines if m.kind == "core"), sheet.machines[0].zone)
        self.root = Root(core, self.network, self.figures)
        self.nodes = [
            Node(
                f"edge-{m.zone}-{i + 1}",
                m.zone,
                seed * 1000 + n * 10 + i,
                self.network,
                service.handshake_ms,
                sheet.bounds.budget_slack,
                tiers,
                self._by_address.get,
                self.figures,
            )
            for n, m in enumerate(m for m in sheet.machines if m.kind == "front")
            for i in range(m.count)
        ]
        self._plant()
        self.control = Control(self.root, self.platform, self.network, self.nodes)
        self._homes = {
            (t.zone, c): self._chance.uniform() for t in sheet.traffic for c in range(max(t.clients, 1))
        }
        self.records: list[Record] = []
        self._listed_ready = list(self.nodes)
        for node in self.nodes:
            node.configure(self.configuration)
            node.count(len(self.nodes))
        self.control.start()
        self._look_ready()

    def _plant(self) -> None:
        """The tree of relays, as the balancers work it out themselves."""
        present = [PresentBalancer(n.name, n.name, n.zone) for n in self.nodes]
        by_name = {n.name: n for n in self.nodes}
        for node in self.nodes:
            parent = parent_of(node.name, node.zone, present)
            above: Node | Root = self.root if parent is None else by_name[parent.node]
            node.parent = above
            above.children.append(node)

    # ---- the list and the parts that upstreams play

    def list_anew(self, engine: Engine) -> None:
        """An engine plays another part, or is there anew."""
        self.platform.put(engine, engine.ident, self.sheet.service.slots)

    async def order(self, upstream: Upstream, phase: str) -> Outcome:
        """What `control.orders.change_phase` does on sockets."""
        engine = self._by_address[upstream.addr]
        await asyncio.sleep(2 * self.network.way(self.root.zone, engine.zone))
        return Taken() if engine.order(phase) else Rejected(409)

    def leave(self, engine: Engine) -> None:
        """An upstream is drained and ends."""
        if engine.draining or engine.down:
            return
        engine.draining = True
        self.platform.put(engine, engine.ident, self.sheet.service.slots, "draining")
        wait = self.sheet.bounds.drain_ms / 1000 + DRAIN_MORE_S
        asyncio.get_running_loop().call_later(wait, self._gone, engine)

    def _gone(self, engine: Engine) -> None:
        self.platform.drop(engine.ident)
        engine.crash(dark=False)

    def replace(self, engine: Engine) -> None:
        """Another upstream starts in its place, and it leaves."""
        if engine.draining:
            return
        self._replaced += 1
        address = f"10.0.65.{self._replaced}:80"
        ident = f"{engine.ident}r{self._replaced}"
        phase = engine.switching or engine.phase
        self._add(Engine(address, ident, engine.zone, engine.speed, phase, self.sheet.service, self.figures))
        self.leave(engine)

    def _add(self, engine: Engine) -> None:
        engine.changed = lambda: self.list_anew(engine)
        self.engines.append(engine)
        self._by_address[engine.address] = engine
        self.platform.put(engine, engine.ident, self.sheet.service.slots)

    # ---- clients

    def _look_ready(self) -> None:
        self._listed_ready = [n for n in self.nodes if n.up and n.plane.is_ready()]
        asyncio.get_running_loop().call_later(READY_S, self._look_ready)

    def choose(self, asked: Asked, tries: int) -> Node | None:
        """The balancer that a client's connection reaches; later tries reach others."""
        zone = [n for n in self.nodes if n.zone == asked.zone]
        ready = [n for n in zone if n in self._listed_ready]
        if 2 * len(ready) < len(zone):
            ready = zone
        if not ready:
            return None
        place = self._homes.get((asked.zone, asked.client), 0.0) * len(ready)
        return ready[(int(place) + tries - 1) % len(ready)]

    def ask(self, asked: Asked) -> None:
        """A client asks."""
        record = Record(asked)
        self.records.append(record)
        User(record, self.choose, self.sheet.net.client_ms / 1000, lambda r: None).begin()

    # ---- troubles

    def crash(self, engine: Engine, dark: bool, for_s: float) -> None:
        """An upstream is lost for a while, and comes back as another."""
        loop = asyncio.get_running_loop()
        engine.crash(dark)
        old = engine.ident
        loop.call_later(GONE_S, self.platform.drop, old)
        loop.call_later(for_s, self._back, engine)

    def _back(self, engine: Engine) -> None:
        engine.ident += "n"
        engine.come_back()
        self.list_anew(engine)

    def kill(self, node: Node, for_s: float, ready_s: float = READY_AFTER_S) -> None:
        """A balancer's process is killed; once it listens again it takes requests after `ready_s`."""
        loop = asyncio.get_running_loop()
        if node.up:
            node.kill()
            loop.call_later(for_s + LISTEN_S, node.listen)
            loop.call_later(for_s + LISTEN_S + ready_s, self._start, node)

    def kill_all(self, for_s: float) -> None:
        """All machines of the system stop at once; what was known of loads and prompts is gone."""
        self.control.silence(for_s + LISTEN_S + ELECTED_S)
        self.root.begin_anew()
        for node in self.nodes:
            self.kill(node, for_s, ELECTED_S)

    def _start(self, node: Node) -> None:
        node.start(self.configuration, self.control.entries, len(self.nodes))


def _configuration(sheet: Sheet) -> Configuration:
    service = sheet.service
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
        for k in sheet.classes
    )
    return Configuration(1, routes, (Service(SERVICE, max_conns=service.conn_cap),))
