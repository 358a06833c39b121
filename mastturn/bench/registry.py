"""Benchmark of the registry with real replicas, agents and watchers on one machine.

Measures the time from the sending of a write to its arrival at each watcher; CPU and memory of the replicas
while idle; and the load that a replica's restart puts on the others.
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

from mastturn.bench.parties import Parameters
from mastturn.files import LabError
from mastturn.registry.http import session
from mastturn.registry.registrant import put
from mastturn.standins.ports import free_port
from mastturn.standins.process import Process, responds_ok

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
AGENT_PROCESSES, WATCHER_PROCESSES = 5, 3
IDLE_S, SETTLE_S = 5.0, 1.0
MAX_DURATION_S = 300.0  # time limit of a measurement
Log = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Size:
    """Parameters of a measurement."""

    replicas: int = 3
    agents: int = 200
    watchers: int = 10_000
    entries: int = 5_000
    marks: int = 20  # single changes, 0.5 s apart
    rate: float = 100.0  # changes per second of the part "crowded"
    rate_s: float = 10.0
    seed: int = 1


class Bench:
    """The processes of one measurement."""

    def __init__(self, size: Size, folder: Path, log: Log) -> None:
        self._size, self._folder, self._log = size, folder, log
        self._names = [chr(ord("a") + i) for i in range(size.replicas)]
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in self._names}
        self._replicas = {name: Process(f"replica-{name}", folder) for name in self._names}
        self._load_processes: list[asyncio.subprocess.Process] = []
        self._watchers: list[asyncio.subprocess.Process] = []
        self._written_at: dict[int, float] = {}

    # ---- processes -------------------------------------------------------------------------------

    async def _start_replica(self, name: str) -> None:
        arguments = ["serve", "--name", name, "--listen", self.addresses[name]]
        arguments += ["--data", str(self._folder / f"{name}.db")]
        for other, address in self.addresses.items():
            if other != name:
                arguments += ["--peer", f"{other}={address}"]
        await self._replicas[name].start("mastturn.registry", *arguments)
        await self._replicas[name].wait_until_ready(
            lambda: responds_ok(self.addresses[name], "/health/ready")
        )

    async def _start_load_process(
        self, kind: str, number: int, parameters: Parameters
    ) -> asyncio.subprocess.Process:
        path = self._folder / f"{kind}-{number}.json"
        path.write_bytes(msgspec.json.encode(parameters))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mastturn.bench.parties", kind, str(path),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=256 * 1024 * 1024,
            start_new_session=True,
        )  # fmt: skip
        self._load_processes.append(process)
        return process

    async def stop(self) -> None:
        """Stop all processes."""
        for process in self._load_processes:
            if process.returncode is None and process.stdin is not None:
                process.stdin.close()
        for process in self._load_processes:
            try:
                async with asyncio.timeout(10.0):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        await asyncio.gather(*(process.stop() for process in self._replicas.values()))

    # ---- measurement -----------------------------------------------------------------------------

    async def run(self) -> dict[str, Any]:
        """Measure, stop all processes, and return the figures."""
        size = self._size
        try:
            await asyncio.gather(*(self._start_replica(name) for name in self._names))
            async with session() as client:
                await self._write_entries(client)
                figures: dict[str, Any] = {"idle, no watchers": await self._measure_idle()}
                agents = await self._start_agents()
                figures["idle, agents"] = await self._measure_idle()
                await self._start_watchers(agents)
                figures["idle, agents and watchers"] = await self._measure_idle()
                self._log("single changes")
                await self._write_changes(client, size.marks, 0.5)
                self._log(f"{size.rate:g} changes a second")
                first = len(self._written_at)
                await self._write_changes(client, int(size.rate * size.rate_s), 1 / size.rate)
                await asyncio.sleep(SETTLE_S)
                self._log("restart of a replica")
                figures["restart, answers a second"] = await self._measure_restart(client)
            received_at = await self._collect_times()
        finally:
            await self.stop()
        figures["single"] = self._quantiles(received_at, range(first))
        figures["crowded"] = self._quantiles(received_at, range(first, len(self._written_at)))
        return figures

    async def _write_entries(self, client: ClientSession) -> None:
        """Write the entries to one replica and wait until all replicas have them."""
        self._log(f"{self._size.entries} entries")
        address = self.addresses[self._names[0]]
        for at in range(0, self._size.entries, 50):
            await asyncio.gather(
                *(
                    put(client, address, f"s-{i}", "", {"host_port": f"127.0.0.1:{1 + i % 60_000}"})
                    for i in range(at, min(at + 50, self._size.entries))
                )
            )
        for other in self.addresses.values():
            while await self._metric(client, other, "registry_entries{") < self._size.entries:
                await asyncio.sleep(0.05)

    async def _metric(self, client: ClientSession, address: str, name: str) -> float:
        """Return the sum of one of a replica's metrics over its labels."""
        async with client.get(f"http://{address}/metrics") as response:
            lines = (await response.text()).splitlines()
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith(name))

    async def _start_agents(self) -> list[str]:
        size, addresses = self._size, list[str]()
        self._log(f"{size.agents} agents")
        for i in range(AGENT_PROCESSES):
            count = size.agents // AGENT_PROCESSES + (i < size.agents % AGENT_PROCESSES)
            parameters = Parameters(count, tuple(self.addresses.values()), seed=size.seed + i)
            process = await self._start_load_process("agents", i, parameters)
            assert process.stdout is not None
            addresses += msgspec.json.decode(await process.stdout.readline())
        await asyncio.sleep(SETTLE_S)
        return addresses

    async def _start_watchers(self, agents: list[str]) -> None:
        size = self._size
        self._log(f"{size.watchers} watchers")
        addresses_to_watch = agents or list(self.addresses.values())
        for i in range(WATCHER_PROCESSES):
            count = size.watchers // WATCHER_PROCESSES + (i < size.watchers % WATCHER_PROCESSES)
            process = await self._start_load_process(
                "watchers", i, Parameters(count, addresses=tuple(addresses_to_watch), seed=i)
            )
            self._watchers.append(process)
        for process in self._watchers:
            assert process.stdout is not None
            if not await process.stdout.readline():
                raise LabError("watchers: not every watcher received a list in time")

    async def _write_changes(self, client: ClientSession, count: int, pause_s: float) -> None:
        started_at = time.monotonic()
        for i in range(count):
            await asyncio.sleep(max(started_at + i * pause_s - time.monotonic(), 0.0))
            mark = len(self._written_at)
            address = self.addresses[self._names[mark % len(self._names)]]
            values = {"host_port": f"127.0.0.1:{1 + mark}", "flavor": f"mark-{mark}"}
            self._written_at[mark] = time.monotonic()
            await put(client, address, f"s-{mark % max(self._size.entries, 1)}", "", values)

    async def _collect_times(self) -> dict[int, list[float]]:
        times_by_mark: dict[int, list[float]] = {}
        for process in self._watchers:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.close()
            received_at = msgspec.json.decode(await process.stdout.readline(), type=dict[str, list[float]])
            for mark, times in received_at.items():
                times_by_mark.setdefault(int(mark), []).extend(times)
        return times_by_mark

    def _quantiles(self, received_at: dict[int, list[float]], marks: range) -> dict[str, float]:
        """Return quantiles of the delay from write to watcher, in ms.

        A change that the next one replaces first does not reach the watchers.
        """
        delays_ms = [1000 * (t - self._written_at[m]) for m in marks for t in received_at.get(m, ())]
        if not delays_ms:
            return {}
        median, p99, maximum = (float(np.quantile(delays_ms, q)) for q in (0.5, 0.99, 1.0))
        incomplete = [m for m in marks if len(received_at.get(m, ())) < self._size.watchers]
        return {
            "p50_ms": round(median, 1), "p99_ms": round(p99, 1), "max_ms": round(maximum, 1),
            "told": len(delays_ms), "marks": len(marks), "marks not told to all": len(incomplete),
        }  # fmt: skip

    # ---- cost ---------------------------------------------------------------------------

    def _cpu_s(self) -> float:
        ticks = 0
        for process in self._replicas.values():
            fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            ticks += int(fields[11]) + int(fields[12])
        return ticks / TICKS_PER_S

    async def _measure_idle(self) -> dict[str, float]:
        """Return the mean share of a core and memory of a replica while nothing changes."""
        before, started_at = self._cpu_s(), time.monotonic()
        await asyncio.sleep(IDLE_S)
        share = (self._cpu_s() - before) / (time.monotonic() - started_at) / len(self._names)
        sizes = []
        for process in self._replicas.values():
            text = Path(f"/proc/{process.pid}/status").read_text()
            sizes.append(int(text.split("VmRSS:")[1].split()[0]) / 1024)
        return {"core_share": round(share, 4), "memory_mb": round(sum(sizes) / len(sizes), 1)}

    async def _responses(self, client: ClientSession, names: list[str]) -> float:
        counts = [await self._metric(client, self.addresses[n], "registry_answers_total") for n in names]
        return sum(counts)

    async def _measure_restart(self, client: ClientSession) -> dict[str, Any]:
        """Return the other replicas' responses per second: steady, and after one is down for 1 s."""
        killed, *others = self._names
        before = await self._responses(client, others)
        await asyncio.sleep(IDLE_S)
        steady = (await self._responses(client, others) - before) / IDLE_S
        await self._replicas[killed].kill()
        restart = asyncio.create_task(self._restart_after_delay(killed))
        series, last = [], await self._responses(client, others)
        for _ in range(10):
            await asyncio.sleep(1.0)
            now = await self._responses(client, others)
            series.append(round(now - last, 1))
            last = now
        await restart
        return {"steady": round(steady, 1), "each second after": series}

    async def _restart_after_delay(self, name: str) -> None:
        await asyncio.sleep(1.0)
        await self._start_replica(name)


def measure(size: Size, log: Log) -> dict[str, Any]:
    """Run the benchmark; raises LabError if a program does not start."""
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder:
        return asyncio.run(_run_with_time_limit(Bench(size, Path(folder), log)))


async def _run_with_time_limit(bench: Bench) -> dict[str, Any]:
    try:
        async with asyncio.timeout(MAX_DURATION_S):
            return await bench.run()
    except TimeoutError:
        raise LabError(f"bench: not finished after {MAX_DURATION_S:.0f} s") from None
