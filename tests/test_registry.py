"""The registry on loopback sockets: replicas, agents and balancers with faults between them."""

from __future__ import annotations

import asyncio
import json
import resource
import sqlite3
import subprocess
import sys
import threading
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientSession, ClientTimeout, web

from fleet.registry import replica as core
from fleet.registry.entries import Entry
from fleet.registry.follower import FollowerState
from fleet.registry.history import HistoryState
from mastturn.registry import agent as agents
from mastturn.registry import http, service
from mastturn.registry.committer import Committer
from mastturn.registry.form import PATH, FormError, read_listing
from mastturn.registry.registrant import Registrant
from mastturn.registry.store import Store
from mastturn.standins.ports import free_port
from passpost import config
from tests.loopback import FakeServer, balancer, config_data, run, until

ANY = "127.0.0.1:0"


def put(client: ClientSession, address: str, id_: str, **values: Any) -> Any:
    body = {"host_port": "127.0.0.1:7070"} | values
    return client.put(f"http://{address}{PATH}/{id_}", json=body)


async def read_list(client: ClientSession, address: str, **words: str) -> dict[str, Any]:
    async with client.get(f"http://{address}{PATH}", params=words) as answer:
        assert answer.status == 200, await answer.text()
        found: dict[str, Any] = await answer.json()
        return found


async def ids(client: ClientSession, address: str) -> set[str]:
    return {item["id"] for item in (await read_list(client, address))["members"]}


async def until_ids(client: ClientSession, address: str, wanted: set[str]) -> None:
    while await ids(client, address) != wanted:
        await asyncio.sleep(0.01)


class ReplicaTrio:
    """Three replicas in this process; their addresses stay the same across restarts."""

    def __init__(self, folder: Path, addresses: dict[str, str]) -> None:
        self._folder, self.addresses = folder, addresses
        # (replica, peer): the address at which the replica finds the peer, if not the peer's own.
        self.peer_addresses: dict[tuple[str, str], str] = {}
        self.running: dict[str, service.Service] = {}

    async def start(self, name: str) -> None:
        peers = {n: self.peer_addresses.get((name, n), a) for n, a in self.addresses.items() if n != name}
        options = service.Options(name, self.addresses[name], self._folder / f"{name}.db", peers)
        self.running[name] = service.Service(options)
        await self.running[name].start()

    async def stop(self, name: str) -> None:
        await self.running.pop(name).stop()


@asynccontextmanager
async def running_replicas(folder: Path) -> AsyncIterator[tuple[ReplicaTrio, ClientSession]]:
    addresses = {name: f"127.0.0.1:{free_port()}" for name in "abc"}
    fleet = ReplicaTrio(folder, addresses)
    async with ClientSession(timeout=ClientTimeout(total=15.0)) as client:
        try:
            for name in addresses:
                await fleet.start(name)
            yield fleet, client
        finally:
            for name in list(fleet.running):
                await fleet.stop(name)


def test_a_write_at_one_replica_reaches_readers_of_all_and_a_watch_tells_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            first = await read_list(client, fleet.addresses["c"])
            words = {"after": str(first["revision"]), "wait_ms": "10000"}
            watch = asyncio.create_task(read_list(client, fleet.addresses["c"], **words))
            async with put(client, fleet.addresses["a"], "s-1", locality="z", lease_ms=3_000) as answer:
                assert answer.status == 200 and (await answer.json())["phase"] == "active"
            changes = await watch
            assert not changes["complete"] and changes["revision"] > first["revision"]
            (member,) = changes["members"]
            assert member == {
                "id": "s-1", "host_port": "127.0.0.1:7070", "locality": "z", "flavor": "", "cell": 0,
                "phase": "active", "size": 1.0, "up_since_ms": 0.0,
            }  # fmt: skip
            async with client.delete(f"http://{fleet.addresses['b']}{PATH}/s-1") as answer:
                assert answer.status == 200
            for address in fleet.addresses.values():
                await until_ids(client, address, set())

    run(test())


def test_a_replica_that_is_killed_goes_on_without_telling_anything_twice_or_older(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            for i in range(3):
                async with put(client, fleet.addresses["a"], f"s-{i}") as answer:
                    assert answer.status == 200
            before = await read_list(client, fleet.addresses["a"])
            await fleet.stop("a")
            async with put(client, fleet.addresses["b"], "late") as answer:
                assert answer.status == 200
            await fleet.start("a")
            await until_ids(client, fleet.addresses["a"], {"s-0", "s-1", "s-2", "late"})
            changes = await read_list(
                client, fleet.addresses["a"], after=str(before["revision"]), wait_ms="0"
            )
            assert not changes["complete"] and [m["id"] for m in changes["members"]] == ["late"]
            assert changes["revision"] > before["revision"] and changes["epoch"] > before["epoch"]

    run(test())


def test_a_replica_with_an_old_file_takes_nothing_back_and_loses_no_readers(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            async with put(client, fleet.addresses["a"], "old"):
                pass
            await fleet.stop("a")
            old = (tmp_path / "a.db").read_bytes()
            await fleet.start("a")
            async with (
                put(client, fleet.addresses["a"], "new"),
                client.delete(f"http://{fleet.addresses['a']}{PATH}/old"),
            ):
                pass
            for address in fleet.addresses.values():
                await until_ids(client, address, {"new"})
            last = await read_list(client, fleet.addresses["a"])
            await fleet.stop("a")
            (tmp_path / "a.db").write_bytes(old)
            await fleet.start("a")
            answer = await read_list(client, fleet.addresses["a"], after=str(last["revision"]), wait_ms="0")
            assert answer["complete"] and answer["revision"] > last["revision"]
            for address in fleet.addresses.values():
                await until_ids(client, address, {"new"})

    run(test())


@pytest.mark.parametrize("damage", ["torn", "rows", "noise", "empty"])
def test_a_spoilt_file_is_put_aside_and_the_rest_comes_from_the_peers(tmp_path: Path, damage: str) -> None:
    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            wanted = {f"s-{i}" for i in range(200)}
            for id_ in sorted(wanted):
                async with put(client, fleet.addresses["a"], id_):
                    pass
            for address in fleet.addresses.values():
                await until_ids(client, address, wanted)
            await fleet.stop("a")
            path = tmp_path / "a.db"
            data = path.read_bytes()
            if damage == "torn":
                path.write_bytes(data[: len(data) // 2])
            elif damage == "noise":
                path.write_bytes(b"\xff" * len(data))
            elif damage == "empty":
                path.write_bytes(b"")
            else:
                with sqlite3.connect(path) as connection:
                    connection.execute("UPDATE entries SET body = X'7B7D' WHERE id LIKE 's-1%'")
                connection.close()
            await fleet.start("a")
            assert (tmp_path / "a.db.spoilt-1").exists()
            for address in fleet.addresses.values():
                await until_ids(client, address, wanted)

    run(test())


def test_a_disk_that_is_full_refuses_writes_keeps_reading_and_comes_back(tmp_path: Path) -> None:
    # The file size limit applies to a process, so the replica runs in its own.
    script = f"""
import asyncio, resource, sys
from pathlib import Path
sys.path.insert(0, {str(Path(__file__).parent.parent)!r})
from aiohttp import ClientSession
from mastturn.registry import service
from tests.test_registry import ANY, ids, put
async def main():
    one = service.Service(service.Options("a", ANY, Path({str(tmp_path / "a.db")!r}), {{}}))
    await one.start()
    address = one.place.address
    async with ClientSession() as client:
        async with put(client, address, "first") as answer:
            assert answer.status == 200
        resource.setrlimit(resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        async with put(client, address, "second") as answer:
            assert answer.status == 503 and "not stored" in await answer.text()
        assert "first" in await ids(client, address)
        async with client.get(f"http://{{address}}/metrics") as answer:
            assert "registry_disk_failing 1.0" in await answer.text()
        resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        while one.failing:
            await asyncio.sleep(0.05)
        async with put(client, address, "third") as answer:
            assert answer.status == 200
    await one.stop()
asyncio.run(main())
"""
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    assert resource.getrlimit(resource.RLIMIT_FSIZE)[0] == resource.RLIM_INFINITY
    entries = {entry.id for _, entry in Store(tmp_path / "a.db", "a").open().history.entries}
    assert {"first", "third"} <= entries


def test_what_was_acknowledged_outlives_kill_9_in_the_middle_of_writes(tmp_path: Path) -> None:
    writer = f"""
import sys
from pathlib import Path
from fleet.registry import replica as core
from fleet.registry.entries import Entry
from fleet.registry.follower import FollowerState
from fleet.registry.history import HistoryState
from mastturn.registry.store import Store
store = Store(Path({str(tmp_path / "a.db")!r}), "a")
store.open()
for i in range(10**6):
    store.write([(i, Entry(f"s-{{i}}", "127.0.0.1:1"))], [], HistoryState(i), {{}}, {{}})
    print(i, flush=True)
"""
    for _ in range(3):
        (tmp_path / "a.db").unlink(missing_ok=True)
        with subprocess.Popen([sys.executable, "-c", writer], stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout is not None
            for _ in range(40):
                process.stdout.readline()
            process.kill()
            rest = process.stdout.read().split("\n")
        last = 39 + len([line for line in rest[:-1] if line])
        store = Store(tmp_path / "a.db", "a")
        numbers = {revision for revision, _ in store.open().history.entries}
        store.close()
        assert not store.lost and set(range(last + 1)) <= numbers


BAD: list[tuple[dict[str, Any], str]] = [
    ({"host_port": "nowhere"}, "host_port: allowed is an IP address"),
    ({"host_port": 5}, "host_port: expected `str`"),
    ({"cell": "x"}, "cell: expected `int`"),
    ({"phase": "asleep"}, "phase: allowed is one of active, leaving, left"),
    ({"lease_ms": 10}, "lease_ms: allowed is 0 for none"),
    ({"incarnation": -1}, "incarnation: allowed is a whole number"),
    ({"tier": 3}, "body: object contains unknown field `tier`"),
    ({"id": "other"}, "id: 'other' is not the one in the target"),
    ({"size": 0}, "size: allowed is a finite number above 0"),
]


def test_bad_input_gets_one_line_that_names_the_field_and_nothing_is_stored(tmp_path: Path) -> None:
    async def test() -> None:
        one = service.Service(service.Options("a", ANY, tmp_path / "a.db", {}))
        await one.start()
        address = one.place.address
        async with ClientSession() as client:
            for values, line in BAD:
                async with put(client, address, "s-1", **values) as answer:
                    text = await answer.text()
                    assert answer.status == 400 and text.startswith(line) and text.count("\n") == 1
            for method, target, status in (
                ("PUT", f"{PATH}/s-1", 400),
                ("PUT", f"{PATH}/a%20b", 400),
                ("DELETE", f"{PATH}/s-1", 404),
                ("DELETE", f"{PATH}/s-1?incarnation=x", 400),
                ("POST", f"{PATH}/s-1", 405),
                ("GET", f"{PATH}?after=-1", 400),
                ("GET", f"{PATH}?after=1&after=2", 400),
                ("GET", f"{PATH}?after=1&wait_ms=soon", 400),
                ("GET", f"{PATH}?replica=zoe", 400),
                ("GET", "/elsewhere", 404),
            ):
                async with client.request(method, f"http://{address}{target}") as answer:
                    text = await answer.text()
                    assert answer.status == status and text.strip() and text.count("\n") == 1
            async with client.put(f"http://{address}{PATH}/s-1", data=b"x" * 100_000) as answer:
                assert answer.status == 413
            assert (await read_list(client, address))["members"] == []
        await one.stop()

    run(test())


def detail(id_: str, **more: Any) -> dict[str, Any]:
    return {"id": id_, "host_port": "127.0.0.1:1", "phase": "active"} | more


@pytest.mark.parametrize(
    ("answer", "words"),
    [
        ({"revision": -3, "complete": True, "members": []}, "revision: "),
        ({"revision": 5, "complete": True, "members": [detail("a", host_port="home")]}, "host_port: "),
        ({"revision": 5, "complete": True, "members": [detail("a"), detail("a")]}, "stands there twice"),
        ({"revision": 3, "complete": False, "members": []}, "do not follow on 4"),
        (
            {"revision": 5, "complete": True, "members": [detail(f"s{i}") for i in range(50_000)]},
            "at the most",
        ),
        ({"revision": 5, "complete": True}, "missing required field"),
    ],
)
def test_a_replica_that_lies_is_told_from_a_true_one(answer: dict[str, Any], words: str) -> None:
    with pytest.raises(FormError, match=words):
        read_listing(json.dumps(answer).encode(), 4)


class CuttableLink:
    """A proxy to a server that can drop all data in one direction or both while connections stay open."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.out_cut = self.in_cut = False
        self._tasks = set[asyncio.Task[None]]()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there = await asyncio.open_connection(*self._target)

        async def pass_on(source: asyncio.StreamReader, to: asyncio.StreamWriter, outwards: bool) -> None:
            while data := await source.read(65536):
                if not (self.out_cut if outwards else self.in_cut):
                    to.write(data)
            to.close()

        for work in (pass_on(reader, there[1], True), pass_on(there[0], writer, False)):
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()


async def cut_off(fleet: ReplicaTrio, name: str) -> list[CuttableLink]:
    """Restarts all replicas with cuttable links between one of them and the others."""
    links = []
    for one in list(fleet.running):
        await fleet.stop(one)
    for other in fleet.addresses:
        for source, target in ((name, other), (other, name)) if other != name else ():
            links.append(CuttableLink(fleet.addresses[target]))
            fleet.peer_addresses[source, target] = await links[-1].start()
    for one in fleet.addresses:
        await fleet.start(one)
    return links


def shut(links: list[CuttableLink], cut: bool) -> None:
    for link in links:
        link.out_cut = link.in_cut = cut


def test_replicas_that_were_cut_agree_on_who_was_registered_at_one_and_removed_at_the_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "PEER_WAIT_MS", 100.0)
    monkeypatch.setattr(http, "ANSWER_S", 0.2)

    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            links, places = await cut_off(fleet, "a"), fleet.addresses
            for id_ in ("renewed", "new"):
                async with put(client, places["b"], id_, incarnation=1, lease_ms=60_000):
                    pass
            for place in places.values():
                await until_ids(client, place, {"renewed", "new"})
            shut(links, True)
            for id_ in ("renewed", "new"):
                async with client.delete(f"http://{places['b']}{PATH}/{id_}") as answer:
                    assert answer.status == 200
            # A renewal belongs to the removed incarnation; a higher incarnation is a new process.
            async with put(client, places["a"], "renewed", incarnation=1, lease_ms=60_000) as answer:
                assert answer.status == 200
            async with put(client, places["a"], "new", incarnation=2, host_port="127.0.0.1:7071") as answer:
                assert answer.status == 200
            await until_ids(client, places["c"], set())
            assert await ids(client, places["a"]) == {"renewed", "new"}
            shut(links, False)
            for place in places.values():
                await until_ids(client, place, {"new"})
                (member,) = (await read_list(client, place))["members"]
                assert member["host_port"] == "127.0.0.1:7071"
            for link in links:
                link.stop()

    run(test())


def test_an_upstream_that_restarts_elsewhere_wins_over_its_old_lease_beyond_a_cut(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "PEER_WAIT_MS", 100.0)
    monkeypatch.setattr(http, "ANSWER_S", 0.2)

    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            links, places = await cut_off(fleet, "a"), fleet.addresses
            async with put(client, places["a"], "s-1", incarnation=1, lease_ms=1_500):
                pass
            for place in places.values():
                await until_ids(client, place, {"s-1"})
            shut(links, True)
            # The old process renews at the one side while the new one registers at the other.
            async with put(
                client, places["b"], "s-1", incarnation=2, host_port="127.0.0.1:7071", lease_ms=60_000
            ):
                pass
            async with put(client, places["a"], "s-1", incarnation=1, lease_ms=1_500) as answer:
                assert answer.status == 200
            shut(links, False)
            for place in places.values():
                while [m["host_port"] for m in (await read_list(client, place))["members"]] != [
                    "127.0.0.1:7071"
                ]:
                    await asyncio.sleep(0.01)
            async with put(client, places["a"], "s-1", incarnation=1, lease_ms=1_500) as answer:
                assert answer.status == 409  # the old process learns that it was superseded
            for place in places.values():  # the expiry of the old lease removes nothing
                assert await ids(client, place) == {"s-1"}
            for link in links:
                link.stop()

    run(test())


def test_a_watch_is_answered_at_once_and_its_connection_takes_the_next_question(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            agent = agents.Agent(agents.Options(ANY, tuple(fleet.addresses.values()), seed=1))
            await agent.start()
            words = {
                "after": str((await read_list(client, agent.place.address))["revision"]),
                "wait_ms": "10000",
            }
            received = []
            for i in range(5):  # each answered watch is followed by the next on the same connection
                watch = asyncio.create_task(read_list(client, agent.place.address, **words))
                async with (
                    put(client, fleet.addresses["b"], f"s-{i}"),
                    put(client, fleet.addresses["b"], f"t-{i}"),
                ):
                    pass
                while not (changes := await watch)["members"]:
                    watch = asyncio.create_task(read_list(client, agent.place.address, **words))
                assert not changes["complete"]
                received += [member["id"] for member in changes["members"]]
                words["after"] = str(changes["revision"])
            while len(received) < 10:
                changes = await read_list(client, agent.place.address, **words)
                received += [member["id"] for member in changes["members"]]
                words["after"] = str(changes["revision"])
            assert sorted(received) == sorted(f"{kind}-{i}" for kind in "st" for i in range(5))
            await agent.stop()

    run(test())


def test_an_agent_in_a_one_way_cut_moves_on_and_tells_nothing_older(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleet.registry.follower.WAIT_MS", 100.0)
    monkeypatch.setattr(http, "ANSWER_S", 0.2)

    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            links = [CuttableLink(address) for address in fleet.addresses.values()]
            replicas = tuple([await link.start() for link in links])
            agent = agents.Agent(agents.Options(ANY, replicas, seed=1))
            await agent.start()
            async with put(client, fleet.addresses["a"], "s-1"):
                pass
            await until_ids(client, agent.place.address, {"s-1"})
            before = await read_list(client, agent.place.address)
            at = replicas.index(agent.follower.source)
            links[at].in_cut = True  # requests pass, answers are dropped
            async with put(client, fleet.addresses["b"], "s-2"):
                pass
            await until_ids(client, agent.place.address, {"s-1", "s-2"})
            after = await read_list(client, agent.place.address)
            assert agent.follower.source != replicas[at] and after["revision"] > before["revision"]
            await agent.stop()
            for link in links:
                link.stop()

    run(test())


def test_an_agent_passes_over_a_replica_that_lies(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            async with put(client, fleet.addresses["a"], "s-1"):
                pass
            invalid_bodies = (
                b"{",
                b"[]",
                json.dumps({"revision": -1, "complete": True, "members": []}).encode(),
            )
            for invalid_body in invalid_bodies:
                server = FakeServer(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(invalid_body), invalid_body)
                )
                await server.start()
                for seed in (1, 2):  # with either replica asked first
                    options = agents.Options(ANY, (server.host_port, fleet.addresses["a"]), seed=seed)
                    agent = agents.Agent(options)
                    await agent.start()
                    await until_ids(client, agent.place.address, {"s-1"})
                    assert agent.follower.source == fleet.addresses["a"]
                    await agent.stop()
                server.stop()

    run(test())


def test_an_agent_is_silent_to_watches_while_all_replicas_are_down_and_still_gives_its_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleet.registry.follower.WAIT_MS", 100.0)

    async def test() -> None:
        snapshot = tmp_path / "agent.json"
        async with running_replicas(tmp_path) as (fleet, client):
            async with put(client, fleet.addresses["a"], "s-1"):
                pass
            for address in fleet.addresses.values():
                await until_ids(client, address, {"s-1"})
            options = agents.Options(ANY, tuple(fleet.addresses.values()), snapshot=snapshot, seed=1)
            agent = agents.Agent(options)
            await agent.start()
            await until_ids(client, agent.place.address, {"s-1"})
            revision = (await read_list(client, agent.place.address))["revision"]
            for name in list(fleet.running):
                await fleet.stop(name)
            await until(lambda: agent.follower.is_down)
            words = {"after": str(revision), "wait_ms": "50"}
            watch = asyncio.create_task(read_list(client, agent.place.address, **words))
            assert await ids(client, agent.place.address) == {"s-1"}
            await agent.stop()
            again = agents.Agent(options)  # a new process, with all replicas still down
            await again.start()
            answer = await read_list(client, again.place.address)
            assert [m["id"] for m in answer["members"]] == ["s-1"] and answer["revision"] > revision
            watch.cancel()
            await fleet.start("b")
            await until(lambda: not again.follower.is_down and again.follower.last_response_at is not None)
            await again.stop()

    run(test())


def test_a_spoilt_snapshot_of_an_agent_is_left_out(tmp_path: Path) -> None:
    path = tmp_path / "agent.json"
    assert not agents.read_snapshot(path, "").history.entries
    path.write_bytes(b'{"format":1,"list":')
    assert not agents.read_snapshot(path, "").history.entries
    state = FollowerState(HistoryState(16, 0, (), ((16, Entry("x", "127.0.0.1:1")),)), {"a": 3})
    agents.write_snapshot(path, "", state)
    assert agents.read_snapshot(path, "") == state
    assert not agents.read_snapshot(path, "kitchen").history.entries


def test_a_reader_that_takes_no_answer_is_dropped_and_costs_the_others_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http, "WRITE_S", 0.1)
    dropped = asyncio.Event()

    async def big(request: web.Request) -> web.StreamResponse:
        try:
            return await http.send(request, b"x" * 32_000_000)
        finally:
            dropped.set()

    async def quick(request: web.Request) -> web.StreamResponse:
        return await http.send(request, b"{}")

    async def test() -> None:
        place = http.Place(ANY, [web.get("/big", big), web.get("/quick", quick)])
        await place.start()
        host, _, port = place.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(b"GET /big HTTP/1.1\r\nHost: x\r\n\r\n")  # and never reads the answer
        async with ClientSession() as client, client.get(f"http://{place.address}/quick") as answer:
            assert answer.status == 200
        await dropped.wait()
        with pytest.raises(ConnectionResetError):
            while await reader.read(65536):
                pass
            raise ConnectionResetError  # an orderly close before the full body is accepted too
        writer.close()
        await place.stop()

    run(test())


def test_a_registrant_moves_to_the_next_replica_and_its_lease_moves_with_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            answers: list[Any] = []
            values = {"host_port": "127.0.0.1:9", "incarnation": 1, "lease_ms": 600.0}
            held = Registrant(list(fleet.addresses.values()), "s-1", values, heard=answers.append)
            held.start()
            await until(lambda: bool(answers))
            first = answers[0]["replica"]
            await fleet.stop(first)
            await until(lambda: answers[-1]["replica"] != first)
            second = answers[-1]["replica"]
            history = fleet.running[second].replica.history

            def holds() -> bool:
                """True after the next renewal at the latest; the instance stays active meanwhile."""
                entry = history.get(("", "s-1"))
                assert entry is not None and entry.phase == "active"
                return bool(entry.holder == second)

            await until(holds)
            await held.stop()
            await until_ids(client, fleet.addresses[second], set())

    run(test())


# ---- a balancer with several addresses -------------------------------------------------------------


def test_a_balancer_with_several_addresses_serves_on_when_one_after_another_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleet.registry.follower.WAIT_MS", 100.0)

    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            joined = FakeServer()
            await joined.start()
            places = list(fleet.addresses.values())

            def change(data: dict[str, Any]) -> None:
                data["discovery"], data["control"] = places, ANY

            async with balancer(FakeServer(), change=change) as b:
                answer = await (await b.connect()).ask()
                assert answer is not None and answer.status == 200  # from the configured list
                assert (await b.figures())["list"]["source"] in ("", *places)
                async with put(client, places[0], "new", host_port=joined.host_port):
                    pass
                while (await b.figures())["upstreams_known"] != 1 or not b.node.discovery.contains("new"):
                    await asyncio.sleep(0.01)
                source = (await b.figures())["list"]["source"]
                name = next(n for n, a in fleet.addresses.items() if a == source)
                await fleet.stop(name)
                while (await b.figures())["list"]["source"] == source:
                    await asyncio.sleep(0.01)
                for _ in range(3):
                    answer = await (await b.connect()).ask()
                    assert answer is not None and answer.status == 200
                assert len(joined.got) == 3
                for other in list(fleet.running):
                    await fleet.stop(other)
                answer = await (await b.connect()).ask()
                assert answer is not None and answer.status == 200
            joined.stop()

    run(test())


@pytest.mark.parametrize("known", [True, False])
def test_a_balancer_that_starts_while_all_replicas_are_down_serves_by_what_it_knows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, known: bool
) -> None:
    monkeypatch.setattr("fleet.registry.follower.WAIT_MS", 100.0)

    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            places = list(fleet.addresses.values())
            for name in list(fleet.running):
                await fleet.stop(name)

            def change(data: dict[str, Any]) -> None:
                data["discovery"] = places
                if not known:
                    del data["known"]

            upstream = FakeServer()
            async with balancer(upstream, change=change) as b:
                answer = await (await b.connect()).ask()
                assert answer is not None and answer.status == (200 if known else 503)
                await fleet.start("b")
                async with put(client, fleet.addresses["b"], "s0", host_port=upstream.host_port):
                    pass
                while answer is None or answer.status != 200:
                    answer = await (await b.connect()).ask()

    run(test())


def test_a_storm_of_agents_that_come_back_together_is_spread_and_ends_with_equal_lists(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleet.registry.follower.WAIT_MS", 200.0)
    monkeypatch.setattr("fleet.registry.follower.MAX_BACKOFF_MS", 1_000.0)

    async def test() -> None:
        async with running_replicas(tmp_path) as (fleet, client):
            async with put(client, fleet.addresses["a"], "s-1"):
                pass
            places = tuple(fleet.addresses.values())
            found = [agents.Agent(agents.Options(ANY, places, seed=i)) for i in range(200)]
            for agent in found:
                await agent.start()
            await until(lambda: all(agent.follower.last_response_at is not None for agent in found))
            for name in list(fleet.running):
                await fleet.stop(name)
            await until(lambda: all(agent.follower.is_down for agent in found))
            assert all(len(agent.follower.history) == 1 for agent in found)
            for name in fleet.addresses:
                await fleet.start(name)
            async with put(client, fleet.addresses["b"], "s-2"):
                pass
            await until(lambda: all(len(agent.follower.history) == 2 for agent in found))
            asked = sum(one.answers for one in fleet.running.values())
            assert asked < 20 * len(found)  # a few lists and watches per agent, no retry storm
            await asyncio.gather(*(agent.stop() for agent in found))

    run(test())


def test_with_one_address_nothing_of_the_list_service_is_imported(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([])))
    script = (
        "import asyncio, sys; from passpost import config; from passpost.__main__ import Node\n"
        f"async def main(): Node(config.load({str(path)!r})).close()\n"
        "asyncio.run(main())\n"
        "print([m for m in sys.modules if m.startswith(('fleet', 'aiohttp', 'msgspec'))])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert done.stdout == "[]\n", done.stderr


@pytest.mark.parametrize("value", [[], "", "127.0.0.1:1,127.0.0.1:1", ["nowhere"], [5]])
def test_addresses_that_are_none_are_refused(value: Any) -> None:
    with pytest.raises((ValueError, TypeError)):
        config.read(config_data([]) | {"discovery": value})


class SlowDisk(Store):
    """A store whose commits block until `may_write` is set."""

    may_write = threading.Event()

    def write(self, *rows: Any) -> None:
        self.may_write.wait(5.0)
        super().write(*rows)


@pytest.fixture
def slow_disk(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """Commits proceed while this event is set."""
    monkeypatch.setattr(service, "Store", SlowDisk)
    SlowDisk.may_write = threading.Event()
    SlowDisk.may_write.set()
    yield SlowDisk.may_write
    SlowDisk.may_write.set()


async def status_of(call: Any) -> int:
    async with call as answer:
        status: int = answer.status
        return status


def test_a_replica_is_there_while_its_disk_syncs_and_tells_nothing_that_is_not_stored(
    tmp_path: Path, slow_disk: threading.Event
) -> None:
    async def test() -> None:
        one = service.Service(service.Options("a", ANY, tmp_path / "a.db", {}))
        await one.start()
        async with ClientSession() as client:
            address = one.place.address
            assert await status_of(put(client, address, "first")) == 200
            slow_disk.clear()
            writing = asyncio.create_task(status_of(put(client, address, "second")))
            reading = asyncio.create_task(ids(client, address))
            async with asyncio.timeout(1.0):
                assert await status_of(client.get(f"http://{address}/health/live")) == 200
            assert not writing.done()
            slow_disk.set()
            assert await writing == 200
            assert await reading in ({"first"}, {"first", "second"})
            assert await ids(client, address) == {"first", "second"}
        await one.stop()

    run(test())


def test_readers_wait_for_a_commit_and_go_on_without_it_once_the_disk_is_stuck(
    tmp_path: Path, slow_disk: threading.Event
) -> None:
    async def test() -> None:
        one = service.Service(service.Options("a", ANY, tmp_path / "a.db", {}))
        await one.start()
        async with ClientSession() as client:
            address = one.place.address
            slow_disk.clear()
            writing = asyncio.create_task(status_of(put(client, address, "second")))
            await until(lambda: not one.is_settled())
            reading = asyncio.create_task(read_list(client, address))
            assert await writing == 503  # it was not acknowledged as stored
            assert one.failing == "the disk has not answered for 1 s"
            assert (await reading)["members"][0]["id"] == "second"  # reads continue, as with a full disk
            assert await status_of(put(client, address, "third")) == 503
            slow_disk.set()
            await until(lambda: not one.failing)
            assert await status_of(put(client, address, "third")) == 200
        await one.stop()
        state = Store(tmp_path / "a.db", "a").open()
        assert {entry.id for _, entry in state.history.entries} == {"second", "third"}

    run(test())


def test_what_is_forgotten_and_comes_back_before_the_disk_does_is_stored(
    tmp_path: Path, slow_disk: threading.Event
) -> None:
    async def test() -> None:
        store = Store(tmp_path / "a.db", "a")
        replica = core.Replica(core.Settings("a"), 1.0, 0.0, store.open())
        committer = Committer(replica, store, lambda lists: None, lambda action: None)
        entry = Entry("s-1", "127.0.0.1:1")
        committer.remember(((16, entry),), ())
        committer.remember((), (entry.key,))
        committer.remember(((32, entry),), ())
        committer.start()
        await committer.stop()
        assert [at for at, _ in Store(tmp_path / "a.db", "a").open().history.entries] == [32]

    run(test())
