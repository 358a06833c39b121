"""One model upstream in simulated time: it reads prompts in pieces, writes tokens in steps, and hands memory over.

A step reads at most one piece, shared by the prompts that are being read in the order in which they were let
in, and writes one token of each running request. Times in seconds on the loop's clock; spans of the sheet in
milliseconds.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from mastturn.engines.memory import Memory, Part
from mastturn.engines.sheet import Llm, Service

ITSELF = 2.0  # times as long a decode upstream takes to read
ITSELF_PIECE = 4  # its pieces are so many times smaller
MOVE_WAIT_S = 2.0  # a move that would wait longer is not begun
PREFILL, DECODE = "prefill", "decode"
FULL, LATE, GONE, MISPLACED, SWITCHING = "full", "deadline", "gone", "misplaced", "switching"


class Caller(Protocol):
    """Whoever sent a call, at the engine's side of the network."""

    def read(self, handle: str) -> None:
        """The prompt is read."""

    def rejected(self, why: str) -> None:
        """It did not run and never will."""

    def begun(self, number: int) -> None:
        """An event of the answer."""

    def ended(self) -> None:
        """The answer is whole."""

    def cut(self) -> None:
        """The connection broke."""


@dataclass(slots=True, eq=False)
class Job:
    """One call at an engine; `pieces`: events of the whole answer, of which `after` are there already."""

    name: str
    caller: Caller
    chain: tuple[Part, ...]
    own: int
    pieces: int
    priority: int
    ends: float
    reads_only: bool
    after: int = 0
    handle: str = ""  # to be fetched
    source: Engine | None = None
    seq: int = 0
    left: int = 0  # tokens of the prompt still to be read
    seen: int = 0  # tokens of it that are there
    written: int = 0  # tokens of the answer
    held: tuple[Part, ...] = ()
    over: bool = False
    had: int = 0  # shared parts that were there when it was let in
    run: int = 0  # counts admissions, so that what was due before a preemption is dropped

    @property
    def parts(self) -> tuple[Part, ...]:
        """All parts of the prompt, the own one last."""
        return (*self.chain, (self.name, self.own))

    @property
    def tokens(self) -> int:
        """Of the whole prompt."""
        return sum(t for _, t in self.chain) + self.own


@dataclass(slots=True)
class Handle:
    """Memory of a prompt that was read."""

    parts: tuple[Part, ...]
    tokens: int
    lapses: float
    taken: bool = False


@dataclass(slots=True)
class Figures:
    """What all engines of a day did."""

    read: int = 0  # tokens
    again: int = 0  # of shared parts that some engine had read before
    wasted: int = 0  # read, and never fetched
    kept: int = 0
    moves: int = 0
    moved_gb: float = 0.0  # as it is priced
    preempted: int = 0
    rejected: int = 0
    orders: int = 0
    crossed: float = 0.0  # bytes between zones, of requests, answers and news
    known: set[str] = field(default_factory=set)  # shared parts that were read


class Engine:
    """One upstream."""

    def __init__(
        self,
        address: str,
        ident: str,
        zone: str,
        speed: float,
        phase: str,
        service: Service,
        figures: Figures,
    ) -> None:
        """`speed`: a factor of the sheet's times; `figures` are those of all engines."""
        self.address, self.ident = address, ident
        self.zone, self.phase, self.speed = zone, phase, speed
        self._service, self._llm, self._figures = service, service.llm, figures
        self.switching = ""  # the part it is about to play
        self.down = False
        self.dark = False
        self.lapse_at_once = False
        self.move_x = 1.0  # moves take so many times as long
        self.draining = False
        self.changed: Callable[[], None] = lambda: None
        self._seq = 0
        self.serial = 0  # of its incarnation
        self.restart()

    def restart(self) -> None:
        """All that it holds is gone."""
        self.serial += 1
        self.memory = Memory(self._llm.kv_tokens, self._llm.block)
        self.handles: dict[str, Handle] = {}
        self.waiting: list[tuple[int, int, Job]] = []  # whose prompts are to be read
        self.arrived: list[tuple[int, int, Job]] = []  # whose memory has been fetched
        self.reading: list[Job] = []
        self.running: dict[str, Job] = {}
        self._fetching: set[Job] = set()
        self._jobs: set[Job] = set()  # all calls that are here
        self._due: list[tuple[int, int, int, Job]] = []  # step, seq, run: an event is to be told
        self._step, self._context, self._stepping = 0, 0, False
        self._link_free = 0.0
        self._emptied = False  # on its way to another part, with nothing left to do
        self._beginning = 0  # prompts read here whose answers begin a moment later

    # ---- calls

    def take(self, job: Job) -> None:
        """A call has arrived."""
        now = asyncio.get_running_loop().time()
        if self.phase == PREFILL and not job.reads_only or self.phase != PREFILL and job.reads_only:
            self._reject(job, MISPLACED)
            return
        if self.switching:
            self._reject(job, SWITCHING)
            return
        if self._out() >= self._service.slots + self._service.queue or not self.memory.fits_ever(job.tokens):
            self._reject(job, FULL)
            return
        self._seq += 1
        job.seq = self._seq
        self._jobs.add(job)
        if job.handle:
            self._fetch(job, now)
        else:
            self._let_wait(job)

    def _out(self) -> int:
        """Calls that are here."""
        return len(self._jobs)

    def drop(self, job: Job) -> None:
        """The caller has closed the connection."""
        if not job.over:
            self._leave(job)

    def _reject(self, job: Job, why: str) -> None:
        job.over = True
        self._jobs.discard(job)
        self._figures.rejected += 1
        job.caller.rejected(why)

    def _leave(self, job: Job) -> None:
        """It is over, in whatever state it is."""
        job.over = True
        self._jobs.discard(job)
        if self.running.pop(job.name, None) is not None:
            self._context -= job.tokens + job.written
        elif job in self.reading:
            self.reading.remove(job)
        self._fetching.discard(job)
        if job.held:
            self.memory.release(job.held, keep=job.left == 0)
            self.memory.shrink(job.written)
            job.held = ()
        self._settle()

    # ---- memory of others

    def _fetch(self, job: Job, now: float) -> None:
        source, llm = job.source, self._llm
        handle = source.handles.get(job.handle) if source is not None and not source.down else None
        wait = max(self._link_free - now, 0.0)
        if source is None or handle is None or handle.taken or wait > MOVE_WAIT_S:
            self._reject(job, GONE)
            return
        handle.taken = True
        far = 2.0 if source.zone != self.zone else 1.0
        move = handle.tokens * llm.kv_bytes * 8 / (llm.link_mbps * 1e6) * far * max(self.move_x, source.move_x)
        took = wait + move + llm.setup_ms / 1000
        self._link_free = now + took
        self._figures.moves += 1
        self._figures.moved_gb += handle.tokens * llm.kv_bytes / 1e9 * far
        self._fetching.add(job)
        serial = self.serial
        asyncio.get_running_loop().call_later(took, self._fetched, job, source, handle, serial)

    def _fetched(self, job: Job, source: Engine, handle: Handle, serial: int) -> None:
        source.let_go(job.handle, handle)
        if serial != self.serial:
            return
        self._fetching.discard(job)
        if not job.over:
            heapq.heappush(self.arrived, (job.priority, job.seq, job))
            self._wake()

    def let_go(self, ref: str, handle: Handle) -> None:
        """A handle was fetched, freed or has lapsed."""
        if self.handles.get(ref) is handle:
            del self.handles[ref]
            self.memory.release(handle.parts)
            self._wake()

    def free(self, ref: str) -> None:
        """DELETE of a handle."""
        handle = self.handles.get(ref)
        if handle is not None and not handle.taken:
            self._figures.wasted += handle.tokens
            self.let_go(ref, handle)

    def _lapse(self, ref: str, handle: Handle) -> None:
        if not handle.taken and self.handles.get(ref) is handle:
            if not self.lapse_at_once:
                self._figures.wasted += handle.tokens
            self.let_go(ref, handle)

    # ---- the queue

    def _let_wait(self, job: Job) -> None:
        heapq.heappush(self.waiting, (job.priority, job.seq, job))
        self._wake()

    def _wake(self) -> None:
        if not self._stepping and not self.down:
            self._begin_step()

    def _admit(self, now: float, room: int) -> None:
        """Let the most urgent in: whose memory is here, and prompts while a piece has room for more of them."""
        while (job := self._next(self.arrived, now)) is not None:
            if not self._hold(job, self.arrived):
                break
            self.memory.read(job.held)
            self._run(job)
        room -= sum(job.left for job in self.reading)
        while room > 0 and (job := self._next(self.waiting, now)) is not None:
            job.had, kept = self.memory.kept(job.chain)
            if not self._hold(job, self.waiting):
                break
            # What was written before is read as well.
            job.left, job.seen = job.tokens - kept + job.after * self._llm.stride, kept
            room -= job.left
            self._figures.kept += kept
            self.reading.append(job)

    def _next(self, queue: list[tuple[int, int, Job]], now: float) -> Job | None:
        """Who is first in a queue, if there is a place for it."""
        while queue and len(self.running) + len(self.reading) < self._llm.batch:
            job = queue[0][2]
            if not job.over and now < job.ends:
                return job
            heapq.heappop(queue)
            if not job.over:
                self._reject(job, LATE)
        return None

    def _hold(self, job: Job, queue: list[tuple[int, int, Job]]) -> bool:
        """Hold the memory of who is first in a queue, and take it out; False while there is no room."""
        if not self.memory.hold(job.parts):
            return False
        heapq.heappop(queue)
        job.held, job.run = job.parts, job.run + 1
        return True

    def _run(self, job: Job) -> None:
        self.running[job.name] = job
        self._context += job.tokens + job.written
        heapq.heappush(self._due, (self._step + 1, job.seq, job.run, job))

    # ---- steps

    def _begin_step(self) -> None:
        loop = asyncio.get_running_loop()
        slower, room = (1.0, self._llm.chunk) if self.phase == PREFILL else (ITSELF, self._llm.chunk // ITSELF_PIECE)
        self._admit(loop.time(), room)
        if not self.running and not self.reading:
            self._stepping = False
            return
        self._stepping = True
        llm = self._llm
        ms = llm.step_ms + llm.context_ms_per_k * self._context / 1000
        if self.running:
            ms += llm.step_ms_per_slot * len(self.running)
        done: list[Job] = []
        if self.reading:
            for job in self.reading:
                piece = min(job.left, room)
                room -= piece
                pairs = piece * (job.seen + piece / 2)
                ms += slower * (piece / llm.prefill_tokens_per_ms + pairs * llm.pairs_ms_per_m / 1e6)
                job.left -= piece
                job.seen += piece
                self._figures.read += piece
                if not job.left:
                    done.append(job)
                if room <= 0:
                    break
        loop.call_later(ms * self.speed / 1000, self._end_step, done, self.serial)

    def _end_step(self, done: list[Job], serial: int) -> None:
        if serial != self.serial:
            return
        self._step += 1
        for job in done:
            if not job.over and job in self.reading:
                self.reading.remove(job)
                self._has_read(job)
        if self.running:
            self._write()
        self._begin_step()
        if self.switching:
            self._settle()

    def _has_read(self, job: Job) -> None:
        """Its prompt is read: the answer follows a little later."""
        self.memory.read(job.held)
        known = self._figures.known
        for place, (name, tokens) in enumerate(job.chain):
            if place >= job.had and name in known:
                self._figures.again += tokens
            known.add(name)
        loop = asyncio.get_running_loop()
        if job.reads_only:
            ref = f"{self.ident}-{job.seq}"
            handle = Handle(job.held, job.tokens, loop.time() + self._llm.handle_s)
            job.held, job.over = (), True
            self._jobs.discard(job)
            self.handles[ref] = handle
            lapse = 0.0 if self.lapse_at_once else self._llm.handle_s
            first = self._llm.first_ms / 1000
            loop.call_later(first + lapse, self._lapse, ref, handle)
            loop.call_later(first, self._tell_read, job, ref, self.serial)
        else:
            self._beginning += 1
            loop.call_later(self._llm.first_ms / 1000, self._begin_run, job, self.serial)

    def _tell_read(self, job: Job, ref: str, serial: int) -> None:
        if serial == self.serial:
            job.caller.read(ref)

    def _begin_run(self, job: Job, serial: int) -> None:
        if serial != self.serial:
            return
        self._beginning -= 1
        if not job.over:
            self._run(job)
            self._wake()

    def _write(self) -> None:
        """One token of each running request."""
        count = len(self.running)
        while not self.memory.grow(count):
            if not self._preempt():
                break
            count = len(self.running)
        self._context += count
        for job in self.running.values():
            job.written += 1
        due, stride = self._due, self._llm.stride
        while due and due[0][0] <= self._step:
            _, _, run, job = heapq.heappop(due)
            if job.over or run != job.run or job.name not in self.running:
                continue
            job.after += 1
            job.caller.begun(job.after)
            if job.after >= job.pieces:
                job.caller.ended()
                self._leave(job)
            else:
                heapq.heappush(due, (self._step + stride, job.seq, job.run, job))

    def _preempt(self) -> bool:
        """The newest of the least urgent gives its memory back, and is read anew."""
        if len(self.running) < 2:
            return False
        job = max(self.running.values(), key=lambda j: (j.priority, j.seq))
        del self.running[job.name]
        self._context -= job.tokens + job.written
        self.memory.release(job.held, keep=False)
        self.memory.shrink(job.written)
        job.held, job.written = (), 0
        self._figures.preempted += 1
        heapq.heappush(self.waiting, (job.priority, job.seq, job))
        return True

    # ---- orders and troubles

    def order(self, phase: str) -> bool:
        """Play another part once what runs has ended; False where another order is under way."""
        if self.switching or self.down:
            return False
        if phase == self.phase:
            return True
        self._figures.orders += 1
        self.switching = phase
        for _, _, job in self.waiting:
            if not job.over:
                self._reject(job, SWITCHING)
        self.waiting.clear()
        self._settle()
        return True

    def _settle(self) -> None:
        if not self.switching or self._emptied:
            return
        if not (self.running or self.reading or self._fetching or self._beginning or self.arrived):
            self._emptied = True
            loop = asyncio.get_running_loop()
            loop.call_later(self._llm.switch_s, self._switch, self.switching, self.serial)

    def _switch(self, phase: str, serial: int) -> None:
        if serial == self.serial:
            self.phase, self.switching, self._emptied = phase, "", False
            self.changed()

    def crash(self, dark: bool) -> None:
        """It is gone, with all that it held: connections reset, or nothing is heard when `dark`."""
        jobs = sorted(self._jobs, key=lambda j: j.seq)
        self.down, self.dark, self.switching = True, dark, ""
        self.restart()
        for job in jobs:
            job.over, job.held = True, ()
            if not dark:
                job.caller.cut()

    def come_back(self) -> None:
        """It starts anew."""
        self.down = self.dark = False


def is_sheet_whole(llm: Llm) -> bool:
    """Whether the figures can be played at all."""
    return min(llm.batch, llm.step_ms, llm.prefill_tokens_per_ms, llm.stride, llm.chunk, llm.kv_tokens) > 0
