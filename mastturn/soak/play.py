"""Runs one soak: starts the fleet and its environment, injects troubles, and checks the records."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from mastturn.files import LabError
from mastturn.smallfleet.layout import allocate_layout
from mastturn.soak import clients, lag, operators
from mastturn.soak.checker import Checker
from mastturn.soak.finding import Finding
from mastturn.soak.fleet import Fleet
from mastturn.soak.logs import Logs
from mastturn.soak.plan import Plan
from mastturn.soak.records import Records
from mastturn.soak.surroundings import Environment
from mastturn.soak.troubles import Troubles

SPARE_ADDRESSES = 12  # addresses for upstreams that are started later
OPERATORS = 2

Log = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a soak. `began`: the start of its time axis, on the monotonic clock."""

    plan: Plan
    records: Records
    findings: list[Finding]
    troubles: dict[str, int]
    began: float
    logs: Logs = field(repr=False)


class TerminatedError(Exception):
    """A soak was ended by SIGTERM; all processes that it had started have exited."""


async def _run(plan: Plan, folder: Path, log: Log) -> Result:
    soak = asyncio.current_task()
    assert soak is not None
    # The default action would end this process and leave the fleet's processes running.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, soak.cancel)
    records = Records()
    layout = allocate_layout(
        plan.upstreams + SPARE_ADDRESSES, plan.control, plan.balancers, plan.shared, plan.diskless
    )
    environment = Environment(layout, plan.upstreams, plan.seed, records, plan.answers)
    fleet = Fleet(layout, folder, records, plan.defect)
    troubles = Troubles(fleet, environment, plan.seed, log, plan.only)
    stop, began = asyncio.Event(), time.monotonic()
    async with AsyncExitStack() as exit_stack:
        exit_stack.callback(environment.stop)
        await environment.start()
        exit_stack.push_async_callback(fleet.stop)
        await fleet.start()
        log(f"{len(fleet.members)} processes and {plan.upstreams} upstreams are up")
        began = time.monotonic()
        for watcher in (fleet.watch(), lag.watch(records)):
            exit_stack.callback(asyncio.create_task(watcher).cancel)
        client_list = [
            clients.Client(n, plan.seed, records, lambda: fleet.ready) for n in range(plan.clients)
        ]
        operator_list = [
            operators.Operator(n, plan.seed, layout.all_ctl(), records) for n in range(OPERATORS)
        ]
        load_tasks = [asyncio.create_task(clients.run_all(client_list, stop))]
        load_tasks += [asyncio.create_task(operator.run(stop)) for operator in operator_list]
        try:
            await troubles.run(plan.seconds)
            await fleet.wait_recovered()
        finally:
            stop.set()
            await asyncio.gather(*load_tasks)
        await operators.read_back(layout.ctl(), records)
    return Result(plan, records, Checker(records).findings(), troubles.counts, began, Logs(folder))


def run_soak(plan: Plan, log: Log, keep: Path | None = None, findings_folder: Path | None = None) -> Result:
    """Run a soak; on return, everything that it started has exited. Raises TerminatedError on SIGTERM.

    `keep`: folder for settings, disks and logs. `findings_folder`: without `keep`, a soak with
    findings copies them to a new folder below this one.
    """
    with _working_folder(keep) as folder:
        try:
            result = asyncio.run(_run(plan, folder, log))
        except OSError as error:
            raise LabError(f"{error}; free the address, or try again") from None
        except asyncio.CancelledError:
            raise TerminatedError(f"seed {plan.seed}: ended by SIGTERM") from None
        if result.findings and keep is None and findings_folder is not None:
            log(f"settings, disks and logs: {save_copy(folder, findings_folder, plan.seed)}")
        return result


def save_copy(folder: Path, findings_folder: Path, seed: int) -> Path:
    """Copy a soak's folder to a new one below `findings_folder` and return its path.

    The name has a random part: soaks with the same seed may end in the same second.
    """
    findings_folder.mkdir(parents=True, exist_ok=True)
    stamp = time.strftime("%Y%m%dT%H%M%S")
    copy = Path(tempfile.mkdtemp(prefix=f"{seed}-{stamp}-", dir=findings_folder))
    shutil.copytree(folder, copy, dirs_exist_ok=True)
    return copy


@contextlib.contextmanager
def _working_folder(keep: Path | None) -> Iterator[Path]:
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        if any(keep.iterdir()):  # with old disks the fleet would continue from an earlier fleet's state
            raise LabError(f"--out: {keep} is not empty; name another folder")
        yield keep
        return
    with tempfile.TemporaryDirectory(prefix="mastturn-soak-") as name:
        yield Path(name)
