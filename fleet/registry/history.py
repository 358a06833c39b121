"""A change log with revisions that answers with the full list or with the changes since a revision.

A revision is an integer below 2^53 that only grows. Its lowest digit (in base `SLOTS`) identifies the owner
of the log, so that a revision of another owner is never mistaken for one of this log. The rest counts up
from the Unix time at which the owner started, with 2^18 numbers for each second: an owner that lost its
last changes (an old snapshot, a new disk) never reuses numbers that it may have handed out before. The
range between the last number it remembers and the first one after its restart is a hole. A reader that asks
for the changes since a number within a hole, since one before the log's start, or since another owner's
number gets the full list; since a number from before the hole, it gets the changes.

Invariants (tests/test_registry_core.py checks them over random orders):
- revisions grow with each change and never go back, also across restarts from an older state;
- `changes_since(n)`, applied to the list as of n, gives the current list, or the answer is the full list;
- a reader that knows less than the list is never told that nothing changed.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from fleet.registry.entries import MAX_SAFE_INTEGER, Entry, Key

SLOTS = 16
REVISIONS_PER_SECOND = 2**18
MAX_CLOCK_AHEAD_S = 86_400  # how far a revision may be ahead of the clock and still count as one of this log


@dataclass(frozen=True, slots=True)
class Changes:
    """An answer to a reader: the full list if `is_full`, else the changed entries, gone ones included.

    `revisions` holds the revision of each entry's last change, where known.
    """

    revision: int
    is_full: bool
    entries: tuple[Entry, ...]
    revisions: tuple[int, ...] = ()

    def for_list(self, list_name: str) -> Changes:
        """Returns the part for readers of one list; a full answer leaves out gone entries."""
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
    """The persistent state of a history: last revision, start of the log, holes, entries with revisions."""

    revision: int = 0
    floor: int = 0
    holes: tuple[tuple[int, int], ...] = ()
    entries: tuple[tuple[int, Entry], ...] = ()


class History:
    """The latest version of every entry, gone ones included until they are purged."""

    def __init__(self, slot: int, start_s: float, state: HistoryState | None = None) -> None:
        """`slot` identifies the log's owner, 0 to SLOTS - 1; `start_s` is the Unix time of this start."""
        if not 0 <= slot < SLOTS:
            raise ValueError(f"slot: allowed is 0 to {SLOTS - 1}")
        state = state or HistoryState()
        self._slot, self._start_s = slot, start_s
        self._entries: dict[Key, Entry] = {}
        self._revisions: dict[Key, int] = {}  # the revision of each entry's latest change
        self._log: list[tuple[int, Key]] = []  # ascending; superseded changes of an entry are skipped
        self._floor = state.floor  # the log holds the changes after this revision
        self._holes = list(state.holes)
        self.revision = state.revision
        for revision, entry in sorted(state.entries, key=lambda item: item[0]):
            self._entries[entry.key], self._revisions[entry.key] = entry, revision
            self._log.append((revision, entry.key))
        self._advance_to(max(int(start_s * REVISIONS_PER_SECOND), state.revision // SLOTS + 1))
        if not state.revision:
            self._floor = self.revision  # no reader can hold an earlier revision of an empty list

    def _advance_to(self, tick: int) -> None:
        """Continues from a later revision and records the skipped range as a hole."""
        to = tick * SLOTS + self._slot
        if to > self.revision:
            self._holes.append((self.revision, to))
            self._holes = self._holes[-64:]
            if len(self._holes) == 64:
                self._floor = max(self._floor, self._holes[0][1])
            self.revision = to

    @property
    def epoch(self) -> int:
        """The first revision after the last start; changes after an earlier one may have been lost."""
        return self._holes[-1][1] if self._holes else 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: Key) -> Entry | None:
        """Returns the current version of an entry, also if it is gone, or None."""
        return self._entries.get(key)

    def revision_of(self, key: Key) -> int:
        """Returns the revision of an entry's latest change."""
        return self._revisions[key]

    def entries(self) -> Iterable[Entry]:
        """Returns all entries, gone ones included."""
        return self._entries.values()

    def put(self, entry: Entry) -> None:
        """Stores a change under the next revision."""
        self.revision += SLOTS
        self._entries[entry.key], self._revisions[entry.key] = entry, self.revision
        self._log.append((self.revision, entry.key))
        if len(self._log) > 4 * len(self._entries) + 1024:
            self._log = [(r, k) for r, k in self._log if self._revisions.get(k) == r]

    def purge(self, key: Key) -> None:
        """Deletes a gone entry that all readers have received."""
        entry = self._entries[key]
        if not entry.is_gone:
            raise ValueError(f"{entry.id}: is {entry.phase}, not gone")
        self._floor = max(self._floor, self._revisions.pop(key))
        del self._entries[key]

    def compact(self) -> None:
        """Drops the change log; readers that are not up to date get the full list."""
        self._log, self._floor = [], self.revision

    def can_resume_from(self, after: int) -> bool:
        """Returns whether the changes since a revision are known: it is in this log and in no hole."""
        if after % SLOTS != self._slot or not self._floor <= after <= self.revision:
            return False
        return not any(low < after < high for low, high in self._holes)

    def is_lost_revision(self, after: int) -> bool:
        """Returns whether a revision appears to be from before a restart, and lost in it."""
        limit = (int(self._start_s) + MAX_CLOCK_AHEAD_S) * REVISIONS_PER_SECOND * SLOTS
        return after % SLOTS == self._slot and self.revision < after < limit

    def advance_past(self, after: int) -> None:
        """Moves beyond a later revision of this log that a reader holds, so that no answer seems older."""
        if not 0 <= after <= MAX_SAFE_INTEGER:
            raise ValueError("after: allowed is 0 to 2^53 - 1")
        self._advance_to(after // SLOTS + 1)

    def changes_since(self, revision: int | None) -> Changes:
        """Returns the answer for a reader that has the list as of `revision`, or nothing (None)."""
        if revision is None or not self.can_resume_from(revision):
            keys, is_full = list(self._entries), True
        else:
            begin = bisect_right(self._log, revision, key=lambda item: item[0])
            keys, is_full = [k for r, k in self._log[begin:] if self._revisions.get(k) == r], False
        entries = tuple(self._entries[key] for key in keys)
        return Changes(self.revision, is_full, entries, tuple(self._revisions[key] for key in keys))

    def state_without_entries(self) -> HistoryState:
        """Returns the persistent state without the entries."""
        return HistoryState(self.revision, self._floor, tuple(self._holes))

    def state(self) -> HistoryState:
        """Returns the persistent state, from which a new process can continue."""
        entries = tuple((self._revisions[key], entry) for key, entry in self._entries.items())
        return HistoryState(self.revision, self._floor, tuple(self._holes), entries)
