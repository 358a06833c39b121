"""How long a leader may be silent before it is taken for lost: longer where silences were long of late.

An accrual detector in the small: it keeps the longest silences that were not the end of a leader (pauses
between its beats, and the time for which this process itself stood still, since whatever keeps one
process of the core from running may keep the others from it too). On a quiet machine both are far below
the usual time, which then holds; on a busy one it follows them up to a bound.
"""

from __future__ import annotations

import heapq
from collections import deque

TIMEOUT_MARGIN = (
    1.1  # times the second longest silence of late: one alone may have been a machine that was stopped
)
MAX_TIMEOUT_MS = 2_000.0  # no leader is waited for longer, however long silences were
RETENTION_MS = 300_000.0
BUCKET_MS = 10_000.0  # of each such span the longest silence is kept


class FailureDetector:
    """The longest silences of late; milliseconds of one clock."""

    def __init__(self, usual_ms: float, beat_ms: float) -> None:
        """`usual_ms`: the time that holds on a quiet machine; `beat_ms`: from one beat to the next."""
        self._min_timeout_ms, self._heartbeat_ms = usual_ms, beat_ms
        self._buckets: deque[tuple[float, float]] = deque()  # when each began, and the longest silence in it
        self._leader, self._heartbeat_at = "", 0.0  # who beat last, and when

    def on_heartbeat(self, leader: str, now: float) -> None:
        """A leader has beaten: `leader` names it and its term."""
        if leader == self._leader:
            self._record_silence(now - self._heartbeat_at, now)
        self._leader, self._heartbeat_at = leader, now

    def on_stall(self, stall_ms: float, now: float) -> None:
        """This process stood still for so long: as leader it would have been silent for a beat more."""
        self._record_silence(stall_ms + self._heartbeat_ms, now)

    def timeout_ms(self, now: float) -> float:
        """A leader that is silent for so long is taken for lost."""
        while self._buckets and now - self._buckets[0][0] > RETENTION_MS:
            self._buckets.popleft()
        longest = heapq.nlargest(2, (silence for _, silence in self._buckets))
        repeated = longest[1] if len(longest) > 1 else 0.0
        return min(
            max(self._min_timeout_ms, TIMEOUT_MARGIN * repeated), max(self._min_timeout_ms, MAX_TIMEOUT_MS)
        )

    def _record_silence(self, silence_ms: float, now: float) -> None:
        if self._buckets and now - self._buckets[-1][0] < BUCKET_MS:
            began, longest = self._buckets[-1]
            self._buckets[-1] = (began, max(longest, silence_ms))
        else:
            self._buckets.append((now, silence_ms))
