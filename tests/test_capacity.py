"""The measures behind docs/CAPACITY.md: lines, hollow fleets, tables. Small sizes, a clock of their own."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import math
import re
from pathlib import Path
from typing import Any

import pytest

from config.checking import check
from dissemination.messages import ConfigurationUpdate, LeaderHeartbeat
from mastturn.capacity import budget, choices, lists, remedies, tables
from mastturn.capacity.clockwork import Loop, Program
from mastturn.capacity.days import run_day
from mastturn.capacity.fleet import tree_depth
from mastturn.capacity.foreseen import QUANTITIES, foresee, one_report_entries, shape_of, told_entries
from mastturn.capacity.network import CROSS_REGION_S, CROSS_ZONE_S, IN_ZONE_S, KINDS, kind_of
from mastturn.capacity.page import fill
from mastturn.capacity.parts import of_configuration, of_list, of_members
from mastturn.capacity.shapes import FITTED, HELD_OUT, TARGET, Shape, configuration, list_entries
from mastturn.capacity.slopes import agrees, fit, quantile
from mastturn.capacity.troubles import run_troubles
from mastturn.files import LabError
from transport.wire import compress_frame

SMALL = Shape(balancers=8, upstreams=40, zones=2, regions=2, services=3, routes=6, requests_s=2_400.0)


# ---- lines


def test_a_line_through_exact_points_has_no_bounds() -> None:
    line = fit([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
    assert line.slope == pytest.approx(2.0) and line.base == pytest.approx(3.0)
    assert line.bound == pytest.approx(0.0, abs=1e-9)
    assert line.bounds_at(10.0) == pytest.approx((23.0, 23.0))
    assert (line.low, line.high, line.n) == (1.0, 4.0, 3)


def test_bounds_follow_the_scatter_and_widen_beyond_what_was_measured() -> None:
    points = [(1.0, 1.1), (2.0, 1.9), (3.0, 3.2), (4.0, 3.8), (5.0, 5.1)]
    line = fit(points)
    by_hand = 3.182 * math.sqrt(sum((y - line.at(x)) ** 2 for x, y in points) / 3) / math.sqrt(10.0)
    assert line.bound == pytest.approx(by_hand)
    low, high = line.bounds_at(3.0)
    far_low, far_high = line.bounds_at(30.0)
    assert low < line.at(3.0) < high and far_high - far_low > 3 * (high - low)


def test_two_points_give_a_line_with_no_bounds_and_one_size_none() -> None:
    line = fit([(1.0, 1.0), (2.0, 3.0)])
    assert line.bound == math.inf and line.bounds_at(5.0) == (-math.inf, math.inf)
    with pytest.raises(ValueError, match="measure another"):
        fit([(1.0, 1.0), (1.0, 2.0)])


def test_quantiles_fall_to_the_normal_one() -> None:
    found = [quantile(n) for n in range(1, 60)]
    assert found == sorted(found, reverse=True) and 1.96 < found[-1] < 2.02
    assert quantile(0) == math.inf


def test_foreseen_agrees_within_a_quarter_of_what_was_measured() -> None:
    assert agrees(1.25, 1.0) and agrees(0.75, 1.0)
    assert not agrees(1.26, 1.0) and not agrees(0.74, 1.0)


# ---- shapes


def test_a_fleets_list_and_configuration_are_what_the_programs_take() -> None:
    entries = list_entries(TARGET)
    assert len({e["id"] for e in entries}) == 2_800
    assert len({e["addr"] for e in entries}) == 2_800
    assert sum(e["phase"] == "prefill" for e in entries) == pytest.approx(0.43 * 2_800, rel=0.01)
    checked = check(configuration(7, 12, 3)).configuration
    assert (checked.ver, len(checked.routes), len(checked.svcs)) == (7, 12, 3)


def test_entries_that_are_told_grow_with_the_fleet_up_to_all_that_have_work() -> None:
    told = [told_entries(shape_of(n)) for n in (*FITTED, HELD_OUT)]
    assert told == sorted(told) and told[-1] < TARGET.upstreams
    assert one_report_entries(TARGET) == pytest.approx(6.857 * 13.35, rel=0.05)
    assert HELD_OUT not in FITTED


@pytest.mark.parametrize(
    ("balancers", "zones", "depth"),
    [(1, 1, 1), (9, 1, 2), (10, 1, 3), (350, 10, 3), (73, 1, 3), (74, 1, 4)],
)
def test_depth_of_the_tree(balancers: int, zones: int, depth: int) -> None:
    assert tree_depth(balancers, zones, 8) == depth


# ---- the clock, and whose time it is


def test_a_busy_core_does_its_next_work_once_it_is_free() -> None:
    loop = Loop(charge=1_000.0)
    program = Program(loop, "a", "10.0.0.1", ("zone-0", "region-0"))
    at: list[float] = []

    def work() -> None:
        sum(range(2_000))
        at.append(loop.time())

    async def day() -> None:
        for _ in range(3):
            loop.call_soon(work, context=program.context)
        await asyncio.sleep(3_600.0)

    loop.run_until_complete(day())
    loop.close()
    assert at[0] < at[1] < at[2]
    assert program.tally.cpu["timers and tasks"] * 1_000 >= at[2] - at[0]


def test_work_of_a_program_that_was_killed_is_dropped() -> None:
    loop = Loop()
    program = Program(loop, "a", "10.0.0.1", ("zone-0", "region-0"))
    ran: list[int] = []

    async def day() -> None:
        loop.call_later(1.0, ran.append, 1, context=program.context)
        program.kill()
        await asyncio.sleep(2.0)

    loop.run_until_complete(day())
    loop.close()
    assert ran == []


def test_distance_is_by_zone_and_region() -> None:
    loop = Loop()
    places = [("zone-0", "region-0"), ("zone-0", "region-0"), ("zone-1", "region-0"), ("zone-9", "region-2")]
    own, *others = [Program(loop, str(i), f"10.0.0.{i}", place) for i, place in enumerate(places)]
    assert [loop.network.delay(own, p) for p in others] == [IN_ZONE_S, CROSS_ZONE_S, CROSS_REGION_S]
    loop.close()


def test_messages_are_counted_by_their_kind() -> None:
    frame = KINDS.encode(LeaderHeartbeat(1, 2, 3))
    assert kind_of(7720, frame) == "Pulse"
    assert kind_of(7720, frame + b"x") == "other"
    assert kind_of(8166, frame) == "operator"
    assert kind_of(8169, b"GET") == "platform"


# ---- hollow fleets


@pytest.fixture(scope="module")
def small_day() -> dict[str, Any]:
    return run_day(SMALL, 0.5, 0.0, 0.0, 1)


def test_a_hollow_fleet_plays_its_day(small_day: dict[str, Any]) -> None:
    phases = small_day["phases"]
    order = ["boot", "quiet", "idle", "configuration", "list", "restart", "busy", "busy configuration"]
    assert list(phases) == order
    roles = phases["quiet"]["roles"]
    assert roles["primary"]["programs"] == roles["backup"]["programs"] == roles["witness"]["programs"] == 1
    assert sum(roles[r]["programs"] for r in ("head", "relay", "leaf") if r in roles) == SMALL.balancers
    assert roles["primary"]["children"] == SMALL.zones
    assert not [fault for fault in small_day["faults"] if "destroyed" not in fault]


def test_what_one_sends_another_gets(small_day: dict[str, Any]) -> None:
    roles = small_day["phases"]["configuration"]["roles"]
    frames = [
        compress_frame(
            KINDS.encode(ConfigurationUpdate(ver, configuration(ver, SMALL.routes, SMALL.services)))
        )
        for ver in (2, 3, 4)
    ]
    for role in ("head", "leaf"):
        assert roles[role]["got"]["ConfigurationNews"] == 3
        assert roles[role]["got_bytes"]["ConfigurationNews"] == sum(map(len, frames))
    sent = sum(r["programs"] * r["sent"].get("ConfigurationNews", 0) for r in roles.values())
    assert sent == pytest.approx(3 * SMALL.balancers)
    assert roles["backup"]["got"]["Write"] == 3 and "Write" not in roles["witness"]["got"]


def test_a_change_takes_the_way_down_the_tree_and_no_longer(small_day: dict[str, Any]) -> None:
    told = small_day["phases"]["configuration"]
    assert told["in_force_s"]["n"] == 3 * SMALL.balancers
    assert max(told["all_s"]) <= CROSS_REGION_S + 3 * IN_ZONE_S + 0.001


def test_sums_of_load_go_down_at_the_pace_of_their_period(small_day: dict[str, Any]) -> None:
    busy = small_day["phases"]["busy"]
    heard = busy["roles"]["leaf"]["got"]["LoadStep"]
    assert "LoadNews" not in busy["roles"]["leaf"]["got"]
    assert busy["seconds"] / 0.1 < heard <= busy["seconds"] / 0.04 + 1


def test_what_balancers_believe_of_each_other_is_held_against_what_is_so(small_day: dict[str, Any]) -> None:
    """A small fleet's changes all fit: what is wrong is what has changed since the last step."""
    wrong = small_day["phases"]["busy"]["wrong"]
    assert set(wrong) == {"reading", "answering"}
    assert 0.0 < wrong["answering"] < 0.1 and wrong["reading"] < 0.6


def test_idle_processes_are_measured_with_empty_caches(small_day: dict[str, Any]) -> None:
    quiet, idle = (small_day["phases"][name] for name in ("quiet", "idle"))
    assert idle["seconds"] == 10.0 and idle["roles"]["backup"]["got"]["Beat"] >= 50
    cpu = [sum(p["roles"]["backup"]["cpu"].values()) / p["seconds"] for p in (quiet, idle)]
    assert cpu[1] > cpu[0]


def test_what_is_sent_at_one_moment_arrives_in_order() -> None:
    """Found by the first runs with changes: two messages of one moment could change places."""
    loop = Loop()
    got: list[bytes] = []

    class Reader(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            got.append(data)

    async def day() -> None:
        await loop.create_server(Reader, "10.0.0.1", 7720)
        transport, _ = await loop.create_connection(asyncio.Protocol, "10.0.0.1", 7720)
        for number in range(200):
            transport.write(b"%d" % number)
        await asyncio.sleep(1.0)

    loop.run_until_complete(day())
    loop.close()
    assert got == [b"%d" % number for number in range(200)]


def test_work_takes_time_on_a_charged_fleet() -> None:
    shape = dataclasses.replace(SMALL, balancers=4)
    free, charged = (run_day(shape, 0.2, charge, 0.0, 1) for charge in (0.0, 20.0))
    took = [day["phases"]["configuration"] for day in (free, charged)]
    waits = [max(t["all_s"]) + max(t["acknowledged_s"]) for t in took]
    assert waits[1] > waits[0] + 0.01


def test_losses_of_a_hollow_fleet_end() -> None:
    shape = dataclasses.replace(SMALL, balancers=6, zones=3, regions=3)
    found = run_troubles(shape, 8.0, 0.0, 0.0)
    assert found["primary"]["led_again_s"] < 3.0 and found["primary"]["all_hear_again_s"] < 5.0
    assert found["zone"]["all_hear_again_s"] < 5.0 and found["zone"]["back"]["balancers"] == 2
    apart = found["region"]["apart"]
    assert apart["balancers"] == 2 and apart["heard_nothing"] == 2 and apart["list_calls"] > 0
    assert found["region"]["healed"]["all_hear_again_s"] < 5.0


# ---- prices and tables


def test_prices_grow_with_the_size() -> None:
    assert of_list(200, 1)["bytes"] > 1.9 * of_list(100, 1)["bytes"]
    assert of_members(40, 1)["bytes"] > 1.8 * of_members(20, 1)["bytes"]
    assert of_configuration(40, 1)["bytes"] > of_configuration(20, 1)["bytes"]


def _parts() -> dict[str, Any]:
    """Prices that are exact lines."""
    prices = ("bytes", "packed_bytes", "parse_s", "first_take_s", "take_s", "pack_s", "decode_s", "encode_s")
    more = ("change_bytes", "change_s", "change_tell_s", "tell_s", "zlib_s", "unpack_s")
    names = (*prices, *more, "add_s", "place_s", "check_s", "table_s")
    held = {"entries": 2_800, "holdings": 2_800, "members": 350, "routes": 840, "changes": 60}
    slopes = {name: 100.0 if "bytes" in name else 1e-6 for name in names}
    points = {
        part: [{"x": x} | {n: slope * x for n, slope in slopes.items()} for x in (10, 20, 40, held[key])]
        for part, key in budget.HELD_KEYS.items()
    }
    return {"parts": points, "held_out": held}


def test_the_budget_counts_each_kind_of_news() -> None:
    found = {cost.name: cost for cost in budget.costs(_parts(), 0.0)}
    listed = found["list of upstreams"]
    assert listed.one_bytes == pytest.approx(280_000.0)
    assert listed.bytes_s == pytest.approx(280_000.0 * budget.LIST_CHANGES / 86_400)
    assert listed.relayed_bytes_s == pytest.approx(9 * listed.bytes_s)
    sums = found["sums of load, down"]
    assert sums.times_s == pytest.approx(25.0) and sums.one_bytes == pytest.approx(100 * 36.0)


def test_each_part_of_the_budget_has_a_verdict() -> None:
    found = budget.within(_parts(), 0.0, {"fresh": 64.0, "later": 16.0})
    assert len(found) == 6
    assert found[-1][3] == "0.5 of it: holds"
    assert "FAILS" in found[0][3]


def test_a_table_without_its_run_says_so_and_the_rest_of_the_page_stays(tmp_path: Path) -> None:
    text = "# A\n\n<!-- table prices -->\nold\n<!-- end -->\n\nwords\n"
    filled = fill(text, tmp_path)
    assert "old" not in filled and "not measured yet" in filled and filled.endswith("words\n")
    assert fill(filled, tmp_path) == filled
    with pytest.raises(LabError, match="measure parts"):
        tables.read(tmp_path, "parts")


def test_prices_become_a_table_with_what_was_foreseen(tmp_path: Path) -> None:
    (tmp_path / "parts.json").write_text(json.dumps(_parts()), encoding="utf-8")
    filled = fill("<!-- table prices -->\n<!-- end -->", tmp_path)
    row = r"the list, whole \| 100 ± [\d.]+ B an entry \| 10 to 40 \| 2,800: 280 kB \| 280 kB \| yes"
    assert re.search(row, filled)


def test_figures_have_three_digits_and_no_exponent() -> None:
    found = [tables.figure(x) for x in (0.0, 0.00001234, 0.1234, 12.34, 1234.0, 1_234_567.0)]
    assert found == ["0", "0.000012", "0.123", "12.3", "1,230", "1,230,000"]


def test_all_quantities_are_foreseen_from_days_of_all_fitted_sizes(small_day: dict[str, Any]) -> None:
    fleets = {n: [small_day] for n in (*FITTED, HELD_OUT)}
    found = foresee(fleets)
    assert len(found) == len(QUANTITIES)
    assert all(f.agrees for f in found if f.measured)
    assert foresee({}) == []


def test_each_way_that_was_weighed_has_its_bytes() -> None:
    found = {(way.of, way.way): way for way in remedies.ways(_parts())}
    whole = found["list", "whole at each change"]
    changed = found["list", "in force: the entries that changed"]
    assert whole.in_bytes_s > 1_000 * changed.in_bytes_s
    assert whole.relay_bytes_s == 9 * whole.in_bytes_s
    told = told_entries(TARGET)
    assert 0 < remedies.changed_entries(0.04) < remedies.changed_entries(0.4) < told
    assert remedies.changed_entries(3_600.0) == pytest.approx(told)
    assert remedies.list_period_s(2, 50.0) == 1.0
    assert remedies.list_period_s(56, 50.0) == pytest.approx(1.4)


def test_a_service_keeps_its_pairs_within_a_zone_where_it_can() -> None:
    few, many = (choices.one(size, 1, 50, 60) for size in (10, 100))
    assert few["moves"] > 0 and 0.0 <= many["between_zones"] <= 1.0
    assert many["between_zones"] < few["between_zones"]


def test_a_list_within_the_platforms_rate_gets_through_and_calls_beyond_it_are_turned_away() -> None:
    told = lists.one(120, 50.0)
    assert told["pages"] == 3 and told["turned_away"] == 0
    assert told["listed_s"] is not None and told["listed_s"] < 3.0
    assert lists.one(120, 2.0)["turned_away"] > 0
