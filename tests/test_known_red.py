"""The list of known red tests: what it passes over, and what it never does."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    assert True\n"
RED = "tests/test_one.py::test_red | it is made up | 28\n"


@pytest.mark.parametrize(
    ("known", "status", "said"),
    [
        ("# none\n", 1, "1 failed, 1 passed"),
        (RED, 0, "known red: it is made up (28)"),
        (RED.replace("red", "green", 1), 1, "XPASS(strict)"),
        (RED + RED.replace("red", "gone", 1), 4, "names no test: tests/test_one.py::test_gone"),
        ("".join(RED.replace("red", f"r{i}", 1) for i in range(4)), 3, "3 tests at the most"),
        ("tests/test_one.py::test_red\n", 3, "test | cause | issue"),
    ],
)
def test_a_known_red_test_is_passed_over_and_nothing_else(
    tmp_path: Path, known: str, status: int, said: str
) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    shutil.copy(Path(__file__).parent / "conftest.py", tests)
    (tests / "test_one.py").write_text(TESTS)
    (tmp_path / "KNOWN-RED.txt").write_text(known)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\naddopts = -rx\n")
    done = subprocess.run(
        [sys.executable, "-m", "pytest"], cwd=tmp_path, capture_output=True, text=True, check=False
    )
    assert done.returncode == status, done.stdout + done.stderr
    assert said in done.stdout + done.stderr
