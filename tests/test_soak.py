"""The soak's own parts: its lots, the bytes of its answers, and a checker that finds each broken rule."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from mastturn.cli import main
from mastturn.files import LabError
from mastturn.smallfleet.layout import Machine
from mastturn.soak import faults, planted
from mastturn.soak.answers import Content, Framing, frame
from mastturn.soak.checker import Checker, Finding
from mastturn.soak.clients import Answers
from mastturn.soak.faults import Fault, Lot
from mastturn.soak.fleet import Member
from mastturn.soak.plan import Plan, check
from mastturn.soak.play import leave_copy
from mastturn.soak.records import (
    Arrival,
    Ask,
    Delisted,
    End,
    EndKind,
    Kind,
    Put,
    Read,
    Records,
    Span,
    Style,
)
from mastturn.soak.upstream import event
from mastturn.standins.process import Process

SEALED = {"mastturn-server-seal": "u1.1"}
CONTENT = Content("200 OK", (("Mastturn-Request-Id", "r1"),), (b"one,", b"two,", b"three"))


def test_lots_are_alike_for_alike_seeds_and_hold_every_fault() -> None:
    lots = [faults.draw(3, f"r{n}", 0) for n in range(2_000)]
    assert lots == [faults.draw(3, f"r{n}", 0) for n in range(2_000)]
    assert lots != [faults.draw(4, f"r{n}", 0) for n in range(2_000)]
    assert {lot.fault for lot in lots} == set(Fault)
    good = sum(lot.fault is Fault.GOOD for lot in lots) / len(lots)
    assert abs(good - faults.GOOD_SHARE) < 0.05


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("fault", [f for f in Fault if f in faults.SOUND], ids=lambda f: f.name)
def test_the_bytes_of_a_sound_answer_are_read_back_whole(fault: Fault, is_stream: bool) -> None:
    wire = frame(CONTENT, Lot(fault, pieces=2 if fault is Fault.PAUSES else 1), is_stream)
    answers = Answers()
    answers.feed(b"".join(wire.pieces))
    (found,) = answers.found
    assert bytes(found.body) == wire.declared == b"one,two,three"
    assert found.is_whole == (wire.framing is not Framing.CLOSE)
    assert found.ends_with_connection == (wire.framing is Framing.CLOSE)


@pytest.mark.parametrize(
    ("fault", "is_whole", "declared"),
    [
        (Fault.LENGTH_TOO_LONG, False, b"one,two,three"),
        (Fault.LENGTH_TOO_SHORT, True, b"one,two,three"[:-7]),
        (Fault.NO_LAST_CHUNK, False, b"one,two,three"),
    ],
)
def test_the_framing_of_a_faulty_answer_is_wrong_as_its_fault_says(
    fault: Fault, is_whole: bool, declared: bytes
) -> None:
    wire = frame(CONTENT, Lot(fault), is_stream=False)
    assert wire.declared == declared
    answers = Answers()
    try:
        answers.feed(b"".join(wire.pieces))
    except Exception:  # surplus bytes may be no answer
        assert fault is Fault.LENGTH_TOO_SHORT
    assert answers.found[0].is_whole == is_whole


# ---- the checker


def ask(kind: Kind = Kind.ONCE, style: Style = Style.KEPT) -> Ask:
    return Ask("r1", kind, style, "edge-a", 10.0, 14.0, False)


def run_of(request: str = "r1", seal: str = "u1.1", **changes: object) -> Arrival:
    run = Arrival(
        request, "u1", 10.1, Fault.GOOD, ran=True, status=200, seal=seal, body=b"body", whole_at=10.2
    )
    return replace(run, **changes)  # type: ignore[arg-type]


def whole(status: int = 200, body: bytes = b"body", at: float = 10.3, **headers: str) -> End:
    return End(EndKind.WHOLE, at, status, headers or (SEALED if status in (200, 500) else {}), body)


def found(
    end: End | None, *runs: Arrival, of: Ask | None = None, spans: tuple[Span, ...] = ()
) -> list[Finding]:
    asked = of or ask()
    if end is not None:
        asked.ends.append(end)
    return Checker(Records([asked], list(runs), list(spans))).findings()


def rules(findings: list[Finding]) -> list[str]:
    return [finding.rule for finding in findings]


def stream(*numbers: int, seal: str = "u1.1", request: str = "r1", last: int = 3) -> bytes:
    return b"".join(
        event(Arrival(request, "u1", 0.0, Fault.GOOD, seal=seal, events=last), n) for n in numbers
    )


def test_an_answer_that_is_its_upstreams_own_is_fine() -> None:
    assert found(whole(), run_of()) == []
    assert found(whole(500, b"oh"), run_of(status=500, body=b"oh", fault=Fault.ERROR)) == []
    assert found(whole(503, b""), of=ask(Kind.SAFE)) == []
    run = run_of(events=3, body=stream(1, 2, 3))
    assert found(whole(body=stream(1, 2, 3)), run, of=ask(Kind.TAG)) == []


@pytest.mark.parametrize(
    ("end", "runs"),
    [
        (whole(body=b"bod"), [run_of()]),
        (whole(), [run_of("r2")]),
        (whole(), []),
        (whole(status=200, body=b"body", at=10.3, **{"x-any": "1"}), [run_of()]),
        (whole(500, b"body"), [run_of()]),
        (whole(502, b"a body"), [run_of(whole_at=None)]),
        (End(EndKind.INVALID, 10.3), [run_of(whole_at=None)]),
    ],
    ids=["short", "another's", "nobody's", "no seal", "another status", "own with a body", "no answer"],
)
def test_an_answer_that_is_not_its_own_or_not_whole_is_found(end: End, runs: list[Arrival]) -> None:
    assert "mixed" in rules(found(end, *runs))


@pytest.mark.parametrize(
    ("body", "rule"),
    [
        (stream(1, 3), "gap"),
        (stream(1, 2, 2, 3), "gap"),
        (stream(1, 2), "gap"),
        (stream(1, 2) + stream(3, request="r2"), "mixed"),
        (stream(1, 2) + stream(3, seal="u9.9"), "mixed"),
        (stream(1, 2, 3) + b"id: 4\n", "mixed"),
    ],
)
def test_a_stream_that_is_not_whole_is_found(body: bytes, rule: str) -> None:
    run = run_of(events=3, body=stream(1, 2, 3))
    assert rules(found(whole(body=body), run, of=ask(Kind.TAG))) == [rule]


def test_a_stream_out_of_two_runs_of_one_request_is_fine() -> None:
    first, second = run_of(events=3, whole_at=None, fault=Fault.RESET), run_of(seal="u2.1", events=3)
    body = stream(1) + stream(2, 3, seal="u2.1")
    assert found(whole(body=body), first, second, of=ask(Kind.ASK)) == []


def test_what_runs_twice_is_found_where_it_may_run_once() -> None:
    runs = (run_of(), run_of(seal="u2.1"))
    assert rules(found(whole(), *runs)) == ["twice"]
    assert found(whole(), *runs, of=ask(Kind.SAFE)) == []


def test_a_promise_that_does_not_hold_is_found() -> None:
    for status in (408, 421, 429, 503):
        assert rules(found(whole(status, b""), run_of(whole_at=None))) == ["promise"]
    assert found(whole(503, b"")) == []


def test_a_whole_answer_that_its_client_did_not_get_is_found() -> None:
    assert rules(found(End(EndKind.CUT, 10.4, 200), run_of())) == ["lost"]
    assert found(whole(502, b""), run_of(whole_at=13.9)) == []  # too late
    for end in (whole(502, b""), End(EndKind.CLOSED, 10.4)):
        assert rules(found(end, run_of())) == ["unserved"]
        assert found(end, run_of(dirty_s=0.001)) == []  # bytes of no request crossed it
        assert found(end, run_of(), of=ask(style=Style.LEAVES)) == []
        assert found(end, run_of(), spans=(Span("kill", "edge-a", 10.2, 10.9),)) == []
        assert rules(found(end, run_of(), spans=(Span("kill", "edge-b", 10.2, 10.9),))) == ["unserved"]
        assert (
            found(end, run_of(), spans=(Span("crash", "u1", 10.25, 10.6),)) == []
        )  # its last bytes are lost
        assert rules(found(end, run_of(), spans=(Span("crash", "u1", 10.35, 10.6),))) == ["unserved"]


def test_a_request_that_is_closed_on_unanswered_is_found() -> None:
    end = End(EndKind.CLOSED, 10.4)
    assert rules(found(end, run_of(whole_at=None))) == ["lost"]
    assert rules(found(end, run_of(whole_at=None), spans=(Span("term", "edge-a", 10.2, 10.9),))) == ["stop"]
    assert found(end, run_of(whole_at=None, fault=Fault.RESET)) == []
    assert found(end, run_of(whole_at=None), spans=(Span("crash", "u1", 10.2, 10.6),)) == []
    assert found(end) == []  # it was not passed on


def test_each_request_has_one_end_in_its_time() -> None:
    assert rules(found(None, run_of())) == ["ends"]
    assert rules(found(End(EndKind.NONE, 15.5), run_of(whole_at=None))) == ["held"]
    assert found(End(EndKind.NONE, 15.5), spans=(Span("stop", "edge-a", 11.0, 12.0),)) == []
    twice = ask()
    twice.ends += [whole(), whole()]
    assert rules(Checker(Records([twice], [run_of()])).findings()) == ["ends"]
    assert rules(
        Checker(Records(unasked=["client 1: b'x'"], unclean=["edge-a ended with 1"])).findings()
    ) == [
        "process",
        "ends",
    ]


def test_a_request_at_an_upstream_that_left_long_ago_is_found() -> None:
    late = Records([ask()], [replace(run_of(), at=20.0)], delisted=[Delisted("u1", 10.0)])
    late.asks[0].ends.append(whole())
    assert rules(Checker(late).findings()) == ["drain"]
    for span in (
        Span("list", "late", 9.0, 18.5),
        Span("stop", "edge-a", 11.0, 18.0),
        Span("kill", "core-b", 9.0, 19.0),
    ):
        late.spans = [span]
        assert Checker(late).findings() == []
    late.spans = [Span("kill", "edge-b", 9.0, 19.0)]
    assert rules(Checker(late).findings()) == ["drain"]


def put(ver: int, base: int, status: int = 200, is_valid: bool = True, at: float = 1.0) -> Put:
    return Put(ver, base, json.dumps({"ver": ver, "at": at}).encode(), is_valid, at, status, at)


def test_configurations_that_contradict_each_other_are_found() -> None:
    def of(*puts: Put, settled: int = 2, reads: tuple[Read, ...] = ()) -> list[str]:
        body = next((p.body for p in puts if p.ver == settled), b"{}")
        records = Records(puts=list(puts), reads=list(reads), settled_ver=settled, settled_body=body)
        return rules(Checker(records).findings())

    assert of(put(2, 1)) == []
    assert of(put(2, 1), put(3, 1, 412)) == []
    assert of(put(2, 1), put(3, 1), settled=3) == ["configuration"]
    assert of(put(2, 1, is_valid=False)) == ["configuration"]
    assert of(put(2, 1), settled=1) == ["configuration"]
    assert of(put(2, 1, at=1.0), reads=(Read("c", 2.0, 1),)) == ["configuration"]
    assert of(put(2, 1, at=1.0), reads=(Read("c", 0.5, 1), Read("c", 2.0, 0), Read("c", 2.0, 2))) == []
    changed = Records(puts=[put(2, 1)], settled_ver=2, settled_body=b'{"ver": 2, "at": 9}')
    assert rules(Checker(changed).findings()) == ["configuration"]


# ---- the fleet


def test_a_process_has_come_up_once_its_log_says_so_since_its_last_start(tmp_path: Path) -> None:
    member = Member(Machine("edge-a", "balancer", "127.0.0.1", "a"), Process("edge-a", tmp_path))
    member.process.log.write_bytes(b"event=started role=balancer\nevent=stopped\n")
    assert member.has_come_up()
    member.log_from = member.process.log.stat().st_size
    assert not member.has_come_up()
    with member.process.log.open("ab") as log:
        log.write(b"event=started role=balancer\n")
    assert member.has_come_up()


# ---- the command


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["sok"], "No such command 'sok'"),
        (["soak", "--seed", "x"], "'x' is not a valid integer"),
        (["soak", "--seconds", "1"], "--seconds 1: allowed: 5 to 86400"),
        (["soak", "--balancers", "400"], "--balancers 400: allowed: 1 to 250"),
        (["soak", "--balancers", "249", "--control", "9"], "ask for 250 at the most"),
        (["soak", "--defect", "none"], "--defect 'none': allowed: "),
        (["soak", "--only", "nothing"], "--only 'nothing': no trouble's name holds it"),
    ],
)
def test_a_wrong_call_is_one_line_with_the_remedy(words: list[str], said: str) -> None:
    done = CliRunner().invoke(main, words)
    assert done.exit_code == 2
    (line,) = [line for line in done.output.splitlines() if not line.startswith("seed ")]
    assert said in line


def test_too_many_processes_for_the_memory_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("mastturn.soak.plan.memory_mb", lambda: 1_000.0)
    with pytest.raises(LabError, match="20 processes need 900 MB: ask for 11 at the most"):
        check(Plan(1, balancers=17))


def test_the_planted_defects_are_listed() -> None:
    done = CliRunner().invoke(main, ["soak", "--defect", "list"])
    assert done.exit_code == 0
    assert {line.split()[0] for line in done.output.splitlines()} == set(planted.described())


def test_soaks_of_one_seed_that_end_together_keep_their_logs_apart(tmp_path: Path) -> None:
    copies = []
    for name in ("first", "second"):
        folder = tmp_path / name
        folder.mkdir()
        (folder / "edge-a.log").write_text(name)
        copies.append(leave_copy(folder, tmp_path / "found", seed=1))
    assert [(copy / "edge-a.log").read_text() for copy in copies] == ["first", "second"]
