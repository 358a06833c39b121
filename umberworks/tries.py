"""Recognizes clients' retries, which clients do not mark as such (umberworks/interface.py)."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from umberworks.interface import RequestClass
from umberworks.requests import Request

TIMEOUT_STEP_MS = 50.0  # rounding of the clients' time-outs; the commonest value is that of first tries
# A request with another time-out counts as a retry only if an earlier one went unserved: its client may also
# simply be in a hurry. This many are assumed unserved elsewhere, or before this process started.
ASSUMED_UNSERVED = 4


class RetryDetector:
    """Per class: the time-outs that clients give, and the requests that went unserved."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self._timeouts: dict[str, Counter[int]] = {c.name: Counter() for c in classes}
        self._unserved: dict[str, deque[float]] = {name: deque() for name in self._timeouts}

    def classify(self, request: Request, remaining: float, now: float) -> None:
        """Mark a retry by its time left, and move its aim up: past the first try's aim it is worth little."""
        cls, step = request.cls, round(remaining / TIMEOUT_STEP_MS)
        timeouts, unserved = self._timeouts[cls.name], self._unserved[cls.name]
        if not timeouts:
            unserved.extend([now] * ASSUMED_UNSERVED)
        while unserved and unserved[0] <= now - cls.deadline_ms:
            unserved.popleft()  # past its deadline, its client no longer retries
        timeouts[step] += 1
        if abs(step - max(timeouts, key=timeouts.__getitem__)) > 1 and unserved:
            unserved.popleft()
            request.is_retry = True
            request.aim_at -= max(cls.deadline_ms - remaining, 0.0)

    def on_unserved(self, request: Request, now: float) -> None:
        """Expect a retry of an unserved request; retries themselves are not counted again."""
        if not request.is_retry:
            self._unserved[request.cls.name].append(now)
