"""Every order of events, within bounds, of three replicas, the ledger's holder and what its backup has.

Messages may come twice, late, in any order or never. A holder may be replaced at any moment and go on as if
nothing had happened; a replica may start anew and lose all that it knew. What may not be: requests run on
more tokens than the tenant's allowance. Defects can be planted to see that the search finds them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from quota.account import Account
from quota.ledger import Ledger
from quota.messages import Grant, Recall, TokenRequest

TENANT = "t"
DEFECTS = {
    "early": "a grant goes out before the backup has it",
    "unfenced": "the backup takes a change of a holder that was replaced",
    "delta": "a grant tells a difference, not a total",
    "reborn": "a replica that starts anew gives back what its last life was granted",
    "generous": "what requests have reserved comes back with a recall",
}


@dataclass(frozen=True, slots=True)
class Write:
    """A holder's change on its way to the backup, and the messages that follow once it is there."""

    epoch: int
    state: tuple[Any, ...]
    then: tuple[Any, ...]
    done: bool = False  # the backup has it; on its way back


@dataclass(frozen=True, slots=True)
class Holder:
    """One that leads, or believes so."""

    epoch: int
    state: tuple[Any, ...]
    waits: bool = False  # for the backup


@dataclass(frozen=True, slots=True)
class State:
    """Everything at one moment."""

    holders: tuple[Holder, ...]
    backup: tuple[int, tuple[Any, ...]]  # the epoch that it has promised, and what it has
    accounts: tuple[tuple[int, ...], ...]  # life, granted, returned, spent, reserved of each replica
    messages: frozenset[Any]
    gone: int = 0  # tokens that lives which are over have run on
    requests: int = 0
    restarts: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far the search goes."""

    tokens: int = 3
    replicas: int = 3
    requests: int = 4
    restarts: int = 1
    takeovers: int = 1
    losses: bool = True  # of messages; without them each is only late
    states: int = 60_000


@dataclass(frozen=True, slots=True)
class Result:
    """How many states were seen, whether that was all of them, and the steps to an overrun."""

    states: int
    whole: bool
    steps: tuple[str, ...] | None


class Search:
    """One search."""

    def __init__(self, bounds: Bounds, defect: str = "") -> None:
        """`defect`: one of `DEFECTS`, or none."""
        self.bounds, self.defect = bounds, defect

    def run(self) -> Result:
        """Breadth first, so that the steps to an overrun are as few as can be."""
        state = Ledger({TENANT: self.bounds.tokens}).state()
        accounts = tuple((0, 0, 0, 0, 0) for _ in range(self.bounds.replicas))
        first = State((Holder(1, state),), (1, state), accounts, frozenset())
        before: dict[State, tuple[State, str] | None] = {first: None}
        queue = deque([first])
        while queue:
            state_now = queue.popleft()
            for step, following in self._steps(state_now):
                if following in before:
                    continue
                before[following] = state_now, step
                if self.run_on(following) > self.bounds.tokens:
                    return Result(len(before), False, self._story(before, following))
                if len(before) >= self.bounds.states:
                    return Result(len(before), False, None)
                queue.append(following)
        return Result(len(before), True, None)

    @staticmethod
    def run_on(state: State) -> int:
        """Tokens that requests have run on or may run on now."""
        return state.gone + sum(spent + reserved for _, _, _, spent, reserved in state.accounts)

    @staticmethod
    def _story(before: dict[State, tuple[State, str] | None], state: State) -> tuple[str, ...]:
        steps: list[str] = []
        while (came := before[state]) is not None:
            state, step = came
            steps.append(step)
        return tuple(reversed(steps))

    # ---- what may happen

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        for number in range(len(state.accounts)):
            yield from self._replica(state, number)
        for number, holder in enumerate(state.holders):
            for message in state.messages:
                if isinstance(message, TokenRequest) and not holder.waits:
                    yield f"holder {holder.epoch} hears {_text(message)}", self._asked(state, number, message)
        if len(state.holders) <= self.bounds.takeovers:
            epoch = state.backup[0] + 1
            holders = (*state.holders, Holder(epoch, state.backup[1]))
            yield (
                f"holder {epoch} takes over",
                replace(state, holders=holders, backup=(epoch, state.backup[1])),
            )
        for message in state.messages:
            if isinstance(message, Write):
                yield from self._written(state, message)
            if self.bounds.losses:
                yield f"{_text(message)} is lost", replace(state, messages=state.messages - {message})

    def _replica(self, state: State, number: int) -> Iterator[tuple[str, State]]:
        account = _account(state, number)
        if state.requests < self.bounds.requests:
            counted = replace(state, requests=state.requests + 1)
            if account.reserve(1):
                yield f"replica {number} sends a request", _with(counted, number, account)
            else:
                asks = state.messages | {account.request_tokens(1)}
                yield f"replica {number} asks for one", replace(counted, messages=asks)
        for used in (0, 1):
            account = _account(state, number)
            if account.reserved:
                account.settle(1, used, account.window)
                yield f"replica {number}'s request ends, {used} used", _with(state, number, account)
        if state.restarts < self.bounds.restarts:
            life, _, _, spent, reserved = state.accounts[number]
            accounts = list(state.accounts)
            accounts[number] = (life + 1, 0, 0, 0, 0)
            found = replace(state, accounts=tuple(accounts), gone=state.gone + spent + reserved)
            yield f"replica {number} starts anew", replace(found, restarts=state.restarts + 1)
        for message in state.messages:
            account = _account(state, number)
            if isinstance(message, Grant) and message.replica == str(number):
                self._take(account, message)
                yield f"replica {number} hears {_text(message)}", _with(state, number, account)
            elif isinstance(message, Recall):
                told = self._recalled(account, message)
                if told is not None:
                    found = _with(state, number, account)
                    yield f"replica {number} gives back", replace(found, messages=found.messages | {told})

    def _take(self, account: Account, grant: Grant) -> None:
        if self.defect == "delta" and grant.incarnation == account.incarnation:
            account.granted += grant.granted
        else:
            account.apply_grant(grant)

    def _recalled(self, account: Account, recall: Recall) -> TokenRequest | None:
        told = account.handle_recall(recall)
        if self.defect == "generous" and told is not None:
            account.returned += account.reserved
            return account.request_tokens(0)
        return told

    def _asked(self, state: State, number: int, ask: TokenRequest) -> State:
        holder = state.holders[number]
        ledger = Ledger.from_state(holder.state)
        tenant = ledger.tenant(TENANT)
        assert tenant is not None
        if self.defect == "reborn":
            for (replica, life), drawn in tenant.allocations.items():
                if replica == ask.replica and life != ask.incarnation:
                    drawn.returned = drawn.granted
        grant, recall = ledger.handle_request(ask, self.bounds.replicas)
        if self.defect == "delta" and grant is not None:
            grant = replace(grant, granted=grant.granted - ask.granted)
        then = tuple(m for m in (grant, recall) if m is not None)
        write = Write(holder.epoch, ledger.state(), then)
        holders = list(state.holders)
        messages: set[Any] = {write}
        if self.defect == "early":
            messages |= set(then)
        holders[number] = Holder(holder.epoch, holder.state, True)
        return replace(state, holders=tuple(holders), messages=state.messages | messages)

    def _written(self, state: State, write: Write) -> Iterator[tuple[str, State]]:
        if not write.done:
            if write.epoch == state.backup[0] or self.defect == "unfenced":
                back = state.messages - {write} | {replace(write, done=True)}
                backup = state.backup[0], write.state
                yield f"the backup has {_text(write)}", replace(state, backup=backup, messages=back)
            return
        for number, holder in enumerate(state.holders):
            if holder.epoch == write.epoch and holder.waits:
                holders = list(state.holders)
                holders[number] = Holder(holder.epoch, write.state)
                messages = state.messages - {write} | set(write.then)
                found = replace(state, holders=tuple(holders), messages=messages)
                yield f"holder {holder.epoch} knows that the backup has it", found


def _account(state: State, number: int) -> Account:
    life, granted, returned, spent, reserved = state.accounts[number]
    account = Account(str(number), str(life), TENANT)
    account.window = 1
    account.granted, account.returned, account.spent, account.reserved = granted, returned, spent, reserved
    return account


def _with(state: State, number: int, account: Account) -> State:
    accounts = list(state.accounts)
    figures = account.granted, account.returned, account.spent, account.reserved
    accounts[number] = (state.accounts[number][0], *figures)
    return replace(state, accounts=tuple(accounts))


def _text(message: Any) -> str:
    match message:
        case TokenRequest():
            return f"ask of {message.replica}: {message.granted} known, {message.needed} wanted"
        case Grant():
            return f"grant to {message.replica}: {message.granted} in all"
        case Write():
            return f"the change of epoch {message.epoch}"
    return type(message).__name__.lower()
