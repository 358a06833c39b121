"""The batch of one engine: who waits, whose prompts are being read, who writes, step by step.

A step reads at most one piece, shared by the prompts that are being read in the order in which they were let
in, and writes one token of each running request.
"""

from __future__ import annotations

import asyncio
import heapq
from typing import Protocol

from mastturn.engines.deployment import Llm
from mastturn.engines.jobs import LATE, PREFILL, Figures, Job
from mastturn.engines.memory import Memory

ITSELF = 2.0  # times as long a decode upstream takes to read
ITSELF_PIECE = 4  # its pieces are so many times smaller
Queue = list[tuple[int, int, Job]]  # the most urgent first, then the oldest


class Owner(Protocol):
    """The engine that it belongs to."""

    @property
    def phase(self) -> str:
        """The part that it plays."""

    @property
    def speed(self) -> float:
        """A factor of the sheet's times."""

    def settle(self) -> None:
        """See whether all that ran has ended."""

    def has_read(self, job: Job) -> None:
        """A prompt is read."""

    def leave(self, job: Job) -> None:
        """A call is over."""

    def reject(self, job: Job, why: str) -> None:
        """It did not run and never will."""


class Batch:
    """What one incarnation of an engine is at work on."""

    def __init__(self, engine: Owner, llm: Llm, memory: Memory, figures: Figures) -> None:
        self._engine, self._llm, self._memory, self._figures = engine, llm, memory, figures
        self.waiting: Queue = []  # whose prompts are to be read
        self.arrived: Queue = []  # whose memory has been fetched
        self.reading: list[Job] = []
        self.running: dict[str, Job] = {}
        self.is_over = False  # the process has ended
        self._beginning = 0  # prompts read here whose answers begin a moment later
        self._due: list[tuple[int, int, int, Job]] = []  # step, seq, run: an event is to be told
        self._step, self._context, self._stepping = 0, 0, False

    def is_empty(self) -> bool:
        """Whether nothing is under way; what only waits does not count."""
        return not (self.running or self.reading or self.arrived or self._beginning)

    def let_wait(self, job: Job) -> None:
        """Its prompt is to be read."""
        heapq.heappush(self.waiting, (job.priority, job.seq, job))
        self.wake()

    def let_run(self, job: Job) -> None:
        """Its memory is here."""
        heapq.heappush(self.arrived, (job.priority, job.seq, job))
        self.wake()

    def leave(self, job: Job) -> None:
        """A call is over, in whatever state it is."""
        if self.running.pop(job.name, None) is not None:
            self._context -= job.tokens + job.written
        elif job in self.reading:
            self.reading.remove(job)
        if job.held:
            self._memory.release(job.held, keep=job.left == 0)
            self._memory.shrink(job.written)
            job.held = ()

    def wake(self) -> None:
        """There may be something to do."""
        if not self._stepping and not self.is_over:
            self._begin_step()

    # ---- letting in

    def _admit(self, now: float, room: int) -> None:
        """Let the most urgent in: whose memory is here, and prompts while a piece has room for more."""
        while (job := self._next(self.arrived, now)) is not None:
            if not self._hold(job, self.arrived):
                break
            self._memory.read(job.held)
            self._run(job)
        room -= sum(job.left for job in self.reading)
        while room > 0 and (job := self._next(self.waiting, now)) is not None:
            job.had, kept = self._memory.kept(job.chain)
            if not self._hold(job, self.waiting):
                break
            # What was written before is read as well.
            job.left, job.seen = job.tokens - kept + job.after * self._llm.stride, kept
            room -= job.left
            self._figures.kept += kept
            self.reading.append(job)

    def _next(self, queue: Queue, now: float) -> Job | None:
        """Who is first in a queue, if there is a place for it."""
        while queue and len(self.running) + len(self.reading) < self._llm.batch:
            job = queue[0][2]
            if not job.over and now < job.ends:
                return job
            heapq.heappop(queue)
            if not job.over:
                self._engine.reject(job, LATE)
        return None

    def _hold(self, job: Job, queue: Queue) -> bool:
        """Hold the memory of who is first in a queue, and take it out; False while there is no room."""
        if not self._memory.hold(job.parts):
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
        loop, llm = asyncio.get_running_loop(), self._llm
        reads = self._engine.phase == PREFILL
        slower, room = (1.0, llm.chunk) if reads else (ITSELF, llm.chunk // ITSELF_PIECE)
        self._admit(loop.time(), room)
        if not self.running and not self.reading:
            self._stepping = False
            return
        self._stepping = True
        ms = llm.step_ms + llm.context_ms_per_k * self._context / 1000
        if self.running:
            ms += llm.step_ms_per_slot * len(self.running)
        done: list[Job] = []
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
        loop.call_later(ms * self._engine.speed / 1000, self._end_step, done)

    def _end_step(self, done: list[Job]) -> None:
        if self.is_over:
            return
        self._step += 1
        for job in done:
            if not job.over and job in self.reading:
                self.reading.remove(job)
                self._has_read(job)
        if self.running:
            self._write()
        self._begin_step()
        self._engine.settle()

    def _has_read(self, job: Job) -> None:
        """Its prompt is read: the answer follows a little later."""
        self._memory.read(job.held)
        known = self._figures.known
        for place, (name, tokens) in enumerate(job.chain):
            if place >= job.had and name in known:
                self._figures.again += tokens
            known.add(name)
        if job.reads_only:
            self._engine.has_read(job)
        else:
            self._beginning += 1
            asyncio.get_running_loop().call_later(self._llm.first_ms / 1000, self._begin_run, job)

    def _begin_run(self, job: Job) -> None:
        self._beginning -= 1
        if not job.over and not self.is_over:
            self._run(job)
            self.wake()

    def _write(self) -> None:
        """One token of each running request."""
        while not self._memory.grow(len(self.running)):
            if not self._preempt():
                break
        self._context += len(self.running)
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
                self._engine.leave(job)
            else:
                heapq.heappush(due, (self._step + stride, job.seq, job.run, job))

    def _preempt(self) -> bool:
        """The newest of the least urgent gives its memory back, and is read anew."""
        if len(self.running) < 2:
            return False
        job = max(self.running.values(), key=lambda j: (j.priority, j.seq))
        del self.running[job.name]
        self._context -= job.tokens + job.written
        self._memory.release(job.held, keep=False)
        self._memory.shrink(job.written)
        job.held, job.written = (), 0
        self._figures.preempted += 1
        heapq.heappush(self.waiting, (job.priority, job.seq, job))
        return True
