"""Clients in simulated time: they ask, come again after a refusal or failure, and note what they get."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from mastturn.engines.demand import Asked
from mastturn.engines.records import Record
from passpost.http1 import FlowControl, Response, ResponseStart

AGAIN_S = 0.2  # after a failure
UNREAD_MOST = (
    4  # tries that no balancer took up, which do not count; each waits twice as long as the one before
)
WAIT_SHARE = 1 / 3  # of the time left that a Retry-After is heeded
GIVE_UP = (2.0, 4.0, 8.0)  # seconds, objectives, longest pauses: the longest of these without a word


class Door(Protocol):
    """A balancer as clients see it."""

    def take(self, asked: Asked, name: bytes, left: float, after: int | None, client: Try) -> int | None:
        """A whole request is there; its number, None if nobody takes it."""

    def left(self, number: int) -> None:
        """The client has gone."""

    def is_starting(self) -> bool:
        """Whether it listens, and will take requests in a moment."""

    def wait(self, then: Callable[[], None]) -> None:
        """Do that once it takes requests."""


class Try:
    """One try: the client side of one answer."""

    def __init__(self, user: User, door: Door) -> None:
        self._user, self.door = user, door
        self.number: int | None = None
        self.over = False

    def is_connected(self) -> bool:
        """Whether it still waits."""
        return not self.over

    def send_response(self, answer: Response) -> None:
        """A whole answer; none that is emulated is."""
        self._user.back(self, self._user.failed)

    def begin_response(self, start: ResponseStart, flow: FlowControl) -> None:
        """A stream begins."""

    def send_body(self, data: bytes) -> None:
        """Events of it."""
        self._user.back(self, self._user.heard, data.count(b"id: "))

    def complete(self) -> None:
        """It has ended in order."""
        self._user.back(self, self._user.done)

    def abort(self) -> None:
        """It never will."""
        self._user.back(self, self._user.failed)

    def refuse(self, retry_after_ms: float) -> None:
        """It has not run."""
        self._user.back(self, self._user.refused, retry_after_ms / 1000)

    def fail(self, status: int) -> None:
        """It may have run."""
        self._user.back(self, self._user.failed)


class User:
    """The client of one request, through all its tries."""

    def __init__(
        self,
        record: Record,
        choose: Callable[[Asked, int], Door | None],
        way: float,
        closed: Callable[[Record], None],
    ) -> None:
        """`way`: seconds to a balancer."""
        self._record, self._choose, self._way, self._closed = record, choose, way, closed
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._ends = self._began + record.asked.kind.deadline_ms / 1000
        self._try_began = self._began
        self._try: Try | None = None
        self._timer = self._loop.call_at(self._ends, self._expired)
        self._heard_at = self._began
        kind = record.asked.kind
        spans = (kind.aim_ms, kind.stream.gap_aim_ms)
        self._unread = 0
        self._patience = max(GIVE_UP[0], GIVE_UP[1] * spans[0] / 1000, GIVE_UP[2] * spans[1] / 1000)

    def begin(self) -> None:
        """Ask."""
        record = self._record
        if record.end != "open":
            return
        record.tries += 1
        self._try_began = self._loop.time()
        door = self._choose(record.asked, record.tries + self._unread)
        if door is None:
            self.unread()
            return
        self._try = Try(self, door)
        self._loop.call_later(self._way, self._arrive, self._try)

    def _arrive(self, current: Try) -> None:
        if current.over:
            return
        name = b"%d-%d-%d" % (self._record.asked.number, self._record.tries, self._unread)
        after = self._record.pieces if self._record.pieces else None
        left = self._ends - self._loop.time()
        if current.door.is_starting():
            current.door.wait(lambda: self._arrive(current))
            return
        current.number = current.door.take(self._record.asked, name, left, after, current)
        if current.number is None:
            self.back(current, self.unread)

    def back(self, current: Try, then: Callable[..., None], *args: float) -> None:
        """What a balancer says, on its way."""
        self._loop.call_later(self._way, self._told, current, then, args)

    def _told(self, current: Try, then: Callable[..., None], args: tuple[float, ...]) -> None:
        if not current.over:
            then(*args)

    def heard(self, count: int) -> None:
        """Events have come."""
        now, record = self._loop.time(), self._record
        if record.first is None:
            record.first = now - self._began
            record.again_first = now - self._try_began
        else:
            record.pause = max(record.pause, now - self._heard_at)
        self._heard_at = now
        record.pieces += count

    def done(self) -> None:
        """The answer is whole."""
        self._record.whole = self._record.pieces == self._record.asked.pieces
        self._close("served" if self._record.whole else "failed")

    def refused(self, after_s: float) -> None:
        """It has not run."""
        record, now = self._record, self._loop.time()
        record.refusals += 1
        if record.refused is None:
            record.refused = now - self._began
        self._end_try()
        if record.tries > record.asked.kind.retries:
            self._close("refused")
        else:
            self._again(min(after_s, max(self._ends - now, 0.0) * WAIT_SHARE))

    def failed(self) -> None:
        """It may have run."""
        self._end_try()
        kind = self._record.asked.kind
        if kind.stream.resume and self._record.tries <= kind.retries:
            self._again(AGAIN_S)
        else:
            self._close("failed")

    def unread(self) -> None:
        """Nobody was there to take it."""
        self._end_try()
        self._unread += 1
        if self._unread <= UNREAD_MOST:
            self._record.tries -= 1
            self._again(AGAIN_S * 2 ** (self._unread - 1))
        else:
            self.failed()

    def _again(self, wait: float) -> None:
        if self._loop.time() + wait >= self._ends:
            self._close("refused" if self._record.refusals else "failed")
        else:
            self._loop.call_later(wait, self.begin)

    def _end_try(self) -> None:
        if self._try is not None:
            self._try.over = True
            self._try = None

    def _expired(self) -> None:
        current = self._try
        if current is not None and current.number is not None:
            self._loop.call_later(self._way, current.door.left, current.number)
        self._close("deadline")

    def _close(self, end: str) -> None:
        if self._record.end == "open":
            self._end_try()
            self._timer.cancel()
            self._record.end, self._record.last = end, self._loop.time() - self._began
            self._closed(self._record)
