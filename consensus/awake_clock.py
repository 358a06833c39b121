"""A monotonic clock that excludes short periods in which its process did not run."""

from __future__ import annotations

from collections.abc import Callable

# Gap between two reads that counts as a stall; a running process reads the clock every 30 ms.
MIN_STALL_MS = 100.0
MAX_STALL_MS = 2_000.0  # After a longer stall another process may have taken over long ago.


class AwakeClock:
    """A clock of the milliseconds in which the process ran.

    A process that resumes after a stall has received nothing for the length of the stall, yet its peers were
    not silent: their messages are waiting in its sockets. Short stalls, whether for lack of CPU time or
    through a stop signal, are therefore left out of all time-outs. Stalls longer than `MAX_STALL_MS` count in
    full.
    """

    def __init__(self, on_stall: Callable[[float, float], None]) -> None:
        """`on_stall` is called with the length of each short stall (ms) and this clock's current time."""
        self._on_stall = on_stall
        self._last_read: float | None = None  # Monotonic time of the last read.
        self._now = 0.0

    def read(self, monotonic_ms: float) -> float:
        """Returns the time of this clock, in ms, for a time of the monotonic clock."""
        if self._last_read is None:
            self._last_read = self._now = monotonic_ms
        gap, self._last_read = monotonic_ms - self._last_read, monotonic_ms
        if MIN_STALL_MS < gap <= MAX_STALL_MS:
            self._on_stall(gap, self._now)
        else:
            self._now += gap
        return self._now
