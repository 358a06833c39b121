"""Observers of a chaos run: followers of agents' and replicas' lists, a writer, and a convergence probe."""

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

LONG_POLL_MS = 1_000.0
RETRY_DELAY_S = 0.1
ID_COUNT = 40  # distinct ids of the writer


def entry_fields(entry: Entry) -> tuple[str, int, int, int, str]:
    """Fields of an entry that the history records."""
    return (entry.id, entry.incarnation, int(entry.lifecycle), entry.turn, entry.phase)


async def follow_list(
    client: ClientSession, recorder: Recorder, source: str, address: str, list_name: str
) -> None:
    """Follow the list of an agent or replica until cancelled, and record every update."""
    after: int | None = None
    while True:
        try:
            received = await ask_list(client, address, after, LONG_POLL_MS, list=list_name)
        except AskError:
            await asyncio.sleep(RETRY_DELAY_S)
            continue
        after = received.changes.revision
        if received.changes.entries or received.changes.is_full:
            _write(recorder, f"reader of {source}", source, received)


def _write(recorder: Recorder, who: str, source: str, received: Received) -> None:
    members = [entry_fields(entry) for entry in received.changes.entries]
    changes = received.changes
    recorder.write(
        who, "told", source=source, revision=changes.revision, whole=changes.is_full, members=members
    )


class Writer:
    """Registers and removes instances of the scratch list, each at a random replica."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self._fleet, self._recorder = fleet, recorder
        self._rng = random.Random(fleet.plan.seed)
        self._numbers = count(1)

    async def run(self) -> None:
        """Write at the plan's rate until cancelled."""
        if not self._fleet.plan.writes_per_s:
            return
        async with session() as client, asyncio.TaskGroup() as writing:
            while True:
                await asyncio.sleep(self._rng.expovariate(self._fleet.plan.writes_per_s))
                writing.create_task(self._write(client))

    async def _write(self, client: ClientSession) -> None:
        replica, address = self._rng.choice(list(self._fleet.replicas.items()))
        id_, number = f"item-{self._rng.randrange(ID_COUNT)}", next(self._numbers)
        removed = self._rng.random() < 0.3
        fields = {"replica": replica, "id": id_, "incarnation": number, "removed": removed}
        self._recorder.write("writer", "tried", **fields)
        try:
            if removed:
                await remove(client, address, id_, SCRATCH, number)
            else:
                values = {"host_port": f"127.0.0.1:{1 + number % 65_000}", "incarnation": number}
                await put(client, address, id_, SCRATCH, values)
        except (RefusedError, ClientError, TimeoutError, OSError):
            return  # not acknowledged
        self._recorder.write("writer", "acknowledged", **fields)


async def fetch_lists(fleet: Fleet, list_name: str = "") -> dict[str, dict[str, Entry] | None]:
    """Fetch each replica's list, by id; None for a replica that does not answer."""

    async def fetch(client: ClientSession, address: str) -> dict[str, Entry] | None:
        try:
            received = await ask_list(client, address, None, 0.0, list=list_name)
        except AskError:
            return None
        return {entry.id: entry for entry in received.changes.entries}

    async with session() as client:
        lists = await asyncio.gather(*(fetch(client, address) for address in fleet.replicas.values()))
    return dict(zip(fleet.replicas, lists, strict=True))


async def record_final_lists(fleet: Fleet, recorder: Recorder) -> None:
    """Record the replicas' lists at the end of a run."""
    for name, entries in (await fetch_lists(fleet, SCRATCH)).items():
        members = [entry_fields(entry) for entry in (entries or {}).values()]
        recorder.write(name, "final", members=members)


class ConvergenceProbe:
    """Measures convergence: writes a mark at each replica and waits until all replicas have all marks."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self._fleet, self._recorder = fleet, recorder
        self._marks = count(1)

    async def measure(self, timeout_s: float) -> None:
        """Record the time to convergence, or the replicas that still differ after `timeout_s`."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        mark = next(self._marks)
        mark_ids = {f"mark-{name}" for name in self._fleet.replicas}
        async with session() as client:
            for name, address in self._fleet.replicas.items():
                values = {"host_port": "127.0.0.1:1", "incarnation": mark}
                while loop.time() - start < timeout_s:
                    try:
                        await put(client, address, f"mark-{name}", SCRATCH, values)
                        break
                    except (RefusedError, ClientError, TimeoutError, OSError):
                        await asyncio.sleep(RETRY_DELAY_S)
        while True:
            lists = await fetch_lists(self._fleet, SCRATCH)
            differ = [name for name, entries in lists.items() if not _has_marks(entries, mark_ids, mark)]
            after = loop.time() - start
            if not differ or after >= timeout_s:
                break
            await asyncio.sleep(0.05)
        self._recorder.write("rig", "converged", after_s=round(after, 3), differ=differ)


def _has_marks(entries: dict[str, Entry] | None, mark_ids: set[str], mark: int) -> bool:
    lists = entries or {}
    return all(id_ in lists and lists[id_].incarnation >= mark for id_ in mark_ids)
