"""Runs a few control processes without delays, on disks that sync at once, and logs every exchange.

Time advances in ticks; all consequences of a tick are handled before the next. A callback runs at each step,
that is before and after each sync and before each message, and may remove machines.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from consensus.codec import Record, apply_record, snapshot_record
from consensus.effects import Committed, Lead, Persist, Reply, Send, Spec
from consensus.messages import Heartbeat, HeartbeatAck, Message
from consensus.replica import Replica
from consensus.views import DurableState, Member

TICK_MS = 25.0
ReplicaFactory = Callable[[Member, DurableState, Spec, tuple[str, ...], bool, int], Replica]


class Lockstep:
    """`cuts`: pairs (from, to) that lose messages; `hangs`: hanging disks; `frozen`: suspended processes."""

    def __init__(self, machines: int = 3, losses: int = 1, make: ReplicaFactory = Replica) -> None:
        self.spec, self._make = Spec(machines, losses + 1), make
        self.on_step: Callable[[], None] | None = None  # called at each step
        self.on_output: Callable[[Reply | Committed | Lead], None] | None = None  # called with each output
        self.rng: random.Random | None = None  # if set, any of the messages in flight may be next
        self.now = 0.0
        self.lines: list[str] = []
        self.cuts: set[tuple[int, int]] = set()
        self.hangs: set[int] = set()
        self.frozen: set[int] = set()
        self.lost: set[str] = set()  # type names of messages that are lost
        self.replies: list[Reply] = []
        self.continued: list[bool] = []  # `goes_on` of each `Lead`
        self._sent: deque[tuple[int, int, Message]] = deque()
        self._held: dict[int, list[Persist]] = {}
        self.disks = {i: DurableState(f"i{i}") for i in range(machines)}
        self.replicas: dict[int, Replica] = {}
        for index in range(machines):
            self.boot(index, founder=index == 0)
        self.run(400.0)
        assert self.primary() == 0
        self.lines.clear()

    def boot(self, index: int, founder: bool = False) -> None:
        """Starts a process from the durable state on its disk."""
        disk = self.disks[index]
        durable_state = DurableState(disk.identity, disk.promised, disk.view, disk.document)
        me = Member(
            durable_state.identity, f"core-{index}", ip(index), 7700, f"{ip(index)}:8166", f"z{index}"
        )
        seeds = tuple(ip(i) for i in range(3))
        self.replicas[index] = self._make(me, durable_state, self.spec, seeds, founder, index)
        self.replicas[index].start(self.now)

    def wipe(self, index: int, identity: str) -> None:
        """Wipes the disk of a process and restarts it with a new identity."""
        self.disks[index] = DurableState(identity)
        self.boot(index)

    def lose(self, index: int) -> None:
        """Removes a machine with its disk."""
        self.replicas.pop(index, None)
        self._held.pop(index, None)
        self.disks.pop(index, None)

    def end(self, index: int) -> None:
        """Ends a process; its disk stays."""
        self.replicas.pop(index, None)
        self._held.pop(index, None)

    def cut(self, index: int) -> None:
        """Partitions one process from all others."""
        self.cuts |= {p for i in self.replicas if i != index for p in ((i, index), (index, i))}

    def primary(self) -> int | None:
        """Returns the index of the leader of the latest view."""
        found = [(r.primary.view.epoch, i) for i, r in self.replicas.items() if r.primary is not None]
        return max(found)[1] if found else None

    def epoch(self) -> int:
        """Returns the latest epoch that a process leads."""
        return max((r.primary.view.epoch for r in self.replicas.values() if r.primary is not None), default=0)

    def run(self, length_ms: float) -> None:
        """Advances the time tick by tick."""
        until = self.now + length_ms
        while self.now < until:
            self.now += TICK_MS
            for index in list(self.replicas):
                if index not in self.frozen and index in self.replicas:
                    self.replicas[index].tick(self.now)
                    self.settle()

    def deliver(self, sender: int, receiver: int, message: Message) -> None:
        """Delivers a message as if from the network."""
        self._sent.append((sender, receiver, message))
        self.settle()

    def settle(self) -> None:
        """Handles all pending effects and messages."""
        while True:
            for index, replica in list(self.replicas.items()):
                if index not in self.frozen:
                    for effect in replica.take_effects():
                        if self.replicas.get(index) is replica:
                            self._apply_effect(index, effect)
            if not self._sent:
                return
            sender, receiver, message = self._next()
            self._step()
            if receiver in self.replicas and receiver not in self.frozen:
                self.replicas[receiver].on_message(ip(sender), message, self.now)

    def _next(self) -> tuple[int, int, Message]:
        """Returns the next message to deliver; messages between the same two processes stay in order."""
        if self.rng is not None:
            place = self.rng.randrange(len(self._sent))
            ends = self._sent[place][:2]
            first = next(i for i, sent in enumerate(self._sent) if sent[:2] == ends)
            self._sent.rotate(-first)
            found = self._sent.popleft()
            self._sent.rotate(first)
            return found
        return self._sent.popleft()

    def _step(self) -> None:
        if self.on_step is not None:
            self.on_step()

    def free(self, index: int) -> None:
        """Ends the hang of a disk and syncs the queued records."""
        self.hangs.discard(index)
        for persist in self._held.pop(index, []):
            self._apply_effect(index, persist)
        self.settle()

    def _apply_effect(self, index: int, effect: object) -> None:
        match effect:
            case Send(to, message):
                self._send(index, int(to.split(".")[2]), message)
            case Persist() if index in self.hangs:
                self._held.setdefault(index, []).append(effect)
            case Persist(record, then):
                self._sync(index, record, then)
            case Reply():
                self.replies.append(effect)
                if self.on_output is not None:
                    self.on_output(effect)
                self.lines.append(f"{index} answers {effect.verdict.value}")
            case Lead(view, goes_on):
                if self.on_output is not None:
                    self.on_output(effect)
                self.continued.append(goes_on)
                self.lines.append(f"{index} leads {view.epoch if view is not None else 'no longer'}")
            case Committed():
                if self.on_output is not None:
                    self.on_output(effect)

    def _sync(self, index: int, record: Record, then: tuple[Send, ...]) -> None:
        replica = self.replicas.get(index)
        self._step()
        if self.replicas.get(index) is not replica:
            return
        apply_record(self.disks[index], record)
        self._step()
        for send in then:
            if self.replicas.get(index) is replica:
                self._apply_effect(index, send)

    def _send(self, sender: int, receiver: int, message: Message) -> None:
        kind = type(message).__name__
        if sender == receiver:
            self._sent.append((sender, receiver, message))
            return
        lost = (sender, receiver) in self.cuts or kind in self.lost
        if not isinstance(message, Heartbeat | HeartbeatAck):
            self.lines.append(f"{sender} -> {receiver} {brief(message)}{' (lost)' if lost else ''}")
        if not lost:
            self._sent.append((sender, receiver, message))

    def synced(self, index: int) -> bool:
        """Returns whether the disk holds the complete state of the process."""
        return snapshot_record(self.disks[index]) == snapshot_record(self.replicas[index].durable_state)


def ip(index: int) -> str:
    """Returns the IP of a process."""
    return f"10.0.{index}.1"


def brief(message: Message) -> str:
    """Returns a short form of a message."""
    parts = [type(message).__name__]
    view = getattr(message, "view", None)
    epoch = getattr(message, "epoch", None)
    if epoch is not None:
        parts.append(str(epoch))
    elif view is not None:
        parts.append(str(view.epoch))
    if getattr(message, "ok", True) is False:
        parts.append("no")
    if getattr(message, "active", False):
        parts.append("in force")
    return " ".join(parts)
