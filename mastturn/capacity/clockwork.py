"""An event loop on a clock of its own, which measures what each program of the fleet costs.

All programs run in one process. What one of them has scheduled is known by `OWNER`; the processor time that
it takes is booked on it by what caused it. With `charge` that time also goes by on the fleet's clock: a
program that is busy does its next piece of work once it is free, as on a core of its own.
"""

from __future__ import annotations

import asyncio
import contextvars
import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mastturn.capacity.network import Network, Owner
from mastturn.capacity.sources import as_quiet, spin_ns
from mastturn.jumping import SimulatedTimeLoop

LOOK_NS = 20_000_000  # how fast this core is at the moment is looked at so often
BESIDE = 20_000  # turns of the plain loop that tell it
CACHES = 48 * 1024 * 1024  # bytes: more than the core's caches hold
OWNER: contextvars.ContextVar[Program | None] = contextvars.ContextVar("OWNER", default=None)


@dataclass(slots=True)
class Tally:
    """What one program did since it was cleared: messages, bytes by kind, quiet core's seconds by cause."""

    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    got: Counter[str] = field(default_factory=Counter)
    got_bytes: Counter[str] = field(default_factory=Counter)
    cpu: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))


@dataclass(slots=True)
class _Work:
    """A piece of work that waits until its program is free."""

    handle: list[asyncio.Handle]
    callback: Callable[..., object]
    args: tuple[Any, ...]
    context: contextvars.Context


class Program(Owner):
    """One program of the fleet: its scheduled work, its tally, and until when its core is busy."""

    def __init__(self, loop: Loop, name: str, ip: str, place: tuple[str, str]) -> None:
        """`place`: zone and region."""
        super().__init__(name, ip, place)
        self._loop = loop
        self.tally = Tally()
        self.context = contextvars.copy_context()
        self.context.run(OWNER.set, self)
        self._busy_until = 0.0
        self.is_cold = False  # each piece of its work begins with empty caches
        self._queue: deque[_Work] = deque()
        self.disk: Any = None  # where it has one

    def run(
        self,
        cell: list[asyncio.Handle],
        is_timer: bool,
        callback: Callable[..., object],
        args: tuple[Any, ...],
    ) -> None:
        """Carry out what was scheduled, now or once the core is free."""
        if self.is_dead:
            return
        if self._queue or self._busy_until > self._loop.time():
            self._queue.append(_Work(cell, callback, args, contextvars.copy_context()))
            if len(self._queue) == 1:
                self._loop.at(self._busy_until, self._next)
            return
        self._carry_out(callback, args)

    def _next(self) -> None:
        if self.is_dead:
            self._queue.clear()
            return
        work = self._queue.popleft()
        if not work.handle or not work.handle[0].cancelled():
            work.context.run(self._carry_out, work.callback, work.args)
        if self._queue:
            self._loop.at(self._busy_until, self._next)

    def _carry_out(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.cause = ""
        if self.is_cold:
            self._loop.cool()
        began = self._loop.begin_work()
        callback(*args)
        spent = self._loop.end_work()
        self.tally.cpu[self.cause or "timers and tasks"] += spent
        self._busy_until = began + spent * self._loop.charge

    def count_sent(self, kind: str, size: int) -> None:
        """A message goes out."""
        self.tally.sent[kind] += 1
        self.tally.sent_bytes[kind] += size

    def count_got(self, kind: str, size: int) -> None:
        """A message comes in; what is done now is caused by it."""
        self.cause = kind
        self.tally.got[kind] += 1
        self.tally.got_bytes[kind] += size

    def lag(self) -> float:
        """Seconds of work that the core is behind."""
        return max(self._busy_until - self._loop.time(), 0.0)

    def kill(self) -> None:
        """It ends at once; its machine resets what is open."""
        self.is_dead = True
        self._queue.clear()
        for server in list(self.servers):
            server.close()
        for end in list(self.ends):
            end.drop()
        self.ends.clear()


class Loop(SimulatedTimeLoop):
    """An event loop on the fleet's clock and network."""

    def __init__(self, charge: float = 0.0) -> None:
        """`charge`: seconds on the clock for each of a quiet core's time; 0: work takes no time."""
        super().__init__(OWNER)
        self.charge = charge
        self.network = Network(self, OWNER.get)
        self._filler: tuple[bytearray, ...] = ()
        self._began_ns = 0  # of the piece of work that a program does now; 0: none does
        self._scale, self._scaled_ns = (
            1.0,
            0,
        )  # a quiet core's time for this one's, and when that was looked at

    def time(self) -> float:
        """Seconds on the fleet's clock; within a piece of work what it has taken so far has gone by."""
        if self._began_ns and self.charge:
            return self.clock.now + self._spent() * self.charge
        return self.clock.now

    def cool(self) -> None:
        """Empty the core's caches: a program that does little finds them so wherever it runs."""
        if not self._filler:
            self._filler = bytearray(CACHES), bytearray(CACHES)
        self._filler[0][:] = self._filler[1]

    def begin_work(self) -> float:
        """A program begins a piece of work; when that is."""
        if time.process_time_ns() - self._scaled_ns > LOOK_NS:
            self._scale = as_quiet(1.0, spin_ns(BESIDE))
            self._scaled_ns = time.process_time_ns()
        self._began_ns = time.process_time_ns()
        return self.clock.now

    def end_work(self) -> float:
        """It is done; seconds of a quiet core that it took."""
        spent, self._began_ns = self._spent(), 0
        return spent

    def _spent(self) -> float:
        return (time.process_time_ns() - self._began_ns) / 1e9 * self._scale

    def at(self, when: float, callback: Callable[..., object], *args: Any) -> None:
        """Schedule what belongs to no program."""
        self.call_at(when, callback, *args, context=contextvars.Context())
