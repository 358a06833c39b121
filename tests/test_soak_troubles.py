"""Overlapping troubles of a soak must not break the soak itself."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import pytest
import yaml

from mastturn.files import LabError
from mastturn.smallfleet.layout import allocate_layout
from mastturn.soak import lag, surroundings
from mastturn.soak.checker import Checker
from mastturn.soak.fleet import Fleet
from mastturn.soak.logs import Logs
from mastturn.soak.plan import Plan
from mastturn.soak.play import run_soak
from mastturn.soak.records import (
    ClientBehavior,
    ClientRequest,
    EndKind,
    Records,
    RequestEnd,
    RequestKind,
    Span,
)
from mastturn.soak.surroundings import Environment
from mastturn.soak.troubles import Troubles
from tests.loopback import run

UPSTREAMS = 6


@pytest.fixture(autouse=True)
def no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(surroundings, "REPLACE_DELAY_S", 0.0)
    monkeypatch.setattr(surroundings, "LISTING_DELAY_S", 0.0)
    monkeypatch.setattr(surroundings, "DRAIN_S", 0.0)


@pytest.mark.parametrize("seed", range(10))
def test_upstreams_that_crash_and_leave_at_once_never_share_an_address(seed: int) -> None:
    async def overlap() -> None:
        environment = Environment(allocate_layout(UPSTREAMS + 4), UPSTREAMS, seed, Records())
        await environment.start()
        rng = random.Random(seed)
        troubles = [environment.crash, environment.leave] * UPSTREAMS
        rng.shuffle(troubles)
        try:
            await asyncio.gather(*(trouble(rng) for trouble in troubles))
            addresses = [upstream.address for upstream in environment.listed]
            assert len(set(addresses)) == len(addresses) >= surroundings.MIN_UPSTREAMS
        finally:
            environment.stop()

    run(overlap())


def test_a_trouble_that_fails_fails_the_soak(tmp_path: Path) -> None:
    async def fail() -> None:
        layout = allocate_layout(UPSTREAMS)
        environment = Environment(layout, UPSTREAMS, 1, Records())
        troubles = Troubles(Fleet(layout, tmp_path, Records()), environment, 1, lambda text: None, "crash")
        environment.crash = raise_os_error  # type: ignore[method-assign]
        await troubles.run(1.1)

    async def raise_os_error(rng: random.Random) -> None:
        raise OSError("address already in use")

    with pytest.raises(OSError, match="already in use"):
        run(fail())


def test_a_control_process_loses_its_disk_only_in_calm(tmp_path: Path) -> None:
    records = Records()
    fleet = Fleet(allocate_layout(UPSTREAMS), tmp_path, records)
    assert fleet.since_control_fault_s() == float("inf")
    now = time.monotonic()
    records.spans = [Span("kill", "core-a", now - 9.0, now - 8.0), Span("kill", "edge-a", now - 1.0, now)]
    assert fleet.since_control_fault_s() == pytest.approx(8.0, abs=0.5)
    records.spans.append(Span("stop", "core-b", now - 1.0))
    assert fleet.since_control_fault_s() < 0.0


def test_a_folder_of_an_earlier_soak_is_refused(tmp_path: Path) -> None:
    (tmp_path / "core-a").mkdir()
    with pytest.raises(LabError, match="not empty; name another folder"):
        run_soak(Plan(1), lambda text: None, tmp_path)


def test_what_the_soak_itself_saw_late_is_no_finding_of_time_but_of_content(tmp_path: Path) -> None:
    lag_span = Span(lag.LAG, lag.SOAK, 11.0, 11.5)
    request_record = ClientRequest("r1", RequestKind.ONCE, ClientBehavior.KEPT, "edge-a", 10.0, 14.0, False)
    request_record.ends.append(RequestEnd(EndKind.NONE, 15.5))
    assert [f.rule for f in Checker(Records([request_record])).findings()] == ["held"]
    assert Checker(Records([request_record], spans=[lag_span])).findings() == []
    request_record.ends[0] = RequestEnd(EndKind.INVALID, 12.0)
    assert [f.rule for f in Checker(Records([request_record], spans=[lag_span])).findings()] == ["mixed"]


def test_a_loop_that_has_no_turn_is_noticed() -> None:
    async def block_loop(records: Records) -> None:
        watcher = asyncio.create_task(lag.watch(records))
        await asyncio.sleep(0.0)
        time.sleep(lag.PERIOD_S + 2 * lag.MAX_DELAY_S)  # blocks the event loop
        while not records.spans:
            await asyncio.sleep(0.0)
        watcher.cancel()

    records = Records()
    asyncio.run(block_loop(records))
    (span,) = records.spans
    assert (span.cause, span.subject) == (lag.LAG, lag.SOAK)
    assert span.end - span.begin == pytest.approx(records.worst_lag_s)
    assert records.worst_lag_s >= lag.MAX_DELAY_S


def test_log_lines_are_found_by_their_request(tmp_path: Path) -> None:
    (tmp_path / "edge-a.log").write_text("event=cut request=r1 status=200\nevent=started\n")
    (tmp_path / "core-a.log").write_text("event=cut request=r2\n")
    logs = Logs(tmp_path)
    assert logs.lines_about("r1") == ["edge-a: event=cut request=r1 status=200"]
    assert logs.lines_about("") == logs.lines_about("r9") == []


@pytest.mark.parametrize("diskless", [0, 2, 3])
def test_changed_seeds_name_control_processes_and_reach_the_settings_files(
    tmp_path: Path, diskless: int
) -> None:
    layout = allocate_layout(UPSTREAMS, diskless=diskless)
    fleet = Fleet(layout, tmp_path, Records())
    environment = Environment(layout, UPSTREAMS, 1, Records())
    troubles = Troubles(fleet, environment, 1, lambda text: None, "seeds")
    drawn: set[str] = set()
    for _ in range(40):
        run(troubles._change_seeds())
        for machine in (*layout.edges, *layout.diskless):
            seeds = yaml.safe_load((tmp_path / f"{machine.node}.yaml").read_text())["seed_addrs"]
            assert seeds and len(set(seeds)) == len(seeds) <= 3
            drawn |= set(seeds)
    assert drawn == set(layout.all_ctl())


def test_a_balancer_that_is_not_ready_at_the_end_is_a_finding() -> None:
    (finding,) = Checker(Records(unready=["edge-a"])).findings()
    assert (finding.rule, finding.description) == ("recover", "edge-a is not ready after the last trouble")


def test_a_dead_upstream_serves_no_connection_that_it_had_accepted() -> None:
    """Guards against a stand-in that answers after its death, which shows that it lives (soak seed 4000)."""

    received: list[bytes] = []

    async def ask_the_dead() -> None:
        layout = allocate_layout(UPSTREAMS)
        environment = Environment(layout, UPSTREAMS, 1, Records())
        await environment.start()
        upstream = environment.listed[0]
        upstream.on_death = lambda dead: None
        upstream.die()
        server = await asyncio.start_server(upstream._serve, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        try:
            writer.write(b"GET /api/report HTTP/1.1\r\nHost: u\r\nContent-Length: 0\r\n\r\n")
            received.append(await reader.read(1))
        except ConnectionError:
            received.append(b"")
        finally:
            writer.close()
            server.close()
            environment.stop()

    run(ask_the_dead())
    assert received == [b""]
