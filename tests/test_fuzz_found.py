"""Bad input that was found to be answered by the wrong error, or by none; each stays refused."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from barograph.platform import PlatformError, PlatformList
from passpost.http1 import Answer
from screen.checking import parse_upstreams
from station import asking, draining
from windvane.wire import read_handle

DEEP = b"[" * 100_000
ENTRY = {"id": "u-1", "svc": "pool", "addr": "10.0.0.1:80"}


@pytest.mark.parametrize("body", [DEEP, b'{"kv_ref":"a","ntokens":1e999}'])
def test_a_prefill_answer_that_is_no_handle(body: bytes) -> None:
    assert read_handle(body) is None


def test_a_list_that_is_nested_without_end() -> None:
    class Line:
        async def get(self, target: str) -> Answer:
            return Answer(200, [], DEEP, True)

    platform: Any = PlatformList(("127.0.0.1", 1))
    platform._line = Line()
    with pytest.raises(PlatformError, match="no JSON"):
        asyncio.run(platform.read())


@pytest.mark.parametrize(
    "changes",
    [
        {"id": "u\r\nX: y"},
        {"id": "ü-1"},
        {"id": "\ud800"},
        {"id": "u 1"},
        {"addr": "a\r\n:80"},
        {"addr": "é:80"},
    ],
)
def test_an_upstream_whose_name_would_break_a_header_line_is_left_out(changes: dict[str, str]) -> None:
    page = {"upstreams": [ENTRY | changes, ENTRY | {"id": "u-2"}]}
    assert [u.id for u in parse_upstreams(json.dumps(page).encode())[0]] == ["u-2"]


def test_an_answer_to_a_command_is_one_line_whatever_it_is() -> None:
    assert asking.Answer(400, {}, DEEP, "c").words() == "status 400"
    assert asking.Answer(400, {}, b'{"error": "two\\nlines"}', "c").words() == "two lines"
    assert len(asking.Answer(400, {}, json.dumps({"error": "x" * 9999}).encode(), "c").words()) == 500


def test_drains_in_a_body_that_is_nested_without_end_drain_nobody() -> None:
    assert not draining.is_drained(b'{"drained": ' + DEEP, "edge-1")
