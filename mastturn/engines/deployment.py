"""A deployment's sheet (a site file, TOML): engines, kinds of request, traffic, prices, days.

Spans are in milliseconds unless a name ends in `_s`. Fields that nothing here models are left out.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from mastturn.files import LabError

RECOVERY_S = 16.0  # traffic goes on so long after a closing


class Size(msgspec.Struct, frozen=True):
    """A log-normal size: `spread` is its deviation over its mean; cut off at `max`."""

    mean: float
    spread: float = 0.0
    max: float = 0.0


class Part(msgspec.Struct, frozen=True):
    """One shared part of prompts: `things` different ones, of which some are asked for more often."""

    tokens: Size
    things: int = 1
    skew: float = 2.0


class Stream(msgspec.Struct, frozen=True):
    """What a kind of request reads and writes; a piece is an event of a stream."""

    pieces: Size
    prompt_tokens: Size
    gap_aim_ms: float = 300.0
    resume: bool = False
    piece_bytes: Size = Size(90.0)
    chain: tuple[Part, ...] = ()


class RequestClass(msgspec.Struct, frozen=True):
    """A kind of request."""

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
    """An engine: how long a step takes, how fast it reads, what it remembers and what moves cost."""

    batch: int
    step_ms: float
    step_ms_per_slot: float
    context_ms_per_k: float  # for each 1,000 tokens that running requests hold
    prefill_tokens_per_ms: float
    pairs_ms_per_m: float  # for each million pairs of a token that is read and one before it
    first_ms: float  # from a prompt's last piece to its answer
    stride: int  # tokens in an event of a stream
    chunk: int
    block: int
    kv_tokens: int
    kv_bytes: float  # of a token
    link_mbps: float
    setup_ms: float  # of a move
    prefill: float  # share of the upstreams that read prompts
    handle_s: float
    switch_s: float


class Servers(msgspec.Struct, frozen=True):
    """Upstreams of a zone."""

    zone: str
    count: int


class Service(msgspec.Struct, frozen=True):
    """A pool of upstreams, all of one kind but for their speeds (a factor of their times)."""

    name: str
    servers: tuple[Servers, ...]
    slots: int
    llm: Llm
    queue: int = 0
    conn_cap: int = 1000
    handshake_ms: float = 0.0
    speeds: tuple[float, ...] = ()


class Machines(msgspec.Struct, frozen=True):
    """Machines of a kind in one zone; `front` ones are balancers."""

    count: int
    zone: str
    kind: str = msgspec.field(name="class")


class Shape(msgspec.Struct, frozen=True):
    """How a zone's traffic swings; requests come in clumps of so many in the mean."""

    swing: float = 0.0
    period_s: float = 10.0
    phase: float = 0.0
    clump: float = 1.0


class Traffic(msgspec.Struct, frozen=True):
    """What the clients of a zone ask for."""

    zone: str
    mix: dict[str, float]
    per_s: float
    clients: int
    shape: Shape = Shape()


class Net(msgspec.Struct, frozen=True):
    """One way, in milliseconds."""

    in_zone_ms: float
    cross_zone_ms: float
    client_ms: float
    cross_region_ms: float = 0.0


class Prices(msgspec.Struct, frozen=True):
    """In units of worth."""

    machine_s: float = 0.0
    memory_gb_s: float = 0.0
    cross_zone_gb: float = 0.0
    handshake: float = 0.0
    late_refusal: float = 0.0
    cloud_call: float = 0.0
    kv_gb: float = 0.0
    read_waste: float = 0.0  # of 1,000 tokens
    order: float = 0.0
    read: float = 0.0  # of 1,000 tokens


class Goal(msgspec.Struct, frozen=True):
    """How the parts of the worth weigh."""

    mean: float = 1.0
    window: float = 0.0
    kind: float = msgspec.field(default=0.0, name="class")
    zone: float = 0.0


class Trouble(msgspec.Struct, frozen=True):
    """Something that goes wrong; `at` and `for_s` in seconds of traffic."""

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
    """All machines of the system are stopped at the end, and traffic goes on."""

    kind: str
    down_s: float = 1.0


class Day(msgspec.Struct, frozen=True):
    """One day: its troubles, and its traffic where that differs."""

    name: str
    seed: int = 1
    slot: str = ""
    traffic: tuple[Traffic, ...] = ()
    faults: tuple[Trouble, ...] = ()
    plan: tuple[Trouble, ...] = ()
    closing: Closing | None = None


class Discovery(msgspec.Struct, frozen=True):
    """How late the platform's list is."""

    lag_ms: float = 800.0


class Bounds(msgspec.Struct, frozen=True):
    """What the balancers share."""

    budget_slack: float = 50.0
    drain_ms: float = 3000.0


class Sheet(msgspec.Struct, frozen=True):
    """A deployment."""

    name: str
    services: tuple[Service, ...]
    classes: tuple[RequestClass, ...]
    traffic: tuple[Traffic, ...]
    net: Net
    machines: tuple[Machines, ...]
    thin: float = 1.0  # traffic and upstreams are played at this share
    lead_s: float = 12.0
    length_s: float = 34.0
    prices: Prices = Prices()
    goal: Goal = Goal()
    discovery: Discovery = Discovery()
    bounds: Bounds = Bounds()
    days: tuple[Day, ...] = msgspec.field(default=(), name="day")

    def length(self, day: Day) -> float:
        """Seconds of traffic on a day."""
        return self.length_s + (RECOVERY_S if day.closing is not None else 0.0)

    @property
    def service(self) -> Service:
        """The one that is emulated."""
        return self.services[0]

    def day(self, name: str) -> Day:
        """A day by its name; raises LabError."""
        for day in self.days:
            if day.name == name:
                return day
        raise LabError(f"no day {name!r}: name one of {', '.join(d.name for d in self.days)}")

    def upstreams(self) -> list[tuple[str, float, str]]:
        """Zone, speed and part of each upstream, as they are played.

        The parts are spread over the zones in turn, so that no zone has only one of them where it has more.
        """
        placed: list[str] = []
        exact, llm = 0.0, self.service.llm
        for group in self.service.servers:
            exact += group.count * self.thin
            placed += [group.zone] * (int(exact + 0.5) - len(placed))
        speeds = self.service.speeds or (1.0,)
        return [
            (zone, speeds[i % len(speeds)], "prefill" if _steps(i, llm.prefill) else "decode")
            for i, zone in enumerate(placed)
        ]


def _steps(place: int, share: float) -> bool:
    return -(-(place + 1) * share // 1) > -(-place * share // 1)


def load(path: Path) -> Sheet:
    """Read a sheet; raises LabError."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Sheet)
    except OSError as error:
        raise LabError(f"{path}: {error.strerror}; name a site file") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise LabError(f"{path} is no sheet of split engines: {error}") from error
