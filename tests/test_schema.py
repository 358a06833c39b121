"""Avro schemas derived from dataclasses: the type of each field, and unsupported types."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pytest

from transport.schema import Int32, avro_fields, make_reader
from transport.wire import FrameReader, MessageKinds


@dataclass(frozen=True, slots=True)
class Leaf:
    name: str
    size: Int32


@dataclass(frozen=True, slots=True)
class Tree:
    number: int
    body: bytes
    is_new: bool
    names: tuple[str, ...]
    leaves: tuple[Leaf, ...]


def test_each_type_has_its_own() -> None:
    leaf = {"type": "record", "name": "Leaf", "fields": avro_fields(Leaf)}
    assert avro_fields(Leaf) == [{"name": "name", "type": "string"}, {"name": "size", "type": "int"}]
    assert avro_fields(Tree, (Leaf,)) == [
        {"name": "number", "type": "long"},
        {"name": "body", "type": "bytes"},
        {"name": "is_new", "type": "boolean"},
        {"name": "names", "type": {"type": "array", "items": "string"}},
        {"name": "leaves", "type": {"type": "array", "items": leaf}},
    ]


def test_a_message_with_nested_ones_comes_as_it_went() -> None:
    kinds = MessageKinds()
    kinds.declare(1, nested=(Leaf,))(Tree)
    for tree in (Tree(1, b"b", True, (), ()), Tree(-1, b"", False, ("a",), (Leaf("x", 3), Leaf("y", 4)))):
        (frame,) = FrameReader().feed(kinds.encode(tree))
        assert kinds.decode(frame.number, frame.body) == tree


def test_what_is_read_is_made_of_tuples() -> None:
    read = make_reader(Tree, (Leaf,))
    raw: dict[str, Any] = {"number": 1, "body": b"", "is_new": True, "names": ["a"], "leaves": []}
    assert read(raw) == Tree(1, b"", True, ("a",), ())


@dataclass(frozen=True, slots=True)
class Odd:
    value: float


def test_a_type_that_avro_has_none_for_is_told() -> None:
    with pytest.raises(TypeError, match="float has no Avro type; use a supported type"):
        avro_fields(Odd)
    with pytest.raises(TypeError, match="Leaf has no Avro type"):
        avro_fields(Tree)
