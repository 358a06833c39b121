"""Log lines: one line of key=value pairs an event, on standard error; the level may change while running."""

from __future__ import annotations

import sys
from collections.abc import Mapping

from loguru import logger

from mastturnd.roles import current_name

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LINE = "time={time:HH:mm:ss.SSS} level={level} module={name} {message}"


_written = ["INFO"]  # the level that lines are written from


def is_debug() -> bool:
    """Whether lines of every step are asked for."""
    return _written[0] == "DEBUG"


def write_from(level: str) -> None:
    """Write lines of this level and above, and no others."""
    _written[0] = level
    logger.remove()
    logger.add(sys.stderr, format=LINE, level=level, backtrace=False, diagnose=False)


class LogLevel:
    """The level of one role: what the settings file says of it, or what the command line said."""

    def __init__(self, role: str) -> None:
        """The level of before holds while the settings name none."""
        self._role, self._usual = role, _written[0]

    def follow(self, named: Mapping[str, str]) -> bool:
        """Take the level over that the settings name by role; whether it has changed.

        One that is no level is said in the log, and changes nothing.
        """
        levels = {current_name(role): level for role, level in named.items()}
        level = levels.get(self._role, self._usual).upper()
        if level not in LEVELS:
            logger.warning(
                "event=bad_log_level role={} level={!r} remedy={!r}",
                self._role,
                level[:40],
                "name one of " + ", ".join(LEVELS),
            )
            return False
        if level == _written[0]:
            return False
        write_from(level)
        logger.info("event=log_level level={}", level)
        return True
