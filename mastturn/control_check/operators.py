"""Operators of simulated time: chains of changes with If-Match, resends, races, reads."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from consensus.effects import Reply, Verdict
from consensus.primary import Command, Get, Put
from mastturn.control_check.rules import PendingCall, Rules

CALL_TIMEOUT_MS = 1_000.0  # without an answer for so long the call is sent again
REPEAT_SHARE = 0.1  # of the calls are a change of before, sent once more: its acknowledgement was lost


class OperatorEnvironment(Protocol):
    """How an operator reaches the machines."""

    now: float
    rng: random.Random
    rules: Rules

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Call once the time has gone by."""

    def acknowledged(self, operator: Operator) -> None:
        """Its change was acknowledged."""

    def call(self, operator: Operator, command: Command) -> None:
        """Bring a command to some machine; its answer, if any, comes by `told`."""


class Operator:
    """One operator: one call at a time, sent again unchanged until it has an answer."""

    def __init__(self, line: OperatorEnvironment, name: str, pause_ms: float, repeats: bool = False) -> None:
        """`repeats`: now and then it sends a change of before once more."""
        self._line, self.name, self._pause, self._repeats = line, name, pause_ms, repeats
        self._asked: PendingCall | None = None
        self._version = 0  # the newest that we know of
        self.reads_next = True
        self._turn = 0
        self._followed = 0
        self._count = 0
        self.since = 0.0  # when the call under way began
        self.hint = ""  # where the last answer pointed
        self.tried = line.rng.randrange(100)
        self.stopped = False
        self.slowest = 0.0
        self._acknowledged: list[Put] = []

    def begin(self) -> None:
        """Make the next call."""
        if self.stopped:
            return
        rng = self._line.rng
        command: Command
        if self.reads_next or rng.random() < 0.25:
            command = Get(0)
        elif self._repeats and self._acknowledged and rng.random() < REPEAT_SHARE:
            command = rng.choice(self._acknowledged)
        else:
            self._count += 1
            digest = f"{self.name}-{self._count}"
            command = Put(0, self._version, self._version + rng.randint(1, 4), digest, digest.encode())
        self.reads_next = False
        self._asked = self._line.rules.ask(command)
        self.since = self._line.now
        self._send()

    def is_waiting(self) -> bool:
        """Whether a call is under way."""
        return self._asked is not None

    def _send(self) -> None:
        if self._asked is None:
            return
        self._turn += 1
        turn = self._turn
        self._line.call(self, self._asked.command)

        def again() -> None:
            if turn == self._turn:
                self.hint = ""
                self._send()

        self._line.later(CALL_TIMEOUT_MS, again)

    def on_reply(self, reply: Reply, of: Command, hint: str) -> None:
        """An answer to a call, perhaps to one of before."""
        if self._asked is None or of is not self._asked.command:
            return
        if reply.verdict is Verdict.MOVED:
            self._followed = self._followed + 1 if hint else 0
            self.hint = hint if self._followed <= 2 else ""  # then to any, as a client would
            self._followed %= 3
            self._line.later(self._line.rng.uniform(20, 120), self._again_for(of))
            return
        asked, self._asked = self._asked, None
        self._turn += 1
        self._line.rules.replied(asked, reply)
        if isinstance(of, Put) and reply.verdict is Verdict.DONE:
            self._acknowledged.append(of)
            self._line.acknowledged(self)
        self.slowest = max(self.slowest, self._line.now - self.since)
        assert reply.document is not None
        self._version = reply.document.ver
        self.reads_next = reply.verdict is not Verdict.DONE and self._line.rng.random() < 0.5
        self._line.later(self._line.rng.uniform(0.2, 1.8) * self._pause, self.begin)

    def _again_for(self, command: Command) -> Callable[[], None]:
        def again() -> None:
            if self._asked is not None and self._asked.command is command:
                self._send()

        return again
