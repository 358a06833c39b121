"""The decision for one request, as transcripts of steps and ends: what counts, and what is sent again."""

from __future__ import annotations

import itertools

import pytest

from balancer.pair import (
    UNSENT_MOST,
    BreakOff,
    End,
    Fail,
    Handle,
    Read,
    Refuse,
    RequestStateMachine,
    Run,
    Step,
)

KV = Handle("p", "10.0.0.1:80", "h1", 0.0)


class Wallet:
    """A budget of so many extra arrivals."""

    def __init__(self, left: int = 99) -> None:
        self.left = left

    def allows(self, extra: int) -> bool:
        return extra <= self.left

    def spend(self) -> None:
        self.left -= 1

    def refund(self) -> None:
        self.left += 1


def pair(
    tries: int = 2, idempotent: bool = False, resumable: bool = False, wallet: Wallet | None = None
) -> RequestStateMachine:
    return RequestStateMachine(tries, idempotent, resumable, wallet or Wallet())


def test_the_ordinary_path_reads_then_runs_and_costs_nothing() -> None:
    wallet = Wallet(0)
    made = pair(tries=1, wallet=wallet)
    assert made.first(split=True) == Read()
    assert made.read_ended(End.TAKEN, KV) == Run(KV)
    assert wallet.left == 0


def test_without_phases_there_is_one_send() -> None:
    assert pair().first(split=False) == Run(None)


def test_a_rejected_read_counts_as_the_first_arrival() -> None:
    wallet = Wallet()
    made = pair(tries=1, wallet=wallet)
    made.first(split=True)
    assert made.read_ended(End.REJECTED) == Refuse()  # its one try is gone
    made = pair(tries=2, wallet=wallet)
    made.first(split=True)
    assert made.read_ended(End.REJECTED) == Read()
    assert made.read_ended(End.TAKEN, KV) == Run(KV)
    assert wallet.left == 98  # the run was the second arrival


def test_a_second_rejected_read_leaves_no_try() -> None:
    made = pair(tries=2)
    made.first(split=True)
    made.read_ended(End.REJECTED)
    assert made.read_ended(End.REJECTED) == Refuse()
    made = pair(tries=3)
    made.first(split=True)
    made.read_ended(End.REJECTED)
    assert made.read_ended(End.REJECTED) == Run(None)  # a decode upstream reads by itself


def test_a_broken_read_may_have_been_taken_up_and_its_repeat_counts() -> None:
    made = pair(tries=1)
    made.first(split=True)
    assert made.read_ended(End.BROKEN) == Run(None)
    wallet = Wallet()
    made = pair(tries=2, wallet=wallet)
    made.first(split=True)
    assert made.read_ended(End.BROKEN) == Read()
    assert made.read_ended(End.TAKEN, KV) == Run(KV)
    assert wallet.left == 98


def test_a_broken_read_that_was_not_taken_up_is_paid_for() -> None:
    """Found on a day of nine upstreams in ten that reset all: 2 arrivals beyond the first, 1 paid."""
    wallet = Wallet(1)
    made = pair(tries=1, wallet=wallet)
    made.first(split=True)
    assert made.read_ended(End.BROKEN) == Run(None)
    assert wallet.left == 0
    made = pair(tries=2, wallet=wallet)
    made.first(split=True)
    assert made.read_ended(End.BROKEN) == Refuse()  # nothing more may arrive


def test_a_broken_read_may_not_have_been_taken_up_and_the_run_after_it_is_paid() -> None:
    """Day drawn-0009 of tin-shed: slack 12, no ratio, upstreams that reset what they are sent: BUDGET."""
    made = pair(tries=1, wallet=Wallet(0))
    made.first(split=True)
    assert made.read_ended(End.BROKEN) == Refuse()
    wallet = Wallet(1)
    made = pair(tries=1, wallet=wallet)
    made.first(split=True)
    assert made.read_ended(End.BROKEN) == Run(None)
    assert wallet.left == 0
    assert made.run_ended(End.UNSENT) == Run(None)  # not sent: the same arrival once more
    assert wallet.left == 0
    assert made.no_runner() == Refuse()
    assert wallet.left == 1


def test_a_read_that_was_never_written_costs_nothing_and_goes_elsewhere() -> None:
    wallet = Wallet()
    made = pair(tries=1, wallet=wallet)
    step = made.first(split=True)
    for _ in range(UNSENT_MOST - 1):
        assert step == Read()
        step = made.read_ended(End.UNSENT)
    assert made.read_ended(End.UNSENT) == Run(None)
    assert wallet.left == 99


def test_with_no_prefill_upstream_a_decode_upstream_reads() -> None:
    made = pair(tries=1)
    made.first(split=True)
    assert made.no_reader() == Run(None)


def test_a_lost_handle_makes_a_decode_upstream_read_if_tries_and_budget_allow() -> None:
    for tries, left, then in ((2, 1, Run(None)), (1, 1, Refuse()), (2, 0, Refuse())):
        made = pair(tries=tries, wallet=Wallet(left))
        made.first(split=True)
        made.read_ended(End.TAKEN, KV)
        assert made.run_ended(End.REJECTED) == then


def test_a_run_that_may_have_run_is_sent_again_only_if_idempotent() -> None:
    made = pair()
    made.first(split=False)
    assert made.run_ended(End.BROKEN) == Fail(502)
    made = pair(idempotent=True)
    made.first(split=False)
    assert made.run_ended(End.BROKEN) == Run(None)
    assert made.run_ended(End.REJECTED) == Fail(502)  # no promise: the first may have run


def test_silence_to_the_deadline_is_no_promise_either() -> None:
    made = pair(idempotent=True)
    made.first(split=False)
    assert made.run_ended(End.LATE) == Fail(504)
    made = pair()
    made.first(split=True)
    assert made.read_ended(End.LATE) == Refuse()  # only read: it has not run


def test_a_run_that_never_went_out_is_tried_elsewhere_and_then_refused() -> None:
    wallet = Wallet(0)
    made = pair(tries=1, wallet=wallet)
    made.first(split=False)
    for _ in range(UNSENT_MOST - 1):
        assert made.run_ended(End.UNSENT) == Run(None)
    assert made.run_ended(End.UNSENT) == Refuse()


def test_a_stream_that_breaks_goes_on_elsewhere_only_where_it_may_be_resumed() -> None:
    made = pair(idempotent=True, resumable=True)
    made.first(split=False)
    made.started = True
    assert made.run_ended(End.BROKEN) == Run(None)
    assert made.run_ended(End.BROKEN) == BreakOff()  # no try is left
    made = pair(idempotent=False)
    made.first(split=False)
    made.started = True
    assert made.run_ended(End.BROKEN) == BreakOff()


def test_no_upstream_at_all_is_a_promise() -> None:
    made = pair()
    made.first(split=False)
    assert made.no_runner() == Refuse()


@pytest.mark.parametrize("tries", [1, 2, 3])
@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("left", [0, 1, 9])
def test_whatever_happens_the_rules_hold(tries: int, idempotent: bool, left: int) -> None:
    """All orders of ends: arrivals stay within tries and budget, and no promise follows what may have run."""
    ends = [End.TAKEN, End.REJECTED, End.UNSENT, End.BROKEN, End.LATE]
    for order in itertools.product(ends, repeat=6):
        wallet = Wallet(left)
        made = pair(tries, idempotent, idempotent, wallet)
        step: Step = made.first(split=True)
        arrivals, free, may_have_run, runs = 0, True, False, 0
        arrived, taken_up = 0, False  # as upstreams see it, if no call that broke off was taken up
        for end in order:
            if isinstance(step, Read):
                arrived += end is not End.UNSENT
                taken_up |= end is End.TAKEN
                if end is not End.UNSENT:
                    counts = end is End.REJECTED or not free
                    arrivals += counts
                    free = free and end is End.REJECTED
                step = made.read_ended(end, KV if end is End.TAKEN else None)
            elif isinstance(step, Run):
                arrived += end is not End.UNSENT
                if end is not End.UNSENT:
                    arrivals += 1
                if end in (End.BROKEN, End.LATE):
                    may_have_run, runs = True, runs + 1
                if end is End.TAKEN:
                    break
                step = made.run_ended(end)
            else:
                break
        assert arrivals <= tries and wallet.left >= 0 and arrivals - 1 <= left, order
        assert arrived - taken_up - 1 <= left, order
        assert idempotent or runs <= 1, order
        if isinstance(step, Refuse):
            assert not may_have_run, order
