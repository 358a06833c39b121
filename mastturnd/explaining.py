"""Why a balancer chooses as it does: its ready sets as the rule sees them, and choices as they are made.

The rule (`umberworks.choice`) draws upstreams by capacity and keeps the lowest (in flight + 1) / capacity.
What is shown is worked out on copies: nothing that the next choice is made from changes by it.
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

MAX_RECORDED_CHOICES = 20  # that are recorded for one question
RECORD_TIMEOUT_S = 3.0  # it is answered after this, with what there is
_recording: set[int] = set()  # ids of balancers


def describe_groups(balancer: Balancer, node: str) -> dict[str, Any]:
    """Every ready set of this balancer now. Capacity is in calls a second for each call in flight."""
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
    """Whether somebody has choices recorded."""
    return id(balancer) in _recording


async def record(balancer: Balancer, limit: int) -> list[dict[str, Any]]:
    """The next choices, so many or those of RECORD_S: what was ready for each, and what was drawn."""
    choices: list[dict[str, Any]] = []
    drawn: list[dict[str, Any]] = []  # that no call has followed yet
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
    """One row for each of `able`, with the chance that it is drawn once, and that it is chosen in the end."""
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
    """The estimate that the rule would draw by now, in calls for each millisecond in flight."""
    server = copy.copy(peer.server)
    server.unanswered = copy.copy(server.unanswered)
    return selector._capacity(server, selector.median or 1.0, now * 1000)


def choice_probabilities(drawn: list[float], loads: list[tuple[float, float]], draws: int) -> list[float]:
    """How likely each is the lowest of so many draws, given the chance of one draw to meet each.

    Those that are alike in load and capacity share theirs by how often they are drawn.
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
