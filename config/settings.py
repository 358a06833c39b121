"""Parses and validates the settings file of a process (YAML, path in `MASTTURN_CONFIG`)."""

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
MAX_TEXT = 256 * 1024  # characters of the file
MAX_LEVELS = 5_000  # characters that may open a nesting level


@dataclass(frozen=True, slots=True)
class Listen:
    """Addresses on which this process accepts calls from outside, as `host:port`."""

    http: str | None = None
    readyz: str | None = None
    ctl: str | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Machine resources available to this process."""

    cpu_frac: float = 1.0
    ncpu: int = 1
    ram_mb: float = 256.0
    max_fds: int = 1024
    net_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Faults:
    """Number of simultaneous failures that the system tolerates without breaking a rule."""

    nodes: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """The numeric bounds of the rules; durations are in the unit that their names end with."""

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
    """Address of the platform's upstream list, and the request rate allowed to all processes together."""

    addr: str
    rate_per_s: float = 1.0
    max_lag_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process: its identity, addresses, resources and bounds."""

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
    # By role; the command line's level applies to the others.
    log_levels: dict[str, str] = field(default_factory=dict)
    readyz_port: int = 0  # balancers' readiness port, used by a control process's dashboard; 0 if unknown

    @property
    def control_port(self) -> int:
        """The port on which control processes listen for peers; the same on all machines of a deployment."""
        return self.port_range[0]

    @property
    def seed_ips(self) -> tuple[str, ...]:
        """The IP addresses of `seed_addrs`."""
        return tuple(parse_address(seed)[0] for seed in self.seed_addrs)

    @property
    def balancer_port(self) -> int:
        """The port on which balancers listen for peers: a control process may share the machine."""
        return self.port_range[1]


def parse_address(text: str) -> Address:
    """Splits `host:port` into a pair; raises SettingsError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{text!r} is not an address", "write it as IP:PORT, such as 10.1.0.13:8161")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class _WrongType:
    """Wraps a value of the wrong type, so that dacite rejects it and reports the field's path."""

    value: object


def _to_float(value: object) -> object:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _WrongType(value)
    try:
        number = float(value)
    except OverflowError:
        return _WrongType(value)
    return number if math.isfinite(number) else _WrongType(value)


def _to_int(value: object) -> object:
    return value if isinstance(value, int) and not isinstance(value, bool) else _WrongType(value)


def _to_port_range(value: object) -> object:
    return tuple(value) if isinstance(value, list) else _WrongType(value)


_PORT_RANGE_REMEDY = "give the first and the last port"
_TYPES = dacite.Config(type_hooks={float: _to_float, int: _to_int, tuple[int, int]: _to_port_range})
_EXPECTED: dict[Any, str] = {
    str: "make it a string",
    str | None: "make it a string",
    int: "make it an integer",
    float: "make it a number",
    bool: "make it true or false",
    list[str]: "make it a list of strings",
    tuple[int, int]: _PORT_RANGE_REMEDY,
    dict[str, str]: "make it an object with string values",
}


def _shown(value: object) -> str:
    """Returns a value for use in a message, truncated to 60 characters.

    Python does not format integers of more than 4,300 digits.
    """
    try:
        text = repr(value)
    except ValueError:
        return "a number with too many digits"
    return text if len(text) <= 60 else text[:60] + "..."


def _without_nulls(raw: dict[Any, Any]) -> dict[Any, Any]:
    """Returns a mapping without its null fields, which count as missing."""
    return {k: _without_nulls(v) if isinstance(v, dict) else v for k, v in raw.items() if v is not None}


def _typed(raw: dict[Any, Any]) -> Settings:
    try:
        return dacite.from_dict(Settings, _without_nulls(raw), _TYPES)
    except dacite.MissingValueError as error:
        path = error.field_path or ""
        raise SettingsError(f"{path} is missing", f"add {path.rpartition('.')[2]}") from None
    except dacite.WrongTypeError as error:
        value = error.value.value if isinstance(error.value, _WrongType) else error.value
        shown = _shown(value)
        remedy = _EXPECTED.get(error.field_type, "make it an object")
        raise SettingsError(f"{error.field_path} is {shown}", remedy) from None
    except (dacite.DaciteError, TypeError, ValueError) as error:
        raise SettingsError(
            f"the settings can't be parsed: {error.__class__.__name__}",
            "give the fields values of the right types",
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
        raise SettingsError(f"port_range is {_shown(first)} to {_shown(last)}", _PORT_RANGE_REMEDY)
    if settings.cloud_api.rate_per_s <= 0:
        raise SettingsError(f"cloud_api.rate_per_s is {settings.cloud_api.rate_per_s:g}", "make it above 0")
    if not 0 <= settings.readyz_port < 65536:
        raise SettingsError(
            f"readyz_port is {_shown(settings.readyz_port)}",
            "set it to the port of the balancers' readiness endpoint",
        )
    if settings.faults.nodes < 0:
        raise SettingsError(f"faults.nodes is {_shown(settings.faults.nodes)}", "make it 0 or more")


def _check_size(text: str) -> None:
    """Raises SettingsError for text that would crash the YAML library: 20,000 nesting levels do."""
    if len(text) > MAX_TEXT or sum(map(text.count, "[{-?")) > MAX_LEVELS:
        raise SettingsError(
            f"the settings are longer than {MAX_TEXT} characters, or nested too deeply",
            "provide the settings of one machine only",
        )


def _reject_aliases(raw: object) -> None:
    """Raises SettingsError for YAML aliases: a few nested ones expand to more nodes than can be visited."""
    seen, pending = set[int](), [raw]
    while pending:
        value = pending.pop()
        if not isinstance(value, dict | list):
            continue
        if id(value) in seen:
            raise SettingsError("the settings use a YAML alias", "write the value out in each place")
        seen.add(id(value))
        pending.extend(value.values() if isinstance(value, dict) else value)


def parse(text: str) -> Settings:
    """Parses the text of a settings file; raises SettingsError naming the field and the remedy."""
    _check_size(text)
    try:
        raw = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise SettingsError(
            f"the settings are not valid YAML ({error.__class__.__name__})", "provide a complete file"
        ) from None
    if not isinstance(raw, dict):
        raise SettingsError("the settings have no fields", "write them as `name: value` lines")
    _reject_aliases(raw)
    settings = _typed(raw)
    _check(settings)
    return settings


def read() -> Settings:
    """Reads the settings of this process from the file that `MASTTURN_CONFIG` names; raises SettingsError."""
    path = os.environ.get(VARIABLE)
    if not path:
        raise SettingsError(f"{VARIABLE} is not set", "set it to the path of the settings file")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} can't be read ({error})", f"set {VARIABLE} to the path of a readable file"
        ) from None
    return parse(text)
