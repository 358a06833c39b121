"""Decides which upstreams change between prefill (reading prompts) and decode (making answers).

Pure logic: takes the list and the total loads of all balancers and returns the orders that are due. Times are
in seconds on a monotonic clock. Use of the prefill tier is the share of its upstreams with outstanding prompt
tokens: averaged over time that is its utilisation, whatever the speed of an upstream. Use of the decode tier
is the share of its capacity in use.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from config.configuration import Upstream

PREFILL, DECODE = "prefill", "decode"
SMOOTHING_S = 2.0  # time constant of the averages
WARMUP_S = 1.0  # averages are used after this
PEAK_DECAY_S = 15.0  # time constant of the peak; a lull is no reason to take an upstream away
PREFILL_HIGH = 0.55  # prefill utilisation above which queueing times grow fast
PREFILL_LOW = 0.15
DECODE_HIGH = 0.7  # share of decode capacity in use above which the tier is crowded
DECODE_FULL = 1.0  # share above which requests queue there, whatever the prefill use
DECODE_AFTER_MOVE = 0.45  # highest share of decode capacity in use, at the peak, after one upstream has left
ORDER_INTERVAL_S = 4.0  # per service, so that the effect of an order shows in the averages
MOVE_SHARE = 0.1  # share of a service's upstreams that move at once; at least one
# An upstream that is idle for this long, while all others of its phase are busy, is unreachable.
AVOIDED_AFTER_S = 1.0
# Busy is twice the excess over the minimum that the load balancing allows.
AVOIDED_CALLS, AVOIDED_TOKENS = 6, 4_000
MIN_DECODE_SHARE = 0.4  # share of upstreams that stay in decode in any case, as one or two may be lost


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an upstream to change its phase."""

    upstream: Upstream
    phase: str


@dataclass(slots=True)
class _ServiceLoad:
    """The averaged load of one service's tiers."""

    since: float
    updated_at: float
    busy_prefill: float = 0.0  # number of upstreams busy with prefill
    calls: float = 0.0  # calls at decode upstreams
    peak: float = 0.0  # decayed maximum of `calls`
    ordered_at: float = -math.inf
    # By id: since when it is idle while the others are busy.
    idle: dict[str, float] = field(default_factory=dict)

    def recent_busy_prefill(self) -> float:
        """Busy prefill upstreams, corrected for the bias of a young average towards zero."""
        return self.busy_prefill / (1 - math.exp(-(self.updated_at - self.since) / SMOOTHING_S))

    def avoided(self, now: float) -> set[str]:
        """Upstreams that balancers avoid because they get no answer, although the list still shows them."""
        return {name for name, since in self.idle.items() if now - since >= AVOIDED_AFTER_S}


class PhasePlan:
    """Tracks the load of all services and decides when an upstream should move."""

    def __init__(self) -> None:
        self._service_loads: dict[str, _ServiceLoad] = {}

    def reset(self) -> None:
        """Drop all averages, which are outdated after another process has led."""
        self._service_loads.clear()

    def allow_next_order(self, service: str) -> None:
        """Allow the next order for a service at once, because the last one had no answer."""
        service_load = self._service_loads.get(service)
        if service_load is not None:
            service_load.ordered_at = -math.inf

    def due_orders(
        self,
        entries: Sequence[Upstream],
        loads: Mapping[str, tuple[int, int]],
        now: float,
        may_order: bool = True,
    ) -> list[Order]:
        """Return the orders that are due, all for one service; `loads`: calls and prompt tokens by upstream.

        `may_order`: False while orders can't be sent. Loads are still averaged then, and no order is
        recorded.
        """
        services: dict[str, list[Upstream]] = {}
        for entry in entries:
            if entry.state == "up" and entry.phase in (PREFILL, DECODE):
                services.setdefault(entry.svc, []).append(entry)
        orders: list[Order] = []
        for service, upstreams in services.items():
            service_load = self._update_load(service, upstreams, loads, now)
            is_due = (
                now - service_load.since >= WARMUP_S and now - service_load.ordered_at >= ORDER_INTERVAL_S
            )
            if may_order and not orders and is_due:
                avoided = service_load.avoided(now)
                min_decoders = max(math.ceil(MIN_DECODE_SHARE * len(upstreams)), 1)
                is_short = sum(candidate.phase == DECODE for candidate in upstreams) < min_decoders
                orders = _due(
                    service_load,
                    [candidate for candidate in upstreams if candidate.id not in avoided],
                    loads,
                    min_decoders,
                    is_short,
                )
                if orders:
                    service_load.ordered_at = now
        return orders

    def _update_load(
        self, service: str, upstreams: list[Upstream], loads: Mapping[str, tuple[int, int]], now: float
    ) -> _ServiceLoad:
        service_load = self._service_loads.get(service)
        if service_load is None:
            service_load = self._service_loads[service] = _ServiceLoad(now, now)
        busy_prefill = in_flight = 0.0
        for upstream in upstreams:
            calls, tokens = loads.get(upstream.id, (0, 0))
            if upstream.phase == PREFILL:
                busy_prefill += tokens > 0
            else:
                busy_prefill += 0.5 * (tokens > 0)  # a decode upstream reads prompts at half the speed
                in_flight += calls
        decay = math.exp(-max(now - service_load.updated_at, 0.0) / SMOOTHING_S)
        service_load.busy_prefill = service_load.busy_prefill * decay + busy_prefill * (1 - decay)
        service_load.calls = service_load.calls * decay + in_flight * (1 - decay)
        service_load.peak = max(
            service_load.calls,
            service_load.peak * math.exp(-max(now - service_load.updated_at, 0.0) / PEAK_DECAY_S),
        )
        service_load.updated_at = now
        idle = _idle(upstreams, loads)
        service_load.idle = {name: service_load.idle.get(name, now) for name in idle}
        return service_load


def _idle(upstreams: list[Upstream], loads: Mapping[str, tuple[int, int]]) -> list[str]:
    """Return upstreams without work while all others of their phase are busy."""
    names: list[str] = []
    for phase, part, threshold in ((PREFILL, 1, AVOIDED_TOKENS), (DECODE, 0, AVOIDED_CALLS)):
        work = {
            candidate.id: loads.get(candidate.id, (0, 0))[part]
            for candidate in upstreams
            if candidate.phase == phase
        }
        if min((amount for amount in work.values() if amount), default=0) >= threshold:
            names += [name for name, amount in work.items() if not amount]
    return names


def _due(
    service_load: _ServiceLoad,
    upstreams: list[Upstream],
    loads: Mapping[str, tuple[int, int]],
    min_decoders: int,
    is_short: bool,
) -> list[Order]:
    """Return the orders for one service; `min_decoders`: upstreams that stay in decode in any case.

    `is_short`: losses have left fewer decode upstreams than that.
    """
    prefillers = _move_order(upstreams, PREFILL, loads)
    decoders = _move_order(upstreams, DECODE, loads)
    batch = max(int(MOVE_SHARE * len(upstreams)), 1)
    if not decoders:  # all are lost, and no load will ever show that some are needed
        return [
            Order(candidate, DECODE)
            for candidate in prefillers[: max(min(min_decoders, len(prefillers) - 1), 1)]
        ]
    capacity = sum(candidate.capacity for candidate in decoders)
    # Without prefill upstreams the decode ones read prompts themselves.
    prefill_use = service_load.busy_prefill / max(len(prefillers), 1)
    decode_use = service_load.calls / max(capacity, 1.0)
    if prefill_use > PREFILL_HIGH and decode_use <= DECODE_FULL:
        leaving = decoders[: max(min(batch, len(decoders) - min_decoders), 0)]
        while leaving and service_load.peak > DECODE_AFTER_MOVE * (
            capacity - sum(candidate.capacity for candidate in leaving)
        ):
            leaving.pop()
        return [Order(candidate, PREFILL) for candidate in leaving]
    is_crowded = decode_use > DECODE_FULL or (decode_use > DECODE_HIGH and prefill_use < PREFILL_HIGH)
    is_idle = prefill_use < PREFILL_LOW and decode_use > DECODE_AFTER_MOVE
    has_spare = service_load.recent_busy_prefill() <= PREFILL_HIGH * (len(prefillers) - batch)
    if (is_crowded or is_idle or (is_short and has_spare)) and len(prefillers) > 1:
        return [Order(candidate, DECODE) for candidate in prefillers[: min(batch, len(prefillers) - 1)]]
    return []


def _move_order(
    upstreams: list[Upstream], phase: str, loads: Mapping[str, tuple[int, int]]
) -> list[Upstream]:
    """Return the upstreams of a phase in the order in which they leave it: zones with more of them first.

    KV cache transfers between zones take longer and cost more, so a zone keeps both phases as long as it can.
    """
    remaining = sorted(
        (candidate for candidate in upstreams if candidate.phase == phase),
        key=lambda candidate: (loads.get(candidate.id, (0, 0))[0], candidate.id),
    )
    zones = Counter(candidate.zone for candidate in remaining)
    ordered: list[Upstream] = []
    while remaining:
        max_in_zone = max(zones[candidate.zone] for candidate in remaining)
        leaving = next(candidate for candidate in remaining if zones[candidate.zone] == max_in_zone)
        remaining.remove(leaving)
        zones[leaving.zone] -= 1
        ordered.append(leaving)
    return ordered
