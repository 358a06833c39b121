"""What one balancer knows and has done, read off it when somebody asks."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from screen.metrics import Metric, by, counter, gauge
from screen.wire import EDITION
from station.version import memory_kb, processor_s, program
from windvane.tiers import Peer

if TYPE_CHECKING:
    from station.balancing import BalancerRole


def _peers(role: BalancerRole) -> list[Peer]:
    tiers = role.balancer.tiers
    found = (tiers.peer(name) for name, _ in tiers.addresses())
    return [peer for peer in found if peer is not None]


def status(role: BalancerRole) -> dict[str, Any]:
    """All that an operator may want of one balancer."""
    settings, balancer = role.settings, role.balancer
    figures = balancer.figures()
    now = time.monotonic()
    return {
        "role": "windvane",
        "node": settings.node,
        "ip": settings.ip,
        "zone": settings.zone,
        "program": program(),
        "edition": EDITION,
        "ready": balancer.is_ready(),
        "memory_kb": memory_kb(),
        "processor_s": processor_s(),
        **role.standing(),
        "in_flight": figures["in_flight"],
        "calls_out": figures["calls_out"],
        "ended": {final.value: count for final, count in balancer.counters.ends.items()},
        "upstreams": [
            {
                "id": peer.entry.id,
                "svc": peer.entry.svc,
                "part": peer.entry.phase,
                "state": peer.entry.state,
                "calls": peer.server.in_flight,
                "tokens": peer.tokens,
                "silent": peer.silent,
                "blocked_ms": round(max(peer.blocked_until - now, 0.0) * 1000),
            }
            for peer in _peers(role)
        ],
    }


def metrics(role: BalancerRole) -> list[Metric]:
    """The same as figures."""
    told = status(role)
    parts: dict[str, dict[str, float]] = {"up": {}, "silent": {}, "calls": {}, "tokens": {}}
    for entry in told["upstreams"]:
        part = entry["part"] or "whole"
        for name, more in (
            ("up", entry["state"] == "up"),
            ("silent", entry["silent"]),
            ("calls", entry["calls"]),
            ("tokens", entry["tokens"]),
        ):
            parts[name][part] = parts[name].get(part, 0) + more
    ended = {name: float(count) for name, count in told["ended"].items()}
    return [
        gauge("station_ready", "1 while readiness is answered with 200.", told["ready"]),
        gauge("station_drained", "1 while the configuration drains this balancer.", told["drained"]),
        gauge("station_news_fresh", "1 while the control state is heard of.", told["fresh"]),
        gauge("station_configuration_version", "Version in force here, 0 without one.", told["ver"]),
        gauge("station_requests_in_flight", "Requests taken and not answered.", told["in_flight"]),
        by("station_requests_total", "counter", "Requests that have ended, by how.", "end", ended),
        by("station_upstreams_up", "gauge", "Upstreams that are up.", "part", parts["up"]),
        by("station_upstreams_silent", "gauge", "Upstreams that owe us a word.", "part", parts["silent"]),
        by("station_upstream_calls", "gauge", "Our calls out.", "part", parts["calls"]),
        by("station_upstream_tokens", "gauge", "Prompt tokens read for us.", "part", parts["tokens"]),
        gauge("process_resident_memory_bytes", "Memory in use.", told["memory_kb"] * 1024),
        counter("process_cpu_seconds_total", "Processor time.", told["processor_s"]),
    ]
