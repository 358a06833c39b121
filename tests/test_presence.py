"""Simulated membership: detection times, no false detections, equal views after a partition."""

from __future__ import annotations

from mastturn.emulator.presence import Setup, play


def test_processes_that_die_are_known_to_all_and_the_same_again_for_the_same_seed() -> None:
    setup = Setup(processes=20, seconds=30.0, kills=3)
    first, second = play(setup), play(setup)
    assert first == second
    assert len(first.last_ms) == 3 and not first.undetected and not first.false
    assert max(first.last_ms) < 3_000.0


def test_machines_that_vanish_are_known_to_all_within_five_seconds() -> None:
    outcome = play(Setup(processes=20, seconds=30.0, kills=3, silent=True))
    assert len(outcome.last_ms) == 3 and not outcome.undetected
    assert max(outcome.last_ms) < 5_000.0


def test_at_one_message_in_twenty_lost_nobody_is_failed() -> None:
    assert play(Setup(processes=20, seconds=60.0, kills=0, loss=0.05)).false == 0


def test_halves_keep_their_numbers_and_come_to_equal_views_after_the_split() -> None:
    outcome = play(Setup(processes=20, seconds=40.0, kills=0, split_s=20.0))
    assert outcome.healed_ms is not None and outcome.healed_ms < 5_000.0
    assert min(minimum for _, minimum, _ in outcome.counts) == 20


def test_messages_of_a_process_do_not_grow_with_the_fleet() -> None:
    small, large = (play(Setup(processes=size, seconds=8.0, kills=0)) for size in (15, 60))
    assert large.messages_s < 1.5 * small.messages_s
