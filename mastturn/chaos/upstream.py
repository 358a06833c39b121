"""Upstream process of a chaos run: `python -m mastturn.chaos.upstream FILE`; FILE holds a `Told`.

It registers and renews its lease, and records the start of each request. On SIGTERM it announces that it is
leaving, keeps serving for its drain period, deregisters and exits.
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
    """Settings of the process, read from a JSON file."""

    name: str
    port: int
    listed_at: str  # address to register: of the link in front of the upstream
    replicas: tuple[str, ...]
    kinds: tuple[RequestClass, ...]
    cores: int
    lease_ms: float
    drain_s: float
    history: str
    locality: str = "a"


async def serve(config: Told) -> None:
    """Serve until SIGTERM, then drain and deregister."""
    stop = stop_signal()
    history = Recorder(Path(config.history))
    upstream = Upstream(config.name, {kind.name: kind for kind in config.kinds}, config.cores, 1.0)
    upstream.port = config.port
    upstream.on_request_begin = lambda number, kind: history.write(
        config.name, "begun", txn=number, kind=kind
    )
    await upstream.start()
    started_ms = int(time.time() * 1000)
    registration = {
        "host_port": config.listed_at,
        "locality": config.locality,
        "incarnation": started_ms,
        "up_since_ms": started_ms,
        "lease_ms": config.lease_ms,
    }
    registrant = Registrant(list(config.replicas), config.name, registration)
    registrant.start()
    history.write(config.name, "serves", incarnation=started_ms)
    await stop.wait()
    history.write(config.name, "leaves", incarnation=started_ms)
    registrant.say(phase="leaving")
    await asyncio.sleep(config.drain_s)
    await registrant.stop()
    await upstream.stop()


def main() -> None:
    """Start with the settings file named on the command line."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s")
    asyncio.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Told)))


if __name__ == "__main__":
    main()
