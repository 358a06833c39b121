"""The processes outside the group that a control process knows of, and when each is due to be contacted.

Balancers, control processes without a disk and processes that wait for a slot learn the members' addresses
from their seeds, and keep them in memory only. When all are killed, the addresses kept here are the only way
in which a process whose seeds know nobody hears of the group again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

CONTACT_INTERVAL_S = (
    1.0  # a process that was heard from recently, or is expected back, is contacted this often
)
MAX_CONTACT_INTERVAL_S = 30.0
SILENCE_SHARE = 0.25  # a silent process is contacted again after this share of its silence
FORGET_AFTER_S = 600.0  # a process is forgotten after this silence, not counting time while this one is down
MAX_PROCESSES = 4096  # the most silent ones beyond are forgotten


class Kind(StrEnum):
    """What a known process runs; each kind listens on a port of its own."""

    CONTROL = "control"
    BALANCER = "balancer"


class ProcessAddress(NamedTuple):
    """A process outside the group, by kind and the IP of its machine."""

    kind: Kind
    ip: str


@dataclass(slots=True)
class _Contact:
    """When a process was last heard from and last contacted, in seconds."""

    heard_at: float
    contacted_at: float = -1e9
    is_restored: bool = False  # known from the disk, and not heard from since this process started


class KnownProcesses:
    """The known processes outside the group; times are in seconds of the event loop."""

    def __init__(self) -> None:
        self._contacts: dict[ProcessAddress, _Contact] = {}

    def restore(self, addresses: Iterable[ProcessAddress], now: float) -> None:
        """Add the processes known before this one was restarted; those heard from meanwhile are kept."""
        for address in addresses:
            self._contacts.setdefault(address, _Contact(now, is_restored=True))

    def hear(self, address: ProcessAddress, now: float) -> None:
        """Record that a process was heard from."""
        contact = self._contacts.get(address)
        if contact is None:
            self._contacts[address] = _Contact(now)
        else:
            contact.heard_at, contact.is_restored = now, False

    def forget(self, now: float) -> None:
        """Forget processes that have been silent for too long, and the most silent beyond the limit."""
        latest = sorted(self._contacts.items(), key=lambda item: -item[1].heard_at)[:MAX_PROCESSES]
        self._contacts = {a: c for a, c in latest if now - c.heard_at <= FORGET_AFTER_S}

    def addresses(self) -> frozenset[ProcessAddress]:
        """Return all known processes."""
        return frozenset(self._contacts)

    def silent(self, kind: Kind, silent_s: float, now: float) -> list[ProcessAddress]:
        """Return the processes of a kind that were not heard from for this long or since the restart."""
        return sorted(
            address
            for address, contact in self._contacts.items()
            if address.kind is kind and (contact.is_restored or now - contact.heard_at > silent_s)
        )

    def take_due(self, candidates: Iterable[ProcessAddress], now: float) -> list[ProcessAddress]:
        """Return those of the candidates that are due to be contacted, and record that they are now."""
        due = []
        for address in candidates:
            contact = self._contacts[address]
            silence_s = now - contact.heard_at
            if silence_s < CONTACT_INTERVAL_S and not contact.is_restored:
                continue  # its own message has been answered
            interval_s = min(max(CONTACT_INTERVAL_S, silence_s * SILENCE_SHARE), MAX_CONTACT_INTERVAL_S)
            if now - contact.contacted_at >= interval_s:
                contact.contacted_at = now
                due.append(address)
        return due
