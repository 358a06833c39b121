"""The adds that one replica has: a set that only grows, and the same wherever it is merged in whatever order.

Old adds are folded: their ids are dropped, and of each tally a number stays. What is folded on two replicas
up to the same time is the same, since a replica folds only what all others have too (`tallies.replica`).
"""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from tallies.messages import Add, Folded, FoldedAdds, State
from tallies.ranges import MAX_STAMP, MODULUS, ROOT, DigestTree, encode_hash_sum


class AddSet:
    """Adds by tally and id, those before `folded_until` as numbers only."""

    def __init__(self) -> None:
        self.tree = DigestTree()
        self._ids: dict[str, dict[str, Add]] = {}  # by tally and id
        self._live_sums: dict[str, int] = {}  # by tally, of those
        self._folded: dict[str, int] = {}  # by tally
        self.folded_until = 0
        self._folded_sum = 0, 0  # adds and the sum of their hashes
        self.newest = 0  # the latest stamp that was seen
        self.live = 0  # adds whose ids are kept

    # ---- reading

    def total(self, tally: str) -> int:
        """The sum of a tally; 0 for one that nobody has added to."""
        return self._folded.get(tally, 0) + self._live_sums.get(tally, 0)

    def find(self, tally: str, id_: str) -> Add | None:
        """The add of this id, if it is known and not folded."""
        return self._ids.get(tally, {}).get(id_)

    def has_tally(self, tally: str) -> bool:
        """Whether anything was added to it."""
        return tally in self._folded or tally in self._ids

    def tally_count(self) -> int:
        """How many were added to."""
        return len(self._folded.keys() | self._ids.keys())

    def sum(self) -> tuple[int, int]:
        """How many adds there are, and the sum of their hashes."""
        return self._with_folded(self.tree.sum_of(ROOT))

    def sum_before(self, stamp: int) -> tuple[int, int] | None:
        """The same before a time; None for a time within what is folded."""
        return None if stamp < self.folded_until else self._with_folded(self.tree.sum_before(stamp))

    def folded(self) -> tuple[int, int]:
        """The same of what is folded."""
        return self._folded_sum

    def _with_folded(self, held: tuple[int, int]) -> tuple[int, int]:
        count, total = self._folded_sum
        return count + held[0], (total + held[1]) % MODULUS

    # ---- changing

    def merge(self, adds: Iterable[Add]) -> list[Add]:
        """Take adds in; those that changed anything. Of one id with two stamps the earlier one holds."""
        changed = []
        for add in adds:
            if not self.folded_until <= add.stamp <= MAX_STAMP:
                logger.warning(
                    "event=tally_add_outside stamp={} folded_until={}", add.stamp, self.folded_until
                )
                continue
            known = self.find(add.tally, add.id)
            if known is not None:
                if (known.stamp, known.amount) <= (add.stamp, add.amount):
                    continue
                self._drop(known)
            self._ids.setdefault(add.tally, {})[add.id] = add
            self._live_sums[add.tally] = self._live_sums.get(add.tally, 0) + add.amount
            self.tree.insert(add)
            self.live += 1
            self.newest = max(self.newest, add.stamp)
            changed.append(add)
        return changed

    def _drop(self, add: Add) -> None:
        ids = self._ids[add.tally]
        del ids[add.id]
        self._live_sums[add.tally] -= add.amount
        if not ids:
            del self._ids[add.tally], self._live_sums[add.tally]
        self.tree.remove(add)
        self.live -= 1

    def fold(self, until: int) -> None:
        """Keep only numbers of what lies before a time that is a whole number of leaves."""
        self._folded_sum = self._with_folded(self.tree.sum_before(until))
        for add in self.tree.adds_before(until):
            self._drop(add)
            self._folded[add.tally] = self._folded.get(add.tally, 0) + add.amount
        self.folded_until = until

    def adopt(self, told: FoldedAdds) -> None:
        """Take over what another has folded, in the place of what we have of that time."""
        dropped = self.tree.adds_before(told.until)
        for add in dropped:
            self._drop(add)
        logger.warning(
            "event=tallies_adopted until={} folded={} dropped={}", told.until, told.count, len(dropped)
        )
        self._set_folded(told.until, told.count, told.digest, told.tallies)

    def _set_folded(self, until: int, count: int, digest: bytes, tallies: tuple[Folded, ...]) -> None:
        self._folded = {entry.tally: entry.sum for entry in tallies}
        self._folded_sum = count, int.from_bytes(digest) % MODULUS
        self.folded_until = until
        self.newest = max(self.newest, until)

    # ---- to others and to the disk

    def folded_message(self) -> FoldedAdds:
        """What is folded, for another replica."""
        count, total = self._folded_sum
        return FoldedAdds(self.folded_until, count, encode_hash_sum(total), self._folded_entries())

    def _folded_entries(self) -> tuple[Folded, ...]:
        return tuple(Folded(tally, sum_) for tally, sum_ in sorted(self._folded.items()))

    def state(self) -> State:
        """Everything, for the disk."""
        adds = tuple(add for ids in self._ids.values() for add in ids.values())
        count, total = self._folded_sum
        return State(self.folded_until, count, encode_hash_sum(total), self._folded_entries(), adds)

    def load(self, state: State) -> None:
        """Begin with what the disk has."""
        self._set_folded(state.until, state.count, state.digest, state.tallies)
        self.merge(state.adds)
