"""End-to-end exchanges on loopback: a client, a balancer and scripted upstreams."""

from __future__ import annotations

import asyncio

import pytest

from balancer import options, silence_timeout
from config.configuration import ClientLimits
from passpost import server
from tests.balancer_stage import (
    HOST,
    PATH,
    BalancerHarness,
    FakeUpstream,
    Handler,
    Reply,
    answer,
    chunk,
    configuration,
    cut_after,
    decode,
    event,
    head,
    misplaced,
    prefill,
    read_reply,
    reject,
    reset,
    route,
    running_balancer,
    stream_head,
    when_set,
    whole,
)
from tests.loopback import ReceivedRequest, Writer, run, until

PROMPT = "Mastturn-Token-Count: 1460,80\r\nMastturn-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n"
BALANCER_HEADERS = ("mastturn-stage", "kv-from", "mastturn-target-upstream", "last-event-id", "priority")


def ids(reply: Reply) -> list[int]:
    return [int(line[4:]) for line in reply.body.decode().split("\n") if line.startswith("id: ")]


def balancer_headers(got: ReceivedRequest) -> dict[str, str]:
    return {name: got.headers[name] for name in BALANCER_HEADERS if name in got.headers}


def may_have_run(reply: Reply) -> bool:
    return reply.status in (502, 504)


# ---- requests that succeed


def test_a_split_request_is_read_and_run_by_a_pair() -> None:
    async def test() -> None:
        p, d = FakeUpstream("p", "prefill"), FakeUpstream("d", "decode")
        async with running_balancer(p, d) as harness:
            reply = await harness.ask("r1", headers=f"{PROMPT}Mastturn-Deadline-Ms: 5000\r\nX-Kept: 1\r\n")
            assert (reply.status, ids(reply), reply.whole) == (200, [1, 2, 3], True)
            assert reply.headers["mastturn-server-seal"] == "s.1"
            assert reply.headers["mastturn-request-id"] == "r1"
            read, ran = p.got[0], d.got[0]
            assert balancer_headers(read) == {
                "mastturn-stage": "prefill",
                "mastturn-target-upstream": "p",
                "priority": "4",
            }
            kv = f"{p.entry.addr}/kv-r1"
            assert balancer_headers(ran) == {"kv-from": kv, "mastturn-target-upstream": "d", "priority": "4"}
            for got in (read, ran):
                assert (got.line, got.body) == (f"POST {PATH} HTTP/1.1", b"b")
                assert (got.headers["host"], got.headers["x-kept"]) == (HOST, "1")
                assert 4000 < int(got.headers["mastturn-deadline-ms"]) <= 5000
            assert p.freed == []  # the handle was fetched

    run(test())


def test_connections_to_upstreams_are_kept_and_used_again() -> None:
    async def test() -> None:
        p, d = FakeUpstream("p", "prefill"), FakeUpstream("d", "decode")
        async with running_balancer(p, d) as harness:
            for i in range(5):
                assert (await harness.ask(f"r{i}", headers=PROMPT)).whole
            assert (p.connections, d.connections) == (1, 1)

    run(test())


def test_an_idle_connection_lives_a_little_shorter_than_its_upstream_grants() -> None:
    async def test() -> None:
        u = FakeUpstream("u", "", answer("200 OK", "Keep-Alive: timeout=5\r\n", "ok"))
        async with running_balancer(u) as harness:
            assert (await harness.ask()).body == b"ok"
            (connection,) = harness.balancer.upstreams._upstreams["u"].idle
            assert connection.idle_limit_s == pytest.approx(4.3)

    run(test())


def test_without_phases_a_request_is_sent_once() -> None:
    async def test() -> None:
        u = FakeUpstream("u")
        async with running_balancer(u) as harness:
            reply = await harness.ask(headers=PROMPT)
            assert (reply.status, reply.body) == (200, b"u")
            assert balancer_headers(u.got[0]) == {"mastturn-target-upstream": "u", "priority": "4"}

    run(test())


def test_a_request_that_tells_of_no_prompt_is_not_read_first() -> None:
    async def test() -> None:
        p, d = FakeUpstream("p", "prefill"), FakeUpstream("d", "decode", whole)
        async with running_balancer(p, d) as harness:
            assert (await harness.ask()).body == b"d"
            assert p.got == []

    run(test())


def test_events_reach_the_client_as_they_arrive() -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def slow(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
            writer.write(stream_head(got))
            text = event(1) + event(2)
            writer.write(chunk(text[:9]))  # a partial event is not forwarded
            writer.write(chunk(text[9:-3]))
            await gate.wait()
            writer.write(chunk(text[-3:]) + b"0\r\n\r\n")

        async with running_balancer(FakeUpstream("d", "decode", slow)) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nMastturn-Request-Id: r\r\n\r\n".encode())
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(len(chunk(event(1)))) == chunk(event(1))
            gate.set()
            assert await reader.readuntil(b"0\r\n\r\n") == chunk(event(2)) + b"0\r\n\r\n"
            writer.close()

    run(test())


def test_the_clients_last_event_is_passed_to_both_stages() -> None:
    async def test() -> None:
        p, d = FakeUpstream("p", "prefill"), FakeUpstream("d", "decode")
        async with running_balancer(p, d) as harness:
            reply = await harness.ask(headers=f"{PROMPT}Last-Event-Id: 2\r\n")
            assert ids(reply) == [3]
            assert p.got[0].headers["last-event-id"] == d.got[0].headers["last-event-id"] == "2"

    run(test())


# ---- requests that are refused


def test_requests_without_route_or_beyond_the_bounds_are_refused_and_go_nowhere() -> None:
    async def test() -> None:
        u = FakeUpstream("u")
        limits = ClientLimits(max_header_bytes=2000, max_body_bytes=100_000)
        async with running_balancer(u, config=configuration(1, route(), limits=limits)) as harness:
            assert (await harness.ask(path="/other/1")).status == 404
            assert (await harness.ask(host="other.example")).status == 404
            assert (await harness.ask(body=b"x" * 100_001)).status == 413
            assert (await harness.ask(headers=f"X: {'y' * 2100}\r\n")).status == 431
            assert u.got == []
            assert (await harness.ask(body=b"x" * 100_000)).status == 200  # held completely, then sent
            assert len(u.got[0].body) == 100_000

    run(test())


def test_a_newer_configuration_is_in_force_at_once_and_never_an_older_one() -> None:
    async def test() -> None:
        u = FakeUpstream("u")
        async with running_balancer(u) as harness:
            harness.balancer.configure(configuration(7, route(path_prefix="/new/")))
            assert (await harness.ask(path=PATH)).status == 404
            assert (await harness.ask(path="/new/1")).status == 200
            harness.balancer.configure(configuration(3, route()))
            assert (await harness.ask(path=PATH)).status == 404
            assert harness.balancer.counts()["config_ver"] == 7

    run(test())


# ---- upstreams that did not run the request


def test_a_rejected_run_goes_to_another_upstream() -> None:
    async def test() -> None:
        for refusal in (reject, misplaced, answer("429 Many", "Mastturn-Not-Run: 1\r\n", sealed=False)):
            x, y = two(refusal, whole)
            async with running_balancer(x, y) as harness:
                assert (await harness.ask()).status == 200
                assert sorted([len(x.got), len(y.got)]) == [1, 1]

    run(test())


def test_given_up_it_is_refused_at_once_with_the_time_to_come_back() -> None:
    async def test() -> None:
        for upstreams in ((FakeUpstream("x", "", reject), FakeUpstream("y", "", reject)), ()):
            async with running_balancer(*upstreams) as harness:
                reply = await harness.ask()
                assert reply.status == 503
                assert 0 < float(reply.headers["retry-after"]) < 1
                assert sum(len(s.got) for s in upstreams) == len(upstreams)

    run(test())


def test_without_budget_nothing_is_sent_a_second_time() -> None:
    async def test() -> None:
        x, y = FakeUpstream("x", "", reject), FakeUpstream("y", "", reject)
        async with running_balancer(x, y, slack=0.0) as harness:
            assert (await harness.ask()).status == 503
            assert len(x.got) + len(y.got) == 1

    run(test())


def test_an_upstream_that_can_not_be_reached_costs_nothing() -> None:
    async def test() -> None:
        x, y = FakeUpstream("x"), FakeUpstream("y")
        async with running_balancer(x, y, config=configuration(1, route(tries=1)), slack=0.0) as harness:
            x.stop()
            for i in range(6):
                assert (await harness.ask(f"r{i}")).body == b"y"
            assert harness.balancer.tiers.peer("x").is_silent  # type: ignore[union-attr]

    run(test())


def test_what_can_not_begin_in_time_is_refused_at_once() -> None:
    async def test() -> None:
        p, d = FakeUpstream("p", "prefill"), FakeUpstream("d", "decode")
        async with running_balancer(p, d) as harness:
            harness.balancer.set_other_loads(lambda upstream: (50, 1_000_000))
            reply = await harness.ask(headers=PROMPT)
            assert reply.status == 503 and "retry-after" in reply.headers
            assert p.got == d.got == []
            harness.balancer.set_other_loads(lambda upstream: (0, 0))
            assert (await harness.ask(headers=PROMPT)).status == 200

    run(test())


# ---- upstreams that may have run the request


def test_an_unsafe_request_that_may_have_run_is_not_sent_again() -> None:
    async def test() -> None:
        for handler in (
            reset,
            answer("503 Odd"),
            answer("429 Odd"),
            answer("200 OK", "Content-Encoding: x\r\n", "ok"),
        ):
            x, y = FakeUpstream("x", "", handler), FakeUpstream("y", "", handler)
            async with running_balancer(x, y) as harness:
                assert may_have_run(await harness.ask())
                assert len(x.got) + len(y.got) == 1

    run(test())


def test_a_safe_request_that_may_have_run_is_sent_again() -> None:
    async def test() -> None:
        x, y = two(reset, whole)
        async with running_balancer(x, y, config=configuration(1, route(route_type="safe"))) as harness:
            assert (await harness.ask()).status == 200
            assert sorted([len(x.got), len(y.got)]) == [1, 1]

    run(test())


def test_a_request_written_to_a_kept_connection_that_is_reset_may_have_run() -> None:
    async def test() -> None:
        u = FakeUpstream("u", "", whole, reset, whole)
        async with running_balancer(u) as harness:
            assert (await harness.ask("r1")).status == 200
            assert may_have_run(await harness.ask("r2"))
            assert (await harness.ask("r3")).status == 200
            assert [g.headers["mastturn-request-id"] for g in u.got] == ["r1", "r2", "r3"]

    run(test())


def test_an_upstreams_own_errors_are_passed_on_as_they_are() -> None:
    async def test() -> None:
        for status in ("500 Broken", "504 Late", "400 Bad", "404 None"):
            u = FakeUpstream("u", "", answer(status, "X-Why: w\r\n", "text"))
            async with running_balancer(u) as harness:
                reply = await harness.ask()
                assert (reply.status, reply.body) == (int(status[:3]), b"text")
                assert reply.headers["x-why"] == "w"
                assert len(u.got) == 1

    run(test())


def test_an_answer_to_another_request_is_not_ours_and_its_connection_is_not_used_again() -> None:
    """Without another answer the request ends at its deadline, as one that may have run."""

    async def test() -> None:
        async def stray(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
            writer.write(head(got, "Content-Length: 2\r\n\r\nno").replace("-Id: r1", "-Id: r0").encode())

        async def stray_stream(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
            writer.write(stream_head(got).replace(b"-Id: r1", b"-Id: r0") + chunk(event(1)) + b"0\r\n\r\n")

        for handler in (stray, stray_stream):
            u = FakeUpstream("u", "", handler, whole)
            async with running_balancer(u) as harness:
                assert may_have_run(await harness.ask("r1", headers="Mastturn-Deadline-Ms: 200\r\n"))
                assert (await harness.ask("r2")).body == b"u"
                assert u.connections == 2

    run(test())


def test_a_success_without_seal_is_none() -> None:
    async def test() -> None:
        async def unsealed(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
            extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head(got, extra, sealed=False).encode() + chunk(event(1)) + b"0\r\n\r\n")

        for handler in (unsealed, answer("200 OK", "", "ok", sealed=False)):
            async with running_balancer(FakeUpstream("u", "", handler)) as harness:
                reply = await harness.ask()
                assert may_have_run(reply) and b"id: 1" not in reply.body

    run(test())


def test_silence_to_the_deadline_ends_without_a_promise() -> None:
    async def test() -> None:
        u = FakeUpstream("u", "", when_set(asyncio.Event(), whole))
        async with running_balancer(u) as harness:
            assert (await harness.ask(headers="Mastturn-Deadline-Ms: 50\r\n")).status == 504

    run(test())


# ---- streams that break


def two(handler: Handler, then: Handler = decode, phase: str = "decode") -> tuple[FakeUpstream, FakeUpstream]:
    """Two upstreams: whichever is called first uses `handler`, and the other continues with `then`."""
    handlers = [handler]

    async def first(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        await (handlers.pop() if handlers else then)(upstream, got, writer)

    return FakeUpstream("x", phase, first), FakeUpstream("y", phase, first)


@pytest.mark.parametrize(
    "handler",
    [
        cut_after(2),
        cut_after(2, "id: 3\ndata: ha"),
        cut_after(2, event(2)),
        cut_after(2, event(4)),
        cut_after(2, "id: 3\nda", ended=True),
    ],
)
def test_a_resumable_stream_goes_on_inside_the_same_answer(handler: Handler) -> None:
    async def test() -> None:
        x, y = two(handler)
        async with running_balancer(x, y, config=configuration(1, route(resumable=True))) as harness:
            reply = await harness.ask()
            assert (reply.status, ids(reply), reply.whole) == (200, [1, 2, 3], True)
            got = [g for s in (x, y) for g in s.got]
            assert sorted(g.headers.get("last-event-id", "") for g in got) == ["", "2"]
            assert reply.headers["mastturn-server-seal"] == "s.1" and "content-length" not in reply.headers

    run(test())


@pytest.mark.parametrize("handler", [cut_after(2), cut_after(2, event(4)), cut_after(2, event(1))])
def test_any_other_stream_that_breaks_ends_visibly_incomplete(handler: Handler) -> None:
    async def test() -> None:
        x, y = two(handler)
        async with running_balancer(x, y) as harness:
            reply = await harness.ask()
            assert reply.status in (0, 200) and not reply.whole
            assert ids(reply) in ([], [1, 2])  # a reset may discard data sent before it
            assert len(x.got) + len(y.got) == 1

    run(test())


def test_a_stream_that_breaks_before_its_first_event_is_no_answer_yet() -> None:
    async def test() -> None:
        x, y = two(cut_after(0))
        async with running_balancer(x, y) as harness:
            assert (await harness.ask()).status == 502
        x, y = two(cut_after(0))
        async with running_balancer(x, y, config=configuration(1, route(resumable=True))) as harness:
            assert ids(await harness.ask()) == [1, 2, 3]

    run(test())


def test_without_tries_a_resumable_stream_is_not_resumed() -> None:
    async def test() -> None:
        x, y = two(cut_after(2))
        async with running_balancer(x, y, config=configuration(1, route(resumable=True, tries=1))) as harness:
            assert not (await harness.ask()).whole
            assert len(x.got) + len(y.got) == 1

    run(test())


# ---- prefill that fails


def kinds(*upstreams: FakeUpstream) -> list[str]:
    return [s.name + ("+kv" if "kv-from" in g.headers else "") for s in upstreams for g in s.got]


def test_a_prefill_call_that_is_rejected_or_broken_goes_to_another() -> None:
    async def test() -> None:
        for handler in (reject, misplaced, reset, answer("500 Broken"), answer("200 OK", "", "no handle")):
            x, y = two(handler, prefill, "prefill")
            d = FakeUpstream("d", "decode")
            async with running_balancer(x, y, d) as harness:
                assert ids(await harness.ask(headers=PROMPT)) == [1, 2, 3]
                assert sorted(kinds(x, y, d)) == ["d+kv", "x", "y"]

    run(test())


def test_where_no_other_may_be_asked_a_decode_upstream_reads_by_itself() -> None:
    async def test() -> None:
        p, d = FakeUpstream("p", "prefill", reset), FakeUpstream("d", "decode")
        async with running_balancer(p, d, config=configuration(1, route(tries=1))) as harness:
            assert ids(await harness.ask(headers=PROMPT)) == [1, 2, 3]
            assert kinds(p, d) == ["p", "d"]

    run(test())


def test_a_handle_that_can_not_be_had_is_done_without_and_freed() -> None:
    async def test() -> None:
        async def lost(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
            await (reject if "kv-from" in got.headers else decode)(upstream, got, writer)

        p, x, y = (
            FakeUpstream("p", "prefill"),
            FakeUpstream("x", "decode", lost),
            FakeUpstream("y", "decode", lost),
        )
        async with running_balancer(p, x, y) as harness:
            assert ids(await harness.ask(headers=PROMPT)) == [1, 2, 3]
            assert sorted(k.lstrip("xy") for k in kinds(x, y)) == ["", "+kv"]
        p, x = FakeUpstream("p", "prefill"), FakeUpstream("x", "decode", lost)
        async with running_balancer(p, x, config=configuration(1, route(tries=1))) as harness:
            assert (await harness.ask(headers=PROMPT)).status == 503
            await until(lambda: p.freed == ["kv-r1"])

    run(test())


def test_a_client_that_leaves_while_its_prompt_is_read_stops_that() -> None:
    async def test() -> None:
        gate = asyncio.Event()
        p, d = FakeUpstream("p", "prefill", when_set(gate, prefill)), FakeUpstream("d", "decode")
        async with running_balancer(p, d) as harness:
            asked = asyncio.get_running_loop().create_task(harness.ask(headers=PROMPT))
            await until(lambda: len(p.got) == 1)
            asked.cancel()
            await until(lambda: harness.balancer.counters.in_flight == 0)
            assert harness.balancer.loads() == {}
            gate.set()
            assert (await harness.ask("r2", headers=PROMPT)).whole
            assert [g.headers["mastturn-request-id"] for g in d.got] == ["r2"]

    run(test())


def test_a_handle_never_serves_another_request() -> None:
    async def test() -> None:
        p, d = FakeUpstream("p", "prefill"), FakeUpstream("d", "decode")
        async with running_balancer(p, d) as harness:
            replies = await asyncio.gather(*(harness.ask(f"r{i}", headers=PROMPT) for i in range(20)))
            assert all(r.whole for r in replies)
            fetched = [
                (g.headers["mastturn-request-id"], g.headers["kv-from"])
                for g in d.got
                if "kv-from" in g.headers  # with long prefill queues a request may run without a handle
            ]
            assert len(fetched) == len(p.got) > 10
            assert sorted(fetched) == sorted((r, f"{p.entry.addr}/kv-{r}") for r, _ in fetched)

    run(test())


def test_a_silent_prefill_call_is_left_for_another(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(silence_timeout, "PREFILL_TIMEOUT_S", 0.02)
        monkeypatch.setattr(silence_timeout, "MAX_PREFILL_EXTRA_S", 0.02)
        gate = asyncio.Event()
        p, q = (
            FakeUpstream("p", "prefill", when_set(gate, prefill)),
            FakeUpstream("q", "prefill", when_set(gate, prefill)),
        )
        d = FakeUpstream("d", "decode")
        async with running_balancer(p, q, d, config=configuration(1, route(tries=3))) as harness:
            asked = asyncio.get_running_loop().create_task(harness.ask(headers=PROMPT))
            await until(lambda: len(p.got) == len(q.got) == 1)
            gate.set()
            assert ids(await asked) == [1, 2, 3]

    run(test())


# ---- the list of upstreams


def test_draining_and_missing_upstreams_get_nothing_new_and_finish_what_they_have() -> None:
    async def test() -> None:
        gate = asyncio.Event()
        x, y = FakeUpstream("x", "", when_set(gate, whole)), FakeUpstream("y")
        async with running_balancer(x, y) as harness:
            harness.list(x)
            asked = asyncio.get_running_loop().create_task(harness.ask("old"))
            await until(lambda: len(x.got) == 1)
            harness.list(y)
            for i in range(5):
                assert (await harness.ask(f"r{i}")).body == b"y"
            gate.set()
            assert (await asked).body == b"x"

    run(test())


def test_an_address_with_another_id_is_another_upstream() -> None:
    async def test() -> None:
        u = FakeUpstream("u")
        async with running_balancer(u) as harness:
            assert (await harness.ask("r1")).status == 200
            u.entry = u.entry.__class__("v", "pool", u.entry.addr, "a")
            harness.list(u)
            assert (await harness.ask("r2")).status == 200
            assert [g.headers["mastturn-target-upstream"] for g in u.got] == ["u", "v"]
            assert u.connections == 2

    run(test())


def test_connections_to_one_upstream_stay_within_our_part(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        gate = asyncio.Event()
        u = FakeUpstream("u", "", when_set(gate, whole))
        async with running_balancer(u) as harness:
            harness.balancer.count_balancers(1000)
            tasks = [asyncio.get_running_loop().create_task(harness.ask(f"r{i}")) for i in range(6)]
            await until(lambda: len(u.got) == 4 and sum(t.done() for t in tasks) == 2)
            assert u.connections == 4
            gate.set()
            assert sorted([(await t).status for t in tasks]) == [200] * 4 + [503] * 2

    run(test())


# ---- readiness and drain


async def readyz(harness: BalancerHarness) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.readyz)
    writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
    reply = await read_reply(reader)
    writer.close()
    return reply.status


@pytest.fixture
def quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(options, "ACCEPT_AFTER_STOP_S", 0.1)
    monkeypatch.setattr(options, "DRAIN_POLL_S", 0.005)
    monkeypatch.setattr(server, "FINAL_READ_S", 0.02)


def test_readiness_follows_the_control_side() -> None:
    async def test() -> None:
        async with running_balancer(FakeUpstream("u")) as harness:
            assert await readyz(harness) == 200
            harness.balancer.allow_ready(False)
            assert await readyz(harness) == 503 and not harness.balancer.ready
            harness.balancer.allow_ready(True)
            assert await readyz(harness) == 200

    run(test())


@pytest.mark.usefixtures("quick_drain")
def test_a_drain_loses_no_request_and_ends_once_nothing_is_left() -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def half(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
            writer.write(stream_head(got) + chunk(event(1)))
            await gate.wait()
            writer.write(chunk(event(2)) + b"0\r\n\r\n")

        u = FakeUpstream("u", "", half, whole)
        async with running_balancer(u) as harness:
            stream = asyncio.get_running_loop().create_task(harness.ask("long"))
            await until(lambda: len(u.got) == 1)
            idle = await asyncio.open_connection("127.0.0.1", harness.port)
            loop = asyncio.get_running_loop()
            began = loop.time()
            draining = loop.create_task(harness.balancer.drain())
            await until(lambda: not harness.balancer.ready)
            assert await readyz(harness) == 503
            reply = await harness.ask("new")  # new connections are still accepted
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert not draining.done()
            gate.set()
            assert ids(await stream) == [1, 2]
            await draining
            assert await idle[0].read() == b""
            assert loop.time() - began < harness.balancer.settings.bounds.grace_s - 1
            idle[1].close()

    run(test())


@pytest.mark.usefixtures("quick_drain")
def test_what_crosses_our_close_is_left_unread_so_that_its_client_may_send_it_again() -> None:
    async def test() -> None:
        u = FakeUpstream("u")
        async with running_balancer(u) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            ask = f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nMastturn-Request-Id: r1\r\n\r\n".encode()
            writer.write(ask)
            assert (await read_reply(reader)).status == 200
            draining = asyncio.get_running_loop().create_task(harness.balancer.drain())
            assert await reader.read() == b""  # closed between requests
            writer.write(ask)
            await draining
            assert len(u.got) == 1

    run(test())


def test_an_answer_tells_clients_how_long_they_may_stay_idle() -> None:
    async def test() -> None:
        async with running_balancer(FakeUpstream("u")) as harness:
            assert (await harness.ask()).headers["keep-alive"] == "timeout=14"

    run(test())
