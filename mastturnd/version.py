"""Identifies the running program by a digest of its sources, so that differing processes can be found."""

from __future__ import annotations

import functools
import hashlib
import os
from pathlib import Path

PACKAGES = (
    "mastturnd",
    "balancer",
    "consensus",
    "control",
    "dissemination",
    "config",
    "transport",
    "passpost",
    "umberworks",
)


@functools.cache
def program_digest() -> str:
    """Return eight hex digits over all source files, as found when first called."""
    root, found = Path(__file__).parent.parent, hashlib.blake2b(digest_size=4)
    for package in PACKAGES:
        for path in sorted((root / package).glob("*.py")):
            found.update(path.name.encode() + b"\0" + path.read_bytes())
    return found.hexdigest()


def memory_kb() -> int:
    """Return the resident memory of this process in kB; 0 if the system does not report it."""
    try:
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


def processor_s() -> float:
    """Return the processor time that this process has used, in seconds."""
    times = os.times()
    return round(times.user + times.system, 3)
