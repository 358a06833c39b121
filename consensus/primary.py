"""The primary's part: one write after another, each on every holder before it is answered; its proof."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from consensus.effects import Committed, Effect, Reply, Send, Spec, Verdict
from consensus.messages import Beat, Heard, Write, Written
from consensus.views import ChangeStatus, Document, DurableState, Member, View


@dataclass(frozen=True, slots=True)
class Put:
    """An operator's new configuration on top of version `base`."""

    token: int
    base: int
    ver: int
    digest: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Get:
    """An operator's question for the newest configuration."""

    token: int


Command = Put | Get


@dataclass(slots=True)
class _PendingReply:
    """An answer that waits until a majority has heard a beat sent after the question came."""

    number: int
    command: Command
    reply: Reply


class Primary:
    """The commands of one view; made when it is won, thrown away when it ends."""

    def __init__(
        self, durable_state: DurableState, view: View, spec: Spec, emit: Callable[[Effect], None], now: float
    ) -> None:
        self.durable_state, self.view, self._spec, self._emit = durable_state, view, spec, emit
        self._queue: deque[Command] = deque()
        self._writing: Put | None = None
        self._synced_slots: set[int] = set()  # slots that have synced the write
        self.write_at = self._resend_at = 0.0
        self.took_ms = 0.0  # how long the last write took
        self.write_ms = spec.write_timeout_ms  # a write that takes longer hangs
        self._pending_replies: list[_PendingReply] = []
        self.heartbeat_number = 0  # of the latest beat
        self._heartbeat_at = -1e12
        own = view.primary
        self.acked_heartbeats: dict[int, int] = {own: 0}  # slot: the latest beat that it has answered
        self.heard_at: dict[int, float] = dict.fromkeys(range(len(view.members)), now)
        self.highest_promised = 0  # an epoch that somebody has promised beyond ours
        self.behind: set[int] = set()  # slots that have not accepted our view
        self.refused = False  # a holder could not keep a write
        self.committed = self._proposed = durable_state.document
        emit(Committed(view.epoch, durable_state.document))

    # ---- beats

    def send_heartbeat(self, now: float) -> None:
        """Tell all members that we are there."""
        self.heartbeat_number += 1
        self._heartbeat_at = now
        self.acked_heartbeats[self.view.primary] = self.heartbeat_number
        self.heard_at[self.view.primary] = now
        for slot, member in enumerate(self.view.members):
            if member is not None and slot != self.view.primary:
                message = Beat(
                    self.durable_state.identity, member.identity, self.view.epoch, self.heartbeat_number
                )
                self._emit(Send(member.ip, message))
        self._send_proven_replies()

    def on_heartbeat_ack(self, message: Heard, now: float) -> None:
        """A member has answered a beat."""
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
        """Whether it is time for the next one."""
        return now - self._heartbeat_at >= self._spec.heartbeat_ms

    def quorum_at(self) -> float:
        """When a majority was last heard, ourselves included."""
        times = sorted(self.heard_at.values(), reverse=True)
        return times[self.view.majority - 1]

    def present_slots(self) -> set[int]:
        """The slots that have answered a beat of this view."""
        return {slot for slot, number in self.acked_heartbeats.items() if number > 0}

    def silent_slots(self, now: float, after_ms: float) -> list[int]:
        """The slots that have answered nothing for so long, the longest silent first."""
        taken = [slot for slot, member in enumerate(self.view.members) if member is not None]
        silent = [slot for slot in taken if now - self.heard_at[slot] > after_ms]
        return sorted(silent, key=self.heard_at.__getitem__)

    def needs_view_change(self, now: float, leaving: frozenset[str]) -> bool:
        """Whether the view has to change: a write hangs, or fewer holders could be lost or leaving."""
        if self.highest_promised >= self.view.epoch or self.is_write_overdue(now) or self.refused:
            return True
        return self._has_better_holders(now, leaving)

    def _has_better_holders(self, now: float, leaving: frozenset[str]) -> bool:
        """Whether other holders would rest on fewer members that are silent or leave (identities)."""
        view, wanted = self.view, self._spec.holders
        able = self.present_slots() - set(self.silent_slots(now, self._spec.member_timeout_ms))
        if len(able) < wanted:
            return False
        staying = able - self.slots_of(leaving)
        others = len(staying - {view.primary})
        best = min(wanted - 1, others) + (view.primary in staying)  # whoever campaigns holds the data
        return best > len(staying & set(view.holders)) or len(view.holders) < wanted

    def slots_of(self, identities: frozenset[str]) -> set[int]:
        """The slots of those who are members."""
        return {slot for i in identities if (slot := self.view.slot_of(i)) is not None}

    def staying_slots(self, now: float, leaving: frozenset[str]) -> set[int]:
        """The slots of the others that are there and don't leave."""
        gone = set(self.silent_slots(now, self._spec.member_timeout_ms)) | self.slots_of(leaving)
        return self.present_slots() - gone - {self.view.primary}

    def successors(self, now: float, leaving: frozenset[str] = frozenset()) -> list[Member]:
        """The other holders, the best successor first: it stays, is heard of and has the latest write."""
        others = [s for s in self.view.holders if s != self.view.primary]
        silent, going = self.silent_slots(now, self._spec.member_timeout_ms), self.slots_of(leaving)
        order = sorted(others, key=lambda s: (s in going, s in silent, s not in self._synced_slots))
        return [self.view.member_at(s) for s in order]

    # ---- commands

    def submit(self, command: Command, now: float) -> None:
        """Take a command; it is answered by a `Reply`, or thrown away with us."""
        self._queue.append(command)
        self._process_queue(now)

    def pending_commands(self) -> list[Command]:
        """All that has no answer yet."""
        writing = [self._writing] if self._writing is not None else []
        return [*(p.command for p in self._pending_replies), *writing, *self._queue]

    def is_write_overdue(self, now: float) -> bool:
        """Whether a write has been under way for too long."""
        return self._writing is not None and now - self.write_at > self.write_ms

    def has_synced(self, slot: int) -> bool:
        """Whether a slot has synced the write that is under way."""
        return slot in self._synced_slots

    def on_written(self, message: Written, now: float) -> None:
        """A holder has kept the write, or could not."""
        slot = self.view.slot_of(message.sender)
        if slot is None or message.epoch != self.view.epoch or self._writing is None:
            return
        if message.promised > self.view.epoch:
            self.highest_promised = max(self.highest_promised, message.promised)
        if message.number != self.committed.number + 1:
            return  # a repeat of an earlier one
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
        """Answer what can be answered, up to the next write; one is under way at a time."""
        while self._queue and self._writing is None:
            command = self._queue.popleft()
            document = self.committed
            match command:
                case Get():
                    self._reply_when_proven(command, Verdict.DONE, now)
                case Put() if (
                    past := document.change_status(command.ver, command.digest)
                ) is not ChangeStatus.NOT_ACCEPTED:
                    self._reply_when_proven(
                        command, Verdict.DONE if past is ChangeStatus.ACCEPTED else Verdict.UNSURE, now
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
        """Send the write again to the holders that have not said that they kept it; less and less often."""
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
            message = Write(self.durable_state.identity, member.identity, self.view.epoch, change)
            self._emit(Send(member.ip, message))

    def _reply_when_proven(self, command: Command, verdict: Verdict, now: float) -> None:
        """Answer once we know that nobody had taken our place when the question was decided."""
        reply = Reply(command.token, verdict, self.committed)
        self._pending_replies.append(_PendingReply(self.heartbeat_number + 1, command, reply))
        self.send_heartbeat(now)

    def _send_proven_replies(self) -> None:
        numbers = sorted(
            (self.acked_heartbeats.get(s, 0) for s in range(len(self.view.members))), reverse=True
        )
        sure = numbers[self.view.majority - 1]
        ready = [p for p in self._pending_replies if p.number <= sure]
        if ready:
            self._pending_replies = [p for p in self._pending_replies if p.number > sure]
            for proof in ready:
                self._emit(proof.reply)
