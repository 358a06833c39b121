"""An event loop in simulated time: nothing is waited for, the clock moves to the next timer."""

from __future__ import annotations

import asyncio
import heapq
import selectors
from collections.abc import Callable
from contextvars import Context
from typing import Any

START_S = 1_000.0


class _Jumping(selectors.SelectSelector):
    now = START_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Move the clock to the next timer; raises RuntimeError where there is none."""
        if timeout is None:
            raise RuntimeError("nothing is left that could ever happen")
        if timeout > 0:
            self.now += timeout
        return []


class _Timer(asyncio.TimerHandle):
    """Timers of the same moment run in the order in which they were asked for: asyncio's do not."""

    asked = 0

    def __lt__(self, other: object) -> bool:
        assert isinstance(other, _Timer)
        mine, others = self.when(), other.when()
        return mine < others if mine != others else self.asked < other.asked


class SimulatedLoop(asyncio.SelectorEventLoop):
    """asyncio on that clock; `faults` holds what was raised in callbacks."""

    _scheduled: list[asyncio.TimerHandle]

    def __init__(self) -> None:
        self._jumping = _Jumping()
        super().__init__(self._jumping)
        self.faults: list[str] = []
        self._asked = 0
        self.set_exception_handler(self._fault)

    def _fault(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.faults.append(f"{context.get('message')}: {context.get('exception')!r}")

    def time(self) -> float:
        """Seconds."""
        return self._jumping.now

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """As asyncio has it, but for the order of what is due at the same moment."""
        timer = _Timer(when, callback, args, self, context)
        self._asked += 1
        timer.asked = self._asked
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer
