"""What an agent makes of its replicas: it follows one, moves on when that fails, and never tells older news.

Replicas number their changes each for itself, so that another one's whole list is held against what was
told by vectors: `seen` says of each replica the revision up to which a list has all of its changes. A
whole list whose vector is nowhere behind ours knows all that we know: what it lacks is gone. From any
other list, and from a replica that begins a new life behind what we had from it, only what is later in
`entries.order` is taken, and nothing is dropped; the full word is then looked for at the next replica, and
at the latest `UNSURE_MS` later the list in hand is believed. An empty list after a full one is believed
when a second replica says the same, and never from one alone.

Times are milliseconds on the caller's clock. `Ask` is answered by one `Told` or `Failed`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from fleet.registry.entries import Entry, Key, Word
from fleet.registry.history import Changes, History, Saved

WAIT_MS = 4_000.0  # of a watch: how late a silent cut is noticed
WAIT_LEAST = 0.6  # the shortest watch, as a part of that
SPREAD_MS = 500.0  # the first retry comes within so long: agents that fail together spread out
LONGEST_PAUSE_MS = 5_000.0
UNSURE_MS = 30_000.0
FORGET_EVERY_MS = 60_000.0  # how often that is looked at
FORGET_MS = 3_600_000.0  # how long what is gone is remembered
HOME_MS = (30_000.0, 90_000.0)  # after so long with another replica, we try the first of our order again


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Begin:
    """Start to follow."""


@dataclass(frozen=True, slots=True)
class Told:
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
class Failed:
    """No answer, or one that is spoilt."""

    replica: str
    reason: str


@dataclass(frozen=True, slots=True)
class PauseOver:
    """The moment of a `Pause`."""


Event = Begin | Told | Failed | PauseOver

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask a replica for what came after a revision of its own, or for the whole list (None)."""

    replica: str
    after: int | None
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Send `PauseOver` after so long."""

    wait_ms: float


@dataclass(frozen=True, slots=True)
class Changed:
    """Watchers can be told, and the snapshot is out of date."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for whoever is on call."""

    text: str


Action = Ask | Pause | Changed | Log


@dataclass(frozen=True, slots=True)
class Kept:
    """A snapshot: what was told, and how much of each replica's log that was."""

    history: Saved = field(default_factory=Saved)
    seen: dict[str, int] = field(default_factory=dict)


class Follower:
    """One list as its agent knows it."""

    def __init__(
        self, replicas: tuple[str, ...], list_name: str, seed: int, start_s: float, kept: Kept | None = None
    ) -> None:
        """`seed` draws the order of replicas and the pauses; `kept`: the snapshot of an earlier process."""
        if not replicas or len(set(replicas)) != len(replicas):
            raise ValueError("replicas: allowed are one or more, each once")
        self._chance = random.Random(seed)
        self._order = self._chance.sample(replicas, len(replicas))
        self._list = list_name
        kept = kept or Kept()
        self.history = History(0, start_s, kept.history)
        self.seen = dict(kept.seen)  # what we have told, by each replica's revisions
        self._place, self._after = 0, dict[str, int]()
        self._failures = 0
        self._unsure_since: float | None = None
        self._unsure_tries = 0
        self._gone_since = dict[Key, float]()
        self._forget_at = 0.0
        self._empty_at: set[str] = set()
        self._home_at = 0.0
        self.heard_at: float | None = None  # when a replica last answered well
        self.source = ""  # which
        self.epoch = 0  # of its life

    @property
    def is_down(self) -> bool:
        """Whether every replica has failed since the last good answer."""
        return self._failures >= len(self._order)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event."""
        match event:
            case Begin() | PauseOver():
                return [self._ask()]
            case Failed(replica, reason):
                return self._failed(replica, reason)
            case Told():
                return self._told(event, now)

    def _ask(self) -> Ask:
        name = self._order[self._place]
        after = self._after.get(name)
        # Watches that were answered together do not end together.
        return Ask(name, after, 0.0 if after is None else WAIT_MS * self._chance.uniform(WAIT_LEAST, 1.0))

    def _move(self) -> None:
        # Back at one that we know, we go on from what it told: its changes since are all that it can add.
        self._place = (self._place + 1) % len(self._order)

    def _failed(self, replica: str, reason: str) -> list[Action]:
        first_down = not self.is_down
        self._failures += 1
        lines: list[Action] = [Log(f"discovery: {replica}: {reason}")] if first_down else []
        if first_down and self.is_down:
            lines.append(Log(f"discovery: no replica answers: {len(self.history)} entries stay as they are"))
        if len(self._order) > 1:
            self._move()
        longest = min(SPREAD_MS * 2 ** min(self._failures - 1, 10), LONGEST_PAUSE_MS)
        return [*lines, Pause(self._chance.uniform(0.0, longest))]

    # ---- answers ---------------------------------------------------------------------------------

    def _told(self, told: Told, now: float) -> list[Action]:
        if any(entry.list != self._list for entry in told.changes.entries):
            return self._failed(told.replica, f"an entry of another list than {self._list!r}")
        actions: list[Action] = []
        if self.is_down:
            actions.append(Log(f"discovery: {told.replica} answers again"))
        if told.replica != self.source:
            actions.append(Log(f"discovery: the list comes from {told.replica}"))
        self._failures = 0
        self.heard_at, self.source, self.epoch = now, told.replica, told.epoch
        before = self.history.revision
        settled = self._take_whole(told, now, actions) if told.changes.whole else self._take_changes(told)
        if self.history.revision != before:
            actions.append(Changed())
            self._forget(now)
        if not settled:
            return [*actions, self._look_elsewhere(told.replica)]
        self._after[told.replica] = told.changes.revision
        return [*actions, *self._go_on(now)]

    def _look_elsewhere(self, replica: str) -> Pause:
        """Ask the next replica for its whole list, ever less often."""
        self._after.pop(replica, None)
        if len(self._order) > 1:
            self._move()
            self._after.pop(self._order[self._place], None)
        longest = min(SPREAD_MS * 2 ** min(self._unsure_tries, 10), UNSURE_MS / 4)
        self._unsure_tries += 1
        return Pause(self._chance.uniform(longest / 2, longest))

    def _go_on(self, now: float) -> list[Action]:
        if self._place and now >= self._home_at:
            if self._home_at:
                self._place, self._home_at = 0, 0.0
                return [self._ask()]
            self._home_at = now + self._chance.uniform(*HOME_MS)
        return [self._ask()]

    def _take_changes(self, told: Told) -> bool:
        for entry in told.changes.entries:
            self._take_later(entry)
        self._know(told)
        return True

    def _take_later(self, entry: Entry) -> None:
        known = self.history.get(entry.key)
        if known is None:
            if not entry.is_gone:
                self.history.put(entry)
        elif entry.order > known.order:
            self.history.put(entry)

    def _take_whole(self, told: Told, now: float, actions: list[Action]) -> bool:
        """Take a whole list; False if the full word has to be had from another replica."""
        had = [entry for entry in self.history.entries() if not entry.is_gone]
        if not told.changes.entries and had:
            return self._take_empty(told, actions)
        self._empty_at.clear()
        for entry in told.changes.entries:
            self._take_later(entry)
        if not self._knows_all(told):
            if self._unsure_since is None:
                self._unsure_since = now
                actions.append(Log(f"discovery: {told.replica} knows less than was told: nothing is dropped"))
            if now - self._unsure_since < UNSURE_MS:
                return False
            actions.append(Log(f"discovery: nobody knows more than {told.replica}: its list counts"))
            self.seen.clear()
        self._drop_absent({entry.key for entry in told.changes.entries}, told.changes)
        self._know(told)
        return True

    def _knows_all(self, told: Told) -> bool:
        reborn = self.seen.get(told.name, told.epoch) < told.epoch
        return not reborn and all(told.seen.get(name, 0) >= r for name, r in self.seen.items())

    def _take_empty(self, told: Told, actions: list[Action]) -> bool:
        self._empty_at.add(told.replica)
        if len(self._empty_at) < 2:
            actions.append(Log(f"discovery: {told.replica} tells an empty list: not believed from one alone"))
            return False
        self._drop_absent(set(), told.changes)
        self._know(told)
        return True

    def _drop_absent(self, listed: set[Key], changes: Changes) -> None:
        for entry in list(self.history.entries()):
            if entry.key in listed:
                continue
            if not entry.is_gone:
                self.history.put(replace(entry, lapsed=True) if entry.word is not Word.REMOVED else entry)

    def _forget(self, now: float) -> None:
        """Drop the memory of what is long gone: no replica can still be so far behind."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_EVERY_MS
        gone = [entry.key for entry in self.history.entries() if entry.is_gone]
        self._gone_since = {key: self._gone_since.get(key, now) for key in gone}
        for key, since in list(self._gone_since.items()):
            if now - since >= FORGET_MS:
                self.history.forget(key)
                del self._gone_since[key]

    def kept(self) -> Kept:
        """What a new process would go on from."""
        return Kept(self.history.saved(), dict(self.seen))

    def _know(self, told: Told) -> None:
        self._unsure_since, self._unsure_tries = None, 0
        for name, revision in told.seen.items():
            self.seen[name] = max(revision, self.seen.get(name, 0))
