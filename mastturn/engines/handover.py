"""Memory that an engine holds for others, and what it fetches from them over its link, one move at a time."""

from __future__ import annotations

import asyncio
from typing import Protocol

from mastturn.engines.deployment import Llm
from mastturn.engines.jobs import Figures, Job
from mastturn.engines.memory import Handle, Part

MOVE_WAIT_S = 2.0  # a move that would wait longer is not begun
FAR = 2.0  # times as long a move takes between zones, and as dear
SHORT_S = 0.05  # a handle lapses after this where they lapse soon: the bench's are still there for us


class Owner(Protocol):
    """The engine that it belongs to."""

    @property
    def handover(self) -> Handover:
        """Of its present incarnation."""

    @property
    def lapses_soon(self) -> bool:
        """Whether its handles do."""

    @property
    def zone(self) -> str:
        """Where it is."""

    @property
    def move_x(self) -> float:
        """Moves take so many times as long."""

    def let_go(self, parts: tuple[Part, ...]) -> None:
        """What a handle held is free."""


class Handover:
    """The handles and the link of one engine in one incarnation."""

    def __init__(self, engine: Owner, llm: Llm, figures: Figures) -> None:
        self._engine, self._llm, self._figures = engine, llm, figures
        self.handles: dict[str, Handle] = {}
        self._link_free = 0.0

    def keep(self, ref: str, parts: tuple[Part, ...], tokens: int) -> None:
        """A prompt was read: its memory is held from its answer on until it is fetched, freed or lapses."""
        handle = self.handles[ref] = Handle(parts, tokens)
        lapse = SHORT_S if self._engine.lapses_soon else self._llm.handle_s
        asyncio.get_running_loop().call_later(self._llm.first_ms / 1000 + lapse, self._lapse, ref, handle)

    def _let_go(self, ref: str) -> None:
        handle = self.handles.pop(ref, None)
        if handle is not None:
            self._engine.let_go(handle.parts)

    def free(self, ref: str) -> None:
        """DELETE of a handle."""
        handle = self.handles.get(ref)
        if handle is not None and not handle.taken:
            self._figures.wasted += handle.tokens
            self._let_go(ref)

    def _lapse(self, ref: str, handle: Handle) -> None:
        if self._engine.handover is self and not handle.taken and self.handles.get(ref) is handle:
            if not self._engine.lapses_soon:
                self._figures.wasted += handle.tokens
            self._let_go(ref)

    def fetch(self, job: Job, now: float) -> float | None:
        """Begin to fetch what a job names; how many seconds that takes, None if it can't be had."""
        source, engine = job.source, self._engine
        handle = source.held(job.handle) if source is not None else None
        wait = max(self._link_free - now, 0.0)
        if source is None or handle is None or handle.taken or wait > MOVE_WAIT_S:
            return None
        handle.taken = True
        size, far = handle.tokens * self._llm.kv_bytes, FAR if source.zone != engine.zone else 1.0
        move = size * 8 / (self._llm.link_mbps * 1e6) * far * max(engine.move_x, source.move_x)
        took = wait + move + self._llm.setup_ms / 1000
        self._link_free = now + took
        self._figures.moves += 1
        self._figures.moved_gb += size / 1e9 * far
        return took

    def fetched(self, ref: str) -> None:
        """Somebody has fetched it."""
        self._let_go(ref)
