"""Whole zones that are lost one after the other, between changes of machines that bring members out of place.

All core machines run, more than there are slots. A zone is lost once every machine has been there for as long
as a loss counts (`SYNC_MS`); by then the members have to be so placed that it is borne.
"""

from __future__ import annotations

from collections.abc import Callable

from consensus.spread import Spread
from consensus.views import Member
from mastturn.control_check.machine import Machine
from mastturn.control_check.operators import CALL_TIMEOUT_MS
from mastturn.control_check.rules import BrokenRuleError
from mastturn.control_check.troubles import BEGIN_MS, END_MS, SYNC_MS
from mastturn.control_check.world import World

AWAY_MS = (200.0, 8_000.0)
REPLACED_AFTER_MS = (0.0, 1_500.0)
REPLACED_SHARE = 0.5  # of the pauses between two losses in which a machine is replaced
OVER_BY_MS = AWAY_MS[1] + REPLACED_AFTER_MS[1] + 2 * SYNC_MS


class ZoneLosses:
    """Runs the losses of one history."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._spread: Spread = world.spec.spread

    def begin(self) -> None:
        """The first loss."""
        self._world.later(BEGIN_MS, self._lose_zone)

    def _lose_zone(self) -> None:
        world, rng = self._world, self._world.rng
        if world.now > world.shape.length_ms - END_MS - OVER_BY_MS:
            return
        self._check_spread()
        zone = rng.choice(sorted({machine.zone for machine in world.machines.values()}))
        struck = [machine for machine in world.machines.values() if machine.zone == zone]
        world.liveness.wait_ms = CALL_TIMEOUT_MS * len(struck)  # an operator may call on each of them first
        how = rng.choice([self._cut_off, self._power_off, self._freeze])
        world.trouble(f"zone {zone} {how.__name__}", self._led_by(struck))
        bring_back = how(struck)

        def back() -> None:
            world.liveness.on_trouble_changed()
            world.log_event(f"back {zone}")
            bring_back()
            world.later(SYNC_MS, self._pause)

        world.later(rng.uniform(*AWAY_MS), back)

    def _pause(self) -> None:
        """Between two losses: perhaps a machine is replaced by one in another zone."""
        rng = self._world.rng
        if rng.random() < REPLACED_SHARE:
            self._world.later(rng.uniform(*REPLACED_AFTER_MS), self._replace)
        else:
            self._lose_zone()

    def _replace(self) -> None:
        """A machine goes for good; a new one starts in another zone, where that leaves enough zones."""
        world, rng = self._world, self._world.rng
        gone = rng.choice(list(world.machines.values()))
        rest = [machine for machine in world.machines.values() if machine is not gone]
        zone = rng.choice(sorted({machine.zone for machine in world.machines.values()} - {gone.zone}))
        if not self._can_be_spread([*(machine.zone for machine in rest), zone]):
            zone = gone.zone
        world.trouble(f"replace {gone.ip} {zone}", gone)
        world.remove(gone.ip)
        ip = world.next_ip()
        machine = world.add(f"core-{ip.split('.')[2]}", ip, zone)

        def start() -> None:
            world.restart(machine)
            world.liveness.on_trouble_changed()
            world.later(SYNC_MS, self._lose_zone)

        world.later(rng.uniform(100.0, 1_000.0), start)

    def _can_be_spread(self, zones: list[str]) -> bool:
        """Whether members could be so chosen among machines of these zones that a zone's loss is borne."""
        members = [Member(f"m{n}", f"m{n}", f"m{n}", 1, "", zone) for n, zone in enumerate(zones)]
        slots = self._world.spec.slots
        return not self._spread.excess(self._spread.choose(members[0], members[1:], slots))

    def _check_spread(self) -> None:
        leader = self._world.primary()
        replica = leader.replica if leader is not None else None
        if replica is None or replica.primary is None:
            raise BrokenRuleError("an answer", f"nobody leads {SYNC_MS / 1000:g} s after the last return")
        members = replica.primary.view.members
        if len(members) > self._world.spec.slots or self._spread.excess(members):
            zones = [member.zone if member is not None else "-" for member in members]
            raise BrokenRuleError("spread", f"a zone's loss takes too many of {', '.join(zones)}")

    def _led_by(self, struck: list[Machine]) -> Machine:
        """The machine that leads, if it is among them; else any of them."""
        primary = self._world.primary()
        return primary if primary is not None and primary in struck else struck[0]

    # ---- ways to lose a zone: each is given its machines, and gives what brings them back

    def _cut_off(self, struck: list[Machine]) -> Callable[[], None]:
        inside = [machine.ip for machine in struck]
        made = [f"10.0.{number}.1" for number in range(self._world.made + 1)]
        outside = [ip for ip in made if ip not in inside]
        pairs = {pair for a in inside for b in outside for pair in ((a, b), (b, a))}
        self._world.network.cut(pairs)
        return lambda: self._world.network.join(pairs)

    def _power_off(self, struck: list[Machine]) -> Callable[[], None]:
        for machine in struck:
            machine.end(power=True)

        def restart() -> None:
            for machine in struck:
                self._world.restart(machine)

        return restart

    def _freeze(self, struck: list[Machine]) -> Callable[[], None]:
        for machine in struck:
            machine.freeze()

        def thaw() -> None:
            for machine in struck:
                machine.thaw()

        return thaw
