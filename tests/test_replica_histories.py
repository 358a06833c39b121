"""Seeded simulated histories with faults, in which every rule must hold; see docs/control.md."""

from __future__ import annotations

import pytest

from mastturn.control_check.history import History, play
from mastturn.control_check.network import LinkProfile
from mastturn.control_check.shape import STORM_LINK, Shape
from mastturn.control_check.world import World

# Machines and seed of histories that have shown a fault.
FOUND = ((3, 159), (3, 814), (5, 426), (5, 30531), (3, 40151))


def assert_rules_hold(histories: list[History]) -> None:
    assert [h.broken for h in histories if h.broken] == []
    assert all(h.acknowledged > 10 and h.reads > 10 for h in histories)


@pytest.mark.parametrize(("machines", "losses"), [(3, 1), (5, 2)])
def test_no_rule_is_broken_and_somebody_takes_over(machines: int, losses: int) -> None:
    histories = [play(Shape(machines, losses), seed) for seed in range(25)]
    assert_rules_hold(histories)
    gaps = [g for h in histories for g in h.gaps if "+" not in g.trouble]
    assert {"kill", "freeze", "isolate", "wipe"} <= {g.trouble for g in gaps}
    alone = sorted(g.took_ms for g in gaps if g.trouble in ("kill", "freeze", "isolate", "wipe"))
    assert alone[len(alone) * 9 // 10] <= 1_500.0


@pytest.mark.parametrize(("machines", "seed"), FOUND)
def test_histories_that_have_shown_a_fault(machines: int, seed: int) -> None:
    assert_rules_hold([play(Shape(machines, (machines - 1) // 2), seed)])


@pytest.mark.parametrize(("machines", "losses"), [(3, 1), (5, 2)])
def test_nothing_is_lost_when_all_are_killed_again_and_again(machines: int, losses: int) -> None:
    assert_rules_hold(
        [play(Shape(machines, losses, 20.0, storm=True, air=STORM_LINK), seed) for seed in range(10)]
    )


@pytest.mark.parametrize("machines", [3, 5])
def test_nothing_rests_on_clocks(machines: int) -> None:
    shape = Shape(machines, (machines - 1) // 2, storm=True, jumps=True)
    assert [h.broken for h in (play(shape, seed) for seed in range(8)) if h.broken] == []


@pytest.mark.parametrize("machines", [3, 5])
def test_slow_disks_everywhere_end_no_view_for_long(machines: int) -> None:
    """With syncs of 0.2 to 0.8 s, changes are slow but a primary keeps accepting them."""
    shape = Shape(machines, (machines - 1) // 2, 400.0, storm=True, length_ms=120_000.0)
    for seed in range(2):
        world = World(shape, seed)
        world.begin()
        world.run(shape.length_ms)
        assert world.rules.acknowledged >= 30 and world.views <= 15


def test_a_network_that_loses_and_repeats_a_tenth_breaks_nothing() -> None:
    air = LinkProfile(slow_share=0.1, slow_ms=400.0, lost_share=0.1, repeated_share=0.1)
    for machines in (3, 5):
        shape = Shape(machines, (machines - 1) // 2, storm=True, air=air)
        assert [h.broken for h in (play(shape, seed) for seed in range(5)) if h.broken] == []


def test_a_history_can_be_played_again() -> None:
    one, two = (play(Shape(3, 1, length_ms=15_000.0), 7, with_story=True) for _ in range(2))
    assert one == two and len(one.story) > 300


@pytest.mark.parametrize("machines", [3, 5])
def test_the_next_loss_is_borne_as_soon_as_all_are_members_again(machines: int) -> None:
    """Planned and unplanned replacements, wipes, partitions and other faults, without pauses in between."""
    shape = Shape(machines, (machines - 1) // 2, eager=True, repeats=True)
    histories = [play(shape, seed) for seed in range(20)]
    assert_rules_hold(histories)
    healed = [h for history in histories for h in history.healed]
    assert {"replace", "replace_planned", "wipe", "term"} <= {h.trouble for h in healed}
    if machines == 3:  # With five, another machine may be faulty the whole time.
        assert max(h.took_ms for h in healed) <= 3_500.0  # The smallest site's sync_s is 4 s.


@pytest.mark.parametrize("machines", [3, 5])
def test_losses_beyond_what_is_to_be_borne_lose_nothing_and_end_with_their_causes(machines: int) -> None:
    shape = Shape(machines, (machines - 1) // 2, overlaps=True, repeats=True)
    histories = [play(shape, seed) for seed in range(20)]
    assert_rules_hold(histories)
    assert sum(len(history.healed) for history in histories) > 30


@pytest.mark.parametrize(
    ("machines", "shape"),
    [
        # A slot was given to a newcomer while its member had only lost power, and two disks were lost.
        ((5, 34), {"overlaps": True}),
        # A leaving member had exited, and the newcomer beside it was removed instead of it.
        ((3, 20), {"eager": True}),
        ((3, 36), {"eager": True}),
        # A removed member asked for a slot while it exited, and was given one.
        ((5, 74), {"eager": True}),
        # A process that learned of a view without it queried everyone but that view's leader.
        ((3, 12), {"overlaps": True}),
    ],
)
def test_histories_that_have_shown_a_fault_of_membership(
    machines: tuple[int, int], shape: dict[str, bool]
) -> None:
    count, seed = machines
    assert_rules_hold([play(Shape(count, (count - 1) // 2, repeats=True, **shape), seed)])  # type: ignore[arg-type]
