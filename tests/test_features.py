"""Runs the behave features in a process of their own."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_every_scenario_holds() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "behave", "--format", "progress", "--no-color", "features"],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert " 0 failed" in done.stdout and "undefined" not in done.stdout
