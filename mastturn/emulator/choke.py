"""Models machines that stay slow after sustained crowding (BRIEF, "Servers"; the site file's `choke`)."""

from __future__ import annotations

import math

from mastturn.emulator.day import ChokeParameters


class Choke:
    """Choke state of one machine: normal, crowded, or choked until its load has been low for long enough."""

    def __init__(self, parameters: ChokeParameters | None) -> None:
        self._parameters = parameters
        self._crowded_since = self._idle_since = math.inf
        self._choked_at = -math.inf
        self.is_choked = self.was_choked = False

    def factor(self) -> float:
        """Return the slowdown factor of the machine; 1 if it is not choked."""
        return self._parameters.slower if self._parameters is not None and self.is_choked else 1.0

    def update(self, running: int, cores: int, now: float) -> bool:
        """Update from the number of runnable requests; return whether the choke state changed."""
        parameters = self._parameters
        if parameters is None:
            return False
        if self.is_choked:
            self._idle_since = min(self._idle_since, now) if running < parameters.below * cores else math.inf
            rested = now - self._idle_since >= parameters.rest_ms
            if rested or now - self._choked_at >= parameters.most_ms:
                self.is_choked, self._crowded_since = False, math.inf
                return True
            return False
        crowded = running - cores >= parameters.waiting_per_core * cores
        self._crowded_since = min(self._crowded_since, now) if crowded else math.inf
        if now - self._crowded_since >= parameters.over_ms:
            self.is_choked = self.was_choked = True
            self._choked_at, self._idle_since = now, math.inf
            return True
        return False
