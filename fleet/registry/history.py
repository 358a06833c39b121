"""A log of changes with revisions: the whole list, or what has changed after a revision.

A revision is a whole number below 2^53 that only grows. Its lowest digits (of base `SLOTS`) name the
keeper of the log, so that a number of another keeper's is never taken for one of ours. The rest counts up
from the Unix time at which the keeper started, 2^18 numbers for each second: a keeper that lost its last
changes (an old snapshot, a new disk) never uses numbers again that it may have given out before. What lies
between the last number it remembers and the first of its new life is a hole. Whoever asks for changes
after a number in a hole, after one that the log no longer reaches, or after another keeper's number is
answered with the whole list; after a number from before the hole, with the changes.

Invariants (tests/test_registry.py holds them over random orders):
- revisions grow with each change and never go back, also over restarts from an older state;
- `after(n)` with the changes applied to what n stood for gives the list as it is now, or `after(n)` is
  whole;
- no answer says "nothing changed" to somebody who knows less than the list.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from fleet.registry.entries import MAX_SAFE_INTEGER, Entry, Key

SLOTS = 16
REVISIONS_PER_SECOND = 2**18
MAX_CLOCK_AHEAD_S = 86_400  # by which a number may lie ahead of our clock and still be one of ours


@dataclass(frozen=True, slots=True)
class Changes:
    """An answer: `whole` lists hold what there is, others what changed, gone entries included.

    `at`: of each entry the revision of its change, where that is told.
    """

    revision: int
    is_full: bool
    entries: tuple[Entry, ...]
    revisions: tuple[int, ...] = ()

    def for_list(self, list_name: str) -> Changes:
        """What a reader of one list is told: of a whole list, only what there is."""
        listed = [
            (entry, at)
            for entry, at in zip(self.entries, self.revisions, strict=True)
            if entry.list == list_name and not (self.is_full and entry.is_gone)
        ]
        return Changes(
            self.revision, self.is_full, tuple(e for e, _ in listed), tuple(at for _, at in listed)
        )


@dataclass(frozen=True, slots=True)
class HistoryState:
    """What outlives a process: last revision, holes, and each entry with its revision."""

    revision: int = 0
    floor: int = 0
    holes: tuple[tuple[int, int], ...] = ()
    entries: tuple[tuple[int, Entry], ...] = ()


class History:
    """Every entry at its latest, gone ones included until they are forgotten."""

    def __init__(self, slot: int, start_s: float, state: HistoryState | None = None) -> None:
        """`slot`: of the keeper, 0 to SLOTS - 1; `start_s`: Unix time of this start."""
        if not 0 <= slot < SLOTS:
            raise ValueError(f"slot: allowed is 0 to {SLOTS - 1}")
        state = state or HistoryState()
        self._slot, self._start_s = slot, start_s
        self._entries: dict[Key, Entry] = {}
        self._revisions: dict[Key, int] = {}  # the revision of an entry's latest change
        self._log: list[tuple[int, Key]] = []  # ascending; an older change of an entry is passed over
        self._floor = state.floor  # the log holds what came after it
        self._holes = list(state.holes)
        self.revision = state.revision
        for revision, entry in sorted(state.entries, key=lambda item: item[0]):
            self._entries[entry.key], self._revisions[entry.key] = entry, revision
            self._log.append((revision, entry.key))
        self._advance_to(max(int(start_s * REVISIONS_PER_SECOND), state.revision // SLOTS + 1))
        if not state.revision:
            self._floor = self.revision  # nobody knows an empty list of ours

    def _advance_to(self, tick: int) -> None:
        """Go on from a later number; those in between were never ours to promise anything of."""
        to = tick * SLOTS + self._slot
        if to > self.revision:
            self._holes.append((self.revision, to))
            self._holes = self._holes[-64:]
            if len(self._holes) == 64:
                self._floor = max(self._floor, self._holes[0][1])
            self.revision = to

    @property
    def epoch(self) -> int:
        """The first revision of this life: changes after an earlier one may have been lost."""
        return self._holes[-1][1] if self._holes else 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: Key) -> Entry | None:
        """The entry as it stands, gone ones included."""
        return self._entries.get(key)

    def revision_of(self, key: Key) -> int:
        """The revision of an entry's latest change."""
        return self._revisions[key]

    def entries(self) -> Iterable[Entry]:
        """All, gone ones included."""
        return self._entries.values()

    def put(self, entry: Entry) -> None:
        """Take a change; it gets the next revision."""
        self.revision += SLOTS
        self._entries[entry.key], self._revisions[entry.key] = entry, self.revision
        self._log.append((self.revision, entry.key))
        if len(self._log) > 4 * len(self._entries) + 1024:
            self._log = [(r, k) for r, k in self._log if self._revisions.get(k) == r]

    def purge(self, key: Key) -> None:
        """Drop a gone entry that everybody has heard of."""
        entry = self._entries[key]
        if not entry.is_gone:
            raise ValueError(f"{entry.id}: is {entry.phase}, not gone")
        self._floor = max(self._floor, self._revisions.pop(key))
        del self._entries[key]

    def compact(self) -> None:
        """Keep no changes: whoever is not up to date is answered with the whole list."""
        self._log, self._floor = [], self.revision

    def can_resume_from(self, after: int) -> bool:
        """Whether changes after that number can be told: ours, in the log's reach and in no hole."""
        if after % SLOTS != self._slot or not self._floor <= after <= self.revision:
            return False
        return not any(low < after < high for low, high in self._holes)

    def is_lost_revision(self, after: int) -> bool:
        """Whether a number looks like one that an earlier life of ours gave out and we have lost."""
        limit = (int(self._start_s) + MAX_CLOCK_AHEAD_S) * REVISIONS_PER_SECOND * SLOTS
        return after % SLOTS == self._slot and self.revision < after < limit

    def advance_past(self, after: int) -> None:
        """Somebody holds a later number of ours: nothing that we tell may seem older than that."""
        if not 0 <= after <= MAX_SAFE_INTEGER:
            raise ValueError("after: allowed is 0 to 2^53 - 1")
        self._advance_to(after // SLOTS + 1)

    def changes_since(self, revision: int | None) -> Changes:
        """What to tell somebody who knows the list as of `revision`; None: nothing is known."""
        if revision is None or not self.can_resume_from(revision):
            keys, is_full = list(self._entries), True
        else:
            begin = bisect_right(self._log, revision, key=lambda item: item[0])
            keys, is_full = [k for r, k in self._log[begin:] if self._revisions.get(k) == r], False
        entries = tuple(self._entries[key] for key in keys)
        return Changes(self.revision, is_full, entries, tuple(self._revisions[key] for key in keys))

    def state_without_entries(self) -> HistoryState:
        """What has to be kept to go on from here, without the entries."""
        return HistoryState(self.revision, self._floor, tuple(self._holes))

    def state(self) -> HistoryState:
        """What has to be kept to go on from here."""
        entries = tuple((self._revisions[key], entry) for key, entry in self._entries.items())
        return HistoryState(self.revision, self._floor, tuple(self._holes), entries)
