"""Status reports and metrics of a simulated fleet; drains; recovery of a lost core (docs/RECOVER.md)."""

from __future__ import annotations

import json
from typing import Any

import pytest
from prometheus_client.parser import text_string_to_metric_families

import mastturnd.exposition  # noqa: F401 - no thread can import it under the simulated clock
from mastturnd import control_calls
from mastturnd.pace import MAX_REPORTS, RateLimiter
from tests.fabric_callers import DataPlane, ask, call, configuration, upstream
from tests.fabric_world import CTL_PORT, Machine, World, play


@pytest.fixture(autouse=True)
def _reset_rate_limiters(monkeypatch: pytest.MonkeyPatch) -> None:
    control_calls.register()
    monkeypatch.setattr(control_calls, "_STATUS_LIMITER", RateLimiter())
    monkeypatch.setattr(control_calls, "_METRICS_LIMITER", RateLimiter())


async def get(world: World, name: str, target: str) -> tuple[int, Any]:
    answer = await ask((world.machines[name].ip, CTL_PORT), call("GET", target))
    assert answer is not None
    is_text = answer.headers["content-type"].startswith("text/plain")
    return answer.status, answer.body.decode() if is_text else json.loads(answer.body)


async def put(world: World, ver: int, base: int, **changes: Any) -> None:
    ended = await world.operator().put(configuration(ver, **changes), base)
    assert ended.status == 200


def test_each_control_process_tells_who_leads_and_what_it_keeps() -> None:
    async def scenario(world: World) -> None:
        world.platform.entries = [
            upstream("u-1", phase="prefill"),
            upstream("u-2", phase="decode"),
            upstream("u-3", phase="decode", state="draining"),
        ]
        await world.wait_served()
        await put(world, 5, 0)
        plane = world.machines["edge-1"].plane
        plane.put_load(**{"u-2": (3, 0), "u-1": (1, 1200)})
        await world.wait(1.5)
        leader, backup, witness = world.primary(), world.backup(), world.witness()
        status, told = await get(world, leader, "/api/status")
        assert status == 200
        assert (told["standing"], told["epoch"], told["ver"], told["led"]) == ("primary", 1, 5, True)
        assert [p["node"] for p in told["present"]] == ["edge-1", "edge-2", "edge-3"]
        assert [(u["id"], u["part"], u["state"], u["calls"], u["tokens"]) for u in told["upstreams"]] == [
            ("u-1", "prefill", "up", 1, 1200),
            ("u-2", "decode", "up", 3, 0),
            ("u-3", "decode", "draining", 0, 0),
        ]
        assert {m["node"]: (m["holds"], m["leads"]) for m in told["members"]} == {
            leader: (True, True),
            backup: (True, False),
            witness: (False, False),
        }
        _, told = await get(world, backup, "/api/status")
        assert (told["standing"], told["leader"], told["ver"]) == ("holder", leader, 5)
        _, told = await get(world, witness, "/api/status")
        assert (told["standing"], told["leader"], told["ver"]) == ("witness", leader, 0)
        assert told["present"] == [] and told["upstreams"] == []

    play(scenario, cores=3, edges=3)


def test_a_balancer_that_only_hears_the_news_from_elsewhere_now_stays_present() -> None:
    async def scenario(world: World) -> None:
        await world.wait_served()
        await put(world, 5, 0)
        seen: list[int] = []
        for _ in range(50):  # meanwhile all but the first of the zone attach to that one
            _, told = await get(world, world.primary(), "/api/status")
            seen.append(len(told["present"]))
            await world.wait(0.13)
        assert seen == sorted(seen) and seen[-1] == 6
        parents = {m.role._follower.parent() for m in world.edges()}
        assert len(parents) == 2, "the tree has two levels"

    play(scenario, cores=3, edges=6, zones=1)


def test_the_figures_are_well_formed() -> None:
    async def scenario(world: World) -> None:
        world.platform.entries = [upstream("u-1", phase="prefill"), upstream("u-2", phase="")]
        await world.wait_served()
        await put(world, 5, 0)
        await world.wait(1.5)
        status, text = await get(world, world.primary(), "/metrics")
        assert status == 200
        families = {f.name: f for f in text_string_to_metric_families(text)}
        assert families["station_leads"].samples[0].value == 1
        assert families["station_configuration_version"].samples[0].value == 5
        assert families["station_balancers_present"].samples[0].value == 1
        up = {s.labels["part"]: s.value for s in families["station_upstreams_up"].samples}
        assert up == {"prefill": 1, "whole": 1}
        assert families["process_cpu_seconds"].type == "counter"

    play(scenario, cores=3, edges=1)


def test_the_history_is_told_by_whoever_leads_and_others_say_who_that_is() -> None:
    async def scenario(world: World) -> None:
        await world.wait_served()
        await put(world, 5, 0)
        await put(world, 9, 5)
        status, told = await get(world, world.primary(), "/api/history")
        assert status == 200 and [t["ver"] for t in told["taken"]] == [5, 9]
        answer = await ask((world.machines[world.witness()].ip, CTL_PORT), call("GET", "/api/history"))
        assert answer is not None and answer.status == 307
        assert answer.headers["location"] == f"http://{world.machines[world.primary()].ctl}/api/history"

    play(scenario, cores=3, edges=1)


def test_a_stranger_who_asks_all_the_time_is_put_off_and_orders_go_on() -> None:
    async def scenario(world: World) -> None:
        await world.wait_served()
        leader = world.primary()
        statuses = [(await get(world, leader, "/api/status"))[0] for _ in range(MAX_REPORTS + 4)]
        assert statuses == [200] * MAX_REPORTS + [429] * 4
        assert (await get(world, leader, "/metrics"))[0] == 200  # metrics have a rate limit of their own
        await put(world, 5, 0)
        await world.wait(1.0)
        assert (await get(world, leader, "/api/status"))[0] == 200

    play(scenario, cores=3, edges=1)


@pytest.mark.parametrize(
    "raw", [call("POST", "/api/status"), call("PUT", "/metrics"), call("DELETE", "/api/history")]
)
def test_nothing_of_it_can_be_written(raw: bytes) -> None:
    async def scenario(world: World) -> None:
        await world.wait_served()
        answer = await ask((world.machines["core-1"].ip, CTL_PORT), raw)
        assert answer is not None and answer.status == 405

    play(scenario, cores=3, edges=0)


def serves(machine: Machine) -> bool:
    return machine.role is not None and machine.plane.ver == 5 and machine.plane.is_allowed


def allowed(world: World, name: str) -> bool:
    plane: DataPlane = world.machines[name].plane
    return plane.is_allowed


def test_a_drained_balancer_takes_no_new_clients_whoever_leads_and_after_its_own_restart() -> None:
    async def scenario(world: World) -> None:
        await world.wait_served()
        await put(world, 5, 0)
        await world.wait_until(lambda: all(allowed(world, m.name) for m in world.edges()), 2.0)
        await put(world, 6, 5, drained=["edge-2"])
        await world.wait_until(lambda: not allowed(world, "edge-2"), 2.0, "edge-2 takes no new clients")
        assert allowed(world, "edge-1") and allowed(world, "edge-3")
        assert world.machines["edge-2"].role.report_state()["drained"]

        lost = world.primary()
        world.kill(lost)
        await world.wait_until(lambda: world.primary() not in ("", lost), 3.0)
        world.boot(lost)
        await world.wait(2.0)
        assert not allowed(world, "edge-2")

        world.kill("edge-2")
        world.boot("edge-2")
        await world.wait_until(lambda: world.machines["edge-2"].plane.ver == 6, 4.0)
        await world.wait(1.0)
        assert not allowed(world, "edge-2")

        world.kill(*(m.name for m in world.cores()))
        world.boot(*(m.name for m in world.cores()))
        await world.wait_served()
        assert not allowed(world, "edge-2")

        await put(world, 7, 6)
        await world.wait_until(lambda: allowed(world, "edge-2"), 2.0, "edge-2 takes clients again")

    play(scenario, cores=3, edges=3)


@pytest.mark.parametrize("drained", [7, "edge-1", ["edge-1", 3], {"edge-1": True}, None, ["edge-11"], [""]])
def test_what_names_nobody_drains_nobody(drained: Any) -> None:
    async def scenario(world: World) -> None:
        await world.wait_served()
        await put(world, 5, 0, drained=drained)
        await world.wait_until(lambda: world.machines["edge-1"].plane.ver == 5, 2.0)
        await world.wait(0.5)
        assert allowed(world, "edge-1")

    play(scenario, cores=1, edges=1, faults=0)


# ---- docs/RECOVER.md


def test_with_one_disk_left_of_three_nobody_leads_and_the_balancers_serve_on() -> None:
    async def scenario(world: World) -> None:
        await world.wait_served()
        await put(world, 5, 0)
        await world.wait_until(lambda: all(m.plane.ver == 5 for m in world.edges()), 2.0)
        left = world.backup()
        world.power_off(*(m.name for m in world.cores() if m.name != left))
        await world.wait(10.0)
        assert world.primary() == ""
        answer = await ask((world.machines[left].ip, CTL_PORT), call("GET", "/api/config"), 2.0)
        assert answer is not None and answer.status == 503
        _, told = await get(world, left, "/api/status")
        assert (told["standing"], told["ver"], told["led"]) == ("holder", 5, False)
        assert all(allowed(world, m.name) and m.plane.ver == 5 for m in world.edges())
        # Empty replacements of the lost machines have no vote, so there is still no quorum.
        for machine in world.cores():
            if machine.name != left:
                machine.disk.wipe()
                world.boot(machine.name)
        await world.wait(10.0)
        assert world.primary() == ""
        _, told = await get(world, next(m.name for m in world.cores() if m.name != left), "/api/status")
        assert told["standing"] == "newcomer"

    play(scenario, cores=3, edges=2)


def test_a_new_core_takes_the_salvaged_configuration_and_balancers_follow_it_as_they_run() -> None:
    async def scenario(world: World) -> None:
        await world.wait_served()
        await put(world, 5, 0)
        await world.wait_until(lambda: all(m.plane.ver == 5 for m in world.edges()), 2.0)
        lost = world.primary()
        world.kill(lost)  # so that the old core reaches a later epoch than the first one of the new core
        await world.wait_until(lambda: world.primary() not in ("", lost), 3.0)
        world.boot(lost)
        await world.wait(2.0)
        world.kill(*(m.name for m in world.cores()))
        for machine in world.cores():
            machine.disk.wipe()
        world.is_first = True
        world.boot(*(m.name for m in world.cores()))
        world.is_first = False
        await world.wait_until(lambda: world.primary(), 5.0)
        await put(world, 5, 0)
        await world.wait(3.0)
        _, told = await get(world, world.primary(), "/api/status")
        # The balancers report their epoch 2, so that the new core leads in a later one.
        assert told["ver"] == 5 and told["epoch"] > 2
        assert all(allowed(world, m.name) and m.plane.ver == 5 for m in world.edges())
        assert all(m.role._follower.is_fresh() for m in world.edges())
        await put(world, 6, 5)
        await world.wait_until(lambda: all(m.plane.ver == 6 for m in world.edges()), 2.0)

    play(scenario, cores=3, edges=2)
