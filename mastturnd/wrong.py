"""Errors of the operators' commands, each with a remedy and an exit code."""

from __future__ import annotations

from config.errors import FleetError

DONE, FAILED, USAGE_ERROR, DIFFERS = 0, 1, 2, 3  # exit codes


class UsageError(FleetError):
    """The command line is invalid or names something that does not exist."""

    code = USAGE_ERROR


class CommandFailedError(FleetError):
    """The command is valid but could not be completed."""

    code = FAILED


class NoAnswerError(CommandFailedError):
    """No process gave a conclusive answer."""


class RequestRefusedError(CommandFailedError):
    """A control process refused the request."""

    def __init__(self, wrong: str, remedy: str, status: int) -> None:
        super().__init__(wrong, remedy)
        self.status = status
