"""Collects the log lines of one request from the files of several processes, in order of time."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from mastturnd.wrong import UsageError

_PAIR = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S*)""")
_TIME = re.compile(r"(\d\d):(\d\d):(\d\d\.\d{3})")
DAY_S, HALF_DAY_S = 86_400.0, 43_200.0
MAX_LINE_CHARS = 64 * 1024  # characters; longer lines are not log lines of this program


@dataclass(frozen=True, slots=True)
class Event:
    """One log line; `at` is in seconds from the first midnight of its file."""

    at: float
    time: str
    process: str
    fields: dict[str, str]

    @property
    def name(self) -> str:
        """The name of the event."""
        return self.fields.get("event", "")


def parse_pairs(line: str) -> dict[str, str]:
    """Return the key=value pairs of a line, without surrounding quotes."""
    return {key: value[1:-1] if value[:1] in ("'", '"') else value for key, value in _PAIR.findall(line)}


def events(lines: Iterable[str], process: str) -> Iterator[Event]:
    """Yield the events of one process's log; other lines are skipped. The log may pass midnight."""
    day, last = 0.0, 0.0
    for line in lines:
        if len(line) > MAX_LINE_CHARS or not line.startswith("time="):
            continue
        fields = parse_pairs(line)
        timestamp = _TIME.fullmatch(fields.get("time", ""))
        if timestamp is None:
            continue
        at = int(timestamp[1]) * 3600 + int(timestamp[2]) * 60 + float(timestamp[3])
        if at + day < last - HALF_DAY_S:
            day += DAY_S
        last = at + day
        yield Event(last, fields["time"], process, fields)


def trace(request: str, names: list[str]) -> list[Event]:
    """Return the events of a request; a process is named after its file. Raises UsageError."""
    found: list[Event] = []
    for name in names:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                process_events = events(file, Path(name).stem)
                found += [event for event in process_events if event.fields.get("request") == request]
        except OSError as error:
            raise UsageError(f"{name} can't be read ({error.strerror})", "name log files") from None
    return sorted(found, key=lambda event: event.at)
