"""Checks the operators' part of a soak: changes of the configuration and what was read of it."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator

from mastturn.soak.finding import Finding
from mastturn.soak.records import Records
from mastturn.soak.rules import Rule


def check_configuration(records: Records) -> Iterator[Finding]:
    """Check that acknowledged changes form one chain, are read back, and are never read older."""
    acked = [put for put in records.puts if put.status == 200]
    by_base: dict[int, set[bytes]] = defaultdict(set)
    for put in acked:
        if not put.is_valid:
            yield Finding(
                Rule.CONFIGURATION, put.answered_at, "", f"invalid version {put.ver} was acknowledged"
            )
        by_base[put.base].add(put.body)
        if len(by_base[put.base]) == 2:
            description = f"two changes based on version {put.base} were acknowledged"
            yield Finding(Rule.CONFIGURATION, put.answered_at, "", description)
    yield from _check_reads(records)
    newest = max((put.ver for put in acked), default=0)
    if records.final_ver < newest:
        description = f"version {records.final_ver} was read back, but {newest} was acknowledged"
        yield Finding(Rule.CONFIGURATION, 0.0, "", description)
    sent = {put.ver: json.loads(put.body) for put in records.puts if put.status == 200}
    expected = sent.get(records.final_ver)
    if expected is not None and json.loads(records.final_body) != expected:
        description = f"version {records.final_ver} differs from what was sent"
        yield Finding(Rule.CONFIGURATION, 0.0, "", description)


def _check_reads(records: Records) -> Iterator[Finding]:
    """Check that reads sent after an acknowledgement return that version or a later one."""
    for read in records.reads:
        acknowledged = [p.ver for p in records.puts if p.status == 200 and p.answered_at < read.sent_at]
        if read.ver and acknowledged and read.ver < max(acknowledged):
            description = f"{read.by} returned version {read.ver} after {max(acknowledged)} was acknowledged"
            yield Finding(Rule.CONFIGURATION, read.sent_at, "", description)
