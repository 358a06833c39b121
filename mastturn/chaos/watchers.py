"""The rig's own parties: readers beside the balancers and at the replicas, and a writer that remembers."""

from __future__ import annotations

import asyncio
import random
from itertools import count

from aiohttp import ClientError, ClientSession

from fleet.registry.entries import Entry
from mastturn.chaos.fleet import SCRATCH, Fleet
from mastturn.chaos.history import Recorder
from mastturn.registry.form import Received
from mastturn.registry.http import AskError, ask_list, session
from mastturn.registry.registrant import RefusedError, put, remove

WAIT_MS = 1_000.0
PAUSE_S = 0.1
IDS = 40  # of the writer, used again and again


def seen(entry: Entry) -> tuple[str, int, int, int, str]:
    """What a history keeps of an entry."""
    return (entry.id, entry.incarnation, int(entry.lifecycle), entry.turn, entry.phase)


async def read(client: ClientSession, recorder: Recorder, source: str, address: str, list_name: str) -> None:
    """Follow one place's list for as long as we run, and write down all that it tells."""
    after: int | None = None
    while True:
        try:
            got = await ask_list(client, address, after, WAIT_MS, list=list_name)
        except AskError:
            await asyncio.sleep(PAUSE_S)
            continue
        after = got.changes.revision
        if got.changes.entries or got.changes.is_full:
            _write(recorder, f"reader of {source}", source, got)


def _write(recorder: Recorder, who: str, source: str, got: Received) -> None:
    members = [seen(entry) for entry in got.changes.entries]
    changes = got.changes
    recorder.write(
        who, "told", source=source, revision=changes.revision, whole=changes.is_full, members=members
    )


class Writer:
    """Registers and removes instances of a list of its own, each at one replica at a time."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self._fleet, self._recorder = fleet, recorder
        self._chance = random.Random(fleet.plan.seed)
        self._numbers = count(1)

    async def run(self) -> None:
        """Write at the plan's rate."""
        if not self._fleet.plan.writes_per_s:
            return
        async with session() as client, asyncio.TaskGroup() as writing:
            while True:
                await asyncio.sleep(self._chance.expovariate(self._fleet.plan.writes_per_s))
                writing.create_task(self._write(client))

    async def _write(self, client: ClientSession) -> None:
        replica, address = self._chance.choice(list(self._fleet.replicas.items()))
        id_, number = f"item-{self._chance.randrange(IDS)}", next(self._numbers)
        removed = self._chance.random() < 0.3
        what = {"replica": replica, "id": id_, "incarnation": number, "removed": removed}
        self._recorder.write("writer", "tried", **what)
        try:
            if removed:
                await remove(client, address, id_, SCRATCH, number)
            else:
                values = {"host_port": f"127.0.0.1:{1 + number % 65_000}", "incarnation": number}
                await put(client, address, id_, SCRATCH, values)
        except (RefusedError, ClientError, TimeoutError, OSError):
            return  # nothing was promised
        self._recorder.write("writer", "acknowledged", **what)


async def lists_of(fleet: Fleet, list_name: str = "") -> dict[str, dict[str, Entry] | None]:
    """Every replica's list, by id; None of one that does not answer."""

    async def one(client: ClientSession, address: str) -> dict[str, Entry] | None:
        try:
            got = await ask_list(client, address, None, 0.0, list=list_name)
        except AskError:
            return None
        return {entry.id: entry for entry in got.changes.entries}

    async with session() as client:
        found = await asyncio.gather(*(one(client, address) for address in fleet.replicas.values()))
    return dict(zip(fleet.replicas, found, strict=True))


async def write_finals(fleet: Fleet, recorder: Recorder) -> None:
    """The lists as they are at the end."""
    for name, entries in (await lists_of(fleet, SCRATCH)).items():
        members = [seen(entry) for entry in (entries or {}).values()]
        recorder.write(name, "final", members=members)


class Convergence:
    """After a healing, marks at every replica: once all have all marks, they have all that came before."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self._fleet, self._recorder = fleet, recorder
        self._marks = count(1)

    async def measure(self, quiet_s: float) -> None:
        """Write down how long it took, or who still differs when `quiet_s` are over."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        mark = next(self._marks)
        wanted = {f"mark-{name}" for name in self._fleet.replicas}
        async with session() as client:
            for name, address in self._fleet.replicas.items():
                values = {"host_port": "127.0.0.1:1", "incarnation": mark}
                while loop.time() - began < quiet_s:
                    try:
                        await put(client, address, f"mark-{name}", SCRATCH, values)
                        break
                    except (RefusedError, ClientError, TimeoutError, OSError):
                        await asyncio.sleep(PAUSE_S)
        while True:
            found = await lists_of(self._fleet, SCRATCH)
            differ = [name for name, entries in found.items() if not _has(entries, wanted, mark)]
            after = loop.time() - began
            if not differ or after >= quiet_s:
                break
            await asyncio.sleep(0.05)
        self._recorder.write("rig", "converged", after_s=round(after, 3), differ=differ)


def _has(entries: dict[str, Entry] | None, wanted: set[str], mark: int) -> bool:
    found = entries or {}
    return all(id_ in found and found[id_].incarnation >= mark for id_ in wanted)
