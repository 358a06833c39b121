"""Load reports in response headers (PROTOCOL, X-Pressure): JSON objects with the configured fields."""

from __future__ import annotations

import json
import logging
import math
import time
from collections.abc import Iterable

from umberworks import wire
from umberworks.interface import LoadReport

log = logging.getLogger(__name__)

HEADER = b"x-pressure"
MAX_REPORT_BYTES = 1_024  # a valid report has a few tens of bytes
WARNING_INTERVAL_S = 60.0  # an upstream whose reports are all invalid must not flood the log


class LoadReports:
    """Reads load reports from responses; an invalid or missing report is ignored."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        self._fields = frozenset(fields) | ({"util", "latency_ms"} if fields else set())
        self._warned_at = -math.inf

    def read(self, headers: Iterable[tuple[bytes, bytes]]) -> LoadReport | None:
        """The load report of a response, if it has a valid one and reports are configured."""
        if not self._fields:
            return None
        text = next((value for name, value in headers if name.lower() == HEADER), None)
        if text is None:
            return None
        report = self._parse(text)
        if report is None and time.monotonic() - self._warned_at >= WARNING_INTERVAL_S:
            self._warned_at = time.monotonic()
            log.warning("ignored an invalid load report: %.100r", text)
        return report

    def _parse(self, text: bytes) -> LoadReport | None:
        if len(text) > MAX_REPORT_BYTES:
            return None
        try:
            values = json.loads(text)
        except (ValueError, RecursionError):
            return None
        if not isinstance(values, dict):
            return None
        return wire.read_report((name, value) for name, value in values.items() if name in self._fields)
