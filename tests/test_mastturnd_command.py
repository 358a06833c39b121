"""The program's command line, reloading of settings, and one real process from start to end."""

from __future__ import annotations

import asyncio
import gc
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import yaml
from absl import flags
from loguru import logger

from config import settings as settings_file
from config.settings import Settings
from mastturn.standins.ports import free_port
from mastturnd import __main__ as mastturnd
from mastturnd import hosting, logs
from mastturnd.balancing import BalancerRole
from mastturnd.roles import ROLES
from tests.fabric import Loop
from tests.fabric_callers import configuration

ROOT = Path(__file__).parent.parent


@pytest.fixture(autouse=True)
def _reset_global_state() -> Iterator[None]:
    yield
    flags.FLAGS.unparse_flags()
    logger.remove()
    logger.add(sys.stderr)


def settings_of(tmp_path: Path, **changes: Any) -> dict[str, Any]:
    ctl, port, platform = free_port(), free_port(), free_port()
    raw: dict[str, Any] = {
        "node": "core-1",
        "machine_class": "core",
        "ip": "127.0.0.1",
        "zone": "a",
        "listen": {"ctl": f"127.0.0.1:{ctl}"},
        "port_range": [port, port],
        "seed_addrs": [f"127.0.0.1:{ctl}"],
        "bootstrap": True,
        "quorum_member": True,
        "data_dir": str(tmp_path),
        "faults": {"nodes": 0},
        "cloud_api": {"addr": f"127.0.0.1:{platform}"},
    }
    return raw | changes


def write_settings(tmp_path: Path, raw: dict[str, Any]) -> Path:
    path = tmp_path / "boot.yaml"
    path.write_text(yaml.safe_dump(raw))
    return path


@pytest.mark.parametrize(
    "argv",
    [
        [],
        ["unknown"],
        ["balancer", "control"],
        ["--nothing", "balancer"],
        ["--log_level=LOUD", "balancer"],
        ["--log_level"],
        ["WINDVANE"],
        ["--help"],
    ],
)
def test_a_wrong_call_is_one_line_with_the_remedy(
    argv: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(settings_file.VARIABLE, raising=False)
    assert mastturnd.main(["mastturnd", *argv]) == 2
    told = capsys.readouterr()
    assert told.out == ""
    assert told.err.count("\n") == 1
    assert "usage: python3 -m mastturnd [--log_level=LEVEL] ROLE" in told.err
    assert "balancer, control" in told.err


@pytest.mark.parametrize("role", ROLES)
def test_without_settings_it_is_one_line_and_1(
    role: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(settings_file.VARIABLE, raising=False)
    assert mastturnd.main(["mastturnd", role]) == 1
    told = capsys.readouterr()
    assert told.err == "MASTTURN_CONFIG is not set; set it to the path of the settings file\n"


@pytest.mark.parametrize(
    ("role", "changes", "expected"),
    [
        ("control", {"data_dir": None}, "there is no data_dir; name the folder of this machine's disk"),
        ("control", {"data_dir": "/nowhere/at/all"}, "data_dir is '/nowhere/at/all', which is no folder"),
        ("control", {"listen": {}}, "there is no listen.ctl; name the address for operators"),
        ("control", {"node": 7}, "node is 7; make it a string"),
        (
            "balancer",
            {"listen": {"readyz": "127.0.0.1:1"}},
            "there is no listen.http; name the address for clients",
        ),
        ("balancer", {"listen": {"http": "127.0.0.1:1"}}, "there is no listen.readyz; name the address"),
    ],
)
def test_settings_that_a_role_cant_use_are_one_line_and_1(
    role: str,
    changes: dict[str, Any],
    expected: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    monkeypatch.setenv(
        settings_file.VARIABLE, str(write_settings(tmp_path, settings_of(tmp_path, **changes)))
    )
    assert mastturnd.main(["mastturnd", role]) == 1
    told = capsys.readouterr().err
    assert told.startswith(expected) and told.count("\n") == 1


def test_an_address_that_is_taken_is_one_line_and_1(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    raw = settings_of(tmp_path)
    monkeypatch.setenv(settings_file.VARIABLE, str(write_settings(tmp_path, raw)))
    with socket.create_server(("127.0.0.1", raw["port_range"][0])):
        assert mastturnd.main(["mastturnd", "control"]) == 1
    told = [line for line in capsys.readouterr().err.splitlines() if "level=" not in line]
    assert len(told) == 1 and "free the address, or name another in the settings" in told[0]


def test_clients_can_connect_to_a_balancer_while_the_rest_of_it_is_loaded(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    port = free_port()
    listen = {"http": f"127.0.0.1:{port}", "readyz": f"127.0.0.1:{free_port()}"}
    path = write_settings(tmp_path, settings_of(tmp_path, listen=listen))
    monkeypatch.setenv(settings_file.VARIABLE, str(path))
    waiting: list[socket.socket] = []

    def run(name: str, settings: Settings, log_level: str, listener: socket.socket | None) -> None:
        waiting.append(socket.create_connection(("127.0.0.1", port), timeout=1))
        assert listener is not None
        role = hosting.make_role(name, settings, listener)
        assert isinstance(role, BalancerRole) and role.balancer._listener is listener
        listener.close()

    monkeypatch.setattr(hosting, "run", run)
    assert mastturnd.main(["mastturnd", "balancer"]) == 0
    assert len(waiting) == 1
    waiting[0].close()


def test_little_is_loaded_before_a_balancer_listens() -> None:
    heavy = ("asyncio", "uvloop", "absl")
    code = f"import sys, mastturnd.__main__; print([m for m in {heavy!r} if m in sys.modules])"
    done = subprocess.run(
        [sys.executable, "-S", "-c", code],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(p for p in sys.path if p)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout == "[]\n"


class RecordingRole:
    """A role that records its calls."""

    def __init__(self) -> None:
        self.settings: list[Settings] = []
        self.calls: list[str] = []

    async def start(self) -> None:
        self.calls.append("start")

    async def stop(self) -> None:
        self.calls.append("stop")

    def reconfigure(self, settings: Settings) -> None:
        self.calls.append("reconfigure")
        self.settings.append(settings)


Scenario = Callable[[Loop, Path, RecordingRole], Awaitable[None]]


def serve(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> tuple[RecordingRole, list[str]]:
    """Run a scenario around a serving process on the simulated clock; returns the role and the log."""
    path = write_settings(tmp_path, settings_of(tmp_path))
    monkeypatch.setenv(settings_file.VARIABLE, str(path))
    role, lines = RecordingRole(), list[str]()
    monkeypatch.setattr(hosting, "make_role", lambda name, settings, listener: role)
    logger.remove()
    logger.add(lambda line: lines.append(str(line)), format="{message}")
    loop = Loop()

    async def main_task() -> None:
        serving = loop.create_task(hosting.serve("balancer", settings_file.read()))
        await asyncio.sleep(0.1)
        await scenario(loop, path, role)
        loop.signals[signal.SIGTERM]()
        async with asyncio.timeout(1):
            await serving

    try:
        loop.run_until_complete(main_task())
    finally:
        loop.close()
        gc.unfreeze()
    assert role.calls[0] == "start" and role.calls[-1] == "stop"
    return role, lines


def test_the_settings_are_read_again_on_sighup_and_without_a_signal(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def scenario(loop: Loop, path: Path, role: RecordingRole) -> None:
        raw = yaml.safe_load(path.read_text())
        write_settings(tmp_path, raw | {"seed_addrs": ["127.0.0.1:9"]})  # no signal
        await asyncio.sleep(2.5)
        assert len(role.settings) == 1
        path.write_text("{ half a file")  # the last valid settings stay in force
        await asyncio.sleep(5.0)
        assert len(role.settings) == 1
        write_settings(tmp_path, raw | {"seed_addrs": ["127.0.0.1:8"]})
        loop.signals[signal.SIGHUP]()
        await asyncio.sleep(0.1)
        assert len(role.settings) == 2
        loop.signals[signal.SIGHUP]()  # nothing has changed
        await asyncio.sleep(0.1)

    role, _ = serve(scenario, monkeypatch, tmp_path)
    assert [s.seed_addrs for s in role.settings] == [["127.0.0.1:9"], ["127.0.0.1:8"]]
    assert role.calls == ["start", "reconfigure", "reconfigure", "stop"]


def test_the_level_of_the_log_follows_the_settings_by_role_while_it_runs(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """From SIGHUP or the next poll of the file on; another role's level or an invalid one changes nothing."""
    expected: dict[str, list[str]] = {}

    async def scenario(loop: Loop, path: Path, role: RecordingRole) -> None:
        raw = yaml.safe_load(path.read_text())

        async def after(name: str, levels: dict[str, str] | None, signals: bool, wait_s: float) -> None:
            write_settings(tmp_path, raw if levels is None else raw | {"log_levels": levels})
            if signals:
                loop.signals[signal.SIGHUP]()
            await asyncio.sleep(wait_s)
            capsys.readouterr()
            logger.debug("event=step")
            logger.info("event=news")
            logger.error("event=fault")
            lines = capsys.readouterr().err.splitlines()
            expected[name] = [line.partition("event=")[2] for line in lines]

        await after("of another role", {"control": "DEBUG"}, True, 0.1)
        await after("by a signal", {"balancer": "DEBUG"}, True, 0.1)
        await after("without a signal", {"balancer": "ERROR"}, False, 2.5)
        await after("a bad one", {"balancer": "LOUD"}, True, 0.1)
        await after("none any more", None, True, 0.1)

    monkeypatch.setattr(logs, "_current_level", ["INFO"])
    serve(scenario, monkeypatch, tmp_path)
    logger.remove()
    assert expected == {
        "of another role": [],  # the test's own sink is the only one until the level first changes
        "by a signal": ["step", "news", "fault"],
        "without a signal": ["fault"],
        "a bad one": ["fault"],
        "none any more": ["news", "fault"],
    }


def test_a_file_that_stays_unreadable_is_logged_once(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    async def scenario(loop: Loop, path: Path, role: RecordingRole) -> None:
        path.write_text("{ half a file")
        await asyncio.sleep(20.0)

    _, lines = serve(scenario, monkeypatch, tmp_path)
    assert sum("event=settings_unread" in line for line in lines) == 1


def request(port: int, method: str, body: bytes | None = None, **headers: str) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request(method, "/api/config", body, {k.replace("_", "-"): v for k, v in headers.items()})
    answer = connection.getresponse()
    found = answer.status, answer.read()
    connection.close()
    return found


def start_process(tmp_path: Path, raw: dict[str, Any]) -> subprocess.Popen[str]:
    environment = os.environ | {settings_file.VARIABLE: str(write_settings(tmp_path, raw))}
    return subprocess.Popen(
        [sys.executable, "-m", "mastturnd", "control"],
        cwd=ROOT,
        env=environment,
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_started(process: subprocess.Popen[str]) -> list[str]:
    """Return the log lines of a process until it has started."""
    assert process.stderr is not None
    lines = []
    for line in process.stderr:
        lines.append(line.rstrip())
        if "event=started" in line:
            return lines
    raise AssertionError(f"it has not started: {lines}")


def test_a_real_control_process_keeps_what_it_took_over_a_kill(tmp_path: Path) -> None:
    """With real uvloop, sockets and disk: the only test of this kind that starts a process."""
    disk = tmp_path / "disk"
    disk.mkdir()
    raw = settings_of(tmp_path, data_dir=str(disk))
    ctl = int(raw["listen"]["ctl"].rpartition(":")[2])

    first = start_process(tmp_path, raw)
    try:
        wait_started(first)
        assert request(ctl, "PUT", configuration(5), If_Match="0")[0] == 200
    finally:
        first.kill()
        first.communicate()
    second = start_process(tmp_path, raw | {"bootstrap": False})
    try:
        expected = wait_started(second)
        assert request(ctl, "GET") == (200, configuration(5))
        assert json.loads(request(ctl, "PUT", configuration(4), If_Match="5")[1])["error"].startswith(
            "version 4"
        )
        second.terminate()
        _, told = second.communicate(timeout=10)
    finally:
        if second.poll() is None:
            second.kill()
    assert second.returncode == 0
    lines = expected + told.splitlines()
    assert all(line.startswith("time=") and " event=" in line for line in lines), told
    assert "event=stopped" in lines[-1]


@pytest.mark.parametrize(("former", "name"), [("barograph", "control"), ("windvane", "balancer")])
def test_a_role_is_known_by_its_former_name_for_one_release(
    former: str, name: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(settings_file.VARIABLE, raising=False)
    assert mastturnd.main(["mastturnd", former]) == 1
    told = capsys.readouterr().err.splitlines()
    assert told[0] == f"the role {former} is named {name} now; name it so"
    assert told[1] == "MASTTURN_CONFIG is not set; set it to the path of the settings file"


def test_a_level_for_a_role_by_its_former_name_holds() -> None:
    level = logs.LogLevel("control")
    before = logs._current_level[0]
    try:
        assert level.apply({"barograph": "ERROR"})
    finally:
        logs.set_level(before)


def test_the_program_is_known_by_its_former_name_for_one_release() -> None:
    environment = {key: value for key, value in os.environ.items() if key != settings_file.VARIABLE}
    command = [sys.executable, "-m", "station", "control"]
    root = Path(__file__).parent.parent
    done = subprocess.run(command, cwd=root, env=environment, capture_output=True, text=True, check=False)
    assert done.returncode == 1
    assert done.stderr.splitlines() == [
        "the program station is named mastturnd now; run python3 -m mastturnd",
        "MASTTURN_CONFIG is not set; set it to the path of the settings file",
    ]
