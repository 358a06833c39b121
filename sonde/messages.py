"""What goes up and down between the control state, the relays and the balancers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from screen.wire import Kinds

KINDS = Kinds()

_STAMP = [{"name": "epoch", "type": "long"}, {"name": "number", "type": "long"}]


@dataclass(frozen=True, slots=True)
class Present:
    """A balancer that is there."""

    node: str
    ip: str
    zone: str


def _present(raw: Any) -> tuple[Present, ...]:
    return tuple(p if isinstance(p, Present) else Present(**p) for p in raw)


@KINDS.declare(
    100,
    [
        {"name": "node", "type": "string"},
        {"name": "ip", "type": "string"},
        {"name": "zone", "type": "string"},
        {"name": "ver", "type": "long"},
        {"name": "list_epoch", "type": "long"},
        {"name": "list_number", "type": "long"},
    ],
)
@dataclass(frozen=True, slots=True)
class Attach:
    """A balancer asks to be told everything from now on; what it has already need not come again."""

    node: str
    ip: str
    zone: str
    ver: int
    list_epoch: int
    list_number: int


@KINDS.declare(101, [*_STAMP, {"name": "balancers", "type": "int"}])
@dataclass(frozen=True, slots=True)
class Pulse:
    """The control state is there and is this recent; so many balancers are present."""

    epoch: int
    number: int
    balancers: int


@KINDS.declare(102, [{"name": "ver", "type": "long"}, {"name": "body", "type": "bytes"}])
@dataclass(frozen=True, slots=True)
class ConfigurationNews:
    """A configuration that was acknowledged, or stays for good."""

    ver: int
    body: bytes


@KINDS.declare(103, [*_STAMP, {"name": "page", "type": "bytes"}])
@dataclass(frozen=True, slots=True)
class UpstreamNews:
    """The platform's list, whole, as JSON."""

    epoch: int
    number: int
    page: bytes


@KINDS.declare(104, [{"name": "ips", "type": {"type": "array", "items": "string"}}])
@dataclass(frozen=True, slots=True)
class Moved:
    """Not here: try these, in order."""

    ips: Any


@KINDS.declare(
    105,
    [
        *_STAMP,
        {
            "name": "balancers",
            "type": {
                "type": "array",
                "items": {
                    "type": "record",
                    "name": "Balancer",
                    "fields": [
                        {"name": "node", "type": "string"},
                        {"name": "ip", "type": "string"},
                        {"name": "zone", "type": "string"},
                    ],
                },
            },
        },
        {"name": "cores", "type": {"type": "array", "items": "string"}},
    ],
)
@dataclass(frozen=True, slots=True)
class MemberNews:
    """Which balancers are present, and the IPs of the control processes."""

    epoch: int
    number: int
    balancers: Any  # Present
    cores: Any

    def __post_init__(self) -> None:
        object.__setattr__(self, "balancers", _present(self.balancers))


@KINDS.declare(
    106,
    [
        {"name": "node", "type": "string"},
        {
            "name": "present",
            "type": {
                "type": "array",
                "items": {
                    "type": "record",
                    "name": "Present",
                    "fields": [
                        {"name": "node", "type": "string"},
                        {"name": "ip", "type": "string"},
                        {"name": "zone", "type": "string"},
                    ],
                },
            },
        },
    ],
)
@dataclass(frozen=True, slots=True)
class Roll:
    """Who is present below a relay, itself included."""

    node: str
    present: Any  # Present

    def __post_init__(self) -> None:
        object.__setattr__(self, "present", _present(self.present))


_LOADS = {
    "name": "loads",
    "type": {
        "type": "array",
        "items": {
            "type": "record",
            "name": "UpstreamLoad",
            "fields": [
                {"name": "upstream", "type": "string"},
                {"name": "calls", "type": "int"},
                {"name": "tokens", "type": "int"},
            ],
        },
    },
}


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Calls that are out to an upstream, and prompt tokens that are to be read for them."""

    upstream: str
    calls: int
    tokens: int


def _loads(raw: Any) -> tuple[UpstreamLoad, ...]:
    return tuple(p if isinstance(p, UpstreamLoad) else UpstreamLoad(**p) for p in raw)


@KINDS.declare(107, [_LOADS])
@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a balancer and all below it put on upstreams; what is not named has none from them."""

    loads: Any  # UpstreamLoad

    def __post_init__(self) -> None:
        object.__setattr__(self, "loads", _loads(self.loads))


@KINDS.declare(108, [*_STAMP, _LOADS])
@dataclass(frozen=True, slots=True)
class LoadNews:
    """The load that all balancers together put on upstreams."""

    epoch: int
    number: int
    loads: Any  # UpstreamLoad

    def __post_init__(self) -> None:
        object.__setattr__(self, "loads", _loads(self.loads))


_HOLDINGS = {
    "name": "holdings",
    "type": {
        "type": "array",
        "items": {
            "type": "record",
            "name": "Holding",
            "fields": [{"name": "subject", "type": "bytes"}, {"name": "upstream", "type": "string"}],
        },
    },
}


@dataclass(frozen=True, slots=True)
class Holding:
    """An upstream has read the shared parts of prompts on a subject."""

    subject: bytes
    upstream: str


def _holdings(raw: Any) -> tuple[Holding, ...]:
    return tuple(p if isinstance(p, Holding) else Holding(**p) for p in raw)


@KINDS.declare(109, [_HOLDINGS])
@dataclass(frozen=True, slots=True)
class HoldingReport:
    """What balancers have seen read, on its way up."""

    holdings: Any  # Holding

    def __post_init__(self) -> None:
        object.__setattr__(self, "holdings", _holdings(self.holdings))


@KINDS.declare(110, [_HOLDINGS])
@dataclass(frozen=True, slots=True)
class HoldingNews:
    """The same on its way down, to all."""

    holdings: Any  # Holding

    def __post_init__(self) -> None:
        object.__setattr__(self, "holdings", _holdings(self.holdings))


_DOUBTS = {
    "name": "doubts",
    "type": {
        "type": "array",
        "items": {
            "type": "record",
            "name": "Doubt",
            "fields": [
                {"name": "upstream", "type": "string"},
                {"name": "zone", "type": "string"},
                {"name": "balancers", "type": "int"},
                {"name": "failures", "type": "int"},
            ],
        },
    },
}


@dataclass(frozen=True, slots=True)
class Doubt:
    """So many balancers of a zone saw so many failures at an upstream in the last seconds."""

    upstream: str
    zone: str
    balancers: int
    failures: int


def _doubts(raw: Any) -> tuple[Doubt, ...]:
    return tuple(d if isinstance(d, Doubt) else Doubt(**d) for d in raw)


@KINDS.declare(111, [_DOUBTS])
@dataclass(frozen=True, slots=True)
class DoubtReport:
    """What a balancer and all below it hold against upstreams; what is not named is in good standing."""

    doubts: Any  # Doubt

    def __post_init__(self) -> None:
        object.__setattr__(self, "doubts", _doubts(self.doubts))


@KINDS.declare(112, [*_STAMP, _DOUBTS])
@dataclass(frozen=True, slots=True)
class DoubtNews:
    """What all balancers together hold against upstreams."""

    epoch: int
    number: int
    doubts: Any  # Doubt

    def __post_init__(self) -> None:
        object.__setattr__(self, "doubts", _doubts(self.doubts))
