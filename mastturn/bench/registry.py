"""How fast and how heavy the list service is: real replicas, agents and watchers on one machine.

Measured: from a write's acknowledgement's beginning to the moment at which each watcher was told it; CPU and
memory of the replicas while nothing changes; what a replica's restart asks of the others.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from aiohttp import ClientSession

from mastturn.bench.parties import Held
from mastturn.files import LabError
from mastturn.registry.http import session
from mastturn.registry.registrant import put
from mastturn.standins.ports import free_port
from mastturn.standins.process import Process, responds_ok

TICK_S = os.sysconf("SC_CLK_TCK")
AGENT_PROCESSES, WATCHER_PROCESSES = 5, 3
IDLE_S, SETTLE_S = 5.0, 1.0
LONGEST_S = 300.0  # a measure ends by itself
Line = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Size:
    """What to measure with."""

    replicas: int = 3
    agents: int = 200
    watchers: int = 10_000
    entries: int = 5_000
    marks: int = 20  # single changes, half a second apart
    rate: float = 100.0  # changes a second of the crowded part
    rate_s: float = 10.0
    seed: int = 1


class Bench:
    """Everything that runs for one measure."""

    def __init__(self, size: Size, folder: Path, say: Line) -> None:
        self._size, self._folder, self._say = size, folder, say
        self._names = [chr(ord("a") + i) for i in range(size.replicas)]
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in self._names}
        self._replicas = {name: Process(f"replica-{name}", folder) for name in self._names}
        self._parties: list[asyncio.subprocess.Process] = []
        self._watchers: list[asyncio.subprocess.Process] = []
        self._marks: dict[int, float] = {}

    # ---- processes -------------------------------------------------------------------------------

    async def _start_replica(self, name: str) -> None:
        words = ["serve", "--name", name, "--listen", self.addresses[name]]
        words += ["--data", str(self._folder / f"{name}.db")]
        for other, address in self.addresses.items():
            if other != name:
                words += ["--peer", f"{other}={address}"]
        await self._replicas[name].start("mastturn.registry", *words)
        await self._replicas[name].wait_until_ready(
            lambda: responds_ok(self.addresses[name], "/health/ready")
        )

    async def _party(self, kind: str, number: int, held: Held) -> asyncio.subprocess.Process:
        path = self._folder / f"{kind}-{number}.json"
        path.write_bytes(msgspec.json.encode(held))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mastturn.bench.parties", kind, str(path),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=256 * 1024 * 1024,
            start_new_session=True,
        )  # fmt: skip
        self._parties.append(process)
        return process

    async def stop(self) -> None:
        """End all of it."""
        for process in self._parties:
            if process.returncode is None and process.stdin is not None:
                process.stdin.close()
        for process in self._parties:
            try:
                async with asyncio.timeout(10.0):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        await asyncio.gather(*(process.stop() for process in self._replicas.values()))

    # ---- the measure -----------------------------------------------------------------------------

    async def run(self) -> dict[str, Any]:
        """Measure, and end."""
        size = self._size
        try:
            await asyncio.gather(*(self._start_replica(name) for name in self._names))
            async with session() as client:
                await self._fill(client)
                found: dict[str, Any] = {"idle, no watchers": await self._idle()}
                agents = await self._start_agents()
                found["idle, agents"] = await self._idle()
                await self._start_watchers(agents)
                found["idle, agents and watchers"] = await self._idle()
                self._say("single changes")
                await self._change(client, size.marks, 0.5)
                self._say(f"{size.rate:g} changes a second")
                first = len(self._marks)
                await self._change(client, int(size.rate * size.rate_s), 1 / size.rate)
                await asyncio.sleep(SETTLE_S)
                self._say("a replica is killed and started again")
                found["restart, answers a second"] = await self._restart(client)
            told = await self._collect()
        finally:
            await self.stop()
        found["single"] = self._quantiles(told, range(first))
        found["crowded"] = self._quantiles(told, range(first, len(self._marks)))
        return found

    async def _fill(self, client: ClientSession) -> None:
        """Entries at one replica; wait until all have them."""
        self._say(f"{self._size.entries} entries")
        address = self.addresses[self._names[0]]
        for at in range(0, self._size.entries, 50):
            await asyncio.gather(
                *(
                    put(client, address, f"s-{i}", "", {"host_port": f"127.0.0.1:{1 + i % 60_000}"})
                    for i in range(at, min(at + 50, self._size.entries))
                )
            )
        for other in self.addresses.values():
            while await self._figure(client, other, "registry_entries{") < self._size.entries:
                await asyncio.sleep(0.05)

    async def _figure(self, client: ClientSession, address: str, name: str) -> float:
        """One of a replica's figures, over all of its labels."""
        async with client.get(f"http://{address}/metrics") as answer:
            lines = (await answer.text()).splitlines()
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith(name))

    async def _start_agents(self) -> list[str]:
        size, addresses = self._size, list[str]()
        self._say(f"{size.agents} agents")
        for i in range(AGENT_PROCESSES):
            count = size.agents // AGENT_PROCESSES + (i < size.agents % AGENT_PROCESSES)
            held = Held(count, tuple(self.addresses.values()), seed=size.seed + i)
            process = await self._party("agents", i, held)
            assert process.stdout is not None
            addresses += msgspec.json.decode(await process.stdout.readline())
        await asyncio.sleep(SETTLE_S)
        return addresses

    async def _start_watchers(self, agents: list[str]) -> None:
        size = self._size
        self._say(f"{size.watchers} watchers")
        places = agents or list(self.addresses.values())
        for i in range(WATCHER_PROCESSES):
            count = size.watchers // WATCHER_PROCESSES + (i < size.watchers % WATCHER_PROCESSES)
            process = await self._party("watchers", i, Held(count, addresses=tuple(places), seed=i))
            self._watchers.append(process)
        for process in self._watchers:
            assert process.stdout is not None
            if not await process.stdout.readline():
                raise LabError("watchers: not all have had a list in time")

    async def _change(self, client: ClientSession, count: int, pause_s: float) -> None:
        begin = time.monotonic()
        for i in range(count):
            await asyncio.sleep(max(begin + i * pause_s - time.monotonic(), 0.0))
            mark = len(self._marks)
            address = self.addresses[self._names[mark % len(self._names)]]
            values = {"host_port": f"127.0.0.1:{1 + mark}", "flavor": f"mark-{mark}"}
            self._marks[mark] = time.monotonic()
            await put(client, address, f"s-{mark % max(self._size.entries, 1)}", "", values)

    async def _collect(self) -> dict[int, list[float]]:
        found: dict[int, list[float]] = {}
        for process in self._watchers:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.close()
            told = msgspec.json.decode(await process.stdout.readline(), type=dict[str, list[float]])
            for mark, times in told.items():
                found.setdefault(int(mark), []).extend(times)
        return found

    def _quantiles(self, told: dict[int, list[float]], marks: range) -> dict[str, float]:
        """From the write to each watcher, in ms. A change that the next one replaced first is not told."""
        waits = [1000 * (t - self._marks[m]) for m in marks for t in told.get(m, ())]
        if not waits:
            return {}
        middle, most, worst = (float(np.quantile(waits, q)) for q in (0.5, 0.99, 1.0))
        missed = [m for m in marks if len(told.get(m, ())) < self._size.watchers]
        return {
            "p50_ms": round(middle, 1), "p99_ms": round(most, 1), "max_ms": round(worst, 1),
            "told": len(waits), "marks": len(marks), "marks not told to all": len(missed),
        }  # fmt: skip

    # ---- what it costs ---------------------------------------------------------------------------

    def _cpu_s(self) -> float:
        ticks = 0
        for process in self._replicas.values():
            fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            ticks += int(fields[11]) + int(fields[12])
        return ticks / TICK_S

    async def _idle(self) -> dict[str, float]:
        """Share of a core and memory of one replica while nothing changes."""
        before, began = self._cpu_s(), time.monotonic()
        await asyncio.sleep(IDLE_S)
        share = (self._cpu_s() - before) / (time.monotonic() - began) / len(self._names)
        sizes = []
        for process in self._replicas.values():
            text = Path(f"/proc/{process.pid}/status").read_text()
            sizes.append(int(text.split("VmRSS:")[1].split()[0]) / 1024)
        return {"core_share": round(share, 4), "memory_mb": round(sum(sizes) / len(sizes), 1)}

    async def _answered(self, client: ClientSession, names: list[str]) -> float:
        found = [await self._figure(client, self.addresses[n], "registry_answers_total") for n in names]
        return sum(found)

    async def _restart(self, client: ClientSession) -> dict[str, Any]:
        """Answers a second of the others: steady, and in each second after one is killed for 1 s."""
        killed, *others = self._names
        before = await self._answered(client, others)
        await asyncio.sleep(IDLE_S)
        steady = (await self._answered(client, others) - before) / IDLE_S
        await self._replicas[killed].kill()
        restart = asyncio.create_task(self._back(killed))
        series, last = [], await self._answered(client, others)
        for _ in range(10):
            await asyncio.sleep(1.0)
            now = await self._answered(client, others)
            series.append(round(now - last, 1))
            last = now
        await restart
        return {"steady": round(steady, 1), "each second after": series}

    async def _back(self, name: str) -> None:
        await asyncio.sleep(1.0)
        await self._start_replica(name)


def measure(size: Size, say: Line) -> dict[str, Any]:
    """Run it all; raises LabError if a program does not start."""
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder:
        return asyncio.run(_bounded(Bench(size, Path(folder), say)))


async def _bounded(bench: Bench) -> dict[str, Any]:
    try:
        async with asyncio.timeout(LONGEST_S):
            return await bench.run()
    except TimeoutError:
        raise LabError(f"bench: not over after {LONGEST_S:.0f} s") from None
