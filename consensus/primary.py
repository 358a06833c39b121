"""The primary role: runs one write at a time, each synced on every holder before it is acknowledged.

A reply that rests on the committed document alone, such as a read or a refusal, is sent only after a majority
has confirmed by heartbeat that no later primary had taken over.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from consensus.effects import Committed, Effect, Reply, Send, Spec, Verdict
from consensus.messages import Heartbeat, HeartbeatAck, WriteAck, WriteRequest
from consensus.views import ChangeStatus, Document, DurableState, Member, View


@dataclass(frozen=True, slots=True)
class Put:
    """An operator's new configuration, based on version `base`."""

    token: int
    base: int
    ver: int
    digest: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Get:
    """An operator's request for the newest configuration."""

    token: int


Command = Put | Get


@dataclass(slots=True)
class _PendingReply:
    """A reply that waits until a majority has answered a heartbeat sent after the command arrived."""

    number: int
    command: Command
    reply: Reply


class Primary:
    """Processes the commands of one view; created when the view is won and discarded when it ends."""

    def __init__(
        self, durable_state: DurableState, view: View, spec: Spec, emit: Callable[[Effect], None], now: float
    ) -> None:
        self.durable_state, self.view, self._spec, self._emit = durable_state, view, spec, emit
        self._queue: deque[Command] = deque()
        self._writing: Put | None = None
        self._synced_slots: set[int] = set()  # Slots that have synced the current write.
        self.write_at = self._resend_at = 0.0
        self.took_ms = 0.0  # Duration of the last write.
        self.write_ms = spec.write_timeout_ms  # A write that takes longer is considered hung.
        self._pending_replies: list[_PendingReply] = []
        self.heartbeat_number = 0  # Number of the latest heartbeat.
        self._heartbeat_at = -1e12
        own = view.primary
        self.acked_heartbeats: dict[int, int] = {own: 0}  # Latest heartbeat that each slot has answered.
        self.heard_at: dict[int, float] = dict.fromkeys(range(len(view.members)), now)
        self.highest_promised = 0  # A higher epoch that some member has promised.
        self.behind: set[int] = set()  # Slots that have not accepted this view.
        self.refused = False  # A holder refused a write.
        self.committed = self._proposed = durable_state.document
        emit(Committed(view.epoch, durable_state.document))

    # ---- heartbeats

    def send_heartbeat(self, now: float) -> None:
        """Sends a heartbeat to all members."""
        self.heartbeat_number += 1
        self._heartbeat_at = now
        self.acked_heartbeats[self.view.primary] = self.heartbeat_number
        self.heard_at[self.view.primary] = now
        for slot, member in enumerate(self.view.members):
            if member is not None and slot != self.view.primary:
                message = Heartbeat(
                    self.durable_state.identity, member.identity, self.view.epoch, self.heartbeat_number
                )
                self._emit(Send(member.ip, message))
        self._send_proven_replies()

    def on_heartbeat_ack(self, message: HeartbeatAck, now: float) -> None:
        """Handles a member's answer to a heartbeat."""
        slot = self.view.slot_of(message.sender)
        if slot is None or message.epoch != self.view.epoch:
            return
        if message.promised > self.view.epoch:
            self.highest_promised = max(self.highest_promised, message.promised)
            return
        if message.known < self.view.epoch:
            self.behind.add(slot)
        if not message.ok:
            return
        self.heard_at[slot] = now
        self.acked_heartbeats[slot] = max(self.acked_heartbeats.get(slot, 0), message.number)
        self._send_proven_replies()

    def is_heartbeat_due(self, now: float) -> bool:
        """Whether the next heartbeat is due."""
        return now - self._heartbeat_at >= self._spec.heartbeat_ms

    def quorum_at(self) -> float:
        """Returns when a majority, including this process, was last known to be reachable."""
        times = sorted(self.heard_at.values(), reverse=True)
        return times[self.view.majority - 1]

    def present_slots(self) -> set[int]:
        """The slots that have answered a heartbeat of this view."""
        return {slot for slot, number in self.acked_heartbeats.items() if number > 0}

    def silent_slots(self, now: float, after_ms: float) -> list[int]:
        """The slots that have answered nothing for longer than `after_ms`, the longest silent first."""
        occupied = [slot for slot, member in enumerate(self.view.members) if member is not None]
        silent = [slot for slot in occupied if now - self.heard_at[slot] > after_ms]
        return sorted(silent, key=self.heard_at.__getitem__)

    def needs_view_change(self, now: float, leaving: frozenset[str]) -> bool:
        """Whether the view must change: a write hangs, or better holders are available."""
        if self.highest_promised >= self.view.epoch or self.is_write_overdue(now) or self.refused:
            return True
        return self._has_better_holders(now, leaving)

    def _has_better_holders(self, now: float, leaving: frozenset[str]) -> bool:
        """Whether other holders would include fewer silent or leaving members (identities)."""
        view, holder_count = self.view, self._spec.holders
        reachable = self.present_slots() - set(self.silent_slots(now, self._spec.member_timeout_ms))
        if len(reachable) < holder_count:
            return False
        staying = reachable - self.slots_of(leaving)
        others = len(staying - {view.primary})
        # The campaigner always holds the data.
        best_staying = min(holder_count - 1, others) + (view.primary in staying)
        return best_staying > len(staying & set(view.holders)) or len(view.holders) < holder_count

    def slots_of(self, identities: frozenset[str]) -> set[int]:
        """Returns the slots of those identities that are members."""
        return {slot for i in identities if (slot := self.view.slot_of(i)) is not None}

    def staying_slots(self, now: float, leaving: frozenset[str]) -> set[int]:
        """The slots of the other members that are present and not leaving."""
        unavailable = set(self.silent_slots(now, self._spec.member_timeout_ms)) | self.slots_of(leaving)
        return self.present_slots() - unavailable - {self.view.primary}

    def successors(self, now: float, leaving: frozenset[str] = frozenset()) -> list[Member]:
        """Returns the other holders, best first: staying, reachable and with the latest write."""
        others = [s for s in self.view.holders if s != self.view.primary]
        silent, departing = self.silent_slots(now, self._spec.member_timeout_ms), self.slots_of(leaving)
        ordered = sorted(others, key=lambda s: (s in departing, s in silent, s not in self._synced_slots))
        return [self.view.member_at(s) for s in ordered]

    # ---- commands

    def submit(self, command: Command, now: float) -> None:
        """Queues a command; it is answered with a `Reply` unless the term ends first."""
        self._queue.append(command)
        self._process_queue(now)

    def pending_commands(self) -> list[Command]:
        """Returns all commands without a reply."""
        writing = [self._writing] if self._writing is not None else []
        return [*(p.command for p in self._pending_replies), *writing, *self._queue]

    def is_write_overdue(self, now: float) -> bool:
        """Whether the current write has taken too long."""
        return self._writing is not None and now - self.write_at > self.write_ms

    def has_synced(self, slot: int) -> bool:
        """Whether a slot has synced the current write."""
        return slot in self._synced_slots

    def on_written(self, message: WriteAck, now: float) -> None:
        """Handles a holder's answer to a write."""
        slot = self.view.slot_of(message.sender)
        if slot is None or message.epoch != self.view.epoch or self._writing is None:
            return
        if message.promised > self.view.epoch:
            self.highest_promised = max(self.highest_promised, message.promised)
        if message.number != self.committed.number + 1:
            return  # A duplicate answer to an earlier write.
        if not message.ok:
            self.refused = True
            return
        self._synced_slots.add(slot)
        if self._synced_slots.issuperset(self.view.holders):
            put, self._writing = self._writing, None
            self.took_ms = now - self.write_at
            self.committed = self.durable_state.document
            self._emit(Committed(self.view.epoch, self.committed))
            self._emit(Reply(put.token, Verdict.DONE, self.committed))
            self._process_queue(now)

    def _process_queue(self, now: float) -> None:
        """Runs queued commands up to the next write; only one write is in progress at a time."""
        while self._queue and self._writing is None:
            command = self._queue.popleft()
            document = self.committed
            match command:
                case Get():
                    self._reply_when_proven(command, Verdict.DONE, now)
                case Put() if (
                    status := document.change_status(command.ver, command.digest)
                ) is not ChangeStatus.NOT_ACCEPTED:
                    self._reply_when_proven(
                        command, Verdict.DONE if status is ChangeStatus.ACCEPTED else Verdict.UNSURE, now
                    )
                case Put() if command.base != document.ver:
                    self._reply_when_proven(command, Verdict.STALE, now)
                case Put() if command.ver <= document.ver:
                    self._reply_when_proven(command, Verdict.NOT_ABOVE, now)
                case Put():
                    self._start_write(command, document, now)

    def _start_write(self, put: Put, document: Document, now: float) -> None:
        self._writing, self._synced_slots, self.write_at = put, set(), now
        self._proposed = document.after(put.ver, put.body, put.digest)
        self._resend_at = now + self._spec.heartbeat_ms
        self._send_write(set(self.view.holders))

    def resend(self, now: float) -> None:
        """Retransmits the write to holders that have not confirmed it, with exponential backoff."""
        if self._writing is None or now < self._resend_at:
            return
        self._resend_at = now + (now - self.write_at)
        self._send_write(set(self.view.holders) - self._synced_slots - {self.view.primary})

    def _send_write(self, slots: set[int]) -> None:
        change = self._proposed.latest_change()
        for slot in self.view.holders:
            if slot not in slots:
                continue
            member = self.view.member_at(slot)
            message = WriteRequest(self.durable_state.identity, member.identity, self.view.epoch, change)
            self._emit(Send(member.ip, message))

    def _reply_when_proven(self, command: Command, verdict: Verdict, now: float) -> None:
        """Holds a reply until a majority confirms that no later primary existed when it was decided."""
        reply = Reply(command.token, verdict, self.committed)
        self._pending_replies.append(_PendingReply(self.heartbeat_number + 1, command, reply))
        self.send_heartbeat(now)

    def _send_proven_replies(self) -> None:
        numbers = sorted(
            (self.acked_heartbeats.get(s, 0) for s in range(len(self.view.members))), reverse=True
        )
        confirmed = numbers[self.view.majority - 1]
        ready = [p for p in self._pending_replies if p.number <= confirmed]
        if ready:
            self._pending_replies = [p for p in self._pending_replies if p.number > confirmed]
            for proof in ready:
                self._emit(proof.reply)
