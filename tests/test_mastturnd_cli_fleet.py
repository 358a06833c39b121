"""The small demonstration fleet of real processes on loopback: start, service and clean shutdown."""

from __future__ import annotations

import asyncio
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from mastturn.smallfleet import callers, layout
from mastturn.smallfleet.__main__ import main
from mastturn.smallfleet.play import SmallFleet, still_running

ROOT = Path(__file__).parent.parent
PATIENCE_S = 60.0  # upper bound for a hanging fleet; no test depends on the value


def test_the_whole_fleet_serves_answers_operators_and_ends(tmp_path: Path) -> None:
    """Operators' commands run while the fleet serves; it shuts down once they have finished."""
    said: list[str] = []

    def operate(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "mastturnd", *words],
            cwd=ROOT,
            env=os.environ | {"MASTTURN_CONFIG": str(tmp_path / "operator.yaml")},
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
            check=False,
        )

    async def commands(stop: asyncio.Event) -> list[subprocess.CompletedProcess[str]]:
        while not any("all balancers are ready" in line for line in said):
            await asyncio.sleep(0.05)
        calls = (("status",), ("explain", "edge-a"), ("config", "get"))
        try:
            found = await asyncio.gather(*(asyncio.to_thread(operate, *words) for words in calls))
            for _ in range(20):  # a ready balancer is listed a moment later, and marked until then
                if found[0].returncode != 3 and "3 of 3 balancers" in found[0].stdout:
                    break
                found[0] = await asyncio.to_thread(operate, "status")
            return [*found, await asyncio.to_thread(operate, "drain", "edge-b")]
        finally:
            stop.set()

    async def test() -> tuple[SmallFleet, list[subprocess.CompletedProcess[str]]]:
        play, stop = SmallFleet(tmp_path, said.append), asyncio.Event()
        async with asyncio.timeout(PATIENCE_S):
            beside = asyncio.create_task(commands(stop))
            result = await play.run(PATIENCE_S, False, stop)
            done = await beside
        assert result.is_good, (result, said)
        assert result.served >= 5 and result.ran_twice == 0
        assert set(result.memory_mb) == {"core-a", "core-b", "core-c", "edge-a", "edge-b", "edge-c"}
        return play, done

    play, done = asyncio.run(test())
    assert still_running(play.pids()) == []
    assert all(command.stderr == "" and command.returncode == 0 for command in done), done
    assert done[0].stdout.startswith("led by core-")
    assert "3 of 3 control processes and 3 of 3 balancers answer" in done[0].stdout
    assert "llm decode:" in done[1].stdout and '"ver": ' in done[2].stdout
    assert "edge-b says so itself" in done[3].stdout


def test_the_leader_is_killed_and_another_leads() -> None:
    found = subprocess.run(
        [sys.executable, "-m", "mastturn.smallfleet", "--seconds=2", "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
        check=False,
    )
    assert found.returncode == 0, found.stdout + found.stderr
    assert "is killed" in found.stdout and "the operator has put configuration 2" in found.stdout
    assert re.search(r"core-[abc] leads after \d+\.\d s", found.stdout)
    assert found.stdout.endswith("all that was started has ended\n")
    pids = [int(pid) for pid in re.findall(r"\((\d+)\)", found.stdout.splitlines()[0])]
    assert len(pids) == 6 and still_running(pids) == []


@pytest.mark.parametrize("argv", [["--seconds=soon"], ["--nothing"], ["now"], ["--seconds=0"]])
def test_a_wrong_call_is_one_line_and_2(argv: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["smallfleet", *argv]) == 2
    told = capsys.readouterr()
    assert told.err.count("\n") == 1 and "usage: python3 -m mastturn.smallfleet" in told.err


def test_a_folder_that_holds_something_is_left_alone(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "mine").write_text("x")
    assert main(["smallfleet", f"--folder={tmp_path}"]) == 1
    assert "is not empty: name a new folder" in capsys.readouterr().err
    assert [p.name for p in tmp_path.iterdir()] == ["mine"]


def test_another_program_is_that_of_a_checkout(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    assert main(["smallfleet", f"--other={tmp_path}"]) == 1
    assert "name a checkout of this project" in capsys.readouterr().err


def test_all_machines_have_addresses_of_their_own() -> None:
    found = layout.allocate_layout(5)
    places = [*found.ctl(), found.platform, *found.upstreams]
    places += [found.http(m) for m in found.edges] + [found.readyz(m) for m in found.edges]
    assert len(set(places)) == len(places) == 15
    assert all(place.startswith("127.") for place in places)


def test_a_process_that_answers_nothing_is_none() -> None:
    assert asyncio.run(callers.get_json("127.0.0.1:1", "/api/status")) is None
