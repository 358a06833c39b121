"""One model upstream in simulated time: admission, prefill or decode, KV hand-over and phase changes.

Times are in seconds on the loop's clock; durations of the deployment file are in milliseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mastturn.engines.batch import Batch
from mastturn.engines.deployment import Service
from mastturn.engines.handover import Handover
from mastturn.engines.jobs import FULL, GONE, MISPLACED, PREFILL, SWITCHING, Counters, Job
from mastturn.engines.memory import Handle, Memory, Part


class Engine:
    """A simulated model upstream."""

    def __init__(
        self,
        address: str,
        upstream_id: str,
        zone: str,
        speed: float,
        phase: str,
        service: Service,
        counters: Counters,
    ) -> None:
        """`speed` is a factor on the deployment's times; `counters` are shared by all engines."""
        self.address, self.upstream_id = address, upstream_id
        self.zone, self.phase, self.speed = zone, phase, speed
        self._service, self._llm, self._counters = service, service.llm, counters
        self.next_phase = ""  # phase ordered and not yet in force
        self.down, self.dark, self.draining = False, False, False
        self.lapses_soon = False  # handles lapse after `SHORT_LAPSE_S`
        self.move_x = 1.0  # factor on the duration of transfers
        self.changed: Callable[[], None] = lambda: None
        self._seq = 0
        self.incarnation = 0  # number of the incarnation
        self._reset()

    def _reset(self) -> None:
        self.incarnation += 1
        self.memory = Memory(self._llm.kv_tokens, self._llm.block)
        self.handover = Handover(self, self._llm, self._counters)
        self.batch = Batch(self, self._llm, self.memory, self._counters)
        self._fetching: set[Job] = set()
        self._jobs: set[Job] = set()  # all open calls
        self._is_drained = False  # changing phase, and all running work has ended

    # ---- calls

    def accept(self, job: Job) -> None:
        """Accept or reject an arriving call."""
        full = len(self._jobs) >= self._service.slots + self._service.queue
        if (self.phase == PREFILL) != job.prefill_only:
            self.reject(job, MISPLACED)
        elif self.next_phase:
            self.reject(job, SWITCHING)
        elif full or not self.memory.can_ever_fit(job.tokens):
            self.reject(job, FULL)
        else:
            self._seq += 1
            job.seq = self._seq
            self._jobs.add(job)
            if job.handle:
                self._fetch(job)
            else:
                self.batch.enqueue_prefill(job)

    def cancel(self, job: Job) -> None:
        """Cancel a call whose caller has closed the connection."""
        if not job.over:
            self.finish(job)

    def reject(self, job: Job, reason: str) -> None:
        """Reject a call that has not run."""
        job.over = True
        self._jobs.discard(job)
        self._counters.rejected += 1
        job.caller.rejected(reason)

    def finish(self, job: Job) -> None:
        """Remove a finished call."""
        job.over = True
        self._jobs.discard(job)
        self._fetching.discard(job)
        self.batch.finish(job)
        self.check_drained()

    def on_prompt_read(self, job: Job) -> None:
        """Handle a finished prefill: hold its KV cache under a handle, answer after `first_ms`."""
        job.over = True
        self._jobs.discard(job)
        ref = f"{self.upstream_id}-{job.seq}"
        self.handover.hold(ref, job.held_parts, job.tokens)
        job.held_parts = ()
        loop = asyncio.get_running_loop()
        loop.call_later(self._llm.first_ms / 1000, self._report_prompt_read, job, ref, self.incarnation)

    def _report_prompt_read(self, job: Job, ref: str, incarnation: int) -> None:
        if incarnation == self.incarnation:
            job.caller.prompt_read(ref)

    # ---- KV hand-over

    def _fetch(self, job: Job) -> None:
        loop = asyncio.get_running_loop()
        duration_s = self.handover.fetch(job, loop.time())
        if duration_s is None:
            self.reject(job, GONE)
            return
        self._fetching.add(job)
        loop.call_later(duration_s, self._on_transfer_done, job, self.incarnation)

    def _on_transfer_done(self, job: Job, incarnation: int) -> None:
        assert job.source is not None
        job.source.on_fetched(job.handle)
        if incarnation == self.incarnation:
            self._fetching.discard(job)
            if not job.over:
                self.batch.enqueue_decode(job)

    def find_handle(self, ref: str) -> Handle | None:
        """Look up a handle; None if it is gone or the engine is down."""
        return None if self.down else self.handover.handles.get(ref)

    def on_fetched(self, ref: str) -> None:
        """Release a handle whose KV cache has been fetched."""
        self.handover.on_fetched(ref)

    def release_parts(self, parts: tuple[Part, ...]) -> None:
        """Release the memory of a handle."""
        self.memory.release(parts)
        self.batch.wake()

    # ---- phase changes and faults

    def order(self, phase: str) -> bool:
        """Change the phase once running work has ended; False while another change is in progress."""
        if self.next_phase or self.down:
            return False
        if phase == self.phase:
            return True
        self._counters.orders += 1
        self.next_phase = phase
        for _, _, job in self.batch.waiting:
            if not job.over:
                self.reject(job, SWITCHING)
        self.batch.waiting.clear()
        self.check_drained()
        return True

    def check_drained(self) -> None:
        """Start the switch of a pending phase change once all running work has ended."""
        if self.next_phase and not self._is_drained and self.batch.is_empty() and not self._fetching:
            self._is_drained = True
            loop = asyncio.get_running_loop()
            loop.call_later(self._llm.switch_s, self._complete_switch, self.next_phase, self.incarnation)

    def _complete_switch(self, phase: str, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.phase, self.next_phase, self._is_drained = phase, "", False
            self.changed()

    def crash(self, dark: bool) -> None:
        """Crash with loss of all state: connections are reset, or become silent if `dark`."""
        jobs = sorted(self._jobs, key=lambda j: j.seq)
        self.down, self.dark, self.next_phase = True, dark, ""
        self.batch.is_stopped = True
        self._reset()
        for job in jobs:
            job.over, job.held_parts = True, ()
            if not dark:
                job.caller.connection_lost()

    def restart(self) -> None:
        """Start again after a crash."""
        self.down = self.dark = False
