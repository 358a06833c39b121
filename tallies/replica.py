"""One replica of all tallies, sans IO: takes adds, brings them to the others, and repairs what differs.

An add is acknowledged once it is on our disk and on those of `copies` - 1 others, or of all that are in
touch: what a loss of disks may take is on one more, and a side that is cut off goes on by itself. Behind a
cut, and wherever a message was lost, repair finds the difference: each replica tells all others the digest
of all that it has, and where that differs the two compare digests of spans of time, the newest first, and
exchange the adds of the spans that differ. Times are in milliseconds of the steady clock, stamps of the
time of day.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from loguru import logger

from tallies.adds import AddSet
from tallies.effects import Acknowledge, Effect, PersistAdds, PersistState, Send
from tallies.messages import (
    Add,
    Digests,
    FoldedAdds,
    Kept,
    Message,
    Push,
    RangeAdds,
    RangeDigest,
    State,
    Summary,
    WantFolded,
)
from tallies.ranges import LEAF_MS, ROOT, Node, encode_hash_sum, span_ms

PUSH_TIMEOUT_MS = 300.0  # a replica that has not said for so long that it has kept something is out of touch
SUMMARY_INTERVAL_MS = (
    300.0  # between two words to another on all that we have, while something changes or differs
)
MIN_LOGGED_DIFFERENCE_MS = 1_500.0  # a difference that lasts so long is worth a line once it is over
QUIET_SUMMARY_INTERVAL_MS = 2_000.0  # the same while nothing has
QUIET_AFTER_MS = 5_000.0  # so long after a change nothing counts as quiet
EXCHANGE_TIMEOUT_MS = 200.0  # spans that are being compared are left to that for so long
MAX_EXCHANGED_ADDS = 64  # adds of both in a span that are exchanged, not compared further
PUSH_GRACE_MS = 200.0  # what was taken within this is on its way by itself, and no sign of a difference
# Ids are kept for so long at the least: an add that comes again within this counts once.
ID_RETENTION_MS = 300_000
FOLD_LEVEL = 2  # what is folded ends with a span of this level
FOLD_SPANS = 4  # so many of those are folded at once at the least
MAX_CLOCK_LEAD_MS = 60_000  # stamps follow the newest of others that are no further ahead of our time of day
MAX_LIVE_ADDS = 200_000  # adds whose ids are kept
MAX_TALLIES = 10_000


@dataclass(slots=True)
class _PeerState:
    """Another replica, as far as we know."""

    unacked: dict[int, float] = field(
        default_factory=dict
    )  # pushes that it has not kept yet: when they were sent
    summary_sent_at: float = -1e9
    exchanged_at: float = -1e9
    is_equal: bool = False  # it had all that we had, and we all that it had, when it last told
    heard_at: float = -1e9
    differs_since: float | None = None
    has_matched: bool = False  # that was so once since we started
    agreed_until: int = 0  # what lies before was the same there as here

    def log_difference(self, ip: str, now: float) -> None:
        """Log when it differs for longer than a message is on the way, and when it agrees again."""
        if not self.is_equal:
            self.differs_since = now if self.differs_since is None else self.differs_since
            return
        if self.differs_since is not None and now - self.differs_since >= MIN_LOGGED_DIFFERENCE_MS:
            logger.info("event=tallies_agree peer={} after_ms={:.0f}", ip, now - self.differs_since)
        self.differs_since = None

    def is_reachable(self, now: float) -> bool:
        """Whether it says in time that it has kept what it was sent."""
        return now - min(self.unacked.values(), default=now) <= PUSH_TIMEOUT_MS


@dataclass(slots=True)
class _PendingAdd:
    """An add that is not acknowledged yet."""

    token: int
    record: int  # it is on our disk with this one
    recipients: frozenset[str]
    synced_by: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a report tells of another replica; spans in milliseconds."""

    ip: str
    is_equal: bool
    silent_ms: float
    differs_ms: float  # 0 while it does not


class TallyReplica:
    """The state of one control process; its host carries out the effects."""

    def __init__(self, copies: int, ready_ms: float, now: float) -> None:
        """`copies`: disks that an add is on, where so many are in touch.

        `ready_ms`: so long after the start, at the most, others are awaited that may know what we have lost.
        """
        self._copies, self._ready_at = copies, now + ready_ms
        self.adds = AddSet()
        self._peers: dict[str, _PeerState] = {}
        self._knows_members = False
        self._record, self._synced, self._push = 0, 0, 0
        self._waiting: dict[int, _PendingAdd] = {}  # by push
        self._pending_acks: list[
            tuple[int, str, int]
        ] = []  # record, IP, push: told once the record is synced
        self._changed_at = now
        # The newest stamp as it was a while ago by our steady clock: clocks of the day disagree by seconds.
        self._sampled_at, self._sampled_stamp, self._aged_stamp = now, 0, 0
        self._effects: list[Effect] = []
        self.compared_digests, self.sent_adds, self.repaired_adds = 0, 0, 0  # for figures

    # ---- inputs

    def load(self, state: State) -> None:
        """What the disk had at our start."""
        self.adds.load(state)
        self._sampled_stamp = self._aged_stamp = self.adds.newest

    def set_peers(self, ips: Iterable[str]) -> None:
        """The other members of the control state."""
        self._knows_members = True
        wanted = set(ips)
        if wanted != self._peers.keys():
            self._peers = {ip: self._peers.get(ip) or _PeerState() for ip in sorted(wanted)}

    def is_ready(self, now: float) -> bool:
        """Whether what we may have lost is here again: all others had the same, or have had the time."""
        if now >= self._ready_at:
            return True
        return self._knows_members and all(peer.has_matched for peer in self._peers.values())

    def has_room(self, tally: str) -> bool:
        """Whether one more add to a tally may be taken."""
        if self.adds.live >= MAX_LIVE_ADDS:
            return False
        return self.adds.has_tally(tally) or self.adds.tally_count() < MAX_TALLIES

    def add(self, token: int, tally: str, id_: str, amount: int, wall_ms: int, now: float) -> None:
        """Take an add, or the same once more; `Counted` comes when it may be acknowledged."""
        add = self.adds.find(tally, id_)
        if add is None:
            newest = min(self.adds.newest, wall_ms + MAX_CLOCK_LEAD_MS)
            add = Add(tally, id_, amount, max(wall_ms, newest, self.adds.folded_until))
            self.adds.merge((add,))
        self._changed_at = now
        # One that comes again is kept and pushed again: whoever took it first may have gone before it was.
        record = self._persist((add,))
        self._push += 1
        asked = [ip for ip, peer in self._peers.items() if peer.is_reachable(now)]
        for ip in asked:
            self._peers[ip].unacked[self._push] = now
            self._effects.append(Send(ip, Push(self._push, (add,))))
        self._waiting[self._push] = _PendingAdd(token, record, frozenset(asked))

    def on_synced(self, record: int, now: float) -> None:
        """All records up to this one are on the disk."""
        self._synced = max(self._synced, record)
        due = [owed for owed in self._pending_acks if owed[0] <= self._synced]
        self._pending_acks = [owed for owed in self._pending_acks if owed[0] > self._synced]
        for _, ip, push in due:
            self._effects.append(Send(ip, Kept(push)))
        self._acknowledge_safe(now)

    def on_message(self, ip: str, message: Message, now: float) -> None:
        """A message of the control process at an IP; one that is no member is answered all the same."""
        peer = self._peers.get(ip) or _PeerState()
        peer.heard_at = now
        peer.unacked = {number: at for number, at in peer.unacked.items() if now - at <= PUSH_TIMEOUT_MS}
        match message:
            case Push(number, adds):
                self._merge(adds, now)
                self._pending_acks.append((self._persist(adds), ip, number))
            case Kept(number):
                peer.unacked.pop(number, None)
                if (waiting := self._waiting.get(number)) is not None:
                    waiting.synced_by.add(ip)
                    self._acknowledge_safe(now)
            case Summary():
                self._on_summary(ip, peer, message, now)
            case Digests(level, index, below):
                peer.exchanged_at = now
                self._compare(ip, (level, index), below)
            case RangeAdds():
                peer.exchanged_at = now
                self._exchange(ip, message, now)
            case WantFolded(until) if self.adds.folded_until >= until:
                self._effects.append(Send(ip, self.adds.folded_message()))
            case FoldedAdds() if message.until > self.adds.folded_until:
                self.adds.adopt(message)
                self._changed_at = now
                self._effects.append(PersistState())

    def tick(self, wall_ms: int, now: float) -> None:
        """Time has gone by: tell others what we have, fold what all have, wait no longer for the lost."""
        self._acknowledge_safe(now)
        if now - self._sampled_at >= PUSH_GRACE_MS:
            self._sampled_at, self._aged_stamp, self._sampled_stamp = (
                now,
                self._sampled_stamp,
                self.adds.newest,
            )
        for ip, peer in self._peers.items():
            is_quiet = peer.is_equal and now - self._changed_at > QUIET_AFTER_MS
            pause = QUIET_SUMMARY_INTERVAL_MS if is_quiet else SUMMARY_INTERVAL_MS
            if now - peer.summary_sent_at >= pause and now - peer.exchanged_at >= EXCHANGE_TIMEOUT_MS:
                peer.summary_sent_at = now
                self._effects.append(Send(ip, self._summary(wall_ms)))
        self._fold(wall_ms)

    def take_effects(self) -> list[Effect]:
        """What is to be done, in order."""
        effects, self._effects = self._effects, []
        return effects

    def peer_statuses(self, now: float) -> list[PeerStatus]:
        """For a report: how far each other member is the same as we are."""
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
        """Acknowledge what is safe by now."""
        for push, waiting in list(self._waiting.items()):
            if self._is_safe(waiting, now):
                del self._waiting[push]
                self._effects.append(Acknowledge(waiting.token))

    def _is_safe(self, waiting: _PendingAdd, now: float) -> bool:
        if waiting.record > self._synced:
            return False
        if len(waiting.synced_by) >= self._copies - 1:
            return True
        open_ = waiting.recipients - waiting.synced_by
        return not any(ip in self._peers and self._peers[ip].is_reachable(now) for ip in open_)

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
        """The end of the last span of which all ids are older than repeats come."""
        span = span_ms(FOLD_LEVEL)
        return max((wall_ms - ID_RETENTION_MS) // span * span, self.adds.folded_until)

    def _on_summary(self, ip: str, peer: _PeerState, told: Summary, now: float) -> None:
        self.compared_digests += 1
        peer.is_equal = self._is_same_before(told.until, told.count, told.digest)
        peer.has_matched |= peer.is_equal
        peer.log_difference(ip, now)
        if self._is_same_before(told.settled_until, told.settled_count, told.settled_digest):
            peer.agreed_until = told.settled_until
        if peer.is_equal:
            return
        if told.folded_until > self.adds.folded_until and not self._is_same_before(
            told.folded_until, told.folded_count, told.folded_digest
        ):
            self._effects.append(Send(ip, WantFolded(told.folded_until)))
        if now - peer.exchanged_at >= EXCHANGE_TIMEOUT_MS:
            peer.exchanged_at = now
            self._effects.append(Send(ip, self._digests(ROOT)))

    def _is_same_before(self, until: int, count: int, digest: bytes) -> bool:
        held = self.adds.sum_before(until)
        return held is not None and (held[0], encode_hash_sum(held[1])) == (count, digest)

    def _digests(self, node: Node) -> Digests:
        return Digests(*node, tuple(self.adds.tree.children_of(node)))

    def _compare(self, ip: str, node: Node, told: tuple[RangeDigest, ...]) -> None:
        """Spans below a node as another has them: what differs is compared or exchanged, newest first."""
        theirs = {(entry.level, entry.index): entry for entry in told}
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

    def _exchange(self, ip: str, told: RangeAdds, now: float) -> None:
        changed = self._merge(told.adds, now)
        self.repaired_adds += len(changed)
        if changed:
            self._persist(tuple(changed))
        if told.answer:
            has = set(told.adds)
            lacks = [add for add in self.adds.tree.adds_in((told.level, told.index)) if add not in has]
            if lacks:
                self._send_range(ip, (told.level, told.index), tuple(lacks), answer=False)

    def _send_range(self, ip: str, node: Node, adds: tuple[Add, ...], answer: bool) -> None:
        self.sent_adds += len(adds)
        self._effects.append(Send(ip, RangeAdds(*node, adds, answer)))

    # ---- folding

    def _fold(self, wall_ms: int) -> None:
        """Drop the ids of what all members have, once it is so old that no add of it comes again."""
        until = min([self._settled_until(wall_ms), *(peer.agreed_until for peer in self._peers.values())])
        is_due = self._knows_members and until - self.adds.folded_until >= FOLD_SPANS * span_ms(FOLD_LEVEL)
        if is_due and self.adds.sum_before(until) != self.adds.folded():
            self.adds.fold(until)
            self._effects.append(PersistState())
