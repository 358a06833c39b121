"""Log lines: one line of key=value pairs an event, on standard error; the level may change while running."""

from __future__ import annotations

import sys
from collections.abc import Mapping

from loguru import logger

from mastturnd.roles import current_name

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LINE_FORMAT = "time={time:HH:mm:ss.SSS} level={level} module={name} {message}"


_current_level = ["INFO"]  # the level that lines are written from


def is_debug() -> bool:
    """Whether lines of every step are asked for."""
    return _current_level[0] == "DEBUG"


def set_level(level: str) -> None:
    """Write lines of this level and above, and no others."""
    _current_level[0] = level
    logger.remove()
    logger.add(sys.stderr, format=LINE_FORMAT, level=level, backtrace=False, diagnose=False)


class LogLevel:
    """The level of one role: what the settings file says of it, or what the command line said."""

    def __init__(self, role: str) -> None:
        """The level of before holds while the settings name none."""
        self._role, self._default = role, _current_level[0]

    def apply(self, levels_by_role: Mapping[str, str]) -> bool:
        """Take the level over that the settings name by role; whether it has changed.

        One that is no level is said in the log, and changes nothing.
        """
        levels = {current_name(role): level for role, level in levels_by_role.items()}
        level = levels.get(self._role, self._default).upper()
        if level not in LEVELS:
            logger.warning(
                "event=bad_log_level role={} level={!r} remedy={!r}",
                self._role,
                level[:40],
                "name one of " + ", ".join(LEVELS),
            )
            return False
        if level == _current_level[0]:
            return False
        set_level(level)
        logger.info("event=log_level level={}", level)
        return True
