"""Discovery over loopback sockets, and the updates that the policy gets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from passpost import discovery as module
from passpost.discovery import Discovery, parse_address, parse_listing
from passpost.http1 import Address
from tests.loopback import (
    FakeServer,
    ReceivedRequest,
    Writer,
    answer_json,
    balancer,
    listing,
    member,
    run,
    until,
)
from umberworks.interface import ListKind, ListUpdate, Readiness

SAVED = listing(1, member("a", "127.0.0.1:1001"), member("b", "127.0.0.1:1002"))


class ScriptedReplies:
    """Answers call by call; the last watch is never answered."""

    def __init__(self, *replies: bytes) -> None:
        self.replies = list(replies)

    async def __call__(self, request: ReceivedRequest, writer: Writer) -> None:
        if self.replies:
            writer.write(self.replies.pop(0))


class RecordedUpdates:
    """The updates that a discovery has reported."""

    def __init__(self) -> None:
        self.kinds: list[ListKind] = []
        self.updates: list[ListUpdate] = []
        self.addresses: dict[str, Address] = {}

    def __call__(self, update: ListUpdate, addresses: dict[str, Address]) -> None:
        self.kinds.append(update.kind)
        self.updates.append(update)
        self.addresses = addresses


@asynccontextmanager
async def following(*replies: bytes) -> AsyncIterator[tuple[FakeServer, Discovery, RecordedUpdates]]:
    server, recorded = FakeServer(ScriptedReplies(*replies)), RecordedUpdates()
    await server.start()
    discovery = Discovery(parse_address(server.host_port), parse_listing(SAVED))
    discovery.start(recorded)
    discovery.subscribe()
    try:
        yield server, discovery, recorded
    finally:
        discovery.stop()
        server.stop()


def test_changes_whole_lists_and_what_has_left() -> None:
    async def test() -> None:
        replies = (
            listing(1, complete=False),
            listing(4, member("b", "127.0.0.1:2002"), member("c", "127.0.0.1:1003"), complete=False),
            listing(5, member("a", "", "left"), member("c", "127.0.0.1:1003", "leaving"), complete=False),
            listing(9, member("d", "127.0.0.1:1004")),
        )
        async with following(*map(answer_json, replies)) as (server, _, recorded):
            await until(lambda: len(server.got) == 5)
            assert recorded.kinds == [
                ListKind.SAVED,
                ListKind.CHANGES,
                ListKind.CHANGES,
                ListKind.CHANGES,
                ListKind.WHOLE,
            ]
            assert [m.readiness for m in recorded.updates[3].members] == [Readiness.GONE, Readiness.DRAINING]
            assert recorded.addresses == {"d": ("127.0.0.1", 1004)}
            # Each call follows the previous revision, on one connection, and only watches wait.
            watches = [
                f"GET /registry/instances?after={n}&wait_ms={w} HTTP/1.1"
                for n, w in (
                    (1, 0),
                    (1, module.WATCH_WAIT_MS),
                    (4, module.WATCH_WAIT_MS),
                    (5, module.WATCH_WAIT_MS),
                    (9, module.WATCH_WAIT_MS),
                )
            ]
            assert [got.line for got in server.got] == watches
            assert server.connections == 1

    run(test())


def test_an_address_may_change_under_the_same_id() -> None:
    async def test() -> None:
        moved = listing(2, member("a", "127.0.0.1:3001"), complete=False)
        async with following(answer_json(moved)) as (server, _, recorded):
            await until(lambda: len(server.got) == 2)
            assert recorded.addresses == {"a": ("127.0.0.1", 3001), "b": ("127.0.0.1", 1002)}

    run(test())


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
        b"noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}}",
        answer_json([]),
        answer_json({"revision": 2, "complete": True}),
        answer_json(listing(2, member("a", "127.0.0.1:1"), {"id": "b"})),
        answer_json(listing(2, member("a", "nowhere"))),
        answer_json(listing(2, member("a", "127.0.0.1:1", "asleep"))),
        answer_json(listing(2, member("a", "127.0.0.1:1", size=0))),
        answer_json(listing(2, member("a", "127.0.0.1:1", up_since_ms=float("nan")))),
        answer_json(listing(0, complete=False)),
    ],
)
def test_a_bad_answer_counts_as_failed_and_leaves_the_list(reply: bytes) -> None:
    async def test() -> None:
        async with following(reply, answer_json(SAVED)) as (_, discovery, recorded):
            await until(lambda: len(recorded.kinds) == 2)
            assert recorded.kinds == [ListKind.SAVED, ListKind.FAILED]
            assert set(recorded.addresses) == {"a", "b"}
            discovery.subscribe()  # when the policy subscribes again, it works again
            await until(lambda: len(recorded.kinds) == 3)
            assert recorded.kinds[2] is ListKind.WHOLE

    run(test())


def test_silence_ends_in_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "CALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with following() as (server, _, recorded):
            await until(lambda: recorded.kinds == [ListKind.SAVED, ListKind.FAILED])
            await until(lambda: server.closed == server.connections)

    run(test())


def test_a_watch_that_is_lost_is_given_up_before_a_drain_and_its_grace_are_over() -> None:
    # A drain reported more than 6 s late is outdated 2 s later.
    async def test() -> None:
        async with following(answer_json(listing(1, complete=False))) as (server, _, _heard):
            await until(lambda: len(server.got) == 2)
            wait_ms = int(server.got[1].line.split("wait_ms=")[1].split()[0])
            assert 0 < wait_ms / 1000 + module.CALL_TIMEOUT_S <= 6
            # Also if the next watch is lost as well, with all pauses in between.
            assert wait_ms / 1000 + 2 * module.CALL_TIMEOUT_S + module.RETRY_DELAY_S <= 6
            # What the agent learns when it is back is fetched within the shortest grace, 2 s.
            assert module.CALL_TIMEOUT_S + module.RETRY_DELAY_S < 2

    run(test())


def test_a_move_asks_the_new_address_for_the_whole_list_and_ends_the_old_watch() -> None:
    async def test() -> None:
        skipped, new = (
            FakeServer(),
            FakeServer(ScriptedReplies(answer_json(listing(1, member("c", "127.0.0.1:4001"))))),
        )
        await skipped.start()
        await new.start()
        async with following(answer_json(listing(7, complete=False))) as (old, discovery, recorded):
            await until(lambda: len(old.got) == 2)  # the watch has started
            discovery.change_addresses((parse_address(skipped.host_port),))
            discovery.change_addresses((parse_address(new.host_port),))
            assert set(recorded.addresses) == {"a", "b"}  # they are used until the new list has arrived
            await until(lambda: len(new.got) == 2 and old.closed == 1)
            discovery.change_addresses((parse_address(new.host_port),))  # no effect
            assert recorded.kinds == [ListKind.SAVED, ListKind.CHANGES, ListKind.WHOLE]
            assert set(recorded.addresses) == {"c"}
            assert [got.line for got in new.got] == [
                "GET /registry/instances HTTP/1.1",
                f"GET /registry/instances?after=1&wait_ms={module.WATCH_WAIT_MS} HTTP/1.1",
            ]
            assert skipped.got == [] and new.connections == 1
        skipped.stop()
        new.stop()

    run(test())


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_the_list_is_followed_whatever_the_settings_call_it(mode: str) -> None:
    # On sockets nothing is pushed: where the settings say so, the list arrives by a watch.
    def change(data: dict[str, Any]) -> None:
        data["settings"]["discovery"] = mode

    async def test() -> None:
        left, joined = FakeServer(), FakeServer()
        await joined.start()
        update = listing(2, member("s0", "", "left"), member("s1", joined.host_port), complete=False)
        agent = FakeServer(ScriptedReplies(answer_json(update)))
        await agent.start()
        async with balancer(left, discovery=agent.host_port, change=change) as b:
            await until(lambda: len(agent.got) == 2)  # the update has arrived, and the watch has started
            answer = await (await b.connect()).ask()
            assert answer is not None and answer.status == 200
            assert (len(left.got), len(joined.got)) == (0, 1)
        agent.stop()
        joined.stop()

    run(test())


def test_with_discovery_down_at_the_start_the_saved_list_serves() -> None:
    def use_polling(data: dict[str, Any]) -> None:
        data["settings"]["discovery"] = "ask"

    async def test() -> None:
        async with balancer(FakeServer(), change=use_polling) as b:  # discovery is not listening
            await asyncio.sleep(0)
            client = await b.connect()
            for target in ("/health/ready", "/read"):
                answer = await client.ask(target)
                assert answer is not None and answer.status == 200

    run(test())
