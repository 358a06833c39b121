"""The quota ledger: tokens granted to each incarnation of each replica. No token is granted twice.

The primary of the control state holds it: a change is replicated to the other holders before the answer is
sent, and a deposed primary can't commit a change. Tokens granted to an incarnation that has ended stay
charged to it, since it is unknown how many of them it spent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from quota.messages import Grant, Recall, TokenRequest

SURPLUS_DIVISOR = 4  # extra tokens granted are at most 1/(4 x replicas) of the remainder


@dataclass(slots=True)
class Allocation:
    """Tokens granted to, returned by and spent by one incarnation of a replica."""

    granted: int = 0
    returned: int = 0
    spent: int = 0


@dataclass(slots=True)
class TenantWindow:
    """The allowance of one tenant in its current window, and its allocations."""

    tokens: int  # the allowance per window
    window: int = 1
    allocations: dict[tuple[str, str], Allocation] = field(default_factory=dict)  # by replica and incarnation

    def remaining(self) -> int:
        """Returns the ungranted tokens; negative if the allowance was reduced below what was granted."""
        return self.tokens - sum(d.granted - d.returned for d in self.allocations.values())


class Ledger:
    """The quota ledger of all tenants."""

    def __init__(self, allowances: Mapping[str, int]) -> None:
        self._tenants = {name: TenantWindow(tokens) for name, tokens in allowances.items()}

    def tenant(self, name: str) -> TenantWindow | None:
        """Returns a tenant's current window, for reports, or None."""
        return self._tenants.get(name)

    def set_allowances(self, allowances: Mapping[str, int]) -> None:
        """Replaces the allowances, also within a window; a tenant no longer named becomes unlimited."""
        for name, tokens in allowances.items():
            known = self._tenants.get(name)
            if known is None:
                self._tenants[name] = TenantWindow(tokens)
            else:
                known.tokens = tokens
        self._tenants = {name: t for name, t in self._tenants.items() if name in allowances}

    def begin_window(self, name: str) -> None:
        """Starts the tenant's next window with its full allowance."""
        tenant = self._tenants[name]
        tenant.window += 1
        tenant.allocations.clear()

    def handle_request(self, request: TokenRequest, replicas: int) -> tuple[Grant | None, Recall | None]:
        """Grants the requested tokens if they remain; otherwise recalls unspent ones.

        `replicas` is the number of replicas. Returns no grant for a tenant without an allowance, which is
        unlimited.
        """
        tenant = self._tenants.get(request.tenant)
        if tenant is None or request.window > tenant.window:  # no ledger has opened that window
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
        unacknowledged = allocation.granted - request.granted  # in an answer that was lost or is in flight
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

    # ---- serialisation

    def state(self) -> tuple[tuple[object, ...], ...]:
        """Returns the complete state, for replication to the other holders."""
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
        """Returns the ledger with a state that `state` returned."""
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
