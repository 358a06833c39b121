"""Tenant quotas: which tenants exceed this balancer's part of their quota (umberworks/interface.py)."""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberworks.interface import Tenant

BURST_MS = 2_000.0  # a tenant may use this much of its share at once, ...
BURST = 4.0  # ... and at least this many requests: a small part of a quota would come to less than one


class TenantShares:
    """One token bucket per tenant, refilled at this balancer's part of the tenant's rate."""

    def __init__(self, tenants: Iterable[Tenant], balancers: int) -> None:
        self._rates = {t.name: t.quota_per_s / balancers / 1000 for t in tenants}
        self._levels: dict[str, tuple[float, float]] = {}

    def is_over(self, tenant: str | None, now: float) -> bool:
        """Count a request and return whether its tenant is over its share; the excess is worth little."""
        rate = self._rates.get(tenant or "")
        if rate is None or tenant is None:
            return False
        level, updated_at = self._levels.get(tenant, (math.inf, now))
        level = min(max(BURST_MS * rate, BURST), level + (now - updated_at) * rate)
        over = level < 1
        self._levels[tenant] = (level if over else level - 1, now)
        return over
