"""Plan of a chaos run: a TOML file with fleet sizes, load, and faults at fixed or random times.

Names of settings end in their unit. Faults on programs name them (`replica-a`, `agent-0`, `balancer-0`,
`upstream-0`); faults on links name both ends (`agent-0>replica-a`). `*` matches any part of a name.
"""

from __future__ import annotations

import random
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Literal

import msgspec

from mastturn.files import LabError, read_toml
from mastturn.standins.plan import MAX_REQUESTS, MAX_SECONDS

Kind = Literal[
    "kill", "stop", "replace", "old_state", "cut", "cut_out", "cut_in", "delay", "throttle", "reset", "drop"
]
ON_PROGRAMS: tuple[Kind, ...] = ("kill", "stop", "replace", "old_state")
ALL: tuple[Kind, ...] = (*ON_PROGRAMS, "cut", "cut_in", "cut_out", "delay", "reset")
SCRATCH_AGENT = "agent-scratch"
REPLICA_LETTERS = "abcdefghijklmnop"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault, from `at_s` (since the start of the load) for `lasts_s`.

    On programs: `kill` (restarted at the end), `stop` (SIGSTOP, then SIGCONT), `replace` (SIGTERM, then a
    new process), `old_state` (a replica: killed at the end and restarted with its database as of `at_s`).
    On links: `cut` (data is held in both directions and delivered at the end), `cut_out` and `cut_in` (one
    direction, as seen from the first end of the link), `delay`, `throttle`, `reset` (all open connections,
    immediately), `drop` (new connections are closed immediately).
    """

    kind: Kind
    on: tuple[str, ...]
    at_s: float
    lasts_s: float = 0.0
    delay_ms: float = 100.0
    bytes_per_s: float = 10_000.0


class RandomFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Random faults: number, kinds, range of durations, and the fault-free time between two of them."""

    count: int
    kinds: tuple[Kind, ...] = ALL
    lasts_s: tuple[float, float] = (0.5, 3.0)
    quiet_s: float = 0.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a chaos run."""

    seconds: float
    requests_per_s: float = 40.0
    replicas: int = 3
    balancers: int = 2
    upstreams: int = 4
    cores: int = 4  # per upstream
    lease_s: float = 3.0
    writes_per_s: float = 5.0  # to the scratch list, to check the durability of writes
    converge_within_s: float = 5.0
    seed: int = 1
    faults: tuple[Fault, ...] = ()
    drawn: RandomFaults | None = None


_LIMITS = (
    ("seconds", 1.0, MAX_SECONDS),
    ("requests_per_s", 0.0, 1_000.0),
    ("replicas", 1, len(REPLICA_LETTERS)),
    ("balancers", 1, 40),
    ("upstreams", 1, 40),
    ("cores", 1, 64),
    ("lease_s", 0.5, 60.0),
    ("writes_per_s", 0.0, 200.0),
    ("converge_within_s", 0.1, 600.0),
)


def read_plan(path: Path, seed: int | None = None, seconds: float | None = None) -> Plan:
    """Read and check a plan file and draw its random faults; raises LabError."""
    plan = read_toml(path, Plan)
    changes: dict[str, float | int] = {}
    if seed is not None:
        changes["seed"] = seed
    if seconds is not None:
        changes["seconds"] = seconds
    return draw_faults(check(msgspec.structs.replace(plan, **changes), str(path)))


def agent_names(plan: Plan) -> list[str]:
    """Names of the agents: one for each balancer, and one for the scratch list."""
    return [*(f"agent-{i}" for i in range(plan.balancers)), SCRATCH_AGENT]


def program_names(plan: Plan) -> list[str]:
    """Names of all programs, the targets of process faults."""
    return [
        *(f"replica-{REPLICA_LETTERS[i]}" for i in range(plan.replicas)),
        *agent_names(plan),
        *(f"balancer-{i}" for i in range(plan.balancers)),
        *(f"upstream-{i}" for i in range(plan.upstreams)),
    ]


def link_names(plan: Plan) -> list[str]:
    """Names of all links, the targets of network faults."""
    replicas = [f"replica-{REPLICA_LETTERS[i]}" for i in range(plan.replicas)]
    names = [f"{one}>{other}" for one in replicas for other in replicas if one != other]
    names += [f"{agent}>{replica}" for agent in agent_names(plan) for replica in replicas]
    names += [f"upstream-{i}>{replica}" for i in range(plan.upstreams) for replica in replicas]
    return names + [f"balancers>upstream-{i}" for i in range(plan.upstreams)]


def matching(names: list[str], patterns: tuple[str, ...]) -> list[str]:
    """Names that match one of the patterns."""
    return [name for name in names if any(fnmatchcase(name, pattern) for pattern in patterns)]


def target_names(plan: Plan, fault: Fault) -> list[str]:
    """Names of the programs or links that a fault applies to."""
    return matching(program_names(plan) if fault.kind in ON_PROGRAMS else link_names(plan), fault.on)


def check(plan: Plan, location: str) -> Plan:
    """Validate a plan and return it; raises LabError with one line."""
    for name, low, high in _LIMITS:
        value = getattr(plan, name)
        if not low <= value <= high:
            raise LabError(f"{location}: {name}: {value:g}, allowed: {low:g} to {high:g}")
    if plan.seconds * plan.requests_per_s > MAX_REQUESTS:
        raise LabError(f"{location}: requests_per_s: over {MAX_REQUESTS} requests in all, the maximum")
    for i, fault in enumerate(plan.faults):
        entry = f"{location}: faults[{i}]"
        if fault.at_s + fault.lasts_s > plan.seconds:
            raise LabError(f"{entry}: ends at {fault.at_s + fault.lasts_s:g} s, allowed: within seconds")
        matched = target_names(plan, fault)
        if not matched:
            candidates = ", ".join(
                (program_names(plan) if fault.kind in ON_PROGRAMS else link_names(plan))[:3]
            )
            raise LabError(f"{entry}.on: {', '.join(fault.on)} means nobody; for example {candidates}")
        if fault.kind == "old_state" and not all(name.startswith("replica-") for name in matched):
            raise LabError(f"{entry}.on: old_state is for replicas only")
    return plan


def draw_faults(plan: Plan) -> Plan:
    """Replace `drawn` by random faults; deterministic for a seed."""
    drawn = plan.drawn
    if drawn is None or not drawn.count:
        return plan
    rng = random.Random(plan.seed)
    step = plan.seconds / drawn.count
    scheduled = list(plan.faults)
    for i in range(drawn.count):
        duration_s = min(rng.uniform(*drawn.lasts_s), max(step - drawn.quiet_s, 0.1))
        start_s = i * step + rng.uniform(0.0, max(step - drawn.quiet_s - duration_s, 0.0))
        scheduled.append(
            _random_fault(plan, rng.choice(drawn.kinds), round(start_s, 3), round(duration_s, 3), rng)
        )
    return msgspec.structs.replace(plan, faults=tuple(sorted(scheduled, key=lambda f: f.at_s)), drawn=None)


def _random_fault(plan: Plan, kind: Kind, start_s: float, duration_s: float, rng: random.Random) -> Fault:
    """Draw a fault of a kind on a random valid target."""
    replica = f"replica-{REPLICA_LETTERS[rng.randrange(plan.replicas)]}"
    if kind == "old_state":
        return Fault(kind, (replica,), start_s, duration_s)
    if kind == "replace":
        candidates = [name for name in program_names(plan) if name.startswith(("balancer-", "upstream-"))]
        return Fault(kind, (rng.choice(candidates),), start_s, duration_s)
    if kind in ON_PROGRAMS:
        return Fault(kind, (rng.choice(program_names(plan)),), start_s, duration_s)
    groups = (
        (f"{replica}>replica-*", f"replica-*>{replica}"),  # one replica isolated from the others
        (f"agent-*>{replica}",),
        ("upstream-*>replica-*",),  # all registrants isolated from the replicas
        (f"balancers>upstream-{rng.randrange(plan.upstreams)}",),
        (rng.choice(link_names(plan)),),
    )
    return Fault(kind, rng.choice(groups), start_s, duration_s)
