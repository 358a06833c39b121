"""The settings file of a process (YAML, `MASTTURN_CONFIG`): fields that nobody knows are skipped."""

from __future__ import annotations

import math
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import dacite
import yaml

from config.errors import SettingsError

Address = tuple[str, int]
VARIABLE = "MASTTURN_CONFIG"
MOST_TEXT = 256 * 1024  # characters of the file
MOST_LEVELS = 5_000  # of signs that may begin a level


@dataclass(frozen=True, slots=True)
class Listen:
    """Where this process is called from outside, as `host:port`."""

    http: str | None = None
    readyz: str | None = None
    ctl: str | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """What the machine gives this process."""

    cpu_frac: float = 1.0
    ncpu: int = 1
    ram_mb: float = 256.0
    max_fds: int = 1024
    net_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Faults:
    """What the system may lose at once and still keep all rules."""

    nodes: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules: spans in the unit that their names end with."""

    seed_lag_s: float = 3.0
    addr_reuse_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    sync_s: float = 4.0
    drain_ms: float = 3000.0
    grace_s: float = 8.0
    apply_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    merge_ms: float = 3000.0
    recovery_s: float = 12.0
    transit_ms: float = 120.0
    fenced: bool = False
    lease_ms: float = 3000.0
    thaw_ms: float = 300.0


@dataclass(frozen=True, slots=True)
class CloudApi:
    """Where the platform's list of upstreams is, and how often all of us together may ask for it."""

    addr: str
    rate_per_s: float = 1.0
    max_lag_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a process is told of itself and its surroundings."""

    node: str
    ip: str
    zone: str
    machine_class: str
    port_range: tuple[int, int]
    cloud_api: CloudApi
    role: str = ""
    region: str = ""
    zones: dict[str, str] = field(default_factory=dict)
    serves: list[str] = field(default_factory=list)
    listen: Listen = field(default_factory=Listen)
    seed_addrs: list[str] = field(default_factory=list)
    bootstrap: bool = False
    quorum_member: bool = False
    limits: Limits = field(default_factory=Limits)
    data_dir: str | None = None
    faults: Faults = field(default_factory=Faults)
    bounds: Bounds = field(default_factory=Bounds)
    log_levels: dict[str, str] = field(default_factory=dict)  # by role; else the command line's
    readyz_port: int = 0  # of the balancers' readiness, for the dashboard of a control process; 0: not known

    @property
    def control_port(self) -> int:
        """The port on which control processes hear the others; the same on all machines of a day."""
        return self.port_range[0]

    @property
    def seed_ips(self) -> tuple[str, ...]:
        """The machines of `seed_addrs`."""
        return tuple(parse_address(seed)[0] for seed in self.seed_addrs)

    @property
    def balancer_port(self) -> int:
        """The port on which balancers hear the others: a control process may share the machine."""
        return self.port_range[1]


def parse_address(text: str) -> Address:
    """`host:port` as a pair; raises SettingsError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{text!r} is no address", "write it as IP:PORT, such as 10.1.0.13:8161")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class _Unfit:
    """A value of the wrong type, which dacite then refuses with the field's path."""

    value: object


def _to_float(value: object) -> object:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _Unfit(value)
    try:
        found = float(value)
    except OverflowError:
        return _Unfit(value)
    return found if math.isfinite(found) else _Unfit(value)


def _to_int(value: object) -> object:
    return value if isinstance(value, int) and not isinstance(value, bool) else _Unfit(value)


def _to_ports(value: object) -> object:
    return tuple(value) if isinstance(value, list) else _Unfit(value)


_PORTS = "give the first and the last port"
_TYPES = dacite.Config(type_hooks={float: _to_float, int: _to_int, tuple[int, int]: _to_ports})
_EXPECTED: dict[Any, str] = {
    str: "make it a text",
    str | None: "make it a text",
    int: "make it a whole number",
    float: "make it a number",
    bool: "make it true or false",
    list[str]: "make it a list of texts",
    tuple[int, int]: _PORTS,
    dict[str, str]: "make it an object of texts",
}


def _shown(value: object) -> str:
    """A value for a message, cut off where it is long; numbers of thousands of digits can't be written."""
    try:
        text = repr(value)
    except ValueError:
        return "a number without end"
    return text if len(text) <= 60 else text[:60] + "..."


def _without_nulls(raw: dict[Any, Any]) -> dict[Any, Any]:
    """A field that is null counts as missing."""
    return {k: _without_nulls(v) if isinstance(v, dict) else v for k, v in raw.items() if v is not None}


def _typed(raw: dict[Any, Any]) -> Settings:
    try:
        return dacite.from_dict(Settings, _without_nulls(raw), _TYPES)
    except dacite.MissingValueError as error:
        path = error.field_path or ""
        raise SettingsError(f"there is no {path}", f"add {path.rpartition('.')[2]}") from None
    except dacite.WrongTypeError as error:
        value = error.value.value if isinstance(error.value, _Unfit) else error.value
        shown = _shown(value)
        remedy = _EXPECTED.get(error.field_type, "make it an object")
        raise SettingsError(f"{error.field_path} is {shown}", remedy) from None
    except (dacite.DaciteError, TypeError, ValueError) as error:
        raise SettingsError(
            f"the settings can't be used: {error.__class__.__name__}", "give the fields values of their type"
        ) from None


def _check(settings: Settings) -> None:
    listen = settings.listen
    addresses = [
        ("listen.http", listen.http),
        ("listen.readyz", listen.readyz),
        ("listen.ctl", listen.ctl),
        ("cloud_api.addr", settings.cloud_api.addr),
        *(("seed_addrs", seed) for seed in settings.seed_addrs),
    ]
    for name, address in addresses:
        if address is not None:
            try:
                parse_address(address)
            except SettingsError as error:
                raise SettingsError(f"{name}: {error.problem}", error.remedy) from None
    first, last = settings.port_range
    if not 0 < first <= last < 65536:
        raise SettingsError(f"port_range is {_shown(first)} to {_shown(last)}", _PORTS)
    if settings.cloud_api.rate_per_s <= 0:
        raise SettingsError(f"cloud_api.rate_per_s is {settings.cloud_api.rate_per_s:g}", "make it above 0")
    if not 0 <= settings.readyz_port < 65536:
        raise SettingsError(
            f"readyz_port is {_shown(settings.readyz_port)}", "give the port of the balancers' readiness"
        )
    if settings.faults.nodes < 0:
        raise SettingsError(f"faults.nodes is {_shown(settings.faults.nodes)}", "make it 0 or more")


def _bound(text: str) -> None:
    """Raise SettingsError for what the YAML library can't take: 20,000 levels end the process."""
    if len(text) > MOST_TEXT or sum(map(text.count, "[{-?")) > MOST_LEVELS:
        raise SettingsError(
            f"the settings are longer than {MOST_TEXT} characters, or nested without end",
            "write the settings of one machine",
        )


def _see_no_part_twice(raw: object) -> None:
    """Raise SettingsError where an alias names a part again: few lines then hold more than can be walked."""
    seen, left = set[int](), [raw]
    while left:
        value = left.pop()
        if not isinstance(value, dict | list):
            continue
        if id(value) in seen:
            raise SettingsError("the settings name a part again by an alias", "write it out where it belongs")
        seen.add(id(value))
        left.extend(value.values() if isinstance(value, dict) else value)


def parse(text: str) -> Settings:
    """The settings that a file's text holds; raises SettingsError that names the field and the remedy."""
    _bound(text)
    try:
        raw = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise SettingsError(
            f"the settings are no YAML ({error.__class__.__name__})", "write the file whole"
        ) from None
    if not isinstance(raw, dict):
        raise SettingsError("the settings hold no fields", "write them as `name: value` lines")
    _see_no_part_twice(raw)
    settings = _typed(raw)
    _check(settings)
    return settings


def read() -> Settings:
    """The settings of this process; raises SettingsError."""
    path = os.environ.get(VARIABLE)
    if not path:
        raise SettingsError(f"{VARIABLE} is not set", "let it name the settings file")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} can't be read ({error})", f"let {VARIABLE} name a readable file"
        ) from None
    return parse(text)
