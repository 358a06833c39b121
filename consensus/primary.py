"""The primary's part: one write after another, each on every holder before it is answered; its proof."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from consensus.effects import Committed, Effect, Reply, Send, Spec, Verdict
from consensus.messages import Beat, Heard, Write, Written
from consensus.views import Document, Member, Memory, Past, View


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
class _Proof:
    """An answer that waits until a majority has heard a beat sent after the question came."""

    number: int
    command: Command
    reply: Reply


class Primary:
    """The commands of one view; made when it is won, thrown away when it ends."""

    def __init__(
        self, memory: Memory, view: View, spec: Spec, emit: Callable[[Effect], None], now: float
    ) -> None:
        self.memory, self.view, self._spec, self._emit = memory, view, spec, emit
        self._queue: deque[Command] = deque()
        self._writing: Put | None = None
        self._kept: set[int] = set()  # slots that have synced the write
        self.write_at = self._resend_at = 0.0
        self.took_ms = 0.0  # how long the last write took
        self.write_ms = spec.write_ms  # a write that takes longer hangs
        self._proofs: list[_Proof] = []
        self.number = 0  # of the latest beat
        self._beat_at = -1e12
        own = view.primary
        self.acked: dict[int, int] = {own: 0}  # slot: the latest beat that it has answered
        self.heard_at: dict[int, float] = dict.fromkeys(range(len(view.members)), now)
        self.above = 0  # an epoch that somebody has promised beyond ours
        self.behind: set[int] = set()  # slots that have not accepted our view
        self.refused = False  # a holder could not keep a write
        self.committed = self._new = memory.document
        emit(Committed(view.epoch, memory.document))

    # ---- beats

    def beat(self, now: float) -> None:
        """Tell all members that we are there."""
        self.number += 1
        self._beat_at = now
        self.acked[self.view.primary] = self.number
        self.heard_at[self.view.primary] = now
        for slot, member in enumerate(self.view.members):
            if member is not None and slot != self.view.primary:
                message = Beat(self.memory.identity, member.identity, self.view.epoch, self.number)
                self._emit(Send(member.ip, message))
        self._prove()

    def heard(self, message: Heard, now: float) -> None:
        """A member has answered a beat."""
        slot = self.view.slot_of(message.sender)
        if slot is None or message.epoch != self.view.epoch:
            return
        if message.promised > self.view.epoch:
            self.above = max(self.above, message.promised)
            return
        if message.known < self.view.epoch:
            self.behind.add(slot)
        if not message.ok:
            return
        self.heard_at[slot] = now
        self.acked[slot] = max(self.acked.get(slot, 0), message.number)
        self._prove()

    def is_beat_due(self, now: float) -> bool:
        """Whether it is time for the next one."""
        return now - self._beat_at >= self._spec.beat_ms

    def quorum_at(self) -> float:
        """When a majority was last heard, ourselves included."""
        times = sorted(self.heard_at.values(), reverse=True)
        return times[self.view.majority - 1]

    def present(self) -> set[int]:
        """The slots that have answered a beat of this view."""
        return {slot for slot, number in self.acked.items() if number > 0}

    def silent(self, now: float, after_ms: float) -> list[int]:
        """The slots that have answered nothing for so long, the longest silent first."""
        taken = [slot for slot, member in enumerate(self.view.members) if member is not None]
        silent = [slot for slot in taken if now - self.heard_at[slot] > after_ms]
        return sorted(silent, key=self.heard_at.__getitem__)

    def wants_change(self, now: float, leaving: frozenset[str]) -> bool:
        """Whether the view has to change: a write hangs, or fewer holders could be lost or leaving."""
        if self.above >= self.view.epoch or self.is_hanging(now) or self.refused:
            return True
        return self._has_better_holders(now, leaving)

    def _has_better_holders(self, now: float, leaving: frozenset[str]) -> bool:
        """Whether other holders would rest on fewer members that are silent or leave (identities)."""
        view, wanted = self.view, self._spec.holders
        able = self.present() - set(self.silent(now, self._spec.silent_ms))
        if len(able) < wanted:
            return False
        staying = able - self.slots_of(leaving)
        others = len(staying - {view.primary})
        best = min(wanted - 1, others) + (view.primary in staying)  # whoever campaigns holds the data
        return best > len(staying & set(view.holders)) or len(view.holders) < wanted

    def slots_of(self, identities: frozenset[str]) -> set[int]:
        """The slots of those who are members."""
        return {slot for i in identities if (slot := self.view.slot_of(i)) is not None}

    def staying(self, now: float, leaving: frozenset[str]) -> set[int]:
        """The slots of the others that are there and don't leave."""
        gone = set(self.silent(now, self._spec.silent_ms)) | self.slots_of(leaving)
        return self.present() - gone - {self.view.primary}

    def heirs(self, now: float, leaving: frozenset[str] = frozenset()) -> list[Member]:
        """The other holders, the best successor first: it stays, is heard of and has the latest write."""
        others = [s for s in self.view.holders if s != self.view.primary]
        silent, going = self.silent(now, self._spec.silent_ms), self.slots_of(leaving)
        order = sorted(others, key=lambda s: (s in going, s in silent, s not in self._kept))
        return [self.view.at(s) for s in order]

    # ---- commands

    def submit(self, command: Command, now: float) -> None:
        """Take a command; it is answered by a `Reply`, or thrown away with us."""
        self._queue.append(command)
        self._work(now)

    def pending(self) -> list[Command]:
        """All that has no answer yet."""
        writing = [self._writing] if self._writing is not None else []
        return [*(p.command for p in self._proofs), *writing, *self._queue]

    def is_hanging(self, now: float) -> bool:
        """Whether a write has been under way for too long."""
        return self._writing is not None and now - self.write_at > self.write_ms

    def has_kept(self, slot: int) -> bool:
        """Whether a slot has synced the write that is under way."""
        return slot in self._kept

    def written(self, message: Written, now: float) -> None:
        """A holder has kept the write, or could not."""
        slot = self.view.slot_of(message.sender)
        if slot is None or message.epoch != self.view.epoch or self._writing is None:
            return
        if message.promised > self.view.epoch:
            self.above = max(self.above, message.promised)
        if message.number != self.committed.number + 1:
            return  # a repeat of an earlier one
        if not message.ok:
            self.refused = True
            return
        self._kept.add(slot)
        if self._kept.issuperset(self.view.holders):
            put, self._writing = self._writing, None
            self.took_ms = now - self.write_at
            self.committed = self.memory.document
            self._emit(Committed(self.view.epoch, self.committed))
            self._emit(Reply(put.token, Verdict.DONE, self.committed))
            self._work(now)

    def _work(self, now: float) -> None:
        """Answer what can be answered, up to the next write; one is under way at a time."""
        while self._queue and self._writing is None:
            command = self._queue.popleft()
            document = self.committed
            match command:
                case Get():
                    self._owe(command, Verdict.DONE, now)
                case Put() if (past := document.past(command.ver, command.digest)) is not Past.NEVER:
                    self._owe(command, Verdict.DONE if past is Past.TAKEN else Verdict.UNSURE, now)
                case Put() if command.base != document.ver:
                    self._owe(command, Verdict.STALE, now)
                case Put() if command.ver <= document.ver:
                    self._owe(command, Verdict.NOT_ABOVE, now)
                case Put():
                    self._write(command, document, now)

    def _write(self, put: Put, document: Document, now: float) -> None:
        self._writing, self._kept, self.write_at = put, set(), now
        self._new = document.after(put.ver, put.body, put.digest)
        self._resend_at = now + self._spec.beat_ms
        self._send_write(set(self.view.holders))

    def resend(self, now: float) -> None:
        """Send the write again to the holders that have not said that they kept it; less and less often."""
        if self._writing is None or now < self._resend_at:
            return
        self._resend_at = now + (now - self.write_at)
        self._send_write(set(self.view.holders) - self._kept - {self.view.primary})

    def _send_write(self, slots: set[int]) -> None:
        change = self._new.latest_change()
        for slot in self.view.holders:
            if slot not in slots:
                continue
            member = self.view.at(slot)
            message = Write(self.memory.identity, member.identity, self.view.epoch, change)
            self._emit(Send(member.ip, message))

    def _owe(self, command: Command, verdict: Verdict, now: float) -> None:
        """Answer once we know that nobody had taken our place when the question was decided."""
        reply = Reply(command.token, verdict, self.committed)
        self._proofs.append(_Proof(self.number + 1, command, reply))
        self.beat(now)

    def _prove(self) -> None:
        numbers = sorted((self.acked.get(s, 0) for s in range(len(self.view.members))), reverse=True)
        sure = numbers[self.view.majority - 1]
        ready = [p for p in self._proofs if p.number <= sure]
        if ready:
            self._proofs = [p for p in self._proofs if p.number > sure]
            for proof in ready:
                self._emit(proof.reply)
