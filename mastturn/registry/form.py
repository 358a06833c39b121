"""The published form of the list (PROTOCOL, "Discovery") and of writes to it, as JSON.

Readers see the published keys. Replicas and agents ask with `detail=1` and see beside them what orders two
reports of one instance; unknown keys are passed over. Every fault is one line that names the field.
"""

from __future__ import annotations

from typing import Any

import msgspec

from fleet.registry.entries import PHASES, Entry, InvalidEntryError, Lifecycle
from fleet.registry.history import Changes
from mastturn.files import split_validation_error

MOST_ENTRIES = 20_000  # of one answer: more is no list of ours
MOST_BYTES = 16 * 1024 * 1024
MOST_WAIT_MS = 60_000
PATH = "/registry/instances"


class FormError(ValueError):
    """What came is not of the form; one line."""


class Instance(msgspec.Struct, frozen=True, omit_defaults=False):
    """One entry as it travels."""

    id: str
    host_port: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "active"
    size: float = 1.0
    up_since_ms: float = 0.0


class Detail(Instance, frozen=True):
    """One entry as replicas and agents see it."""

    list: str = ""
    incarnation: int = 0
    word: str = "active"
    turn: int = 0
    lapsed: bool = False
    holder: str = ""
    lease_ms: float = 0.0
    at: int = 0  # the revision of its change, at whoever tells it


class Written(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a PUT: the entry's own values; the id and the list stand in the target."""

    host_port: str
    id: str | None = None
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "active"
    size: float = 1.0
    up_since_ms: float = 0.0
    incarnation: int | None = None
    lease_ms: float = 0.0


class Listing(msgspec.Struct, frozen=True):
    """An answer to a reader."""

    revision: int
    complete: bool
    members: tuple[Detail, ...]
    epoch: int = 0
    replica: str = ""
    seen: dict[str, int] = {}
    doubt: bool = False
    late: int = 0
    held: int = 0


class Shown(msgspec.Struct, frozen=True, omit_defaults=True):
    """An answer as it is written; the last ones only where they say something."""

    revision: int
    complete: bool
    members: list[Any]
    epoch: int
    replica: str = ""
    seen: dict[str, int] = {}
    doubt: bool = False
    age_ms: float = 0.0
    late: int = 0  # of the leases that the replica holds
    held: int = 0


def _plain(error: msgspec.ValidationError) -> str:
    where, said = split_validation_error(error)
    return f"{where or 'body'}: {said}"


def _phase(phase: str, field: str = "phase") -> Lifecycle:
    if phase not in PHASES:
        raise FormError(f"{field}: allowed is one of {', '.join(PHASES)}")
    return PHASES[phase]


def read_written(body: bytes, id_: str, list_name: str) -> tuple[Entry, int | None]:
    """A PUT's body as an entry, and the incarnation that it names; raises FormError."""
    try:
        told = msgspec.json.decode(body, type=Written)
        if told.id is not None and told.id != id_:
            raise FormError(f"id: {told.id!r} is not the one in the target, {id_!r}")
        entry = Entry(
            id_,
            told.host_port,
            list_name,
            told.locality,
            told.flavor,
            told.cell,
            told.size,
            told.up_since_ms,
            told.incarnation or 0,
            _phase(told.phase),
            told.lease_ms,
        )
    except msgspec.ValidationError as error:
        raise FormError(_plain(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise FormError(f"body: no JSON: {error}") from None
    except InvalidEntryError as error:
        raise FormError(str(error)) from None
    return entry, told.incarnation


def as_detail(entry: Entry, at: int = 0) -> Detail:
    """An entry as replicas and agents see it."""
    return Detail(
        entry.id,
        entry.host_port,
        entry.locality,
        entry.flavor,
        entry.cell,
        entry.phase,
        entry.size,
        entry.up_since_ms,
        entry.list,
        entry.incarnation,
        entry.lifecycle.name.lower(),
        entry.turn,
        entry.lapsed,
        entry.holder,
        entry.lease_ms,
        at,
    )


def as_instance(entry: Entry) -> Instance:
    """An entry as readers see it."""
    return Instance(
        entry.id,
        entry.host_port,
        entry.locality,
        entry.flavor,
        entry.cell,
        entry.phase,
        entry.size,
        entry.up_since_ms,
    )


def as_entry(told: Detail, field: str) -> Entry:
    """An entry that a replica told; raises FormError with the place."""
    words = {word.name.lower(): word for word in Lifecycle}
    if told.word not in words:
        raise FormError(f"{field}.word: allowed is one of {', '.join(words)}")
    try:
        return Entry(
            told.id,
            told.host_port,
            told.list,
            told.locality,
            told.flavor,
            told.cell,
            told.size,
            told.up_since_ms,
            told.incarnation,
            words[told.word],
            told.lease_ms,
            told.holder,
            told.turn,
            told.lapsed,
        )
    except InvalidEntryError as error:
        raise FormError(f"{field}.{error}") from None


class Source(msgspec.Struct, frozen=True):
    """Whose answer it is, and what of each replica's log that one has."""

    replica: str = ""
    seen: dict[str, int] = {}
    late: int = 0
    held: int = 0


class Received(msgspec.Struct, frozen=True):
    """A replica's answer as values of the core."""

    changes: Changes
    epoch: int
    replica: str
    seen: dict[str, int]
    late: int
    held: int


def read_listing(body: bytes, after: int | None) -> Received:
    """An answer to a call with that `after`; raises FormError on anything that a list can't be."""
    try:
        told = msgspec.json.decode(body, type=Listing)
    except msgspec.ValidationError as error:
        raise FormError(_plain(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise FormError(f"no JSON: {error}") from None
    if min(told.revision, told.epoch, told.late, told.held, *told.seen.values(), 0) < 0:
        raise FormError("revision: allowed are whole numbers from 0 on")
    if not told.complete and (after is None or told.revision < after):
        raise FormError(f"revision: changes up to {told.revision} do not follow on {after}")
    if len(told.members) > MOST_ENTRIES:
        raise FormError(f"members: {len(told.members)}, allowed are {MOST_ENTRIES} at the most")
    entries = tuple(as_entry(item, f"members[{i}]") for i, item in enumerate(told.members))
    if len({entry.key for entry in entries}) != len(entries):
        raise FormError("members: an id stands there twice")
    at = tuple(item.at for item in told.members)
    return Received(
        Changes(told.revision, told.complete, entries, at),
        told.epoch,
        told.replica,
        told.seen,
        told.late,
        told.held,
    )


def write_listing(
    changes: Changes,
    epoch: int,
    detail: bool,
    source: Source,
    age_ms: float = 0.0,
    doubt: bool = False,
) -> bytes:
    """An answer; whole lists for readers hold nobody who has left."""
    if detail:
        members: list[Any] = [
            as_detail(e, at) for e, at in zip(changes.entries, changes.revisions, strict=True)
        ]
    else:
        members = [as_instance(entry) for entry in changes.entries if not (changes.is_full and entry.is_gone)]
    shown = Shown(
        changes.revision,
        changes.is_full,
        members,
        epoch,
        source.replica,
        source.seen,
        doubt,
        round(age_ms),
        source.late,
        source.held,
    )
    return msgspec.json.encode(shown)


def read_number(text: str, field: str, most: int) -> int:
    """A whole number of a target; raises FormError."""
    if not (text.isascii() and text.isdigit()) or len(text) > 20 or int(text) > most:
        raise FormError(f"{field}: allowed is a whole number from 0 to {most}")
    return int(text)
