"""Simulates one machine (BENCH, "The world"): cores shared by the requests in its slots, a queue, slowdowns.

Runnable requests in slots share the cores evenly, each at most at one core's speed. The share received so
far is one number for all of them (their common progress), so that a request costs O(log n) heap operations,
however many run. A request keeps its slot while it waits on external work and on the next tier.
"""

from __future__ import annotations

import math
from collections import deque
from heapq import heappop, heappush
from typing import Any, Protocol

from mastturn.emulator.chance import Stream
from mastturn.emulator.choke import Choke
from mastturn.emulator.cold import ColdBudget, warmth
from mastturn.emulator.day import Machine, TierParameters
from mastturn.emulator.events import Events
from mastturn.emulator.reports import LoadReport, LoadReporter

WARM_STEP_MS = 250.0  # update interval of a cold machine's speed
CHECK_MS = 250.0  # check interval of a crowded machine
PROGRESS_TOLERANCE = 1e-9  # tolerance for rounding of progress


class BoxRequest(Protocol):
    """A request held by a box."""

    attempt: Any  # the attempt that the request belongs to

    def begin(self) -> None:
        """Start the request in a slot."""

    def on_work_done(self) -> None:
        """Handle the completion of the work queued on the cores."""


class BalancerHandle(Protocol):
    """A balancer as seen by requests and boxes; a box's local balancer starts and stops with the box."""

    name: str
    zone: str
    life: int
    alive: bool

    def start(self) -> None:
        """Start a new process."""

    def stop(self) -> None:
        """Stop the process."""

    def on_request(self, call: Any) -> None:
        """Handle a request that has been received completely."""

    def on_client_left(self, call: Any) -> None:
        """Handle a caller that has disconnected."""

    def is_cut_from(self, box: Box) -> bool:
        """Whether the network between this balancer and a box is cut."""

    def is_start_known(self, box: Box) -> bool:
        """Whether the balancer knows of a box's latest start."""

    def on_response(self, answer: Any) -> None:
        """Handle an upstream's response."""

    def on_box_reset(self, attempt: Any) -> None:
        """Handle the reset of an attempt whose box's process has ended."""


class Box:
    """A machine and its server process."""

    def __init__(self, parameters: Machine, tier: TierParameters, events: Events, seed: int) -> None:
        self.parameters, self.tier, self._events = parameters, tier, events
        self.name, self.zone, self.number = parameters.name, parameters.zone, parameters.tier
        self.rng = Stream(seed, "box", parameters.name)
        self.load_reporter = LoadReporter(tier, Stream(seed, "report", parameters.name))
        self.local_balancer: BalancerHandle | None = None  # balances this box's calls to the next tier
        self.up, self.draining, self.silent, self.fallen = True, False, False, False
        self.epoch = 0  # number of process restarts
        self.silent_epochs = set[
            int
        ]()  # epochs that ended silently: peers were not notified that their connections are dead
        self.started_ms = -math.inf  # start time of the process; -inf: long ago
        self.budget: ColdBudget | None = None  # while cold
        self.connections = 0
        self.slots_used = 0
        self.waiting: deque[BoxRequest] = deque()
        self.inside: dict[BoxRequest, None] = {}  # all requests held, in arrival order
        # Factors on the speed, each set by one kind of trouble.
        self.slower, self.taken, self.errors = 1.0, 0.0, parameters.error_share
        self.pause_ms, self.pause_every_ms = parameters.pause_ms, parameters.pause_every_ms
        self.pause_grows = True
        self._paused_until = -math.inf
        self.choke = Choke(tier.choke)
        self._jobs: list[tuple[float, int, BoxRequest]] = []
        self._number_of_jobs, self._progress, self._rate, self._seen = 0, 0.0, 0.0, events.now
        self._next_due = math.inf
        self.busy_core_ms = self.work_done_ms = 0.0
        self._check_is_due = False

    # ---- capacity --------------------------------------------------------------------------

    @property
    def held(self) -> int:
        """Number of requests in slots and in the queue."""
        return self.slots_used + len(self.waiting)

    @property
    def running(self) -> int:
        """Number of requests that are runnable."""
        return len(self._jobs)

    def warmth(self) -> float:
        """Return the share of full capacity at the process's present age."""
        return warmth(self._events.now - self.started_ms, self.parameters.cold_from, self.parameters.cold_ms)

    def power(self) -> float:
        """Return the work per millisecond at the present warmth, without troubles."""
        return self.parameters.cores * self.parameters.speed * self.warmth()

    def _core_speed(self) -> float:
        parameters, now = self.parameters, self._events.now
        if now < self._paused_until:
            return 0.0
        speed = parameters.speed * (1.0 - self.taken) / (self.slower * self.choke.factor())
        if now - self.started_ms < parameters.cold_ms:
            speed *= self.warmth()
        over = self.held - parameters.thrash_at
        if over > 0:
            speed /= 1.0 + parameters.thrash * over / parameters.cores
        return speed * (1.0 - self.tier.full_tax * min(self.connections / parameters.connection_cap, 1.0))

    def _advance(self) -> None:
        now = self._events.now
        gap = now - self._seen
        if gap > 0:
            jobs = len(self._jobs)
            if jobs:
                self._progress += gap * self._rate
                self.busy_core_ms += gap * min(jobs, self.parameters.cores)
                self.work_done_ms += gap * self._rate * jobs
            self._seen = now

    def update_rate(self) -> None:
        """Advance progress to the present time and recompute the rate."""
        self._advance()
        jobs = len(self._jobs)
        if not jobs:
            return
        speed = self._core_speed()
        cores = self.parameters.cores
        self._rate = speed if jobs <= cores else speed * cores / jobs
        if self._rate <= 0:
            return  # paused: the end of the pause updates the rate
        due = self._events.now + max(self._jobs[0][0] - self._progress, 0.0) / self._rate
        # An event that fires too early reschedules itself, so only an earlier one must be scheduled.
        if due < self._next_due:
            self._next_due = due
            self._events.at(due, self._work_due, due)

    def _work_due(self, asked_for: float) -> None:
        if asked_for != self._next_due:
            return
        self._next_due = math.inf
        self._advance()
        done = []
        while self._jobs and self._jobs[0][0] <= self._progress + PROGRESS_TOLERANCE:
            done.append(heappop(self._jobs)[2])
        if not self._jobs:
            self._progress = 0.0
        self._check_crowding()
        self.update_rate()
        for visit in done:
            visit.on_work_done()

    def work(self, visit: BoxRequest, work_ms: float) -> None:
        """Queue work of a request in a slot on the cores."""
        self._advance()
        self._number_of_jobs += 1
        heappush(self._jobs, (self._progress + work_ms, self._number_of_jobs, visit))
        self._check_crowding()
        self.update_rate()

    def _check_crowding(self) -> None:
        """Update the choke state, and schedule another check while the machine is crowded."""
        if self.choke.update(len(self._jobs), self.parameters.cores, self._events.now):
            self.update_rate()
        crowded = self.choke.is_choked or len(self._jobs) > 2 * self.parameters.cores
        if crowded and not self._check_is_due:
            self._check_is_due = True
            self._events.after(CHECK_MS, self._recheck_crowding)

    def _recheck_crowding(self, _: Any) -> None:
        self._check_is_due = False
        self._check_crowding()

    # ---- requests --------------------------------------------------------------------------------

    def admit(self, visit: BoxRequest) -> bool:
        """Accept a request into a slot or the queue; return False if it is rejected."""
        if self.draining or self.fallen:
            return False
        if self.slots_used < self.parameters.slots:
            self.slots_used += 1
            self.inside[visit] = None
            visit.begin()
            return True
        if len(self.waiting) < self.parameters.queue:
            self.inside[visit] = None
            self.waiting.append(visit)
            self.update_rate()
            return True
        return False

    def leave(self, visit: BoxRequest) -> None:
        """Release a request's slot and start the oldest queued request in it."""
        del self.inside[visit]
        self.slots_used -= 1
        if self.waiting:
            self.slots_used += 1
            self.waiting.popleft().begin()
        else:
            self.update_rate()

    def report(self) -> LoadReport | None:
        """Return the load report to attach to a response."""
        self._advance()
        return self.load_reporter.read(self._events.now, self.busy_core_ms, self.parameters.cores)

    # ---- process -----------------------------------------------------------------------------

    def stop(self, silent: bool) -> list[BoxRequest]:
        """Stop the process, or the machine silently; return the requests lost with it."""
        self._advance()
        if silent:
            self.silent_epochs.add(self.epoch)
        self.up, self.silent, self.draining = False, silent, False
        died = list(self.inside)
        self.inside.clear()
        self._jobs.clear()
        self.waiting.clear()
        self.slots_used = self.connections = 0
        self._next_due = math.inf
        self._progress = 0.0
        self.epoch += 1
        return died

    def start(self, multiple: float, window_ms: float) -> None:
        """Start a new, cold process."""
        now = self._events.now
        self.up, self.silent, self.draining, self.fallen = True, False, False, False
        self.started_ms, self._seen = now, now
        self.budget = ColdBudget(multiple, window_ms, seen_ms=now)
        self.choke = Choke(self.tier.choke)
        self._warm(self.epoch)

    def _warm(self, epoch: int) -> None:
        if epoch != self.epoch or not self.up:
            return
        self.update_rate()
        if self._events.now - self.started_ms < self.parameters.cold_ms:
            self._events.after(WARM_STEP_MS, self._warm, epoch)
        else:
            self.budget = None

    # ---- pauses ----------------------------------------------------------------------------------

    def plan_pause(self, _: Any = None) -> None:
        """Schedule the next pause, which models garbage collection."""
        self._events.after(self.pause_every_ms * (0.5 + self.rng.uniform()), self._pause, None)

    def _pause(self, _: Any) -> None:
        length = self.pause_ms
        if self.pause_grows:
            length *= 1.0 + min(len(self._jobs) / self.parameters.cores, 1.0)
        if length > 0 and self.up:
            self._advance()
            self._paused_until = self._events.now + length
            self._rate = 0.0
            self._next_due = math.inf
            self._events.after(length, self._go_on, None)
        self.plan_pause()

    def _go_on(self, _: Any) -> None:
        self.update_rate()
