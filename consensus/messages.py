"""The messages of the consensus protocol; each names its sender and its receiver by identity.

Kind numbers and the order and types of fields are shared with earlier releases, so they don't change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from transport.wire import MessageKinds

KINDS = MessageKinds()

MEMBER: dict[str, Any] = {
    "type": "record",
    "name": "Member",
    "fields": [
        {"name": "identity", "type": "string"},
        {"name": "node", "type": "string"},
        {"name": "ip", "type": "string"},
        {"name": "port", "type": "int"},
        {"name": "ctl", "type": "string"},
        {"name": "zone", "type": "string"},
    ],
}
VIEW: dict[str, Any] = {
    "type": "record",
    "name": "View",
    "fields": [
        {"name": "epoch", "type": "long"},
        {"name": "primary", "type": "int"},
        {"name": "holders", "type": {"type": "array", "items": "int"}},
        {"name": "members", "type": {"type": "array", "items": ["null", MEMBER]}},
    ],
}
DOCUMENT: dict[str, Any] = {
    "type": "record",
    "name": "Document",
    "fields": [
        {"name": "number", "type": "long"},
        {"name": "ver", "type": "long"},
        {"name": "body", "type": "bytes"},
        {
            "name": "taken",
            "type": {
                "type": "array",
                "items": {
                    "type": "record",
                    "name": "Taken",
                    "fields": [{"name": "ver", "type": "long"}, {"name": "digest", "type": "string"}],
                },
            },
        },
    ],
}
_ENDS = [{"name": "sender", "type": "string"}, {"name": "to", "type": "string"}]
_EPOCH = {"name": "epoch", "type": "long"}
_VIEW = {"name": "view", "type": ["null", VIEW]}
_OK = {"name": "ok", "type": "boolean"}
_PROMISED = {"name": "promised", "type": "long"}


@KINDS.declare(1, [*_ENDS, _EPOCH, {"name": "handover", "type": "boolean"}])
@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Asks whether the receiver would promise this epoch; the answer binds nobody."""

    sender: str
    to: str
    epoch: int
    handover: bool  # The primary itself has named the sender its successor.


@KINDS.declare(2, [*_ENDS, _EPOCH, _OK, _PROMISED, _VIEW])
@dataclass(frozen=True, slots=True)
class PreVoteResponse:
    """The answer to `PreVoteRequest`."""

    sender: str
    to: str
    epoch: int
    ok: bool
    promised: int
    view: Any


@KINDS.declare(3, [*_ENDS, _EPOCH])
@dataclass(frozen=True, slots=True)
class Prepare:
    """Requests a promise to accept nothing of a lower epoch."""

    sender: str
    to: str
    epoch: int


@KINDS.declare(4, [*_ENDS, _EPOCH, _OK, _PROMISED, _VIEW])
@dataclass(frozen=True, slots=True)
class Promise:
    """The answer to `Prepare`, synced if `ok`; `view` is the latest that the sender has accepted."""

    sender: str
    to: str
    epoch: int
    ok: bool
    promised: int
    view: Any


@KINDS.declare(
    5,
    [*_ENDS, _VIEW, {"name": "document", "type": ["null", DOCUMENT]}, {"name": "active", "type": "boolean"}],
)
@dataclass(frozen=True, slots=True)
class InstallView:
    """Requests acceptance of a view, with the document for holders.

    `active`: the view is in force already.
    """

    sender: str
    to: str
    view: Any
    document: Any
    active: bool


@KINDS.declare(6, [*_ENDS, _EPOCH, _OK, _PROMISED, _VIEW])
@dataclass(frozen=True, slots=True)
class InstallViewAck:
    """The answer to `InstallView`, synced if `ok`."""

    sender: str
    to: str
    epoch: int
    ok: bool
    promised: int
    view: Any


@KINDS.declare(7, [*_ENDS, _EPOCH, {"name": "document", "type": DOCUMENT}])
@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Requests a write on top of the previous document; `document` holds the last change only."""

    sender: str
    to: str
    epoch: int
    document: Any


@KINDS.declare(8, [*_ENDS, _EPOCH, {"name": "number", "type": "long"}, _OK, _PROMISED])
@dataclass(frozen=True, slots=True)
class WriteAck:
    """The answer to `WriteRequest`, synced if `ok`."""

    sender: str
    to: str
    epoch: int
    number: int
    ok: bool
    promised: int


@KINDS.declare(9, [*_ENDS, _EPOCH, {"name": "number", "type": "long"}])
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of the primary of this epoch, whose view is in force."""

    sender: str
    to: str
    epoch: int
    number: int


@KINDS.declare(
    10,
    [*_ENDS, _EPOCH, {"name": "number", "type": "long"}, _OK, _PROMISED, {"name": "known", "type": "long"}],
)
@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The answer to `Heartbeat`; `known` is the epoch of the view that the sender has accepted."""

    sender: str
    to: str
    epoch: int
    number: int
    ok: bool
    promised: int
    known: int


@KINDS.declare(11, [*_ENDS, {"name": "member", "type": MEMBER}, _PROMISED])
@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A request for a slot from a process without one."""

    sender: str
    to: str
    member: Any
    promised: int


@KINDS.declare(12, [*_ENDS, _VIEW, _PROMISED])
@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """The latest view that the sender knows of, for a receiver that is behind or has no view."""

    sender: str
    to: str
    view: Any
    promised: int


@KINDS.declare(13, [*_ENDS, _EPOCH])
@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Names the receiver as the primary's successor, which campaigns at once."""

    sender: str
    to: str
    epoch: int


@KINDS.declare(14, [*_ENDS])
@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """The sender is shutting down: it should hold no data, and it exits once it has been released."""

    sender: str
    to: str


@KINDS.declare(118, [*_ENDS, _EPOCH])
@dataclass(frozen=True, slots=True)
class LeaveAck:
    """The leader of this view no longer needs the receiver, which is shutting down and may exit.

    The kind numbers 15 to 117 are not used: earlier releases close the connection on them, but ignore those
    from 118 on.
    """

    sender: str
    to: str
    epoch: int


Message = (
    PreVoteRequest
    | PreVoteResponse
    | Prepare
    | Promise
    | InstallView
    | InstallViewAck
    | WriteRequest
    | WriteAck
    | Heartbeat
    | HeartbeatAck
    | JoinRequest
    | ViewUpdate
    | TransferLeadership
    | LeaveRequest
    | LeaveAck
)
