"""Faults of one machine: its process, power or disk, and its replacement."""

from __future__ import annotations

from collections.abc import Callable

from mastturn.control_check.machine import Machine
from mastturn.control_check.world import World

POLL_MS = 25.0
STOP_TIMEOUT_MS = 5_600.0  # a process that is asked to stop is killed after this


class MachineTroubles:
    """Injects faults into a machine; each method calls `returned` once the fault is over."""

    def __init__(self, world: World, joined: Callable[[str, str], None], wiped: Callable[[], None]) -> None:
        """`joined` gets the old and new IP of a replaced machine; `wiped` is called on the loss of a disk."""
        self._world, self._joined, self._wiped = world, joined, wiped

    def kill(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Kills the process and restarts it after a delay."""
        self._down("kill", machine, returned, wipe=False, power=False)

    def power(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Cuts the power and restarts the machine after a delay."""
        self._down("power", machine, returned, wipe=False, power=True)

    def wipe(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Wipes the disk and restarts the machine with a new identity."""
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
        """Removes the machine for good and starts another in its place."""
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
        """Starts a replacement of a machine with an empty disk."""
        world = self._world
        other = world.add(f"core-{ip.split('.')[2]}", ip, machine.zone)
        world.restart(other)
        world.liveness.on_trouble_changed()
        self._joined(machine.ip, ip)

    def replace_planned(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Starts the replacement, stops the old machine, and removes it once its process has ended."""
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
        """Asks a process to stop; it ends once it may, or is killed after `STOP_TIMEOUT_MS`."""
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
        """Freezes the machine for a random time."""
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
        """Stops the process gracefully and restarts it."""
        world = self._world
        world.trouble(f"term {machine.ip}", machine)

        def back() -> None:
            world.restart(machine)
            returned()

        self._stop(machine, lambda: world.later(self._world.rng.uniform(50, 2_000), back))

    def full(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Makes the disk reject all writes."""
        machine.disk.refuses = True
        self._disk("full", machine, returned)

    def hang(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Makes the disk hang."""
        machine.disk.hangs = True
        self._disk("hang", machine, returned)

    def slow(self, machine: Machine, returned: Callable[[], None]) -> None:
        """Slows the disk down by a factor of 10, 60 or 300."""
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
