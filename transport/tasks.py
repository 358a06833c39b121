"""Work that goes on for as long as the process does."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

AGAIN_S = 0.5  # after a fault


async def run_forever(work: Callable[[], Awaitable[None]]) -> None:
    """Do endless work; a fault in it is logged, and it begins anew: a process without it would look well."""
    while True:
        try:
            await work()
            return
        except Exception:
            logger.exception("event=work_failed name={}", getattr(work, "__qualname__", "?"))
        await asyncio.sleep(AGAIN_S)
