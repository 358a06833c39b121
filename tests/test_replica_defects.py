"""Planted defects of the consensus protocol: a search or simulation finds each, and nothing without it."""

from __future__ import annotations

import pytest

from consensus.replica import Replica
from mastturn.control_check.defects import (
    AnswersBeforeSync,
    LeaseByJumpingClock,
    PromisesBeforeSync,
    ReadsWithoutProof,
    SuccessorWithoutMajority,
    WipedVotes,
)
from mastturn.control_check.explore import SearchResult, explore, walk
from mastturn.control_check.local import ReplicaFactory
from mastturn.control_check.losses import Replacement
from mastturn.control_check.planted import (
    PROMISED_TO_1,
    PROMISED_TWICE,
    SEARCHED,
    WRITTEN,
    SearchCase,
    ends_at_once,
    failed_syncs,
    shrinks,
)
from mastturn.control_check.rules import BrokenRuleError
from mastturn.control_check.shape import Shape
from mastturn.control_check.state import Bounds
from mastturn.control_check.world import World


def assert_caught(found: SearchResult, rule: str) -> None:
    assert found.rule == rule and found.story, found


@pytest.mark.parametrize("planted", SEARCHED, ids=lambda p: p.make.__name__)
def test_the_search_finds_each_from_its_first_steps_on(planted: SearchCase) -> None:
    assert_caught(planted.show(), planted.rule)


# The first steps of the others are possible without their defects too.
@pytest.mark.parametrize(
    "planted", [p for p in SEARCHED if p.make is not PromisesBeforeSync], ids=lambda p: p.make.__name__
)
def test_the_same_search_finds_nothing_without_the_defect(planted: SearchCase) -> None:
    """Limited to 10,000 states, which covers most of the searches completely."""
    assert not explore(planted.bounds, most_states=10_000).broken


def test_a_holder_that_is_let_go_too_early() -> None:
    outcome = next(outcome for outcome in ends_at_once() if outcome.broken)
    assert outcome.broken.startswith("goes on: nobody answers")
    assert not Replacement(outcome.case).play().broken


def test_an_answer_before_the_backups_sync() -> None:
    bounds = Bounds(writes=1, campaigns=2, crashes=1)
    assert_caught(walk(bounds, 1, 3_000, make=AnswersBeforeSync), "no loss")
    assert not walk(bounds, 1, 100).broken


def test_a_promise_that_is_sent_before_its_sync() -> None:
    crash = ("crash 2", "run 0", "sync 0", "deliver Prepare 0 2")
    assert_caught(explore(Bounds(writes=0, before=PROMISED_TWICE), PromisesBeforeSync), "one primary")
    found = explore(Bounds(writes=0, before=(*PROMISED_TO_1, *crash)))
    assert found.is_whole and not found.broken


def test_a_wiped_process_that_votes() -> None:
    bounds = Bounds(tries=1, writes=1, crashes=0, wipes=1, before=(*WRITTEN, "wipe 2", "run 0"))
    assert_caught(explore(bounds, WipedVotes), "one primary")
    found = explore(bounds)
    assert found.is_whole and not found.broken


def test_reads_that_an_old_primary_answers_without_proof() -> None:
    bounds = Bounds(tries=1, writes=1, reads=1, campaigns=1, crashes=0, before=WRITTEN)
    assert_caught(explore(bounds, ReadsWithoutProof), "old answer")
    assert not explore(bounds, most_states=5_000).broken


def test_holders_that_shrink_without_a_majority() -> None:
    assert "no loss" in [history.rule for history in shrinks()]


def test_a_record_that_is_taken_as_kept_though_its_sync_failed() -> None:
    assert "no loss" in [history.rule for history in failed_syncs()]


def test_a_successor_that_leads_beside_one_that_is_elected() -> None:
    bounds = Bounds(writes=1, crashes=0)
    assert_caught(walk(bounds, 1, 1_000, make=SuccessorWithoutMajority), "one primary")
    assert not walk(bounds, 1, 100).broken


@pytest.mark.parametrize("make", [LeaseByJumpingClock, Replica])
def test_a_lease_and_a_clock_that_jumps(make: ReplicaFactory) -> None:
    """A primary that is cut off answers no read, whatever its clock says.

    The protocol has no leases; a primary with a lease and a jumping clock answers an outdated read.
    """
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
            if not reads.is_waiting():  # Reads continue at the primary that is cut off.
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
