"""One instance as the list shows it, and which of two reports of it is the later one.

Replicas take writes without asking each other, so that any two reports of one instance must be comparable
by themselves. `order` is total; the greater one wins, on every replica, in whatever order they come:

1. the higher `incarnation`: a new process is not what was said of the one before it;
2. the higher `word`: within an incarnation an instance goes from active to leaving to removed and never
   back, so that a removal wins over a renewal that another replica took meanwhile (the renewal says that
   the process lives, the removal that nobody wants it; a process that is wanted again comes with a new
   incarnation);
3. the higher `turn`: counts what replicas did with it, moves of its lease and lapses, and lets the replica
   that holds a lease refute another's belief that it has lapsed;
4. at the same turn one that has not lapsed, and then the names and values: any order will do, if it is
   one.
"""

from __future__ import annotations

import enum
import ipaddress
import math
from dataclasses import dataclass, replace

MAX_SAFE_INTEGER = 2**53 - 1  # what every JSON reader holds exactly
MAX_NAME_LENGTH = 200
LEASE_RANGE_MS = (500.0, 3_600_000.0)
"""The shortest and the longest lease; 0 stands for none."""


class Lifecycle(enum.IntEnum):
    """What its registrant or an operator last said of an incarnation."""

    ACTIVE = 0
    LEAVING = 1
    REMOVED = 2


PHASES = {"active": Lifecycle.ACTIVE, "leaving": Lifecycle.LEAVING, "left": Lifecycle.REMOVED}


class InvalidEntryError(ValueError):
    """A value that no entry can have; the text names the field and what is allowed."""


def _require(condition: bool, field: str, allowed: str) -> None:
    if not condition:
        raise InvalidEntryError(f"{field}: allowed is {allowed}")


def _is_name(text: str, min_length: int) -> bool:
    return (
        min_length <= len(text) <= MAX_NAME_LENGTH
        and text.isprintable()
        and not any(c.isspace() for c in text)
    )


def _is_address(text: str) -> bool:
    host, colon, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return bool(colon) and port.isascii() and port.isdigit() and 0 < int(port) < 65536


Key = tuple[str, str]
"""The list and the id: what an entry is known by."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One instance in one list. `lease_ms` 0: it stays until it is removed; spans are milliseconds."""

    id: str
    host_port: str = ""
    list: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0
    incarnation: int = 0
    lifecycle: Lifecycle = Lifecycle.ACTIVE
    lease_ms: float = 0.0
    holder: str = ""  # the replica that was told last: it alone says that the lease has lapsed
    turn: int = 0
    lapsed: bool = False

    def __post_init__(self) -> None:
        _require(_is_name(self.id, 1), "id", f"1 to {MAX_NAME_LENGTH} printable characters without blanks")
        for field in ("list", "locality", "flavor", "holder"):
            value = getattr(self, field)
            _require(
                _is_name(value, 0), field, f"at most {MAX_NAME_LENGTH} printable characters without blanks"
            )
        gone = self.lifecycle is Lifecycle.REMOVED and not self.host_port
        _require(
            gone or _is_address(self.host_port), "host_port", "an IP address and a port, as 10.0.0.4:7070"
        )
        for field in ("incarnation", "turn", "cell"):
            _require(
                0 <= getattr(self, field) <= MAX_SAFE_INTEGER, field, "a whole number from 0 to 2^53 - 1"
            )
        _require(math.isfinite(self.size) and self.size > 0, "size", "a finite number above 0")
        _require(math.isfinite(self.up_since_ms), "up_since_ms", "a finite number of milliseconds")
        low, high = LEASE_RANGE_MS
        _require(
            self.lease_ms == 0 or low <= self.lease_ms <= high,
            "lease_ms",
            f"0 for none, or {low:g} to {high:g}",
        )

    @property
    def key(self) -> Key:
        """What it is known by."""
        return (self.list, self.id)

    @property
    def is_gone(self) -> bool:
        """Whether readers see it as `left`."""
        return self.lapsed or self.lifecycle is Lifecycle.REMOVED

    @property
    def phase(self) -> str:
        """The published form's word."""
        return "left" if self.is_gone else "leaving" if self.lifecycle is Lifecycle.LEAVING else "active"

    @property
    def order(self) -> tuple[object, ...]:
        """Greater is later; see the top of the file."""
        return (
            self.incarnation,
            self.lifecycle,
            self.turn,
            not self.lapsed,
            self.holder,
            self.host_port,
            self.locality,
            self.flavor,
            self.cell,
            self.size,
            self.up_since_ms,
            self.lease_ms,
        )

    def has_same_values(self, other: Entry) -> bool:
        """Whether both say the same of the instance, whoever holds it and whatever its phase."""
        return self._values() == other._values()

    def _values(self) -> tuple[object, ...]:
        return (
            self.host_port,
            self.locality,
            self.flavor,
            self.cell,
            self.size,
            self.up_since_ms,
            self.lease_ms,
        )


def later_entry(one: Entry, other: Entry) -> Entry:
    """The one that wins; commutative, associative and idempotent, as `order` is total."""
    return one if one.order >= other.order else other


def with_holder(entry: Entry, holder: str) -> Entry:
    """The same, alive, with its lease at another holder."""
    return replace(entry, holder=holder, turn=entry.turn + 1, lapsed=False)
