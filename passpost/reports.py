"""Load reports in answers (PROTOCOL, X-Pressure): a JSON object with the fields that the settings name."""

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
LONGEST = 1_024  # bytes; a report is some tens
SAY_EVERY_S = 60.0  # an upstream that spoils every report must not flood the log


class LoadReports:
    """Reads what answers report; a spoilt or missing report does no harm."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        self._fields = frozenset(fields) | ({"util", "latency_ms"} if fields else set())
        self._said = -math.inf

    def read(self, headers: Iterable[tuple[bytes, bytes]]) -> LoadReport | None:
        """The report of an answer, if it has one that can be read and the settings speak of reports."""
        if not self._fields:
            return None
        text = next((value for name, value in headers if name.lower() == HEADER), None)
        if text is None:
            return None
        report = self._parse(text)
        if report is None and time.monotonic() - self._said >= SAY_EVERY_S:
            self._said = time.monotonic()
            log.warning("a load report that can't be read is ignored: %.100r", text)
        return report

    def _parse(self, text: bytes) -> LoadReport | None:
        if len(text) > LONGEST:
            return None
        try:
            values = json.loads(text)
        except (ValueError, RecursionError):
            return None
        if not isinstance(values, dict):
            return None
        return wire.read_report((name, value) for name, value in values.items() if name in self._fields)
