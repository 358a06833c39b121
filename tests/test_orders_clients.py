"""Rare orders of events on the clients' side, made to happen: what a client does between two of our lines.

A client here is a plain socket of the test's own thread: what it sends or ends lies in the kernel at once,
and the balancer's loop has had no turn for it.
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
from tests.loopback import AWAY, OK, Balancer, FakeServer, Got, Writer, balancer, run, silent, until
from umberworks.interface import CallsBeside

ONE = b"GET /read HTTP/1.1\r\nX-Txn: %b\r\nX-Remaining: 9\r\n\r\n"
RESET = struct.pack("ii", 1, 0)


class Raw:
    """A client whose bytes are in the kernel once `put` is back."""

    def __init__(self, b: Balancer) -> None:
        self.socket = socket.create_connection(("127.0.0.1", b.node.server.port))
        self.socket.setblocking(False)
        self._got = b""

    def put(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def go(self, how: str = "end") -> None:
        if how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.socket.close()

    async def rest(self) -> bytes:
        """All that comes up to an end in order; a reset raises."""
        got = b""
        while data := await asyncio.get_running_loop().sock_recv(self.socket, 65536):
            got += data
        self.socket.close()
        return got


async def come(b: Balancer, count: int = 1, asks: bool = True) -> list[Raw]:
    """So many clients, each of which has been of use already."""
    clients = []
    for i in range(count):
        known = set(b.node.server.acceptor.connections)
        raw = Raw(b)
        await until(lambda known=known: len(b.node.server.acceptor.connections) > len(known))  # type: ignore[misc]
        (connection,) = set(b.node.server.acceptor.connections) - known
        await until(lambda c=connection: c.transport._transport is not None)  # type: ignore[misc]
        if asks:
            raw.put(ONE % b"first%d" % i)
            while not (await asyncio.get_running_loop().sock_recv(raw.socket, 65536)).endswith(b"ok"):
                pass
        clients.append(raw)
    return clients


def only(b: Balancer) -> Any:
    (connection,) = b.node.server.acceptor.connections
    return connection


def empty(node: Node) -> Callable[[], bool]:
    """Whether nothing is held of any request."""
    engine = node.engine
    return lambda: not (engine._requests or engine._balancer._requests or node.server.open_ids)


def before(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, act: Callable[[], None]) -> None:
    """Have something happen once, just before the balancer calls this."""
    original, acts = getattr(owner, name), [act]

    def called(*args: Any, **more: Any) -> Any:
        if acts:
            acts.pop()()
        return original(*args, **more)

    monkeypatch.setattr(owner, name, called)


# ---- we close


@pytest.mark.parametrize("why", ["crowded", "drain", "asked"])
def test_bytes_that_come_behind_the_last_answer_do_not_reset_it(
    monkeypatch: pytest.MonkeyPatch, why: str
) -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (raw,) = await come(b)
            if why == "crowded":
                monkeypatch.setattr(server, "KEEP_SHARE", 0.0)
            b.node.server.closing = why == "drain"
            before(monkeypatch, exchange.Exchange, "serve", lambda: raw.put(b"GET /re"))
            asked = b"X-Txn: b\r\nConnection: close" if why == "asked" else b"X-Txn: b"
            raw.put((ONE % b"b").replace(b"X-Txn: b", asked))
            answer = await raw.rest()
            assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nok")
            await until(lambda: not b.node.server.acceptor.connections)

    run(test())


def _idle_end(b: Balancer) -> None:
    b.node.server._sweep_one(only(b), asyncio.get_running_loop().time() + 1e6)


def _sent_off(b: Balancer) -> None:
    b.node.server.draining = True
    b.node.server._send_off()


def _last_round(b: Balancer) -> None:
    """The end of a drain, up to its first look at the connections and past it."""
    b.node.server.closing = True
    drain = b.node.server.drain(100.0)
    b.tasks = [asyncio.get_running_loop().create_task(drain)]  # type: ignore[attr-defined]


PLACES = [_idle_end, _sent_off, _last_round]


@pytest.fixture
def quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_options, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(server, "LAST_LOOK_S", 0.0)
    monkeypatch.setattr(client_options, "LAST_CALL_S", 1000.0)


@pytest.mark.usefixtures("quick_drain")
@pytest.mark.parametrize("place", PLACES)
def test_a_request_that_lies_unread_where_we_would_close_is_answered(
    monkeypatch: pytest.MonkeyPatch, place: Callable[[Balancer], None]
) -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (raw,) = await come(b)
            if (
                place is _last_round
            ):  # in the turn of its first look, which is after the listening socket's end
                looks = b.node.server.time_left

                def time_left() -> float:
                    if b.node.server.acceptor.listener.fileno() < 0 and late:
                        raw.put(late.pop())
                    return looks()

                late = [ONE % b"late"]
                monkeypatch.setattr(b.node.server, "time_left", time_left)
            else:
                raw.put(ONE % b"late")
            place(b)
            got = await asyncio.get_running_loop().sock_recv(raw.socket, 65536)
            assert got.startswith(b"HTTP/1.1 200 ")
            raw.go()

    run(test())


@pytest.mark.usefixtures("quick_drain")
@pytest.mark.parametrize("place", PLACES)
def test_a_request_that_crosses_our_close_is_not_sent_on_and_ends_in_order(
    monkeypatch: pytest.MonkeyPatch, place: Callable[[Balancer], None]
) -> None:
    # Between the look and the close nothing can be done: its client has to be able to tell, and to ask again.
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (raw,) = await come(b)
            before(monkeypatch, client_connection.ClientConnection, "close", lambda: raw.put(ONE % b"late"))
            place(b)
            assert await raw.rest() == b""
            await until(lambda: not b.node.server.acceptor.connections)
            assert [u.got for u in b.upstreams] == [[b.upstreams[0].got[0]]]

    run(test())


def test_at_the_limit_a_connection_on_which_a_request_lies_does_not_give_way() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            first, second = await come(b, 2)
            b.node.server.acceptor._most = 2
            first.put(ONE % b"late")  # it has been idle for longer
            third = Raw(b)
            b.node.server.acceptor.accept()
            assert await second.rest() == b""
            third.put(ONE % b"third")
            for raw in (first, third):
                got = await asyncio.get_running_loop().sock_recv(raw.socket, 65536)
                assert got.startswith(b"HTTP/1.1 200 ")
                raw.go()

    run(test())


def test_at_the_limit_an_answer_that_is_not_out_yet_is_not_thrown_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Its connection is ending, and the next client comes in the same turn of the loop as a byte too many.
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (first,) = await come(b)
            b.node.server.acceptor._most = 1
            second = Raw(b)
            serve, answers = exchange.Exchange.serve, ["second", "first"]

            def served(answered: Any, answer: Any) -> None:
                serve(answered, answer)
                if answers.pop() == "first":
                    first.put(b"GET /re")
                    b.node.server.acceptor.accept()

            monkeypatch.setattr(exchange.Exchange, "serve", served)
            first.put(ONE % b"a")
            assert (await first.rest()).endswith(b"\r\n\r\nok")
            second.put(ONE % b"b")
            assert (await second.rest()).endswith(b"\r\n\r\nok")

    run(test())


def test_small_writes_are_not_held_back() -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            await come(b)
            (pooled,) = next(iter(b.node.upstreams._upstreams.values())).idle
            for transport in (only(b).transport._transport, pooled._transport):
                assert transport is not None
                peer = transport.get_extra_info("socket")
                assert peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())


# ---- clients leave


HOW = ["end", "reset"]


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("ahead", [0, 1], ids=["alone", "ahead"])
@pytest.mark.parametrize("clients", [1, 150])
def test_a_request_whose_client_left_while_it_waited_for_room_is_not_sent_on(
    how: str, ahead: int, clients: int
) -> None:
    async def test() -> None:
        upstream = FakeServer(silent)
        async with balancer(upstream) as b:
            module, room = b.node.engine._balancer, False
            module._has_capacity = lambda: room  # type: ignore[method-assign]
            b.node.server.acceptor._most = 2 * clients
            raws = await come(b, clients, asks=False)
            for i, raw in enumerate(raws):
                raw.put(b"".join(ONE % b"%d-%d" % (i, j) for j in range(1 + ahead)))
            await until(lambda: len(module._requests) == clients)
            for raw in raws:
                raw.go(how)
            room = True  # in the very turn in which they go
            b.node.engine.told(CallsBeside(0))
            await until(lambda: not b.node.server.acceptor.connections)
            await until(empty(b.node))
            assert upstream.got == [] and upstream.connections == 0

    run(test())


@pytest.mark.parametrize("how", HOW)
def test_a_request_whose_client_left_while_its_connection_came_up_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    async def test() -> None:
        up, go = asyncio.Event(), asyncio.Event()
        reach = upstream.Upstreams._reach

        async def slow(*args: Any) -> bool:
            reached = await reach(*args)
            up.set()
            await go.wait()
            return reached

        monkeypatch.setattr(upstream.Upstreams, "_reach", slow)
        server = FakeServer(silent)
        async with balancer(server) as b:
            (raw,) = await come(b, asks=False)
            raw.put(ONE % b"a" + ONE % b"b")  # with one sent ahead nothing is read
            await up.wait()
            raw.go(how)
            go.set()
            await until(lambda: not b.node.server.acceptor.connections)
            await until(empty(b.node))
            await until(lambda: server.closed == server.connections)
            assert server.got == [] and b.node.upstreams._open == 0

    run(test())


@pytest.mark.parametrize("how", HOW)
def test_no_further_attempt_is_made_for_a_client_that_has_left(how: str) -> None:
    async def test() -> None:
        raws: list[Raw] = []

        async def reply(request: Got, writer: Writer) -> None:
            raws[0].go(how)
            writer.write(AWAY)

        upstreams = [FakeServer(reply), FakeServer(reply)]
        async with balancer(*upstreams) as b:
            raws.extend(await come(b, asks=False))
            raws[0].put(ONE % b"a" + ONE % b"b")
            await until(lambda: not b.node.server.acceptor.connections)
            await until(empty(b.node))
            assert sum(len(u.got) for u in upstreams) == 1

    run(test())


@pytest.mark.parametrize("how", HOW)
def test_what_was_sent_ahead_is_not_sent_on_once_its_client_has_left(how: str) -> None:
    async def test() -> None:
        raws: list[Raw] = []

        async def reply(request: Got, writer: Writer) -> None:
            raws[0].go(how)
            writer.write(OK)

        upstream = FakeServer(reply)
        async with balancer(upstream) as b:
            raws.extend(await come(b, asks=False))
            raws[0].put(ONE % b"a" + ONE % b"b")
            await until(lambda: not b.node.server.acceptor.connections)
            await until(empty(b.node))
            assert len(upstream.got) == 1

    run(test())


@pytest.mark.parametrize("how", HOW)
def test_a_client_that_leaves_with_a_request_sent_ahead_frees_what_it_held(how: str) -> None:
    # Nothing is read from it meanwhile; its attempt is out, and would be for 9 s.
    async def test() -> None:
        upstream = FakeServer(silent)
        async with balancer(upstream) as b:
            (raw,) = await come(b, asks=False)
            raw.put(ONE % b"a" + ONE % b"b")
            await until(lambda: len(upstream.got) == 1)
            raw.go(how)
            async with asyncio.timeout(client_options.SWEEP_S * 8):
                await until(empty(b.node))
                await until(lambda: upstream.closed == 1)

    run(test())


# ---- floods and slow ones


@pytest.mark.parametrize("goes", [False, True])
def test_many_requests_sent_at_once_are_taken_a_few_at_a_time(
    monkeypatch: pytest.MonkeyPatch, goes: bool
) -> None:
    async def test() -> None:
        upstream = FakeServer()
        async with balancer(upstream) as b:
            (raw, other) = await come(b, 2)
            most = 0
            take = exchange.Exchange.take

            def watched(taken: Any, request: Any) -> None:
                nonlocal most
                most = max(most, len(taken._owner.reader.waiting))
                take(taken, request)

            monkeypatch.setattr(exchange.Exchange, "take", watched)
            flood = b"".join(ONE % b"%d" % i for i in range(1_500))
            raw.put(flood)
            other.put(ONE % b"other")
            if goes:
                await until(lambda: len(upstream.got) > 4)
                raw.go()
                await until(lambda: len(b.node.server.acceptor.connections) == 1)
                await until(empty(b.node))
                assert len(upstream.got) < 200
            else:
                answered = b""
                while answered.count(b"\r\n\r\nok") < 1_500:
                    answered += await asyncio.get_running_loop().sock_recv(raw.socket, 65536)
                raw.go()
            assert most * len(ONE) <= request_reader.HEAD_AT_ONCE
            assert (await asyncio.get_running_loop().sock_recv(other.socket, 65536)).endswith(b"ok")
            other.go()

    run(test())


def test_a_body_that_trickles_in_gains_no_time_by_its_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with balancer(FakeServer()) as b:
            (raw,) = await come(b)
            monkeypatch.setattr(client_options, "READ_S", 0.05)
            monkeypatch.setattr(request_reader, "BODY_SPAN_S", 0.05)
            raw.put(b"POST /pay HTTP/1.1\r\nX-Txn: slow\r\nContent-Length: 60000\r\n\r\n")
            answer = asyncio.get_running_loop().create_task(
                asyncio.get_running_loop().sock_recv(raw.socket, 65536)
            )
            while not answer.done():
                raw.put(b"x")
                await asyncio.sleep(0.005)
            assert answer.result().startswith(b"HTTP/1.1 408 ")
            raw.go()

    run(test())
