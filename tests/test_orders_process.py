"""Signals at inconvenient moments: during imports, at shutdown, repeated, or early."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from passpost.discovery import parse_address
from tests.loopback import OK, config_data, member

ROOT = Path(__file__).parent.parent

# The process sends itself a signal: while modules are imported, and as the handlers are removed.
ON_IMPORT = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "uvloop":
            os.kill(os.getpid(), signal.{name})

sys.meta_path.insert(0, Finder())
"""
AT_THE_END = """
import os, signal, sys
import passpost.__main__ as program

ended = []
close = program.Node.close

def closed(node):
    close(node)
    ended.append(True)

def struck(original):
    def call(*args):
        if ended:
            os.kill(os.getpid(), signal.{name})
        return original(*args)
    return call

program.Node.close = closed
signal.signal, signal.pthread_sigmask = struck(signal.signal), struck(signal.pthread_sigmask)
status = program.main()
os.kill(os.getpid(), signal.{name})
sys.exit(status)
"""


@contextmanager
def started(
    tmp_path: Path,
    command: list[str],
    upstream: str = "127.0.0.1:9",
    discovery: str = "127.0.0.1:9",
    **env: str,
) -> Iterator[subprocess.Popen[str]]:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data([member("s0", upstream)], discovery)))
    with subprocess.Popen(
        command,
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(path)} | env,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def wait_for_line(process: subprocess.Popen[str], text: str) -> str:
    assert process.stderr is not None
    return next(line for line in process.stderr if text in line)


RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
DIRECT = [sys.executable, "-m", "passpost"]
DEPLOYED = ["/bin/sh", "-c", RUN.replace(".venv/bin/python", sys.executable)]
ON_STARTUP = "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\n"  # before any line of passpost has run


@pytest.mark.parametrize(
    ("command", "signal_code"), [(DIRECT, ON_IMPORT), (DEPLOYED, ON_IMPORT), (DEPLOYED, ON_STARTUP)]
)
def test_a_sighup_that_comes_while_we_start_ends_nothing(
    tmp_path: Path, command: list[str], signal_code: str
) -> None:
    # The configuration is read after it, so no reload is needed; a later signal is handled.
    (tmp_path / "sitecustomize.py").write_text(signal_code.replace("{name}", "SIGHUP"))
    with started(tmp_path, command, PYTHONPATH=str(tmp_path)) as process:
        wait_for_line(process, "serves on")
        process.send_signal(signal.SIGHUP)
        wait_for_line(process, "configuration reloaded")
        process.send_signal(signal.SIGTERM)
        assert process.wait() == 0


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_a_signal_that_comes_as_we_end_changes_nothing(tmp_path: Path, name: str) -> None:
    with started(tmp_path, [sys.executable, "-c", AT_THE_END.format(name=name)]) as process:
        wait_for_line(process, "serves on")
        process.send_signal(signal.SIGTERM)
        wait_for_line(process, "stopping")
        assert process.wait() == 0


def test_a_second_sigterm_while_we_stop_cuts_nothing_off(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as upstream:
        upstream_address = f"127.0.0.1:{upstream.getsockname()[1]}"
        with started(tmp_path, DIRECT, upstream_address) as process:
            address = parse_address(wait_for_line(process, "serves on").split()[-1])
            with socket.create_connection(address) as client:
                client.sendall(b"GET /read HTTP/1.1\r\nX-Txn: a\r\nX-Remaining: 9\r\n\r\n")
                taken, _ = upstream.accept()
                with taken:
                    for _ in range(2):
                        process.send_signal(signal.SIGTERM)
                    wait_for_line(process, "stopping")
                    process.send_signal(signal.SIGTERM)
                    taken.sendall(OK)
                    assert client.recv(65536).startswith(b"HTTP/1.1 200 ")
            assert process.wait() == 0


def test_a_sigterm_before_anything_of_the_list_has_come_ends_in_order(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as silent:  # discovery accepts the call and never answers
        discovery_address = f"127.0.0.1:{silent.getsockname()[1]}"
        with started(tmp_path, DIRECT, discovery=discovery_address) as process:
            wait_for_line(process, "serves on")
            process.send_signal(signal.SIGTERM)
            assert process.wait() == 0
