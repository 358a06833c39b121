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


class MachineEnvironment(Protocol):
    """What a machine needs of the world."""

    now: float
    rng: random.Random
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

    def __init__(
        self, environment: MachineEnvironment, node: str, ip: str, zone: str, sync_ms: float
    ) -> None:
        self._environment, self.node, self.ip, self.zone = environment, node, ip, zone
        self.disk = Disk(sync_ms, environment.rng, environment.later)
        self.replica: Replica | None = None
        self.incarnation = 0
        self.frozen = False
        self._waiting: list[Callable[[], None]] = []  # for the thaw
        self._local: deque[Message] = deque()
        self._is_disk_failed = False
        self.skew_ms = 0.0
        self._clock = AwakeClock(self._stalled)
        self.handles_disk_errors = True  # False: a planted defect of the host

    def clock(self) -> float:
        """What the process takes for the time."""
        return self._clock.read(self._environment.now + self.skew_ms)

    def _stalled(self, stall_ms: float, now: float) -> None:
        if self.replica is not None:
            self.replica.on_stall(stall_ms, now)

    def start(self, seeds: tuple[str, ...], founder: bool) -> None:
        """A process starts on what the disk holds."""
        synced_state = self.disk.synced_state
        assert synced_state is not None
        durable_state = DurableState(
            synced_state.identity, synced_state.promised, synced_state.view, synced_state.document
        )
        me = Member(synced_state.identity, self.node, self.ip, 7700, f"{self.ip}:8166", self.zone)
        self.incarnation += 1
        self._is_disk_failed = False
        self._clock = AwakeClock(self._stalled)
        seed = self._environment.rng.getrandbits(32)
        self.replica = self._environment.make(me, durable_state, seeds, founder, seed)
        self.replica.start(self.clock())
        self._tick(self.incarnation)

    def end(self, power: bool) -> None:
        """The process dies, with or without power."""
        self.incarnation += 1
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
        if self._environment.rng.random() < 0.5:
            self._environment.rng.shuffle(waiting)
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
        self._apply_effects()

    def deliver(self, ip: str, message: Message) -> None:
        """A message has arrived."""
        incarnation = self.incarnation

        def call() -> None:
            if self.replica is not None and incarnation == self.incarnation:
                self.replica.on_message(ip, message, self.clock())

        self.run(call)

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return

        def call() -> None:
            if self.replica is not None and incarnation == self.incarnation:
                self.replica.tick(self.clock())

        if not self.frozen:
            self.run(call)
        self._environment.later(TICK_MS, lambda: self._tick(incarnation))

    def _apply_effects(self) -> None:
        while self.replica is not None:
            for effect in self.replica.take_effects():
                self._apply_effect(effect)
            if not self._local:
                return
            self.replica.on_message(self.ip, self._local.popleft(), self.clock())

    def _apply_effect(self, effect: Effect) -> None:
        match effect:
            case Send(ip, message):
                if ip == self.ip:
                    self._local.append(message)
                else:
                    self._environment.transmit(self.ip, ip, message)
            case Persist(record, then):
                incarnation = self.incarnation
                self.disk.sync(record, lambda ok: self._persisted(incarnation, ok, then))
            case Reply():
                self._environment.replied(self, effect)
            case Committed():
                self._environment.committed(self, effect)
            case Lead():
                self._environment.leads(self, effect)

    def _persisted(self, incarnation: int, ok: bool, then: tuple[Send, ...]) -> None:
        if incarnation != self.incarnation:
            return

        def call() -> None:
            if incarnation != self.incarnation:
                return
            if not ok:
                self._refused(incarnation)
                if self.handles_disk_errors:
                    return
            for send in then:
                self._apply_effect(send)

        self.run(call)

    def _refused(self, incarnation: int) -> None:
        if self._is_disk_failed or self.replica is None:
            return
        self._is_disk_failed = True
        self.replica.on_disk_health(False)
        self._environment.later(CHECKPOINT_MS, lambda: self._checkpoint(incarnation))

    def _checkpoint(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self.replica is None:
            return
        self.disk.sync(
            snapshot_record(self.replica.durable_state), lambda ok: self._checkpointed(incarnation, ok)
        )

    def _checkpointed(self, incarnation: int, ok: bool) -> None:
        def call() -> None:
            if incarnation != self.incarnation or self.replica is None:
                return
            if ok:
                self._is_disk_failed = False
                self.replica.on_disk_health(True)
            else:
                self._environment.later(CHECKPOINT_MS, lambda: self._checkpoint(incarnation))

        self.run(call)
