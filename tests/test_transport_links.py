"""Connections between processes: opened on demand, replaced when dead, and bounded in number and queue."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from dissemination import messages
from dissemination.messages import LeaderHeartbeat, Redirect
from mastturn.standins.ports import free_port
from tests.fabric import Process
from tests.fabric_world import World, play
from transport.endpoint import Endpoint
from transport.links import (
    CLOSE_AFTER_SILENT_S,
    CONNECT_STAGGER_S,
    CONNECT_TIMEOUT_S,
    MAX_QUEUED_FRAMES,
    USER_TIMEOUT_MS,
    Links,
    set_socket_options,
)
from transport.wire import Link, MessageKinds

KINDS = MessageKinds().include(messages.KINDS)
PORT = 7720


@dataclass
class Peer:
    """A process that only has links."""

    process: Process
    received: list[Any] = field(default_factory=list)
    closed: list[Link] = field(default_factory=list)
    links: Links = field(init=False)

    def __post_init__(self) -> None:
        own = Endpoint(self.process.ip, PORT)
        self.links = Links(KINDS, own, lambda link, m: self.received.append(m), self.closed.append)

    def run(self, call: Callable[[], Any]) -> Any:
        """Run a function as this process."""
        return self.process.context.copy().run(call)

    def send(self, peer: Peer, number: int) -> None:
        self.run(lambda: self.links.send(peer.own(), LeaderHeartbeat(1, number, 0)))

    def own(self) -> Endpoint:
        return Endpoint(self.process.ip, PORT)

    def numbers(self) -> list[int]:
        return [m.number for m in self.received]

    def links_to(self, peer: Peer) -> list[Link]:
        return self.links._by_endpoint.get(peer.own(), [])


async def peer(world: World, ip: str) -> Peer:
    found = Peer(Process(world.network, ip, ip))
    await world.loop.create_task(found.links.start(), context=found.process.context)
    return found


def run_scenario(scenario: Callable[[World, Peer, Peer], Awaitable[None]]) -> World:
    async def scene(world: World) -> None:
        await scenario(world, await peer(world, "10.1.0.1"), await peer(world, "10.2.0.1"))

    return play(scene, starts=False)


def test_messages_to_a_new_peer_wait_for_its_connection() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        for number in range(3):
            a.send(b, number)
        await world.wait(0.01)
        assert b.numbers() == [0, 1, 2]
        assert len(a.links_to(b)) == len(b.links_to(a)) == 1
        b.send(a, 7)  # over the same connection
        await world.wait(0.01)
        assert a.numbers() == [7] and len(b.links_to(a)) == 1

    run_scenario(scenario)


def test_what_waits_for_a_connection_is_bounded_and_given_up_with_it() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        world.network.off.add(b.process.ip)
        for number in range(500):
            a.send(b, number)
        assert len(a.links._dialing[b.own()]) == MAX_QUEUED_FRAMES
        await world.wait(CONNECT_TIMEOUT_S + 0.1)
        assert not a.links._dialing and not a.links._tasks
        world.network.off.clear()
        a.send(b, 500)
        await world.wait(0.1)
        assert b.numbers() == [500]

    run_scenario(scenario)


def test_a_peer_that_refuses_is_tried_again_with_the_next_message() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        world.network.refusing.add(b.process.ip)
        a.send(b, 1)
        await world.wait(0.1)
        world.network.refusing.clear()
        a.send(b, 2)
        await world.wait(0.1)
        assert b.numbers() == [2]

    run_scenario(scenario)


def test_a_connection_that_is_dark_is_left_for_a_new_one_and_ended() -> None:
    """The peer's machine vanishes and comes back: the old connection stays silent and gets no reset."""

    async def scenario(world: World, a: Peer, b: Peer) -> None:
        a.send(b, 1)
        await world.wait(0.1)
        (old,) = a.links_to(b)
        world.network.cut([a.process.ip], [b.process.ip])
        await world.wait(1.0)
        for number in range(2, 40):
            a.send(b, number)
            await world.wait(0.1)
        assert not old.is_up() and a.closed.count(old) == 1
        world.network.heal()
        await world.wait(1.0)
        for number in range(100, 110):
            a.send(b, number)
            await world.wait(0.1)
        assert b.numbers()[-1] == 109
        assert [n for n in b.numbers() if n >= 100] == sorted(set(n for n in b.numbers() if n >= 100))
        assert len(a.links_to(b)) <= 2

    run_scenario(scenario)


def test_connections_to_a_frozen_peer_do_not_pile_up() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        a.send(b, 1)
        await world.wait(0.1)
        b.process.freeze()
        max_count = 0
        for number in range(300):
            a.send(b, number)
            await world.wait(0.1)
            max_count = max(max_count, len(a.links_to(b)))
        assert max_count <= CLOSE_AFTER_SILENT_S / 0.8 + 2
        b.process.thaw()
        await world.wait(CLOSE_AFTER_SILENT_S)
        b.received.clear()
        a.send(b, 999)
        await world.wait(0.1)
        assert b.numbers()[-1] == 999

    run_scenario(scenario)


def test_both_sides_may_dial_at_once() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        a.send(b, 1)
        b.send(a, 2)
        await world.wait(0.1)
        for number in range(10, 20):
            a.send(b, number)
            b.send(a, number)
            await world.wait(0.02)
        assert b.numbers() == [1, *range(10, 20)] and a.numbers() == [2, *range(10, 20)]
        assert len(a.links_to(b)) == len(b.links_to(a)) == 2

    run_scenario(scenario)


def test_a_reset_is_told_once_and_the_next_message_goes_by_a_new_connection() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        a.send(b, 1)
        await world.wait(0.1)
        world.network.reset(a.process.ip, b.process.ip)
        await world.wait(0.1)
        assert len(a.closed) == len(b.closed) == 1 and not a.links_to(b) and not b.links_to(a)
        a.send(b, 2)
        await world.wait(0.1)
        assert b.numbers() == [1, 2]

    run_scenario(scenario)


def test_a_stop_ends_all_and_nothing_comes_up_behind_it() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        a.send(b, 1)
        await world.wait(0.1)
        world.network.refusing.add("10.3.0.1")
        c = await peer(world, "10.4.0.1")
        a.send(c, 1)  # is being dialled
        a.run(a.links.stop)
        await world.wait(1.0)
        assert not a.links_to(b) and not a.links_to(c) and not b.links_to(a) and not c.links_to(a)
        a.send(b, 2)
        await world.wait(1.0)
        assert b.numbers() == [1]

    run_scenario(scenario)


def test_an_address_that_is_taken_is_an_oserror() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        with pytest.raises(OSError, match="in use"):
            await world.loop.create_task(
                Links(KINDS, Endpoint("10.1.0.1", PORT), lambda link, m: None, lambda link: None).start()
            )

    run_scenario(scenario)


def test_frames_of_any_size_come_whole_and_in_order() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        sizes = [0, 1, 10, 5_000, 70_000, 300_000, 3]
        for size in sizes:
            moved = Redirect(("x" * size,))
            a.run(lambda m=moved: a.links.send(b.own(), m))  # type: ignore[misc]
        await world.wait(1.0)
        assert [len(m.ips[0]) for m in b.received] == sizes

    run_scenario(scenario)


def test_real_sockets_get_their_options() -> None:
    set_socket_options(None)
    with socket.socket() as sock:
        set_socket_options(sock)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == USER_TIMEOUT_MS


def test_uvloops_sockets_get_them_too() -> None:
    import uvloop

    async def scenario() -> None:
        ended = asyncio.Event()
        received: list[Any] = []
        port = free_port()
        own = Endpoint("127.0.0.1", port)
        links = Links(KINDS, own, lambda link, m: received.append(m), lambda link: ended.set())
        await links.start()
        link = await links.dial(own)
        assert link is not None and link.peer == "127.0.0.1"
        sock = link.socket()
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == USER_TIMEOUT_MS
        links.stop()
        async with asyncio.timeout(2):
            await ended.wait()

    uvloop.run(scenario())


@pytest.mark.parametrize("fault", ["off", "refusing"])
def test_the_next_is_dialled_where_the_first_does_not_take_us_in(fault: str) -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        getattr(world.network, fault).add("10.9.9.9")
        since = world.loop.time()
        reached = await world.loop.create_task(
            a.links.dial_any([Endpoint("10.9.9.9", PORT), b.own()]), context=a.process.context
        )
        assert reached is not None and reached[0] == b.own() and reached[1].is_up()
        assert world.loop.time() - since < (CONNECT_STAGGER_S if fault == "off" else 0.0) + 0.02
        await world.wait(CONNECT_TIMEOUT_S)
        assert len(a.links_to(b)) == 1

    run_scenario(scenario)


def test_of_several_that_take_us_in_one_is_left_and_without_any_there_is_none() -> None:
    async def scenario(world: World, a: Peer, b: Peer) -> None:
        world.network.delay_s = 0.08  # the second is dialled before the first is connected
        dialled = a.links.dial_any([b.own(), b.own()])
        reached = await world.loop.create_task(dialled, context=a.process.context)
        assert reached is not None
        await world.wait(CONNECT_TIMEOUT_S)
        assert reached[1].is_up() and len(a.links_to(b)) == 1
        world.network.off.add(b.process.ip)
        dialled = a.links.dial_any([b.own(), Endpoint("10.9.9.9", PORT)])
        assert await world.loop.create_task(dialled, context=a.process.context) is None
        assert await a.links.dial_any([]) is None

    run_scenario(scenario)


def test_callers_on_one_machine_are_told_apart_once_they_are_identified() -> None:
    """Two processes connect from one IP: messages to one of them must never reach the other."""

    async def scenario(world: World, a: Peer, b: Peer) -> None:
        callers = [Process(world.network, f"caller-{n}", "10.3.0.1") for n in range(2)]
        received: list[list[Any]] = [[], []]
        senders: list[Link] = []
        own = Endpoint("10.4.0.1", PORT)
        listener = Process(world.network, "listener", own.ip)
        links = Links(
            KINDS, own, lambda link, m: senders.append(link), lambda link: None, peers_share_port=False
        )
        await world.loop.create_task(links.start(), context=listener.context)
        for number, caller in enumerate(callers):
            port = Endpoint(caller.ip, PORT + number)
            theirs = Links(KINDS, port, lambda link, m, n=number: received[n].append(m), lambda link: None)  # type: ignore[misc]
            await world.loop.create_task(theirs.start(), context=caller.context)
            caller.context.copy().run(theirs.send, own, LeaderHeartbeat(1, number, 0))
            await world.wait(0.05)
        first, second = senders
        assert links.find(Endpoint("10.3.0.1", PORT)) is None
        links.identify(first, Endpoint("10.3.0.1", PORT))
        assert links.find(Endpoint("10.3.0.1", PORT)) is first and second.endpoint is None
        listener.context.copy().run(links.send, Endpoint("10.3.0.1", PORT), LeaderHeartbeat(1, 7, 0))
        listener.context.copy().run(links.send, Endpoint("10.3.0.1", PORT + 1), LeaderHeartbeat(1, 8, 0))
        await world.wait(0.05)
        assert [[m.number for m in of] for of in received] == [[7], [8]]

    run_scenario(scenario)
