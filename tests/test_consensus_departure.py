"""Planned departures of members, and further losses at every step of a replacement."""

from __future__ import annotations

import itertools

import pytest

from consensus.joining import FRESH_REQUEST_MS, MembershipStatus, Newcomers
from consensus.leaving import EXPIRY_MS
from consensus.membership import Add, Change, NoChange, Remove
from consensus.messages import InstallView, JoinRequest, LeaveRequest, Prepare
from consensus.primary import Put
from consensus.spread import Spread
from consensus.views import DurableState, Member, View
from mastturn.control_check.lockstep import Lockstep, ip
from mastturn.control_check.losses import STOP_TIMEOUT_MS, Case, How, Replacement, cases

# Every how many cases are run, by group size; the command line tool runs all of them.
EVERY = {3: 23, 5: 401}


def member(index: int, identity: str = "") -> Member:
    return Member(identity or f"i{index}", f"core-{index}", ip(index), 7700, f"{ip(index)}:8166", f"z{index}")


def with_newcomer(machines: int = 3, losses: int = 1) -> Lockstep:
    """Returns a group of healthy members with a newcomer that waits for a slot."""
    world = Lockstep(machines, losses)
    world.disks[machines] = DurableState(f"i{machines}")
    world.boot(machines)
    world.run(400.0)
    world.lines.clear()
    return world


def run_until_may_end(world: Lockstep, index: int, limit_ms: float = 3_000.0) -> None:
    world.replicas[index].stop(world.now)
    until = world.now + limit_ms
    while not world.replicas[index].may_end():
        assert world.now < until, "the member is not released in time"
        world.run(25.0)


@pytest.mark.parametrize("index", [0, 1, 2])
def test_a_member_that_is_told_to_stop_stays_until_it_holds_nothing(index: int) -> None:
    world = Lockstep()
    run_until_may_end(world, index)
    leader = world.primary()
    assert leader is not None and leader != index
    view = world.replicas[leader].durable_state.view
    assert view is not None and index not in view.holders and view.slot_of(f"i{index}") == index


@pytest.mark.parametrize("index", [0, 1, 2])
def test_its_place_goes_to_a_newcomer_before_it_ends(index: int) -> None:
    world = with_newcomer()
    run_until_may_end(world, index)
    leader = world.primary()
    assert leader is not None
    view = world.replicas[leader].durable_state.view
    assert view is not None and view.slot_of(f"i{index}") is None and view.slot_of("i3") is not None
    assert len(view.members) == 3
    assert view.epoch - 1 >= 2  # One view with both of them, and one without the leaving member.
    assert all(world.replicas[i].durable_state.view == view for i in range(4) if i != index)


def test_nothing_is_released_while_the_view_has_one_member_more() -> None:
    world = with_newcomer()
    world.lost = {"LeaveAck"}
    world.replicas[2].stop(world.now)
    world.run(1_000.0)
    released = [i for i, line in enumerate(world.lines) if "LeaveAck" in line]
    removed = world.lines.index("0 leads 3")
    assert released and released[0] > removed


def test_a_backup_that_leaves_is_not_released_while_nobody_can_take_its_data() -> None:
    world = Lockstep()
    world.cut(2)
    world.run(600.0)
    world.replicas[1].stop(world.now)
    world.run(2_000.0)
    assert not world.replicas[1].may_end()
    world.cuts.clear()
    world.run(1_500.0)
    view = world.replicas[0].durable_state.view
    assert world.replicas[1].may_end() and view is not None and 1 not in view.holders


def test_a_leader_that_leaves_as_its_backup_is_lost_gives_its_data_away_first() -> None:
    """A leader that shut down named its lost backup as successor and exited with the only copy."""
    world = Lockstep()
    world.replicas[0].submit(Put(1, 0, 3, "d", b"{}"), world.now)
    world.settle()
    world.lose(1)
    world.replicas[0].stop(world.now)
    world.run(STOP_TIMEOUT_MS)
    assert not world.replicas[0].may_end()  # No other member can take its copy.
    world.replicas[0].resign(world.now)
    world.settle()
    world.lose(0)
    assert world.replicas[2].durable_state.document.ver == 3 and world.replicas[2].durable_state.is_holder()


def test_all_that_are_told_to_stop_at_once_end_without_waiting() -> None:
    world = Lockstep()
    for index in range(3):
        world.replicas[index].stop(world.now)
    world.settle()
    world.run(400.0)
    assert all(replica.may_end() for replica in world.replicas.values())


def test_the_only_member_ends_at_once() -> None:
    world = Lockstep(1, 0)
    run_until_may_end(world, 0, 100.0)


def test_a_newcomer_without_a_slot_ends_at_once() -> None:
    world = with_newcomer()
    world.replicas[3].stop(world.now)
    assert world.replicas[3].may_end()


def test_a_holder_that_leaves_campaigns_only_if_nobody_else_does() -> None:
    world = Lockstep(5, 2)
    world.replicas[1].stop(world.now)  # 0 leads; 1 and 2 are holders too.
    world.cut(0)
    world.run(1_200.0)
    assert world.primary() == 2
    alone = Lockstep()
    alone.replicas[1].stop(alone.now)
    alone.cut(0)
    alone.lost = {"LeaveRequest"}
    alone.run(2_500.0)
    assert alone.primary() is not None and alone.primary() != 0


def test_a_newcomer_that_is_added_votes_before_the_view_is_in_force() -> None:
    """The campaigner is lost with its disk after one other member has accepted the view."""
    world = with_newcomer()
    world.lost = {"InstallViewAck"}
    world.replicas[2].stop(world.now)
    while not any(line.startswith("0 -> 1 InstallView 2") for line in world.lines):
        world.run(25.0)
    accepted = world.replicas[1].durable_state.view
    assert accepted is not None and accepted.epoch == 2 and len(accepted.members) == 4
    world.lost = set()
    world.lose(0)
    world.run(2_500.0)
    assert world.primary() == 1
    last = world.replicas[1].durable_state.view
    assert last is not None and last.slot_of("i3") is not None


def test_a_member_that_starts_again_while_a_newcomer_has_its_place_comes_back_for_another() -> None:
    world = with_newcomer()
    run_until_may_end(world, 2)
    world.end(2)
    world.run(200.0)
    world.boot(2)
    world.run(2_500.0)
    assert world.replicas[2].durable_state.view is None  # No slot is free.
    world.lose(1)
    world.run(3_000.0)
    leader = world.primary()
    assert leader is not None
    view = world.replicas[leader].durable_state.view
    assert view is not None and view.slot_of("i2") is not None and view.slot_of("i1") is None


def test_one_more_than_the_slots_goes_again_if_nobody_leaves_any_more() -> None:
    world = with_newcomer()
    world.deliver(2, 0, LeaveRequest("i2", "i0"))  # Sent once and not repeated.
    world.run(EXPIRY_MS + 1_500.0)
    view = world.replicas[0].durable_state.view
    assert view is not None and len(view.members) == 3


def test_a_member_does_not_forget_its_slot_for_a_view_that_came_to_nothing() -> None:
    world = Lockstep()
    first = world.replicas[0].durable_state.view
    assert first is not None
    other = View(7, 1, (1, 0), (*first.members[:2], member(9)))
    world.frozen = {0, 1}
    world.deliver(1, 2, Prepare("i1", "i2", 7))
    world.replicas[2].acceptor.observe_view(other)
    world.run(100.0)
    assert world.replicas[2].durable_state.slot() == 2
    world.deliver(1, 2, InstallView("i1", "i2", other, None, True))
    world.run(100.0)
    assert world.replicas[2].durable_state.slot() is None and world.disks[2].promised >= 7


def test_changes_of_members_keep_the_slots_of_those_that_stay() -> None:
    base = View(4, 0, (0, 1), tuple(member(i) for i in range(3)))
    added = View(5, 0, (0, 1), Add(member(3)).members(base))
    assert added.extra_member() == member(3) and added.majority == 3 and base.extra_member() is None
    remove = Remove(1, 4)
    assert remove.members(added) == (member(0), member(3), member(2))
    assert [remove.slot_after(slot) for slot in (0, 2, 3)] == [0, 2, 1]
    assert remove.voters(added) == [0, 2, 3]
    assert Remove(3, 4).members(added) == base.members


def test_who_goes_from_a_view_with_one_member_more() -> None:
    newcomers = Newcomers(Spread())
    view = View(5, 0, (0, 1), tuple(member(i) for i in range(4)))
    all_slots = frozenset(range(4))

    def due(dead: tuple[int, ...], leaving: tuple[int, ...], silent: tuple[int, ...]) -> Change:
        present = all_slots - {*dead, *silent}
        return newcomers.due_change(view, MembershipStatus(dead, leaving, silent, present), 0.0)

    assert due((2,), (1,), (2,)) == Remove(2, 4)
    assert due((), (1,), ()) == Remove(1, 4)
    assert due((), (), (0, 2)) == Remove(2, 4)
    assert due((), (), ()) == Remove(3, 4)
    assert due((), (1,), (3,)) == Remove(3, 4)  # The newcomer itself is lost.
    assert due((), (1,), (2, 3)) == NoChange()  # Too few members are left to agree.
    may_be_lost = MembershipStatus(present=all_slots - {1})
    assert newcomers.due_change(view, may_be_lost, 0.0) == NoChange()
    last = View(5, 3, (3, 1), tuple(member(i) for i in range(4)))
    assert newcomers.due_change(last, MembershipStatus(present=all_slots), 0.0) == Remove(0, 4)


def test_a_newcomer_that_has_not_asked_for_a_while_is_not_named() -> None:
    newcomers = Newcomers(Spread())
    view = View(5, 0, (0, 1), tuple(member(i) for i in range(3)))
    newcomers.add(JoinRequest("i3", "", member(3), 5), 0.0)
    assert newcomers.due_change(view, MembershipStatus(dead=(2,)), FRESH_REQUEST_MS) == Add(member(3))
    assert newcomers.due_change(view, MembershipStatus(dead=(2,)), FRESH_REQUEST_MS + 1.0) == NoChange()


def test_any_two_majorities_of_neighbouring_views_share_a_member() -> None:
    for size in (3, 5):
        base = View(4, 0, (0, 1), tuple(member(i) for i in range(size)))
        added = View(5, 0, (0, 1), Add(member(size)).members(base))
        removed = View(6, 0, (0, 1), Remove(1, size + 1).members(added))
        for one, other in ((base, added), (added, removed)):
            for some in itertools.combinations(one.members, one.majority):
                for others in itertools.combinations(other.members, other.majority):
                    assert set(some) & set(others)


def test_a_newcomer_is_named_again_only_with_a_promise_of_the_view_in_force() -> None:
    world = with_newcomer()
    view = world.replicas[0].durable_state.view
    assert view is not None
    world.deliver(3, 0, JoinRequest("i3", "i0", member(3), 0))
    world.cut(3)
    leader = world.replicas[0]
    assert leader.primary is not None
    assert leader._newcomers.due_change(view, MembershipStatus(leaving=(2,)), 0.0) == NoChange()


@pytest.mark.parametrize("how", How)
@pytest.mark.parametrize("role", ["leader", "backup", "witness"])
@pytest.mark.parametrize("machines", [3, 5])
def test_a_replacement_is_over_long_before_the_next_loss_is_due(machines: int, role: str, how: How) -> None:
    outcome = Replacement(Case(machines, role, how)).play()
    assert outcome.broken == "" and outcome.acknowledged > 10
    assert outcome.healed_ms <= 1_500.0  # The sites' sync_s is at least 4 s.


@pytest.mark.parametrize("machines", [3, 5])
def test_further_losses_at_any_step_of_a_replacement_are_borne(machines: int) -> None:
    found = [Replacement(case).play() for case in itertools.islice(cases(machines), 5, None, EVERY[machines])]
    assert len(found) > 100
    assert [f"{outcome.case}: {outcome.broken}" for outcome in found if outcome.broken] == []
