"""Runs a plan: starts the fleet and its load, injects the faults, and records the history."""

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
from mastturn.chaos.plan import ON_PROGRAMS, SCRATCH_AGENT, Fault, Plan, target_names
from mastturn.chaos.watchers import ConvergenceProbe, Writer, follow_list, record_final_lists
from mastturn.files import LabError
from mastturn.registry.http import session
from mastturn.standins.clients import Clients

LogLine = Callable[[str], None]


class FaultRunner:
    """Injects and heals the faults of a plan on schedule, and records them."""

    def __init__(self, fleet: Fleet, recorder: Recorder, log: LogLine) -> None:
        self._fleet, self._recorder, self._log = fleet, recorder, log
        self._active_faults = 0
        self._convergence = ConvergenceProbe(fleet, recorder)
        self._measurement: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Run all faults; returns once all have healed."""
        start = time.monotonic()
        async with asyncio.TaskGroup() as fault_tasks:
            for number, fault in enumerate(self._fleet.plan.faults):
                fault_tasks.create_task(self._run_fault(number, fault, start))

    async def _run_fault(self, number: int, fault: Fault, start: float) -> None:
        await asyncio.sleep(max(start + fault.at_s - time.monotonic(), 0.0))
        names = target_names(self._fleet.plan, fault)
        self._active_faults += 1
        if self._measurement is not None:
            self._measurement.cancel()  # the next fault has begun: convergence is not due
        self._log(f"{fault.at_s:7.1f} s  {fault.kind} for {fault.lasts_s:g} s: {', '.join(fault.on)}")
        self._recorder.write("rig", "fault", number=number, kind=fault.kind, on=names, lasts_s=fault.lasts_s)
        try:
            if fault.kind in ON_PROGRAMS:
                await asyncio.gather(*(self._apply_to_program(fault, name) for name in names))
            else:
                await self._apply_to_links(fault, names)
        finally:
            self._recorder.write("rig", "healed", number=number)
            self._active_faults -= 1
        if not self._active_faults:
            bound = self._fleet.plan.converge_within_s
            self._measurement = asyncio.create_task(self._convergence.measure(bound))

    async def _apply_to_program(self, fault: Fault, name: str) -> None:
        program = self._fleet.programs[name]
        async with program.fault_lock:
            await self._apply(fault, program)

    async def _apply(self, fault: Fault, program: Program) -> None:
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
                    program.resume()
            case "replace":
                await program.replace()
            case "old_state":
                copy = self._fleet.copy_state(program.name)
                await asyncio.sleep(fault.lasts_s)
                await self._fleet.restore_state(program.name, copy)

    async def _apply_to_links(self, fault: Fault, names: list[str]) -> None:
        affected = [self._fleet.links[name] for name in names]
        for link in affected:
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
                    link.drops_connections = True
        try:
            await asyncio.sleep(fault.lasts_s)
        finally:
            for link in affected:
                link.heal()

    async def wait_for_convergence(self) -> None:
        """Wait for the measurement after the last healing, then measure once more."""
        if self._measurement is not None:
            await asyncio.gather(self._measurement, return_exceptions=True)
        await self._convergence.measure(self._fleet.plan.converge_within_s)


async def _run(plan: Plan, folder: Path, out: Path, log: LogLine) -> None:
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
        log(f"{len(fleet.programs)} programs and {len(fleet.links)} links are up")
        await _run_load(plan, fleet, recorder, stop, log)
    finally:
        await fleet.stop()
        recorder.close()
        for name, text in fleet.logs().items():
            (out / f"{name}.log").write_text(text)


async def _run_load(plan: Plan, fleet: Fleet, recorder: Recorder, stop: asyncio.Event, log: LogLine) -> None:
    balancers = [p for name, p in fleet.programs.items() if name.startswith("balancer-")]
    clients = Clients(
        fleet.load,
        [p.address for p in balancers],
        [p.name for p in balancers],
        lambda what, **fields: recorder.write("client", what, **fields),
    )
    fault_runner = FaultRunner(fleet, recorder, log)
    async with session() as client:
        observers = [
            asyncio.create_task(
                follow_list(client, recorder, name, p.address, SCRATCH if name == SCRATCH_AGENT else "")
            )
            for name, p in fleet.programs.items()
            if name.startswith(("agent-", "replica-"))
        ]
        observers.append(asyncio.create_task(Writer(fleet, recorder).run()))
        try:
            await _run_until_stopped(stop, fault_runner.run(), clients.play(stop))
            observers[-1].cancel()
            if not stop.is_set():
                await fault_runner.wait_for_convergence()
                await asyncio.sleep(0.2)
                await record_final_lists(fleet, recorder)
        finally:
            for task in observers:
                task.cancel()
            results = await asyncio.gather(*observers, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result


async def _run_until_stopped(
    stop: asyncio.Event, fault_runner: Coroutine[Any, Any, None], load: Coroutine[Any, Any, None]
) -> None:
    """Run faults and load together; when `stop` is set, the faults are cancelled."""
    fault_tasks, load_task = asyncio.create_task(fault_runner), asyncio.create_task(load)
    stop_task = asyncio.create_task(stop.wait())
    await asyncio.wait({fault_tasks, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    if fault_tasks.done():
        fault_tasks.result()
    else:
        fault_tasks.cancel()
        await asyncio.gather(fault_tasks, return_exceptions=True)
    await load_task
    stop_task.cancel()


def run(plan: Plan, out: Path, log: LogLine) -> None:
    """Run a plan and write its history and logs to `out`; raises LabError."""
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise LabError(f"{out}: {error.strerror}") from None
    if any(out.glob("*.jsonl")):
        raise LabError(f"{out}: holds a history already; name a new folder")
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder:
        try:
            asyncio.run(_run(plan, Path(folder), out, log))
        except* LabError as group:
            raise _first_error(group) from None


def _first_error(group: BaseExceptionGroup[LabError]) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
