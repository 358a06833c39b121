"""Messages and records of the consensus protocol are decoded to what was encoded."""

from __future__ import annotations

import pytest

from config.errors import WireError
from consensus.codec import (
    PromiseRecord,
    Record,
    SnapshotRecord,
    ViewRecord,
    WriteRecord,
    apply_record,
    decode_nested,
    decode_record,
    encode_record,
    snapshot_record,
)
from consensus.messages import (
    KINDS,
    Heartbeat,
    HeartbeatAck,
    InstallView,
    InstallViewAck,
    JoinRequest,
    LeaveAck,
    LeaveRequest,
    Message,
    Prepare,
    PreVoteRequest,
    PreVoteResponse,
    Promise,
    TransferLeadership,
    ViewUpdate,
    WriteAck,
    WriteRequest,
)
from consensus.views import AcceptedVersion, Document, DurableState, Member, View
from transport.wire import FrameReader

A = Member("a", "core-a", "10.0.0.1", 7700, "10.0.0.1:8166", "hall-a")
B = Member("b", "core-b", "10.0.1.1", 7700, "10.0.1.1:8166")
VIEW = View(3, 0, (0, 2), (A, None, B))
DOCUMENT = Document(2, 9, b"\0{}", (AcceptedVersion(4, "x"), AcceptedVersion(9, "y")))

MESSAGES: list[Message] = [
    PreVoteRequest("a", "b", 4, True),
    PreVoteResponse("a", "b", 4, True, 3, VIEW),
    PreVoteResponse("a", "b", 4, False, 3, None),
    Prepare("a", "b", 4),
    Promise("a", "b", 4, True, 4, VIEW),
    InstallView("a", "b", VIEW, DOCUMENT, False),
    InstallView("a", "b", VIEW, None, True),
    InstallViewAck("a", "b", 3, True, 3, VIEW),
    WriteRequest("a", "b", 3, DOCUMENT),
    WriteAck("a", "b", 3, 2, True, 3),
    Heartbeat("a", "b", 3, 17),
    HeartbeatAck("a", "b", 3, 17, True, 3, 3),
    JoinRequest("c", "", A, 3),
    ViewUpdate("a", "c", VIEW, 3),
    TransferLeadership("a", "b", 3),
    LeaveRequest("a", "b"),
    LeaveAck("a", "b", 4),
]
RECORDS: list[Record] = [
    PromiseRecord(7),
    ViewRecord(VIEW, None),
    ViewRecord(VIEW, DOCUMENT),
    WriteRecord(DOCUMENT),
    SnapshotRecord("a", 7, VIEW, DOCUMENT),
    SnapshotRecord("a", 0, None, Document()),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_is_read_back_as_it_was(message: Message) -> None:
    frame = FrameReader().feed(KINDS.encode(message))[0]
    assert decode_nested(KINDS.decode(frame.number, frame.body)) == message


@pytest.mark.parametrize("record", RECORDS, ids=lambda r: type(r).__name__)
def test_a_record_is_read_back_as_it_was(record: Record) -> None:
    assert decode_record(encode_record(record)) == record


def test_a_view_that_names_a_slot_which_it_does_not_have_is_refused() -> None:
    for view in (View(3, 1, (0, 2), (A, None, B)), View(3, 0, (0, 3), (A, None, B))):
        frame = FrameReader().feed(KINDS.encode(ViewUpdate("a", "c", view, 3)))[0]
        with pytest.raises((ValueError, WireError)):
            decode_nested(KINDS.decode(frame.number, frame.body))


def test_records_bring_a_memory_to_where_it_stood() -> None:
    durable_state = DurableState("a")
    for record in (PromiseRecord(3), ViewRecord(VIEW, DOCUMENT), PromiseRecord(5), PromiseRecord(4)):
        apply_record(durable_state, record)
    later = Document(3, 11, b"", (*DOCUMENT.taken, AcceptedVersion(11, "z")))
    apply_record(durable_state, WriteRecord(later))
    assert snapshot_record(durable_state) == SnapshotRecord("a", 5, VIEW, later)
    apply_record(durable_state, ViewRecord(View(6, 2, (0, 2), (A, None, B)), None))
    assert durable_state.promised == 6 and durable_state.document == later  # A view alone changes no data.
    copy = DurableState("b")
    apply_record(copy, snapshot_record(durable_state))
    assert copy == durable_state
