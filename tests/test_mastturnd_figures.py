"""Metrics of both roles: what each counts, and that the writer is imported on the first request only."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from prometheus_client.parser import text_string_to_metric_families

from balancer.balancer import Balancer
from balancer.request_counters import FIRST_EVENT_S, Refusal, RequestCounters
from mastturnd import balancer_figures, control_calls, control_figures
from mastturnd.exposition import render
from mastturnd.pace import RateLimiter
from passpost.counters import RequestResult
from tests.balancer_stage import (
    BalancerHarness,
    FakeUpstream,
    cut_after,
    decode,
    prefill,
    reject,
    reset,
    running_balancer,
)
from tests.fabric_callers import configuration
from tests.fabric_world import World, play
from tests.loopback import run

ROOT = Path(__file__).parent.parent
SPLIT = "Mastturn-Token-Count: 900,3\r\n"


def told(balancer: Balancer, age: float | None = 0.25) -> dict[str, float]:
    """Return a balancer's metrics by name and labels."""
    state = {"drained": False, "fresh": True, "ver": 5, "epoch": 3, "list_calls": 2, "news_age_s": age}
    role: Any = SimpleNamespace(settings=balancer.settings, balancer=balancer, report_state=lambda: state)
    return read(render(balancer_figures.metrics(role)).decode())


def read(text: str) -> dict[str, float]:
    return {
        s.name + "".join(f"/{v}" for v in s.labels.values()): s.value
        for f in text_string_to_metric_families(text)
        for s in f.samples
    }


def test_a_stream_counts_with_its_first_event_and_the_tokens_of_its_prompt() -> None:
    async def test() -> None:
        async with running_balancer(FakeUpstream("p1", "prefill"), FakeUpstream("d1", "decode")) as play:
            assert (await play.ask(headers=SPLIT)).whole
            found = told(play.balancer)
        assert found["station_requests_total/served"] == 1
        assert found["station_first_event_seconds_count"] == 1
        assert 0 < found["station_first_event_seconds_sum"] < 8
        assert found["station_first_event_seconds_bucket/+Inf"] == 1
        assert found["station_prompt_tokens_total/first"] == 900
        assert found["station_prompt_tokens_total/again"] == 0
        assert found["station_news_age_seconds"] == 0.25 and found["station_epoch"] == 3
        assert found["station_list_calls_total"] == 2
        assert all(found[f"station_refusals_total/{why.value}"] == 0 for why in Refusal)

    run(test())


def test_a_prompt_that_a_second_upstream_reads_counts_as_read_again() -> None:
    async def test() -> None:
        # The first prefill upstream resets; the other then processes the whole prompt again.
        stages = [FakeUpstream("p1", "prefill", reset, prefill), FakeUpstream("d1", "decode", decode)]
        async with running_balancer(*stages) as play:
            assert (await play.ask(headers=SPLIT)).whole
            found = told(play.balancer)
        assert found["station_prompt_tokens_total/first"] == 900
        assert found["station_prompt_tokens_total/again"] == 900

    run(test())


def test_shared_parts_that_another_upstream_has_count_when_they_are_read_again() -> None:
    async def test() -> None:
        stages = [
            FakeUpstream("p1", "prefill"),
            FakeUpstream("p2", "prefill", prefill),
            FakeUpstream("d1", "decode"),
        ]
        shared = "Mastturn-Token-Count: 900,3\r\nMastturn-Prompt-Prefix: aa:400,bb:500\r\n"
        async with running_balancer(*stages) as play:
            assert (await play.ask("r1", headers=shared)).whole
            assert told(play.balancer)["station_shared_tokens_again_total"] == 0
            assert (await play.ask("r2", headers=shared)).whole
            assert told(play.balancer)["station_shared_tokens_again_total"] == 0
            assert told(play.balancer)["station_prompt_tokens_total/first"] == 900 + 500
            has = next(
                s for s in stages[:2] if s.got
            )  # it drains: it gets no new requests, but still has its cache
            has.entry = replace(has.entry, state="draining")
            play.list(*stages)
            assert (await play.ask("r3", headers=shared)).whole
            assert told(play.balancer)["station_shared_tokens_again_total"] == 400

    run(test())


def test_a_stream_that_another_upstream_goes_on_with_has_one_first_event() -> None:
    async def test() -> None:
        async with running_balancer(
            FakeUpstream("d1", "decode", cut_after(1), decode), FakeUpstream("d2", "decode", decode)
        ) as play:
            await play.ask()
            assert told(play.balancer)["station_first_event_seconds_count"] == 1

    run(test())


async def _no_upstream(play: BalancerHarness) -> None:
    play.list()
    await play.ask()


async def _turned_away(play: BalancerHarness) -> None:
    await play.ask()


async def _unconfigured(play: BalancerHarness) -> None:
    play.balancer._configuration = None
    await play.ask()


async def _queues(play: BalancerHarness) -> None:
    play.balancer.tiers.prefill_wait_s = lambda service, now: 1e6  # type: ignore[method-assign]
    play.balancer.tiers.decode_wait_s = lambda service, now: 1e6  # type: ignore[method-assign]
    await play.ask(headers=SPLIT)


REFUSED = {
    Refusal.NO_UPSTREAM: _no_upstream,
    Refusal.TURNED_AWAY: _turned_away,
    Refusal.UNCONFIGURED: _unconfigured,
    Refusal.QUEUES: _queues,
}


@pytest.mark.parametrize("why", REFUSED)
def test_each_refusal_counts_with_its_reason(why: Refusal) -> None:
    async def test() -> None:
        async with running_balancer(
            FakeUpstream("p1", "prefill", reject), FakeUpstream("d1", "decode", reject)
        ) as play:
            await REFUSED[why](play)
            found = told(play.balancer)
        refused = {r: found[f"station_refusals_total/{r.value}"] for r in Refusal}
        assert refused == {r: float(r is why) for r in Refusal}

    run(test())


def test_an_age_that_is_not_known_is_not_told() -> None:
    async def test() -> None:
        async with running_balancer() as play:
            assert "station_news_age_seconds" not in told(play.balancer, None)

    run(test())


def test_the_first_event_counts_up_to_its_bound() -> None:
    tally = RequestCounters()
    for seconds in (0.0, FIRST_EVENT_S[0], FIRST_EVENT_S[0] + 1e-9, FIRST_EVENT_S[-1] + 1):
        tally.on_first_event(seconds)
    assert tally.first_events == [2, 1, *[0] * (len(FIRST_EVENT_S) - 2), 1]
    tally.request_received()
    tally.request_ended("r", RequestResult.SERVED)
    assert (tally.in_flight, tally.ends[RequestResult.SERVED]) == (0, 1)


def test_a_control_process_counts_its_take_overs_syncs_and_list_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    control_calls.register()
    monkeypatch.setattr(control_calls, "_METRICS_LIMITER", RateLimiter())

    def figures(world: World, name: str) -> dict[str, float]:
        return read(render(control_figures.metrics(world.machines[name].role)).decode())

    async def scenario(world: World) -> None:
        await world.wait_served()
        first = world.primary()
        before = figures(world, first)
        assert before["station_take_overs_total"] == 1 and before["station_list_calls_total"] >= 1
        ended = await world.operator().put(configuration(5), 0)
        assert ended.status == 200
        assert figures(world, first)["station_synced_writes_total"] > before["station_synced_writes_total"]
        backup = world.backup()
        assert figures(world, backup)["station_take_overs_total"] == 0
        assert figures(world, backup)["station_list_calls_total"] == 0
        world.kill(first)
        await world.wait_until(lambda: world.primary() not in ("", first), 3.0)
        other = figures(world, world.primary())
        assert other["station_take_overs_total"] == 1 and other["station_epoch"] > before["station_epoch"]

    play(scenario, cores=3, edges=1)


LOADS = """
import asyncio, sys, threading, types
from mastturnd import figures
report = types.ModuleType("report")
def metrics(owner):
    from mastturnd.exposition import gauge
    by_thread = "mastturnd.exposition" in seen
    return [gauge("loaded_by_main", "L.", not by_thread), gauge("own", "O.", owner)]
report.metrics = metrics
sys.modules["report"] = report
seen = []
find = figures.importlib.import_module
def noted(name):
    if threading.current_thread() is not threading.main_thread():
        seen.append(name)
    return find(name)
figures.importlib.import_module = noted
assert "prometheus_client" not in sys.modules
print(asyncio.run(figures.render_text("report", 7)).decode())
"""


def test_what_writes_figures_is_loaded_by_the_first_question_beside_the_loop() -> None:
    done = subprocess.run(
        [sys.executable, "-c", LOADS], cwd=ROOT, env=os.environ, capture_output=True, text=True, check=True
    )
    assert read(done.stdout) == {"loaded_by_main": 0.0, "own": 7.0}


def test_figures_that_fail_cost_that_question_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    from mastturnd import balancer_calls

    answers: list[bytes] = []
    transport: Any = SimpleNamespace(is_closing=lambda: False, write=answers.append, close=lambda: None)
    ask: Callable[[Any, bytes, Any], bool] = balancer_calls.handle_request

    async def test() -> None:
        monkeypatch.setattr(balancer_calls, "_RATE_LIMITERS", {"/metrics": RateLimiter()})
        assert ask(SimpleNamespace(), b"GET /metrics HTTP/1.1", transport)
        await asyncio.gather(*balancer_calls._tasks)

    run(test())
    assert answers[0].startswith(b"HTTP/1.1 500 ")
