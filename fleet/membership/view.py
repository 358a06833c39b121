"""What one process knows of the others: their entries, who accuses whom, and the state that follows for each.

A view is a log of entries in two lists, passed on whole or as changes like any list. A member's own entry is
written by itself, and by whoever judges that it has failed (`lapsed`, a turn further); it refutes that by a
further turn. An accusation is an entry that its accuser alone writes: of one incarnation and turn of the
accused (`incarnation`, `cell`), with what was found (`flavor`), and `lapsed` once it is withdrawn. So all
that is said has an order of its own, `Entry.order`, and views that hear of each other become equal.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from fleet.membership.settings import MAX_MEMBERS, SEPARATOR, Settings
from fleet.membership.states import TRANSITIONS, State, Trigger
from fleet.registry.entries import Entry, Lifecycle
from fleet.registry.history import SLOTS, History

REFUSED, SILENT = "refused", "silent"
_GONE = frozenset({State.FAILED, State.LEFT})  # whose word against others does not count
TOMBSTONE_MS = 600_000.0  # how long a process that is gone, or a withdrawn accusation, is remembered


@dataclass(slots=True)
class Member:
    """One process: its entry, the state that it is in here, and since when."""

    entry: Entry
    state: State = State.JOINING
    since: float = 0.0

    @property
    def name(self) -> str:
        """What it is called."""
        return self.entry.id


@dataclass(frozen=True, slots=True)
class StateChange:
    """A member's state has changed, and on whose word."""

    name: str
    before: State
    now: State
    witnesses: tuple[str, ...] = ()


class View:
    """The fleet, as this process knows it."""

    def __init__(self, settings: Settings, incarnation: int, start_s: float) -> None:
        """`incarnation`: higher for each later process of the name, as its start in ms of Unix time."""
        self._settings = settings
        self.history = History(sum(settings.name.encode()) % SLOTS, start_s)
        self.members: dict[str, Member] = {}
        self._by_state: dict[State, dict[str, Member]] = {state: {} for state in State}
        self._sorted_names: list[str] = []  # all names in order
        self._accusers: dict[str, dict[str, Entry]] = {}
        self._accused_by: dict[str, set[str]] = {}
        self._gone_since: dict[tuple[str, str], float] = {}
        self.own = Entry(
            settings.name, settings.host_port, settings.members_list, settings.zone, settings.version,
            incarnation=incarnation,
        )  # fmt: skip
        self.superseded = False  # another process of our name is the later one
        self.state_changes: list[StateChange] = []
        self.publish(self.own, 0.0)

    # ---- what is said ----------------------------------------------------------------------------

    def publish(self, entry: Entry, now: float) -> None:
        """Say something ourselves."""
        self.history.put(entry)
        self._apply(entry, self._settings.name, now)

    def merge(self, entries: Iterable[Entry], source: str, now: float) -> None:
        """Take over from another's view whatever is later; what it says of itself comes first."""
        for entry in sorted(entries, key=lambda entry: entry.id != source):
            if entry.list not in (self._settings.members_list, self._settings.accusations_list):
                continue  # another fleet's, or no view at all
            known = self.history.get(entry.key)
            if known is None and len(self.history) >= 4 * MAX_MEMBERS:
                continue
            if known is not None and entry.order == known.order:
                self._vouch(entry, source, now)
            elif known is None or entry.order > known.order:
                self.history.put(entry)
                self._apply(entry, source, now)
        self._refute(now)

    def _apply(self, entry: Entry, source: str, now: float) -> None:
        if entry.is_gone:
            self._gone_since.setdefault(entry.key, now)
        else:
            self._gone_since.pop(entry.key, None)
        if entry.list == self._settings.accusations_list:
            self._apply_accusation(entry, now)
            return
        member = self.members.get(entry.id)
        if member is None:
            member = self.members[entry.id] = self._by_state[State.JOINING][entry.id] = Member(
                entry, since=now
            )
            insort(self._sorted_names, entry.id)
        elif entry.incarnation > member.entry.incarnation:
            self._transition(member, Trigger.SUPERSEDED, now)
        refutes = not entry.lapsed and (entry.turn > member.entry.turn or member.entry.lapsed)
        member.entry = entry
        if entry.id == self._settings.name:
            self._apply_own(member, now)
        elif entry.lifecycle is not Lifecycle.ACTIVE:
            self._transition(member, Trigger.LEFT, now)
        elif entry.lapsed:
            self._transition(member, Trigger.FAILED, now, (source,))
        else:
            if refutes:
                self._transition(member, Trigger.REFUTED, now)
            self._vouch(entry, source, now)
        self._update_suspicion(entry.id, now)

    def _apply_own(self, member: Member, now: float) -> None:
        if member.entry.incarnation > self.own.incarnation:
            self.superseded = True
        self._set_state(
            member, State.PRESENT if member.entry.lifecycle is Lifecycle.ACTIVE else State.LEFT, now
        )

    def _vouch(self, entry: Entry, source: str, now: float) -> None:
        """It says so itself, or one who is present does; others' strangers count once we reach them."""
        member, reporter = self.members.get(entry.id), self.members.get(source)
        if entry.list != self._settings.members_list or member is None or member.state is not State.JOINING:
            return
        if source == entry.id or (reporter is not None and reporter.state is State.PRESENT):
            self._transition(member, Trigger.VOUCHED, now)

    def mark_reached(self, name: str, now: float) -> None:
        """It has answered us."""
        if (member := self.members.get(name)) is not None:
            self._transition(member, Trigger.VOUCHED, now)

    # ---- accusations -----------------------------------------------------------------------------

    def accuse(self, name: str, found: str, now: float) -> None:
        """Say that we can't reach it."""
        member = self.members[name]
        own_accusation = self._accusers.get(name, {}).get(self._settings.name)
        if own_accusation is not None and self._is_valid(own_accusation) and own_accusation.flavor == found:
            return
        accused = member.entry
        entry = Entry(
            f"{self._settings.name}{SEPARATOR}{name}", accused.host_port, self._settings.accusations_list,
            self._settings.zone, found, cell=accused.turn, incarnation=accused.incarnation,
        )  # fmt: skip
        before = self.history.get(entry.key)
        if before is not None and before.incarnation == entry.incarnation:
            entry = replace(entry, turn=before.turn + 1)
        self.publish(entry, now)

    def withdraw(self, name: str, now: float) -> None:
        """It has answered us after all."""
        own_accusation = self._accusers.get(name, {}).get(self._settings.name)
        if own_accusation is not None and not own_accusation.is_gone:
            self.publish(replace(own_accusation, lapsed=True, turn=own_accusation.turn + 1), now)

    def _apply_accusation(self, entry: Entry, now: float) -> None:
        accuser, _, name = entry.id.partition(SEPARATOR)
        self._accusers.setdefault(name, {})[accuser] = entry
        self._accused_by.setdefault(accuser, set()).add(name)
        self._update_suspicion(name, now)

    def _is_valid(self, accusation: Entry) -> bool:
        accuser_name, _, name = accusation.id.partition(SEPARATOR)
        member, accuser = self.members.get(name), self.members.get(accuser_name)
        return (
            member is not None
            and not accusation.is_gone
            and (accuser is None or accuser.state not in _GONE)
            and accusation.incarnation == member.entry.incarnation
            and accusation.cell == member.entry.turn
        )

    def accusers(self, name: str) -> dict[str, str]:
        """Who can't reach it, and what they found."""
        found = self._accusers.get(name, {})
        return {accuser: entry.flavor for accuser, entry in found.items() if self._is_valid(entry)}

    def _update_suspicion(self, name: str, now: float) -> None:
        """Suspect whoever is accused, until no accusation stands."""
        member = self.members.get(name)
        if member is None or name == self._settings.name or member.entry.is_gone:
            return
        if accusers := self.accusers(name):
            self._transition(member, Trigger.ACCUSED, now, tuple(sorted(accusers)))
        elif member.state is State.SUSPECTED:
            self._transition(member, Trigger.REFUTED, now)

    def _refute(self, now: float) -> None:
        """We are alive: whatever is said against us, we are a turn further."""
        stored = self.history.get(self.own.key)
        if (
            stored is None
            or stored.incarnation > self.own.incarnation
            or stored.lifecycle is not Lifecycle.ACTIVE
        ):
            return
        if stored.lapsed or self.accusers(self._settings.name):
            self.own = replace(stored, lapsed=False, turn=stored.turn + 1)
            self.publish(self.own, now)

    def mark_failed(self, name: str, now: float) -> None:
        """Say that it has failed."""
        member = self.members[name]
        witnesses = tuple(sorted(self.accusers(name)))
        entry = replace(member.entry, lapsed=True, turn=member.entry.turn + 1)
        self._transition(member, Trigger.FAILED, now, witnesses)
        self.publish(entry, now)

    def leave(self, now: float) -> None:
        """Say that we go."""
        stored = self.history.get(self.own.key)
        if stored is not None and stored.incarnation == self.own.incarnation:
            self.own = replace(stored, lifecycle=Lifecycle.LEAVING, lapsed=False, turn=stored.turn + 1)
            self.publish(self.own, now)

    def rejoin(self, now: float) -> None:
        """Say that we are back: as another process of our name would be, by the next incarnation."""
        self.own = replace(
            self.own, lifecycle=Lifecycle.ACTIVE, incarnation=self.own.incarnation + 1, lapsed=False, turn=0
        )
        self.publish(self.own, now)

    # ---- what follows ----------------------------------------------------------------------------

    def _transition(
        self, member: Member, trigger: Trigger, now: float, witnesses: tuple[str, ...] = ()
    ) -> None:
        target = TRANSITIONS.get((member.state, trigger))
        if target is not None:
            self.state_changes.append(StateChange(member.name, member.state, target, witnesses))
            self._set_state(member, target, now)

    def _set_state(self, member: Member, state: State, now: float) -> None:
        before = member.state
        del self._by_state[before][member.name]
        self._by_state[state][member.name] = member
        member.state, member.since = state, now
        if (before in _GONE) != (state in _GONE):  # its own word against others counts, or no more
            for name in self._accused_by.get(member.name, ()):
                self._update_suspicion(name, now)

    def others(self, *states: State) -> list[Member]:
        """All but ourselves in these states."""
        own = self._settings.name
        return [m for state in states for name, m in self._by_state[state].items() if name != own]

    def successors(self, name: str) -> Iterator[Member]:
        """Those who are present, in the order of names from the next one on, and round."""
        begin, count = bisect_right(self._sorted_names, name), len(self._sorted_names)
        for step in range(count):
            other = self._sorted_names[(begin + step) % count]
            if other != name and self.members[other].state is State.PRESENT:
                yield self.members[other]

    def count(self, *states: State) -> int:
        """How many are in these states, ourselves included."""
        return sum(len(self._by_state[state]) for state in states)

    def purge(self, now: float) -> None:
        """Drop what is long gone."""
        for key, since in list(self._gone_since.items()):
            if now - since >= TOMBSTONE_MS:
                del self._gone_since[key]
                self.history.purge(key)
                if key[0] == self._settings.members_list:
                    member = self.members.pop(key[1])
                    del self._by_state[member.state][key[1]]
                    self._sorted_names.remove(key[1])
                    self._accusers.pop(key[1], None)
                else:
                    accuser, _, name = key[1].partition(SEPARATOR)
                    self._accusers.get(name, {}).pop(accuser, None)
                    self._accused_by.get(accuser, set()).discard(name)

    def table(self) -> Iterable[tuple[str, str, str, str, int, float]]:
        """Of each member its name, zone, version, state, incarnation, and since when."""
        for name, member in sorted(self.members.items()):
            entry = member.entry
            yield name, entry.locality, entry.flavor, member.state.value, entry.incarnation, member.since
