"""Defines a registry entry and the total order that resolves conflicting versions of it.

Replicas accept writes without coordination, so any two versions of an entry must be comparable on their own.
`order` is total and the greater version wins on every replica, whatever the order of arrival:

1. the higher `incarnation`: statements about an earlier process don't apply to a new one;
2. the higher `lifecycle`: within an incarnation an instance goes from active to leaving to removed and never
   back, so that a removal wins over a renewal that another replica accepted meanwhile (the renewal says that
   the process is alive, the removal that it is unwanted; to return, it registers with a new incarnation);
3. the higher `turn`, a counter that replicas increment when they move a lease or mark it lapsed; by
   incrementing it, the holder of a lease refutes another replica's claim that the lease has lapsed;
4. with equal turns, a version that has not lapsed, then names and values: any order that is total will do.
"""

from __future__ import annotations

import enum
import ipaddress
import math
from dataclasses import dataclass, replace

MAX_SAFE_INTEGER = 2**53 - 1  # the largest integer that every JSON parser represents exactly
MAX_NAME_LENGTH = 200
LEASE_RANGE_MS = (500.0, 3_600_000.0)
"""The shortest and the longest lease; 0 means no lease."""


class Lifecycle(enum.IntEnum):
    """The lifecycle stage of an incarnation, as last set by its registrant or an operator."""

    ACTIVE = 0
    LEAVING = 1
    REMOVED = 2


PHASES = {"active": Lifecycle.ACTIVE, "leaving": Lifecycle.LEAVING, "left": Lifecycle.REMOVED}


class InvalidEntryError(ValueError):
    """An invalid value in an entry; the message names the field and the allowed values."""


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
"""The list and the id, which identify an entry."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One instance in one list. Without a lease (`lease_ms` 0) it stays until it is removed."""

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
    holder: str = ""  # the replica that holds the lease; it alone may mark it lapsed
    turn: int = 0  # incremented with each move or lapse of the lease
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
        """The key that identifies the entry."""
        return (self.list, self.id)

    @property
    def is_gone(self) -> bool:
        """Whether readers see the entry as `left`."""
        return self.lapsed or self.lifecycle is Lifecycle.REMOVED

    @property
    def phase(self) -> str:
        """The phase as published to readers: active, leaving or left."""
        return "left" if self.is_gone else "leaving" if self.lifecycle is Lifecycle.LEAVING else "active"

    @property
    def order(self) -> tuple[object, ...]:
        """The sort key for conflict resolution; the greater one wins (see the module's documentation)."""
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
        """Returns whether both describe the instance alike, regardless of the lease holder and the phase."""
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
    """Returns the version that wins; commutative, associative and idempotent, since `order` is total."""
    return one if one.order >= other.order else other


def with_holder(entry: Entry, holder: str) -> Entry:
    """Returns the entry, not lapsed, with its lease moved to `holder`."""
    return replace(entry, holder=holder, turn=entry.turn + 1, lapsed=False)
