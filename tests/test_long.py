"""Streamed responses and bodies, and the forms of messages, over loopback sockets."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from passpost import client_options, connection_bounds, request_reader, server
from passpost import upstream as upstream_module
from passpost.discovery import Discovery
from passpost.http1 import MAX_BUFFERED_BODY, InvalidResponseError, ResponseReader
from tests.loopback import (
    OK,
    TEST_TIMEOUT_S,
    TURNED_AWAY,
    Balancer,
    Client,
    FakeServer,
    Reader,
    ReceivedRequest,
    Writer,
    balancer,
    enable_control,
    run,
    silent,
    until,
)

LONG = bytes(range(256)) * 1024  # 256 KiB
HEAD = b"HTTP/1.1 200 OK\r\n"
SIZED = b"Content-Length: %d\r\n" % len(LONG)
PAY_HEAD = b"POST /pay HTTP/1.1\r\nX-Txn: a\r\n"


def chunks(body: bytes, size: int = 50_000) -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x;x=y\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Sum: 1\r\n\r\n"


# ---- responses


@pytest.mark.parametrize(
    "raw",
    [
        HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG,
        HEAD + b"Content-Length: %d \r\n\r\n" % len(LONG) + LONG,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG),
        HEAD + b"TRANSFER-ENCODING: \tChunked \r\n\r\n" + chunks(LONG),
        b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG,
    ],
)
@pytest.mark.parametrize("size", [7_001, 1 << 20])
def test_a_long_answer_comes_unchanged_and_both_connections_live_on(raw: bytes, size: int) -> None:
    async def reply(request: ReceivedRequest, writer: Writer) -> None:
        for i in range(0, len(raw), size):
            writer.write(raw[i : i + size])
            await writer.drain()

    async def test() -> None:
        upstream = FakeServer(reply)
        async with balancer(upstream, change=enable_control) as b:
            client = await b.connect()
            for _ in range(2):
                answer = await client.ask()
                assert answer is not None and answer.status == 200 and answer.reusable
                assert answer.body == LONG
            assert upstream.connections == 1
            assert (await b.figures())["requests"]["read"]["served"] == 2
            assert (await b.figures())["in_flight"] == 0
            assert not b.node.engine._requests and not b.node.engine._balancer._requests
            assert b.node.engine._balancer._limit.in_flight == 0

    run(test())


@pytest.mark.parametrize("body", [b"to the end", LONG])
@pytest.mark.parametrize("is_orderly", [True, False])
def test_an_answer_that_ends_with_its_connection_is_whole_at_an_orderly_end_only(
    body: bytes, is_orderly: bool
) -> None:
    async def reply(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(HEAD + b"\r\n" + body)
        await writer.drain()
        await asyncio.sleep(0.05)  # a reset discards what has not been read
        if not is_orderly:
            client = writer.get_extra_info("socket")
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort() if not is_orderly else writer.close()

    async def test() -> None:
        upstream = FakeServer(reply)
        async with balancer(upstream) as b:
            client = await b.connect()
            client.send("/pay", method="POST")
            try:
                answer = await client.answer()
            except ConnectionResetError:
                answer = None
            if is_orderly:
                assert answer is not None and answer.status == 200 and answer.body == body
            else:
                assert answer is None or answer.status == 502
            assert len(upstream.got) == 1

    run(test())


def test_the_first_bytes_go_on_while_the_rest_is_to_come() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            length = b"" if request.headers["x-txn"] == "unknown" else b"Content-Length: %d\r\n" % len(LONG)
            writer.write(HEAD + length + b"\r\n" + LONG[:100])
            await release.wait()
            writer.write(LONG[100:])
            writer.close()

        async with balancer(FakeServer(reply)) as b:
            for txn in ("known", "unknown"):
                client = await b.connect()
                client.send(X_Txn=txn, X_Remaining="0.3")
                raw = b""
                while LONG[:100] not in raw:
                    raw += await client.reader.read(65536)
                await until(
                    lambda: not any(r.deadline_timer and not r.deadline_timer.cancelled() for r in _open(b))
                )
            release.set()

    run(test())


def _open(b: Balancer) -> list[Any]:
    return list(b.node.engine._requests.values())


@pytest.mark.parametrize(
    "framing", [b"Content-Length: %d\r\n" % len(LONG), b"Transfer-Encoding: chunked\r\n"]
)
def test_an_answer_broken_off_can_be_told_and_is_not_tried_again(framing: bytes) -> None:
    async def reply(request: ReceivedRequest, writer: Writer) -> None:
        body = LONG[:100_000]
        writer.write(HEAD + framing + b"\r\n" + (b"186a0\r\n" if b"chunked" in framing else b"") + body)
        writer.close()

    async def test() -> None:
        upstream = FakeServer(reply)
        async with balancer(upstream, change=enable_control) as b:
            client = await b.connect()
            client.send()
            with pytest.raises(ConnectionResetError):
                assert await client.answer() is None
                raise ConnectionResetError  # a close in the middle shows it as well
            await until(lambda: not _open(b))
            figures = await b.figures()
            assert figures["requests"]["read"]["failed"] == 1 and figures["in_flight"] == 0
            assert len(upstream.got) == 1 and not b.node.engine._balancer._requests

    run(test())


def test_an_old_caller_gets_a_long_answer_up_to_the_end_of_its_connection() -> None:
    async def test() -> None:
        raw = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG)
        async with balancer(FakeServer(raw)) as b:
            client = await b.connect()
            client.writer.write(b"GET /read HTTP/1.0\r\nX-Txn: old\r\nConnection: keep-alive\r\n\r\n")
            head, _, body = (await client.reader.read()).partition(b"\r\n\r\n")
            assert body == LONG and b"chunked" not in head and b"Connection: close" in head

    run(test())


@pytest.mark.parametrize("ended_by", ["process", "stuck"])
def test_an_answer_without_length_and_chunks_never_ends_in_order_before_it_is_whole(
    ended_by: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An HTTP/1.0 client takes an orderly close for the end of the response: an earlier end is a reset."""
    monkeypatch.setattr(connection_bounds, "BLOCKED_STREAM_TIMEOUT_S", 0.0)

    async def reply(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        while ended_by == "stuck":  # more than all buffers on the way hold
            writer.write(b"10000\r\n%b\r\n" % bytes(65536))
            await writer.drain()
        writer.write(b"5\r\nfirst\r\n")

    async def test() -> None:
        async with balancer(FakeServer(reply)) as b:
            with socket.create_connection(("127.0.0.1", b.node.server.port)) as client:
                client.setblocking(False)
                client.sendall(b"GET /read HTTP/1.0\r\nX-Txn: old\r\n\r\n")
                loop, got = asyncio.get_running_loop(), b""
                while b"\r\n\r\n" not in got or (ended_by == "process" and not got.endswith(b"first")):
                    got += await loop.sock_recv(client, 65536)
                if ended_by == "process":
                    b.node.server.stop()
                else:  # nothing is read meanwhile
                    await until(lambda: not _open(b))
                with pytest.raises(ConnectionResetError):
                    while await loop.sock_recv(client, 65536):
                        pass

    run(test())


def test_an_old_caller_is_told_that_its_connection_is_kept() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            client = await b.connect()
            for _ in range(2):
                client.writer.write(b"GET /read HTTP/1.0\r\nX-Txn: old\r\nConnection: keep-alive\r\n\r\n")
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert b"Connection: keep-alive" in head
                assert await client.reader.readexactly(2) == b"ok"

    run(test())


def test_a_caller_that_does_not_read_holds_back_its_upstream_and_no_memory() -> None:
    async def test() -> None:
        sent = 0
        total = 32 * 1024 * 1024

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            nonlocal sent
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % total)
            while sent < total:
                writer.write(bytes(65536))
                sent += 65536
                await writer.drain()

        upstream = FakeServer(reply)
        async with balancer(upstream) as b:
            client = await b.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send()
            await until(lambda: any(c.response_writer.is_blocked for c in b.node.server.acceptor.connections))
            (connection,) = b.node.server.acceptor.connections
            assert connection.transport._transport is not None
            before = -1
            while before != sent:  # until nothing is sent any more
                before = sent
                await asyncio.sleep(0.05)
            assert sent < total
            assert connection.transport._transport.get_write_buffer_size() < 1024 * 1024
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            answer = await client.answer()
            assert answer is not None and len(answer.body) == total

    run(test())


@pytest.mark.parametrize("client_action", ["leaves", "stops"])
def test_a_caller_that_goes_or_stops_reading_frees_the_upstream(
    monkeypatch: pytest.MonkeyPatch, client_action: str
) -> None:
    monkeypatch.setattr(
        connection_bounds, "BLOCKED_STREAM_TIMEOUT_S", TEST_TIMEOUT_S if client_action == "leaves" else 0.0
    )

    async def reply(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(HEAD + b"Content-Length: 33000000\r\n\r\n" + bytes(33_000_000))

    async def test() -> None:
        upstream = FakeServer(reply)
        async with balancer(upstream, change=enable_control) as b:
            client = await b.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send()
            await until(lambda: any(c.response_writer.is_blocked for c in b.node.server.acceptor.connections))
            if client_action == "leaves":
                client.writer.transport.abort()
            await until(lambda: not _open(b) and not b.node.server.acceptor.connections)
            await until(lambda: b.node.upstreams._open_count == 0)
            assert not b.node.engine._balancer._requests
            assert (await b.figures())["in_flight"] == 0

    run(test())


def test_an_upstream_that_stalls_midway_costs_its_own_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_module, "STALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(upstream_module, "SWEEP_INTERVAL_S", 0.02)

    async def reply(request: ReceivedRequest, writer: Writer) -> None:
        if request.headers["x-txn"] == "stalls":
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:70_000])
        else:
            writer.write(OK)

    async def test() -> None:
        async with balancer(FakeServer(reply)) as b:
            client, other = await b.connect(), await b.connect()
            client.send(X_Txn="stalls")
            with pytest.raises(ConnectionResetError):
                assert await client.answer() is None
                raise ConnectionResetError
            answer = await other.ask()
            assert answer is not None and answer.status == 200

    run(test())


def test_an_error_with_a_long_body_and_a_coding_nobody_asked_for_are_bad() -> None:
    for raw in (
        b"HTTP/1.1 500 Oh\r\nContent-Length: 100000\r\n\r\n" + bytes(100_000),
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Content-Length: 40000000\r\n\r\n",
    ):
        with pytest.raises(InvalidResponseError):
            ResponseReader(max_buffered=MAX_BUFFERED_BODY).feed(raw)


def test_a_stop_does_not_cut_off_a_long_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    # Closed by the balancer it would be lost; an operator without time kills the process.
    monkeypatch.setattr(client_options, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(server, "FINAL_READ_S", 0.0)

    async def test() -> None:
        release = asyncio.Event()

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            writer.write(HEAD + SIZED + b"\r\n" + LONG[:70_000])
            await release.wait()
            writer.write(LONG[70_000:])

        async with balancer(FakeServer(reply)) as b:
            client, sending = await b.connect(), await b.connect()
            client.send()
            sending.writer.write(PAY_HEAD + b"Content-Length: 9000000\r\n\r\n" + bytes(100_000))
            seen = await client.reader.readuntil(b"\r\n\r\n")
            stopped = asyncio.get_running_loop().create_task(b.node.server.drain(0.0))
            await until(lambda: b.node.server.acceptor.listener.fileno() < 0)
            assert not stopped.done()
            release.set()
            seen += await client.reader.readexactly(len(LONG))
            assert seen.endswith(LONG)
            await stopped  # a body that is still arriving is not waited for

    run(test())


# ---- bodies


class FramedServer:
    """An upstream that reads requests of any framing and can delay reading."""

    def __init__(self, reply: bytes = OK) -> None:
        self.reply, self.responds_early, self.reads = reply, False, asyncio.Event()
        self.reads.set()
        self.heads: list[str] = []
        self.bodies: list[bytes] = []
        self.connections, self.lost = 0, 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=65536)
        self.host_port = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.heads.append(head)
                if self.responds_early:
                    writer.write(self.reply)
                await self.reads.wait()
                self.bodies.append(await self._body(reader, head.lower()))
                if not self.responds_early:
                    writer.write(self.reply)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.lost += 1
        finally:
            writer.close()

    async def _body(self, reader: Reader, head: str) -> bytes:
        if (length := re.search(r"content-length: (\d+)", head)) is not None:
            return await reader.readexactly(int(length[1]))
        assert "transfer-encoding: chunked" in head
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body

    def stop(self) -> None:
        self._server.close()


@asynccontextmanager
async def balancer_with(upstream: FramedServer, held: int = 0) -> AsyncIterator[Balancer]:
    """A balancer with this upstream that buffers so many bytes of long bodies."""
    async with balancer(upstream, change=enable_control) as b:  # type: ignore[arg-type]
        b.node.server._free_buffer_bytes = held
        yield b


async def post(client: Client, body: bytes, framing: str = "length", size: int = 1 << 16) -> None:
    kind = f"Content-Length: {len(body)}" if framing == "length" else "Transfer-Encoding: chunked"
    client.writer.write(f"POST /pay HTTP/1.1\r\nX-Txn: up\r\nX-Remaining: 9\r\n{kind}\r\n\r\n".encode())
    raw = body if framing == "length" else chunks(body)
    for i in range(0, len(raw), size):
        client.writer.write(raw[i : i + size])
        await client.writer.drain()


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("held", [0, 8 * 1024 * 1024])
def test_a_long_body_comes_unchanged_and_is_answered(framing: str, held: int) -> None:
    async def test() -> None:
        upstream = FramedServer()
        async with balancer_with(upstream, held) as b:
            client = await b.connect()
            for _ in range(2):
                await post(client, LONG, framing)
                answer = await client.answer()
                assert answer is not None and answer.status == 200 and answer.reusable
            assert upstream.bodies == [LONG, LONG]
            assert upstream.connections == 1
            assert b.node.server._free_buffer_bytes == held
            figures = await b.figures()
            assert figures["requests"]["pay"] == {"served": 2, "refused": 0, "failed": 0, "attempts": 2}
            assert figures["in_flight"] == 0

    run(test())


def test_a_body_goes_on_before_it_is_whole_and_its_time_runs_from_its_end() -> None:
    async def test() -> None:
        upstream = FramedServer()
        upstream.reads.clear()
        async with balancer_with(upstream) as b:
            client = await b.connect()
            client.writer.write(PAY_HEAD + b"X-Remaining: 0.2\r\nContent-Length: 200000\r\n\r\n")
            client.writer.write(bytes(100_000))
            await until(lambda: len(upstream.heads) == 1)
            await asyncio.sleep(0.4)  # longer than its deadline, which counts from the last byte
            upstream.reads.set()
            client.writer.write(bytes(100_000))
            answer = await client.answer()
            assert answer is not None and answer.status == 200

    run(test())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_what_a_body_has_taken_of_the_memory_is_given_back_at_its_end(framing: str) -> None:
    async def test() -> None:
        upstream = FramedServer()
        upstream.reads.clear()
        budget = 2 * client_options.MAX_BUFFERED_EACH
        async with balancer_with(upstream, budget) as b:
            client = await b.connect()
            sending = asyncio.get_running_loop().create_task(post(client, bytes(3_000_000), framing))
            await until(lambda: len(upstream.heads) == 1)
            taken = (
                budget - b.node.server._free_buffer_bytes
            )  # with a declared length that is too long nothing is buffered
            assert taken == 0 if framing == "length" else 0 < taken <= client_options.MAX_BUFFERED_EACH
            upstream.reads.set()
            await sending
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            assert b.node.server._free_buffer_bytes == budget

    run(test())


def test_an_upstream_that_does_not_take_a_body_holds_back_its_caller() -> None:
    async def test() -> None:
        upstream = FramedServer()
        upstream.reads.clear()
        async with balancer_with(upstream) as b:
            client = await b.connect()
            total = 32 * 1024 * 1024
            sending = asyncio.get_running_loop().create_task(post(client, bytes(total)))
            await until(
                lambda: any(
                    c.reader.body_deadline == float("inf") for c in b.node.server.acceptor.connections
                )
            )
            before = -1
            (connection,) = b.node.server.acceptor.connections
            while before != connection.reader.body_size:
                before = connection.reader.body_size
                await asyncio.sleep(0.05)
            assert connection.reader.body_size < total
            assert not sending.done()
            upstream.reads.set()
            await sending
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            assert len(upstream.bodies[0]) == total

    run(test())


def test_a_body_of_which_nothing_is_gone_can_be_tried_again() -> None:
    async def test() -> None:
        upstream = FramedServer()
        async with balancer_with(upstream) as b:
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))  # bound, but not listening
                addresses = {"s0": unused.getsockname()}
                assert isinstance(b.node.discovery, Discovery)
                good = dict(b.node.discovery._addresses)
                b.node.upstreams.set_addresses(addresses)
                sends = b.node.upstreams.send

                def send(*args: Any) -> Any:
                    attempt = sends(*args)
                    b.node.upstreams.set_addresses(good)  # the next attempt finds the upstream
                    return attempt

                b.node.upstreams.send = send  # type: ignore[method-assign, assignment]
                client = await b.connect()
                await post(client, LONG)
                answer = await client.answer()
                assert answer is not None and answer.status == 200
                assert upstream.bodies == [LONG]

    run(test())


def test_a_body_that_is_gone_is_refused_if_its_attempt_never_ran() -> None:
    async def test() -> None:
        upstream = FramedServer(TURNED_AWAY)
        upstream.responds_early = True
        upstream.reads.clear()
        async with balancer_with(upstream) as b:
            client = await b.connect()
            client.writer.write(PAY_HEAD + b"Content-Length: 200000\r\n\r\n" + bytes(100_000))
            raw = await client.reader.read()  # to the end: the rest of the body is not wanted
            assert raw.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in raw
            assert len(upstream.heads) == 1  # not retried, as its first part is gone
            figures = await b.figures()
            assert figures["requests"]["pay"] == {"served": 0, "refused": 1, "failed": 0, "attempts": 0}
            assert figures["in_flight"] == 0

    run(test())


BAD_BODIES = [
    (b"Transfer-Encoding: chunked\r\n\r\n15f90\r\n" + bytes(90_000) + b"\r\nzz\r\n", 400),
    (b"Transfer-Encoding: chunked\r\n\r\n" + b"10000\r\n%b\r\n" % bytes(65536) * 513, 413),
    (b"Content-Length: 200000\r\n\r\n" + bytes(100_000), 408),
]


@pytest.mark.parametrize(("raw", "status"), BAD_BODIES)
@pytest.mark.parametrize("held", [0, 8 * 1024 * 1024])
def test_a_body_that_turns_out_bad_never_runs(
    monkeypatch: pytest.MonkeyPatch, raw: bytes, status: int, held: int
) -> None:
    async def test() -> None:
        upstream = FramedServer()
        async with balancer_with(upstream, held) as b:
            client = await b.connect()
            if status == 408:
                monkeypatch.setattr(request_reader, "BODY_RATE_WINDOW_S", 0.1)
                monkeypatch.setattr(client_options, "HEAD_TIMEOUT_S", 0.1)
            client.writer.write(b"POST /pay HTTP/1.1\r\nX-Txn: a\r\n" + raw)
            answer = await client.answer()
            assert answer is not None and answer.status == status
            assert upstream.bodies == []
            await until(lambda: not _open(b) and not b.node.engine._balancer._requests)
            await until(lambda: upstream.lost == upstream.connections)
            client.writer.close()
            await until(lambda: b.node.server._free_buffer_bytes == held)
            assert (await b.figures())["in_flight"] == 0

    run(test())


def test_a_caller_that_leaves_in_the_middle_of_a_body_runs_nothing() -> None:
    async def test() -> None:
        upstream = FramedServer()
        async with balancer_with(upstream) as b:
            client = await b.connect()
            client.writer.write(PAY_HEAD + b"Content-Length: 200000\r\n\r\n" + bytes(100_000))
            await until(lambda: len(upstream.heads) == 1)
            client.writer.transport.abort()
            await until(lambda: upstream.lost == 1 and not _open(b))
            assert upstream.bodies == [] and (await b.figures())["in_flight"] == 0
            assert not b.node.server.open_request_ids

    run(test())


def test_a_slow_but_proper_body_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_options, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_options, "SWEEP_INTERVAL_S", 0.01)

    async def test() -> None:
        upstream = FramedServer()
        async with balancer_with(upstream) as b:
            client = await b.connect()
            await post(client, bytes(30_000), size=1_500)
            client.writer.write(b"POST /pay HTTP/1.1\r\nX-Txn: b\r\nContent-Length: 3000\r\n\r\n")
            for _ in range(30):  # far longer than HEAD_TIMEOUT_S, and far slower than a client at full speed
                await asyncio.sleep(0.01)
                client.writer.write(bytes(100))
            for _ in range(2):
                answer = await client.answer()
                assert answer is not None and answer.status == 200

    run(test())


def test_a_long_body_sent_ahead_waits_for_its_turn() -> None:
    async def test() -> None:
        upstream = FakeServer(silent)
        async with balancer(upstream) as b:
            b.node.server._free_buffer_bytes = 0
            client = await b.connect()
            client.send()
            await until(lambda: len(upstream.got) == 1)
            sending = asyncio.get_running_loop().create_task(post(client, LONG * 8))
            (connection,) = b.node.server.acceptor.connections
            await until(lambda: bool(connection.reader.pending))
            assert len(upstream.got) == 1 and connection.reader.body_size < len(LONG) * 8
            upstream.reply = OK
            upstream.writers[0].write(OK)
            await sending
            for _ in range(2):
                answer = await client.answer()
                assert answer is not None and answer.status == 200
            assert upstream.got[1].body == LONG * 8

    run(test())


# ---- forms of messages


@pytest.mark.parametrize(
    "raw",
    [
        b"POST /pay HTTP/1.1\r\nx-txn: a \r\nContent-Length: 2 \r\n\r\nhi",
        b"POST /pay HTTP/1.1\r\nX-TXN:a\r\nX-Org:\tacme \t\r\nX-Remaining:  1.999 \r\n"
        b"Transfer-Encoding: chunked \r\n\r\n2;a=b\r\nhi\r\n0\r\nT: x\r\n\r\n",
        b"\r\nPOST /pay HTTP/1.1\r\nX-Txn:a\r\nEmpty:\r\n"
        b"TRANSFER-ENCODING: Chunked\r\n\r\n02\r\nhi\r\n000\r\n\r\n",
        b"POST /pay HTTP/1.0\r\nX-Txn: a\r\nContent-Length: 2\r\n\r\nhi",
    ],
)
def test_forms_that_the_protocol_allows_are_served(raw: bytes) -> None:
    async def test() -> None:
        upstream = FakeServer()
        async with balancer(upstream) as b:
            client = await b.connect()
            client.writer.write(raw)
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            (got,) = upstream.got
            assert got.body == b"hi" and got.headers["x-txn"] == "a"
            assert got.headers.get("x-org", "acme") == "acme"

    run(test())


def test_a_caller_that_asks_first_behind_another_request_is_told_in_its_turn() -> None:
    async def test() -> None:
        upstream = FakeServer(silent)
        async with balancer(upstream) as b:
            client = await b.connect()
            client.send()
            await until(lambda: len(upstream.got) == 1)
            client.writer.write(PAY_HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
            (connection,) = b.node.server.acceptor.connections
            await until(lambda: connection.reader._expects_continue)
            upstream.reply = OK
            upstream.writers[0].write(OK)
            assert await client.reader.readexactly(len(OK)) == OK
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.writer.write(b"hi")
            answer = await client.answer()
            assert answer is not None and answer.status == 200

    run(test())
