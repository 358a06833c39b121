"""Simulated list service: delivery of changes to every agent, convergence under loss, reproducibility."""

from __future__ import annotations

from mastturn.emulator.listing import Setup, play


def test_without_loss_every_change_reaches_every_agent_and_the_day_can_be_played_again() -> None:
    setup = Setup(agents=40, entries=20, rate_per_s=10.0, seconds=4.0)
    first, second = play(setup), play(setup)
    assert first == second
    assert len(first.waits_ms) == 40 * 40 and first.missing == 0 and first.differing == 0
    assert min(first.waits_ms) > 0.0 and max(first.waits_ms) < 100.0


def test_with_lost_messages_lists_come_together_all_the_same() -> None:
    outcome = play(Setup(agents=40, entries=20, rate_per_s=10.0, seconds=4.0, loss=0.05))
    assert outcome.differing == 0
    assert outcome.missing < len(outcome.waits_ms)


def test_idle_agents_ask_a_few_times_in_a_watch_and_no_more() -> None:
    outcome = play(Setup(agents=100, entries=20, rate_per_s=0.1, seconds=10.0))
    requests_per_agent = outcome.messages["questions of agents"] / 100
    assert (
        requests_per_agent < 30.0 / 2.4 + 4
    )  # 30 s of watches of 2.4 to 4 s, one change, and the first list
