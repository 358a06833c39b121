"""Soaks of small real fleets: each planted defect is found, and nothing is found without one."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from mastturn.soak import planted

ROOT = Path(__file__).parent.parent
CONCURRENT_SOAKS = 4
MAX_SEEDS = 20
FOUND, CLEAN = 1, 0
RULES = {  # the rules of which one must be violated, and the only troubles injected
    "stale-error-taken": ({"mixed", "unserved", "lost"}, ""),
    "id-not-looked-at": ({"mixed", "unserved"}, ""),
    "fin-taken-as-end": ({"mixed", "gap", "held"}, ""),
    "reset-taken-as-end": ({"mixed"}, ""),
    "death-taken-as-end": ({"mixed", "gap"}, ""),
    "kept-after-surplus": ({"unserved", "mixed", "lost"}, ""),
    "repeated-after-reset": ({"twice"}, ""),
    "dropped-at-sigterm": ({"stop", "unserved", "lost"}, "term of a balancer"),
    "gap-in-resumed-stream": ({"gap"}, ""),
    "late-list-taken": ({"drain"}, "an upstream leaves"),
    "body-altered": ({"unasked"}, ""),
    "addresses-forgotten": ({"recover"}, "seeds, then kill"),
    "held-past-deadline": ({"held"}, ""),
}
RESPONSE_FAULTS = {  # the only response fault, for a defect that would show too rarely among all faults
    "stale-error-taken": "an error without id later",
}


def soak(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command on a fleet of six processes."""
    command = [sys.executable, "-c", "from mastturn.cli import main; main()", "soak", "--quiet", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=600, check=False)


def soak_with_defect(name: str) -> subprocess.CompletedProcess[str]:
    rules, trouble_filter = RULES[name]
    until_options = [word for rule in sorted(rules) for word in ("--until", rule)]
    fault_filter = RESPONSE_FAULTS.get(name, "")
    arguments = [
        "--defect",
        name,
        "--only",
        trouble_filter,
        "--answers",
        fault_filter,
        "--seed",
        "1",
        "--seeds",
        str(MAX_SEEDS),
        "--seconds",
        "10",
    ]
    return soak(*arguments, *until_options)


@pytest.fixture(scope="module")
def results() -> dict[str, subprocess.CompletedProcess[str]]:
    """Return the result of a soak with each planted defect; some fleets run concurrently."""
    with ThreadPoolExecutor(CONCURRENT_SOAKS) as pool:
        return dict(zip(RULES, pool.map(soak_with_defect, RULES), strict=True))


def test_every_planted_defect_has_its_soak() -> None:
    assert set(RULES) == set(planted.descriptions())


@pytest.mark.parametrize("name", RULES)
def test_a_planted_defect_is_found(name: str, results: dict[str, subprocess.CompletedProcess[str]]) -> None:
    result = results[name]
    assert result.returncode == FOUND, result.stdout[-2_000:] + result.stderr[-2_000:]
    rules, _ = RULES[name]
    assert any(f'"rule": "{rule}"' in result.stdout for rule in rules), result.stdout[-2_000:]


def test_nothing_is_found_without_a_defect() -> None:
    result = soak("--seed", "1", "--seconds", "10")
    assert result.returncode == CLEAN, result.stdout[-4_000:] + result.stderr[-2_000:]
