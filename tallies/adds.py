"""The adds of one replica: a grow-only set with the same content whatever the order of merges.

Old adds are folded: their ids are dropped and only a sum per tally remains. A replica folds only what all
others have too (`tallies.replica`), so two replicas that have folded up to the same time hold the same sums.
"""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from tallies.digest_tree import MAX_STAMP, MODULUS, ROOT, DigestTree, encode_hash_sum
from tallies.messages import Add, FoldedAdds, FoldedSum, Snapshot


class AddSet:
    """Adds by tally and id; those before `folded_until` are held as sums only."""

    def __init__(self) -> None:
        self.tree = DigestTree()
        self._ids: dict[str, dict[str, Add]] = {}  # By tally and id.
        self._live_sums: dict[str, int] = {}  # Sums of the unfolded adds, by tally.
        self._folded: dict[str, int] = {}  # Folded sums, by tally.
        self.folded_until = 0
        self._folded_sum = 0, 0  # Count and hash sum.
        self.newest = 0  # The latest stamp seen.
        self.live = 0  # The number of adds that are not folded.

    # ---- reading

    def total(self, tally: str) -> int:
        """Returns the sum of a tally; 0 for an unknown one."""
        return self._folded.get(tally, 0) + self._live_sums.get(tally, 0)

    def find(self, tally: str, id_: str) -> Add | None:
        """Returns the add of this id if it is known and not folded."""
        return self._ids.get(tally, {}).get(id_)

    def has_tally(self, tally: str) -> bool:
        """Whether the tally has any adds."""
        return tally in self._folded or tally in self._ids

    def tally_count(self) -> int:
        """Returns the number of tallies."""
        return len(self._folded.keys() | self._ids.keys())

    def sum(self) -> tuple[int, int]:
        """Returns the number of adds and the sum of their hashes."""
        return self._with_folded(self.tree.sum_of(ROOT))

    def sum_before(self, stamp: int) -> tuple[int, int] | None:
        """Returns count and hash sum of the adds before a time; None for a time before `folded_until`."""
        return None if stamp < self.folded_until else self._with_folded(self.tree.sum_before(stamp))

    def folded(self) -> tuple[int, int]:
        """Returns count and hash sum of the folded adds."""
        return self._folded_sum

    def _with_folded(self, live: tuple[int, int]) -> tuple[int, int]:
        count, total = self._folded_sum
        return count + live[0], (total + live[1]) % MODULUS

    # ---- changing

    def merge(self, adds: Iterable[Add]) -> list[Add]:
        """Merges adds and returns those that changed the set.

        If an id arrives with two stamps, the earlier one is kept.
        """
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
        """Replaces the adds before a time by sums; the time must be a multiple of the leaf span."""
        self._folded_sum = self._with_folded(self.tree.sum_before(until))
        for add in self.tree.adds_before(until):
            self._drop(add)
            self._folded[add.tally] = self._folded.get(add.tally, 0) + add.amount
        self.folded_until = until

    def adopt(self, message: FoldedAdds) -> None:
        """Replaces this replica's adds before a time by what another replica has folded."""
        dropped = self.tree.adds_before(message.until)
        for add in dropped:
            self._drop(add)
        logger.warning(
            "event=tallies_adopted until={} folded={} dropped={}", message.until, message.count, len(dropped)
        )
        self._set_folded(message.until, message.count, message.digest, message.tallies)

    def _set_folded(self, until: int, count: int, digest: bytes, tallies: tuple[FoldedSum, ...]) -> None:
        self._folded = {entry.tally: entry.sum for entry in tallies}
        self._folded_sum = count, int.from_bytes(digest) % MODULUS
        self.folded_until = until
        self.newest = max(self.newest, until)

    # ---- messages and storage

    def folded_message(self) -> FoldedAdds:
        """Returns the folded sums as a message for another replica."""
        count, total = self._folded_sum
        return FoldedAdds(self.folded_until, count, encode_hash_sum(total), self._folded_entries())

    def _folded_entries(self) -> tuple[FoldedSum, ...]:
        return tuple(FoldedSum(tally, sum_) for tally, sum_ in sorted(self._folded.items()))

    def state(self) -> Snapshot:
        """Returns the complete state for the disk."""
        adds = tuple(add for ids in self._ids.values() for add in ids.values())
        count, total = self._folded_sum
        return Snapshot(self.folded_until, count, encode_hash_sum(total), self._folded_entries(), adds)

    def load(self, state: Snapshot) -> None:
        """Initializes the set from the state on disk."""
        self._set_folded(state.until, state.count, state.digest, state.tallies)
        self.merge(state.adds)
