"""Defines troubles as data (BENCH, "Troubles"; FLEET, the days): faults with time, extent and severity.

Times and durations are in seconds from the day's start. A range is drawn from for each seed, with a random
stream that belongs to the trouble's position in its scenario. `tiers` names the affected tiers; empty means
all.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from mastturn.emulator.chance import Stream
from mastturn.emulator.clients import Clients, RateWindow
from mastturn.emulator.day import Day
from mastturn.emulator.discovery import Registry
from mastturn.emulator.events import START_MS, Events
from mastturn.emulator.front import Front, Restarts
from mastturn.emulator.host import Balancer
from mastturn.emulator.machine import Box
from mastturn.emulator.network import Network
from mastturn.emulator.site import Range, span


class _Trouble(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", kw_only=True):
    at_s: Range


class _Lasting(_Trouble, frozen=True, kw_only=True):
    for_s: Range


class _OfBoxes(_Lasting, frozen=True, kw_only=True):
    part: Range  # share of the tiers' boxes
    tiers: tuple[str, ...] = ()


class Slow(_OfBoxes, frozen=True, tag="slow", kw_only=True):
    """Some boxes run several times slower."""

    slower: Range


class Errors(_OfBoxes, frozen=True, tag="errors", kw_only=True):
    """Some boxes answer with an error."""

    share: Range


class Pauses(_OfBoxes, frozen=True, tag="pauses", kw_only=True):
    """Some boxes pause every few seconds."""

    pause_ms: Range
    every_s: Range


class Neighbour(_OfBoxes, frozen=True, tag="neighbour", kw_only=True):
    """Another program intermittently uses a share of some machines' cores."""

    taken_share: Range
    phase_s: Range


class Silent(_OfBoxes, frozen=True, tag="silent", kw_only=True):
    """Some machines fail silently and restart cold."""


class SharedSlow(_Lasting, frozen=True, tag="shared_slow", kw_only=True):
    """A shared dependency slows down all boxes."""

    slower: Range


class LateReports(_Lasting, frozen=True, tag="late_reports", kw_only=True):
    """Load reports are delayed."""

    delay_s: Range


class LateList(_Lasting, frozen=True, tag="late_list", kw_only=True):
    """List updates are delayed."""

    delay_s: Range


class SilentDiscovery(_Lasting, frozen=True, tag="silent_discovery", kw_only=True):
    """Discovery does not answer."""


class LostAnswers(_Lasting, frozen=True, tag="lost_answers", kw_only=True):
    """Responses of boxes are lost."""

    share: Range


class Resets(_Lasting, frozen=True, tag="resets", kw_only=True):
    """Connections are reset while requests are in flight."""

    share: Range


class LeaveEarly(_Lasting, frozen=True, tag="leave_early", kw_only=True):
    """Clients disconnect before their deadline."""

    share: Range


class Burst(_Lasting, frozen=True, tag="burst", kw_only=True):
    """The arrival rate of clients rises."""

    factor: Range


class ZoneShift(_Lasting, frozen=True, tag="zone_shift", kw_only=True):
    """The arrival rate of one zone's clients rises or falls."""

    factor: Range


class CutZone(_Lasting, frozen=True, tag="cut_zone", kw_only=True):
    """A zone is partitioned from the others; messages are dropped silently."""


class LostZone(_Lasting, frozen=True, tag="lost_zone", kw_only=True):
    """All boxes of a zone fail silently and restart cold."""


class Release(_Trouble, frozen=True, tag="release", kw_only=True):
    """Boxes are replaced in steps: each drains, stops and restarts cold, under the same or a new name."""

    part: Range
    steps: int
    step_s: Range
    drain_s: Range
    down_s: Range
    renamed: bool = False
    tiers: tuple[str, ...] = ()


class KillBalancers(_Trouble, frozen=True, tag="kill_balancers", kw_only=True):
    """Front balancers are killed at once and restart without state."""

    part: Range
    down_s: Range


class RestartBalancers(_Trouble, frozen=True, tag="restart_balancers", kw_only=True):
    """Rolling restart of the front balancers: the front stops routing, and they finish their work."""

    step_part: Range
    step_s: Range


Trouble = (
    Slow | Errors | Pauses | Neighbour | Silent | SharedSlow | LateReports | LateList | SilentDiscovery
    | LostAnswers | Resets | LeaveEarly | Burst | ZoneShift | CutZone | LostZone | Release | KillBalancers
    | RestartBalancers
)  # fmt: skip

FRONT_STOPS_MS = 300.0  # after SIGTERM, until no new connections arrive (PROTOCOL: 0.2 to 0.4 s)
LONGEST_MS, KILLED_AFTER_MS = 3_000.0, 700.0  # between a restart's two signals: the longest deadline and more


class FaultTargets(Protocol):
    """The parts of a world that troubles act on."""

    day: Day
    events: Events
    network: Network
    clients: Clients
    front: Front
    restarts: Restarts
    boxes: dict[str, Box]
    balancers: list[list[Balancer]]
    registries: list[Registry]
    marks: list[tuple[str, float, float]]

    def vanish_box(self, box: Box) -> None:
        """Stop a machine silently: connections are not reset."""

    def drain_box(self, box: Box) -> None:
        """Drain a box: it completes its requests and rejects new ones."""

    def stop_box(self, box: Box) -> None:
        """Stop a box's process."""

    def start_box(self, box: Box) -> None:
        """Start a new process on the same machine."""

    def replace_box(self, box: Box) -> None:
        """Replace a box by a new machine."""


class DrawnTrouble:
    """A trouble's random stream, start and end on the simulated clock."""

    def __init__(self, world: FaultTargets, trouble: Trouble, number: int) -> None:
        self.rng = Stream(world.day.seed, "trouble", number)
        self.start_ms = START_MS + self.sample(trouble.at_s) * 1000
        self.length_ms = self.sample(trouble.for_s) * 1000 if isinstance(trouble, _Lasting) else 0.0
        self.end_ms = self.start_ms + self.length_ms

    def sample(self, value: Range) -> float:
        """Draw a value from a range."""
        return self.rng.between(*span(value))

    def boxes(self, world: FaultTargets, part: float, tiers: tuple[str, ...]) -> list[Box]:
        """Draw a share of the tiers' boxes."""
        candidates = [b for b in world.boxes.values() if not tiers or world.day.tiers[b.number].name in tiers]
        return [candidates[i] for i in self.rng.some(round(part * len(candidates)), len(candidates))]

    def zone(self, world: FaultTargets) -> str:
        """Draw a zone."""
        zones = world.day.network.zones
        return zones[self.rng.below(len(zones))]


def rate_windows(world: FaultTargets, troubles: tuple[Trouble, ...]) -> list[RateWindow]:
    """Return the arrival-rate windows of the troubles; drawn before the day begins."""
    windows = []
    for number, trouble in enumerate(troubles):
        if isinstance(trouble, (Burst, ZoneShift)):
            drawn = DrawnTrouble(world, trouble, number)
            zone = drawn.rng.below(len(world.day.network.zones)) if isinstance(trouble, ZoneShift) else None
            start, end = drawn.start_ms - START_MS, drawn.end_ms - START_MS
            windows.append(RateWindow(start, end, drawn.sample(trouble.factor), zone))
    return windows


def plan(world: FaultTargets, troubles: tuple[Trouble, ...]) -> None:
    """Schedule all troubles of the day."""
    for number, trouble in enumerate(troubles):
        drawn = DrawnTrouble(world, trouble, number)
        world.marks.append((str(trouble.__struct_config__.tag), drawn.start_ms, drawn.end_ms))
        _plan(world, trouble, drawn)


def _plan(world: FaultTargets, trouble: Trouble, drawn: DrawnTrouble) -> None:
    match trouble:
        case Slow():
            factor = drawn.sample(trouble.slower)
            for box in drawn.boxes(world, drawn.sample(trouble.part), trouble.tiers):
                _schedule(world, drawn, _Multiply([box], factor))
        case SharedSlow():
            _schedule(world, drawn, _Multiply(list(world.boxes.values()), drawn.sample(trouble.slower)))
        case Errors():
            boxes = drawn.boxes(world, drawn.sample(trouble.part), trouble.tiers)
            _schedule(world, drawn, _Errors(boxes, drawn.sample(trouble.share)))
        case Pauses():
            boxes = drawn.boxes(world, drawn.sample(trouble.part), trouble.tiers)
            parameters = (drawn.sample(trouble.pause_ms), drawn.sample(trouble.every_s) * 1000)
            _schedule(world, drawn, _Pauses(boxes, *parameters))
        case Neighbour():
            _neighbour(world, trouble, drawn)
        case Silent():
            boxes = drawn.boxes(world, drawn.sample(trouble.part), trouble.tiers)
            _vanish(world, boxes, drawn)
        case LostZone():
            zone = drawn.zone(world)
            _vanish(world, [b for b in world.boxes.values() if b.zone == zone], drawn)
        case CutZone():
            _schedule(world, drawn, _Cut(world, drawn.zone(world)))
        case LateReports():
            _schedule(world, drawn, _LateReports(world, drawn.sample(trouble.delay_s) * 1000))
        case LateList():
            _schedule(world, drawn, _LateList(world, drawn.sample(trouble.delay_s) * 1000))
        case SilentDiscovery():
            _schedule(world, drawn, _SilentDiscovery(world, drawn.end_ms))
        case LostAnswers():
            _schedule(world, drawn, _NetworkShare(world, "answers_lost_share", drawn.sample(trouble.share)))
        case Resets():
            _schedule(world, drawn, _NetworkShare(world, "resets_share", drawn.sample(trouble.share)))
        case LeaveEarly():
            _schedule(world, drawn, _Leaving(world, drawn.sample(trouble.share)))
        case Release():
            _release(world, trouble, drawn)
        case KillBalancers():
            _kill(world, trouble, drawn)
        case RestartBalancers():
            _restart(world, trouble, drawn)
        case Burst() | ZoneShift():
            pass  # already included in the arrivals


class _TemporaryChange:
    """A change that is applied and later reverted."""

    def begin(self, _: None) -> None:
        self.set(True)

    def end(self, _: None) -> None:
        self.set(False)

    def set(self, on: bool) -> None:
        raise NotImplementedError


def _schedule(world: FaultTargets, drawn: DrawnTrouble, change: _TemporaryChange) -> None:
    world.events.at(drawn.start_ms, change.begin)
    world.events.at(drawn.end_ms, change.end)


class _Multiply(_TemporaryChange):
    def __init__(self, boxes: list[Box], factor: float) -> None:
        self._boxes, self._factor = boxes, factor

    def set(self, on: bool) -> None:
        for box in self._boxes:
            box.slower *= self._factor if on else 1.0 / self._factor
            box.update_rate()


class _Errors(_TemporaryChange):
    def __init__(self, boxes: list[Box], share: float) -> None:
        self._boxes, self._share = boxes, share

    def set(self, on: bool) -> None:
        for box in self._boxes:
            box.errors = self._share if on else box.parameters.error_share


class _Pauses(_TemporaryChange):
    def __init__(self, boxes: list[Box], pause_ms: float, every_ms: float) -> None:
        self._boxes, self._parameters = boxes, (pause_ms, every_ms)

    def set(self, on: bool) -> None:
        for box in self._boxes:
            usual = (box.parameters.pause_ms, box.parameters.pause_every_ms)
            box.pause_ms, box.pause_every_ms = self._parameters if on else usual


class _Cut(_TemporaryChange):
    def __init__(self, world: FaultTargets, zone: str) -> None:
        self._network, self._zone = world.network, zone

    def set(self, on: bool) -> None:
        (self._network.cut_off.add if on else self._network.cut_off.discard)(self._zone)


class _LateReports(_TemporaryChange):
    def __init__(self, world: FaultTargets, delay_ms: float) -> None:
        self._world, self._delay_ms = world, delay_ms

    def set(self, on: bool) -> None:
        for box in self._world.boxes.values():
            box.load_reporter.added_delay_ms = self._delay_ms if on else 0.0


class _LateList(_TemporaryChange):
    def __init__(self, world: FaultTargets, delay_ms: float) -> None:
        self._world, self._delay_ms = world, delay_ms

    def set(self, on: bool) -> None:
        for registry in self._world.registries:
            registry.added_delay_ms = self._delay_ms if on else 0.0


class _SilentDiscovery(_TemporaryChange):
    def __init__(self, world: FaultTargets, until_ms: float) -> None:
        self._world, self._until_ms = world, until_ms

    def set(self, on: bool) -> None:
        if on:
            for registry in self._world.registries:
                registry.go_silent(self._until_ms)


class _NetworkShare(_TemporaryChange):
    def __init__(self, world: FaultTargets, name: str, share: float) -> None:
        self._network, self._name, self._share = world.network, name, share

    def set(self, on: bool) -> None:
        setattr(self._network, self._name, self._share if on else 0.0)


class _Leaving(_TemporaryChange):
    def __init__(self, world: FaultTargets, share: float) -> None:
        self._world, self._share = world, share

    def set(self, on: bool) -> None:
        self._world.clients.leave_share = self._share if on else 0.0


class _Taken:
    """The share of one machine used by another program."""

    def __init__(self, box: Box, share: float) -> None:
        self._box, self._share = box, share

    def turn(self, on: bool) -> None:
        """Apply or remove the usage."""
        self._box.taken = self._share if on else 0.0
        self._box.update_rate()


def _neighbour(world: FaultTargets, trouble: Neighbour, drawn: DrawnTrouble) -> None:
    for box in drawn.boxes(world, drawn.sample(trouble.part), trouble.tiers):
        taken = _Taken(box, drawn.sample(trouble.taken_share))
        at, on = drawn.start_ms, True
        while at < drawn.end_ms:
            world.events.at(at, taken.turn, on)
            at, on = at + drawn.sample(trouble.phase_s) * 1000, not on
        world.events.at(drawn.end_ms, taken.turn, False)


def _vanish(world: FaultTargets, boxes: list[Box], drawn: DrawnTrouble) -> None:
    for box in boxes:
        world.events.at(drawn.start_ms, world.vanish_box, box)
        world.events.at(drawn.end_ms, world.start_box, box)


def _release(world: FaultTargets, trouble: Release, drawn: DrawnTrouble) -> None:
    boxes = drawn.boxes(world, drawn.sample(trouble.part), trouble.tiers)
    order = [boxes[i] for i in drawn.rng.order(len(boxes))]
    step_ms = drawn.sample(trouble.step_s) * 1000
    for place, box in enumerate(order):
        at = drawn.start_ms + step_ms * (place * trouble.steps // max(len(order), 1))
        ends = at + drawn.sample(trouble.drain_s) * 1000
        world.events.at(at, world.drain_box, box)
        world.events.at(ends, world.stop_box, box)
        back = world.replace_box if trouble.renamed else world.start_box
        world.events.at(ends + drawn.sample(trouble.down_s) * 1000, back, box)


def _kill(world: FaultTargets, trouble: KillBalancers, drawn: DrawnTrouble) -> None:
    balancers = world.balancers[0]
    for i in drawn.rng.some(round(drawn.sample(trouble.part) * len(balancers)), len(balancers)):
        world.events.at(drawn.start_ms, world.restarts.kill, balancers[i])
        world.events.at(
            drawn.start_ms + drawn.sample(trouble.down_s) * 1000, world.restarts.start, balancers[i]
        )


def _restart(world: FaultTargets, trouble: RestartBalancers, drawn: DrawnTrouble) -> None:
    balancers: list[Balancer] = world.balancers[0]
    size = max(1, round(drawn.sample(trouble.step_part) * len(balancers)))
    longest = min(max(c.deadline_ms for c in world.day.classes), LONGEST_MS)
    for place, balancer in enumerate(balancers):
        at = drawn.start_ms + drawn.sample(trouble.step_s) * 1000 * (place // size)
        world.events.at(at + FRONT_STOPS_MS, world.front.remove, balancer)
        world.events.at(at + longest + KILLED_AFTER_MS, world.restarts.kill, balancer)
        world.events.at(at + longest + KILLED_AFTER_MS + 1.0, world.restarts.start, balancer)
