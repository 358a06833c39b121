"""Simulates a week of tenants: requests at many replicas, one ledger, and faults each day.

Each message takes `ONE_WAY_DELAY_S`; a replica that is cut off or frozen neither sends nor receives. Requests
of a replica that restarts count as consumed in full. The ledger holder is replaced without notice, and for
`TAKEOVER_S` no request is answered; its earlier answers are never lost, as they were stored before they were
sent.
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
ONE_WAY_DELAY_S = 0.005  # between a replica and the ledger
TAKEOVER_S = 1.0  # no holder answers for this long after a takeover
REQUEST_DURATION_S = 13.0  # from admission to the end of a request
PREFETCH_S = 10.0  # a replica requests tokens for this period, if enough remain
MAX_TOKEN_REQUESTS, RETRY_DELAY_S = 4, 0.1  # token requests for a request that lacks tokens; spacing
RECALL_INTERVAL_S = 1.0  # minimum interval between recalls of a tenant's tokens
# Requests of at least a refused size are refused at once for this long, which clients are told to wait.
REFUSAL_TTL_S = 5.0
WRONG_REFUSAL_SHARE = 0.02  # a refusal while a larger share is unused anywhere counts as wrong
DEMAND_FACTOR = 1.9  # weekly demand over the allowance, with each request at its maximum size
RESERVE_REQUESTS, SIZE_DECAY = 3, 0.98  # largest recent requests held in reserve; decay per request
DAILY_AMPLITUDE = 0.6  # relative amplitude of the daily load cycle


@dataclass(slots=True)
class Replica:
    """The allowance state of one balancer."""

    name: str
    incarnation: int = 0
    is_unreachable: bool = False  # cut off or frozen
    accounts: dict[str, Account] = field(default_factory=dict)
    # By tenant: tokens of the largest recent request; refused tokens and expiry time; tokens consumed by the
    # tenant's requests on all replicas when this replica first refused one.
    largest_request: dict[str, float] = field(default_factory=dict)
    refusals: dict[str, tuple[int, float]] = field(default_factory=dict)
    consumed_at_refusal: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class WeekCounters:
    """Counters of a simulated week."""

    requests: int = 0
    at_once: int = 0  # admitted without a round trip
    refused: int = 0
    wrong_calm: int = 0  # refused while much was unused, no fault within 60 s
    wrong_trouble: int = 0
    asks: int = 0
    faults: int = 0
    lost: int = 0  # tokens granted to earlier incarnations and not consumed


class Week:
    """Discrete-event simulation of one week."""

    def __init__(self, tenants: int, replicas: int, requests: int, seed: int) -> None:
        """`requests`: the approximate number per tenant that uses up its allowance."""
        self._random = random.Random(seed)
        self.counters = WeekCounters()
        self.tokens = {f"t{n:03d}": 0 for n in range(tenants)}
        self._mean_tokens = {name: self._random.choice((900.0, 2_400.0, 12_000.0)) for name in self.tokens}
        self.tokens = {name: round(requests * self._mean_tokens[name]) for name in self.tokens}
        self.ledger = Ledger(self.tokens)
        self.replicas = [Replica(f"edge-{n}") for n in range(replicas)]
        # Upper bound per tenant: reserved tokens while a request runs, then those used.
        self.consumed = dict.fromkeys(self.tokens, 0)
        self._request_rate = {name: DEMAND_FACTOR * requests / (DAY_S * DAYS) for name in self.tokens}
        self._requests = requests
        self._now, self._sequence = 0.0, itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._fault_at = -math.inf
        self._unavailable_until = -math.inf
        self._recalled_at = dict.fromkeys(self.tokens, -math.inf)

    # ---- event queue

    def _schedule(self, seconds: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._sequence), callback))

    def simulate(self) -> WeekCounters:
        """Run all seven days and return the counters."""
        for name in self.tokens:
            self._schedule(self._draw_interarrival_s(name), lambda name=name: self._on_arrival(name))  # type: ignore[misc]
        for day in range(DAYS):
            for fault in (self._restart, self._isolate, self._take_over):
                self._schedule(day * DAY_S + self._random.uniform(0, DAY_S), fault)
        while self._events and self._events[0][0] < DAY_S * DAYS:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        return self.counters

    def _draw_interarrival_s(self, name: str) -> float:
        rate_factor = 1 + DAILY_AMPLITUDE * math.sin(2 * math.pi * self._now / DAY_S)
        return self._random.expovariate(self._request_rate[name] * rate_factor)

    # ---- requests

    def _on_arrival(self, name: str) -> None:
        self._schedule(self._draw_interarrival_s(name), lambda: self._on_arrival(name))
        reachable = [r for r in self.replicas if not r.is_unreachable or self._random.random() < 0.5]
        replica = self._random.choice(reachable or self.replicas)
        max_tokens = max(round(self._random.expovariate(1 / self._mean_tokens[name])), 1)
        self.counters.requests += 1
        replica.largest_request[name] = max(max_tokens, SIZE_DECAY * replica.largest_request.get(name, 0.0))
        self._admit(replica, name, max_tokens, MAX_TOKEN_REQUESTS)

    def _admit(self, replica: Replica, name: str, max_tokens: int, attempts_left: int) -> None:
        account = self._get_account(replica, name)
        if account.reserve(max_tokens):
            self.counters.at_once += attempts_left == MAX_TOKEN_REQUESTS
            self.consumed[name] += max_tokens
            used, incarnation, window = (
                self._random.randint(max_tokens // 2, max_tokens),
                replica.incarnation,
                account.window,
            )
            self._schedule(
                REQUEST_DURATION_S,
                lambda: self._on_request_end(replica, incarnation, name, max_tokens, used, window),
            )
            prefetch = self._prefetch_tokens(replica, name)
            if account.available() < prefetch // 2 and account.remaining > 0:
                self._send_token_request(replica, account.request_tokens(0, prefetch))
        elif self._was_recently_refused(replica, name, max_tokens):
            self._refuse(replica, name, max_tokens)
        elif attempts_left:
            self._send_token_request(
                replica, account.request_tokens(max_tokens, self._prefetch_tokens(replica, name))
            )
            wait = 2 * ONE_WAY_DELAY_S + 1e-6 if attempts_left == MAX_TOKEN_REQUESTS else RETRY_DELAY_S
            self._schedule(wait, lambda: self._admit(replica, name, max_tokens, attempts_left - 1))
        else:
            self._refuse(replica, name, max_tokens)

    def _was_recently_refused(self, replica: Replica, name: str, max_tokens: int) -> bool:
        refused, until = replica.refusals.get(name, (0, -math.inf))
        return max_tokens >= refused and self._now < until

    def _prefetch_tokens(self, replica: Replica, name: str) -> int:
        expected_use = self._request_rate[name] * self._mean_tokens[name] * PREFETCH_S / len(self.replicas)
        return round(expected_use + RESERVE_REQUESTS * replica.largest_request[name])

    def _refuse(self, replica: Replica, name: str, max_tokens: int) -> None:
        self.counters.refused += 1
        if not self._was_recently_refused(replica, name, max_tokens):
            replica.refusals[name] = max_tokens, self._now + REFUSAL_TTL_S
        replica.consumed_at_refusal.setdefault(name, self.consumed[name])
        if self.unused_tokens(name) > WRONG_REFUSAL_SHARE * self.tokens[name]:
            if replica.is_unreachable or self._now - self._fault_at < 60.0:
                self.counters.wrong_trouble += 1
            else:
                self.counters.wrong_calm += 1

    def unused_tokens(self, name: str) -> int:
        """Tokens of a tenant that are still available: at the ledger, or unreserved at a replica."""
        tenant = self.ledger.tenant(name)
        assert tenant is not None
        free = sum(r.accounts[name].available() for r in self.replicas if name in r.accounts)
        return tenant.remaining() + free

    def _on_request_end(
        self, replica: Replica, incarnation: int, name: str, max_tokens: int, used: int, window: int
    ) -> None:
        if replica.incarnation != incarnation:
            return  # the replica restarted: the request counts as consumed in full
        self.consumed[name] -= max_tokens - used
        self._get_account(replica, name).settle(max_tokens, used, window)

    def _get_account(self, replica: Replica, name: str) -> Account:
        account = replica.accounts.get(name)
        if account is None:
            account = replica.accounts[name] = Account(replica.name, str(replica.incarnation), name)
            account.window, account.remaining = 1, 1
        return account

    # ---- the ledger

    def _send_token_request(self, replica: Replica, request: TokenRequest) -> None:
        self.counters.asks += 1
        if not replica.is_unreachable:
            self._schedule(ONE_WAY_DELAY_S, lambda: self._on_token_request(replica, request))

    def _on_token_request(self, replica: Replica, request: TokenRequest) -> None:
        if self._now < self._unavailable_until:
            return
        grant, recall = self.ledger.handle_request(request, len(self.replicas))
        if grant is not None:
            response = grant
            self._schedule(
                ONE_WAY_DELAY_S,
                lambda: (
                    None
                    if replica.is_unreachable
                    else self._get_account(replica, request.tenant).apply_grant(response)
                ),
            )
        if recall is not None and self._now - self._recalled_at[request.tenant] >= RECALL_INTERVAL_S:
            self._recalled_at[request.tenant] = self._now
            pending_recall = recall
            for other in self.replicas:
                if other is not replica:
                    self._schedule(
                        ONE_WAY_DELAY_S,
                        lambda other=other: self._on_recall(other, pending_recall),  # type: ignore[misc]
                    )

    def _on_recall(self, replica: Replica, recall: Recall) -> None:
        account = replica.accounts.get(recall.tenant)
        if (
            account is not None
            and not replica.is_unreachable
            and (response := account.handle_recall(recall)) is not None
        ):
            self._send_token_request(replica, response)

    # ---- faults

    def _record_fault(self) -> None:
        self.counters.faults += 1
        self._fault_at = self._now

    def _restart(self) -> None:
        """Restart a replica: its tokens are lost, and those reserved by its requests count as consumed."""
        self._record_fault()
        replica = self._random.choice(self.replicas)
        self.counters.lost += sum(a.available() for a in replica.accounts.values())
        replica.accounts.clear()
        replica.incarnation += 1

    def _isolate(self) -> None:
        """Cut off or freeze a replica, with its grants, for ten minutes."""
        self._record_fault()
        replica = self._random.choice(self.replicas)
        replica.is_unreachable = True
        self._schedule(600.0, lambda: self._reconnect(replica))

    def _reconnect(self, replica: Replica) -> None:
        self._fault_at = self._now
        replica.is_unreachable = False

    def _take_over(self) -> None:
        """Replace the ledger holder; the new one continues from the stored state."""
        self._record_fault()
        self._unavailable_until = self._now + TAKEOVER_S
        self.ledger = Ledger.from_state(self.ledger.state())
