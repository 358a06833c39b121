"""Measures the lag of the soak's own event loop: events observed meanwhile may have happened earlier."""

from __future__ import annotations

import asyncio
import time

from mastturn.soak.records import Records

PERIOD_S = 0.05
MAX_DELAY_S = 0.1  # a longer delay is recorded: the times of events meanwhile are unreliable
LAG, SOAK = "lag", "soak"  # cause and subject of the span of a lag


async def watch(records: Records) -> None:
    """Record the spans in which the event loop was blocked, until cancelled."""
    while True:
        due = time.monotonic() + PERIOD_S
        await asyncio.sleep(PERIOD_S)
        now = time.monotonic()
        records.worst_lag_s = max(records.worst_lag_s, now - due)
        if now - due > MAX_DELAY_S:
            records.begin(LAG, SOAK, due).end = now
