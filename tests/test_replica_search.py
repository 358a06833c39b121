"""Searches over all orders of messages, losses, repeats, syncs and crashes, within bounds that fit a test."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mastturn.control_check.explore import explore, walk
from mastturn.control_check.state import Bounds


def test_one_take_over_beside_a_write_is_whole() -> None:
    found = explore(Bounds(writes=1, tries=1, campaigns=1, crashes=0, reduced=False))
    assert found.is_whole and not found.broken
    assert found.taken_over > 1_000 and found.acknowledged > 1_000


def test_two_writes_that_race_are_whole() -> None:
    found = explore(Bounds(writes=2, tries=1, campaigns=0, crashes=1, reduced=False))
    assert found.is_whole and not found.broken and found.acknowledged > 50


@pytest.mark.parametrize(
    "bounds",
    [
        Bounds(writes=2, tries=1, campaigns=0, crashes=1),
        Bounds(writes=1, tries=1, campaigns=1, crashes=0),
    ],
    ids=["race", "campaign"],
)
def test_the_reduced_search_finds_just_what_the_whole_one_does(bounds: Bounds) -> None:
    """Fewer states, but the same sets of outcomes for processes and operators."""
    reduced, whole = explore(bounds), explore(replace(bounds, reduced=False))
    assert reduced.is_whole and whole.is_whole
    assert reduced.outcomes == whole.outcomes
    assert reduced.states < whole.states


@pytest.mark.parametrize(
    "bounds",
    [
        Bounds(writes=1, tries=2, campaigns=1, crashes=0),
        Bounds(writes=1, tries=1, campaigns=1, crashes=1),
        Bounds(writes=0, tries=1, campaigns=2, crashes=0),
        Bounds(writes=2, tries=1, campaigns=1, crashes=0),
        Bounds(writes=1, tries=1, campaigns=1, crashes=0, wipes=1, joins=1),
    ],
    ids=["repeat", "crash", "campaigns", "race", "wipe"],
)
def test_the_reduced_search_misses_nothing_that_others_find(bounds: Bounds) -> None:
    reduced = explore(bounds)
    assert reduced.is_whole
    unreduced = replace(bounds, reduced=False)
    shortest, long = explore(unreduced, most_states=25_000), walk(unreduced, 5, 120)
    assert shortest.outcomes | long.outcomes <= reduced.outcomes
    assert len(long.outcomes) > 3


@pytest.mark.parametrize(
    "bounds",
    [
        Bounds(writes=2, campaigns=3, crashes=2),
        Bounds(writes=1, reads=1, campaigns=3, crashes=1),
        Bounds(writes=1, campaigns=3, crashes=1, wipes=1, joins=3),
        Bounds(machines=5, losses=2, writes=1, campaigns=2, crashes=1, wipes=1, joins=2),
    ],
    ids=["race", "reads", "wipe", "five"],
)
def test_long_histories_by_chance(bounds: Bounds) -> None:
    found = walk(bounds, 1, 150)
    assert not found.broken and found.taken_over > 100
