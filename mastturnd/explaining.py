"""Explains a balancer's choices: its ready sets as the selection rule sees them, and recorded choices.

The rule (`umberworks.choice`) draws upstreams in proportion to capacity and takes the one with the lowest
(in flight + 1) / capacity. Figures are computed on copies, so explaining does not affect later choices.
"""

from __future__ import annotations

import asyncio
import copy
import time
from typing import Any

from balancer.balancer import Balancer
from balancer.peer import Peer
from balancer.tiers import Group, Tiers
from mastturnd.tap import subscribe
from umberworks.choice import DRAWS, ServerSelector

MAX_RECORDED_CHOICES = 20  # per request
RECORD_TIMEOUT_S = 3.0  # after this, the choices recorded so far are returned
_recording: set[int] = set()  # id() of each balancer


def describe_groups(balancer: Balancer, node: str) -> dict[str, Any]:
    """Return every ready set of this balancer. Capacity is in calls per second for each call in flight."""
    now = time.monotonic()
    return {
        "node": node,
        "draws": DRAWS,
        "groups": [
            {"svc": svc, "part": part, "upstreams": _candidate_rows(balancer.tiers, group, group.peers, now)}
            for (svc, part), group in sorted(balancer.tiers._groups.items())
            if group.peers
        ],
    }


def is_recording(balancer: Balancer) -> bool:
    """Return whether choices are being recorded."""
    return id(balancer) in _recording


async def record(balancer: Balancer, limit: int) -> list[dict[str, Any]]:
    """Record up to `limit` choices within RECORD_TIMEOUT_S: the candidates of each, and which was drawn."""
    choices: list[dict[str, Any]] = []
    drawn: list[dict[str, Any]] = []  # drawn, and no call sent yet
    complete = asyncio.Event()

    def on_event(event: str, fields: dict[str, Any]) -> None:
        if event == "drawn" and len(choices) < limit:
            group: Group = fields["group"]
            candidates: list[Peer] = fields["able"]
            choice = {
                "request": "",
                "part": fields["part"],
                "chosen": fields["upstream"],
                "ready": len(group.peers),
                "considered": _candidate_rows(balancer.tiers, group, candidates, fields["now"]),
            }
            drawn[:] = [choice]
            choices.append(choice)
        elif event == "sent" and drawn and drawn[0]["chosen"] == fields["upstream"]:
            drawn.pop()["request"] = fields["request"]
            if len(choices) >= limit:
                complete.set()

    _recording.add(id(balancer))
    stop = subscribe(balancer, on_event)
    try:
        async with asyncio.timeout(RECORD_TIMEOUT_S):
            await complete.wait()
    except TimeoutError:
        pass
    finally:
        stop()
        _recording.discard(id(balancer))
    return choices


def _candidate_rows(tiers: Tiers, group: Group, candidates: list[Peer], now: float) -> list[dict[str, Any]]:
    """Return one row per candidate, with the probability of each draw and of being chosen in the end."""
    selector = group.selector
    capacities = [_capacity(selector, peer, now) for peer in candidates]
    whole = sum(capacities)
    rows: list[dict[str, Any]] = []
    for peer, capacity in zip(candidates, capacities, strict=True):
        calls, tokens = tiers.other_loads(peer.entry.id)
        rows.append(
            {
                "id": peer.entry.id,
                "zone": peer.entry.zone,
                "capacity_per_s": round(capacity * 1000, 3),
                "in_flight": peer.server.in_flight,
                "others": calls,
                "tokens": peer.pending_tokens + tokens,
                "load": round((peer.server.in_flight + 1) / (capacity * 1000), 4),
                "drawn": round(capacity / whole, 4),
                "silent": peer.is_silent,
                "blocked_ms": round(max(peer.blocked_until - now, 0.0) * 1000),
                "trust": tiers.outliers.state(peer.entry.id, now),
            }
        )
    loads = [((p.server.in_flight + 1) / c, -c) for p, c in zip(candidates, capacities, strict=True)]
    for row, chance in zip(
        rows, choice_probabilities([c / whole for c in capacities], loads, DRAWS), strict=True
    ):
        row["chosen"] = round(chance, 4)
    return rows


def _capacity(selector: ServerSelector, peer: Peer, now: float) -> float:
    """Return the capacity estimate that the rule would use now, in calls per millisecond in flight."""
    server = copy.copy(peer.server)
    server.unanswered = copy.copy(server.unanswered)
    return selector._capacity(server, selector.median or 1.0, now * 1000)


def choice_probabilities(drawn: list[float], loads: list[tuple[float, float]], draws: int) -> list[float]:
    """Return the probability of each to be the lowest of `draws` draws, given its probability per draw.

    Candidates with equal load and capacity share their probability in proportion to how often they are drawn.
    """
    order = sorted(range(len(drawn)), key=lambda i: loads[i])
    choices, remaining, at = [0.0] * len(drawn), 1.0, 0
    while at < len(order):
        tied = [i for i in order[at:] if loads[i] == loads[order[at]]]
        weight = sum(drawn[i] for i in tied)
        rest = max(remaining - weight, 0.0)
        chance = remaining**draws - rest**draws
        for i in tied:
            choices[i] = chance * drawn[i] / weight if weight else 0.0
        remaining, at = rest, at + len(tied)
    return choices
