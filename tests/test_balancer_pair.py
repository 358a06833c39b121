"""The state machine of one request: the step after each end, the accounting, and what is sent again."""

from __future__ import annotations

import itertools

import pytest

from balancer.request_machine import (
    MAX_UNSENT,
    Abort,
    CallEnd,
    Fail,
    Handle,
    Prefill,
    Refuse,
    RequestStateMachine,
    Run,
    Step,
)

KV = Handle("p", "10.0.0.1:80", "h1", 0.0)


class FakeBudget:
    """A budget of `left` extra arrivals."""

    def __init__(self, left: int = 99) -> None:
        self.left = left

    def allows(self, extra: int) -> bool:
        return extra <= self.left

    def spend(self) -> None:
        self.left -= 1

    def refund(self) -> None:
        self.left += 1


def make_machine(
    tries: int = 2, idempotent: bool = False, resumable: bool = False, budget: FakeBudget | None = None
) -> RequestStateMachine:
    return RequestStateMachine(tries, idempotent, resumable, budget or FakeBudget())


def test_the_ordinary_path_reads_then_runs_and_costs_nothing() -> None:
    budget = FakeBudget(0)
    machine = make_machine(tries=1, budget=budget)
    assert machine.start(split=True) == Prefill()
    assert machine.prefill_ended(CallEnd.PREFILLED, KV) == Run(KV)
    assert budget.left == 0


def test_without_phases_there_is_one_send() -> None:
    assert make_machine().start(split=False) == Run(None)


def test_a_rejected_read_counts_as_the_first_arrival() -> None:
    budget = FakeBudget()
    machine = make_machine(tries=1, budget=budget)
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.REJECTED) == Refuse()  # its only try is used up
    machine = make_machine(tries=2, budget=budget)
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.REJECTED) == Prefill()
    assert machine.prefill_ended(CallEnd.PREFILLED, KV) == Run(KV)
    assert budget.left == 98  # the run was the second arrival


def test_a_second_rejected_read_leaves_no_try() -> None:
    machine = make_machine(tries=2)
    machine.start(split=True)
    machine.prefill_ended(CallEnd.REJECTED)
    assert machine.prefill_ended(CallEnd.REJECTED) == Refuse()
    machine = make_machine(tries=3)
    machine.start(split=True)
    machine.prefill_ended(CallEnd.REJECTED)
    assert machine.prefill_ended(CallEnd.REJECTED) == Run(None)  # a decode upstream prefills by itself


def test_a_broken_read_may_have_been_taken_up_and_its_repeat_counts() -> None:
    machine = make_machine(tries=1)
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.BROKEN) == Run(None)
    budget = FakeBudget()
    machine = make_machine(tries=2, budget=budget)
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.BROKEN) == Prefill()
    assert machine.prefill_ended(CallEnd.PREFILLED, KV) == Run(KV)
    assert budget.left == 98


def test_a_broken_read_that_was_not_taken_up_is_paid_for() -> None:
    """With nine of ten upstreams resetting all calls, 2 extra arrivals happened for 1 that was paid."""
    budget = FakeBudget(1)
    machine = make_machine(tries=1, budget=budget)
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.BROKEN) == Run(None)
    assert budget.left == 0
    machine = make_machine(tries=2, budget=budget)
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.BROKEN) == Refuse()  # no further arrival is allowed


def test_a_broken_read_may_not_have_been_taken_up_and_the_run_after_it_is_paid() -> None:
    """Upstreams that reset their calls exceeded the budget (tin-shed drawn-0009: slack 12, ratio 0)."""
    machine = make_machine(tries=1, budget=FakeBudget(0))
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.BROKEN) == Refuse()
    budget = FakeBudget(1)
    machine = make_machine(tries=1, budget=budget)
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.BROKEN) == Run(None)
    assert budget.left == 0
    assert machine.run_ended(CallEnd.UNSENT) == Run(None)  # not sent: the same arrival again
    assert budget.left == 0
    assert machine.no_run_upstream() == Refuse()
    assert budget.left == 1


def test_a_read_that_was_never_written_costs_nothing_and_goes_elsewhere() -> None:
    budget = FakeBudget()
    machine = make_machine(tries=1, budget=budget)
    step = machine.start(split=True)
    for _ in range(MAX_UNSENT - 1):
        assert step == Prefill()
        step = machine.prefill_ended(CallEnd.UNSENT)
    assert machine.prefill_ended(CallEnd.UNSENT) == Run(None)
    assert budget.left == 99


def test_with_no_prefill_upstream_a_decode_upstream_reads() -> None:
    machine = make_machine(tries=1)
    machine.start(split=True)
    assert machine.no_prefill_upstream() == Run(None)


def test_a_lost_handle_makes_a_decode_upstream_read_if_tries_and_budget_allow() -> None:
    for tries, left, then in ((2, 1, Run(None)), (1, 1, Refuse()), (2, 0, Refuse())):
        machine = make_machine(tries=tries, budget=FakeBudget(left))
        machine.start(split=True)
        machine.prefill_ended(CallEnd.PREFILLED, KV)
        assert machine.run_ended(CallEnd.REJECTED) == then


def test_a_run_that_may_have_run_is_sent_again_only_if_idempotent() -> None:
    machine = make_machine()
    machine.start(split=False)
    assert machine.run_ended(CallEnd.BROKEN) == Fail(502)
    machine = make_machine(idempotent=True)
    machine.start(split=False)
    assert machine.run_ended(CallEnd.BROKEN) == Run(None)
    assert machine.run_ended(CallEnd.REJECTED) == Fail(502)  # not refused: the first may have run


def test_silence_to_the_deadline_is_no_promise_either() -> None:
    machine = make_machine(idempotent=True)
    machine.start(split=False)
    assert machine.run_ended(CallEnd.LATE) == Fail(504)
    machine = make_machine()
    machine.start(split=True)
    assert machine.prefill_ended(CallEnd.LATE) == Refuse()  # only prefilled: it has not run


def test_a_run_that_never_went_out_is_tried_elsewhere_and_then_refused() -> None:
    budget = FakeBudget(0)
    machine = make_machine(tries=1, budget=budget)
    machine.start(split=False)
    for _ in range(MAX_UNSENT - 1):
        assert machine.run_ended(CallEnd.UNSENT) == Run(None)
    assert machine.run_ended(CallEnd.UNSENT) == Refuse()


def test_a_stream_that_breaks_goes_on_elsewhere_only_where_it_may_be_resumed() -> None:
    machine = make_machine(idempotent=True, resumable=True)
    machine.start(split=False)
    machine.started = True
    assert machine.run_ended(CallEnd.BROKEN) == Run(None)
    assert machine.run_ended(CallEnd.BROKEN) == Abort()  # no try is left
    machine = make_machine(idempotent=False)
    machine.start(split=False)
    machine.started = True
    assert machine.run_ended(CallEnd.BROKEN) == Abort()


def test_no_upstream_at_all_is_a_promise() -> None:
    machine = make_machine()
    machine.start(split=False)
    assert machine.no_run_upstream() == Refuse()


@pytest.mark.parametrize("tries", [1, 2, 3])
@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("left", [0, 1, 9])
def test_whatever_happens_the_rules_hold(tries: int, idempotent: bool, left: int) -> None:
    """All sequences of ends: arrivals stay within tries and budget, and what may have run is not refused."""
    ends = [CallEnd.PREFILLED, CallEnd.REJECTED, CallEnd.UNSENT, CallEnd.BROKEN, CallEnd.LATE]
    for order in itertools.product(ends, repeat=6):
        budget = FakeBudget(left)
        machine = make_machine(tries, idempotent, idempotent, budget)
        step: Step = machine.start(split=True)
        arrivals, free, may_have_run, runs = 0, True, False, 0
        arrived, taken_up = 0, False  # as seen by upstreams, if no call that broke off was accepted
        for end in order:
            if isinstance(step, Prefill):
                arrived += end is not CallEnd.UNSENT
                taken_up |= end is CallEnd.PREFILLED
                if end is not CallEnd.UNSENT:
                    counts = end is CallEnd.REJECTED or not free
                    arrivals += counts
                    free = free and end is CallEnd.REJECTED
                step = machine.prefill_ended(end, KV if end is CallEnd.PREFILLED else None)
            elif isinstance(step, Run):
                arrived += end is not CallEnd.UNSENT
                if end is not CallEnd.UNSENT:
                    arrivals += 1
                if end in (CallEnd.BROKEN, CallEnd.LATE):
                    may_have_run, runs = True, runs + 1
                if end is CallEnd.PREFILLED:
                    break
                step = machine.run_ended(end)
            else:
                break
        assert arrivals <= tries and budget.left >= 0 and arrivals - 1 <= left, order
        assert arrived - taken_up - 1 <= left, order
        assert idempotent or runs <= 1, order
        if isinstance(step, Refuse):
            assert not may_have_run, order
