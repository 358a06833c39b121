"""Parts of the soak: its random faults, the encoding of its responses, and the checker of its rules."""

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
from mastturn.soak.answers import Content, Framing, encode_response
from mastturn.soak.checker import Checker
from mastturn.soak.clients import ResponseParser
from mastturn.soak.faults import Fault, FaultDraw
from mastturn.soak.finding import Finding
from mastturn.soak.fleet import Member
from mastturn.soak.plan import Plan, check
from mastturn.soak.play import save_copy
from mastturn.soak.records import (
    Arrival,
    ClientBehavior,
    ClientRequest,
    ConfigurationPut,
    ConfigurationRead,
    Delisted,
    EndKind,
    Records,
    RequestEnd,
    RequestKind,
    Span,
)
from mastturn.soak.upstream import event
from mastturn.standins.process import Process

SEALED = {"mastturn-server-seal": "u1.1"}
CONTENT = Content("200 OK", (("Mastturn-Request-Id", "r1"),), (b"one,", b"two,", b"three"))


def test_lots_are_alike_for_alike_seeds_and_hold_every_fault() -> None:
    fault_draws = [faults.draw(3, f"r{n}", 0) for n in range(2_000)]
    assert fault_draws == [faults.draw(3, f"r{n}", 0) for n in range(2_000)]
    assert fault_draws != [faults.draw(4, f"r{n}", 0) for n in range(2_000)]
    assert {fault_draw.fault for fault_draw in fault_draws} == set(Fault)
    good_share = sum(fault_draw.fault is Fault.GOOD for fault_draw in fault_draws) / len(fault_draws)
    assert abs(good_share - faults.GOOD_SHARE) < 0.05


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("fault", [f for f in Fault if f in faults.SOUND], ids=lambda f: f.name)
def test_the_bytes_of_a_sound_answer_are_read_back_whole(fault: Fault, is_stream: bool) -> None:
    encoded = encode_response(CONTENT, FaultDraw(fault, pieces=2 if fault is Fault.PAUSES else 1), is_stream)
    parser = ResponseParser()
    parser.feed(b"".join(encoded.pieces))
    (check_request,) = parser.responses
    assert bytes(check_request.body) == encoded.declared == b"one,two,three"
    assert check_request.is_complete == (encoded.framing is not Framing.CLOSE)
    assert check_request.ends_with_connection == (encoded.framing is Framing.CLOSE)


@pytest.mark.parametrize(
    ("fault", "is_complete", "declared"),
    [
        (Fault.LENGTH_TOO_LONG, False, b"one,two,three"),
        (Fault.LENGTH_TOO_SHORT, True, b"one,two,three"[:-7]),
        (Fault.NO_LAST_CHUNK, False, b"one,two,three"),
    ],
)
def test_the_framing_of_a_faulty_answer_is_wrong_as_its_fault_says(
    fault: Fault, is_complete: bool, declared: bytes
) -> None:
    encoded = encode_response(CONTENT, FaultDraw(fault), is_stream=False)
    assert encoded.declared == declared
    parser = ResponseParser()
    try:
        parser.feed(b"".join(encoded.pieces))
    except Exception:  # surplus bytes may not be a valid response
        assert fault is Fault.LENGTH_TOO_SHORT
    assert parser.responses[0].is_complete == is_complete


# ---- checker


def client_request(
    kind: RequestKind = RequestKind.ONCE, behavior: ClientBehavior = ClientBehavior.KEPT
) -> ClientRequest:
    return ClientRequest("r1", kind, behavior, "edge-a", 10.0, 14.0, False)


def arrival(request_id: str = "r1", seal: str = "u1.1", **changes: object) -> Arrival:
    run = Arrival(
        request_id, "u1", 10.1, Fault.GOOD, ran=True, status=200, seal=seal, body=b"body", complete_at=10.2
    )
    return replace(run, **changes)  # type: ignore[arg-type]


def complete_end(status: int = 200, body: bytes = b"body", at: float = 10.3, **headers: str) -> RequestEnd:
    return RequestEnd(EndKind.COMPLETE, at, status, headers or (SEALED if status in (200, 500) else {}), body)


def check_request(
    end: RequestEnd | None, *runs: Arrival, of: ClientRequest | None = None, spans: tuple[Span, ...] = ()
) -> list[Finding]:
    request_record = of or client_request()
    if end is not None:
        request_record.ends.append(end)
    return Checker(Records([request_record], list(runs), list(spans))).findings()


def rules(findings: list[Finding]) -> list[str]:
    return [finding.rule for finding in findings]


def event_bytes(*numbers: int, seal: str = "u1.1", request_id: str = "r1", last: int = 3) -> bytes:
    return b"".join(
        event(Arrival(request_id, "u1", 0.0, Fault.GOOD, seal=seal, events=last), n) for n in numbers
    )


def test_an_answer_that_is_its_upstreams_own_is_fine() -> None:
    assert check_request(complete_end(), arrival()) == []
    assert check_request(complete_end(500, b"oh"), arrival(status=500, body=b"oh", fault=Fault.ERROR)) == []
    assert check_request(complete_end(503, b""), of=client_request(RequestKind.SAFE)) == []
    run = arrival(events=3, body=event_bytes(1, 2, 3))
    assert (
        check_request(complete_end(body=event_bytes(1, 2, 3)), run, of=client_request(RequestKind.TAG)) == []
    )


@pytest.mark.parametrize(
    ("end", "runs"),
    [
        (complete_end(body=b"bod"), [arrival()]),
        (complete_end(), [arrival("r2")]),
        (complete_end(), []),
        (complete_end(status=200, body=b"body", at=10.3, **{"x-any": "1"}), [arrival()]),
        (complete_end(500, b"body"), [arrival()]),
        (complete_end(502, b"a body"), [arrival(complete_at=None)]),
        (RequestEnd(EndKind.INVALID, 10.3), [arrival(complete_at=None)]),
    ],
    ids=["short", "another's", "nobody's", "no seal", "another status", "own with a body", "no answer"],
)
def test_an_answer_that_is_not_its_own_or_not_whole_is_found(end: RequestEnd, runs: list[Arrival]) -> None:
    assert "mixed" in rules(check_request(end, *runs))


@pytest.mark.parametrize(
    ("body", "rule"),
    [
        (event_bytes(1, 3), "gap"),
        (event_bytes(1, 2, 2, 3), "gap"),
        (event_bytes(1, 2), "gap"),
        (event_bytes(1, 2) + event_bytes(3, request_id="r2"), "mixed"),
        (event_bytes(1, 2) + event_bytes(3, seal="u9.9"), "mixed"),
        (event_bytes(1, 2, 3) + b"id: 4\n", "mixed"),
    ],
)
def test_a_stream_that_is_not_whole_is_found(body: bytes, rule: str) -> None:
    run = arrival(events=3, body=event_bytes(1, 2, 3))
    assert rules(check_request(complete_end(body=body), run, of=client_request(RequestKind.TAG))) == [rule]


def test_a_stream_out_of_two_runs_of_one_request_is_fine() -> None:
    first, second = arrival(events=3, complete_at=None, fault=Fault.RESET), arrival(seal="u2.1", events=3)
    body = event_bytes(1) + event_bytes(2, 3, seal="u2.1")
    assert check_request(complete_end(body=body), first, second, of=client_request(RequestKind.ASK)) == []


def test_what_runs_twice_is_found_where_it_may_run_once() -> None:
    runs = (arrival(), arrival(seal="u2.1"))
    assert rules(check_request(complete_end(), *runs)) == ["twice"]
    assert check_request(complete_end(), *runs, of=client_request(RequestKind.SAFE)) == []


def test_a_promise_that_does_not_hold_is_found() -> None:
    for status in (408, 421, 429, 503):
        assert rules(check_request(complete_end(status, b""), arrival(complete_at=None))) == ["promise"]
    assert check_request(complete_end(503, b"")) == []


def test_a_whole_answer_that_its_client_did_not_get_is_found() -> None:
    assert rules(check_request(RequestEnd(EndKind.CUT, 10.4, 200), arrival())) == ["lost"]
    assert (
        check_request(complete_end(502, b""), arrival(complete_at=13.9)) == []
    )  # complete too shortly before the deadline
    for end in (complete_end(502, b""), RequestEnd(EndKind.CLOSED, 10.4)):
        assert rules(check_request(end, arrival())) == ["unserved"]
        assert check_request(end, arrival(since_partial_s=0.001)) == []  # stray bytes crossed it
        assert check_request(end, arrival(), of=client_request(behavior=ClientBehavior.LEAVES)) == []
        assert check_request(end, arrival(), spans=(Span("kill", "edge-a", 10.2, 10.9),)) == []
        assert rules(check_request(end, arrival(), spans=(Span("kill", "edge-b", 10.2, 10.9),))) == [
            "unserved"
        ]
        assert (
            check_request(end, arrival(), spans=(Span("crash", "u1", 10.25, 10.6),)) == []
        )  # its last bytes may be lost
        assert rules(check_request(end, arrival(), spans=(Span("crash", "u1", 10.35, 10.6),))) == ["unserved"]


def test_a_request_that_is_closed_on_unanswered_is_found() -> None:
    end = RequestEnd(EndKind.CLOSED, 10.4)
    assert rules(check_request(end, arrival(complete_at=None))) == ["lost"]
    assert rules(
        check_request(end, arrival(complete_at=None), spans=(Span("term", "edge-a", 10.2, 10.9),))
    ) == ["stop"]
    assert check_request(end, arrival(complete_at=None, fault=Fault.RESET)) == []
    assert check_request(end, arrival(complete_at=None), spans=(Span("crash", "u1", 10.2, 10.6),)) == []
    assert check_request(end) == []  # it was not forwarded


def test_each_request_has_one_end_in_its_time() -> None:
    assert rules(check_request(None, arrival())) == ["ends"]
    assert rules(check_request(RequestEnd(EndKind.NONE, 15.5), arrival(complete_at=None))) == ["held"]
    assert check_request(RequestEnd(EndKind.NONE, 15.5), spans=(Span("stop", "edge-a", 11.0, 12.0),)) == []
    twice = client_request()
    twice.ends += [complete_end(), complete_end()]
    assert rules(Checker(Records([twice], [arrival()])).findings()) == ["ends"]
    assert rules(
        Checker(
            Records(unsolicited=["client 1: b'x'"], unclean_exits=["edge-a exited with status 1"])
        ).findings()
    ) == [
        "process",
        "ends",
    ]


def test_a_request_at_an_upstream_that_left_long_ago_is_found() -> None:
    records = Records([client_request()], [replace(arrival(), at=20.0)], delisted=[Delisted("u1", 10.0)])
    records.requests[0].ends.append(complete_end())
    assert rules(Checker(records).findings()) == ["drain"]
    for span in (
        Span("list", "late", 9.0, 18.5),
        Span("stop", "edge-a", 11.0, 18.0),
        Span("kill", "core-b", 9.0, 19.0),
    ):
        records.spans = [span]
        assert Checker(records).findings() == []
    records.spans = [Span("kill", "edge-b", 9.0, 19.0)]
    assert rules(Checker(records).findings()) == ["drain"]


def put(ver: int, base: int, status: int = 200, is_valid: bool = True, at: float = 1.0) -> ConfigurationPut:
    return ConfigurationPut(ver, base, json.dumps({"ver": ver, "at": at}).encode(), is_valid, at, status, at)


def test_configurations_that_contradict_each_other_are_found() -> None:
    def of(*puts: ConfigurationPut, settled: int = 2, reads: tuple[ConfigurationRead, ...] = ()) -> list[str]:
        body = next((p.body for p in puts if p.ver == settled), b"{}")
        records = Records(puts=list(puts), reads=list(reads), final_ver=settled, final_body=body)
        return rules(Checker(records).findings())

    assert of(put(2, 1)) == []
    assert of(put(2, 1), put(3, 1, 412)) == []
    assert of(put(2, 1), put(3, 1), settled=3) == ["configuration"]
    assert of(put(2, 1, is_valid=False)) == ["configuration"]
    assert of(put(2, 1), settled=1) == ["configuration"]
    assert of(put(2, 1, at=1.0), reads=(ConfigurationRead("c", 2.0, 1),)) == ["configuration"]
    assert (
        of(
            put(2, 1, at=1.0),
            reads=(
                ConfigurationRead("c", 0.5, 1),
                ConfigurationRead("c", 2.0, 0),
                ConfigurationRead("c", 2.0, 2),
            ),
        )
        == []
    )
    changed = Records(puts=[put(2, 1)], final_ver=2, final_body=b'{"ver": 2, "at": 9}')
    assert rules(Checker(changed).findings()) == ["configuration"]


# ---- fleet


def test_a_process_has_come_up_once_its_log_says_so_since_its_last_start(tmp_path: Path) -> None:
    member = Member(Machine("edge-a", "balancer", "127.0.0.1", "a"), Process("edge-a", tmp_path))
    member.process.log.write_bytes(b"event=started role=balancer\nevent=stopped\n")
    assert member.has_started()
    member.log_from = member.process.log.stat().st_size
    assert not member.has_started()
    with member.process.log.open("ab") as log:
        log.write(b"event=started role=balancer\n")
    assert member.has_started()


# ---- command


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["sok"], "No such command 'sok'"),
        (["soak", "--seed", "x"], "'x' is not a valid integer"),
        (["soak", "--seconds", "1"], "--seconds 1: allowed: 5 to 86400"),
        (["soak", "--balancers", "400"], "--balancers 400: allowed: 1 to 250"),
        (["soak", "--balancers", "249", "--control", "9"], "ask for 250 at the most"),
        (["soak", "--defect", "none"], "--defect 'none': allowed: "),
        (["soak", "--only", "nothing"], "--only 'nothing': no trouble's name contains it"),
    ],
)
def test_a_wrong_call_is_one_line_with_the_remedy(arguments: list[str], message: str) -> None:
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2
    (line,) = [line for line in result.output.splitlines() if not line.startswith("seed ")]
    assert message in line


def test_too_many_processes_for_the_memory_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("mastturn.soak.plan.memory_mb", lambda: 1_000.0)
    with pytest.raises(LabError, match="20 processes need 900 MB: ask for 11 at the most"):
        check(Plan(1, balancers=15))


def test_the_planted_defects_are_listed() -> None:
    result = CliRunner().invoke(main, ["soak", "--defect", "list"])
    assert result.exit_code == 0
    assert {line.split()[0] for line in result.output.splitlines()} == set(planted.descriptions())


def test_soaks_of_one_seed_that_end_together_keep_their_logs_apart(tmp_path: Path) -> None:
    copies = []
    for name in ("first", "second"):
        folder = tmp_path / name
        folder.mkdir()
        (folder / "edge-a.log").write_text(name)
        copies.append(save_copy(folder, tmp_path / "found", seed=1))
    assert [(copy / "edge-a.log").read_text() for copy in copies] == ["first", "second"]
