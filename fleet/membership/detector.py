"""Failure detector of one process: selects the peers to check, to follow and to mark as failed.

Each period it checks one peer, in an order shuffled anew for each round, and the peers that it accuses or
checks indirectly for other accusers. It follows the views of `WATCHED_VIEWS` peers: its successor in the
order of names, so that every process is followed by another, and others that it keeps while they are present.

Invariants:
1. A process is marked failed only by one that repeatedly fails to reach it itself, together with other
   accusers (`MIN_ACCUSERS` in all), and not before its time to answer is over.
2. An accusation that the accused has refuted, or the accuser withdrawn, has no further effect.
3. While more than `ISOLATION_FRACTION` of the others are silent at once, the process considers itself
   isolated and marks no silent process failed, since its own connection is the likelier fault. Refused
   connections are no sign of isolation and still count.
4. Results of checks from a time in which this process itself was stalled cause no accusation.
5. A process that announces its departure is never marked failed.

Times are milliseconds on the caller's monotonic clock. `Check` is answered by one `Checked`, `FetchView` by
one `ViewReceived` or `ViewFetchFailed`.
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

WAIT_MS = 2_000.0  # duration of a watch (long poll)
SEED_INTERVAL_MS = 30_000.0  # interval of contacting seeds that are not among the members
MAX_ACCUSERS = 2 * MIN_ACCUSERS  # further accusations add no information
ISOLATION_FRACTION = 1.0 / 3.0  # share of silent peers above which this process considers itself isolated
SILENT_CHECKS, REFUSED_CHECKS = 3, 2  # consecutive failed checks before a peer is marked failed
MAX_FETCHES = 16  # concurrent view fetches; received entries beyond this are not followed up
STALL_PERIODS = 1.5  # a timer this many periods late means that this process was stalled
MAX_SLOWDOWN = 4  # maximum of the slowdown, which stretches periods and timeouts while this process is slow
STARTUP_PERIODS = 25  # periods after the start in which unknown seeds are contacted every time
RECOVERY_PERIODS = 5  # periods after which the slowdown falls by one
PURGE_PERIODS = 25  # periods between purges of gone members

# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Begin:
    """Starts the detector; `seeds` are addresses at which other members may be found."""

    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Checked:
    """A check has ended; `result` is empty if it was answered, else REFUSED or SILENT."""

    name: str
    result: str = ""


@dataclass(frozen=True, slots=True)
class ViewReceived:
    """An answer to `FetchView` from the process that calls itself `name`."""

    address: str
    name: str
    changes: Changes


@dataclass(frozen=True, slots=True)
class ViewFetchFailed:
    """`FetchView` had no valid answer."""

    address: str


@dataclass(frozen=True, slots=True)
class EntryReceived:
    """A peer has sent an entry (`PUT`), perhaps its own because no one follows it yet."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class TimeDue:
    """The time of the last `SetTimer` has come."""


@dataclass(frozen=True, slots=True)
class Leave:
    """This process is shutting down or stops accepting requests."""


@dataclass(frozen=True, slots=True)
class Return:
    """This process accepts requests again after a `Leave`."""


Event = Begin | Checked | ViewReceived | ViewFetchFailed | EntryReceived | TimeDue | Leave | Return

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Check:
    """Checks whether a process answers (`GET /health/live`)."""

    name: str
    host_port: str
    within_ms: float


@dataclass(frozen=True, slots=True)
class FetchView:
    """Fetches the view at an address, or its changes after one of its revisions."""

    host_port: str
    after: int | None
    wait_ms: float


@dataclass(frozen=True, slots=True)
class SendEntry:
    """Sends this process's own entry to an address (`PUT`) without waiting for an answer."""

    host_port: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class Changed:
    """The view has changed; its followers can be notified."""


@dataclass(frozen=True, slots=True)
class BalancerCountChanged:
    """The number of balancers by which budgets are divided has changed."""

    count: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests a `TimeDue` event at `at_ms`, in place of any earlier request."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a line to the log."""

    text: str


Action = Check | FetchView | SendEntry | Changed | BalancerCountChanged | SetTimer | Log


class Detector:
    """The failure detector of one process."""

    def __init__(
        self, settings: Settings, seed: int, incarnation: int, start_s: float, balancers: int = 1
    ) -> None:
        """`balancers` is the number to assume until views are received."""
        self._settings = settings
        self._random = random.Random(seed)
        self.view = View(settings, incarnation, start_s)
        self._balancer_count, self._reported_count = BalancerCount(balancers), balancers
        self._seeds: tuple[str, ...] = ()
        self._check_order: list[str] = []  # peers still to check in this round, in reverse
        self._check_started_at: dict[str, float] = {}  # start times of checks in flight
        self._fetch_started_at: dict[str, float] = {}  # start times of fetches in flight, by address
        self._followed: list[str] = []  # peers whose views are watched
        self._followed_revisions: dict[str, int] = {}
        self._next_seed_at, self._period_due_at, self._stalled_until = 0.0, 0.0, 0.0
        self._slowdown, self._periods = 0, 0
        self._failed_checks: dict[str, int] = {}  # consecutive failed checks by this process
        self._accusation_backoff: dict[
            str, tuple[int, float]
        ] = {}  # accusations so far, and the next allowed
        self._known_own_entry: Entry | None = None  # this process's entry as last seen in another view
        self._isolation_ended_at = 0.0
        self.is_isolated = False  # whether this process considers itself isolated

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles one event and returns the actions to carry out, in order."""
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
        """Returns the number of balancers by which budgets are divided."""
        return self._balancer_count.value(now)

    def _report_changes(self, now: float, actions: list[Action]) -> None:
        """Logs each change of a member's state and reports a changed balancer count."""
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
            self._check_started_at.clear()
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
        """Returns the peer to check in this period.

        In every other period that is the successor, so that no process waits long for its first check; else
        the next one of a round that contains each peer once in random order.
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
        """Returns the suspected peers that this process accuses or checks indirectly."""
        own, found = self._settings.name, []
        for member in self.view.others(State.SUSPECTED):
            accusers = self.view.accusers(member.name)
            # The next ones in the order of names: processes with equal views agree on them.
            helpers = islice(self.view.successors(member.name), INDIRECT_CHECKERS)
            if own in accusers or any(helper.name == own for helper in helpers):
                found.append(member.name)
        return found

    def _check(self, name: str, now: float, actions: list[Action]) -> None:
        within = self._settings.check_ms * (1 + self._slowdown)
        if name not in self._check_started_at:
            self._check_started_at[name] = now
            actions.append(Check(name, self.view.members[name].entry.host_port, within))

    def _on_check_completed(self, name: str, result: str, now: float, actions: list[Action]) -> None:
        began = self._check_started_at.pop(name, None)
        member = self.view.members.get(name)
        if member is None or began is None:
            return  # checks begun before a stall were cleared; their results mean nothing
        self._failed_checks[name] = self._failed_checks.get(name, 0) + 1 if result else 0
        if not result:
            self.view.mark_reached(name, now)
            if self._settings.name in self.view.accusers(name):
                self._slowdown = min(self._slowdown + 1, MAX_SLOWDOWN)
                self.view.withdraw(name, now)
            if member.state is State.FAILED:  # it is alive: fetch its view, which refutes that
                self._fetch(member.entry.host_port, actions, now, wait_ms=0.0)
        elif member.state in (State.JOINING, State.PRESENT, State.SUSPECTED) and now >= self._stalled_until:
            self._accuse(name, result, now)

    def _accuse(self, name: str, result: str, now: float) -> None:
        """Accuses a peer unless this process did so recently.

        The pause doubles with each accusation: if the peer keeps refuting, perhaps only this path is bad.
        """
        accusations, not_before = self._accusation_backoff.get(name, (0, 0.0))
        accusers = self.view.accusers(name)
        has_accused = self._settings.name in accusers
        if not has_accused and (now < not_before or len(accusers) >= MAX_ACCUSERS):
            return
        if not has_accused:
            pause = self._settings.suspicion_ms * 2.0 ** min(accusations, 6)
            self._accusation_backoff[name] = (accusations + 1, now + pause)
        self.view.accuse(name, result, now)

    # ---- failures --------------------------------------------------------------------------------

    def _fail_suspected(self, now: float) -> None:
        suspected = self.view.others(State.SUSPECTED)
        found = {member.name: self.view.accusers(member.name) for member in suspected}
        silent = sum(REFUSED not in accusers.values() for accusers in found.values())
        others = self.view.count(State.JOINING, State.PRESENT, State.SUSPECTED) - 1
        was_isolated = self.is_isolated
        self.is_isolated = (
            silent > (ISOLATION_FRACTION / 2 if was_isolated else ISOLATION_FRACTION) * others and silent > 1
        )
        if was_isolated and not self.is_isolated:  # silent peers get the full time to answer
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
        """Contacts seeds if due, and fetches the views of all followed peers."""
        if now >= self._next_seed_at or self._periods <= STARTUP_PERIODS:
            self._next_seed_at = now + SEED_INTERVAL_MS
            self._contact_seed(now, actions)
        self._select_followed()
        for name in self._followed:
            self._fetch(self._address(name), actions, now)
        if self._known_own_entry != self.view.own and self._followed:  # perhaps no peer follows this process
            actions.append(SendEntry(self._address(self._random.choice(self._followed)), self.view.own))

    def _contact_seed(self, now: float, actions: list[Action]) -> None:
        """Contacts one seed that is not a member: it may belong to a part of the fleet unknown here."""
        known = {member.entry.host_port for member in self.view.members.values()}
        if unknown := [seed for seed in self._seeds if seed not in known]:
            seed = self._random.choice(unknown)
            self._fetch(seed, actions, now, wait_ms=0.0)
            actions.append(SendEntry(seed, self.view.own))

    def _select_followed(self) -> None:
        """Selects the followed peers: the successor, and others for as long as they are followable."""
        selected = [name for name in self._followed if self._is_followable(name)]
        successor = next((member.name for member in self.view.successors(self._settings.name)), None)
        if successor is not None and successor not in selected:
            selected.insert(0, successor)
        if len(selected) < min(WATCHED_VIEWS, self.view.count(State.PRESENT) - 1) or not selected:
            # If no peer is present, use suspected or joining ones, which may have newer entries.
            others = self.view.others(State.PRESENT) or self.view.others(State.SUSPECTED, State.JOINING)
            more = [member.name for member in others if member.name not in selected]
            selected += self._random.sample(more, min(WATCHED_VIEWS - len(selected), len(more)))
        self._followed = selected[:WATCHED_VIEWS]

    def _is_followable(self, name: str) -> bool:
        """Returns whether a followed peer is kept; a replacement has to be asked for its full view."""
        member = self.view.members.get(name)
        if member is None or member.state not in (State.PRESENT, State.SUSPECTED):
            return False
        return self._settings.name not in self.view.accusers(name)

    def _address(self, name: str) -> str:
        return self.view.members[name].entry.host_port

    def _fetch(self, address: str, actions: list[Action], now: float, wait_ms: float = WAIT_MS) -> None:
        if address in self._fetch_started_at:
            return
        self._fetch_started_at[address] = now
        after = self._followed_revisions.get(address)
        wait = 0.0 if after is None else wait_ms * self._random.uniform(0.6, 1.0)
        actions.append(FetchView(address, after, wait))

    def _on_view(self, received: ViewReceived, now: float, actions: list[Action]) -> None:
        if self._fetch_started_at.pop(received.address, None) is None:
            return
        self._followed_revisions[received.address] = received.changes.revision
        if own := [entry for entry in received.changes.entries if entry.key == self.view.own.key]:
            self._known_own_entry = own[0]
        self.view.merge(received.changes.entries, received.name, now)
        if received.name in self._followed and self._address(received.name) == received.address:
            self._fetch(received.address, actions, now)

    def _on_entry(self, entry: Entry, now: float, actions: list[Action]) -> None:
        """Fetches the view at the address of a new entry.

        Any client can send any name, so the entry itself is not trusted.
        """
        known = self.view.members.get(entry.id)
        if (known is None or entry.order > known.entry.order) and len(self._fetch_started_at) < MAX_FETCHES:
            self._fetch(entry.host_port, actions, now, wait_ms=0.0)

    def _on_fetch_failed(self, address: str) -> None:
        """Allows another fetch in the next period, if the peer is still followed then."""
        self._fetch_started_at.pop(address, None)


def _reason(change: StateChange) -> str:
    if not change.reporters:
        return ""
    shown = ", ".join(change.reporters[:4]) + (" and others" if len(change.reporters) > 4 else "")
    return f" (reported by {shown})"


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
