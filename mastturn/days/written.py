"""Writes a day as a file, in the subset of TOML that days need."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any


def write_day(day: Mapping[str, Any]) -> str:
    """Return the file's text; each element of a list of tables is on its own line, as in site files."""
    lines = ["[[day]]"]
    for key, value in day.items():
        if isinstance(value, list) and value and isinstance(value[0], Mapping):
            lines += [f"{key} = [", *(f"  {_value(v)}," for v in value), "]"]
        else:
            lines.append(f"{key} = {_value(value)}")
    return "\n".join(lines) + "\n"


def _value(value: Any) -> str:
    if isinstance(value, Mapping):
        return "{ " + ", ".join(f"{k} = {_value(v)}" for k, v in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_value(v) for v in value) + "]"
    return json.dumps(value)  # strings, numbers and booleans have the same syntax in JSON and TOML
