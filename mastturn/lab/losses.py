"""Attributes lost worth: requests not served in time, by the cause with which their last attempt ended."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from mastturn.emulator.calls import ClientRequest, LossCause
from mastturn.emulator.events import START_MS
from mastturn.emulator.judge import counted_requests, is_served
from mastturn.emulator.record import DayResult

STILL_OPEN = "still open at the end"


@dataclass(frozen=True, slots=True)
class Lost:
    """Loss by one cause at one tier: share of the requested worth, requests, split by class and second."""

    tier: str
    cause: str
    worth_share: float
    requests: int
    by_class: dict[str, float]  # share of the requested worth
    by_second: dict[int, float]  # share of the requested worth, by the second of arrival


def _attribute(client_request: ClientRequest, tiers: list[str]) -> tuple[str, str]:
    if client_request.loss is None:
        return "client", STILL_OPEN
    late = client_request.served_ms >= 0
    cause = LossCause.ON_THE_WAY if late else client_request.loss.cause
    return tiers[client_request.loss.tier], "answered after its aim" if late else cause.value


def losses(played: DayResult) -> list[Lost]:
    """All causes, ordered by lost worth, largest first."""
    client_requests = counted_requests(played.judge.client_requests)
    asked = sum(f.worth for f in client_requests) or 1.0
    tiers = [tier.name for tier in played.day.tiers]
    by_cause: dict[tuple[str, str], list[ClientRequest]] = defaultdict(list)
    for client_request in client_requests:
        if not is_served(client_request):
            by_cause[_attribute(client_request, tiers)].append(client_request)
    lost = []
    for (tier, cause), group in by_cause.items():
        classes: dict[str, float] = defaultdict(float)
        seconds: dict[int, float] = defaultdict(float)
        for client_request in group:
            classes[client_request.cls.name] += client_request.worth / asked
            seconds[int((client_request.arrived_ms - START_MS) // 1000)] += client_request.worth / asked
        worth = sum(f.worth for f in group) / asked
        lost.append(Lost(tier, cause, worth, len(group), dict(classes), dict(sorted(seconds.items()))))
    return sorted(lost, key=lambda item: (-item.worth_share, item.tier, item.cause))
