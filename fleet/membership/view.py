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

from fleet.membership.settings import MOST_MEMBERS, SEPARATOR, Settings
from fleet.membership.states import MOVES, State, Word
from fleet.registry.entries import Entry
from fleet.registry.entries import Word as Said
from fleet.registry.history import SLOTS, History

REFUSED, SILENT = "refused", "silent"
_UNHEARD = frozenset({State.FAILED, State.LEFT})  # whose word against others does not count
FORGET_MS = 600_000.0  # how long a process that is gone, or a withdrawn accusation, is remembered


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
class Move:
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
        self._in: dict[State, dict[str, Member]] = {state: {} for state in State}
        self._ring: list[str] = []  # all names in order
        self._accusers: dict[str, dict[str, Entry]] = {}
        self._accused_by: dict[str, set[str]] = {}
        self._gone_since: dict[tuple[str, str], float] = {}
        self.own = Entry(
            settings.name, settings.host_port, settings.members, settings.zone, settings.version,
            incarnation=incarnation,
        )  # fmt: skip
        self.superseded = False  # another process of our name is the later one
        self.moves: list[Move] = []
        self.write(self.own, 0.0)

    # ---- what is said ----------------------------------------------------------------------------

    def write(self, entry: Entry, now: float) -> None:
        """Say something ourselves."""
        self.history.put(entry)
        self._apply(entry, self._settings.name, now)

    def merge(self, entries: Iterable[Entry], source: str, now: float) -> None:
        """Take over from another's view whatever is later; what it says of itself comes first."""
        for entry in sorted(entries, key=lambda entry: entry.id != source):
            if entry.list not in (self._settings.members, self._settings.doubts):
                continue  # another fleet's, or no view at all
            known = self.history.get(entry.key)
            if known is None and len(self.history) >= 4 * MOST_MEMBERS:
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
        if entry.list == self._settings.doubts:
            self._accused(entry, now)
            return
        member = self.members.get(entry.id)
        if member is None:
            member = self.members[entry.id] = self._in[State.JOINING][entry.id] = Member(entry, since=now)
            insort(self._ring, entry.id)
        elif entry.incarnation > member.entry.incarnation:
            self._move(member, Word.NEWER, now)
        refutes = not entry.lapsed and (entry.turn > member.entry.turn or member.entry.lapsed)
        member.entry = entry
        if entry.id == self._settings.name:
            self._is_ours(member, now)
        elif entry.word is not Said.ACTIVE:
            self._move(member, Word.GOES, now)
        elif entry.lapsed:
            self._move(member, Word.JUDGED, now, (source,))
        else:
            if refutes:
                self._move(member, Word.REFUTES, now)
            self._vouch(entry, source, now)
        self._weigh(entry.id, now)

    def _is_ours(self, member: Member, now: float) -> None:
        if member.entry.incarnation > self.own.incarnation:
            self.superseded = True
        self._put(member, State.PRESENT if member.entry.word is Said.ACTIVE else State.LEFT, now)

    def _vouch(self, entry: Entry, source: str, now: float) -> None:
        """It says so itself, or one who is present does; others' strangers count once we reach them."""
        member, by = self.members.get(entry.id), self.members.get(source)
        if entry.list != self._settings.members or member is None or member.state is not State.JOINING:
            return
        if source == entry.id or (by is not None and by.state is State.PRESENT):
            self._move(member, Word.VOUCHED, now)

    def reached(self, name: str, now: float) -> None:
        """It has answered us."""
        if (member := self.members.get(name)) is not None:
            self._move(member, Word.VOUCHED, now)

    # ---- accusations -----------------------------------------------------------------------------

    def accuse(self, name: str, found: str, now: float) -> None:
        """Say that we can't reach it."""
        member = self.members[name]
        ours = self._accusers.get(name, {}).get(self._settings.name)
        if ours is not None and self._stands(ours) and ours.flavor == found:
            return
        said = member.entry
        entry = Entry(
            f"{self._settings.name}{SEPARATOR}{name}", said.host_port, self._settings.doubts,
            self._settings.zone, found, cell=said.turn, incarnation=said.incarnation,
        )  # fmt: skip
        before = self.history.get(entry.key)
        if before is not None and before.incarnation == entry.incarnation:
            entry = replace(entry, turn=before.turn + 1)
        self.write(entry, now)

    def withdraw(self, name: str, now: float) -> None:
        """It has answered us after all."""
        ours = self._accusers.get(name, {}).get(self._settings.name)
        if ours is not None and not ours.is_gone:
            self.write(replace(ours, lapsed=True, turn=ours.turn + 1), now)

    def _accused(self, entry: Entry, now: float) -> None:
        accuser, _, name = entry.id.partition(SEPARATOR)
        self._accusers.setdefault(name, {})[accuser] = entry
        self._accused_by.setdefault(accuser, set()).add(name)
        self._weigh(name, now)

    def _stands(self, accusation: Entry) -> bool:
        by, _, name = accusation.id.partition(SEPARATOR)
        member, accuser = self.members.get(name), self.members.get(by)
        return (
            member is not None
            and not accusation.is_gone
            and (accuser is None or accuser.state not in _UNHEARD)
            and accusation.incarnation == member.entry.incarnation
            and accusation.cell == member.entry.turn
        )

    def accusers(self, name: str) -> dict[str, str]:
        """Who can't reach it, and what they found."""
        found = self._accusers.get(name, {})
        return {accuser: entry.flavor for accuser, entry in found.items() if self._stands(entry)}

    def _weigh(self, name: str, now: float) -> None:
        """Suspect whoever is accused, until no accusation stands."""
        member = self.members.get(name)
        if member is None or name == self._settings.name or member.entry.is_gone:
            return
        if accusers := self.accusers(name):
            self._move(member, Word.ACCUSED, now, tuple(sorted(accusers)))
        elif member.state is State.SUSPECTED:
            self._move(member, Word.REFUTES, now)

    def _refute(self, now: float) -> None:
        """We are alive: whatever is said against us, we are a turn further."""
        heard = self.history.get(self.own.key)
        if heard is None or heard.incarnation > self.own.incarnation or heard.word is not Said.ACTIVE:
            return
        if heard.lapsed or self.accusers(self._settings.name):
            self.own = replace(heard, lapsed=False, turn=heard.turn + 1)
            self.write(self.own, now)

    def judge(self, name: str, now: float) -> None:
        """Say that it has failed."""
        member = self.members[name]
        witnesses = tuple(sorted(self.accusers(name)))
        entry = replace(member.entry, lapsed=True, turn=member.entry.turn + 1)
        self._move(member, Word.JUDGED, now, witnesses)
        self.write(entry, now)

    def leave(self, now: float) -> None:
        """Say that we go."""
        heard = self.history.get(self.own.key)
        if heard is not None and heard.incarnation == self.own.incarnation:
            self.own = replace(heard, word=Said.LEAVING, lapsed=False, turn=heard.turn + 1)
            self.write(self.own, now)

    def rejoin(self, now: float) -> None:
        """Say that we are back: as another process of our name would be, by the next incarnation."""
        self.own = replace(
            self.own, word=Said.ACTIVE, incarnation=self.own.incarnation + 1, lapsed=False, turn=0
        )
        self.write(self.own, now)

    # ---- what follows ----------------------------------------------------------------------------

    def _move(self, member: Member, word: Word, now: float, witnesses: tuple[str, ...] = ()) -> None:
        after = MOVES.get((member.state, word))
        if after is not None:
            self.moves.append(Move(member.name, member.state, after, witnesses))
            self._put(member, after, now)

    def _put(self, member: Member, state: State, now: float) -> None:
        before = member.state
        del self._in[before][member.name]
        self._in[state][member.name] = member
        member.state, member.since = state, now
        if (before in _UNHEARD) != (state in _UNHEARD):  # its own word against others counts, or no more
            for name in self._accused_by.get(member.name, ()):
                self._weigh(name, now)

    def others(self, *states: State) -> list[Member]:
        """All but ourselves in these states."""
        own = self._settings.name
        return [m for state in states for name, m in self._in[state].items() if name != own]

    def after(self, name: str) -> Iterator[Member]:
        """Those who are present, in the order of names from the next one on, and round."""
        begin, count = bisect_right(self._ring, name), len(self._ring)
        for step in range(count):
            other = self._ring[(begin + step) % count]
            if other != name and self.members[other].state is State.PRESENT:
                yield self.members[other]

    def count(self, *states: State) -> int:
        """How many are in these states, ourselves included."""
        return sum(len(self._in[state]) for state in states)

    def forget(self, now: float) -> None:
        """Drop what is long gone."""
        for key, since in list(self._gone_since.items()):
            if now - since >= FORGET_MS:
                del self._gone_since[key]
                self.history.forget(key)
                if key[0] == self._settings.members:
                    member = self.members.pop(key[1])
                    del self._in[member.state][key[1]]
                    self._ring.remove(key[1])
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
