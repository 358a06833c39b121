"""Changes of membership: one a view, each agreed on by a majority of the members before it.

A view has `slots` members, or one more while one of them is about to give its place to a newcomer.

- `Add` makes the newcomer one member more, beside one that leaves or is silent, or is to be exchanged for it
  as it stands in another zone (`spread.py`). Majorities of n and of n + 1
  members, which differ in one, always share somebody, so the newcomer votes at once, and losses in between
  are borne: also if the silent one comes back, and whoever may have accepted the view or not.
- `Remove` takes one out again; the last member moves to its slot.
- `Replace` gives a newcomer a slot that nobody has, or whose occupant is gone for certain, as the newcomer
  runs in its place. The slot has no say in that change, and the newcomer votes once the view is in force.
"""

from __future__ import annotations

from dataclasses import dataclass

from consensus.views import Member, View


@dataclass(frozen=True, slots=True)
class NoChange:
    """The same members."""

    def voters(self, base: View) -> list[int]:
        """The slots of the base that are asked and counted."""
        return [slot for slot, member in enumerate(base.members) if member is not None]

    def members(self, base: View) -> tuple[Member | None, ...]:
        """The members of the next view."""
        return base.members

    def slot_after(self, slot: int) -> int:
        """The slot in the next view of whoever has this one in the base and stays."""
        return slot

    def added_member(self, base: View) -> Member | None:
        """The newcomer that accepts the next view before it is in force, if there is one."""
        return None


@dataclass(frozen=True, slots=True)
class Replace(NoChange):
    """A newcomer takes a slot that nobody has any more."""

    slot: int
    newcomer: Member

    def voters(self, base: View) -> list[int]:
        """As the base, without the slot: neither its old nor its new occupant has a say."""
        return [slot for slot in NoChange.voters(self, base) if slot != self.slot]

    def members(self, base: View) -> tuple[Member | None, ...]:
        """As the base, with the newcomer in the slot."""
        return (*base.members[: self.slot], self.newcomer, *base.members[self.slot + 1 :])


@dataclass(frozen=True, slots=True)
class Add(NoChange):
    """A newcomer becomes one member more."""

    newcomer: Member

    def members(self, base: View) -> tuple[Member | None, ...]:
        """As the base, and the newcomer behind."""
        return (*base.members, self.newcomer)

    def added_member(self, base: View) -> Member | None:
        """The newcomer: it counts among those who accept."""
        return self.newcomer


@dataclass(frozen=True, slots=True)
class Remove(NoChange):
    """One member of a view that has one more goes; the last one takes its slot."""

    slot: int
    size: int  # how many members the base has

    def voters(self, base: View) -> list[int]:
        """As the base, without the slot."""
        return [slot for slot in NoChange.voters(self, base) if slot != self.slot]

    def members(self, base: View) -> tuple[Member | None, ...]:
        """As the base, with the last member in the slot."""
        left = list(base.members)
        left[self.slot] = left[-1]
        return tuple(left[:-1])

    def slot_after(self, slot: int) -> int:
        """The last member moves."""
        return self.slot if slot == self.size - 1 else slot


Change = NoChange | Replace | Add | Remove
