"""Applies an operator's patch to a configuration: adds, replaces and removes items by name.

A patch holds the new version, items to add or replace (`upsert`) and names of items to remove (`remove`),
each under the list they belong to. The result is a complete configuration and is validated as one.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from config.checking import (
    CheckedConfiguration,
    ConfigurationReader,
    digest_of,
    json_type,
    read_object,
    shown,
)
from config.errors import InvalidConfigurationError

LISTS = ("routes", "svcs")  # the lists whose items are identified by name
FIELDS = ("ver", "upsert", "remove")


@dataclass(frozen=True, slots=True)
class Patch:
    """A parsed patch; `digest` is that of its canonical form and identifies retries of the same patch."""

    ver: int
    upsert: dict[str, dict[str, dict[str, Any]]]  # by list, by name
    remove: dict[str, frozenset[str]]  # by list
    digest: str


def parse_patch(body: bytes) -> Patch:
    """Returns the patch in a body; raises InvalidConfigurationError naming the field and the remedy."""
    raw = read_object(body)
    for field in raw:
        if field not in FIELDS:
            raise InvalidConfigurationError(
                f"a patch has no field {shown(field)}",
                f"send {', '.join(FIELDS)}; use PUT with a complete configuration for other changes",
            )
    ver = raw.get("ver")
    if isinstance(ver, bool) or not isinstance(ver, int):
        raise InvalidConfigurationError(
            f"ver is {shown(ver)}" if "ver" in raw else "ver is missing", "add the version as an integer"
        )
    upsert = {name: _items(name, items) for name, items in _lists(raw, "upsert").items()}
    remove = {name: _names(name, names) for name, names in _lists(raw, "remove").items()}
    for name, items in upsert.items():
        duplicates = sorted(items.keys() & remove.get(name, frozenset()))
        if duplicates:
            raise InvalidConfigurationError(
                f"{shown(duplicates[0])} of {name} is in upsert and in remove", "keep it in one of them"
            )
    return Patch(ver, upsert, remove, digest_of(raw))


def apply_patch(body: bytes, patch: Patch, reader: ConfigurationReader) -> CheckedConfiguration:
    """Returns the configuration after a patch; raises InvalidConfigurationError if the result is invalid."""
    raw = read_object(body) if body else {"routes": [], "svcs": []}
    for name in LISTS:
        upsert, remove = patch.upsert.get(name, {}), patch.remove.get(name, frozenset())
        raw[name] = _patched_list(name, raw.get(name) or [], upsert, remove)
    raw["ver"] = patch.ver
    return reader.check(json.dumps(raw, ensure_ascii=False, separators=(",", ":")).encode())


def _patched_list(
    name: str, items: list[Any], upsert: dict[str, dict[str, Any]], remove: frozenset[str]
) -> list[Any]:
    """Returns a list after a patch: replaced items keep their position, new items are appended."""
    known = {item["name"] for item in items}
    missing = sorted(remove - known)
    if missing:
        raise InvalidConfigurationError(
            f"there is no {shown(missing[0])} in {name} to remove", "name one that is in force"
        )
    updated = [upsert.get(item["name"], item) for item in items if item["name"] not in remove]
    return updated + [item for new, item in upsert.items() if new not in known]


def _lists(raw: dict[str, Any], field: str) -> dict[str, list[Any]]:
    """Returns the value of a patch field for each list; null counts as missing."""
    found = raw.get(field)
    if found is None:
        return {}
    if not isinstance(found, dict):
        raise InvalidConfigurationError(f"{field} is {json_type(found)}", f"make {field} an object of lists")
    for name, items in found.items():
        if name not in LISTS:
            raise InvalidConfigurationError(
                f"{field} names the unknown list {shown(name)}", f"name one of {', '.join(LISTS)}"
            )
        if not isinstance(items, list):
            raise InvalidConfigurationError(f"{field}.{name} is {json_type(items)}", "make it a list")
    return dict(found)


def _items(name: str, items: list[Any]) -> dict[str, dict[str, Any]]:
    for at, item in enumerate(items):
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise InvalidConfigurationError(
                f"upsert.{name}[{at}] has no name", "make it an object with a name"
            )
    _check_unique(f"upsert.{name}", (item["name"] for item in items))
    return {item["name"]: item for item in items}


def _names(name: str, names: list[Any]) -> frozenset[str]:
    for at, entry in enumerate(names):
        if not isinstance(entry, str):
            raise InvalidConfigurationError(f"remove.{name}[{at}] is {json_type(entry)}", "make it a name")
    _check_unique(f"remove.{name}", names)
    return frozenset(names)


def _check_unique(where: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise InvalidConfigurationError(f"{where} names {shown(name)} twice", "name it once")
        seen.add(name)
