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
from mastturn.control_check.local import (
    AskIn,
    Event,
    Hear,
    Make,
    Outcome,
    Processes,
    Run,
    Settle,
    Submit,
)
from mastturn.control_check.rules import Asked, Rules

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much may happen in one history."""

    machines: int = 3
    losses: int = 1
    writes: int = 2
    reads: int = 0
    tries: int = 2  # of each command
    campaigns: int = 2
    crashes: int = 1
    wipes: int = 0
    joins: int = 0
    before: tuple[str, ...] = ()  # actions that have happened already, by their names


@dataclass(frozen=True, slots=True)
class State:
    """All of it as a value; what is large stands as its number in the explorer's table."""

    processes: tuple[int, ...]
    kept: tuple[int, ...]  # on the disks
    queues: tuple[tuple[int, ...], ...]  # of the disks: a record and what is sent after its sync
    sent: int  # which messages were ever sent, by bit
    left: tuple[int, int, int, int]  # campaigns, crashes, wipes, joins
    tries: tuple[int, ...]  # left, of each command
    asked: tuple[tuple[int, int, int], ...]  # token, command, floor
    book: int  # of the rules


class Steps:
    """What may happen next within bounds, and what it leads to."""

    def __init__(self, bounds: Bounds, make: Make = Replica) -> None:
        self.bounds = bounds
        self._messages: dict[tuple[str, str, object], int] = {}
        self._by_number: list[tuple[int, Hear]] = []  # index of the receiver
        self._values: list[Any] = []
        self._places: dict[Hashable, int] = {}
        self.ips = tuple(f"10.0.{i}.1" for i in range(bounds.machines))
        self.spec = Spec(bounds.machines, bounds.losses + 1)
        self.processes = Processes(self.spec, self.ips, bounds.reads > 0, make)
        self.commands: list[Command] = [
            Put(0, 0, 1 + i, f"w{i}", f"w{i}".encode()) for i in range(min(bounds.writes, 2))
        ]
        self.commands += [Get(0)] * bounds.reads

    # ---- the first state

    def begin(self) -> State:
        """All have accepted the first view, and its primary leads."""
        size = self.bounds.machines
        kept = tuple(self._place(whole(Memory(f"i{i}"))) for i in range(size))
        none: tuple[int, ...] = (0,) * size
        left = (self.bounds.campaigns, self.bounds.crashes, self.bounds.wipes, self.bounds.joins)
        tries = (self.bounds.tries,) * len(self.commands)
        state = State(none, kept, ((),) * size, 0, left, tries, (), self._place(_book(Rules())))
        for index in range(size):
            state = self._after(state, index, self.processes.boot(index, self._values[kept[index]]))
        for index in range(1, size):
            state = self.act(state, f"join {index}")
        state = self._deliver_all(state)
        founder = self.processes.replica(state.processes[0])
        assert founder._founding.is_ours
        state = self._found(state)
        for _ in range(4):
            state = self._deliver_all(state)
            for index in range(size):
                while state.queues[index]:
                    state = self.act(state, f"sync {index}")
        assert self.processes.leads(state.processes[0])
        state = replace(state, sent=0, left=left)
        for action in self.bounds.before:
            state = self.act(state, self._by_name(action))
        return state

    def _found(self, state: State) -> State:
        replica = self.processes.replica(state.processes[0])
        replica._founding.found(replica._newcomers.members(), 0.0)
        return self._after(state, 0, self.processes.adopt(replica, 0))

    def _deliver_all(self, state: State) -> State:
        for number in range(len(self._by_number)):
            if state.sent >> number & 1:
                state = self.act(replace(state, sent=state.sent & ~(1 << number)), f"deliver {number}")
        return state

    # ---- steps

    def actions(self, state: State) -> list[str]:
        """All that may happen next."""
        found = []
        processes = self.processes
        campaigns, crashes, wipes, joins = state.left
        for index, process in enumerate(state.processes):
            if state.queues[index]:
                found.append(f"sync {index}")
                if not crashes and not wipes and self._is_remote(state, index):
                    return [f"sync {index}"]  # as good as a message that comes late
            if processes.settles(process):
                found.append(f"settle {index}")
            if campaigns:
                found.append(f"run {index}")
            if crashes:
                found.append(f"crash {index}")
            if wipes:
                found.append(f"wipe {index}")
            if joins:
                found.append(f"join {index}")
            if processes.leads(process):
                found += [f"submit {c} {index}" for c, left in enumerate(state.tries) if left]
        sent, number = state.sent, 0
        while sent:
            if sent & 1:
                found.append(f"deliver {number}")
            sent >>= 1
            number += 1
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

    def _is_remote(self, state: State, index: int) -> bool:
        return all(send.ip != self.ips[index] for send in self._values[state.queues[index][0]][1])

    def act(self, state: State, action: str) -> State:
        """What an action leads to; raises BrokenRuleError."""
        verb, *numbers = action.split()
        index = int(numbers[-1])
        campaigns, crashes, wipes, joins = state.left
        match verb:
            case "deliver":
                index, hear = self._by_number[index]
                return self._step(state, index, hear)
            case "sync":
                return self._sync(state, index)
            case "settle":
                return self._step(state, index, Settle())
            case "run":
                state = replace(state, left=(campaigns - 1, crashes, wipes, joins))
                return self._campaign(state, index)
            case "join":
                state = replace(state, left=(campaigns, crashes, wipes, joins - 1))
                return self._step(state, index, AskIn())
            case "submit":
                return self._submit(state, int(numbers[0]), index)
            case "crash":
                state = replace(state, left=(campaigns, crashes - 1, wipes, joins))
                return self._restart(state, index, self._values[state.kept[index]])
            case "wipe":
                state = replace(state, left=(campaigns, crashes, wipes - 1, joins))
                return self._restart(state, index, whole(Memory(f"w{index}-{wipes}")))
        raise ValueError(action)

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
        return State(processes, state.kept, queues, sent, state.left, state.tries, asked, book)

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

    def _campaign(self, state: State, index: int) -> State:
        """Ask and answer, carried out at once; who agrees is heard first."""
        outcome = self.processes.step(state.processes[index], Run())
        asks = [s for s in outcome.sends if isinstance(s.message, Ask)]
        rest = tuple(s for s in outcome.sends if not isinstance(s.message, Ask))
        state = self._after(state, index, replace(outcome, sends=rest))
        answers = []
        for ask in asks:
            other = self.ips.index(ask.ip)
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
