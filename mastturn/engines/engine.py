"""One model upstream in simulated time: what it takes and turns away, hands over, and plays as its part.

Times in seconds on the loop's clock; spans of the sheet in milliseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mastturn.engines.batch import Batch
from mastturn.engines.deployment import Service
from mastturn.engines.handover import Handover
from mastturn.engines.jobs import FULL, GONE, MISPLACED, PREFILL, SWITCHING, Figures, Job
from mastturn.engines.memory import Handle, Memory, Part


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
        self.down, self.dark, self.draining = False, False, False
        self.lapses_soon = False  # handles do
        self.move_x = 1.0  # moves take so many times as long
        self.changed: Callable[[], None] = lambda: None
        self._seq = 0
        self.serial = 0  # of its incarnation
        self._restart()

    def _restart(self) -> None:
        self.serial += 1
        self.memory = Memory(self._llm.kv_tokens, self._llm.block)
        self.handover = Handover(self, self._llm, self._figures)
        self.batch = Batch(self, self._llm, self.memory, self._figures)
        self._fetching: set[Job] = set()
        self._jobs: set[Job] = set()  # all calls that are here
        self._emptied = False  # on its way to another part, with nothing left to do

    # ---- calls

    def take(self, job: Job) -> None:
        """A call has arrived."""
        full = len(self._jobs) >= self._service.slots + self._service.queue
        if (self.phase == PREFILL) != job.reads_only:
            self.reject(job, MISPLACED)
        elif self.switching:
            self.reject(job, SWITCHING)
        elif full or not self.memory.fits_ever(job.tokens):
            self.reject(job, FULL)
        else:
            self._seq += 1
            job.seq = self._seq
            self._jobs.add(job)
            if job.handle:
                self._fetch(job)
            else:
                self.batch.let_wait(job)

    def drop(self, job: Job) -> None:
        """The caller has closed the connection."""
        if not job.over:
            self.leave(job)

    def reject(self, job: Job, why: str) -> None:
        """It did not run and never will."""
        job.over = True
        self._jobs.discard(job)
        self._figures.rejected += 1
        job.caller.rejected(why)

    def leave(self, job: Job) -> None:
        """A call is over."""
        job.over = True
        self._jobs.discard(job)
        self._fetching.discard(job)
        self.batch.leave(job)
        self.settle()

    def has_read(self, job: Job) -> None:
        """A prompt is read: its memory is held for whoever fetches it, and the answer follows."""
        job.over = True
        self._jobs.discard(job)
        ref = f"{self.ident}-{job.seq}"
        self.handover.keep(ref, job.held, job.tokens)
        job.held = ()
        loop = asyncio.get_running_loop()
        loop.call_later(self._llm.first_ms / 1000, self._tell_read, job, ref, self.serial)

    def _tell_read(self, job: Job, ref: str, serial: int) -> None:
        if serial == self.serial:
            job.caller.read(ref)

    # ---- memory of others

    def _fetch(self, job: Job) -> None:
        loop = asyncio.get_running_loop()
        took = self.handover.fetch(job, loop.time())
        if took is None:
            self.reject(job, GONE)
            return
        self._fetching.add(job)
        loop.call_later(took, self._fetched, job, self.serial)

    def _fetched(self, job: Job, serial: int) -> None:
        assert job.source is not None
        job.source.fetched(job.handle)
        if serial == self.serial:
            self._fetching.discard(job)
            if not job.over:
                self.batch.let_run(job)

    def held(self, ref: str) -> Handle | None:
        """The memory behind a handle, unless it is gone or the engine is down."""
        return None if self.down else self.handover.handles.get(ref)

    def fetched(self, ref: str) -> None:
        """Somebody has fetched it."""
        self.handover.fetched(ref)

    def let_go(self, parts: tuple[Part, ...]) -> None:
        """What a handle held is free."""
        self.memory.release(parts)
        self.batch.wake()

    # ---- orders and troubles

    def order(self, phase: str) -> bool:
        """Play another part once what runs has ended; False where another order is under way."""
        if self.switching or self.down:
            return False
        if phase == self.phase:
            return True
        self._figures.orders += 1
        self.switching = phase
        for _, _, job in self.batch.waiting:
            if not job.over:
                self.reject(job, SWITCHING)
        self.batch.waiting.clear()
        self.settle()
        return True

    def settle(self) -> None:
        """On its way to another part: see whether all that ran has ended."""
        if self.switching and not self._emptied and self.batch.is_empty() and not self._fetching:
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
        self.batch.is_over = True
        self._restart()
        for job in jobs:
            job.over, job.held = True, ()
            if not dark:
                job.caller.cut()

    def come_back(self) -> None:
        """It starts anew."""
        self.down = self.dark = False
