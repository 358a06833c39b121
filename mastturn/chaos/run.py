"""One run: the fleet, its load, its faults in order; everything heals at the end and is judged."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec

from mastturn.chaos.fleet import SCRATCH, Fleet, Program
from mastturn.chaos.history import Recorder
from mastturn.chaos.plan import ON_PROGRAMS, SCRATCH_AGENT, Fault, Plan, targets
from mastturn.chaos.watchers import Convergence, Writer, read, write_finals
from mastturn.files import LabError
from mastturn.registry.http import session
from mastturn.standins.clients import Clients

Line = Callable[[str], None]


class Troubles:
    """The faults of a plan, each begun and ended at its moment, and written down."""

    def __init__(self, fleet: Fleet, recorder: Recorder, say: Line) -> None:
        self._fleet, self._recorder, self._say = fleet, recorder, say
        self._on = 0
        self._convergence = Convergence(fleet, recorder)
        self._measuring: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Play all of them; returns when everything has healed."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as playing:
            for number, fault in enumerate(self._fleet.plan.faults):
                playing.create_task(self._play(number, fault, began))

    async def _play(self, number: int, fault: Fault, began: float) -> None:
        await asyncio.sleep(max(began + fault.at_s - time.monotonic(), 0.0))
        names = targets(self._fleet.plan, fault)
        self._on += 1
        if self._measuring is not None:
            self._measuring.cancel()  # the next fault is on: nothing is owed for this healing
        self._say(f"{fault.at_s:7.1f} s  {fault.kind} for {fault.lasts_s:g} s: {', '.join(fault.on)}")
        self._recorder.write("rig", "fault", number=number, kind=fault.kind, on=names, lasts_s=fault.lasts_s)
        try:
            if fault.kind in ON_PROGRAMS:
                await asyncio.gather(*(self._on_program(fault, name) for name in names))
            else:
                await self._on_links(fault, names)
        finally:
            self._recorder.write("rig", "healed", number=number)
            self._on -= 1
        if not self._on:
            bound = self._fleet.plan.converge_within_s
            self._measuring = asyncio.create_task(self._convergence.measure(bound))

    async def _on_program(self, fault: Fault, name: str) -> None:
        program = self._fleet.programs[name]
        async with program.turn:
            await self._befall(fault, program)

    async def _befall(self, fault: Fault, program: Program) -> None:
        match fault.kind:
            case "kill":
                await program.kill()
                await asyncio.sleep(fault.lasts_s)
                await program.start()
            case "stop":
                program.pause()
                try:
                    await asyncio.sleep(fault.lasts_s)
                finally:
                    program.go_on()
            case "replace":
                await program.replace()
            case "old_state":
                copy = self._fleet.keep_state(program.name)
                await asyncio.sleep(fault.lasts_s)
                await self._fleet.put_back(program.name, copy)

    async def _on_links(self, fault: Fault, names: list[str]) -> None:
        found = [self._fleet.links[name] for name in names]
        for link in found:
            match fault.kind:
                case "cut":
                    link.cut("out")
                    link.cut("in")
                case "cut_out":
                    link.cut("out")
                case "cut_in":
                    link.cut("in")
                case "delay":
                    link.delay_s = fault.delay_ms / 1000
                case "throttle":
                    link.bytes_per_s = fault.bytes_per_s
                case "reset":
                    link.reset()
                case "drop":
                    link.drops = True
        try:
            await asyncio.sleep(fault.lasts_s)
        finally:
            for link in found:
                link.heal()

    async def settle(self) -> None:
        """Wait for the last healing's measure."""
        if self._measuring is not None:
            await asyncio.gather(self._measuring, return_exceptions=True)
        await self._convergence.measure(self._fleet.plan.converge_within_s)


async def _run(plan: Plan, folder: Path, out: Path, say: Line) -> None:
    recorder = Recorder(out / "rig.jsonl")
    fleet = Fleet(plan, folder, out, recorder)
    once = [kind.name for kind in fleet.load.classes if kind.effect == "once"]
    recorder.write("rig", "plan", plan=msgspec.to_builtins(plan), once=once)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        with contextlib.suppress(NotImplementedError, RuntimeError):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        await fleet.start()
        say(f"{len(fleet.programs)} programs and {len(fleet.links)} links are up")
        await _play(plan, fleet, recorder, stop, say)
    finally:
        await fleet.stop()
        recorder.close()
        for name, text in fleet.logs().items():
            (out / f"{name}.log").write_text(text)


async def _play(plan: Plan, fleet: Fleet, recorder: Recorder, stop: asyncio.Event, say: Line) -> None:
    balancers = [p for name, p in fleet.programs.items() if name.startswith("balancer-")]
    clients = Clients(
        fleet.load,
        [p.address for p in balancers],
        [p.name for p in balancers],
        lambda what, **more: recorder.write("client", what, **more),
    )
    troubles = Troubles(fleet, recorder, say)
    async with session() as client:
        side = [
            asyncio.create_task(
                read(client, recorder, name, p.address, SCRATCH if name == SCRATCH_AGENT else "")
            )
            for name, p in fleet.programs.items()
            if name.startswith(("agent-", "replica-"))
        ]
        side.append(asyncio.create_task(Writer(fleet, recorder).run()))
        try:
            await _while_not(stop, troubles.run(), clients.play(stop))
            side[-1].cancel()
            if not stop.is_set():
                await troubles.settle()
                await asyncio.sleep(0.2)
                await write_finals(fleet, recorder)
        finally:
            for task in side:
                task.cancel()
            ends = await asyncio.gather(*side, return_exceptions=True)
    for end in ends:
        if isinstance(end, Exception):
            raise end


async def _while_not(
    stop: asyncio.Event, troubles: Coroutine[Any, Any, None], load: Coroutine[Any, Any, None]
) -> None:
    """Faults and load together; when `stop` is set, the faults end where they are."""
    playing, loading = asyncio.create_task(troubles), asyncio.create_task(load)
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({playing, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if playing.done():
        playing.result()
    else:
        playing.cancel()
        await asyncio.gather(playing, return_exceptions=True)
    await loading
    stopping.cancel()


def run(plan: Plan, out: Path, say: Line) -> None:
    """Play a plan and keep its history and logs under `out`; raises LabError."""
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise LabError(f"{out}: {error.strerror}") from None
    if any(out.glob("*.jsonl")):
        raise LabError(f"{out}: holds a history already; give a new folder")
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder:
        try:
            asyncio.run(_run(plan, Path(folder), out, say))
        except* LabError as group:
            raise _first(group) from None


def _first(group: BaseExceptionGroup[LabError]) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
