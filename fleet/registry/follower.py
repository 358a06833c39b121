"""What an agent makes of its replicas: it follows one, moves on when that fails, and never tells older news.

Replicas number their changes each for itself, so that another one's whole list is held against what was
told by vectors: `seen` says of each replica the revision up to which a list has all of its changes. A
whole list whose vector is nowhere behind ours knows all that we know: what it lacks is gone. From any
other list, and from a replica that begins a new life behind what we had from it, only what is
later in `entries.order` is taken, and nothing is dropped; the full word is then looked for at the next
replica, and at the latest `MAX_UNCONFIRMED_MS` later the list in hand is believed. An empty list after a full
one is believed when a second replica says the same, and never from one alone.

Times are milliseconds on the caller's clock. `FetchList` is answered by one `ListReceived` or `FetchFailed`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from fleet.registry.entries import Entry, Key, Lifecycle
from fleet.registry.history import Changes, History, HistoryState

WAIT_MS = 4_000.0  # of a watch: how late a silent cut is noticed
MIN_WAIT_FRACTION = 0.6  # the shortest watch, as a part of that
INITIAL_BACKOFF_MS = 500.0  # the first retry comes within so long: agents that fail together spread out
MAX_BACKOFF_MS = 5_000.0
MAX_UNCONFIRMED_MS = 30_000.0
PURGE_INTERVAL_MS = 60_000.0  # how often that is looked at
TOMBSTONE_MS = 3_600_000.0  # how long what is gone is remembered
PREFERRED_RETRY_MS = (30_000.0, 90_000.0)  # with another replica, until the first is tried again


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Begin:
    """Start to follow."""


@dataclass(frozen=True, slots=True)
class ListReceived:
    """A replica's answer.

    `replica`: the one that was asked; `name`: what it calls itself, as in the vectors; `epoch`: the first
    revision of its present life; `seen`: its vector, itself included.
    """

    replica: str
    name: str
    changes: Changes
    epoch: int
    seen: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """No answer, or one that is spoilt."""

    replica: str
    reason: str


@dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """The moment of a `Backoff`."""


Event = Begin | ListReceived | FetchFailed | BackoffElapsed

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask a replica for what came after a revision of its own, or for the whole list (None)."""

    replica: str
    after: int | None
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Backoff:
    """Send `BackoffElapsed` after so long."""

    wait_ms: float


@dataclass(frozen=True, slots=True)
class Changed:
    """Watchers can be told, and the snapshot is out of date."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for whoever is on call."""

    text: str


Action = FetchList | Backoff | Changed | Log


@dataclass(frozen=True, slots=True)
class FollowerState:
    """A snapshot: what was told, and how much of each replica's log that was."""

    history: HistoryState = field(default_factory=HistoryState)
    seen: dict[str, int] = field(default_factory=dict)


class Follower:
    """One list as its agent knows it."""

    def __init__(
        self,
        replicas: tuple[str, ...],
        list_name: str,
        seed: int,
        start_s: float,
        state: FollowerState | None = None,
    ) -> None:
        """`seed` draws the order of replicas and the pauses; `kept`: the snapshot of an earlier process."""
        if not replicas or len(set(replicas)) != len(replicas):
            raise ValueError("replicas: allowed are one or more, each once")
        self._random = random.Random(seed)
        self._order = self._random.sample(replicas, len(replicas))
        self._list = list_name
        state = state or FollowerState()
        self.history = History(0, start_s, state.history)
        self.seen = dict(state.seen)  # what we have told, by each replica's revisions
        self._position, self._after = 0, dict[str, int]()
        self._failures = 0
        self._unconfirmed_since: float | None = None
        self._unconfirmed_tries = 0
        self._gone_since = dict[Key, float]()
        self._purge_at = 0.0
        self._reported_empty: set[str] = set()
        self._preferred_retry_at = 0.0
        self.last_response_at: float | None = None  # when a replica last answered well
        self.source = ""  # which
        self.epoch = 0  # of its life

    @property
    def is_down(self) -> bool:
        """Whether every replica has failed since the last good answer."""
        return self._failures >= len(self._order)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event."""
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
        # Watches that were answered together do not end together.
        return FetchList(
            name, after, 0.0 if after is None else WAIT_MS * self._random.uniform(MIN_WAIT_FRACTION, 1.0)
        )

    def _move_to_next(self) -> None:
        # Back at one that we know, we go on from what it told: its changes since are all that it can add.
        self._position = (self._position + 1) % len(self._order)

    def _on_failure(self, replica: str, reason: str) -> list[Action]:
        first_down = not self.is_down
        self._failures += 1
        lines: list[Action] = [Log(f"discovery: {replica}: {reason}")] if first_down else []
        if first_down and self.is_down:
            lines.append(Log(f"discovery: no replica answers: {len(self.history)} entries stay as they are"))
        if len(self._order) > 1:
            self._move_to_next()
        longest = min(INITIAL_BACKOFF_MS * 2 ** min(self._failures - 1, 10), MAX_BACKOFF_MS)
        return [*lines, Backoff(self._random.uniform(0.0, longest))]

    # ---- answers ---------------------------------------------------------------------------------

    def _on_list(self, received: ListReceived, now: float) -> list[Action]:
        if any(entry.list != self._list for entry in received.changes.entries):
            return self._on_failure(received.replica, f"an entry of another list than {self._list!r}")
        actions: list[Action] = []
        if self.is_down:
            actions.append(Log(f"discovery: {received.replica} answers again"))
        if received.replica != self.source:
            actions.append(Log(f"discovery: the list comes from {received.replica}"))
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
        """Ask the next replica for its whole list, ever less often."""
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
        """Take a whole list; False if the full word has to be had from another replica."""
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
                    Log(f"discovery: {received.replica} knows less than was told: nothing is dropped")
                )
            if now - self._unconfirmed_since < MAX_UNCONFIRMED_MS:
                return False
            actions.append(Log(f"discovery: nobody knows more than {received.replica}: its list counts"))
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
                Log(f"discovery: {received.replica} tells an empty list: not believed from one alone")
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
        """Drop the memory of what is long gone: no replica can still be so far behind."""
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
        """What a new process would go on from."""
        return FollowerState(self.history.state(), dict(self.seen))

    def _merge_vector(self, received: ListReceived) -> None:
        self._unconfirmed_since, self._unconfirmed_tries = None, 0
        for name, revision in received.seen.items():
            self.seen[name] = max(revision, self.seen.get(name, 0))
