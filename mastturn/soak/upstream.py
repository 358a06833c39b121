"""A stand-in for an upstream: it reads prompts or runs requests, and its answers go wrong by lot."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mastturn.soak import answers, bodies, faults
from mastturn.soak.answers import Content, Wire
from mastturn.soak.faults import Fault, Lot
from mastturn.soak.records import Altered, Arrival, Records
from mastturn.soak.wire import (
    SHOWN,
    BadRequestError,
    Got,
    Reader,
    Writer,
    read_body,
    read_head,
    reset,
    say,
    write,
)

RECEIVE_BYTES = 16_384  # of what is not read yet: a large body waits at its sender
SEGMENT_BYTES = 1_460  # with those of loopback a sender's buffer would take megabytes
EARLY_S = 0.05  # between an early rejection and the first look at the body
READ_S = 1 / 100_000  # for each token of a prompt
STEP_S = 0.004  # for each event
SILENCE_S = 6.0  # a silent connection is held so long, if its other side does not end it
HANDLE_S = 5.0  # a handle that nobody fetches lapses after this
SWAP_S = 0.5  # until an ordered change of phase is done
NOT_RUN = ("Mastturn-Not-Run", "1")
GARBAGE = b"these bytes belong to no answer"
REST_LATE_S = 0.3  # the second half of an answer comes so long after the first
STALE_ERROR = b"HTTP/1.1 500 Late\r\nContent-Length: 5\r\n\r\nstale"


@dataclass(frozen=True, slots=True)
class Handles:
    """Of all upstreams: when the prompt behind each handle was read, and how often each request arrived."""

    born: dict[str, float]
    arrivals: Counter[str]


class LateAnswers:
    """Answers to earlier requests on one connection, sent late: while no request is there."""

    def __init__(self, writer: Writer) -> None:
        self._writer, self._is_busy, self._held = writer, False, list[bytes]()
        self._dirty_at, self._rest = float("-inf"), b""

    def send(self, answer: bytes) -> None:
        """Send one now, or once the request that is there has its answer."""
        if self._is_busy:
            self._held.append(answer)
        elif not self._writer.is_closing():
            self._writer.write(answer)

    def send_half(self) -> None:
        """Send the first half of one, and the rest later; not while a request is there."""
        if self._is_busy or self._writer.is_closing():
            return
        half = len(STALE_ERROR) // 2
        self._dirty_at, self._rest = time.monotonic(), STALE_ERROR[half:]
        self._writer.write(STALE_ERROR[:half])
        asyncio.get_running_loop().call_later(REST_LATE_S, self._send_rest)

    def end(self, by_reset: bool) -> None:
        """End the connection, which may cross a request that is on its way; not while one is there."""
        if self._is_busy or self._writer.is_closing():
            return
        if by_reset:
            reset(self._writer)
        else:
            self._writer.transport.abort()

    def _send_rest(self) -> None:
        rest, self._rest = self._rest, b""
        if not self._writer.is_closing():
            self._writer.write(rest)

    def dirty_s(self) -> float:
        """Since half an answer was sent, in seconds."""
        return time.monotonic() - self._dirty_at

    def hold(self) -> None:
        """A request is there: nothing is sent until `release`."""
        self._is_busy = True
        if self._rest:
            self._send_rest()

    def release(self) -> None:
        """The request has its answer, and the connection goes on."""
        self._is_busy = False
        for answer in self._held:
            self.send(answer)
        self._held = []


class Upstream:
    """One incarnation of an upstream."""

    def __init__(self, name: str, address: str, zone: str, phase: str, seed: int, records: Records,
                 handles: Handles, only: str = "") -> None:  # fmt: skip
        """`only`: of the faults of answers, those whose names hold this."""
        self._only = only
        self.name, self.address, self.zone, self.phase = name, address, zone, phase
        self.state, self.is_running = "up", False
        self._seed, self._records, self._handles = seed, records, handles
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._runs, self._fence, self._seq = 0, 0, 0
        self.on_death: Callable[[Upstream], None] = lambda upstream: None

    def entry(self) -> dict[str, Any]:
        """Its entry in the platform's list."""
        return {
            "id": self.name, "svc": "llm", "addr": self.address, "zone": self.zone, "ver": "v1",
            "capacity": 64, "state": self.state, "cold_left_ms": 0, "phase": self.phase,
            "models": [{"name": "m", "ver": 1, "loras": []}],
        }  # fmt: skip

    async def start(self) -> None:
        """Listen; raises OSError."""
        host, _, port = self.address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)  # sends at once
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        try:
            listener.bind((host, int(port)))
        except OSError:
            listener.close()
            raise
        self._server = await asyncio.start_server(
            self._serve, sock=listener, backlog=512, limit=RECEIVE_BYTES
        )
        self.is_running = True

    def crash(self) -> None:
        """End at once: every connection is reset."""
        self.is_running = False
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            reset(writer)

    def die(self) -> None:
        """End like a process that is killed: the kernel closes its connections and its listener."""
        self.is_running = False
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        self.on_death(self)

    # ---- connections

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        late = LateAnswers(writer)
        try:
            while (got := await read_head(reader)) is not None:
                late.hold()
                if not await self._answer(got, reader, writer, late):
                    break
                late.release()
        except BadRequestError as error:
            self._altered("", f"bytes that are no request: {error}")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the last: a crash, after which nobody waits for this task
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, got: Got, reader: Reader, writer: Writer, late: LateAnswers) -> bool:
        """Answer one request; whether the connection goes on."""
        if got.kind is None:
            return await self._answer_call(got, reader, writer)
        number = self._handles.arrivals[got.request]
        self._handles.arrivals[got.request] += 1
        lot = faults.draw(self._seed, got.request, number, self._only)
        if got.headers.get("mastturn-target-upstream", self.name) != self.name:
            await self._take_body(got, reader)
            return await say(writer, "421 Misdirected Request", got)
        arrival = Arrival(got.request, self.name, time.monotonic(), lot.fault)
        arrival.is_read = got.headers.get("mastturn-stage") == "prefill"
        arrival.dirty_s = late.dirty_s()
        arrival.after = int(got.headers.get("last-event-id", 0))
        self._records.arrivals.append(arrival)
        if lot.fault is Fault.EARLY:
            await say(writer, "503 Full", got, NOT_RUN)
            await asyncio.sleep(EARLY_S)
            arrival.size = await self._take_body(got, reader)
            return True
        arrival.size = await self._take_body(got, reader)
        if arrival.is_read != (self.phase == "prefill") and not self._runs_anything(got, arrival):
            return await say(writer, "421 Misdirected Request", got)
        if lot.fault is Fault.REJECTED or not self._fetches(got):
            return await say(writer, "503 Full", got, NOT_RUN)
        content = await (self._read if arrival.is_read else self._run)(got, arrival, lot)
        return await self._send(content, arrival, lot, reader, writer, late)

    async def _take_body(self, got: Got, reader: Reader) -> int:
        """The size of a request's body, in bytes; what is not its client's is told."""
        try:
            body = await read_body(got, reader)
        except asyncio.IncompleteReadError as error:
            if not got.is_chunked:
                self._check_body(got, error.partial)
            raise
        self._check_body(got, body)
        return len(body)

    def _check_body(self, got: Got, body: bytes) -> None:
        wanted = bodies.content(got.request, len(body))
        if body != wanted:
            at = next(n for n, pair in enumerate(zip(body, wanted, strict=True)) if pair[0] != pair[1])
            self._altered(got.request, f"another body from byte {at} on: {body[at : at + SHOWN]!r}")

    def _altered(self, request: str, words: str) -> None:
        self._records.altered.append(Altered(self.name, time.monotonic(), request, words))

    def _runs_anything(self, got: Got, arrival: Arrival) -> bool:
        """What names no prompt is run by whoever it is sent to."""
        return not arrival.is_read and got.tokens[0] == 0

    def _fetches(self, got: Got) -> bool:
        """Whether the memory that a request names can be had: a handle is taken once."""
        source = got.headers.get("kv-from")
        if source is None:
            return True
        born = self._handles.born.pop(source.partition("/")[2], None)
        return born is not None and time.monotonic() - born < HANDLE_S

    async def _read(self, got: Got, arrival: Arrival, lot: Lot) -> Content:
        """The answer to a prefill call."""
        await asyncio.sleep(got.tokens[0] * READ_S)
        handle = f"{self.name}-{got.request}-{self._handles.arrivals[got.request]}"
        self._handles.born[handle] = time.monotonic()
        body = json.dumps({"kv_ref": handle, "ntokens": got.tokens[0], "ver": 1}).encode()
        arrival.status, arrival.body = 200, body
        headers = (("Mastturn-Request-Id", got.request), ("Content-Type", "application/json"))
        return Content("200 OK", headers, (body,))

    async def _run(self, got: Got, arrival: Arrival, lot: Lot) -> Content:
        """The answer of a run: every byte of its body tells whose it is."""
        if "kv-from" not in got.headers:
            await asyncio.sleep(got.tokens[0] * READ_S)
        self._runs += 1
        arrival.ran, arrival.seal = True, f"{self.name}.{self._runs}"
        headers = (("Mastturn-Request-Id", got.request), ("Mastturn-Server-Seal", arrival.seal))
        if lot.fault is Fault.ERROR:
            arrival.status, arrival.body = 500, f"error {arrival.seal} {got.request}".encode()
            return Content("500 Internal Server Error", headers, (arrival.body,))
        arrival.status = 200
        if got.kind is not None and got.kind.is_stream:
            arrival.events = got.tokens[1]
            parts = [event(arrival, n) for n in range(arrival.after + 1, arrival.events + 1)]
            arrival.body = b"".join(parts)
            return Content("200 OK", (*headers, ("Content-Type", "text/event-stream")), tuple(parts))
        arrival.body = whole_body(arrival, lot.length)
        size = -(-len(arrival.body) // lot.pieces)
        parts = [arrival.body[i : i + size] for i in range(0, len(arrival.body), size)]
        return Content("200 OK", (*headers, ("Content-Type", "text/plain")), tuple(parts))

    # ---- answers by lot

    async def _send(
        self, content: Content, arrival: Arrival, lot: Lot, reader: Reader, writer: Writer, late: LateAnswers
    ) -> bool:
        """Send an answer with what is wrong with it; whether the connection goes on."""
        is_stream = bool(arrival.events)
        wire = answers.frame(content, lot, is_stream)
        arrival.body = wire.declared
        whole = b"".join(wire.pieces)
        match lot.fault:
            case Fault.NO_ANSWER:
                await write(writer, b"\x00\x01 this is no answer\r\n\r\n")
                return False
            case Fault.FIN | Fault.RESET | Fault.UNFRAMED_RESET | Fault.DEATH | Fault.SILENCE:
                await send_part(wire, lot, is_stream, reader, writer)
                if lot.fault is Fault.DEATH:
                    self.die()
                return False
        surplus = {Fault.GARBAGE: GARBAGE, Fault.TWICE: whole}.get(lot.fault, b"")
        await send_pieces((*wire.pieces[:-1], wire.pieces[-1] + surplus), lot, is_stream, writer)
        if lot.fault in (Fault.LENGTH_TOO_LONG, Fault.NO_LAST_CHUNK):
            return False
        arrival.whole_at = time.monotonic()
        match lot.fault:
            case Fault.UNFRAMED:
                return False
            case Fault.TWICE_LATE:
                asyncio.get_running_loop().call_later(lot.late_s, late.send, whole)
            case Fault.HALF_LATE:
                asyncio.get_running_loop().call_later(lot.late_s, late.send_half)
            case Fault.AGAIN_AND_CLOSED:
                await asyncio.sleep(lot.late_s)  # what is sent meanwhile is never read
                await write(writer, whole)
                return False
            case Fault.CLOSED_LATE:
                asyncio.get_running_loop().call_later(lot.late_s, late.end, False)
            case Fault.RESET_LATE:
                asyncio.get_running_loop().call_later(lot.late_s, late.end, True)
            case Fault.STALE_ERROR_LATE:
                asyncio.get_running_loop().call_later(lot.late_s, late.send, STALE_ERROR)
        return True

    # ---- calls of the control state and of balancers that are no requests

    async def _answer_call(self, got: Got, reader: Reader, writer: Writer) -> bool:
        body = await read_body(got, reader)
        if got.headers.get("mastturn-target-upstream", self.name) != self.name:
            return await say(writer, "421 Misdirected Request", got)
        if got.path == "/healthz":
            return await say(writer, "200 OK", got, ("Mastturn-Upstream-Id", self.name))
        if got.path == "/api/report":
            told = {"phase": self.phase, "models": [], "util": False, "seq": self._seq, "active": 0}
            return await say(writer, "200 OK", got, body=json.dumps(told).encode())
        if got.path == "/api/order":
            return await say(writer, self._order(json.loads(body)), got)
        if got.path.startswith("/api/kv-handle/"):
            self._handles.born.pop(got.path.rpartition("/")[2], None)
            return await say(writer, "200 OK", got)
        return await say(writer, "404 Not Found", got)

    def _order(self, order: dict[str, Any]) -> str:
        if order.get("fence", 0) < self._fence:
            return "412 Precondition Failed"
        self._fence = order["fence"]
        if order["phase"] == self.phase:
            return "200 OK"
        self._seq += 1
        asyncio.get_running_loop().call_later(SWAP_S, setattr, self, "phase", order["phase"])
        return "202 Accepted"


def event(arrival: Arrival, number: int) -> bytes:
    """One event of a run's stream."""
    return f"id: {number}\ndata: {arrival.seal} {arrival.request} {number}/{arrival.events}\n\n".encode()


def whole_body(arrival: Arrival, length: int) -> bytes:
    """A body of about that many bytes, each stretch of which tells the run and the request."""
    mark = f"{arrival.seal} {arrival.request};".encode()
    return mark * max(length // len(mark), 1)


async def send_pieces(pieces: tuple[bytes, ...], lot: Lot, is_stream: bool, writer: Writer) -> None:
    """All of an answer, as fast as it is made."""
    if not is_stream and lot.pieces == 1:
        await write(writer, b"".join(pieces))
        return
    for piece in pieces:
        await write(writer, piece)
        await asyncio.sleep(faults.PAUSE_S * lot.share if lot.pieces > 1 else STEP_S)


async def send_part(wire: Wire, lot: Lot, is_stream: bool, reader: Reader, writer: Writer) -> None:
    """The first bytes of an answer, and the end that its fault gives the connection alone."""
    left = int(lot.share * (sum(len(piece) for piece in wire.pieces) - 1))
    for piece in wire.pieces:
        await write(writer, piece[:left])
        left -= min(len(piece), left)
        if not left:
            break
        if is_stream:
            await asyncio.sleep(STEP_S)
    if lot.fault in (Fault.RESET, Fault.UNFRAMED_RESET):
        reset(writer)
    elif lot.fault is Fault.SILENCE:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SILENCE_S):
                await reader.read(1)
