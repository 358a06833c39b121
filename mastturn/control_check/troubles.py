"""Troubles: no more machines lost at once than are to be borne, and what may befall them all."""

from __future__ import annotations

from collections.abc import Callable

from mastturn.control_check.machine import Machine
from mastturn.control_check.machine_troubles import POLL_MS, MachineTroubles
from mastturn.control_check.network_troubles import NetworkTroubles
from mastturn.control_check.shape import Takeover
from mastturn.control_check.world import World

SYNC_MS = 4_000.0  # a machine counts as lost for so long after its return
BEGIN_MS = 5_000.0
END_MS = 8_000.0  # the last of a history: no new troubles, so that what was acknowledged is read back


class Troubles:
    """As many lanes as machines may be lost; each lane troubles one machine at a time."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._lost: set[str] = set()  # IPs
        self._troubled: set[str] = set()  # those of them whose trouble is not over
        self._herd_at = -1e9
        self._successors: dict[str, str] = {}  # who came in the place of a machine that is gone, by IP
        machine, network = MachineTroubles(world, self._joined, self._wiped), NetworkTroubles(world)
        self._machine, self._network = machine, network
        self._kinds: list[Callable[[Machine, Callable[[], None]], None]] = [
            machine.kill,
            machine.power,
            machine.wipe,
            machine.wipe,
            machine.replace,
            machine.freeze,
            machine.freeze,
            network.isolate,
            network.isolate,
            network.deaf,
            network.mute,
            network.pair,
            machine.full,
            machine.hang,
            machine.slow,
            machine.term,
            network.flap,
        ]
        if world.shape.eager:
            self._kinds += [machine.replace_planned, machine.replace_planned]

    def begin(self) -> None:
        """Let the lanes run, and something befall everybody now and then."""
        world = self._world
        for _ in range(world.shape.losses):
            world.later(BEGIN_MS + world.rng.uniform(0, 3_000), self._next)
        if world.shape.jumps:
            world.later(BEGIN_MS, self._jump)
        if world.shape.storm:
            world.later(BEGIN_MS, self._storm)
        elif world.rng.random() < 0.6:
            at = world.rng.uniform(BEGIN_MS, world.shape.length_ms - END_MS)
            world.later(at, self._herd)

    def _next(self) -> None:
        world, rng = self._world, self._world.rng
        if world.now > world.shape.length_ms - END_MS - SYNC_MS:
            return
        primary = world.primary()
        free = [m for ip, m in world.machines.items() if ip not in self._lost and m.replica is not None]
        if not free:
            world.later(500.0, self._next)
            return
        machine = rng.choice(free)
        if primary in free and rng.random() < 0.5:
            assert primary is not None
            machine = primary
        self._lost.add(machine.ip)
        self._troubled.add(machine.ip)
        kind = rng.choice(self._kinds)
        ip = machine.ip

        def returned() -> None:
            world.liveness.on_trouble_changed()
            self._troubled.discard(ip)
            world.log_event(f"over {ip}")
            if world.shape.eager:
                self._await_member(kind.__name__, ip, world.now, over)
            else:
                world.later(SYNC_MS, rested)

        def rested() -> None:
            if world.now - self._herd_at < SYNC_MS:  # killed with all others since its return
                world.later(SYNC_MS, rested)
            elif world.shape.storm and self._somebody_waits():  # a slot is lost until it is given anew
                world.later(SYNC_MS / 8, rested)
            else:
                over()

        def over() -> None:
            self._lost.discard(ip)
            pause = 0.0 if rng.random() < 0.4 else rng.uniform(0, 2_500)
            world.later(pause, self._next)

        kind(machine, returned)

    def _await_member(self, what: str, ip: str, since: float, over: Callable[[], None]) -> None:
        """The next loss is borne once whoever came back, or came in its place, and all others are members.

        `what`: the trouble whose time is kept; none where that would tell of something else.
        """
        world = self._world
        back = self._successors.get(ip, ip)
        healthy = [m for m in world.machines.values() if m.ip == back or m.ip not in self._troubled]
        if back not in world.machines or not all(map(world.is_member, healthy)):
            world.later(POLL_MS, lambda: self._await_member(what, ip, since, over))
            return
        if what:
            world.liveness.healed.append(Takeover(what, world.now - since))
        over()

    def _joined(self, gone: str, ip: str) -> None:
        """Another machine runs in the place of one: it counts as lost until it is a member."""
        self._successors[gone] = ip
        self._lost.add(ip)
        if self._world.shape.eager:
            self._await_member("", ip, self._world.now, lambda: self._lost.discard(ip))
        else:
            self._world.later(SYNC_MS, lambda: self._lost.discard(ip))

    def _wiped(self) -> None:
        """Some lose their disks while all others lose power."""
        if self._world.shape.storm and self._world.rng.random() < 0.5:
            self._herd()

    def _somebody_waits(self) -> bool:
        """Whether a process runs that has no slot."""
        running = [m.replica for m in self._world.machines.values() if m.replica is not None]
        return any(replica.durable_state.slot() is None for replica in running)

    def _ago(self, least: float, most: float) -> float:
        return self._world.rng.uniform(least, most)

    def _herd(self) -> None:
        """All processes are killed, or lose power, at once; those that were down stay so."""
        world = self._world
        power = world.rng.random() < 0.5
        world.trouble(f"{'herd-beside-another' if self._troubled else 'herd'} power={power}", None)
        if not world.shape.storm:
            self._herd_at = world.now
        for machine in list(world.machines.values()):
            if machine.replica is None:
                continue
            machine.end(power)
            world.later(self._ago(100, 1_000), self._back(machine))

    def _storm(self) -> None:
        """Again and again, most often right after something was acknowledged."""
        world = self._world
        if world.now > world.shape.length_ms - END_MS:
            return
        if world.rng.random() < 0.7:
            world.on_acknowledged = self._herd
        else:
            self._herd()
        world.later(self._ago(1_500, 5_000), self._storm)

    def _jump(self) -> None:
        """The clock of a machine jumps by seconds."""
        world = self._world
        machine = world.rng.choice(list(world.machines.values()))
        machine.skew_ms += world.rng.uniform(-4_000, 4_000)
        world.trouble(f"jump {machine.ip} {machine.skew_ms:.0f}", None)
        world.later(self._ago(300, 2_000), self._jump)

    def _back(self, machine: Machine) -> Callable[[], None]:
        def back() -> None:
            self._world.liveness.on_trouble_changed()
            self._world.restart(machine)

        return back
