"""Stand-in for an upstream: prefills prompts or runs requests, with random faults in its responses."""

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
from mastturn.soak.answers import Content, EncodedResponse
from mastturn.soak.faults import Fault, FaultDraw
from mastturn.soak.records import Arrival, Records, UnexpectedInput
from mastturn.soak.wire import (
    REPORTED_BYTES,
    BadRequestError,
    Reader,
    RequestHead,
    Writer,
    read_body,
    read_head,
    reset,
    send_short_response,
    write,
)

RECEIVE_BYTES = 16_384  # receive buffer: most of a large body stays at its sender
SEGMENT_BYTES = 1_460  # with loopback's larger segments a sender's buffer would hold megabytes
EARLY_S = 0.05  # from an early rejection to the first read of the body
PREFILL_TOKEN_S = 1 / 100_000  # per token of a prompt
EVENT_S = 0.004  # per event
SILENT_CONNECTION_S = 6.0  # for how long a silent connection stays open, unless the peer closes it
HANDLE_LIFETIME_S = 5.0  # lifetime of a handle that is not fetched
PHASE_CHANGE_S = 0.5  # duration of an ordered change of phase
NOT_RUN = ("Mastturn-Not-Run", "1")
GARBAGE = b"these bytes belong to no answer"
REST_DELAY_S = 0.3  # from the first half of a response to the second
STALE_ERROR = b"HTTP/1.1 500 Late\r\nContent-Length: 5\r\n\r\nstale"


@dataclass(frozen=True, slots=True)
class Handles:
    """State of all upstreams: when each handle was created, and how often each request arrived."""

    created_at: dict[str, float]
    arrivals: Counter[str]


class LateResponses:
    """Late responses to earlier requests of one connection, sent while no request is in progress."""

    def __init__(self, writer: Writer) -> None:
        self._writer, self._is_busy, self._waiting = writer, False, list[bytes]()
        self._partial_sent_at, self._rest = float("-inf"), b""

    def send(self, response: bytes) -> None:
        """Send a response now, or after the response to the current request."""
        if self._is_busy:
            self._waiting.append(response)
        elif not self._writer.is_closing():
            self._writer.write(response)

    def send_half(self) -> None:
        """Send half of a response now and the rest later, unless a request is in progress."""
        if self._is_busy or self._writer.is_closing():
            return
        half = len(STALE_ERROR) // 2
        self._partial_sent_at, self._rest = time.monotonic(), STALE_ERROR[half:]
        self._writer.write(STALE_ERROR[:half])
        asyncio.get_running_loop().call_later(REST_DELAY_S, self._send_rest)

    def close(self, by_reset: bool) -> None:
        """Close the connection, unless a request is in progress; one may be on its way from the client."""
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

    def since_partial_s(self) -> float:
        """Return the seconds since half a response was sent."""
        return time.monotonic() - self._partial_sent_at

    def begin_request(self) -> None:
        """Begin a request: late responses wait until `end_request`."""
        self._is_busy = True
        if self._rest:
            self._send_rest()

    def end_request(self) -> None:
        """End a request after its response, and send the late responses that wait."""
        self._is_busy = False
        for response in self._waiting:
            self.send(response)
        self._waiting = []


class Upstream:
    """One incarnation of an upstream."""

    def __init__(self, name: str, address: str, zone: str, phase: str, seed: int, records: Records,
                 handles: Handles, fault_filter: str = "") -> None:  # fmt: skip
        """`fault_filter`: limits the response faults to those whose names contain this."""
        self._fault_filter = fault_filter
        self.name, self.address, self.zone, self.phase = name, address, zone, phase
        self.state, self.is_running = "up", False
        self._seed, self._records, self._handles = seed, records, handles
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._runs, self._fence, self._seq = 0, 0, 0
        self.on_death: Callable[[Upstream], None] = lambda upstream: None

    def entry(self) -> dict[str, Any]:
        """Return its entry in the platform's list."""
        return {
            "id": self.name, "svc": "llm", "addr": self.address, "zone": self.zone, "ver": "v1",
            "capacity": 64, "state": self.state, "cold_left_ms": 0, "phase": self.phase,
            "models": [{"name": "m", "ver": 1, "loras": []}],
        }  # fmt: skip

    async def start(self) -> None:
        """Start listening; raises OSError."""
        host, _, port = self.address.rpartition(":")
        # asyncio sets TCP_NODELAY only on sockets whose protocol is given.
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
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
        """Stop at once and reset every connection."""
        self.is_running = False
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            reset(writer)

    def die(self) -> None:
        """End like a killed process, whose connections and listener the kernel closes."""
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
        if not self.is_running:  # accepted just before it died
            reset(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        late_responses = LateResponses(writer)
        try:
            while (request_head := await read_head(reader)) is not None:
                late_responses.begin_request()
                if not await self._serve_request(request_head, reader, writer, late_responses):
                    break
                late_responses.end_request()
        except BadRequestError as error:
            self._record_unexpected_input("", f"bytes that are not a request: {error}")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled by a crash, after which nothing waits for this task
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, request_head: RequestHead, reader: Reader, writer: Writer, late_responses: LateResponses
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        if request_head.kind is None:
            return await self._serve_call(request_head, reader, writer)
        number = self._handles.arrivals[request_head.request_id]
        self._handles.arrivals[request_head.request_id] += 1
        fault_draw = faults.draw(self._seed, request_head.request_id, number, self._fault_filter)
        if request_head.headers.get("mastturn-target-upstream", self.name) != self.name:
            await self._read_body(request_head, reader)
            return await send_short_response(writer, "421 Misdirected Request", request_head)
        arrival = Arrival(request_head.request_id, self.name, time.monotonic(), fault_draw.fault)
        arrival.is_prefill = request_head.headers.get("mastturn-stage") == "prefill"
        arrival.since_partial_s = late_responses.since_partial_s()
        arrival.after = int(request_head.headers.get("last-event-id", 0))
        self._records.arrivals.append(arrival)
        if fault_draw.fault is Fault.EARLY:
            await send_short_response(writer, "503 Full", request_head, NOT_RUN)
            await asyncio.sleep(EARLY_S)
            arrival.size = await self._read_body(request_head, reader)
            return True
        arrival.size = await self._read_body(request_head, reader)
        if arrival.is_prefill != (self.phase == "prefill") and not self._is_unrestricted(
            request_head, arrival
        ):
            return await send_short_response(writer, "421 Misdirected Request", request_head)
        if fault_draw.fault is Fault.REJECTED or not self._take_handle(request_head):
            return await send_short_response(writer, "503 Full", request_head, NOT_RUN)
        content = await (self._prefill if arrival.is_prefill else self._run_request)(
            request_head, arrival, fault_draw
        )
        return await self._send_response(content, arrival, fault_draw, reader, writer, late_responses)

    async def _read_body(self, request_head: RequestHead, reader: Reader) -> int:
        """Read and check a request's body; return its size in bytes."""
        try:
            body = await read_body(request_head, reader)
        except asyncio.IncompleteReadError as error:
            if not request_head.is_chunked:
                self._check_body(request_head, error.partial)
            raise
        self._check_body(request_head, body)
        return len(body)

    def _check_body(self, request_head: RequestHead, body: bytes) -> None:
        expected = bodies.content(request_head.request_id, len(body))
        if body != expected:
            at = next(n for n, pair in enumerate(zip(body, expected, strict=True)) if pair[0] != pair[1])
            self._record_unexpected_input(
                request_head.request_id,
                f"a different body from byte {at} on: {body[at : at + REPORTED_BYTES]!r}",
            )

    def _record_unexpected_input(self, request_id: str, description: str) -> None:
        self._records.unexpected_inputs.append(
            UnexpectedInput(self.name, time.monotonic(), request_id, description)
        )

    def _is_unrestricted(self, request_head: RequestHead, arrival: Arrival) -> bool:
        """Return whether any upstream may run the request, as it names no prompt."""
        return not arrival.is_prefill and request_head.tokens[0] == 0

    def _take_handle(self, request_head: RequestHead) -> bool:
        """Return whether the KV cache that a request names can be fetched; a handle works only once."""
        source = request_head.headers.get("kv-from")
        if source is None:
            return True
        created_at = self._handles.created_at.pop(source.partition("/")[2], None)
        return created_at is not None and time.monotonic() - created_at < HANDLE_LIFETIME_S

    async def _prefill(self, request_head: RequestHead, arrival: Arrival, fault_draw: FaultDraw) -> Content:
        """Prefill a prompt and return the response."""
        await asyncio.sleep(request_head.tokens[0] * PREFILL_TOKEN_S)
        handle = f"{self.name}-{request_head.request_id}-{self._handles.arrivals[request_head.request_id]}"
        self._handles.created_at[handle] = time.monotonic()
        body = json.dumps({"kv_ref": handle, "ntokens": request_head.tokens[0], "ver": 1}).encode()
        arrival.status, arrival.body = 200, body
        headers = (("Mastturn-Request-Id", request_head.request_id), ("Content-Type", "application/json"))
        return Content("200 OK", headers, (body,))

    async def _run_request(
        self, request_head: RequestHead, arrival: Arrival, fault_draw: FaultDraw
    ) -> Content:
        """Run a request and return the response; every part of its body identifies the run."""
        if "kv-from" not in request_head.headers:
            await asyncio.sleep(request_head.tokens[0] * PREFILL_TOKEN_S)
        self._runs += 1
        arrival.ran, arrival.seal = True, f"{self.name}.{self._runs}"
        headers = (("Mastturn-Request-Id", request_head.request_id), ("Mastturn-Server-Seal", arrival.seal))
        if fault_draw.fault is Fault.ERROR:
            arrival.status, arrival.body = 500, f"error {arrival.seal} {request_head.request_id}".encode()
            return Content("500 Internal Server Error", headers, (arrival.body,))
        arrival.status = 200
        if request_head.kind is not None and request_head.kind.is_stream:
            arrival.events = request_head.tokens[1]
            parts = [event(arrival, n) for n in range(arrival.after + 1, arrival.events + 1)]
            arrival.body = b"".join(parts)
            return Content("200 OK", (*headers, ("Content-Type", "text/event-stream")), tuple(parts))
        arrival.body = plain_body(arrival, fault_draw.length)
        size = -(-len(arrival.body) // fault_draw.pieces)
        parts = [arrival.body[i : i + size] for i in range(0, len(arrival.body), size)]
        return Content("200 OK", (*headers, ("Content-Type", "text/plain")), tuple(parts))

    # ---- responses with faults

    async def _send_response(
        self,
        content: Content,
        arrival: Arrival,
        fault_draw: FaultDraw,
        reader: Reader,
        writer: Writer,
        late_responses: LateResponses,
    ) -> bool:
        """Send a response with its fault; return whether the connection stays open."""
        is_stream = bool(arrival.events)
        encoded = answers.encode_response(content, fault_draw, is_stream)
        arrival.body = encoded.declared
        encoded_bytes = b"".join(encoded.pieces)
        match fault_draw.fault:
            case Fault.NO_ANSWER:
                await write(writer, b"\x00\x01 this is no answer\r\n\r\n")
                return False
            case Fault.FIN | Fault.RESET | Fault.UNFRAMED_RESET | Fault.DEATH | Fault.SILENCE:
                await send_part(encoded, fault_draw, is_stream, reader, writer)
                if fault_draw.fault is Fault.DEATH:
                    self.die()
                return False
        surplus = {Fault.GARBAGE: GARBAGE, Fault.TWICE: encoded_bytes}.get(fault_draw.fault, b"")
        await send_pieces((*encoded.pieces[:-1], encoded.pieces[-1] + surplus), fault_draw, is_stream, writer)
        if fault_draw.fault in (Fault.LENGTH_TOO_LONG, Fault.NO_LAST_CHUNK):
            return False
        arrival.complete_at = time.monotonic()
        match fault_draw.fault:
            case Fault.UNFRAMED:
                return False
            case Fault.TWICE_LATE:
                asyncio.get_running_loop().call_later(fault_draw.late_s, late_responses.send, encoded_bytes)
            case Fault.HALF_LATE:
                asyncio.get_running_loop().call_later(fault_draw.late_s, late_responses.send_half)
            case Fault.AGAIN_AND_CLOSED:
                await asyncio.sleep(fault_draw.late_s)  # what the peer sends meanwhile is never read
                await write(writer, encoded_bytes)
                return False
            case Fault.CLOSED_LATE:
                asyncio.get_running_loop().call_later(fault_draw.late_s, late_responses.close, False)
            case Fault.RESET_LATE:
                asyncio.get_running_loop().call_later(fault_draw.late_s, late_responses.close, True)
            case Fault.STALE_ERROR_LATE:
                asyncio.get_running_loop().call_later(fault_draw.late_s, late_responses.send, STALE_ERROR)
        return True

    # ---- calls of control processes and balancers other than client requests

    async def _serve_call(self, request_head: RequestHead, reader: Reader, writer: Writer) -> bool:
        body = await read_body(request_head, reader)
        if request_head.headers.get("mastturn-target-upstream", self.name) != self.name:
            return await send_short_response(writer, "421 Misdirected Request", request_head)
        if request_head.path == "/healthz":
            return await send_short_response(
                writer, "200 OK", request_head, ("Mastturn-Upstream-Id", self.name)
            )
        if request_head.path == "/api/report":
            report = {"phase": self.phase, "models": [], "util": False, "seq": self._seq, "active": 0}
            return await send_short_response(writer, "200 OK", request_head, body=json.dumps(report).encode())
        if request_head.path == "/api/order":
            return await send_short_response(writer, self._order(json.loads(body)), request_head)
        if request_head.path.startswith("/api/kv-handle/"):
            self._handles.created_at.pop(request_head.path.rpartition("/")[2], None)
            return await send_short_response(writer, "200 OK", request_head)
        return await send_short_response(writer, "404 Not Found", request_head)

    def _order(self, order: dict[str, Any]) -> str:
        if order.get("fence", 0) < self._fence:
            return "412 Precondition Failed"
        self._fence = order["fence"]
        if order["phase"] == self.phase:
            return "200 OK"
        self._seq += 1
        asyncio.get_running_loop().call_later(PHASE_CHANGE_S, setattr, self, "phase", order["phase"])
        return "202 Accepted"


def event(arrival: Arrival, number: int) -> bytes:
    """Return one event of a run's stream."""
    return f"id: {number}\ndata: {arrival.seal} {arrival.request_id} {number}/{arrival.events}\n\n".encode()


def plain_body(arrival: Arrival, length: int) -> bytes:
    """Return a body of about `length` bytes, each part of which identifies the run and the request."""
    mark = f"{arrival.seal} {arrival.request_id};".encode()
    return mark * max(length // len(mark), 1)


async def send_pieces(
    pieces: tuple[bytes, ...], fault_draw: FaultDraw, is_stream: bool, writer: Writer
) -> None:
    """Send a whole response at its pace."""
    if not is_stream and fault_draw.pieces == 1:
        await write(writer, b"".join(pieces))
        return
    for piece in pieces:
        await write(writer, piece)
        await asyncio.sleep(faults.PAUSE_S * fault_draw.share if fault_draw.pieces > 1 else EVENT_S)


async def send_part(
    encoded: EncodedResponse, fault_draw: FaultDraw, is_stream: bool, reader: Reader, writer: Writer
) -> None:
    """Send the first part of a response, and end the connection as its fault requires."""
    left = int(fault_draw.share * (sum(len(piece) for piece in encoded.pieces) - 1))
    for piece in encoded.pieces:
        await write(writer, piece[:left])
        left -= min(len(piece), left)
        if not left:
            break
        if is_stream:
            await asyncio.sleep(EVENT_S)
    if fault_draw.fault in (Fault.RESET, Fault.UNFRAMED_RESET):
        reset(writer)
    elif fault_draw.fault is Fault.SILENCE:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SILENT_CONNECTION_S):
                await reader.read(1)
