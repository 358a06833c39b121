"""What a replica of tallies asks its host to do."""

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
    """Bring these adds to the disk, then call `synced` with the number."""

    number: int
    adds: tuple[Add, ...]


@dataclass(frozen=True, slots=True)
class PersistState:
    """Bring the whole state to the disk: some of it is not among adds that were to be kept."""


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """The add of this token is as safe as it has to be: it may be acknowledged."""

    token: int


Effect = Send | PersistAdds | PersistState | Acknowledge
