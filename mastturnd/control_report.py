"""Builds the status report of a control process when it is requested."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from config.checking import parse_upstreams
from config.errors import WireError
from mastturnd.roles import CONTROL
from mastturnd.version import memory_kb, processor_s, program_digest
from transport.wire import EDITION

if TYPE_CHECKING:
    from consensus.replica import Replica
    from control.node import ControlNode


MAX_SILENT_MS = 1e9  # a longer silence is reported as this


def _membership_role(replica: Replica | None) -> str:
    """Return the role of this process in the latest view that it knows."""
    if replica is None or replica.durable_state.slot() is None:
        return "newcomer"
    if replica.primary is not None:
        return "primary"
    return "holder" if replica.durable_state.is_holder() else "witness"


def status(node: ControlNode) -> dict[str, Any]:
    """Return the status of a control process for operators; times in milliseconds."""
    replica, publisher, keeper = node.components()
    settings = node.settings
    report: dict[str, Any] = {
        "role": CONTROL,
        "node": settings.node,
        "ip": settings.ip,
        "zone": settings.zone,
        "ctl": settings.listen.ctl,
        "program": program_digest(),
        "edition": EDITION,
        "standing": _membership_role(replica),
        "disk_well": keeper.is_healthy(),
        "synced": keeper.synced,
        "take_overs": publisher.take_overs,
        "leads_ms": publisher.leads_ms(),
        "list_calls": publisher.list_calls(),
        "memory_kb": memory_kb(),
        "processor_s": processor_s(),
        "epoch": 0,
        "promised": 0,
        "ver": 0,
        "led": False,
        "leader": "",
        "members": [],
        "present": [],
        "upstreams": [],
        "tallies": _tallies(node),
    }
    if replica is None:
        return report
    now = node.now()
    durable_state, view, leader = replica.durable_state, replica.acceptor.latest_view, replica.leader()
    report |= {
        "promised": durable_state.promised,
        "ver": durable_state.document.ver if durable_state.is_holder() else 0,
        "writes": durable_state.document.number if durable_state.is_holder() else 0,
        "led": replica.has_live_leader(now),
        "leader": leader.node if leader is not None else "",
    }
    if view is not None:
        last_heard_at = replica.primary.heard_at if replica.primary is not None else {}
        report["epoch"] = view.epoch
        report["members"] = [
            {
                "slot": slot,
                "node": member.node,
                "ip": member.ip,
                "ctl": member.ctl,
                "zone": member.zone,
                "holds": slot in view.holders,
                "leads": slot == view.primary,
                "silent_ms": round(max(now - last_heard_at[slot], 0.0)) if slot in last_heard_at else None,
            }
            for slot, member in enumerate(view.members)
            if member is not None
        ]
    if replica.primary is not None:
        present, loads = publisher.reported_state()
        report["present"] = [
            {"node": p.node, "ip": p.ip, "zone": p.zone} for p in sorted(present, key=lambda p: p.node)
        ]
        report["upstreams"] = _upstreams(publisher.latest.upstreams, loads)
    return report


def _tallies(node: ControlNode) -> dict[str, Any]:
    """Return the state of the tallies here, and how the other members compare."""
    replica = node.tallies.replica
    adds = replica.adds
    return {
        "ready": node.tallies.is_ready(),
        "disk_well": node.tallies.accepts_adds(),
        "tallies": adds.tally_count(),
        "ids": adds.live,
        "folded": adds.folded()[0],
        "digests_compared": replica.compared_digests,
        "adds_sent": replica.sent_adds,
        "adds_repaired": replica.repaired_adds,
        "members": [
            {
                "ip": peer.ip,
                "equal": peer.is_equal,
                "silent_ms": round(min(peer.silent_ms, MAX_SILENT_MS)),
                "differs_ms": round(peer.differs_ms),
            }
            for peer in replica.peer_statuses(node.now())
        ],
    }


def _upstreams(news: Any, loads: dict[str, tuple[int, int]]) -> list[dict[str, Any]]:
    """Return the upstream list as sent to the balancers, with the load of all balancers at each."""
    if news is None:
        return []
    try:
        entries = parse_upstreams(news.page)[0]
    except WireError:
        return []
    return [
        {
            "id": entry.id,
            "svc": entry.svc,
            "part": entry.phase,
            "state": entry.state,
            "zone": entry.zone,
            "calls": loads.get(entry.id, (0, 0))[0],
            "tokens": loads.get(entry.id, (0, 0))[1],
        }
        for entry in entries
    ]
