"""The fleet's own programs in a soak: real processes that are started, signalled and started again."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from mastturn.files import LabError
from mastturn.smallfleet import callers, layout
from mastturn.smallfleet.layout import Layout, Machine
from mastturn.soak.records import Records
from mastturn.standins.process import Process

GRACE_S = 5.0  # `grace_s` of the settings: who has not ended so long after SIGTERM is killed
DOWN_S = 0.3  # a process that has ended is started again after this
LOOK_S = 0.4  # between two questions whether balancers are ready
READY_S = 30.0
UP = b"event=started"  # in the log, once a process hears signals and serves
AT_ONCE = 16  # processes that are started side by side
LEAD_S = 30.0


@dataclass(slots=True)
class Member:
    """One machine of the fleet with its process."""

    machine: Machine
    process: Process
    log_from: int = 0  # bytes of its log that are of earlier starts
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)  # one trouble after the other

    def has_come_up(self) -> bool:
        """Whether the process has said that it serves; before that a SIGTERM may end it outright."""
        return UP in self.process.log.read_bytes()[self.log_from :]


class Fleet:
    """Control processes and balancers."""

    def __init__(self, plan_layout: Layout, folder: Path, records: Records, defect: str = "") -> None:
        self.layout, self._folder, self._records, self._defect = plan_layout, folder, records, defect
        machines = (*plan_layout.cores, *plan_layout.edges)
        self.members = {m.node: Member(m, Process(m.node, folder)) for m in machines}
        self.ready: list[tuple[str, str]] = []  # balancers that new clients go to, and their addresses
        self.is_ending = False

    def control(self) -> list[Member]:
        """The control processes."""
        return [self.members[machine.node] for machine in self.layout.cores]

    def balancers(self) -> list[Member]:
        """The balancers."""
        return [self.members[machine.node] for machine in self.layout.edges]

    async def start(self) -> None:
        """Start all and have a first configuration taken; raises LabError."""
        members = list(self.members.values())
        for first in range(0, len(members), AT_ONCE):
            await asyncio.gather(*(self._launch(m, True) for m in members[first : first + AT_ONCE]))
        if not await callers.put(self.layout.ctl(), configuration(1), 0, LEAD_S):
            raise LabError(f"the first configuration was not taken: {self._last_words()}")
        await self._until(lambda: len(self.ready) == len(self.balancers()))

    async def _until(self, condition: Callable[[], bool]) -> None:
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            await self.look()
            if condition():
                return
            await asyncio.sleep(LOOK_S)
        raise LabError(f"the balancers are not ready after {READY_S:g} s: {self._last_words()}")

    async def watch(self) -> None:
        """Keep up with who is ready, for ever."""
        while True:
            await self.look()
            await asyncio.sleep(LOOK_S)

    async def look(self) -> None:
        """Ask all balancers whether they are ready."""
        edges = self.layout.edges
        found = await asyncio.gather(*(_is_ready(self.layout.readyz(machine)) for machine in edges))
        self.ready = [
            (m.node, self.layout.http(m)) for m, is_ready in zip(edges, found, strict=True) if is_ready
        ]

    async def _launch(self, member: Member, bootstrap: bool) -> None:
        machine = member.machine
        settings = self._folder / f"{machine.node}.yaml"
        (self._folder / machine.node).mkdir(exist_ok=True)
        raw = self.layout.settings(machine, self._folder, bootstrap)
        raw["bounds"] = {"grace_s": GRACE_S, "retry_slack": 1_000, "fenced": True}
        raw["log_levels"] = {"balancer": "INFO", "control": "INFO"}
        layout.write(settings, raw)
        environment = {"MASTTURN_CONFIG": str(settings)}
        log = member.process.log
        member.log_from = log.stat().st_size if log.exists() else 0
        if self._defect:
            await member.process.start(
                "mastturn.soak.planted", self._defect, machine.role, environment=environment
            )
        else:
            await member.process.start("mastturnd", machine.role, environment=environment)

    # ---- troubles of processes

    async def terminate(self, member: Member) -> None:
        """SIGTERM, SIGKILL after the grace, and a new start."""
        async with member.turn:
            if self.is_ending or not member.process.is_running:
                return
            span = self._records.begin("term", member.machine.node, time.monotonic())
            member.process.signal(signal.SIGTERM)
            await self._await_end(member)
            span.end = time.monotonic()
            await self._start_again(member)

    async def _await_end(self, member: Member) -> None:
        if await _ends(member.process, GRACE_S):
            never_up = member.process.exit_status == -signal.SIGTERM and not member.has_come_up()
            if member.process.exit_status != 0 and not never_up:
                self._records.unclean.append(f"{member.machine.node} ended with {member.process.exit_status}")
            return
        kill = self._records.begin("kill", member.machine.node, time.monotonic())
        self._records.unclean.append(f"{member.machine.node} had not ended {GRACE_S:g} s after SIGTERM")
        await member.process.kill()
        kill.end = time.monotonic()

    async def kill(self, member: Member, wipes: bool = False) -> None:
        """SIGKILL, and a new start; if told so, on an empty disk."""
        async with member.turn:
            if self.is_ending or not member.process.is_running:
                return
            span = self._records.begin("kill", member.machine.node, time.monotonic())
            await member.process.kill()
            if wipes:
                shutil.rmtree(self._folder / member.machine.node)
            await self._start_again(member)
            span.end = time.monotonic()

    async def stand_still(self, member: Member, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        async with member.turn:
            if self.is_ending or not member.process.is_running:
                return
            span = self._records.begin("stop", member.machine.node, time.monotonic())
            member.process.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(seconds)
            finally:
                member.process.signal(signal.SIGCONT)
                span.end = time.monotonic()

    async def hang_up(self, member: Member) -> None:
        """SIGHUP."""
        member.process.signal(signal.SIGHUP)

    async def _start_again(self, member: Member) -> None:
        await asyncio.sleep(DOWN_S)
        if not self.is_ending:
            await self._launch(member, False)

    def control_calm_s(self) -> float:
        """Since the last trouble of a control process, in seconds."""
        names = {member.machine.node for member in self.control()}
        ends = [span.end for span in self._records.spans if span.who in names]
        return time.monotonic() - max(ends, default=float("-inf"))

    async def leader(self) -> Member | None:
        """The control process that says that it leads."""
        told = await asyncio.gather(*(callers.ask(place, "/api/status") for place in self.layout.ctl()))
        leads = [(int(a["epoch"]), a["node"]) for a in told if a is not None and a["standing"] == "primary"]
        return self.members[max(leads)[1]] if leads else None

    async def stop(self) -> None:
        """End all; what does not end in order is told."""
        self.is_ending = True
        members = list(self.members.values())
        for member in members:
            member.process.signal(signal.SIGCONT)
            member.process.signal(signal.SIGTERM)
        for member in members:
            if member.process.is_running and not await _ends(member.process, GRACE_S + 1.0):
                self._records.unclean.append(f"{member.machine.node} did not end with the others")
                await member.process.kill()

    def _last_words(self) -> str:
        return "; ".join(f"{name}: {m.process.last_log_line()}" for name, m in list(self.members.items())[:4])


def configuration(ver: int, idle_routes: int = 0, mark: str = "") -> dict[str, object]:
    """The configuration of a soak: so many routes that nobody asks for, and one that tells whose it is."""
    base = layout.configuration(ver)
    stream = base["routes"][0] | {"deadline_ms": 6000}
    routes = [
        stream | {"name": "ask", "path_prefix": "/ask/", "resumable": True},
        stream | {"name": "tag", "path_prefix": "/tag/", "resumable": False, "tries": 2},
        stream | {"name": "safe", "path_prefix": "/safe/", "route_type": "safe", "tries": 3},
        stream | {"name": "once", "path_prefix": "/once/", "route_type": "unsafe", "tries": 2},
    ]
    names = [*(f"idle{number}" for number in range(idle_routes)), *([f"mark-{mark}"] if mark else [])]
    idle = [stream | {"name": name, "path_prefix": f"/{name}/"} for name in names]
    return base | {"routes": [*routes, *idle]}


async def _ends(process: Process, within_s: float) -> bool:
    until = time.monotonic() + within_s
    while process.is_running and time.monotonic() < until:
        await asyncio.sleep(0.01)
    return not process.is_running


async def _is_ready(address: str) -> bool:
    """Whether a balancer answers 200 at its readiness."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).split(b" ")[1:2] == [b"200"]
            finally:
                with contextlib.suppress(OSError):
                    writer.close()
    except (OSError, TimeoutError):
        return False
