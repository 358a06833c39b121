"""Rare orders of events on the client side: what a client does between two of the balancer's steps.

A client here is a plain socket: its bytes and its close are in the kernel at once, before the event loop of
the balancer gets a turn.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from passpost import client_connection, client_options, exchange, request_reader, server, upstream
from passpost.__main__ import Node
from tests.loopback import (
    OK,
    TURNED_AWAY,
    Balancer,
    FakeServer,
    ReceivedRequest,
    Writer,
    balancer,
    run,
    silent,
    until,
)
from umberworks.interface import CallsBeside

REQUEST = b"GET /read HTTP/1.1\r\nX-Txn: %b\r\nX-Remaining: 9\r\n\r\n"
RESET = struct.pack("ii", 1, 0)


class RawClient:
    """A client whose bytes are in the kernel once `send` returns."""

    def __init__(self, b: Balancer) -> None:
        self.socket = socket.create_connection(("127.0.0.1", b.node.server.port))
        self.socket.setblocking(False)
        self._got = b""

    def send(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def disconnect(self, disconnect_by: str = "end") -> None:
        if disconnect_by == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.socket.close()

    async def read_to_end(self) -> bytes:
        """All bytes up to an orderly close; a reset raises."""
        got = b""
        while data := await asyncio.get_running_loop().sock_recv(self.socket, 65536):
            got += data
        self.socket.close()
        return got


async def connect_clients(b: Balancer, count: int = 1, asks: bool = True) -> list[RawClient]:
    """Connect clients; with `asks` each of them has completed a request."""
    connected = []
    for i in range(count):
        known = set(b.node.server.acceptor.connections)
        client = RawClient(b)
        await until(lambda known=known: len(b.node.server.acceptor.connections) > len(known))  # type: ignore[misc]
        (connection,) = set(b.node.server.acceptor.connections) - known
        await until(lambda c=connection: c.transport._transport is not None)  # type: ignore[misc]
        if asks:
            client.send(REQUEST % b"first%d" % i)
            while not (await asyncio.get_running_loop().sock_recv(client.socket, 65536)).endswith(b"ok"):
                pass
        connected.append(client)
    return connected


def only_connection(b: Balancer) -> Any:
    (connection,) = b.node.server.acceptor.connections
    return connection


def has_no_requests(node: Node) -> Callable[[], bool]:
    """Whether no state of any request is left."""
    engine = node.engine
    return lambda: not (engine._requests or engine._balancer._requests or node.server.open_request_ids)


def run_before(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, action: Callable[[], None]) -> None:
    """Run `action` once, just before the balancer calls this function."""
    original, actions = getattr(owner, name), [action]

    def called(*args: Any, **more: Any) -> Any:
        if actions:
            actions.pop()()
        return original(*args, **more)

    monkeypatch.setattr(owner, name, called)


# ---- closes by the balancer


@pytest.mark.parametrize("why", ["crowded", "drain", "asked"])
def test_bytes_that_come_behind_the_last_answer_do_not_reset_it(
    monkeypatch: pytest.MonkeyPatch, why: str
) -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (client,) = await connect_clients(b)
            if why == "crowded":
                monkeypatch.setattr(server, "KEEP_ALIVE_SHARE", 0.0)
            b.node.server.closing = why == "drain"
            run_before(monkeypatch, exchange.Exchange, "send_response", lambda: client.send(b"GET /re"))
            asked = b"X-Txn: b\r\nConnection: close" if why == "asked" else b"X-Txn: b"
            client.send((REQUEST % b"b").replace(b"X-Txn: b", asked))
            answer = await client.read_to_end()
            assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nok")
            await until(lambda: not b.node.server.acceptor.connections)

    run(test())


def _close_in_sweep(b: Balancer) -> None:
    b.node.server._sweep_one(only_connection(b), asyncio.get_running_loop().time() + 1e6)


def _close_in_quiesce(b: Balancer) -> None:
    b.node.server.draining = True
    b.node.server._close_clients()


def _close_in_drain(b: Balancer) -> None:
    """The end of a drain, through its first check of the connections."""
    b.node.server.closing = True
    drain = b.node.server.drain(100.0)
    b.tasks = [asyncio.get_running_loop().create_task(drain)]  # type: ignore[attr-defined]


CLOSE_PATHS = [_close_in_sweep, _close_in_quiesce, _close_in_drain]


@pytest.fixture
def quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_options, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(server, "FINAL_READ_S", 0.0)
    monkeypatch.setattr(client_options, "CLOSING_PHASE_S", 1000.0)


@pytest.mark.usefixtures("quick_drain")
@pytest.mark.parametrize("close_path", CLOSE_PATHS)
def test_a_request_that_lies_unread_where_we_would_close_is_answered(
    monkeypatch: pytest.MonkeyPatch, close_path: Callable[[Balancer], None]
) -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (client,) = await connect_clients(b)
            if (
                close_path is _close_in_drain
            ):  # in the turn of its first check, after the listening socket was closed
                original_time_left_s = b.node.server.time_left_s

                def time_left_s() -> float:
                    if b.node.server.acceptor.listener.fileno() < 0 and late_requests:
                        client.send(late_requests.pop())
                    return original_time_left_s()

                late_requests = [REQUEST % b"late"]
                monkeypatch.setattr(b.node.server, "time_left_s", time_left_s)
            else:
                client.send(REQUEST % b"late")
            close_path(b)
            got = await asyncio.get_running_loop().sock_recv(client.socket, 65536)
            assert got.startswith(b"HTTP/1.1 200 ")
            client.disconnect()

    run(test())


@pytest.mark.usefixtures("quick_drain")
@pytest.mark.parametrize("close_path", CLOSE_PATHS)
def test_a_request_that_crosses_our_close_is_not_sent_on_and_ends_in_order(
    monkeypatch: pytest.MonkeyPatch, close_path: Callable[[Balancer], None]
) -> None:
    # Between the check and the close nothing can be done: the client has to notice and retry.
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (client,) = await connect_clients(b)
            run_before(
                monkeypatch,
                client_connection.ClientConnection,
                "close",
                lambda: client.send(REQUEST % b"late"),
            )
            close_path(b)
            assert await client.read_to_end() == b""
            await until(lambda: not b.node.server.acceptor.connections)
            assert [u.got for u in b.upstreams] == [[b.upstreams[0].got[0]]]

    run(test())


def test_at_the_limit_a_connection_on_which_a_request_lies_does_not_give_way() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            first, second = await connect_clients(b, 2)
            b.node.server.acceptor._max_connections = 2
            first.send(REQUEST % b"late")  # it has been idle for longer
            third = RawClient(b)
            b.node.server.acceptor.accept()
            assert await second.read_to_end() == b""
            third.send(REQUEST % b"third")
            for client in (first, third):
                got = await asyncio.get_running_loop().sock_recv(client.socket, 65536)
                assert got.startswith(b"HTTP/1.1 200 ")
                client.disconnect()

    run(test())


def test_at_the_limit_an_answer_that_is_not_out_yet_is_not_thrown_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Its connection is closing, and the next client connects in the turn in which a stray byte arrives.
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (first,) = await connect_clients(b)
            b.node.server.acceptor._max_connections = 1
            second = RawClient(b)
            send_response, answers = exchange.Exchange.send_response, ["second", "first"]

            def send_then_accept(answered: Any, answer: Any) -> None:
                send_response(answered, answer)
                if answers.pop() == "first":
                    first.send(b"GET /re")
                    b.node.server.acceptor.accept()

            monkeypatch.setattr(exchange.Exchange, "send_response", send_then_accept)
            first.send(REQUEST % b"a")
            assert (await first.read_to_end()).endswith(b"\r\n\r\nok")
            second.send(REQUEST % b"b")
            assert (await second.read_to_end()).endswith(b"\r\n\r\nok")

    run(test())


def test_small_writes_are_not_held_back() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            await connect_clients(b)
            (pooled,) = next(iter(b.node.upstreams._upstreams.values())).idle
            for transport in (only_connection(b).transport._transport, pooled._transport):
                assert transport is not None
                peer = transport.get_extra_info("socket")
                assert peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())


# ---- disconnecting clients


DISCONNECTS = ["end", "reset"]


@pytest.mark.parametrize("disconnect_by", DISCONNECTS)
@pytest.mark.parametrize("pipelined", [0, 1], ids=["alone", "pipelined"])
@pytest.mark.parametrize("client_count", [1, 150])
def test_a_request_whose_client_left_while_it_waited_for_room_is_not_sent_on(
    disconnect_by: str, pipelined: int, client_count: int
) -> None:
    async def test() -> None:
        upstream = FakeServer(silent)
        async with balancer(upstream) as b:
            module, room = b.node.engine._balancer, False
            module._has_capacity = lambda: room  # type: ignore[method-assign]
            b.node.server.acceptor._max_connections = 2 * client_count
            clients = await connect_clients(b, client_count, asks=False)
            for i, client in enumerate(clients):
                client.send(b"".join(REQUEST % b"%d-%d" % (i, j) for j in range(1 + pipelined)))
            await until(lambda: len(module._requests) == client_count)
            for client in clients:
                client.disconnect(disconnect_by)
            room = True  # in the turn in which they disconnect
            b.node.engine.on_peer_event(CallsBeside(0))
            await until(lambda: not b.node.server.acceptor.connections)
            await until(has_no_requests(b.node))
            assert upstream.got == [] and upstream.connections == 0

    run(test())


@pytest.mark.parametrize("disconnect_by", DISCONNECTS)
def test_a_request_whose_client_left_while_its_connection_came_up_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch, disconnect_by: str
) -> None:
    async def test() -> None:
        established, proceed = asyncio.Event(), asyncio.Event()
        establish = upstream.Upstreams._establish

        async def slow(*args: Any) -> bool:
            is_established = await establish(*args)
            established.set()
            await proceed.wait()
            return is_established

        monkeypatch.setattr(upstream.Upstreams, "_establish", slow)
        server = FakeServer(silent)
        async with balancer(server) as b:
            (client,) = await connect_clients(b, asks=False)
            client.send(REQUEST % b"a" + REQUEST % b"b")  # with a pipelined request nothing is read
            await established.wait()
            client.disconnect(disconnect_by)
            proceed.set()
            await until(lambda: not b.node.server.acceptor.connections)
            await until(has_no_requests(b.node))
            await until(lambda: server.closed == server.connections)
            assert server.got == [] and b.node.upstreams._open_count == 0

    run(test())


@pytest.mark.parametrize("disconnect_by", DISCONNECTS)
def test_no_further_attempt_is_made_for_a_client_that_has_left(disconnect_by: str) -> None:
    async def test() -> None:
        clients: list[RawClient] = []

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            clients[0].disconnect(disconnect_by)
            writer.write(TURNED_AWAY)

        upstreams = [FakeServer(reply), FakeServer(reply)]
        async with balancer(*upstreams) as b:
            clients.extend(await connect_clients(b, asks=False))
            clients[0].send(REQUEST % b"a" + REQUEST % b"b")
            await until(lambda: not b.node.server.acceptor.connections)
            await until(has_no_requests(b.node))
            assert sum(len(u.got) for u in upstreams) == 1

    run(test())


@pytest.mark.parametrize("disconnect_by", DISCONNECTS)
def test_what_was_sent_ahead_is_not_sent_on_once_its_client_has_left(disconnect_by: str) -> None:
    async def test() -> None:
        clients: list[RawClient] = []

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            clients[0].disconnect(disconnect_by)
            writer.write(OK)

        upstream = FakeServer(reply)
        async with balancer(upstream) as b:
            clients.extend(await connect_clients(b, asks=False))
            clients[0].send(REQUEST % b"a" + REQUEST % b"b")
            await until(lambda: not b.node.server.acceptor.connections)
            await until(has_no_requests(b.node))
            assert len(upstream.got) == 1

    run(test())


@pytest.mark.parametrize("disconnect_by", DISCONNECTS)
def test_a_client_that_leaves_with_a_request_sent_ahead_frees_what_it_held(disconnect_by: str) -> None:
    # Nothing is read from it meanwhile; its attempt would be in flight for 9 s.
    async def test() -> None:
        upstream = FakeServer(silent)
        async with balancer(upstream) as b:
            (client,) = await connect_clients(b, asks=False)
            client.send(REQUEST % b"a" + REQUEST % b"b")
            await until(lambda: len(upstream.got) == 1)
            client.disconnect(disconnect_by)
            async with asyncio.timeout(client_options.SWEEP_INTERVAL_S * 8):
                await until(has_no_requests(b.node))
                await until(lambda: upstream.closed == 1)

    run(test())


# ---- floods and slow clients


@pytest.mark.parametrize("disconnects", [False, True])
def test_many_requests_sent_at_once_are_taken_a_few_at_a_time(
    monkeypatch: pytest.MonkeyPatch, disconnects: bool
) -> None:
    async def test() -> None:
        upstream = FakeServer()
        async with balancer(upstream) as b:
            (client, other) = await connect_clients(b, 2)
            max_pending = 0
            start = exchange.Exchange.start

            def recording_start(taken: Any, request: Any) -> None:
                nonlocal max_pending
                max_pending = max(max_pending, len(taken._owner.reader.pending))
                start(taken, request)

            monkeypatch.setattr(exchange.Exchange, "start", recording_start)
            flood = b"".join(REQUEST % b"%d" % i for i in range(1_500))
            client.send(flood)
            other.send(REQUEST % b"other")
            if disconnects:
                await until(lambda: len(upstream.got) > 4)
                client.disconnect()
                await until(lambda: len(b.node.server.acceptor.connections) == 1)
                await until(has_no_requests(b.node))
                assert len(upstream.got) < 200
            else:
                answered = b""
                while answered.count(b"\r\n\r\nok") < 1_500:
                    answered += await asyncio.get_running_loop().sock_recv(client.socket, 65536)
                client.disconnect()
            assert max_pending * len(REQUEST) <= request_reader.HEAD_PARSE_BYTES
            assert (await asyncio.get_running_loop().sock_recv(other.socket, 65536)).endswith(b"ok")
            other.disconnect()

    run(test())


def test_a_body_that_trickles_in_gains_no_time_by_its_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (client,) = await connect_clients(b)
            monkeypatch.setattr(client_options, "HEAD_TIMEOUT_S", 0.05)
            monkeypatch.setattr(request_reader, "BODY_RATE_WINDOW_S", 0.05)
            client.send(b"POST /pay HTTP/1.1\r\nX-Txn: slow\r\nContent-Length: 60000\r\n\r\n")
            answer = asyncio.get_running_loop().create_task(
                asyncio.get_running_loop().sock_recv(client.socket, 65536)
            )
            while not answer.done():
                client.send(b"x")
                await asyncio.sleep(0.005)
            assert answer.result().startswith(b"HTTP/1.1 408 ")
            client.disconnect()

    run(test())
