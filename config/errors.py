"""Exception types for errors that a person can fix; each message states the problem and the remedy."""

from __future__ import annotations


class FleetError(Exception):
    """Base class for errors that a person can fix: the `problem`, and the `remedy` for it."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem, self.remedy = problem, remedy


class SettingsError(FleetError):
    """The settings file of this process is missing or invalid."""


class InvalidConfigurationError(FleetError):
    """An operator's configuration or patch is rejected."""


class WireError(FleetError):
    """Another process sent bytes that can't be decoded as a protocol message."""


class DiskError(FleetError):
    """A disk write failed, or the stored data is corrupt."""


class GapError(FleetError):
    """A delta has arrived whose base version is not held here."""


class InvalidTallyError(FleetError):
    """An application's request on a tally is rejected."""
