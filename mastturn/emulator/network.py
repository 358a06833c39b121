"""The network between zones (PROTOCOL, "The network"): delays, cut-off zones, lost answers, resets.

A message that crosses a cut is gone, and nobody is told: open connections stay open and silent.
"""

from __future__ import annotations

from mastturn.emulator.chance import Stream
from mastturn.emulator.day import NetworkFigures


class Network:
    """Delays of single messages, and who can't reach whom."""

    def __init__(self, figures: NetworkFigures, chance: Stream) -> None:
        self._figures, self._chance = figures, chance
        self.cut_off = set[str]()  # zones that reach themselves alone
        self.answers_lost_share, self.resets_share = 0.0, 0.0

    def delay_ms(self, here: str, there: str) -> float:
        """How long one message takes one way."""
        figures = self._figures
        base = figures.same_zone_ms if here == there else figures.cross_zone_ms
        return base * (1.0 + figures.jitter * self._chance.uniform())

    def client_delay_ms(self) -> float:
        """How long a message takes between a client and a balancer."""
        return self._figures.client_ms * (1.0 + self._figures.jitter * self._chance.uniform())

    def is_cut(self, here: str, there: str) -> bool:
        """Whether nothing passes between two zones."""
        return here != there and bool(self.cut_off) and (here in self.cut_off or there in self.cut_off)

    def loses_answer(self) -> bool:
        """Whether this answer is lost on its way."""
        return self.answers_lost_share > 0 and self._chance.uniform() < self.answers_lost_share

    def resets(self) -> bool:
        """Whether this request's connection is reset under it."""
        return self.resets_share > 0 and self._chance.uniform() < self.resets_share
