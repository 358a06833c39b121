"""Finds the log lines of the fleet's processes by request."""

from __future__ import annotations

import re
from collections import defaultdict
from pathlib import Path

_REQUEST = re.compile(r"request=(\w+)")


class Logs:
    """The log lines of a folder that name a request; read once, as logs may be many megabytes."""

    def __init__(self, folder: Path | None = None) -> None:
        self._lines: dict[str, list[str]] = defaultdict(list)
        for path in sorted(folder.glob("*.log")) if folder is not None else ():
            with path.open(errors="replace") as file:
                for line in file:
                    self._add_line(path.stem, line.rstrip("\n"))

    def _add_line(self, machine: str, line: str) -> None:
        for request_id in _REQUEST.findall(line):
            self._lines[request_id].append(f"{machine}: {line}")

    def lines_about(self, request_id: str) -> list[str]:
        """Return the lines that name a request, each with its machine."""
        return self._lines.get(request_id, [])
