"""Ways to choose an upstream, to hold the fleet's own against: each takes the place of its tiers.

All else stays the fleet's: priorities, admission, retries, who reads by itself, and what counts as ready.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from itertools import count

from balancer.peer import Peer
from balancer.prompt import Prompt
from balancer.tiers import DECODE, PREFILL, Group, Tiers, _rendezvous_weight


class _Plain(Tiers):
    """Any of the ready ones, as `_pick` has it."""

    def __init__(self, chance: random.Random, has_place: Callable[[str], bool]) -> None:
        super().__init__(chance, has_place)
        self._turns = count()

    def pick_prefill(self, service: str, prompt: Prompt, avoid: Collection[str], now: float) -> Peer | None:
        """The prefill upstream that reads a prompt."""
        group = self._groups.get((service, PREFILL))
        able = self._eligible(group, avoid, now)
        return self._pick(group, able, prompt, now) if group is not None and able else None

    def pick_decode(
        self,
        service: str,
        prompt: Prompt | None,
        zone: str,
        avoid: Collection[str],
        now: float,
        repeatable: bool = True,
    ) -> Peer | None:
        """The upstream that runs."""
        group = self._groups.get((service, DECODE))
        if group is None or not group.peers:
            group = self._groups.get((service, ""))
        able = self._eligible(group, avoid, now)
        return self._pick(group, able, prompt, now) if group is not None and able else None

    def _pick(self, group: Group, able: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        raise NotImplementedError


class RoundRobin(_Plain):
    """One after the other."""

    def _pick(self, group: Group, able: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        return able[next(self._turns) % len(able)]


class LeastInFlight(_Plain):
    """The one with the fewest of our calls, then at random."""

    def _pick(self, group: Group, able: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        return min(able, key=lambda p: (p.server.in_flight, self._rng.random()))


class TwoChoices(_Plain):
    """The better of two drawn evenly: the plain power of two choices."""

    def _pick(self, group: Group, able: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        drawn = [self._rng.choice(able), self._rng.choice(able)]
        return min(drawn, key=lambda p: (p.server.in_flight, self._rng.random()))


class DrawAlone(_Plain):
    """The design's draw by learned capacity from all ready ones, without what the fleet narrows them to."""

    def _pick(self, group: Group, able: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        return self._draw(group, able, now)


class PrefixOnly(_Plain):
    """Where the subject's shared parts are, or else where hashing puts them; runs by two choices."""

    def _pick(self, group: Group, able: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        if prompt is None or not prompt.prefix:
            drawn = [self._rng.choice(able), self._rng.choice(able)]
            return min(drawn, key=lambda p: p.server.in_flight)
        holders = self.prefix_index.holders(prompt.prefix)
        keepers = [p for p in able if p.entry.id in holders]
        return max(keepers or able, key=lambda p: _rendezvous_weight(prompt.prefix, p.id_bytes))


CHOOSERS: dict[str, Callable[..., Tiers]] = {
    "ours": Tiers,
    "draw alone": DrawAlone,
    "round robin": RoundRobin,
    "least in flight": LeastInFlight,
    "two choices": TwoChoices,
    "prefix only": PrefixOnly,
}
