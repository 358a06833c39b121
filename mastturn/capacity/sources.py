"""What was measured: the revision, a digest of the measured sources, and how fast this machine was then."""

from __future__ import annotations

import hashlib
import platform
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

MEASURED = (
    "dissemination",
    "consensus",
    "control",
    "mastturnd",
    "config",
    "transport",
    "balancer",
    "passpost",
    "umberworks",
)
SPINS = 1_000_000
REFERENCE_NS = 18.0  # a turn of the plain loop on a quiet core of the machine of these runs


def _root() -> Path:
    return Path(__file__).resolve().parents[2]


def digest() -> str:
    """One for all sources of the system's programs."""
    total = hashlib.sha256()
    for package in MEASURED:
        for path in sorted((_root() / package).glob("*.py")):
            total.update(f"{package}/{path.name}\0".encode() + path.read_bytes())
    return total.hexdigest()[:16]


def revision() -> str:
    """The commit that is checked out; empty where there is none."""
    asked = ["git", "-C", str(_root()), "rev-parse", "--short", "HEAD"]
    found = subprocess.run(asked, capture_output=True, text=True, check=False)
    return found.stdout.strip()


def spin_ns(turns: int = SPINS) -> float:
    """Nanoseconds of this core for one turn of a plain loop: less is faster."""
    began = time.process_time_ns()
    total = 0
    for i in range(turns):
        total += i
    return (time.process_time_ns() - began) / turns


def as_quiet(cpu_s: float, spin: float) -> float:
    """Processor time as on a quiet core, from what it was while a turn of the loop took so long (ns)."""
    return cpu_s * REFERENCE_NS / spin


def described() -> dict[str, Any]:
    """All of it, for the head of a saved output."""
    return {
        "revision": revision(),
        "sources": digest(),
        "command": ["python", "-m", "mastturn.capacity", *(Path(a).name for a in sys.argv[1:])],
        "python": platform.python_version(),
        "spin_ns": round(spin_ns(), 2),
    }
