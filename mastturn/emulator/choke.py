"""Crowded machines that turn slower and stay so (BRIEF, "Servers"; the site file's choke)."""

from __future__ import annotations

import math

from mastturn.emulator.day import ChokeFigures


class Choke:
    """One machine's state: calm, crowded for a while, or choked until it has rested."""

    def __init__(self, figures: ChokeFigures | None) -> None:
        self._figures = figures
        self._crowded_since = self._idle_since = math.inf
        self._choked_at = -math.inf
        self.is_choked = self.was_choked = False

    def factor(self) -> float:
        """How many times slower the machine is."""
        return self._figures.slower if self._figures is not None and self.is_choked else 1.0

    def update(self, running: int, cores: int, now: float) -> bool:
        """Take over how many requests want the cores; whether the state has changed."""
        figures = self._figures
        if figures is None:
            return False
        if self.is_choked:
            self._idle_since = min(self._idle_since, now) if running < figures.below * cores else math.inf
            rested = now - self._idle_since >= figures.rest_ms
            if rested or now - self._choked_at >= figures.most_ms:
                self.is_choked, self._crowded_since = False, math.inf
                return True
            return False
        crowded = running - cores >= figures.waiting_per_core * cores
        self._crowded_since = min(self._crowded_since, now) if crowded else math.inf
        if now - self._crowded_since >= figures.over_ms:
            self.is_choked = self.was_choked = True
            self._choked_at, self._idle_since = now, math.inf
            return True
        return False
