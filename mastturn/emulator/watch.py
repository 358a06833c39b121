"""What happened to some requests or at some servers, line by line; off unless asked for."""

from __future__ import annotations

from dataclasses import dataclass

from mastturn.emulator.calls import First
from mastturn.emulator.events import START_MS

MOST_LINES = 200_000


@dataclass(frozen=True, slots=True)
class Line:
    """One thing that happened; `at_ms` counts from the day's start, `request` is a first try or -1."""

    at_ms: float
    request: int
    balancer: str
    server: str
    text: str


class Watch:
    """Keeps the lines that are asked for: of one request, or of one server or balancer by name."""

    def __init__(self, request: int | None = None, name: str | None = None) -> None:
        self._request, self._name = request, name
        self.lines: list[Line] = []
        self.left_out = 0

    def line(self, now: float, first: First | None, balancer: str, server: str, text: str) -> None:
        """Something has happened."""
        number = first.number if first is not None else -1
        if self._request is not None and number != self._request:
            return
        if self._name is not None and self._name not in (balancer, server):
            return
        if len(self.lines) >= MOST_LINES:
            self.left_out += 1
            return
        self.lines.append(Line(now - START_MS, number, balancer, server, text))
