"""Loads the decision module under test from a folder and accesses it only through its contract.

Several versions of the module may be loaded in one process: each keeps its own Python modules, as a version
is bound to its own `umberworks.interface` when it is imported. Settings and report fields that a version's
contract does not define are left out, so that earlier versions run unchanged.
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
MAX_ACTIONS = 2_000  # per event; more counts as a flood (WIRE, "Error conditions")


class ContractViolation(Exception):
    """The module broke its contract: it raised, returned too many actions or an invalid one."""


class Decider(Protocol):
    """The decision logic of one balancer."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle one event and return the resulting actions in order."""


@dataclass(frozen=True, slots=True)
class BoxState:
    """The true state of one box; only the oracle baselines may read it."""

    running: int
    held: int
    power: float  # work per millisecond, including the effect of troubles
    ready: bool


Truth = Callable[[str], BoxState]


@dataclass(frozen=True)
class Version:
    """A version of the module: its name, its contract types and a factory of instances."""

    name: str
    interface: Any
    make: Callable[[Any, int, Truth], Decider]

    def settings(self, day: Day, tier: int, balancers: int) -> Any:
        """Return the settings of an instance (WIRE, `up`; DEPLOY, `settings`)."""
        interface, rules = self.interface, day.site.rules
        parameters = {
            "classes": tuple(self._class(c) for c in day.classes),
            "tenants": tuple(interface.Tenant(b.name, b.quota_per_s) for b in day.brands),
            "balancers": balancers,
            "calling_tier": tier,
            "list_is_asked": True,  # on sockets discovery only answers requests (PROTOCOL, "Discovery")
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
        return interface.Settings(**{name: value for name, value in parameters.items() if name in known})

    def _class(self, cls: Any) -> Any:
        effect = self.interface.Effect.ONCE if cls.once else self.interface.Effect.REPEATABLE
        return self.interface.RequestClass(cls.name, cls.aim_ms, cls.deadline_ms, effect, worth=cls.worth)

    def attempt_ended(self, *parameters: Any, report: LoadReport | None) -> Any:
        """Return the event that ends an attempt, with its load report if this version supports it."""
        event = self.interface.AttemptEnded
        if report is not None and "report" in event.__dataclass_fields__:
            load_report = self.interface.LoadReport(latency_ms=report.latency_ms, util=report.util)
            return event(*parameters, report=load_report)
        return event(*parameters)


def load(folder: Path, name: str) -> Version:
    """Load the module from `folder`; a copy already imported by the process is not affected."""
    saved_modules = {key: sys.modules.pop(key) for key in list(sys.modules) if _is_package_module(key)}
    sys.path.insert(0, str(folder))
    importlib.invalidate_caches()
    try:
        interface = importlib.import_module(f"{PACKAGE}.interface")
        rules = importlib.import_module(f"{PACKAGE}.rules")
        root = Path(str(interface.__file__)).resolve().parent.parent
        if root != folder.resolve():
            raise ImportError(f"{folder}: holds no {PACKAGE}")
    finally:
        sys.path.remove(str(folder))
        for key in [key for key in sys.modules if _is_package_module(key)]:
            del sys.modules[key]
        sys.modules.update(saved_modules)
    return Version(name, interface, lambda settings, seed, truth: rules.Balancer(settings, seed))


def installed() -> Version:
    """Return the module of this checkout or installation."""
    package = importlib.import_module(PACKAGE)
    return load(Path(str(package.__file__)).resolve().parent.parent, "module")


def _is_package_module(name: str) -> bool:
    return name == PACKAGE or name.startswith(PACKAGE + ".")
