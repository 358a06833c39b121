"""Messages between the control plane, the relays and the balancers."""

from __future__ import annotations

from dataclasses import dataclass

from transport.schema import Int32
from transport.wire import MessageKinds

KINDS = MessageKinds()


@dataclass(frozen=True, slots=True)
class PresentBalancer:
    """A balancer that is present."""

    node: str
    ip: str
    zone: str


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The outstanding calls at an upstream and their prompt tokens that are still to be read."""

    upstream: str
    calls: Int32
    tokens: Int32


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """An upstream holds the shared parts of prompts on a subject."""

    subject: bytes
    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamFailures:
    """How many balancers of a zone have recently seen how many failures of an upstream."""

    upstream: str
    zone: str
    balancers: Int32
    failures: Int32


@KINDS.declare(100)
@dataclass(frozen=True, slots=True)
class Attach:
    """A balancer asks for all updates from now on, and says which it already has."""

    node: str
    ip: str
    zone: str
    ver: int
    list_epoch: int
    list_number: int


@KINDS.declare(101)
@dataclass(frozen=True, slots=True)
class LeaderHeartbeat:
    """Heartbeat of the control plane, with the number of balancers (0 if unknown)."""

    epoch: int
    number: int
    balancers: Int32


@KINDS.declare(102)
@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """A configuration that was acknowledged or is committed for good."""

    ver: int
    body: bytes


@KINDS.declare(103)
@dataclass(frozen=True, slots=True)
class UpstreamListUpdate:
    """The platform's complete list, as JSON."""

    epoch: int
    number: int
    page: bytes


@KINDS.declare(104)
@dataclass(frozen=True, slots=True)
class Redirect:
    """A redirect: try these IPs, in order."""

    ips: tuple[str, ...]


@KINDS.declare(105, nested=(PresentBalancer,))
@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """The present balancers, and the IPs of the control processes."""

    epoch: int
    number: int
    balancers: tuple[PresentBalancer, ...]
    cores: tuple[str, ...]


@KINDS.declare(106, nested=(PresentBalancer,))
@dataclass(frozen=True, slots=True)
class PresenceReport:
    """Who is present below a relay, including itself."""

    node: str
    present: tuple[PresentBalancer, ...]


@KINDS.declare(107, nested=(UpstreamLoad,))
@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a balancer and all below it; unlisted upstreams have none."""

    loads: tuple[UpstreamLoad, ...]


@KINDS.declare(108, nested=(UpstreamLoad,))
@dataclass(frozen=True, slots=True)
class LoadUpdate:
    """The load of all balancers together."""

    epoch: int
    number: int
    loads: tuple[UpstreamLoad, ...]


@KINDS.declare(109, nested=(CachedPrefix,))
@dataclass(frozen=True, slots=True)
class CachedPrefixReport:
    """Holdings observed by balancers, on their way up."""

    holdings: tuple[CachedPrefix, ...]


@KINDS.declare(110, nested=(CachedPrefix,))
@dataclass(frozen=True, slots=True)
class CachedPrefixUpdate:
    """Holdings on their way down, to all balancers."""

    holdings: tuple[CachedPrefix, ...]


@KINDS.declare(111)
@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a connection: the sender's edition and the digest of its list."""

    edition: Int32
    digest: bytes


# 112 is `transport.wire.COMPRESSED_KIND`: any other message, compressed


@KINDS.declare(113)
@dataclass(frozen=True, slots=True)
class UpstreamChange:
    """The difference from the list with the digest `base`: changed `entries` as JSON, ids that are `gone`."""

    epoch: int
    number: int
    base: bytes
    digest: bytes
    entries: bytes
    gone: tuple[str, ...]


@KINDS.declare(114)
@dataclass(frozen=True, slots=True)
class LoadStep:
    """The change of the load of all balancers since the step `base` (0: the complete load).

    `names` take the next indexes; `figures` are index, calls and tokens, repeated.
    """

    epoch: int
    number: int
    base: int
    names: tuple[str, ...]
    figures: tuple[int, ...]


@KINDS.declare(115)
@dataclass(frozen=True, slots=True)
class LoadReportStep:
    """The change of the load of a balancer and all below it, like `LoadStep`."""

    number: int
    base: int
    names: tuple[str, ...]
    figures: tuple[int, ...]


@KINDS.declare(116, nested=(UpstreamFailures,))
@dataclass(frozen=True, slots=True)
class FailureReport:
    """The failures seen by a balancer and all below it; unlisted upstreams have none."""

    doubts: tuple[UpstreamFailures, ...]


@KINDS.declare(117, nested=(UpstreamFailures,))
@dataclass(frozen=True, slots=True)
class FailureUpdate:
    """The failures seen by all balancers together."""

    epoch: int
    number: int
    doubts: tuple[UpstreamFailures, ...]


@KINDS.declare(119)
@dataclass(frozen=True, slots=True)
class EpochNotice:
    """The latest epoch that a balancer has seen: updates of a leader with an earlier one are ignored."""

    epoch: int


@KINDS.declare(128, nested=(PresentBalancer,))
@dataclass(frozen=True, slots=True)
class RelayAttach:
    """A control process that doesn't lead asks for updates, for balancers that can't reach the leader.

    `present`: these balancers and all below them. Otherwise like `Attach`; a `PresenceReport` without
    balancers ends it.
    """

    identity: str
    ver: int
    list_epoch: int
    list_number: int
    present: tuple[PresentBalancer, ...]
