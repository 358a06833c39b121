"""Parses and validates operator configurations and pages of the platform's upstream list.

Invalid input raises an error that names the field and the remedy; no other exception is raised, whatever
the bytes are. Unknown fields are ignored in the typed values and kept in the body, which is stored as sent.
"""

from __future__ import annotations

import hashlib
import json
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any, Protocol, TypeVar

import dacite

from config.configuration import (
    Backend,
    ClientLimits,
    Configuration,
    LoadedModel,
    Model,
    Route,
    Service,
    Split,
    Upstream,
)
from config.errors import InvalidConfigurationError, SettingsError, WireError
from config.settings import parse_address

MAX_NESTING = 32
MAX_VERSION = 2**63 - 1
ROUTE_TYPES = ("safe", "unsafe", "stream")
STATES = ("up", "draining")
T = TypeVar("T", Route, Service, ClientLimits)


@dataclass(frozen=True, slots=True)
class CheckedConfiguration:
    """A valid configuration, its body as it was sent, and the digest of the body's canonical form."""

    configuration: Configuration
    body: bytes
    digest: str


class ConfigurationReader:
    """Parses successive configurations and reuses the values of unchanged items."""

    def __init__(self) -> None:
        # Items of the last configuration, by type and by hash of their content.
        self._cached_items: dict[type, dict[bytes, Any]] = {}

    def check(self, body: bytes) -> CheckedConfiguration:
        """Parses a body once into its configuration and digest; raises InvalidConfigurationError."""
        raw = read_object(body)
        return CheckedConfiguration(_configuration(raw, self._read_items), body, digest_of(raw))

    def parse(self, body: bytes) -> Configuration:
        """Returns the configuration in a body; raises InvalidConfigurationError.

        A field with a default may be missing or null. Hosts are returned in lower case. Durations are in the
        unit that their names end with.
        """
        return _configuration(read_object(body), self._read_items)

    def _read_items(self, kind: type[T], raw: Mapping[str, Any], name: str) -> tuple[T, ...]:
        known, read = self._cached_items.get(kind, {}), dict[bytes, T]()
        found = []
        for at, entry in enumerate(_list_of(raw, name)):
            text = repr(entry).encode("utf-8", "surrogatepass")  # repr distinguishes 1, 1.0 and true
            key = hashlib.blake2b(text, digest_size=16).digest()
            value = known.get(key) or _typed(kind, entry, f"{name}[{at}]")
            read[key] = value
            found.append(value)
        self._cached_items[kind] = read
        return tuple(found)


def check(body: bytes) -> CheckedConfiguration:
    """As `ConfigurationReader.check`, without a cache."""
    return ConfigurationReader().check(body)


def parse_configuration(body: bytes) -> Configuration:
    """As `ConfigurationReader.parse`, without a cache."""
    return ConfigurationReader().parse(body)


def canonical(body: bytes) -> bytes:
    """Returns the canonical JSON of a body, independent of its spacing, escapes and order of keys.

    The order of lists and the form of a number (2 or 2.0) are significant. Raises InvalidConfigurationError
    for bytes that are not a JSON object; the object is not validated as a configuration.
    """
    return _canonical(read_object(body))


def digest(body: bytes) -> str:
    """Returns the hex SHA-256 of the canonical form; raises InvalidConfigurationError as `canonical` does."""
    return digest_of(read_object(body))


# --- JSON


def read_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a body; raises InvalidConfigurationError."""
    try:
        raw = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_unique_keys,
            parse_float=_parse_finite,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError:
        raise InvalidConfigurationError("the body is not valid UTF-8", "send JSON in UTF-8") from None
    except json.JSONDecodeError as error:
        raise InvalidConfigurationError(
            f"the body is not complete JSON ({error.msg} at {error.pos} of {len(body)} bytes)",
            "send the complete configuration",
        ) from None
    except RecursionError:
        raise _nesting_error() from None
    except ValueError:  # an integer beyond Python's limit of 4,300 digits
        raise InvalidConfigurationError("a number of the body is too long", "send smaller numbers") from None
    if not isinstance(raw, dict):
        raise InvalidConfigurationError(
            f"the body is {json_type(raw)}, not an object", 'send {"ver":...,"routes":[...],"svcs":[...]}'
        )
    _check_nesting(raw)
    return raw


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        duplicate = next(key for key, count in Counter(key for key, _ in pairs).items() if count > 1)
        raise InvalidConfigurationError(
            f"an object has the key {shown(duplicate)} twice", "give each key once"
        )
    return found


def _parse_finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise InvalidConfigurationError(f"the number {text[:20]} is too large", "send numbers below 1e308")
    return value


def _reject_constant(text: str) -> float:
    raise InvalidConfigurationError(f"{text} is not a JSON number", "send a finite number")


def _nesting_error() -> InvalidConfigurationError:
    return InvalidConfigurationError("the body is nested too deeply", f"nest at most {MAX_NESTING} levels")


def _check_nesting(raw: object) -> None:
    level = [raw]
    for _ in range(MAX_NESTING):
        below: list[Any] = []
        for container in level:
            for value in container.values() if isinstance(container, dict) else container:  # type: ignore[attr-defined]
                if isinstance(value, dict | list):
                    below.append(value)
        if not below:
            return
        level = below
    raise _nesting_error()


def _canonical(raw: object) -> bytes:
    return json.dumps(raw, sort_keys=True, separators=(",", ":"), allow_nan=False).encode("ascii")


def digest_of(raw: object) -> str:
    """Returns the hex SHA-256 of a JSON value's canonical form."""
    return hashlib.sha256(_canonical(raw)).hexdigest()


def json_type(value: object) -> str:
    """Returns the name of a JSON value's type for use in messages."""
    if value is None:
        return "null"
    names = {dict: "an object", list: "a list", tuple: "a list", str: "a string", bool: "a boolean"}
    return names.get(type(value), "a number")


def shown(value: object) -> str:
    """Returns a value for use in a message, truncated to 60 characters."""
    if isinstance(value, dict | list | tuple):
        return json_type(value)
    try:
        text = json.dumps(value)
    except ValueError:  # an integer beyond Python's limit of 4,300 digits, or a value that is not JSON
        return json_type(value)
    return text if len(text) <= 60 else text[:60] + "..."


# --- types


@dataclass(frozen=True, slots=True)
class _WrongType:
    """Wraps a value of the wrong type, so that dacite rejects it and reports the field's path."""

    value: object


def _to_float(value: object) -> object:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _WrongType(value)
    try:
        return float(value)
    except OverflowError:
        return _WrongType(value)


def _to_int(value: object) -> object:
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value if isinstance(value, int) and not isinstance(value, bool) else _WrongType(value)


def _to_tuple(value: object) -> object:
    return tuple(value) if isinstance(value, list) else _WrongType(value)


_TYPES = dacite.Config(
    type_hooks={
        float: _to_float,
        int: _to_int,
        tuple[Split, ...]: _to_tuple,
        tuple[Model, ...]: _to_tuple,
    }
)
_EXPECTED: Mapping[Any, str] = {
    float: "a number",
    int: "an integer",
    str: "a string",
    str | None: "a string",
    bool: "true or false",
    tuple[Split, ...]: "a list of objects with svc and wt",
    tuple[Model, ...]: "a list of objects with name",
    Split: "a list of objects with svc and wt",
    Model: "a list of objects with name",
    Backend: "an object",
}


def _typed(kind: type[T], raw: object, where: str) -> T:
    """Converts an object of the body to `kind`; raises InvalidConfigurationError."""
    if not isinstance(raw, dict):
        raise InvalidConfigurationError(f"{where} is {json_type(raw)}", f"make {where} an object")
    present = {key: value for key, value in raw.items() if value is not None}
    try:
        return dacite.from_dict(kind, present, _TYPES)
    except dacite.MissingValueError as error:
        field = error.field_path
        raise InvalidConfigurationError(f"{where} has no {field}", f"add {field}") from None
    except dacite.WrongTypeError as error:
        value = error.value.value if isinstance(error.value, _WrongType) else error.value
        expected = _EXPECTED.get(error.field_type, "a value of the right type")
        raise InvalidConfigurationError(
            f"{error.field_path} of {where} is {shown(value)}", f"make it {expected}"
        ) from None
    except dacite.DaciteError:
        raise InvalidConfigurationError(
            f"{where} can't be parsed", "give its fields values of the right types"
        ) from None


def _list_of(raw: Mapping[str, Any], name: str) -> list[Any]:
    value = raw.get(name)
    if value is None:
        raise InvalidConfigurationError(f"{name} is missing", f"add {name}: a configuration must be complete")
    if not isinstance(value, list):
        raise InvalidConfigurationError(f"{name} is {json_type(value)}", f"make {name} a list")
    return value


# --- validation of a configuration


class _ItemReader(Protocol):
    """Parses the items of one list of a body."""

    def __call__(self, kind: type[T], raw: Mapping[str, Any], name: str) -> tuple[T, ...]:
        """Returns the items as values of `kind`; raises InvalidConfigurationError."""


def _configuration(raw: Mapping[str, Any], read_items: _ItemReader) -> Configuration:
    ver = raw.get("ver")
    if ver is None:
        raise InvalidConfigurationError("ver is missing", "add the version as an integer from 1")
    if isinstance(ver, bool) or not isinstance(ver, int) or not 1 <= ver <= MAX_VERSION:
        raise InvalidConfigurationError(f"ver is {shown(ver)}", "make it an integer from 1 to 2^63 - 1")
    services = read_items(Service, raw, "svcs")
    routes = tuple(_with_lower_host(route) for route in read_items(Route, raw, "routes"))
    limits = raw.get("limits")
    client_limits = ClientLimits() if limits is None else _typed(ClientLimits, limits, "limits")
    _check_names((service.name for service in services), "svcs")
    _check_names((route.name for route in routes), "routes")
    for service in services:
        _check_service(service)
    known = frozenset(service.name for service in services)
    for route in routes:
        _check_route(route, known)
    _check_unique_prefixes(routes)
    _check_limits(client_limits)
    return Configuration(ver=ver, routes=routes, svcs=services, limits=client_limits)


def _with_lower_host(route: Route) -> Route:
    host = route.host.lower()
    return route if host == route.host else replace(route, host=host)


def _check_names(names: Iterable[str], where: str) -> None:
    seen: set[str] = set()
    for name in names:
        if not name:
            raise InvalidConfigurationError(f"an entry of {where} has an empty name", "give it a name")
        if name in seen:
            raise InvalidConfigurationError(
                f"two entries of {where} have the name {shown(name)}", "give each of them a unique name"
            )
        seen.add(name)


def _check_service(service: Service) -> None:
    where = f"service {shown(service.name)}"
    if not service.health_path.startswith("/"):
        raise InvalidConfigurationError(
            f"health_path of {where} is {shown(service.health_path)}", "start it with a slash"
        )
    if service.max_conns < 1:
        raise InvalidConfigurationError(f"max_conns of {where} is {service.max_conns:g}", "make it 1 or more")
    for name in ("cold_s", "cold_per_s"):
        if getattr(service, name) < 0:
            raise InvalidConfigurationError(f"{name} of {where} is negative", "make it 0 or more")
    for name in ("capacity", "kv_cap", "kv_token_bytes", "net_mbps", "stride", "kv_ref_s", "swap_s"):
        if getattr(service.backend, name) < 0:
            raise InvalidConfigurationError(f"backend.{name} of {where} is negative", "make it 0 or more")


def _check_route(route: Route, known: frozenset[str]) -> None:
    where = f"route {shown(route.name)}"
    if not route.host:
        raise InvalidConfigurationError(f"host of {where} is empty", "set the host name")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        raise InvalidConfigurationError(
            f"path_prefix of {where} is {shown(route.path_prefix)}", "start and end it with a slash"
        )
    if route.route_type not in ROUTE_TYPES:
        raise InvalidConfigurationError(
            f"route_type of {where} is {shown(route.route_type)}", f"make it one of {', '.join(ROUTE_TYPES)}"
        )
    if route.deadline_ms <= 0:
        raise InvalidConfigurationError(f"deadline_ms of {where} is {route.deadline_ms:g}", "make it above 0")
    for name in ("target_ms", "gap_aim_ms"):
        if getattr(route, name) < 0:
            raise InvalidConfigurationError(f"{name} of {where} is negative", "make it 0 or more")
    if route.tries < 1:
        raise InvalidConfigurationError(f"tries of {where} is {shown(route.tries)}", "make it 1 or more")
    _check_route_targets(route, known, where)


def _check_route_targets(route: Route, known: frozenset[str], where: str) -> None:
    if not route.split and route.svc is None:
        raise InvalidConfigurationError(
            f"{where} has neither svc nor split", "set svc to the name of a service"
        )
    named = [part.svc for part in route.split] + ([] if route.svc is None else [route.svc])
    for name in named:
        if name not in known:
            raise InvalidConfigurationError(
                f"{where} names the unknown service {shown(name)}",
                "add it to svcs or use a service that is in svcs",
            )
    if any(part.wt < 0 for part in route.split):
        raise InvalidConfigurationError(f"a wt in split of {where} is negative", "make every wt 0 or more")
    total = sum(part.wt for part in route.split)
    if route.split and not (0 < total < math.inf):
        raise InvalidConfigurationError(
            f"the weights in split of {where} sum to {total:g}",
            "give at least one of them a finite wt above 0",
        )


def _check_unique_prefixes(routes: tuple[Route, ...]) -> None:
    seen: dict[tuple[str, str], str] = {}
    for route in routes:
        first = seen.setdefault((route.host, route.path_prefix), route.name)
        if first != route.name:
            raise InvalidConfigurationError(
                f"routes {shown(first)} and {shown(route.name)} have the same host and path_prefix",
                "remove one of them or change its path_prefix",
            )


def _check_limits(limits: ClientLimits) -> None:
    for name in ClientLimits.__dataclass_fields__:
        if getattr(limits, name) <= 0:
            raise InvalidConfigurationError(
                f"{name} of limits is {shown(getattr(limits, name))}", "make it above 0"
            )


# --- the platform's upstream list


def parse_upstreams(
    body: bytes, skipped: Counter[str] | None = None
) -> tuple[tuple[Upstream, ...], str | None]:
    """Returns the upstreams of one page of the platform's list, and the next page's token (None on the last).

    An invalid entry is skipped, and the field that made it invalid is counted in `skipped`. Raises WireError
    for a page that is not a list of upstreams. Entries are parsed by hand, not by dacite: a list may hold
    2,800 entries and is parsed frequently, and dacite takes many times as long per entry.
    """
    try:
        page = json.loads(body)
    except (ValueError, RecursionError):
        raise WireError(
            "the page of upstreams is not complete JSON", "request it from the platform again"
        ) from None
    entries = page.get("upstreams") if isinstance(page, dict) else None
    if not isinstance(entries, list):
        raise WireError("the page has no list `upstreams`", "request it from the platform again")
    cursor = page.get("next_cursor")
    if not isinstance(cursor, str | None):
        raise WireError("next_cursor is not a string", "request the page from the platform again")
    found = []
    for entry in entries:
        upstream = _upstream(entry)
        if isinstance(upstream, Upstream):
            found.append(upstream)
        elif skipped is not None:
            skipped[upstream.field] += 1
    return tuple(found), cursor or None


@dataclass(frozen=True, slots=True)
class _InvalidEntry:
    """The reason for skipping an entry: the field that is invalid."""

    field: str


_NOT_AN_OBJECT = _InvalidEntry("entry")
_STRING_FIELDS = (
    ("id", True),
    ("svc", True),
    ("addr", True),
    ("zone", False),
    ("ver", False),
    ("phase", False),
)
_IN_HEADERS = ("id", "addr")  # sent in header lines, so they must be printable ASCII without spaces


def _upstream(entry: object) -> Upstream | _InvalidEntry:
    if not isinstance(entry, dict):
        return _NOT_AN_OBJECT
    values = []
    for name, is_required in _STRING_FIELDS:
        text = entry.get(name)
        if text is None and not is_required:
            text = ""
        if not isinstance(text, str) or (is_required and not text):
            return _InvalidEntry(name)
        if name in _IN_HEADERS and not (text.isascii() and text.isprintable() and " " not in text):
            return _InvalidEntry(name)
        values.append(text)
    id_, svc, addr, zone, ver, phase = values
    state = entry.get("state", "up")
    if state not in STATES:
        return _InvalidEntry("state")
    capacity = _non_negative(entry.get("capacity", 1.0))
    if not capacity:
        return _InvalidEntry("capacity")
    cold_left_ms = _non_negative(entry.get("cold_left_ms", 0.0))
    if cold_left_ms is None:
        return _InvalidEntry("cold_left_ms")
    models = _loaded_models(entry.get("models"))
    if models is None:
        return _InvalidEntry("models")
    try:
        parse_address(addr)
    except SettingsError:
        return _InvalidEntry("addr")
    return Upstream(id_, svc, addr, zone, ver, capacity, state, cold_left_ms, phase, models)


def _non_negative(value: object) -> float | None:
    """Returns a finite number of 0 or more, or None if the value is not one."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        amount = float(value)
    except OverflowError:
        return None
    return amount if 0 <= amount < math.inf else None


def _loaded_models(raw: object) -> tuple[LoadedModel, ...] | None:
    """Returns the models of an entry (empty if the field is absent), or None if they are invalid."""
    if raw is None:
        return ()
    if not isinstance(raw, list):
        return None
    models = []
    for entry in raw:
        if not isinstance(entry, dict):
            return None
        name, ver, loras = entry.get("name"), entry.get("ver", 0), entry.get("loras") or ()
        if not isinstance(name, str) or isinstance(ver, bool) or not isinstance(ver, int):
            return None
        if not isinstance(loras, list | tuple) or not all(isinstance(lora, str) for lora in loras):
            return None
        models.append(LoadedModel(name, ver, tuple(loras)))
    return tuple(models)
