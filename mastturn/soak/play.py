"""One soak from its start to its end: the fleet, what stands around it, troubles, and the records of all."""

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
from mastturn.smallfleet.layout import lay_out
from mastturn.soak import clients, lag, operators
from mastturn.soak.checker import Checker, Finding
from mastturn.soak.fleet import Fleet
from mastturn.soak.logs import Logs
from mastturn.soak.plan import Plan
from mastturn.soak.records import Records
from mastturn.soak.surroundings import Surroundings
from mastturn.soak.troubles import Troubles

SPARE_PLACES = 12  # addresses for upstreams that come later
OPERATORS = 2

Say = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Result:
    """What came of a soak. `began` is the moment, on the monotonic clock, from which seconds count."""

    plan: Plan
    records: Records
    findings: list[Finding]
    troubles: dict[str, int]
    began: float
    logs: Logs = field(repr=False)


class EndedError(Exception):
    """A soak was told to end by SIGTERM; all that it had started has ended."""


async def _play(plan: Plan, folder: Path, say: Say) -> Result:
    soak = asyncio.current_task()
    assert soak is not None
    # Unhandled, the signal would end us and leave the fleet's processes running.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, soak.cancel)
    records = Records()
    layout = lay_out(plan.upstreams + SPARE_PLACES, plan.control, plan.balancers, plan.shared)
    around = Surroundings(layout, plan.upstreams, plan.seed, records, plan.answers)
    fleet = Fleet(layout, folder, records, plan.defect)
    troubles = Troubles(fleet, around, plan.seed, say, plan.only)
    stop, began = asyncio.Event(), time.monotonic()
    async with AsyncExitStack() as ending:
        ending.callback(around.stop)
        await around.start()
        ending.push_async_callback(fleet.stop)
        await fleet.start()
        say(f"{len(fleet.members)} processes and {plan.upstreams} upstreams are up")
        began = time.monotonic()
        for watching in (fleet.watch(), lag.watch(records)):
            ending.callback(asyncio.create_task(watching).cancel)
        callers = [clients.Client(n, plan.seed, records, lambda: fleet.ready) for n in range(plan.clients)]
        changing = [operators.Operator(n, plan.seed, layout.ctl(), records) for n in range(OPERATORS)]
        playing = [asyncio.create_task(clients.play(callers, stop))]
        playing += [asyncio.create_task(operator.run(stop)) for operator in changing]
        try:
            await troubles.run(plan.seconds)
        finally:
            stop.set()
            await asyncio.gather(*playing)
        await operators.read_back(layout.ctl(), records)
    return Result(plan, records, Checker(records).findings(), troubles.counts, began, Logs(folder))


def play(plan: Plan, say: Say, keep: Path | None = None, found: Path | None = None) -> Result:
    """Play it; all that was started has ended then. Raises EndedError on SIGTERM.

    `keep`: a folder for settings, disks and logs. `found`: a folder in which a soak that found something
    leaves them in a folder of its own, without `keep`.
    """
    with _folder(keep) as folder:
        try:
            result = asyncio.run(_play(plan, folder, say))
        except OSError as error:
            raise LabError(f"{error}; free the address, or try again") from None
        except asyncio.CancelledError:
            raise EndedError(f"seed {plan.seed}: ended by SIGTERM") from None
        if result.findings and keep is None and found is not None:
            say(f"settings, disks and logs: {leave_copy(folder, found, plan.seed)}")
        return result


def leave_copy(folder: Path, found: Path, seed: int) -> Path:
    """Copy a soak's folder to one of its own below `found`; it is the copy's path.

    The name is drawn by the system: soaks of one seed may end in the same second.
    """
    found.mkdir(parents=True, exist_ok=True)
    stamp = time.strftime("%Y%m%dT%H%M%S")
    copy = Path(tempfile.mkdtemp(prefix=f"{seed}-{stamp}-", dir=found))
    shutil.copytree(folder, copy, dirs_exist_ok=True)
    return copy


@contextlib.contextmanager
def _folder(keep: Path | None) -> Iterator[Path]:
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        if any(keep.iterdir()):  # old disks would make the new fleet go on from an older one's state
            raise LabError(f"--out: {keep} is not empty; name another folder")
        yield keep
        return
    with tempfile.TemporaryDirectory(prefix="mastturn-soak-") as name:
        yield Path(name)
