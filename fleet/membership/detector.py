"""What one process does about the others: whom it checks, whose view it follows, whom it judges.

Each period it checks one other process, in an order drawn anew for each round, and those whom it accuses or
has to help to check. It follows the views of `WATCHES` others: its successor among the names, so that each
process is followed by somebody, and others that it keeps to while they are present.

Invariants:
1. Nobody is failed but by a process that can't reach it itself, again and again, with the word of others who
   can't (`WITNESSES` in all), nor before its time to answer is over.
2. An accusation that its accused has refuted, or its accuser withdrawn, does nothing any more.
3. While more than `DOUBT_SHARE` of the others are silent at once we doubt ourselves and judge nobody silent:
   it is more likely that we are cut off. Processes whose machines refuse are no sign of a cut and are judged.
4. What was found while we ourselves stood still accuses nobody.
5. Whoever goes says so and is never failed.

Times are milliseconds on the caller's clock that never goes back. `Check` is answered by one `Checked`, `Ask`
by one `Told` or `Lost`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import islice

from fleet.membership.count import Counted
from fleet.membership.settings import HELPERS, WATCHES, WITNESSES, Settings
from fleet.membership.states import COUNTED, State
from fleet.membership.view import REFUSED, SILENT, Move, View
from fleet.registry.entries import Entry
from fleet.registry.history import Changes

WAIT_MS = 2_000.0  # of a watch
SEEDS_MS = 30_000.0  # how often seeds are looked for that nobody here knows
MOST_ACCUSERS = 2 * WITNESSES  # more say nothing new
DOUBT_SHARE = 1.0 / 3.0
SILENT_CHECKS, REFUSED_CHECKS = 3, 2  # of our own in a row, before we judge
MOST_ASKED = 16  # questions for views that are out at once, beyond which invitations are passed over
STALL_PERIODS = 1.5  # a timer that is so many periods late says that we stood still
MOST_SLOWNESS = 4  # periods and waits grow by one for each sign that we ourselves are slow, up to this
SEED_PERIODS = 25  # of a new process, in which it looks for seeds that it does not know at each
CALM_PERIODS = 5  # after so many one of those signs is forgotten
LOOK_PERIODS = 25  # between two looks at what is long gone

# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Begin:
    """Start; `seeds` are addresses by which others may be found, `others` what an earlier view had."""

    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Checked:
    """A check is over: `found` is empty if it was answered, else REFUSED or SILENT."""

    name: str
    found: str = ""


@dataclass(frozen=True, slots=True)
class Told:
    """An answer to `Ask`, by whoever calls itself `name`."""

    asked: str
    name: str
    changes: Changes


@dataclass(frozen=True, slots=True)
class Lost:
    """No good answer to `Ask`."""

    asked: str


@dataclass(frozen=True, slots=True)
class Written:
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


Event = Begin | Checked | Told | Lost | Written | TimeDue | Leave | Return

# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Check:
    """See whether a process answers (`GET /health/live`)."""

    name: str
    host_port: str
    within_ms: float


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask an address for its view, or for what came after a number of its own."""

    host_port: str
    after: int | None
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Write:
    """Tell an address our own entry (`PUT`); no answer is waited for."""

    host_port: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class Changed:
    """Whoever follows our view can be told."""


@dataclass(frozen=True, slots=True)
class Balancers:
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


Action = Check | Ask | Write | Changed | Balancers | SetTimer | Log


class Detector:
    """The decisions of one process about the others."""

    def __init__(
        self, settings: Settings, seed: int, incarnation: int, start_s: float, balancers: int = 1
    ) -> None:
        """`balancers`: how many to count until views say more."""
        self._settings = settings
        self._chance = random.Random(seed)
        self.view = View(settings, incarnation, start_s)
        self._counted, self._told_count = Counted(balancers), balancers
        self._seeds: tuple[str, ...] = ()
        self._round: list[str] = []  # whom to check next, last first
        self._checking: dict[str, float] = {}  # when a check that is out was begun
        self._asking: dict[str, float] = {}  # addresses whose answer is due, and since when
        self._following: list[str] = []  # of them, those that we go on with
        self._after: dict[str, int] = {}
        self._seeds_at, self._due_at, self._stood_until = 0.0, 0.0, 0.0
        self._slow, self._periods = 0, 0
        self._in_vain: dict[str, int] = {}  # checks of ours in a row that were not answered
        self._patience: dict[str, tuple[int, float]] = {}  # refuted accusations of ours, and none before
        self._known: Entry | None = None  # our entry, as another's view last had it
        self._doubted_at = 0.0
        self.doubts = False  # whether we take it that we ourselves are cut off

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event; carry out the actions in order."""
        before, actions = self.view.history.revision, list[Action]()
        match event:
            case Begin(seeds):
                self._seeds = seeds
                self._due_at = now
                self._period(now, actions)
            case TimeDue():
                self._period(now, actions)
            case Checked(name, found):
                self._checked(name, found, now, actions)
            case Told():
                self._told(event, now, actions)
            case Lost(asked):
                self._lost(asked)
            case Written(entry):
                self._invited(entry, now, actions)
            case Leave():
                self.view.leave(now)
            case Return():
                self.view.rejoin(now)
        self._say(now, actions)
        if self.view.history.revision != before:
            actions.append(Changed())
        return actions

    def number(self, now: float) -> int:
        """How many balancers budgets go by."""
        return self._counted.number(now)

    def _say(self, now: float, actions: list[Action]) -> None:
        """A line for each member that has changed; and the number, when it has."""
        left = 0
        for move in self.view.moves:
            left += move.now is State.LEFT and move.before in (State.PRESENT, State.SUSPECTED)
            if self._settings.name != move.name:
                actions.append(Log(f"membership: {move.name} is {move.now.value}{_reason(move)}"))
        self.view.moves.clear()
        self._counted.see(self.view.count(*COUNTED), left, now)
        if (number := self._counted.number(now)) != self._told_count:
            self._told_count = number
            actions.append(Balancers(number))

    # ---- checks ----------------------------------------------------------------------------------

    def _period(self, now: float, actions: list[Action]) -> None:
        settings = self._settings
        if now - self._due_at > STALL_PERIODS * settings.period_ms:
            self._stood_until = now + settings.check_ms
            self._slow = min(self._slow + 1, MOST_SLOWNESS)
            self._checking.clear()
        period = settings.period_ms * (1 + self._slow)
        self._due_at = now + period
        if self._periods % LOOK_PERIODS == 0:
            self.view.forget(now)
        if self._periods % CALM_PERIODS == 0:
            self._slow = max(self._slow - 1, 0)
        self._periods += 1
        if not self.view.superseded:
            for name in dict.fromkeys([*self._next(), *self._to_help()]):
                self._check(name, now, actions)
            self._judge(now)
        self._follow(now, actions)
        actions.append(SetTimer(self._due_at))

    def _next(self) -> list[str]:
        """Our successor in every other period, so that nobody waits long for the first check; else the next
        of the round: each once, in an order drawn anew.
        """
        members = self.view.members
        if self._periods % 2 and (successor := next(self.view.after(self._settings.name), None)) is not None:
            return [successor.name]
        while self._round:
            name = self._round.pop()
            if name in members and members[name].state is not State.LEFT:
                return [name]
        known = self.view.others(State.JOINING, State.PRESENT, State.SUSPECTED, State.FAILED)
        self._round = [member.name for member in known]
        self._chance.shuffle(self._round)
        return [self._round.pop()] if self._round else []

    def _to_help(self) -> list[str]:
        """Those whom we accuse ourselves, and those for whom we are among the helpers."""
        own, found = self._settings.name, []
        for member in self.view.others(State.SUSPECTED):
            accusers = self.view.accusers(member.name)
            # Whoever comes next in the order of names: the same ones at every process that knows the same.
            helpers = islice(self.view.after(member.name), HELPERS)
            if own in accusers or any(helper.name == own for helper in helpers):
                found.append(member.name)
        return found

    def _check(self, name: str, now: float, actions: list[Action]) -> None:
        within = self._settings.check_ms * (1 + self._slow)
        if name not in self._checking:
            self._checking[name] = now
            actions.append(Check(name, self.view.members[name].entry.host_port, within))

    def _checked(self, name: str, found: str, now: float, actions: list[Action]) -> None:
        began = self._checking.pop(name, None)
        member = self.view.members.get(name)
        if member is None or began is None:
            return  # what was found while we stood still says nothing
        self._in_vain[name] = self._in_vain.get(name, 0) + 1 if found else 0
        if not found:
            self.view.reached(name, now)
            if self._settings.name in self.view.accusers(name):
                self._slow = min(self._slow + 1, MOST_SLOWNESS)
                self.view.withdraw(name, now)
            if member.state is State.FAILED:  # it lives: hear what it says to that
                self._ask(member.entry.host_port, actions, now, wait_ms=0.0)
        elif member.state in (State.JOINING, State.PRESENT, State.SUSPECTED) and now >= self._stood_until:
            self._accuse(name, found, now)

    def _accuse(self, name: str, found: str, now: float) -> None:
        """Accuse, ever more seldom whoever has refuted us: the way to it may be ours alone that is bad."""
        times, not_before = self._patience.get(name, (0, 0.0))
        accusers = self.view.accusers(name)
        accused = self._settings.name in accusers
        if not accused and (now < not_before or len(accusers) >= MOST_ACCUSERS):
            return
        if not accused:
            pause = self._settings.suspicion_ms * 2.0 ** min(times, 6)
            self._patience[name] = (times + 1, now + pause)
        self.view.accuse(name, found, now)

    # ---- judgement -------------------------------------------------------------------------------

    def _judge(self, now: float) -> None:
        suspected = self.view.others(State.SUSPECTED)
        found = {member.name: self.view.accusers(member.name) for member in suspected}
        silent = sum(REFUSED not in accusers.values() for accusers in found.values())
        others = self.view.count(State.JOINING, State.PRESENT, State.SUSPECTED) - 1
        doubted = self.doubts
        self.doubts = silent > (DOUBT_SHARE / 2 if doubted else DOUBT_SHARE) * others and silent > 1
        if doubted and not self.doubts:  # whoever is silent still has the whole time to answer
            self._doubted_at = now
        for member in suspected:
            accusers = found[member.name]
            refused = sum(word == REFUSED for word in accusers.values()) >= WITNESSES
            since = member.since if refused else max(member.since, self._doubted_at)
            wait = self._settings.refused_ms if refused else self._settings.suspicion_ms
            ours = self._settings.name in accusers and len(accusers) >= WITNESSES
            ours = ours and self._in_vain.get(member.name, 0) >= (
                REFUSED_CHECKS if refused else SILENT_CHECKS
            )
            if ours and now - since >= wait and (refused or not self.doubts):
                self.view.judge(member.name, now)

    # ---- views -----------------------------------------------------------------------------------

    def _follow(self, now: float, actions: list[Action]) -> None:
        """Hold the watches open that should be."""
        if now >= self._seeds_at or self._periods <= SEED_PERIODS:
            self._seeds_at = now + SEEDS_MS
            self._look_for_seeds(now, actions)
        self._draw()
        for name in self._following:
            self._ask(self._address(name), actions, now)
        if self._known != self.view.own and self._following:  # nobody may follow us: they have to be told
            actions.append(Write(self._address(self._chance.choice(self._following)), self.view.own))

    def _look_for_seeds(self, now: float, actions: list[Action]) -> None:
        """Ask one that is known by its address alone: beyond it may be others whom nobody here knows."""
        known = {member.entry.host_port for member in self.view.members.values()}
        if unknown := [seed for seed in self._seeds if seed not in known]:
            seed = self._chance.choice(unknown)
            self._ask(seed, actions, now, wait_ms=0.0)
            actions.append(Write(seed, self.view.own))

    def _draw(self) -> None:
        """Our successor, and others for as long as they are present."""
        kept = [name for name in self._following if self._is_sound(name)]
        successor = next((member.name for member in self.view.after(self._settings.name)), None)
        if successor is not None and successor not in kept:
            kept.insert(0, successor)
        if len(kept) < min(WATCHES, self.view.count(State.PRESENT) - 1) or not kept:
            # If nobody is present, whoever is there: one that is suspected may know more.
            others = self.view.others(State.PRESENT) or self.view.others(State.SUSPECTED, State.JOINING)
            more = [member.name for member in others if member.name not in kept]
            kept += self._chance.sample(more, min(WATCHES - len(kept), len(more)))
        self._following = kept[:WATCHES]

    def _is_sound(self, name: str) -> bool:
        """Whether its view is to be followed on: a new one would have to be asked for the whole."""
        member = self.view.members.get(name)
        if member is None or member.state not in (State.PRESENT, State.SUSPECTED):
            return False
        return self._settings.name not in self.view.accusers(name)

    def _address(self, name: str) -> str:
        return self.view.members[name].entry.host_port

    def _ask(self, address: str, actions: list[Action], now: float, wait_ms: float = WAIT_MS) -> None:
        if address in self._asking:
            return
        self._asking[address] = now
        after = self._after.get(address)
        wait = 0.0 if after is None else wait_ms * self._chance.uniform(0.6, 1.0)
        actions.append(Ask(address, after, wait))

    def _told(self, told: Told, now: float, actions: list[Action]) -> None:
        if self._asking.pop(told.asked, None) is None:
            return
        self._after[told.asked] = told.changes.revision
        if own := [entry for entry in told.changes.entries if entry.key == self.view.own.key]:
            self._known = own[0]
        self.view.merge(told.changes.entries, told.name, now)
        if told.name in self._following and self._address(told.name) == told.asked:
            self._ask(told.asked, actions, now)

    def _invited(self, entry: Entry, now: float, actions: list[Action]) -> None:
        """Whoever connects can write any name: we believe what is told at the address that it names."""
        known = self.view.members.get(entry.id)
        if (known is None or entry.order > known.entry.order) and len(self._asking) < MOST_ASKED:
            self._ask(entry.host_port, actions, now, wait_ms=0.0)

    def _lost(self, asked: str) -> None:
        """It is asked again in the next period, if it is still to be followed then."""
        self._asking.pop(asked, None)


def _reason(move: Move) -> str:
    if not move.witnesses:
        return ""
    shown = ", ".join(move.witnesses[:4]) + (" and others" if len(move.witnesses) > 4 else "")
    return f" by the word of {shown}"


__all__ = [
    "REFUSED", "SILENT", "Action", "Ask", "Balancers", "Begin", "Changed", "Check", "Checked", "Detector",
    "Event", "Leave", "Log", "Lost", "Return", "SetTimer", "TimeDue", "Told", "Write", "Written",
]  # fmt: skip
