"""A week of tenants in simulated time: requests at many replicas, one ledger, and faults each day.

Each message takes `WAY_S`; a replica that is cut off or frozen neither hears nor is heard. Requests of a
replica that starts anew count as run in full. The ledger's holder is replaced in an instant that nobody is
told of, and for `HOLDERLESS_S` nobody answers; what it had answered is never lost, as it was written before.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from quota.account import Account
from quota.ledger import Ledger
from quota.messages import Recall, TokenRequest

DAY_S, DAYS = 86_400.0, 7
WAY_S = 0.005  # one way, between a replica and the ledger
HOLDERLESS_S = 1.0
ANSWER_S = 13.0
SOON_S = 10.0  # a replica asks for what it uses in so long, if there is plenty
PATIENCE, AGAIN_S = 4, 0.1  # a request that lacks tokens is asked for again so often, so long apart
RECALL_S = 1.0  # a tenant's tokens are recalled no sooner after the last time
SHORT_S = 5.0  # as much or more as was refused is refused at once for so long: clients are told to wait it
LEFT_SHARE = 0.02  # a refusal while more than this is left anywhere is counted as wrong
DEMAND = 1.9  # times its allowance that a tenant asks for in the week, at the most that each request may use
USUAL, FADES = 3, 0.98  # so many of the largest requests of late are kept in hand; how these are forgotten
SWING = 0.6  # of the daily wave


@dataclass(slots=True)
class Replica:
    """One balancer, as far as allowances go."""

    name: str
    life: int = 0
    is_out: bool = False  # cut off, or frozen
    accounts: dict[str, Account] = field(default_factory=dict)
    largest: dict[str, float] = field(default_factory=dict)  # request of late, in tokens
    short: dict[str, tuple[int, float]] = field(default_factory=dict)  # tokens that were refused, until when
    stopped_at: dict[str, int] = field(default_factory=dict)  # tenant: tokens run on when it first refused


@dataclass(slots=True)
class Figures:
    """What a week gave."""

    requests: int = 0
    at_once: int = 0  # decided without a round trip
    refused: int = 0
    wrong_calm: int = 0  # refused while much was left, no fault within a minute
    wrong_trouble: int = 0
    asks: int = 0
    faults: int = 0
    lost: int = 0  # tokens granted to lives that are over and not run on


class Week:
    """One week."""

    def __init__(self, tenants: int, replicas: int, requests: int, seed: int) -> None:
        """`requests`: of each tenant, about, before its allowance is used up."""
        self._chance = random.Random(seed)
        self.figures = Figures()
        self.tokens = {f"t{n:03d}": 0 for n in range(tenants)}
        self._mean = {name: self._chance.choice((900.0, 2_400.0, 12_000.0)) for name in self.tokens}
        self.tokens = {name: round(requests * self._mean[name]) for name in self.tokens}
        self.ledger = Ledger(self.tokens)
        self.replicas = [Replica(f"edge-{n}") for n in range(replicas)]
        self.run_on = dict.fromkeys(self.tokens, 0)  # by all requests, at most: reserved, then used
        self._rate = {name: DEMAND * requests / (DAY_S * DAYS) for name in self.tokens}
        self._requests = requests
        self._now, self._order = 0.0, itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._fault_at = -math.inf
        self._holderless_until = -math.inf
        self._recalled_at = dict.fromkeys(self.tokens, -math.inf)

    # ---- the clock

    def _at(self, seconds: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._order), what))

    def play(self) -> Figures:
        """All seven days."""
        for name in self.tokens:
            self._at(self._gap(name), lambda name=name: self._arrive(name))  # type: ignore[misc]
        for day in range(DAYS):
            for kind in (self._restart, self._cut, self._take_over):
                self._at(day * DAY_S + self._chance.uniform(0, DAY_S), kind)
        while self._events and self._events[0][0] < DAY_S * DAYS:
            self._now, _, what = heapq.heappop(self._events)
            what()
        return self.figures

    def _gap(self, name: str) -> float:
        wave = 1 + SWING * math.sin(2 * math.pi * self._now / DAY_S)
        return self._chance.expovariate(self._rate[name] * wave)

    # ---- requests

    def _arrive(self, name: str) -> None:
        self._at(self._gap(name), lambda: self._arrive(name))
        ready = [r for r in self.replicas if not r.is_out or self._chance.random() < 0.5]
        replica = self._chance.choice(ready or self.replicas)
        most = max(round(self._chance.expovariate(1 / self._mean[name])), 1)
        self.figures.requests += 1
        replica.largest[name] = max(most, FADES * replica.largest.get(name, 0.0))
        self._decide(replica, name, most, PATIENCE)

    def _decide(self, replica: Replica, name: str, most: int, patience: int) -> None:
        account = self._account(replica, name)
        if account.reserve(most):
            self.figures.at_once += patience == PATIENCE
            self.run_on[name] += most
            used, life, window = self._chance.randint(most // 2, most), replica.life, account.window
            self._at(ANSWER_S, lambda: self._ended(replica, life, name, most, used, window))
            soon = self._soon(replica, name)
            if account.available() < soon // 2 and account.remaining > 0:
                self._ask(replica, account.request_tokens(0, soon))
        elif self._is_short(replica, name, most):
            self._refuse(replica, name, most)
        elif patience:
            self._ask(replica, account.request_tokens(most, self._soon(replica, name)))
            wait = 2 * WAY_S + 1e-6 if patience == PATIENCE else AGAIN_S
            self._at(wait, lambda: self._decide(replica, name, most, patience - 1))
        else:
            self._refuse(replica, name, most)

    def _is_short(self, replica: Replica, name: str, most: int) -> bool:
        refused, until = replica.short.get(name, (0, -math.inf))
        return most >= refused and self._now < until

    def _soon(self, replica: Replica, name: str) -> int:
        flow = self._rate[name] * self._mean[name] * SOON_S / len(self.replicas)
        return round(flow + USUAL * replica.largest[name])

    def _refuse(self, replica: Replica, name: str, most: int) -> None:
        self.figures.refused += 1
        if not self._is_short(replica, name, most):
            replica.short[name] = most, self._now + SHORT_S
        replica.stopped_at.setdefault(name, self.run_on[name])
        if self.left(name) > LEFT_SHARE * self.tokens[name]:
            if replica.is_out or self._now - self._fault_at < 60.0:
                self.figures.wrong_trouble += 1
            else:
                self.figures.wrong_calm += 1

    def left(self, name: str) -> int:
        """Tokens of a tenant that some request could still have: at the ledger, or free at a replica."""
        tenant = self.ledger.tenant(name)
        assert tenant is not None
        free = sum(r.accounts[name].available() for r in self.replicas if name in r.accounts)
        return tenant.remaining() + free

    def _ended(self, replica: Replica, life: int, name: str, most: int, used: int, window: int) -> None:
        if replica.life != life:
            return  # it ran in full, as far as anybody knows
        self.run_on[name] -= most - used
        self._account(replica, name).settle(most, used, window)

    def _account(self, replica: Replica, name: str) -> Account:
        account = replica.accounts.get(name)
        if account is None:
            account = replica.accounts[name] = Account(replica.name, str(replica.life), name)
            account.window, account.remaining = 1, 1
        return account

    # ---- the ledger

    def _ask(self, replica: Replica, ask: TokenRequest) -> None:
        self.figures.asks += 1
        if not replica.is_out:
            self._at(WAY_S, lambda: self._heard(replica, ask))

    def _heard(self, replica: Replica, ask: TokenRequest) -> None:
        if self._now < self._holderless_until:
            return
        grant, recall = self.ledger.handle_request(ask, len(self.replicas))
        if grant is not None:
            told = grant
            self._at(
                WAY_S,
                lambda: None if replica.is_out else self._account(replica, ask.tenant).apply_grant(told),
            )
        if recall is not None and self._now - self._recalled_at[ask.tenant] >= RECALL_S:
            self._recalled_at[ask.tenant] = self._now
            due = recall
            for other in self.replicas:
                if other is not replica:
                    self._at(WAY_S, lambda other=other: self._recalled(other, due))  # type: ignore[misc]

    def _recalled(self, replica: Replica, recall: Recall) -> None:
        account = replica.accounts.get(recall.tenant)
        if account is not None and not replica.is_out and (told := account.handle_recall(recall)) is not None:
            self._ask(replica, told)

    # ---- faults

    def _fault(self) -> None:
        self.figures.faults += 1
        self._fault_at = self._now

    def _restart(self) -> None:
        """One starts anew: what it had is gone, and what its requests had reserved counts as run on."""
        self._fault()
        replica = self._chance.choice(self.replicas)
        self.figures.lost += sum(a.available() for a in replica.accounts.values())
        replica.accounts.clear()
        replica.life += 1

    def _cut(self) -> None:
        """One is cut off, or frozen with grants in hand, for ten minutes."""
        self._fault()
        replica = self._chance.choice(self.replicas)
        replica.is_out = True
        self._at(600.0, lambda: self._heal(replica))

    def _heal(self, replica: Replica) -> None:
        self._fault_at = self._now
        replica.is_out = False

    def _take_over(self) -> None:
        """Another holds the ledger: it goes on from what was written."""
        self._fault()
        self._holderless_until = self._now + HOLDERLESS_S
        self.ledger = Ledger.from_state(self.ledger.state())
