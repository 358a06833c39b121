"""The agent on a balancer's machine: follows the replicas, answers the balancer at once with what it holds.

While every replica fails it stays silent to watches, since it can't know whether anything has changed, and
still gives the list that it has to whoever asks for it whole, with its age (`age_ms`, header `Age`).
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec
from aiohttp import web

from fleet.registry import follower as core
from fleet.registry.entries import Entry
from fleet.registry.history import Changes, HistoryState
from mastturn.registry.form import PATH, Detail, FormError, Source, as_detail, as_entry, write_listing
from mastturn.registry.http import (
    WRITTEN,
    AskError,
    Place,
    Waiters,
    ask_list,
    now_ms,
    read_question,
    send,
    send_small,
    session,
)

log = logging.getLogger(__name__)

PACE = 4.0  # the next answer is asked for after so many times what the snapshot took to write
FORMAT = 1
MOST_BODIES = 64  # of answers that are kept for others who ask the same


@dataclass(frozen=True, slots=True)
class Options:
    """An agent's place: `replicas` are addresses, `snapshot` a file or nothing."""

    listen: str
    replicas: tuple[str, ...]
    list: str = ""
    snapshot: Path | None = None
    seed: int | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """The agent's file."""

    format: int
    list: str
    revision: int
    floor: int
    holes: tuple[tuple[int, int], ...]
    seen: dict[str, int]
    entries: tuple[tuple[int, Detail], ...]


def read_snapshot(path: Path, list_name: str) -> core.FollowerState:
    """What an earlier process has kept; nothing, with a line in the log, if that is spoilt."""
    try:
        told = msgspec.json.decode(path.read_bytes(), type=Snapshot)
        if told.format != FORMAT or told.list != list_name:
            raise FormError(f"it is of format {told.format} and of list {told.list!r}")
        entries: tuple[tuple[int, Entry], ...] = tuple((r, as_entry(e, e.id)) for r, e in told.entries)
    except FileNotFoundError:
        return core.FollowerState()
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError, FormError) as error:
        log.error("discovery: snapshot %s can't be used: %s", path, error)
        return core.FollowerState()
    return core.FollowerState(HistoryState(told.revision, told.floor, told.holes, entries), told.seen)


def write_snapshot(path: Path, list_name: str, kept: core.FollowerState) -> None:
    """Write it whole or not at all; raises OSError."""
    entries = tuple((revision, as_detail(entry)) for revision, entry in kept.history.entries)
    marks = kept.history
    told = Snapshot(FORMAT, list_name, marks.revision, marks.floor, marks.holes, kept.seen, entries)
    part = path.with_name(path.name + ".part")
    part.write_bytes(msgspec.json.encode(told))
    os.replace(part, path)


class Agent:
    """One list, for the balancers of one machine."""

    def __init__(self, options: Options) -> None:
        """Raises ValueError on options that can't be used."""
        self._options = options
        seed = options.seed if options.seed is not None else random.getrandbits(64)
        kept = read_snapshot(options.snapshot, options.list) if options.snapshot else None
        self.follower = core.Follower(options.replicas, options.list, seed, time.time(), kept)
        self.waiters = Waiters()
        self._up = asyncio.Event()
        self._has_list = asyncio.Event()
        if len(self.follower.history):
            self._has_list.set()
        self._asking: asyncio.Task[None] | None = None
        self._pausing: asyncio.TimerHandle | None = None
        self._pace_s = 0.0
        self._shared: dict[int | None, Changes] = {}  # answers at one revision
        self._shared_at = -1
        self._bodies: dict[tuple[int | None, bool, float], bytes] = {}
        self.place = Place(options.listen, [web.get(PATH, self._read), web.get("/health/live", self._live)])

    async def start(self) -> None:
        """Listen and follow; raises OSError."""
        await self.place.start()
        log.info("discovery: agent at %s, %d entries", self.place.address, len(self.follower.history))
        self._client = session()
        self._do(core.Begin())

    async def stop(self) -> None:
        """End."""
        if self._pausing is not None:
            self._pausing.cancel()
        if self._asking is not None:
            self._asking.cancel()
            await asyncio.gather(self._asking, return_exceptions=True)
        await self._client.close()
        self.waiters.wake(None)
        await self.place.stop()

    # ---- the decisions ---------------------------------------------------------------------------

    def _do(self, event: core.Event) -> None:
        loop = asyncio.get_running_loop()
        actions = self.follower.handle(event, now_ms())
        if isinstance(event, core.ListReceived) and self.follower.last_response_at is not None:
            self._has_list.set()
        if self.follower.is_down:
            self._up.clear()
        elif self.follower.last_response_at is not None:
            self._up.set()
        for action in actions:
            match action:
                case core.FetchList():
                    self._asking = loop.create_task(self._ask(action))
                    self._pace_s = 0.0
                case core.Backoff(wait):
                    self._pausing = loop.call_later(wait / 1000, self._do, core.BackoffElapsed())
                case core.Changed():
                    self._save()  # first of all: a new process must not begin before what was told
                    self.waiters.wake(None)
                case core.Log(text):
                    log.info("%s", text)

    async def _ask(self, ask: core.FetchList) -> None:
        event: core.Event
        if self._pace_s:
            await asyncio.sleep(self._pace_s)
        try:
            got = await ask_list(self._client, ask.replica, ask.after, ask.wait_ms, list=self._options.list)
            event = core.ListReceived(ask.replica, got.replica, got.changes, got.epoch, got.seen)
        except AskError as error:
            event = core.FetchFailed(ask.replica, str(error))
        self._do(event)

    def _save(self) -> None:
        if self._options.snapshot is None:
            return
        began = time.monotonic()
        try:
            write_snapshot(self._options.snapshot, self._options.list, self.follower.state())
        except OSError as error:
            log.error("discovery: no snapshot: %s", error)
        self._pace_s = PACE * (time.monotonic() - began)

    # ---- readers ---------------------------------------------------------------------------------

    def _age_ms(self) -> float:
        heard = self.follower.last_response_at
        return now_ms() - heard if heard is not None else 0.0

    async def _read(self, request: web.Request) -> web.StreamResponse:
        question = read_question(request)
        if question.list not in ("", self._options.list):
            raise FormError(f"list: this agent has {self._options.list!r} alone")
        await self._has_list.wait()  # silent until there is something to say
        history = self.follower.history
        after = question.after
        if after is not None and history.is_lost_revision(after):
            history.advance_past(after)
        if after is not None and history.can_resume_from(after):
            if question.wait_s and not self._changes(after).entries:
                tell = partial(self._tell, request, after, question.detail)
                if await self.waiters.wait("", question.wait_s, tell):
                    return WRITTEN
            if not self._changes(after).entries:
                # That nothing has changed is more than we know while every replica is silent.
                await self._up.wait()
        else:
            after = None
        body, age = self._body(after, question.detail)
        return await send(request, body, {"Age": str(int(age / 1000))})

    def _tell(self, request: web.Request, after: int, detail: bool) -> bool:
        """Answer a watch at once."""
        if not self._changes(after).entries:
            return False
        body, age = self._body(after, detail)
        return send_small(request, body, {"Age": str(int(age / 1000))})

    def _changes(self, after: int | None) -> Changes:
        """What came after a revision; the same for all who ask from there."""
        history = self.follower.history
        if self._shared_at != history.revision:
            self._shared_at = history.revision
            self._shared.clear()
            self._bodies.clear()
        if (found := self._shared.get(after)) is None:
            found = self._shared[after] = history.changes_since(after)
        return found

    def _body(self, after: int | None, detail: bool) -> tuple[bytes, float]:
        """An answer's bytes, and the list's age in ms, to a tenth of a second."""
        changes = self._changes(after)
        history, age = self.follower.history, self._age_ms() // 100 * 100
        place = (after, detail, age)
        if (body := self._bodies.get(place)) is None:
            source = Source(self.follower.source, self.follower.seen)
            if len(self._bodies) >= MOST_BODIES:
                self._bodies.clear()
            body = self._bodies[place] = write_listing(changes, history.epoch, detail, source, age)
        return body, age

    async def _live(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text="live\n")
