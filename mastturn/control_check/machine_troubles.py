"""Troubles of one machine: its process, its power, its disk, its place."""

from __future__ import annotations

from collections.abc import Callable

from mastturn.control_check.machine import Machine
from mastturn.control_check.world import World

POLL_MS = 25.0
STOP_TIMEOUT_MS = 5_600.0  # a process that is told to stop is killed after that


class MachineTroubles:
    """Each befalls a machine, and calls `returned` once it is over."""

    def __init__(self, world: World, joined: Callable[[str, str], None], wiped: Callable[[], None]) -> None:
        """`joined`: another machine runs in the place of one, by their addresses; `wiped`: a disk is lost."""
        self._world, self._joined, self._wiped = world, joined, wiped

    def kill(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Its process is killed, and starts again."""
        self._down("kill", machine, returned, wipe=False, power=False)

    def power(self, machine: Machine, returned: Callable[[], None]) -> None:
        """It loses power, and starts again."""
        self._down("power", machine, returned, wipe=False, power=True)

    def wipe(self, machine: Machine, returned: Callable[[], None]) -> None:
        """It loses its disk."""
        self._down("wipe", machine, returned, wipe=True, power=True)
        self._wiped()

    def _down(
        self, what: str, machine: Machine, returned: Callable[[], None], wipe: bool, power: bool
    ) -> None:
        world = self._world
        world.trouble(f"{what} {machine.ip}", machine)
        machine.end(power)
        if wipe:
            machine.disk.wipe(world.identity())

        def back() -> None:
            world.restart(machine)
            returned()

        soon = world.rng.random() < 0.7
        delay = world.rng.uniform(100, 900) if soon else world.rng.uniform(900, 5_000)
        world.later(delay, back)

    def replace(self, machine: Machine, returned: Callable[[], None]) -> None:
        """It goes for good, and another comes in its place."""
        world = self._world
        world.trouble(f"replace {machine.ip}", machine)
        if world.rng.random() < 0.5 and machine.replica is not None:
            replica = machine.replica
            machine.run(lambda: replica.stop(machine.clock()))
        other_ip = self._world.next_ip()

        def back() -> None:
            self._join(machine, other_ip)
            returned()

        world.later(self._world.rng.uniform(0, 300), lambda: world.remove(machine.ip))
        world.later(self._world.rng.uniform(300, 3_000), back)

    def _join(self, machine: Machine, ip: str) -> None:
        """Another machine starts in the place of one, with an empty disk."""
        world = self._world
        other = world.add(f"core-{ip.split('.')[2]}", ip, machine.zone)
        world.restart(other)
        world.liveness.on_trouble_changed()
        self._joined(machine.ip, ip)

    def replace_planned(self, machine: Machine, returned: Callable[[], None]) -> None:
        """The new one comes first; the old one is told to stop, and goes for good once it has ended."""
        world = self._world
        self._join(machine, self._world.next_ip())

        def stop() -> None:
            world.trouble(f"planned {machine.ip}", machine)
            self._stop(machine, gone)

        def gone() -> None:
            if machine.ip in world.machines:
                world.remove(machine.ip)
            returned()

        world.later(self._world.rng.uniform(200, 4_000), stop)

    def _stop(self, machine: Machine, ended: Callable[[], None]) -> None:
        """Tell a process to stop; it ends once it may, or is killed after a while."""
        world = self._world
        replica = machine.replica
        until = world.now + STOP_TIMEOUT_MS
        if replica is None:
            ended()
            return
        machine.run(lambda: replica.stop(machine.clock()))

        def look() -> None:
            if machine.replica is not replica:
                ended()
            elif world.now >= until or replica.may_end():
                machine.run(lambda: replica.resign(machine.clock()))
                world.later(POLL_MS, end)
            else:
                world.later(POLL_MS, look)

        def end() -> None:
            if machine.replica is replica:
                machine.end(False)
            ended()

        look()

    def freeze(self, machine: Machine, returned: Callable[[], None]) -> None:
        """It stands still for a while."""
        world = self._world
        world.trouble(f"freeze {machine.ip}", machine)
        machine.freeze()

        def thaw() -> None:
            world.liveness.on_trouble_changed()
            if machine.frozen:
                machine.thaw()
            returned()

        world.later(self._world.rng.uniform(100, 7_000), thaw)

    def term(self, machine: Machine, returned: Callable[[], None]) -> None:
        """The process is told to stop, and starts again."""
        world = self._world
        world.trouble(f"term {machine.ip}", machine)

        def back() -> None:
            world.restart(machine)
            returned()

        self._stop(machine, lambda: world.later(self._world.rng.uniform(50, 2_000), back))

    def full(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Its disk refuses everything."""
        machine.disk.refuses = True
        self._disk("full", machine, returned)

    def hang(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Its disk answers nothing."""
        machine.disk.hangs = True
        self._disk("hang", machine, returned)

    def slow(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Its disk takes many times as long."""
        machine.disk.slow = self._world.rng.choice((10.0, 60.0, 300.0))
        self._disk("slow", machine, returned)

    def _disk(self, what: str, machine: Machine, returned: Callable[[], None]) -> None:
        world = self._world
        world.trouble(f"{what} {machine.ip}", machine)

        def recover() -> None:
            world.liveness.on_trouble_changed()
            machine.disk.recover()
            returned()

        world.later(self._world.rng.uniform(300, 7_000), recover)
