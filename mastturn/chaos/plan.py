"""What a chaos run is made of: a TOML file with the fleet, its load, and faults at fixed moments or drawn.

Every name carries its unit. Faults on programs name them (`replica-a`, `agent-0`, `balancer-0`,
`upstream-0`); faults on links name both ends (`agent-0>replica-a`). `*` stands for any part of a name.
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
NAMES = "abcdefghijklmnop"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, from `at_s` (since the load began) for `lasts_s`.

    On programs: `kill` (started again when it is over), `stop` (SIGSTOP, then SIGCONT), `replace` (SIGTERM,
    and a new one), `old_state` (a replica: killed when it is over and started with its file as of `at_s`).
    On links: `cut` (nothing passes, nothing is said; what was held passes when it is over), `cut_out` and
    `cut_in` (one way, seen from the first end of the link), `delay`, `throttle`, `reset` (all open
    connections, at once), `drop` (new connections end at once).
    """

    kind: Kind
    on: tuple[str, ...]
    at_s: float
    lasts_s: float = 0.0
    delay_ms: float = 100.0
    bytes_per_s: float = 10_000.0


class Drawn(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to draw: how many, of which kinds, how long; quiet lies between any two of them."""

    count: int
    kinds: tuple[Kind, ...] = ALL
    lasts_s: tuple[float, float] = (0.5, 3.0)
    quiet_s: float = 0.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A run."""

    seconds: float
    requests_per_s: float = 40.0
    replicas: int = 3
    balancers: int = 2
    upstreams: int = 4
    cores: int = 4  # of each upstream
    lease_s: float = 3.0
    writes_per_s: float = 5.0  # to a list that nobody balances, to see what becomes of each write
    converge_within_s: float = 5.0
    seed: int = 1
    faults: tuple[Fault, ...] = ()
    drawn: Drawn | None = None


_LIMITS = (
    ("seconds", 1.0, MAX_SECONDS),
    ("requests_per_s", 0.0, 1_000.0),
    ("replicas", 1, len(NAMES)),
    ("balancers", 1, 40),
    ("upstreams", 1, 40),
    ("cores", 1, 64),
    ("lease_s", 0.5, 60.0),
    ("writes_per_s", 0.0, 200.0),
    ("converge_within_s", 0.1, 600.0),
)


def read_plan(path: Path, seed: int | None = None, seconds: float | None = None) -> Plan:
    """A plan of one's own with its faults drawn; raises LabError."""
    plan = read_toml(path, Plan)
    changes: dict[str, float | int] = {}
    if seed is not None:
        changes["seed"] = seed
    if seconds is not None:
        changes["seconds"] = seconds
    return draw(check(msgspec.structs.replace(plan, **changes), str(path)))


def agents(plan: Plan) -> list[str]:
    """One beside each balancer, and one of the list that is written to all the time."""
    return [*(f"agent-{i}" for i in range(plan.balancers)), SCRATCH_AGENT]


def programs(plan: Plan) -> list[str]:
    """All that can be killed, stopped and replaced."""
    return [
        *(f"replica-{NAMES[i]}" for i in range(plan.replicas)),
        *agents(plan),
        *(f"balancer-{i}" for i in range(plan.balancers)),
        *(f"upstream-{i}" for i in range(plan.upstreams)),
    ]


def links(plan: Plan) -> list[str]:
    """All that can be cut."""
    replicas = [f"replica-{NAMES[i]}" for i in range(plan.replicas)]
    found = [f"{one}>{other}" for one in replicas for other in replicas if one != other]
    found += [f"{agent}>{replica}" for agent in agents(plan) for replica in replicas]
    found += [f"upstream-{i}>{replica}" for i in range(plan.upstreams) for replica in replicas]
    return found + [f"balancers>upstream-{i}" for i in range(plan.upstreams)]


def matching(names: list[str], patterns: tuple[str, ...]) -> list[str]:
    """The names that one of the patterns means."""
    return [name for name in names if any(fnmatchcase(name, pattern) for pattern in patterns)]


def targets(plan: Plan, fault: Fault) -> list[str]:
    """What a fault falls on."""
    return matching(programs(plan) if fault.kind in ON_PROGRAMS else links(plan), fault.on)


def check(plan: Plan, where: str) -> Plan:
    """Refuse what can't be played, in one line."""
    for name, low, high in _LIMITS:
        value = getattr(plan, name)
        if not low <= value <= high:
            raise LabError(f"{where}: {name}: {value:g}, allowed: {low:g} to {high:g}")
    if plan.seconds * plan.requests_per_s > MAX_REQUESTS:
        raise LabError(f"{where}: requests_per_s: over {MAX_REQUESTS} requests in all, which is the most")
    for i, fault in enumerate(plan.faults):
        place = f"{where}: faults[{i}]"
        if fault.at_s + fault.lasts_s > plan.seconds:
            raise LabError(f"{place}: ends at {fault.at_s + fault.lasts_s:g} s, allowed: within seconds")
        found = targets(plan, fault)
        if not found:
            some = ", ".join((programs(plan) if fault.kind in ON_PROGRAMS else links(plan))[:3])
            raise LabError(f"{place}.on: {', '.join(fault.on)} means nobody; for example {some}")
        if fault.kind == "old_state" and not all(name.startswith("replica-") for name in found):
            raise LabError(f"{place}.on: old_state is for replicas alone")
    return plan


def draw(plan: Plan) -> Plan:
    """The plan with its drawn faults in place; the same for the same seed."""
    drawn = plan.drawn
    if drawn is None or not drawn.count:
        return plan
    chance = random.Random(plan.seed)
    step = plan.seconds / drawn.count
    found = list(plan.faults)
    for i in range(drawn.count):
        lasts = min(chance.uniform(*drawn.lasts_s), max(step - drawn.quiet_s, 0.1))
        at = i * step + chance.uniform(0.0, max(step - drawn.quiet_s - lasts, 0.0))
        found.append(_one(plan, chance.choice(drawn.kinds), round(at, 3), round(lasts, 3), chance))
    return msgspec.structs.replace(plan, faults=tuple(sorted(found, key=lambda f: f.at_s)), drawn=None)


def _one(plan: Plan, kind: Kind, at: float, lasts: float, chance: random.Random) -> Fault:
    """One fault of a kind on something that it can fall on."""
    replica = f"replica-{NAMES[chance.randrange(plan.replicas)]}"
    if kind == "old_state":
        return Fault(kind, (replica,), at, lasts)
    if kind == "replace":
        some = [name for name in programs(plan) if name.startswith(("balancer-", "upstream-"))]
        return Fault(kind, (chance.choice(some),), at, lasts)
    if kind in ON_PROGRAMS:
        return Fault(kind, (chance.choice(programs(plan)),), at, lasts)
    groups = (
        (f"{replica}>replica-*", f"replica-*>{replica}"),  # a replica from the others
        (f"agent-*>{replica}",),
        ("upstream-*>replica-*",),  # all registrants from the service
        (f"balancers>upstream-{chance.randrange(plan.upstreams)}",),
        (chance.choice(links(plan)),),
    )
    return Fault(kind, chance.choice(groups), at, lasts)
