"""Troubles of a soak, drawn by seed: signals, restarts, crashes and lists, in series that overlap."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from mastturn.files import LabError
from mastturn.soak.fleet import Fleet, Member
from mastturn.soak.platform import Trouble
from mastturn.soak.surroundings import Surroundings

EVERY_S = (0.3, 1.6)  # from one trouble's begin to the next one's
STILL_S = (0.1, 2.0)
LIST_S = (0.5, 4.0)
ROLL_GAP_S = (0.2, 1.5)
ROLL_S = 20.0  # a roll over however many begins its last stop after this
HERD_SHARE = 0.5  # of the balancers are killed at once
WIPE_CALM_S = 6.0  # since the last trouble of a control process, before one loses its disk
QUIET_END_S = 1.0  # none begins so shortly before the end


class Troubles:
    """All troubles of one soak."""

    def __init__(
        self, fleet: Fleet, around: Surroundings, seed: int, say: Callable[[str], None], only: str = ""
    ) -> None:
        """`only`: of the kinds, those whose names hold this; raises LabError where there is none."""
        self._fleet, self._around, self._say = fleet, around, say
        self._dice = random.Random(f"{seed}/troubles")
        self._tasks: list[asyncio.Task[None]] = []
        self.counts: dict[str, int] = {}
        self._kinds: dict[str, tuple[float, Callable[[], Awaitable[None]]]] = {
            "term of a balancer": (3.0, lambda: fleet.terminate(self._any(fleet.balancers()))),
            "kill of a balancer": (1.5, lambda: fleet.kill(self._any(fleet.balancers()))),
            "hup of a balancer": (1.5, lambda: fleet.hang_up(self._any(fleet.balancers()))),
            "stop of a balancer": (1.0, lambda: self._still(self._any(fleet.balancers()))),
            "roll of the balancers": (0.8, self._roll),
            "kill of many balancers": (0.4, self._herd),
            "term of a control process": (0.7, lambda: fleet.terminate(self._any(fleet.control()))),
            "kill of a control process": (0.7, lambda: fleet.kill(self._any(fleet.control()))),
            "kill of the leader": (0.5, self._kill_leader),
            "stop of a control process": (0.7, lambda: self._still(self._any(fleet.control()))),
            "kill of all control processes": (0.3, self._kill_control),
            "wipe of a control process": (0.5, self._wipe),
            "crash of an upstream": (1.5, lambda: around.crash(self._dice)),
            "an upstream leaves": (2.5, lambda: around.leave(self._dice)),
            "list busy": (0.5, lambda: self._list(Trouble.BUSY)),
            "list late": (0.8, lambda: self._list(Trouble.LATE)),
            "list cut": (0.5, lambda: self._list(Trouble.CUT)),
        }

        self._kinds = {name: kind for name, kind in self._kinds.items() if only in name}
        if not self._kinds:
            raise LabError(f"--only {only!r}: no trouble's name holds it; for example 'balancer'")

    async def run(self, seconds: float) -> None:
        """Begin one after the other for so long, and wait for all to be over; raises what one of them did."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds - QUIET_END_S
        names, weights = list(self._kinds), [weight for weight, _ in self._kinds.values()]
        while loop.time() < until:
            name = self._dice.choices(names, weights)[0]
            self.counts[name] = self.counts.get(name, 0) + 1
            self._say(f"trouble: {name}")
            self._begin(self._befall(self._kinds[name][1]))
            await asyncio.sleep(self._dice.uniform(*EVERY_S))
        for task in self._tasks:  # a series begins further ones meanwhile
            await task

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _befall(self, act: Callable[[], Awaitable[None]]) -> None:
        await act()

    def _any(self, members: list[Member]) -> Member:
        return self._dice.choice(members)

    async def _still(self, member: Member) -> None:
        await self._fleet.stand_still(member, self._dice.uniform(*STILL_S))

    async def _roll(self) -> None:
        """SIGTERM to each balancer in turn; the next gets it though the one before may not be back."""
        members = self._fleet.balancers()
        gap = min(self._dice.uniform(*ROLL_GAP_S), ROLL_S / len(members))
        for member in members:
            self._begin(self._fleet.terminate(member))
            await asyncio.sleep(gap)

    async def _herd(self) -> None:
        members = self._fleet.balancers()
        some = self._dice.sample(members, max(int(len(members) * HERD_SHARE), 1))
        await asyncio.gather(*(self._fleet.kill(member) for member in some))

    async def _kill_leader(self) -> None:
        leader = await self._fleet.leader()
        if leader is not None:
            await self._fleet.kill(leader)

    async def _kill_control(self) -> None:
        await asyncio.gather(*(self._fleet.kill(member) for member in self._fleet.control()))

    async def _wipe(self) -> None:
        """One loses its disk; not while another may still have to be brought up to date."""
        if self._fleet.control_calm_s() >= WIPE_CALM_S:
            await self._fleet.kill(self._any(self._fleet.control()), wipes=True)

    async def _list(self, trouble: Trouble) -> None:
        await self._around.trouble_list(trouble, self._dice.uniform(*LIST_S))
