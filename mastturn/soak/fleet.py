"""Starts, signals and restarts the fleet's real processes in a soak."""

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

GRACE_S = 5.0  # `grace_s` of the settings: a process still running this long after SIGTERM is killed
RESTART_DELAY_S = 0.3  # until an ended process is restarted
READINESS_POLL_S = 0.4  # between two polls of the balancers' readiness
READY_TIMEOUT_S = 30.0
STARTED_EVENT = b"event=started"  # logged once a process handles signals and serves
START_BATCH = 16  # processes that are started concurrently
LEADER_TIMEOUT_S = 30.0
RECOVERY_S = 12.0  # `recovery_s`: all balancers are ready within this after the last trouble


@dataclass(slots=True)
class Member:
    """One machine of the fleet and its process."""

    machine: Machine
    process: Process
    log_from: int = 0  # size of its log before the last start, in bytes
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)  # serializes the faults of one process

    def has_started(self) -> bool:
        """Return whether the process has logged its start; before that a SIGTERM ends it without a drain."""
        return STARTED_EVENT in self.process.log.read_bytes()[self.log_from :]


class Fleet:
    """The control processes and balancers of a soak."""

    def __init__(self, plan_layout: Layout, folder: Path, records: Records, defect: str = "") -> None:
        self.layout, self._folder, self._records, self._defect = plan_layout, folder, records, defect
        machines = (*plan_layout.cores, *plan_layout.edges, *plan_layout.diskless)
        self.members = {m.node: Member(m, Process(m.node, folder)) for m in machines}
        self.ready: list[tuple[str, str]] = []  # names and addresses of ready balancers
        self.is_stopping = False
        self._seeds: dict[str, list[str]] = {}  # by machine, where they differ from the first ones

    def control(self) -> list[Member]:
        """Return the control processes with a disk."""
        return [self.members[machine.node] for machine in self.layout.cores]

    def diskless(self) -> list[Member]:
        """Return the control processes without a disk."""
        return [self.members[machine.node] for machine in self.layout.diskless]

    def balancers(self) -> list[Member]:
        """Return the balancers."""
        return [self.members[machine.node] for machine in self.layout.edges]

    async def start(self) -> None:
        """Start all processes and put the first configuration; raises LabError."""
        members = list(self.members.values())
        for first in range(0, len(members), START_BATCH):
            await asyncio.gather(*(self._launch(m, True) for m in members[first : first + START_BATCH]))
        if not await callers.put(self.layout.ctl(), configuration(1), 0, LEADER_TIMEOUT_S):
            raise LabError(f"the first configuration was not accepted: {self._last_log_lines()}")
        await self._wait_until(lambda: len(self.ready) == len(self.balancers()))

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            await self.poll_readiness()
            if condition():
                return
            await asyncio.sleep(READINESS_POLL_S)
        raise LabError(f"the balancers are not ready after {READY_TIMEOUT_S:g} s: {self._last_log_lines()}")

    async def wait_recovered(self) -> None:
        """Wait until all balancers are ready, and record those that are not in time."""
        deadline = time.monotonic() + RECOVERY_S
        while len(self.ready) < len(self.balancers()) and time.monotonic() < deadline:
            await asyncio.sleep(READINESS_POLL_S)
            await self.poll_readiness()
        ready = {node for node, _ in self.ready}
        self._records.unready += [m.machine.node for m in self.balancers() if m.machine.node not in ready]

    async def watch(self) -> None:
        """Poll the balancers' readiness until cancelled."""
        while True:
            await self.poll_readiness()
            await asyncio.sleep(READINESS_POLL_S)

    async def poll_readiness(self) -> None:
        """Update the list of ready balancers."""
        edges = self.layout.edges
        readiness = await asyncio.gather(*(_is_ready(self.layout.readyz(machine)) for machine in edges))
        self.ready = [
            (m.node, self.layout.http(m)) for m, is_ready in zip(edges, readiness, strict=True) if is_ready
        ]

    async def _launch(self, member: Member, bootstrap: bool) -> None:
        machine = member.machine
        (self._folder / machine.node).mkdir(exist_ok=True)
        settings = self._write_settings(machine, bootstrap)
        environment = {"MASTTURN_CONFIG": str(settings)}
        log = member.process.log
        member.log_from = log.stat().st_size if log.exists() else 0
        if self._defect:
            await member.process.start(
                "mastturn.soak.planted", self._defect, machine.role, environment=environment
            )
        else:
            await member.process.start("mastturnd", machine.role, environment=environment)

    def _write_settings(self, machine: Machine, bootstrap: bool = False) -> Path:
        """Write a machine's settings file in one step, as its process may be reading it."""
        path = self._folder / f"{machine.node}.yaml"
        values = self.layout.settings(machine, self._folder, bootstrap)
        values["seed_addrs"] = self._seeds.get(machine.node, values["seed_addrs"])
        values["bounds"] = {"grace_s": GRACE_S, "retry_slack": 1_000, "fenced": True}
        values["log_levels"] = {"balancer": "INFO", "control": "INFO"}
        temporary = path.with_suffix(".new")
        layout.write(temporary, values)
        temporary.replace(path)
        return path

    def change_seeds(self, seeds: dict[str, list[str]]) -> None:
        """Write the settings files of these machines anew, with other seeds."""
        self._seeds |= seeds
        for node in seeds:
            self._write_settings(self.members[node].machine)

    # ---- faults of processes

    async def terminate(self, member: Member) -> None:
        """Send SIGTERM, SIGKILL after the grace period, and restart the process."""
        async with member.lock:
            if self.is_stopping or not member.process.is_running:
                return
            span = self._records.begin("term", member.machine.node, time.monotonic())
            member.process.signal(signal.SIGTERM)
            await self._wait_for_exit(member)
            span.end = time.monotonic()
            await self._restart(member)

    async def _wait_for_exit(self, member: Member) -> None:
        if await _exits_within(member.process, GRACE_S):
            ended_before_start = member.process.exit_status == -signal.SIGTERM and not member.has_started()
            if member.process.exit_status != 0 and not ended_before_start:
                self._records.unclean_exits.append(
                    f"{member.machine.node} exited with status {member.process.exit_status}"
                )
            return
        kill = self._records.begin("kill", member.machine.node, time.monotonic())
        self._records.unclean_exits.append(
            f"{member.machine.node} was still running {GRACE_S:g} s after SIGTERM"
        )
        await member.process.kill()
        kill.end = time.monotonic()

    async def kill(self, member: Member, wipe_disk: bool = False) -> None:
        """Send SIGKILL and restart the process; with `wipe_disk`, on an empty disk."""
        async with member.lock:
            if self.is_stopping or not member.process.is_running:
                return
            span = self._records.begin("kill", member.machine.node, time.monotonic())
            await member.process.kill()
            if wipe_disk:
                shutil.rmtree(self._folder / member.machine.node)
            await self._restart(member)
            span.end = time.monotonic()

    async def pause(self, member: Member, seconds: float) -> None:
        """Send SIGSTOP, and SIGCONT after `seconds`."""
        async with member.lock:
            if self.is_stopping or not member.process.is_running:
                return
            span = self._records.begin("stop", member.machine.node, time.monotonic())
            member.process.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(seconds)
            finally:
                member.process.signal(signal.SIGCONT)
                span.end = time.monotonic()

    async def send_sighup(self, member: Member) -> None:
        """Send SIGHUP."""
        member.process.signal(signal.SIGHUP)

    async def _restart(self, member: Member) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.is_stopping:
            await self._launch(member, False)

    def since_control_fault_s(self) -> float:
        """Return the seconds since the last fault of a control process."""
        names = {member.machine.node for member in self.control()}
        ends = [span.end for span in self._records.spans if span.subject in names]
        return time.monotonic() - max(ends, default=float("-inf"))

    async def leader(self) -> Member | None:
        """Return the control process that reports to be the primary, in the latest epoch."""
        statuses = await asyncio.gather(
            *(callers.get_json(address, "/api/status") for address in self.layout.ctl())
        )
        primaries = [
            (int(a["epoch"]), a["node"]) for a in statuses if a is not None and a["standing"] == "primary"
        ]
        return self.members[max(primaries)[1]] if primaries else None

    async def stop(self) -> None:
        """Stop all processes; records those that do not exit in order."""
        self.is_stopping = True
        members = list(self.members.values())
        for member in members:
            member.process.signal(signal.SIGCONT)
            member.process.signal(signal.SIGTERM)
        for member in members:
            if member.process.is_running and not await _exits_within(member.process, GRACE_S + 1.0):
                self._records.unclean_exits.append(
                    f"{member.machine.node} did not exit at the end of the soak"
                )
                await member.process.kill()

    def _last_log_lines(self) -> str:
        return "; ".join(f"{name}: {m.process.last_log_line()}" for name, m in list(self.members.items())[:4])


def configuration(ver: int, idle_routes: int = 0, mark: str = "") -> dict[str, object]:
    """Return a configuration with this many unused routes, and one whose name contains `mark`."""
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


async def _exits_within(process: Process, timeout_s: float) -> bool:
    deadline = time.monotonic() + timeout_s
    while process.is_running and time.monotonic() < deadline:
        await asyncio.sleep(0.01)
    return not process.is_running


async def _is_ready(address: str) -> bool:
    """Return whether a balancer's readiness check returns 200."""
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
