"""The actions that a replica of tallies asks its host to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from tallies.messages import Add, Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the control process at an IP; it may be lost."""

    ip: str
    message: Message


@dataclass(frozen=True, slots=True)
class PersistAdds:
    """Write these adds to disk, then report the number with `on_synced`."""

    number: int
    adds: tuple[Add, ...]


@dataclass(frozen=True, slots=True)
class PersistState:
    """Write the whole state to disk, because it holds changes that no `PersistAdds` covers."""


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """The add of this token is stored safely enough to be acknowledged."""

    token: int


Effect = Send | PersistAdds | PersistState | Acknowledge
