"""The simulated fleet: machines with real control processes and balancers, and a message transcript."""

from __future__ import annotations

import asyncio
import contextlib
import difflib
import json
import os
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol
from unittest import mock

import yaml
from loguru import logger

from config import settings as settings_file
from config.errors import WireError
from config.settings import Settings
from consensus import messages as control
from consensus.codec import decode_nested
from consensus.views import View
from control.node import KINDS, ControlNode
from dissemination import messages as dissemination
from mastturnd.balancing import BalancerRole
from mastturnd.referral import ReferralNode
from tests.fabric import OUTSIDE, PROCESS, End, Loop, Process
from tests.fabric_callers import PLATFORM, DataPlane, Operator, Platform
from tests.fabric_disk import Disk, InlineQueue, own_disk
from transport.wire import FrameReader

CONTROL_PORT, BALANCER_PORT, CTL_PORT = 7720, 7735, 8166
APPROVED = Path(__file__).parent / "approved"


class Role(Protocol):
    """The interface of every role of the program."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def reconfigure(self, settings: Settings) -> None: ...


class FixedSecrets:
    """Stands in for `secrets` with the same numbers in every run."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def token_hex(self, size: int) -> str:
        return self._random.randbytes(size).hex()

    def randbits(self, count: int) -> int:
        return self._random.getrandbits(count)


@dataclass
class Machine:
    """A machine with its disk and process."""

    name: str
    ip: str
    zone: str
    is_core: bool
    settings: Settings
    disk: Disk = field(default_factory=Disk)
    process: Process | None = None
    role: Any = None
    starting: asyncio.Task[None] | None = None

    @property
    def ctl(self) -> str:
        return f"{self.ip}:{CTL_PORT}"

    @property
    def plane(self) -> DataPlane:
        """The balancer's stand-in, which records what the control plane sends."""
        assert isinstance(self.role, BalancerRole)
        plane: Any = self.role.balancer
        return plane  # type: ignore[no-any-return]


class World:
    """A fleet in the simulated environment."""

    def __init__(self, loop: Loop, faults: int = 1, seed: int = 1) -> None:
        self.loop, self.network, self.faults = loop, loop.network, faults
        self.began = loop.time()
        self.machines: dict[str, Machine] = {}
        self.seeds: list[str] = []
        self.platform = Platform(loop)
        self.platform.start()
        self.transcript = Transcript(self)
        self.network.tap = self.transcript.tap
        self.rate_per_s = 42.0
        self.is_first = True
        self.diskless = set[str]()  # names of control machines without a disk

    def now(self) -> float:
        """Return the simulated time in milliseconds since the start."""
        return (self.loop.time() - self.began) * 1000

    # ---- machines

    def core(self, name: str, ip: str, zone: str) -> Machine:
        """Add a core machine, not started yet."""
        return self._machine(name, ip, zone, True)

    def edge(self, name: str, ip: str, zone: str) -> Machine:
        """Add a balancer machine, not started yet."""
        return self._machine(name, ip, zone, False)

    def _machine(self, name: str, ip: str, zone: str, is_core: bool) -> Machine:
        machine = Machine(name, ip, zone, is_core, self.settings(name, ip, zone, is_core))
        self.machines[name] = machine
        return machine

    def settings(self, name: str, ip: str, zone: str, is_core: bool) -> Settings:
        """Return the current settings of a machine."""
        listen = {"ctl": f"{ip}:{CTL_PORT}"} if is_core else {"http": f"{ip}:8161", "readyz": f"{ip}:8167"}
        raw = {
            "node": name,
            "ip": ip,
            "zone": zone,
            "machine_class": "core" if is_core else "edge",
            "listen": listen,
            "port_range": [CONTROL_PORT, BALANCER_PORT],
            "seed_addrs": self.seeds,
            "bootstrap": self.is_first,
            "quorum_member": is_core and name not in self.diskless,
            "data_dir": f"/disk/{name}" if is_core and name not in self.diskless else None,
            "faults": {"nodes": self.faults},
            "cloud_api": {"addr": f"{PLATFORM[0]}:{PLATFORM[1]}", "rate_per_s": self.rate_per_s},
        }
        return settings_file.parse(yaml.safe_dump(raw))

    def boot(self, *names: str) -> None:
        """Start the processes of machines with their current settings."""
        for name in names:
            machine = self.machines[name]
            machine.settings = self.settings(name, machine.ip, machine.zone, machine.is_core)
            process = machine.process = Process(self.network, name, machine.ip)
            process.machine = machine
            if machine.ip in self.network.off:
                self.network.off.discard(machine.ip)
                self.network.flush()
            machine.starting = self.loop.create_task(self._start(machine), context=process.context)

    async def _start(self, machine: Machine) -> None:
        control = ReferralNode if machine.name in self.diskless else ControlNode
        role: Role = (control if machine.is_core else BalancerRole)(machine.settings)
        machine.role = role
        await role.start()

    def kill(self, *names: str) -> None:
        """Kill processes."""
        for name in names:
            self.note(f"{name} is killed")
            process = self.machines[name].process
            assert process is not None
            process.kill()

    def power_off(self, *names: str) -> None:
        """Cut the power of machines: peers get no reset, and unsynced data is lost."""
        for name in names:
            self.note(f"{name} loses power")
            machine = self.machines[name]
            assert machine.process is not None
            self.network.off.add(machine.ip)
            machine.process.kill(silently=True)
            machine.disk.lose_power()

    def freeze(self, name: str) -> None:
        """Freeze a machine."""
        self.note(f"{name} freezes")
        process = self.machines[name].process
        assert process is not None
        process.freeze()

    def thaw(self, name: str) -> None:
        """Resume a frozen machine."""
        self.note(f"{name} wakes")
        process = self.machines[name].process
        assert process is not None
        process.thaw()

    async def terminate(self, name: str) -> None:
        """Stop a process regularly, as on SIGTERM."""
        self.note(f"{name} is told to stop")
        machine = self.machines[name]
        process = machine.process
        assert process is not None
        await self.loop.create_task(machine.role.stop(), context=process.context)
        self.note(f"{name} has ended")
        process.exit()

    def cut(self, here: list[str], there: list[str], both_ways: bool = True) -> None:
        """Block all traffic between machines."""
        way = "between" if both_ways else "from"
        self.note(f"nothing gets {way} {','.join(here)} {'and' if both_ways else 'to'} {','.join(there)}")
        self.network.cut([self.machines[n].ip for n in here], [self.machines[n].ip for n in there], both_ways)

    def heal(self) -> None:
        """Restore all paths."""
        self.note("all links are back")
        self.network.heal()

    # ---- state

    def node(self, name: str) -> ControlNode:
        """Return the control process of a machine."""
        role = self.machines[name].role
        assert isinstance(role, ControlNode)
        return role

    def cores(self) -> list[Machine]:
        """Return the core machines."""
        return [m for m in self.machines.values() if m.is_core]

    def edges(self) -> list[Machine]:
        """Return the balancer machines."""
        return [m for m in self.machines.values() if not m.is_core]

    def running(self, machine: Machine) -> bool:
        """Return whether the process of a machine is running."""
        return machine.process is not None and machine.process.runs and machine.role is not None

    def primary(self) -> str:
        """Return the name of the primary; empty if there is none."""
        leading = [m.name for m in self.cores() if self.running(m) and m.role.is_leader()]
        return leading[-1] if leading else ""

    def backup(self) -> str:
        """Return the other holder of the data."""
        replica = self.node(self.primary())._replica
        assert replica is not None and replica.primary is not None
        view = replica.primary.view
        return next(view.member_at(s).node for s in view.holders if s != view.primary)

    def witness(self) -> str:
        """Return a member without the data."""
        return next(m.name for m in self.cores() if m.name not in (self.primary(), self.backup()))

    # ---- time

    async def wait(self, seconds: float) -> None:
        """Let simulated time pass."""
        await asyncio.sleep(seconds)

    async def wait_until(self, condition: Callable[[], object], within_s: float, what: str = "") -> float:
        """Wait until a condition holds; returns the seconds that it took."""
        since = self.loop.time()
        while not condition():
            if self.loop.time() - since > within_s:
                raise AssertionError(f"not within {within_s} s: {what}\n{self.transcript.text()}")
            await asyncio.sleep(0.005)
        return self.loop.time() - since

    async def wait_served(self, within_s: float = 5.0) -> None:
        """Wait until there is a primary and all balancers receive updates."""

        def is_served() -> bool:
            return bool(self.primary()) and all(m.role and m.role._follower.is_fresh() for m in self.edges())

        await self.wait_until(is_served, within_s, "a primary whose updates all balancers receive")

    def operator(self, name: str = "operator", *order: str) -> Operator:
        """Return an operator who knows these machines, in this order; all core machines by default."""
        ctl = [self.machines[n].ctl for n in order] or [m.ctl for m in self.cores()]
        return Operator(name, ctl, self.name_of, self.note)

    def name_of(self, ip: str) -> str:
        """Return the name of the machine at an IP."""
        known = {m.ip: m.name for m in self.machines.values()}
        return known.get(ip, {PLATFORM[0]: "platform", OUTSIDE: "stranger"}.get(ip, ip))

    def note(self, text: str) -> None:
        """Add a line to the transcript."""
        self.transcript.add_line(text)


class Transcript:
    """All messages with sender, receiver and time in ms; the text omits heartbeats, pulses and rolls."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._readers: dict[End, FrameReader] = {}
        self.lines: list[str] = []
        self.received: list[tuple[float, str, str, Any]] = []  # time (ms), sender, receiver, message
        self.logs: list[str] = []
        self.is_quiet = False

    def add_line(self, text: str) -> None:
        """Add a line with the current time."""
        if not self.is_quiet:
            self.lines.append(f"{self._world.now():8.0f}  {text}")

    def text(self) -> str:
        """Return the complete transcript."""
        return "\n".join(self.lines) + "\n"

    def log(self, line: Any) -> None:
        """Record a log line of a simulated process."""
        process = PROCESS.get()
        self.logs.append(f"{process.name if process is not None else '-'}: {str(line).rstrip()}")

    def tap(self, end: End, data: bytes) -> None:
        """Record bytes sent by one end."""
        if not {CONTROL_PORT, BALANCER_PORT} & {end.local[1], end.remote[1]}:
            return
        here, there = self._world.name_of(end.local[0]), self._world.name_of(end.remote[0])
        reader = self._readers.setdefault(end, FrameReader())
        try:
            for frame in reader.feed(data):
                message = KINDS.decode(frame.number, frame.body)
                if isinstance(message, control.Message):
                    message = decode_nested(message)
                self.received.append((self._world.now(), here, there, message))
                if (text := describe(message)) is not None:
                    self.add_line(f"{here} -> {there}: {text}")
        except (WireError, ValueError):
            self.add_line(f"{here} -> {there}: bytes that are no message")

    def messages(self, kind: type) -> list[tuple[float, str, str, Any]]:
        """Return all messages of a kind with time (ms), sender and receiver."""
        return [entry for entry in self.received if isinstance(entry[3], kind)]


def describe(message: Any) -> str | None:
    """Describe a message in standard terms; None for repeated messages such as heartbeats."""
    yes = "yes" if getattr(message, "ok", True) else "no"
    match message:
        case control.PreVoteRequest(_, _, epoch, handover):
            return (
                f"pre-vote for epoch {epoch}?{' (handover)' if handover else ''}" if epoch else "who leads?"
            )
        case control.PreVoteResponse(_, _, epoch):
            return f"pre-vote {yes}" if epoch else None
        case control.Prepare(_, _, epoch):
            return f"prepare epoch {epoch}"
        case control.Promise(_, _, epoch):
            return f"promise {yes}, epoch {epoch}"
        case control.InstallView(_, _, view, document, active):
            data = "" if document is None else f", with version {document.ver}"
            return f"install {_view(view)}{data}{' (in force)' if active else ''}"
        case control.InstallViewAck(_, _, epoch):
            return f"installed {yes}, epoch {epoch}"
        case control.WriteRequest(_, _, epoch, document):
            return f"write {document.number}: version {document.ver}, epoch {epoch}"
        case control.WriteAck(_, _, _, number):
            return f"synced {yes}, write {number}"
        case control.JoinRequest():
            return "join"
        case control.ViewUpdate(_, _, view):
            return f"the latest is {_view(view)}"
        case control.TransferLeadership(_, _, epoch):
            return f"take over after epoch {epoch}"
        case control.LeaveRequest():
            return "I leave"
        case control.LeaveAck(_, _, epoch):
            return f"released, epoch {epoch}"
        case dissemination.Attach(_, _, _, ver):
            return f"subscribe, have version {ver}"
        case dissemination.ConfigurationUpdate(ver):
            return f"configuration {ver}"
        case dissemination.UpstreamListUpdate(_, _, page):
            return f"list of {len(json.loads(page)['upstreams'])} upstreams"
        case dissemination.UpstreamChange(_, _, base, digest, entries, gone):
            summary = f"change of the list: {len(json.loads(entries))} entries, {len(gone)} gone"
            return "the list stays" if base == digest else summary
        case dissemination.MembershipUpdate(_, _, balancers):
            return f"members {','.join(p.node for p in balancers)}"
        case dissemination.Redirect(ips):
            return f"moved, try {len(ips)} other"
    return None


def _view(view: View | None) -> str:
    if view is None:
        return "no view"
    backups = ",".join(view.member_at(s).node for s in view.holders if s != view.primary)
    members = ",".join(m.node if m is not None else "-" for m in view.members)
    return f"epoch {view.epoch}: primary {view.leader().node}, backup {backups}, members {members}"


@contextlib.contextmanager
def patched_environment(seed: int, log: Callable[[Any], None]) -> Iterator[None]:
    """Replace everything that accesses the real machine."""
    fixed_secrets = FixedSecrets(seed)
    logger.remove()
    sink = logger.add(log, format="{level} {message}", level="DEBUG")
    with (
        mock.patch("consensus.state_store.secrets", fixed_secrets),
        mock.patch("control.node.secrets", fixed_secrets),
        mock.patch("mastturnd.balancing.secrets", fixed_secrets),
        mock.patch("consensus.state_store.DiskQueue", InlineQueue),
        mock.patch("consensus.state_store.OsFiles", own_disk),
        mock.patch("tallies.journal.DiskQueue", InlineQueue),
        mock.patch("tallies.journal.OsFiles", own_disk),
        mock.patch("control.known_processes_store.DiskQueue", InlineQueue),
        mock.patch("control.known_processes_store.OsFiles", own_disk),
        mock.patch("mastturnd.balancing.Balancer", DataPlane),
    ):
        try:
            yield
        finally:
            logger.remove(sink)


Scenario = Callable[[World], Awaitable[None]]


def play(
    scenario: Scenario, cores: int = 3, edges: int = 0, faults: int = 1, seed: int = 1, **more: Any
) -> World:
    """Run a scenario on a fleet whose processes start together; returns the final state.

    Core i has the IP 10.(i).0.1 in zone i of `zones` (3 by default); balancers are spread over the zones in
    turn. An uncaught exception fails the run, unless `faulty=True`.
    """
    zones, is_faulty, starts = more.get("zones", 3), more.get("faulty", False), more.get("starts", True)
    loop = Loop()
    logs: list[Callable[[Any], None]] = []
    with patched_environment(seed, lambda line: logs[0](line) if logs else None):
        world = World(loop, faults, seed)
        logs.append(world.transcript.log)
        more.get("before", lambda world: None)(world)
        set_up(world, cores, edges, zones)
        try:
            loop.run_until_complete(_play(world, scenario, starts))
        finally:
            clean_up(world)
    if loop.faults and not is_faulty:
        raise AssertionError("not caught: " + "; ".join(loop.faults))
    return world


def set_up(world: World, cores: int, edges: int, zones: int) -> None:
    """Add the machines of a fleet, not started yet."""
    halls = [f"hall-{'abcdefgh'[i % zones]}" for i in range(max(cores, edges, 1))]
    if cores:
        world.seeds = [f"10.{i + 1}.0.1:{CTL_PORT}" for i in range(min(cores, 3))]
    for i in range(cores):
        world.core(f"core-{i + 1}", f"10.{i + 1}.0.1", halls[i])
    for i in range(edges):
        world.edge(f"edge-{i + 1}", f"10.{i % zones + 1}.1.{i + 1}", halls[i])


async def _play(world: World, scenario: Scenario, starts: bool) -> None:
    if starts:
        world.boot(*world.machines)
        world.is_first = False
    await scenario(world)


def clean_up(world: World) -> None:
    """Stop what still runs, and what a kill left behind."""
    loop, faults = world.loop, list(world.loop.faults)
    world.transcript.is_quiet = True
    world.network.tap = None
    for machine in world.machines.values():
        if machine.starting is not None and machine.starting.done() and not machine.starting.cancelled():
            error = machine.starting.exception()
            if error is not None:
                faults.append(f"{machine.name} did not start: {error!r}")
    tasks = list(asyncio.all_tasks(loop))
    for process in world.network.processes:
        process.resume()
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()
    loop.faults[:] = faults


def assert_approved(name: str, text: str) -> None:
    """Compare a text with its approved version; APPROVE=1 in the environment overwrites that."""
    path = APPROVED / f"{name}.txt"
    if os.environ.get("APPROVE") == "1":
        APPROVED.mkdir(exist_ok=True)
        path.write_text(text, encoding="utf-8")
    known = path.read_text(encoding="utf-8") if path.exists() else ""
    difference = "\n".join(
        difflib.unified_diff(known.splitlines(), text.splitlines(), "approved", "played", lineterm="")
    )
    assert not difference, f"{name}: read it, then APPROVE=1 if it is right\n{difference}"
