"""Balancers of one tier on loopback sockets: who finds whom, who is missed, what spoilt words do."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from passpost import config
from passpost.discovery import PATH, Line
from passpost.http1 import Answer
from passpost.peers import MOST_BODY, MOST_CALLERS, Peers
from tests.loopback import balancer, config_data, operated, run, until

HERE = "127.0.0.1"
SPOILT = [
    b"{",
    b"[]",
    json.dumps({"id": "x", "host_port": "1.2.3.4:5", "word": "active", "incarnation": 2**63}).encode(),
    json.dumps({"id": "n" * 10_000, "host_port": "1.2.3.4:5", "word": "active", "incarnation": 1}).encode(),
    json.dumps({"id": "x", "host_port": "nowhere", "word": "active", "incarnation": 1}).encode(),
    json.dumps({"id": "y", "host_port": "1.2.3.4:5", "word": "active", "incarnation": 1}).encode(),
]


def free_ports(count: int) -> list[int]:
    held = [socket.create_server((HERE, 0)) for _ in range(count)]
    ports: list[int] = [item.getsockname()[1] for item in held]
    for item in held:
        item.close()
    return ports


class Tier:
    """Some balancers' membership, each on a port that outlasts it."""

    def __init__(self, count: int, fleet: str = "shop", seeds: int = 1) -> None:
        self.ports = free_ports(count)
        self.names = [f"n{i}" for i in range(count)]
        self.fleet, self._seeds = fleet, tuple((HERE, port) for port in self.ports[:seeds])
        self.running: dict[str, Peers] = {}
        self.numbers: dict[str, int] = {}

    def start(self, name: str) -> Peers:
        port = self.ports[self.names.index(name)]
        options = config.Peers(self.fleet, (HERE, port), self._seeds, zone="z", version="7")
        tell: Callable[[int], None] = lambda count: self.numbers.__setitem__(name, count)  # noqa: E731
        self.running[name] = Peers(name, options, 1, 1, tell)
        self.running[name].start()
        return self.running[name]

    def stop(self, name: str) -> None:
        self.running.pop(name).stop()

    def states(self, at: str) -> dict[str, str]:
        return {row["name"]: row["state"] for row in self.running[at].table()}

    async def until_all(self, state: str = "present") -> None:
        wanted = dict.fromkeys(self.running, state)
        await until(lambda: all(self.states(name) | wanted == self.states(name) for name in self.running))

    async def ask(self, name: str, target: str, method: str = "GET", body: bytes = b"") -> Answer:
        line = Line((HERE, self.ports[self.names.index(name)]))
        try:
            return await line.get(target, method, body)
        finally:
            line.hang_up()


@asynccontextmanager
async def tier(count: int, **more: Any) -> AsyncIterator[Tier]:
    found = Tier(count, **more)
    try:
        for name in found.names:
            found.start(name)
        await found.until_all()
        yield found
    finally:
        for name in list(found.running):
            found.stop(name)


def test_balancers_find_each_other_from_one_seed_and_count_each_other() -> None:
    async def test() -> None:
        async with tier(5) as found:
            await until(lambda: found.numbers == dict.fromkeys(found.names, 5))
            (row, *_) = found.running["n3"].table()
            assert row["zone"] == "z" and row["version"] == "7" and row["accusers"] == {}

    run(test())


def test_one_that_dies_is_failed_by_the_word_of_two_and_present_again_when_it_returns(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")

    async def test() -> None:
        async with tier(4) as found:
            found.stop("n2")
            await until(lambda: all(found.states(name)["n2"] == "failed" for name in found.running))
            found.start("n2")
            await found.until_all()

    run(test())
    lines = [text for text in caplog.messages if text.startswith("membership: n2 is failed by the word of ")]
    assert any(", " in line for line in lines)


def test_seeds_that_are_down_at_the_start_are_found_later() -> None:
    async def test() -> None:
        found = Tier(3)
        for name in ("n1", "n2"):
            found.start(name)
        await asyncio.sleep(0)
        found.start("n0")  # the seed comes last
        await found.until_all()
        for name in list(found.running):
            found.stop(name)

    run(test())


def test_leaving_is_told_in_under_a_second_and_is_no_failure(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")

    async def test() -> None:
        async with tier(4) as found:
            async with asyncio.timeout(1.0):
                found.running["n1"].leave()
                await until(lambda: all(found.states(n)["n1"] == "left" for n in ("n0", "n2", "n3")))
                await until(lambda: all(found.numbers[n] == 3 for n in ("n0", "n2", "n3")))
            found.running["n1"].come_back()
            await found.until_all()

    run(test())
    assert not any("failed" in text for text in caplog.messages)


def test_spoilt_words_are_answered_with_one_line_and_change_nothing() -> None:
    async def test() -> None:
        async with tier(2) as found:
            before = found.running["n0"].table()
            for body in SPOILT:
                answer = await found.ask("n0", f"{PATH}/x?list=members.shop", "PUT", body)
                assert answer.status == 400 and answer.body.count(b"\n") == 1
            for target, status in (
                (f"{PATH}?list=members.shop&after=x", 400),
                (f"{PATH}?list=members.bank", 404),
                (f"{PATH}", 404),
                ("/elsewhere?list=members.shop", 404),
                ("/health/live", 200),
            ):
                assert (await found.ask("n0", target)).status == status
            with pytest.raises((EOFError, OSError)):
                await found.ask("n0", f"{PATH}/x?list=members.shop", "PUT", b"x" * 4 * MOST_BODY)
            after = found.running["n0"].table()
            assert [row["name"] for row in after] == [row["name"] for row in before]

    run(test())


def test_a_stranger_that_is_written_in_is_not_listed_unless_it_answers_there() -> None:
    async def test() -> None:
        async with tier(2) as found:
            await until(lambda: found.numbers.get("n0") == 2)
            stranger = {"id": "x", "host_port": "127.0.0.1:1", "word": "active", "incarnation": 1}
            body = json.dumps(stranger | {"list": "members.shop"}).encode()
            assert (await found.ask("n0", f"{PATH}/x?list=members.shop", "PUT", body)).status == 200
            gone = stranger | {"list": "members.shop", "id": "n1", "word": "leaving", "incarnation": 2**52}
            body = json.dumps(gone | {"host_port": f"{HERE}:{found.ports[1]}"}).encode()
            assert (await found.ask("n0", f"{PATH}/n1?list=members.shop", "PUT", body)).status == 200
            await until(
                lambda: not found.running["n0"]._core._asking.keys() - found.running["n0"]._lines.keys()
            )
            await found.ask("n0", "/health/live")
            assert found.states("n0") == {"n0": "present", "n1": "present"}  # n1 says otherwise itself

    run(test())


def test_two_fleets_that_share_an_address_do_not_merge() -> None:
    async def test() -> None:
        async with tier(2) as ours:
            theirs = Tier(1, fleet="bank")
            theirs._seeds = ((HERE, ours.ports[0]),)
            theirs.start("n0")
            await until(lambda: theirs.running["n0"]._server is not None)
            await asyncio.sleep(0)
            assert (await ours.ask("n0", f"{PATH}?list=members.bank")).status == 404
            assert theirs.states("n0") == {"n0": "present"}
            theirs.stop("n0")

    run(test())


def test_a_later_process_of_the_same_name_waits_for_the_address_and_takes_its_place() -> None:
    async def test() -> None:
        async with tier(3) as found:
            old = found.running["n1"]
            await asyncio.sleep(0.002)  # a later start in ms
            new = found.start("n1")
            await until(lambda: found.states("n0")["n1"] != "failed")
            assert new._server is None
            old.stop()
            await until(lambda: new._server is not None)
            await found.until_all()
            own = new._core.view.own.incarnation
            await until(
                lambda: any(
                    row["incarnation"] == own for row in found.running["n0"].table() if row["name"] == "n1"
                )
            )

    run(test())


def test_connections_that_say_nothing_give_way_and_the_others_are_answered() -> None:
    async def test() -> None:
        async with tier(2) as found:
            held = [await asyncio.open_connection(HERE, found.ports[0]) for _ in range(MOST_CALLERS + 8)]
            assert (await found.ask("n0", "/health/live")).status == 200
            await found.until_all()
            for _, writer in held:
                writer.close()

    run(test())


def test_a_balancer_goes_by_the_number_and_shows_its_members_at_the_door() -> None:
    async def test() -> None:
        ports = free_ports(2)

        def peers(index: int) -> Callable[[dict[str, Any]], None]:
            def change(data: dict[str, Any]) -> None:
                operated(data)
                data["name"] = f"n{index}"
                seeds = [f"{HERE}:{ports[0]}"]
                data["peers"] = {"fleet": "shop", "listen": f"{HERE}:{ports[index]}", "seeds": seeds}

            return change

        async with balancer(change=peers(0)) as one, balancer(change=peers(1)) as two:
            room = one.node.engine._balancer._room
            await until(lambda: room.balancers == 2)
            answer = await one.call(b"members")
            assert answer.endswith(b"\nEND\n")
            assert {row["name"]: row["state"] for row in json.loads(answer[:-5])} == {
                "n0": "present", "n1": "present",
            }  # fmt: skip
            assert (await one.figures())["members"] == {"balancers": 2, "doubts": False, "superseded": False}
            assert await two.call(b"quiesce") == b"OK draining\n"
            await until(lambda: room.balancers == 1)
            assert await two.call(b"resume") == b"OK back to work\n"
            await until(lambda: room.balancers == 2)
        async with balancer(change=operated) as alone:
            assert await alone.call(b"members") == b"ERR the configuration has no peers\n"

    run(test())


def test_without_peers_nothing_of_membership_is_imported(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([])))
    script = (
        "import asyncio, sys; from passpost import config; from passpost.__main__ import Node\n"
        f"async def main(): Node(config.load({str(path)!r})).close()\n"
        "asyncio.run(main())\n"
        "print([m for m in sys.modules if m.startswith(('fleet', 'passpost.peers', 'passpost.entries'))])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert done.stdout == "[]\n", done.stderr


@pytest.mark.parametrize(
    "value",
    [{"fleet": "a"}, {"listen": "127.0.0.1:1"}, {"fleet": "a", "listen": "home:1"}, "yes"],
)
def test_peers_that_are_none_are_refused(value: Any, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([]) | {"peers": value}))
    with pytest.raises(config.ConfigError):
        config.load(str(path))
