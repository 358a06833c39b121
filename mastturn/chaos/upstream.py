"""An upstream of the rig as a process: `python -m mastturn.chaos.upstream FILE`, the file as `Told` says.

It registers itself and renews its lease, writes down each request that it begins, and on SIGTERM says that it
is leaving, serves on for its drain, takes itself off and ends.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from pathlib import Path

import msgspec

from mastturn.chaos.history import Recorder
from mastturn.registry.commands import stop_signal
from mastturn.registry.registrant import Registrant
from mastturn.standins.plan import RequestClass
from mastturn.standins.upstream import Upstream


class Told(msgspec.Struct, frozen=True):
    """What the process is told."""

    name: str
    port: int
    listed_at: str  # the address that the list shows: of the link before us
    replicas: tuple[str, ...]
    kinds: tuple[RequestClass, ...]
    cores: int
    lease_ms: float
    drain_s: float
    history: str
    locality: str = "a"


async def serve(told: Told) -> None:
    """Run until SIGTERM, and leave in order."""
    stop = stop_signal()
    history = Recorder(Path(told.history))
    upstream = Upstream(told.name, {kind.name: kind for kind in told.kinds}, told.cores, 1.0)
    upstream.port = told.port
    upstream.on_request_begin = lambda number, kind: history.write(told.name, "begun", txn=number, kind=kind)
    await upstream.start()
    started = int(time.time() * 1000)
    values = {
        "host_port": told.listed_at,
        "locality": told.locality,
        "incarnation": started,
        "up_since_ms": started,
        "lease_ms": told.lease_ms,
    }
    registrant = Registrant(list(told.replicas), told.name, values)
    registrant.start()
    history.write(told.name, "serves", incarnation=started)
    await stop.wait()
    history.write(told.name, "leaves", incarnation=started)
    registrant.say(phase="leaving")
    await asyncio.sleep(told.drain_s)
    await registrant.stop()
    await upstream.stop()


def main() -> None:
    """Start as the file says."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s")
    asyncio.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Told)))


if __name__ == "__main__":
    main()
