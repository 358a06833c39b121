"""Background tasks that run as long as the process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

RESTART_DELAY_S = 0.5  # after an exception


async def run_forever(work: Callable[[], Awaitable[None]]) -> None:
    """Run endless work, restarting it after an exception.

    The exception is logged. Without the restart a process would look healthy while a part of it has stopped.
    """
    while True:
        try:
            await work()
            return
        except Exception:
            logger.exception("event=work_failed name={}", getattr(work, "__qualname__", "?"))
        await asyncio.sleep(RESTART_DELAY_S)
