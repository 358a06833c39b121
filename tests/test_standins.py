from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from aiohttp import ClientSession
from click.testing import CliRunner, Result

from mastturn.cli import main
from mastturn.standins.agent import Agent
from mastturn.standins.plan import Plan, RequestClass
from mastturn.standins.upstream import Upstream

SMALL = """
seconds = 2.0
requests_per_s = 30.0
balancers = 1
front_upstreams = 2
kitchen_upstreams = 2
"""


def call(*words: str | Path) -> Result:
    return CliRunner().invoke(main, [str(word) for word in words])


def play(text: str, folder: Path) -> dict[str, int]:
    plan, result = folder / "plan.toml", folder / "result.json"
    plan.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "mastturn.cli", "load", str(plan), "--json", str(result)],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr
    values: dict[str, int] = json.loads(result.read_bytes())
    return values


def test_a_play_serves_through_a_release_and_loses_nothing(tmp_path: Path) -> None:
    result = play(SMALL + "release_at_s = 0.5\n", tmp_path)
    assert result["served"] > 20
    assert result["lost"] == 0 and result["ran_twice"] == 0
    assert result["asked"] == sum(result[end] for end in ("served", "refused", "failed", "lost"))


def test_a_balancer_that_is_killed_comes_back(tmp_path: Path) -> None:
    result = play(SMALL.replace("balancers = 1", "balancers = 2") + "kill_balancer_at_s = 0.5\n", tmp_path)
    assert result["served"] > 20 and result["ran_twice"] == 0


def test_an_interrupted_play_ends_what_it_started_and_tells_what_it_saw(tmp_path: Path) -> None:
    plan = tmp_path / "plan.toml"
    plan.write_text(SMALL.replace("seconds = 2.0", "seconds = 60.0"))
    with subprocess.Popen(
        [sys.executable, "-m", "mastturn.cli", "load", str(plan)],
        stdout=subprocess.PIPE,
        text=True,
        start_new_session=True,
    ) as process:
        assert process.stdout is not None
        assert "served" in process.stdout.readline()  # it plays
        children = [
            int(p) for p in Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        ]
        assert len(children) == 3
        process.send_signal(signal.SIGINT)
        rest = process.stdout.read()
        assert process.wait(60) == 0
    assert "asked" in rest
    for child in children:
        with pytest.raises(ProcessLookupError):
            os.kill(child, 0)


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ("seconds = 0.0\n", ["seconds", "allowed"]),
        ("seconds = 2.0\nrequests_per_s = 1e9\n", ["requests_per_s", "allowed"]),
        ("seconds = 3600.0\nrequests_per_s = 1000.0\n", ["requests_per_s", "100000"]),
        ("seconds = 2.0\nrequests = 3\n", ["requests", "unknown key", "requests_per_s"]),
        ("seconds = 2.0\nrelease_at_s = 5.0\n", ["release_at_s", "under seconds"]),
        ("seconds = 'long'\n", ["seconds"]),
    ],
)
def test_a_bad_plan_is_one_line(tmp_path: Path, change: str, words: list[str]) -> None:
    plan = tmp_path / "plan.toml"
    plan.write_text(change)
    result = call("load", plan)
    assert result.exit_code == 2 and len(result.output.splitlines()) == 1
    assert all(word in result.output for word in words)
    assert call("load", tmp_path / "none.toml").exit_code == 2


def test_an_upstream_speaks_the_protocol() -> None:
    async def talk() -> None:
        kinds = {"read": RequestClass("read", 1.0, 1.0, 100.0, 100.0)}
        upstream = Upstream("u", kinds, 1, 1.0)
        await upstream.start()
        try:
            async with ClientSession() as session:
                url = f"http://{upstream.address}/read"
                async with session.get(url, headers={"X-Txn": "a"}) as answer:
                    assert answer.status == 200 and await answer.text() == "a"
                    assert 0 <= json.loads(answer.headers["X-Pressure"])["util"] <= 1
                async with session.get(url) as answer:
                    assert answer.status == 404
                upstream.draining = True
                async with session.get(url, headers={"X-Txn": "b"}) as answer:
                    assert answer.status == 503 and answer.headers["X-Turned-Away"] == "1"
        finally:
            await upstream.stop()

    asyncio.run(talk())


def test_a_watch_of_the_list_is_answered_when_something_changes() -> None:
    async def talk() -> None:
        upstream = Upstream("u", {}, 1, 1.0)
        agent = Agent([upstream])
        await agent.start()
        try:
            async with ClientSession() as session:
                url = f"http://{agent.address}/registry/instances"
                async with session.get(url) as answer:
                    whole = await answer.json()
                assert whole["complete"] and whole["members"][0]["phase"] == "active"

                async def watch() -> dict[str, object]:
                    query = f"{url}?after={whole['revision']}&wait_ms=20000"
                    async with session.get(query) as answer:
                        update: dict[str, object] = await answer.json()
                        return update

                watching = asyncio.create_task(watch())
                await asyncio.sleep(0)
                upstream.draining = True
                await agent.notify_change()
                update = await watching
                assert update["revision"] == whole["revision"] + 1
                assert update["members"][0]["phase"] == "leaving"  # type: ignore[index]
                async with session.get(f"{url}?after=99&wait_ms=1") as answer:
                    assert (await answer.json())["members"] == []
        finally:
            await agent.stop()

    asyncio.run(talk())


def test_the_demo_is_bounded() -> None:
    assert call("demo", "--seconds", "0").exit_code == 2
    assert Plan(seconds=1.0).release_at_s is None
