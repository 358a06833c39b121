"""History of a run: each process appends events as JSON rows to its own file.

`t` is in seconds of the system's monotonic clock, which all processes of a machine share.
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
    """Writer of one process's file; rows are written unbuffered."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("ab", buffering=0)

    def write(self, who: str, what: str, **fields: Any) -> None:
        """Append a row."""
        row = {"t": round(time.monotonic(), 6), "who": who, "what": what, **fields}
        self._file.write(msgspec.json.encode(row) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read(folder: Path) -> list[Row]:
    """Read all rows of a folder, ordered by time; raises LabError.

    A torn last row, as a killed process may leave it, is skipped.
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
                    raise LabError(f"{path}:{number}: no row of a history: invalid JSON") from None
    if not rows:
        raise LabError(f"{folder}: holds no history; 'mastturn chaos PLAN --out {folder}' records one")
    return sorted(rows, key=lambda row: float(row["t"]))


def of_kind(rows: Iterable[Row], *kinds: str) -> list[Row]:
    """Rows whose `what` is one of `kinds`."""
    return [row for row in rows if row["what"] in kinds]
