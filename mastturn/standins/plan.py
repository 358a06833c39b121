"""Defines the plan of a run on real sockets, read from a TOML file or taken from the demo's defaults.

Names carry their units. Work times are those of one request on an idle core.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from mastturn.files import LabError, read_toml


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: str
    portion: float
    work_ms: float
    aim_ms: float
    deadline_ms: float
    effect: Literal["repeatable", "once"] = "repeatable"


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load run: duration, load, and times of faults in seconds from the first request."""

    seconds: float
    requests_per_s: float = 40.0
    balancers: int = 2
    front_upstreams: int = 4
    kitchen_upstreams: int = 4
    cores: int = 4  # per upstream
    seed: int = 1
    classes: tuple[RequestClass, ...] = (
        RequestClass("menu-view", 0.54, 30.0, 2_500.0, 6_000.0),
        RequestClass("pick-save", 0.26, 15.0, 1_000.0, 2_500.0),
        RequestClass("box-pay", 0.20, 10.0, 800.0, 2_000.0, "once"),
    )
    release_at_s: float | None = None  # the front upstreams are restarted one by one
    silent_at_s: float | None = None  # one kitchen upstream stops answering
    kill_balancer_at_s: float | None = None  # one front balancer is killed and restarted


MAX_REQUESTS = 100_000  # upper bound on the load of one run
MAX_SECONDS = 3_600.0
LIMITS = (
    ("seconds", 1.0, MAX_SECONDS),
    ("requests_per_s", 0.1, 2_000.0),
    ("balancers", 1, 16),
    ("front_upstreams", 1, 32),
    ("kitchen_upstreams", 1, 32),
    ("cores", 1, 64),
)


def demo(seconds: float) -> Plan:
    """Return the plan of the demo, with a release after a third of the time."""
    return check(Plan(seconds=seconds, release_at_s=seconds / 3), "--seconds")


def read_plan(path: Path) -> Plan:
    """Read a plan from a file; raises LabError."""
    return check(read_toml(path, Plan), str(path))


def check(plan: Plan, where: str) -> Plan:
    """Return the plan; raises LabError with one line if a value is out of bounds."""
    for name, low, high in LIMITS:
        value = getattr(plan, name)
        if not low <= value <= high:
            raise LabError(f"{where}: {name}: {value:g}, allowed: {low:g} to {high:g}")
    if plan.seconds * plan.requests_per_s > MAX_REQUESTS:
        raise LabError(f"{where}: requests_per_s: over {MAX_REQUESTS} requests in all, which is the most")
    if not plan.classes or sum(c.portion for c in plan.classes) <= 0:
        raise LabError(f"{where}: classes: need portions over 0")
    for name in ("release_at_s", "silent_at_s", "kill_balancer_at_s"):
        at = getattr(plan, name)
        if at is not None and not 0 <= at < plan.seconds:
            raise LabError(f"{where}: {name}: {at:g}, allowed: from 0 and under seconds")
    return plan
