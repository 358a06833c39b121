"""The dashboard page: the exchange over a real connection, rate limits, and untrusted status answers."""

from __future__ import annotations

import asyncio
import json
import re
import threading
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from config.settings import Listen, Settings, parse
from control.operators import OPERATOR_ROUTES
from mastturn.standins.ports import free_port
from mastturnd import control_calls, dashboard, fleet_status
from mastturnd.pace import MAX_REPORTS, RateLimiter
from tests.fabric_callers import ask, call
from tests.fabric_world import assert_approved
from tests.loopback import run
from tests.test_mastturnd_cli_commands import PRESENT, UPSTREAMS, FakeControlServer, _balancer, _control
from transport.http_server import HttpServer, Response


class Node:
    """The part of a control process that the call uses."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings


def settings(**changes: Any) -> Settings:
    raw = {
        "node": "core-1", "ip": "127.0.0.1", "zone": "a", "machine_class": "core", "port_range": [7720, 7735],
        "cloud_api": {"addr": "127.0.0.1:1"},
    }  # fmt: skip
    return replace(parse(json.dumps(raw)), **changes)


@pytest.fixture(autouse=True)
def _reset_rate_limiters(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_calls, "_DASHBOARD_LIMITER", RateLimiter())


@pytest.fixture
def told() -> Iterator[dict[str, Any]]:
    """A control process on its own port that answers its status with this dictionary."""
    said: dict[str, Any] = {"asked": 0}

    def answer(method: str, path: str, body: bytes, headers: dict[str, str]) -> Any:
        said["asked"] += 1
        return 200, {}, json.dumps(said["status"]).encode()

    ctl = FakeControlServer(answer)
    members = [{"slot": 0, "node": "core-1", "ctl": ctl.place, "zone": "a", "silent_ms": 20}]
    said["status"] = _control("core-1", "primary", members=members, ctl=ctl.place, upstreams=UPSTREAMS)
    said["place"] = ctl.place
    yield said
    ctl.close()


async def served(owner: Node, times: int = 1) -> list[Any]:
    """Return the responses to concurrent requests for the page."""
    control_calls.register()
    port, server = free_port(), HttpServer(OPERATOR_ROUTES, owner)
    await server.start(("127.0.0.1", port))
    try:
        return list(await asyncio.gather(*(ask(("127.0.0.1", port), call("GET", "/dashboard"), 10.0)
                                           for _ in range(times))))  # fmt: skip
    finally:
        server.stop()


def test_the_page_as_a_browser_gets_it(told: dict[str, Any]) -> None:
    owner = Node(settings(listen=Listen(ctl=told["place"])))
    (answer,) = run_with(served(owner))
    assert answer.status == 200
    names = ("content-type", "content-security-policy", "cache-control", "x-content-type-options")
    lines = [f"{name}: {answer.headers[name]}" for name in names]
    text = "\n".join([*lines, "", answer.body.decode()])
    assert_approved("dashboard", re.sub(r"\d\d:\d\d:\d\d", "hh:mm:ss", text))


def run_with(work: Any) -> Any:
    found: list[Any] = []

    async def test() -> None:
        found.append(await work)

    run(test())
    return found[0]


def test_all_who_ask_at_once_get_one_page_and_the_fleet_is_asked_once(told: dict[str, Any]) -> None:
    owner = Node(settings(seed_addrs=[told["place"]]))
    answers = run_with(served(owner, MAX_REPORTS + 3))
    assert sorted(a.status for a in answers) == [200] * MAX_REPORTS + [429] * 3
    assert len({a.body for a in answers if a.status == 200}) == 1 and told["asked"] == 1


def test_a_page_is_made_anew_once_it_is_old(monkeypatch: pytest.MonkeyPatch) -> None:
    made: list[Settings] = []

    def reply(settings: Settings) -> Response:
        made.append(settings)
        return Response(200)

    monkeypatch.setattr(dashboard, "build_response", reply)
    monkeypatch.setattr(dashboard, "CACHE_S", -1.0)
    page = dashboard.Dashboard()

    async def test() -> None:
        for _ in range(2):
            await page.page(settings())

    run(test())
    assert len(made) == 2


def test_a_fault_is_told_and_the_next_who_asks_has_another_try(monkeypatch: pytest.MonkeyPatch) -> None:
    ways: list[Exception | Response] = [ValueError("hostile"), Response(200, b"page")]

    def reply(settings: Settings) -> Response:
        if isinstance(found := ways.pop(0), Exception):
            raise found
        return found

    monkeypatch.setattr(dashboard, "build_response", reply)
    page = dashboard.Dashboard()

    async def test() -> None:
        with pytest.raises(ValueError, match="hostile"):
            await page.page(settings())
        assert (await page.page(settings())).body == b"page"

    run(test())


def test_nobody_to_ask_is_told_with_the_remedy() -> None:
    found = dashboard.build_response(settings(seed_addrs=["127.0.0.1:1"]))
    assert found.status == 503 and b"see that they run" in found.body


def test_the_fleet_is_asked_beside_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    threads: list[threading.Thread] = []

    def reply(settings: Settings) -> Response:
        threads.append(threading.current_thread())
        return Response(200)

    monkeypatch.setattr(dashboard, "build_response", reply)
    run_with(dashboard.Dashboard().page(settings()))
    assert threads[0] is not threading.main_thread()


EVIL = "<script>alert(1)</script>"


def test_what_others_say_is_escaped(monkeypatch: pytest.MonkeyPatch) -> None:
    present = [{"node": EVIL, "ip": "10.1.0.1", "zone": EVIL}]
    answers = {
        "core-1:1": _control("core-1", "primary", present=present, program=EVIL, upstreams=[
            {"id": EVIL, "svc": EVIL, "part": EVIL, "state": "up", "calls": 1, "tokens": 1}]),
        "10.1.0.1:8": _balancer(EVIL, program=EVIL, told_by=EVIL, ver=1),
    }  # fmt: skip
    monkeypatch.setattr(fleet_status, "fetch_status", answers.get)
    text = dashboard.render_page(fleet_status.gather(["core-1:1"], 8), EVIL, "")
    assert "<script" not in text and "&lt;script&gt;" in text


def test_nothing_differs_where_all_answer_alike(monkeypatch: pytest.MonkeyPatch) -> None:
    members = [{"slot": 0, "node": "core-1", "ctl": "core-1:1", "zone": "a", "silent_ms": 20}]
    answers = {
        "core-1:1": _control("core-1", "primary", present=PRESENT, members=members),
        "10.1.0.1:8": _balancer("edge-1"),
        "10.1.0.2:8": _balancer("edge-2"),
    }
    monkeypatch.setattr(fleet_status, "fetch_status", answers.get)
    text = dashboard.render_page(fleet_status.gather(["core-1:1"], 8), "core-1", "")
    assert '<p class="well">Nothing differs.</p>' in text and 'class="differs"' not in text


def test_who_differs_is_marked_and_of_very_many_balancers_none_is_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers = {
        "core-1:1": _control("core-1", "primary", present=PRESENT),
        "core-2:1": _control("core-2", "holder", ver=6),
        "10.1.0.1:8": _balancer("edge-1"),
    }
    monkeypatch.setattr(fleet_status, "fetch_status", answers.get)
    text = dashboard.render_page(fleet_status.gather(["core-1:1", "core-2:1"], 8), "core-1", "")
    assert '<tr class="differs"><td>core-2</td>' in text and '<tr class="differs"><td>edge-2</td>' in text
    assert "<li>core-2: holds configuration 6, the primary 7</li>" in text
    found = fleet_status.gather(["core-1:1", "core-2:1"], 8, 1)
    assert not found["balancers_asked"] and len(found["balancers"]) == 2
    assert "Balancers were not asked" in dashboard.render_page(found, "core-1", "")
