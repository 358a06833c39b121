"""Streams of events (`text/event-stream`): whole events only, and their ids without gaps or repeats."""

from __future__ import annotations

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ \t]*([0-9]{1,18})[ \t]*(?=[\r\n])")

MAX_EVENT_BYTES = 1024 * 1024  # bytes of one event; a longer one is no event


class BadStreamError(Exception):
    """An event is missing, comes twice or never ends: nothing more counts. `good`: what came before."""

    def __init__(self, good: bytes) -> None:
        super().__init__("an event is missing, comes twice or never ends")
        self.good = good


class EventReader:
    """Splits what comes into whole events and checks their ids, which rise by one from `after` on."""

    def __init__(self, after: int | None = None) -> None:
        self.last_event_id = after  # id of the last event that was given out; None: none had one yet
        self.events = 0
        self._held = b""

    def begin_anew(self) -> None:
        """Another upstream goes on after `last`: half an event of the first is dropped."""
        self._held = b""

    def is_between(self) -> bool:
        """Whether nothing of an unfinished event has come."""
        return not self._held.strip(b"\r\n")

    def feed(self, data: bytes) -> bytes:
        """The whole events that are there now; raises BadStreamError with those before the bad one."""
        data = self._held + data if self._held else data
        start = 0
        for end in _END.finditer(data):
            if not self._check(data, start, end.end()):
                raise BadStreamError(data[:start])
            start = end.end()
        self._held = data[start:]
        if len(self._held) > MAX_EVENT_BYTES:
            raise BadStreamError(data[:start])
        return data[:start]

    def _check(self, data: bytes, start: int, end: int) -> bool:
        found = _ID.search(data, start, end) if start == 0 else _ID.search(data, start - 1, end)
        if found is None:
            return True
        number = int(found[1])
        if self.last_event_id is not None and number != self.last_event_id + 1:
            return False
        self.last_event_id = number
        self.events += 1
        return True
