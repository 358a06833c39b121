"""Logging: one line of key=value pairs per event on standard error; the level may change at run time."""

from __future__ import annotations

import sys
from collections.abc import Mapping

from loguru import logger

from mastturnd.roles import current_name

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LINE_FORMAT = "time={time:HH:mm:ss.SSS} level={level} module={name} {message}"


_current_level = ["INFO"]  # lowest level that is written; a list, so that functions can assign it


def is_debug() -> bool:
    """Return whether the level is DEBUG."""
    return _current_level[0] == "DEBUG"


def set_level(level: str) -> None:
    """Write lines of this level and above only."""
    _current_level[0] = level
    logger.remove()
    logger.add(sys.stderr, format=LINE_FORMAT, level=level, backtrace=False, diagnose=False)


class LogLevel:
    """The log level of one role: from the settings file, else from the command line."""

    def __init__(self, role: str) -> None:
        """The current level becomes the default, used while the settings name none."""
        self._role, self._default = role, _current_level[0]

    def apply(self, levels_by_role: Mapping[str, str]) -> bool:
        """Apply the level that the settings name for this role; returns whether it has changed.

        An invalid level is logged and changes nothing.
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
