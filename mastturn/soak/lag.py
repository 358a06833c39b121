"""How far behind the soak's own process is: what it saw then, it may have seen late."""

from __future__ import annotations

import asyncio
import time

from mastturn.soak.records import Records

PERIOD_S = 0.05
LATE_S = 0.1  # beyond its time a look is late: what happened meanwhile has no sure moment
LAG, SOAK = "lag", "soak"  # the span of such a time


async def watch(records: Records) -> None:
    """Record, for ever, the times in which the event loop had no turn."""
    while True:
        due = time.monotonic() + PERIOD_S
        await asyncio.sleep(PERIOD_S)
        now = time.monotonic()
        records.worst_lag_s = max(records.worst_lag_s, now - due)
        if now - due > LATE_S:
            records.begin(LAG, SOAK, due).end = now
