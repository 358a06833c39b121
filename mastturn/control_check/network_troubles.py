"""Troubles of one machine's links."""

from __future__ import annotations

from collections.abc import Callable

from mastturn.control_check.machine import Machine
from mastturn.control_check.world import World


class NetworkTroubles:
    """Each befalls a machine, and calls `returned` once it is over."""

    def __init__(self, world: World) -> None:
        self._world = world

    def isolate(self, machine: Machine, returned: Callable[[], None]) -> None:
        """It is cut off from all others."""
        others = self._others(machine)
        pairs = {(machine.ip, o) for o in others} | {(o, machine.ip) for o in others}
        self._cut("isolate", machine, pairs, returned)

    def deaf(self, machine: Machine, returned: Callable[[], None]) -> None:
        """It hears nobody."""
        self._cut("deaf", machine, {(o, machine.ip) for o in self._others(machine)}, returned)

    def mute(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Nobody hears it."""
        self._cut("mute", machine, {(machine.ip, o) for o in self._others(machine)}, returned)

    def pair(self, machine: Machine, returned: Callable[[], None]) -> None:
        """It and another are cut off from each other, or one from the other."""
        other = self._world.rng.choice([ip for ip in self._world.machines if ip != machine.ip])
        pairs = {(machine.ip, other), (other, machine.ip)}
        if self._world.rng.random() < 0.3:
            pairs = {(machine.ip, other)}
        self._cut("pair", machine, pairs, returned)

    def flap(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Cut and healed again and again."""
        world = self._world
        others = self._others(machine)
        pairs = {(machine.ip, o) for o in others} | {(o, machine.ip) for o in others}
        world.trouble(f"flap {machine.ip}", machine)
        at = 0.0
        for _ in range(world.rng.randint(2, 6)):
            world.later(at, lambda: self._change(pairs, True))
            at += self._world.rng.uniform(50, 900)
            world.later(at, lambda: self._change(pairs, False))
            at += self._world.rng.uniform(50, 900)
        world.later(at, returned)

    def _change(self, pairs: set[tuple[str, str]], cut: bool) -> None:
        self._world.liveness.on_trouble_changed()
        if cut:
            self._world.network.cut(pairs)
        else:
            self._world.network.join(pairs)

    def _cut(
        self, what: str, machine: Machine, pairs: set[tuple[str, str]], returned: Callable[[], None]
    ) -> None:
        world = self._world
        world.trouble(f"{what} {machine.ip}", machine)
        world.network.cut(pairs)

        def heal() -> None:
            world.liveness.on_trouble_changed()
            world.network.join(pairs)
            returned()

        world.later(self._world.rng.uniform(200, 8_000), heal)

    def _others(self, machine: Machine) -> list[str]:
        made = [f"10.0.{i}.1" for i in range(self._world.made + 4)]
        return [ip for ip in made if ip != machine.ip]
