"""A machine of simulated time: a process, its disk, and the carrying out of what the process asks for."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from consensus.awake_clock import AwakeClock
from consensus.codec import snapshot_record
from consensus.effects import Committed, Effect, Lead, Persist, Reply, Send, Spec
from consensus.messages import Message
from consensus.replica import Replica
from consensus.views import DurableState, Member
from mastturn.control_check.disk import Disk

TICK_MS = 25.0
CHECKPOINT_MS = 400.0  # after a refusal the whole state is tried so often


class Around(Protocol):
    """What a machine needs of the world."""

    now: float
    chance: random.Random
    spec: Spec

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Call once the time has gone by."""

    def transmit(self, sender: str, ip: str, message: Message) -> None:
        """Bring a message to another machine."""

    def replied(self, machine: Machine, reply: Reply) -> None:
        """An operator's call has its answer."""

    def committed(self, machine: Machine, effect: Committed) -> None:
        """A document stays."""

    def leads(self, machine: Machine, effect: Lead) -> None:
        """A process begins or ends to lead."""

    def make(
        self, me: Member, durable_state: DurableState, seeds: tuple[str, ...], founder: bool, seed: int
    ) -> Replica:
        """A process."""


class Machine:
    """One machine; `life` counts the starts, so that nothing of an earlier process is carried out."""

    def __init__(self, around: Around, node: str, ip: str, zone: str, sync_ms: float) -> None:
        self._around, self.node, self.ip, self.zone = around, node, ip, zone
        self.disk = Disk(sync_ms, around.chance, around.later)
        self.replica: Replica | None = None
        self.life = 0
        self.frozen = False
        self._waiting: list[Callable[[], None]] = []  # for the thaw
        self._local: deque[Message] = deque()
        self._sick = False
        self.skew_ms = 0.0
        self._clock = AwakeClock(self._stalled)
        self.heeds_refusals = True  # False: a planted defect of the host

    def clock(self) -> float:
        """What the process takes for the time."""
        return self._clock.read(self._around.now + self.skew_ms)

    def _stalled(self, stall_ms: float, now: float) -> None:
        if self.replica is not None:
            self.replica.on_stall(stall_ms, now)

    def start(self, seeds: tuple[str, ...], founder: bool) -> None:
        """A process starts on what the disk holds."""
        kept = self.disk.kept
        assert kept is not None
        durable_state = DurableState(kept.identity, kept.promised, kept.view, kept.document)
        me = Member(kept.identity, self.node, self.ip, 7700, f"{self.ip}:8166", self.zone)
        self.life += 1
        self._sick = False
        self._clock = AwakeClock(self._stalled)
        seed = self._around.chance.getrandbits(32)
        self.replica = self._around.make(me, durable_state, seeds, founder, seed)
        self.replica.start(self.clock())
        self._tick(self.life)

    def end(self, power: bool) -> None:
        """The process dies, with or without power."""
        self.life += 1
        self.replica = None
        self.frozen = False
        self._waiting.clear()
        self._local.clear()
        self.disk.power_off()

    def freeze(self) -> None:
        """Nothing runs until the thaw."""
        self.frozen = True

    def thaw(self) -> None:
        """What has come meanwhile is done now, in any order."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        if self._around.chance.random() < 0.5:
            self._around.chance.shuffle(waiting)
        for call in waiting:
            self.run(call)

    def run(self, call: Callable[[], None]) -> None:
        """Let the process do something, and carry out what follows."""
        if self.replica is None:
            return
        if self.frozen:
            self._waiting.append(call)
            return
        call()
        self._carry()

    def hear(self, ip: str, message: Message) -> None:
        """A message has arrived."""
        life = self.life

        def call() -> None:
            if self.replica is not None and life == self.life:
                self.replica.on_message(ip, message, self.clock())

        self.run(call)

    def _tick(self, life: int) -> None:
        if life != self.life:
            return

        def call() -> None:
            if self.replica is not None and life == self.life:
                self.replica.tick(self.clock())

        if not self.frozen:
            self.run(call)
        self._around.later(TICK_MS, lambda: self._tick(life))

    def _carry(self) -> None:
        while self.replica is not None:
            for effect in self.replica.take_effects():
                self._do(effect)
            if not self._local:
                return
            self.replica.on_message(self.ip, self._local.popleft(), self.clock())

    def _do(self, effect: Effect) -> None:
        match effect:
            case Send(ip, message):
                if ip == self.ip:
                    self._local.append(message)
                else:
                    self._around.transmit(self.ip, ip, message)
            case Persist(record, then):
                life = self.life
                self.disk.keep(record, lambda well: self._persisted(life, well, then))
            case Reply():
                self._around.replied(self, effect)
            case Committed():
                self._around.committed(self, effect)
            case Lead():
                self._around.leads(self, effect)

    def _persisted(self, life: int, well: bool, then: tuple[Send, ...]) -> None:
        if life != self.life:
            return

        def call() -> None:
            if life != self.life:
                return
            if not well:
                self._refused(life)
                if self.heeds_refusals:
                    return
            for send in then:
                self._do(send)

        self.run(call)

    def _refused(self, life: int) -> None:
        if self._sick or self.replica is None:
            return
        self._sick = True
        self.replica.on_disk_health(False)
        self._around.later(CHECKPOINT_MS, lambda: self._checkpoint(life))

    def _checkpoint(self, life: int) -> None:
        if life != self.life or self.replica is None:
            return
        self.disk.keep(
            snapshot_record(self.replica.durable_state), lambda well: self._checkpointed(life, well)
        )

    def _checkpointed(self, life: int, well: bool) -> None:
        def call() -> None:
            if life != self.life or self.replica is None:
                return
            if well:
                self._sick = False
                self.replica.on_disk_health(True)
            else:
                self._around.later(CHECKPOINT_MS, lambda: self._checkpoint(life))

        self.run(call)
