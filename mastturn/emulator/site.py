"""A site: what a deployment is made of, as ranges; a day is one draw from them.

Every name carries its unit: `_ms`, `_s`, `_us`, `_per_core`, `_share` (0 to 1), or none for plain factors. A
range is written `[low, high]`; a single number stands for both. Source of the figures: the site file and the
brief of `midlands-main`; of their meaning: BENCH ("The world", "This kind of server"), WIRE (settings).
"""

from __future__ import annotations

from typing import Literal

import msgspec

Range = tuple[float, float] | float


def span(value: Range) -> tuple[float, float]:
    """A range as its two ends."""
    return value if isinstance(value, tuple) else (float(value), float(value))


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of machine in a tier."""

    name: str
    portion: Range  # of the tier's machines; portions are scaled to add up to 1
    cores: int
    speed: Range  # of one core, in yardstick cores
    speed_spread: Range  # deviation of single machines from their kind's speed, as a share of it
    slots_per_core: Range
    queue_per_core: Range
    thrash: Range  # efficiency lost for each request per core held beyond `thrash_at`
    thrash_at: Range  # requests held
    cold_from_share: Range
    cold_s: Range
    pause_every_s: Range
    pause_ms: Range
    error_share: Range


class Report(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a tier's machines tell their load."""

    every_ms: Range
    delay_ms: Range
    noise_share: Range


class Connections(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What connections to a tier's machines cost and how many there may be."""

    handshake_round_trips: Range
    handshake_us: Range
    idle_s: float
    connect_timeout_ms: float
    cap_per_core: Range
    full_tax_share: Range  # of capacity, lost with a full table


class Probe(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a probe costs the machine, and how many it answers."""

    work_us: Range
    cap_per_core_s: Range
    timeout_ms: float


class Choke(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """On some days a crowded machine turns slower and stays so for a while."""

    day_share: float  # of the days
    waiting_per_core: Range
    over_s: Range
    slower: Range
    rest_s: Range
    below_share: Range  # of its cores in use, under which it rests
    most_s: Range
    price: float


class Tier(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Machines that do one part of the work."""

    name: str
    work_share: float  # of a request's work, for each call
    calls: Range  # by each call of the tier above
    machines_per_first: Range  # machines for each machine of the first tier
    report: Report
    connections: Connections
    probe: Probe
    choke: Choke
    kinds: tuple[Kind, ...]


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: str
    portion: Range
    work_ms: Range  # mean, on a yardstick core
    wait_ms: Range  # mean time spent waiting on others, beside the cores
    spread: Literal["pareto", "lognormal"]
    variation: Range  # deviation of the work, as a share of its mean
    attempt_noise: Range
    aim_ms: float
    deadline_ms: float
    worth: float
    effect: Literal["repeatable", "once"]


class Brand(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant, its share of the service and what it sends of it."""

    name: str
    portion: float
    usage: Range  # sent, as a multiple of its portion


class Network(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays."""

    zones: tuple[str, ...]
    same_zone_ms: Range
    cross_zone_ms: Range
    client_ms: Range
    jitter_share: Range
    front_notice_s: Range  # until the front knows that a balancer is dead


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What callers do."""

    retries: Range
    try_share: Range  # of the deadline, after which one try is given up
    backoff_ms: Range
    at_once_share: float  # of the days on which tries follow at once
    honour_share: Range  # of the callers, who stay away as long as told
    impatient_share: Range
    max_retry_after_ms: float
    swing_share: Range
    zone_skew: Range
    quota_share: Range  # of the capacity, that the tenants' shares together come to
    over_share_worth: float


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How late the list of servers is."""

    notice_s: Range  # a process that stops
    silent_notice_s: Range  # a machine that vanishes
    add_s: Range
    period_ms: Range
    spread_ms: Range
    watch_ms: float
    told_within_ms: float


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of the four rules."""

    answer_slack_ms: float
    drain_grace_ms: float
    fall_multiple: float
    fall_ms: float
    max_attempts: int


class Goal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The weights of the parts of G."""

    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float


class Prices(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Points taken off G, each times its share or rate."""

    cross_zone: float
    waste: float
    probe: float
    late_fail: float
    handshake: float


class Site(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole deployment."""

    name: str
    network: Network
    clients: Clients
    discovery: Discovery
    rules: Rules
    goal: Goal
    prices: Prices
    tiers: tuple[Tier, ...]
    classes: tuple[RequestKind, ...]
    brands: tuple[Brand, ...]
    most_work: float  # of one request, as a multiple of its class's mean; see docs/emulator.md
    passes_deadline_share: float  # of the days on which a call carries its caller's time left
