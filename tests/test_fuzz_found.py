"""Bad input that was found to be answered by the wrong error, or by none; each stays refused."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from balancer.upstream_protocol import read_handle
from config.checking import parse_upstreams
from consensus.codec import decode_nested
from consensus.messages import KINDS, ViewUpdate
from consensus.views import Member, View
from control.platform import PlatformError, PlatformList
from mastturnd import asking, draining, fleet_status
from mastturnd.answers import is_status
from mastturnd.wrong import NoAnswerError
from passpost.http1 import Response
from tests.test_mastturnd_cli_commands import PRESENT, _balancer, _control
from transport.wire import FrameReader

DEEP = b"[" * 100_000
ENTRY = {"id": "u-1", "svc": "pool", "addr": "10.0.0.1:80"}


@pytest.mark.parametrize("body", [DEEP, b'{"kv_ref":"a","ntokens":1e999}'])
def test_a_prefill_answer_that_is_no_handle(body: bytes) -> None:
    assert read_handle(body) is None


def test_a_list_that_is_nested_without_end() -> None:
    class Line:
        async def get(self, target: str) -> Response:
            return Response(200, [], DEEP, True)

    platform: Any = PlatformList(("127.0.0.1", 1))
    platform._connection = Line()
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
    assert asking.Answer(400, {}, DEEP, "c").error_text() == "status 400"
    assert asking.Answer(400, {}, b'{"error": "two\\nlines"}', "c").error_text() == "two lines"
    assert len(asking.Answer(400, {}, json.dumps({"error": "x" * 9999}).encode(), "c").error_text()) == 500


@pytest.mark.parametrize("port", [-1, 65536, 2**31, 2**40])
def test_a_member_at_a_port_that_is_none_is_refused_as_it_could_not_be_told_again(port: int) -> None:
    view = View(3, 0, (0,), (Member("m0", "core-1", "10.0.0.1", 7720, "", "a"),))
    (frame,) = FrameReader().feed(KINDS.encode(ViewUpdate("m0", "m1", view, 3)))
    known = KINDS.decode(frame.number, frame.body)
    assert decode_nested(known).view == view
    known.view["members"][0]["port"] = port  # as Avro's reader gives it, whatever its type is
    with pytest.raises(ValueError, match="is out of range"):
        decode_nested(known)


def test_drains_in_a_body_that_is_nested_without_end_drain_nobody() -> None:
    assert not draining.is_drained(b'{"drained": ' + DEEP, "edge-1")


@pytest.mark.parametrize(
    "place", ["", "core-1", "core-1:", "core-1:x", f"{'a' * 70}.b:1", "\ud800:1", "a b\r\n:1"]
)
def test_a_process_at_an_address_that_is_none_gives_no_answer(place: str) -> None:
    assert asking.call_once(place, "GET", "/api/status", timeout_s=0.1) is None


@pytest.mark.parametrize(
    "lost", ["node", "program", "ver", "memory_kb", "standing", "members", "present", "ctl"]
)
def test_a_status_that_lacks_something_counts_as_no_answer(lost: str) -> None:
    told = _control("core-1", "primary", present=PRESENT)
    assert is_status(told)
    assert not is_status({k: v for k, v in told.items() if k != lost})
    assert not is_status(told | {lost: {"a": True}})


@pytest.mark.parametrize("ended", [{"served": "5"}, {"served": True}, [], None])
def test_a_balancer_whose_counts_are_none_counts_as_no_answer(ended: Any) -> None:
    assert is_status(_balancer("edge-1")) and not is_status(_balancer("edge-1", ended=ended))
    assert not is_status({"role": ["balancer"]})


def test_a_balancer_in_the_place_of_a_control_process_leads_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_status, "fetch_status", {"a:1": _balancer("edge-1")}.get)
    with pytest.raises(NoAnswerError):
        fleet_status.gather(["a:1"], None)
