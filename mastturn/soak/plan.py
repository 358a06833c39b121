"""What one soak is made of, and the bounds within which it may be asked for."""

from __future__ import annotations

import os
from dataclasses import dataclass

from mastturn.files import LabError
from mastturn.soak.faults import are_there

MOST_PROCESSES = 250
PROCESS_MB = 45  # of memory that one process of the fleet takes at its start, with what it shares counted in
MEMORY_SHARE = 0.5  # of the machine's memory that a soak may take
LEAST_SECONDS, MOST_SECONDS = 5.0, 86_400.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak. `seed` draws faults, troubles and clients; `defect` names a planted one (see `planted`)."""

    seed: int
    seconds: float = 30.0
    balancers: int = 3
    control: int = 3
    upstreams: int = 6
    clients: int = 24
    defect: str = ""
    only: str = ""  # of the troubles, those whose names hold this
    answers: str = ""  # of the faults of answers, those whose names hold this
    shared: bool = False  # control processes and balancers share machines


def check(plan: Plan) -> Plan:
    """The plan, if it can be played here; raises LabError with the remedy."""
    bounds = (
        ("seconds", plan.seconds, LEAST_SECONDS, MOST_SECONDS),
        ("balancers", plan.balancers, 1, MOST_PROCESSES),
        ("control", plan.control, 1, 9),
        ("upstreams", plan.upstreams, 4, 200),
        ("clients", plan.clients, 1, 2_000),
    )
    for name, value, least, most in bounds:
        if not least <= value <= most:
            raise LabError(f"--{name} {value:g}: allowed: {least:g} to {most:g}")
    if not are_there(plan.answers):
        raise LabError(f"--answers {plan.answers!r}: no fault of answers has such a name; see docs/soak.md")
    processes = plan.balancers + plan.control
    if processes > MOST_PROCESSES:
        raise LabError(f"{processes} processes: ask for {MOST_PROCESSES} at the most")
    allowed = memory_mb() * MEMORY_SHARE
    if processes * PROCESS_MB > allowed:
        most = int(allowed / PROCESS_MB)
        raise LabError(f"{processes} processes need {processes * PROCESS_MB} MB: ask for {most} at the most")
    return plan


def memory_mb() -> float:
    """The machine's memory in MB."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024
