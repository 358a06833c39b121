"""Membership changes: at most one per view, each agreed on by a majority of the previous members.

A view has `slots` members, and one more while one of them is about to be replaced by a newcomer.

- `Add` adds the newcomer as an extra member, beside one that is leaving or silent, or that is to be exchanged
  for it because the newcomer is in another zone (`spread.py`). Majorities of n and of n + 1 members, which
  differ in one, always share a member. The newcomer therefore votes at once, and losses in between are
  tolerated, even if the silent member returns and whichever members have accepted the view.
- `Remove` removes a member from an enlarged view; the last member moves to its slot.
- `Replace` gives a newcomer a slot that is empty, or whose member is certainly gone because the newcomer runs
  in its place. The slot has no vote in that change; the newcomer votes once the view is in force.
"""

from __future__ import annotations

from dataclasses import dataclass

from consensus.views import Member, View


@dataclass(frozen=True, slots=True)
class NoChange:
    """Keeps the same members."""

    def voters(self, base: View) -> list[int]:
        """Returns the slots of the base view that vote."""
        return [slot for slot, member in enumerate(base.members) if member is not None]

    def members(self, base: View) -> tuple[Member | None, ...]:
        """Returns the members of the next view."""
        return base.members

    def slot_after(self, slot: int) -> int:
        """Returns the slot in the next view of a staying member of the base view."""
        return slot

    def added_member(self, base: View) -> Member | None:
        """Returns the newcomer that must accept the next view before it is in force, if any."""
        return None


@dataclass(frozen=True, slots=True)
class Replace(NoChange):
    """Gives a newcomer a slot whose member is gone."""

    slot: int
    newcomer: Member

    def voters(self, base: View) -> list[int]:
        """All slots of the base but this one: neither its old nor its new member votes."""
        return [slot for slot in NoChange.voters(self, base) if slot != self.slot]

    def members(self, base: View) -> tuple[Member | None, ...]:
        """The members of the base, with the newcomer in the slot."""
        return (*base.members[: self.slot], self.newcomer, *base.members[self.slot + 1 :])


@dataclass(frozen=True, slots=True)
class Add(NoChange):
    """Adds a newcomer as an extra member."""

    newcomer: Member

    def members(self, base: View) -> tuple[Member | None, ...]:
        """The members of the base, followed by the newcomer."""
        return (*base.members, self.newcomer)

    def added_member(self, base: View) -> Member | None:
        """Returns the newcomer, whose acceptance counts."""
        return self.newcomer


@dataclass(frozen=True, slots=True)
class Remove(NoChange):
    """Removes a member from an enlarged view; the last member takes its slot."""

    slot: int
    size: int  # The number of members of the base.

    def voters(self, base: View) -> list[int]:
        """All slots of the base but this one."""
        return [slot for slot in NoChange.voters(self, base) if slot != self.slot]

    def members(self, base: View) -> tuple[Member | None, ...]:
        """The members of the base, with the last one moved to the slot."""
        remaining = list(base.members)
        remaining[self.slot] = remaining[-1]
        return tuple(remaining[:-1])

    def slot_after(self, slot: int) -> int:
        """The last member moves; all others keep their slots."""
        return self.slot if slot == self.size - 1 else slot


Change = NoChange | Replace | Add | Remove
