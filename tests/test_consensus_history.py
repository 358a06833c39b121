"""The bounded history of changes: an accepted change is never refused later, and old formats are read."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from consensus import views
from consensus.codec import (
    Record,
    SnapshotRecord,
    WriteRecord,
    apply_record,
    decode_record,
    encode_record,
    snapshot_record,
)
from consensus.effects import Verdict
from consensus.messages import KINDS, WriteRequest
from consensus.primary import Get, Put
from consensus.views import MAX_HISTORY, ChangeStatus, Document, DurableState
from mastturn.control_check.history import play
from mastturn.control_check.lockstep import Lockstep
from mastturn.control_check.network import LinkProfile
from mastturn.control_check.shape import STORM_LINK, Shape

BODY = b"x" * 2_000


def document_of(changes: int, step: int = 2) -> Document:
    """Returns the document after `changes` writes, with versions that rise by `step`."""
    document = Document()
    for number in range(1, changes + 1):
        document = document.after(number * step, BODY, f"digest-{number}")
    return document


@given(st.lists(st.integers(1, 9), max_size=60), st.integers(1, 12), st.integers(0, 400), st.booleans())
def test_past_never_refuses_what_was_taken_and_never_takes_what_was_not(
    steps: list[int], max_history: int, ver: int, same: bool
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(views, "MAX_HISTORY", max_history)
        document, taken = Document(), dict[int, str]()
        for step in steps:
            number = document.ver + step
            taken[number] = f"d{number}"
            document = document.after(number, b"", taken[number])
        digest = taken.get(ver, "") if same else "another"
        status = document.change_status(ver, digest)
    was_taken = taken.get(ver) == digest
    assert status is not ChangeStatus.NOT_ACCEPTED or not was_taken
    assert status is not ChangeStatus.ACCEPTED or was_taken
    assert status is not ChangeStatus.UNKNOWN or (
        len(taken) > max_history and ver < min([*taken][-max_history:])
    )


def test_a_change_is_remembered_for_thousands_of_changes_and_then_left_open() -> None:
    document = document_of(10_000)
    assert len(document.taken) == MAX_HISTORY
    assert document.change_status(2 * 8_000, "digest-8000") is ChangeStatus.ACCEPTED
    assert document.change_status(2 * 8_000, "another") is ChangeStatus.NOT_ACCEPTED
    assert document.change_status(2 * 8_000 + 1, "between") is ChangeStatus.NOT_ACCEPTED
    assert document.change_status(2, "digest-1") is ChangeStatus.UNKNOWN
    assert document.change_status(20_002, "later") is ChangeStatus.NOT_ACCEPTED


def test_what_a_write_costs_does_not_grow_with_the_history() -> None:
    sizes = []
    for changes in (1, 100, 10_000):
        change = document_of(changes).latest_change()
        sizes.append(
            (len(KINDS.encode(WriteRequest("a", "b", 3, change))), len(encode_record(WriteRecord(change))))
        )
    assert max(w for w, _ in sizes) - min(w for w, _ in sizes) <= 16
    assert max(r for _, r in sizes) - min(r for _, r in sizes) <= 16
    everything = [
        len(encode_record(snapshot_record(DurableState("a", document=document_of(n)))))
        for n in (5_000, 10_000)
    ]
    assert abs(everything[0] - everything[1]) <= 8 * MAX_HISTORY  # Versions and digests get longer.


def test_records_of_writes_bring_back_the_whole_history() -> None:
    durable_state, kept = DurableState("a"), DurableState("a")
    for number in range(1, 200):
        durable_state.document = durable_state.document.after(3 * number, BODY, f"digest-{number}")
        record = decode_record(encode_record(WriteRecord(durable_state.document.latest_change())))
        apply_record(kept, record)
        apply_record(kept, record)  # A record may be logged twice.
    assert kept == durable_state


def test_a_write_that_does_not_follow_is_no_record() -> None:
    durable_state = DurableState("a", document=document_of(4))
    later = document_of(6)
    with pytest.raises(ValueError, match="write 6 does not follow write 4"):
        apply_record(durable_state, WriteRecord(later.latest_change()))
    other = replace(document_of(4), body=b"another")
    with pytest.raises(ValueError, match="write 4 does not follow write 4"):
        apply_record(durable_state, WriteRecord(other.latest_change()))
    assert durable_state.document == document_of(4)


def test_records_of_the_release_before_are_read() -> None:
    """The previous release logged the whole document, with the last 512 changes, with each write."""
    durable_state, document = DurableState("a"), Document()
    for number in range(1, 700):
        document = document.after(number, BODY, f"digest-{number}")
        apply_record(durable_state, WriteRecord(replace(document, taken=document.taken[-512:])))
    assert durable_state.document == document
    before: Record = SnapshotRecord("a", 7, None, replace(document, taken=document.taken[-512:]))
    apply_record(durable_state, before)
    assert durable_state.document.change_status(100, "digest-100") is ChangeStatus.UNKNOWN
    assert durable_state.document.change_status(600, "digest-600") is ChangeStatus.ACCEPTED


def test_a_holder_takes_writes_of_a_leader_of_the_release_before() -> None:
    world = Lockstep()
    follower = world.replicas[1]
    view = follower.durable_state.view
    assert view is not None
    document = Document()
    for number in range(1, 600):
        document = document.after(number, BODY, f"digest-{number}")
        sent = replace(document, taken=document.taken[-512:])
        world.deliver(0, 1, WriteRequest("i0", "i1", view.epoch, sent))
    assert world.disks[1].document == follower.durable_state.document == document


def put(number: int, token: int = 1) -> Put:
    return Put(token, 2 * (number - 1), 2 * number, f"digest-{number}", BODY)


@pytest.mark.parametrize("since", [1, 2, 511, 512, 513, 2_000])
def test_an_order_that_is_sent_again_after_many_changes_is_acknowledged(since: int) -> None:
    world = Lockstep()
    for number in range(1, since + 2):
        world.replicas[0].submit(put(number), world.now)
        world.settle()
    world.replies.clear()
    world.replicas[0].submit(put(1, token=9), world.now)
    world.settle()
    assert [(r.token, r.verdict) for r in world.replies] == [(9, Verdict.DONE)]


def test_an_order_older_than_the_history_has_no_clear_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(views, "MAX_HISTORY", 8)
    world = Lockstep()
    for number in range(1, 12):
        world.replicas[0].submit(put(number), world.now)
        world.settle()
    world.replies.clear()
    orders = [put(1), put(2), Put(1, 2, 6, "never taken", BODY), put(4), Put(1, 6, 8, "never taken", BODY)]
    for order in orders:
        world.replicas[0].submit(order, world.now)
        world.settle()
    found = [reply.verdict for reply in world.replies]
    assert found == [Verdict.UNSURE, Verdict.UNSURE, Verdict.UNSURE, Verdict.DONE, Verdict.STALE]


def test_a_new_leader_knows_all_that_the_one_before_had_taken() -> None:
    world = Lockstep()
    for number in range(1, 700):
        world.replicas[0].submit(put(number), world.now)
        world.settle()
    world.cut(0)
    world.run(1_200.0)
    assert world.primary() == 1
    world.replies.clear()
    for number in (1, 300, 699):
        world.replicas[1].submit(put(number, token=number), world.now)
        world.run(50.0)
    assert [(r.token, r.verdict) for r in world.replies] == [(n, Verdict.DONE) for n in (1, 300, 699)]
    world.replicas[1].submit(Get(1), world.now)
    world.run(50.0)
    assert world.replies[-1].document == document_of(699)


@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("most", [3, 4_096])
def test_repeats_in_histories_with_troubles_are_never_refused(
    machines: int, most: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Operators repeat old changes at any process while machines fail and return."""
    monkeypatch.setattr(views, "MAX_HISTORY", most)
    losses = (machines - 1) // 2
    shapes = [
        Shape(machines, losses, repeats=True),
        Shape(machines, losses, 20.0, storm=True, air=STORM_LINK, repeats=True),
        Shape(
            machines, losses, repeats=True, storm=True, air=LinkProfile(lost_share=0.1, repeated_share=0.1)
        ),
    ]
    found = [play(shape, seed) for shape in shapes for seed in range(4)]
    assert [h.broken for h in found if h.broken] == []
    assert all(h.acknowledged > 10 for h in found)
