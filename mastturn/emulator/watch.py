"""Traces events of selected requests or servers; disabled unless requested."""

from __future__ import annotations

from dataclasses import dataclass

from mastturn.emulator.calls import ClientRequest
from mastturn.emulator.events import START_MS

MAX_LINES = 200_000


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One traced event; `at_ms` counts from the day's start, `request` is a client request or -1."""

    at_ms: float
    request: int
    balancer: str
    server: str
    text: str


class Trace:
    """Collects trace lines of one request, or of one server or balancer by name."""

    def __init__(self, request: int | None = None, name: str | None = None) -> None:
        self._request, self._name = request, name
        self.lines: list[TraceLine] = []
        self.lines_dropped = 0

    def add_line(
        self, now: float, client_request: ClientRequest | None, balancer: str, server: str, text: str
    ) -> None:
        """Record an event if it matches the filter and the limit is not reached."""
        number = client_request.number if client_request is not None else -1
        if self._request is not None and number != self._request:
            return
        if self._name is not None and self._name not in (balancer, server):
            return
        if len(self.lines) >= MAX_LINES:
            self.lines_dropped += 1
            return
        self.lines.append(TraceLine(now - START_MS, number, balancer, server, text))
