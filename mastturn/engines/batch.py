"""Continuous batching of one engine: queues, prefill and decode, step by step.

A step prefills at most one chunk, shared by the admitted prompts in order of admission, and generates one
token of each running request.
"""

from __future__ import annotations

import asyncio
import heapq
from typing import Protocol

from mastturn.engines.deployment import Llm
from mastturn.engines.jobs import LATE, PREFILL, Counters, Job
from mastturn.engines.memory import Memory

DECODE_PREFILL_SLOWDOWN = 2.0  # prefill on a decode upstream takes this many times as long
DECODE_CHUNK_DIVISOR = 4  # and its chunks are this many times smaller
Queue = list[tuple[int, int, Job]]  # heap by priority, then by arrival


class BatchEngine(Protocol):
    """What a batch needs of its engine."""

    @property
    def phase(self) -> str:
        """Phase that the engine serves."""

    @property
    def speed(self) -> float:
        """Factor on the times of the deployment file."""

    def check_drained(self) -> None:
        """Check whether all running work has ended."""

    def on_prompt_read(self, job: Job) -> None:
        """Handle a finished prefill."""

    def finish(self, job: Job) -> None:
        """Remove a finished call."""

    def reject(self, job: Job, reason: str) -> None:
        """Reject a call that has not run."""


class Batch:
    """The work of one incarnation of an engine."""

    def __init__(self, engine: BatchEngine, llm: Llm, memory: Memory, counters: Counters) -> None:
        self._engine, self._llm, self._memory, self._counters = engine, llm, memory, counters
        self.waiting: Queue = []  # for prefill
        self.ready_to_decode: Queue = []  # for decode, KV cache fetched
        self.prefilling: list[Job] = []
        self.running: dict[str, Job] = {}
        self.is_stopped = False  # the engine has crashed
        self._starting_decodes = 0  # prefilled here, decode starts after `first_ms`
        self._due_events: list[tuple[int, int, int, Job]] = []  # step of the next event, seq, run
        self._step, self._context, self._is_stepping = 0, 0, False

    def is_empty(self) -> bool:
        """Whether nothing is in progress; calls waiting for prefill do not count."""
        return not (self.running or self.prefilling or self.ready_to_decode or self._starting_decodes)

    def enqueue_prefill(self, job: Job) -> None:
        """Queue a call for prefill."""
        heapq.heappush(self.waiting, (job.priority, job.seq, job))
        self.wake()

    def enqueue_decode(self, job: Job) -> None:
        """Queue a call for decode; its KV cache is here."""
        heapq.heappush(self.ready_to_decode, (job.priority, job.seq, job))
        self.wake()

    def finish(self, job: Job) -> None:
        """Remove a finished call, in whatever state it is."""
        if self.running.pop(job.name, None) is not None:
            self._context -= job.tokens + job.generated_tokens
        elif job in self.prefilling:
            self.prefilling.remove(job)
        if job.held_parts:
            self._memory.release(job.held_parts, cache=job.remaining_tokens == 0)
            self._memory.shrink(job.generated_tokens)
            job.held_parts = ()

    def wake(self) -> None:
        """Start a step unless one is in progress."""
        if not self._is_stepping and not self.is_stopped:
            self._start_step()

    # ---- admission

    def _admit(self, now: float, chunk_budget: int) -> None:
        """Admit calls by priority: all that are ready to decode, and prompts while the chunk has room."""
        while (job := self._peek(self.ready_to_decode, now)) is not None:
            if not self._acquire_first(job, self.ready_to_decode):
                break
            self._memory.mark_computed(job.held_parts)
            self._start_decode(job)
        chunk_budget -= sum(job.remaining_tokens for job in self.prefilling)
        while chunk_budget > 0 and (job := self._peek(self.waiting, now)) is not None:
            job.cached_parts, cached = self._memory.cached(job.chain)
            if not self._acquire_first(job, self.waiting):
                break
            # Tokens generated before a preemption are prefilled again.
            job.remaining_tokens, job.processed_tokens = (
                job.tokens - cached + job.events_sent * self._llm.stride,
                cached,
            )
            chunk_budget -= job.remaining_tokens
            self._counters.cached += cached
            self.prefilling.append(job)

    def _peek(self, queue: Queue, now: float) -> Job | None:
        """First call of a queue if the batch has a free slot; rejects calls past their deadline."""
        while queue and len(self.running) + len(self.prefilling) < self._llm.batch:
            job = queue[0][2]
            if not job.over and now < job.deadline:
                return job
            heapq.heappop(queue)
            if not job.over:
                self._engine.reject(job, LATE)
        return None

    def _acquire_first(self, job: Job, queue: Queue) -> bool:
        """Acquire memory for the first call of a queue and dequeue it; False if there is no room."""
        if not self._memory.acquire(job.parts):
            return False
        heapq.heappop(queue)
        job.held_parts, job.admission = job.parts, job.admission + 1
        return True

    def _start_decode(self, job: Job) -> None:
        self.running[job.name] = job
        self._context += job.tokens + job.generated_tokens
        heapq.heappush(self._due_events, (self._step + 1, job.seq, job.admission, job))

    # ---- steps

    def _start_step(self) -> None:
        loop, llm = asyncio.get_running_loop(), self._llm
        is_prefill = self._engine.phase == PREFILL
        slowdown, chunk_budget = (
            (1.0, llm.chunk) if is_prefill else (DECODE_PREFILL_SLOWDOWN, llm.chunk // DECODE_CHUNK_DIVISOR)
        )
        self._admit(loop.time(), chunk_budget)
        if not self.running and not self.prefilling:
            self._is_stepping = False
            return
        self._is_stepping = True
        ms = llm.step_ms + llm.context_ms_per_k * self._context / 1000
        if self.running:
            ms += llm.step_ms_per_slot * len(self.running)
        finished: list[Job] = []
        for job in self.prefilling:
            chunk = min(job.remaining_tokens, chunk_budget)
            chunk_budget -= chunk
            pairs = chunk * (job.processed_tokens + chunk / 2)
            ms += slowdown * (chunk / llm.prefill_tokens_per_ms + pairs * llm.pairs_ms_per_m / 1e6)
            job.remaining_tokens -= chunk
            job.processed_tokens += chunk
            self._counters.prefill_tokens += chunk
            if not job.remaining_tokens:
                finished.append(job)
            if chunk_budget <= 0:
                break
        loop.call_later(ms * self._engine.speed / 1000, self._end_step, finished)

    def _end_step(self, finished: list[Job]) -> None:
        if self.is_stopped:
            return
        self._step += 1
        for job in finished:
            if not job.over and job in self.prefilling:
                self.prefilling.remove(job)
                self._on_prompt_read(job)
        if self.running:
            self._generate()
        self._start_step()
        self._engine.check_drained()

    def _on_prompt_read(self, job: Job) -> None:
        """Handle a finished prefill; the answer follows `first_ms` later."""
        self._memory.mark_computed(job.held_parts)
        seen_parts = self._counters.seen_parts
        for index, (name, tokens) in enumerate(job.chain):
            if index >= job.cached_parts and name in seen_parts:
                self._counters.reread_tokens += tokens
            seen_parts.add(name)
        if job.prefill_only:
            self._engine.on_prompt_read(job)
        else:
            self._starting_decodes += 1
            asyncio.get_running_loop().call_later(self._llm.first_ms / 1000, self._start_answer, job)

    def _start_answer(self, job: Job) -> None:
        self._starting_decodes -= 1
        if not job.over and not self.is_stopped:
            self._start_decode(job)
            self.wake()

    def _generate(self) -> None:
        """Generate one token of each running request."""
        while not self._memory.grow(len(self.running)):
            if not self._preempt():
                break
        self._context += len(self.running)
        for job in self.running.values():
            job.generated_tokens += 1
        due_events, stride = self._due_events, self._llm.stride
        while due_events and due_events[0][0] <= self._step:
            _, _, admission, job = heapq.heappop(due_events)
            if job.over or admission != job.admission or job.name not in self.running:
                continue
            job.events_sent += 1
            job.caller.event_sent(job.events_sent)
            if job.events_sent >= job.pieces:
                job.caller.completed()
                self._engine.finish(job)
            else:
                heapq.heappush(due_events, (self._step + stride, job.seq, job.admission, job))

    def _preempt(self) -> bool:
        """Preempt the newest call of the lowest priority: free its memory, queue it for prefill again."""
        if len(self.running) < 2:
            return False
        job = max(self.running.values(), key=lambda j: (j.priority, j.seq))
        del self.running[job.name]
        self._context -= job.tokens + job.generated_tokens
        self._memory.release(job.held_parts, cache=False)
        self._memory.shrink(job.generated_tokens)
        job.held_parts, job.generated_tokens = (), 0
        self._counters.preempted += 1
        heapq.heappush(self.waiting, (job.priority, job.seq, job))
        return True
