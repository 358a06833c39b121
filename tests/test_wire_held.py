"""Message and record kinds keep the encoding of the releases that introduced them.

tests/approved/kinds.txt holds the schema of each kind and one message with its bytes, as written by the first
release that had it. During an upgrade, a program of another release reads those bytes and writes the same
ones.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from consensus.codec import RECORDS
from consensus.messages import KINDS as CONTROL
from dissemination.messages import KINDS as NEWS
from tallies.messages import KINDS as TALLIES
from tests.fabric_world import APPROVED, assert_approved
from transport.wire import EDITION, FrameReader, MessageKinds, to_avro

TABLES = {"control": CONTROL, "news": NEWS, "disk": RECORDS, "tallies": TALLIES}
# By class, where they differ: the names in the releases that introduced the kinds. The values of the approved
# messages are derived from them, so that their bytes stay those that these releases wrote.
INITIAL_NAMES = {
    "PreVoteRequest": "Ask",
    "PreVoteResponse": "Answer",
    "Promise": "Promised",
    "InstallView": "Install",
    "InstallViewAck": "Installed",
    "WriteAck": "Written",
    "WriteRequest": "Write",
    "Heartbeat": "Beat",
    "HeartbeatAck": "Heard",
    "JoinRequest": "Join",
    "ViewUpdate": "Known",
    "TransferLeadership": "Succeed",
    "LeaveRequest": "Leaving",
    "LeaveAck": "Released",
    "LeaderHeartbeat": "Pulse",
    "ConfigurationUpdate": "ConfigurationNews",
    "UpstreamListUpdate": "UpstreamNews",
    "Redirect": "Moved",
    "MembershipUpdate": "MemberNews",
    "PresenceReport": "Roll",
    "LoadUpdate": "LoadNews",
    "CachedPrefixReport": "HoldingReport",
    "CachedPrefixUpdate": "HoldingNews",
    "Hello": "Speaks",
    "FailureReport": "DoubtReport",
    "FailureUpdate": "DoubtNews",
    "EpochNotice": "EpochHeard",
    "PushAdds": "Push",
    "PushAck": "Kept",
    "ChildDigests": "Digests",
    "FoldedAddsRequest": "WantFolded",
    "Snapshot": "State",
    "SnapshotRecord": "WholeRecord",
}


def a_value(schema: Any, path: str) -> Any:
    """Returns a value that fits a schema; it is derived from its position, so that all values differ."""
    if isinstance(schema, list):
        return a_value(schema[-1], path)
    name = schema["type"] if isinstance(schema, dict) else schema
    match name:
        case "record":
            return {f["name"]: a_value(f["type"], f"{path}.{f['name']}") for f in schema["fields"]}
        case "array":
            return [a_value(schema["items"], f"{path}.{i}") for i in range(2)]
        case "null":
            return None
        case "boolean":
            return True
        case "int" | "long":
            return sum(path.encode()) * (1 if name == "int" else 1_000_003)
        case "string":
            return f"{path}-é"
    return path.encode()


def initial_name(cls: type) -> str:
    """Returns the name of a kind in the release that introduced it."""
    return INITIAL_NAMES.get(cls.__name__, cls.__name__)


def fields_of(schema: Any) -> Any:
    """Returns the encoded part of a schema: field names and types, in order."""
    if isinstance(schema, list):
        return [fields_of(part) for part in schema]
    if not isinstance(schema, dict):
        return schema
    match schema["type"]:
        case "record":
            return {"record": [[f["name"], fields_of(f["type"])] for f in schema["fields"]]}
        case "array":
            return {"array": fields_of(schema["items"])}
    return schema["type"]


def kinds_of(kinds: MessageKinds) -> list[tuple[int, type, Any]]:
    return sorted((kind.number, cls, kind.schema) for cls, kind in kinds._by_type.items())


def test_each_kind_is_spoken_as_it_was() -> None:
    lines = []
    for table, kinds in TABLES.items():
        for number, cls, schema in kinds_of(kinds):
            message = cls(**a_value({"type": "record", "fields": schema["fields"]}, initial_name(cls)))
            lines.append(f"{table} {number} {cls.__name__} {json.dumps(fields_of(schema))}")
            lines.append(f"  {kinds.encode(message).hex()}")
    assert_approved("kinds", "\n".join(lines) + "\n")


@pytest.mark.parametrize("table", TABLES)
def test_what_an_earlier_release_wrote_is_read(table: str) -> None:
    kinds = TABLES[table]
    lines = (APPROVED / "kinds.txt").read_text(encoding="utf-8").splitlines()
    held = [
        (int(head.split(" ")[1]), bytes.fromhex(raw.strip()))
        for head, raw in zip(lines[::2], lines[1::2], strict=True)
        if head.startswith(f"{table} ")
    ]
    assert held
    for number, raw in held:
        (frame,) = FrameReader().feed(raw)
        assert frame.number == number
        message = kinds.decode(number, frame.body)
        assert kinds.encode(message) == raw
        schema = kinds._by_number[number].schema
        expected = a_value({"type": "record", "fields": schema["fields"]}, initial_name(type(message)))
        assert json.loads(json.dumps(to_avro(message), default=list_of)) == json.loads(
            json.dumps(expected, default=list_of)
        )


def list_of(value: Any) -> Any:
    return list(value)  # Bytes.


def test_the_edition_stands_for_these_kinds() -> None:
    """A new kind raises EDITION, and each number is used only once."""
    assert (EDITION, len(CONTROL._by_type), len(NEWS._by_type), len(TALLIES._by_type)) == (7, 15, 19, 8)
    assert CONTROL._by_number.keys().isdisjoint(NEWS._by_number)
    # Earlier releases close the connection on unknown numbers below their highest one.
    assert sorted(CONTROL._by_number) == [*range(1, 15), 118]
    assert sorted(TALLIES._by_number) == [*range(120, 128)]
    assert len(CONTROL._by_number) == len(CONTROL._by_type) and len(NEWS._by_number) == len(NEWS._by_type)
