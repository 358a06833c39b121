"""One replica of the list: takes writes, tells readers, and agrees with its peers by anti-entropy.

Why no leader and no quorum: the list has to be there when most of the service is not, and a server has to
be able to register where it can reach anybody. What matters of two writes to one instance is which of them
its registrant made later, and that the entries say themselves (`entries.order`). So each replica takes
writes alone and passes its log on; each takes over from the others whatever is later. Promised: reads
always; a write that was acknowledged is on that replica's disk and reaches all others that can be reached,
or is beaten by a later word on the same instance; replicas that can reach each other come to the same
list. Not promised: one order of all changes; that a reader at one replica sees at once what was written at
another.

Invariants:
1. An entry only ever moves up in `entries.order`, at every replica; the same entries in any order give the
   same list.
2. Revisions never go back for a reader, and no answer tells "nothing changed" wrongly (`history.py`).
3. Nobody but the holder of a lease says that it has lapsed, and a holder refutes it if another said so.
   The leases of a holder that nobody hears of for `ORPHAN_LEASES` of them are taken over, and begin anew.
4. No instance is taken off while many are late at once (`leases.py`).
5. A gone entry is forgotten only when every peer has asked for changes after it, or after `forget_ms`; a
   peer's entry that we do not know, and of which that peer knows that we had it, is one that was
   forgotten.
6. A write is acknowledged only after the host has carried out its `Store`; if that fails, it is refused.

Times are milliseconds on the caller's clock that never goes back. The caller carries out actions in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import inf

from fleet.registry.entries import Entry, Key, Word, held_by, later
from fleet.registry.history import Changes, History, Saved
from fleet.registry.leases import Elsewhere, Leases

ORPHAN_LEASES = 10
LEAST_KEPT_MS = 600_000.0  # a gone entry is remembered so long at least, for watchers that sleep
SILENT_MS = 5_000.0  # after so long without an answer, a peer is not waited for
LOOK_MS = 1_000.0  # how often memory is tidied and orphans are looked for


@dataclass(frozen=True, slots=True)
class Settings:
    """What one replica is told; spans are milliseconds.

    `forget_ms` bounds the time that a replica may be away and come back with its old state: after that, what
    was removed meanwhile could appear again.
    """

    name: str
    peers: tuple[str, ...] = ()
    forget_ms: float = 86_400_000.0

    def __post_init__(self) -> None:
        if not self.name or self.name in self.peers or len(set(self.peers)) != len(self.peers):
            raise ValueError("name, peers: allowed are names that are not empty, each once")

    @property
    def slot(self) -> int:
        """Our place among all names in order: the last digit of our revisions."""
        return sorted((self.name, *self.peers)).index(self.name)


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Put:
    """A registrant registers or renews; `incarnation` None: it has named none."""

    call: int
    entry: Entry
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class Remove:
    """Somebody takes an instance off; `incarnation` None: whichever is listed."""

    call: int
    key: Key
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class PeerTold:
    """A peer's answer: its log or whole list, what it has taken over from whom, and its leases."""

    peer: str
    changes: Changes
    seen: dict[str, int] = field(default_factory=dict)
    late: int = 0
    held: int = 0


@dataclass(frozen=True, slots=True)
class PeerAsked:
    """A peer has asked for what came after a revision of ours: it has kept everything up to there."""

    peer: str
    after: int


@dataclass(frozen=True, slots=True)
class TimeDue:
    """The moment of a `SetTimer`."""


Event = Put | Remove | PeerTold | PeerAsked | TimeDue

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Store:
    """Keep these on disk before anything that follows; `forgotten` are dropped there."""

    entries: tuple[tuple[int, Entry], ...]
    forgotten: tuple[Key, ...] = ()


@dataclass(frozen=True, slots=True)
class Told:
    """Readers of these lists, and peers, can be told of changes."""

    lists: frozenset[str]


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a write. Status 200: done, as `entry` says; else `reason` is one line."""

    call: int
    status: int
    entry: Entry | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimeDue` at that moment; it replaces an earlier one."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """A line for whoever is on call."""

    text: str


Action = Store | Told | Reply | SetTimer | Log


@dataclass(frozen=True, slots=True)
class Kept:
    """What a replica has on disk."""

    history: Saved = field(default_factory=Saved)
    seen: dict[str, int] = field(default_factory=dict)
    acked: dict[str, int] = field(default_factory=dict)


class Replica:
    """The decisions of one replica."""

    def __init__(self, settings: Settings, start_s: float, now: float, kept: Kept | None = None) -> None:
        """`start_s`: Unix time; `now`: the caller's clock; `kept`: what the disk had."""
        kept = kept or Kept()
        self._settings = settings
        self.history = History(settings.slot, start_s, kept.history)
        self.leases = Leases()
        self.seen = dict(kept.seen)  # of each peer: its revision up to which we have everything
        self.acked = dict(kept.acked)  # of each peer: our revision up to which it has everything
        self._heard = dict.fromkeys(settings.peers, now)  # when a peer last answered
        self._leases_of = dict.fromkeys(settings.peers, (0, 0))  # late and held ones, as it said then
        self._gone_since: dict[Key, float] = {}
        self._changed: dict[Key, None] = {}
        self._forgotten: list[Key] = []
        self._log: list[Action] = []
        self._looked = now
        for entry in self.history.entries():
            self._watch(entry, now)

    # ---- what is asked of it ---------------------------------------------------------------------

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event; carry out the actions in order."""
        reply: Reply | None = None
        match event:
            case Put():
                reply = self._put(event, now)
            case Remove():
                reply = self._remove(event, now)
            case PeerTold():
                self._merge(event, now)
            case PeerAsked(peer, after):
                if peer in self._settings.peers and self.history.is_ours(after):
                    self.acked[peer] = max(after, self.acked.get(peer, 0))
            case TimeDue():
                self._look(now)
        return self._actions(reply, now)

    def vector(self) -> dict[str, int]:
        """What we have of each replica's log, our own included: whoever has no less knows no less."""
        return {**self.seen, self._settings.name: self.history.revision}

    def late_and_held(self, now: float) -> tuple[int, int]:
        """How many of the leases that we hold are late, and of how many."""
        return self.leases.late(now), len(self.leases)

    def doubts(self) -> bool:
        """Whether we take nobody off, since too many are late."""
        return self.leases.doubts

    def _actions(self, reply: Reply | None, now: float) -> list[Action]:
        actions: list[Action] = []
        if self._changed or self._forgotten:
            entries = [self.history.get(key) for key in self._changed]
            rows = tuple((self.history.at(e.key), e) for e in entries if e is not None)
            actions.append(Store(rows, tuple(self._forgotten)))
            if self._changed:
                actions.append(Told(frozenset(key[0] for key in self._changed)))
            self._changed.clear()
            self._forgotten.clear()
        actions += self._log
        self._log = []
        if reply is not None:
            actions.append(reply)
        due = self.leases.due_at()
        actions.append(
            SetTimer(max(now, min(self._looked + LOOK_MS, due if due is not None else now + LOOK_MS)))
        )
        return actions

    # ---- writes ----------------------------------------------------------------------------------

    def _put(self, put: Put, now: float) -> Reply:
        known = self.history.get(put.entry.key)
        number = put.incarnation if put.incarnation is not None else _number_of(put.entry, known)
        entry = replace(put.entry, incarnation=number)
        if known is not None:
            if reason := _refusal(entry, known):
                return Reply(put.call, 409, reason=reason)
            if entry.incarnation == known.incarnation:
                entry = replace(known, word=entry.word)
        mine = entry.holder == self._settings.name and not entry.lapsed
        if (
            known is None
            or entry.word is not known.word
            or entry.incarnation != known.incarnation
            or not mine
        ):
            if known is not None and known.lapsed and known.incarnation == entry.incarnation:
                self._log.append(Log(f"registry: {entry.id} is back: its lease had lapsed"))
            self._take(held_by(entry, self._settings.name), now)
        now_known = self.history.get(entry.key)
        if entry.lease_ms and now_known is not None and not now_known.is_gone:
            self.leases.renew(entry.key, entry.lease_ms, now)
        return Reply(put.call, 200, now_known)

    def _remove(self, event: Remove, now: float) -> Reply:
        known = self.history.get(event.key)
        if known is None:
            return Reply(event.call, 404, reason=f"id: no instance {event.key[1]!r} is listed")
        number = known.incarnation if event.incarnation is None else event.incarnation
        if number < known.incarnation:
            words = f"incarnation: {number} is older than {known.incarnation}, which is listed"
            return Reply(event.call, 409, reason=words)
        if known.word is not Word.REMOVED or number != known.incarnation:
            turn = known.turn + 1 if number == known.incarnation else 0
            holder = self._settings.name
            self._take(
                replace(known, word=Word.REMOVED, incarnation=number, holder=holder, turn=turn, lapsed=False),
                now,
            )
        return Reply(event.call, 200, self.history.get(event.key))

    def _take(self, entry: Entry, now: float) -> None:
        self.history.put(entry)
        self._changed[entry.key] = None
        self._watch(entry, now)

    def _watch(self, entry: Entry, now: float) -> None:
        """Hold the lease of what is ours, and the memory of what is gone."""
        if entry.is_gone:
            self._gone_since.setdefault(entry.key, now)
        else:
            self._gone_since.pop(entry.key, None)
        mine = entry.holder == self._settings.name or entry.holder not in self._heard
        if mine and entry.lease_ms and not entry.is_gone:
            if entry.key not in self.leases:
                self.leases.renew(entry.key, entry.lease_ms, now)
        else:
            self.leases.drop(entry.key)

    # ---- peers -----------------------------------------------------------------------------------

    def _merge(self, told: PeerTold, now: float) -> None:
        if told.peer not in self._heard:
            self._log.append(Log(f"registry: {told.peer} is no peer of ours: its answer is left out"))
            return
        self._heard[told.peer], self._leases_of[told.peer] = now, (told.late, told.held)
        ours, had = told.seen.get(self._settings.name, 0), self.seen.get(told.peer, 0)
        for entry, at in zip(told.changes.entries, told.changes.at, strict=True):
            known = self.history.get(entry.key)
            if known is None:
                # What we have had from this peer and do not know was forgotten by all, and it is behind.
                # Others are news, gone ones too: a third replica may still tell us that they live.
                if at > had:
                    self._take(entry, now)
            elif entry.order > known.order:
                self._take(self._refute(entry, known, now), now)
        if told.changes.whole:
            self._drop_forgotten(told, ours)
        self.seen[told.peer] = max(told.changes.revision, self.seen.get(told.peer, 0))
        for name, revision in told.seen.items():
            if name != self._settings.name and name in self._heard:
                self.seen[name] = max(revision, self.seen.get(name, 0))

    def _refute(self, entry: Entry, known: Entry, now: float) -> Entry:
        """Another says that a lease of ours has lapsed, and it runs: it is a turn further, and alive."""
        ours = known.holder == self._settings.name and entry.incarnation == known.incarnation
        if ours and entry.lapsed and entry.word is known.word and self.leases.is_alive(known.key, now):
            self._log.append(Log(f"registry: {entry.id} lives: {entry.holder} had given up its lease"))
            return held_by(entry, self._settings.name)
        return entry

    def _drop_forgotten(self, told: PeerTold, ours: int) -> None:
        """A peer's whole list lacks what it has had from us: it was removed, and forgotten by everybody."""
        listed = {entry.key for entry in told.changes.entries}
        for entry in list(self.history.entries()):
            if entry.key not in listed and not entry.is_gone and self.history.at(entry.key) <= ours:
                gone = replace(entry, word=Word.REMOVED, turn=entry.turn + 1)
                self._log.append(Log(f"registry: {entry.id} was removed while we were away"))
                self._take(gone, self._looked)

    # ---- time ------------------------------------------------------------------------------------

    def _look(self, now: float) -> None:
        doubted = self.leases.doubts
        elsewhere = self._elsewhere(now)
        for key in self.leases.run_out(now, elsewhere):
            entry = self.history.get(key)
            if entry is not None and not entry.is_gone:
                self._log.append(Log(f"registry: {entry.id} has not renewed its lease: left"))
                holder = self._settings.name
                self._take(replace(entry, lapsed=True, holder=holder, turn=entry.turn + 1), now)
        if self.leases.doubts and not doubted:
            late, held = self.leases.late(now) + elsewhere.late, len(self.leases) + elsewhere.held
            self._log.append(Log(f"registry: {late} of {held} registrants are late: nobody is taken off"))
        elif doubted and not self.leases.doubts:
            self._log.append(Log("registry: registrants renew again: leases count as before"))
        if now >= self._looked + LOOK_MS:
            self._looked = now
            self._adopt(now)
            self._forget(now)

    def _elsewhere(self, now: float) -> Elsewhere:
        """The leases of the peers that can be heard."""
        heard = [name for name, at in self._heard.items() if now - at < SILENT_MS]
        late = sum(self._leases_of[name][0] for name in heard)
        held = sum(self._leases_of[name][1] for name in heard)
        return Elsewhere(late, held, min((self._heard[name] for name in heard), default=inf))

    def _adopt(self, now: float) -> None:
        """Take over the leases of a peer that has been silent for many of them."""
        silent = {name: now - heard for name, heard in self._heard.items()}
        for entry in list(self.history.entries()):
            since = silent.get(entry.holder)
            if since is None or entry.is_gone or not entry.lease_ms:
                continue
            if since >= ORPHAN_LEASES * entry.lease_ms and self._is_next(entry.holder, silent):
                self._log.append(Log(f"registry: {entry.holder} is silent: the lease of {entry.id} is ours"))
                self._take(held_by(entry, self._settings.name), now)

    def _is_next(self, holder: str, silent: dict[str, float]) -> bool:
        """Whether we are the first in order of those that can be heard: one adopter is enough."""
        heard = [name for name, since in silent.items() if name != holder and since < silent[holder] / 2]
        return self._settings.name <= min(heard, default=self._settings.name)

    def _forget(self, now: float) -> None:
        for key, since in list(self._gone_since.items()):
            everybody = all(self.acked.get(p, 0) >= self.history.at(key) for p in self._settings.peers)
            if (everybody and now - since >= LEAST_KEPT_MS) or now - since >= self._settings.forget_ms:
                self.history.forget(key)
                del self._gone_since[key]
                self._forgotten.append(key)


def _number_of(entry: Entry, known: Entry | None) -> int:
    """The incarnation of a registrant that names none: the same while it says the same, else the next."""
    if known is None:
        return max(int(entry.up_since_ms), 0)
    if known.word is not Word.REMOVED and entry.word >= known.word and entry.says_as(known):
        return known.incarnation
    return max(known.incarnation + 1, int(entry.up_since_ms))


def _refusal(entry: Entry, known: Entry) -> str:
    """Why a write can't be taken, or nothing."""
    if entry.incarnation < known.incarnation:
        return f"incarnation: {entry.incarnation} is older than {known.incarnation}, which is listed"
    if entry.incarnation > known.incarnation:
        return ""
    if entry.word < known.word:
        return (
            f"phase: incarnation {known.incarnation} is {known.phase} already; allowed: a higher incarnation"
        )
    if not entry.says_as(known):
        return f"incarnation: {known.incarnation} is listed with other values; allowed: a higher one"
    return ""


def merged(one: tuple[Entry, ...], other: tuple[Entry, ...]) -> dict[Key, Entry]:
    """Two lists as one: of each instance the later report."""
    found = {entry.key: entry for entry in one}
    for entry in other:
        found[entry.key] = later(found[entry.key], entry) if entry.key in found else entry
    return found
