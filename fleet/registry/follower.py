"""Follows a list at one of several replicas: fails over, and never returns to an older state.

Each replica numbers its changes on its own, so full lists from different replicas are compared by version
vectors: `seen` holds, for each replica, the revision up to which a list includes all of its changes. A full
list whose vector is nowhere behind the follower's contains everything the follower knows, so entries absent
from it are gone. From any other full list, and from a replica that restarted behind what it had sent before,
only versions that are later in `entries.order` are taken and nothing is dropped; the follower then asks the
next replica for a complete list, and after `MAX_UNCONFIRMED_MS` at the latest accepts the list at hand. An
empty list after a non-empty one is accepted only if a second replica also reports it.

Times are milliseconds on the caller's clock. `FetchList` is answered by one `ListReceived` or `FetchFailed`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from fleet.registry.entries import Entry, Key, Lifecycle
from fleet.registry.history import Changes, History, HistoryState

WAIT_MS = 4_000.0  # duration of a watch (long poll): the longest time until a silent connection is noticed
MIN_WAIT_FRACTION = 0.6  # the shortest watch, as a fraction of WAIT_MS
INITIAL_BACKOFF_MS = 500.0  # bound of the first, randomised backoff, which spreads agents that fail together
MAX_BACKOFF_MS = 5_000.0
MAX_UNCONFIRMED_MS = 30_000.0  # time until a list is accepted although no replica's is complete
PURGE_INTERVAL_MS = 60_000.0  # interval of purging gone entries
TOMBSTONE_MS = 3_600_000.0  # how long a gone entry is retained
PREFERRED_RETRY_MS = (30_000.0, 90_000.0)  # time at another replica until the preferred one is retried


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Begin:
    """Starts following."""


@dataclass(frozen=True, slots=True)
class ListReceived:
    """A replica's answer.

    `replica` is the address that was asked, `name` the replica's own name as in the vectors, `epoch` the
    first revision after its last start, and `seen` its version vector, itself included.
    """

    replica: str
    name: str
    changes: Changes
    epoch: int
    seen: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """A replica gave no answer or an invalid one."""

    replica: str
    reason: str


@dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """The time of a `Backoff` has passed."""


Event = Begin | ListReceived | FetchFailed | BackoffElapsed

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class FetchList:
    """Fetches the changes since a revision of the replica, or the full list if `after` is None."""

    replica: str
    after: int | None
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Backoff:
    """Requests a `BackoffElapsed` event after `wait_ms`."""

    wait_ms: float


@dataclass(frozen=True, slots=True)
class Changed:
    """The list has changed: watchers can be notified, and the snapshot must be saved again."""


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a line to the log."""

    text: str


Action = FetchList | Backoff | Changed | Log


@dataclass(frozen=True, slots=True)
class FollowerState:
    """The follower's persistent state: the list, and the revision of each replica that it includes."""

    history: HistoryState = field(default_factory=HistoryState)
    seen: dict[str, int] = field(default_factory=dict)


class Follower:
    """Follows one list on behalf of an agent."""

    def __init__(
        self,
        replicas: tuple[str, ...],
        list_name: str,
        seed: int,
        start_s: float,
        state: FollowerState | None = None,
    ) -> None:
        """`seed` determines replica order and backoff; `state` was saved by an earlier process."""
        if not replicas or len(set(replicas)) != len(replicas):
            raise ValueError("replicas: allowed are one or more, each once")
        self._random = random.Random(seed)
        self._order = self._random.sample(replicas, len(replicas))
        self._list = list_name
        state = state or FollowerState()
        self.history = History(0, start_s, state.history)
        self.seen = dict(state.seen)  # version vector of the list as published
        self._position, self._after = 0, dict[str, int]()
        self._failures = 0
        self._unconfirmed_since: float | None = None
        self._unconfirmed_tries = 0
        self._gone_since = dict[Key, float]()
        self._purge_at = 0.0
        self._reported_empty: set[str] = set()
        self._preferred_retry_at = 0.0
        self.last_response_at: float | None = None  # time of the last valid answer
        self.source = ""  # the replica that gave it
        self.epoch = 0  # the epoch of that replica

    @property
    def is_down(self) -> bool:
        """Whether every replica has failed since the last valid answer."""
        return self._failures >= len(self._order)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles one event and returns the actions to carry out, in order."""
        match event:
            case Begin() | BackoffElapsed():
                return [self._fetch()]
            case FetchFailed(replica, reason):
                return self._on_failure(replica, reason)
            case ListReceived():
                return self._on_list(event, now)

    def _fetch(self) -> FetchList:
        name = self._order[self._position]
        after = self._after.get(name)
        # Randomised, so that watches answered at the same time don't all end at the same time.
        return FetchList(
            name, after, 0.0 if after is None else WAIT_MS * self._random.uniform(MIN_WAIT_FRACTION, 1.0)
        )

    def _move_to_next(self) -> None:
        # On return to a replica the follower resumes from that replica's last revision: later changes are all
        # that it can add.
        self._position = (self._position + 1) % len(self._order)

    def _on_failure(self, replica: str, reason: str) -> list[Action]:
        first_down = not self.is_down
        self._failures += 1
        lines: list[Action] = [Log(f"discovery: {replica}: {reason}")] if first_down else []
        if first_down and self.is_down:
            lines.append(Log(f"discovery: no replica answers; keeping the {len(self.history)} known entries"))
        if len(self._order) > 1:
            self._move_to_next()
        longest = min(INITIAL_BACKOFF_MS * 2 ** min(self._failures - 1, 10), MAX_BACKOFF_MS)
        return [*lines, Backoff(self._random.uniform(0.0, longest))]

    # ---- answers ---------------------------------------------------------------------------------

    def _on_list(self, received: ListReceived, now: float) -> list[Action]:
        if any(entry.list != self._list for entry in received.changes.entries):
            return self._on_failure(
                received.replica, f"the answer has an entry that is not of list {self._list!r}"
            )
        actions: list[Action] = []
        if self.is_down:
            actions.append(Log(f"discovery: {received.replica} answers again"))
        if received.replica != self.source:
            actions.append(Log(f"discovery: following the list at {received.replica}"))
        self._failures = 0
        self.last_response_at, self.source, self.epoch = now, received.replica, received.epoch
        before = self.history.revision
        is_confirmed = (
            self._take_full_list(received, now, actions)
            if received.changes.is_full
            else self._take_changes(received)
        )
        if self.history.revision != before:
            actions.append(Changed())
            self._purge(now)
        if not is_confirmed:
            return [*actions, self._try_next(received.replica)]
        self._after[received.replica] = received.changes.revision
        return [*actions, *self._continue(now)]

    def _try_next(self, replica: str) -> Backoff:
        """Moves to the next replica and fetches its full list after an increasing backoff."""
        self._after.pop(replica, None)
        if len(self._order) > 1:
            self._move_to_next()
            self._after.pop(self._order[self._position], None)
        longest = min(INITIAL_BACKOFF_MS * 2 ** min(self._unconfirmed_tries, 10), MAX_UNCONFIRMED_MS / 4)
        self._unconfirmed_tries += 1
        return Backoff(self._random.uniform(longest / 2, longest))

    def _continue(self, now: float) -> list[Action]:
        if self._position and now >= self._preferred_retry_at:
            if self._preferred_retry_at:
                self._position, self._preferred_retry_at = 0, 0.0
                return [self._fetch()]
            self._preferred_retry_at = now + self._random.uniform(*PREFERRED_RETRY_MS)
        return [self._fetch()]

    def _take_changes(self, received: ListReceived) -> bool:
        for entry in received.changes.entries:
            self._take_newer(entry)
        self._merge_vector(received)
        return True

    def _take_newer(self, entry: Entry) -> None:
        known = self.history.get(entry.key)
        if known is None:
            if not entry.is_gone:
                self.history.put(entry)
        elif entry.order > known.order:
            self.history.put(entry)

    def _take_full_list(self, received: ListReceived, now: float, actions: list[Action]) -> bool:
        """Applies a full list; returns False if a complete one must be fetched from another replica."""
        live = [entry for entry in self.history.entries() if not entry.is_gone]
        if not received.changes.entries and live:
            return self._take_empty_list(received, actions)
        self._reported_empty.clear()
        for entry in received.changes.entries:
            self._take_newer(entry)
        if not self._is_complete(received):
            if self._unconfirmed_since is None:
                self._unconfirmed_since = now
                actions.append(
                    Log(f"discovery: {received.replica} is behind the published list; dropping no entries")
                )
            if now - self._unconfirmed_since < MAX_UNCONFIRMED_MS:
                return False
            actions.append(Log(f"discovery: no replica has more than {received.replica}; accepting its list"))
            self.seen.clear()
        self._mark_absent_gone({entry.key for entry in received.changes.entries}, received.changes)
        self._merge_vector(received)
        return True

    def _is_complete(self, received: ListReceived) -> bool:
        is_restarted = self.seen.get(received.name, received.epoch) < received.epoch
        return not is_restarted and all(received.seen.get(name, 0) >= r for name, r in self.seen.items())

    def _take_empty_list(self, received: ListReceived, actions: list[Action]) -> bool:
        self._reported_empty.add(received.replica)
        if len(self._reported_empty) < 2:
            actions.append(
                Log(f"discovery: {received.replica} reports an empty list; waiting for a second replica")
            )
            return False
        self._mark_absent_gone(set(), received.changes)
        self._merge_vector(received)
        return True

    def _mark_absent_gone(self, listed: set[Key], changes: Changes) -> None:
        for entry in list(self.history.entries()):
            if entry.key in listed:
                continue
            if not entry.is_gone:
                self.history.put(
                    replace(entry, lapsed=True) if entry.lifecycle is not Lifecycle.REMOVED else entry
                )

    def _purge(self, now: float) -> None:
        """Purges entries that are gone for `TOMBSTONE_MS`: no replica can still be that far behind."""
        if now < self._purge_at:
            return
        self._purge_at = now + PURGE_INTERVAL_MS
        gone = [entry.key for entry in self.history.entries() if entry.is_gone]
        self._gone_since = {key: self._gone_since.get(key, now) for key in gone}
        for key, since in list(self._gone_since.items()):
            if now - since >= TOMBSTONE_MS:
                self.history.purge(key)
                del self._gone_since[key]

    def state(self) -> FollowerState:
        """Returns the state from which a new process can continue."""
        return FollowerState(self.history.state(), dict(self.seen))

    def _merge_vector(self, received: ListReceived) -> None:
        self._unconfirmed_since, self._unconfirmed_tries = None, 0
        for name, revision in received.seen.items():
            self.seen[name] = max(revision, self.seen.get(name, 0))
