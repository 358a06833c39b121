"""Upgrades: an old and a new process of one balancer, over loopback sockets."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from passpost import __main__ as program
from passpost import config, handover
from passpost.__main__ import Node
from passpost.discovery import parse_address
from tests.loopback import (
    OK,
    Balancer,
    Client,
    FakeServer,
    ReceivedRequest,
    Writer,
    config_data,
    enable_control,
    member,
    run,
    silent,
    until,
)
from umberworks import interface as face

ROOT = Path(__file__).parent.parent


@asynccontextmanager
async def processes(
    tmp_path: Path, *upstreams: FakeServer
) -> AsyncIterator[Callable[[], Awaitable[Balancer]]]:
    """Starts processes of one balancer, one after the other, with handovers in one directory."""
    for upstream in upstreams:
        await upstream.start()
    data = config_data([member(f"s{i}", u.host_port) for i, u in enumerate(upstreams)])
    enable_control(data)
    started: list[Balancer] = []

    async def start() -> Balancer:
        read = config.read(data)
        path = program.handover_socket_path(read, str(tmp_path))
        assert path is not None
        # A starting process requests the handover synchronously; here the old one shares its event loop.
        started.append(Balancer(Node(read, path, await asyncio.to_thread(handover.request_handover, path))))
        return started[-1]

    try:
        yield start
    finally:
        for b in started:
            b.close_connections()
            b.node.close()
        for upstream in upstreams:
            upstream.stop()


async def serving(b: Balancer) -> None:
    while await b.call(b"health") != b"OK serving\n":
        await asyncio.sleep(0.005)


async def answered(client: Client, **more: Any) -> None:
    answer = await client.ask(**more)
    assert answer is not None and answer.status == 200


@pytest.fixture(autouse=True)
def no_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(program, "LIST_WAIT_S", 0.05)  # no discovery service responds


def test_an_upgrade_loses_no_connection_and_no_request(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            if request.headers["x-txn"] == "slow":
                await release.wait()
            writer.write(OK)

        upstream = FakeServer(reply)
        async with processes(tmp_path, upstream) as start:
            old = await start()
            idle, fresh, busy = await old.connect(), await old.connect(), await old.connect()
            await answered(idle)
            busy.send(X_Txn="slow")
            await until(lambda: len(upstream.got) == 2)
            new = await start()
            assert await new.call(b"health") == b"ERR not taking clients\n"
            await serving(new)
            await until(lambda: old.node.server.acceptor._is_yielding)
            assert new.node.server.port == old.node.server.port
            stopped = asyncio.get_running_loop().create_task(old.node.stop())
            await until(lambda: new.node.server.connection_count() == 2)
            await answered(idle)
            await answered(fresh)
            await answered(await new.connect())
            assert not stopped.done()
            release.set()
            answer = await busy.answer()
            assert answer is not None and answer.status == 200 and answer.reusable
            await stopped  # ends early, as nothing is left to answer
            await answered(busy)  # its connection has been handed over too
            assert (
                new.node.server.acceptor._peer_connections == 0
                and new.node.upstreams._open_limit == new.node.upstreams._max_connections
            )

    run(test())


def test_a_request_that_lies_unread_goes_along_with_its_connection(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = FakeServer()
        async with processes(tmp_path, upstream) as start:
            old = await start()
            with socket.create_connection(("127.0.0.1", old.node.server.port)) as client:
                await until(lambda: old.node.server.connection_count() == 1)
                (connection,) = old.node.server.acceptor.connections
                await until(connection.can_hand_over)
                new = await start()
                await serving(new)
                successor = old.node._successor
                assert successor is not None
                client.sendall(b"GET /read HTTP/1.1\r\nX-Txn: a\r\n\r\n")
                assert connection.hand_over(successor.send_descriptor)  # the event loop has had no turn since
                await until(
                    lambda: new.node.engine.counters.snapshot(0, 0)["requests"]["read"]["served"] == 1
                )
                assert client.recv(65536).startswith(b"HTTP/1.1 200 ")
                assert len(upstream.got) == 1

    run(test())


def test_an_upgrade_does_not_cut_off_a_long_answer(tmp_path: Path) -> None:
    async def test() -> None:
        release, body = asyncio.Event(), bytes(200_000)

        async def reply(request: ReceivedRequest, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body[:100_000])
            await release.wait()
            writer.write(body[100_000:])

        async with processes(tmp_path, FakeServer(reply)) as start:
            old = await start()
            client = await old.connect()
            client.send()
            await client.reader.readuntil(b"\r\n\r\n")
            new = await start()
            await serving(new)
            stopped = asyncio.get_running_loop().create_task(old.node.stop())
            await until(old.node.server.is_handing_over)
            old.node.server._deadline = 0.0  # the deadline has passed
            await until(lambda: not old.node.server.acceptor._is_accepting)
            release.set()
            assert len(await client.reader.readexactly(200_000)) == 200_000
            await stopped

    run(test())


def test_readiness_stays_through_an_upgrade(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = FakeServer(silent)
        async with processes(tmp_path, upstream) as start:
            old = await start()
            busy = await old.connect()
            busy.send()
            await until(lambda: len(upstream.got) == 1)
            new = await start()
            await serving(new)
            stopped = asyncio.get_running_loop().create_task(old.node.stop())
            await until(lambda: old.node.server.is_handing_over())
            assert old.node.server.is_ready() and new.node.server.is_ready()
            stopped.cancel()

    run(test())


def test_cordons_and_a_drain_hold_in_both_wherever_they_are_called(tmp_path: Path) -> None:
    async def test() -> None:
        async with processes(tmp_path, FakeServer(), FakeServer()) as start:
            old = await start()
            await old.call(b"cordon s0")
            await old.call(b"quiesce")
            new = await start()
            await serving(new)
            assert new.node.engine.cordoned() == {"s0"}
            assert not new.node.server.is_ready()
            await new.call(b"uncordon s0")
            await old.call(b"cordon s1")
            assert await new.call(b"resume") == b"OK back to work\n"
            await until(lambda: old.node.engine.cordoned() == new.node.engine.cordoned() == {"s1"})
            await until(lambda: old.node.server.is_ready() and new.node.server.is_ready())

    run(test())


def test_a_drain_that_has_sent_callers_off_goes_on_in_the_new_process(tmp_path: Path) -> None:
    async def test() -> None:
        async with processes(tmp_path, FakeServer()) as start:
            old = await start()
            old.node.server.quiesce_at_once()
            new = await start()
            await serving(new)
            answer = await (await new.connect()).ask()
            assert answer is not None and answer.status == 200 and not answer.reusable

    run(test())


def test_what_the_old_process_has_learned_goes_along(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = FakeServer(silent)
        async with processes(tmp_path, upstream) as start:
            old = await start()
            client = await old.connect()
            client.send()
            await until(lambda: len(upstream.got) == 1)
            module = old.node.engine._balancer
            module._limit.baseline, module._servers["s0"].served = 0.25, 7.0
            new = await start()
            await until(lambda: new.node.engine._balancer._limit.baseline >= 0.25)
            assert new.node.engine._balancer._servers["s0"].served == pytest.approx(7.0, rel=0.1)
            await until(lambda: new.node.engine._balancer._limit.other_process_calls == 1)
            upstream.writers[0].write(OK)
            await until(lambda: new.node.engine._balancer._limit.other_process_calls == 0)

    run(test())


@pytest.mark.parametrize("number", [errno.EAGAIN, errno.ETOOMANYREFS])
def test_a_full_channel_gives_later_and_stays(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async def test() -> None:
        async with processes(tmp_path, FakeServer()) as start:
            old = await start()
            client = await old.connect()
            await answered(client)
            new = await start()
            await serving(new)
            send, attempts = socket.send_fds, 0

            def fail_then_send(*args: Any) -> int:
                nonlocal attempts
                attempts += 1
                if attempts < 4:
                    raise OSError(number, os.strerror(number))
                return send(*args)

            monkeypatch.setattr(socket, "send_fds", fail_then_send)
            await old.node.stop()
            await answered(client)
            assert attempts == 4

    run(test())


def test_a_fault_in_what_was_learned_leaves_the_rest_of_an_upgrade_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with processes(tmp_path, FakeServer()) as start:
            old = await start()
            client = await old.connect()
            await answered(client)
            monkeypatch.setattr(old.node.engine, "learned", lambda: 1 / 0)
            new = await start()
            await serving(new)
            await old.node.stop()
            await answered(client)

    run(test())


def test_long_lists_of_evidence_go_in_parts() -> None:
    evidence = tuple(face.Evidence(f"s{i}", 0.0, 1.0, 2.0, 3.0) for i in range(500))
    learned = face.Learned(0.3, 10.0, 5.0, evidence)
    parts = [json.dumps(part) for part in handover.encode_learned(learned)]
    assert len(parts) == 3 and max(map(len, parts)) < handover.MAX_MESSAGE_BYTES
    back = [handover.decode_learned(json.loads(part)) for part in parts]
    assert tuple(item for part in back for item in part.evidence) == evidence
    assert {part.lowest for part in back} == {0.3}


def test_a_third_process_takes_over_from_the_second(tmp_path: Path) -> None:
    async def test() -> None:
        async with processes(tmp_path, FakeServer()) as start:
            first = await start()
            client = await first.connect()
            await answered(client)
            await first.call(b"cordon s0")
            await first.call(b"uncordon s0")
            for _ in range(2):
                second = await start()
                await serving(second)
                await first.node.stop()
                await answered(client)
                first = second
            assert os.listdir(tmp_path) == ["handover.n0"]

    run(test())


def test_the_old_process_goes_on_when_the_new_one_dies(tmp_path: Path) -> None:
    async def test() -> None:
        async with processes(tmp_path, FakeServer()) as start:
            old = await start()
            new = await start()
            await serving(new)
            await until(lambda: old.node.server.acceptor._is_yielding)
            new.node.server.acceptor.pause()
            new.node.server.acceptor.listener.close()
            new.node.close()
            await until(lambda: old.node.server.acceptor._is_accepting)
            await answered(await old.connect())
            assert old.node.upstreams._open_limit == old.node.upstreams._max_connections

    run(test())


def test_the_new_process_serves_on_when_the_old_one_dies(tmp_path: Path) -> None:
    async def test() -> None:
        async with processes(tmp_path, FakeServer()) as start:
            old = await start()
            await old.connect()
            new = await start()
            old.node.server.acceptor.pause()
            old.node.server.acceptor.listener.close()
            old.node.close()  # without a message, before the new one serves
            await serving(new)
            await answered(await new.connect())
            assert new.node.server.acceptor._peer_connections == 0

    run(test())


@pytest.mark.parametrize("old_process", ["file", "stale", "mute", "noise", "empty"])
def test_without_a_word_from_the_old_process_the_new_one_starts_by_itself(
    tmp_path: Path, old_process: str, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "handover.n0"

    async def test() -> None:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as old:
            if old_process == "file":
                path.write_text("spoilt")
            else:
                old.bind(str(path))
            if old_process in ("mute", "noise", "empty"):
                old.listen(1)
            answering = asyncio.get_running_loop().run_in_executor(None, _respond, old, old_process)
            async with processes(tmp_path, FakeServer()) as start:
                new = await start()
                await serving(new)
                await answered(await new.connect())
            await answering

    run(test())
    lines = [r for r in caplog.records if "starting without it" in r.getMessage()]
    assert len(lines) == 1 and "\n" not in lines[0].getMessage()


def _respond(old: socket.socket, behavior: str) -> None:
    if behavior in ("noise", "empty"):
        line, _ = old.accept()
        line.send({"noise": b"\xff{", "empty": b"{}"}[behavior])
        line.close()


def test_a_message_that_makes_no_sense_ends_neither_process(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with processes(tmp_path, FakeServer()) as start:
            old = await start()
            state = await asyncio.to_thread(handover.request_handover, str(tmp_path / "handover.n0"))
            assert state is not None
            for message in (b"{", b"[]", b'{"cordon": "s0"}', b'{"strange": 1}'):
                state.connection.send(message)
            await until(lambda: sum("invalid message" in r.getMessage() for r in caplog.records) == 3)
            await answered(await old.connect())
            state.connection.close()
            state.listener.close()

    run(test())


def test_without_a_control_address_nothing_is_left_for_a_successor(tmp_path: Path) -> None:
    plain = config.read(config_data([]))
    assert program.handover_socket_path(plain, str(tmp_path)) is None

    async def test() -> None:
        node = Node(plain)
        assert node.control_server is None and node._handover_listener is None
        # No other process can listen on the same address.
        assert not node.server.acceptor.listener.getsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT)
        node.close()
        assert os.listdir(tmp_path) == []

    run(test())


def test_run_started_again_takes_over_under_the_same_address(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([member("s0", "127.0.0.1:9")])))
    env = os.environ | {"EDGE_CONFIG": str(path), "EDGE_CONTROL": "127.0.0.1:0", "TMPDIR": str(tmp_path)}

    def start() -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, "-m", "passpost"], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True
        )

    with start() as old:
        assert old.stderr is not None
        address = next(line for line in old.stderr if "serves on" in line).split()[-1]
        with socket.create_connection(parse_address(address)) as client, start() as new:
            assert new.stderr is not None
            assert next(line for line in new.stderr if "serves on" in line).split()[-1] == address
            next(line for line in new.stderr if "serving beside" in line)
            old.send_signal(signal.SIGTERM)
            assert old.wait() == 0
            client.sendall(b"GET /health/ready HTTP/1.1\r\n\r\n")
            assert client.recv(65536).startswith(b"HTTP/1.1 200 ")
            new.send_signal(signal.SIGTERM)
            assert new.wait() == 0
