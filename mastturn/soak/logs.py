"""What the fleet's processes have logged, by request."""

from __future__ import annotations

import re
from collections import defaultdict
from pathlib import Path

_REQUEST = re.compile(r"request=(\w+)")


class Logs:
    """The lines of all logs of a folder that name a request; read once, as there may be many megabytes."""

    def __init__(self, folder: Path | None = None) -> None:
        self._lines: dict[str, list[str]] = defaultdict(list)
        for path in sorted(folder.glob("*.log")) if folder is not None else ():
            with path.open(errors="replace") as file:
                for line in file:
                    self._take(path.stem, line.rstrip("\n"))

    def _take(self, machine: str, line: str) -> None:
        for request in _REQUEST.findall(line):
            self._lines[request].append(f"{machine}: {line}")

    def about(self, request: str) -> list[str]:
        """The lines that name a request, by machine."""
        return self._lines.get(request, [])
