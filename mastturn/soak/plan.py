"""Parameters of a soak, and their validation."""

from __future__ import annotations

import os
from dataclasses import dataclass

from mastturn.files import LabError
from mastturn.soak.faults import has_fault_named

MAX_PROCESSES = 250
PROCESS_MB = 45  # of a process of the fleet after its start, shared pages included
MEMORY_SHARE = 0.5  # of the machine's memory that a soak may use
MIN_SECONDS, MAX_SECONDS = 5.0, 86_400.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak. `seed`: of faults, troubles and clients; `defect`: a planted one (see `planted`)."""

    seed: int
    seconds: float = 30.0
    balancers: int = 3
    control: int = 3
    upstreams: int = 6
    clients: int = 24
    defect: str = ""
    only: str = ""  # only troubles whose names contain this
    answers: str = ""  # only response faults whose names contain this
    shared: bool = False  # control processes and balancers share machines
    diskless: int = 2  # control processes without a disk


def check(plan: Plan) -> Plan:
    """Return the plan if this machine can run it; raises LabError with the remedy otherwise."""
    bounds = (
        ("seconds", plan.seconds, MIN_SECONDS, MAX_SECONDS),
        ("balancers", plan.balancers, 1, MAX_PROCESSES),
        ("control", plan.control, 1, 9),
        ("diskless", plan.diskless, 0, 9),
        ("upstreams", plan.upstreams, 4, 200),
        ("clients", plan.clients, 1, 2_000),
    )
    for name, value, minimum, maximum in bounds:
        if not minimum <= value <= maximum:
            raise LabError(f"--{name} {value:g}: allowed: {minimum:g} to {maximum:g}")
    if not has_fault_named(plan.answers):
        raise LabError(f"--answers {plan.answers!r}: no response fault has such a name; see docs/soak.md")
    processes = plan.balancers + plan.control + plan.diskless
    if processes > MAX_PROCESSES:
        raise LabError(f"{processes} processes: ask for {MAX_PROCESSES} at the most")
    allowed = memory_mb() * MEMORY_SHARE
    if processes * PROCESS_MB > allowed:
        maximum = int(allowed / PROCESS_MB)
        raise LabError(
            f"{processes} processes need {processes * PROCESS_MB} MB: ask for {maximum} at the most"
        )
    return plan


def memory_mb() -> float:
    """Return the machine's memory in MB."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024
