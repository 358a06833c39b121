"""A hollow fleet: the real control sides of all balancers, real control processes, nobody else."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

from loguru import logger

from balancer.balancer import Balancer
from config.configuration import Configuration, Upstream
from config.settings import CloudApi, Faults, Limits, Listen, Settings
from control.node import ControlNode
from dissemination.follower import Follower
from mastturn.capacity.clockwork import Loop, Program
from mastturn.capacity.disk import InlineQueue, MemoryFiles
from mastturn.capacity.network import CTL_PORT, PLATFORM_PORT, STATION_PORT, Owner
from mastturn.capacity.shapes import Shape, configuration, list_entries
from mastturnd.balancing import BalancerRole

PLATFORM_IP = "10.200.0.79"
PAGE = 50  # entries on a page of the platform's list


class HollowBalancer(Balancer):
    """The data plane's tables without its sockets; notes when what it is told is in force."""

    def __init__(self, settings: Settings, seed: int, listener: socket.socket | None = None) -> None:
        super().__init__(settings, seed, listener)
        self.in_force_at: dict[int, float] = {}  # by version
        self.listed_at: dict[int, float] = {}  # by how many lists came before it
        self._lists = 0

    async def start(self) -> None:
        """Nothing is bound."""

    async def drain(self) -> None:
        """Nothing is held."""

    def configure(self, configuration: Configuration) -> None:
        """A version is in force."""
        super().configure(configuration)
        self.in_force_at[configuration.ver] = asyncio.get_running_loop().time()

    def list_upstreams(self, entries: tuple[Upstream, ...]) -> None:
        """A list is in force."""
        super().list_upstreams(entries)
        self.listed_at[self._lists] = asyncio.get_running_loop().time()
        self._lists += 1

    @property
    def lists(self) -> int:
        """How many lists were told."""
        return self._lists


class Platform:
    """Answers `GET /upstreams`, page by page; a machine of its own."""

    def __init__(self, fleet: Fleet) -> None:
        self.entries = list_entries(fleet.shape)
        self.calls: list[float] = []
        self.rate_per_s = 0.0  # more calls in a second are turned away; 0: no bound
        self.turned_away = 0
        self._fleet = fleet
        self._owner = Owner("platform", PLATFORM_IP, ("zone-0", "region-0"))
        server = fleet.loop.network.listen(lambda: _Side(self), PLATFORM_IP, PLATFORM_PORT)
        server.owner = self._owner

    def answer(self, target: str) -> bytes:
        """The answer to a call."""
        now = self._fleet.loop.time()
        recent = 1 + sum(1 for at in self.calls[-200:] if now - at < 1.0)
        self.calls.append(now)
        if self.rate_per_s and recent > self.rate_per_s:
            self.turned_away += 1
            return b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
        first = int(target.partition("page_token=p-")[2] or 0)
        rest = len(self.entries) > first + PAGE
        body = json.dumps(
            {
                "upstreams": self.entries[first : first + PAGE],
                "next_cursor": f"p-{first + PAGE}" if rest else None,
            }
        ).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class _Side(asyncio.Protocol):
    def __init__(self, platform: Platform) -> None:
        self._platform, self._held = platform, b""
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Somebody calls."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer whole heads."""
        self._held += data
        while b"\r\n\r\n" in self._held:
            head, _, self._held = self._held.partition(b"\r\n\r\n")
            self._transport.write(self._platform.answer(head.split(b" ")[1].decode()))


class _Asking(asyncio.Protocol):
    """An operator's connection: one call, one answer."""

    def __init__(self, call: bytes) -> None:
        self._call, self._held = call, b""
        self.status: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        assert hasattr(transport, "write")
        transport.write(self._call)

    def data_received(self, data: bytes) -> None:
        """The answer's head tells all."""
        self._held += data
        if b"\r\n\r\n" in self._held and not self.status.done():
            self.status.set_result(int(self._held.split(b" ")[1]))

    def connection_lost(self, exc: Exception | None) -> None:
        """No answer."""
        if not self.status.done():
            self.status.set_result(0)


@dataclass(slots=True)
class Machine:
    """One program, its settings, and the role that runs."""

    settings: Settings
    program: Program
    role: Any
    task: asyncio.Task[None] | None = None


class Fleet:
    """Machines by name; all of it on one loop."""

    def __init__(self, loop: Loop, shape: Shape) -> None:
        self.loop, self.shape = loop, shape
        self.cores: dict[str, Machine] = {}
        self.edges: dict[str, Machine] = {}
        self.platform = Platform(self)
        self.ver = 0
        self._seeds = [f"{self._core_ip(i)}:{CTL_PORT}" for i in range(min(shape.cores, 3))]

    # ---- machines

    def _place(self, zone: int) -> tuple[str, str]:
        return f"zone-{zone}", f"region-{zone * self.shape.regions // self.shape.zones}"

    def _core_ip(self, number: int) -> str:
        return f"10.{self._core_zone(number)}.255.{number + 1}"

    def _core_zone(self, number: int) -> int:
        return number * self.shape.zones // self.shape.cores

    def _settings(self, name: str, ip: str, place: tuple[str, str], is_core: bool, first: bool) -> Settings:
        listen = Listen(ctl=f"{ip}:{CTL_PORT}") if is_core else Listen(f"{ip}:8161", f"{ip}:8167")
        return Settings(
            node=name,
            ip=ip,
            zone=place[0],
            region=place[1],
            machine_class="core" if is_core else "edge",
            port_range=(STATION_PORT, STATION_PORT + 15),
            cloud_api=CloudApi(f"{PLATFORM_IP}:{PLATFORM_PORT}", rate_per_s=self.shape.list_rate),
            listen=listen,
            seed_addrs=self._seeds,
            bootstrap=first,
            quorum_member=is_core,
            data_dir="/disk" if is_core else None,
            faults=Faults(nodes=(self.shape.cores - 1) // 2),
            limits=Limits(max_fds=4100),
        )

    def boot_core(self, number: int, first: bool = False) -> Machine:
        """Start a control process."""
        place = self._place(self._core_zone(number))
        name = f"core-{place[0]}-{number + 1}"
        self.cores[name] = self._boot(name, self._core_ip(number), place, True, first)
        return self.cores[name]

    def boot_edge(self, number: int) -> Machine:
        """Start a balancer."""
        zone = number % self.shape.zones
        place, row = self._place(zone), number // self.shape.zones
        name = f"edge-{place[0]}-{row + 1}"
        self.edges[name] = self._boot(name, f"10.{zone}.{row // 200}.{row % 200 + 1}", place, False, False)
        return self.edges[name]

    def _boot(self, name: str, ip: str, place: tuple[str, str], is_core: bool, first: bool) -> Machine:
        program = Program(self.loop, name, ip, place)
        machine = Machine(self._settings(name, ip, place, is_core, first), program, None)

        async def start() -> None:
            machine.role = (ControlNode if is_core else BalancerRole)(machine.settings)
            await machine.role.start()

        machine.task = self.loop.create_task(start(), context=program.context)
        return machine

    # ---- what is known of them

    def primary(self) -> Machine:
        """Who leads."""
        return next(
            m
            for m in self.cores.values()
            if m.role is not None and not m.program.is_dead and m.role.is_leader()
        )

    def has_primary(self) -> bool:
        """Whether anybody leads."""
        return any(
            m.role is not None and not m.program.is_dead and m.role.is_leader() for m in self.cores.values()
        )

    def plane(self, machine: Machine) -> HollowBalancer:
        """The data plane of a balancer."""
        found = machine.role.balancer
        assert isinstance(found, HollowBalancer)
        return found

    def live(self) -> list[Machine]:
        """The balancers that run."""
        return [m for m in self.edges.values() if not m.program.is_dead and m.role is not None]

    def follower(self, machine: Machine) -> Follower:
        """The hearing side of a balancer."""
        found: Follower = machine.role._follower
        return found

    def children(self, machine: Machine) -> int:
        """How many hear the news from it."""
        feed = machine.role._publisher._feed if hasattr(machine.role, "_publisher") else machine.role._feed
        return len(feed._children)

    # ---- orders

    async def put(self, routes: int) -> tuple[int, float]:
        """Put the next version; the version and when it was acknowledged."""
        ver = self.ver + 1
        body = configuration(ver, routes, self.shape.services)
        lines = (
            "PUT /api/config HTTP/1.1",
            "Host: ctl",
            f"If-Match: {self.ver}",
            f"Content-Length: {len(body)}",
        )
        head = "\r\n".join([*lines, "", ""])
        leader = self.primary().program.ip
        _, asking = await self.loop.create_connection(lambda: _Asking(head.encode() + body), leader, CTL_PORT)
        async with asyncio.timeout(60.0):
            status = await asking.status
        if status != 200:
            raise RuntimeError(f"the primary answers {status}")
        self.ver = ver
        return ver, self.loop.time()

    async def until(self, is_so: Callable[[], bool], within_s: float, what: str) -> float:
        """Let time go by until something is so; how long that took. Raises RuntimeError."""
        since = self.loop.time()
        while not is_so():
            if self.loop.time() - since > within_s:
                raise RuntimeError(f"not within {within_s} s: {what}")
            await asyncio.sleep(0.01)
        return self.loop.time() - since

    def lag(self) -> float:
        """The longest that any core is behind with its work, in seconds."""
        machines = [*self.cores.values(), *self.edges.values()]
        return max((m.program.lag() for m in machines if not m.program.is_dead), default=0.0)


@contextlib.contextmanager
def _stand_ins() -> Iterator[None]:
    """Disks without threads, and data planes without sockets."""
    logger.disable("consensus")
    logger.disable("control")
    logger.disable("mastturnd")
    logger.disable("dissemination")
    with (
        mock.patch("consensus.state_store.DiskQueue", InlineQueue),
        mock.patch("consensus.state_store.OsFiles", MemoryFiles),
        mock.patch("control.known_processes_store.DiskQueue", InlineQueue),
        mock.patch("control.known_processes_store.OsFiles", MemoryFiles),
        mock.patch("mastturnd.balancing.Balancer", HollowBalancer),
    ):
        try:
            yield
        finally:
            for name in ("consensus", "control", "mastturnd", "dissemination"):
                logger.enable(name)


def play(
    shape: Shape, day: Callable[[Fleet], Awaitable[None]], charge: float = 0.0, mbps: float = 0.0
) -> Fleet:
    """Play a day on a fleet whose machines are not started yet; the fleet as it was at the end."""
    loop = Loop(charge)
    loop.network.mbps = mbps
    asyncio.set_event_loop(loop)
    with _stand_ins():
        fleet = Fleet(loop, shape)
        try:
            loop.run_until_complete(day(fleet))
        finally:
            for machine in [*fleet.cores.values(), *fleet.edges.values()]:
                machine.program.is_dead = True
            asyncio.set_event_loop(None)
    return fleet


def tree_depth(balancers: int, zones: int, degree: int) -> int:
    """Steps from the primary to the last balancer of a zone, by the tree's rule."""
    left, depth, row = math.ceil(balancers / zones), 0, 1
    while left > 0:
        left, depth, row = left - row, depth + 1, row * degree
    return depth
