"""Plays seeded histories, over several processes, and sums up what was seen."""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Iterable
from dataclasses import dataclass, field

from consensus.replica import Replica
from mastturn.control_check.overlaps import Overlaps
from mastturn.control_check.rules import BrokenRuleError
from mastturn.control_check.shape import ReplicaFactory, Shape, Takeover
from mastturn.control_check.stalls import Stalls
from mastturn.control_check.troubles import Troubles
from mastturn.control_check.world import World
from mastturn.control_check.zone_losses import ZoneLosses


@dataclass(frozen=True, slots=True)
class History:
    """What one seed has given."""

    seed: int
    broken: str  # "" where every rule has held
    rule: str
    at_ms: float
    acknowledged: int
    reads: int
    views: int
    gaps: tuple[Takeover, ...]
    slots_taken: tuple[float, ...]
    healed: tuple[Takeover, ...]
    slowest_ms: float
    leaders: int = 0  # how often another led than before
    story: tuple[str, ...] = field(default=(), repr=False)


def play(
    shape: Shape,
    seed: int,
    make: ReplicaFactory = Replica,
    with_story: bool = False,
    handles_disk_errors: bool = True,
) -> History:
    """One history; `told`: with its story; `heeds_refusals` False is a planted defect of the host."""
    world = World(shape, seed, make)
    world.handles_disk_errors = handles_disk_errors
    if with_story:
        world.story = []
    troubles = _troubles(world)
    world.begin()
    troubles.begin()
    broken = rule = ""
    try:
        world.run(shape.length_ms)
    except BrokenRuleError as error:
        broken, rule = str(error), error.rule
    return History(
        seed,
        broken,
        rule,
        world.now,
        world.rules.acknowledged,
        world.rules.reads,
        world.views,
        tuple(world.liveness.gaps),
        tuple(world.liveness.slots_taken),
        tuple(world.liveness.healed),
        max(o.slowest for o in world.operators),
        world.leader_changes,
        tuple(world.story or ()),
    )


def _troubles(world: World) -> Overlaps | Stalls | Troubles | ZoneLosses:
    if world.shape.stalls:
        return Stalls(world)
    if world.shape.zone_losses:
        return ZoneLosses(world)
    return Overlaps(world) if world.shape.overlaps else Troubles(world)


def _play(job: tuple[Shape, int]) -> History:
    return play(*job)


def play_all(shape: Shape, seeds: Iterable[int], workers: int = 1) -> list[History]:
    """Many histories, over at most so many processes."""
    jobs = [(shape, seed) for seed in seeds]
    if workers <= 1:
        return [_play(job) for job in jobs]
    with multiprocessing.Pool(min(workers, os.cpu_count() or 1)) as pool:
        return list(pool.imap_unordered(_play, jobs, chunksize=4))
