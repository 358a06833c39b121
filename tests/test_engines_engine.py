"""One simulated engine: exact step times, KV cache, handles, transfers and phase changes."""

from __future__ import annotations

import pytest

from tests.engines_fixture import Bench

SHARED = (("root", 300), ("subject", 2000))


def test_a_prompt_is_read_in_pieces_each_of_a_step_and_its_answer_follows() -> None:
    bench = Bench()
    caller = bench.call(0, bench.engine("prefill"), 2500)
    bench.run()
    assert caller.events == [(3 * 2.0 + 2500 / 50 + 10.0, "read")]


def test_a_slower_engine_takes_longer_for_its_steps_and_not_for_what_follows() -> None:
    bench = Bench()
    caller = bench.call(0, bench.engine("prefill", speed=1.3), 1000)
    bench.run()
    assert caller.events[0][0] == pytest.approx(1.3 * 22.0 + 10.0)


def test_pairs_of_tokens_cost_by_what_comes_before() -> None:
    bench = Bench(pairs_ms_per_m=1.0)
    caller = bench.call(0, bench.engine("prefill"), 1000)
    bench.run()
    assert caller.events[0][0] == pytest.approx(22.0 + 10.0 + 0.5)


def test_a_prompt_that_is_being_read_is_finished_first_and_then_the_most_urgent_goes() -> None:
    bench = Bench()
    engine = bench.engine("prefill")
    long = bench.call(0, engine, 2400, priority=8)
    later = bench.call(1, engine, 1000, priority=5)
    urgent = bench.call(2, engine, 600, priority=1)
    bench.run()
    # The last 400 tokens of the long prompt share a chunk with the 600 of the urgent one.
    assert long.events[0][0] == urgent.events[0][0] == 3 * 2.0 + 3000 / 50 + 10.0
    assert later.events[0][0] == 4 * 2.0 + 4000 / 50 + 10.0


def test_shared_parts_are_kept_and_only_reading_them_once_more_counts_as_again() -> None:
    bench = Bench()
    first, second = bench.engine("prefill"), bench.engine("prefill")
    bench.call(0, first, 700, SHARED)
    cached = bench.call(1000, first, 700, SHARED)
    assert bench.counters.reread_tokens == 0
    reread_tokens = bench.call(1000, second, 700, SHARED)
    bench.run()
    assert cached.events[0][0] == 1000 + 2.0 + 700 / 50 + 10.0
    assert reread_tokens.events[0][0] == 1000 + 3 * 2.0 + 3000 / 50 + 10.0
    assert (bench.counters.reread_tokens, bench.counters.cached) == (2300, 2300)


def test_a_part_counts_only_if_all_before_it_are_there() -> None:
    bench = Bench()
    engine = bench.engine("prefill")
    bench.call(0, engine, 700, (("subject", 2000),))
    caller = bench.call(1000, engine, 700, SHARED)
    bench.run()
    assert caller.events[0][0] == 1000 + 3 * 2.0 + 3000 / 50 + 10.0


def test_what_was_unused_longest_gives_way() -> None:
    bench = Bench(kv_tokens=6000, handle_s=0.05)
    engine = bench.engine("prefill")
    bench.call(0, engine, 100, (("old", 2000),))
    bench.call(500, engine, 100, (("new", 2000),))
    bench.call(1000, engine, 2500)
    old = bench.call(2000, engine, 100, (("old", 2000),))
    bench.run()
    assert old.events[0][0] == 2000 + 3 * 2.0 + 2100 / 50 + 10.0


def test_the_first_event_is_the_first_token_and_the_next_come_a_stride_apart() -> None:
    bench = Bench()
    reader, runner = bench.engine("prefill"), bench.engine("decode")
    read = bench.call(0, reader, 1000)
    caller = bench.call(100, runner, 1000, pieces=3, after=read, source=reader)
    bench.run()
    move = 1000 * 1000 * 8 / 8000e6 * 1000 + 1.0
    first = 100 + move + 2.5
    assert [at_ms for at_ms, _ in caller.events] == pytest.approx([first, first + 25, first + 50, first + 50])
    assert [event for _, event in caller.events] == ["event 1", "event 2", "event 3", "end"]


def test_each_step_is_slower_the_more_run() -> None:
    bench = Bench()
    reader, runner = bench.engine("prefill"), bench.engine("decode")
    reads = [bench.call(0, reader, 100) for _ in range(3)]
    runs = [bench.call(200, runner, 100, pieces=2, after=r, source=reader) for r in reads]
    bench.run()
    gaps = [caller.events[1][0] - caller.events[0][0] for caller in runs]
    assert max(gaps) == pytest.approx(10 * 3.5, abs=4.0) and min(gaps) > 10 * 2.5


def test_moves_go_one_after_the_other_and_take_twice_as_long_between_zones() -> None:
    bench = Bench()
    reader, near, far = bench.engine("prefill", "a"), bench.engine("decode", "a"), bench.engine("decode", "b")
    reads = [bench.call(0, reader, 2000) for _ in range(3)]
    one = bench.call(200, near, 2000, after=reads[0], source=reader)
    two = bench.call(200, near, 2000, after=reads[1], source=reader)
    other = bench.call(200, far, 2000, after=reads[2], source=reader)
    bench.run()
    assert one.events[0][0] == pytest.approx(200 + 3.0 + 2.5)
    assert two.events[0][0] == pytest.approx(200 + 2 * 3.0 + 2.5, abs=3.0)
    assert other.events[0][0] == pytest.approx(200 + 2 * 2.0 + 1.0 + 2.5)
    assert bench.counters.transferred_gb == pytest.approx((1 + 1 + 2) * 2000 * 1000 / 1e9)


def test_a_handle_is_taken_once_and_lapses() -> None:
    bench = Bench(handle_s=0.3)
    reader, runner = bench.engine("prefill"), bench.engine("decode")
    read, lost = bench.call(0, reader, 100), bench.call(0, reader, 400)
    bench.call(100, runner, 100, after=read, source=reader)
    twice = bench.call(100, runner, 100, after=read, source=reader)
    late = bench.call(400, runner, 100, after=lost, source=reader)
    bench.run()
    assert [event for _, event in twice.events] == ["gone"] and [event for _, event in late.events] == [
        "gone"
    ]
    assert bench.counters.wasted_tokens == 400


def test_a_decode_engine_reads_by_itself_at_half_the_pace_in_quarter_pieces() -> None:
    bench = Bench()
    caller = bench.call(0, bench.engine("decode"), 500, pieces=1)
    bench.run()
    # Two chunks of 250, each in a step; the first token of the answer takes a third step.
    assert caller.events[0] == (2 * 2.0 + 500 / 25 + 10.0 + 2.5, "event 1")


def test_the_newest_of_the_least_urgent_is_preempted_and_goes_on_where_it_was() -> None:
    bench = Bench(kv_tokens=2060)
    runner = bench.engine("decode")
    first = bench.call(0, runner, 1000, pieces=6, priority=1)
    second = bench.call(0, runner, 1000, pieces=6, priority=7)
    bench.run()
    for caller in (first, second):
        assert [event for _, event in caller.events] == [f"event {n}" for n in range(1, 7)] + ["end"]
    assert bench.counters.preempted >= 1 and first.events[-1][0] < second.events[-1][0]


def test_full_late_and_misplaced_calls_are_turned_away() -> None:
    bench = Bench()
    reader = bench.engine("prefill")
    calls = [bench.call(0, reader, 1000) for _ in range(17)]
    large = bench.call(0, bench.engine("prefill"), 20_001)
    late = bench.call(0, bench.engine("decode"), 100, ends_ms=-1)
    misplaced = bench.call(0, bench.engine("decode"), 100, prefill_only=True)
    other = bench.call(0, bench.engine("prefill"), 100, prefill_only=False)
    bench.run()
    assert [c.events[0][1] for c in calls].count("full") == 1
    assert large.events[0][1] == "full" and late.events[0][1] == "deadline"
    assert misplaced.events[0][1] == other.events[0][1] == "misplaced"


def test_an_order_lets_what_runs_end_turns_the_rest_away_and_takes_its_time() -> None:
    bench = Bench()
    engine = bench.engine("prefill")
    running, waiting = bench.call(0, engine, 1000), bench.call(1, engine, 1000)
    changed: list[float] = []
    engine.changed = lambda: changed.append(round((bench.loop.time() - 1000) * 1000, 3))
    bench.do(5, lambda: engine.order("decode"))
    refused = bench.call(10, engine, 100)
    bench.do(12, lambda: changed.append(float(engine.order("decode"))))
    bench.run()
    assert running.events == [(32.0, "read")]
    assert waiting.events == [(5.0, "switching")] and refused.events == [(10.0, "switching")]
    assert changed == [0.0, 22.0 + 1500.0] and engine.phase == "decode"
    assert bench.counters.orders == 1


def test_a_crash_cuts_what_runs_and_forgets_all() -> None:
    bench = Bench()
    engine, dark = bench.engine("prefill"), bench.engine("prefill")
    cut, silent = bench.call(0, engine, 5000), bench.call(0, dark, 5000)
    bench.do(20, lambda: engine.crash(dark=False))
    bench.do(20, lambda: dark.crash(dark=True))
    bench.do(100, engine.restart)
    after_restart = bench.call(200, engine, 1000)
    bench.run()
    assert cut.events == [(20.0, "cut")] and silent.events == []
    assert after_restart.events == [(232.0, "read")] and engine.memory.used <= 1000


def test_a_handle_is_gone_with_the_process_that_held_it() -> None:
    bench = Bench(handle_s=0.3)
    reader, runner = bench.engine("prefill"), bench.engine("decode")
    read = bench.call(0, reader, 100)
    bench.do(100, lambda: reader.crash(dark=False))
    bench.do(150, reader.restart)
    gone = bench.call(200, runner, 100, after=read, source=reader)
    bench.run()
    assert [event for _, event in gone.events] == ["gone"] and bench.counters.wasted_tokens == 0
