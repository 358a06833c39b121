"""Parses event streams (`text/event-stream`) into whole events with consecutive ids."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ \t]*([0-9]{1,18})[ \t]*(?=[\r\n])")

MAX_EVENT_BYTES = 1024 * 1024  # a longer event makes its stream invalid


class BadStreamError(Exception):
    """An event is missing, repeated or without end. `valid`: the whole events before it."""

    def __init__(self, valid: bytes) -> None:
        super().__init__("event missing, repeated or without end")
        self.valid = valid


class EventReader:
    """Splits a stream into whole events and checks their ids, which must rise by one from `after` on."""

    def __init__(self, after: int | None = None) -> None:
        self.last_event_id = after  # of the last event returned; None: none had an id yet
        self.events = 0
        self._held = b""

    def on_new_run(self) -> None:
        """Drop a partial event, as another run continues after `last_event_id`."""
        self._held = b""

    def is_between(self) -> bool:
        """Return whether no partial event is held."""
        return not self._held.strip(b"\r\n")

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete; raises BadStreamError with those before a bad one."""
        data = self._held + data if self._held else data
        start = 0
        for end in _EVENT_END.finditer(data):
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
