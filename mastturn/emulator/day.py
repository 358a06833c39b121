"""Draws the parameters of one day from a site's ranges; the result is immutable.

`stretch` multiplies work, aims and deadlines, so that a fleet of many machines gets proportionally fewer
requests: real days on many balancers are thinned in the same way (FLEET, "traffic is spread thin").
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from mastturn.emulator.chance import Stream
from mastturn.emulator.site import Clients, Discovery, Kind, Network, Range, RequestKind, Site, Tier, span

_Sampler = Callable[[Range], float]  # draws one value from a range
CELL_SIZE = 4  # machines of one cell (site file, `cell_size` 3 to 5)


@dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes of the fleet and its load."""

    balancers_front: int
    machines_front: int
    load_share: float  # of the capacity of the bottleneck tier
    stretch: float
    length_ms: float
    uneven: float  # standard deviation of the log of the balancers' traffic shares
    seen: float = 1.0  # number of balancers that each assumes, as a share of the true number


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine; work is in milliseconds of a reference core, `speed` in reference cores."""

    name: str
    tier: int
    zone: str
    cell: int
    kind: str
    cores: int
    speed: float
    slots: int
    queue: int
    thrash: float
    thrash_at: float
    cold_from: float
    cold_ms: float
    pause_every_ms: float
    pause_ms: float
    error_share: float
    connection_cap: int


@dataclass(frozen=True, slots=True)
class ChokeParameters:
    """Thresholds at which a crowded machine becomes slower and recovers."""

    waiting_per_core: float
    over_ms: float
    slower: float
    rest_ms: float
    below: float
    most_ms: float
    price: float


@dataclass(frozen=True, slots=True)
class TierParameters:
    """Parameters shared by all machines of a tier."""

    name: str
    work_share: float
    calls: float
    report_every_ms: float
    report_delay_ms: float
    report_noise: float
    handshake_round_trips: float
    handshake_work_ms: float
    idle_ms: float
    connect_timeout_ms: float
    full_tax: float
    choke: ChokeParameters | None


@dataclass(frozen=True, slots=True)
class ClassParameters:
    """A class of requests."""

    name: str
    portion: float
    work_ms: float
    wait_ms: float
    spread: str
    variation: float
    attempt_noise: float
    aim_ms: float
    deadline_ms: float
    worth: float
    once: bool


@dataclass(frozen=True, slots=True)
class BrandParameters:
    """A tenant; its quota applies to all balancers together."""

    name: str
    sent_share: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class ClientParameters:
    """Client behavior on this day."""

    retries: int
    try_share: float
    backoff_ms: float
    honour_share: float
    impatient_share: float
    max_retry_after_ms: float
    swing: float
    period_ms: float
    bursty: bool
    over_share_worth: float


@dataclass(frozen=True, slots=True)
class NetworkParameters:
    """Network delays, one way."""

    zones: tuple[str, ...]
    same_zone_ms: float
    cross_zone_ms: float
    client_ms: float
    jitter: float
    front_notice_ms: tuple[float, float]


@dataclass(frozen=True, slots=True)
class DiscoveryParameters:
    """Delays of the server list."""

    notice_ms: tuple[float, float]
    silent_notice_ms: tuple[float, float]
    add_ms: tuple[float, float]
    period_ms: float
    spread_ms: float
    watch_ms: float
    told_within_ms: float


@dataclass(frozen=True, slots=True)
class Day:
    """All parameters drawn before a day begins."""

    seed: int
    site: Site
    fleet: Fleet
    tiers: tuple[TierParameters, ...]
    machines: tuple[tuple[Machine, ...], ...]  # for each tier
    classes: tuple[ClassParameters, ...]
    brands: tuple[BrandParameters, ...]
    clients: ClientParameters
    network: NetworkParameters
    discovery: DiscoveryParameters
    passes_deadline: bool
    zone_weights: tuple[float, ...]
    requests_per_s: float


def draw(site: Site, fleet: Fleet, seed: int) -> Day:
    """Draw a day from a site; each component has its own random stream."""
    day = Stream(seed, "day")

    def sample(value: Range) -> float:
        low, high = span(value)
        return day.between(low, high)

    def ms(value: Range) -> float:
        return sample(value) * 1000

    classes = _classes(site, fleet, sample)
    tiers = tuple(_tier(tier, sample, day) for tier in site.tiers)
    zones = site.network.zones[: max(1, min(len(site.network.zones), fleet.balancers_front))]
    machines = tuple(
        _machines(site.tiers[number], number, _count(site, number, fleet, sample), zones, seed)
        for number in range(len(site.tiers))
    )
    capacity = _capacity_per_s(machines, tiers, classes)
    skew = sample(site.clients.zone_skew)
    weights = tuple(1.0 + skew * (2 * day.uniform() - 1) for _ in zones)
    at_once = day.uniform() < site.clients.at_once_share
    clients = site.clients
    quota = sample(clients.quota_share) * capacity
    usage = [brand.portion * sample(brand.usage) for brand in site.brands]
    return Day(
        seed=seed,
        site=site,
        fleet=fleet,
        tiers=tiers,
        machines=machines,
        classes=classes,
        brands=tuple(
            BrandParameters(b.name, u / sum(usage), quota * b.portion)
            for b, u in zip(site.brands, usage, strict=True)
        ),
        clients=_client_parameters(clients, at_once, sample, day),
        network=_network_parameters(site.network, zones, sample),
        discovery=_discovery_parameters(site.discovery, sample),
        passes_deadline=day.uniform() < site.passes_deadline_share,
        zone_weights=tuple(w / sum(weights) for w in weights),
        requests_per_s=fleet.load_share * capacity,
    )


def _client_parameters(clients: Clients, at_once: bool, sample: _Sampler, day: Stream) -> ClientParameters:
    return ClientParameters(
        retries=round(sample(clients.retries)),
        try_share=sample(clients.try_share),
        backoff_ms=0.0 if at_once else sample(clients.backoff_ms),
        honour_share=sample(clients.honour_share),
        impatient_share=sample(clients.impatient_share),
        max_retry_after_ms=clients.max_retry_after_ms,
        swing=sample(clients.swing_share),
        period_ms=day.between(15_000, 40_000),
        bursty=day.uniform() < 0.5,
        over_share_worth=clients.over_share_worth,
    )


def _network_parameters(network: Network, zones: tuple[str, ...], sample: _Sampler) -> NetworkParameters:
    return NetworkParameters(
        zones,
        sample(network.same_zone_ms),
        sample(network.cross_zone_ms),
        sample(network.client_ms),
        sample(network.jitter_share),
        _span_ms(network.front_notice_s),
    )


def _discovery_parameters(discovery: Discovery, sample: _Sampler) -> DiscoveryParameters:
    return DiscoveryParameters(
        _span_ms(discovery.notice_s),
        _span_ms(discovery.silent_notice_s),
        _span_ms(discovery.add_s),
        sample(discovery.period_ms),
        sample(discovery.spread_ms),
        discovery.watch_ms,
        discovery.told_within_ms,
    )


def _span_ms(value: Range) -> tuple[float, float]:
    low, high = span(value)
    return low * 1000, high * 1000


def _classes(site: Site, fleet: Fleet, sample: _Sampler) -> tuple[ClassParameters, ...]:
    portions = [sample(cls.portion) for cls in site.classes]
    return tuple(
        _class(cls, portion / sum(portions), fleet.stretch, sample)
        for cls, portion in zip(site.classes, portions, strict=True)
    )


def _class(cls: RequestKind, portion: float, stretch: float, sample: _Sampler) -> ClassParameters:
    return ClassParameters(
        cls.name,
        portion,
        sample(cls.work_ms) * stretch,
        sample(cls.wait_ms) * stretch,
        cls.spread,
        sample(cls.variation),
        sample(cls.attempt_noise),
        cls.aim_ms * stretch,
        cls.deadline_ms * stretch,
        cls.worth,
        cls.effect == "once",
    )


def _tier(tier: Tier, sample: _Sampler, day: Stream) -> TierParameters:
    choke = tier.choke
    parameters = ChokeParameters(
        sample(choke.waiting_per_core),
        sample(choke.over_s) * 1000,
        sample(choke.slower),
        sample(choke.rest_s) * 1000,
        sample(choke.below_share),
        sample(choke.most_s) * 1000,
        choke.price,
    )
    return TierParameters(
        tier.name,
        tier.work_share,
        sample(tier.calls),
        sample(tier.report.every_ms),
        sample(tier.report.delay_ms),
        sample(tier.report.noise_share),
        sample(tier.connections.handshake_round_trips),
        sample(tier.connections.handshake_us) / 1000,
        tier.connections.idle_s * 1000,
        tier.connections.connect_timeout_ms,
        sample(tier.connections.full_tax_share),
        parameters if day.uniform() < choke.day_share else None,
    )


def _count(site: Site, tier: int, fleet: Fleet, sample: _Sampler) -> int:
    """Return the number of machines of a tier; the ratio is drawn per tier."""
    return max(
        1, round(fleet.machines_front * (sample(site.tiers[tier].machines_per_first) if tier else 1.0))
    )


def _machines(tier: Tier, number: int, count: int, zones: tuple[str, ...], seed: int) -> tuple[Machine, ...]:
    stream = Stream(seed, "machines", number)
    portions = [stream.between(*span(kind.portion)) for kind in tier.kinds]
    parameters = [_Kind(kind, stream) for kind in tier.kinds]
    cap = stream.between(*span(tier.connections.cap_per_core))
    machines = []
    for i in range(count):
        part = (i + 0.5) / count * sum(portions)  # exact shares of the kinds, distributed over the zones
        chosen = 0
        while part > sum(portions[: chosen + 1]):
            chosen += 1
        machines.append(parameters[chosen].machine(f"{tier.name}-{i}", number, i, zones, cap, stream))
    return tuple(machines)


class _Kind:
    """Values drawn for one kind of machine."""

    def __init__(self, kind: Kind, stream: Stream) -> None:
        def sample(value: Range) -> float:
            return stream.between(*span(value))

        self.kind = kind
        self.speed, self.spread = sample(kind.speed), sample(kind.speed_spread)
        self.slots, self.queue = sample(kind.slots_per_core), sample(kind.queue_per_core)
        self.thrash, self.thrash_at = sample(kind.thrash), sample(kind.thrash_at)
        self.cold_from, self.cold_ms = sample(kind.cold_from_share), sample(kind.cold_s) * 1000
        self.pause_every_ms, self.pause_ms = sample(kind.pause_every_s) * 1000, sample(kind.pause_ms)
        self.error_share = sample(kind.error_share)

    def machine(
        self, name: str, tier: int, i: int, zones: tuple[str, ...], cap: float, stream: Stream
    ) -> Machine:
        """Return the `i`th machine of its tier, with its own speed."""
        kind = self.kind
        return Machine(
            name,
            tier,
            zones[i % len(zones)],
            i // CELL_SIZE,
            kind.name,
            kind.cores,
            self.speed * stream.factor(self.spread),
            round(self.slots * kind.cores),
            round(self.queue * kind.cores),
            self.thrash,
            self.thrash_at,
            self.cold_from,
            self.cold_ms,
            self.pause_every_ms,
            self.pause_ms,
            self.error_share,
            round(cap * kind.cores),
        )


def _capacity_per_s(
    machines: tuple[tuple[Machine, ...], ...],
    tiers: tuple[TierParameters, ...],
    classes: tuple[ClassParameters, ...],
) -> float:
    """Return the client requests per second that the bottleneck tier can serve (BENCH, "This kind")."""
    work = sum(c.portion * c.work_ms for c in classes)
    rate, calls = math.inf, 1.0
    for tier, boxes in zip(tiers, machines, strict=True):
        calls *= tier.calls
        power = sum(m.cores * m.speed for m in boxes)  # reference-core milliseconds per millisecond
        rate = min(rate, power * 1000 / (tier.work_share * work * calls))
    return rate
