"""Troubles beyond what is to be borne: nothing acknowledged is lost, and service is back once all are.

They come in waves. In a wave any number of machines are killed, frozen, cut off, cut into halves or without
power, or have disks in trouble, in any overlap; at most as many disks are lost as may be. Then all come back,
and the next wave begins as soon as they have recovered, which has a bound.
"""

from __future__ import annotations

from collections.abc import Callable

from mastturn.control_check.machine import Machine
from mastturn.control_check.machine_troubles import POLL_MS
from mastturn.control_check.rules import BrokenRuleError
from mastturn.control_check.shape import Takeover
from mastturn.control_check.troubles import BEGIN_MS, END_MS, Troubles
from mastturn.control_check.world import World

WAVE_MS = 2_000.0  # the troubles of a wave begin within this
RECOVERY_MS = 6_000.0  # after the last return somebody answers, and all are members; half of what is allowed
HALVES_MS = (500.0, 20_000.0)
HERD_SHARE = 0.5  # of the waves in which all are killed, or lose power, at some moment
AIMED_SHARE = 0.5  # of those: right after something was acknowledged


class Overlaps(Troubles):
    """Runs the waves of one history."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._pending = 0
        self._began = 0.0
        self._stays = [
            self._machine.kill,
            self._machine.power,
            self._machine.freeze,
            self._network.isolate,
            self._network.deaf,
            self._network.mute,
            self._network.pair,
            self._machine.full,
            self._machine.hang,
            self._machine.slow,
            self._machine.term,
            self._network.flap,
        ]
        machine = self._machine
        self._loses = [machine.wipe, machine.wipe, machine.replace, machine.replace_planned]

    def begin(self) -> None:
        """The first wave."""
        self._world.later(BEGIN_MS, self._wave)

    def _wave(self) -> None:
        world, rng = self._world, self._world.rng
        if world.now > world.shape.length_ms - END_MS - RECOVERY_MS - HALVES_MS[1]:
            return
        world.liveness.is_disturbed = True
        machines = [m for m in world.machines.values() if m.replica is not None]
        rng.shuffle(machines)
        struck = machines[: rng.randint(1, len(machines))]
        lost = rng.randint(0, min(world.shape.losses, len(struck)))
        for place, machine in enumerate(struck):
            kind = rng.choice(self._loses if place < lost else self._stays)
            self._later(lambda kind=kind, machine=machine: self._strike(kind, machine))  # type: ignore[misc]
        if rng.random() < 0.3:
            self._later(self._halves)
        if rng.random() < HERD_SHARE:
            self._later(self._herd_once)

    def _later(self, begin: Callable[[], None]) -> None:
        self._pending += 1
        self._world.later(self._ago(0.0, WAVE_MS), begin)

    def _strike(self, kind: Callable[[Machine, Callable[[], None]], None], machine: Machine) -> None:
        if machine.replica is None or self._world.machines.get(machine.ip) is not machine:
            self._over()  # it is down with all others
        else:
            kind(machine, self._over)

    def _halves(self) -> None:
        """The machines are cut into two halves; operators reach both."""
        world = self._world
        ips = list(world.machines)
        world.rng.shuffle(ips)
        one, other = ips[: len(ips) // 2], ips[len(ips) // 2 :]
        pairs = {pair for a in one for b in other for pair in ((a, b), (b, a))}
        world.trouble("halves", None)
        world.network.cut(pairs)

        def heal() -> None:
            world.network.join(pairs)
            self._over()

        world.later(self._ago(*HALVES_MS), heal)

    def _herd_once(self) -> None:
        """All are killed, or lose power: at once, or right after the next acknowledgement."""
        world = self._world
        if world.rng.random() < AIMED_SHARE:
            world.on_acknowledged = self._herd
        else:
            self._herd()
        self._over()

    def _over(self) -> None:
        self._pending -= 1
        if not self._pending:
            self._world.log_event("all are back")
            self._world.on_acknowledged = None
            self._began = self._world.now
            self._settle()

    def _settle(self) -> None:
        """Wait until all have recovered."""
        world = self._world
        self._began = max(self._began, self._herd_at + 1_000.0)
        running = [m for m in world.machines.values() if m.replica is not None]
        whole = len(running) == len(world.machines) and all(map(world.is_member, running))
        if whole and world.liveness.answered_at > self._began:
            world.liveness.healed.append(Takeover("recovery", world.now - self._began))
            world.liveness.is_disturbed = False
            world.liveness.on_trouble_changed()
            world.later(self._ago(0.0, 1_000.0), self._wave)
        elif world.now - self._began > RECOVERY_MS:
            raise BrokenRuleError(
                "recovery", f"not all are back {RECOVERY_MS / 1000:g} s after the last return"
            )
        else:
            world.later(POLL_MS, self._settle)
