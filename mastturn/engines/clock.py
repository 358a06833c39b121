"""An asyncio event loop in simulated time: the clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import heapq
import selectors
from collections.abc import Callable
from contextvars import Context
from typing import Any

START_S = 1_000.0


class _SimulatedSelector(selectors.SelectSelector):
    now = START_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Move the clock to the next timer; raises RuntimeError where there is none."""
        if timeout is None:
            raise RuntimeError("simulated loop is idle: no timer is scheduled")
        if timeout > 0:
            self.now += timeout
        return []


class _Timer(asyncio.TimerHandle):
    """A timer that runs in order of scheduling among those due at the same time, unlike asyncio's."""

    sequence = 0

    def __lt__(self, other: object) -> bool:
        assert isinstance(other, _Timer)
        mine, others = self.when(), other.when()
        return mine < others if mine != others else self.sequence < other.sequence


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop on the simulated clock; `faults` collects exceptions raised in callbacks."""

    _scheduled: list[asyncio.TimerHandle]

    def __init__(self) -> None:
        self._simulated = _SimulatedSelector()
        super().__init__(self._simulated)
        self.faults: list[str] = []
        self._timers_created = 0
        self.set_exception_handler(self._on_exception)

    def _on_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.faults.append(f"{context.get('message')}: {context.get('exception')!r}")

    def time(self) -> float:
        """Simulated time, in seconds."""
        return self._simulated.now

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback; those due at the same time run in order of scheduling."""
        timer = _Timer(when, callback, args, self, context)
        self._timers_created += 1
        timer.sequence = self._timers_created
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer
