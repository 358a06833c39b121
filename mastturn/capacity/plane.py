"""What a request and a token cost the data plane: a real balancer, upstreams that only answer."""

from __future__ import annotations

import asyncio
import json
import os
import time
from dataclasses import replace
from multiprocessing.connection import Connection
from typing import Any

import uvloop

from balancer.balancer import Balancer
from config.checking import parse_configuration
from config.configuration import Configuration, Route, Upstream
from config.settings import Bounds, CloudApi, Limits, Listen, Settings
from mastturn.capacity.children import Child, child
from mastturn.capacity.shapes import TARGET, configuration, list_entries
from mastturn.capacity.sources import spin_ns
from mastturn.standins.ports import free_port

EVENTS = (1, 8, 32, 64, 128)  # events of one answer
HELD_OUT = 258  # 620,000 tokens a second over 2,400 requests, one token an event
REQUESTS = 40
ROUNDS = 6
AT_ONCE = 4
BESIDE = 200_000  # turns of the plain loop that tell how fast the core is
GAP_S = 0.002  # between the events of an answer: each is a wake-up of its own


def _configuration() -> Configuration:
    """The target's configuration; clients ask for its first route."""
    return parse_configuration(configuration(1, TARGET.routes, TARGET.services))


def _main(pipe: Connection, upstreams: list[tuple[str, str]], listed: int) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_host(pipe, upstreams, listed))


async def _host(pipe: Connection, upstreams: list[tuple[str, str]], listed: int) -> None:
    """One balancer before the upstreams that answer, and as many more of other services as are listed."""
    port = free_port()
    settings = Settings(
        "edge-1",
        "127.0.0.1",
        "zone-0",
        "edge",
        (0, 1),
        CloudApi("127.0.0.1:1"),
        listen=Listen(f"127.0.0.1:{port}", f"127.0.0.1:{free_port()}"),
        limits=Limits(max_fds=4100),
        bounds=Bounds(retry_slack=100.0),
    )
    balancer = Balancer(settings, 1)
    await balancer.start()
    balancer.configure(_configuration())
    ready = [
        Upstream(f"i-{phase}", "svc00xw", addr, "zone-0", phase=phase, capacity=64)
        for addr, phase in upstreams
    ]
    others = [
        Upstream(e["id"], e["svc"], e["addr"], e["zone"], phase=e["phase"], capacity=64)
        for e in list_entries(replace(TARGET, upstreams=listed))
        if e["svc"] != "svc00xw"
    ]
    balancer.list_upstreams((*ready, *others))
    balancer.count_balancers(1)
    balancer.allow_ready(True)
    pipe.send(port)
    asked = asyncio.Event()
    asyncio.get_running_loop().add_reader(pipe.fileno(), asked.set)
    while True:
        await asked.wait()
        asked.clear()
        while pipe.poll():
            os.set_blocking(pipe.fileno(), True)  # the loop has changed that
            pipe.recv()
            pipe.send((time.process_time(), spin_ns(BESIDE)))


class _Upstream:
    """Reads prompts at once, and answers with a number of events that the request's path names."""

    def __init__(self) -> None:
        self.sent = 0

    async def start(self) -> str:
        """Its address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode("latin-1").split("\r\n")
                fields = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}
                await reader.readexactly(int(fields.get("content-length", 0)))
                own = f"HTTP/1.1 200 OK\r\nMastturn-Request-Id: {fields.get('mastturn-request-id', '')}\r\n"
                if "mastturn-stage" in fields:
                    body = json.dumps({"kv_ref": f"h{self.sent}", "ntokens": 1460, "ver": 1})
                    kind = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                    writer.write(f"{own}{kind}{body}".encode())
                else:
                    await self._stream(writer, own, int(lines[0].split(" ")[1].rsplit("/", 1)[1]))
                self.sent += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _stream(self, writer: asyncio.StreamWriter, own: str, events: int) -> None:
        writer.write(
            f"{own}Mastturn-Server-Seal: s.1\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, events + 1):
            event = f"id: {number}\ndata: {'x' * 72}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            if number < events:
                await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")


async def _client(
    port: int, route: Route, events: int, count: int, kept: list[float], seen: list[int]
) -> None:
    """Asks again and again on one connection; keeps how long heads took, counts whole answers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = b"b" * 800
    for number in range(count):
        began = time.perf_counter()
        writer.write(
            (
                f"POST {route.path_prefix}{events} HTTP/1.1\r\nHost: {route.host}\r\n"
                f"Mastturn-Request-Id: {id(writer):x}{number:06d}\r\nMastturn-Deadline-Ms: 8000\r\n"
                "Mastturn-Model: m0\r\n"
                "Mastturn-Token-Count: 1460,80\r\n"
                "Mastturn-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"the balancer answers {head[:40]!r}")
        kept.append(time.perf_counter() - began)
        while (size := int(await reader.readline(), 16)) > 0:
            await reader.readexactly(size + 2)
        await reader.readline()
        seen.append(1)
    writer.close()


async def _round(there: Child, port: int, route: Route, events: int) -> dict[str, Any]:
    kept: list[float] = []
    seen: list[int] = []
    (before, spin), began = there.ask(None), time.perf_counter()
    await asyncio.gather(
        *(_client(port, route, events, REQUESTS // AT_ONCE, kept, seen) for _ in range(AT_ONCE))
    )
    after, spin_after = there.ask(None)
    spent, took = after - before, time.perf_counter() - began
    kept.sort()
    return {
        "x": events,
        "cpu_s_a_request": spent / REQUESTS,
        "spin_ns": round((spin + spin_after) / 2, 2),
        "requests": len(seen),
        "requests_s": len(seen) / took,
        "busy": spent / took,
        "head_p50_s": kept[len(kept) // 2],
        "head_p95_s": kept[int(len(kept) * 0.95)],
    }


async def _rounds(listed: int) -> list[dict[str, Any]]:
    reading, answering = _Upstream(), _Upstream()
    upstreams = [(await reading.start(), "prefill"), (await answering.start(), "decode")]
    found, route = [], _configuration().routes[0]
    with child(_main, upstreams, listed) as there:
        port = there.hear()
        await _round(there, port, route, 4)  # connections come up, code is warm
        for _ in range(ROUNDS):
            for events in (*EVENTS, HELD_OUT):
                found.append(await _round(there, port, route, events))
    return found


def measured() -> dict[str, Any]:
    """Seconds of a core for each request, by how many events its answer has."""
    return {"plane": asyncio.run(_rounds(TARGET.upstreams)), "held_out": HELD_OUT, "gap_s": GAP_S}
