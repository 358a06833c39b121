"""Routes, prompts, request heads, event streams and the retry budget."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from balancer import options
from balancer.ingress import RoutedCall, read_head
from balancer.prompt import Prompt, read_prompt
from balancer.retry_budget import LATE_S, SAFETY, RetryBudget
from balancer.routes import RouteTable, draw_service
from balancer.streams import MAX_EVENT_BYTES, BadStreamError, EventReader
from config.configuration import ClientLimits, Configuration, Route, Service, Split
from passpost.validation import BadRequestError
from tests.balancer_stage import event, route

# ---- routes


def make_table(*routes: Route) -> RouteTable:
    return RouteTable(Configuration(3, routes, (Service("pool"), Service("other"))))


def test_the_longest_prefix_of_the_host_is_the_route() -> None:
    known = make_table(
        route(), route(name="longer", path_prefix="/run/far/"), route(name="host", host="b.example")
    )
    for host, path, name in (
        ("shop.example", "/run/1", "r"),
        ("SHOP.Example:8080", "/run/1", "r"),
        ("shop.example", "/run/far/1", "longer"),
        ("shop.example", "/run/far", "r"),
        ("b.example", "/run/far/1", "host"),
        ("shop.example", "/runs/1", None),
        ("shop.example", "/run", None),
        ("c.example", "/run/1", None),
        ("", "/run/1", None),
    ):
        found = known.find(host, path)
        assert (found.name if found is not None else None) == name, (host, path)


def test_a_split_route_draws_its_service_by_weight() -> None:
    rng = random.Random(1)
    split = route(svc=None, split=(Split("pool", 90), Split("other", 10), Split("never", 0)))
    drawn = Counter(draw_service(split, rng) for _ in range(4000))
    assert set(drawn) == {"pool", "other"}
    assert 0.08 < drawn["other"] / 4000 < 0.12
    assert draw_service(route(svc=None, split=(Split("pool", 0), Split("other", 5))), rng) == "other"
    assert draw_service(route(), rng) == "pool"


# ---- prompts


@pytest.mark.parametrize(
    ("prefix", "count", "prompt"),
    [
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", b"1460,80", Prompt(1460, 1210, b"91bd3f06")),
        (b"5c1e07a2:800, e4402b7d:250", None, Prompt(1050, 800, b"5c1e07a2")),
        (b"e4402b7d:250", b"250", Prompt(250, 0, b"")),
        (None, b"77,3", Prompt(77)),
        (None, None, Prompt()),
        (b"nonsense", b"x", Prompt()),
        (b"a:1,", b"9", Prompt(9)),
    ],
)
def test_prompts_are_read_or_count_as_not_told(
    prefix: bytes | None, count: bytes | None, prompt: Prompt
) -> None:
    assert read_prompt(prefix, count) == prompt


# ---- heads

HEAD = [(b"Host", b"shop.example"), (b"Mastturn-Request-Id", b"r1"), (b"Content-Length", b"1")]


def read(
    *more: tuple[bytes, bytes], method: bytes = b"POST", target: bytes = b"/run/1?q=2", version: str = "1.1"
) -> RoutedCall:
    return read_head(method, target, version, [*HEAD, *more], make_table(route()), ClientLimits())


def test_a_good_head_keeps_what_is_end_to_end_and_drops_what_is_ours_to_say() -> None:
    call = read(
        (b"Mastturn-Deadline-Ms", b"500"),
        (b"Mastturn-Target-Upstream", b"i-1"),
        (b"Mastturn-Stage", b"prefill"),
        (b"Kv-From", b"10.0.0.1:1/x"),
        (b"Priority", b"0"),
        (b"Last-Event-Id", b"12"),
        (b"Connection", b"x-hop"),
        (b"X-Hop", b"1"),
        (b"X-Kept", b"2"),
        (b"Mastturn-Model", b"m"),
    )
    assert [n for n, _ in call.forwarded_headers] == [
        b"Host",
        b"Mastturn-Request-Id",
        b"X-Kept",
        b"Mastturn-Model",
    ]
    assert (call.remaining_s, call.after, call.target) == (0.5, b"12", b"/run/1?q=2")


def test_the_deadline_is_the_lesser_of_the_clients_and_the_routes() -> None:
    assert read().remaining_s == 8.0
    assert read((b"Mastturn-Deadline-Ms", b"90000")).remaining_s == 8.0
    assert read((b"Mastturn-Deadline-Ms", b"1500.5")).remaining_s == 1.5005
    assert read((b"Mastturn-Deadline-Ms", b"-1")).remaining_s == 8.0


@pytest.mark.parametrize(
    ("status", "more", "changes"),
    [
        (400, ((b"Host", b"b"),), {}),
        (400, ((b"mastturn-request-id", b"r2"),), {}),
        (400, ((b"Transfer-Encoding", b"chunked"),), {}),
        (400, ((b"X", b"a\x01b"),), {}),
        (400, (), {"target": b"http://shop.example/run/1"}),
        (404, (), {"target": b"/nowhere/1"}),
        (405, (), {"method": b"TRACE"}),
        (431, ((b"X", b"y" * 17000),), {}),
    ],
)
def test_what_can_be_read_in_two_ways_is_refused(
    status: int, more: tuple[tuple[bytes, bytes], ...], changes: dict[str, bytes]
) -> None:
    with pytest.raises(BadRequestError) as caught:
        read(*more, **changes)  # type: ignore[arg-type]
    assert caught.value.status == status


def test_a_body_beyond_the_bound_and_a_request_without_id_are_refused() -> None:
    for status, head in (
        (413, [*HEAD[:2], (b"Content-Length", b"4194305")]),
        (400, [HEAD[0], HEAD[2]]),
        (400, [*HEAD[:2], (b"Content-Length", b"+1")]),
    ):
        with pytest.raises(BadRequestError) as caught:
            read_head(b"POST", b"/run/1", "1.1", head, make_table(route()), ClientLimits())
        assert caught.value.status == status


# ---- streams


def test_events_come_out_whole_wherever_their_bytes_are_cut() -> None:
    text = "".join(event(n, "word") for n in range(1, 6)).encode()
    for size in range(1, len(text) + 1):
        reader, out = EventReader(), b""
        for start in range(0, len(text), size):
            got = reader.feed(text[start : start + size])
            assert got == b"" or got.endswith(b"\n\n")
            out += got
        assert out == text and reader.last_event_id == 5 and reader.is_between()


def test_versions_and_other_line_ends_are_passed_and_ids_are_still_seen() -> None:
    reader = EventReader(4)
    text = b"versions: 3\nid: 5\ndata: a\n\n: still here\n\n" + b"id:6\r\ndata: b\r\n\r\n"
    assert reader.feed(text) == text
    assert reader.last_event_id == 6


@pytest.mark.parametrize("wrong", [1, 2, 4, 40])
def test_a_gap_or_a_repeat_gives_out_what_came_before_and_no_more(wrong: int) -> None:
    reader = EventReader()
    good = (event(1) + event(2)).encode()
    with pytest.raises(BadStreamError) as caught:
        reader.feed(good + event(wrong).encode() + event(3).encode())
    assert caught.value.valid == good and reader.last_event_id == 2


def test_a_run_that_goes_on_begins_behind_the_last_event_and_drops_half_of_one() -> None:
    reader = EventReader(12)
    assert reader.feed(event(13).encode() + b"id: 14\nda") == event(13).encode()
    assert not reader.is_between()
    reader.on_new_run()
    assert reader.feed(event(14).encode()) == event(14).encode()
    with pytest.raises(BadStreamError):
        EventReader(12).feed(event(12).encode())


def test_an_event_without_end_is_no_event() -> None:
    reader = EventReader()
    with pytest.raises(BadStreamError):
        reader.feed(b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES)


# ---- budget


def make_budget(slack: float, now: float = 0.0, balancers: int = 1) -> RetryBudget:
    budget = RetryBudget(0.2, 10.0, slack, now)
    budget.count_balancers(balancers)
    return budget


def test_the_budget_is_a_share_of_the_requests_and_a_part_of_the_slack() -> None:
    budget, now = make_budget(0.0), 20.0
    for _ in range(100):
        budget.arrived(now)
    spent = 0
    while budget.allows(1, now):
        budget.spend(now)
        spent += 1
    assert spent == int(SAFETY * 0.2 * 100)
    assert not budget.allows(1, now + 9.9)
    budget.refund()
    assert budget.allows(1, now + 0.1) and not budget.allows(2, now + 0.1)


def test_the_slack_is_parted_among_the_balancers_and_small_before_they_are_known() -> None:
    assert make_budget(54.0, now=-20.0, balancers=1).allows(43, 0.0)
    assert make_budget(54.0, now=-20.0, balancers=7).allows(6, 0.0)
    assert not make_budget(54.0, now=-20.0, balancers=7).allows(7, 0.0)
    unknown = RetryBudget(0.2, 10.0, 54.0, -20.0)
    assert unknown.allows(1, 0.0) and not unknown.allows(2, 0.0)


def test_the_first_window_of_a_process_has_less_as_the_one_before_may_have_spent() -> None:
    assert not make_budget(54.0, now=0.0).allows(22, 1.0)
    assert make_budget(54.0, now=0.0).allows(22, 11.0)


def test_no_window_holds_more_extra_arrivals_than_the_rule_allows() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        balancers = [make_budget(54.0, balancers=5) for _ in range(5)]
        requests, extras, now = list[float](), list[float](), 0.0
        while now < 60:
            now += rng.expovariate(40 if 20 < now < 25 else 8)
            one = rng.choice(balancers)
            one.arrived(now)
            requests.append(now)
            for _ in range(rng.randrange(4)):
                if one.allows(1, now):
                    one.spend(now)
                    extras.append(now + rng.random() * LATE_S / 2)
        extras.sort()
        for i, start in enumerate(extras):
            end = start + 10
            extra = sum(start <= e <= end for e in extras[i:])
            windows = [sum(start - s <= r <= end - s for r in requests) for s in (0, 5, 10)]
            assert extra <= 0.2 * max(windows) + 54, (seed, start, extra, windows)


def test_a_request_that_may_run_again_is_one_of_a_safe_or_resumable_route() -> None:
    assert replace(route(), route_type="safe").is_idempotent()
    assert replace(route(), resumable=True).is_idempotent()
    assert not route().is_idempotent()


@pytest.mark.parametrize(("grace_s", "accepts_s", "last_call_s"), [(8.0, 3.2, 2.2), (1.5, 0.6, 0.45)])
def test_a_stop_with_little_time_is_over_in_time(
    grace_s: float, accepts_s: float, last_call_s: float
) -> None:
    """With a grace period of 1.5 s, a balancer went on accepting for 3.2 s."""
    chosen = options.client_options(ClientLimits(), grace_s)
    assert chosen.accept_after_stop_s == pytest.approx(accepts_s)
    assert chosen.closing_phase_s == pytest.approx(last_call_s)
