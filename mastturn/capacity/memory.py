"""Memory of one balancer without traffic: the program, then what each part of the control side adds to it."""

from __future__ import annotations

import asyncio
import gc
import math
import time
from multiprocessing.connection import Connection
from typing import Any

import uvloop
from loguru import logger

from balancer.prefix_index import MAX_PAIRS
from config.settings import CloudApi, Limits, Settings
from control.platform import pack
from dissemination.cached_prefixes import MAX_HOLDERS, MAX_SUBJECTS
from dissemination.loads import pack as pack_loads
from dissemination.messages import (
    CachedPrefix,
    CachedPrefixUpdate,
    ConfigurationUpdate,
    LeaderHeartbeat,
    LoadUpdate,
    MembershipUpdate,
    UpstreamListUpdate,
)
from mastturn.capacity.children import child
from mastturn.capacity.days import resident_mb
from mastturn.capacity.network import KINDS
from mastturn.capacity.parts import present
from mastturn.capacity.shapes import TARGET, Shape, configuration, list_entries
from mastturnd.balancing import BalancerRole

STEPS = ("program", "configuration", "members", "list", "list again", "loads", "holdings", "kept, full")
SIZES = (0.125, 0.25, 0.5, 0.75)  # of the target's entries, members and routes
HELD_OUT = 1.0


def _main(pipe: Connection, share: float) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_steps(pipe, share))


async def _steps(pipe: Connection, share: float) -> None:
    logger.remove()
    settings = Settings(
        "edge-zone-0-1",
        "127.0.0.1",
        "zone-0",
        "edge",
        (0, 1),
        CloudApi("127.0.0.1:1"),
        limits=Limits(max_fds=4100),
    )
    role = BalancerRole(settings)
    shape = Shape(
        balancers=round(TARGET.balancers * share),
        upstreams=round(TARGET.upstreams * share),
        routes=round(TARGET.routes * share),
    )
    entries = list_entries(shape)
    loads = pack_loads({e["id"]: (19, 12_000) for e in entries})
    frames = [
        (
            "configuration",
            KINDS.encode(ConfigurationUpdate(1, configuration(1, shape.routes, shape.services))),
        ),
        ("members", KINDS.encode(MembershipUpdate(1, 1, present(shape.balancers), ("10.0.255.1",)))),
        ("list", KINDS.encode(UpstreamListUpdate(1, 1, pack(entries)))),
        ("list again", KINDS.encode(UpstreamListUpdate(1, 2, pack(entries[1:])))),
        ("loads", KINDS.encode(LoadUpdate(1, 1, loads))),
    ]
    names = [e["id"] for e in entries]
    del entries, loads
    gc.collect()
    pipe.send(("program", resident_mb(), 0.0))
    for name, frame in frames:
        began = time.process_time()
        message: Any = KINDS.decode(int.from_bytes(frame[4:6], "big"), frame[6:])
        if role._latest.store(message):
            role._on_update(message)
        spent = time.process_time() - began
        del message
        gc.collect()
        pipe.send((name, resident_mb(), spent))
    role._on_update(LeaderHeartbeat(1, 1, shape.balancers))
    for name, batches in (("holdings", 1), ("kept, full", _full(shape))):
        began = time.process_time()
        for batch in range(batches):
            role._on_update(_holdings(names, round(MAX_SUBJECTS * share), f"{name[0]}{batch:x}"))
        gc.collect()
        pipe.send((name, resident_mb(), time.process_time() - began))
    pipe.send(None)


def _holdings(names: list[str], subjects: int, mark: str) -> CachedPrefixUpdate:
    """As many subjects as a process tells of, each read by as many upstreams as it tells of."""
    frame = KINDS.encode(
        CachedPrefixUpdate(
            tuple(
                CachedPrefix(f"{mark}{i:07x}".encode(), names[(i * MAX_HOLDERS + k) % len(names)])
                for i in range(subjects)
                for k in range(MAX_HOLDERS)
            )
        )
    )
    news: CachedPrefixUpdate = KINDS.decode(110, frame[6:])
    return news


def _full(shape: Shape) -> int:
    """After so many of those news the table of what upstreams have read has been filled twice."""
    told = MAX_SUBJECTS * MAX_HOLDERS * shape.upstreams / TARGET.upstreams
    return math.ceil(2 * MAX_PAIRS / told)


def measured() -> dict[str, Any]:
    """Megabytes after each step, by the size of the fleet."""
    found = []
    for share in (*SIZES, HELD_OUT):
        for _ in range(2):
            point: dict[str, Any] = {"x": share}
            with child(_main, share) as there:
                while (told := there.hear()) is not None:
                    point[told[0]], point[f"{told[0]}_s"] = told[1], told[2]
            found.append(point)
    return {"memory": found, "steps": list(STEPS), "held_out": HELD_OUT}
