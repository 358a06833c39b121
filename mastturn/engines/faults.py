"""What goes wrong on a day: `burst` is part of the demand, the rest strikes the fleet at its moment.

Kinds that are not modelled are passed over; `modelled` tells which are.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastturn.emulator.chance import Stream
from mastturn.engines.deployment import Day, Trouble

if TYPE_CHECKING:
    from mastturn.engines.engine import Engine
    from mastturn.engines.fleet import Fleet

OF_ENGINES = frozenset({"burst", "srv_crash", "kv_slow", "handle_short", "release"})
OF_BALANCERS = frozenset({"node_kill", "herd_kill"})
OF_CORE = frozenset({"core_cut", "replace_core", "after_ack_wipe", "disk_full", "disk_slow", "disk_stall"})
SILENCING = frozenset({"node_kill", "herd_kill", "core_cut", "node_freeze", "after_ack_wipe"})
SETTLED_S = 4.1  # after a trouble of the core until the next one may come
HERD_S = 12.5  # a herd that is killed counts as in trouble so long
LAST_LEAVE_S = 4.0  # no upstream leaves so shortly before the end
TAKE_OVER_S = 1.2  # until another leads
LEAVE_AFTER_S = 3.5  # with `drain`: an upstream leaves so long after a machine is back
KILLED_S = 0.5  # a killed process is started again after this


def is_modelled(trouble: Trouble) -> bool:
    """Whether an entry of a day is played."""
    return _is_of_core(trouble) or trouble.kind in OF_ENGINES | OF_BALANCERS


def _is_of_core(trouble: Trouble) -> bool:
    return trouble.on == "core" or trouble.kind in OF_CORE


def arrange(fleet: Fleet, day: Day, seed: int, begin: float) -> None:
    """Let the troubles of a day happen, counted from `begin` on the loop's clock."""
    loop = asyncio.get_running_loop()
    free = 0.0  # the core is settled again
    order = sorted(enumerate((*day.faults, *day.plan)), key=lambda item: item[1].at)
    for place, trouble in order:
        chance = Stream(seed, "trouble", place)
        if _is_of_core(trouble):
            at = max(trouble.at, free)
            free = at + _span(trouble) + SETTLED_S
            if at < fleet.sheet.length_s:
                _strike_core(fleet, trouble, chance, at, begin)
        elif trouble.kind != "burst" and is_modelled(trouble):
            loop.call_at(begin + trouble.at, _strike, fleet, trouble, chance)
    if day.closing is not None:
        ends = fleet.kill_all if day.closing.kind in ("kill_all", "power_off_all") else fleet.control.silence
        loop.call_at(begin + max(fleet.sheet.length_s, free), ends, day.closing.down_s)


def _span(trouble: Trouble) -> float:
    """Seconds that a trouble of the core lasts."""
    if trouble.kind == "node_kill" and "power" not in trouble.how:
        return KILLED_S
    return HERD_S if trouble.kind == "herd_kill" else trouble.for_s


def _some(trouble: Trouble, of: int, chance: Stream, usual: float) -> list[int]:
    count = trouble.count if trouble.count is not None else max(round((trouble.share or usual) * of), 1)
    return chance.some(min(count, of), of)


def _strike(fleet: Fleet, trouble: Trouble, chance: Stream) -> None:
    loop = asyncio.get_running_loop()
    engines = [e for e in fleet.engines if trouble.zone in ("", e.zone) and not e.draining]

    def chosen(usual: float) -> list[Engine]:
        return [engines[i] for i in _some(trouble, len(engines), chance, usual)]

    if trouble.kind == "srv_crash":
        for engine in chosen(0.15):
            fleet.crash(engine, "dark" in trouble.how, trouble.for_s)
    elif trouble.kind == "kv_slow":
        for engine in chosen(0.3):
            engine.move_x = trouble.x or 8.0
            loop.call_later(trouble.for_s, _set, engine, "move_x", 1.0)
    elif trouble.kind == "handle_short":
        for engine in chosen(0.3):
            engine.lapses_soon = True
            loop.call_later(trouble.for_s, _set, engine, "lapses_soon", False)
    elif trouble.kind == "release":
        for place, engine in enumerate(chosen(0.5)):
            loop.call_later(place * trouble.gap_s, fleet.replace, engine)
    else:
        nodes = fleet.nodes
        for index in _some(trouble, len(nodes), chance, 0.1 if trouble.kind == "node_kill" else 0.6):
            fleet.kill(nodes[index], trouble.for_s if "power" in trouble.how else KILLED_S)


def _strike_core(fleet: Fleet, trouble: Trouble, chance: Stream, at: float, begin: float) -> None:
    """Balancers hear nothing until another leads, if it is the leader that is struck; one of three is."""
    loop = asyncio.get_running_loop()
    leads = "leader" in trouble.how or trouble.kind == "herd_kill" or chance.uniform() < 1 / 3
    if leads and trouble.kind in SILENCING:
        loop.call_at(begin + at, fleet.control.silence, TAKE_OVER_S)
    if "drain" in trouble.how:
        back = KILLED_S if trouble.kind in ("node_kill", "herd_kill") else trouble.for_s
        leaves = at + back + LEAVE_AFTER_S
        if leaves < fleet.sheet.length_s - LAST_LEAVE_S:
            loop.call_at(begin + leaves, _leave, fleet, chance)


def _leave(fleet: Fleet, chance: Stream) -> None:
    engines = [e for e in fleet.engines if not e.draining and not e.down]
    if len(engines) > 1:
        fleet.leave(engines[chance.below(len(engines))])


def _set(engine: Engine, name: str, value: float | bool) -> None:
    setattr(engine, name, value)
