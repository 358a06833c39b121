"""The calls on a balancer's readiness address, the logged steps of a request, and rate limits.

Guards against calls that change a choice, leave method wrappers behind, or block readiness.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from loguru import logger
from prometheus_client.parser import text_string_to_metric_families

from config.settings import Settings, parse
from dissemination.messages import ConfigurationUpdate, UpstreamListUpdate
from mastturnd import balancer_calls, explaining, logs
from mastturnd.balancing import BalancerRole
from mastturnd.exposition import by, counter, gauge, histogram, render
from mastturnd.pace import MAX_REPORTS, RateLimiter
from mastturnd.tap import StepLog, subscribe
from tests.balancer_stage import FakeUpstream, decode, reject, running_balancer
from tests.fabric_callers import configuration as document
from tests.loopback import run, until

SPLIT = "Mastturn-Token-Count: 900,3\r\nMastturn-Prompt-Prefix: aa:400,bb:500\r\n"


@pytest.fixture(autouse=True)
def _reset_rate_limiters(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        balancer_calls, "_RATE_LIMITERS", {target: RateLimiter() for target in balancer_calls._RATE_LIMITERS}
    )


def settings() -> Settings:
    # A separate loopback address, so that no other connection uses its ports.
    ip = f"127.{random.randrange(1, 250)}.{random.randrange(250)}.{random.randrange(1, 250)}"
    return parse(
        json.dumps(
            {
                "node": "edge-1",
                "ip": ip,
                "zone": "a",
                "machine_class": "edge",
                "port_range": [7720, 7720],
                "listen": {"http": f"{ip}:8161", "readyz": f"{ip}:8167"},
                "seed_addrs": [],
                "bounds": {"grace_s": 1},
                "cloud_api": {"addr": "127.0.0.1:1"},
            }
        )
    )


@asynccontextmanager
async def started_balancer() -> AsyncIterator[BalancerRole]:
    role = BalancerRole(settings())
    await role.start()
    try:
        yield role
    finally:
        for task in role._tasks:
            task.cancel()
        role._links.stop()
        await role.balancer.stop()


def address(role: BalancerRole) -> tuple[str, int]:
    host, _, port = (role.settings.listen.readyz or "").rpartition(":")
    return host, int(port)


async def send_raw(role: BalancerRole, raw: bytes) -> bytes:
    """Send bytes and return everything received until the connection ends."""
    reader, writer = await asyncio.open_connection(*address(role))
    writer.write(raw)
    try:
        return await reader.read()
    except ConnectionError:
        return b"reset"
    finally:
        writer.close()


async def get(role: BalancerRole, target: str) -> tuple[int, Any]:
    raw = await send_raw(role, f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    head, _, body = raw.partition(b"\r\n\r\n")
    is_json = b"application/json" in head
    return int(head.split(b" ")[1]), json.loads(body) if is_json else body.decode()


def apply_state(role: BalancerRole, **changes: Any) -> None:
    entry = {"id": "u-1", "svc": "pool", "addr": "127.0.0.1:9", "phase": "decode", "state": "up"}
    for news in (
        ConfigurationUpdate(5, document(5, **changes)),
        UpstreamListUpdate(1, 1, json.dumps({"upstreams": [entry]}).encode()),
    ):
        assert role._latest.store(news)
        role._on_update(news)


def test_a_balancer_tells_what_it_serves() -> None:
    async def test() -> None:
        async with started_balancer() as role:
            status, told = await get(role, "/api/status")
            assert status == 200 and (told["ready"], told["ver"], told["upstreams"]) == (False, 0, [])
            apply_state(role)
            status, told = await get(role, "/api/status")
            assert (told["role"], told["node"], told["ready"], told["drained"]) == (
                "balancer",
                "edge-1",
                True,
                False,
            )
            assert (told["ver"], told["listed"], told["in_flight"]) == (5, 1, 0)
            assert set(told["ended"]) == {"served", "refused", "failed"}
            assert [u["id"] for u in told["upstreams"]] == ["u-1"]
            status, text = await get(role, "/metrics")
            families = {f.name: f for f in text_string_to_metric_families(text)}
            assert families["station_ready"].samples[0].value == 1
            assert families["station_requests"].type == "counter"
            status, told = await get(role, "/api/explain")
            assert status == 200 and told["draws"] == 4
            assert told["groups"][0]["upstreams"][0]["chosen"] == 1.0

    run(test())


def test_a_drained_balancer_says_no_at_readiness_and_serves_on() -> None:
    async def test() -> None:
        async with started_balancer() as role:
            apply_state(role, drained=["edge-1"])
            last = b"GET /api/readyz HTTP/1.1\r\nConnection: close\r\n\r\n"
            assert (await send_raw(role, last)).startswith(b"HTTP/1.1 503 ")
            assert (await get(role, "/api/status"))[1]["drained"]
            news = ConfigurationUpdate(6, document(6))
            role._latest.store(news)
            role._on_update(news)
            assert (await send_raw(role, last)).startswith(b"HTTP/1.1 200 ")

    run(test())


@pytest.mark.parametrize(
    "raw",
    [
        b"POST /api/status HTTP/1.1\r\nConnection: close\r\n\r\n",
        b"GET /api/config HTTP/1.1\r\nConnection: close\r\n\r\n",
        b"GET /api/status/ HTTP/1.1\r\nConnection: close\r\n\r\n",
        b"GET  HTTP/1.1\r\nConnection: close\r\n\r\n",
        b"\r\n\r\nConnection: close\r\n\r\n",
        b"GET /../metrics HTTP/1.1\r\nConnection: close\r\n\r\n",
    ],
)
def test_whatever_is_no_question_of_ours_is_answered_as_before(raw: bytes) -> None:
    async def test() -> None:
        async with started_balancer() as role:
            reader, writer = await asyncio.open_connection(*address(role))
            writer.write(raw)
            assert (await reader.readline()).startswith(b"HTTP/1.1 404 ")
            writer.close()
            assert (await get(role, "/api/status"))[0] == 200

    run(test())


@pytest.mark.parametrize("query", ["next=21", "next=-1", "next=x", "next=9999999999", "next=%00", "next=1e1"])
def test_a_bad_question_of_choices_gets_400(query: str) -> None:
    async def test() -> None:
        async with started_balancer() as role:
            status, told = await get(role, f"/api/explain?{query}")
            assert status == 400 and told["error"].endswith("give one")

    run(test())


def test_a_question_that_never_ends_is_not_held() -> None:
    async def test() -> None:
        async with started_balancer() as role:
            assert await send_raw(role, b"GET /api/status HTTP/1.1\r\nX: " + b"y" * 9000) in (b"", b"reset")
            # Data after the first request is not read: one request is answered per connection.
            raw = await send_raw(role, b"GET /api/status HTTP/1.1\r\n\r\n" * 3)
            assert raw.count(b"HTTP/1.1 ") == 1

    run(test())


def test_a_stranger_who_asks_all_the_time_is_put_off_and_readiness_is_answered() -> None:
    async def test() -> None:
        async with started_balancer() as role:
            statuses = [(await get(role, "/api/status"))[0] for _ in range(MAX_REPORTS + 3)]
            assert 200 in statuses and 429 in statuses
            assert (await get(role, "/metrics"))[0] == 200
            last = b"GET /api/readyz HTTP/1.1\r\nConnection: close\r\n\r\n"
            assert (await send_raw(role, last)).startswith(b"HTTP/1.1 503 ")  # it has no configuration

    run(test())


def test_the_pace_is_counted_over_a_second() -> None:
    limiter = RateLimiter()
    assert [limiter.allows(10.0 + i / 100) for i in range(MAX_REPORTS + 1)] == [True] * MAX_REPORTS + [False]
    assert not limiter.allows(10.99) and limiter.allows(11.0) and not limiter.allows(11.005)


def test_every_step_is_heard_and_nothing_is_left_behind() -> None:
    heard: list[tuple[str, dict[str, Any]]] = []

    async def test() -> None:
        reader, runner = FakeUpstream("p1", "prefill", reject), FakeUpstream("d1", "decode", decode)
        async with running_balancer(reader, runner) as play:
            parts = (play.balancer, play.balancer.tiers, play.balancer.upstreams)
            before = [dict(part.__dict__) for part in parts]
            stop = subscribe(play.balancer, lambda event, fields: heard.append((event, fields)))
            reply = await play.ask("r7", headers=SPLIT)
            assert reply.status == 200 and reply.whole
            stop()
            assert [part.__dict__.keys() for part in parts] == [part.keys() for part in before]
            await play.ask("r8", headers=SPLIT)

    run(test())
    events = [event for event, _ in heard if event != "drawn"]
    assert events == ["taken", "sent", "answered", "sent", "answered", "finished"]
    assert {fields["request"] for event, fields in heard if event != "drawn"} == {"r7"}
    steps = [(f["step"], f["upstream"], f["outcome"], f["status"]) for e, f in heard if e == "answered"]
    # The only prefill upstream refused the request, so the decode upstream runs prefill itself.
    assert steps == [("read", "p1", "turned away", 503), ("run", "d1", "served", 200)]


def test_two_may_listen_and_each_ends_by_itself() -> None:
    async def test() -> None:
        async with running_balancer(FakeUpstream("d1", "decode", decode)) as play:
            first: list[str] = []
            second: list[str] = []
            stops = [subscribe(play.balancer, lambda e, f, to=to: to.append(e)) for to in (first, second)]  # type: ignore[misc]
            await play.ask("r1")
            stops[0]()
            await play.ask("r2")
            stops[1]()
            await play.ask("r3")
            assert 2 * first == second and "finished" in first
            assert "send" not in play.balancer.upstreams.__dict__

    run(test())


def test_choices_are_recorded_with_what_they_were_made_from() -> None:
    async def test() -> None:
        stages = [
            FakeUpstream("p1", "prefill"),
            FakeUpstream("p2", "prefill"),
            FakeUpstream("d1", "decode"),
            FakeUpstream("d2", "decode"),
        ]
        async with running_balancer(*stages) as play:
            asked = asyncio.create_task(explaining.record(play.balancer, 2))
            await until(lambda: explaining.is_recording(play.balancer))
            reply = await play.ask("r7", headers=SPLIT)
            assert reply.status == 200
            choices = await asked
            assert not explaining.is_recording(play.balancer)
        assert [(c["request"], c["part"], c["ready"]) for c in choices] == [
            ("r7", "prefill", 2),
            ("r7", "decode", 2),
        ]
        for choice in choices:
            assert choice["chosen"] in [row["id"] for row in choice["considered"]]
            assert sum(row["chosen"] for row in choice["considered"]) == pytest.approx(1, abs=1e-3)
            assert all(row["in_flight"] == 0 for row in choice["considered"])

    run(test())


def test_to_explain_changes_nothing_that_the_next_choice_is_made_from() -> None:
    async def test() -> None:
        async with running_balancer(FakeUpstream("d1", "decode"), FakeUpstream("d2", "decode")) as play:
            for number in range(5):
                await play.ask(f"r{number}")

            def evidence() -> list[tuple[float, ...]]:
                peers = [play.balancer.tiers.peer(name) for name in ("d1", "d2")]
                return [
                    (p.server.served, p.server.busy, p.server.updated_at, p.server.unanswered.calls)
                    for p in peers
                    if p
                ]

            before, state = evidence(), play.balancer._rng.getstate()
            told = explaining.describe_groups(play.balancer, "edge-1")
            assert evidence() == before and play.balancer._rng.getstate() == state
            rows = told["groups"][0]["upstreams"]
            assert sum(row["drawn"] for row in rows) == pytest.approx(1, abs=1e-3)

    run(test())


def test_the_steps_of_a_request_are_logged_at_debug_only(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line).rstrip()), format="{message}", level="DEBUG")

    async def test() -> None:
        async with running_balancer(FakeUpstream("p1", "prefill"), FakeUpstream("d1", "decode")) as play:
            steps = StepLog(play.balancer)
            await play.ask("r7", headers=SPLIT)
            steps.remove()
            await play.ask("r8", headers=SPLIT)

    try:
        run(test())
    finally:
        logger.remove(sink)
    mine = [line for line in lines if "request=r7" in line]
    assert [line.split(" ")[0] for line in mine] == [
        "event=taken", "event=sent", "event=answered", "event=sent", "event=answered", "event=finished",
    ]  # fmt: skip
    assert mine[0].startswith("event=taken request=r7 route=r tokens=900 left_ms=")
    assert not [line for line in lines if "request=r8" in line]


def test_the_level_follows_the_settings_and_a_bad_one_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    written: list[str] = []

    def set_level(level: str) -> None:
        written.append(level)
        logs._current_level[0] = level

    monkeypatch.setattr(logs, "set_level", set_level)
    monkeypatch.setattr(logs, "_current_level", ["INFO"])
    level = logs.LogLevel("balancer")
    assert not level.apply({}) and not level.apply({"control": "DEBUG"})
    assert level.apply({"balancer": "debug"}) and logs.is_debug()
    assert not level.apply({"balancer": "LOUD"}) and logs.is_debug()
    assert level.apply({}) and not logs.is_debug()
    assert written == ["DEBUG", "INFO"]


def test_a_running_balancer_logs_steps_while_its_level_is_debug(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with started_balancer() as role:
            assert "take_up" not in role.balancer.__dict__
            monkeypatch.setattr(logs, "_current_level", ["DEBUG"])
            role.reconfigure(role.settings)
            assert "take_up" in role.balancer.__dict__
            role.reconfigure(role.settings)
            monkeypatch.setattr(logs, "_current_level", ["INFO"])
            role.reconfigure(role.settings)
            assert "take_up" not in role.balancer.__dict__

    run(test())


def test_figures_in_the_text_form() -> None:
    odd = by("odd", "gauge", 'a "b"\\\nc', "part", {'x"\\\ny': 0.5})
    text = render([gauge("one", "One.", True), by("none", "gauge", "None.", "part", {}), odd]).decode()
    assert text.startswith("# HELP one One.\n# TYPE one gauge\none 1.0\n") and "none" not in text
    families = {f.name: f for f in text_string_to_metric_families(text)}
    assert families["odd"].samples[0].labels == {"part": 'x"\\\ny'}
    assert families["odd"].samples[0].value == 0.5
    for value in (float("inf"), float("-inf"), float("nan"), 1e300, -3.0, 2.0**60):
        found = next(iter(text_string_to_metric_families(render([gauge("v", "V.", value)]).decode())))
        assert found.samples[0].value == value or value != value


def test_counters_and_histograms_in_the_text_form() -> None:
    found = [counter("ended_total", "E.", 3), histogram("first_seconds", "F.", (0.5, 2.0), [2, 0, 1], 7.25)]
    families = {f.name: f for f in text_string_to_metric_families(render(found).decode())}
    assert families["ended"].type == "counter" and families["ended"].samples[0].name == "ended_total"
    assert [(s.name, s.labels, s.value) for s in families["first_seconds"].samples] == [
        ("first_seconds_bucket", {"le": "0.5"}, 2.0),
        ("first_seconds_bucket", {"le": "2.0"}, 2.0),
        ("first_seconds_bucket", {"le": "+Inf"}, 3.0),
        ("first_seconds_count", {}, 3.0),
        ("first_seconds_sum", {}, 7.25),
    ]


def test_settings_name_levels_by_role(tmp_path: Path) -> None:
    base = "node: n\nip: 1.1.1.1\nzone: a\nmachine_class: edge\nport_range: [7720, 7735]\n"
    base += "cloud_api: {addr: '1.1.1.1:1'}\n"
    assert parse(base).log_levels == {}
    assert parse(base + "log_levels: {balancer: DEBUG}\n").log_levels == {"balancer": "DEBUG"}
