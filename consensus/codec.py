"""Decodes views and documents from Avro values, and encodes and decodes the records of the disk log."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import Any

from consensus.messages import DOCUMENT, VIEW
from consensus.views import AcceptedVersion, Document, DurableState, Member, View
from transport.wire import FrameReader, MessageKinds

RECORDS = MessageKinds()


def decode_member(raw: Any) -> Member:
    """Returns a member; raises ValueError for a port out of range, which could not be encoded again."""
    member = raw if isinstance(raw, Member) else Member(**raw)
    if not 0 <= member.port < 65536:
        raise ValueError(f"port {member.port} is out of range")
    return member


def decode_view(raw: Any) -> View | None:
    """Returns a view; raises ValueError if it refers to a slot that is missing or empty."""
    if raw is None or isinstance(raw, View):
        return raw
    members = tuple(None if m is None else decode_member(m) for m in raw["members"])
    view = View(raw["epoch"], raw["primary"], tuple(raw["holders"]), members)
    for slot in (view.primary, *view.holders):
        if not 0 <= slot < len(members) or members[slot] is None:
            raise ValueError(f"view refers to slot {slot}, which is missing or empty")
    return view


def decode_document(raw: Any) -> Document | None:
    """Returns a document."""
    if raw is None or isinstance(raw, Document):
        return raw
    taken = tuple(AcceptedVersion(t["ver"], t["digest"]) for t in raw["taken"])
    return Document(raw["number"], raw["ver"], raw["body"], taken)


_READERS = {"view": decode_view, "document": decode_document, "member": decode_member}


def decode_nested(message: Any) -> Any:
    """Returns the message with its Avro values replaced by `View`, `Document` and `Member` objects."""
    decoded = {
        f.name: _READERS[f.name](getattr(message, f.name)) for f in fields(message) if f.name in _READERS
    }
    return replace(message, **decoded) if decoded else message


_PROMISED = {"name": "promised", "type": "long"}


@RECORDS.declare(1, [_PROMISED])
@dataclass(frozen=True, slots=True)
class PromiseRecord:
    """No lower epoch is accepted any more."""

    promised: int


@RECORDS.declare(2, [{"name": "view", "type": VIEW}, {"name": "document", "type": ["null", DOCUMENT]}])
@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A view was accepted, with the document if this process holds the data."""

    view: Any
    document: Any


@RECORDS.declare(3, [{"name": "document", "type": DOCUMENT}])
@dataclass(frozen=True, slots=True)
class WriteRecord:
    """A write was accepted.

    `document` holds the last change only; earlier releases logged the whole document.
    """

    document: Any


@RECORDS.declare(
    4,
    [
        {"name": "identity", "type": "string"},
        _PROMISED,
        {"name": "view", "type": ["null", VIEW]},
        {"name": "document", "type": DOCUMENT},
    ],
)
@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """The complete durable state."""

    identity: str
    promised: int
    view: Any
    document: Any


Record = PromiseRecord | ViewRecord | WriteRecord | SnapshotRecord


def encode_record(record: Record) -> bytes:
    """Returns the bytes of a record as written to disk."""
    return RECORDS.encode(record)


def decode_record(data: bytes) -> Record:
    """Decodes one record; raises WireError."""
    frame = FrameReader().feed(data)[0]
    record: Record = decode_nested(RECORDS.decode(frame.number, frame.body))
    return record


def snapshot_record(durable_state: DurableState) -> SnapshotRecord:
    """Returns the complete durable state as one record."""
    return SnapshotRecord(
        durable_state.identity, durable_state.promised, durable_state.view, durable_state.document
    )


def apply_record(durable_state: DurableState, record: Record) -> None:
    """Updates the durable state with one record."""
    match record:
        case PromiseRecord(promised):
            durable_state.promised = max(durable_state.promised, promised)
        case ViewRecord(view, document):
            durable_state.view, durable_state.promised = view, max(durable_state.promised, view.epoch)
            durable_state.document = durable_state.document if document is None else document
        case WriteRecord(document):
            durable_state.document = durable_state.document.with_change(document)
        case SnapshotRecord(identity, promised, view, document):
            durable_state.identity, durable_state.promised, durable_state.view, durable_state.document = (
                identity,
                promised,
                view,
                document,
            )
