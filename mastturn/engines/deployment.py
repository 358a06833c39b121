"""Schema of a deployment file (a site, TOML): engines, request classes, traffic, prices, days.

Durations are in milliseconds unless a name ends in `_s`. Fields that the emulator does not model are omitted.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from mastturn.files import LabError

RECOVERY_S = 16.0  # traffic continues this long after a shutdown


class Size(msgspec.Struct, frozen=True):
    """A log-normal size: `spread` is the standard deviation over the mean; capped at `max`."""

    mean: float
    spread: float = 0.0
    max: float = 0.0


class Part(msgspec.Struct, frozen=True):
    """A shared part of prompts: `things` variants, with popularity by Zipf's law of exponent `skew`."""

    tokens: Size
    things: int = 1
    skew: float = 2.0


class Stream(msgspec.Struct, frozen=True):
    """Prompt and answer of a request class; a piece is one event of the stream."""

    pieces: Size
    prompt_tokens: Size
    gap_aim_ms: float = 300.0
    resume: bool = False
    piece_bytes: Size = Size(90.0)
    chain: tuple[Part, ...] = ()


class RequestClass(msgspec.Struct, frozen=True):
    """A request class."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    stream: Stream
    late_worth: float = 0.0
    priority: int = 0
    retries: int = 0
    attempts: int = 1
    timeout_ms: float = 0.0
    req_bytes: Size = Size(1000.0)


class Llm(msgspec.Struct, frozen=True):
    """Engine parameters: step times, prefill speed, KV cache and transfers."""

    batch: int
    step_ms: float
    step_ms_per_slot: float
    context_ms_per_k: float  # for each 1,000 tokens of context of running requests
    prefill_tokens_per_ms: float
    pairs_ms_per_m: float  # for each million pairs of a prefilled token and an earlier one
    first_ms: float  # from a prompt's last chunk to its answer
    stride: int  # tokens in an event of a stream
    chunk: int
    block: int
    kv_tokens: int
    kv_bytes: float  # per token
    link_mbps: float
    setup_ms: float  # per transfer
    prefill: float  # share of prefill upstreams
    handle_s: float
    switch_s: float


class Servers(msgspec.Struct, frozen=True):
    """Number of upstreams in a zone."""

    zone: str
    count: int


class Service(msgspec.Struct, frozen=True):
    """A pool of upstreams that differ only in speed (a factor on their times)."""

    name: str
    servers: tuple[Servers, ...]
    slots: int
    llm: Llm
    queue: int = 0
    conn_cap: int = 1000
    handshake_ms: float = 0.0
    speeds: tuple[float, ...] = ()


class Machines(msgspec.Struct, frozen=True):
    """Machines of a class in one zone; balancers run on the class `front`."""

    count: int
    zone: str
    kind: str = msgspec.field(name="class")


class Shape(msgspec.Struct, frozen=True):
    """Periodic shape of a zone's traffic; `clump` is the mean number of simultaneous requests."""

    swing: float = 0.0
    period_s: float = 10.0
    phase: float = 0.0
    clump: float = 1.0


class Traffic(msgspec.Struct, frozen=True):
    """Traffic of a zone: request classes by weight, rate and number of clients."""

    zone: str
    mix: dict[str, float]
    per_s: float
    clients: int
    shape: Shape = Shape()


class Net(msgspec.Struct, frozen=True):
    """One-way network latencies, in milliseconds."""

    in_zone_ms: float
    cross_zone_ms: float
    client_ms: float
    cross_region_ms: float = 0.0


class Prices(msgspec.Struct, frozen=True):
    """Prices, in units of worth."""

    machine_s: float = 0.0
    memory_gb_s: float = 0.0
    cross_zone_gb: float = 0.0
    handshake: float = 0.0
    late_refusal: float = 0.0
    cloud_call: float = 0.0
    kv_gb: float = 0.0
    read_waste: float = 0.0  # per 1,000 tokens
    order: float = 0.0
    read: float = 0.0  # per 1,000 tokens


class Goal(msgspec.Struct, frozen=True):
    """Weights of the parts of a day's worth."""

    mean: float = 1.0
    window: float = 0.0
    kind: float = msgspec.field(default=0.0, name="class")
    zone: float = 0.0


class Fault(msgspec.Struct, frozen=True):
    """An injected fault; `at` and `for_s` are in seconds of traffic."""

    at: float
    kind: str
    for_s: float = 5.0
    share: float | None = None
    count: int | None = None
    x: float | None = None
    how: str = ""
    on: str = "front"
    kind_of_request: str = msgspec.field(default="", name="class")
    gap_s: float = 1.0
    zone: str = ""


class Closing(msgspec.Struct, frozen=True):
    """Shutdown of all machines of the system at the end of a day, while traffic continues."""

    kind: str
    down_s: float = 1.0


class Day(msgspec.Struct, frozen=True):
    """One day: its faults, and its traffic if it differs from the deployment's."""

    name: str
    seed: int = 1
    slot: str = ""
    traffic: tuple[Traffic, ...] = ()
    faults: tuple[Fault, ...] = ()
    plan: tuple[Fault, ...] = ()
    closing: Closing | None = None


class Discovery(msgspec.Struct, frozen=True):
    """Lag of the platform's list."""

    lag_ms: float = 800.0


class Bounds(msgspec.Struct, frozen=True):
    """Limits shared by the balancers."""

    budget_slack: float = 50.0
    drain_ms: float = 3000.0


class Deployment(msgspec.Struct, frozen=True):
    """A deployment file."""

    name: str
    services: tuple[Service, ...]
    classes: tuple[RequestClass, ...]
    traffic: tuple[Traffic, ...]
    net: Net
    machines: tuple[Machines, ...]
    thin: float = 1.0  # scale of traffic and upstreams
    lead_s: float = 12.0
    length_s: float = 34.0
    prices: Prices = Prices()
    goal: Goal = Goal()
    discovery: Discovery = Discovery()
    bounds: Bounds = Bounds()
    days: tuple[Day, ...] = msgspec.field(default=(), name="day")

    def length(self, day: Day) -> float:
        """Duration of a day's traffic, in seconds."""
        return self.length_s + (RECOVERY_S if day.closing is not None else 0.0)

    @property
    def service(self) -> Service:
        """The emulated service."""
        return self.services[0]

    def day(self, name: str) -> Day:
        """Return the day of a name; raises LabError if there is none."""
        for day in self.days:
            if day.name == name:
                return day
        raise LabError(f"no day {name!r}: name one of {', '.join(d.name for d in self.days)}")

    def upstreams(self) -> list[tuple[str, float, str]]:
        """Zone, speed and phase of each emulated upstream.

        Phases are assigned round robin over the zones, so that a zone with several upstreams has both.
        """
        zones: list[str] = []
        cumulative, llm = 0.0, self.service.llm
        for group in self.service.servers:
            cumulative += group.count * self.thin
            zones += [group.zone] * (int(cumulative + 0.5) - len(zones))
        speeds = self.service.speeds or (1.0,)
        return [
            (zone, speeds[i % len(speeds)], "prefill" if _is_prefill(i, llm.prefill) else "decode")
            for i, zone in enumerate(zones)
        ]


def _is_prefill(index: int, share: float) -> bool:
    return -(-(index + 1) * share // 1) > -(-index * share // 1)


def load(path: Path) -> Deployment:
    """Read a deployment file; raises LabError."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Deployment)
    except OSError as error:
        raise LabError(f"{path}: {error.strerror}; name a site file") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise LabError(f"{path} is no sheet of split engines: {error}") from error
