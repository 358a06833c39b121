"""The graceful shutdown of a control process: it leaves the group, or names a successor."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from consensus.replica import Replica

LEAVE_SHARE = 0.7  # share of the grace period to wait for a view without this process
HANDOVER_TIMEOUT_S = 0.5  # to wait for a successor to lead
POLL_INTERVAL_S = 0.03


async def leave_group(
    replica: Replica, grace_s: float, now: Callable[[], float], apply_effects: Callable[[], None]
) -> None:
    """Leave the view; if that takes too long, name a successor and wait briefly until it leads.

    `now`: the replica's time in milliseconds. `apply_effects`: carries out what the replica requests.
    """
    replica.stop(now())
    apply_effects()
    await _wait_until(replica.may_end, grace_s * LEAVE_SHARE)
    replica.resign(now())
    apply_effects()
    await _wait_until(lambda: _has_successor(replica, now()), HANDOVER_TIMEOUT_S)


async def _wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait until `condition` holds, at most `timeout_s`."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while loop.time() < deadline and not condition():
        await asyncio.sleep(POLL_INTERVAL_S)


def _has_successor(replica: Replica, now: float) -> bool:
    leader = replica.leader()
    return leader is not None and leader.identity != replica.me.identity and replica.has_live_leader(now)
