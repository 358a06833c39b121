"""KV hand-over: handles that an engine holds for others, and serial transfers over its own link."""

from __future__ import annotations

import asyncio
from typing import Protocol

from mastturn.engines.deployment import Llm
from mastturn.engines.jobs import Counters, Job
from mastturn.engines.memory import Handle, Part

MAX_TRANSFER_WAIT_S = 2.0  # a transfer that would queue longer is refused
CROSS_ZONE_FACTOR = 2.0  # factor on duration and price of a transfer between zones
SHORT_LAPSE_S = 0.05  # lifetime while handles lapse early; the bench's still serve us for so long


class HandoverEngine(Protocol):
    """What a hand-over needs of its engine."""

    @property
    def handover(self) -> Handover:
        """Hand-over state of the current incarnation."""

    @property
    def lapses_soon(self) -> bool:
        """Whether handles lapse early."""

    @property
    def zone(self) -> str:
        """Zone of the engine."""

    @property
    def move_x(self) -> float:
        """Factor on the duration of transfers."""

    def release_parts(self, parts: tuple[Part, ...]) -> None:
        """Release the memory of a handle."""


class Handover:
    """The handles and the link of one engine in one incarnation."""

    def __init__(self, engine: HandoverEngine, llm: Llm, counters: Counters) -> None:
        self._engine, self._llm, self._counters = engine, llm, counters
        self.handles: dict[str, Handle] = {}
        self._link_free_at = 0.0

    def hold(self, ref: str, parts: tuple[Part, ...], tokens: int) -> None:
        """Hold the KV cache of a prefilled prompt until it is fetched, freed or lapses."""
        handle = self.handles[ref] = Handle(parts, tokens)
        lifetime_s = SHORT_LAPSE_S if self._engine.lapses_soon else self._llm.handle_s
        asyncio.get_running_loop().call_later(
            self._llm.first_ms / 1000 + lifetime_s, self._lapse, ref, handle
        )

    def _release(self, ref: str) -> None:
        handle = self.handles.pop(ref, None)
        if handle is not None:
            self._engine.release_parts(handle.parts)

    def free(self, ref: str) -> None:
        """Free a handle that its owner has deleted."""
        handle = self.handles.get(ref)
        if handle is not None and not handle.is_claimed:
            self._counters.wasted_tokens += handle.tokens
            self._release(ref)

    def _lapse(self, ref: str, handle: Handle) -> None:
        if self._engine.handover is self and not handle.is_claimed and self.handles.get(ref) is handle:
            if not self._engine.lapses_soon:
                self._counters.wasted_tokens += handle.tokens
            self._release(ref)

    def fetch(self, job: Job, now: float) -> float | None:
        """Start the transfer for a call; returns its duration in seconds, None if it can't be had."""
        source, engine = job.source, self._engine
        handle = source.find_handle(job.handle) if source is not None else None
        wait_s = max(self._link_free_at - now, 0.0)
        if source is None or handle is None or handle.is_claimed or wait_s > MAX_TRANSFER_WAIT_S:
            return None
        handle.is_claimed = True
        size, zone_factor = (
            handle.tokens * self._llm.kv_bytes,
            CROSS_ZONE_FACTOR if source.zone != engine.zone else 1.0,
        )
        transfer_s = size * 8 / (self._llm.link_mbps * 1e6) * zone_factor * max(engine.move_x, source.move_x)
        duration_s = wait_s + transfer_s + self._llm.setup_ms / 1000
        self._link_free_at = now + duration_s
        self._counters.transfers += 1
        self._counters.transferred_gb += size / 1e9 * zone_factor
        return duration_s

    def on_fetched(self, ref: str) -> None:
        """Release a handle whose KV cache has been fetched."""
        self._release(ref)
