"""What control processes say to each other; every message names its sender and whom it is meant for."""

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
class Ask:
    """Would you promise this epoch? Nothing is bound by it."""

    sender: str
    to: str
    epoch: int
    handover: bool  # the primary itself has named the sender


@KINDS.declare(2, [*_ENDS, _EPOCH, _OK, _PROMISED, _VIEW])
@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to `Ask`."""

    sender: str
    to: str
    epoch: int
    ok: bool
    promised: int
    view: Any


@KINDS.declare(3, [*_ENDS, _EPOCH])
@dataclass(frozen=True, slots=True)
class Prepare:
    """Promise to accept nothing of an epoch below this one."""

    sender: str
    to: str
    epoch: int


@KINDS.declare(4, [*_ENDS, _EPOCH, _OK, _PROMISED, _VIEW])
@dataclass(frozen=True, slots=True)
class Promised:
    """Synced, if `ok`; the view is the latest that the sender has accepted."""

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
class Install:
    """Accept this view, with the data if you hold it; `active`: it is in force already."""

    sender: str
    to: str
    view: Any
    document: Any
    active: bool


@KINDS.declare(6, [*_ENDS, _EPOCH, _OK, _PROMISED, _VIEW])
@dataclass(frozen=True, slots=True)
class Installed:
    """Synced, if `ok`."""

    sender: str
    to: str
    epoch: int
    ok: bool
    promised: int
    view: Any


@KINDS.declare(7, [*_ENDS, _EPOCH, {"name": "document", "type": DOCUMENT}])
@dataclass(frozen=True, slots=True)
class Write:
    """Keep this change on top of the document before it: `document` holds the last change alone."""

    sender: str
    to: str
    epoch: int
    document: Any


@KINDS.declare(8, [*_ENDS, _EPOCH, {"name": "number", "type": "long"}, _OK, _PROMISED])
@dataclass(frozen=True, slots=True)
class Written:
    """Synced, if `ok`."""

    sender: str
    to: str
    epoch: int
    number: int
    ok: bool
    promised: int


@KINDS.declare(9, [*_ENDS, _EPOCH, {"name": "number", "type": "long"}])
@dataclass(frozen=True, slots=True)
class Beat:
    """The primary of this epoch is there; the view is in force."""

    sender: str
    to: str
    epoch: int
    number: int


@KINDS.declare(
    10,
    [*_ENDS, _EPOCH, {"name": "number", "type": "long"}, _OK, _PROMISED, {"name": "known", "type": "long"}],
)
@dataclass(frozen=True, slots=True)
class Heard:
    """The answer to `Beat`; `known` is the epoch of the view that the sender has accepted."""

    sender: str
    to: str
    epoch: int
    number: int
    ok: bool
    promised: int
    known: int


@KINDS.declare(11, [*_ENDS, {"name": "member", "type": MEMBER}, _PROMISED])
@dataclass(frozen=True, slots=True)
class Join:
    """A process without a slot asks for one."""

    sender: str
    to: str
    member: Any
    promised: int


@KINDS.declare(12, [*_ENDS, _VIEW, _PROMISED])
@dataclass(frozen=True, slots=True)
class Known:
    """The latest view that the sender has heard of, for one that is behind or lost."""

    sender: str
    to: str
    view: Any
    promised: int


@KINDS.declare(13, [*_ENDS, _EPOCH])
@dataclass(frozen=True, slots=True)
class Succeed:
    """The primary names its successor, which takes over at once."""

    sender: str
    to: str
    epoch: int


@KINDS.declare(14, [*_ENDS])
@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender is told to stop: it is to hold nothing, and ends once it is released."""

    sender: str
    to: str


@KINDS.declare(118, [*_ENDS, _EPOCH])
@dataclass(frozen=True, slots=True)
class Released:
    """The leader of this view needs the receiver, which is told to stop, no longer: its process may end.

    Numbers 15 to 117 would end the connection to an earlier release, which passes over those from 118 on.
    """

    sender: str
    to: str
    epoch: int


Message = (
    Ask
    | Answer
    | Prepare
    | Promised
    | Install
    | Installed
    | Write
    | Written
    | Beat
    | Heard
    | Join
    | Known
    | Succeed
    | Leaving
    | Released
)
