"""One call at an engine, who hears of it, and what all engines of a day did."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from mastturn.engines.memory import Handle, Part

PREFILL, DECODE = "prefill", "decode"
FULL, LATE, GONE, MISPLACED, SWITCHING = "full", "deadline", "gone", "misplaced", "switching"


class Caller(Protocol):
    """Whoever sent a call, at the engine's side of the network."""

    def read(self, handle: str) -> None:
        """The prompt is read."""

    def rejected(self, why: str) -> None:
        """It did not run and never will."""

    def begun(self, number: int) -> None:
        """An event of the answer."""

    def ended(self) -> None:
        """The answer is whole."""

    def cut(self) -> None:
        """The connection broke."""


class Holder(Protocol):
    """An engine that holds memory for another."""

    @property
    def zone(self) -> str:
        """Where it is."""

    @property
    def move_x(self) -> float:
        """Moves take so many times as long."""

    def held(self, ref: str) -> Handle | None:
        """The memory behind a handle, unless it is gone or the engine is down."""

    def fetched(self, ref: str) -> None:
        """Somebody has fetched it."""


@dataclass(slots=True, eq=False)
class Job:
    """One call at an engine; `pieces`: events of the whole answer, of which `after` are there already."""

    name: str
    caller: Caller
    chain: tuple[Part, ...]
    own: int
    pieces: int
    priority: int
    ends: float
    reads_only: bool
    after: int = 0
    handle: str = ""  # to be fetched
    source: Holder | None = None
    seq: int = 0
    left: int = 0  # tokens of the prompt still to be read
    seen: int = 0  # tokens of it that are there
    written: int = 0  # tokens of the answer
    held: tuple[Part, ...] = ()
    over: bool = False
    had: int = 0  # shared parts that were there when it was let in
    run: int = 0  # counts admissions, so that what was due before a preemption is dropped

    @property
    def parts(self) -> tuple[Part, ...]:
        """All parts of the prompt, the own one last."""
        return (*self.chain, (self.name, self.own))

    @property
    def tokens(self) -> int:
        """Of the whole prompt."""
        return sum(t for _, t in self.chain) + self.own


@dataclass(slots=True)
class Figures:
    """What all engines of a day did."""

    read: int = 0  # tokens
    again: int = 0  # of shared parts that some engine had read before
    wasted: int = 0  # read, and never fetched
    kept: int = 0
    moves: int = 0
    moved_gb: float = 0.0  # as it is priced
    preempted: int = 0
    rejected: int = 0
    orders: int = 0
    crossed: float = 0.0  # bytes between zones, of requests, answers and news
    known: set[str] = field(default_factory=set)  # shared parts that were read
