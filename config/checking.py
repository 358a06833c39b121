"""Reading and checking of what operators send and of the platform's list: bytes in, typed values out.

What can't be taken raises an error that names the field and the remedy; nothing here raises anything else,
whatever the bytes are. Unknown fields are skipped in the types and kept in the body, stored as it was sent.
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

MOST_NESTED = 32
MOST_VERSION = 2**63 - 1
ROUTE_TYPES = ("safe", "unsafe", "stream")
STATES = ("up", "draining")
T = TypeVar("T", Route, Service, ClientLimits)


@dataclass(frozen=True, slots=True)
class CheckedConfiguration:
    """A configuration that may be taken, the body as it was sent, and the digest of what the body says."""

    configuration: Configuration
    body: bytes
    digest: str


class ConfigurationReader:
    """Reads one configuration after another; items that are as they were before are not read again."""

    def __init__(self) -> None:
        self._items: dict[type, dict[bytes, Any]] = {}  # of the last one: by type, by what stands in the body

    def check(self, body: bytes) -> CheckedConfiguration:
        """The configuration of a body and its digest, from one reading; raises InvalidConfigurationError."""
        raw = read_object(body)
        return CheckedConfiguration(_configuration(raw, self._each), body, digest_of(raw))

    def parse(self, body: bytes) -> Configuration:
        """The configuration that a body holds; raises InvalidConfigurationError naming field and remedy.

        A field with a default may be missing or null. Hosts come back in lower case. Spans are in the unit
        that their names end with.
        """
        return _configuration(read_object(body), self._each)

    def _each(self, kind: type[T], raw: Mapping[str, Any], name: str) -> tuple[T, ...]:
        known, read = self._items.get(kind, {}), dict[bytes, T]()
        found = []
        for at, entry in enumerate(_list_of(raw, name)):
            text = repr(entry).encode("utf-8", "surrogatepass")  # tells 1, 1.0 and true apart
            key = hashlib.blake2b(text, digest_size=16).digest()
            value = known.get(key) or _typed(kind, entry, f"{name}[{at}]")
            read[key] = value
            found.append(value)
        self._items[kind] = read
        return tuple(found)


def check(body: bytes) -> CheckedConfiguration:
    """As `ConfigurationReader.check`, by itself."""
    return ConfigurationReader().check(body)


def parse_configuration(body: bytes) -> Configuration:
    """As `ConfigurationReader.parse`, by itself."""
    return ConfigurationReader().parse(body)


def canonical(body: bytes) -> bytes:
    """What a body says, written in one way: the same for other spacing, escapes or order of keys.

    The order of lists and the way a number is written (2 or 2.0) count. Raises InvalidConfigurationError
    for bytes that are no JSON object; whether it is a configuration is not checked.
    """
    return _canonical(read_object(body))


def digest(body: bytes) -> str:
    """The SHA-256 of the canonical form in hex; raises InvalidConfigurationError as `canonical` does."""
    return digest_of(read_object(body))


# --- JSON


def read_object(body: bytes) -> dict[str, Any]:
    """A body's JSON object; raises InvalidConfigurationError."""
    try:
        raw = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_object,
            parse_float=_finite,
            parse_constant=_constant,
        )
    except UnicodeDecodeError:
        raise InvalidConfigurationError("the body is no UTF-8", "send JSON in UTF-8") from None
    except json.JSONDecodeError as error:
        raise InvalidConfigurationError(
            f"the body is no whole JSON ({error.msg} at {error.pos} of {len(body)} bytes)",
            "send the configuration whole",
        ) from None
    except RecursionError:
        raise _nested() from None
    except ValueError:  # an integer of thousands of digits
        raise InvalidConfigurationError("a number of the body is too long", "send smaller numbers") from None
    if not isinstance(raw, dict):
        raise InvalidConfigurationError(
            f"the body is {json_type(raw)}, not an object", 'send {"ver":...,"routes":[...],"svcs":[...]}'
        )
    _check_nesting(raw)
    return raw


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        twice = next(key for key, count in Counter(key for key, _ in pairs).items() if count > 1)
        raise InvalidConfigurationError(f"an object has the key {shown(twice)} twice", "give each key once")
    return found


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise InvalidConfigurationError(f"the number {text[:20]} is too large", "send numbers below 1e308")
    return value


def _constant(text: str) -> float:
    raise InvalidConfigurationError(f"{text} is no JSON number", "send a finite number")


def _nested() -> InvalidConfigurationError:
    return InvalidConfigurationError("the body is nested too deep", f"nest at most {MOST_NESTED} levels")


def _check_nesting(raw: object) -> None:
    level = [raw]
    for _ in range(MOST_NESTED):
        below: list[Any] = []
        for holder in level:
            for value in holder.values() if isinstance(holder, dict) else holder:  # type: ignore[attr-defined]
                if isinstance(value, dict | list):
                    below.append(value)
        if not below:
            return
        level = below
    raise _nested()


def _canonical(raw: object) -> bytes:
    return json.dumps(raw, sort_keys=True, separators=(",", ":"), allow_nan=False).encode("ascii")


def digest_of(raw: object) -> str:
    """The SHA-256 of what a JSON value says, in hex: the same however it is written."""
    return hashlib.sha256(_canonical(raw)).hexdigest()


def json_type(value: object) -> str:
    """What a JSON value is, in words."""
    if value is None:
        return "null"
    names = {dict: "an object", list: "a list", tuple: "a list", str: "a text", bool: "a truth value"}
    return names.get(type(value), "a number")


def shown(value: object) -> str:
    """A value in a message: short, whatever was sent."""
    if isinstance(value, dict | list | tuple):
        return json_type(value)
    try:
        text = json.dumps(value)
    except ValueError:  # an integer too long to write
        return json_type(value)
    return text if len(text) <= 60 else text[:60] + "..."


# --- types


@dataclass(frozen=True, slots=True)
class _Unfit:
    """A value of the wrong type, which dacite then refuses with the field's path."""

    value: object


def _to_float(value: object) -> object:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _Unfit(value)
    try:
        return float(value)
    except OverflowError:
        return _Unfit(value)


def _to_int(value: object) -> object:
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value if isinstance(value, int) and not isinstance(value, bool) else _Unfit(value)


def _to_tuple(value: object) -> object:
    return tuple(value) if isinstance(value, list) else _Unfit(value)


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
    int: "a whole number",
    str: "a text",
    str | None: "a text",
    bool: "true or false",
    tuple[Split, ...]: "a list of objects with svc and wt",
    tuple[Model, ...]: "a list of objects with name",
    Split: "a list of objects with svc and wt",
    Model: "a list of objects with name",
    Backend: "an object",
}


def _typed(kind: type[T], raw: object, where: str) -> T:
    """An object of the body as a value of `kind`; raises InvalidConfigurationError."""
    if not isinstance(raw, dict):
        raise InvalidConfigurationError(f"{where} is {json_type(raw)}", f"make {where} an object")
    present = {key: value for key, value in raw.items() if value is not None}
    try:
        return dacite.from_dict(kind, present, _TYPES)
    except dacite.MissingValueError as error:
        field = error.field_path
        raise InvalidConfigurationError(f"{where} has no {field}", f"add {field}") from None
    except dacite.WrongTypeError as error:
        value = error.value.value if isinstance(error.value, _Unfit) else error.value
        expected = _EXPECTED.get(error.field_type, "a value of its type")
        raise InvalidConfigurationError(
            f"{error.field_path} of {where} is {shown(value)}", f"make it {expected}"
        ) from None
    except dacite.DaciteError:
        raise InvalidConfigurationError(f"{where} can't be read", "give its fields their types") from None


def _list_of(raw: Mapping[str, Any], name: str) -> list[Any]:
    value = raw.get(name)
    if value is None:
        raise InvalidConfigurationError(f"there is no {name}", f"add {name}: a whole configuration is sent")
    if not isinstance(value, list):
        raise InvalidConfigurationError(f"{name} is {json_type(value)}", f"make {name} a list")
    return value


# --- what a configuration must hold


class _ReadEach(Protocol):
    """Reads the items of one list of a body."""

    def __call__(self, kind: type[T], raw: Mapping[str, Any], name: str) -> tuple[T, ...]:
        """The items as values of `kind`; raises InvalidConfigurationError."""


def _configuration(raw: Mapping[str, Any], read_each: _ReadEach) -> Configuration:
    ver = raw.get("ver")
    if ver is None:
        raise InvalidConfigurationError("there is no ver", "add the version as a whole number from 1")
    if isinstance(ver, bool) or not isinstance(ver, int) or not 1 <= ver <= MOST_VERSION:
        raise InvalidConfigurationError(f"ver is {shown(ver)}", "make it a whole number from 1 to 2^63 - 1")
    services = read_each(Service, raw, "svcs")
    routes = tuple(_with_lower_host(route) for route in read_each(Route, raw, "routes"))
    limits = raw.get("limits")
    client_limits = ClientLimits() if limits is None else _typed(ClientLimits, limits, "limits")
    _check_names((service.name for service in services), "svcs")
    _check_names((route.name for route in routes), "routes")
    for service in services:
        _check_service(service)
    known = frozenset(service.name for service in services)
    for route in routes:
        _check_route(route, known)
    _check_places(routes)
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
                f"two entries of {where} have the name {shown(name)}", "name each of them once"
            )
        seen.add(name)


def _check_service(service: Service) -> None:
    where = f"service {shown(service.name)}"
    if not service.health_path.startswith("/"):
        raise InvalidConfigurationError(
            f"health_path of {where} is {shown(service.health_path)}", "begin it with a slash"
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
        raise InvalidConfigurationError(f"host of {where} is empty", "name the host")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        raise InvalidConfigurationError(
            f"path_prefix of {where} is {shown(route.path_prefix)}", "begin and end it with a slash"
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
    _check_services_of(route, known, where)


def _check_services_of(route: Route, known: frozenset[str], where: str) -> None:
    if not route.split and route.svc is None:
        raise InvalidConfigurationError(f"{where} has neither svc nor split", "name its service in svc")
    named = [part.svc for part in route.split] + ([] if route.svc is None else [route.svc])
    for name in named:
        if name not in known:
            raise InvalidConfigurationError(
                f"{where} names the unknown service {shown(name)}", "add it to svcs or name one of svcs"
            )
    if any(part.wt < 0 for part in route.split):
        raise InvalidConfigurationError(f"a wt in split of {where} is negative", "make every wt 0 or more")
    total = sum(part.wt for part in route.split)
    if route.split and not (0 < total < math.inf):
        raise InvalidConfigurationError(
            f"the weights in split of {where} sum to {total:g}", "give a finite wt above 0 to one of them"
        )


def _check_places(routes: tuple[Route, ...]) -> None:
    seen: dict[tuple[str, str], str] = {}
    for route in routes:
        first = seen.setdefault((route.host, route.path_prefix), route.name)
        if first != route.name:
            raise InvalidConfigurationError(
                f"routes {shown(first)} and {shown(route.name)} have the same host and path_prefix",
                "drop one of them or change its path_prefix",
            )


def _check_limits(limits: ClientLimits) -> None:
    for name in ClientLimits.__dataclass_fields__:
        if getattr(limits, name) <= 0:
            raise InvalidConfigurationError(
                f"{name} of limits is {shown(getattr(limits, name))}", "make it above 0"
            )


# --- the platform's list


def parse_upstreams(
    body: bytes, skipped: Counter[str] | None = None
) -> tuple[tuple[Upstream, ...], str | None]:
    """The upstreams of one page of the platform's list, and the token of the next page (None on the last).

    An entry that can't be read is left out, and the field that is to blame is counted in `skipped`. Raises
    WireError for a page that is no list of upstreams. Plain dictionaries, not dacite: a list may hold 2,800
    entries and is read again and again, and dacite takes many times as long for each of them.
    """
    try:
        page = json.loads(body)
    except (ValueError, RecursionError):
        raise WireError("the page of upstreams is no whole JSON", "ask the platform for it again") from None
    entries = page.get("upstreams") if isinstance(page, dict) else None
    if not isinstance(entries, list):
        raise WireError("the page holds no list `upstreams`", "ask the platform for it again")
    cursor = page.get("next_cursor")
    if not isinstance(cursor, str | None):
        raise WireError("next_cursor is no text", "ask the platform for the page again")
    found = []
    for entry in entries:
        upstream = _upstream(entry)
        if isinstance(upstream, Upstream):
            found.append(upstream)
        elif skipped is not None:
            skipped[upstream.field] += 1
    return tuple(found), cursor or None


@dataclass(frozen=True, slots=True)
class _Unreadable:
    """An entry that is left out, and the field to blame."""

    field: str


_ENTRY = _Unreadable("entry")
_TEXTS = (("id", True), ("svc", True), ("addr", True), ("zone", False), ("ver", False), ("phase", False))
_IN_LINES = ("id", "addr")  # header lines of ours hold them


def _upstream(entry: object) -> Upstream | _Unreadable:
    if not isinstance(entry, dict):
        return _ENTRY
    texts = []
    for name, needed in _TEXTS:
        text = entry.get(name)
        if text is None and not needed:
            text = ""
        if not isinstance(text, str) or (needed and not text):
            return _Unreadable(name)
        if name in _IN_LINES and not (text.isascii() and text.isprintable() and " " not in text):
            return _Unreadable(name)
        texts.append(text)
    id_, svc, addr, zone, ver, phase = texts
    state = entry.get("state", "up")
    if state not in STATES:
        return _Unreadable("state")
    capacity = _amount(entry.get("capacity", 1.0))
    if not capacity:
        return _Unreadable("capacity")
    cold_left_ms = _amount(entry.get("cold_left_ms", 0.0))
    if cold_left_ms is None:
        return _Unreadable("cold_left_ms")
    models = _loaded_models(entry.get("models"))
    if models is None:
        return _Unreadable("models")
    try:
        parse_address(addr)
    except SettingsError:
        return _Unreadable("addr")
    return Upstream(id_, svc, addr, zone, ver, capacity, state, cold_left_ms, phase, models)


def _amount(value: object) -> float | None:
    """A number of 0 or more, or None where it is none."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        amount = float(value)
    except OverflowError:
        return None
    return amount if 0 <= amount < math.inf else None


def _loaded_models(raw: object) -> tuple[LoadedModel, ...] | None:
    """The models of an entry, none where there is no such field, or None where they can't be read."""
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
