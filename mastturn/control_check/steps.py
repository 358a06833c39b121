"""Explores every order of messages, losses, repeats, syncs and crashes of a few processes, within bounds.

A message that was sent can be delivered at any time, any number of times, or never: the network is the set of
all messages ever sent. A `PreVoteRequest` binds nobody, so it is delivered at once and always granted;
nothing depends on time.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import replace

from consensus.codec import SnapshotRecord, apply_record, snapshot_record
from consensus.effects import Send, Spec
from consensus.messages import PreVoteRequest, PreVoteResponse
from consensus.replica import Replica
from consensus.views import DurableState
from mastturn.control_check.judged import judge, restore_rules, snapshot_rules
from mastturn.control_check.local import (
    AskIn,
    Delivery,
    Event,
    Outcome,
    Processes,
    ReplicaFactory,
    Run,
    Settle,
    Stop,
    Submit,
)
from mastturn.control_check.reduction import Reduction
from mastturn.control_check.rules import Rules
from mastturn.control_check.sent import SentMessages, by_name, numbers_in
from mastturn.control_check.state import (
    Bounds,
    State,
    Values,
    commands_of,
    initial_budget,
    replace_at,
    victims_of,
)


class Steps:
    """Computes the possible actions of a state within bounds, and their successor states."""

    def __init__(self, bounds: Bounds, make: ReplicaFactory = Replica) -> None:
        self.bounds = bounds
        self._values = Values()
        self._size = bounds.machines + bounds.newcomers
        self.ips = tuple(f"10.0.{i}.1" for i in range(self._size))
        self._messages = SentMessages(self.ips)
        self.spec = Spec(bounds.machines, bounds.losses + 1)
        self.processes = Processes(
            self.spec, self.ips, bounds.reads > 0, bounds.joins > 0, make, bounds.reduced
        )
        self._reduction = Reduction(bounds, self._values, self._messages, self.processes, self.ips)
        self.commands = commands_of(bounds)

    # ---- the first state

    def begin(self) -> State:
        """Returns the initial state: all accepted the first view, its primary leads, `before` is applied."""
        size, members = self._size, self.bounds.machines
        kept = tuple(self._values.number(snapshot_record(DurableState(f"i{i}"))) for i in range(size))
        none: tuple[int, ...] = (0,) * size
        remaining = initial_budget(self.bounds)
        tries = (self.bounds.tries,) * len(self.commands)
        nothing_said = self._values.number(snapshot_rules(Rules()))
        state = State(none, kept, ((),) * size, 0, remaining, tries, (), nothing_said)
        for index in range(size):
            state = self._after(state, index, self.processes.boot(index, self._values[kept[index]]))
        for index in range(1, members):
            state = self._act(state, f"join {index}")
        state = self._deliver_all(state)
        founder = self.processes.replica(state.processes[0])
        assert founder._bootstrap.is_pending
        state = self._found(state)
        for _ in range(4):
            state = self._deliver_all(state)
            for index in range(size):
                while state.queues[index]:
                    state = self._act(state, f"sync {index}")
        assert self.processes.leads(state.processes[0])
        state = replace(state, sent=0, remaining=remaining)
        for action in self.bounds.before:
            state = self._act(state, by_name(self._messages, action))
        return self._reduction.without_inert(state)

    def _found(self, state: State) -> State:
        replica = self.processes.replica(state.processes[0])
        replica._bootstrap.try_start(replica._newcomers.members(), 0.0)
        return self._after(state, 0, self.processes.adopt(replica, 0))

    def _deliver_all(self, state: State) -> State:
        for number in range(len(self._messages)):
            if state.sent >> number & 1:
                state = self._act(replace(state, sent=state.sent & ~(1 << number)), f"deliver {number}")
        return state

    # ---- steps

    def actions(self, state: State) -> list[str]:
        """Returns all actions that are possible in a state."""
        found = []
        for index in range(self._size):
            if index in state.gone:
                continue
            if state.queues[index]:
                found.append(f"sync {index}")
                if self._reduction.is_late(state, index):
                    return [f"sync {index}"]  # equivalent to a delayed message
            found += self._own_actions(state, index)
        return found + [f"deliver {number}" for number in numbers_in(state.sent)]

    def _own_actions(self, state: State, index: int) -> list[str]:
        """Returns the possible actions of a process apart from syncs and deliveries."""
        process, remaining, processes = state.processes[index], state.remaining, self.processes
        found = []
        if processes.settles(process):
            found.append(f"settle {index}")
        if remaining.changes:
            found += [f"run {k} {index}" for k in range(1, len(processes.changes(process)))]
        if remaining.campaigns:
            found.append(f"run {index}")
        if remaining.crashes and index in victims_of(self.bounds):
            found.append(f"crash {index}")
        if remaining.wipes:
            found.append(f"wipe {index}")
        if remaining.joins and (not self.bounds.newcomers or processes.may_join(process)):
            found.append(f"join {index}")
        is_leaver = index in (self.bounds.leavers or range(self._size))
        if remaining.stops and is_leaver and not processes.leads(process):
            found.append(f"stop {index}")
        if remaining.losses_for_good:
            found.append(f"lose {index}")
        if processes.may_end(process):
            found.append(f"end {index}")
        if processes.leads(process):
            found += [f"submit {c} {index}" for c, tries in enumerate(state.tries) if tries]
        return found

    def act(self, state: State, action: str) -> State:
        """Returns the state after an action; raises BrokenRuleError."""
        return self._reduction.without_inert(self._act(state, action))

    def _act(self, state: State, action: str) -> State:
        verb, *numbers = action.split()
        index, remaining = int(numbers[-1]), state.remaining
        match verb:
            case "deliver":
                index, delivery = self._messages[index]
                return self._step(state, index, delivery)
            case "sync":
                return self._sync(state, index)
            case "settle":
                return self._step(state, index, Settle())
            case "run":
                change = int(numbers[0]) if len(numbers) > 1 else 0
                taken = (
                    {"changes": remaining.changes - 1} if change else {"campaigns": remaining.campaigns - 1}
                )
                return self._campaign(replace(state, remaining=replace(remaining, **taken)), index, change)
            case "join":
                state = replace(state, remaining=replace(remaining, joins=remaining.joins - 1))
                return self._ask_in(state, index)
            case "stop":
                state = replace(state, remaining=replace(remaining, stops=remaining.stops - 1))
                return self._step(state, index, Stop())
            case "submit":
                return self._submit(state, int(numbers[0]), index)
            case "crash":
                state = replace(state, remaining=replace(remaining, crashes=remaining.crashes - 1))
                return self._restart(state, index, self._values[state.kept[index]])
            case "wipe":
                state = replace(state, remaining=replace(remaining, wipes=remaining.wipes - 1))
                return self._restart(
                    state, index, snapshot_record(DurableState(f"w{index}-{remaining.wipes}"))
                )
            case "end":
                return self._go(state, index)
            case "lose":
                state = replace(
                    state, remaining=replace(remaining, losses_for_good=remaining.losses_for_good - 1)
                )
                return self._go(state, index)
        raise ValueError(action)

    def _ask_in(self, state: State, index: int) -> State:
        """Requests a slot or a release; a newcomer sends the request to the current leaders only."""
        outcome = self.processes.step(state.processes[index], AskIn())
        if index >= self.bounds.machines:
            leading = {ip for ip, p in zip(self.ips, state.processes, strict=True) if self.processes.leads(p)}
            outcome = _only_to(leading, outcome)
        return self._after(state, index, outcome)

    def _step(self, state: State, index: int, event: Event) -> State:
        return self._after(state, index, self.processes.step(state.processes[index], event))

    def _after(self, state: State, index: int, outcome: Outcome) -> State:
        processes = replace_at(state.processes, index, outcome.process)
        queues = state.queues
        if outcome.persists:
            # A record that is already queued is not queued again: its second sync would change nothing.
            fresh = [p for p in map(self._values.number, outcome.persists) if p not in queues[index]]
            queues = replace_at(queues, index, (*queues[index], *fresh))
        sent = state.sent
        for send in outcome.sends:
            sent |= self._messages.bit(index, send)
        rules_snapshot, asked = state.rules_snapshot, state.asked
        if outcome.reported:
            found, asked = judge(self._values[rules_snapshot], asked, outcome.reported, self.commands)
            rules_snapshot = self._values.number(found)
        return State(
            processes,
            state.kept,
            queues,
            sent,
            state.remaining,
            state.tries,
            asked,
            rules_snapshot,
            state.gone,
        )

    def _sync(self, state: State, index: int) -> State:
        then: tuple[Send, ...]
        record, then = self._values[state.queues[index][0]]
        durable_state = _durable_state(self._values[state.kept[index]])
        apply_record(durable_state, record)
        state = replace(
            state,
            kept=replace_at(state.kept, index, self._values.number(snapshot_record(durable_state))),
            queues=replace_at(state.queues, index, state.queues[index][1:]),
        )
        sent = state.sent
        for send in then:
            if send.ip != self.ips[index]:
                sent |= self._messages.bit(index, send)
        state = replace(state, sent=sent)
        for send in then:
            if send.ip == self.ips[index]:
                state = self._step(state, index, Delivery(send.ip, send.message))
        return state

    def _restart(self, state: State, index: int, kept: SnapshotRecord) -> State:
        place = self._values.number(kept)
        state = replace(
            state, kept=replace_at(state.kept, index, place), queues=replace_at(state.queues, index, ())
        )
        return self._after(state, index, self.processes.boot(index, kept))

    def _go(self, state: State, index: int) -> State:
        """Removes a machine for good, with its disk."""
        gone = tuple(sorted({*state.gone, index}))
        nothing = self._values.number(snapshot_record(DurableState(f"gone{index}")))
        outcome = self.processes.boot(index, self._values[nothing])
        return replace(
            state,
            gone=gone,
            processes=replace_at(state.processes, index, outcome.process),
            kept=replace_at(state.kept, index, nothing),
            queues=replace_at(state.queues, index, ()),
        )

    def _campaign(self, state: State, index: int, change: int) -> State:
        """Starts a campaign, handling Ask and Answer at once; positive answers are delivered first."""
        outcome = self.processes.step(state.processes[index], Run(change))
        asks = [s for s in outcome.sends if isinstance(s.message, PreVoteRequest)]
        rest = tuple(s for s in outcome.sends if not isinstance(s.message, PreVoteRequest))
        state = self._after(state, index, replace(outcome, sends=rest))
        answers = []
        for ask in asks:
            other = self.ips.index(ask.ip)
            if other in state.gone:
                continue
            answer = self.processes.step(state.processes[other], Delivery(self.ips[index], ask.message))
            answers += [Delivery(ask.ip, send.message) for send in answer.sends]
        for delivery in sorted(answers, key=_is_no):
            state = self._step(state, index, delivery)
        return state

    def _submit(self, state: State, command: int, index: int) -> State:
        remaining = state.tries[command] - 1
        token = command * 100 + remaining
        floor = restore_rules(self._values[state.rules_snapshot]).reported
        state = replace(
            state,
            tries=replace_at(state.tries, command, remaining),
            asked=(*state.asked, (token, command, floor)),
        )
        return self._step(state, index, Submit(replace(self.commands[command], token=token)))

    def reported(self, state: State) -> Hashable:
        """Returns the snapshot of everything that the rules have recorded so far."""
        return self._values[state.rules_snapshot]  # type: ignore[no-any-return]

    def acknowledged(self, state: State) -> bool:
        """Returns whether any write was acknowledged."""
        return len(restore_rules(self._values[state.rules_snapshot]).winners) > 0

    def describe(self, action: str) -> str:
        """Returns an action with the message that it delivers."""
        if not action.startswith("deliver"):
            return action
        index, delivery = self._messages[int(action.split()[1])]
        return f"{delivery.ip} -> {self.ips[index]} {delivery.message}"


def _only_to(ips: set[str], outcome: Outcome) -> Outcome:
    """Returns the outcome with only the messages to these IPs."""
    sends = tuple(send for send in outcome.sends if send.ip in ips)
    persists = tuple(
        (record, tuple(send for send in then if send.ip in ips)) for record, then in outcome.persists
    )
    return replace(outcome, sends=sends, persists=persists)


def _is_no(delivery: Delivery) -> bool:
    return not (isinstance(delivery.message, PreVoteResponse) and delivery.message.ok)


def _durable_state(kept: SnapshotRecord) -> DurableState:
    return DurableState(kept.identity, kept.promised, kept.view, kept.document)
