"""The decision module under test: loaded from a folder, spoken to through its contract and nothing else.

Several versions of the module may be loaded in one process: each keeps its own modules, as a version is
bound to its own `umberworks.interface` when it is imported. What a version's contract does not know is left
out, so that earlier versions run unchanged.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, Protocol

from mastturn.emulator.day import Day
from mastturn.emulator.reports import LoadReport

PACKAGE = "umberworks"
MAX_ACTIONS = 2_000  # for one event; more is a flood (WIRE, "Error conditions")


class ContractViolation(Exception):
    """The module broke its contract: it raised, flooded or named what does not exist."""


class Decider(Protocol):
    """One balancer's decisions."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event and return the actions, in order."""


@dataclass(frozen=True, slots=True)
class BoxState:
    """The true state of one box; only baselines that are meant to see it are given it."""

    running: int
    held: int
    power: float  # work a millisecond, troubles included
    ready: bool


Truth = Callable[[str], BoxState]


@dataclass(frozen=True)
class Version:
    """A module: what to call it, its contract, and how an instance is made."""

    name: str
    interface: Any
    make: Callable[[Any, int, Truth], Decider]

    def settings(self, day: Day, tier: int, balancers: int) -> Any:
        """What an instance is told at its start (WIRE, `up`; DEPLOY, `settings`)."""
        interface, rules = self.interface, day.site.rules
        figures = {
            "classes": tuple(self._class(c) for c in day.classes),
            "tenants": tuple(interface.Tenant(b.name, b.quota_per_s) for b in day.brands),
            "balancers": balancers,
            "calling_tier": tier,
            "list_is_asked": True,  # discovery tells nothing unasked on sockets (PROTOCOL, "Discovery")
            "max_attempts": rules.max_attempts,
            "may_cancel": True,
            "may_probe": True,
            "may_duplicate": False,
            "max_retry_after_ms": day.clients.max_retry_after_ms,
            "sizes_exact": False,
            "cold_ms": max(m.cold_ms for tier_boxes in day.machines for m in tier_boxes),
            "cold_from": min(m.cold_from for tier_boxes in day.machines for m in tier_boxes),
            "cold_overload_factor": rules.fall_multiple,
            "cold_window_ms": rules.fall_ms,
            "tick_ms": 5.0,
        }
        known = {f.name for f in fields(interface.Settings)}
        return interface.Settings(**{name: value for name, value in figures.items() if name in known})

    def _class(self, cls: Any) -> Any:
        effect = self.interface.Effect.ONCE if cls.once else self.interface.Effect.REPEATABLE
        return self.interface.RequestClass(cls.name, cls.aim_ms, cls.deadline_ms, effect, worth=cls.worth)

    def attempt_ended(self, *figures: Any, report: LoadReport | None) -> Any:
        """The event that ends an attempt, with its load report where this version can take one."""
        event = self.interface.AttemptEnded
        if report is not None and "report" in event.__dataclass_fields__:
            load_report = self.interface.LoadReport(latency_ms=report.latency_ms, util=report.util)
            return event(*figures, report=load_report)
        return event(*figures)


def load(folder: Path, name: str) -> Version:
    """Load the module that lies in `folder`; the process's own one, if any, stays as it is."""
    aside = {key: sys.modules.pop(key) for key in list(sys.modules) if _is_package_module(key)}
    sys.path.insert(0, str(folder))
    importlib.invalidate_caches()
    try:
        interface = importlib.import_module(f"{PACKAGE}.interface")
        rules = importlib.import_module(f"{PACKAGE}.rules")
        where = Path(str(interface.__file__)).resolve().parent.parent
        if where != folder.resolve():
            raise ImportError(f"{folder}: holds no {PACKAGE}")
    finally:
        sys.path.remove(str(folder))
        for key in [key for key in sys.modules if _is_package_module(key)]:
            del sys.modules[key]
        sys.modules.update(aside)
    return Version(name, interface, lambda settings, seed, truth: rules.Balancer(settings, seed))


def installed() -> Version:
    """The module of this checkout or installation."""
    package = importlib.import_module(PACKAGE)
    return load(Path(str(package.__file__)).resolve().parent.parent, "module")


def _is_package_module(name: str) -> bool:
    return name == PACKAGE or name.startswith(PACKAGE + ".")
