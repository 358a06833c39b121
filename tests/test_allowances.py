"""Token quotas: idempotent messages, surplus grants, recalls, restarts and changed allowances."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mastturn.allowance_check.week import Week
from quota.account import Account
from quota.ledger import SURPLUS_DIVISOR, Ledger
from quota.messages import Recall, TokenRequest


def account(name: str, life: str = "1") -> Account:
    found = Account(name, life, "audits")
    found.window = 1
    return found


def grant(ledger: Ledger, ask: TokenRequest, replicas: int = 1) -> int:
    """Returns the total granted to a replica according to the ledger's answer."""
    answer, _ = ledger.handle_request(ask, replicas)
    assert answer is not None
    return answer.granted


def left(ledger: Ledger) -> int:
    tenant = ledger.tenant("audits")
    assert tenant is not None
    return tenant.remaining()


def test_an_ask_that_comes_twice_grants_once() -> None:
    """A duplicated request must not be granted twice."""
    ledger, first_account = Ledger({"audits": 100}), account("a")
    ask = first_account.request_tokens(30)
    assert grant(ledger, ask) == grant(ledger, ask) == 30 and left(ledger) == 70


def test_a_grant_that_was_lost_is_told_again_with_the_next_ask() -> None:
    """Tokens granted in a lost answer count towards the next request; they are not granted twice."""
    ledger, first_account = Ledger({"audits": 100}), account("a")
    ledger.handle_request(first_account.request_tokens(30), 1)  # the answer is lost
    answer, _ = ledger.handle_request(first_account.request_tokens(40), 1)
    assert answer is not None and answer.granted == 40  # not 70
    first_account.apply_grant(answer)
    assert first_account.available() == 40 and left(ledger) == 60


def test_late_answers_of_either_order_or_life_change_nothing() -> None:
    """Answers that arrive late, out of order or for an earlier incarnation must not change the account."""
    ledger, first_account = Ledger({"audits": 100}), account("a")
    first, _ = ledger.handle_request(first_account.request_tokens(10), 1)
    second, _ = ledger.handle_request(first_account.request_tokens(25), 1)
    assert first is not None and second is not None
    first_account.apply_grant(second)
    first_account.apply_grant(first)
    first_account.apply_grant(replace(second, incarnation="0", granted=90))
    assert first_account.available() == 25


def test_what_comes_back_is_counted_once_and_no_more_than_was_granted() -> None:
    """A repeated or excessive return must not credit the ledger more than once or beyond the grant."""
    ledger, first_account = Ledger({"audits": 100}), account("a")
    answer, _ = ledger.handle_request(first_account.request_tokens(60), 1)
    assert answer is not None
    first_account.apply_grant(answer)
    assert first_account.reserve(20)
    returned = first_account.handle_recall(Recall("audits", 1))
    assert returned is not None and returned.returned == 40 and first_account.available() == 0
    for _ in range(3):
        ledger.handle_request(returned, 1)
    assert left(ledger) == 80
    ledger.handle_request(replace(returned, returned=500), 1)
    assert left(ledger) == 100  # capped at what the replica was granted


def test_more_than_is_needed_is_granted_only_while_there_is_plenty() -> None:
    """Extra tokens are limited to a share of the remainder, so that one replica can't take all of them."""
    ledger = Ledger({"audits": 1_000})
    assert grant(ledger, account("a").request_tokens(0, 900), 10) == 1_000 // (SURPLUS_DIVISOR * 10)
    assert grant(ledger, account("b").request_tokens(500, 900), 10) == 500 + 475 // (SURPLUS_DIVISOR * 10)


def test_tokens_that_others_do_not_need_are_recalled_where_one_lacks_them() -> None:
    """Unreserved tokens of one replica are recalled for another; once all are spent there is no recall."""
    ledger, first_account, second_account = Ledger({"audits": 100}), account("a"), account("b")
    answer, _ = ledger.handle_request(first_account.request_tokens(80), 2)
    assert answer is not None
    first_account.apply_grant(answer)
    assert first_account.reserve(10)
    _, recall = ledger.handle_request(second_account.request_tokens(50), 2)
    assert recall == Recall("audits", 1)
    returned = first_account.handle_recall(recall)
    assert returned is not None
    ledger.handle_request(returned, 2)
    answer, _ = ledger.handle_request(second_account.request_tokens(50), 2)
    assert answer is not None and answer.granted == 50
    second_account.apply_grant(answer)
    first_account.settle(10, 10, 1)
    ledger.handle_request(first_account.request_tokens(0), 2)
    answer, _ = ledger.handle_request(second_account.request_tokens(40), 2)
    assert answer is not None
    second_account.apply_grant(answer)
    assert second_account.reserve(90)
    second_account.settle(90, 90, 1)
    answer, recall = ledger.handle_request(second_account.request_tokens(1), 2)
    assert (
        answer is not None and answer.granted == 90 and recall is None
    )  # no replica has unspent tokens to recall


def test_a_life_that_is_over_keeps_what_it_was_granted() -> None:
    """Tokens of an earlier incarnation stay charged: it is unknown how many of them it spent."""
    ledger = Ledger({"audits": 100})
    grant(ledger, account("a", "1").request_tokens(30))
    grant(ledger, account("a", "2").request_tokens(20))
    assert left(ledger) == 50


def test_an_allowance_that_is_cut_in_mid_window_grants_nothing_more_and_one_that_grows_does() -> None:
    ledger, first_account = Ledger({"audits": 100}), account("a")
    grant(ledger, first_account.request_tokens(60))
    ledger.set_allowances({"audits": 50, "tags": 7})
    assert left(ledger) == -10 and grant(ledger, account("b").request_tokens(1)) == 0
    ledger.set_allowances({"audits": 80})
    assert grant(ledger, account("b").request_tokens(20)) == 20 and ledger.tenant("tags") is None
    assert ledger.handle_request(replace(first_account.request_tokens(1), tenant="tags"), 1) == (None, None)


def test_a_window_begins_with_the_whole_and_what_runs_across_is_paid_in_the_one_before() -> None:
    ledger, first_account = Ledger({"audits": 100}), account("a")
    answer, _ = ledger.handle_request(first_account.request_tokens(90), 1)
    assert answer is not None
    first_account.apply_grant(answer)
    assert first_account.reserve(90)
    ledger.begin_window("audits")
    answer, _ = ledger.handle_request(first_account.request_tokens(50), 1)
    assert (
        answer is not None and answer.granted == 0
    )  # the request was for the old window; the answer opens the new one
    first_account.apply_grant(answer)
    first_account.settle(90, 40, 1)
    assert first_account.available() == 0 and first_account.window == 2
    answer, _ = ledger.handle_request(first_account.request_tokens(50), 1)
    assert answer is not None
    first_account.apply_grant(answer)
    assert first_account.available() == 50 and left(ledger) == 50


def test_an_ask_of_a_window_that_nobody_has_begun_is_no_ask() -> None:
    """A request for a window that the ledger has not opened gets no answer."""
    assert Ledger({"audits": 9}).handle_request(replace(account("a").request_tokens(1), window=3), 1) == (
        None,
        None,
    )


def test_the_ledger_goes_on_from_what_was_written() -> None:
    """A ledger restored from its replicated state continues with the same grants."""
    ledger = Ledger({"audits": 100, "tags": 5})
    grant(ledger, account("a").request_tokens(30))
    again = Ledger.from_state(ledger.state())
    assert again.state() == ledger.state() and left(again) == 70


@pytest.mark.parametrize("seed", [1, 2])
def test_a_week_stops_every_tenant_at_the_same_point_on_every_replica(seed: int) -> None:
    """Simulates a week with faults: no tenant exceeds its allowance, and all replicas stop it alike."""
    week = Week(tenants=4, replicas=6, requests=400, seed=seed)
    figures = week.simulate()
    assert figures.faults >= 21 and figures.wrong_calm == 0
    for name, tokens in week.tokens.items():
        assert week.consumed[name] <= tokens
        stops = [r.consumed_at_refusal[name] / tokens for r in week.replicas if name in r.consumed_at_refusal]
        assert not stops or max(stops) - min(stops) < 0.02
    assert figures.refused > 0
    assert figures.at_once >= 0.9 * (figures.requests - figures.refused)
