"""Simulates the network between zones (PROTOCOL, "The network"): delays, partitions, lost answers, resets.

A message that crosses a partition is dropped without notice: open connections stay open and silent.
"""

from __future__ import annotations

from mastturn.emulator.chance import Stream
from mastturn.emulator.day import NetworkParameters


class Network:
    """Message delays, zone cuts and loss."""

    def __init__(self, parameters: NetworkParameters, rng: Stream) -> None:
        self._parameters, self._rng = parameters, rng
        self.cut_off = set[str]()  # zones that cannot reach other zones
        self.answers_lost_share, self.resets_share = 0.0, 0.0

    def delay_ms(self, here: str, there: str) -> float:
        """Return the one-way delay of a message."""
        parameters = self._parameters
        base = parameters.same_zone_ms if here == there else parameters.cross_zone_ms
        return base * (1.0 + parameters.jitter * self._rng.uniform())

    def client_delay_ms(self) -> float:
        """Return the one-way delay between a client and a balancer."""
        return self._parameters.client_ms * (1.0 + self._parameters.jitter * self._rng.uniform())

    def is_cut(self, here: str, there: str) -> bool:
        """Whether the network between two zones is cut."""
        return here != there and bool(self.cut_off) and (here in self.cut_off or there in self.cut_off)

    def loses_answer(self) -> bool:
        """Draw whether a response is lost."""
        return self.answers_lost_share > 0 and self._rng.uniform() < self.answers_lost_share

    def resets(self) -> bool:
        """Draw whether a request's connection is reset."""
        return self.resets_share > 0 and self._rng.uniform() < self.resets_share
