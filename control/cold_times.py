"""Stabilises the cold time left of upstreams, so that a list changes only when one turns cold or warm."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from loguru import logger

FIELD = "cold_left_ms"
RESTART_MARGIN_S = 1.5  # a later end by more than this means that a new cold period has begun


@dataclass(slots=True)
class _Published:
    """The published remaining time of one upstream, and its end in seconds on the local clock."""

    left_ms: float
    ends_at: float


class ColdTimes:
    """Keeps `cold_left_ms` of the platform's entries constant for the duration of a cold period.

    The platform's value decreases with time, in a list that lags. Passed on unchanged it would make a new
    list of every reading. A balancer counts the first value down by itself.
    """

    def __init__(self) -> None:
        self._published: dict[str, _Published] = {}  # by id

    def stabilize(self, entries: list[dict[str, Any]], now: float) -> list[dict[str, Any]]:
        """Return the entries to publish at `now` (s); entries that are not cold are unchanged."""
        self._published = {
            upstream_id: published
            for upstream_id, published in self._published.items()
            if now < published.ends_at
        }
        return [self._stabilized(entry, now) for entry in entries]

    def _stabilized(self, entry: dict[str, Any], now: float) -> dict[str, Any]:
        left_ms = entry.get(FIELD)
        if not isinstance(left_ms, int | float) or isinstance(left_ms, bool) or not left_ms > 0:
            return entry
        upstream_id, ends_at = str(entry.get("id")), now + left_ms / 1000
        published = self._published.get(upstream_id)
        if published is None or ends_at > published.ends_at + RESTART_MARGIN_S:
            # Adds 1 ms to an equal value, which would not be seen as a change.
            is_restart = published is not None and published.left_ms == left_ms
            published = self._published[upstream_id] = _Published(left_ms + is_restart, ends_at)
            logger.info("event=upstream_cold upstream={} left_ms={:.0f}", upstream_id, left_ms)
        return entry if left_ms == published.left_ms else {**entry, FIELD: published.left_ms}
