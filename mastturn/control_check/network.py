"""The network of simulated time: delay, loss, repeats, other orders, cuts in one direction or both."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from consensus.messages import Message


@dataclass(frozen=True, slots=True)
class LinkProfile:
    """How a message travels, in milliseconds and shares of one."""

    delay_ms: float = 1.4
    slow_share: float = 0.01  # of messages that take up to `slow_ms`
    slow_ms: float = 200.0
    lost_share: float = 0.003
    repeated_share: float = 0.005
    held_share: float = 0.3  # of messages into a cut that come out of it later


class Network:
    """Carries messages between IPs; a cut is a pair (from, to)."""

    def __init__(
        self,
        air: LinkProfile,
        rng: random.Random,
        later: Callable[[float, Callable[[], None]], None],
        deliver: Callable[[str, str, Message], None],
    ) -> None:
        self._air, self._random, self._later, self._deliver = air, rng, later, deliver
        self.cuts: set[tuple[str, str]] = set()
        self._held: list[tuple[str, str, Message]] = []
        self.sent = 0

    def transmit(self, sender: str, ip: str, message: Message) -> None:
        """Send one message on its way."""
        air, rng = self._air, self._random
        self.sent += 1
        if (sender, ip) in self.cuts:
            if rng.random() < air.held_share:
                self._held.append((sender, ip, message))
            return
        luck = rng.random()
        if luck < air.lost_share:
            return
        times = 2 if luck < air.lost_share + air.repeated_share else 1
        for _ in range(times):
            delay = air.delay_ms * rng.uniform(0.7, 1.6)
            if rng.random() < air.slow_share:
                delay += rng.uniform(0.0, air.slow_ms)
            self._later(delay, lambda: self._deliver(sender, ip, message))

    def cut(self, pairs: set[tuple[str, str]]) -> None:
        """Nothing goes over these any more."""
        self.cuts |= pairs

    def join(self, pairs: set[tuple[str, str]]) -> None:
        """Everything goes over these again; what was held up follows."""
        self.cuts -= pairs
        held, self._held = self._held, []
        for sender, ip, message in held:
            if (sender, ip) in self.cuts:
                self._held.append((sender, ip, message))
            else:
                self.transmit(sender, ip, message)
