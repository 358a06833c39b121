"""A steady clock that stands still while its process does, for want of a processor or stopped by a signal."""

from __future__ import annotations

from collections.abc import Callable

MIN_STALL_MS = 100.0  # between two looks at the clock; a process that runs looks every 30 ms
MAX_STALL_MS = 2_000.0  # who stood still for longer was away: others may long have taken its place


class AwakeClock:
    """Milliseconds in which the process ran.

    Whoever wakes has not heard from others for as long as it slept, and must not take them for silent: what
    they have said lies in its sockets. So short stalls don't count for whatever waits; long ones count whole.
    """

    def __init__(self, stalled: Callable[[float, float], None]) -> None:
        """`stalled`: the process stood still for so long (ms), and what time it is now by this clock."""
        self._on_stall = stalled
        self._last_read: float | None = None  # at the last look
        self._now = 0.0

    def read(self, steady: float) -> float:
        """The time by this clock, of a time of the steady clock."""
        if self._last_read is None:
            self._last_read = self._now = steady
        gap, self._last_read = steady - self._last_read, steady
        if MIN_STALL_MS < gap <= MAX_STALL_MS:
            self._on_stall(gap, self._now)
        else:
            self._now += gap
        return self._now
