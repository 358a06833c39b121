"""The ledger of all tenants: what each life of each replica was granted. It never grants a token twice.

Its holder is the primary of the control state: each change is with the other holders before its answer goes
out, and a primary that was replaced gets no change through. A life of a replica that is over keeps what it
was granted, spent or not: nobody can know what it still spent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from quota.messages import Grant, Recall, TokenRequest

SURPLUS_DIVISOR = 4  # beyond need, each replica is granted at most one part in so many of what remains


@dataclass(slots=True)
class Allocation:
    """What one life of a replica has drawn, in tokens."""

    granted: int = 0
    returned: int = 0
    spent: int = 0


@dataclass(slots=True)
class TenantWindow:
    """One tenant's window."""

    tokens: int  # its allowance in a window
    window: int = 1
    allocations: dict[tuple[str, str], Allocation] = field(default_factory=dict)  # by replica and life

    def remaining(self) -> int:
        """What was not granted, or came back; less than 0 after the allowance was cut."""
        return self.tokens - sum(d.granted - d.returned for d in self.allocations.values())


class Ledger:
    """All tenants."""

    def __init__(self, allowances: Mapping[str, int]) -> None:
        self._tenants = {name: TenantWindow(tokens) for name, tokens in allowances.items()}

    def tenant(self, name: str) -> TenantWindow | None:
        """One tenant's window, for a report."""
        return self._tenants.get(name)

    def set_allowances(self, allowances: Mapping[str, int]) -> None:
        """Other allowances are in force, also in mid-window; who is named no more is bound by none."""
        for name, tokens in allowances.items():
            known = self._tenants.get(name)
            if known is None:
                self._tenants[name] = TenantWindow(tokens)
            else:
                known.tokens = tokens
        self._tenants = {name: t for name, t in self._tenants.items() if name in allowances}

    def begin_window(self, name: str) -> None:
        """The tenant's next window begins: all of its allowance is there again."""
        tenant = self._tenants[name]
        tenant.window += 1
        tenant.allocations.clear()

    def handle_request(self, request: TokenRequest, replicas: int) -> tuple[Grant | None, Recall | None]:
        """Grant what is asked for as far as it is there; the recall that is due if it is not.

        `replicas`: how many there are. None for a tenant that has no allowance: it draws freely.
        """
        tenant = self._tenants.get(request.tenant)
        if tenant is None or request.window > tenant.window:  # a later one: no ledger of ours said so
            return None, None
        allocation = tenant.allocations.setdefault((request.replica, request.incarnation), Allocation())
        recall = None
        if request.window == tenant.window:
            allocation.granted = max(allocation.granted, request.granted)
            allocation.returned = max(allocation.returned, min(request.returned, allocation.granted))
            allocation.spent = max(allocation.spent, request.spent)
            recall = self._grant(tenant, allocation, request, max(replicas, 1))
        grant = Grant(
            request.replica,
            request.incarnation,
            request.tenant,
            tenant.window,
            allocation.granted,
            tenant.remaining(),
        )
        return grant, recall

    def _grant(
        self, tenant: TenantWindow, allocation: Allocation, request: TokenRequest, replicas: int
    ) -> Recall | None:
        unacknowledged = allocation.granted - request.granted  # in an answer that was lost, or is on its way
        needed, remaining = max(request.needed - unacknowledged, 0), tenant.remaining()
        if needed > remaining:
            is_recallable = any(
                d.granted - d.returned > d.spent for d in tenant.allocations.values() if d is not allocation
            )
            return Recall(request.tenant, tenant.window) if is_recallable else None
        extra = max(
            min(
                request.extra - max(unacknowledged - request.needed, 0),
                (remaining - needed) // (SURPLUS_DIVISOR * replicas),
            ),
            0,
        )
        allocation.granted += needed + extra
        return None

    # ---- as it is written

    def state(self) -> tuple[tuple[object, ...], ...]:
        """All of it, for those that hold it beside us."""
        return tuple(
            (
                name,
                t.tokens,
                t.window,
                tuple((*k, d.granted, d.returned, d.spent) for k, d in sorted(t.allocations.items())),
            )
            for name, t in sorted(self._tenants.items())
        )

    @classmethod
    def from_state(cls, state: Iterable[tuple[object, ...]]) -> Ledger:
        """The ledger of such a state."""
        found = cls({})
        for name, tokens, window, drawn in state:
            assert isinstance(name, str) and isinstance(tokens, int) and isinstance(window, int)
            assert isinstance(drawn, tuple)
            allocations = {
                (replica, incarnation): Allocation(granted, returned, spent)
                for replica, incarnation, granted, returned, spent in drawn
            }
            found._tenants[name] = TenantWindow(tokens, window, allocations)
        return found
