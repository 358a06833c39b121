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
5. A gone entry is purged only when every peer has asked for changes after it, or after `tombstone_ttl_ms`; a
   peer's entry that we do not know, and of which that peer knows that we had it, is one that was
   purged.
6. A write is acknowledged only after the host has carried out its `Persist`; if that fails, it is refused.

Times are milliseconds on the caller's clock that never goes back. The caller carries out actions in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import inf

from fleet.registry.entries import Entry, Key, Lifecycle, later_entry, with_holder
from fleet.registry.history import Changes, History, HistoryState
from fleet.registry.leases import Leases, PeerLeases

ORPHAN_LEASES = 10
MIN_TOMBSTONE_MS = 600_000.0  # a gone entry is remembered so long at least, for watchers that sleep
PEER_TIMEOUT_MS = 5_000.0  # after so long without an answer, a peer is not waited for
MAINTENANCE_MS = 1_000.0  # how often memory is tidied and orphans are looked for


@dataclass(frozen=True, slots=True)
class Settings:
    """What one replica is told; spans are milliseconds.

    `tombstone_ttl_ms` bounds the time that a replica may be away and come back with its old state: after
    that, what was removed meanwhile could appear again.
    """

    name: str
    peers: tuple[str, ...] = ()
    tombstone_ttl_ms: float = 86_400_000.0

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
class PeerResponse:
    """A peer's answer: its log or whole list, what it has taken over from whom, and its leases."""

    peer: str
    changes: Changes
    seen: dict[str, int] = field(default_factory=dict)
    late: int = 0
    held: int = 0


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A peer has asked for what came after a revision of ours: it has kept everything up to there."""

    peer: str
    after: int


@dataclass(frozen=True, slots=True)
class TimeDue:
    """The moment of a `SetTimer`."""


Event = Put | Remove | PeerResponse | PeerRequest | TimeDue

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Persist:
    """Keep these on disk before anything that follows; `purged` are dropped there."""

    entries: tuple[tuple[int, Entry], ...]
    purged: tuple[Key, ...] = ()


@dataclass(frozen=True, slots=True)
class ListsChanged:
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


Action = Persist | ListsChanged | Reply | SetTimer | Log


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What a replica has on disk."""

    history: HistoryState = field(default_factory=HistoryState)
    seen: dict[str, int] = field(default_factory=dict)
    acked: dict[str, int] = field(default_factory=dict)


class Replica:
    """The decisions of one replica."""

    def __init__(
        self, settings: Settings, start_s: float, now: float, state: ReplicaState | None = None
    ) -> None:
        """`start_s`: Unix time; `now`: the caller's clock; `kept`: what the disk had."""
        state = state or ReplicaState()
        self._settings = settings
        self.history = History(settings.slot, start_s, state.history)
        self.leases = Leases()
        self.seen = dict(state.seen)  # of each peer: its revision up to which we have everything
        self.acked = dict(state.acked)  # of each peer: our revision up to which it has everything
        self._last_response_at = dict.fromkeys(settings.peers, now)  # when a peer last answered
        self._peer_lease_counts = dict.fromkeys(settings.peers, (0, 0))  # late and held ones, as it said then
        self._gone_since: dict[Key, float] = {}
        self._changed: dict[Key, None] = {}
        self._purged: list[Key] = []
        self._log: list[Action] = []
        self._maintained_at = now
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
            case PeerResponse():
                self._on_peer_response(event, now)
            case PeerRequest(peer, after):
                if peer in self._settings.peers and self.history.can_resume_from(after):
                    self.acked[peer] = max(after, self.acked.get(peer, 0))
            case TimeDue():
                self._maintain(now)
        return self._actions(reply, now)

    def version_vector(self) -> dict[str, int]:
        """What we have of each replica's log, our own included: whoever has no less knows no less."""
        return {**self.seen, self._settings.name: self.history.revision}

    def lease_counts(self, now: float) -> tuple[int, int]:
        """How many of the leases that we hold are late, and of how many."""
        return self.leases.late_count(now), len(self.leases)

    def is_expiry_suspended(self) -> bool:
        """Whether we take nobody off, since too many are late."""
        return self.leases.is_suspended

    def _actions(self, reply: Reply | None, now: float) -> list[Action]:
        actions: list[Action] = []
        if self._changed or self._purged:
            entries = [self.history.get(key) for key in self._changed]
            rows = tuple((self.history.revision_of(e.key), e) for e in entries if e is not None)
            actions.append(Persist(rows, tuple(self._purged)))
            if self._changed:
                actions.append(ListsChanged(frozenset(key[0] for key in self._changed)))
            self._changed.clear()
            self._purged.clear()
        actions += self._log
        self._log = []
        if reply is not None:
            actions.append(reply)
        due = self.leases.due_at()
        actions.append(
            SetTimer(
                max(
                    now,
                    min(
                        self._maintained_at + MAINTENANCE_MS, due if due is not None else now + MAINTENANCE_MS
                    ),
                )
            )
        )
        return actions

    # ---- writes ----------------------------------------------------------------------------------

    def _put(self, put: Put, now: float) -> Reply:
        known = self.history.get(put.entry.key)
        number = put.incarnation if put.incarnation is not None else _choose_incarnation(put.entry, known)
        entry = replace(put.entry, incarnation=number)
        if known is not None:
            if reason := _rejection_reason(entry, known):
                return Reply(put.call, 409, reason=reason)
            if entry.incarnation == known.incarnation:
                entry = replace(known, lifecycle=entry.lifecycle)
        mine = entry.holder == self._settings.name and not entry.lapsed
        if (
            known is None
            or entry.lifecycle is not known.lifecycle
            or entry.incarnation != known.incarnation
            or not mine
        ):
            if known is not None and known.lapsed and known.incarnation == entry.incarnation:
                self._log.append(Log(f"registry: {entry.id} is back: its lease had lapsed"))
            self._take(with_holder(entry, self._settings.name), now)
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
        if known.lifecycle is not Lifecycle.REMOVED or number != known.incarnation:
            turn = known.turn + 1 if number == known.incarnation else 0
            holder = self._settings.name
            self._take(
                replace(
                    known,
                    lifecycle=Lifecycle.REMOVED,
                    incarnation=number,
                    holder=holder,
                    turn=turn,
                    lapsed=False,
                ),
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
        mine = entry.holder == self._settings.name or entry.holder not in self._last_response_at
        if mine and entry.lease_ms and not entry.is_gone:
            if entry.key not in self.leases:
                self.leases.renew(entry.key, entry.lease_ms, now)
        else:
            self.leases.release(entry.key)

    # ---- peers -----------------------------------------------------------------------------------

    def _on_peer_response(self, response: PeerResponse, now: float) -> None:
        if response.peer not in self._last_response_at:
            self._log.append(Log(f"registry: {response.peer} is no peer of ours: its answer is left out"))
            return
        self._last_response_at[response.peer], self._peer_lease_counts[response.peer] = (
            now,
            (response.late, response.held),
        )
        ours, had = response.seen.get(self._settings.name, 0), self.seen.get(response.peer, 0)
        for entry, at in zip(response.changes.entries, response.changes.revisions, strict=True):
            known = self.history.get(entry.key)
            if known is None:
                # What we have had from this peer and do not know was purged by all, and it is behind.
                # Others are news, gone ones too: a third replica may still tell us that they live.
                if at > had:
                    self._take(entry, now)
            elif entry.order > known.order:
                self._take(self._refute_lapse(entry, known, now), now)
        if response.changes.is_full:
            self._remove_purged(response, ours)
        self.seen[response.peer] = max(response.changes.revision, self.seen.get(response.peer, 0))
        for name, revision in response.seen.items():
            if name != self._settings.name and name in self._last_response_at:
                self.seen[name] = max(revision, self.seen.get(name, 0))

    def _refute_lapse(self, entry: Entry, known: Entry, now: float) -> Entry:
        """Another says that a lease of ours has lapsed, and it runs: it is a turn further, and alive."""
        ours = known.holder == self._settings.name and entry.incarnation == known.incarnation
        if (
            ours
            and entry.lapsed
            and entry.lifecycle is known.lifecycle
            and self.leases.is_alive(known.key, now)
        ):
            self._log.append(Log(f"registry: {entry.id} lives: {entry.holder} had given up its lease"))
            return with_holder(entry, self._settings.name)
        return entry

    def _remove_purged(self, response: PeerResponse, ours: int) -> None:
        """A peer's whole list lacks what it has had from us: it was removed, and purged by everybody."""
        listed = {entry.key for entry in response.changes.entries}
        for entry in list(self.history.entries()):
            if entry.key not in listed and not entry.is_gone and self.history.revision_of(entry.key) <= ours:
                gone = replace(entry, lifecycle=Lifecycle.REMOVED, turn=entry.turn + 1)
                self._log.append(Log(f"registry: {entry.id} was removed while we were away"))
                self._take(gone, self._maintained_at)

    # ---- time ------------------------------------------------------------------------------------

    def _maintain(self, now: float) -> None:
        was_suspended = self.leases.is_suspended
        peer_leases = self._peer_leases(now)
        for key in self.leases.expire(now, peer_leases):
            entry = self.history.get(key)
            if entry is not None and not entry.is_gone:
                self._log.append(Log(f"registry: {entry.id} has not renewed its lease: left"))
                holder = self._settings.name
                self._take(replace(entry, lapsed=True, holder=holder, turn=entry.turn + 1), now)
        if self.leases.is_suspended and not was_suspended:
            late, held = self.leases.late_count(now) + peer_leases.late, len(self.leases) + peer_leases.held
            self._log.append(Log(f"registry: {late} of {held} registrants are late: nobody is taken off"))
        elif was_suspended and not self.leases.is_suspended:
            self._log.append(Log("registry: registrants renew again: leases count as before"))
        if now >= self._maintained_at + MAINTENANCE_MS:
            self._maintained_at = now
            self._take_over_leases(now)
            self._purge(now)

    def _peer_leases(self, now: float) -> PeerLeases:
        """The leases of the peers that can be heard."""
        heard = [name for name, at in self._last_response_at.items() if now - at < PEER_TIMEOUT_MS]
        late = sum(self._peer_lease_counts[name][0] for name in heard)
        held = sum(self._peer_lease_counts[name][1] for name in heard)
        return PeerLeases(late, held, min((self._last_response_at[name] for name in heard), default=inf))

    def _take_over_leases(self, now: float) -> None:
        """Take over the leases of a peer that has been silent for many of them."""
        silent = {name: now - heard for name, heard in self._last_response_at.items()}
        for entry in list(self.history.entries()):
            since = silent.get(entry.holder)
            if since is None or entry.is_gone or not entry.lease_ms:
                continue
            if since >= ORPHAN_LEASES * entry.lease_ms and self._is_first_reachable(entry.holder, silent):
                self._log.append(Log(f"registry: {entry.holder} is silent: the lease of {entry.id} is ours"))
                self._take(with_holder(entry, self._settings.name), now)

    def _is_first_reachable(self, holder: str, silent: dict[str, float]) -> bool:
        """Whether we are the first in order of those that can be heard: one adopter is enough."""
        heard = [name for name, since in silent.items() if name != holder and since < silent[holder] / 2]
        return self._settings.name <= min(heard, default=self._settings.name)

    def _purge(self, now: float) -> None:
        for key, since in list(self._gone_since.items()):
            everybody = all(
                self.acked.get(p, 0) >= self.history.revision_of(key) for p in self._settings.peers
            )
            if (
                everybody and now - since >= MIN_TOMBSTONE_MS
            ) or now - since >= self._settings.tombstone_ttl_ms:
                self.history.purge(key)
                del self._gone_since[key]
                self._purged.append(key)


def _choose_incarnation(entry: Entry, known: Entry | None) -> int:
    """The incarnation of a registrant that names none: the same while it says the same, else the next."""
    if known is None:
        return max(int(entry.up_since_ms), 0)
    if (
        known.lifecycle is not Lifecycle.REMOVED
        and entry.lifecycle >= known.lifecycle
        and entry.has_same_values(known)
    ):
        return known.incarnation
    return max(known.incarnation + 1, int(entry.up_since_ms))


def _rejection_reason(entry: Entry, known: Entry) -> str:
    """Why a write can't be taken, or nothing."""
    if entry.incarnation < known.incarnation:
        return f"incarnation: {entry.incarnation} is older than {known.incarnation}, which is listed"
    if entry.incarnation > known.incarnation:
        return ""
    if entry.lifecycle < known.lifecycle:
        return (
            f"phase: incarnation {known.incarnation} is {known.phase} already; allowed: a higher incarnation"
        )
    if not entry.has_same_values(known):
        return f"incarnation: {known.incarnation} is listed with other values; allowed: a higher one"
    return ""


def merge_lists(one: tuple[Entry, ...], other: tuple[Entry, ...]) -> dict[Key, Entry]:
    """Two lists as one: of each instance the later report."""
    found = {entry.key: entry for entry in one}
    for entry in other:
        found[entry.key] = later_entry(found[entry.key], entry) if entry.key in found else entry
    return found
