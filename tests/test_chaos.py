"""Chaos tests: the rules on hand-made histories, links, plans, and short runs with fixed faults."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from mastturn.chaos.history import Recorder, Row, read
from mastturn.chaos.links import Link
from mastturn.chaos.plan import (
    Plan,
    RandomFaults,
    check,
    draw_faults,
    link_names,
    program_names,
    read_plan,
    target_names,
)
from mastturn.chaos.rules import find_violations
from mastturn.cli import main
from mastturn.files import LabError
from tests.loopback import FakeServer, run, until

PLAN: Row = {"t": 0.0, "who": "rig", "what": "plan", "once": ["box-pay"]}


def row(t: float, who: str, what: str, **more: Any) -> Row:
    return {"t": t, "who": who, "what": what, **more}


def asked(t: float, txn: str = "r1.balancer-0", kind: str = "menu-view") -> Row:
    return row(t, "client", "asked", txn=txn, kind=kind, at=txn.rpartition(".")[2], within_s=1.0)


def ended(t: float, txn: str = "r1.balancer-0", how: str = "served") -> Row:
    return row(t, "client", "ended", txn=txn, how=how, why="")


def fault(t: float, until: float, kind: str, *on: str) -> list[Row]:
    number = int(t * 1000)
    return [
        row(t, "rig", "fault", number=number, kind=kind, on=list(on)),
        row(until, "rig", "healed", number=number),
    ]


def link(t: float, what: str, connection: int, at: str = "balancers>upstream-0") -> Row:
    return row(t, at, what, txn="r1.balancer-0", connection=connection)


def told(t: float, revision: int, *members: tuple[Any, ...], whole: bool = False) -> Row:
    return row(
        t,
        "reader of agent-0",
        "told",
        source="agent-0",
        revision=revision,
        whole=whole,
        members=list(members),
    )


def wrote(
    t: float, number: int, removed: bool = False, replica: str = "replica-a", what: str = "acknowledged"
) -> Row:
    return row(t, "writer", what, id="x", incarnation=number, removed=removed, replica=replica)


def final(*members: tuple[Any, ...]) -> Row:
    return row(90.0, "replica-b", "final", members=list(members))


KILL = fault(1.1, 2.0, "kill", "balancer-0")
OLD = fault(1.0, 5.0, "old_state", "replica-a")

HISTORIES: list[tuple[str, list[Row], list[str]]] = [
    ("served", [asked(1.0), ended(1.2)], []),
    ("cut off", [asked(1.0), ended(1.2, how="lost")], ["lost"]),
    ("never answered", [asked(1.0), row(9.0, "rig", "fault", number=1, kind="cut", on=[])], ["lost"]),
    ("late", [asked(1.0), ended(2.7)], ["lost"]),
    ("its balancer killed", [asked(1.0), ended(1.2, how="lost"), *KILL], []),
    ("another killed", [asked(1.0), ended(1.2, how="lost"), *fault(1.1, 2.0, "kill", "agent-0")], ["lost"]),
    ("killed before", [asked(5.0), ended(5.2, how="lost"), *KILL], ["lost"]),
    ("two ends", [asked(1.0), ended(1.2), ended(1.3, how="failed")], ["answered twice"]),
    ("two copies", [link(1.0, "sent", 1), link(1.1, "sent", 2, "balancers>upstream-1")], ["duplicate"]),
    ("one after the other", [link(1.0, "sent", 1), link(1.1, "hung up", 1), link(1.2, "sent", 2)], []),
    ("again once answered", [link(1.0, "sent", 1), link(1.1, "answered", 1), link(1.2, "sent", 2)], []),
    ("paid twice", [row(t, "upstream-0", "begun", txn="p", kind="box-pay") for t in (1.0, 2.0)], ["once"]),
    ("viewed twice", [row(t, "upstream-0", "begun", txn="p", kind="menu-view") for t in (1.0, 2.0)], []),
    ("sent in the grace", [told(1.0, 5, ("upstream-0", 1, 1, 1, "leaving")), link(2.0, "sent", 1)], []),
    ("sent later", [told(1.0, 5, ("upstream-0", 1, 1, 1, "leaving")), link(3.0, "sent", 1)], ["drain"]),
    (
        "sent by one whose agent was stopped",
        [
            told(1.0, 5, ("upstream-0", 1, 1, 1, "leaving")),
            *fault(1.1, 2.0, "stop", "agent-0"),
            link(3.0, "sent", 1),
        ],
        [],
    ),
    (
        "sent to one missing from a whole list",
        [told(1.0, 5, ("upstream-0", 1, 0, 1, "active")), told(2.0, 6, whole=True), link(9.0, "sent", 1)],
        ["drain"],
    ),
    (
        "sent to one that came back",
        [
            told(1.0, 5, ("upstream-0", 1, 1, 1, "leaving")),
            told(2.0, 6, ("upstream-0", 2, 0, 1, "active")),
            link(9.0, "sent", 1),
        ],
        [],
    ),
    ("revision back", [told(1.0, 5), told(2.0, 4)], ["back"]),
    (
        "incarnation back",
        [told(1.0, 5, ("x", 2, 0, 1, "active")), told(2.0, 6, ("x", 1, 0, 9, "active"))],
        ["back"],
    ),
    (
        "gone and there again",
        [
            told(1.0, 5, ("x", 2, 0, 1, "active")),
            told(2.0, 6, whole=True),
            told(3.0, 7, ("x", 2, 0, 1, "active")),
        ],
        ["back"],
    ),
    (
        "lapsed and renewed",
        [told(1.0, 5, ("x", 2, 0, 2, "left")), told(2.0, 6, ("x", 2, 0, 3, "active"))],
        [],
    ),
    ("kept", [wrote(1.0, 3), final(("x", 3, 0, 1, "active"))], []),
    ("lost a write", [wrote(1.0, 3), final()], ["kept"]),
    ("removed by a call without an answer", [wrote(1.0, 3), wrote(2.0, 4, True, what="tried"), final()], []),
    ("written by a call without an answer", [wrote(1.0, 3), wrote(2.0, 4, what="tried"), final()], ["kept"]),
    ("an older one", [wrote(1.0, 3), final(("x", 2, 0, 1, "active"))], ["kept"]),
    ("back from the dead", [wrote(1.0, 3, True), final(("x", 3, 0, 1, "active"))], ["kept"]),
    ("removed, then newer", [wrote(1.0, 3, True), final(("x", 4, 0, 1, "active"))], []),
    ("undone before it was passed on", [*OLD, wrote(4.0, 3), final()], []),
    ("undone, but passed on long before", [*OLD, wrote(2.0, 3), final()], ["kept"]),
    ("by another than the undone", [*OLD, wrote(4.0, 3, replica="replica-c"), final()], ["kept"]),
    ("differ", [row(5.0, "rig", "converged", after_s=5.0, differ=["replica-b"])], ["converged"]),
    ("agree", [row(5.0, "rig", "converged", after_s=0.2, differ=[])], []),
]


@pytest.mark.parametrize(("rows", "broken"), [(h[1], h[2]) for h in HISTORIES], ids=[h[0] for h in HISTORIES])
def test_a_history_breaks_just_the_rule_that_it_breaks(rows: list[Row], broken: list[str]) -> None:
    ordered = sorted([PLAN, *rows], key=lambda r: float(r["t"]))
    assert [violation.rule for violation in find_violations(ordered)] == broken


def test_a_history_outlives_a_torn_last_row_and_no_other(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path / "a.jsonl")
    recorder.write("rig", "plan", once=[])
    recorder.close()
    with (tmp_path / "a.jsonl").open("ab") as file:
        file.write(b'{"t": 3, "wh')
    assert [r["what"] for r in read(tmp_path)] == ["plan"]
    with (tmp_path / "a.jsonl").open("ab") as file:
        file.write(b"\n")
    with pytest.raises(LabError, match=r"a.jsonl:2: no row"):
        read(tmp_path)


# ---- links -----------------------------------------------------------------------------------------


def test_a_link_holds_what_comes_in_a_cut_and_passes_it_on_when_it_heals() -> None:
    async def test() -> None:
        server, reported = FakeServer(), list[tuple[str, str]]()
        await server.start()
        one = Link("a>b", server.host_port, lambda who, what, **more: reported.append((what, more["txn"])))
        await one.start()
        host, _, port = one.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request = b"GET / HTTP/1.1\r\nX-Txn: t1\r\nContent-Length: 0\r\n\r\n"
        writer.write(request)
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
        one.cut("in")
        writer.write(request)
        await until(lambda: len(server.got) == 2)  # requests pass, answers are held
        late = asyncio.create_task(reader.readuntil(b"ok"))
        _, other = await asyncio.open_connection(host, int(port))
        one.cut("out")
        other.write(request)
        await asyncio.sleep(0.05)
        assert not late.done() and len(server.got) == 2
        one.heal()
        assert (await late).startswith(b"HTTP/1.1 200")
        await until(lambda: len(server.got) == 3)
        assert reported[:4] == [("sent", "t1"), ("answered", "t1"), ("sent", "t1"), ("sent", "t1")]
        one.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        await one.stop()
        server.stop()

    run(test())


def test_a_link_that_drops_ends_new_connections_and_leaves_open_ones() -> None:
    async def test() -> None:
        server = FakeServer()
        await server.start()
        one = Link("a>b", server.host_port)
        await one.start()
        host, _, port = one.address.rpartition(":")
        established = await asyncio.open_connection(host, int(port))
        await until(lambda: server.connections == 1)
        one.drops_connections = True
        dropped, _ = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(ConnectionResetError):  # a reset or an orderly close
            assert await dropped.read() == b""
        established[1].write(b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        assert (await established[0].readuntil(b"ok")).startswith(b"HTTP/1.1 200")
        assert server.connections == 1
        await one.stop()
        server.stop()

    run(test())


# ---- plans -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("", "seconds: is missing"),
        ("seconds = 0.0", "seconds: 0, allowed: 1 to 3600"),
        ("seconds = 10.0\nreplicas = 0", "replicas: 0, allowed: 1 to 16"),
        ("seconds = 10.0\ncolour = 1", "colour: unknown key"),
        (
            "seconds = 10.0\n[[faults]]\nkind = 'melt'\non = ['x']\nat_s = 1.0",
            "faults[0].kind: invalid enum value",
        ),
        ("seconds = 10.0\n[[faults]]\nkind = 'kill'\non = ['x']\nat_s = 1.0", "faults[0].on: x means nobody"),
        (
            "seconds = 10.0\n[[faults]]\nkind = 'stop'\non = ['agent-0']\nat_s = 9.0\nlasts_s = 2.0",
            "faults[0]: ends at 11 s",
        ),
        (
            "seconds = 10.0\n[[faults]]\nkind = 'old_state'\non = ['agent-0']\nat_s = 1.0",
            "faults[0].on: old_state is for replicas",
        ),
        ("seconds = 3600.0\nrequests_per_s = 900.0", "requests_per_s: over 100000 requests"),
        ("seconds =", "invalid TOML"),
    ],
)
def test_a_plan_that_can_not_be_played_is_one_line_and_nothing_starts(
    tmp_path: Path, text: str, words: str
) -> None:
    path = tmp_path / "plan.toml"
    path.write_text(text)
    done = CliRunner().invoke(main, ["chaos", str(path)])
    assert done.exit_code == 2 and words in done.stderr and done.stderr.count("\n") == 1
    assert done.stdout == ""


def test_drawn_faults_are_the_same_for_a_seed_and_within_the_run() -> None:
    plan = Plan(60.0, drawn=RandomFaults(30), seed=4)
    one, two = draw_faults(plan), draw_faults(plan)
    assert (
        one == two
        and len(one.faults) == 30
        and one != draw_faults(Plan(60.0, drawn=RandomFaults(30), seed=5))
    )
    check(one, "drawn")
    assert all(target_names(one, fault) for fault in one.faults)
    assert len(program_names(plan)) == 3 + 3 + 2 + 4 and len(set(link_names(plan))) == 6 + 9 + 12 + 4


# ---- runs ------------------------------------------------------------------------------------------

SHORT = """
seconds = 10.0
requests_per_s = 30.0
faults = [
  {kind = "old_state", on = ["replica-a"], at_s = 0.5, lasts_s = 1.5},
  {kind = "cut", on = ["replica-b>replica-*", "replica-*>replica-b"], at_s = 2.5, lasts_s = 1.5},
  {kind = "kill", on = ["agent-0"], at_s = 3.0, lasts_s = 0.5},
  {kind = "replace", on = ["upstream-0"], at_s = 4.5},
  {kind = "cut_in", on = ["agent-*>replica-c"], at_s = 5.0, lasts_s = 1.0},
  {kind = "kill", on = ["balancer-1"], at_s = 6.5, lasts_s = 0.5},
  {kind = "reset", on = ["balancers>upstream-1"], at_s = 7.5},
  {kind = "stop", on = ["upstream-2"], at_s = 8.0, lasts_s = 1.0},
]
"""


LONG = "seconds = 60.0\nbalancers = 6\nupstreams = 6\n[drawn]\ncount = 30\n"


def play(folder: Path, text: str, *words: str) -> Result:
    path = folder / "plan.toml"
    path.write_text(text)
    return CliRunner().invoke(main, ["chaos", str(path), "--out", str(folder / "run"), *words])


def test_a_short_run_with_fixed_faults_keeps_every_rule_and_its_history_says_so_again(tmp_path: Path) -> None:
    done = play(tmp_path, SHORT)
    assert done.exit_code == 0, done.output
    assert "every rule kept" in done.stdout
    again = CliRunner().invoke(main, ["chaos", "judge", str(tmp_path / "run")])
    assert again.exit_code == 0 and "every rule kept" in again.stdout
    rows = read(tmp_path / "run")
    kinds = {r["what"] for r in rows}
    assert {"asked", "ended", "sent", "begun", "told", "acknowledged", "converged", "final"} <= kinds
    assert sum(r["what"] == "asked" for r in rows) > 200


CUT = """
seconds = 8.0
requests_per_s = 40.0
lease_s = 1.0
faults = [
  {kind = "cut", on = ["upstream-*>replica-*"], at_s = 1.0, lasts_s = 4.0},
  {kind = "kill", on = ["upstream-3"], at_s = 2.0, lasts_s = 2.0},
]
"""


def test_with_all_registrants_cut_off_nobody_is_taken_off_and_a_dead_one_is_found_by_the_balancers(
    tmp_path: Path,
) -> None:
    done = play(tmp_path, CUT)
    assert done.exit_code == 0, done.output
    rows = read(tmp_path / "run")
    cut = next(r["t"] for r in rows if r["what"] == "fault" and r["kind"] == "cut")
    gone = [
        item[0]
        for r in rows
        if r["what"] == "told" and r["source"].startswith("agent-") and cut < r["t"] < cut + 4.0
        for item in r["members"]
        if item[-1] == "left" and item[0].startswith("upstream-")
    ]
    assert gone == []  # though the cut lasts four times their lease
    asked = [r["txn"] for r in rows if r["what"] == "asked" and cut + 1.5 < r["t"] < cut + 2.5]
    ends = {r["txn"]: r["how"] for r in rows if r["what"] == "ended"}
    assert len(asked) > 20 and sum(ends[txn] == "served" for txn in asked) > 0.8 * len(asked)


def test_an_interrupted_run_ends_all_that_it_started(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    path.write_text("seconds = 300.0\nbalancers = 1\nupstreams = 1\n")
    with subprocess.Popen(
        [sys.executable, "-m", "mastturn.cli", "chaos", str(path)],
        stdout=subprocess.PIPE,
        text=True,
        start_new_session=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    ) as process:
        assert process.stdout is not None
        assert "links are up" in process.stdout.readline()
        children_file = Path(f"/proc/{process.pid}/task/{process.pid}/children")
        children = [int(word) for word in children_file.read_text().split()]
        assert len(children) == 3 + 2 + 1 + 1
        process.send_signal(signal.SIGINT)
        process.stdout.read()
        process.wait(60)
    for child in children:
        with pytest.raises(ProcessLookupError):
            os.kill(child, 0)


@pytest.mark.skipif(not os.environ.get("MASTTURN_LONG"), reason="a minute: set MASTTURN_LONG to run it")
def test_a_minute_with_thirty_drawn_faults_keeps_every_rule(tmp_path: Path) -> None:
    began = time.monotonic()
    done = play(
        tmp_path, "seconds = 60.0\nbalancers = 6\nupstreams = 6\n[drawn]\ncount = 30\n", "--seed", "2"
    )
    assert done.exit_code == 0, done.output
    assert time.monotonic() - began < 120


def test_a_plan_is_read_with_the_seed_and_length_that_were_asked_for(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    path.write_text("seconds = 60.0\n[drawn]\ncount = 3\n")
    one, two = read_plan(path, 1, 20.0), read_plan(path, 2, 20.0)
    assert one.seconds == 20.0 and one.faults != two.faults
    assert all(fault.at_s + fault.lasts_s <= 20.0 for fault in one.faults)
