"""The spread of members over zones and regions, so that a loss that must be tolerated leaves a majority.

Holders need no rule of their own. Their number is the minority of the slots plus one, so a zone loss that
leaves a majority of the members also leaves at least one holder.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from consensus.views import Member


@dataclass(frozen=True, slots=True)
class Spread:
    """How many whole zones, or alternatively whole regions, may be lost at once."""

    zones: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)  # Region by zone.

    def excess(self, members: Sequence[Member | None]) -> int:
        """Returns how many members too many the worst loss takes; 0 if a majority of the slots remains."""
        present = [member for member in members if member is not None]
        tolerated = len(present) - (len(members) // 2 + 1)
        return max(0, self._worst_loss(present) - tolerated)

    def choose(self, first: Member, others: Iterable[Member], count: int) -> list[Member]:
        """Picks `count` members including `first`, spread as widely as possible, in the order given."""
        remaining = list(others)
        order = {member.identity: position for position, member in enumerate(remaining)}
        chosen = [first]
        while remaining and len(chosen) < count:
            chosen_so_far = list(chosen)
            best = min(remaining, key=lambda member: self._shared_domains(member, chosen_so_far))
            remaining.remove(best)
            chosen.append(best)
        return [first, *sorted(chosen[1:], key=lambda member: order[member.identity])]

    def _region(self, member: Member) -> str:
        return self.region_of.get(member.zone, "")

    def _shared_domains(self, member: Member, chosen: Sequence[Member]) -> tuple[int, int]:
        """The number of chosen members in the region and in the zone of a member."""
        in_region = sum(self._region(other) == self._region(member) for other in chosen)
        in_zone = sum(other.zone == member.zone for other in chosen)
        return (in_region if self.regions else 0, in_zone)

    def _worst_loss(self, members: Sequence[Member]) -> int:
        zones = _fullest_count(members, lambda member: member.zone, self.zones)
        return max(zones, _fullest_count(members, self._region, self.regions))


def _fullest_count(members: Iterable[Member], domain_of: Callable[[Member], str], domains: int) -> int:
    """The number of members in the fullest `domains` domains."""
    counts = Counter(map(domain_of, members))
    return sum(count for _, count in counts.most_common(domains))
