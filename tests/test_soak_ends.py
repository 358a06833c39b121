"""A soak that receives SIGTERM stops every process that it has started."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

from mastturn.soak.commands import TERMINATED

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S, EXIT_TIMEOUT_S = 60.0, 30.0


def processes_using(folder: Path) -> list[int]:
    """Return the processes that have a file below a folder open, such as their logs."""
    pids = []
    for process in Path("/proc").glob("[0-9]*"):
        try:
            targets = [str(file.readlink()) for file in (process / "fd").iterdir()]
        except OSError:
            continue  # it has exited meanwhile
        if any(target.startswith(str(folder)) for target in targets):
            pids.append(int(process.name))
    return pids


def test_a_soak_that_gets_sigterm_leaves_no_process_behind(tmp_path: Path) -> None:
    arguments = ["soak", "--seed", "1", "--seconds", "120", "--out", str(tmp_path)]
    command = [sys.executable, "-u", "-c", "from mastturn.cli import main; main()", *arguments]
    with subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as soak:
        assert soak.stdout is not None and soak.stderr is not None
        deadline = time.monotonic() + START_TIMEOUT_S
        lines = iter(soak.stdout.readline, "")
        assert any("are up" in line and time.monotonic() < deadline for line in lines)
        assert processes_using(tmp_path)
        soak.send_signal(signal.SIGTERM)
        _, stderr = soak.communicate(timeout=EXIT_TIMEOUT_S)
    assert soak.returncode == TERMINATED, stderr
    assert "ended by SIGTERM" in stderr
    assert processes_using(tmp_path) == []
