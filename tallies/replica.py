"""One replica of all tallies, without I/O: accepts adds, replicates them and repairs differences.

An add is acknowledged once it is on this process's disk and on those of `copies` - 1 other replicas, or on
those of all reachable ones. A tolerated loss of disks therefore leaves a copy, while a partition that is cut
off continues on its own. Repair covers partitions and lost messages: each replica sends all others a summary
of its adds. Where summaries differ, the two replicas compare digests of time spans, the newest first, and
exchange the adds of the spans that differ. Times are milliseconds of the monotonic clock; stamps are
wall-clock time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from loguru import logger

from tallies.adds import AddSet
from tallies.digest_tree import LEAF_MS, ROOT, Node, encode_hash_sum, span_ms
from tallies.effects import Acknowledge, Effect, PersistAdds, PersistState, Send
from tallies.messages import (
    Add,
    ChildDigests,
    FoldedAdds,
    FoldedAddsRequest,
    Message,
    PushAck,
    PushAdds,
    RangeAdds,
    RangeDigest,
    Snapshot,
    Summary,
)

PUSH_TIMEOUT_MS = 300.0  # A replica that leaves a push unconfirmed for this long is unreachable.
# Interval between summaries to a peer while adds arrive or the two differ.
SUMMARY_INTERVAL_MS = 300.0
MIN_LOGGED_DIFFERENCE_MS = 1_500.0  # A difference that lasted at least this long is logged when it ends.
QUIET_SUMMARY_INTERVAL_MS = 2_000.0  # Interval between summaries while nothing changes and the two are equal.
QUIET_AFTER_MS = 5_000.0  # Time without a change before the longer interval applies.
EXCHANGE_TIMEOUT_MS = 200.0  # While spans are being compared, no summary is sent to the peer for this long.
# A span with at most this many adds on both sides is exchanged rather than compared further.
MAX_EXCHANGED_ADDS = 64
# Adds younger than this are left out of summaries: their pushes may still be in transit.
PUSH_GRACE_MS = 200.0
# Minimum time for which ids are kept; a repeated add counts once within it.
ID_RETENTION_MS = 300_000
FOLD_LEVEL = 2  # Folded time ends at a span of this level.
FOLD_SPANS = 4  # Minimum number of such spans folded at once.
# Stamps follow the newest known stamp, unless it is further ahead of the local wall clock.
MAX_CLOCK_LEAD_MS = 60_000
MAX_LIVE_ADDS = 200_000  # Limit of the adds that are not folded.
MAX_TALLIES = 10_000


@dataclass(slots=True)
class _PeerState:
    """What is known of another replica."""

    # Send time of the pushes that it has not confirmed, by number.
    unacked: dict[int, float] = field(default_factory=dict)
    summary_sent_at: float = -1e9
    exchanged_at: float = -1e9
    is_equal: bool = False  # Both sides had the same adds at its last summary.
    heard_at: float = -1e9
    differs_since: float | None = None
    has_matched: bool = False  # The two have been equal at least once since the start.
    agreed_until: int = 0  # The two are equal before this time.

    def log_difference(self, ip: str, now: float) -> None:
        """Logs the end of a difference that lasted longer than messages usually take."""
        if not self.is_equal:
            self.differs_since = now if self.differs_since is None else self.differs_since
            return
        if self.differs_since is not None and now - self.differs_since >= MIN_LOGGED_DIFFERENCE_MS:
            logger.info("event=tallies_agree peer={} after_ms={:.0f}", ip, now - self.differs_since)
        self.differs_since = None

    def is_reachable(self, now: float) -> bool:
        """Whether it confirms pushes in time."""
        return now - min(self.unacked.values(), default=now) <= PUSH_TIMEOUT_MS


@dataclass(slots=True)
class _PendingAdd:
    """An add that is not acknowledged yet."""

    token: int
    record: int  # The record that stores the add on the local disk.
    recipients: frozenset[str]
    synced_by: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The state of another replica for reports; durations in milliseconds."""

    ip: str
    is_equal: bool
    silent_ms: float
    differs_ms: float  # 0 while the two are equal.


class TallyReplica:
    """The state of the tallies of one control process; its host carries out the effects."""

    def __init__(self, copies: int, ready_ms: float, now: float) -> None:
        """Creates an empty replica.

        `copies`: the number of disks that hold an add before it is acknowledged, if so many replicas are
        reachable. `ready_ms`: how long to wait after the start for other replicas, which may hold adds that
        this one has lost.
        """
        self._copies, self._ready_at = copies, now + ready_ms
        self.adds = AddSet()
        self._peers: dict[str, _PeerState] = {}
        self._knows_members = False
        self._record, self._synced, self._push = 0, 0, 0
        self._waiting: dict[int, _PendingAdd] = {}  # By push number.
        # Record, IP and push; confirmed once the record is synced.
        self._pending_acks: list[tuple[int, str, int]] = []
        self._changed_at = now
        # The newest stamp as of a while ago by the monotonic clock, as wall clocks of different machines
        # differ by seconds.
        self._sampled_at, self._sampled_stamp, self._aged_stamp = now, 0, 0
        self._effects: list[Effect] = []
        self.compared_digests, self.sent_adds, self.repaired_adds = 0, 0, 0  # Counters for metrics.

    # ---- inputs

    def load(self, state: Snapshot) -> None:
        """Loads the state found on disk at the start."""
        self.adds.load(state)
        self._sampled_stamp = self._aged_stamp = self.adds.newest

    def set_peers(self, ips: Iterable[str]) -> None:
        """Sets the IPs of the other members of the control group."""
        self._knows_members = True
        new_ips = set(ips)
        if new_ips != self._peers.keys():
            self._peers = {ip: self._peers.get(ip) or _PeerState() for ip in sorted(new_ips)}

    def is_ready(self, now: float) -> bool:
        """Whether lost adds have been recovered: all peers have matched once, or the waiting time is over."""
        if now >= self._ready_at:
            return True
        return self._knows_members and all(peer.has_matched for peer in self._peers.values())

    def has_room(self, tally: str) -> bool:
        """Whether one more add to a tally is within the limits."""
        if self.adds.live >= MAX_LIVE_ADDS:
            return False
        return self.adds.has_tally(tally) or self.adds.tally_count() < MAX_TALLIES

    def add(self, token: int, tally: str, id_: str, amount: int, wall_ms: int, now: float) -> None:
        """Accepts an add or a repeat of it; `Acknowledge` follows once it is stored safely."""
        add = self.adds.find(tally, id_)
        if add is None:
            newest = min(self.adds.newest, wall_ms + MAX_CLOCK_LEAD_MS)
            add = Add(tally, id_, amount, max(wall_ms, newest, self.adds.folded_until))
            self.adds.merge((add,))
        self._changed_at = now
        # A repeated add is stored and pushed again: the process that accepted it first may have failed before
        # that.
        record = self._persist((add,))
        self._push += 1
        recipients = [ip for ip, peer in self._peers.items() if peer.is_reachable(now)]
        for ip in recipients:
            self._peers[ip].unacked[self._push] = now
            self._effects.append(Send(ip, PushAdds(self._push, (add,))))
        self._waiting[self._push] = _PendingAdd(token, record, frozenset(recipients))

    def on_synced(self, record: int, now: float) -> None:
        """All records up to this one are on disk."""
        self._synced = max(self._synced, record)
        due_acks = [ack for ack in self._pending_acks if ack[0] <= self._synced]
        self._pending_acks = [ack for ack in self._pending_acks if ack[0] > self._synced]
        for _, ip, push in due_acks:
            self._effects.append(Send(ip, PushAck(push)))
        self._acknowledge_safe(now)

    def on_message(self, ip: str, message: Message, now: float) -> None:
        """Handles a message from the control process at an IP; non-members are answered too."""
        peer = self._peers.get(ip) or _PeerState()
        peer.heard_at = now
        peer.unacked = {number: at for number, at in peer.unacked.items() if now - at <= PUSH_TIMEOUT_MS}
        match message:
            case PushAdds(number, adds):
                self._merge(adds, now)
                self._pending_acks.append((self._persist(adds), ip, number))
            case PushAck(number):
                peer.unacked.pop(number, None)
                if (pending := self._waiting.get(number)) is not None:
                    pending.synced_by.add(ip)
                    self._acknowledge_safe(now)
            case Summary():
                self._on_summary(ip, peer, message, now)
            case ChildDigests(level, index, below):
                peer.exchanged_at = now
                self._compare(ip, (level, index), below)
            case RangeAdds():
                peer.exchanged_at = now
                self._exchange(ip, message, now)
            case FoldedAddsRequest(until) if self.adds.folded_until >= until:
                self._effects.append(Send(ip, self.adds.folded_message()))
            case FoldedAdds() if message.until > self.adds.folded_until:
                self.adds.adopt(message)
                self._changed_at = now
                self._effects.append(PersistState())

    def tick(self, wall_ms: int, now: float) -> None:
        """Sends summaries, folds old adds and stops waiting for unreachable replicas; called periodically."""
        self._acknowledge_safe(now)
        if now - self._sampled_at >= PUSH_GRACE_MS:
            self._sampled_at, self._aged_stamp, self._sampled_stamp = (
                now,
                self._sampled_stamp,
                self.adds.newest,
            )
        for ip, peer in self._peers.items():
            is_quiet = peer.is_equal and now - self._changed_at > QUIET_AFTER_MS
            interval_ms = QUIET_SUMMARY_INTERVAL_MS if is_quiet else SUMMARY_INTERVAL_MS
            if now - peer.summary_sent_at >= interval_ms and now - peer.exchanged_at >= EXCHANGE_TIMEOUT_MS:
                peer.summary_sent_at = now
                self._effects.append(Send(ip, self._summary(wall_ms)))
        self._fold(wall_ms)

    def take_effects(self) -> list[Effect]:
        """Returns the pending effects in order, and clears them."""
        effects, self._effects = self._effects, []
        return effects

    def peer_statuses(self, now: float) -> list[PeerStatus]:
        """Returns for reports how each other member compares with this replica."""
        return [
            PeerStatus(ip, peer.is_equal, now - peer.heard_at, now - (peer.differs_since or now))
            for ip, peer in self._peers.items()
        ]

    # ---- adds

    def _persist(self, adds: tuple[Add, ...]) -> int:
        self._record += 1
        self._effects.append(PersistAdds(self._record, adds))
        return self._record

    def _merge(self, adds: tuple[Add, ...], now: float) -> list[Add]:
        changed = self.adds.merge(adds)
        if changed:
            self._changed_at = now
        return changed

    def _acknowledge_safe(self, now: float) -> None:
        """Acknowledges the pending adds that are stored safely."""
        for push, pending in list(self._waiting.items()):
            if self._is_safe(pending, now):
                del self._waiting[push]
                self._effects.append(Acknowledge(pending.token))

    def _is_safe(self, pending: _PendingAdd, now: float) -> bool:
        if pending.record > self._synced:
            return False
        if len(pending.synced_by) >= self._copies - 1:
            return True
        unconfirmed = pending.recipients - pending.synced_by
        return not any(ip in self._peers and self._peers[ip].is_reachable(now) for ip in unconfirmed)

    # ---- repair

    def _summary(self, wall_ms: int) -> Summary:
        settled_until = self._settled_until(wall_ms)
        settled = self.adds.sum_before(settled_until) or (0, 0)
        until = max((self._aged_stamp // LEAF_MS + 1) * LEAF_MS, settled_until)
        folded, pushed = self.adds.folded(), self.adds.sum_before(until) or (0, 0)
        return Summary(
            self.adds.folded_until,
            folded[0],
            encode_hash_sum(folded[1]),
            settled_until,
            settled[0],
            encode_hash_sum(settled[1]),
            until,
            pushed[0],
            encode_hash_sum(pushed[1]),
        )

    def _settled_until(self, wall_ms: int) -> int:
        """The end of the last span in which all ids are older than `ID_RETENTION_MS`."""
        span = span_ms(FOLD_LEVEL)
        return max((wall_ms - ID_RETENTION_MS) // span * span, self.adds.folded_until)

    def _on_summary(self, ip: str, peer: _PeerState, summary: Summary, now: float) -> None:
        self.compared_digests += 1
        peer.is_equal = self._is_same_before(summary.until, summary.count, summary.digest)
        peer.has_matched |= peer.is_equal
        peer.log_difference(ip, now)
        if self._is_same_before(summary.settled_until, summary.settled_count, summary.settled_digest):
            peer.agreed_until = summary.settled_until
        if peer.is_equal:
            return
        if summary.folded_until > self.adds.folded_until and not self._is_same_before(
            summary.folded_until, summary.folded_count, summary.folded_digest
        ):
            self._effects.append(Send(ip, FoldedAddsRequest(summary.folded_until)))
        if now - peer.exchanged_at >= EXCHANGE_TIMEOUT_MS:
            peer.exchanged_at = now
            self._effects.append(Send(ip, self._digests(ROOT)))

    def _is_same_before(self, until: int, count: int, digest: bytes) -> bool:
        own = self.adds.sum_before(until)
        return own is not None and (own[0], encode_hash_sum(own[1])) == (count, digest)

    def _digests(self, node: Node) -> ChildDigests:
        return ChildDigests(*node, tuple(self.adds.tree.children_of(node)))

    def _compare(self, ip: str, node: Node, digests: tuple[RangeDigest, ...]) -> None:
        """Compares a peer's child digests; spans that differ are compared further or exchanged."""
        theirs = {(entry.level, entry.index): entry for entry in digests}
        ours = {(entry.level, entry.index): entry for entry in self.adds.tree.children_of(node)}
        self.compared_digests += len(theirs)
        for child in sorted(theirs.keys() | ours.keys(), reverse=True):
            if theirs.get(child) == ours.get(child):
                continue
            count = sum(side[child].count for side in (theirs, ours) if child in side)
            if child[0] == 0 or count <= MAX_EXCHANGED_ADDS:
                self._send_range(ip, child, tuple(self.adds.tree.adds_in(child)), answer=True)
            else:
                self._effects.append(Send(ip, self._digests(child)))

    def _exchange(self, ip: str, message: RangeAdds, now: float) -> None:
        changed = self._merge(message.adds, now)
        self.repaired_adds += len(changed)
        if changed:
            self._persist(tuple(changed))
        if message.answer:
            peer_adds = set(message.adds)
            missing = [
                add for add in self.adds.tree.adds_in((message.level, message.index)) if add not in peer_adds
            ]
            if missing:
                self._send_range(ip, (message.level, message.index), tuple(missing), answer=False)

    def _send_range(self, ip: str, node: Node, adds: tuple[Add, ...], answer: bool) -> None:
        self.sent_adds += len(adds)
        self._effects.append(Send(ip, RangeAdds(*node, adds, answer)))

    # ---- folding

    def _fold(self, wall_ms: int) -> None:
        """Folds the adds that all members have and that are too old to be repeated."""
        until = min([self._settled_until(wall_ms), *(peer.agreed_until for peer in self._peers.values())])
        is_due = self._knows_members and until - self.adds.folded_until >= FOLD_SPANS * span_ms(FOLD_LEVEL)
        if is_due and self.adds.sum_before(until) != self.adds.folded():
            self.adds.fold(until)
            self._effects.append(PersistState())
