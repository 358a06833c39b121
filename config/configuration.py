"""Typed values of the operator's configuration and of the platform's upstream list."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Split:
    """One weighted target of a route: the share `wt` of its requests goes to the service `svc`."""

    svc: str
    wt: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests to `host` (lower case) whose path begins with `path_prefix`; durations in milliseconds.

    `split` takes precedence over `svc` where a route has both. `target_ms` and `gap_aim_ms` are 0 if unset.
    """

    name: str
    host: str
    path_prefix: str
    deadline_ms: float
    route_type: str = "unsafe"  # safe, unsafe or stream
    target_ms: float = 0.0
    prio: int = 0
    svc: str | None = None
    split: tuple[Split, ...] = ()
    tries: int = 1
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0

    def services(self) -> tuple[str, ...]:
        """Returns the services that a request may be sent to."""
        return tuple(s.svc for s in self.split if s.wt > 0) if self.split else (self.svc or "",)

    def is_idempotent(self) -> bool:
        """Returns whether a request may safely run more than once."""
        return self.route_type == "safe" or (self.route_type == "stream" and self.resumable)


@dataclass(frozen=True, slots=True)
class Model:
    """A model that a service runs. `ver` is the required version of its weights, 0 for any."""

    name: str
    ver: int = 0


@dataclass(frozen=True, slots=True)
class Backend:
    """The inference engine behind a service: slots, KV cache capacity in tokens, transfer costs."""

    capacity: float = 1.0
    kv_cap: float = 0.0
    kv_token_bytes: float = 0.0
    net_mbps: float = 0.0
    stride: float = 1.0
    kv_ref_s: float = 5.0
    swap_s: float = 0.0
    models: tuple[Model, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of upstreams.

    For `cold_s` after its start an upstream accepts at most `cold_per_s` requests per second from all
    balancers together; 0 sets no limit.
    """

    name: str
    health_path: str = "/healthz"
    max_conns: float = 256
    proto: str = "h1"
    tls: bool = False
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    backend: Backend = field(default_factory=Backend)


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on request size, header read time and idle time of client connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the complete operator configuration."""

    ver: int
    routes: tuple[Route, ...] = ()
    svcs: tuple[Service, ...] = ()
    limits: ClientLimits = field(default_factory=ClientLimits)


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model loaded by an upstream: its name, weight version and LoRA adapters."""

    name: str
    ver: int = 0
    loras: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream of the platform's list. `cold_left_ms` is the remaining warm-up time."""

    id: str
    svc: str
    addr: str
    zone: str = ""
    ver: str = ""
    capacity: float = 1.0
    state: str = "up"  # up or draining
    cold_left_ms: float = 0.0
    phase: str = ""  # prefill or decode; empty for services without separate phases
    models: tuple[LoadedModel, ...] = ()
