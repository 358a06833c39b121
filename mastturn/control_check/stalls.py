"""Processes that stand still for a moment again and again, as on a machine whose processors are all taken."""

from __future__ import annotations

import math
from functools import partial

from mastturn.control_check.machine import Machine
from mastturn.control_check.world import World

MIN_STALL_MS, MAX_STALL_MS = 100.0, 2_000.0  # of one stall; shorter ones are the more frequent
EVERY_MS = 5_000.0  # from the end of one stall of a process to its next, in the mean
BEGIN_MS = 5_000.0


class Stalls:
    """Each machine by itself; nothing is lost. Judged is what must never happen, and who leads is counted."""

    def __init__(self, world: World) -> None:
        self._world = world

    def begin(self) -> None:
        """Let each machine stand still now and then."""
        self._world.liveness.is_disturbed = True
        for machine in self._world.machines.values():
            self._world.later(BEGIN_MS, partial(self._later, machine))

    def _later(self, machine: Machine) -> None:
        self._world.later(self._world.rng.expovariate(1 / EVERY_MS), partial(self._stall, machine))

    def _stall(self, machine: Machine) -> None:
        rng = self._world.rng
        stall_ms = math.exp(rng.uniform(math.log(MIN_STALL_MS), math.log(MAX_STALL_MS)))
        self._world.log_event(f"stall {machine.ip} {stall_ms:.0f}")
        machine.freeze()
        self._world.later(stall_ms, partial(self._thaw, machine))

    def _thaw(self, machine: Machine) -> None:
        machine.thaw()
        self._later(machine)
