"""Views and documents out of the plain values of Avro; and the records of the disk."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import Any

from consensus.messages import DOCUMENT, VIEW
from consensus.views import AcceptedVersion, Document, DurableState, Member, View
from transport.wire import FrameReader, Kinds

RECORDS = Kinds()


def decode_member(raw: Any) -> Member:
    """A member; raises ValueError on a port that is none, which could not be written again."""
    member = raw if isinstance(raw, Member) else Member(**raw)
    if not 0 <= member.port < 65536:
        raise ValueError(f"port {member.port} is none")
    return member


def decode_view(raw: Any) -> View | None:
    """A view; raises ValueError on one that names slots which it does not have."""
    if raw is None or isinstance(raw, View):
        return raw
    members = tuple(None if m is None else decode_member(m) for m in raw["members"])
    view = View(raw["epoch"], raw["primary"], tuple(raw["holders"]), members)
    for slot in (view.primary, *view.holders):
        if not 0 <= slot < len(members) or members[slot] is None:
            raise ValueError(f"slot {slot} is not there")
    return view


def decode_document(raw: Any) -> Document | None:
    """A document."""
    if raw is None or isinstance(raw, Document):
        return raw
    taken = tuple(AcceptedVersion(t["ver"], t["digest"]) for t in raw["taken"])
    return Document(raw["number"], raw["ver"], raw["body"], taken)


_READERS = {"view": decode_view, "document": decode_document, "member": decode_member}


def decode_nested(message: Any) -> Any:
    """A message as it was before it was encoded."""
    found = {
        f.name: _READERS[f.name](getattr(message, f.name)) for f in fields(message) if f.name in _READERS
    }
    return replace(message, **found) if found else message


_PROMISED = {"name": "promised", "type": "long"}


@RECORDS.declare(1, [_PROMISED])
@dataclass(frozen=True, slots=True)
class PromiseRecord:
    """Nothing of an epoch below is accepted any more."""

    promised: int


@RECORDS.declare(2, [{"name": "view", "type": VIEW}, {"name": "document", "type": ["null", DOCUMENT]}])
@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A view was accepted, with its data if we hold it."""

    view: Any
    document: Any


@RECORDS.declare(3, [{"name": "document", "type": DOCUMENT}])
@dataclass(frozen=True, slots=True)
class WriteRecord:
    """A write was kept: the document with the last change alone; earlier releases logged all of it."""

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
class WholeRecord:
    """Everything."""

    identity: str
    promised: int
    view: Any
    document: Any


Record = PromiseRecord | ViewRecord | WriteRecord | WholeRecord


def encode_record(record: Record) -> bytes:
    """The bytes for the disk."""
    return RECORDS.encode(record)


def decode_record(data: bytes) -> Record:
    """A record; raises WireError."""
    frame = FrameReader().feed(data)[0]
    found: Record = decode_nested(RECORDS.decode(frame.number, frame.body))
    return found


def snapshot_record(durable_state: DurableState) -> WholeRecord:
    """All of a memory as one record."""
    return WholeRecord(
        durable_state.identity, durable_state.promised, durable_state.view, durable_state.document
    )


def apply_record(durable_state: DurableState, record: Record) -> None:
    """Bring a memory to where it stands after a record."""
    match record:
        case PromiseRecord(promised):
            durable_state.promised = max(durable_state.promised, promised)
        case ViewRecord(view, document):
            durable_state.view, durable_state.promised = view, max(durable_state.promised, view.epoch)
            durable_state.document = durable_state.document if document is None else document
        case WriteRecord(document):
            durable_state.document = durable_state.document.with_change(document)
        case WholeRecord(identity, promised, view, document):
            durable_state.identity, durable_state.promised, durable_state.view, durable_state.document = (
                identity,
                promised,
                view,
                document,
            )
