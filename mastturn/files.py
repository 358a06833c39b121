"""TOML files as typed values: a fault names the file, the key and what is allowed, in one line."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
_UNKNOWN = re.compile(r"unknown field `(?P<field>[^`]+)`")
_MISSING = re.compile(r"missing required field `(?P<field>[^`]+)`")
_PLACE = re.compile(r" - at `\$(?P<place>[^`]*)`")


class LabError(Exception):
    """Something that was asked for can't be had, in one plain line."""


def split_validation_error(error: msgspec.ValidationError) -> tuple[str, str]:
    """Where a fault of a value stands, empty for the whole, and what is wrong there."""
    text = str(error)
    place = _PLACE.search(text)
    said = _PLACE.sub("", text)
    return place["place"].lstrip(".") if place else "", f"{said[:1].lower()}{said[1:]}"


def _plain(error: msgspec.ValidationError, kind: Any) -> str:
    """A fault of a value in words: where it stands, what is wrong, what is allowed."""
    where, said = split_validation_error(error)
    unknown, missing = _UNKNOWN.search(said), _MISSING.search(said)
    if unknown:
        key = f"{where}.{unknown['field']}".lstrip(".")
        return f"{key}: unknown key; {_allowed(kind, where)}"
    if missing:
        return f"{f'{where}.' if where else ''}{missing['field']}: is missing"
    return f"{where or 'the file'}: {said}"


def _allowed(kind: Any, where: str) -> str:
    """The keys that are known beside an unknown one."""
    if where.startswith("troubles"):
        return "see mastturn/emulator/troubles.py for the keys of each kind of trouble"
    return "allowed: " + ", ".join(msgspec.structs.fields(kind)[i].name for i in _indices(kind))


def _indices(kind: Any) -> range:
    return range(len(msgspec.structs.fields(kind)))


def decode(text: str, kind: type[T], file: str) -> T:
    """A TOML text as a value of `kind`; raises LabError."""
    try:
        return msgspec.convert(tomllib.loads(text), kind)
    except tomllib.TOMLDecodeError as error:
        raise LabError(f"{file}: no TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise LabError(f"{file}: {_plain(error, kind)}") from None


def read_toml(path: Path, kind: type[T]) -> T:
    """A file of one's own as typed values; raises LabError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise LabError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    values = decode(text, kind, str(path))
    check_ranges(values, str(path))
    return values


def check_ranges(value: Any, file: str, where: str = "") -> None:
    """Refuse ranges turned round, and negative figures, wherever they stand."""
    if isinstance(value, msgspec.Struct):
        for field in msgspec.structs.fields(value):
            check_ranges(getattr(value, field.name), file, f"{where}.{field.name}".lstrip("."))
    elif isinstance(value, tuple):
        if len(value) == 2 and all(isinstance(v, float) for v in value) and value[0] > value[1]:
            raise LabError(
                f"{file}: {where}: range turned round: [{value[0]:g}, {value[1]:g}], low end first"
            )
        for i, item in enumerate(value):
            check_ranges(item, file, f"{where}[{i}]" if isinstance(item, msgspec.Struct) else where)
    elif isinstance(value, (int, float)) and not isinstance(value, bool) and value < 0:
        raise LabError(f"{file}: {where}: {value:g} is negative")
