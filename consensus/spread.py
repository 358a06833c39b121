"""How members are spread over zones and regions, so that what may be lost at once leaves a majority.

Holders need no rule of their own: they are one more than the minority of the slots, so where the loss of a
zone leaves a majority of the members, it leaves one of the holders as well.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from consensus.views import Member


@dataclass(frozen=True, slots=True)
class Spread:
    """How many whole zones, or else whole regions, may be lost at once."""

    zones: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)  # by zone

    def excess(self, members: Sequence[Member | None]) -> int:
        """How many members too many the worst such loss takes; 0 where a majority of the slots is left."""
        there = [member for member in members if member is not None]
        may_go = len(there) - (len(members) // 2 + 1)
        return max(0, self._worst_loss(there) - may_go)

    def choose(self, first: Member, others: Iterable[Member], count: int) -> list[Member]:
        """So many members, the first among them, as far apart as can be; in the order given."""
        waiting = list(others)
        order = {member.identity: place for place, member in enumerate(waiting)}
        chosen = [first]
        while waiting and len(chosen) < count:
            taken = list(chosen)
            nearest = min(waiting, key=lambda member: self._shared_domains(member, taken))
            waiting.remove(nearest)
            chosen.append(nearest)
        return [first, *sorted(chosen[1:], key=lambda member: order[member.identity])]

    def _region(self, member: Member) -> str:
        return self.region_of.get(member.zone, "")

    def _shared_domains(self, member: Member, chosen: Sequence[Member]) -> tuple[int, int]:
        """How many of those chosen share the region and the zone of a member."""
        in_region = sum(self._region(other) == self._region(member) for other in chosen)
        in_zone = sum(other.zone == member.zone for other in chosen)
        return (in_region if self.regions else 0, in_zone)

    def _worst_loss(self, members: Sequence[Member]) -> int:
        zones = _most_in(members, lambda member: member.zone, self.zones)
        return max(zones, _most_in(members, self._region, self.regions))


def _most_in(members: Iterable[Member], domain_of: Callable[[Member], str], domains: int) -> int:
    """How many members the fullest domains hold, so many of them."""
    counts = Counter(map(domain_of, members))
    return sum(count for _, count in counts.most_common(domains))
