"""Entries of `fleet.registry` in discovery's form with their detail, as our own programs tell them."""

from __future__ import annotations

from typing import Any

from fleet.registry.entries import Entry, Word

WORDS = {word.name.lower(): word for word in Word}


def read_entry(told: dict[str, Any]) -> Entry:
    """An entry in discovery's form with its detail; raises ValueError, TypeError or LookupError."""
    if "incarnation" not in told:
        raise ValueError("entries without their detail: no replica or agent of the list service")
    return Entry(
        id=str(told["id"]),
        host_port=str(told["host_port"]),
        list=str(told.get("list", "")),
        locality=str(told.get("locality", "")),
        flavor=str(told.get("flavor", "")),
        cell=int(told.get("cell", 0)),
        size=float(told.get("size", 1.0)),
        up_since_ms=float(told.get("up_since_ms", 0)),
        incarnation=int(told["incarnation"]),
        word=WORDS[told["word"]],
        holder=str(told.get("holder", "")),
        turn=int(told.get("turn", 0)),
        lapsed=bool(told.get("lapsed", False)),
    )


def write_entry(entry: Entry) -> dict[str, Any]:
    """The same way back: the published keys, and what orders two reports."""
    return {
        "id": entry.id,
        "host_port": entry.host_port,
        "locality": entry.locality,
        "flavor": entry.flavor,
        "cell": entry.cell,
        "phase": entry.phase,
        "size": entry.size,
        "up_since_ms": entry.up_since_ms,
        "list": entry.list,
        "incarnation": entry.incarnation,
        "word": entry.word.name.lower(),
        "turn": entry.turn,
        "lapsed": entry.lapsed,
        "holder": entry.holder,
    }
