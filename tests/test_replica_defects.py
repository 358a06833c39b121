"""Planted defects of the control state: simulator or search catches each, and nothing without them."""

from __future__ import annotations

import pytest

from barograph.replica import Replica
from mastturn.control_check.defects import (
    AnswersBeforeSync,
    HoldersShrinkAlone,
    LeaseByJumpingClock,
    PromisesBeforeSync,
    ReadsWithoutProof,
    SuccessorWithoutMajority,
    WipedVotes,
)
from mastturn.control_check.explore import Found, explore, walk
from mastturn.control_check.history import play
from mastturn.control_check.local import Make
from mastturn.control_check.rules import BrokenRuleError
from mastturn.control_check.steps import Bounds
from mastturn.control_check.world import STORM_AIR, Shape, World

PROMISED_TO_1 = ("run 1", "sync 1", "deliver Prepare 1 2")
TAKEN_OVER = (
    *PROMISED_TO_1,
    *("sync 2", "deliver Promised 2 1", "settle 1", "deliver Install 1 2", "sync 2", "sync 1"),
    "deliver Installed 2 1",
)
WRITTEN = (*TAKEN_OVER, "submit 0 1", "sync 1", "deliver Write 1 2", "sync 2", "deliver Written 2 1")
STORM = Shape(3, 1, sync_ms=20.0, storm=True, air=STORM_AIR)


def caught(found: Found, rule: str) -> None:
    assert found.rule == rule and found.story, found


def test_an_answer_before_the_backups_sync() -> None:
    bounds = Bounds(writes=1, campaigns=2, crashes=1)
    caught(walk(bounds, 1, 3_000, make=AnswersBeforeSync), "no loss")
    assert not walk(bounds, 1, 100).broken


def test_a_promise_that_is_sent_before_its_sync() -> None:
    crash = ("crash 2", "run 0", "sync 0", "deliver Prepare 0 2")
    both = ("deliver Promised 2 0", "settle 0", "settle 1")
    hasty = Bounds(writes=0, before=(*PROMISED_TO_1, "deliver Promised 2 1", *crash, *both))
    caught(explore(hasty, PromisesBeforeSync), "one primary")
    found = explore(Bounds(writes=0, before=(*PROMISED_TO_1, *crash)))
    assert found.is_whole and not found.broken


def test_a_wiped_process_that_votes() -> None:
    bounds = Bounds(tries=1, writes=1, crashes=0, wipes=1, before=(*WRITTEN, "wipe 2", "run 0"))
    caught(explore(bounds, WipedVotes), "one primary")
    found = explore(bounds)
    assert found.is_whole and not found.broken


def test_reads_that_an_old_primary_answers_without_proof() -> None:
    bounds = Bounds(tries=1, writes=1, reads=1, campaigns=1, crashes=0, before=WRITTEN)
    caught(explore(bounds, ReadsWithoutProof), "old answer")
    assert not explore(bounds, most_states=5_000).broken


def test_holders_that_shrink_without_a_majority() -> None:
    found = [play(Shape(3, 1), seed, HoldersShrinkAlone).rule for seed in range(8)]
    assert "no loss" in found


def test_a_record_that_is_taken_as_kept_though_its_sync_failed() -> None:
    found = [play(STORM, seed, heeds_refusals=False).rule for seed in (0, 3, 8, 73)]
    assert "no loss" in found


def test_a_successor_that_leads_beside_one_that_is_elected() -> None:
    bounds = Bounds(writes=1, crashes=0)
    caught(walk(bounds, 1, 1_000, make=SuccessorWithoutMajority), "one primary")
    assert not walk(bounds, 1, 100).broken


@pytest.mark.parametrize("make", [LeaseByJumpingClock, Replica])
def test_a_lease_and_a_clock_that_jumps(make: Make) -> None:
    """There is no lease: a primary that is cut off answers nothing, whatever its clock says."""
    world = World(Shape(3, 1), 0, make)
    world.begin()
    writes, reads = world.operators
    world.run(4_000.0)
    writes.stopped = True
    while writes.is_waiting() or reads.is_waiting():
        world.run(world.now + 20.0)
    primary = world.primary()
    assert primary is not None
    others = [ip for ip in world.machines if ip != primary.ip]
    world.network.cut({pair for o in others for pair in ((o, primary.ip), (primary.ip, o))})
    primary.skew_ms = -4_000.0
    broken = set()
    try:
        while world.now < 12_000.0:
            if not reads.is_waiting():  # it goes on at the one that is cut off
                reads.hint, reads.reads_next = primary.ip, True
            leader = world.primary()
            if writes.stopped and leader not in (None, primary):
                assert leader is not None
                writes.stopped, writes.hint = False, leader.ip
                writes.begin()
            world.run(world.now + 20.0)
    except BrokenRuleError as error:
        broken.add(error.rule)
    assert not writes.stopped
    assert broken == (set() if make is Replica else {"old answer"})
