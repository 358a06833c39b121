"""Short stalls of a process don't cost it the lead, while a dead leader is replaced as quickly as ever.

On a machine with several times more load than CPU, a primary without CPU time for 0.6 s was considered dead,
and the leader changed again and again.
"""

from __future__ import annotations

import pytest

from consensus.awake_clock import MAX_STALL_MS, AwakeClock
from consensus.effects import Lead
from consensus.failure_detector import BUCKET_MS, MAX_TIMEOUT_MS, RETENTION_MS, FailureDetector
from mastturn.control_check.history import play_all
from mastturn.control_check.machine import Machine
from mastturn.control_check.network import LinkProfile
from mastturn.control_check.shape import Shape
from mastturn.control_check.world import World

BEAT_MS, USUAL_MS = 150.0, 600.0
QUIET = LinkProfile(slow_share=0.0, lost_share=0.0, repeated_share=0.0)


class LeaderDeath:
    """A group without load whose leader is killed at a time drawn from the seed."""

    def __init__(self, machines: int, seed: int) -> None:
        shape = Shape(machines, (machines - 1) // 2, length_ms=9_000.0, air=QUIET)
        self.world = World(shape, seed)
        self.killed_at = self.led_at = 0.0
        self.world.leads = self._leads  # type: ignore[method-assign]

    def takeover_ms(self) -> float:
        """Returns the time from the kill until another process leads."""
        self.world.begin()
        self.world.later(6_000.0 + self.world.rng.uniform(0, 1_000), self._kill)
        self.world.run(self.world.shape.length_ms)
        return self.led_at - self.killed_at

    def _kill(self) -> None:
        primary = self.world.primary()
        assert primary is not None
        self.killed_at = self.world.now
        primary.end(power=False)

    def _leads(self, machine: Machine, effect: Lead) -> None:
        if self.killed_at and not self.led_at and effect.view is not None:
            self.led_at = self.world.now


@pytest.mark.parametrize("machines", [3, 5])
def test_a_leader_that_dies_on_a_quiet_machine_is_replaced_within_800_ms(machines: int) -> None:
    takeover_times = sorted(LeaderDeath(machines, seed).takeover_ms() for seed in range(100))
    assert takeover_times[0] > 0 and takeover_times[98] < 800.0


@pytest.mark.parametrize(("machines", "most"), [(3, 8), (5, 11)])
def test_processes_that_stand_still_again_and_again_keep_their_leader(machines: int, most: int) -> None:
    """Stalls of 0.1 to 2 s, five seconds apart.

    With a fixed timeout of 0.6 s the leader changed 58 times, and 63 times with five machines.
    """
    shape = Shape(machines, (machines - 1) // 2, stalls=True, length_ms=300_000.0)
    histories = play_all(shape, range(3))
    assert [h.broken for h in histories if h.broken] == []
    assert sum(h.leaders for h in histories) <= most
    assert all(h.acknowledged > 300 for h in histories)


def test_a_clock_leaves_short_stalls_out_and_tells_them_and_counts_long_ones() -> None:
    stalls: list[tuple[float, float]] = []
    clock = AwakeClock(lambda stall_ms, now: stalls.append((stall_ms, now)))
    assert [clock.read(at) for at in (1_000.0, 1_030.0, 1_060.0)] == [1_000.0, 1_030.0, 1_060.0]
    assert clock.read(1_860.0) == 1_060.0 and stalls == [(800.0, 1_060.0)]
    assert clock.read(1_890.0) == 1_090.0
    assert clock.read(1_890.0 + MAX_STALL_MS + 1) == 1_090.0 + MAX_STALL_MS + 1
    assert len(stalls) == 1


def test_a_detector_follows_silences_that_come_again_up_to_a_bound_and_forgets_them() -> None:
    detector = FailureDetector(USUAL_MS, BEAT_MS)
    for beat in range(20):
        detector.on_heartbeat("i1 4", beat * BEAT_MS)
    assert detector.timeout_ms(3_000.0) == USUAL_MS
    detector.on_stall(900.0, 4_000.0)
    # A single stall may come from a machine that was stopped.
    assert detector.timeout_ms(4_000.0) == USUAL_MS
    detector.on_stall(850.0, 4_000.0 + BUCKET_MS)
    assert detector.timeout_ms(20_000.0) == pytest.approx(1.1 * (850.0 + BEAT_MS))
    for stall in range(3):
        detector.on_stall(9_000.0, 30_000.0 + stall * BUCKET_MS)
    assert detector.timeout_ms(60_000.0) == MAX_TIMEOUT_MS
    assert detector.timeout_ms(60_000.0 + RETENTION_MS) == USUAL_MS


def test_pauses_between_two_leaders_are_not_those_of_either() -> None:
    detector = FailureDetector(USUAL_MS, BEAT_MS)
    for span in range(3):
        now = span * BUCKET_MS
        detector.on_heartbeat(f"i1 {span}", now)
        detector.on_heartbeat(f"i2 {span}", now + 1_500.0)
    assert detector.timeout_ms(3 * BUCKET_MS) == USUAL_MS
