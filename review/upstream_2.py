"""Stand-in of one model upstream, as a process of its own: `upstream_2.py OPTIONS` with options as JSON.

It reads prompts (phase prefill) or runs requests (phase decode) as PROTOCOL says. Options beside id, address
and phase: `capacity`, `event_ms` (between two events), `framing` (chunked, or close: an answer without a
length ends with its connection), and `stray_every`: while in trouble, which SIGUSR1 begins and ends, after
each so manieth answer more bytes follow, in the place of the next answer on that connection. It appends what
happens to `log`, one JSON object a line.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

from stand_ins_2 import NOT_RUN, Headers, Message, Reader, Writer, call, encode, read_message, serve

PREFILL_TOKEN_S = 1 / 48_200
HANDLE_S = 5.0
# Bytes behind a whole answer that belong to no request: they bear no request's id, as every answer does.
STRAY = b"HTTP/1.1 503 Service Unavailable\r\nMastturn-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


class Upstream:
    """One incarnation of an upstream."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.name, self.address, self.phase = options["id"], options["address"], options["phase"]
        self._capacity, self._event_s = options.get("capacity", 64), options.get("event_ms", 12) / 1000
        self._framing, self._stray_every = options.get("framing", "chunked"), options.get("stray_every", 1)
        self.is_in_trouble = False
        self._owing: set[Writer] = set()  # connections on which more bytes follow, late
        self._log = Path(options["log"])
        self._active = self._answers = self._seq = self._fence = 0
        self._handles: dict[str, float] = {}

    def note(self, what: str, request_id: str = "", **fields: Any) -> None:
        """Append a line to the log."""
        line = {"at": time.monotonic(), "upstream": self.name, "what": what, "request": request_id, **fields}
        with self._log.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    async def handle(self, reader: Reader, writer: Writer) -> None:
        """Serve one connection, one request at a time."""
        while (request := await read_message(reader)) is not None:
            method, target, _ = request.first.split()
            if target.startswith("/api/") or target == "/healthz":
                writer.write(await self._own_call(method, target, request))
                await writer.drain()
                continue
            served = await self._serve(request, writer)
            if served and self.is_in_trouble:
                self._answers += 1
                if self._answers % self._stray_every == 0:
                    self._owing.add(writer)
            if served and self._framing == "close" and self.phase == "decode":
                return

    async def _own_call(self, method: str, target: str, request: Message) -> bytes:
        if request.headers.get("mastturn-target-upstream", self.name) != self.name:
            return encode(421, {})
        if target == "/api/report":
            report = {
                "phase": self.phase,
                "models": [{"name": "m", "ver": 1, "loras": []}],
                "util": False,
                "seq": self._seq,
                "queued": 0,
                "active": self._active,
                "kv_used": 0,
                "kv_size": 403008,
                "kv_refs": len(self._handles),
            }
            return encode(200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        if target.startswith("/api/kv-handle/"):
            made_at = self._handles.pop(target.rpartition("/")[2], None)
            is_kept = made_at is not None and time.monotonic() - made_at < HANDLE_S
            return encode(200 if method == "DELETE" or is_kept else 404, {})
        if target == "/api/order":
            return self._order(json.loads(request.body))
        return encode(200, {"Mastturn-Upstream-Id": self.name})

    def _order(self, order: dict[str, Any]) -> bytes:
        self.note("order", "", **order)
        if order.get("fence", 0) < self._fence:
            return encode(412, {})
        self._fence = order["fence"]
        if order.get("op") != "phase" or order.get("phase") == self.phase:
            return encode(200, {})
        return encode(409, {})  # another order is under way

    async def _serve(self, request: Message, writer: Writer) -> bool:
        """Answer a request; return whether it was taken up."""
        request_id = request.headers.get("mastturn-request-id", "")
        same_id = {"Mastturn-Request-Id": request_id} if request_id else {}
        is_prefill = request.headers.get("mastturn-stage") == "prefill"
        is_misdirected = request.headers.get("mastturn-target-upstream", self.name) != self.name
        if not request_id:
            writer.write(encode(400, dict([NOT_RUN])))
        elif is_misdirected or is_prefill != (self.phase == "prefill"):
            writer.write(encode(421, same_id))
        elif self._active >= self._capacity:
            writer.write(encode(503, same_id | dict([NOT_RUN])))
        else:
            self._active += 1
            try:
                await (self._prefill if is_prefill else self._run)(request, same_id, writer)
            finally:
                self._active -= 1
            return True
        await writer.drain()
        return False

    async def _prefill(self, request: Message, same_id: Headers, writer: Writer) -> None:
        tokens = int(request.headers.get("mastturn-token-count", "0").split(",")[0])
        await asyncio.sleep(tokens * PREFILL_TOKEN_S)
        handle = secrets.token_hex(6)
        self._handles[handle] = time.monotonic()
        body = json.dumps({"kv_ref": handle, "ntokens": tokens, "ver": 1}).encode()
        writer.write(encode(200, same_id | {"Content-Type": "application/json"}, body))
        await writer.drain()

    async def _run(self, request: Message, same_id: Headers, writer: Writer) -> None:
        source = request.headers.get("kv-from")
        if source is not None:
            address, _, handle = source.partition("/")
            taken = await call(address, "GET", f"/api/kv-handle/{handle}")
            if taken is None or taken.status != 200:
                writer.write(encode(503, same_id | dict([NOT_RUN])))
                await writer.drain()
                return
        request_id = same_id["Mastturn-Request-Id"]
        self.note("run", request_id)
        if writer in self._owing:
            self._owing.remove(writer)
            self.note("stray bytes", request_id)
            writer.write(STRAY)
            await writer.drain()
        events = int(request.headers.get("mastturn-token-count", "0,1").split(",")[1])
        first = int(request.headers.get("last-event-id", "0")) + 1
        seal = {"Mastturn-Server-Seal": f"{self.name}.{secrets.token_hex(4)}", "Versions": "1"}
        await self._stream(writer, same_id | seal, first, events)
        self.note("whole", request_id, events=events)

    async def _stream(self, writer: Writer, headers: Headers, first: int, events: int) -> None:
        is_chunked = self._framing == "chunked"
        framing = {"Transfer-Encoding": "chunked"} if is_chunked else {"Connection": "close"}
        fields = headers | {"Content-Type": "text/event-stream"} | framing
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode("latin-1"))
        for number in range(first, events + 1):
            await asyncio.sleep(self._event_s)
            event = f"id: {number}\ndata: token {number} of {events}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event) if is_chunked else event)
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main() -> None:
    """Serve until the process is told to stop."""
    upstream = Upstream(json.loads(sys.argv[1]))
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)

    def change_trouble() -> None:
        upstream.is_in_trouble = not upstream.is_in_trouble
        upstream.note("trouble begins" if upstream.is_in_trouble else "trouble ends")

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, change_trouble)
    await serve(upstream.address, upstream.handle)
    upstream.note("started")
    await stopped.wait()


if __name__ == "__main__":
    asyncio.run(main())
