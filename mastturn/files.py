"""Decodes TOML files to typed values; an error names the file, the key and what is allowed, in one line."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<field>[^`]+)`")
_MISSING_FIELD = re.compile(r"missing required field `(?P<field>[^`]+)`")
_PATH = re.compile(r" - at `\$(?P<path>[^`]*)`")


class LabError(Exception):
    """An error of a command, reported to the user as one line."""


def split_validation_error(error: msgspec.ValidationError) -> tuple[str, str]:
    """Return the path of an invalid value, empty for the whole document, and the message without the path."""
    text = str(error)
    path = _PATH.search(text)
    message = _PATH.sub("", text)
    return path["path"].lstrip(".") if path else "", f"{message[:1].lower()}{message[1:]}"


def _format_error(error: msgspec.ValidationError, kind: Any) -> str:
    """Return an error message for the user: the path, the problem and the allowed keys."""
    where, message = split_validation_error(error)
    unknown, missing = _UNKNOWN_FIELD.search(message), _MISSING_FIELD.search(message)
    if unknown:
        key = f"{where}.{unknown['field']}".lstrip(".")
        return f"{key}: unknown key; {_format_allowed_keys(kind, where)}"
    if missing:
        return f"{f'{where}.' if where else ''}{missing['field']}: is missing"
    return f"{where or 'the file'}: {message}"


def _format_allowed_keys(kind: Any, where: str) -> str:
    """Return a hint at the allowed keys, for an unknown key at `where`."""
    if where.startswith("troubles"):
        return "see mastturn/emulator/troubles.py for the keys of each kind of trouble"
    return "allowed: " + ", ".join(msgspec.structs.fields(kind)[i].name for i in _field_indices(kind))


def _field_indices(kind: Any) -> range:
    return range(len(msgspec.structs.fields(kind)))


def decode(text: str, kind: type[T], file: str) -> T:
    """Decode a TOML text to `kind`; raises LabError."""
    try:
        return msgspec.convert(tomllib.loads(text), kind)
    except tomllib.TOMLDecodeError as error:
        raise LabError(f"{file}: invalid TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise LabError(f"{file}: {_format_error(error, kind)}") from None


def read_toml(path: Path, kind: type[T]) -> T:
    """Read a TOML file, decode it to `kind` and check its ranges; raises LabError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise LabError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    values = decode(text, kind, str(path))
    check_ranges(values, str(path))
    return values


def check_ranges(value: Any, file: str, where: str = "") -> None:
    """Raise LabError for a reversed range or a negative number at any depth of `value`."""
    if isinstance(value, msgspec.Struct):
        for field in msgspec.structs.fields(value):
            check_ranges(getattr(value, field.name), file, f"{where}.{field.name}".lstrip("."))
    elif isinstance(value, tuple):
        if len(value) == 2 and all(isinstance(v, float) for v in value) and value[0] > value[1]:
            raise LabError(f"{file}: {where}: reversed range: [{value[0]:g}, {value[1]:g}], low end first")
        for i, item in enumerate(value):
            check_ranges(item, file, f"{where}[{i}]" if isinstance(item, msgspec.Struct) else where)
    elif isinstance(value, (int, float)) and not isinstance(value, bool) and value < 0:
        raise LabError(f"{file}: {where}: {value:g} is negative")
