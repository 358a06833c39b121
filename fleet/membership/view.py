"""A process's view of its fleet: member entries, accusations between members, and each member's state.

A view is a log of entries in two lists, disseminated as a full list or as changes, like any list. A member
writes its own entry; an observer that marks it failed also does (`lapsed`, with the next turn), and the
member refutes that with a further turn. An accusation is an entry that only its accuser writes: it applies to
one incarnation and turn of the accused (`incarnation`, `cell`), holds the result of the check (`flavor`), and
is `lapsed` once withdrawn. All statements are thus ordered by `Entry.order`, and views that exchange their
entries converge.
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
_GONE = frozenset({State.FAILED, State.LEFT})  # members whose accusations are ignored
TOMBSTONE_MS = 600_000.0  # how long a gone process or a withdrawn accusation is retained


@dataclass(slots=True)
class Member:
    """A member: its entry, its state in this view, and the time of the last change of state."""

    entry: Entry
    state: State = State.JOINING
    since: float = 0.0

    @property
    def name(self) -> str:
        """The member's name."""
        return self.entry.id


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of a member's state; `reporters` are the processes that caused it."""

    name: str
    before: State
    now: State
    reporters: tuple[str, ...] = ()


class View:
    """The fleet as this process knows it."""

    def __init__(self, settings: Settings, incarnation: int, start_s: float) -> None:
        """`incarnation` must grow with each process of the name, such as the start time in Unix ms."""
        self._settings = settings
        self.history = History(sum(settings.name.encode()) % SLOTS, start_s)
        self.members: dict[str, Member] = {}
        self._by_state: dict[State, dict[str, Member]] = {state: {} for state in State}
        self._sorted_names: list[str] = []  # all members' names
        self._accusers: dict[str, dict[str, Entry]] = {}
        self._accused_by: dict[str, set[str]] = {}
        self._gone_since: dict[tuple[str, str], float] = {}
        self.own = Entry(
            settings.name, settings.host_port, settings.members_list, settings.zone, settings.version,
            incarnation=incarnation,
        )  # fmt: skip
        self.superseded = False  # a later process with this name exists
        self.state_changes: list[StateChange] = []
        self.publish(self.own, 0.0)

    # ---- entries ---------------------------------------------------------------------------------

    def publish(self, entry: Entry, now: float) -> None:
        """Adds an entry written by this process."""
        self.history.put(entry)
        self._apply(entry, self._settings.name, now)

    def merge(self, entries: Iterable[Entry], source: str, now: float) -> None:
        """Merges the later entries of another view; its owner's own entry is applied first."""
        for entry in sorted(entries, key=lambda entry: entry.id != source):
            if entry.list not in (self._settings.members_list, self._settings.accusations_list):
                continue  # of another fleet, or of a list that is not a view
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
        """Marks a joining member present if it or a present member reports it.

        A member that only others report counts once this process has reached it.
        """
        member, reporter = self.members.get(entry.id), self.members.get(source)
        if entry.list != self._settings.members_list or member is None or member.state is not State.JOINING:
            return
        if source == entry.id or (reporter is not None and reporter.state is State.PRESENT):
            self._transition(member, Trigger.VOUCHED, now)

    def mark_reached(self, name: str, now: float) -> None:
        """Records that a member has answered this process."""
        if (member := self.members.get(name)) is not None:
            self._transition(member, Trigger.VOUCHED, now)

    # ---- accusations -----------------------------------------------------------------------------

    def accuse(self, name: str, found: str, now: float) -> None:
        """Publishes an accusation: this process can't reach the member."""
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
        """Withdraws this process's accusation of a member."""
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
        """Returns the processes that validly accuse a member, with the results of their checks."""
        found = self._accusers.get(name, {})
        return {accuser: entry.flavor for accuser, entry in found.items() if self._is_valid(entry)}

    def _update_suspicion(self, name: str, now: float) -> None:
        """Marks a member suspected while it has accusers, and present again once it has none."""
        member = self.members.get(name)
        if member is None or name == self._settings.name or member.entry.is_gone:
            return
        if accusers := self.accusers(name):
            self._transition(member, Trigger.ACCUSED, now, tuple(sorted(accusers)))
        elif member.state is State.SUSPECTED:
            self._transition(member, Trigger.REFUTED, now)

    def _refute(self, now: float) -> None:
        """Refutes accusations and failure marks of this process by publishing a higher turn."""
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
        """Marks a member failed and publishes it."""
        member = self.members[name]
        reporters = tuple(sorted(self.accusers(name)))
        entry = replace(member.entry, lapsed=True, turn=member.entry.turn + 1)
        self._transition(member, Trigger.FAILED, now, reporters)
        self.publish(entry, now)

    def leave(self, now: float) -> None:
        """Publishes that this process is leaving."""
        stored = self.history.get(self.own.key)
        if stored is not None and stored.incarnation == self.own.incarnation:
            self.own = replace(stored, lifecycle=Lifecycle.LEAVING, lapsed=False, turn=stored.turn + 1)
            self.publish(self.own, now)

    def rejoin(self, now: float) -> None:
        """Publishes that this process is back, with the next incarnation, like a new process."""
        self.own = replace(
            self.own, lifecycle=Lifecycle.ACTIVE, incarnation=self.own.incarnation + 1, lapsed=False, turn=0
        )
        self.publish(self.own, now)

    # ---- states ----------------------------------------------------------------------------------

    def _transition(
        self, member: Member, trigger: Trigger, now: float, reporters: tuple[str, ...] = ()
    ) -> None:
        target = TRANSITIONS.get((member.state, trigger))
        if target is not None:
            self.state_changes.append(StateChange(member.name, member.state, target, reporters))
            self._set_state(member, target, now)

    def _set_state(self, member: Member, state: State, now: float) -> None:
        before = member.state
        del self._by_state[before][member.name]
        self._by_state[state][member.name] = member
        member.state, member.since = state, now
        if (before in _GONE) != (state in _GONE):  # its accusations become valid or invalid
            for name in self._accused_by.get(member.name, ()):
                self._update_suspicion(name, now)

    def others(self, *states: State) -> list[Member]:
        """Returns the other members in these states."""
        own = self._settings.name
        return [m for state in states for name, m in self._by_state[state].items() if name != own]

    def successors(self, name: str) -> Iterator[Member]:
        """Yields the present members after `name` in the cyclic order of names."""
        begin, count = bisect_right(self._sorted_names, name), len(self._sorted_names)
        for step in range(count):
            other = self._sorted_names[(begin + step) % count]
            if other != name and self.members[other].state is State.PRESENT:
                yield self.members[other]

    def count(self, *states: State) -> int:
        """Returns the number of members in these states, this process included."""
        return sum(len(self._by_state[state]) for state in states)

    def purge(self, now: float) -> None:
        """Deletes members and accusations that have been gone for `TOMBSTONE_MS`."""
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
        """Yields each member's name, zone, version, state, incarnation and time of its last transition."""
        for name, member in sorted(self.members.items()):
            entry = member.entry
            yield name, entry.locality, entry.flavor, member.state.value, entry.incarnation, member.since
