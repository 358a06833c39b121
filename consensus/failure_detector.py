"""Computes the leader timeout, which grows when heartbeats have recently been late.

A small accrual failure detector. It records the longest silences that were not the end of a leader: gaps
between heartbeats, and stalls of this process, since whatever keeps one process of the group from running may
affect the others too. On an idle machine both are far below the minimum timeout, which then applies. On a
busy machine the timeout follows them up to a limit.
"""

from __future__ import annotations

import heapq
from collections import deque

# Applied to the second longest recent silence: a single one may come from a machine that was stopped.
TIMEOUT_MARGIN = 1.1
MAX_TIMEOUT_MS = 2_000.0  # Upper limit of the timeout.
RETENTION_MS = 300_000.0
BUCKET_MS = 10_000.0  # Only the longest silence of each bucket is recorded.


class FailureDetector:
    """Derives the leader timeout from recent silences; times are milliseconds of one clock."""

    def __init__(self, min_timeout_ms: float, heartbeat_ms: float) -> None:
        """`min_timeout_ms`: the timeout on an idle machine. `heartbeat_ms`: the heartbeat interval."""
        self._min_timeout_ms, self._heartbeat_ms = min_timeout_ms, heartbeat_ms
        # Start time of each bucket, and the longest silence in it.
        self._buckets: deque[tuple[float, float]] = deque()
        self._leader, self._heartbeat_at = "", 0.0  # The leader of the last heartbeat, and its arrival time.

    def on_heartbeat(self, leader: str, now: float) -> None:
        """Records a heartbeat; `leader` identifies the leader and its term."""
        if leader == self._leader:
            self._record_silence(now - self._heartbeat_at, now)
        self._leader, self._heartbeat_at = leader, now

    def on_stall(self, stall_ms: float, now: float) -> None:
        """Records a stall; as leader, this process would have been silent for an interval longer."""
        self._record_silence(stall_ms + self._heartbeat_ms, now)

    def timeout_ms(self, now: float) -> float:
        """Returns how long a leader may be silent before it is considered lost."""
        while self._buckets and now - self._buckets[0][0] > RETENTION_MS:
            self._buckets.popleft()
        longest = heapq.nlargest(2, (silence for _, silence in self._buckets))
        repeated = longest[1] if len(longest) > 1 else 0.0
        return min(
            max(self._min_timeout_ms, TIMEOUT_MARGIN * repeated), max(self._min_timeout_ms, MAX_TIMEOUT_MS)
        )

    def _record_silence(self, silence_ms: float, now: float) -> None:
        if self._buckets and now - self._buckets[-1][0] < BUCKET_MS:
            started_at, longest = self._buckets[-1]
            self._buckets[-1] = (started_at, max(longest, silence_ms))
        else:
            self._buckets.append((now, silence_ms))
