"""Further losses at every step of a replacement: whatever goes when, those that are left go on with all data.

A member is replaced by a newcomer: planned (told to stop while the newcomer waits), lost for good, or wiped,
so that the newcomer starts at its own address. A step is a sync, before and after it, or a message. At one
step as many more machines as are still to be borne lose their disks for good, or all processes are killed and
start again; another may be cut off all the while. An operator changes the configuration all the time, and
`Rules` judges what it is told.
"""

from __future__ import annotations

import enum
import itertools
import multiprocessing
import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from consensus.effects import Committed, Lead, Reply, Verdict
from consensus.primary import Command, Get, Put
from consensus.replica import Replica
from consensus.views import DurableState
from mastturn.control_check.lockstep import TICK_MS, Lockstep, ReplicaFactory
from mastturn.control_check.rules import BrokenRuleError, PendingCall, Rules

STOP_TIMEOUT_MS = 5_600.0  # a process that is told to stop is killed after that, whatever rests on it
WAITING_MS = 400.0  # the newcomer has asked for a slot by then
UNPLANNED_MS = 1_000.0  # after an unplanned loss the newcomer starts so much later
BACK_MS = 500.0  # killed processes start again after that
SETTLED_MS = 2_000.0  # an undisturbed replacement is over by then
GOES_ON_MS = 6_000.0  # after the last loss somebody leads, and answers with all data, within this
CUT_MS = 2_500.0  # one that is cut off is back after that
ROLES = ("leader", "backup", "witness")


class How(enum.Enum):
    """How a member goes."""

    PLANNED = "told to stop"
    LOST = "lost for good"
    WIPED = "wiped"


@dataclass(frozen=True, slots=True)
class Case:
    """One replacement and what is lost in it; `step` -1: nothing."""

    machines: int
    role: str  # of the member that is replaced
    how: How
    step: int = -1
    lost: tuple[int, ...] = ()  # machines that lose their disks; none: all processes are killed
    cut: int = -1  # a machine that is cut off from all others meanwhile; -1: none
    seed: int = 0  # of the order in which messages arrive; 0: as they were sent

    def __str__(self) -> str:
        what = f"{', '.join(map(str, self.lost))} lost" if self.lost else "all killed"
        cut = f", {self.cut} cut off" if self.cut >= 0 else ""
        member = f"{self.role} of {self.machines} {self.how.value}"
        return f"{member}, step {self.step}: {what}{cut}, order {self.seed}"

    @property
    def leaver(self) -> int:
        """The machine that goes."""
        return ROLES.index(self.role) if self.role != "witness" else self.machines - 1

    @property
    def newcomer(self) -> int:
        """The machine that comes in its place."""
        return self.leaver if self.how is How.WIPED else self.machines


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a case."""

    case: Case
    broken: str = ""  # "" where every rule has held
    steps: int = 0
    acknowledged: int = 0
    healed_ms: float = 0.0  # from the begin until a view of living members only was in force everywhere
    lines: tuple[str, ...] = ()


class _Operator:
    """Sends one change after the other to whoever leads, again until it has an answer."""

    def __init__(self, world: Lockstep, rules: Rules) -> None:
        self._world, self._rules = world, rules
        self._asked: dict[int, PendingCall] = {}
        self._command: Command | None = None
        self._token = 0
        self._ver = 0
        self.read_back = False  # the last answer was a read
        self.only_reads = False

    def send_next(self) -> None:
        """Send the next call, or the one before once more."""
        leader = self._world.primary()
        if leader is None:
            return
        if self._command is None:
            number = self._ver + 1
            change = Put(0, self._ver, number, f"change-{number}", b"{}")
            self._command = Get(0) if self.only_reads else change
        self._token += 1
        command = self._command
        token = self._token
        self._asked[token] = self._rules.ask(command)
        sent = (
            Put(token, command.base, command.ver, command.digest, command.body)
            if isinstance(command, Put)
            else Get(token)
        )
        self._world.replicas[leader].submit(sent, self._world.now)
        self._world.settle()

    def on_reply(self, reply: Reply) -> None:
        """An answer, perhaps to a call of before."""
        asked = self._asked.pop(reply.token, None)
        if asked is None or reply.verdict is Verdict.MOVED:
            return
        self._rules.replied(asked, reply)
        assert reply.document is not None
        if asked.command is self._command:
            self._command = None
            self._ver = max(self._ver, reply.document.ver)
            self.read_back = isinstance(asked.command, Get)


class Replacement:
    """Plays one case."""

    def __init__(self, case: Case, make: ReplicaFactory = Replica) -> None:
        self.case = case
        losses = (case.machines - 1) // 2
        self.world = Lockstep(case.machines, losses, make)
        if case.seed:
            self.world.rng = random.Random(case.seed)
        self.rules = Rules()
        self.operator = _Operator(self.world, self.rules)
        self.world.on_output = self._on_output
        self.steps = 0
        self.leaver, self.newcomer = case.leaver, case.newcomer
        self._killed_at: float | None = None
        self._told_to_stop_at: float | None = None

    def play(self) -> Outcome:
        """The outcome; all of it is kept in `world.lines`."""
        try:
            healed_ms = self._play()
        except BrokenRuleError as error:
            return Outcome(self.case, str(error), self.steps, self.rules.acknowledged, 0.0, self._lines())
        return Outcome(self.case, "", self.steps, self.rules.acknowledged, healed_ms, self._lines())

    def _lines(self) -> tuple[str, ...]:
        return tuple(self.world.lines)

    def _play(self) -> float:
        case, world = self.case, self.world
        self._run(100.0)
        self._begin()
        world.on_step = self._step
        began = world.now
        healed_at = None
        while world.now < began + SETTLED_MS and (case.step >= 0 or healed_at is None):
            self._tick()
            if healed_at is None and self._is_healed():
                healed_at = world.now
        world.on_step = None
        self._run(began + CUT_MS - world.now if case.cut >= 0 else 0.0)
        world.cuts.clear()
        until = world.now + max(GOES_ON_MS, STOP_TIMEOUT_MS)
        while world.now < until and not (self._is_over() and self._is_healthy()):
            self._tick()
        if not self._is_healthy():
            raise BrokenRuleError("goes on", f"nobody answers {GOES_ON_MS / 1000:g} s after the last loss")
        self.operator.only_reads = True
        self.operator.read_back = False
        self._run(300.0)
        if not self.operator.read_back:
            raise BrokenRuleError("goes on", "a read has no answer")
        return (healed_at if healed_at is not None else world.now) - began

    def _begin(self) -> None:
        world, case = self.world, self.case
        if case.cut >= 0:
            world.cut(case.cut)
        if case.how is How.PLANNED:
            self._boot_newcomer()
            self._run(WAITING_MS)
            self._told_to_stop_at = world.now
            world.replicas[self.leaver].stop(world.now)
            world.settle()
        else:
            world.lose(self.leaver)
            self._run(UNPLANNED_MS)
            self._boot_newcomer()

    def _boot_newcomer(self) -> None:
        self.world.disks[self.newcomer] = DurableState(f"i{self.newcomer}")
        self.world.boot(self.newcomer)
        self.world.settle()

    def _tick(self) -> None:
        world = self.world
        self._end_leaver()
        if self._killed_at is not None and world.now - self._killed_at >= BACK_MS:
            self._killed_at = None
            for index in list(world.disks):
                world.boot(index)
            world.settle()
        world.run(TICK_MS)
        self.operator.send_next()

    def _run(self, length_ms: float) -> None:
        until = self.world.now + length_ms
        while self.world.now < until:
            self._tick()

    def _end_leaver(self) -> None:
        """The process that is told to stop ends once it may, or has to; the machine goes with it."""
        world = self.world
        leaver = world.replicas.get(self.leaver)
        if leaver is None or self._told_to_stop_at is None or self._killed_at is not None:
            return
        late = world.now - self._told_to_stop_at >= STOP_TIMEOUT_MS
        if leaver.may_end() or late:
            leaver.resign(world.now)
            world.settle()
            world.lose(self.leaver)
            world.lines.append(f"{self.leaver} has ended{' late' if late else ''}")

    def _step(self) -> None:
        """Something is about to be carried out."""
        if self._killed_at is None and self.steps == self.case.step:
            self._strike()
        self.steps += 1

    def _strike(self) -> None:
        world, case = self.world, self.case
        if case.lost:
            world.lines.append(f"{', '.join(map(str, case.lost))} lost")
            for index in case.lost:
                world.lose(index)
            return
        world.lines.append("all are killed")
        self._killed_at = world.now
        for index in list(world.replicas):
            world.end(index)
        if self._told_to_stop_at is not None:
            world.disks.pop(self.leaver, None)  # it has been told to stop, and is not started again

    def _is_over(self) -> bool:
        is_gone = self.case.how is not How.PLANNED or self.leaver not in self.world.replicas
        return self._killed_at is None and is_gone

    def _is_healthy(self) -> bool:
        """Whether somebody leads and has the data on as many disks as it is to."""
        world = self.world
        leader = world.primary()
        if leader is None:
            return False
        primary = world.replicas[leader].primary
        assert primary is not None
        return world.now - primary.quorum_at() < 300.0

    def _is_healed(self) -> bool:
        """Whether a view of living processes only is in force, and each of its members has accepted it."""
        world = self.world
        leader = world.primary()
        if leader is None or not self._is_over():
            return False
        view = world.replicas[leader].durable_state.view
        assert view is not None
        accepted = {r.durable_state.identity for r in world.replicas.values() if r.durable_state.view == view}
        return view.extra_member() is None and all(
            m is not None and m.identity in accepted for m in view.members
        )

    def _on_output(self, effect: Reply | Committed | Lead) -> None:
        match effect:
            case Reply():
                self.operator.on_reply(effect)
            case Committed():
                self.rules.committed(effect)
            case Lead(view) if view is not None:
                self.rules.leads(view.epoch, view.leader().identity)


def cases(machines: int, orders: int = 1) -> Iterator[Case]:
    """All cases of a number of machines; `orders`: in so many orders of messages each."""
    for role, how, seed in itertools.product(ROLES, How, range(orders)):
        baseline = Case(machines, role, how, seed=seed)
        others = [i for i in range(machines) if i != baseline.leaver]
        for cut in (-1, *others[:2]):
            yield from _cases(replace(baseline, cut=cut))


def _cases(baseline: Case) -> Iterator[Case]:
    """All steps of one replacement, and all that may be lost in them."""
    steps = Replacement(baseline).play().steps
    others = [i for i in range(baseline.machines + 1) if i not in (baseline.leaver, baseline.cut)]
    tolerated = (baseline.machines - 1) // 2
    more = tolerated - (baseline.how is not How.PLANNED) - (baseline.cut >= 0)
    for step in range(steps + 2):
        yield replace(baseline, step=step)
        for lost in itertools.combinations(others, more) if more > 0 else ():
            yield replace(baseline, step=step, lost=lost)


def play_case(case: Case) -> Outcome:
    """The outcome of one case, without its lines where nothing was broken."""
    found = Replacement(case).play()
    if found.broken:
        return found
    return Outcome(found.case, "", found.steps, found.acknowledged, found.healed_ms)


def play_cases(wanted: Iterable[Case], workers: int = 1) -> Iterator[Outcome]:
    """The outcomes of many, over so many processes."""
    if workers <= 1:
        yield from map(play_case, wanted)
        return
    with multiprocessing.Pool(workers) as pool:
        yield from pool.imap_unordered(play_case, wanted, chunksize=16)


def losses_table(outcomes: Sequence[Outcome]) -> list[str]:
    """How many cases of each kind were played, and how many were not borne."""
    lines = ["| member | goes | strike | one cut off | cases | not borne |", "|---|---|---|---|---|---|"]
    kinds: dict[tuple[str, str, str, str], list[Outcome]] = {}
    for outcome in outcomes:
        case = outcome.case
        strike = f"{len(case.lost)} more disks lost" if case.lost else "all killed"
        cut = "yes" if case.cut >= 0 else "no"
        kinds.setdefault((case.role, case.how.value, strike, cut), []).append(outcome)
    for kind, found in sorted(kinds.items()):
        lines.append(f"| {' | '.join(kind)} | {len(found):,} | {sum(bool(o.broken) for o in found)} |")
    total = sum(bool(o.broken) for o in outcomes)
    lines.append(f"| all | | | | {len(outcomes):,} | {total} |")
    return lines
