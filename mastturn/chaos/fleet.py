"""Starts and stops the programs of a chaos run and the links between them."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import sqlite3
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from mastturn.chaos.history import Recorder
from mastturn.chaos.links import Link
from mastturn.chaos.plan import REPLICA_LETTERS, SCRATCH_AGENT, Plan, agent_names
from mastturn.chaos.upstream import Told
from mastturn.standins import plan as standins
from mastturn.standins.balancers import Balancer, settings
from mastturn.standins.ports import free_port
from mastturn.standins.process import Process, responds_ok

DRAIN_S = 2.5  # a leaving upstream keeps serving this long, until balancers know that it leaves
SCRATCH = "scratch"  # list that no balancer uses


class Program:
    """A program of the run, with its process, start function and address."""

    def __init__(self, process: Process, start: Callable[[], Awaitable[None]], address: str) -> None:
        self.process, self._start, self.address = process, start, address
        self.fault_lock = asyncio.Lock()  # no fault hits a program that another one is starting

    @property
    def name(self) -> str:
        """Name in plans and histories."""
        return self.process.name

    async def start(self) -> None:
        """Start the program and wait until it is ready."""
        await self._start()

    async def replace(self) -> None:
        """Stop the program gracefully and start a new process."""
        await self.process.stop()
        await self._start()

    async def kill(self) -> None:
        """Kill the program with SIGKILL."""
        await self.process.kill()

    def pause(self) -> None:
        """Pause the program with SIGSTOP."""
        self.process.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the program with SIGCONT."""
        self.process.signal(signal.SIGCONT)


def request_classes() -> tuple[standins.RequestClass, ...]:
    """Request classes of the load; long enough that faults hit some requests in flight."""
    return (
        standins.RequestClass("menu-view", 0.5, 100.0, 1_500.0, 3_000.0),
        standins.RequestClass("pick-save", 0.3, 60.0, 1_000.0, 2_000.0),
        standins.RequestClass("box-pay", 0.2, 60.0, 800.0, 2_000.0, "once"),
    )


class Fleet:
    """All programs and links of a plan, on loopback."""

    def __init__(self, plan: Plan, folder: Path, history: Path, recorder: Recorder) -> None:
        """`folder` holds files and logs, `history` the upstreams' rows; links report to `recorder`."""
        self.plan, self.folder, self._history = plan, folder, history
        self._recorder = recorder
        self.programs: dict[str, Program] = {}
        self.links: dict[str, Link] = {}
        names = [f"replica-{REPLICA_LETTERS[i]}" for i in range(plan.replicas)]
        self.replicas = {name: f"127.0.0.1:{free_port()}" for name in names}
        self.load = standins.Plan(
            seconds=plan.seconds, requests_per_s=plan.requests_per_s, cores=plan.cores, seed=plan.seed,
            classes=request_classes(),
        )  # fmt: skip

    def database_path(self, replica: str) -> Path:
        """Path of a replica's database."""
        return self.folder / f"{replica}.db"

    async def _start_link(self, name: str, target: str, observed: bool = False) -> str:
        link = self.links[name] = Link(name, target, self._recorder.write if observed else None)
        await link.start()
        return link.address

    async def start(self) -> None:
        """Start all programs and wait until they are ready."""
        for source in self.replicas:
            for other, address in self.replicas.items():
                if source != other:
                    await self._start_link(f"{source}>{other}", address)
        await asyncio.gather(*(self._start_replica(name) for name in self.replicas))
        await asyncio.gather(*(self._start_upstream(i) for i in range(self.plan.upstreams)))
        await asyncio.gather(*(self._start_agent(name) for name in agent_names(self.plan)))
        await asyncio.gather(*(self._start_balancer(i) for i in range(self.plan.balancers)))

    async def stop(self) -> None:
        """Stop all programs, balancers first."""
        for prefix in ("balancer-", "agent-", "upstream-", "replica-"):
            group = [p for name, p in self.programs.items() if name.startswith(prefix)]
            if prefix == "upstream-":  # without their drain
                await asyncio.gather(*(p.kill() for p in group))
            await asyncio.gather(*(p.process.stop() for p in group))
        for link in self.links.values():
            await link.stop()

    def _add(self, process: Process, start: Callable[[], Awaitable[None]], address: str) -> Program:
        program = self.programs[process.name] = Program(process, start, address)
        return program

    async def _start_replica(self, name: str) -> None:
        address = self.replicas[name]
        process = Process(name, self.folder)
        arguments = ["serve", "--name", name, "--listen", address, "--data", str(self.database_path(name))]
        for other in self.replicas:
            if other != name:
                arguments += ["--peer", f"{other}={self.links[f'{name}>{other}'].address}"]

        async def start() -> None:
            await process.start("mastturn.registry", *arguments)
            await process.wait_until_ready(lambda: responds_ok(address, "/health/ready"))

        await self._add(process, start, address).start()

    async def _start_upstream(self, number: int) -> None:
        name = f"upstream-{number}"
        port = free_port()
        listed_at = await self._start_link(f"balancers>{name}", f"127.0.0.1:{port}", observed=True)
        replicas = [await self._start_link(f"{name}>{r}", address) for r, address in self.replicas.items()]
        upstream_config = Told(
            name, port, listed_at, tuple(replicas), request_classes(), self.plan.cores,
            self.plan.lease_s * 1000, DRAIN_S, str(self._history / f"{name}.jsonl"),
        )  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(upstream_config))
        process = Process(name, self.folder)

        async def start() -> None:
            await process.start("mastturn.chaos.upstream", str(path))
            await process.wait_until_ready(lambda: _listens(port))

        await self._add(process, start, f"127.0.0.1:{port}").start()

    async def _start_agent(self, name: str) -> None:
        address = f"127.0.0.1:{free_port()}"
        arguments = ["agent", "--listen", address, "--snapshot", str(self.folder / f"{name}.snapshot.json")]
        arguments += ["--list", SCRATCH if name == SCRATCH_AGENT else ""]
        for replica, target in self.replicas.items():
            arguments += ["--replica", await self._start_link(f"{name}>{replica}", target)]
        process = Process(name, self.folder)

        async def start() -> None:
            await process.start("mastturn.registry", *arguments)
            await process.wait_until_ready(lambda: responds_ok(address, "/health/live"))

        await self._add(process, start, address).start()

    async def _start_balancer(self, number: int) -> None:
        agent = self.programs[f"agent-{number}"]
        balancer_settings = settings(self.load, 0, self.plan.balancers)
        source = Balancer(f"balancer-{number}", agent.address, None, balancer_settings, self.folder)
        await self._add(source.process, source.start, source.address).start()

    def copy_state(self, replica: str) -> Path:
        """Copy a replica's database as it is now; returns the copy's path."""
        copy = self.folder / f"{replica}.old"
        copy.unlink(missing_ok=True)
        with (
            contextlib.closing(
                sqlite3.connect(f"file:{self.database_path(replica)}?mode=ro", uri=True)
            ) as current,
            contextlib.closing(sqlite3.connect(copy)) as target,
        ):
            current.backup(target)  # includes the write-ahead log
        return copy

    async def restore_state(self, replica: str, copy: Path) -> None:
        """Kill a replica and restart it from an old copy of its database."""
        program = self.programs[replica]
        await program.kill()
        for suffix in ("-wal", "-shm"):
            self.database_path(replica).with_name(self.database_path(replica).name + suffix).unlink(
                missing_ok=True
            )
        shutil.copyfile(copy, self.database_path(replica))
        await program.start()

    def logs(self) -> dict[str, str]:
        """Log text of each program, by name."""
        return {path.stem: path.read_text(errors="replace") for path in sorted(self.folder.glob("*.log"))}


async def _listens(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True
