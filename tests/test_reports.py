from __future__ import annotations

import json
import logging
from typing import Any

import pytest

from passpost import config
from passpost.reports import LoadReports
from tests.helpers import READ, Harness, sent
from tests.loopback import config_data
from umberworks import wire
from umberworks.interface import AttemptEnded, LoadReport, Outcome, Probed

FIELDS = ("mean_ms", "load_share")


def header(text: str | bytes) -> list[tuple[bytes, bytes]]:
    return [(b"X-Pressure", text if isinstance(text, bytes) else text.encode())]


@pytest.mark.parametrize("names", [("util", "latency_ms"), ("load_share", "mean_ms")])
def test_a_report_is_read_by_the_names_that_the_settings_give(names: tuple[str, str]) -> None:
    reports = LoadReports(FIELDS)
    text = json.dumps({names[0]: 0.61, names[1]: 14.5, "inflight": 7})
    assert reports.read(header(text)) == LoadReport(0.61, 14.5)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "no json",
        "[0.5]",
        "{}",
        '{"util":-0.1}',
        '{"util":1.5}',
        '{"util":NaN}',
        '{"util":"0.5"}',
        '{"util":true}',
        '{"util":null}',
        '{"util":0.5,"latency_ms":-1}',
        '{"inflight":3}',
        "[" * 900,
        b"\xff\xfe",
        '{"util":0.5' + " " * 100_000 + "}",
    ],
)
def test_a_spoilt_report_is_no_report_and_is_said_once(
    text: str | bytes, caplog: pytest.LogCaptureFixture
) -> None:
    reports = LoadReports(FIELDS)
    with caplog.at_level(logging.WARNING):
        assert [reports.read(header(text)) for _ in range(3)] == [None] * 3
    assert len(caplog.records) == 1 and len(caplog.text) < 400


def test_without_reports_in_the_settings_none_is_read() -> None:
    assert LoadReports(()).read(header('{"util":0.5}')) is None
    assert LoadReports(FIELDS).read([(b"Server", b"x")]) is None
    data = config_data([])
    assert config.read(data).report_fields == ()
    data["settings"]["telemetry"] = {"how": "answers", "fields": list(FIELDS)}
    assert config.read(data).report_fields == FIELDS
    data["settings"]["telemetry"]["how"] = "probe"
    assert config.read(data).report_fields == ()


@pytest.mark.parametrize(
    ("gauge", "report"),
    [
        ("14.5,0.62", LoadReport(0.62, 14.5)),
        ("14.5", None),
        ("14.5,nan", None),
        ("14.5,1.7", None),
        ("x,0.5", None),
        ("", None),
    ],
)
def test_a_gauge_on_the_wire_is_read_in_the_settings_order(gauge: str, report: LoadReport | None) -> None:
    fields = {"corr": "1", "shot": "0", "upstream": "u", "verdict": "1", "complete": "1", "gauge": gauge}
    event = wire.read_event("verdict", fields, lambda _: None, FIELDS)
    assert isinstance(event, AttemptEnded) and event.report == report
    without = wire.read_event("verdict", fields, lambda _: None)
    assert isinstance(without, AttemptEnded) and without.report is None


def calls_in_burst(util: float | None, silent: bool = True) -> int:
    """How many calls a balancer has in flight 1 s into a burst, with this CPU use reported.

    `silent`: a server has become silent just before.
    """
    harness = Harness(8, balancers=8, may_duplicate=False, may_probe=True)
    out: list[tuple[float, int, str]] = []
    for step, seconds in ((10.0, 8), (1.0, 1)):
        until = harness.now + seconds * 1_000
        if silent and seconds == 1:
            harness.handle(Probed("s7", False))
        while harness.now < until:
            harness.now += step
            while out and out[0][0] <= harness.now:
                _, request, server = out.pop(0)
                report = None if util is None else LoadReport(util)
                event = AttemptEnded(request, 0, server, Outcome.SERVED, True, report=report)
                out += [
                    (harness.now + 100.0, send.request, send.server) for send in sent(harness.handle(event))
                ]
            out += [
                (harness.now + 100.0, send.request, send.server) for send in sent(harness.arrive(READ)[1])
            ]
    return len(out)


def test_idle_cores_give_room_after_a_silence_where_times_in_service_alone_do_not() -> None:
    assert calls_in_burst(0.3) > 1.5 * calls_in_burst(None)


def test_idle_cores_give_no_room_where_nothing_has_been_silent() -> None:
    assert calls_in_burst(0.3, silent=False) == calls_in_burst(None, silent=False)


def test_busy_cores_give_no_room_of_their_own() -> None:
    assert calls_in_burst(0.95) <= 1.1 * calls_in_burst(None)


def test_a_report_that_is_out_of_range_is_none() -> None:
    for wrong in ({"util": -0.1}, {"util": 1.1}, {"util": float("nan")}, {"util": 0.5, "latency_ms": -1.0}):
        values: dict[str, Any] = wrong
        with pytest.raises(ValueError, match=r"util|latency_ms"):
            LoadReport(**values)
