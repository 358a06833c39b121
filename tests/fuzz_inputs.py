"""What the properties of bad input draw from: values that fit a schema, any JSON, and good bytes spoilt."""

from __future__ import annotations

import json
import os
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

USUAL = 40  # examples of each property in a whole run of the tests; the same ones each time
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", USUAL))
tried: Counter[str] = Counter()  # by property

LIMITS = settings(
    max_examples=EXAMPLES,
    derandomize=EXAMPLES == USUAL,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def write_counts() -> None:
    """Add what was tried to the file that FUZZ_COUNTS names, for a long run."""
    if path := os.environ.get("FUZZ_COUNTS"):
        with Path(path).open("a", encoding="utf-8") as file:
            file.write(json.dumps(tried) + "\n")


def of_schema(schema: Any) -> st.SearchStrategy[Any]:
    """Values that Avro's writer takes for a (parsed) schema; records are dictionaries."""
    if isinstance(schema, list):
        return st.one_of([of_schema(part) for part in schema])
    name = schema["type"] if isinstance(schema, dict) else schema
    if name == "record":
        return st.fixed_dictionaries({f["name"]: of_schema(f["type"]) for f in schema["fields"]})
    if name == "array":
        return st.lists(of_schema(schema["items"]), max_size=4)
    plain: dict[str, st.SearchStrategy[Any]] = {
        "null": st.none(),
        "boolean": st.booleans(),
        "int": st.integers(-(2**31), 2**31 - 1),
        "long": st.integers(-(2**63), 2**63 - 1),
        "string": st.text(max_size=12),
        "bytes": st.binary(max_size=24),
    }
    return plain[name]


numbers = st.one_of(
    st.integers(-3, 12), st.integers(), st.floats(), st.sampled_from([1e308, -1e308, 2**63, 10**400])
)
leaves = st.one_of(st.none(), st.booleans(), numbers, st.text(max_size=12))


def json_of(names: list[str]) -> st.SearchStrategy[Any]:
    """JSON values, with these names of fields among others."""
    keys = st.one_of(st.sampled_from(names), st.text(max_size=6))
    return st.recursive(
        leaves,
        lambda inner: st.one_of(st.lists(inner, max_size=4), st.dictionaries(keys, inner, max_size=6)),
        max_leaves=24,
    )


def as_text(value: Any) -> bytes:
    """JSON as it is written by a program that knows no bounds (NaN and Infinity too)."""
    return json.dumps(value).encode("utf-8", "surrogatepass")


deep = st.sampled_from([b"[" * 100_000, b'{"a":' * 100_000, b"[" * 900 + b"]" * 900, b"9" * 5000])


def spoilt(good: Callable[[], bytes] | bytes) -> st.SearchStrategy[bytes]:
    """Good bytes with some replaced, cut out, doubled or put in."""
    data = good if isinstance(good, bytes) else good()
    places = st.integers(0, max(len(data), 1))

    def spoil(cuts: list[tuple[int, int, bytes]]) -> bytes:
        found = data
        for start, length, new in cuts:
            found = found[:start] + new + found[start + length :]
        return found

    pieces = st.one_of(
        st.binary(max_size=6), st.sampled_from([b"\r\n", b"\0", b"\xff" * 9, b"1e999", b"-1", b"[" * 50])
    )
    return st.lists(st.tuples(places, st.integers(0, 12), pieces), max_size=4).map(spoil)


def changed(raw: Any, names: list[str]) -> st.SearchStrategy[Any]:
    """A good JSON object in which one value, anywhere, is another."""
    paths: list[tuple[Any, ...]] = []

    def walk(value: Any, path: tuple[Any, ...]) -> None:
        paths.append(path)
        if isinstance(value, dict):
            for key, inner in value.items():
                walk(inner, (*path, key))
        elif isinstance(value, list):
            for place, inner in enumerate(value):
                walk(inner, (*path, place))

    walk(raw, ())

    def put(path: tuple[Any, ...], new: Any) -> Any:
        if not path:
            return new
        found = json.loads(json.dumps(raw))
        at = found
        for key in path[:-1]:
            at = at[key]
        at[path[-1]] = new
        return found

    return st.builds(put, st.sampled_from(paths), json_of(names))
