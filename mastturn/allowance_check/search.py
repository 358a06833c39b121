"""Bounded model search over the event orders of replicas, the ledger holder and its backup.

Messages may be duplicated, delayed, reordered or lost. A holder may be replaced at any time and keep acting
as the holder; a replica may restart and lose its state. The invariant: requests never consume more tokens
than the tenant's allowance. Defects can be planted to verify that the search finds them.
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
    "early": "a grant is sent before the backup has stored it",
    "unfenced": "the backup accepts a write from a holder that was replaced",
    "delta": "a grant carries a difference instead of the total",
    "reborn": "a restarted replica returns what its previous incarnation was granted",
    "generous": "a recall also returns tokens reserved by running requests",
}


@dataclass(frozen=True, slots=True)
class Write:
    """A write from a holder to the backup, and the messages to send once it is stored."""

    epoch: int
    state: tuple[Any, ...]
    follow_ups: tuple[Any, ...]
    is_stored: bool = False  # stored by the backup; the acknowledgement is in flight


@dataclass(frozen=True, slots=True)
class Holder:
    """A ledger holder, current or replaced without its knowledge."""

    epoch: int
    state: tuple[Any, ...]
    awaits_backup: bool = False  # for the backup's acknowledgement


@dataclass(frozen=True, slots=True)
class State:
    """The state of the whole system."""

    holders: tuple[Holder, ...]
    backup: tuple[int, tuple[Any, ...]]  # highest epoch accepted, and the stored ledger state
    accounts: tuple[tuple[int, ...], ...]  # per replica: incarnation, granted, returned, spent, reserved
    messages: frozenset[Any]
    consumed_before_restart: int = 0  # tokens consumed by earlier incarnations
    requests: int = 0
    restarts: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the search."""

    tokens: int = 3
    replicas: int = 3
    requests: int = 4
    restarts: int = 1
    takeovers: int = 1
    losses: bool = True  # messages may be lost; otherwise they are only delayed
    states: int = 60_000


@dataclass(frozen=True, slots=True)
class Result:
    """The number of states visited, whether the search is complete, and the steps to an overrun."""

    states: int
    complete: bool
    steps: tuple[str, ...] | None


class Search:
    """Breadth-first search over the reachable states within the bounds."""

    def __init__(self, bounds: Bounds, defect: str = "") -> None:
        """`defect`: a key of `DEFECTS`, or empty for none."""
        self.bounds, self.defect = bounds, defect

    def run(self) -> Result:
        """Search breadth-first, so that a trace to an overrun has the fewest steps."""
        state = Ledger({TENANT: self.bounds.tokens}).state()
        accounts = tuple((0, 0, 0, 0, 0) for _ in range(self.bounds.replicas))
        initial = State((Holder(1, state),), (1, state), accounts, frozenset())
        predecessors: dict[State, tuple[State, str] | None] = {initial: None}
        queue = deque([initial])
        while queue:
            current = queue.popleft()
            for step, next_state in self._transitions(current):
                if next_state in predecessors:
                    continue
                predecessors[next_state] = current, step
                if self.consumed_tokens(next_state) > self.bounds.tokens:
                    return Result(len(predecessors), False, self._trace(predecessors, next_state))
                if len(predecessors) >= self.bounds.states:
                    return Result(len(predecessors), False, None)
                queue.append(next_state)
        return Result(len(predecessors), True, None)

    @staticmethod
    def consumed_tokens(state: State) -> int:
        """Tokens that requests have consumed or may still consume."""
        return state.consumed_before_restart + sum(
            spent + reserved for _, _, _, spent, reserved in state.accounts
        )

    @staticmethod
    def _trace(predecessors: dict[State, tuple[State, str] | None], state: State) -> tuple[str, ...]:
        steps: list[str] = []
        while (predecessor := predecessors[state]) is not None:
            state, step = predecessor
            steps.append(step)
        return tuple(reversed(steps))

    # ---- transitions

    def _transitions(self, state: State) -> Iterator[tuple[str, State]]:
        for index in range(len(state.accounts)):
            yield from self._replica_transitions(state, index)
        for index, holder in enumerate(state.holders):
            for message in state.messages:
                if isinstance(message, TokenRequest) and not holder.awaits_backup:
                    yield (
                        f"holder {holder.epoch} receives {_describe(message)}",
                        self._handle_token_request(state, index, message),
                    )
        if len(state.holders) <= self.bounds.takeovers:
            epoch = state.backup[0] + 1
            holders = (*state.holders, Holder(epoch, state.backup[1]))
            yield (
                f"holder {epoch} takes over",
                replace(state, holders=holders, backup=(epoch, state.backup[1])),
            )
        for message in state.messages:
            if isinstance(message, Write):
                yield from self._backup_transitions(state, message)
            if self.bounds.losses:
                yield f"{_describe(message)} is lost", replace(state, messages=state.messages - {message})

    def _replica_transitions(self, state: State, index: int) -> Iterator[tuple[str, State]]:
        account = _build_account(state, index)
        if state.requests < self.bounds.requests:
            counted = replace(state, requests=state.requests + 1)
            if account.reserve(1):
                yield f"replica {index} sends a request", _with_account(counted, index, account)
            else:
                sent_messages = state.messages | {account.request_tokens(1)}
                yield f"replica {index} requests a token", replace(counted, messages=sent_messages)
        for used in (0, 1):
            account = _build_account(state, index)
            if account.reserved:
                account.settle(1, used, account.window)
                yield f"replica {index}'s request ends, {used} used", _with_account(state, index, account)
        if state.restarts < self.bounds.restarts:
            incarnation_id, _, _, spent, reserved = state.accounts[index]
            accounts = list(state.accounts)
            accounts[index] = (incarnation_id + 1, 0, 0, 0, 0)
            next_state = replace(
                state,
                accounts=tuple(accounts),
                consumed_before_restart=state.consumed_before_restart + spent + reserved,
            )
            yield f"replica {index} restarts", replace(next_state, restarts=state.restarts + 1)
        for message in state.messages:
            account = _build_account(state, index)
            if isinstance(message, Grant) and message.replica == str(index):
                self._apply_grant(account, message)
                yield f"replica {index} receives {_describe(message)}", _with_account(state, index, account)
            elif isinstance(message, Recall):
                response = self._handle_recall(account, message)
                if response is not None:
                    next_state = _with_account(state, index, account)
                    yield (
                        f"replica {index} returns unused tokens",
                        replace(next_state, messages=next_state.messages | {response}),
                    )

    def _apply_grant(self, account: Account, grant: Grant) -> None:
        if self.defect == "delta" and grant.incarnation == account.incarnation:
            account.granted += grant.granted
        else:
            account.apply_grant(grant)

    def _handle_recall(self, account: Account, recall: Recall) -> TokenRequest | None:
        response = account.handle_recall(recall)
        if self.defect == "generous" and response is not None:
            account.returned += account.reserved
            return account.request_tokens(0)
        return response

    def _handle_token_request(self, state: State, index: int, request: TokenRequest) -> State:
        holder = state.holders[index]
        ledger = Ledger.from_state(holder.state)
        tenant = ledger.tenant(TENANT)
        assert tenant is not None
        if self.defect == "reborn":
            for (replica, incarnation_id), allocation in tenant.allocations.items():
                if replica == request.replica and incarnation_id != request.incarnation:
                    allocation.returned = allocation.granted
        grant, recall = ledger.handle_request(request, self.bounds.replicas)
        if self.defect == "delta" and grant is not None:
            grant = replace(grant, granted=grant.granted - request.granted)
        follow_ups = tuple(m for m in (grant, recall) if m is not None)
        write = Write(holder.epoch, ledger.state(), follow_ups)
        holders = list(state.holders)
        messages: set[Any] = {write}
        if self.defect == "early":
            messages |= set(follow_ups)
        holders[index] = Holder(holder.epoch, holder.state, True)
        return replace(state, holders=tuple(holders), messages=state.messages | messages)

    def _backup_transitions(self, state: State, write: Write) -> Iterator[tuple[str, State]]:
        if not write.is_stored:
            if write.epoch == state.backup[0] or self.defect == "unfenced":
                in_flight = state.messages - {write} | {replace(write, is_stored=True)}
                backup = state.backup[0], write.state
                yield (
                    f"the backup stores {_describe(write)}",
                    replace(state, backup=backup, messages=in_flight),
                )
            return
        for index, holder in enumerate(state.holders):
            if holder.epoch == write.epoch and holder.awaits_backup:
                holders = list(state.holders)
                holders[index] = Holder(holder.epoch, write.state)
                messages = state.messages - {write} | set(write.follow_ups)
                next_state = replace(state, holders=tuple(holders), messages=messages)
                yield f"holder {holder.epoch} receives the acknowledgement of the backup", next_state


def _build_account(state: State, index: int) -> Account:
    incarnation_id, granted, returned, spent, reserved = state.accounts[index]
    account = Account(str(index), str(incarnation_id), TENANT)
    account.window = 1
    account.granted, account.returned, account.spent, account.reserved = granted, returned, spent, reserved
    return account


def _with_account(state: State, index: int, account: Account) -> State:
    accounts = list(state.accounts)
    counters = account.granted, account.returned, account.spent, account.reserved
    accounts[index] = (state.accounts[index][0], *counters)
    return replace(state, accounts=tuple(accounts))


def _describe(message: Any) -> str:
    match message:
        case TokenRequest():
            return f"token request of {message.replica}: {message.granted} granted, {message.needed} needed"
        case Grant():
            return f"grant to {message.replica}: {message.granted} in total"
        case Write():
            return f"the write of epoch {message.epoch}"
    return type(message).__name__.lower()
