"""Errors as typed kinds; each message names the remedy."""

from __future__ import annotations


class FleetError(Exception):
    """Something that a person can put right: what is wrong, and what to do about it."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem, self.remedy = problem, remedy


class SettingsError(FleetError):
    """The settings file of this process can't be used."""


class InvalidConfigurationError(FleetError):
    """An operator's configuration can't be taken."""


class WireError(FleetError):
    """Another process sent what can't be read as one of our messages."""


class DiskError(FleetError):
    """The disk refuses a write, or holds what we never wrote."""


class GapError(FleetError):
    """A change has come whose beginning we do not have."""


class InvalidTallyError(FleetError):
    """An application's call on a tally can't be taken."""
