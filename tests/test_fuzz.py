"""Bad input at every decoder: whatever comes, it is taken or refused by the error that is meant for it.

`python -m tests.fuzz_long --seconds 3600` plays the same properties with fresh examples for as long as that.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import replace
from functools import partial
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from balancer.ingress import read_head
from balancer.prompt import read_prompt
from balancer.readiness import MAX_REQUEST_BYTES, _ReadinessConnection
from balancer.routes import RouteTable
from balancer.streams import MAX_EVENT_BYTES, BadStreamError, EventReader
from balancer.tiers import Tiers
from balancer.upstream_protocol import free_handle_call, read_handle
from config.checking import ConfigurationReader, check, digest, parse_configuration, parse_upstreams
from config.configuration import ClientLimits
from config.errors import DiskError, FleetError, InvalidConfigurationError, SettingsError, WireError
from config.settings import parse
from consensus import messages as control
from consensus.codec import RECORDS, decode_nested, decode_record
from consensus.disk_store import Store
from consensus.files import OsFiles
from control.operators import OPERATOR_ROUTES
from control.orders import change_phase
from control.platform import PlatformError, PlatformList, pack
from dissemination import messages as news
from mastturnd import asking, dashboard, draining, fleet_status
from mastturnd.tracing import parse_pairs
from passpost.http1 import Response
from passpost.validation import BadRequestError
from tests import fuzz_inputs
from tests.fabric_callers import configuration
from tests.fuzz_inputs import LIMITS, as_text, changed, deep, json_of, of_schema, spoilt
from tests.test_config_settings import WHOLE
from tests.test_mastturnd_cli_commands import PRESENT, UPSTREAMS, _balancer, _control
from transport.http_server import _HttpConnection
from transport.wire import MAX_FRAME_BYTES, FrameReader, Link, MessageKinds, to_avro

BETWEEN = MessageKinds().include(control.KINDS).include(news.KINDS)
CONVERSATIONS = {"between processes": BETWEEN, "on disk": RECORDS}
CASES = [(kinds, cls) for kinds in CONVERSATIONS.values() for cls in kinds._by_type]
NAMES = [cls.__name__ for _, cls in CASES]


@pytest.fixture(autouse=True, scope="module")
def _counted() -> Iterator[None]:
    yield
    fuzz_inputs.write_counts()


def count(name: str) -> None:
    fuzz_inputs.tried[name] += 1


def message_of(kinds: MessageKinds, cls: type) -> st.SearchStrategy[Any]:
    """Messages of a kind as a hostile peer may form them: fit for the schema, with any values."""
    schema = kinds._by_type[cls].schema
    return of_schema({"type": "record", "fields": schema["fields"]}).map(lambda raw: cls(**raw))


def any_message(kinds: MessageKinds) -> st.SearchStrategy[Any]:
    return st.one_of([message_of(kinds, cls) for cls in kinds._by_type])


# ---- between processes, and on disk


@pytest.mark.parametrize(("kinds", "cls"), CASES, ids=NAMES)
@LIMITS
@given(data=st.data())
def test_a_message_comes_as_it_went(kinds: MessageKinds, cls: type, data: st.DataObject) -> None:
    count("message")
    message = data.draw(message_of(kinds, cls))
    (frame,) = FrameReader().feed(kinds.encode(message))
    again = kinds.decode(frame.number, frame.body)
    assert to_avro(again) == to_avro(message)


@pytest.mark.parametrize(("kinds", "cls"), CASES, ids=NAMES)
@LIMITS
@given(data=st.data())
def test_a_spoilt_record_is_a_wire_error_or_goes_on_as_it_came(
    kinds: MessageKinds, cls: type, data: st.DataObject
) -> None:
    count("record")
    number = kinds._by_type[cls].number
    good = kinds.encode(data.draw(message_of(kinds, cls)))[6:]
    body = data.draw(st.one_of(st.binary(max_size=80), spoilt(good)))
    try:
        message = kinds.decode(number, body)
    except WireError:
        return
    if kinds is not BETWEEN or isinstance(message, control.Message):
        try:
            message = decode_nested(message)
        except (ValueError, KeyError, TypeError):
            return  # `ControlNode._on_message` ends the connection
    kinds.encode(message)  # what was taken is passed on, or told again


class Transport:
    """Takes what is written; says whether it was ended."""

    def __init__(self) -> None:
        self.written, self.ended = b"", False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.ended = True

    close = abort

    def is_closing(self) -> bool:
        return self.ended

    def get_extra_info(self, name: str) -> Any:
        return ("10.0.0.9", 1) if name == "peername" else None

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        return None

    resume_reading = pause_reading


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """The same bytes in pieces."""
    ends = sorted({min(p, len(data)) for p in places} | {0, len(data)})
    return [data[a:b] for a, b in pairwise(ends)]


PLACES = st.lists(st.integers(0, 400), max_size=6)


@LIMITS
@given(data=st.data(), places=PLACES)
def test_a_connection_takes_any_bytes_and_ends_at_bad_ones(data: st.DataObject, places: list[int]) -> None:
    count("connection")
    good = b"".join(
        BETWEEN.encode(data.draw(any_message(BETWEEN))) for _ in range(data.draw(st.integers(1, 3)))
    )
    raw = data.draw(st.one_of(st.binary(max_size=200), spoilt(good)))

    async def talk() -> None:
        transport = Transport()
        link = Link(BETWEEN, lambda link, message: None, lambda link: None)
        link.connection_made(transport)  # type: ignore[arg-type]
        for piece in cut(raw, places):
            if not transport.ended:
                link.data_received(piece)
        assert len(link._reader._buffer) <= len(raw)

    asyncio.run(talk())


@LIMITS
@given(size=st.integers(0, 2**32 - 1), number=st.integers(0, 2**16 - 1))
def test_a_frame_is_not_held_beyond_its_bound(size: int, number: int) -> None:
    count("frame")
    reader = FrameReader()
    head = size.to_bytes(4, "big") + number.to_bytes(2, "big")
    if size > MAX_FRAME_BYTES:
        with pytest.raises(WireError):
            reader.feed(head)
    else:
        assert reader.feed(head) == ([] if size else reader.feed(b"") or [reader_frame(number)])


def reader_frame(number: int) -> Any:
    return FrameReader().feed((0).to_bytes(4, "big") + number.to_bytes(2, "big"))[0]


@LIMITS
@given(data=st.data())
def test_a_spoilt_record_of_the_disk_is_told(data: st.DataObject) -> None:
    count("disk record")
    good = RECORDS.encode(data.draw(any_message(RECORDS)))
    raw = data.draw(st.one_of(st.binary(max_size=80), spoilt(good)))
    with suppress(WireError, IndexError, ValueError, KeyError, TypeError):  # it counts as a new process then
        decode_record(raw)


@LIMITS
@given(data=st.data(), which=st.sampled_from(["slot.0", "slot.1", "log.0", "log.1"]))
def test_a_spoilt_disk_is_read_or_told(data: st.DataObject, which: str, tmp_path_factory: Any) -> None:
    count("disk")
    folder: Path = tmp_path_factory.mktemp("disk")
    store = Store.open(folder, OsFiles())
    store.load()
    store.checkpoint(b"first state")
    store.append(b"a record")
    store.checkpoint(b"second state")
    store.append(b"another record")
    path = folder / which
    path.write_bytes(data.draw(spoilt(path.read_bytes())))
    try:
        loaded = Store.open(folder, OsFiles()).load()
    except DiskError:
        return
    assert loaded.state in (None, b"first state", b"second state")
    assert set(loaded.records) <= {b"a record", b"another record"}


# ---- settings and configuration

SETTINGS_TEXTS = st.one_of(
    st.text(max_size=60),
    spoilt(yaml.safe_dump(WHOLE).encode()).map(lambda b: b.decode("utf-8", "replace")),
    deep.map(bytes.decode),
    st.sampled_from(["- " * 100_000, "? " * 100_000, "a: &a {x: *a}", "a: &a [*a, *a]"]),
)
SETTINGS_NAMES = [*WHOLE, "http", "readyz", "nodes", "addr", "rate_per_s", "log_levels", "readyz_port"]


@LIMITS
@given(raw=changed(WHOLE, SETTINGS_NAMES))
def test_settings_are_taken_or_refused_with_a_remedy(raw: Any) -> None:
    count("settings")
    try:
        parse(yaml.safe_dump(raw))
    except SettingsError as error:
        assert error.remedy and "\n" not in str(error) and len(str(error)) < 500


@LIMITS
@given(text=SETTINGS_TEXTS)
def test_a_spoilt_settings_file_is_refused_with_a_remedy(text: str) -> None:
    count("settings text")
    try:
        parse(text)
    except SettingsError as error:
        assert error.remedy and "\n" not in str(error)


DOCUMENT = json.loads(configuration(5, drained=["edge-1"]))
DOCUMENT_NAMES = [*DOCUMENT, *DOCUMENT["routes"][0], *DOCUMENT["svcs"][0], "drained"]
BODIES = st.one_of(
    changed(DOCUMENT, DOCUMENT_NAMES).map(as_text),
    json_of(DOCUMENT_NAMES).map(as_text),
    spoilt(as_text(DOCUMENT)),
    st.binary(max_size=60),
    deep,
)


@LIMITS
@given(body=BODIES)
def test_a_configuration_is_taken_or_refused_with_a_remedy(body: bytes) -> None:
    count("configuration")
    for read in (check, parse_configuration, digest):
        try:
            read(body)
        except InvalidConfigurationError as error:
            assert error.remedy and "\n" not in str(error) and len(str(error)) < 1000
    draining.is_drained(body, "edge-1")
    try:
        taken = check(body)
    except InvalidConfigurationError:
        return
    # What is taken can be served by: each route is found, or another before it, and its figures can be used.
    assert parse_configuration(body) == taken.configuration
    table = RouteTable(taken.configuration)
    for route in taken.configuration.routes:
        table.find(route.host, route.path_prefix)


ENTRY = {
    "id": "u-1", "svc": "pool", "addr": "10.0.0.1:80", "zone": "a", "ver": "v1", "capacity": 4, "state": "up",
    "cold_left_ms": 0, "phase": "decode", "models": [{"name": "m", "ver": 1, "loras": ["l"]}],
}  # fmt: skip
PAGE = {"upstreams": [ENTRY, ENTRY | {"id": "u-2", "phase": "prefill"}], "next_cursor": None}
PAGES = st.one_of(
    changed(PAGE, [*ENTRY, *PAGE]).map(as_text), spoilt(as_text(PAGE)), st.binary(max_size=60), deep
)


@LIMITS
@given(body=PAGES)
def test_the_platforms_list_is_read_or_refused_and_can_be_served_by(body: bytes) -> None:
    count("list")
    try:
        entries, _ = parse_upstreams(body)
    except WireError:
        return
    import random

    tiers = Tiers(random.Random(1), lambda name: True)
    tiers.update(entries, 0.0)
    for entry in entries:
        # Header lines of ours hold its id and address: nothing in them may end a line, or be no line.
        head = free_handle_call(entry.addr, entry.id, "h").head
        assert head.count(b"\r\n") == 5 and head.isascii() and head.count(b"\n") == 5
        peer = tiers.peer(entry.id)
        assert peer is not None and b"\n" not in peer.id_bytes


@LIMITS
@given(body=PAGES)
def test_the_platforms_answer_is_a_list_or_a_platform_error(body: bytes) -> None:
    count("platform")
    platform = PlatformList(("127.0.0.1", 1))

    class DiscoveryConnection:
        async def get(self, target: str) -> Response:
            return Response(200, [], body, True)

        def close(self) -> None:
            return None

    platform._connection = DiscoveryConnection()  # type: ignore[assignment]
    try:
        entries = asyncio.run(platform.read())
    except PlatformError:
        return
    parse_upstreams(pack(entries))


# ---- what upstreams answer


@LIMITS
@given(body=st.one_of(
    changed({"kv_ref": "a", "ntokens": 3, "ver": 1}, ["kv_ref", "ntokens", "ver"]).map(as_text),
    json_of(["kv_ref", "ntokens"]).map(as_text), st.binary(max_size=40), deep,
    st.sampled_from([b'{"kv_ref":"a","ntokens":1e999}', b'{"kv_ref":"a","ntokens":"9"}'])))  # fmt: skip
def test_a_prefill_answer_is_a_handle_or_none(body: bytes) -> None:
    count("handle")
    found = read_handle(body)
    if found is not None:
        assert free_handle_call("10.0.0.1:1", "u-1", found[0]).head.count(b"\r\n") == 5


EVENTS = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


@LIMITS
@given(
    data=st.one_of(st.binary(max_size=80), spoilt(EVENTS)),
    places=PLACES,
    after=st.one_of(st.none(), st.integers(0, 3)),
)
def test_a_stream_passes_whole_events_in_order_however_it_is_cut(
    data: bytes, places: list[int], after: int | None
) -> None:
    count("stream")

    def play(pieces: list[bytes]) -> tuple[bytes, bool, int | None]:
        reader, out = EventReader(after), b""
        for piece in pieces:
            try:
                out += reader.feed(piece)
            except BadStreamError as error:
                return out + error.valid, True, reader.last_event_id
            assert len(reader._held) <= MAX_EVENT_BYTES
        return out, False, reader.last_event_id

    whole, bad, _ = play([data])
    assert data.startswith(whole) and (bad or not whole or whole[-1:] in b"\r\n")
    # One byte at a time nothing may pass that does not pass at once.
    some, _, _ = play(cut(data, places))
    assert data.startswith(some)


@LIMITS
@given(
    raw=st.one_of(st.binary(max_size=120), spoilt(b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"))
)
def test_an_upstreams_answer_to_an_order_has_an_outcome(raw: bytes) -> None:
    count("order")
    entry = replace(parse_upstreams(as_text(PAGE))[0][0], addr="127.0.0.1:9")

    async def connect(host: str, port: int) -> Any:
        reader = asyncio.StreamReader()
        reader.feed_data(raw)
        reader.feed_eof()
        return reader, SimpleNamespace(write=lambda data: None, close=lambda: None)

    async def test() -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(asyncio, "open_connection", connect)
            await change_phase(entry, "decode", "core-1", 3)

    asyncio.run(test())


# ---- clients' and operators' calls

FIELDS = st.sampled_from(
    [
        *(b"Host", b"Content-Length", b"Transfer-Encoding", b"Mastturn-Request-Id", b"Mastturn-Deadline-Ms"),
        *(b"Last-Event-Id", b"Mastturn-Token-Count", b"Mastturn-Prompt-Prefix", b"X"),
    ]
)
VALUES = st.sampled_from([b"shop.example", b"chunked", b"5", b"r1", b"9,9", b"a:1,b:2"])
LINES = st.lists(st.tuples(FIELDS, st.one_of(st.binary(max_size=20), VALUES)), max_size=8)


@LIMITS
@given(
    method=st.sampled_from([b"GET", b"POST", b"BREW", b""]),
    target=st.one_of(st.binary(max_size=20), st.just(b"/run/1")),
    version=st.sampled_from(["1.0", "1.1", "2"]),
    lines=LINES,
)
def test_a_clients_head_is_taken_or_refused(method: bytes, target: bytes, version: str, lines: Any) -> None:
    count("head")
    table = RouteTable(parse_configuration(as_text(DOCUMENT)))
    try:
        call = read_head(method, target, version, lines, table, ClientLimits())
    except BadRequestError as error:
        assert error.status in (400, 404, 405, 413, 431)
        return
    assert call.remaining_s >= 0 and b"\n" not in call.request_id


@LIMITS
@given(prefix=st.one_of(st.none(), st.binary(max_size=40), spoilt(b"aa:400,bb:500")),
       count_=st.one_of(st.none(), st.binary(max_size=20), spoilt(b"900,3")))  # fmt: skip
def test_what_a_client_tells_of_its_prompt_is_read_or_counts_as_not_told(
    prefix: bytes | None, count_: bytes | None
) -> None:
    count("prompt")
    found = read_prompt(prefix, count_)
    assert 0 <= found.tokens < 10**12 and found.shared_tokens >= 0


class Control:
    """A control process that takes nothing."""

    reader = ConfigurationReader()

    def is_leader(self) -> bool:
        return False

    def leader(self) -> Any:
        return SimpleNamespace(ctl="10.0.0.1:1")

    def next_token(self) -> int:
        return 1


CALL = b'PUT /api/config HTTP/1.1\r\nHost: x\r\nIf-Match: "5"\r\nContent-Length: 7\r\n\r\n{"a":1}'
PATCH = b'PATCH /api/config HTTP/1.1\r\nHost: x\r\nIf-Match: 5\r\nContent-Length: 9\r\n\r\n{"ver":9}'
GOOD_CALLS = CALL + PATCH + b"GET /api/history HTTP/1.1\r\nHost: x\r\n\r\nGET /nothing HTTP/1.1\r\n\r\n"


@LIMITS
@given(raw=st.one_of(st.binary(max_size=200), spoilt(CALL), spoilt(GOOD_CALLS)), places=PLACES)
def test_the_operators_door_answers_any_bytes_or_ends_the_connection(raw: bytes, places: list[int]) -> None:
    count("call")

    async def talk() -> None:
        transport = Transport()
        caller = _HttpConnection(OPERATOR_ROUTES, Control(), set())
        caller.connection_made(transport)  # type: ignore[arg-type]
        for piece in cut(raw, places):
            caller.data_received(piece)
        for _ in range(50):
            await asyncio.sleep(0)
        caller.connection_lost(None)
        assert b" 500 " not in transport.written
        for answer in transport.written.split(b"HTTP/1.1 ")[1:]:
            assert answer[:3].isdigit()

    asyncio.run(talk())


@LIMITS
@given(
    raw=st.one_of(st.binary(max_size=200), spoilt(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n" * 2)),
    places=PLACES,
)
def test_readiness_answers_any_bytes_or_ends_the_connection(raw: bytes, places: list[int]) -> None:
    count("readiness")
    transport, opened = Transport(), dict[Any, None]()
    asked = _ReadinessConnection(lambda: True, lambda head, transport: False, opened)
    asked.connection_made(transport)  # type: ignore[arg-type]
    for piece in cut(raw, places):
        if not transport.ended:
            asked.data_received(piece)
    assert len(asked._held) <= MAX_REQUEST_BYTES or transport.ended
    asked.connection_lost(None)
    assert not opened


# ---- what an operator's command gets


@LIMITS
@given(body=st.one_of(json_of(["error", "ver", "role", "node"]).map(as_text), st.binary(max_size=40), deep))
def test_an_answer_to_a_command_is_json_or_told_so(body: bytes) -> None:
    count("answer")
    answer = asking.Answer(200, {}, body, "10.0.0.1:1")
    assert len(answer.error_text().splitlines()) <= 1 and len(answer.error_text()) <= asking.MAX_ERROR_CHARS
    for read in (answer.json, partial(asking.parse_endpoint, body.decode("latin-1"))):
        try:
            read()
        except FleetError as error:
            assert error.remedy


CONTROL = _control("core-1", "primary", present=PRESENT, upstreams=UPSTREAMS)
BALANCER = _balancer("edge-1")
STATUS_NAMES = sorted({*CONTROL, *BALANCER, *CONTROL["members"][0]})


@LIMITS
@given(
    control=st.one_of(changed(CONTROL, STATUS_NAMES), changed(BALANCER, STATUS_NAMES)).map(as_text),
    balancer=st.one_of(changed(BALANCER, STATUS_NAMES), changed(CONTROL, STATUS_NAMES)).map(as_text),
)
def test_whatever_processes_tell_is_shown_or_counts_as_no_answer(control: bytes, balancer: bytes) -> None:
    count("status")
    whole = as_text(_control("core-2", "witness", epoch=2))
    bodies = {"core-1:1": control, "core-2:1": whole}

    def call_once(endpoint: str, method: str, target: str, **more: Any) -> asking.Answer | None:
        return asking.Answer(200, {}, bodies.get(endpoint, balancer), endpoint)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asking, "call_once", call_once)
        found = fleet_status.gather(["core-1:1", "core-2:1"], 8)
    assert fleet_status.format_lines(found)
    assert "<script" not in dashboard.render_page(found, "core-1", "")


@LIMITS
@given(
    line=st.one_of(
        st.text(max_size=60),
        spoilt(b"time=1 level=INFO event=sent request='a b'").map(lambda b: b.decode("latin-1")),
    )
)
def test_a_spoilt_log_line_is_read_as_far_as_it_goes(line: str) -> None:
    count("log line")
    assert all(isinstance(v, str) for v in parse_pairs(line).values())
