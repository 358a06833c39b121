"""One play of the small fleet: all is started, asked, troubled and ended, and nothing of it is left."""

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
LED_S, TAKEN_S, READY_S = 15.0, 10.0, 15.0
LINE_S, LOOK_S = 1.0, 0.1
OTHERS = "b"  # names of machines that may run another program end so
Say = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Result:
    """What became of it."""

    served: int
    refused: int
    failed: int
    cut: int
    ran_twice: int
    first_ms: float  # the median to the first event
    memory_mb: dict[str, float]  # the most of each process, in MB
    took_over_s: float | None  # until another led, after the leader was killed
    unclean: tuple[str, ...]  # processes that did not end in order

    @property
    def is_good(self) -> bool:
        """Whether all went well."""
        lost = self.failed + self.cut + self.ran_twice
        return self.served > 0 and lost == 0 and not self.unclean


class Play:
    """Three control processes, three balancers, and all that stands around them."""

    def __init__(self, folder: Path, say: Say, other: Path | None = None, shared: bool = False) -> None:
        """`other`: a checkout whose program some of the processes run, as in the middle of an upgrade.

        `shared`: control processes and balancers share their machines.
        """
        self._folder, self._say, self._other = folder, say, other
        self._layout: Layout = layout.lay_out(len(PHASES), shared=shared)
        self._upstreams = [
            Upstream(f"u-{i}", place, layout.ZONES[i % len(layout.ZONES)], phase)
            for i, (place, phase) in enumerate(zip(self._layout.upstreams, PHASES, strict=True))
        ]
        self._processes: dict[str, Process] = {}
        self._ready: list[str] = []
        self._memory: dict[str, float] = {}
        self._took_over: float | None = None
        self._ending = AsyncExitStack()

    @property
    def operator_file(self) -> Path:
        """Settings for operators' commands on this fleet."""
        return self._folder / "operator.yaml"

    async def run(self, seconds: float, kills: bool, stop: asyncio.Event | None = None) -> Result:
        """Play it, with a line a second; Ctrl-C ends it early. Raises LabError if it can't begin."""
        stop, loop = stop or asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            with contextlib.suppress(NotImplementedError, RuntimeError):
                loop.add_signal_handler(number, stop.set)
        clients = callers.Clients(lambda: self._ready)
        async with self._ending:
            await self._start()
            side = [asyncio.create_task(self._watch(clients)), asyncio.create_task(self._look())]
            trouble = asyncio.create_task(self._trouble(seconds)) if kills else None
            playing = asyncio.create_task(clients.play(stop))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await stop.wait()
            if trouble is not None:
                side.append(trouble)
                if not stop.is_set():  # it has begun, and is seen to its end
                    await asyncio.wait([trouble])
            stop.set()
            await playing
            for task in side:
                task.cancel()
            ends = await asyncio.gather(*side, return_exceptions=True)
            for end in ends:
                if isinstance(end, Exception):
                    raise end
            self._measure()
        return self._result(clients)

    # ---- start and end

    async def _start(self) -> None:
        for upstream in self._upstreams:
            await upstream.start()
            self._ending.push_async_callback(upstream.stop)
        platform = Platform(self._layout.platform, self._upstreams)
        await platform.start()
        self._ending.push_async_callback(platform.stop)
        layout.write(self.operator_file, self._layout.operator())
        self._ending.push_async_callback(self._stop_all)
        for machine in (*self._layout.cores, *self._layout.edges):
            await self._launch(machine, True)
        self._say(f"started: {', '.join(f'{n} ({p.pid})' for n, p in self._processes.items())}")
        self._say(f"to ask them: export MASTTURN_CONFIG={self.operator_file}")
        first = layout.configuration(1)
        leader = await self._until_led("", LED_S)
        self._say(f"{leader} leads")
        if not await callers.put(self._layout.ctl(), first, 0, TAKEN_S):
            raise LabError(f"the first configuration was not taken: {self._last_words()}")
        self._say("the operator has put configuration 1")
        await self._until_ready()
        self._say("all balancers are ready")

    async def _launch(self, machine: Machine, bootstrap: bool) -> None:
        settings = self._folder / f"{machine.node}.yaml"
        (self._folder / machine.node).mkdir(exist_ok=True)
        layout.write(settings, self._layout.settings(machine, self._folder, bootstrap))
        process = self._processes.setdefault(machine.node, Process(machine.node, self._folder))
        environment, program = {"MASTTURN_CONFIG": str(settings)}, layout.PROGRAM
        if self._other is not None and machine.node.endswith(OTHERS):
            environment |= {"PYTHONPATH": str(self._other), "PYTHONSAFEPATH": "1"}
            program = layout.program_of(self._other)
        role = machine.role
        if program == layout.FORMER_PROGRAM:
            role = layout.FORMER_ROLES.get(role, role)
        await process.start(program, role, environment=environment)

    async def _stop_all(self) -> None:
        await asyncio.gather(*(process.stop() for process in self._processes.values()))

    def _last_words(self) -> str:
        return "; ".join(f"{name}: {p.last_log_line()}" for name, p in self._processes.items())

    async def _leader(self) -> tuple[str, int]:
        """Who says that it leads, in the latest epoch."""
        told = await asyncio.gather(*(callers.ask(place, "/api/status") for place in self._layout.ctl()))
        leads = [(a["node"], int(a["epoch"])) for a in told if a is not None and a["standing"] == "primary"]
        return max(leads, key=lambda found: found[1], default=("", 0))

    async def _until_led(self, other_than: str, within_s: float) -> str:
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            name, _ = await self._leader()
            if name and name != other_than:
                return name
            await asyncio.sleep(LOOK_S * 3)
        raise LabError(f"nobody leads after {within_s:g} s: {self._last_words()}")

    async def _until_ready(self) -> None:
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            await self._ask_readiness()
            if len(self._ready) == len(self._layout.edges):
                return
            await asyncio.sleep(LOOK_S)
        raise LabError(f"the balancers are not ready after {READY_S:g} s: {self._last_words()}")

    # ---- while it plays

    async def _ask_readiness(self) -> None:
        edges = self._layout.edges
        ready = await asyncio.gather(*(responds_ok(self._layout.readyz(m), "/api/readyz") for m in edges))
        self._ready = [self._layout.http(m) for m, is_ready in zip(edges, ready, strict=True) if is_ready]

    async def _look(self) -> None:
        while True:
            await self._ask_readiness()
            self._measure()
            await asyncio.sleep(callers.LOOK_S)

    def _measure(self) -> None:
        """The peak of each process's memory; a process that was started anew counts with both."""
        for name, process in self._processes.items():
            if process.is_running:
                with contextlib.suppress(OSError, ValueError, IndexError):
                    text = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
                    peak = int(text.split("VmHWM:")[1].split()[0]) / 1024
                    self._memory[name] = max(self._memory.get(name, 0.0), peak)

    async def _watch(self, clients: callers.Clients) -> None:
        before, second = clients.ended.copy(), 0
        while True:
            await asyncio.sleep(LINE_S)
            second += 1
            new = clients.ended - before
            before = clients.ended.copy()
            counts = "  ".join(f"{end} {new[end]:3d}" for end in ("served", "refused", "failed", "cut"))
            first = statistics.median(clients.first_ms[-50:]) if clients.first_ms else 0.0
            self._say(
                f"{second:4d} s  {counts}  open {clients.open:3d}  first event {first:5.0f} ms  "
                f"balancers ready {len(self._ready)}"
            )

    async def _trouble(self, seconds: float) -> None:
        """Kill who leads, see another lead, put a configuration, and start the killed one again."""
        await asyncio.sleep(seconds * 0.3)
        name, _ = await self._leader()
        if not name:
            return
        await self._processes[name].kill()
        killed = time.monotonic()
        self._say(f"        {name} leads, and is killed")
        other = await self._until_led(name, LED_S)
        self._took_over = time.monotonic() - killed
        self._say(f"        {other} leads after {self._took_over:.1f} s")
        ctl = [c for m, c in zip(self._layout.cores, self._layout.ctl(), strict=True) if m.node != name]
        if await callers.put(ctl, layout.configuration(2), 1, TAKEN_S):
            self._say("        the operator has put configuration 2")
        machine = next(m for m in self._layout.cores if m.node == name)
        await self._launch(machine, False)
        self._say(f"        {name} is started again")

    def _result(self, clients: callers.Clients) -> Result:
        ran: dict[str, int] = {}
        for upstream in self._upstreams:
            for number, times in upstream.ran.items():
                ran[number] = ran.get(number, 0) + times
        unclean = tuple(
            f"{name} ended with {process.exit_status}"
            for name, process in self._processes.items()
            if process.exit_status != 0
        )
        return Result(
            served=clients.ended["served"],
            refused=clients.ended["refused"],
            failed=clients.ended["failed"],
            cut=clients.ended["cut"],
            ran_twice=sum(times - 1 for times in ran.values()),
            first_ms=statistics.median(clients.first_ms) if clients.first_ms else 0.0,
            memory_mb={name: round(peak, 1) for name, peak in sorted(self._memory.items())},
            took_over_s=self._took_over,
            unclean=unclean,
        )

    def pids(self) -> list[int]:
        """The numbers of the processes that were started last, for whoever looks whether they have ended."""
        return [process.pid for process in self._processes.values()]


def left(pids: list[int]) -> list[int]:
    """Those of our processes that are there yet."""
    return [pid for pid in pids if os.path.exists(f"/proc/{pid}")]


def as_json(result: Result) -> dict[str, Any]:
    """For a file."""
    names = ("served", "refused", "failed", "cut", "ran_twice", "first_ms", "memory_mb", "took_over_s")
    return {name: getattr(result, name) for name in names} | {"unclean": list(result.unclean)}
