"""What a frame costs on a real socket: processor time of a process that takes or sends frames on loopback."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from multiprocessing.connection import Connection
from typing import Any

import uvloop

from dissemination.messages import ConfigurationUpdate, LeaderHeartbeat
from mastturn.capacity.children import Child, child
from mastturn.capacity.network import KINDS
from mastturn.standins.ports import free_port
from transport.endpoint import Endpoint
from transport.links import Links
from transport.wire import Link

SIZES = (0, 1_000, 10_000, 40_000, 100_000)  # bytes beside a small frame's
FRAMES = 400
GAP_S = 0.002  # each frame is a wake-up of its own


def _serve(pipe: Connection) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_host(pipe))


async def _host(pipe: Connection) -> None:
    """Takes frames; asked to, sends some; says how much processor time it has used."""
    loop = asyncio.get_running_loop()
    there: list[Link] = []
    got = 0

    def heard(link: Link, message: Any) -> None:
        nonlocal got
        got += 1
        if link not in there:
            there.append(link)

    port = free_port()
    links = Links(KINDS, Endpoint("127.0.0.1", port), heard, lambda link: None)
    await links.start()
    pipe.send(port)
    asked = asyncio.Event()
    loop.add_reader(pipe.fileno(), asked.set)
    while True:
        await asked.wait()
        asked.clear()
        while pipe.poll():
            os.set_blocking(pipe.fileno(), True)  # the loop has changed that
            size = pipe.recv()
            if size is not None:
                frame = _frame(size)
                began = time.process_time()
                for _ in range(FRAMES):
                    there[0].send_bytes(frame)
                    await asyncio.sleep(GAP_S)
                pipe.send(time.process_time() - began)
            else:
                pipe.send((time.process_time(), got))


def _frame(size: int) -> bytes:
    return KINDS.encode(LeaderHeartbeat(1, 2, 350) if not size else ConfigurationUpdate(1, b"x" * size))


def measured() -> dict[str, Any]:
    """Seconds of a core for a frame taken and for one sent, by its size; an idle second beside them."""
    taken, sent = [], []
    with child(_serve) as there:
        port = there.hear()
        with socket.create_connection(("127.0.0.1", port)) as line:
            line.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            line.settimeout(10.0)
            before, _ = there.ask(None)
            time.sleep(1.0)
            after, _ = there.ask(None)
            idle = after - before
            for size in SIZES:
                taken.append({"x": len(_frame(size)), "cpu_s": _taken(there, line, _frame(size))})
            for size in SIZES:
                sent.append({"x": len(_frame(size)), "cpu_s": _sent(there, line, size)})
    return {"taken": taken, "sent": sent, "idle_s": idle, "frames": FRAMES, "gap_s": GAP_S}


def _taken(there: Child, line: socket.socket, frame: bytes) -> float:
    before, count = there.ask(None)
    for _ in range(FRAMES):
        line.sendall(frame)
        time.sleep(GAP_S)
    while True:
        after, now = there.ask(None)
        if now - count >= FRAMES:
            return float(after - before) / FRAMES
        time.sleep(0.05)


def _sent(there: Child, line: socket.socket, size: int) -> float:
    there.tell(size)
    left = len(_frame(size)) * FRAMES
    while left > 0:
        left -= len(line.recv(1 << 20))
    return float(there.hear()) / FRAMES
