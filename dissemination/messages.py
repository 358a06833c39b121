"""What goes up and down between the control state, the relays and the balancers."""

from __future__ import annotations

from dataclasses import dataclass

from transport.schema import Int32
from transport.wire import MessageKinds

KINDS = MessageKinds()


@dataclass(frozen=True, slots=True)
class Present:
    """A balancer that is there."""

    node: str
    ip: str
    zone: str


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Calls that are out to an upstream, and prompt tokens that are to be read for them."""

    upstream: str
    calls: Int32
    tokens: Int32


@dataclass(frozen=True, slots=True)
class Holding:
    """An upstream has read the shared parts of prompts on a subject."""

    subject: bytes
    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamFailures:
    """So many balancers of a zone saw so many failures at an upstream in the last seconds."""

    upstream: str
    zone: str
    balancers: Int32
    failures: Int32


@KINDS.declare(100)
@dataclass(frozen=True, slots=True)
class Attach:
    """A balancer asks to be told everything from now on; what it has already need not come again."""

    node: str
    ip: str
    zone: str
    ver: int
    list_epoch: int
    list_number: int


@KINDS.declare(101)
@dataclass(frozen=True, slots=True)
class Pulse:
    """The control state is there and is this recent; so many balancers are present."""

    epoch: int
    number: int
    balancers: Int32


@KINDS.declare(102)
@dataclass(frozen=True, slots=True)
class ConfigurationNews:
    """A configuration that was acknowledged, or stays for good."""

    ver: int
    body: bytes


@KINDS.declare(103)
@dataclass(frozen=True, slots=True)
class UpstreamNews:
    """The platform's list, whole, as JSON."""

    epoch: int
    number: int
    page: bytes


@KINDS.declare(104)
@dataclass(frozen=True, slots=True)
class Moved:
    """Not here: try these, in order."""

    ips: tuple[str, ...]


@KINDS.declare(105, nested=(Present,))
@dataclass(frozen=True, slots=True)
class MemberNews:
    """Which balancers are present, and the IPs of the control processes."""

    epoch: int
    number: int
    balancers: tuple[Present, ...]
    cores: tuple[str, ...]


@KINDS.declare(106, nested=(Present,))
@dataclass(frozen=True, slots=True)
class Roll:
    """Who is present below a relay, itself included."""

    node: str
    present: tuple[Present, ...]


@KINDS.declare(107, nested=(UpstreamLoad,))
@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a balancer and all below it put on upstreams; what is not named has none from them."""

    loads: tuple[UpstreamLoad, ...]


@KINDS.declare(108, nested=(UpstreamLoad,))
@dataclass(frozen=True, slots=True)
class LoadNews:
    """The load that all balancers together put on upstreams."""

    epoch: int
    number: int
    loads: tuple[UpstreamLoad, ...]


@KINDS.declare(109, nested=(Holding,))
@dataclass(frozen=True, slots=True)
class HoldingReport:
    """What balancers have seen read, on its way up."""

    holdings: tuple[Holding, ...]


@KINDS.declare(110, nested=(Holding,))
@dataclass(frozen=True, slots=True)
class HoldingNews:
    """The same on its way down, to all."""

    holdings: tuple[Holding, ...]


@KINDS.declare(111)
@dataclass(frozen=True, slots=True)
class Speaks:
    """Said first on a connection: which edition we speak, and the digest of the list that we have."""

    edition: Int32
    digest: bytes


# 112 is `transport.wire.PACKED`: any other message, compressed


@KINDS.declare(113)
@dataclass(frozen=True, slots=True)
class UpstreamChange:
    """What is new in the list since the one with the digest `base`; `entries` as JSON, `gone` by id."""

    epoch: int
    number: int
    base: bytes
    digest: bytes
    entries: bytes
    gone: tuple[str, ...]


@KINDS.declare(114)
@dataclass(frozen=True, slots=True)
class LoadStep:
    """How the load of all has changed since the step `base` (0: all of it).

    `names` take the next places; `figures` are place, calls, tokens; place, calls, tokens; and so on.
    """

    epoch: int
    number: int
    base: int
    names: tuple[str, ...]
    figures: tuple[int, ...]


@KINDS.declare(115)
@dataclass(frozen=True, slots=True)
class LoadReportStep:
    """The same of the load that a balancer and all below it put on upstreams."""

    number: int
    base: int
    names: tuple[str, ...]
    figures: tuple[int, ...]


@KINDS.declare(116, nested=(UpstreamFailures,))
@dataclass(frozen=True, slots=True)
class DoubtReport:
    """What a balancer and all below it hold against upstreams; what is not named is in good standing."""

    doubts: tuple[UpstreamFailures, ...]


@KINDS.declare(117, nested=(UpstreamFailures,))
@dataclass(frozen=True, slots=True)
class DoubtNews:
    """What all balancers together hold against upstreams."""

    epoch: int
    number: int
    doubts: tuple[UpstreamFailures, ...]


@KINDS.declare(119)
@dataclass(frozen=True, slots=True)
class EpochHeard:
    """The newest epoch of which a balancer has news: a leader of an earlier one is not believed."""

    epoch: int


@KINDS.declare(128, nested=(Present,))
@dataclass(frozen=True, slots=True)
class RelayAttach:
    """A control process that does not lead asks for the news, for balancers that can't reach the leader.

    `present`: these balancers and all below them. Like `Attach` otherwise; a `Roll` without anybody ends it.
    """

    identity: str
    ver: int
    list_epoch: int
    list_number: int
    present: tuple[Present, ...]
