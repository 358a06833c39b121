"""An asyncio event loop in simulated time: its clock jumps to the next timer; the network is in memory.

The system tests and the simulated fleets of the capacity page use it. A context variable names the simulated
program that code runs for. Each callback that this code schedules is passed to the program when it is due:
the program runs it, holds it while frozen or busy, or drops it after a kill.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any, Protocol

BEGIN_S = 1_000.0  # initial time of each loop's clock


class Runner(Protocol):
    """A simulated program, which runs the callbacks that its code has scheduled."""

    def run(
        self,
        cell: list[asyncio.Handle],
        is_timer: bool,
        callback: Callable[..., object],
        args: tuple[Any, ...],
    ) -> None:
        """Run a due callback, now or later; `cell` holds its handle, which may be cancelled meanwhile."""


class Clock(selectors.SelectSelector):
    """A selector that advances simulated time instead of waiting."""

    now = BEGIN_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock to the next timer; raises RuntimeError if no timer is scheduled."""
        if timeout is None:
            raise RuntimeError("simulation deadlock: no callback or timer is scheduled")
        self.now += max(timeout, 0.0)
        return []


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a simulated clock and network, which runs the callbacks of simulated programs."""

    network: Any  # with `connect(factory, host, port)` and `listen(factory, host, port)`

    def __init__(self, owner: contextvars.ContextVar[Any]) -> None:
        """`owner`: holds the program (`Runner`) that code runs for, or None for code outside the programs."""
        self.clock = Clock()
        super().__init__(self.clock)
        self._owner = owner
        self.faults: list[str] = []  # uncaught exceptions
        self.set_exception_handler(self._record_exception)

    def _record_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.faults.append(f"{context.get('message')}: {context.get('exception')!r}")

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.clock.now

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> Any:
        """Like asyncio's method; the callback belongs to the program that schedules it."""
        context = contextvars.copy_context() if context is None else context
        owner: Runner | None = context.get(self._owner)
        if owner is None:
            return super().call_soon(callback, *args, context=context)
        cell: list[asyncio.Handle] = []
        handle = super().call_soon(owner.run, cell, False, callback, args, context=context)
        cell.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> Any:
        """Like asyncio's method; the callback belongs to the program that schedules it."""
        context = contextvars.copy_context() if context is None else context
        owner: Runner | None = context.get(self._owner)
        if owner is None:
            return super().call_at(when, callback, *args, context=context)
        cell: list[asyncio.Handle] = []
        handle = super().call_at(when, owner.run, cell, True, callback, args, context=context)
        cell.append(handle)
        return handle

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **kwargs: Any) -> Any:  # type: ignore[override]
        """Connect on the in-memory network."""
        return await self.network.connect(factory, str(host), int(port))

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **kwargs: Any) -> Any:  # type: ignore[override]
        """Listen on the in-memory network."""
        return self.network.listen(factory, str(host), int(port))
