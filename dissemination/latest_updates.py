"""The latest update of each kind that a process knows, whatever its source."""

from __future__ import annotations

from typing import Any

from config.errors import GapError
from dissemination.load_steps import Loads, LoadTable
from dissemination.loads import pack
from dissemination.messages import (
    ConfigurationUpdate,
    FailureUpdate,
    LeaderHeartbeat,
    LoadStep,
    LoadUpdate,
    MembershipUpdate,
    UpstreamListUpdate,
)

Update = (
    ConfigurationUpdate
    | UpstreamListUpdate
    | MembershipUpdate
    | LeaderHeartbeat
    | LoadUpdate
    | LoadStep
    | FailureUpdate
)


class LatestUpdates:
    """Stores the latest update of each kind; an older one never replaces a newer one."""

    def __init__(self) -> None:
        self.configuration: ConfigurationUpdate | None = None
        self.upstreams: UpstreamListUpdate | None = None
        self.members: MembershipUpdate | None = None
        self.pulse: LeaderHeartbeat | None = None
        self.loads: LoadUpdate | None = None  # from a source that sends complete sums
        self.load_table: LoadTable | None = None  # or from a source that sends steps
        self.doubts: FailureUpdate | None = None

    def is_complete(self) -> bool:
        """Return whether both a configuration and a list of upstreams are known."""
        return self.configuration is not None and self.upstreams is not None

    def epoch(self) -> int:
        """Return the latest epoch of any update; 0 without updates."""
        updates = (self.upstreams, self.members, self.pulse, self.loads, self.load_table, self.doubts)
        return max((update.epoch for update in updates if update is not None), default=0)

    def store(self, message: Any) -> bool:
        """Store a message if it is newer than the stored one; returns whether it was."""
        match message:
            case ConfigurationUpdate():
                if self.configuration is not None and message.ver <= self.configuration.ver:
                    return False
                self.configuration = message
            case UpstreamListUpdate():
                if not _is_newer(message, self.upstreams):
                    return False
                self.upstreams = message
            case MembershipUpdate():
                if not _is_newer(message, self.members):
                    return False
                self.members = message
            case LeaderHeartbeat():
                if not _is_newer(message, self.pulse):
                    return False
                self.pulse = message
            case LoadUpdate():
                if not _is_newer(message, self.load_table or self.loads):
                    return False
                self.loads, self.load_table = message, None
            case FailureUpdate():
                if not _is_newer(message, self.doubts):
                    return False
                self.doubts = message
            case _:
                return False
        return True

    def apply_step(self, message: LoadStep) -> Loads | None:
        """Apply a load step; returns the previous loads of the upstreams in it, or None if its epoch is old.

        Raises GapError for a step that does not follow the stored one.
        """
        known = self.load_table or self.loads
        if known is not None and message.epoch < known.epoch:
            return None
        if message.base == 0:
            table, before = LoadTable(message.epoch), dict(self.current_loads())
            if table.take(message.number, 0, message.names, message.figures) is not None:
                self.load_table, self.loads = table, None
                return before | dict.fromkeys(table.loads.keys() - before.keys(), (0, 0))
        elif self.load_table is not None and self.load_table.epoch == message.epoch:
            previous = self.load_table.take(message.number, message.base, message.names, message.figures)
            if previous is not None:
                return previous
        raise GapError(
            f"load step {message.number} is based on unknown step {message.base}",
            "attach again for the complete loads",
        )

    def current_loads(self) -> Loads:
        """Return the known load sums."""
        if self.load_table is not None:
            return self.load_table.loads
        return {} if self.loads is None else {e.upstream: (e.calls, e.tokens) for e in self.loads.loads}

    def full_loads(self) -> LoadUpdate | None:
        """Return the load sums as a message for receivers of an earlier edition."""
        if self.load_table is None:
            return self.loads
        return LoadUpdate(self.load_table.epoch, self.load_table.number, pack(self.load_table.loads))

    def updates_since(self, ver: int, list_stamp: tuple[int, int], steps: bool = False) -> list[Update]:
        """Return the updates that a receiver with this version and this list lacks, in sending order.

        `steps`: the receiver takes load steps.
        """
        updates: list[Update] = []
        if self.configuration is not None and self.configuration.ver > ver:
            updates.append(self.configuration)
        if self.upstreams is not None and (self.upstreams.epoch, self.upstreams.number) > list_stamp:
            updates.append(self.upstreams)
        loads: LoadUpdate | LoadStep | None = None
        if steps and self.load_table is not None:
            loads = LoadStep(self.load_table.epoch, self.load_table.number, 0, *self.load_table.whole())
        else:
            loads = self.full_loads()
        updates += [update for update in (self.members, self.pulse, loads, self.doubts) if update is not None]
        return updates

    def clear_failures(self) -> None:
        """Drop the failure sums of another primary; balancers report theirs again."""
        self.doubts = None

    def clear_loads(self) -> None:
        """Drop the load sums, so that the same sums count as an update when they come again."""
        self.loads = self.load_table = None


def _is_newer(message: Any, known: Any) -> bool:
    return known is None or (message.epoch, message.number) > (known.epoch, known.number)
