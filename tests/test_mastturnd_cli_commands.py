"""Operators' commands: output, exit codes and error messages."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest

from config import settings as settings_file
from config.checking import ConfigurationReader
from config.patching import apply_patch, parse_patch
from consensus.codec import encode_record, snapshot_record
from consensus.disk_store import Store
from consensus.files import OsFiles
from consensus.views import Document, DurableState, Member, View
from mastturnd import __main__ as mastturnd
from mastturnd import asking, configuring, explaining, fleet_status, tracing
from mastturnd.tables import table
from tests.fabric_callers import configuration

ROOT = Path(__file__).parent.parent
Answer = tuple[int, dict[str, str], bytes]


class FakeControlServer:
    """A scripted control process: (method, path, body, headers) -> its answer."""

    def __init__(self, script: Callable[[str, str, bytes, dict[str, str]], Answer]) -> None:
        self.calls: list[tuple[str, str, bytes, dict[str, str]]] = []
        outer = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                call = self.command, self.path, body, {k.lower(): v for k, v in self.headers.items()}
                outer.calls.append(call)
                status, headers, answer = script(*call)
                self.send_response(status)
                for name, value in (headers | {"Content-Length": str(len(answer))}).items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(answer)

            do_PUT = do_PATCH = do_GET

            def log_message(self, format: str, *args: object) -> None:
                return None

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.place = f"127.0.0.1:{self.server.server_address[1]}"
        self._thread = threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.01})
        self._thread.start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        self._thread.join()


@pytest.fixture(autouse=True)
def _alone(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(settings_file.VARIABLE, raising=False)


class FakeControlState:
    """The control state of one process, with a configuration."""

    def __init__(self, ver: int = 5, **changes: Any) -> None:
        self.body = configuration(ver, **changes)
        self.unclear = 0  # number of calls answered with 503 first
        self.taken: list[bytes] = []
        self.races = 0  # number of concurrent changes that come first
        self.ctl = FakeControlServer(self.answer)

    @property
    def ver(self) -> int:
        return int(json.loads(self.body)["ver"])

    def answer(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Answer:
        if self.unclear:
            self.unclear -= 1
            return 503, {}, b"{}"
        if path == "/api/history":
            return 200, {}, json.dumps({"taken": [{"ver": self.ver, "digest": "ab"}]}).encode()
        if path != "/api/config":
            return 404, {}, b"{}"
        if method == "GET":
            return 200, {"ETag": str(self.ver)}, self.body
        if self.races:
            self.races -= 1
            self.body = configuration(self.ver + 1)
        if headers["if-match"] != str(self.ver):
            return 412, {}, json.dumps({"error": f"version {self.ver} is in place"}).encode()
        self.taken.append(body)
        if method == "PATCH":
            body = apply_patch(self.body, parse_patch(body), ConfigurationReader()).body
        self.body = body
        return 200, {}, b"{}"


@pytest.fixture
def state_server() -> Iterator[FakeControlState]:
    found = FakeControlState()
    yield found
    found.ctl.close()


def run(*words: str) -> int:
    return mastturnd.main(["mastturnd", *words])


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        (["status", "now"], "say `status` alone"),
        (["config"], "say `config get|history`"),
        (["config", "putt", "x"], "say `config get|history`"),
        (["drain"], "say `drain NODE`"),
        (["drain", "a", "b"], "say `drain NODE`"),
        (["trace", "id"], "say `trace ID LOG...`"),
        (["explain"], "say `explain NODE` or `explain IP:PORT`"),
        (["status", "--nothing"], "see `python3 -m mastturnd status --help`"),
        (["status", "--within_s=soon"], "see `python3 -m mastturnd status --help`"),
        (["status"], "give --ctl=IP:PORT, or let MASTTURN_CONFIG name a settings file"),
        (["status", "--ctl=here"], "write it as IP:PORT"),
        (["config", "check", "/nowhere"], "name a readable file"),
        (["config", "put", "/nowhere", "--ctl=127.0.0.1:1"], "name a readable file"),
        (["config", "salvage", "/nowhere"], "name the data_dir of a control process"),
        (["trace", "id", "/nowhere"], "name log files"),
        (["explain", "edge-1", "--ctl=127.0.0.1:1"], "give --readyz_port"),
    ],
)
def test_a_wrong_call_is_one_line_with_the_remedy_and_2(
    words: list[str], expected: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(*words) == 2
    told = capsys.readouterr()
    assert told.out == "" and told.err.count("\n") == 1
    assert expected in told.err


def test_help_is_no_error(capsys: pytest.CaptureFixture[str]) -> None:
    assert run("status", "--help") == 0
    assert "config put FILE" in capsys.readouterr().out


@pytest.mark.parametrize("words", [["status", "--help"], ["config", "check", "good.json"]])
def test_a_reader_that_has_enough_is_no_fault(words: list[str], tmp_path: Path) -> None:
    (tmp_path / "good.json").write_bytes(configuration(7))
    reads, writes = os.pipe()
    os.close(reads)
    with os.fdopen(writes, "w") as pipe:
        done = subprocess.run(
            [sys.executable, "-m", "mastturnd", *words],
            cwd=tmp_path,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stdout=pipe,
            stderr=subprocess.PIPE,
            text=True,
            check=False,
        )
    assert (done.returncode, done.stderr) == (0, "")


def test_whoever_does_not_answer_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    assert run("config", "get", "--ctl=127.0.0.1:1", "--within_s=0.1") == 1
    assert "none of 127.0.0.1:1 gives a clear answer to GET /api/config within 0.1 s; see that" in (
        capsys.readouterr().err
    )
    assert run("status", "--ctl=127.0.0.1:1") == 1


def test_the_configuration_comes_as_it_was_sent(
    state_server: FakeControlState, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("config", "get", f"--ctl={state_server.ctl.place}") == 0
    assert capsys.readouterr().out == state_server.body.decode() + "\n"
    assert run("config", "get", f"--ctl={state_server.ctl.place}", "--json") == 0
    assert json.loads(capsys.readouterr().out) == json.loads(state_server.body)
    assert run("config", "history", f"--ctl={state_server.ctl.place}") == 0
    assert capsys.readouterr().out == "VERSION  DIGEST OF WHAT WAS SENT\n      5  ab\n"


def test_a_file_is_put_as_it_is_and_again_until_the_answer_is_clear(
    state_server: FakeControlState, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "new.json"
    path.write_bytes(configuration(7))
    state_server.unclear = 2
    assert run("config", "put", str(path), f"--ctl={state_server.ctl.place}") == 0
    assert capsys.readouterr().out == "version 7 is taken on top of 5\n"
    assert state_server.taken == [configuration(7)]


def test_a_redirect_is_followed_with_the_whole_call(state_server: FakeControlState, tmp_path: Path) -> None:
    path = tmp_path / "new.json"
    path.write_bytes(configuration(7))
    other = FakeControlServer(
        lambda m, p, b, h: (307, {"Location": f"http://{state_server.ctl.place}{p}"}, b"{}")
    )
    try:
        assert run("config", "put", str(path), f"--ctl={other.place}") == 0
    finally:
        other.close()
    assert state_server.taken == [configuration(7)]
    assert state_server.ctl.calls[-1][3]["if-match"] == "5"


def test_a_file_that_builds_on_an_older_version_is_refused_with_the_remedy(
    state_server: FakeControlState, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "new.json"
    path.write_bytes(configuration(7))
    assert run("config", "put", str(path), f"--ctl={state_server.ctl.place}", "--base=3") == 1
    assert "version 5 is in place; look at `config diff`" in capsys.readouterr().err
    assert not state_server.taken


def test_a_patch_is_shown_first_and_then_taken(
    state_server: FakeControlState, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path, ctl = tmp_path / "patch.json", f"--ctl={state_server.ctl.place}"
    entry = json.loads(state_server.body)["routes"][0] | {"tries": 2}
    path.write_text(json.dumps({"ver": 1, "upsert": {"routes": [entry | {"tries": 7}]}}))
    assert run("config", "patch", str(path), ctl, "--next", "--dry_run") == 3
    told = capsys.readouterr().out
    assert f"+ routes.{entry['name']}.tries: 7" in told and "~ ver: 5 -> 6" in told
    assert not state_server.taken
    assert run("config", "patch", str(path), ctl, "--next") == 0
    assert "version 6 is taken on top of 5" in capsys.readouterr().out
    assert json.loads(state_server.body)["routes"][0]["tries"] == 7 and state_server.ver == 6
    assert run("config", "patch", str(path), ctl, "--base=3", "--next") == 1
    path.write_text(json.dumps({"ver": 9, "remove": {"routes": ["nobody"]}}))
    capsys.readouterr()
    assert run("config", "patch", str(path), ctl) == 1
    assert capsys.readouterr().err.startswith(f'{path}: there is no "nobody" in routes to remove; name one')


def test_a_bad_file_never_leaves(
    state_server: FakeControlState, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "new.json"
    path.write_bytes(configuration(7, svcs=[]))
    for command in ("check", "put", "diff"):
        assert run("config", command, str(path), f"--ctl={state_server.ctl.place}") == 1
        told = capsys.readouterr().err
        assert told.startswith(f"{path}: ") and "pool" in told and told.count("\n") == 1
    path.write_bytes(configuration(7, drained="edge-1"))
    assert run("config", "check", str(path)) == 1
    assert 'write it as "drained": ["edge-1"]' in capsys.readouterr().err
    assert not state_server.ctl.calls


def test_what_a_file_would_change(
    state_server: FakeControlState, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "new.json"
    path.write_bytes(state_server.body)
    assert run("config", "diff", str(path), f"--ctl={state_server.ctl.place}") == 0
    assert "is what is in force, version 5" in capsys.readouterr().out
    more = json.loads(configuration(6))
    more["routes"][0]["tries"] = 3
    more["routes"][0]["deadline_ms"] = 9000
    more["svcs"].append({"name": "spare"})
    path.write_text(json.dumps(more))
    assert run("config", "diff", str(path), f"--ctl={state_server.ctl.place}") == 3
    assert capsys.readouterr().out.splitlines() == [
        "~ ver: 5 -> 6",
        "~ routes.r.deadline_ms: 8000 -> 9000",
        "+ routes.r.tries: 3",
        '+ svcs.spare: {"name": "spare"}',
    ]
    assert run("config", "diff", str(path), f"--ctl={state_server.ctl.place}", "--json") == 3
    assert len(json.loads(capsys.readouterr().out)["differs"]) == 4


def test_a_drain_goes_on_when_a_file_says_nothing_of_it(tmp_path: Path) -> None:
    now = configuring.CurrentConfiguration(5, configuration(5, drained=["edge-1"]))
    sent, raw, notes = configuring.prepare_put(configuration(7), "new.json", now, False)
    assert json.loads(sent) == raw and raw["drained"] == ["edge-1"] and raw["ver"] == 7
    assert notes == ["edge-1 stay drained; `undrain` ends that"]
    sent, raw, notes = configuring.prepare_put(configuration(7, drained=[]), "new.json", now, False)
    assert raw["drained"] == [] and not notes  # an explicit empty list
    sent, raw, notes = configuring.prepare_put(configuration(2, drained=[]), "new.json", now, True)
    assert raw["ver"] == 6 and notes == ["it gets version 6"]


def test_a_drain_is_a_version_of_its_own_on_top_of_whoever_was_first(state_server: FakeControlState) -> None:
    state_server.races = 1
    assert configuring.change_drain([state_server.ctl.place], "edge-2", True, 5.0) == (7, True)
    assert json.loads(state_server.body)["drained"] == ["edge-2"]
    assert configuring.change_drain([state_server.ctl.place], "edge-2", True, 5.0) == (7, False)
    assert configuring.change_drain([state_server.ctl.place], "edge-1", True, 5.0) == (8, True)
    assert json.loads(state_server.body)["drained"] == ["edge-1", "edge-2"]
    assert configuring.change_drain([state_server.ctl.place], "edge-2", False, 5.0) == (9, True)
    assert configuring.change_drain([state_server.ctl.place], "edge-1", False, 5.0) == (10, True)
    assert json.loads(state_server.body) == json.loads(configuration(10))


def test_an_answer_that_never_ends_or_is_no_http_is_none() -> None:
    assert asking.call_once("127.0.0.1:1", "GET", "/", timeout_s=0.2) is None
    loop = FakeControlServer(lambda m, p, b, h: (307, {"Location": f"http://{h['host']}{p}"}, b""))
    try:
        assert asking._call_following_redirects(loop.place, "GET", "/api/config", None, None) is None
        assert len(loop.calls) == asking.MAX_REDIRECTS + 1
    finally:
        loop.close()


def test_tables_keep_their_columns() -> None:
    assert table(["NAME", "N"], [["a", 1], ["bcdef", 22], ["", None]]) == [
        "NAME    N",
        "a       1",
        "bcdef  22",
        "-       -",
    ]
    assert table(["A", "OK"], []) == ["A  OK"]
    assert table(["A"], [[True], [False]]) == ["A", "yes", "no"]


def test_the_chances_of_a_draw_are_those_of_the_rule() -> None:
    # Two equal candidates: half each. Twice the capacity: drawn twice as often, and always the lower load.
    assert explaining.choice_probabilities([0.5, 0.5], [(1.0, -1.0), (1.0, -1.0)], 4) == [0.5, 0.5]
    found = explaining.choice_probabilities([2 / 3, 1 / 3], [(0.5, -2.0), (1.0, -1.0)], 4)
    assert found[0] == pytest.approx(1 - (1 / 3) ** 4) and sum(found) == pytest.approx(1)
    found = explaining.choice_probabilities([0.2, 0.3, 0.5], [(3.0, -1.0), (2.0, -1.5), (1.0, -2.5)], 2)
    assert found == pytest.approx([0.04, 0.21, 0.75])


def test_one_request_is_followed_through_several_logs(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "edge-b.log").write_text(
        "time=23:59:59.900 level=DEBUG module=m event=sent request=r1 upstream=u-1\n"
        "Traceback (most recent call last):\n"
        "time=00:00:00.100 level=WARNING module=m event=run_ended request=r1 outcome='not run' status=503\n"
    )
    (tmp_path / "edge-a.log").write_text(
        "time=23:59:59.950 level=DEBUG module=m event=taken request=r1\n"
        "time=23:59:59.960 level=DEBUG module=m event=taken request=r12\n"
    )
    logs = [str(tmp_path / "edge-a.log"), str(tmp_path / "edge-b.log")]
    assert run("trace", "r1", *logs) == 0
    assert capsys.readouterr().out.splitlines() == [
        "TIME          PROCESS  EVENT      FIELDS",
        "23:59:59.900  edge-b   sent       upstream=u-1",
        "23:59:59.950  edge-a   taken      -",
        "00:00:00.100  edge-b   run_ended  outcome=not run status=503",
    ]
    assert run("trace", "r1", *logs, "--json") == 0
    assert [e["event"] for e in json.loads(capsys.readouterr().out)] == ["sent", "taken", "run_ended"]
    assert run("trace", "r3", *logs) == 1
    assert "set log_levels" in capsys.readouterr().err


def test_pairs_keep_what_is_quoted() -> None:
    assert tracing.parse_pairs("""a=1 b='x y=2' c="it's" d= e=5""") == {
        "a": "1", "b": "x y=2", "c": "it's", "d": "", "e": "5",
    }  # fmt: skip


# ---- status


def _control(node: str, standing: str, epoch: int = 3, ver: int = 7, **more: Any) -> dict[str, Any]:
    members = [
        {"slot": i, "node": n, "ip": f"10.0.0.{i}", "ctl": "", "zone": "a", "silent_ms": 20}
        for i, n in enumerate(("core-1", "core-2", "core-3"))
    ]
    return {
        "role": "control", "node": node, "zone": "a", "ctl": f"{node}:1", "standing": standing,
        "epoch": epoch, "ver": ver, "program": "aa", "disk_well": True, "memory_kb": 30_720,
        "members": members, "present": [], "upstreams": [],
    } | more  # fmt: skip


def _balancer(node: str, ver: int = 7, **more: Any) -> dict[str, Any]:
    return {
        "role": "balancer", "node": node, "ver": ver, "program": "aa", "ready": True, "drained": False,
        "fresh": True, "told_by": "10.0.0.1", "in_flight": 2, "ended": {"served": 5, "failed": 1},
        "memory_kb": 20_480,
    } | more  # fmt: skip


def _gather(monkeypatch: pytest.MonkeyPatch, answers: dict[str, Any]) -> dict[str, Any]:
    monkeypatch.setattr(fleet_status, "fetch_status", answers.get)
    return fleet_status.gather(["core-1:1", "core-2:1", "core-3:1"], 8)


PRESENT = [
    {"node": "edge-1", "ip": "10.1.0.1", "zone": "a"},
    {"node": "edge-2", "ip": "10.1.0.2", "zone": "b"},
]
UPSTREAMS = [
    {"id": "u-1", "svc": "pool", "part": "prefill", "state": "up", "calls": 2, "tokens": 900},
    {"id": "u-2", "svc": "pool", "part": "decode", "state": "up", "calls": 3, "tokens": 0},
    {"id": "u-3", "svc": "pool", "part": "decode", "state": "draining", "calls": 1, "tokens": 0},
]


def test_a_fleet_that_is_alike(monkeypatch: pytest.MonkeyPatch) -> None:
    found = _gather(
        monkeypatch,
        {
            "core-1:1": _control("core-1", "holder"),
            "core-2:1": _control("core-2", "primary", present=PRESENT, upstreams=UPSTREAMS),
            "core-3:1": _control("core-3", "witness", ver=0),
            "10.1.0.1:8": _balancer("edge-1"),
            "10.1.0.2:8": _balancer("edge-2", ready=False, drained=True),
        },
    )
    assert found["leader"] == "core-2" and found["differs"] == []
    assert fleet_status.format_lines(found) == [
        "led by core-2, epoch 3, configuration 7; 3 of 3 control processes and 2 of 2 balancers answer",
        "",
        "CONTROL  ZONE  STANDING  EPOCH  CONFIG  PROGRAM  DISK WELL  SILENT MS    MB  MARK",
        "core-1   a     holder        3       7  aa       yes               20  30.0     -",
        "core-2   a     primary       3       7  aa       yes               20  30.0     -",
        "core-3   a     witness       3       -  aa       yes               20  30.0     -",
        "",
        "BALANCER  ZONE  READY  DRAINED  CONFIG  PROGRAM  TOLD BY   OPEN  ENDED    MB  MARK",
        "edge-1    a     yes    no            7  aa       10.0.0.1     2      6  20.0     -",
        "edge-2    b     no     yes           7  aa       10.0.0.1     2      6  20.0     -",
        "",
        "SERVICE  PART     UP  DRAINING  CALLS  TOKENS",
        "pool     decode    1         1      4       0",
        "pool     prefill   1         0      2     900",
    ]


def test_what_differs_or_is_missing_is_marked(monkeypatch: pytest.MonkeyPatch) -> None:
    found = _gather(
        monkeypatch,
        {
            "core-1:1": _control("core-1", "primary", present=PRESENT),
            "core-2:1": _control("core-2", "holder", epoch=2, ver=5, disk_well=False),
            "10.1.0.1:8": _balancer("edge-1", ver=5, program="bb", fresh=False),
        },
    )
    assert found["differs"] == [
        "core-2: knows epoch 2, the newest is 3",
        "core-2: holds configuration 5, the primary 7",
        "core-2: its disk takes no writes, or not in time",
        "core-3: gives no answer",
        "edge-1: serves configuration 5, the newest is 7",
        "edge-1: hears no news",
        "edge-2: gives no answer",
        "edge-1: runs program bb, most run aa",
    ]
    lines = fleet_status.format_lines(found)
    marked = [line.split()[0] for line in lines if line.endswith("  !")]
    assert marked == ["core-2", "core-3", "edge-1", "edge-2"]


def test_upstreams_in_doubt_are_marked_by_how_many_balancers_doubt_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def told(trust: str, failures: int, silent: bool = False) -> list[dict[str, Any]]:
        doubted = {"id": "u-7", "silent": silent, "trust": trust, "failures": failures}
        return [doubted, {"id": "u-8", "silent": False, "trust": "", "failures": 0}]

    members = [_control("core-1", "primary")["members"][0]]
    found = _gather(
        monkeypatch,
        {
            "core-1:1": _control("core-1", "primary", present=PRESENT, members=members),
            "10.1.0.1:8": _balancer("edge-1", upstreams=told("distrusted", 9, True)),
            "10.1.0.2:8": _balancer("edge-2", upstreams=told("wary", 4)),
        },
    )
    line = "u-7: upstream in doubt, by balancers: distrusted 1, wary 1, silent 1; 9 failures"
    assert found["differs"] == [line] and list(found["judged"]) == ["u-7"]
    assert f"! {line}" in fleet_status.format_lines(found)


STRANGE = [None, 5, "u-7", [None], [{"id": 7}], [{"id": "u", "trust": ["x"], "silent": "yes"}], {"id": "u"}]


@pytest.mark.parametrize("upstreams", STRANGE)
def test_strange_words_on_upstreams_are_passed_over(
    upstreams: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    answers = {
        "core-1:1": _control("core-1", "primary", present=PRESENT[:1]),
        "10.1.0.1:8": _balancer("edge-1", upstreams=upstreams),
    }
    assert _gather(monkeypatch, answers)["judged"] == {}


def test_one_that_still_takes_itself_for_the_primary_of_an_earlier_epoch_does_not_lead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers = {"core-1:1": _control("core-1", "primary", epoch=2), "core-2:1": _control("core-2", "witness")}
    found = _gather(monkeypatch, answers)
    assert found["leader"] == "" and found["differs"][0].startswith("nobody leads")


def test_a_process_that_is_asked_too_often_is_asked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    told: list[Answer] = [(429, {}, b"{}"), (200, {}, json.dumps(_balancer("edge-1")).encode())]
    server = FakeControlServer(lambda m, p, b, h: told.pop(0))
    monkeypatch.setattr(fleet_status, "RETRY_DELAY_S", 0.0)
    try:
        found = fleet_status.fetch_status(server.place)
    finally:
        server.close()
    assert found is not None and found["node"] == "edge-1"


# ---- salvage from a disk


def _disk(folder: Path, holders: tuple[int, ...]) -> None:
    members = tuple(Member(f"m{i}", f"core-{i}", f"10.0.0.{i}", 7720, "", "a") for i in range(3))
    durable_state = DurableState("m0", 4, View(4, holders[0], holders, members))
    if 0 in holders:
        durable_state.document = Document(3, 9, configuration(9))
    folder.mkdir()
    store = Store.open(folder, OsFiles())
    store.load()
    for _ in range(2):  # so that both slots have been written
        store.checkpoint(encode_record(snapshot_record(durable_state)))


def test_the_configuration_is_read_off_one_disk_and_the_disk_stays_as_it_is(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _disk(tmp_path / "disk", (0, 1))
    before = {p.name: p.read_bytes() for p in (tmp_path / "disk").iterdir()}
    assert run("config", "salvage", str(tmp_path / "disk")) == 0
    told = capsys.readouterr()
    assert told.out == configuration(9).decode() + "\n" and told.err == ""
    assert {p.name: p.read_bytes() for p in (tmp_path / "disk").iterdir()} == before
    assert run("config", "salvage", str(tmp_path / "disk"), "--json") == 0
    assert json.loads(capsys.readouterr().out)["holders"] == ["core-0", "core-1"]


def test_the_disk_of_a_witness_says_whose_disk_to_read(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _disk(tmp_path / "disk", (1, 2))
    assert run("config", "salvage", str(tmp_path / "disk")) == 1
    assert "read the disk of a holder: core-1, core-2" in capsys.readouterr().err


def test_a_disk_that_is_damaged_is_told_so(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    _disk(tmp_path / "disk", (0, 1))
    for path in (tmp_path / "disk").iterdir():
        path.write_bytes(b"\x7f" * 60)
    assert run("config", "salvage", str(tmp_path / "disk")) == 1
    assert capsys.readouterr().err.endswith("; try the disk of another\n")


# ---- a role does not import the commands


@pytest.mark.parametrize("module", ["mastturnd.balancing", "control.node"])
def test_a_role_loads_nothing_of_the_operators_commands(module: str) -> None:
    code = f"import sys, mastturnd.__main__, {module}; print([m for m in sys.modules if m in {LAZY!r}])"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env=os.environ, capture_output=True, text=True, check=True
    )
    assert done.stdout == "[]\n"


LAZY = (
    "mastturnd.commands", "mastturnd.asking", "mastturnd.fleet_status", "mastturnd.tap",
    "mastturnd.explaining", "mastturnd.balancer_calls", "mastturnd.balancer_report",
    "mastturnd.balancer_figures", "mastturnd.figures", "mastturnd.dashboard",
    "mastturnd.control_figures", "mastturnd.control_report", "mastturnd.exposition",
    "mastturnd.version", "mastturnd.salvage", "prometheus_client",
)  # fmt: skip
