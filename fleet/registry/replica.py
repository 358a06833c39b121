"""A replica of the registry: accepts writes, answers readers, and converges with its peers by anti-entropy.

Why there is no leader and no quorum: the list must be available when most of the service is not, and a server
must be able to register at any replica it can reach. Of two writes to an instance, the one that its
registrant made later must win, and the entries themselves say which that is (`entries.order`). So each
replica accepts writes alone and passes its log to its peers, and each takes over later versions from the
others. Guaranteed: reads are always answered; an acknowledged write is on that replica's disk and reaches
every reachable replica, unless a later write to the same instance supersedes it; replicas that can reach
each other converge to the same list. Not guaranteed: a single order of all changes; that a write at one
replica is immediately visible at another.

Invariants:
1. At every replica, an entry only moves up in `entries.order`; the same entries in any order give the same
   list.
2. Revisions never go back for a reader, and no answer wrongly says that nothing changed (`history.py`).
3. Only the holder of a lease marks it lapsed, and a holder refutes it if another replica did. The leases of
   a holder that has been silent for `ORPHAN_LEASES` times their length are taken over and start anew.
4. No instance is removed while many leases are late at once (`leases.py`).
5. A gone entry is purged only when every peer has asked for changes after it, or after `tombstone_ttl_ms`. A
   peer's entry that is unknown here, although the peer knows that this replica had it, has been purged.
6. A write is acknowledged only after the host has carried out its `Persist`; if that fails, it is rejected.

Times are milliseconds on the caller's monotonic clock. The caller carries out actions in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import inf

from fleet.registry.entries import Entry, Key, Lifecycle, later_entry, with_holder
from fleet.registry.history import Changes, History, HistoryState
from fleet.registry.leases import Leases, PeerLeases

ORPHAN_LEASES = 10
MIN_TOMBSTONE_MS = 600_000.0  # minimum retention of a gone entry, for watchers that reconnect late
PEER_TIMEOUT_MS = 5_000.0  # a peer without an answer for this long is considered unreachable
MAINTENANCE_MS = 1_000.0  # interval of purging gone entries and taking over orphaned leases


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one replica; durations in milliseconds.

    A replica may be offline for at most `tombstone_ttl_ms` and return with its old state: after a longer
    absence, entries removed meanwhile could reappear.
    """

    name: str
    peers: tuple[str, ...] = ()
    tombstone_ttl_ms: float = 86_400_000.0

    def __post_init__(self) -> None:
        if not self.name or self.name in self.peers or len(set(self.peers)) != len(self.peers):
            raise ValueError("name, peers: allowed are unique, non-empty names")

    @property
    def slot(self) -> int:
        """This replica's position among all sorted names, used as the last digit of its revisions."""
        return sorted((self.name, *self.peers)).index(self.name)


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Put:
    """A registrant registers or renews; `incarnation` is None if it gave none."""

    call: int
    entry: Entry
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class Remove:
    """A request to remove an instance; `incarnation` None means whichever is listed."""

    call: int
    key: Key
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class PeerResponse:
    """A peer's answer: changes or its full list, its version vector, and its lease counts."""

    peer: str
    changes: Changes
    seen: dict[str, int] = field(default_factory=dict)
    late: int = 0
    held: int = 0


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A peer asks for the changes since a revision, and so has stored everything up to it."""

    peer: str
    after: int


@dataclass(frozen=True, slots=True)
class TimeDue:
    """The time of the last `SetTimer` has come."""


Event = Put | Remove | PeerResponse | PeerRequest | TimeDue

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Persist:
    """Writes entries to disk, and deletes the `purged` ones, before any following action."""

    entries: tuple[tuple[int, Entry], ...]
    purged: tuple[Key, ...] = ()


@dataclass(frozen=True, slots=True)
class ListsChanged:
    """Readers of these lists, and peers, can be notified of changes."""

    lists: frozenset[str]


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a write: with status 200 the stored `entry`, else a one-line `reason`."""

    call: int
    status: int
    entry: Entry | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests a `TimeDue` event at `at_ms`, in place of any earlier request."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a line to the log."""

    text: str


Action = Persist | ListsChanged | Reply | SetTimer | Log


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """The state that a replica persists."""

    history: HistoryState = field(default_factory=HistoryState)
    seen: dict[str, int] = field(default_factory=dict)
    acked: dict[str, int] = field(default_factory=dict)


class Replica:
    """The state machine of one replica."""

    def __init__(
        self, settings: Settings, start_s: float, now: float, state: ReplicaState | None = None
    ) -> None:
        """`start_s` is the Unix time, `now` the caller's clock, `state` the state read from disk."""
        state = state or ReplicaState()
        self._settings = settings
        self.history = History(settings.slot, start_s, state.history)
        self.leases = Leases()
        self.seen = dict(state.seen)  # per peer: the peer's revision up to which everything is held here
        self.acked = dict(state.acked)  # per peer: the own revision up to which the peer has everything
        self._last_response_at = dict.fromkeys(settings.peers, now)  # per peer
        self._peer_lease_counts = dict.fromkeys(
            settings.peers, (0, 0)
        )  # per peer: late and held, as last reported
        self._gone_since: dict[Key, float] = {}
        self._changed: dict[Key, None] = {}
        self._purged: list[Key] = []
        self._log: list[Action] = []
        self._maintained_at = now
        for entry in self.history.entries():
            self._watch(entry, now)

    # ---- events and queries ------------------------------------------------------------------------

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles one event and returns the actions to carry out, in order."""
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
        """Returns the revision up to which each replica's log, this one's included, is held here."""
        return {**self.seen, self._settings.name: self.history.revision}

    def lease_counts(self, now: float) -> tuple[int, int]:
        """Returns the numbers of late leases and of all leases held here."""
        return self.leases.late_count(now), len(self.leases)

    def is_expiry_suspended(self) -> bool:
        """Returns whether no instance is removed because too many leases are late."""
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
        is_own = entry.holder == self._settings.name and not entry.lapsed
        if (
            known is None
            or entry.lifecycle is not known.lifecycle
            or entry.incarnation != known.incarnation
            or not is_own
        ):
            if known is not None and known.lapsed and known.incarnation == entry.incarnation:
                self._log.append(Log(f"registry: {entry.id} renewed after its lease had lapsed"))
            self._store(with_holder(entry, self._settings.name), now)
        stored = self.history.get(entry.key)
        if entry.lease_ms and stored is not None and not stored.is_gone:
            self.leases.renew(entry.key, entry.lease_ms, now)
        return Reply(put.call, 200, stored)

    def _remove(self, event: Remove, now: float) -> Reply:
        known = self.history.get(event.key)
        if known is None:
            return Reply(event.call, 404, reason=f"id: no instance {event.key[1]!r} is listed")
        number = known.incarnation if event.incarnation is None else event.incarnation
        if number < known.incarnation:
            reason = f"incarnation: {number} is older than {known.incarnation}, which is listed"
            return Reply(event.call, 409, reason=reason)
        if known.lifecycle is not Lifecycle.REMOVED or number != known.incarnation:
            turn = known.turn + 1 if number == known.incarnation else 0
            holder = self._settings.name
            self._store(
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

    def _store(self, entry: Entry, now: float) -> None:
        self.history.put(entry)
        self._changed[entry.key] = None
        self._watch(entry, now)

    def _watch(self, entry: Entry, now: float) -> None:
        """Tracks the lease of an entry that is held here or by an unknown replica, and when an entry went."""
        if entry.is_gone:
            self._gone_since.setdefault(entry.key, now)
        else:
            self._gone_since.pop(entry.key, None)
        is_held_here = entry.holder == self._settings.name or entry.holder not in self._last_response_at
        if is_held_here and entry.lease_ms and not entry.is_gone:
            if entry.key not in self.leases:
                self.leases.renew(entry.key, entry.lease_ms, now)
        else:
            self.leases.release(entry.key)

    # ---- peers -----------------------------------------------------------------------------------

    def _on_peer_response(self, response: PeerResponse, now: float) -> None:
        if response.peer not in self._last_response_at:
            self._log.append(
                Log(f"registry: {response.peer} is not a peer of this replica; ignoring its answer")
            )
            return
        self._last_response_at[response.peer], self._peer_lease_counts[response.peer] = (
            now,
            (response.late, response.held),
        )
        acked, previous = response.seen.get(self._settings.name, 0), self.seen.get(response.peer, 0)
        for entry, at in zip(response.changes.entries, response.changes.revisions, strict=True):
            known = self.history.get(entry.key)
            if known is None:
                # An entry received from this peer before and unknown now was purged everywhere; the peer is
                # behind. Any other is new, gone ones too: a third replica may still list them as alive.
                if at > previous:
                    self._store(entry, now)
            elif entry.order > known.order:
                self._store(self._refute_lapse(entry, known, now), now)
        if response.changes.is_full:
            self._remove_purged(response, acked)
        self.seen[response.peer] = max(response.changes.revision, self.seen.get(response.peer, 0))
        for name, revision in response.seen.items():
            if name != self._settings.name and name in self._last_response_at:
                self.seen[name] = max(revision, self.seen.get(name, 0))

    def _refute_lapse(self, entry: Entry, known: Entry, now: float) -> Entry:
        """Returns the entry to store; it refutes a peer that marked a valid lease of this replica lapsed."""
        is_own = known.holder == self._settings.name and entry.incarnation == known.incarnation
        if (
            is_own
            and entry.lapsed
            and entry.lifecycle is known.lifecycle
            and self.leases.is_alive(known.key, now)
        ):
            self._log.append(
                Log(f"registry: {entry.id} is alive; {entry.holder} had marked its lease lapsed")
            )
            return with_holder(entry, self._settings.name)
        return entry

    def _remove_purged(self, response: PeerResponse, acked: int) -> None:
        """Removes entries that the peer once had and no longer lists: they were purged everywhere."""
        listed = {entry.key for entry in response.changes.entries}
        for entry in list(self.history.entries()):
            if entry.key not in listed and not entry.is_gone and self.history.revision_of(entry.key) <= acked:
                gone = replace(entry, lifecycle=Lifecycle.REMOVED, turn=entry.turn + 1)
                self._log.append(Log(f"registry: {entry.id} was removed while this replica was offline"))
                self._store(gone, self._maintained_at)

    # ---- time ------------------------------------------------------------------------------------

    def _maintain(self, now: float) -> None:
        was_suspended = self.leases.is_suspended
        peer_leases = self._peer_leases(now)
        for key in self.leases.expire(now, peer_leases):
            entry = self.history.get(key)
            if entry is not None and not entry.is_gone:
                self._log.append(Log(f"registry: {entry.id} did not renew its lease; marked as left"))
                holder = self._settings.name
                self._store(replace(entry, lapsed=True, holder=holder, turn=entry.turn + 1), now)
        if self.leases.is_suspended and not was_suspended:
            late, held = self.leases.late_count(now) + peer_leases.late, len(self.leases) + peer_leases.held
            self._log.append(Log(f"registry: {late} of {held} leases are late; lease expiry is suspended"))
        elif was_suspended and not self.leases.is_suspended:
            self._log.append(Log("registry: leases are renewed again; lease expiry is resumed"))
        if now >= self._maintained_at + MAINTENANCE_MS:
            self._maintained_at = now
            self._take_over_leases(now)
            self._purge(now)

    def _peer_leases(self, now: float) -> PeerLeases:
        """Returns the lease counts of the reachable peers."""
        reachable = [name for name, at in self._last_response_at.items() if now - at < PEER_TIMEOUT_MS]
        late = sum(self._peer_lease_counts[name][0] for name in reachable)
        held = sum(self._peer_lease_counts[name][1] for name in reachable)
        return PeerLeases(late, held, min((self._last_response_at[name] for name in reachable), default=inf))

    def _take_over_leases(self, now: float) -> None:
        """Takes over leases whose holder has been silent for `ORPHAN_LEASES` times their length."""
        silent = {name: now - answered_at for name, answered_at in self._last_response_at.items()}
        for entry in list(self.history.entries()):
            since = silent.get(entry.holder)
            if since is None or entry.is_gone or not entry.lease_ms:
                continue
            if since >= ORPHAN_LEASES * entry.lease_ms and self._is_first_reachable(entry.holder, silent):
                self._log.append(
                    Log(f"registry: {entry.holder} is silent; taking over the lease of {entry.id}")
                )
                self._store(with_holder(entry, self._settings.name), now)

    def _is_first_reachable(self, holder: str, silent: dict[str, float]) -> bool:
        """Returns whether this replica is the first by name that is reachable; only that one takes over."""
        reachable = [name for name, since in silent.items() if name != holder and since < silent[holder] / 2]
        return self._settings.name <= min(reachable, default=self._settings.name)

    def _purge(self, now: float) -> None:
        for key, since in list(self._gone_since.items()):
            is_acked_by_all = all(
                self.acked.get(p, 0) >= self.history.revision_of(key) for p in self._settings.peers
            )
            if (
                is_acked_by_all and now - since >= MIN_TOMBSTONE_MS
            ) or now - since >= self._settings.tombstone_ttl_ms:
                self.history.purge(key)
                del self._gone_since[key]
                self._purged.append(key)


def _choose_incarnation(entry: Entry, known: Entry | None) -> int:
    """Returns the incarnation for a registrant without one: the known one if unchanged, else the next."""
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
    """Returns why a write must be rejected, or an empty string."""
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
    """Merges two lists, keeping the later version of each entry."""
    found = {entry.key: entry for entry in one}
    for entry in other:
        found[entry.key] = later_entry(found[entry.key], entry) if entry.key in found else entry
    return found
