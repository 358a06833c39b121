"""Unknown peers and invalid bytes on every port: bounded, logged in one line, without effect on others."""

from __future__ import annotations

import asyncio
import random
import struct
from typing import Any

import pytest

from config.errors import WireError
from consensus import messages as control
from control.node import KINDS
from dissemination import messages as dissemination
from tests.fabric import End
from tests.fabric_callers import Answer, ask, call, configuration
from tests.fabric_scenes import start_fleet, wait_in_force
from tests.fabric_world import BALANCER_PORT, CONTROL_PORT, CTL_PORT, World, play
from transport.http_server import MAX_BODY_BYTES
from transport.wire import MAX_FRAME_BYTES, FrameReader


class Stranger(asyncio.Protocol):
    """A client that sends arbitrary bytes."""

    def __init__(self) -> None:
        self.got, self.lost_at = b"", 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, End)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost_at = asyncio.get_running_loop().time()


async def connect(ip: str, port: int = CONTROL_PORT) -> Stranger:
    _, stranger = await asyncio.get_running_loop().create_connection(Stranger, ip, port)
    found: Stranger = stranger
    return found


def port_of(world: World, name: str) -> int:
    """Return the port on which a machine's process accepts other processes."""
    return CONTROL_PORT if world.machines[name].is_core else BALANCER_PORT


async def assert_fleet_works(world: World, ver: int, base: int) -> None:
    """Assert that a new configuration is accepted and takes effect quickly."""
    assert (await world.operator().put(configuration(ver), base)).status == 200
    await wait_in_force(world, ver, 0.2)


GARBAGE = {
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "zeros": b"\0" * 600,
    "ones": b"\xff" * 600,
    "too long": struct.pack(">IH", MAX_FRAME_BYTES + 1, 101),
    "unknown kind": struct.pack(">IH", 3, 999) + b"abc",
    "a pulse of nothing": struct.pack(">IH", 0, 101),
    "a pulse of too much": struct.pack(">IH", 9, 101) + b"\1" * 9,
    "no utf-8": struct.pack(">IH", 4, 14) + b"\x04\xff\xff\x00",
    "a text of a negative length": struct.pack(">IH", 2, 14) + b"\x03\x00",
    "a text longer than all": struct.pack(">IH", 9, 14) + b"\xfe\xff\xff\xff\xff\xff\xff\xff\x01",
    "a list without an end": struct.pack(">IH", 6, 104) + b"\xfe\xff\xff\xff\x0f\x00",
}


@pytest.mark.parametrize("name", GARBAGE)
@pytest.mark.parametrize("where", ["core-1", "core-3", "edge-1"])
def test_garbage_on_the_port_for_other_processes_ends_that_connection_alone(name: str, where: str) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        lines = len(world.transcript.logs)
        stranger = await connect(world.machines[where].ip, port_of(world, where))
        stranger.transport.write(GARBAGE[name])
        await world.wait_until(lambda: stranger.lost_at, 0.5, "the connection is ended")
        assert len(world.transcript.logs) <= lines + 1
        await world.wait(1.0)
        assert all(m.role._follower.is_fresh() for m in world.edges())
        await assert_fleet_works(world, 6, 5)

    play(scene, edges=2)


def nonsensical_messages() -> list[Any]:
    """Return well-formed messages with nonsensical values."""
    nowhere = {"epoch": 99, "primary": 7, "holders": [8], "members": [None]}
    empty = {"epoch": 2**62, "primary": 0, "holders": [], "members": []}
    member = {"identity": "x", "node": "x", "ip": "10.9.9.9", "port": 1, "ctl": "", "zone": ""}
    document = {"number": -1, "ver": -5, "body": b"\0", "taken": []}
    big = 2**62
    return [
        control.InstallView("x", "", nowhere, None, True),
        control.InstallView("x", "", empty, None, True),
        control.InstallView("x", "", None, None, True),
        control.ViewUpdate("x", "", nowhere, big),
        control.ViewUpdate("x", "", None, big),
        control.WriteRequest("x", "", 1, document),
        control.JoinRequest("x", "", member, 0),
        control.LeaveRequest("x", ""),
        control.WriteAck("x", "", 1, 2, True, 0),
        control.HeartbeatAck("x", "", 1, 10**9, True, 0, 0),
        control.InstallViewAck("x", "", 1, True, 0, None),
        control.Promise("x", "", 1, True, 0, None),
        control.PreVoteResponse("x", "", 1, True, 0, None),
        dissemination.LeaderHeartbeat(big, big, 10**6),
        dissemination.ConfigurationUpdate(big, b"no configuration"),
        dissemination.UpstreamListUpdate(big, big, b"no list"),
        dissemination.MembershipUpdate(big, big, (), ()),
        dissemination.Redirect(("10.9.9.9",)),
        dissemination.PresenceReport("x", (dissemination.PresentBalancer("x", "10.9.9.9", "hall-a"),)),
        dissemination.LoadReport((dissemination.UpstreamLoad("i-1", 2**31 - 1, 2**31 - 1),)),
        dissemination.LoadUpdate(big, big, (dissemination.UpstreamLoad("i-1", -5, -5),)),
        dissemination.FailureReport(
            (
                dissemination.UpstreamFailures("i-1", "", 2**31 - 1, 2**31 - 1),
                dissemination.UpstreamFailures("", "hall-a", -5, -5),
            )
        ),
        dissemination.FailureUpdate(
            big, big, (dissemination.UpstreamFailures("i-1", "hall-z", 2**31 - 1, -5),)
        ),
        dissemination.Hello(-1, b""),
        dissemination.Hello(2**31 - 1, b"x" * 1_000),
        dissemination.UpstreamChange(big, big, b"", b"", b"no list", ("i-1",)),
        dissemination.UpstreamChange(1, big, b"", b"x", b'[{"id": 5}, 7]', ()),
        dissemination.LoadStep(big, big, 0, ("i-1",), (0, -5, -5)),
        dissemination.LoadStep(big, 5, 4, (), (2**40, 1, 1, 7)),
        dissemination.LoadReportStep(big, 0, ("i-1",), (0, 2**62, 2**62)),
        dissemination.LoadReportStep(5, 4, (), (9, 9, 9)),
        dissemination.Attach("", "", "", -1, -1, -1),
    ]


@pytest.mark.parametrize("where", ["core-1", "core-3", "edge-1"])
def test_strange_messages_break_nothing(where: str) -> None:
    """No process of the system sends these; updates to balancers must continue."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        for message in nonsensical_messages():
            stranger = await connect(world.machines[where].ip, port_of(world, where))
            stranger.transport.write(KINDS.encode(message))
            await world.wait(0.02)
            stranger.transport.abort()
        await world.wait(6.0)
        await assert_fleet_works(world, 6, 5)
        assert all(m.plane.ids == ["i-1", "i-2"] for m in world.edges())

    play(scene, edges=2)


def test_sums_too_large_for_a_message_are_no_fault() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        strangers = [await connect(world.machines["core-1"].ip) for _ in range(3)]
        for stranger in strangers:
            load = dissemination.LoadReport((dissemination.UpstreamLoad("i-1", 2**62, 2**62),))
            stranger.transport.write(KINDS.encode(load))
        await world.wait(0.5)
        for stranger in strangers:
            stranger.transport.abort()
        await assert_fleet_works(world, 6, 5)

    play(scene, edges=2)


def test_frames_cut_anywhere_are_the_same_frames() -> None:
    rng = random.Random(1)
    sent = [KINDS.encode(m) for m in nonsensical_messages()]
    stream = b"".join(sent)
    for _ in range(50):
        reader, found, rest = FrameReader(), [], stream
        while rest:
            size = rng.choice([1, 2, 5, 6, 7, rng.randint(1, 300)])
            found += reader.feed(rest[:size])
            rest = rest[size:]
        assert [struct.pack(">IH", len(f.body), f.number) + f.body for f in found] == sent


def test_bytes_that_are_spoilt_are_a_wire_error_or_a_message() -> None:
    """Random bytes in a frame raise nothing but WireError."""
    rng = random.Random(2)
    frames = [KINDS.encode(m) for m in nonsensical_messages()]
    errors = 0
    for _ in range(4000):
        frame = bytearray(rng.choice(frames))
        for _ in range(rng.randint(1, 4)):
            if len(frame) > 6:
                frame[rng.randrange(6, len(frame))] = rng.randrange(256)
        number = struct.unpack_from(">H", frame, 4)[0]
        body = bytes(frame[6 : rng.randint(6, len(frame))] if rng.random() < 0.3 else frame[6:])
        try:
            KINDS.decode(number, body)
        except WireError as error:
            errors += 1
            assert error.remedy
    assert errors > 500


def test_a_peer_that_takes_nothing_loses_its_connection_and_holds_nobody_up() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        ip = world.machines["core-1"].ip
        stranger = await connect(ip)
        stranger.transport.write(KINDS.encode(dissemination.Attach("s", "10.99.0.1", "hall-a", 0, 0, 0)))
        await world.wait(0.1)
        stranger.transport.pause_reading()
        base = 5
        for ver in range(6, 60):
            body = configuration(ver, padding="x" * 100_000)
            assert (await world.operator().put(body, base)).status == 200
            base = ver
            await world.wait(0.1)
        await wait_in_force(world, base)
        held = [e for e in world.network.ends if e.remote[0] == "10.99.0.1" and e.local == (ip, CONTROL_PORT)]
        assert all(e.gone or len(e.buffer) < 8 * 2**20 for e in held)
        assert any(e.gone for e in held)

    play(scene, edges=2)


# ---- the operators' API


async def send_request(
    world: World, raw: bytes, where: str = "core-1", silence_s: float = 8.0
) -> Answer | None:
    return await ask((world.machines[where].ip, CTL_PORT), raw, silence_s)


BAD_CALLS: dict[str, tuple[bytes, int]] = {
    "no http": (b"\0\1\2\3\r\n\r\n", 400),
    "a head too long": (b"GET /api/config HTTP/1.1\r\n" + b"X: " + b"a" * 200_000, 431),
    "many headers": (b"GET /api/config HTTP/1.1\r\n" + b"X: a\r\n" * 40_000, 431),
    "a body that is too long": (call("PUT", "/api/config", b"", Content_Length=str(2**30)), 413),
    "a length that is none": (call("PUT", "/api/config", b"", Content_Length="-5"), 400),
    "two lengths": (b"PUT /api/config HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400),
    "length and chunks": (
        b"PUT /api/config HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "an unknown path": (call("GET", "/elsewhere"), 404),
    "an unknown method": (call("DELETE", "/api/config"), 405),
    "no If-Match": (call("PUT", "/api/config", configuration(6)), 400),
    "an If-Match of words": (call("PUT", "/api/config", configuration(6), If_Match="five"), 400),
    "an If-Match too long": (call("PUT", "/api/config", configuration(6), If_Match="9" * 6000), 400),
    "an If-Match below zero": (call("PUT", "/api/config", configuration(6), If_Match="-1"), 400),
    "a body of zeros": (call("PUT", "/api/config", b"\0" * 100, If_Match="5"), 400),
    "a body too deep": (call("PUT", "/api/config", b"[" * 100_000, If_Match="5"), 400),
    "an upgrade": (
        b"GET /api/config HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        200,  # an upgrade may be ignored
    ),
    "no host at all": (b"GET /api/config HTTP/1.1\r\n\r\n", 200),
    "an old version": (b"GET /api/config HTTP/1.0\r\n\r\n", 200),
    "a query": (call("GET", "/api/config?x=1"), 200),
    "a quoted version": (call("PUT", "/api/config", configuration(6), If_Match='"5"'), 200),
}


@pytest.mark.parametrize("name", BAD_CALLS)
def test_bad_calls_get_an_answer_and_end_nothing_else(name: str) -> None:
    raw, status = BAD_CALLS[name]

    async def scene(world: World) -> None:
        await start_fleet(world)
        answer = await send_request(world, raw)
        assert answer is not None and answer.status == status
        if status >= 400:
            assert b'"error": "' in answer.body and b"\n" not in answer.body
        assert (await world.operator().get()).status == 200
        assert not [line for line in world.transcript.logs if "Traceback" in line]

    play(scene)


def test_a_call_in_pieces_is_the_same_call() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        raw = call("PUT", "/api/config", configuration(6), If_Match="5")
        stranger = await connect(world.machines["core-1"].ip, CTL_PORT)
        for at in range(0, len(raw), 3):
            stranger.transport.write(raw[at : at + 3])
            await world.wait(0.001)
        await world.wait_until(lambda: stranger.got.startswith(b"HTTP/1.1 200"), 1.0)

    play(scene)


def test_a_call_that_is_never_whole_is_given_up() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        since = world.loop.time()
        stranger = await connect(world.machines["core-1"].ip, CTL_PORT)
        stranger.transport.write(b"PUT /api/config HTTP/1.1\r\nContent-Length: 100\r\n\r\n")
        for _ in range(100):
            await world.wait(0.1)
            stranger.transport.write(b"x")
            if stranger.lost_at:
                break
        assert 4.0 < stranger.lost_at - since < 6.0

    play(scene)


def test_a_second_call_that_is_never_whole_is_given_up_too() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        since = world.loop.time()
        stranger = await connect(world.machines["core-1"].ip, CTL_PORT)
        stranger.transport.write(call("GET", "/api/config") + b"GET /api/con")
        await world.wait_until(lambda: stranger.lost_at, 7.0, "the second call is given up")
        assert stranger.got.startswith(b"HTTP/1.1 200") and stranger.lost_at - since > 4.0

    play(scene)


def test_calls_behind_each_other_are_answered_in_order() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        stranger = await connect(world.machines["core-1"].ip, CTL_PORT)
        stranger.transport.write(
            call("GET", "/one")
            + call("PUT", "/api/config", configuration(6), If_Match="5")
            + call("GET", "/api/config")
            + call("DELETE", "/api/config")
        )
        await world.wait(0.5)
        statuses = [int(part[:3]) for part in stranger.got.split(b"HTTP/1.1 ")[1:]]
        assert statuses == [404, 200, 200, 405]
        assert configuration(6) in stranger.got

    play(scene)


def test_calls_that_come_faster_than_they_are_answered_are_bounded() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        stranger = await connect(world.machines["core-1"].ip, CTL_PORT)
        for _ in range(400):
            stranger.transport.write(call("PUT", "/api/config", b"x" * 60_000, If_Match="5"))
            await world.wait(0.0005)
        callers = world.node("core-1")._http_server._open
        held = sum(len(c._body) + sum(len(one.body) for one, _ in c._queue) for c in callers)
        assert held <= 32 * 2**20
        assert all(len(c._queue) <= 64 for c in callers)
        await world.wait(5.0)
        assert (await world.operator().get()).status == 200

    play(scene)


def test_a_caller_who_leaves_costs_nothing() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        for number in range(20):
            stranger = await connect(world.machines["core-1"].ip, CTL_PORT)
            stranger.transport.write(
                call("PUT", "/api/config", configuration(6 + number), If_Match=str(5 + number))
            )
            await world.wait(0.0012)
            stranger.transport.abort()
            await world.wait(0.1)
        assert (await world.operator().get()).body == configuration(25)
        await world.wait(0.1)
        assert not world.node("core-1")._http_server._open and not world.node("core-1")._pending_commands

    play(scene)


def test_the_largest_configuration_that_is_taken_is_kept_and_told() -> None:
    """A body at the limit fits every frame and record; a larger one gets status 413."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        empty = len(configuration(6, padding=""))
        body = configuration(6, padding="x" * (MAX_BODY_BYTES - empty))
        assert len(body) == MAX_BODY_BYTES
        answer = await send_request(world, call("PUT", "/api/config", body, If_Match="5"), silence_s=10.0)
        assert answer is not None and answer.status == 200
        await wait_in_force(world, 6)
        world.kill("core-1", "core-2", "core-3")
        world.boot("core-1", "core-2", "core-3")
        await world.wait(1.0)
        read = await send_request(world, call("GET", "/api/config"), world.primary(), 10.0)
        assert read is not None and read.body == body
        more = configuration(7, padding="x" * (MAX_BODY_BYTES - empty + 1))
        answer = await send_request(
            world, call("PUT", "/api/config", more, If_Match="6"), world.primary(), 10.0
        )
        assert answer is not None and answer.status == 413
        await assert_fleet_works(world, 8, 6)

    play(scene, edges=2)
