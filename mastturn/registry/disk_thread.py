"""One thread for calls that wait for a disk; the event loop gives them and never waits itself."""

from __future__ import annotations

import asyncio
import functools
import queue
import threading
from collections.abc import Callable
from typing import Any


class DiskThread:
    """Runs calls one after the other, in the order given; made and used in the event loop's thread.

    Nothing waits for the thread when the process ends, so a disk that hangs does not keep it from ending.
    """

    def __init__(self, name: str = "disk") -> None:
        self._loop = asyncio.get_running_loop()
        self._calls: queue.SimpleQueue[Callable[[], bool]] = queue.SimpleQueue()
        threading.Thread(target=self._work, name=name, daemon=True).start()

    def run(self, call: Callable[..., Any], *arguments: Any) -> asyncio.Future[Any]:
        """Resolved with what the call returns, or fails with what it raises."""
        done: asyncio.Future[Any] = self._loop.create_future()

        def work() -> bool:
            try:
                result = call(*arguments)
            except Exception as error:
                return self._tell(done, functools.partial(done.set_exception, error))
            return self._tell(done, functools.partial(done.set_result, result))

        self._calls.put(work)
        return done

    def stop(self) -> None:
        """End the thread once all that was given is done."""
        self._calls.put(lambda: False)

    def _work(self) -> None:
        while self._calls.get()():
            pass

    def _tell(self, done: asyncio.Future[Any], resolve: Callable[[], object]) -> bool:
        """Hand an outcome to the loop; False once the loop is closed, as nobody waits any more."""
        try:
            self._loop.call_soon_threadsafe(lambda: None if done.done() else resolve())
        except RuntimeError:
            return False
        return True
