"""Views and documents out of the plain values of Avro; and the records of the disk."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import Any

from consensus.messages import DOCUMENT, VIEW
from consensus.views import Document, Member, Memory, Taken, View
from transport.wire import FrameReader, MessageKinds

RECORDS = MessageKinds()


def member_of(raw: Any) -> Member:
    """A member; raises ValueError on a port that is none, which could not be written again."""
    member = raw if isinstance(raw, Member) else Member(**raw)
    if not 0 <= member.port < 65536:
        raise ValueError(f"port {member.port} is none")
    return member


def view_of(raw: Any) -> View | None:
    """A view; raises ValueError on one that names slots which it does not have."""
    if raw is None or isinstance(raw, View):
        return raw
    members = tuple(None if m is None else member_of(m) for m in raw["members"])
    view = View(raw["epoch"], raw["primary"], tuple(raw["holders"]), members)
    for slot in (view.primary, *view.holders):
        if not 0 <= slot < len(members) or members[slot] is None:
            raise ValueError(f"slot {slot} is not there")
    return view


def document_of(raw: Any) -> Document | None:
    """A document."""
    if raw is None or isinstance(raw, Document):
        return raw
    taken = tuple(Taken(t["ver"], t["digest"]) for t in raw["taken"])
    return Document(raw["number"], raw["ver"], raw["body"], taken)


_READERS = {"view": view_of, "document": document_of, "member": member_of}


def revive(message: Any) -> Any:
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


def write_record(record: Record) -> bytes:
    """The bytes for the disk."""
    return RECORDS.encode(record)


def read_record(data: bytes) -> Record:
    """A record; raises WireError."""
    frame = FrameReader().feed(data)[0]
    found: Record = revive(RECORDS.decode(frame.number, frame.body))
    return found


def whole(memory: Memory) -> WholeRecord:
    """All of a memory as one record."""
    return WholeRecord(memory.identity, memory.promised, memory.view, memory.document)


def apply(memory: Memory, record: Record) -> None:
    """Bring a memory to where it stands after a record."""
    match record:
        case PromiseRecord(promised):
            memory.promised = max(memory.promised, promised)
        case ViewRecord(view, document):
            memory.view, memory.promised = view, max(memory.promised, view.epoch)
            memory.document = memory.document if document is None else document
        case WriteRecord(document):
            memory.document = memory.document.with_change(document)
        case WholeRecord(identity, promised, view, document):
            memory.identity, memory.promised, memory.view, memory.document = (
                identity,
                promised,
                view,
                document,
            )
