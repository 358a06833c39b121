"""Every order of messages, losses, repeats, syncs and crashes of a few processes, up to stated bounds.

A message that was sent can be delivered at any time, any number of times, or never: the network is the set of
all that was ever sent. What is asked without being bound by it (Ask and its Answer) is carried out at once
and always with a yes, so that nothing rests on time.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from consensus.codec import WholeRecord, apply, whole
from consensus.effects import Committed, Lead, Reply, Send, Spec, Verdict
from consensus.messages import Answer, Ask
from consensus.primary import Command, Get, Put
from consensus.replica import Replica
from consensus.views import Memory
from mastturn.control_check.inert import is_inert
from mastturn.control_check.local import (
    AskIn,
    Event,
    Hear,
    Make,
    Outcome,
    Processes,
    Run,
    Settle,
    Stop,
    Submit,
)
from mastturn.control_check.rules import Asked, Rules

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much may happen in one history."""

    machines: int = 3
    losses: int = 1
    writes: int = 2  # that race on the first version
    chained: int = 0  # further ones, each on top of the one before; the first is on top of the first write
    same_number: bool = False  # the writes that race have one number
    reads: int = 0
    tries: int = 2  # of each command
    campaigns: int = 2  # for the same members
    changes: int = 0  # campaigns of a leader that change the members
    crashes: int = 1
    wipes: int = 0
    joins: int = 0
    newcomers: int = 0  # machines with empty disks beside the members
    stops: int = 0  # processes that are told to stop; one that may end is gone for good
    leavers: tuple[int, ...] = ()  # who may be told to stop, if not all
    losses_for_good: int = 0  # machines that go, with their disks, at any moment
    victims: tuple[int, ...] = ()  # who may crash, if not all; a machine's number
    reduced: bool = True  # states that can only become the same are one
    before: tuple[str, ...] = ()  # actions that have happened already, by their names


@dataclass(frozen=True, slots=True)
class Left:
    """How much may still happen."""

    campaigns: int
    changes: int
    crashes: int
    wipes: int
    joins: int
    stops: int
    losses_for_good: int


@dataclass(frozen=True, slots=True)
class State:
    """All of it as a value; what is large stands as its number in the explorer's table."""

    processes: tuple[int, ...]
    kept: tuple[int, ...]  # on the disks
    queues: tuple[tuple[int, ...], ...]  # of the disks: a record and what is sent after its sync
    sent: int  # which messages were ever sent, by bit
    left: Left
    tries: tuple[int, ...]  # left, of each command
    asked: tuple[tuple[int, int, int], ...]  # token, command, floor
    book: int  # of the rules
    gone: tuple[int, ...] = ()  # machines that went for good


class Steps:
    """What may happen next within bounds, and what it leads to."""

    def __init__(self, bounds: Bounds, make: Make = Replica) -> None:
        self.bounds = bounds
        self._messages: dict[tuple[str, str, object], int] = {}
        self._by_number: list[tuple[int, Hear]] = []  # index of the receiver
        self._values: list[Any] = []
        self._places: dict[Hashable, int] = {}
        self._size = bounds.machines + bounds.newcomers
        self.ips = tuple(f"10.0.{i}.1" for i in range(self._size))
        self.spec = Spec(bounds.machines, bounds.losses + 1)
        self.processes = Processes(
            self.spec, self.ips, bounds.reads > 0, bounds.joins > 0, make, bounds.reduced
        )
        self._victims = bounds.victims or tuple(range(bounds.machines))
        self._inert: dict[tuple[int, int, int, bool], bool] = {}
        self.commands: list[Command] = [
            Put(0, 0, 1 if bounds.same_number else 1 + i, f"w{i}", f"w{i}".encode())
            for i in range(min(bounds.writes, 2))
        ]
        self.commands += [Put(0, 1 + i, 2 + i, f"c{i}", f"c{i}".encode()) for i in range(bounds.chained)]
        self.commands += [Get(0)] * bounds.reads

    # ---- the first state

    def begin(self) -> State:
        """All have accepted the first view, and its primary leads."""
        size, members = self._size, self.bounds.machines
        kept = tuple(self._place(whole(Memory(f"i{i}"))) for i in range(size))
        none: tuple[int, ...] = (0,) * size
        bounds = self.bounds
        left = Left(
            bounds.campaigns,
            bounds.changes,
            bounds.crashes,
            bounds.wipes,
            bounds.joins,
            bounds.stops,
            bounds.losses_for_good,
        )
        tries = (self.bounds.tries,) * len(self.commands)
        nothing_said = self._place(_book(Rules()))
        state = State(none, kept, ((),) * size, 0, left, tries, (), nothing_said)
        for index in range(size):
            state = self._after(state, index, self.processes.boot(index, self._values[kept[index]]))
        for index in range(1, members):
            state = self._act(state, f"join {index}")
        state = self._deliver_all(state)
        founder = self.processes.replica(state.processes[0])
        assert founder._founding.is_ours
        state = self._found(state)
        for _ in range(4):
            state = self._deliver_all(state)
            for index in range(size):
                while state.queues[index]:
                    state = self._act(state, f"sync {index}")
        assert self.processes.leads(state.processes[0])
        state = replace(state, sent=0, left=left)
        for action in self.bounds.before:
            state = self._act(state, self._by_name(action))
        return self._without_inert(state)

    def _found(self, state: State) -> State:
        replica = self.processes.replica(state.processes[0])
        replica._founding.found(replica._newcomers.members(), 0.0)
        return self._after(state, 0, self.processes.adopt(replica, 0))

    def _deliver_all(self, state: State) -> State:
        for number in range(len(self._by_number)):
            if state.sent >> number & 1:
                state = self._act(replace(state, sent=state.sent & ~(1 << number)), f"deliver {number}")
        return state

    # ---- steps

    def actions(self, state: State) -> list[str]:
        """All that may happen next."""
        found = []
        for index in range(self._size):
            if index in state.gone:
                continue
            if state.queues[index]:
                found.append(f"sync {index}")
                is_late = not self._may_crash(state, index) and self._is_remote(state, index)
                if self.bounds.reduced and is_late:
                    return [f"sync {index}"]  # as good as a message that comes late
            found += self._own_actions(state, index)
        sent, number = state.sent, 0
        while sent:
            if sent & 1:
                found.append(f"deliver {number}")
            sent >>= 1
            number += 1
        return found

    def _own_actions(self, state: State, index: int) -> list[str]:
        """What a process may do, or may befall it, apart from syncs and messages."""
        process, left, processes = state.processes[index], state.left, self.processes
        found = []
        if processes.settles(process):
            found.append(f"settle {index}")
        if left.changes:
            found += [f"run {k} {index}" for k in range(1, len(processes.changes(process)))]
        if left.campaigns:
            found.append(f"run {index}")
        if left.crashes and index in self._victims:
            found.append(f"crash {index}")
        if left.wipes:
            found.append(f"wipe {index}")
        if left.joins and (not self.bounds.newcomers or processes.may_join(process)):
            found.append(f"join {index}")
        is_leaver = index in (self.bounds.leavers or range(self._size))
        if left.stops and is_leaver and not processes.leads(process):
            found.append(f"stop {index}")
        if left.losses_for_good:
            found.append(f"lose {index}")
        if processes.may_end(process):
            found.append(f"end {index}")
        if processes.leads(process):
            found += [f"submit {c} {index}" for c, tries in enumerate(state.tries) if tries]
        return found

    def _by_name(self, action: str) -> str:
        """`deliver Prepare 1 2`: the latest message of that kind from one to the other; else as it stands."""
        verb, *rest = action.split()
        if verb != "deliver":
            return action
        kind, sender, receiver = rest
        for number in reversed(range(len(self._by_number))):
            index, hear = self._by_number[number]
            ends = index == int(receiver) and hear.ip == self.ips[int(sender)]
            if ends and type(hear.message).__name__ == kind:
                return f"deliver {number}"
        raise ValueError(f"nothing to {action}")

    def _may_crash(self, state: State, index: int) -> bool:
        """Whether a process may still lose what it has not synced."""
        return bool(state.left.wipes or (state.left.crashes and index in self._victims))

    def _without_inert(self, state: State) -> State:
        """The same without messages that can mean nothing any more."""
        if not self.bounds.reduced:
            return state
        left, number, kept = state.sent, 0, 0
        while left:
            if left & 1 and not self._is_inert(state, number):
                kept |= 1 << number
            left >>= 1
            number += 1
        return state if kept == state.sent else replace(state, sent=kept)

    def _is_inert(self, state: State, number: int) -> bool:
        index, hear = self._by_number[number]
        if index in state.gone:
            return True
        may_crash = self._may_crash(state, index)
        key = (number, state.processes[index], state.kept[index], may_crash)
        found = self._inert.get(key)
        if found is None:
            kept, facts = self._values[state.kept[index]], self.processes.facts(state.processes[index])
            found = is_inert(hear.message, kept, facts, may_crash, self.bounds.joins > 0)
            self._inert[key] = found
        return found

    def _is_remote(self, state: State, index: int) -> bool:
        return all(send.ip != self.ips[index] for send in self._values[state.queues[index][0]][1])

    def act(self, state: State, action: str) -> State:
        """What an action leads to; raises BrokenRuleError."""
        return self._without_inert(self._act(state, action))

    def _act(self, state: State, action: str) -> State:
        verb, *numbers = action.split()
        index, left = int(numbers[-1]), state.left
        match verb:
            case "deliver":
                index, hear = self._by_number[index]
                return self._step(state, index, hear)
            case "sync":
                return self._sync(state, index)
            case "settle":
                return self._step(state, index, Settle())
            case "run":
                change = int(numbers[0]) if len(numbers) > 1 else 0
                taken = {"changes": left.changes - 1} if change else {"campaigns": left.campaigns - 1}
                return self._campaign(replace(state, left=replace(left, **taken)), index, change)
            case "join":
                state = replace(state, left=replace(left, joins=left.joins - 1))
                return self._ask_in(state, index)
            case "stop":
                state = replace(state, left=replace(left, stops=left.stops - 1))
                return self._step(state, index, Stop())
            case "submit":
                return self._submit(state, int(numbers[0]), index)
            case "crash":
                state = replace(state, left=replace(left, crashes=left.crashes - 1))
                return self._restart(state, index, self._values[state.kept[index]])
            case "wipe":
                state = replace(state, left=replace(left, wipes=left.wipes - 1))
                return self._restart(state, index, whole(Memory(f"w{index}-{left.wipes}")))
            case "end":
                return self._go(state, index)
            case "lose":
                state = replace(state, left=replace(left, losses_for_good=left.losses_for_good - 1))
                return self._go(state, index)
        raise ValueError(action)

    def _ask_in(self, state: State, index: int) -> State:
        """Ask for a slot, or to be released; a newcomer asks whoever leads at that moment."""
        outcome = self.processes.step(state.processes[index], AskIn())
        if index >= self.bounds.machines:
            leading = {ip for ip, p in zip(self.ips, state.processes, strict=True) if self.processes.leads(p)}
            sends = tuple(send for send in outcome.sends if send.ip in leading)
            persists = tuple(
                (record, tuple(send for send in then if send.ip in leading))
                for record, then in outcome.persists
            )
            outcome = replace(outcome, sends=sends, persists=persists)
        return self._after(state, index, outcome)

    def _step(self, state: State, index: int, event: Event) -> State:
        return self._after(state, index, self.processes.step(state.processes[index], event))

    def _after(self, state: State, index: int, outcome: Outcome) -> State:
        processes = _put(state.processes, index, outcome.process)
        queues = state.queues
        if outcome.persists:
            # A record that waits already is not queued a second time: its sync would change nothing.
            fresh = [p for p in map(self._place, outcome.persists) if p not in queues[index]]
            queues = _put(queues, index, (*queues[index], *fresh))
        sent = state.sent
        for send in outcome.sends:
            sent |= self._number(index, send)
        book, asked = state.book, state.asked
        if outcome.told:
            book, asked = self._judge(state, outcome.told)
        return State(processes, state.kept, queues, sent, state.left, state.tries, asked, book, state.gone)

    def _number(self, index: int, send: Send) -> int:
        if send.ip not in self.ips:
            return 0
        key = (self.ips[index], send.ip, send.message)
        number = self._messages.get(key)
        if number is None:
            number = self._messages[key] = len(self._by_number)
            self._by_number.append((self.ips.index(send.ip), Hear(self.ips[index], send.message)))
        return 1 << number

    def _sync(self, state: State, index: int) -> State:
        then: tuple[Send, ...]
        record, then = self._values[state.queues[index][0]]
        memory = _memory(self._values[state.kept[index]])
        apply(memory, record)
        state = replace(
            state,
            kept=_put(state.kept, index, self._place(whole(memory))),
            queues=_put(state.queues, index, state.queues[index][1:]),
        )
        sent = state.sent
        for send in then:
            if send.ip != self.ips[index]:
                sent |= self._number(index, send)
        state = replace(state, sent=sent)
        for send in then:
            if send.ip == self.ips[index]:
                state = self._step(state, index, Hear(send.ip, send.message))
        return state

    def _place(self, value: Hashable) -> int:
        """The number of a value in the table."""
        number = self._places.get(value)
        if number is None:
            number = self._places[value] = len(self._values)
            self._values.append(value)
        return number

    def _restart(self, state: State, index: int, kept: WholeRecord) -> State:
        place = self._place(kept)
        state = replace(state, kept=_put(state.kept, index, place), queues=_put(state.queues, index, ()))
        return self._after(state, index, self.processes.boot(index, kept))

    def _go(self, state: State, index: int) -> State:
        """A machine goes for good, with its disk."""
        gone = tuple(sorted({*state.gone, index}))
        nothing = self._place(whole(Memory(f"gone{index}")))
        outcome = self.processes.boot(index, self._values[nothing])
        return replace(
            state,
            gone=gone,
            processes=_put(state.processes, index, outcome.process),
            kept=_put(state.kept, index, nothing),
            queues=_put(state.queues, index, ()),
        )

    def _campaign(self, state: State, index: int, change: int) -> State:
        """Ask and answer, carried out at once; who agrees is heard first."""
        outcome = self.processes.step(state.processes[index], Run(change))
        asks = [s for s in outcome.sends if isinstance(s.message, Ask)]
        rest = tuple(s for s in outcome.sends if not isinstance(s.message, Ask))
        state = self._after(state, index, replace(outcome, sends=rest))
        answers = []
        for ask in asks:
            other = self.ips.index(ask.ip)
            if other in state.gone:
                continue
            answer = self.processes.step(state.processes[other], Hear(self.ips[index], ask.message))
            answers += [Hear(ask.ip, send.message) for send in answer.sends]
        for hear in sorted(answers, key=_is_no):
            state = self._step(state, index, hear)
        return state

    def _submit(self, state: State, command: int, index: int) -> State:
        left = state.tries[command] - 1
        token = command * 100 + left
        floor = _rules(self._values[state.book]).told
        state = replace(
            state,
            tries=_put(state.tries, command, left),
            asked=(*state.asked, (token, command, floor)),
        )
        return self._step(state, index, Submit(replace(self.commands[command], token=token)))

    def _judge(
        self, state: State, told: tuple[Reply | Committed | Lead, ...]
    ) -> tuple[int, tuple[tuple[int, int, int], ...]]:
        rules, asked = _rules(self._values[state.book]), state.asked
        for effect in told:
            match effect:
                case Committed():
                    rules.committed(effect)
                case Lead(view) if view is not None:
                    rules.leads(view.epoch, view.leader().identity)
                case Reply(token, verdict, _):
                    call = next(a for a in asked if a[0] == token)
                    asked = tuple(a for a in asked if a[0] != token)
                    if verdict is not Verdict.MOVED:
                        rules.replied(Asked(self.commands[call[1]], call[2]), effect)
        return self._place(_book(rules)), asked

    def told(self, state: State) -> Hashable:
        """All that processes and operators have said so far, as `Rules` keeps it."""
        return self._values[state.book]  # type: ignore[no-any-return]

    def acknowledged(self, state: State) -> bool:
        """Whether a write is acknowledged."""
        return len(_rules(self._values[state.book]).winners) > 0

    def tell(self, action: str) -> str:
        """An action in full."""
        if not action.startswith("deliver"):
            return action
        index, hear = self._by_number[int(action.split()[1])]
        return f"{hear.ip} -> {self.ips[index]} {hear.message}"


def _is_no(hear: Hear) -> bool:
    return not (isinstance(hear.message, Answer) and hear.message.ok)


def _put(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _memory(kept: WholeRecord) -> Memory:
    return Memory(kept.identity, kept.promised, kept.view, kept.document)


def _book(rules: Rules) -> tuple[Hashable, ...]:
    return (
        tuple(sorted(rules.chain.items(), key=lambda item: item[0])),
        tuple(sorted(rules.epochs.items())),
        rules.told,
        tuple(sorted(rules.winners.items(), key=lambda item: item[0])),
        tuple(rules.refused.items()),
        tuple(sorted(rules.leaders.items())),
        tuple(sorted(rules.taken, key=lambda taken: taken.ver)),
    )


def _rules(book: tuple[Any, ...]) -> Rules:
    chain, epochs, told, winners, refused, leaders, taken = book
    return Rules(dict(chain), dict(epochs), told, dict(winners), dict(refused), set(taken), dict(leaders))
