"""The programs of a run and the links between them: started, troubled, and ended, all by their own
numbers.
"""

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
from mastturn.chaos.plan import NAMES, SCRATCH_AGENT, Plan, agents
from mastturn.chaos.upstream import Told
from mastturn.standins import plan as standins
from mastturn.standins.balancers import Balancer, settings
from mastturn.standins.ports import free_port
from mastturn.standins.process import Process, responds_ok

DRAIN_S = 2.5  # an upstream that leaves serves on for so long: balancers hear of it meanwhile
SCRATCH = "scratch"  # the list that nobody balances


class Program:
    """One program of the run: how it is started, and what tells that it is ready."""

    def __init__(self, process: Process, start: Callable[[], Awaitable[None]], address: str) -> None:
        self.process, self._start, self.address = process, start, address
        self.turn = asyncio.Lock()  # one fault after another: none falls on a program that another one starts

    @property
    def name(self) -> str:
        """What plans and histories call it."""
        return self.process.name

    async def start(self) -> None:
        """Start it, and wait until it is ready."""
        await self._start()

    async def replace(self) -> None:
        """Tell it to end, wait, and start a new one."""
        await self.process.stop()
        await self._start()

    async def kill(self) -> None:
        """End it without a word."""
        await self.process.kill()

    def pause(self) -> None:
        """Stop it where it stands."""
        self.process.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Let it go on."""
        self.process.signal(signal.SIGCONT)


def kinds() -> tuple[standins.RequestClass, ...]:
    """The classes of requests that a run sends: long enough that faults meet some of them under way."""
    return (
        standins.RequestClass("menu-view", 0.5, 100.0, 1_500.0, 3_000.0),
        standins.RequestClass("pick-save", 0.3, 60.0, 1_000.0, 2_000.0),
        standins.RequestClass("box-pay", 0.2, 60.0, 800.0, 2_000.0, "once"),
    )


class Fleet:
    """Everything that runs on loopback for one plan."""

    def __init__(self, plan: Plan, folder: Path, history: Path, recorder: Recorder) -> None:
        """`folder` takes files and logs, `history` the upstreams' rows, `recorder` what links see."""
        self.plan, self.folder, self._history = plan, folder, history
        self._recorder = recorder
        self.programs: dict[str, Program] = {}
        self.links: dict[str, Link] = {}
        names = [f"replica-{NAMES[i]}" for i in range(plan.replicas)]
        self.replicas = {name: f"127.0.0.1:{free_port()}" for name in names}
        self.load = standins.Plan(
            seconds=plan.seconds, requests_per_s=plan.requests_per_s, cores=plan.cores, seed=plan.seed,
            classes=kinds(),
        )  # fmt: skip

    def data(self, replica: str) -> Path:
        """A replica's file."""
        return self.folder / f"{replica}.db"

    async def _link(self, name: str, target: str, spied: bool = False) -> str:
        link = self.links[name] = Link(name, target, self._recorder.write if spied else None)
        await link.start()
        return link.address

    async def start(self) -> None:
        """Start it all, ready to serve."""
        for one in self.replicas:
            for other, address in self.replicas.items():
                if one != other:
                    await self._link(f"{one}>{other}", address)
        await asyncio.gather(*(self._start_replica(name) for name in self.replicas))
        await asyncio.gather(*(self._start_upstream(i) for i in range(self.plan.upstreams)))
        await asyncio.gather(*(self._start_agent(name) for name in agents(self.plan)))
        await asyncio.gather(*(self._start_balancer(i) for i in range(self.plan.balancers)))

    async def stop(self) -> None:
        """End everything, balancers first."""
        for prefix in ("balancer-", "agent-", "upstream-", "replica-"):
            found = [p for name, p in self.programs.items() if name.startswith(prefix)]
            if prefix == "upstream-":  # what they would say on leaving is of no interest any more
                await asyncio.gather(*(p.kill() for p in found))
            await asyncio.gather(*(p.process.stop() for p in found))
        for link in self.links.values():
            await link.stop()

    def _add(self, process: Process, start: Callable[[], Awaitable[None]], address: str) -> Program:
        program = self.programs[process.name] = Program(process, start, address)
        return program

    async def _start_replica(self, name: str) -> None:
        address = self.replicas[name]
        process = Process(name, self.folder)
        words = ["serve", "--name", name, "--listen", address, "--data", str(self.data(name))]
        for other in self.replicas:
            if other != name:
                words += ["--peer", f"{other}={self.links[f'{name}>{other}'].address}"]

        async def start() -> None:
            await process.start("mastturn.registry", *words)
            await process.wait_until_ready(lambda: responds_ok(address, "/health/ready"))

        await self._add(process, start, address).start()

    async def _start_upstream(self, number: int) -> None:
        name = f"upstream-{number}"
        port = free_port()
        listed_at = await self._link(f"balancers>{name}", f"127.0.0.1:{port}", spied=True)
        replicas = [await self._link(f"{name}>{r}", address) for r, address in self.replicas.items()]
        told = Told(
            name, port, listed_at, tuple(replicas), kinds(), self.plan.cores, self.plan.lease_s * 1000,
            DRAIN_S, str(self._history / f"{name}.jsonl"),
        )  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(told))
        process = Process(name, self.folder)

        async def start() -> None:
            await process.start("mastturn.chaos.upstream", str(path))
            await process.wait_until_ready(lambda: _listens(port))

        await self._add(process, start, f"127.0.0.1:{port}").start()

    async def _start_agent(self, name: str) -> None:
        address = f"127.0.0.1:{free_port()}"
        words = ["agent", "--listen", address, "--snapshot", str(self.folder / f"{name}.snapshot.json")]
        words += ["--list", SCRATCH if name == SCRATCH_AGENT else ""]
        for replica, target in self.replicas.items():
            words += ["--replica", await self._link(f"{name}>{replica}", target)]
        process = Process(name, self.folder)

        async def start() -> None:
            await process.start("mastturn.registry", *words)
            await process.wait_until_ready(lambda: responds_ok(address, "/health/live"))

        await self._add(process, start, address).start()

    async def _start_balancer(self, number: int) -> None:
        agent = self.programs[f"agent-{number}"]
        figures = settings(self.load, 0, self.plan.balancers)
        one = Balancer(f"balancer-{number}", agent.address, None, figures, self.folder)
        await self._add(one.process, one.start, one.address).start()

    def keep_state(self, replica: str) -> Path:
        """A copy of a replica's file as it is now."""
        copy = self.folder / f"{replica}.old"
        copy.unlink(missing_ok=True)
        with (
            contextlib.closing(sqlite3.connect(f"file:{self.data(replica)}?mode=ro", uri=True)) as now,
            contextlib.closing(sqlite3.connect(copy)) as old,
        ):
            now.backup(old)  # with what is still in its log of writes
        return copy

    async def put_back(self, replica: str, copy: Path) -> None:
        """Kill a replica and start it from an old copy of its file."""
        program = self.programs[replica]
        await program.kill()
        for end in ("-wal", "-shm"):
            self.data(replica).with_name(self.data(replica).name + end).unlink(missing_ok=True)
        shutil.copyfile(copy, self.data(replica))
        await program.start()

    def logs(self) -> dict[str, str]:
        """What the programs have written."""
        return {path.stem: path.read_text(errors="replace") for path in sorted(self.folder.glob("*.log"))}


async def _listens(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True
