"""One history of the control state in simulated time: machines, network, operators, and what is measured."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import replace

from consensus.effects import Committed, Lead, Reply, Spec
from consensus.messages import Message
from consensus.primary import Command, Get
from consensus.replica import Replica
from consensus.spread import Spread
from consensus.views import DurableState, Member
from mastturn.control_check.liveness import Liveness
from mastturn.control_check.machine import Machine
from mastturn.control_check.network import Network
from mastturn.control_check.operators import Operator
from mastturn.control_check.rules import BrokenRuleError, Rules
from mastturn.control_check.shape import ReplicaFactory, Shape

SEED_LAG_MS = 3_000.0
SETTINGS_MS = 2_000.0  # a process looks for new settings so often


class World:
    """Runs events in their order; all chance comes from one seed."""

    def __init__(self, shape: Shape, seed: int, make: ReplicaFactory = Replica) -> None:
        self.shape, self.seed, self._make = shape, seed, make
        self.rng = random.Random(seed)
        spread = Spread(zones=1) if shape.zone_losses else Spread()
        self.spec = Spec(shape.machines, shape.losses + 1, spread=spread)
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.rules = Rules()
        self.network = Network(shape.air, self.rng, self.later, self._deliver)
        self.machines: dict[str, Machine] = {}  # by IP; those that are gone are out
        self._listed: list[tuple[float, tuple[str, ...]]] = []  # since when: the operators' list
        self.operators = [
            Operator(self, name, pause, shape.repeats) for name, pause in (("ann", 400.0), ("bob", 700.0))
        ]
        self._calls: dict[int, tuple[Operator | None, Command, float]] = {}
        self._identities = 0
        self.views = 0
        self.leader_changes = 0
        self._leader = (0, "")  # the latest epoch that was led, and by whom
        self.made = shape.machines + shape.spares  # machines, in all
        self.liveness = Liveness(self)
        self.on_acknowledged: Callable[[], None] | None = None
        self.handles_disk_errors = True
        self.story: list[str] | None = None  # kept on request

    # ---- time

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Call once the time has gone by."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call))

    def run(self, until: float) -> None:
        """Play up to a time; raises BrokenRuleError."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call = heapq.heappop(heap)
            call()
        self.now = until

    # ---- machines

    def begin(self) -> None:
        """All machines start on empty disks."""
        for index in range(self.made):
            self.add(f"core-{index}", f"10.0.{index}.1", f"zone-{index % 3}")
        ips = tuple(self.machines)
        self._listed = [(-1e9, ips)]
        for index, machine in enumerate(self.machines.values()):
            self.later(self.rng.uniform(0, 300), self._starter(machine, ips[:3], index == 0))
        for operator in self.operators:
            self.later(1_500.0 + self.rng.uniform(0, 300), operator.begin)
        self.liveness.begin(watches=not self.shape.storm)

    def _starter(self, machine: Machine, seeds: tuple[str, ...], founder: bool) -> Callable[[], None]:
        return lambda: machine.start(seeds, founder)

    def add(self, node: str, ip: str, zone: str) -> Machine:
        """A machine with an empty disk; it does not run yet."""
        machine = Machine(self, node, ip, zone, self.shape.sync_ms)
        machine.disk.wipe(self.identity())
        machine.handles_disk_errors = self.handles_disk_errors
        self.machines[ip] = machine
        self._list()
        return machine

    def next_ip(self) -> str:
        """The address of a machine to come."""
        self.made += 1
        return f"10.0.{self.made - 1}.1"

    def remove(self, ip: str) -> None:
        """A machine goes for good."""
        machine = self.machines.pop(ip)
        machine.end(power=True)
        self._list()

    def _list(self) -> None:
        self._listed.append((self.now, tuple(self.machines)))

    def seeds(self) -> tuple[str, ...]:
        """Three machines of the operators' list, which lags."""
        known = [ips for since, ips in self._listed if since <= self.now - SEED_LAG_MS]
        ips = list(known[-1] if known else self._listed[0][1])
        self.rng.shuffle(ips)
        return tuple(ips[:3])

    def restart(self, machine: Machine) -> None:
        """A process starts again, with the settings of this moment."""
        if self.machines.get(machine.ip) is machine and machine.replica is None:
            machine.start(self.seeds(), False)
            assert machine.replica is not None
            if self.shape.eager or self.shape.overlaps or self.shape.zone_losses:
                self.later(SETTINGS_MS, lambda: self._follow(machine))
            if not self.shape.spares:  # else somebody always waits
                self.liveness.on_process_started(machine)

    def identity(self) -> str:
        """A new one."""
        self._identities += 1
        return f"i{self._identities}"

    def make(
        self, me: Member, durable_state: DurableState, seeds: tuple[str, ...], founder: bool, seed: int
    ) -> Replica:
        """A process."""
        return self._make(me, durable_state, self.spec, seeds, founder, seed)

    def primary(self) -> Machine | None:
        """The machine that leads the latest view, if it runs."""
        found, epoch = None, 0
        for machine in self.machines.values():
            primary = machine.replica.primary if machine.replica is not None else None
            if primary is not None and primary.view.epoch > epoch:
                found, epoch = machine, primary.view.epoch
        return found

    def _follow(self, machine: Machine) -> None:
        """A process reads its settings now and then, which name other seeds by then."""
        replica, incarnation = machine.replica, machine.incarnation
        if replica is None:
            return
        machine.run(lambda: replica.set_seeds(self.seeds()))
        self.later(SETTINGS_MS, lambda: self._follow(machine) if machine.incarnation == incarnation else None)

    def is_member(self, machine: Machine) -> bool:
        """Whether a machine has a place in the view in force, and has accepted it."""
        leader = self.primary()
        if leader is None or machine.replica is None or machine.frozen:
            return False
        assert leader.replica is not None and leader.replica.primary is not None
        view = leader.replica.primary.view
        has_accepted = (
            machine.replica.durable_state.view == view and machine.replica.durable_state.slot() is not None
        )
        return has_accepted and view.extra_member() is None

    def log_event(self, what: str) -> None:
        """A line of the story."""
        if self.story is not None:
            self.story.append(f"{self.now:9.1f} {what}")

    def trouble(self, what: str, machine: Machine | None) -> None:
        """Something changes."""
        self.log_event(what)
        self.liveness.on_trouble(what.split()[0], machine)

    def acknowledged(self, operator: Operator) -> None:
        """An operator's change was acknowledged."""
        then, self.on_acknowledged = self.on_acknowledged, None
        if then is not None:
            self.later(self.rng.uniform(0.0, 5.0), then)
        self.liveness.acknowledged(operator)

    # ---- what the machines ask for

    def transmit(self, sender: str, ip: str, message: Message) -> None:
        """Bring a message to another machine."""
        if self.story is not None:
            self.log_event(f"{sender} -> {ip} {message}")
        self.network.transmit(sender, ip, message)

    def _deliver(self, sender: str, ip: str, message: Message) -> None:
        machine = self.machines.get(ip)
        if machine is not None:
            machine.deliver(sender, message)

    def committed(self, machine: Machine, effect: Committed) -> None:
        """A document stays."""
        self.log_event(f"{machine.ip} commits {effect.document.number} in {effect.epoch}")
        self.rules.committed(effect)

    def leads(self, machine: Machine, effect: Lead) -> None:
        """A process begins or ends to lead."""
        self.log_event(f"{machine.ip} leads {effect.view}")
        if effect.view is not None:
            self.views += 1
            leads = (effect.view.epoch, effect.view.leader().identity)
            self.rules.leads(*leads)
            self.leader_changes += bool(self._leader[1]) and leads[1] != self._leader[1]
            self._leader = max(self._leader, leads)

    def replied(self, machine: Machine, reply: Reply) -> None:
        """An operator's call has its answer, which travels."""
        operator, command, asked = self._calls.pop(reply.token, (None, None, 0.0))
        if command is None:
            raise BrokenRuleError("one answer", f"a second one for call {reply.token}")
        if operator is None:
            self.liveness.on_probe_reply(reply, asked)
            return
        replica = machine.replica
        # As the host tells callers: a leader that was not heard of a moment ago is nobody to go to.
        leader = replica.live_leader(machine.clock()) if replica is not None else None
        hint = leader.ip if leader is not None and leader.ip != machine.ip else ""
        self.log_event(f"{machine.ip} answers {operator.name} {reply.verdict} {command}")
        known, of = operator, command
        self.later(self.rng.uniform(2, 5), lambda: known.on_reply(reply, of, hint))

    # ---- operators and probes

    def call(self, operator: Operator, command: Command) -> None:
        """Bring a command to the machine that was named, or to any."""
        ips = list(self.machines)
        operator.tried += 1  # one after the other
        ip = operator.hint if operator.hint in self.machines else ips[operator.tried % len(ips)]
        self.later(self.rng.uniform(2, 5), lambda: self._submit(ip, command, operator))

    def ask(self, machine: Machine) -> None:
        """Bring a read to a machine, on behalf of nobody."""
        self._submit(machine.ip, Get(0), None)

    def _submit(self, ip: str, command: Command, operator: Operator | None) -> None:
        machine = self.machines.get(ip)
        if machine is None or machine.replica is None:
            return
        self._count += 1
        token, incarnation = self._count, machine.incarnation
        self._calls[token] = (operator, command, self.now)

        def call() -> None:
            if machine.replica is not None and machine.incarnation == incarnation:
                machine.replica.submit(replace(command, token=token), machine.clock())

        machine.run(call)
