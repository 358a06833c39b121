"""Defines the site file: a deployment described by ranges, from which each day is drawn.

Names carry their units: `_ms`, `_s`, `_us`, `_per_core`, `_share` (0 to 1), or none for plain factors. A
range is written `[low, high]`; a single number stands for both. The values come from the site file and the
brief of `midlands-main`; their meaning is defined in BENCH ("The world", "This kind of server") and WIRE
(settings).
"""

from __future__ import annotations

from typing import Literal

import msgspec

Range = tuple[float, float] | float


def span(value: Range) -> tuple[float, float]:
    """Return the two ends of a range."""
    return value if isinstance(value, tuple) else (float(value), float(value))


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of machine in a tier."""

    name: str
    portion: Range  # of the tier's machines; portions are scaled to add up to 1
    cores: int
    speed: Range  # of one core, in reference cores
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
    """Load reports of a tier's machines."""

    every_ms: Range
    delay_ms: Range
    noise_share: Range


class Connections(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cost and limits of connections to a tier's machines."""

    handshake_round_trips: Range
    handshake_us: Range
    idle_s: float
    connect_timeout_ms: float
    cap_per_core: Range
    full_tax_share: Range  # of capacity, lost when the connection table is full


class Probe(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cost and rate limit of probes."""

    work_us: Range
    cap_per_core_s: Range
    timeout_ms: float


class Choke(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """On a share of days, a crowded machine becomes slower for a while."""

    day_share: float  # of the days
    waiting_per_core: Range
    over_s: Range
    slower: Range
    rest_s: Range
    below_share: Range  # core utilization below which it recovers
    most_s: Range
    price: float


class Tier(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tier of machines that does one part of the work."""

    name: str
    work_share: float  # of a request's work, for each call
    calls: Range  # per call of the tier above
    machines_per_first: Range  # machines per machine of the first tier
    report: Report
    connections: Connections
    probe: Probe
    choke: Choke
    kinds: tuple[Kind, ...]


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: str
    portion: Range
    work_ms: Range  # mean, on a reference core
    wait_ms: Range  # mean time spent waiting on external work without using a core
    spread: Literal["pareto", "lognormal"]
    variation: Range  # standard deviation of the work, as a share of its mean
    attempt_noise: Range
    aim_ms: float
    deadline_ms: float
    worth: float
    effect: Literal["repeatable", "once"]


class Brand(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant with its share of the service and its usage."""

    name: str
    portion: float
    usage: Range  # traffic sent, as a multiple of its portion


class Network(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Network delays, one way."""

    zones: tuple[str, ...]
    same_zone_ms: Range
    cross_zone_ms: Range
    client_ms: Range
    jitter_share: Range
    front_notice_s: Range  # until the front detects a dead balancer


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Client behavior."""

    retries: Range
    try_share: Range  # of the deadline: timeout of one try
    backoff_ms: Range
    at_once_share: float  # of the days on which clients retry without backoff
    honour_share: Range  # of the callers, who honor Retry-After
    impatient_share: Range
    max_retry_after_ms: float
    swing_share: Range
    zone_skew: Range
    quota_share: Range  # sum of the tenants' quotas, as a share of the capacity
    over_share_worth: float


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Delays of the server list."""

    notice_s: Range  # for a process that stops
    silent_notice_s: Range  # for a machine that fails silently
    add_s: Range
    period_ms: Range
    spread_ms: Range
    watch_ms: float
    told_within_ms: float


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of the four rules."""

    answer_slack_ms: float
    drain_grace_ms: float
    fall_multiple: float
    fall_ms: float
    max_attempts: int


class Goal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the components of G."""

    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float


class Prices(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Points deducted from G, each multiplied by its share or rate."""

    cross_zone: float
    waste: float
    probe: float
    late_fail: float
    handshake: float


class Site(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Description of a deployment."""

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
    passes_deadline_share: float  # of the days on which a call carries its caller's remaining time
