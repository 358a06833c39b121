"""All of a day in simulated time: engines, the platform's list, balancers, the mover of parts, clients."""

from __future__ import annotations

import asyncio
from typing import Any

from barograph.mover import LOOK_S, Mover
from barograph.orders import Outcome, Rejected, Taken
from mastturn.emulator.chance import Stream
from mastturn.engines.balancer import MakeTiers, Node, Root
from mastturn.engines.clients import User
from mastturn.engines.demand import Asked
from mastturn.engines.engine import Engine, Figures
from mastturn.engines.records import Record
from mastturn.engines.sheet import Sheet
from mastturn.engines.wire import Network
from screen.configuration import Configuration, Route, Service, Upstream
from sonde.follower import STALE_S
from sonde.messages import Present
from sonde.relays import parent_of

LIST_S = 1.0  # between two readings of the platform's list
DRAIN_MORE_S = 1.0  # an upstream that leaves goes on so long beyond the time it was given
GONE_S = 3.0  # an upstream that has crashed stays on it so long
READY_S = 1.0  # the platform asks balancers so often whether they are ready
ELECTED_S = 0.8  # after all have stopped, until the control state tells anything
LISTEN_S = 0.15  # from the start of a balancer's process until it listens
READY_AFTER_S = 0.15  # and from then until it has the news and takes clients
LEASE_S = 3.0
SERVICE = "llm"


class Platform:
    """The list of upstreams, which is late."""

    def __init__(self, lag_s: float) -> None:
        self._lag = lag_s
        self._now: dict[str, dict[str, Any]] = {}
        self._shown: list[tuple[float, dict[str, dict[str, Any]]]] = []
        self.calls = 0

    def put(self, engine: Engine, ident: str, capacity: int, state: str = "up") -> None:
        """An upstream is so from now on."""
        entry = {
            "id": ident,
            "svc": SERVICE,
            "addr": engine.address,
            "zone": engine.zone,
            "state": state,
            "phase": engine.phase,
            "capacity": capacity,
            "ver": "v1",
            "cold_left_ms": 0,
            "models": [{"name": "m", "ver": 1, "loras": []}],
        }
        self._now = {**self._now, ident: entry}
        self._note()

    def drop(self, ident: str) -> None:
        """An upstream has left it."""
        self._now = {k: v for k, v in self._now.items() if k != ident}
        self._note()

    def _note(self) -> None:
        self._shown.append((asyncio.get_running_loop().time() + self._lag, self._now))

    def read(self) -> list[dict[str, Any]]:
        """The list as it is shown now."""
        self.calls += 1
        now = asyncio.get_running_loop().time()
        seen = [i for i, (at, _) in enumerate(self._shown) if at <= now]
        if seen:
            del self._shown[: seen[-1]]
        return list(self._shown[0][1].values()) if seen else []


class Fleet:
    """Everything that is there on a day."""

    def __init__(self, sheet: Sheet, seed: int, tiers: MakeTiers) -> None:
        loop = asyncio.get_running_loop()
        self.sheet, service = sheet, sheet.service
        self._chance = Stream(seed, "fleet")
        self.network = Network(sheet.net.in_zone_ms, sheet.net.cross_zone_ms)
        self.figures = Figures()
        self.platform = Platform(sheet.discovery.lag_ms / 1000)
        self.engines: list[Engine] = []
        self._replaced, self._silent_until = 0, 0.0
        self._by_address: dict[str, Engine] = {}
        for index, (zone, speed, phase) in enumerate(sheet.upstreams()):
            engine = Engine(f"10.0.64.{index}:80", f"i-{seed}-{index}", zone, speed, phase, service, self.figures)
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
        self._entries: tuple[Upstream, ...] = ()
        self._told: list[dict[str, Any]] = []
        self._mover = Mover("core", LEASE_S, self._prove, lambda: self.root.loaded_by, self._list)
        self._read: list[dict[str, Any]] = []
        self._homes = {
            (t.zone, c): self._chance.uniform() for t in sheet.traffic for c in range(max(t.clients, 1))
        }
        self.records: list[Record] = []
        self._listed_ready = list(self.nodes)
        for node in self.nodes:
            node.configure(self.configuration)
            node.count(len(self.nodes))
        self._mover.lead(True, loop.time())
        self._read_list()
        self._look()
        self._look_ready()

    def _plant(self) -> None:
        """The tree of relays, as the balancers work it out themselves."""
        present = [Present(n.name, n.name, n.zone) for n in self.nodes]
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

    def _read_list(self) -> None:
        self._read = self.platform.read()
        self._list()
        asyncio.get_running_loop().call_later(LIST_S, self._read_list)

    def _list(self) -> None:
        loop = asyncio.get_running_loop()
        shown = self._mover.dress(self._read, loop.time())
        if shown == self._told or loop.time() < self._silent_until:
            return
        self._told = shown
        entries = tuple(
            Upstream(
                e["id"], e["svc"], e["addr"], e["zone"], state=e["state"], phase=e["phase"], capacity=e["capacity"]
            )
            for e in shown
        )
        self._entries = entries
        self._mover._entries = entries
        for node in self.nodes:
            loop.call_later(self.network.way(self.root.zone, node.zone), node.list_upstreams, entries)

    def _look(self) -> None:
        loop = asyncio.get_running_loop()
        self._mover.look(loop.time())
        loop.call_later(LOOK_S, self._look)

    async def _prove(self) -> int:
        return 1

    async def order(self, upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        """What `barograph.orders.change_phase` does on sockets."""
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

    def silence(self, for_s: float) -> None:
        """The control state tells nothing for a while: another takes over."""
        loop = asyncio.get_running_loop()
        self._silent_until = max(self._silent_until, loop.time() + for_s)
        self.root.silent_until = self._silent_until
        self._mover.lead(False, loop.time())
        loop.call_later(for_s, self._lead_again)
        if for_s >= STALE_S:
            loop.call_later(STALE_S, self._forget_loads)

    def _lead_again(self) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._silent_until:
            self._mover.lead(True, now)
            self._list()

    def _forget_loads(self) -> None:
        for node in self.nodes:
            node.forget_loads()

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
        """All machines of the system stop at once; what the control state knew of loads and prompts is gone."""
        self.silence(for_s + LISTEN_S + ELECTED_S)
        self.root.begin_anew()
        for node in self.nodes:
            self.kill(node, for_s, ELECTED_S)

    def _start(self, node: Node) -> None:
        node.start(self.configuration, self._entries, len(self.nodes))


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
