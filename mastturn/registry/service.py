"""A replica on sockets: what readers, registrants and peers call are events of `fleet.registry.replica`."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from aiohttp import web

from fleet.registry import replica as core
from fleet.registry.history import Changes
from mastturn.registry.committer import RETRY_S, Committer, HostAction
from mastturn.registry.disk_thread import DiskThread
from mastturn.registry.figures import State, figures_text
from mastturn.registry.form import PATH, FormError, Source, read_number, read_written, write_listing
from mastturn.registry.http import (
    WRITTEN,
    AskError,
    Place,
    Question,
    Waiters,
    ask_list,
    now_ms,
    read_question,
    send,
    send_small,
    session,
)
from mastturn.registry.store import Store, StoreError

log = logging.getLogger(__name__)

PEER_WAIT_MS = 1_000.0  # short: the answer tells how many of a peer's leases are late
SYNC_S = 2.0  # a new process waits so long for a peer's list before it answers readers from its own alone
PAUSE_S = (0.1, 1.0)  # before a peer that failed is asked again
SNAPSHOT_S = 300.0
WAKE_S = 0.02  # after news, changes within so long are told together


@dataclass(frozen=True, slots=True)
class Options:
    """One replica's place: `peers` are addresses by name, `data` its file."""

    name: str
    listen: str
    data: Path
    peers: dict[str, str]
    forget_s: float = 86_400.0


class Service:
    """One replica: hosts the decisions, the disk and the watches."""

    def __init__(self, options: Options) -> None:
        """Raises StoreError and ValueError on options that can't be used."""
        self._options = options
        settings = core.Settings(options.name, tuple(options.peers), options.forget_s * 1000)
        self._store = Store(options.data, options.name)
        kept = self._store.open()
        if self._store.lost:
            log.error("registry: %s; what is missing comes from the peers", self._store.lost)
        self.replica = core.Replica(settings, time.time(), now_ms(), kept)
        self._committer = Committer(self.replica, self._store, self._told, self._carry_out)
        self.waiters = Waiters()
        self.counts: Counter[str] = Counter()
        self.answers = 0
        self.peers_heard: dict[str, float] = {}
        self._calls = 0
        self._timer: asyncio.TimerHandle | None = None
        self._waking: asyncio.Task[None] | None = None
        self._woken = -WAKE_S  # when readers were last told
        self._to_wake: set[str] = set()
        self._answers: dict[tuple[int | None, str, bool, tuple[int, int]], tuple[Changes, bytes]] = {}
        self._answers_at = -1
        self._synced = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.place = Place(
            options.listen,
            [
                web.get(PATH, self._read),
                web.put(PATH + "/{id}", self._put),
                web.delete(PATH + "/{id}", self._remove),
                web.get("/health/live", self._live),
                web.get("/health/ready", self._ready),
                web.get("/metrics", self._metrics),
            ],
        )

    # ---- its life --------------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen and follow the peers; raises OSError."""
        await self.place.start()
        log.info("registry: replica %s at %s, %d entries", self._options.name, self.place.address,
                 len(self.replica.history))  # fmt: skip
        loop = asyncio.get_running_loop()
        self._committer.start()
        self._client = session()
        self._tasks = [loop.create_task(self._follow(name)) for name in self._options.peers]
        self._tasks.append(loop.create_task(self._keep_snapshots()))
        if self._options.peers:
            loop.call_later(SYNC_S, self._synced.set)
        else:
            self._synced.set()
        self._committer.submit(core.TimeDue())

    async def stop(self) -> None:
        """End; everything that was acknowledged is on disk."""
        if self._timer is not None:
            self._timer.cancel()
        tasks = [*self._tasks, *([self._waking] if self._waking is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()
        self.waiters.wake(None)
        await self.place.stop()
        await self._committer.stop()

    # ---- the decisions ---------------------------------------------------------------------------

    @property
    def failing(self) -> str:
        """What the disk said last, if it fails; else nothing."""
        return self._committer.failing

    def is_settled(self) -> bool:
        """Whether all that the replica knows is stored, or the disk has failed."""
        return self._committer.is_settled()

    def _carry_out(self, action: HostAction) -> None:
        match action:
            case core.SetTimer(at):
                if self._timer is not None:
                    self._timer.cancel()
                wait_s = max(at - now_ms(), 0.0) / 1000
                self._timer = asyncio.get_running_loop().call_later(wait_s, self._due)
            case core.Log(text):
                log.info("%s", text)

    def _due(self) -> None:
        self._timer = None
        self._committer.submit(core.TimeDue())

    def _told(self, lists: frozenset[str]) -> None:
        """Readers of these lists can be told of changes: the first of several at once."""
        self._to_wake |= lists
        if self._waking is None:
            self._waking = asyncio.get_running_loop().create_task(self._wake())

    async def _wake(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(self._woken + WAKE_S - loop.time(), 0.0))
        await self._committer.settled()
        self._waking, self._woken = None, loop.time()
        lists, self._to_wake = frozenset(self._to_wake), set()
        self.waiters.wake(lists)

    async def _keep_snapshots(self) -> None:
        """Copy the file now and then, in a thread of its own: a write does not wait for the copy."""
        thread = DiskThread("snapshots")
        try:
            while True:
                await asyncio.sleep(RETRY_S)
                if self.failing:
                    continue
                try:
                    await thread.run(self._store.snapshot)
                except StoreError as error:
                    log.error("registry: no snapshot: %s", error)
                await asyncio.sleep(SNAPSHOT_S)
        finally:
            thread.stop()

    # ---- peers -----------------------------------------------------------------------------------

    async def _follow(self, peer: str) -> None:
        """Take over what a peer's log tells, for as long as we run."""
        said = ""
        while True:
            pause = 0.0
            # What is not on disk yet is asked for again: a peer may forget what we say that we have.
            after = self._committer.stored_seen.get(peer)
            try:
                got = await ask_list(
                    self._client, self._options.peers[peer], after, PEER_WAIT_MS, replica=self._options.name
                )
                if got.replica != peer:
                    raise AskError(f"it calls itself {got.replica!r}")
                await self._committer.submit(
                    core.PeerResponse(peer, got.changes, got.seen, got.late, got.held)
                )
                if not self.failing:  # what the answer held is stored, or was known
                    self._committer.stored_seen[peer] = self.replica.seen[peer]
                self.peers_heard[peer] = time.monotonic()
                self._synced.set()
                if said:
                    log.info("registry: peer %s answers again", peer)
                said = ""
                pause = RETRY_S if self.failing else 0.0
            except AskError as error:
                if not said:
                    log.warning("registry: peer %s: %s", peer, error)
                said = str(error)
                pause = random.uniform(*PAUSE_S)
            await asyncio.sleep(pause)

    # ---- readers ---------------------------------------------------------------------------------

    async def _read(self, request: web.Request) -> web.StreamResponse:
        question = read_question(request)
        history = self.replica.history
        is_peer = question.replica in self._options.peers
        if not is_peer:  # peers begin together: one that waited for the other would wait for itself
            await self._synced.wait()
        if question.replica and not is_peer:
            raise FormError(f"replica: {question.replica!r} is no peer of {self._options.name!r}")
        after = question.after
        if after is not None:
            if history.is_lost_revision(after):
                history.advance_past(after)
                log.warning("registry: a reader knows revision %d, which we have lost: a new epoch", after)
            if is_peer:
                self._committer.submit(core.PeerRequest(question.replica, after))
        await self._committer.settled()
        changes, body = self._answer(after, question, is_peer)
        if not changes.is_full and not changes.entries and question.wait_s:
            tell = partial(self._tell, request, question, is_peer)
            if await self.waiters.wait(None if is_peer else question.list, question.wait_s, tell):
                return WRITTEN
            await self._committer.settled()
            changes, body = self._answer(after, question, is_peer)
        self.answers += 1
        return await send(request, body)

    def _tell(self, request: web.Request, question: Question, is_peer: bool) -> bool:
        """Answer a watch at once."""
        changes, body = self._answer(question.after, question, is_peer)
        told = (changes.is_full or bool(changes.entries)) and send_small(request, body)
        self.answers += told
        return told

    def _answer(self, after: int | None, question: Question, is_peer: bool) -> tuple[Changes, bytes]:
        """The answer and its bytes, which are the same for all who know the same."""
        history = self.replica.history
        if self._answers_at != history.revision:
            self._answers.clear()
            self._answers_at = history.revision
        leases = self.replica.lease_counts(now_ms()) if is_peer else (0, 0)
        place = (after, "\n" if is_peer else question.list, question.detail, leases)
        if (found := self._answers.get(place)) is None:
            changes = history.changes_since(after)
            if not is_peer:
                changes = changes.for_list(question.list)
            who = Source()
            if question.detail:
                who = Source(self._options.name, self.replica.version_vector(), *leases)
            body = write_listing(
                changes, history.epoch, question.detail, who, doubt=self.replica.is_expiry_suspended()
            )
            found = self._answers[place] = (changes, body)
        return found

    # ---- writers ---------------------------------------------------------------------------------

    async def _put(self, request: web.Request) -> web.StreamResponse:
        list_name = request.query.get("list", "")
        entry, incarnation = read_written(await request.read(), request.match_info["id"], list_name)
        self._calls += 1
        return await self._reply(core.Put(self._calls, entry, incarnation))

    async def _remove(self, request: web.Request) -> web.StreamResponse:
        words = request.query
        number = None
        if "incarnation" in words:
            number = read_number(words["incarnation"], "incarnation", 2**53 - 1)
        self._calls += 1
        key = (words.get("list", ""), request.match_info["id"])
        return await self._reply(core.Remove(self._calls, key, number))

    async def _reply(self, event: core.Put | core.Remove) -> web.Response:
        if self.failing:
            self.counts["503"] += 1
            return web.Response(status=503, text=f"not stored: {self.failing}\n")
        reply = await self._committer.submit(event)
        assert reply is not None
        status = 503 if self.failing and reply.status == 200 else reply.status
        self.counts[str(status)] += 1
        if status == 503:
            return web.Response(status=503, text=f"not stored: {self.failing}\n")
        if reply.entry is None:
            return web.Response(status=status, text=f"{reply.reason}\n")
        entry = reply.entry
        values = {
            "id": entry.id,
            "incarnation": entry.incarnation,
            "phase": entry.phase,
            "revision": self.replica.history.revision_of(entry.key),
            "replica": self._options.name,
        }
        return web.json_response(values)

    # ---- health ----------------------------------------------------------------------------------

    async def _live(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text="live\n")

    async def _ready(self, request: web.Request) -> web.StreamResponse:
        ready = self._synced.is_set()
        return web.Response(status=200 if ready else 503, text="ready\n" if ready else "no list yet\n")

    async def _metrics(self, request: web.Request) -> web.StreamResponse:
        state = State(
            self.replica, self.waiters.count, bool(self.failing), self.counts, self.answers, self.peers_heard
        )
        return web.Response(
            body=figures_text(state), headers={"Content-Type": "application/openmetrics-text"}
        )
