"""A soak that is told to end ends all that it has started."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

from mastturn.soak.commands import TERMINATED

ROOT = Path(__file__).parent.parent
UP_S, END_S = 60.0, 30.0


def running(folder: Path) -> list[int]:
    """The processes that have a file of a folder open: their logs."""
    found = []
    for process in Path("/proc").glob("[0-9]*"):
        try:
            targets = [str(file.readlink()) for file in (process / "fd").iterdir()]
        except OSError:
            continue  # it has ended meanwhile
        if any(target.startswith(str(folder)) for target in targets):
            found.append(int(process.name))
    return found


def test_a_soak_that_gets_sigterm_leaves_no_process_behind(tmp_path: Path) -> None:
    words = ["soak", "--seed", "1", "--seconds", "120", "--out", str(tmp_path)]
    command = [sys.executable, "-u", "-c", "from mastturn.cli import main; main()", *words]
    with subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as soak:
        assert soak.stdout is not None and soak.stderr is not None
        until = time.monotonic() + UP_S
        lines = iter(soak.stdout.readline, "")
        assert any("are up" in line and time.monotonic() < until for line in lines)
        assert running(tmp_path)
        soak.send_signal(signal.SIGTERM)
        _, words_of_error = soak.communicate(timeout=END_S)
    assert soak.returncode == TERMINATED, words_of_error
    assert "ended by SIGTERM" in words_of_error
    assert running(tmp_path) == []
