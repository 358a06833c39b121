"""One process as a value: what an event makes of it is computed once and remembered."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from typing import Any

from consensus.codec import Record, WholeRecord
from consensus.effects import Committed, Lead, Persist, Reply, Send, Spec
from consensus.messages import Beat, Heard, Message
from consensus.primary import Command
from consensus.replica import Replica
from consensus.views import Member, Memory

# Times and what rests on them alone: here nothing does, since every question is answered with a yes and every
# campaign begins when the search says so. Two processes that differ in nothing else are one.
TIMES = frozenset(
    "heard_at heard_from leading_at began stage_at sent_at now write_at refused behind next_try _beat_at "
    "_heard_at _epoch _succession started _asked_at _ticked_at _came patience _hung_at write_ms "
    "took_ms _resend_at".split()
)
LAPSE_MS = 700.0
SETTLE_MS = 30.0


@dataclass(frozen=True, slots=True)
class Hear:
    """A message from an IP arrives."""

    ip: str
    message: Message


@dataclass(frozen=True, slots=True)
class Boot:
    """The process starts on what the disk holds."""

    kept: WholeRecord


@dataclass(frozen=True, slots=True)
class Run:
    """The process takes the primary for lost, or as primary begins a new view."""


@dataclass(frozen=True, slots=True)
class Settle:
    """A little time goes by."""


@dataclass(frozen=True, slots=True)
class AskIn:
    """A process without a slot asks for one."""


@dataclass(frozen=True, slots=True)
class Submit:
    """An operator's command."""

    command: Command


Event = Hear | Boot | Run | Settle | AskIn | Submit


@dataclass(frozen=True, slots=True)
class Outcome:
    """The process after an event, and what it asks for; `told` in order."""

    process: int
    sends: tuple[Send, ...]
    persists: tuple[tuple[Record, tuple[Send, ...]], ...]
    told: tuple[Reply | Committed | Lead, ...]


class Still:
    """Chance without chance."""

    def uniform(self, least: float, most: float) -> float:
        """The middle."""
        return (least + most) / 2


@dataclass(slots=True)
class _Process:
    replica: Replica
    now: float


Make = Callable[[Member, Memory, Spec, tuple[str, ...], bool, int], Replica]


class Processes:
    """Gives each distinct process a number; steps are remembered by number and event."""

    def __init__(self, spec: Spec, ips: tuple[str, ...], reads: bool, make: Make = Replica) -> None:
        self.spec, self.ips, self._reads, self._make = spec, ips, reads, make
        self._numbers: dict[str, int] = {}
        self._images: list[bytes] = []
        self._ips: list[str] = []
        self._leads: list[bool] = []
        self._settles: list[bool] = []
        self._steps: dict[tuple[int, Event], Outcome] = {}

    def leads(self, process: int) -> bool:
        """Whether it is primary."""
        return self._leads[process]

    def settles(self, process: int) -> bool:
        """Whether it waits for a little time to go by."""
        return self._settles[process]

    def boot(self, index: int, kept: WholeRecord) -> Outcome:
        """A process starts."""
        ip = self.ips[index]
        key = (-1 - index, Boot(kept))
        found = self._steps.get(key)
        if found is None:
            memory = Memory(kept.identity, kept.promised, kept.view, kept.document)
            me = Member(kept.identity, f"core-{index}", ip, 7700, f"{ip}:8166", f"zone-{index}")
            seeds = self.ips[:3]
            founder = kept.identity == "i0" and kept.promised == 0
            replica = self._make(me, memory, self.spec, seeds, founder, 0)
            replica.candidate.chance = Still()  # type: ignore[assignment]
            replica.start(0.0)
            found = self._steps[key] = self._settle_down(_Process(replica, 0.0), ip)
        return found

    def step(self, process: int, event: Event) -> Outcome:
        """What an event makes of a process."""
        key = (process, event)
        found = self._steps.get(key)
        if found is None:
            one: _Process = pickle.loads(self._images[process])
            self._do(one, event)
            found = self._steps[key] = self._settle_down(one, self._ips[process])
        return found

    def adopt(self, replica: Replica, index: int) -> Outcome:
        """A process as the caller has changed it."""
        return self._settle_down(_Process(replica, 0.0), self.ips[index])

    def replica(self, process: int) -> Replica:
        """A copy, to look at."""
        one: _Process = pickle.loads(self._images[process])
        return one.replica

    def _do(self, one: _Process, event: Event) -> None:
        replica = one.replica
        match event:
            case Hear(ip, message):
                replica.hear(ip, message, one.now)
            case Run():
                one.now += LAPSE_MS
                replica._run(one.now, handover=True)
            case Settle():
                one.now += SETTLE_MS
                replica._advance(one.now)
            case AskIn():
                if replica.acceptor.is_displaced():
                    replica.acceptor.forget()
                if replica.memory.slot() is None:
                    replica._inquirer.ask_in()
                else:
                    replica._inquirer.inquire()
            case Submit(command):
                replica.submit(command, one.now)

    def _settle_down(self, one: _Process, ip: str) -> Outcome:
        """Carry out what comes back to the process itself, and number what it has become."""
        sends: list[Send] = []
        persists: list[tuple[Record, tuple[Send, ...]]] = []
        told: list[Reply | Committed | Lead] = []
        local: deque[Message] = deque()
        while True:
            for effect in one.replica.take():
                match effect:
                    case Send(to, message) if to == ip:
                        local.append(message)
                    case Send(_, Beat() | Heard()) if not self._reads:
                        pass  # they carry nothing that binds
                    case Send():
                        sends.append(effect)
                    case Persist(record, then):
                        persists.append((record, then))
                    case _:
                        told.append(effect)
            if not local:
                break
            one.replica.hear(ip, local.popleft(), one.now)
        key = canonical(one)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._images)
            self._images.append(pickle.dumps(one))
            self._ips.append(ip)
            self._leads.append(one.replica.primary is not None)
            campaign = one.replica.candidate.campaign
            self._settles.append(campaign is not None and campaign.majority_at > 0 and campaign.view is None)
        return Outcome(number, tuple(sends), tuple(persists), tuple(told))

    def __len__(self) -> int:
        return len(self._images)


def canonical(value: Any) -> str:
    """The same words for the same value, whatever objects it is made of."""
    return repr(_plain(value))


def _plain(value: Any) -> Any:
    if isinstance(value, str | int | float | bytes | bool) or value is None:
        return value
    if isinstance(value, tuple | list | deque):
        return tuple(_plain(v) for v in value)
    if isinstance(value, set | frozenset):
        return tuple(sorted(map(repr, map(_plain, value))))
    if isinstance(value, dict):
        return tuple(sorted((repr(_plain(k)), _plain(v)) for k, v in value.items()))
    if is_dataclass(value) and not isinstance(value, type):
        return tuple(_field(f.name, getattr(value, f.name)) for f in fields(value) if f.name not in TIMES)
    if callable(value) or isinstance(value, Still | Spec):
        return None
    if hasattr(value, "__dict__"):
        return tuple(sorted((k, _field(k, v)) for k, v in vars(value).items() if k not in TIMES))
    return repr(value)


def _field(name: str, value: Any) -> Any:
    return value > 0 if name == "majority_at" else _plain(value)
