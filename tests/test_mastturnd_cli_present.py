"""Commands that name a balancer while the primary does not list it yet or there is no primary.

Guards against commands that fail on a list that is about to change, and against waits longer than asked for.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest

from config import settings as settings_file
from mastturnd import __main__ as mastturnd
from mastturnd import asking, fleet_status, present
from mastturnd.answers import is_status
from tests.fabric_callers import configuration
from tests.test_mastturnd_cli_commands import Answer, FakeControlServer, _balancer

NAMES = ("edge-a", "edge-b", "edge-c")


class Clock:
    """A fake clock that advances only in sleep()."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


class Fleet:
    """One control process whose list of balancers is scripted, and its balancers."""

    def __init__(self, *words: Any) -> None:
        self.words = list(
            words
        )  # a tuple of names, "nobody leads", or an HTTP status; the last one is repeated
        self.drained: set[str] = set()
        self.body = configuration(5)
        self.busy = 0  # number of explain calls answered with 429 first
        self.asked = 0  # status calls so far
        self.epoch = 3  # until a scripted answer begins with another
        self.leads_ms: int | None = None  # grows with each answer
        self.ctl = FakeControlServer(self._control)
        self.readiness = FakeControlServer(self._balancer)
        self.ip, port = self.readiness.place.split(":")
        self.flags = [f"--ctl={self.ctl.place}", f"--readyz_port={port}"]

    def close(self) -> None:
        self.ctl.close()
        self.readiness.close()

    def _control(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Answer:
        if path == "/api/config" and method == "PUT":
            self.body = body
            self.drained = set(json.loads(body).get("drained", []))
            return 200, {}, b"{}"
        if path == "/api/config":
            return 200, {}, self.body
        self.asked += 1
        word = self.words.pop(0) if len(self.words) > 1 else self.words[0]
        if isinstance(word, int):
            return word, {}, b"{}"
        leads = word != "nobody leads"
        if leads and word and isinstance(word[0], int):
            self.epoch, *word = word
        zones = {"edge-a": "hall-a", "edge-b": "hall-a", "edge-c": "hall-b"}
        named = [{"node": n, "ip": self.ip, "zone": zones[n]} for n in (word if leads else ())]
        told = {
            "role": "control", "node": "core-a", "zone": "a", "ctl": self.ctl.place, "epoch": self.epoch,
            "ver": 5, "standing": "primary" if leads else "witness", "members": [], "present": named,
            "upstreams": [], "program": "aa", "disk_well": True, "memory_kb": 1,
        }  # fmt: skip
        if self.leads_ms is not None and leads:
            told["leads_ms"] = self.leads_ms
            self.leads_ms += 500
        return 200, {}, json.dumps(told).encode()

    def _balancer(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Answer:
        if path == "/api/explain":
            if self.busy:
                self.busy -= 1
                return 429, {}, b'{"error": "asked too often"}'
            return 200, {}, b'{"node": "edge-a", "draws": 4, "groups": []}'
        told = _balancer("edge-b", ver=5, drained=bool(self.drained))
        return 200, {}, json.dumps(told).encode()


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    found = Clock()
    monkeypatch.setattr(present, "time", found)
    monkeypatch.setattr(asking, "time", found)
    monkeypatch.setattr(fleet_status, "RETRY_DELAY_S", 0.0)
    monkeypatch.delenv(settings_file.VARIABLE, raising=False)
    return found


@pytest.fixture
def fleets() -> Iterator[list[Fleet]]:
    opened: list[Fleet] = []
    yield opened
    for fleet in opened:
        fleet.close()


LATE = {
    "nobody is named yet": ((), (), NAMES),
    "others are named first": (("edge-c",), NAMES),
    "nobody leads for a moment": ("nobody leads", "nobody leads", NAMES),
    "the control process fails": (503, 503, NAMES),
    "nobody leads, then nobody is named": ("nobody leads", (), ("edge-c",), NAMES),
    "nobody is named for long": (*[()] * 15, NAMES),
    "one primary follows another": (*[(3, "edge-c")] * 5, *[(4, "edge-c")] * 5, (4, *NAMES)),
}


@pytest.mark.parametrize("words", LATE.values(), ids=LATE.keys())
@pytest.mark.parametrize("command", ["explain edge-a", "drain edge-b", "undrain edge-b"])
def test_a_balancer_that_is_named_a_moment_later_is_found(
    words: tuple[Any, ...],
    command: str,
    clock: Clock,
    fleets: list[Fleet],
    capsys: pytest.CaptureFixture[str],
) -> None:
    fleets.append(fleet := Fleet(*words))
    assert mastturnd.main(["mastturnd", *command.split(), *fleet.flags]) == 0
    told = capsys.readouterr()
    assert told.err == "" and fleet.asked >= len(words)
    if command == "explain edge-a":
        assert told.out.startswith("edge-a: of 4 draws")
    else:
        assert "edge-b says so itself" in told.out


def test_a_zone_whose_other_balancers_are_named_later_is_not_too_small(
    clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(("edge-b",), ("edge-b", "edge-c"), NAMES))
    assert mastturnd.main(["mastturnd", "drain", "edge-b", *fleet.flags]) == 0
    assert fleet.drained == {"edge-b"} and capsys.readouterr().err == ""


@pytest.mark.parametrize("command", ["explain edge-x", "drain edge-x"])
def test_a_wrong_name_is_told_after_a_part_of_the_time(
    command: str, clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(NAMES))
    assert mastturnd.main(["mastturnd", *command.split(), *fleet.flags]) == 2
    assert "no balancer 'edge-x' is present; name one of: edge-a, edge-b, edge-c" in capsys.readouterr().err
    assert 8 * present.WAIT_SHARE <= clock.now - 100 <= 8 * present.WAIT_SHARE + present.RETRY_DELAY_S


def test_a_zone_that_is_too_small_is_told_after_a_part_of_the_time(
    clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(NAMES))
    assert mastturnd.main(["mastturnd", "drain", "edge-c", *fleet.flags]) == 1
    assert "that leaves 0 of 1 balancers of hall-b" in capsys.readouterr().err
    assert clock.now - 100 <= 8 * present.WAIT_SHARE + present.RETRY_DELAY_S
    assert mastturnd.main(["mastturnd", "drain", "edge-c", "--force", *fleet.flags]) == 0


def test_a_fleet_without_balancers_is_told_so_in_the_end(
    clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(()))
    assert mastturnd.main(["mastturnd", "explain", "edge-a", *fleet.flags]) == 2
    assert "name one of: none" in capsys.readouterr().err
    assert 8 <= clock.now - 100 <= 8 + present.RETRY_DELAY_S


def test_primaries_that_follow_one_another_without_end_are_waited_for_no_longer_than_was_asked(
    clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(*((epoch, "edge-c") for epoch in range(3, 99))))
    assert mastturnd.main(["mastturnd", "explain", "edge-a", *fleet.flags]) == 2
    assert "name one of: edge-c" in capsys.readouterr().err
    assert 8 <= clock.now - 100 <= 8 + present.RETRY_DELAY_S


@pytest.mark.parametrize("command", ["explain edge-a", "drain edge-b"])
def test_a_fleet_that_nobody_leads_is_told_so_in_the_end(
    command: str, clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet("nobody leads"))
    assert mastturnd.main(["mastturnd", *command.split(), *fleet.flags]) == 1
    assert "nobody leads within 8 s" in capsys.readouterr().err
    assert 8 <= clock.now - 100 <= 8 + present.RETRY_DELAY_S


def test_a_change_that_is_taken_is_done_though_nobody_names_the_balancer_after(
    clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(NAMES, 503))
    assert mastturnd.main(["mastturnd", "drain", "edge-b", *fleet.flags]) == 0
    told = capsys.readouterr()
    assert "edge-b is drained since version 6" in told.out and "does not say so yet" in told.out


def test_a_balancer_that_others_ask_too_often_is_asked_again(
    clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(NAMES))
    fleet.busy = 3
    assert mastturnd.main(["mastturnd", "explain", "edge-a", *fleet.flags]) == 0
    fleet.busy = 10_000
    assert mastturnd.main(["mastturnd", "explain", "edge-a", *fleet.flags]) == 1
    assert "says: asked too often" in capsys.readouterr().err and clock.now <= 120


STATUS_LATE = {
    "nobody is named yet": ((), (), NAMES),
    "nobody leads for a moment": ("nobody leads", NAMES),
    "the control process fails": (503, 503, NAMES),
}


@pytest.mark.parametrize("words", STATUS_LATE.values(), ids=STATUS_LATE.keys())
def test_status_looks_again_while_nobody_can_know_who_is_present(
    words: tuple[Any, ...], clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(*words))
    assert mastturnd.main(["mastturnd", "status", *fleet.flags]) == 0
    told = capsys.readouterr()
    assert "3 of 3 balancers answer" in told.out and told.err == "" and fleet.asked == len(words)


def test_status_lets_a_new_primary_hear_of_the_balancers(
    clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(("edge-a",), ("edge-a",), NAMES))
    fleet.leads_ms = 1_000
    assert mastturnd.main(["mastturnd", "status", *fleet.flags]) == 0
    assert "3 of 3 balancers answer" in capsys.readouterr().out


def test_status_marks_a_primary_that_names_nobody_or_is_new_still(
    clock: Clock, fleets: list[Fleet], capsys: pytest.CaptureFixture[str]
) -> None:
    fleets.append(fleet := Fleet(()))
    assert mastturnd.main(["mastturnd", "status", *fleet.flags]) == 3
    assert "! core-a: names no balancer: start one" in capsys.readouterr().out
    assert clock.now - 100 <= 8 * present.WAIT_SHARE + present.RETRY_DELAY_S
    fleets.append(fleet := Fleet(NAMES))
    fleet.leads_ms = 400
    assert mastturnd.main(["mastturnd", "status", "--within_s=0", *fleet.flags]) == 3
    assert "! core-a: leads for 400 ms, may not name all yet" in capsys.readouterr().out


@pytest.mark.parametrize("leads_ms", [True, "4", 1.5, []])
def test_a_strangers_time_of_leading_is_no_status(leads_ms: object) -> None:
    told = {
        "role": "control", "node": "a", "program": "p", "ver": 1, "memory_kb": 1, "zone": "z", "ctl": "c",
        "standing": "primary", "epoch": 1, "disk_well": True, "members": [], "present": [], "upstreams": [],
    }  # fmt: skip
    assert is_status(told) and is_status(told | {"leads_ms": 4}) and is_status(told | {"leads_ms": None})
    assert not is_status(told | {"leads_ms": leads_ms})
