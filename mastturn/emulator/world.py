"""Simulates one day with all its machines, balancers, server lists, network and clients."""

from __future__ import annotations

from typing import Any

from mastturn.emulator.calls import Attempt, Loss
from mastturn.emulator.chance import Stream, generator
from mastturn.emulator.clients import Clients
from mastturn.emulator.contract import BoxState, ContractViolation, Version
from mastturn.emulator.day import Day, Machine
from mastturn.emulator.discovery import Entry, Phase, Registry
from mastturn.emulator.events import START_MS, Events
from mastturn.emulator.front import Front, Restarts
from mastturn.emulator.host import Balancer
from mastturn.emulator.judge import Judge
from mastturn.emulator.machine import Box
from mastturn.emulator.network import Network
from mastturn.emulator.record import DayResult, Mark, Recorder
from mastturn.emulator.troubles import Trouble, plan, rate_windows
from mastturn.emulator.visit import Visit
from mastturn.emulator.watch import Trace

COLD_SHARE = 2.0 / 3.0  # of the work, from informed balancers: an overload then violates the rule (WIRE)
RESET_WAIT_MS = 20.0  # mean time until a connection reset takes effect
# Attempt noise comes from a table indexed by request, so that it is the same for every version.
NOISES, MIN_NOISE = 8_191, 0.2


class World:
    """The simulation of one day; an instance runs once."""

    def __init__(
        self, day: Day, troubles: tuple[Trouble, ...], version: Version, trace: Trace | None = None
    ) -> None:
        self.day, self.version, self.trace = day, version, trace
        self.events = Events()
        self.judge = Judge(len(day.tiers))
        self.network = Network(day.network, Stream(day.seed, "network"))
        self.marks: list[Mark] = []
        self._numbers = 0
        self._noise = generator(day.seed, "attempt work").standard_normal(NOISES).tolist()
        self._fault_rng = Stream(day.seed, "faults")
        self._members: dict[Entry, Any] = {}
        self.fallen = 0
        self.boxes: dict[str, Box] = {}
        self.registries = [
            Registry(day.discovery, self.events, Stream(day.seed, "discovery", t))
            for t in range(len(day.tiers))
        ]
        self.balancers: list[list[Balancer]] = [[] for _ in day.tiers]
        self._recorder = Recorder(self.events, self.boxes, self.balancers, self.marks)
        self._settings: list[Any] = []
        self._build()
        self.front = Front(self.balancers[0], day.fleet.uneven, Stream(day.seed, "front"))
        self.clients = Clients(self, rate_windows(self, troubles))
        notice = Stream(day.seed, "front notice")
        self.restarts = Restarts(self.front, self.events, day.network.front_notice_ms, notice)
        plan(self, troubles)

    # ---- building --------------------------------------------------------------------------------

    def _build(self) -> None:
        day = self.day
        for tier, machines in enumerate(day.machines):
            for machine in machines:
                self.boxes[machine.name] = Box(machine, day.tiers[tier], self.events, day.seed)
            self.registries[tier].set_initial_entries(
                [Entry(m.name, Phase.READY, m.zone, m.cell) for m in machines]
            )
        zones = day.network.zones
        for i in range(day.fleet.balancers_front):
            self.balancers[0].append(Balancer(self, 0, i, zones[i % len(zones)], self.registries[0]))
        for box in list(self.boxes.values()):
            self._add_local_balancer(box)
        counts = [len(balancers) for balancers in self.balancers]
        seen = [max(round(count * day.fleet.seen), 1) for count in counts]
        self._settings = [self.version.settings(day, t, seen[t]) for t in range(len(day.tiers))]

    def _add_local_balancer(self, box: Box) -> None:
        tier = box.number + 1
        if tier < len(self.day.tiers):
            box.local_balancer = Balancer(
                self, tier, len(self.balancers[tier]), box.zone, self.registries[tier]
            )
            self.balancers[tier].append(box.local_balancer)

    def settings(self, tier: int) -> Any:
        """Return the settings of an instance that calls a tier."""
        return self._settings[tier]

    def module_seed(self, tier: int, number: int, life: int) -> int:
        """Return the seed of an instance; each start has a new one."""
        return int(generator(self.day.seed, "module", tier, number, life).integers(2**52))

    def member(self, entry: Entry) -> Any:
        """Convert a list entry to the module's contract type."""
        known = self._members.get(entry)
        if known is None:
            interface = self.version.interface
            known = self._members[entry] = interface.Member(
                entry.server,
                interface.Readiness[entry.phase.name],
                entry.zone,
                entry.cell,
                1.0,
                entry.up_since_ms,
            )
        return known

    def truth(self, server: str) -> BoxState:
        """Return the true state of a box, for the oracle baselines."""
        box = self.boxes[server]
        power = box.power() * (1.0 - box.taken) / (box.slower * box.choke.factor())
        return BoxState(box.running, box.held, power, box.up and not box.draining and not box.fallen)

    def next_number(self) -> int:
        """Return a unique request number."""
        self._numbers += 1
        return self._numbers

    # ---- run ---------------------------------------------------------------------------------

    def play(self) -> DayResult:
        """Run the day, then continue until all requests are answered."""
        fault = None
        try:
            for balancers in self.balancers:
                for balancer in balancers:
                    balancer.start()
            for box in self.boxes.values():
                if box.pause_ms > 0 or box.pause_every_ms > 0:
                    box.plan_pause()
            self.clients.begin()
            self._recorder.begin()
            longest = max(c.deadline_ms for c in self.day.classes) + self.day.site.rules.answer_slack_ms
            self.events.run(START_MS + self.day.fleet.length_ms + longest)
        except ContractViolation as error:
            fault = str(error)
        return self._recorder.played(self.day, self.judge, self.fallen, fault)

    # ---- requests at boxes -----------------------------------------------------------------------

    def deliver_request(self, attempt: Attempt) -> bool:
        """Deliver a complete request to its box; return whether the box rejects it."""
        box, client_request, tier = attempt.box, attempt.call.client_request, attempt.box.tier
        client_request.received += 1
        noise = self._noise[(client_request.number * 61 + client_request.received * 17 + box.number) % NOISES]
        share = tier.work_share * max(1.0 + client_request.cls.attempt_noise * noise, MIN_NOISE)
        work = client_request.work_ms * share
        if box.budget is not None and not box.fallen:
            informed = attempt.call.balancer.is_start_known(box)
            if box.budget.add_work(work, informed, box.power(), self.events.now):
                self._overload_box(box)
                self.events.after(RESET_WAIT_MS, attempt.call.balancer.on_box_reset, attempt)
                return False
        last = box.number + 1 >= len(self.day.tiers)
        calls = 0 if last else client_request.calls[box.number]
        visit = Visit(self, attempt, work, client_request.cls.wait_ms * share, calls)
        if attempt.handshake:
            visit.extra_ms = tier.handshake_work_ms
        attempt.visit = visit
        if box.admit(visit):
            if self.trace is not None:
                self.trace.add_line(
                    self.events.now,
                    client_request,
                    "",
                    box.name,
                    f"request {attempt.call.number} at the box,"
                    f" {box.running} on {box.parameters.cores} cores, {len(box.waiting)} wait",
                )
            return False
        attempt.visit = None
        return True

    def deliver_response(self, attempt: Attempt, visit: Visit, served: bool, loss: Loss | None) -> None:
        """Send a box's response to its balancer; the network may lose it."""
        balancer, box = attempt.call.balancer, attempt.box
        if self.trace is not None:
            self.trace.add_line(
                self.events.now,
                attempt.call.client_request,
                "",
                box.name,
                f"request {attempt.call.number} {'answered' if served else 'failed'}",
            )
        if attempt.over or balancer.life != attempt.life:
            return
        if self.network.is_cut(balancer.zone, box.zone) or self.network.loses_answer():
            return
        one_way_ms = self.network.delay_ms(balancer.zone, box.zone)
        self.events.after(
            one_way_ms, balancer.on_response, (attempt, served, loss, box.report(), visit.useful_ms)
        )

    def reset_wait_ms(self) -> float:
        """Return the time until the connection of a request is reset."""
        return 2 * RESET_WAIT_MS * self._fault_rng.uniform()

    # ---- box lifecycle ----------------------------------------------------------------------

    def _entry(self, box: Box, phase: Phase) -> Entry:
        parameters: Machine = box.parameters
        since = max(box.started_ms, 0.0)
        return Entry(box.name, phase, parameters.zone, parameters.cell, since)

    def _end_process(self, box: Box, silent: bool) -> None:
        died = box.stop(silent)
        if box.local_balancer is not None and box.local_balancer.alive:
            box.local_balancer.stop()
        if silent:
            return
        for visit in died:
            attempt = visit.attempt
            if not attempt.over:
                one_way_ms = self.network.delay_ms(attempt.call.balancer.zone, box.zone)
                if not attempt.call.balancer.is_cut_from(box):
                    self.events.after(one_way_ms, attempt.call.balancer.on_box_reset, attempt)

    def _overload_box(self, box: Box) -> None:
        """Take a cold, overloaded box out of service for good."""
        assert box.budget is not None
        self.fallen += 1
        if box.budget.informed_share() >= COLD_SHARE:
            self.judge.record_violation(
                "cold", f"{box.name} was overloaded after its start at {box.started_ms - START_MS:.0f} ms"
            )
        self._end_process(box, silent=False)
        box.fallen = True
        self.registries[box.number].report_change(self._entry(box, Phase.GONE), self.day.discovery.notice_ms)

    def vanish_box(self, box: Box) -> None:
        """Stop a machine silently: connections are not reset."""
        if box.up:
            self._end_process(box, silent=True)
            self.registries[box.number].report_change(
                self._entry(box, Phase.GONE), self.day.discovery.silent_notice_ms
            )

    def drain_box(self, box: Box) -> None:
        """Drain a box: it completes its requests and rejects new ones."""
        if box.up:
            box.draining = True
            self.registries[box.number].report_change(
                self._entry(box, Phase.DRAINING), self.day.discovery.add_ms
            )

    def stop_box(self, box: Box) -> None:
        """Stop a box's process: connections are reset, new ones refused."""
        if box.up:
            self._end_process(box, silent=False)
            self.registries[box.number].report_change(
                self._entry(box, Phase.GONE), self.day.discovery.notice_ms
            )

    def start_box(self, box: Box) -> None:
        """Start a cold process on the same machine, with a new local balancer."""
        if box.up or box.fallen:
            return
        rules = self.day.site.rules
        box.start(rules.fall_multiple, rules.fall_ms)
        if box.local_balancer is not None:
            box.local_balancer.start()
        self.registries[box.number].report_change(self._entry(box, Phase.READY), self.day.discovery.add_ms)

    def replace_box(self, box: Box) -> None:
        """Replace a box by a new machine with a new name."""
        old = box.parameters
        count = sum(1 for name in self.boxes if name.startswith(f"{old.name}-new"))
        values = {name: getattr(old, name) for name in old.__dataclass_fields__}
        machine = Machine(**(values | {"name": f"{old.name}-new{count}"}))
        new = Box(machine, box.tier, self.events, self.day.seed)
        new.up = False
        self.boxes[machine.name] = new
        self._add_local_balancer(new)
        if new.pause_ms > 0:
            new.plan_pause()
        self.start_box(new)


def play(day: Day, troubles: tuple[Trouble, ...], version: Version, trace: Trace | None = None) -> DayResult:
    """Run one day with one version of the module."""
    return World(day, troubles, version, trace).play()
