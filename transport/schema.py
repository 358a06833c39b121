"""Derives Avro schemas from dataclasses, and builds instances from what the Avro reader returns.

The type of a field is read from its annotation as text: `str`, `bytes`, `bool`, `int` (64 bits), `Int32`,
`tuple[X, ...]` and the names of nested dataclasses.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import fields
from typing import Any

Int32 = int  # at most 32 bits on the wire
_PRIMITIVES = {"str": "string", "bytes": "bytes", "bool": "boolean", "int": "long", "Int32": "int"}
_TUPLE_START, _TUPLE_END = "tuple[", ", ...]"
Reader = Callable[[Any], Any]


def avro_fields(cls: type, nested: tuple[type, ...] = ()) -> list[dict[str, Any]]:
    """Return the record fields of a dataclass; `nested`: the dataclasses that its annotations name."""
    nested_by_name = {nested_cls.__name__: nested_cls for nested_cls in nested}
    return [{"name": f.name, "type": _type_of(str(f.type), nested_by_name)} for f in fields(cls)]


def _type_of(annotation: str, nested_by_name: Mapping[str, type]) -> Any:
    if annotation in _PRIMITIVES:
        return _PRIMITIVES[annotation]
    if annotation.startswith(_TUPLE_START) and annotation.endswith(_TUPLE_END):
        return {
            "type": "array",
            "items": _type_of(annotation[len(_TUPLE_START) : -len(_TUPLE_END)], nested_by_name),
        }
    if annotation in nested_by_name:
        return {
            "type": "record",
            "name": annotation,
            "fields": avro_fields(nested_by_name[annotation], tuple(nested_by_name.values())),
        }
    raise TypeError(f"{annotation} has no Avro type; use a supported type, or pass the dataclass as nested")


def make_reader(cls: type, nested: tuple[type, ...] = ()) -> Reader:
    """Return a function that builds an instance from the dictionary that the Avro reader returns."""
    nested_by_name = {nested_cls.__name__: nested_cls for nested_cls in nested}
    item_readers = {
        f.name: _item_reader(str(f.type), nested_by_name)
        for f in fields(cls)
        if str(f.type).startswith(_TUPLE_START)
    }
    if not item_readers:
        return lambda raw: cls(**raw)

    def read(raw: dict[str, Any]) -> Any:
        for name, read_item in item_readers.items():
            raw[name] = tuple(raw[name]) if read_item is None else tuple(map(read_item, raw[name]))
        return cls(**raw)

    return read


def _item_reader(annotation: str, nested_by_name: Mapping[str, type]) -> Reader | None:
    nested_cls = nested_by_name.get(annotation[len(_TUPLE_START) : -len(_TUPLE_END)])
    return None if nested_cls is None else make_reader(nested_cls, tuple(nested_by_name.values()))
