"""Injects the troubles of a soak at random: signals, restarts, crashes and list faults, which may overlap."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any

from mastturn.files import LabError
from mastturn.smallfleet.layout import Machine
from mastturn.soak.fleet import Fleet, Member
from mastturn.soak.platform import ListFault
from mastturn.soak.surroundings import Environment

INTERVAL_S = (0.3, 1.6)  # between the starts of two troubles
PAUSE_S = (0.1, 2.0)
LIST_FAULT_S = (0.5, 4.0)
ROLL_GAP_S = (0.2, 1.5)
MAX_ROLL_S = 20.0  # a rolling restart begins its last stop within this, whatever its size
CORE_SEEDS_SHARE = 0.1  # how often a change of the seeds concerns the core too
SETTINGS_READ_S = (0.0, 3.0)  # from a change of the settings to a kill; processes read them every 2 s
MASS_KILL_SHARE = 0.5  # share of the balancers that are killed at once
WIPE_QUIET_S = 6.0  # least time from the last fault of a control process to a wipe
SEED_GROUP_WEIGHTS = (1.0, 1.0, 2.0)  # of seeds with a disk, of both, and without a disk
SEED_COUNT = 3  # addresses of control processes that a settings file names
QUIET_END_S = 1.0  # no trouble begins this shortly before the end


class Troubles:
    """Injects the troubles of one soak."""

    def __init__(
        self, fleet: Fleet, environment: Environment, seed: int, log: Callable[[str], None], only: str = ""
    ) -> None:
        """`only`: limits the kinds to those whose names contain this; raises LabError if there is none."""
        self._fleet, self._environment, self._log = fleet, environment, log
        self._rng = random.Random(f"{seed}/troubles")
        self._tasks: list[asyncio.Task[None]] = []
        self.counts: dict[str, int] = {}
        self._kinds: dict[str, tuple[float, Callable[[], Awaitable[None]]]] = {
            "term of a balancer": (3.0, lambda: fleet.terminate(self._pick(fleet.balancers()))),
            "kill of a balancer": (1.5, lambda: fleet.kill(self._pick(fleet.balancers()))),
            "hup of a balancer": (1.5, lambda: fleet.send_sighup(self._pick(fleet.balancers()))),
            "stop of a balancer": (1.0, lambda: self._pause(self._pick(fleet.balancers()))),
            "roll of the balancers": (0.8, self._rolling_restart),
            "kill of many balancers": (0.4, self._kill_many),
            "term of a control process": (0.7, lambda: fleet.terminate(self._pick(fleet.control()))),
            "kill of a control process": (0.7, lambda: fleet.kill(self._pick(fleet.control()))),
            "kill of the leader": (0.5, self._kill_leader),
            "stop of a control process": (0.7, lambda: self._pause(self._pick(fleet.control()))),
            "kill of all control processes": (0.3, self._kill_all_control),
            "wipe of a control process": (0.5, self._wipe_control_disk),
            "kill of all processes": (0.3, self._kill_all),
            "kill of those without a disk": (0.3, self._kill_all_diskless),
            "change of the seeds": (0.5, self._change_seeds),
            "change of the seeds, then kill of all processes": (0.4, self._change_seeds_and_kill_all),
            "crash of an upstream": (1.5, lambda: environment.crash(self._rng)),
            "an upstream leaves": (2.5, lambda: environment.leave(self._rng)),
            "list busy": (0.5, lambda: self._break_list(ListFault.BUSY)),
            "list late": (0.8, lambda: self._break_list(ListFault.LATE)),
            "list cut": (0.5, lambda: self._break_list(ListFault.CUT)),
        }

        self._kinds = {name: kind for name, kind in self._kinds.items() if only in name}
        if not self._kinds:
            raise LabError(f"--only {only!r}: no trouble's name contains it; try 'balancer', for example")

    async def run(self, seconds: float) -> None:
        """Start troubles for `seconds` and wait until all are over; raises what one of them raised."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds - QUIET_END_S
        names, weights = list(self._kinds), [weight for weight, _ in self._kinds.values()]
        while loop.time() < until:
            name = self._rng.choices(names, weights)[0]
            self.counts[name] = self.counts.get(name, 0) + 1
            self._log(f"trouble: {name}")
            self._start_task(self._run_action(self._kinds[name][1]))
            await asyncio.sleep(self._rng.uniform(*INTERVAL_S))
        for task in self._tasks:  # a rolling restart adds tasks meanwhile
            await task

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _run_action(self, action: Callable[[], Awaitable[None]]) -> None:
        await action()

    def _pick(self, members: list[Member]) -> Member:
        return self._rng.choice(members)

    async def _pause(self, member: Member) -> None:
        await self._fleet.pause(member, self._rng.uniform(*PAUSE_S))

    async def _rolling_restart(self) -> None:
        """Send SIGTERM to each balancer in turn, without waiting until the previous one is back."""
        members = self._fleet.balancers()
        gap = min(self._rng.uniform(*ROLL_GAP_S), MAX_ROLL_S / len(members))
        for member in members:
            self._start_task(self._fleet.terminate(member))
            await asyncio.sleep(gap)

    async def _kill_many(self) -> None:
        members = self._fleet.balancers()
        chosen = self._rng.sample(members, max(int(len(members) * MASS_KILL_SHARE), 1))
        await asyncio.gather(*(self._fleet.kill(member) for member in chosen))

    async def _kill_leader(self) -> None:
        leader = await self._fleet.leader()
        if leader is not None:
            await self._fleet.kill(leader)

    async def _kill_all_control(self) -> None:
        await asyncio.gather(*(self._fleet.kill(member) for member in self._fleet.control()))

    async def _kill_all(self) -> None:
        await asyncio.gather(*(self._fleet.kill(member) for member in self._fleet.members.values()))

    async def _kill_all_diskless(self) -> None:
        await asyncio.gather(*(self._fleet.kill(member) for member in self._fleet.diskless()))

    async def _change_seeds(self) -> None:
        """Change the seeds of all machines outside the core, and at times of the core too.

        The new seeds differ by machine. Of each group they are control processes with a disk, such without,
        or both.
        """
        layout = self._fleet.layout
        self._fleet.change_seeds(self._draw_seeds((*layout.edges, *layout.diskless)))
        if self._rng.random() < CORE_SEEDS_SHARE:
            self._fleet.change_seeds(self._draw_seeds(layout.cores))

    async def _change_seeds_and_kill_all(self) -> None:
        """Kill all processes, at times before they have read their new settings."""
        await self._change_seeds()
        await asyncio.sleep(self._rng.uniform(*SETTINGS_READ_S))
        await self._kill_all()

    def _draw_seeds(self, machines: Sequence[Machine]) -> dict[str, list[str]]:
        layout = self._fleet.layout
        groups = (layout.cores, (*layout.cores, *layout.diskless), layout.diskless or layout.cores)
        chosen = self._rng.choices(groups, SEED_GROUP_WEIGHTS)[0]
        candidates = [layout.ctl_of(machine) for machine in chosen]
        count = min(SEED_COUNT, len(candidates))
        return {machine.node: self._rng.sample(candidates, count) for machine in machines}

    async def _wipe_control_disk(self) -> None:
        """Wipe the disk of a control process, unless another may still be catching up."""
        if self._fleet.since_control_fault_s() >= WIPE_QUIET_S:
            await self._fleet.kill(self._pick(self._fleet.control()), wipe_disk=True)

    async def _break_list(self, fault: ListFault) -> None:
        await self._environment.inject_list_fault(fault, self._rng.uniform(*LIST_FAULT_S))
