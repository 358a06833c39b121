"""How long upstreams are cold yet, told so that a list changes only as one turns cold or warm."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from loguru import logger

FIELD = "cold_left_ms"
MOVED_S = 1.5  # an end that is this much later than the one told is of another time of being cold


@dataclass(slots=True)
class _Told:
    """What was told of one upstream: the time left then, and when it ends by our clock, in seconds."""

    left_ms: float
    ends: float


class ColdTimes:
    """Settles `cold_left_ms` of the platform's entries: the same figure until it is over or begins anew.

    The platform's figure runs down, and by a list that lags. Told as it comes it would make a new list of
    every reading; a balancer lets the first figure run down by itself.
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}  # by id

    def stabilize(self, entries: list[dict[str, Any]], now: float) -> list[dict[str, Any]]:
        """The entries as they are to be told at `now` (s); those that are not cold stay as they are."""
        self._told = {name: told for name, told in self._told.items() if now < told.ends}
        return [self._settled(entry, now) for entry in entries]

    def _settled(self, entry: dict[str, Any], now: float) -> dict[str, Any]:
        left_ms = entry.get(FIELD)
        if not isinstance(left_ms, int | float) or isinstance(left_ms, bool) or not left_ms > 0:
            return entry
        name, ends = str(entry.get("id")), now + left_ms / 1000
        told = self._told.get(name)
        if told is None or ends > told.ends + MOVED_S:
            anew = (
                told is not None and told.left_ms == left_ms
            )  # a figure that stays the same tells nothing new
            told = self._told[name] = _Told(left_ms + anew, ends)
            logger.info("event=upstream_cold upstream={} left_ms={:.0f}", name, left_ms)
        return entry if left_ms == told.left_ms else {**entry, FIELD: told.left_ms}
