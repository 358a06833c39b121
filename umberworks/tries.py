"""Which requests are later tries of what went unserved, as clients don't say (umberworks/interface.py)."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from umberworks.interface import RequestClass
from umberworks.requests import Request

TRY_STEP_MS = 50.0  # tries that give this much the same time are alike; the commonest are first tries
# Any other is a later try only if something has gone unserved that it can be the later try of: a caller may
# as well be in a hurry. So many go unserved elsewhere, or did before our start, that come here again.
UNSERVED_UNSEEN = 4


class Tries:
    """How much time clients give, and what they have been refused, for each class."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self._times: dict[str, Counter[int]] = {c.name: Counter() for c in classes}
        self._unserved: dict[str, deque[float]] = {name: deque() for name in self._times}

    def mark(self, request: Request, remaining: float, now: float) -> None:
        """Move up the aim of a later try, told by its time left: past the first aim it is worth little."""
        cls, step = request.cls, round(remaining / TRY_STEP_MS)
        times, unserved = self._times[cls.name], self._unserved[cls.name]
        if not times:
            unserved.extend([now] * UNSERVED_UNSEEN)
        while unserved and unserved[0] <= now - cls.deadline_ms:
            unserved.popleft()  # whoever waited for that has long since gone
        times[step] += 1
        if abs(step - max(times, key=times.__getitem__)) > 1 and unserved:
            unserved.popleft()
            request.later = True
            request.aim_at -= max(cls.deadline_ms - remaining, 0.0)

    def unserved(self, request: Request, now: float) -> None:
        """Its caller may come again; what came again already is not counted a second time."""
        if not request.later:
            self._unserved[request.cls.name].append(now)
