"""Builds the status report of a balancer when it is requested."""

from __future__ import annotations

import time
from typing import Any

from balancer.peer import Peer
from mastturnd.reported import ReportedRole
from mastturnd.roles import BALANCER
from mastturnd.version import memory_kb, processor_s, program_digest
from transport.wire import EDITION


def _peers(role: ReportedRole) -> list[Peer]:
    tiers = role.balancer.tiers
    found = (tiers.peer(name) for name, _ in tiers.addresses())
    return [peer for peer in found if peer is not None]


def status(role: ReportedRole) -> dict[str, Any]:
    """Return the status of a balancer for operators."""
    settings, balancer = role.settings, role.balancer
    counts = balancer.counts()
    now = time.monotonic()
    return {
        "role": BALANCER,
        "node": settings.node,
        "ip": settings.ip,
        "zone": settings.zone,
        "program": program_digest(),
        "edition": EDITION,
        "ready": balancer.is_ready(),
        "memory_kb": memory_kb(),
        "processor_s": processor_s(),
        **role.report_state(),
        "in_flight": counts["in_flight"],
        "calls_out": counts["calls_out"],
        "refused": {why.value: count for why, count in balancer.counters.refusals.items()},
        "ended": {final.value: count for final, count in balancer.counters.ends.items()},
        "upstreams": [
            {
                "id": peer.entry.id,
                "svc": peer.entry.svc,
                "part": peer.entry.phase,
                "state": peer.entry.state,
                "calls": peer.server.in_flight,
                "tokens": peer.pending_tokens,
                "silent": peer.is_silent,
                "cold_ms": round(max(peer.cold_until - now, 0.0) * 1000),
                "blocked_ms": round(max(peer.blocked_until - now, 0.0) * 1000),
                "trust": balancer.tiers.outliers.state(peer.entry.id, now),
                "failures": balancer.tiers.outliers.failure_count(peer.entry.id),
            }
            for peer in _peers(role)
        ],
    }
