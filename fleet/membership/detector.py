"""What one process does about the others: whom it checks, whose view it follows, whom it judges.

Each period it checks one other process, in an order drawn anew for each round, and those whom it accuses or
has to help to check. It follows the views of `WATCHED_VIEWS` others: its successor among the names, so that
each process is followed by somebody, and others that it keeps to while they are present.

Invariants:
1. Nobody is failed but by a process that can't reach it itself, again and again, with the word of others who
   can't (`MIN_ACCUSERS` in all), nor before its time to answer is over.
2. An accusation that its accused has refuted, or its accuser withdrawn, does nothing any more.
3. While more than `ISOLATION_FRACTION` of the others are silent at once we doubt ourselves and judge nobody
   silent: it is more likely that we are cut off. Processes whose machines refuse are no sign of a cut and are
   judged.
4. What was found while we ourselves stood still accuses nobody.
5. Whoever goes says so and is never failed.

Times are milliseconds on the caller's clock that never goes back. `Check` is answered by one
`Checked`, `FetchView` by one `ViewReceived` or `ViewFetchFailed`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import islice

from fleet.membership.count import BalancerCount
from fleet.membership.settings import INDIRECT_CHECKERS, MIN_ACCUSERS, WATCHED_VIEWS, Settings
from fleet.membership.states import COUNTED, State
from fleet.membership.view import REFUSED, SILENT, StateChange, View
from fleet.registry.entries import Entry
from fleet.registry.history import Changes

WAIT_MS = 2_000.0  # of a watch
SEED_INTERVAL_MS = 30_000.0  # how often seeds are looked for that nobody here knows
MAX_ACCUSERS = 2 * MIN_ACCUSERS  # more say nothing new
ISOLATION_FRACTION = 1.0 / 3.0
SILENT_CHECKS, REFUSED_CHECKS = 3, 2  # of our own in a row, before we judge
MAX_FETCHES = 16  # questions for views that are out at once, beyond which invitations are passed over
STALL_PERIODS = 1.5  # a timer that is so many periods late says that we stood still
MAX_SLOWDOWN = 4  # periods and waits grow by one for each sign that we ourselves are slow, up to this
STARTUP_PERIODS = 25  # of a new process, in which it looks for seeds that it does not know at each
RECOVERY_PERIODS = 5  # after so many one of those signs is forgotten
PURGE_PERIODS = 25  # between two looks at what is long gone

# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Begin:
    """Start; `seeds` are addresses by which others may be found, `others` what an earlier view had."""

    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Checked:
    """A check is over: `found` is empty if it was answered, else REFUSED or SILENT."""

    name: str
    result: str = ""


@dataclass(frozen=True, slots=True)
class ViewReceived:
    """An answer to `FetchView`, by whoever calls itself `name`."""

    address: str
    name: str
    changes: Changes


@dataclass(frozen=True, slots=True)
class ViewFetchFailed:
    """No good answer to `FetchView`."""

    address: str


@dataclass(frozen=True, slots=True)
class EntryReceived:
    """Somebody has told us an entry (`PUT`): perhaps a process that nobody follows yet."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class TimeDue:
    """The moment of a `SetTimer`."""


@dataclass(frozen=True, slots=True)
class Leave:
    """This process is about to end, or takes no more callers."""


@dataclass(frozen=True, slots=True)
class Return:
    """This process takes callers again after all."""


Event = Begin | Checked | ViewReceived | ViewFetchFailed | EntryReceived | TimeDue | Leave | Return

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Check:
    """See whether a process answers (`GET /health/live`)."""

    name: str
    host_port: str
    within_ms: float


@dataclass(frozen=True, slots=True)
class FetchView:
    """Ask an address for its view, or for what came after a number of its own."""

    host_port: str
    after: int | None
    wait_ms: float


@dataclass(frozen=True, slots=True)
class SendEntry:
    """Tell an address our own entry (`PUT`); no answer is waited for."""

    host_port: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class Changed:
    """Whoever follows our view can be told."""


@dataclass(frozen=True, slots=True)
class BalancerCountChanged:
    """The number by which budgets are divided has changed."""

    count: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimeDue` at that moment; it replaces an earlier one."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """A line for whoever is on call."""

    text: str


Action = Check | FetchView | SendEntry | Changed | BalancerCountChanged | SetTimer | Log


class Detector:
    """The decisions of one process about the others."""

    def __init__(
        self, settings: Settings, seed: int, incarnation: int, start_s: float, balancers: int = 1
    ) -> None:
        """`balancers`: how many to count until views say more."""
        self._settings = settings
        self._random = random.Random(seed)
        self.view = View(settings, incarnation, start_s)
        self._balancer_count, self._reported_count = BalancerCount(balancers), balancers
        self._seeds: tuple[str, ...] = ()
        self._check_order: list[str] = []  # whom to check next, last first
        self._checks_since: dict[str, float] = {}  # when a check that is out was begun
        self._fetches_since: dict[str, float] = {}  # addresses whose answer is due, and since when
        self._followed: list[str] = []  # of them, those that we go on with
        self._followed_revision: dict[str, int] = {}
        self._next_seed_at, self._period_due_at, self._stalled_until = 0.0, 0.0, 0.0
        self._slowdown, self._periods = 0, 0
        self._failed_checks: dict[str, int] = {}  # checks of ours in a row that were not answered
        self._accusation_backoff: dict[str, tuple[int, float]] = {}  # refuted, and none before
        self._known_own_entry: Entry | None = None  # our entry, as another's view last had it
        self._isolation_ended_at = 0.0
        self.is_isolated = False  # whether we take it that we ourselves are cut off

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event; carry out the actions in order."""
        before, actions = self.view.history.revision, list[Action]()
        match event:
            case Begin(seeds):
                self._seeds = seeds
                self._period_due_at = now
                self._run_period(now, actions)
            case TimeDue():
                self._run_period(now, actions)
            case Checked(name, result):
                self._on_check_completed(name, result, now, actions)
            case ViewReceived():
                self._on_view(event, now, actions)
            case ViewFetchFailed(address):
                self._on_fetch_failed(address)
            case EntryReceived(entry):
                self._on_entry(entry, now, actions)
            case Leave():
                self.view.leave(now)
            case Return():
                self.view.rejoin(now)
        self._report_changes(now, actions)
        if self.view.history.revision != before:
            actions.append(Changed())
        return actions

    def balancer_count(self, now: float) -> int:
        """How many balancers budgets go by."""
        return self._balancer_count.value(now)

    def _report_changes(self, now: float, actions: list[Action]) -> None:
        """A line for each member that has changed; and the number, when it has."""
        left = 0
        for change in self.view.state_changes:
            left += change.now is State.LEFT and change.before in (State.PRESENT, State.SUSPECTED)
            if self._settings.name != change.name:
                actions.append(Log(f"membership: {change.name} is {change.now.value}{_reason(change)}"))
        self.view.state_changes.clear()
        self._balancer_count.update(self.view.count(*COUNTED), left, now)
        if (number := self._balancer_count.value(now)) != self._reported_count:
            self._reported_count = number
            actions.append(BalancerCountChanged(number))

    # ---- checks ----------------------------------------------------------------------------------

    def _run_period(self, now: float, actions: list[Action]) -> None:
        settings = self._settings
        if now - self._period_due_at > STALL_PERIODS * settings.period_ms:
            self._stalled_until = now + settings.check_ms
            self._slowdown = min(self._slowdown + 1, MAX_SLOWDOWN)
            self._checks_since.clear()
        period = settings.period_ms * (1 + self._slowdown)
        self._period_due_at = now + period
        if self._periods % PURGE_PERIODS == 0:
            self.view.purge(now)
        if self._periods % RECOVERY_PERIODS == 0:
            self._slowdown = max(self._slowdown - 1, 0)
        self._periods += 1
        if not self.view.superseded:
            for name in dict.fromkeys([*self._next_checked(), *self._indirect_targets()]):
                self._check(name, now, actions)
            self._fail_suspected(now)
        self._fetch_views(now, actions)
        actions.append(SetTimer(self._period_due_at))

    def _next_checked(self) -> list[str]:
        """Our successor in every other period, so that nobody waits long for the first check; else the next
        of the round: each once, in an order drawn anew.
        """
        members = self.view.members
        if (
            self._periods % 2
            and (successor := next(self.view.successors(self._settings.name), None)) is not None
        ):
            return [successor.name]
        while self._check_order:
            name = self._check_order.pop()
            if name in members and members[name].state is not State.LEFT:
                return [name]
        known = self.view.others(State.JOINING, State.PRESENT, State.SUSPECTED, State.FAILED)
        self._check_order = [member.name for member in known]
        self._random.shuffle(self._check_order)
        return [self._check_order.pop()] if self._check_order else []

    def _indirect_targets(self) -> list[str]:
        """Those whom we accuse ourselves, and those for whom we are among the helpers."""
        own, found = self._settings.name, []
        for member in self.view.others(State.SUSPECTED):
            accusers = self.view.accusers(member.name)
            # Whoever comes next in the order of names: the same ones at every process that knows the same.
            helpers = islice(self.view.successors(member.name), INDIRECT_CHECKERS)
            if own in accusers or any(helper.name == own for helper in helpers):
                found.append(member.name)
        return found

    def _check(self, name: str, now: float, actions: list[Action]) -> None:
        within = self._settings.check_ms * (1 + self._slowdown)
        if name not in self._checks_since:
            self._checks_since[name] = now
            actions.append(Check(name, self.view.members[name].entry.host_port, within))

    def _on_check_completed(self, name: str, result: str, now: float, actions: list[Action]) -> None:
        began = self._checks_since.pop(name, None)
        member = self.view.members.get(name)
        if member is None or began is None:
            return  # what was found while we stood still says nothing
        self._failed_checks[name] = self._failed_checks.get(name, 0) + 1 if result else 0
        if not result:
            self.view.mark_reached(name, now)
            if self._settings.name in self.view.accusers(name):
                self._slowdown = min(self._slowdown + 1, MAX_SLOWDOWN)
                self.view.withdraw(name, now)
            if member.state is State.FAILED:  # it lives: hear what it says to that
                self._fetch(member.entry.host_port, actions, now, wait_ms=0.0)
        elif member.state in (State.JOINING, State.PRESENT, State.SUSPECTED) and now >= self._stalled_until:
            self._accuse(name, result, now)

    def _accuse(self, name: str, result: str, now: float) -> None:
        """Accuse, ever more seldom whoever has refuted us: the way to it may be ours alone that is bad."""
        accusations, not_before = self._accusation_backoff.get(name, (0, 0.0))
        accusers = self.view.accusers(name)
        is_accused = self._settings.name in accusers
        if not is_accused and (now < not_before or len(accusers) >= MAX_ACCUSERS):
            return
        if not is_accused:
            pause = self._settings.suspicion_ms * 2.0 ** min(accusations, 6)
            self._accusation_backoff[name] = (accusations + 1, now + pause)
        self.view.accuse(name, result, now)

    # ---- judgement -------------------------------------------------------------------------------

    def _fail_suspected(self, now: float) -> None:
        suspected = self.view.others(State.SUSPECTED)
        found = {member.name: self.view.accusers(member.name) for member in suspected}
        silent = sum(REFUSED not in accusers.values() for accusers in found.values())
        others = self.view.count(State.JOINING, State.PRESENT, State.SUSPECTED) - 1
        was_isolated = self.is_isolated
        self.is_isolated = (
            silent > (ISOLATION_FRACTION / 2 if was_isolated else ISOLATION_FRACTION) * others and silent > 1
        )
        if was_isolated and not self.is_isolated:  # whoever is silent still has the whole time to answer
            self._isolation_ended_at = now
        for member in suspected:
            accusers = found[member.name]
            refused = sum(result == REFUSED for result in accusers.values()) >= MIN_ACCUSERS
            since = member.since if refused else max(member.since, self._isolation_ended_at)
            wait = self._settings.refused_ms if refused else self._settings.suspicion_ms
            is_confirmed = self._settings.name in accusers and len(accusers) >= MIN_ACCUSERS
            is_confirmed = is_confirmed and self._failed_checks.get(member.name, 0) >= (
                REFUSED_CHECKS if refused else SILENT_CHECKS
            )
            if is_confirmed and now - since >= wait and (refused or not self.is_isolated):
                self.view.mark_failed(member.name, now)

    # ---- views -----------------------------------------------------------------------------------

    def _fetch_views(self, now: float, actions: list[Action]) -> None:
        """Hold the watches open that should be."""
        if now >= self._next_seed_at or self._periods <= STARTUP_PERIODS:
            self._next_seed_at = now + SEED_INTERVAL_MS
            self._contact_seed(now, actions)
        self._select_followed()
        for name in self._followed:
            self._fetch(self._address(name), actions, now)
        if self._known_own_entry != self.view.own and self._followed:  # they have to be told
            actions.append(SendEntry(self._address(self._random.choice(self._followed)), self.view.own))

    def _contact_seed(self, now: float, actions: list[Action]) -> None:
        """Ask one that is known by its address alone: beyond it may be others whom nobody here knows."""
        known = {member.entry.host_port for member in self.view.members.values()}
        if unknown := [seed for seed in self._seeds if seed not in known]:
            seed = self._random.choice(unknown)
            self._fetch(seed, actions, now, wait_ms=0.0)
            actions.append(SendEntry(seed, self.view.own))

    def _select_followed(self) -> None:
        """Our successor, and others for as long as they are present."""
        selected = [name for name in self._followed if self._is_followable(name)]
        successor = next((member.name for member in self.view.successors(self._settings.name)), None)
        if successor is not None and successor not in selected:
            selected.insert(0, successor)
        if len(selected) < min(WATCHED_VIEWS, self.view.count(State.PRESENT) - 1) or not selected:
            # If nobody is present, whoever is there: one that is suspected may know more.
            others = self.view.others(State.PRESENT) or self.view.others(State.SUSPECTED, State.JOINING)
            more = [member.name for member in others if member.name not in selected]
            selected += self._random.sample(more, min(WATCHED_VIEWS - len(selected), len(more)))
        self._followed = selected[:WATCHED_VIEWS]

    def _is_followable(self, name: str) -> bool:
        """Whether its view is to be followed on: a new one would have to be asked for the whole."""
        member = self.view.members.get(name)
        if member is None or member.state not in (State.PRESENT, State.SUSPECTED):
            return False
        return self._settings.name not in self.view.accusers(name)

    def _address(self, name: str) -> str:
        return self.view.members[name].entry.host_port

    def _fetch(self, address: str, actions: list[Action], now: float, wait_ms: float = WAIT_MS) -> None:
        if address in self._fetches_since:
            return
        self._fetches_since[address] = now
        after = self._followed_revision.get(address)
        wait = 0.0 if after is None else wait_ms * self._random.uniform(0.6, 1.0)
        actions.append(FetchView(address, after, wait))

    def _on_view(self, received: ViewReceived, now: float, actions: list[Action]) -> None:
        if self._fetches_since.pop(received.address, None) is None:
            return
        self._followed_revision[received.address] = received.changes.revision
        if own := [entry for entry in received.changes.entries if entry.key == self.view.own.key]:
            self._known_own_entry = own[0]
        self.view.merge(received.changes.entries, received.name, now)
        if received.name in self._followed and self._address(received.name) == received.address:
            self._fetch(received.address, actions, now)

    def _on_entry(self, entry: Entry, now: float, actions: list[Action]) -> None:
        """Whoever connects can write any name: we believe what is told at the address that it names."""
        known = self.view.members.get(entry.id)
        if (known is None or entry.order > known.entry.order) and len(self._fetches_since) < MAX_FETCHES:
            self._fetch(entry.host_port, actions, now, wait_ms=0.0)

    def _on_fetch_failed(self, address: str) -> None:
        """It is asked again in the next period, if it is still to be followed then."""
        self._fetches_since.pop(address, None)


def _reason(change: StateChange) -> str:
    if not change.witnesses:
        return ""
    shown = ", ".join(change.witnesses[:4]) + (" and others" if len(change.witnesses) > 4 else "")
    return f" by the word of {shown}"


__all__ = [
    "REFUSED",
    "SILENT",
    "Action",
    "BalancerCountChanged",
    "Begin",
    "Changed",
    "Check",
    "Checked",
    "Detector",
    "EntryReceived",
    "Event",
    "FetchView",
    "Leave",
    "Log",
    "Return",
    "SendEntry",
    "SetTimer",
    "TimeDue",
    "ViewFetchFailed",
    "ViewReceived",
]  # fmt: skip
