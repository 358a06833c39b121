"""What happened, as rows of JSON: who, what, and when on one clock, written by each party into a file of
its own.

The clock is the system's monotonic one, which all processes of a machine share; `t` is in seconds.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from pathlib import Path
from typing import IO, Any

import msgspec

from mastturn.files import LabError

Row = dict[str, Any]


class Recorder:
    """One party's file; each row is there as soon as it is written."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("ab", buffering=0)

    def write(self, who: str, what: str, **more: Any) -> None:
        """Add a row."""
        row = {"t": round(time.monotonic(), 6), "who": who, "what": what, **more}
        self._file.write(msgspec.json.encode(row) + b"\n")

    def close(self) -> None:
        """No more rows."""
        self._file.close()


def read(folder: Path) -> list[Row]:
    """All rows under a folder in the order of their moments; raises LabError.

    The last row of a party that was killed may be torn, and is left out.
    """
    if not folder.is_dir():
        raise LabError(f"{folder}: no such folder")
    rows: list[Row] = []
    for path in sorted(folder.glob("*.jsonl")):
        lines = path.read_bytes().split(b"\n")
        for number, line in enumerate(lines, 1):
            try:
                if line:
                    rows.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                if number < len(lines):
                    raise LabError(f"{path}:{number}: no row of a history") from None
    if not rows:
        raise LabError(f"{folder}: holds no history; 'mastturn chaos PLAN --out {folder}' makes one")
    return sorted(rows, key=lambda row: float(row["t"]))


def of_kind(rows: Iterable[Row], *kinds: str) -> list[Row]:
    """The rows that say one of these."""
    return [row for row in rows if row["what"] in kinds]
