"""An event loop that never waits: its clock jumps to the next timer, and connections stay in memory.

The rig of the system's tests and the hollow fleets of the capacity page stand on it. Each program in the
process has a context variable that names it; all that its code has scheduled is handed to that program, which
carries it out, keeps it while it is frozen or busy, or drops it once it is dead.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any, Protocol

BEGIN_S = 1_000.0  # on the clock when a loop is new


class Runner(Protocol):
    """A program: carries out what its code has scheduled."""

    def run(
        self,
        cell: list[asyncio.Handle],
        is_timer: bool,
        callback: Callable[..., object],
        args: tuple[Any, ...],
    ) -> None:
        """It is due; the cell holds its handle, which may be cancelled while it is kept."""


class Clock(selectors.SelectSelector):
    """Nothing is ever waited for: the clock moves instead."""

    now = BEGIN_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Move the clock to the next timer; raises RuntimeError where there is none."""
        if timeout is None:
            raise RuntimeError("nothing is left that could ever happen")
        self.now += max(timeout, 0.0)
        return []


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on a clock of its own and a network in memory, whose work belongs to programs."""

    network: Any  # with `connect(factory, host, port)` and `listen(factory, host, port)`

    def __init__(self, owner: contextvars.ContextVar[Any]) -> None:
        """`owner`: names the program (`Runner`) that code runs for; None: nobody's."""
        self.clock = Clock()
        super().__init__(self.clock)
        self._owner = owner
        self.faults: list[str] = []  # what a program did not catch
        self.set_exception_handler(self._fault)

    def _fault(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.faults.append(f"{context.get('message')}: {context.get('exception')!r}")

    def time(self) -> float:
        """Seconds on the clock."""
        return self.clock.now

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> Any:
        """As asyncio has it; the work is the program's that schedules it."""
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
        """As asyncio has it; the work is the program's that schedules it."""
        context = contextvars.copy_context() if context is None else context
        owner: Runner | None = context.get(self._owner)
        if owner is None:
            return super().call_at(when, callback, *args, context=context)
        cell: list[asyncio.Handle] = []
        handle = super().call_at(when, owner.run, cell, True, callback, args, context=context)
        cell.append(handle)
        return handle

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:  # type: ignore[override]
        """A connection on the network in memory."""
        return await self.network.connect(factory, str(host), int(port))

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:  # type: ignore[override]
        """A listener on the network in memory."""
        return self.network.listen(factory, str(host), int(port))
