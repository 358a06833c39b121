"""What has to happen within a time: somebody answers, and whoever has no slot gets one. It measures both."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from consensus.effects import Reply, Verdict
from mastturn.control_check.machine import Machine
from mastturn.control_check.network import Network
from mastturn.control_check.operators import Operator
from mastturn.control_check.rules import BrokenRuleError
from mastturn.control_check.shape import Takeover

DISK_TROUBLES = ("full", "hang", "slow")
PROBE_MS = 500.0
GAP_PROBE_MS = 20.0
ANSWER_MS = 3_000.0  # a majority that is calm for so long has a primary that answers
WAIT_MS = 1_000.0  # beyond it: so long an operator's call may take besides, with one machine lost
SLOT_MS = 4_000.0  # a process that is in touch has a slot within this
POLL_MS = 100.0


class MonitoredWorld(Protocol):
    """The world that is watched."""

    now: float
    machines: dict[str, Machine]
    network: Network

    @property
    def operators(self) -> Sequence[Operator]:
        """Who sends changes."""

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Call once the time has gone by."""

    def primary(self) -> Machine | None:
        """The machine that leads the latest view, if it runs."""

    def ask(self, machine: Machine) -> None:
        """Bring a read to a machine; `probed` hears of its answer."""


class Liveness:
    """The bounds of one history, and how long everything took."""

    def __init__(self, world: MonitoredWorld) -> None:
        self._world = world
        self.wait_ms = WAIT_MS
        self.calm_since = 0.0  # the last change of any trouble
        self.answered_at = 0.0  # when a question asked since then was last answered
        self.gaps: list[Takeover] = []
        self.slots_taken: list[float] = []
        self.healed: list[Takeover] = []  # from the return of a machine until it was a full member again
        self.is_disturbed = False  # more may be in trouble than is to be borne: nothing has to be answered
        self._open: tuple[str, float] | None = None  # a trouble of the primary that nobody has made up for
        self._open_write: tuple[str, float] | None = None  # a trouble of the primary's disk
        self._slotless: dict[str, tuple[float, int]] = {}  # ip: since when it runs without a slot, its life

    def begin(self, watches: bool) -> None:
        """Ask now and then; `watches`: hold the bounds."""
        self._world.later(2_000.0, self._probe)
        if watches:
            self._world.later(POLL_MS, self._watch)

    def on_trouble_changed(self) -> None:
        """A trouble has begun, changed or ended."""
        self.calm_since = self._world.now

    def on_process_started(self, machine: Machine) -> None:
        """A process runs from now on."""
        if machine.replica is not None and machine.replica.durable_state.slot() is None:
            self._slotless[machine.ip] = (self._world.now, machine.incarnation)

    def on_trouble(self, kind: str, machine: Machine | None) -> None:
        """A trouble begins; of what befalls the primary it is measured how long nobody answers."""
        self.on_trouble_changed()
        now, primary = self._world.now, self._world.primary()
        if self._open is not None:
            self._open = (f"{self._open[0]}+{kind}", self._open[1])
        elif machine is None or machine is primary:
            self._open = (kind, now)
            self._world.later(0.0, self._probe_gap)
        if kind in DISK_TROUBLES and machine is primary:
            self._open_write = (f"{kind}, write", now)
        elif self._open_write is not None:
            self._open_write = None  # two at once tell nothing of one

    def acknowledged(self, operator: Operator) -> None:
        """An operator's change was acknowledged."""
        if self._open_write is not None and operator.since >= self._open_write[1]:
            self.gaps.append(Takeover(self._open_write[0], self._world.now - operator.since))
            self._open_write = None

    # ---- probes

    def _probe(self) -> None:
        self._ask()
        self._world.later(PROBE_MS, self._probe)

    def _probe_gap(self) -> None:
        if self._open is None:
            return
        self._ask()
        self._world.later(GAP_PROBE_MS, self._probe_gap)

    def _ask(self) -> None:
        machine = self._world.primary()
        if machine is not None:
            self._world.ask(machine)

    def on_probe_reply(self, reply: Reply, asked: float) -> None:
        """A read that was asked then has its answer."""
        if reply.verdict is not Verdict.DONE:
            return
        self.answered_at = max(self.answered_at, asked)
        if self._open is not None and asked >= self._open[1]:
            trouble, since = self._open
            self._open = None
            self.gaps.append(Takeover(trouble, self._world.now - since))

    # ---- bounds

    def _watch(self) -> None:
        self._world.later(POLL_MS, self._watch)
        now = self._world.now
        if self.is_disturbed:
            self.calm_since = now
            self._slotless = {ip: (now, incarnation) for ip, (_, incarnation) in self._slotless.items()}
            return
        self._check_answers(max(self.calm_since, 1_000.0))
        for ip, (began, incarnation) in list(self._slotless.items()):
            self._check_slot(ip, began, incarnation)

    def _check_answers(self, since: float) -> None:
        now = self._world.now
        if now - since > ANSWER_MS and now - max(self.answered_at, since) > ANSWER_MS:
            raise BrokenRuleError("an answer", f"nobody has answered since {self.answered_at:.0f}")
        for operator in self._world.operators:
            waits = operator.is_waiting() and operator.since
            if waits and now - max(waits, since) > ANSWER_MS + self.wait_ms:
                raise BrokenRuleError("an answer", f"{operator.name} has waited since {waits:.0f}")

    def _check_slot(self, ip: str, began: float, incarnation: int) -> None:
        now, machine = self._world.now, self._world.machines.get(ip)
        if machine is None or machine.replica is None or machine.incarnation != incarnation or machine.frozen:
            del self._slotless[ip]
        elif machine.replica.durable_state.slot() is not None:
            self.slots_taken.append(now - began)
            del self._slotless[ip]
        elif self._is_apart(ip) or not self._reaches_a_seed(machine):
            self._slotless[ip] = (now, incarnation)
        elif now - max(began, self.calm_since) > SLOT_MS:
            raise BrokenRuleError("a slot", f"{ip} has none since {began:.0f}")

    def _is_apart(self, ip: str) -> bool:
        """Whether a machine and the primary can't speak to each other."""
        primary, cuts = self._world.primary(), self._world.network.cuts
        return primary is not None and ((ip, primary.ip) in cuts or (primary.ip, ip) in cuts)

    def _reaches_a_seed(self, machine: Machine) -> bool:
        """Whether one of the seeds that a process knows is in touch with it: they are all that it is told."""
        assert machine.replica is not None
        return any(self._are_in_touch(machine.ip, seed) for seed in machine.replica.seeds())

    def _are_in_touch(self, ip: str, other: str) -> bool:
        """Whether another machine is there, runs, and both hear one another."""
        there, cuts = self._world.machines.get(other), self._world.network.cuts
        runs = there is not None and there.replica is not None and not there.frozen
        return runs and (ip, other) not in cuts and (other, ip) not in cuts
