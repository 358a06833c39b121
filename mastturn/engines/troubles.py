"""Injects the faults of a day into the fleet; `burst` is part of the demand instead.

Kinds that are not modelled are skipped; see `is_modelled`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastturn.emulator.chance import Stream
from mastturn.engines.deployment import Day, Fault

if TYPE_CHECKING:
    from mastturn.engines.engine import Engine
    from mastturn.engines.fleet import Fleet

ENGINE_FAULTS = frozenset({"burst", "srv_crash", "kv_slow", "handle_short", "release"})
BALANCER_FAULTS = frozenset({"node_kill", "herd_kill"})
CORE_FAULTS = frozenset(
    {"core_cut", "replace_core", "after_ack_wipe", "disk_full", "disk_slow", "disk_stall"}
)
SILENCING_FAULTS = frozenset({"node_kill", "herd_kill", "core_cut", "node_freeze", "after_ack_wipe"})
CORE_SETTLE_S = 4.1  # minimum time between two faults of the core
HERD_KILL_S = 12.5  # duration that a `herd_kill` counts as a fault
LAST_DRAIN_S = 4.0  # no upstream is drained within this time of the end
TAKE_OVER_S = 1.2  # until another node leads
DRAIN_AFTER_S = 3.5  # with `drain`: an upstream is drained this long after the machine is back
RESTART_S = 0.5  # until a killed process is restarted


def is_modelled(fault: Fault) -> bool:
    """Whether a fault of a day is simulated."""
    return _is_core_fault(fault) or fault.kind in ENGINE_FAULTS | BALANCER_FAULTS


def _is_core_fault(fault: Fault) -> bool:
    return fault.on == "core" or fault.kind in CORE_FAULTS


def schedule(fleet: Fleet, day: Day, seed: int, begin: float) -> None:
    """Schedule the faults of a day, relative to `begin` on the loop's clock."""
    loop = asyncio.get_running_loop()
    core_free_at = 0.0  # when the core accepts another fault
    order = sorted(enumerate((*day.faults, *day.plan)), key=lambda item: item[1].at)
    for index, fault in order:
        rng = Stream(seed, "trouble", index)
        if _is_core_fault(fault):
            at = max(fault.at, core_free_at)
            core_free_at = at + _duration_s(fault) + CORE_SETTLE_S
            if at < fleet.deployment.length_s:
                _inject_core(fleet, fault, rng, at, begin)
        elif fault.kind != "burst" and is_modelled(fault):
            loop.call_at(begin + fault.at, _inject, fleet, fault, rng)
    if day.closing is not None:
        ends = fleet.kill_all if day.closing.kind in ("kill_all", "power_off_all") else fleet.control.silence
        loop.call_at(begin + max(fleet.deployment.length_s, core_free_at), ends, day.closing.down_s)


def _duration_s(fault: Fault) -> float:
    """Duration of a fault of the core, in seconds."""
    if fault.kind == "node_kill" and "power" not in fault.how:
        return RESTART_S
    return HERD_KILL_S if fault.kind == "herd_kill" else fault.for_s


def _choose_indices(fault: Fault, total: int, rng: Stream, default_share: float) -> list[int]:
    count = fault.count if fault.count is not None else max(round((fault.share or default_share) * total), 1)
    return rng.some(min(count, total), total)


def _inject(fleet: Fleet, fault: Fault, rng: Stream) -> None:
    loop = asyncio.get_running_loop()
    engines = [e for e in fleet.engines if fault.zone in ("", e.zone) and not e.draining]

    def chosen(default_share: float) -> list[Engine]:
        return [engines[i] for i in _choose_indices(fault, len(engines), rng, default_share)]

    if fault.kind == "srv_crash":
        for engine in chosen(0.15):
            fleet.crash(engine, "dark" in fault.how, fault.for_s)
    elif fault.kind == "kv_slow":
        for engine in chosen(0.3):
            engine.move_x = fault.x or 8.0
            loop.call_later(fault.for_s, _set_attribute, engine, "move_x", 1.0)
    elif fault.kind == "handle_short":
        for engine in chosen(0.3):
            engine.lapses_soon = True
            loop.call_later(fault.for_s, _set_attribute, engine, "lapses_soon", False)
    elif fault.kind == "release":
        for place, engine in enumerate(chosen(0.5)):
            loop.call_later(place * fault.gap_s, fleet.replace, engine)
    else:
        nodes = fleet.nodes
        for index in _choose_indices(fault, len(nodes), rng, 0.1 if fault.kind == "node_kill" else 0.6):
            fleet.kill(nodes[index], fault.for_s if "power" in fault.how else RESTART_S)


def _inject_core(fleet: Fleet, fault: Fault, rng: Stream, at: float, begin: float) -> None:
    """Silence the control primary until another leads if the fault hits the leader, one node of three."""
    loop = asyncio.get_running_loop()
    leads = "leader" in fault.how or fault.kind == "herd_kill" or rng.uniform() < 1 / 3
    if leads and fault.kind in SILENCING_FAULTS:
        loop.call_at(begin + at, fleet.control.silence, TAKE_OVER_S)
    if "drain" in fault.how:
        down_for_s = RESTART_S if fault.kind in ("node_kill", "herd_kill") else fault.for_s
        drain_at = at + down_for_s + DRAIN_AFTER_S
        if drain_at < fleet.deployment.length_s - LAST_DRAIN_S:
            loop.call_at(begin + drain_at, _drain_random_engine, fleet, rng)


def _drain_random_engine(fleet: Fleet, rng: Stream) -> None:
    engines = [e for e in fleet.engines if not e.draining and not e.down]
    if len(engines) > 1:
        fleet.drain(engines[rng.below(len(engines))])


def _set_attribute(engine: Engine, name: str, value: float | bool) -> None:
    setattr(engine, name, value)
