"""The figures that operators read, counted where things happen: they begin at 0 with the process."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Any


class RequestResult(enum.Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Counters:
    """Requests by class and final answer, those that are open, and the attempts written whole."""

    def __init__(self, classes: Iterable[str]) -> None:
        names = [final.value for final in RequestResult]
        self._requests = {name: dict.fromkeys([*names, "attempts"], 0) for name in classes}
        self.in_flight = 0

    def request_received(self) -> None:
        """A whole request has come; it ends exactly once."""
        self.in_flight += 1

    def request_ended(self, class_name: str, final: RequestResult) -> None:
        """A taken request has its final answer, or its client has gone."""
        self.in_flight -= 1
        self._requests[class_name][final.value] += 1

    def written(self, class_name: str) -> None:
        """The last byte of an attempt has gone out to an upstream."""
        self._requests[class_name]["attempts"] += 1

    def figures(self, known: int, excluded: int) -> dict[str, Any]:
        """The counters as they stand, zeros included."""
        return {
            "requests": {name: dict(row) for name, row in self._requests.items()},
            "attempts": sum(row["attempts"] for row in self._requests.values()),
            "in_flight": self.in_flight,
            "upstreams_known": known,
            "upstreams_excluded": excluded,
        }
