"""What an operator's command can end with other than done, as typed errors; each names the remedy."""

from __future__ import annotations

from config.errors import FleetError

DONE, FAILED, USAGE_ERROR, DIFFERS = 0, 1, 2, 3  # exit codes


class UsageError(FleetError):
    """The command can't be understood, or names what is not there."""

    code = USAGE_ERROR


class CommandFailedError(FleetError):
    """It was understood, and is not done."""

    code = FAILED


class NoAnswerError(CommandFailedError):
    """Nobody who could tell gives an answer."""


class RequestRefusedError(CommandFailedError):
    """The control state says no."""

    def __init__(self, wrong: str, remedy: str, status: int) -> None:
        super().__init__(wrong, remedy)
        self.status = status
