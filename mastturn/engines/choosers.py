"""Baseline upstream choosers to compare the product's own with; each replaces its `Tiers`.

Priorities, admission, retries, prefill on decode upstreams and readiness stay the product's.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from itertools import count

from balancer.peer import Peer
from balancer.prompt import Prompt
from balancer.tiers import DECODE, PREFILL, Group, Tiers, _rendezvous_weight


class _FlatTiers(Tiers):
    """Chooses among all ready upstreams with `_pick`."""

    def __init__(self, rng: random.Random, has_place: Callable[[str], bool]) -> None:
        super().__init__(rng, has_place)
        self._counter = count()

    def pick_prefill(self, service: str, prompt: Prompt, avoid: Collection[str], now: float) -> Peer | None:
        """Choose the upstream that prefills a prompt; None if none is eligible."""
        group = self._groups.get((service, PREFILL))
        eligible = self._eligible(group, avoid, now)
        return self._pick(group, eligible, prompt, now) if group is not None and eligible else None

    def pick_decode(
        self,
        service: str,
        prompt: Prompt | None,
        zone: str,
        avoid: Collection[str],
        now: float,
        repeatable: bool = True,
    ) -> Peer | None:
        """Choose the upstream that decodes; None if none is eligible."""
        group = self._groups.get((service, DECODE))
        if group is None or not group.peers:
            group = self._groups.get((service, ""))
        eligible = self._eligible(group, avoid, now)
        return self._pick(group, eligible, prompt, now) if group is not None and eligible else None

    def _pick(self, group: Group, eligible: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        raise NotImplementedError


class RoundRobin(_FlatTiers):
    """Round robin."""

    def _pick(self, group: Group, eligible: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        return eligible[next(self._counter) % len(eligible)]


class LeastInFlight(_FlatTiers):
    """The upstream with the fewest calls of this balancer in flight; ties at random."""

    def _pick(self, group: Group, eligible: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        return min(eligible, key=lambda p: (p.server.in_flight, self._rng.random()))


class TwoChoices(_FlatTiers):
    """Power of two choices: the less loaded of two uniform draws."""

    def _pick(self, group: Group, eligible: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        drawn = [self._rng.choice(eligible), self._rng.choice(eligible)]
        return min(drawn, key=lambda p: (p.server.in_flight, self._rng.random()))


class DrawAlone(_FlatTiers):
    """The product's draw by learned capacity, from all ready upstreams instead of its narrowed set."""

    def _pick(self, group: Group, eligible: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        return self._draw(group, eligible, now)


class PrefixOnly(_FlatTiers):
    """The holder of the prompt's cached prefix, else by rendezvous hashing; decode by two choices."""

    def _pick(self, group: Group, eligible: list[Peer], prompt: Prompt | None, now: float) -> Peer:
        if prompt is None or not prompt.prefix:
            drawn = [self._rng.choice(eligible), self._rng.choice(eligible)]
            return min(drawn, key=lambda p: p.server.in_flight)
        holders = self.prefix_index.holders(prompt.prefix)
        cached = [p for p in eligible if p.entry.id in holders]
        return max(cached or eligible, key=lambda p: _rendezvous_weight(prompt.prefix, p.id_bytes))


CHOOSERS: dict[str, Callable[..., Tiers]] = {
    "ours": Tiers,
    "draw alone": DrawAlone,
    "round robin": RoundRobin,
    "least in flight": LeastInFlight,
    "two choices": TwoChoices,
    "prefix only": PrefixOnly,
}
