"""A call at an engine, the interfaces around it, and the counters of all engines."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from mastturn.engines.memory import Handle, Part

PREFILL, DECODE = "prefill", "decode"
FULL, LATE, GONE, MISPLACED, SWITCHING = "full", "deadline", "gone", "misplaced", "switching"


class Caller(Protocol):
    """The caller as an engine sees it; notified of the progress of its call."""

    def prompt_read(self, handle: str) -> None:
        """Notify of a finished prefill and its handle."""

    def rejected(self, reason: str) -> None:
        """Notify of the rejection of a call that has not run."""

    def event_sent(self, number: int) -> None:
        """Notify of an event of the answer."""

    def completed(self) -> None:
        """Notify of the end of the answer."""

    def connection_lost(self) -> None:
        """Notify of a broken connection."""


class Holder(Protocol):
    """An engine that holds a KV cache for another."""

    @property
    def zone(self) -> str:
        """Zone of the engine."""

    @property
    def move_x(self) -> float:
        """Factor on the duration of transfers."""

    def find_handle(self, ref: str) -> Handle | None:
        """Look up a handle; None if it is gone or the engine is down."""

    def on_fetched(self, ref: str) -> None:
        """Release a handle whose KV cache has been fetched."""


@dataclass(slots=True, eq=False)
class Job:
    """A call at an engine; its answer has `pieces` events, of which `events_sent` are out already."""

    name: str
    caller: Caller
    chain: tuple[Part, ...]
    own_tokens: int
    pieces: int
    priority: int
    deadline: float
    prefill_only: bool
    events_sent: int = 0
    handle: str = ""  # of the KV cache to fetch
    source: Holder | None = None
    seq: int = 0
    remaining_tokens: int = 0  # of the prompt, not yet prefilled
    processed_tokens: int = 0  # of the prompt, cached or prefilled
    generated_tokens: int = 0  # of the answer
    held_parts: tuple[Part, ...] = ()
    over: bool = False
    cached_parts: int = 0  # shared parts found in the cache on admission
    admission: int = 0  # number of admissions; events scheduled before a preemption are dropped by it

    @property
    def parts(self) -> tuple[Part, ...]:
        """All parts of the prompt, the unshared one last."""
        return (*self.chain, (self.name, self.own_tokens))

    @property
    def tokens(self) -> int:
        """Length of the prompt."""
        return sum(t for _, t in self.chain) + self.own_tokens


@dataclass(slots=True)
class Counters:
    """Counters over all engines of a day."""

    prefill_tokens: int = 0  # tokens prefilled
    reread_tokens: int = 0  # tokens of shared parts that some engine had prefilled before
    wasted_tokens: int = 0  # tokens prefilled and never fetched
    cached: int = 0
    transfers: int = 0
    transferred_gb: float = 0.0  # weighted as priced
    preempted: int = 0
    rejected: int = 0
    orders: int = 0
    cross_zone_bytes: float = 0.0  # of requests, answers and dissemination
    seen_parts: set[str] = field(default_factory=set)  # ids of shared parts that were prefilled
