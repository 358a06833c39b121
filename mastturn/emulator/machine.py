"""One machine (BENCH, "The world"): cores shared by the requests in its slots, a waiting room, what slows it.

Requests in slots that want a core share the cores evenly, each at most one core's speed. The share that each
has had is one number for all of them (their common progress), so that a request costs a heap's work, however
many run. A request keeps its slot while it waits on others and on the next tier.
"""

from __future__ import annotations

import math
from collections import deque
from heapq import heappop, heappush
from typing import Any, Protocol

from mastturn.emulator.chance import Stream
from mastturn.emulator.choke import Choke
from mastturn.emulator.cold import ColdBudget, warmth
from mastturn.emulator.day import Machine, TierFigures
from mastturn.emulator.events import Events
from mastturn.emulator.reports import LoadReport, LoadReporter

WARM_STEP_MS = 250.0  # how often a cold machine's speed is brought up to its age
CHECK_MS = 250.0  # how often a crowded machine is looked at
DONE = 1e-9  # progress that rounding may leave over


class BoxRequest(Protocol):
    """A request in a box, as the machine knows it."""

    attempt: Any  # whose request it is, for whoever ends it

    def begin(self) -> None:
        """It has a slot."""

    def on_work_done(self) -> None:
        """The work that it gave to the cores is done."""


class BalancerHandle(Protocol):
    """A balancer, as requests and boxes know it; one beside a box starts and stops with its process."""

    name: str
    zone: str
    life: int
    alive: bool

    def start(self) -> None:
        """A new process."""

    def stop(self) -> None:
        """It ends."""

    def on_request(self, call: Any) -> None:
        """A request has come in whole."""

    def on_client_left(self, call: Any) -> None:
        """The caller has gone away."""

    def is_cut_from(self, box: Box) -> bool:
        """Whether nothing passes between it and a box."""

    def is_start_known(self, box: Box) -> bool:
        """Whether it has been told of a box's latest start."""

    def on_response(self, answer: Any) -> None:
        """An upstream's answer has come."""

    def on_box_reset(self, attempt: Any) -> None:
        """The box's process has died with the request in it."""


class Box:
    """A machine and the process on it."""

    def __init__(self, figures: Machine, tier: TierFigures, events: Events, seed: int) -> None:
        self.figures, self.tier, self._events = figures, tier, events
        self.name, self.zone, self.number = figures.name, figures.zone, figures.tier
        self.chance = Stream(seed, "box", figures.name)
        self.load_reporter = LoadReporter(tier, Stream(seed, "report", figures.name))
        self.local_balancer: BalancerHandle | None = None  # the balancer of its own calls, one tier further
        self.up, self.draining, self.silent, self.fallen = True, False, False, False
        self.epoch = 0  # counts the processes it has had
        self.silent_epochs = set[
            int
        ]()  # those that vanished: nobody was told that their connections are dead
        self.started_ms = -math.inf  # of the process; long ago
        self.budget: ColdBudget | None = None  # while cold
        self.connections = 0
        self.slots_used = 0
        self.waiting: deque[BoxRequest] = deque()
        self.inside: dict[BoxRequest, None] = {}  # all that it holds, in the order in which they came
        # What slows it: factors of its speed, each set by one trouble.
        self.slower, self.taken, self.errors = 1.0, 0.0, figures.error_share
        self.pause_ms, self.pause_every_ms = figures.pause_ms, figures.pause_every_ms
        self.pause_grows = True
        self._paused_until = -math.inf
        self.choke = Choke(tier.choke)
        self._jobs: list[tuple[float, int, BoxRequest]] = []
        self._number_of_jobs, self._progress, self._rate, self._seen = 0, 0.0, 0.0, events.now
        self._next_due = math.inf
        self.busy_core_ms = self.work_done_ms = 0.0
        self._check_is_due = False

    # ---- what it can do --------------------------------------------------------------------------

    @property
    def held(self) -> int:
        """Requests in slots and in the waiting room."""
        return self.slots_used + len(self.waiting)

    @property
    def running(self) -> int:
        """Requests that want a core now."""
        return len(self._jobs)

    def warmth(self) -> float:
        """The share of its capacity that it has by its age."""
        return warmth(self._events.now - self.started_ms, self.figures.cold_from, self.figures.cold_ms)

    def power(self) -> float:
        """Work it could do each millisecond at its present warmth, without troubles."""
        return self.figures.cores * self.figures.speed * self.warmth()

    def _core_speed(self) -> float:
        figures, now = self.figures, self._events.now
        if now < self._paused_until:
            return 0.0
        speed = figures.speed * (1.0 - self.taken) / (self.slower * self.choke.factor())
        if now - self.started_ms < figures.cold_ms:
            speed *= self.warmth()
        over = self.held - figures.thrash_at
        if over > 0:
            speed /= 1.0 + figures.thrash * over / figures.cores
        return speed * (1.0 - self.tier.full_tax * min(self.connections / figures.connection_cap, 1.0))

    def _advance(self) -> None:
        now = self._events.now
        gap = now - self._seen
        if gap > 0:
            jobs = len(self._jobs)
            if jobs:
                self._progress += gap * self._rate
                self.busy_core_ms += gap * min(jobs, self.figures.cores)
                self.work_done_ms += gap * self._rate * jobs
            self._seen = now

    def update_rate(self) -> None:
        """Bring its progress to now, and take over whatever has changed its speed."""
        self._advance()
        jobs = len(self._jobs)
        if not jobs:
            return
        speed = self._core_speed()
        cores = self.figures.cores
        self._rate = speed if jobs <= cores else speed * cores / jobs
        if self._rate <= 0:
            return  # a pause: its end retunes
        due = self._events.now + max(self._jobs[0][0] - self._progress, 0.0) / self._rate
        # An event that is asked for too early looks again; only a sooner one has to be asked for.
        if due < self._next_due:
            self._next_due = due
            self._events.at(due, self._work_due, due)

    def _work_due(self, asked_for: float) -> None:
        if asked_for != self._next_due:
            return
        self._next_due = math.inf
        self._advance()
        done = []
        while self._jobs and self._jobs[0][0] <= self._progress + DONE:
            done.append(heappop(self._jobs)[2])
        if not self._jobs:
            self._progress = 0.0
        self._check_crowding()
        self.update_rate()
        for visit in done:
            visit.on_work_done()

    def work(self, visit: BoxRequest, work_ms: float) -> None:
        """Give a request in a slot so much work on the cores."""
        self._advance()
        self._number_of_jobs += 1
        heappush(self._jobs, (self._progress + work_ms, self._number_of_jobs, visit))
        self._check_crowding()
        self.update_rate()

    def _check_crowding(self) -> None:
        """Watch a crowd: it chokes the machine if it stays."""
        if self.choke.update(len(self._jobs), self.figures.cores, self._events.now):
            self.update_rate()
        crowded = self.choke.is_choked or len(self._jobs) > 2 * self.figures.cores
        if crowded and not self._check_is_due:
            self._check_is_due = True
            self._events.after(CHECK_MS, self._recheck_crowding)

    def _recheck_crowding(self, _: Any) -> None:
        self._check_is_due = False
        self._check_crowding()

    # ---- requests --------------------------------------------------------------------------------

    def admit(self, visit: BoxRequest) -> bool:
        """Take a request into a slot or the waiting room; false: turned away unseen."""
        if self.draining or self.fallen:
            return False
        if self.slots_used < self.figures.slots:
            self.slots_used += 1
            self.inside[visit] = None
            visit.begin()
            return True
        if len(self.waiting) < self.figures.queue:
            self.inside[visit] = None
            self.waiting.append(visit)
            self.update_rate()
            return True
        return False

    def leave(self, visit: BoxRequest) -> None:
        """A request has left its slot: the oldest that waits takes it."""
        del self.inside[visit]
        self.slots_used -= 1
        if self.waiting:
            self.slots_used += 1
            self.waiting.popleft().begin()
        else:
            self.update_rate()

    def report(self) -> LoadReport | None:
        """The load report of an answer that it gives now."""
        self._advance()
        return self.load_reporter.read(self._events.now, self.busy_core_ms, self.figures.cores)

    # ---- its process -----------------------------------------------------------------------------

    def stop(self, silent: bool) -> list[BoxRequest]:
        """The process ends, or the machine vanishes without a word; returns the requests that die with it."""
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
        """A new process, cold."""
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
        if self._events.now - self.started_ms < self.figures.cold_ms:
            self._events.after(WARM_STEP_MS, self._warm, epoch)
        else:
            self.budget = None

    # ---- pauses ----------------------------------------------------------------------------------

    def plan_pause(self, _: Any = None) -> None:
        """Stand still now and then, as a collector of garbage makes a program do."""
        self._events.after(self.pause_every_ms * (0.5 + self.chance.uniform()), self._pause, None)

    def _pause(self, _: Any) -> None:
        length = self.pause_ms
        if self.pause_grows:
            length *= 1.0 + min(len(self._jobs) / self.figures.cores, 1.0)
        if length > 0 and self.up:
            self._advance()
            self._paused_until = self._events.now + length
            self._rate = 0.0
            self._next_due = math.inf
            self._events.after(length, self._go_on, None)
        self.plan_pause()

    def _go_on(self, _: Any) -> None:
        self.update_rate()
