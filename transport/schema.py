"""Avro schemas out of the dataclasses that they stand for, and those out of what Avro's reader gives.

A field's type is read as it is written in the class (annotations are texts): `str`, `bytes`, `bool`, `int`
(of 64 bits), `Int32`, `tuple[X, ...]`, and the names of nested dataclasses.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import fields
from typing import Any

Int32 = int  # an int of at most 32 bits on the wire
_PLAIN = {"str": "string", "bytes": "bytes", "bool": "boolean", "int": "long", "Int32": "int"}
_MANY, _END = "tuple[", ", ...]"
Reader = Callable[[Any], Any]


def fields_of(cls: type, nested: tuple[type, ...] = ()) -> list[dict[str, Any]]:
    """The fields of a record for a dataclass; `nested`: the dataclasses that its fields name."""
    parts = {part.__name__: part for part in nested}
    return [{"name": f.name, "type": _type_of(str(f.type), parts)} for f in fields(cls)]


def _type_of(text: str, parts: Mapping[str, type]) -> Any:
    if text in _PLAIN:
        return _PLAIN[text]
    if text.startswith(_MANY) and text.endswith(_END):
        return {"type": "array", "items": _type_of(text[len(_MANY) : -len(_END)], parts)}
    if text in parts:
        return {"type": "record", "name": text, "fields": fields_of(parts[text], tuple(parts.values()))}
    raise TypeError(f"{text} has no Avro type; name a plain one, or give the dataclass among the nested ones")


def reader_of(cls: type, nested: tuple[type, ...] = ()) -> Reader:
    """Makes an instance out of the dictionary that Avro's reader gives for it."""
    parts = {part.__name__: part for part in nested}
    many = {f.name: _item_reader(str(f.type), parts) for f in fields(cls) if str(f.type).startswith(_MANY)}
    if not many:
        return lambda raw: cls(**raw)

    def read(raw: dict[str, Any]) -> Any:
        for name, item in many.items():
            raw[name] = tuple(raw[name]) if item is None else tuple(map(item, raw[name]))
        return cls(**raw)

    return read


def _item_reader(text: str, parts: Mapping[str, type]) -> Reader | None:
    part = parts.get(text[len(_MANY) : -len(_END)])
    return None if part is None else reader_of(part, tuple(parts.values()))
