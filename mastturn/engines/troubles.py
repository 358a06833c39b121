"""What goes wrong on a day: `burst` is part of the demand, the rest strikes the fleet at its moment.

Kinds that are not modelled are passed over; `modelled` tells which are.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from mastturn.emulator.chance import Stream
from mastturn.engines.sheet import Day, Trouble

if TYPE_CHECKING:
    from mastturn.engines.engine import Engine
    from mastturn.engines.fleet import Fleet

MODELLED = frozenset({"burst", "srv_crash", "kv_slow", "handle_short", "node_kill", "herd_kill"})
NONE = frozenset({"config_change", "config_race", "bad_config", "config_storm"})  # engines do not feel them


def is_modelled(trouble: Trouble) -> bool:
    """Whether an entry of a day is played."""
    on_balancers = not trouble.kind.endswith("_kill") or trouble.on != "core"
    return trouble.kind in MODELLED and on_balancers


def arrange(fleet: Fleet, day: Day, seed: int, begin: float) -> None:
    """Let the troubles of a day happen, counted from `begin` on the loop's clock."""
    loop = asyncio.get_running_loop()
    for place, trouble in enumerate((*day.faults, *day.plan)):
        if trouble.kind != "burst" and is_modelled(trouble):
            chance = Stream(seed, "trouble", place)
            loop.call_at(begin + trouble.at, _strike, fleet, trouble, chance)


def _some(trouble: Trouble, of: int, chance: Stream, usual: float) -> list[int]:
    count = trouble.count if trouble.count is not None else max(round((trouble.share or usual) * of), 1)
    return chance.some(min(count, of), of)


def _strike(fleet: Fleet, trouble: Trouble, chance: Stream) -> None:
    loop = asyncio.get_running_loop()
    engines = [e for e in fleet.engines if trouble.zone in ("", e.zone)] or fleet.engines

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
            engine.lapse_at_once = True
            loop.call_later(trouble.for_s, _set, engine, "lapse_at_once", False)
    else:
        nodes = fleet.nodes
        for index in _some(trouble, len(nodes), chance, 0.1 if trouble.kind == "node_kill" else 0.6):
            fleet.kill(nodes[index], trouble.for_s)


def _set(engine: Engine, name: str, value: float | bool) -> None:
    setattr(engine, name, value)
