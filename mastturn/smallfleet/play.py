"""Runs the small fleet: starts it, sends requests, kills the leader, and stops everything."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import statistics
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mastturn.files import LabError
from mastturn.smallfleet import callers, layout
from mastturn.smallfleet.layout import Layout, Machine
from mastturn.smallfleet.surroundings import Platform, Upstream
from mastturn.standins.process import Process, responds_ok

PHASES = ("prefill", "prefill", "decode", "decode", "decode")
LEADER_TIMEOUT_S, PUT_TIMEOUT_S, READY_TIMEOUT_S = 15.0, 10.0, 15.0
LOG_PERIOD_S, POLL_S = 1.0, 0.1
OTHER_PROGRAM_SUFFIX = "b"  # last letter of the names of machines that may run another program
Log = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a run."""

    served: int
    refused: int
    failed: int
    cut: int
    ran_twice: int
    first_ms: float  # median time to the first event
    memory_mb: dict[str, float]  # peak of each process
    took_over_s: float | None  # from the kill of the leader to the next leader
    unclean: tuple[str, ...]  # processes with an exit status other than 0

    @property
    def is_good(self) -> bool:
        """Whether requests were served, none was lost, and every process exited in order."""
        lost = self.failed + self.cut + self.ran_twice
        return self.served > 0 and lost == 0 and not self.unclean


class SmallFleet:
    """Three control processes, three balancers, and stand-ins for their environment."""

    def __init__(self, folder: Path, log: Log, other: Path | None = None, shared: bool = False) -> None:
        """`other`: a checkout whose program some of the processes run, as during an upgrade.

        `shared`: control processes and balancers share their machines.
        """
        self._folder, self._log, self._other = folder, log, other
        self._layout: Layout = layout.allocate_layout(len(PHASES), shared=shared)
        self._upstreams = [
            Upstream(f"u-{i}", address, layout.ZONES[i % len(layout.ZONES)], phase)
            for i, (address, phase) in enumerate(zip(self._layout.upstreams, PHASES, strict=True))
        ]
        self._processes: dict[str, Process] = {}
        self._ready: list[str] = []
        self._peak_memory_mb: dict[str, float] = {}
        self._took_over_s: float | None = None
        self._exit_stack = AsyncExitStack()

    @property
    def operator_file(self) -> Path:
        """Path of the settings for operators' commands on this fleet."""
        return self._folder / "operator.yaml"

    async def run(self, seconds: float, kills: bool, stop: asyncio.Event | None = None) -> Result:
        """Run the fleet, with a log line per second; SIGINT or SIGTERM ends it early. Raises LabError."""
        stop, loop = stop or asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            with contextlib.suppress(NotImplementedError, RuntimeError):
                loop.add_signal_handler(number, stop.set)
        clients = callers.Clients(lambda: self._ready)
        async with self._exit_stack:
            await self._start()
            background_tasks = [
                asyncio.create_task(self._log_progress(clients)),
                asyncio.create_task(self._poll()),
            ]
            failover = asyncio.create_task(self._fail_over(seconds)) if kills else None
            client_task = asyncio.create_task(clients.run(stop))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await stop.wait()
            if failover is not None:
                background_tasks.append(failover)
                if not stop.is_set():  # complete the failover that has begun
                    await asyncio.wait([failover])
            stop.set()
            await client_task
            for task in background_tasks:
                task.cancel()
            ends = await asyncio.gather(*background_tasks, return_exceptions=True)
            for end in ends:
                if isinstance(end, Exception):
                    raise end
            self._measure()
        return self._result(clients)

    # ---- start and stop

    async def _start(self) -> None:
        for upstream in self._upstreams:
            await upstream.start()
            self._exit_stack.push_async_callback(upstream.stop)
        platform = Platform(self._layout.platform, self._upstreams)
        await platform.start()
        self._exit_stack.push_async_callback(platform.stop)
        layout.write(self.operator_file, self._layout.operator())
        self._exit_stack.push_async_callback(self._stop_all)
        for machine in (*self._layout.cores, *self._layout.edges):
            await self._launch(machine, True)
        self._log(f"started: {', '.join(f'{n} ({p.pid})' for n, p in self._processes.items())}")
        self._log(f"to ask them: export MASTTURN_CONFIG={self.operator_file}")
        first = layout.configuration(1)
        leader = await self._wait_for_leader("", LEADER_TIMEOUT_S)
        self._log(f"{leader} leads")
        if not await callers.put(self._layout.ctl(), first, 0, PUT_TIMEOUT_S):
            raise LabError(f"the first configuration was not accepted: {self._last_log_lines()}")
        self._log("the operator has put configuration 1")
        await self._wait_until_ready()
        self._log("all balancers are ready")

    async def _launch(self, machine: Machine, bootstrap: bool) -> None:
        settings = self._folder / f"{machine.node}.yaml"
        (self._folder / machine.node).mkdir(exist_ok=True)
        layout.write(settings, self._layout.settings(machine, self._folder, bootstrap))
        process = self._processes.setdefault(machine.node, Process(machine.node, self._folder))
        environment, program = {"MASTTURN_CONFIG": str(settings)}, layout.PROGRAM
        if self._other is not None and machine.node.endswith(OTHER_PROGRAM_SUFFIX):
            environment |= {"PYTHONPATH": str(self._other), "PYTHONSAFEPATH": "1"}
            program = layout.program_of(self._other)
        role = machine.role
        if program == layout.FORMER_PROGRAM:
            role = layout.FORMER_ROLES.get(role, role)
        await process.start(program, role, environment=environment)

    async def _stop_all(self) -> None:
        await asyncio.gather(*(process.stop() for process in self._processes.values()))

    def _last_log_lines(self) -> str:
        return "; ".join(f"{name}: {p.last_log_line()}" for name, p in self._processes.items())

    async def _leader(self) -> tuple[str, int]:
        """Return the name and epoch of the primary of the latest epoch, empty and 0 if there is none."""
        statuses = await asyncio.gather(
            *(callers.get_json(address, "/api/status") for address in self._layout.ctl())
        )
        primaries = [
            (a["node"], int(a["epoch"])) for a in statuses if a is not None and a["standing"] == "primary"
        ]
        return max(primaries, key=lambda primary: primary[1], default=("", 0))

    async def _wait_for_leader(self, previous: str, timeout_s: float) -> str:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            name, _ = await self._leader()
            if name and name != previous:
                return name
            await asyncio.sleep(POLL_S * 3)
        raise LabError(f"no leader after {timeout_s:g} s: {self._last_log_lines()}")

    async def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            await self._poll_readiness()
            if len(self._ready) == len(self._layout.edges):
                return
            await asyncio.sleep(POLL_S)
        raise LabError(f"the balancers are not ready after {READY_TIMEOUT_S:g} s: {self._last_log_lines()}")

    # ---- while it runs

    async def _poll_readiness(self) -> None:
        edges = self._layout.edges
        ready = await asyncio.gather(*(responds_ok(self._layout.readyz(m), "/api/readyz") for m in edges))
        self._ready = [self._layout.http(m) for m, is_ready in zip(edges, ready, strict=True) if is_ready]

    async def _poll(self) -> None:
        while True:
            await self._poll_readiness()
            self._measure()
            await asyncio.sleep(callers.READINESS_POLL_S)

    def _measure(self) -> None:
        """Update each process's peak memory, over all of its starts."""
        for name, process in self._processes.items():
            if process.is_running:
                with contextlib.suppress(OSError, ValueError, IndexError):
                    text = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
                    peak = int(text.split("VmHWM:")[1].split()[0]) / 1024
                    self._peak_memory_mb[name] = max(self._peak_memory_mb.get(name, 0.0), peak)

    async def _log_progress(self, clients: callers.Clients) -> None:
        previous_counts, second = clients.end_counts.copy(), 0
        while True:
            await asyncio.sleep(LOG_PERIOD_S)
            second += 1
            new_counts = clients.end_counts - previous_counts
            previous_counts = clients.end_counts.copy()
            counts = "  ".join(
                f"{end} {new_counts[end]:3d}" for end in ("served", "refused", "failed", "cut")
            )
            first = statistics.median(clients.first_ms[-50:]) if clients.first_ms else 0.0
            self._log(
                f"{second:4d} s  {counts}  open {clients.in_flight:3d}  first event {first:5.0f} ms  "
                f"balancers ready {len(self._ready)}"
            )

    async def _fail_over(self, seconds: float) -> None:
        """Kill the leader, wait for another, put a configuration, and restart the killed process."""
        await asyncio.sleep(seconds * 0.3)
        name, _ = await self._leader()
        if not name:
            return
        await self._processes[name].kill()
        killed_at = time.monotonic()
        self._log(f"        {name} was the leader, and is killed")
        other = await self._wait_for_leader(name, LEADER_TIMEOUT_S)
        self._took_over_s = time.monotonic() - killed_at
        self._log(f"        {other} leads after {self._took_over_s:.1f} s")
        ctl = [c for m, c in zip(self._layout.cores, self._layout.ctl(), strict=True) if m.node != name]
        if await callers.put(ctl, layout.configuration(2), 1, PUT_TIMEOUT_S):
            self._log("        the operator has put configuration 2")
        machine = next(m for m in self._layout.cores if m.node == name)
        await self._launch(machine, False)
        self._log(f"        {name} was restarted")

    def _result(self, clients: callers.Clients) -> Result:
        runs: dict[str, int] = {}
        for upstream in self._upstreams:
            for number, count in upstream.runs.items():
                runs[number] = runs.get(number, 0) + count
        unclean = tuple(
            f"{name} exited with status {process.exit_status}"
            for name, process in self._processes.items()
            if process.exit_status != 0
        )
        return Result(
            served=clients.end_counts["served"],
            refused=clients.end_counts["refused"],
            failed=clients.end_counts["failed"],
            cut=clients.end_counts["cut"],
            ran_twice=sum(count - 1 for count in runs.values()),
            first_ms=statistics.median(clients.first_ms) if clients.first_ms else 0.0,
            memory_mb={name: round(peak, 1) for name, peak in sorted(self._peak_memory_mb.items())},
            took_over_s=self._took_over_s,
            unclean=unclean,
        )

    def pids(self) -> list[int]:
        """Return the process ids of the latest starts."""
        return [process.pid for process in self._processes.values()]


def still_running(pids: list[int]) -> list[int]:
    """Return those of the processes that still exist."""
    return [pid for pid in pids if os.path.exists(f"/proc/{pid}")]


def as_json(result: Result) -> dict[str, Any]:
    """Return the result as JSON values."""
    names = ("served", "refused", "failed", "cut", "ran_twice", "first_ms", "memory_mb", "took_over_s")
    return {name: getattr(result, name) for name in names} | {"unclean": list(result.unclean)}
