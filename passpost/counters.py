"""Request counters for operators; they start at 0 with the process."""

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
    """Requests by class and result, requests in flight, and attempts written completely."""

    def __init__(self, classes: Iterable[str]) -> None:
        results = [result.value for result in RequestResult]
        self._requests = {name: dict.fromkeys([*results, "attempts"], 0) for name in classes}
        self.in_flight = 0

    def request_received(self) -> None:
        """A complete request has arrived; it ends exactly once."""
        self.in_flight += 1

    def request_ended(self, class_name: str, result: RequestResult) -> None:
        """A request has its final response, or its client has disconnected."""
        self.in_flight -= 1
        self._requests[class_name][result.value] += 1

    def attempt_written(self, class_name: str) -> None:
        """The last byte of an attempt has been sent to an upstream."""
        self._requests[class_name]["attempts"] += 1

    def snapshot(self, upstreams_known: int, upstreams_excluded: int) -> dict[str, Any]:
        """The current values, zeros included."""
        return {
            "requests": {name: dict(row) for name, row in self._requests.items()},
            "attempts": sum(row["attempts"] for row in self._requests.values()),
            "in_flight": self.in_flight,
            "upstreams_known": upstreams_known,
            "upstreams_excluded": upstreams_excluded,
        }
