"""All processes are killed at once, after the files of the edge machines name seeds among themselves."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import case_2
from stand_ins_2 import (
    HTTP,
    READYZ,
    Answer,
    call,
    configuration,
    has_trouble,
    request_headers,
    route,
    send_request,
)

REQUESTS_PER_S, SECONDS = 20.0, 8.0
EDGES = ("ctl-edge-1", "ctl-edge-2", "ctl-edge-3")
POLLED_S = 5.0  # processes read a changed file within two seconds
DOWN_S = 1.0
RECOVERY_S = 12.0
LEAST_SHARE = 0.25


async def play(around: case_2.Surroundings) -> int:
    """Change the seeds of the edge machines, kill everything, and see what is served once all is back."""
    fleet, record = around.fleet, around.record
    await around.start_upstreams()
    routes = [route("swap-query", "/swap/")]
    await around.start_fleet(configuration(1, routes))
    before = served(await send_all(around))
    record.write(f"before: {before:.0%} of the requests are served")
    if os.environ.get("SEEDS", "edge") == "edge":
        turn_over_seeds(around)
    await asyncio.sleep(POLLED_S)
    if not await fleet.put(configuration(2, routes), 1):
        raise case_2.NotPlayedError("configuration 2 was not acknowledged")
    record.write("configuration 2 is acknowledged")
    if has_trouble():
        await kill_all(around)
    await asyncio.sleep(RECOVERY_S)
    record.write(f"{RECOVERY_S:g} s after all are back")
    after = served(await send_all(around))
    ready = [node for node in fleet.nodes("balancer") if await is_ready(around, node)]
    reading = await fleet.operator_call("GET", "/api/config")
    record.write(f"balancers that are ready: {', '.join(ready) or 'none'}")
    record.write(f"a core machine answers the operator: {reading.status if reading else 'not at all'}")
    running = [name for name, process in fleet.processes.items() if process.is_running()]
    record.write(f"processes that run: {', '.join(running)}")
    record.write(f"after: {after:.0%} of the requests are served")
    return case_2.BROKEN if before >= LEAST_SHARE > after else case_2.HELD


def turn_over_seeds(around: case_2.Surroundings) -> None:
    """Name three edge machines that serve `ctl` in the files of the edge machines; the core's stay."""
    fleet = around.fleet
    fleet.seeds = list(EDGES)
    for node in fleet.machines:
        if not node.startswith("core"):
            fleet.write_settings(node, bootstrap=False)
    around.record.write(f"the files of the edge machines name other seeds: {', '.join(EDGES)}")


async def kill_all(around: case_2.Surroundings) -> None:
    """Kill every process at once and start all again, each with its machine's file."""
    fleet, seeds = around.fleet, around.fleet.seeds
    for process in fleet.processes.values():
        process.send_signal(signal.SIGKILL)
    around.record.write("all processes are killed")
    await asyncio.sleep(DOWN_S)
    for node in fleet.machines:
        fleet.seeds = [] if node.startswith("core") else seeds
        fleet.start(node)
    around.record.write("all processes are started again; the disks of the core stayed")


async def send_all(around: case_2.Surroundings) -> list[Answer]:
    """Send requests at a constant rate to all balancers in turn."""
    addresses = [around.fleet.address(node, HTTP) for node in around.fleet.nodes("balancer")]
    tasks, started_at = [], time.monotonic()
    for number in range(int(SECONDS * REQUESTS_PER_S)):
        address = addresses[number % len(addresses)]
        tasks.append(asyncio.create_task(send_request(address, "/swap/1", request_headers(826, 24))))
        await asyncio.sleep(max(started_at + (number + 1) / REQUESTS_PER_S - time.monotonic(), 0.0))
    answers = list(await asyncio.gather(*tasks))
    ends: dict[str, int] = {}
    for answer in answers:
        ends[f"{answer.status} {answer.end}"] = ends.get(f"{answer.status} {answer.end}", 0) + 1
    around.record.write(f"{len(answers)} requests sent; answers: {ends}")
    return answers


def served(answers: list[Answer]) -> float:
    """Return the share of the requests that got a whole success."""
    return sum(answer.status == 200 and answer.end == "complete" for answer in answers) / len(answers)


async def is_ready(around: case_2.Surroundings, node: str) -> bool:
    """Return whether a balancer answers 200 at its readiness."""
    answer = await call(around.fleet.address(node, READYZ), "GET", "/api/readyz")
    return answer is not None and answer.status == 200


if __name__ == "__main__":
    case_2.run(__file__, play, diskless=3)
