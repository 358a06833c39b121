"""One day of a hollow fleet, phase by phase, and what each role sent, heard and spent in each."""

from __future__ import annotations

import asyncio
import gc
import statistics
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

from mastturn.capacity.clockwork import Program, Tally
from mastturn.capacity.fleet import Fleet, Machine, play
from mastturn.capacity.shapes import BUDGET, Shape, list_entry
from mastturn.capacity.sources import REFERENCE_NS
from mastturn.capacity.traffic import Traffic

BOOT_GAP_S = 0.3  # all machines start within this
QUIET_S = 2.0  # at least: rolls are called once a second
IDLE_S = 10.0  # 55 beats: the work of one is a tenth of a millisecond
WARM_S = 1.0  # of traffic at the most before it is measured
WRONG_LOOKS = 8  # in the busy phase
DOWN_S = 5.0  # of the one that is killed: members are told that it has gone, and that it is back
SETTLED_S = 4.0  # after the last balancer is configured the tree has its shape
Figures = dict[str, Any]


def resident_mb() -> float:
    """Memory of this process, in MB."""
    for line in Path("/proc/self/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def role_of(fleet: Fleet, machine: Machine) -> str:
    """What a program does at the moment, in standard words."""
    if machine.settings.machine_class == "core":
        replica = machine.role._replica
        if machine.role.is_leader():
            return "primary"
        view = replica.acceptor.latest_view
        slot = view.slot_of(replica.me.identity) if view is not None else None
        if slot is None:
            return "newcomer"
        return "backup" if slot in view.holders else "witness"
    if not fleet.children(machine):
        return "leaf"
    relay = fleet.follower(machine).parent()
    return (
        "head" if relay is not None and relay.ip in {m.program.ip for m in fleet.cores.values()} else "relay"
    )


class Meter:
    """Clears all tallies, and sums them up by role at the end of a phase."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._since = 0.0
        self.begin()

    def begin(self) -> None:
        """A phase begins; garbage of all programs together is no cost of one of them."""
        gc.collect()
        self._since = self._fleet.loop.time()
        for machine in [*self._fleet.cores.values(), *self._fleet.edges.values()]:
            machine.program.tally = Tally()

    def end(self) -> Figures:
        """What each role did since then: totals of the phase, the mean over its programs and the most."""
        seconds = self._fleet.loop.time() - self._since
        groups: dict[str, list[Machine]] = {}
        for machine in [*self._fleet.cores.values(), *self._fleet.edges.values()]:
            if not machine.program.is_dead and machine.role is not None:
                groups.setdefault(role_of(self._fleet, machine), []).append(machine)
        return {
            "seconds": round(seconds, 4),
            "behind_s": round(self._fleet.lag(), 3),
            "spin_ns": REFERENCE_NS,  # processor time is told as on a quiet core
            "roles": {name: self._sum(machines) for name, machines in sorted(groups.items())},
        }

    def _sum(self, machines: list[Machine]) -> Figures:
        programs = [m.program for m in machines]
        found: Figures = {"programs": len(machines), "children": self._children(machines)}
        for what in ("sent", "sent_bytes", "got", "got_bytes", "cpu"):
            found[what] = _mean([getattr(p.tally, what) for p in programs])
        for what in ("sent_bytes", "got_bytes", "cpu"):
            found[f"most_{what}"] = round(max(_total(p, what) for p in programs), 6)
        return found

    def _children(self, machines: list[Machine]) -> float:
        return round(statistics.fmean(self._fleet.children(m) for m in machines), 2)


def _total(program: Program, what: str) -> float:
    return float(sum(getattr(program.tally, what).values()))


def _mean(counters: Sequence[Mapping[str, float]]) -> dict[str, float]:
    total: defaultdict[str, float] = defaultdict(float)
    for counter in counters:
        for key, value in counter.items():
            total[key] += value
    return {key: round(value / len(counters), 7) for key, value in sorted(total.items())}


def spread(values: list[float]) -> Figures:
    """Median, 95%, 99% and the most, in seconds."""
    ordered = sorted(values)
    if not ordered:
        return {"n": 0}
    at = [ordered[min(int(len(ordered) * share), len(ordered) - 1)] for share in (0.5, 0.95, 0.99)]
    return {"n": len(ordered), "p50": at[0], "p95": at[1], "p99": at[2], "most": ordered[-1]}


def _is_in_force(fleet: Fleet, ver: int) -> bool:
    return all(ver in fleet.plane(m).in_force_at for m in fleet.live())


def _is_listed(fleet: Fleet, before: dict[str, int]) -> bool:
    return all(fleet.plane(m).lists > before[m.program.name] for m in fleet.live())


class Day:
    """Plays the phases on one fleet."""

    def __init__(self, shape: Shape, seconds: float, seed: int, calm: bool = False) -> None:
        """`seconds`: of the busy phase, and of the quiet one if that is more; `calm`: no traffic comes."""
        self._shape, self._seconds, self._seed, self._calm = shape, seconds, seed, calm
        self.figures: Figures = {"shape": asdict(shape), "phases": {}}

    async def __call__(self, fleet: Fleet) -> None:
        """All phases."""
        empty = resident_mb()
        await self.boot(fleet)
        gc.collect()
        gc.freeze()
        gc.disable()
        self.figures["memory_mb_a_balancer"] = (resident_mb() - empty) / self._shape.balancers
        await self._phase(fleet, "quiet", self._quiet)
        await self._phase(fleet, "idle", self._idle)
        await self._phase(fleet, "configuration", self._configuration)
        await self._phase(fleet, "list", self._list)
        await self._phase(fleet, "restart", self._restart)
        if not self._calm:
            await self._peak(fleet)
        gc.enable()
        self.figures["faults"] = fleet.loop.faults[:5]

    async def _peak(self, fleet: Fleet) -> None:
        traffic = Traffic(fleet, self._seed)
        share = self._shape.balancers / 350
        traffic.start(self._shape.requests_s * share)
        await asyncio.sleep(min(WARM_S, self._seconds))
        await self._phase(fleet, "busy", lambda fleet: self._busy(fleet, traffic))
        await self._phase(fleet, "busy configuration", self._busy_configuration)
        traffic.stop()

    async def _phase(self, fleet: Fleet, name: str, work: Callable[[Fleet], Any]) -> None:
        meter = Meter(fleet)
        more = await work(fleet)
        self.figures["phases"][name] = meter.end() | (more or {})

    # ---- phases

    async def boot(self, fleet: Fleet) -> None:
        """Everything starts together; until the tree stands, and a little longer."""
        shape = self._shape
        for i in range(shape.cores):
            fleet.boot_core(i, first=True)
        await fleet.until(fleet.has_primary, 20.0, "a primary")
        await fleet.put(shape.routes)
        meter, began = Meter(fleet), fleet.loop.time()
        for i in range(shape.balancers):
            fleet.boot_edge(i)
            await asyncio.sleep(BOOT_GAP_S / shape.balancers)

        def are_ready() -> bool:
            machines = fleet.live()
            return len(machines) == shape.balancers and all(fleet.plane(m).is_ready() for m in machines)

        await fleet.until(are_ready, 240.0, "all balancers are ready")
        ready = fleet.loop.time() - began

        def stands() -> bool:
            return sum(fleet.children(m) for m in fleet.live()) >= shape.balancers - min(
                shape.zones, shape.balancers
            )

        await fleet.until(stands, 240.0, "the tree stands")
        stood = fleet.loop.time() - began
        self.figures["phases"]["boot"] = meter.end() | {"ready_s": ready, "tree_s": stood}
        await asyncio.sleep(SETTLED_S)

    async def _quiet(self, fleet: Fleet) -> None:
        await asyncio.sleep(max(self._seconds, QUIET_S))

    async def _idle(self, fleet: Fleet) -> None:
        """The processes that hear nothing of the fleet's size, each piece of their work with empty caches.

        In one process with all others the same work costs them more the more there are, up to a bound.
        """
        idle = [m for m in fleet.cores.values() if not m.role.is_leader()]
        for machine in idle:
            machine.program.is_cold = True
        await asyncio.sleep(IDLE_S)
        for machine in idle:
            machine.program.is_cold = False

    async def _busy(self, fleet: Fleet, traffic: Traffic) -> Figures:
        """The peak; how far off balancers are about each other's work is looked at now and then."""
        looks = []
        for _ in range(WRONG_LOOKS):
            await asyncio.sleep(self._seconds / WRONG_LOOKS)
            looks.append(traffic.wrong())
        late = looks[WRONG_LOOKS // 2 :]  # the sums have been told whole by then
        return {"wrong": {part: statistics.fmean(look[part] for look in late) for part in late[0]}}

    async def _configuration(self, fleet: Fleet) -> Figures:
        """Changes one after the other, each given time to be in force everywhere."""
        waits, last, acknowledged = [], [], []
        for _ in range(3):
            began = fleet.loop.time()
            ver, at = await fleet.put(self._shape.routes)
            acknowledged.append(at - began)
            await fleet.until(partial(_is_in_force, fleet, ver), 120.0, "in force everywhere")
            took = [fleet.plane(m).in_force_at[ver] - at for m in fleet.live()]
            waits += took
            last.append(max(took))
            await asyncio.sleep(0.5)
        return {"changes": 3, "in_force_s": spread(waits), "all_s": last, "acknowledged_s": acknowledged}

    async def _busy_configuration(self, fleet: Fleet) -> Figures:
        """One change while the traffic is at its peak; what is not in force within the bound is counted."""
        began = fleet.loop.time()
        try:
            async with asyncio.timeout(BUDGET.in_force_s):
                ver, at = await fleet.put(self._shape.routes)
        except TimeoutError:
            return {"acknowledged_s": None, "in_force_s": {"n": 0}, "missing": len(fleet.live())}
        while fleet.loop.time() - at < BUDGET.in_force_s:
            if _is_in_force(fleet, ver):
                break
            await asyncio.sleep(0.01)
        took = [t - at for m in fleet.live() if (t := fleet.plane(m).in_force_at.get(ver)) is not None]
        missing = len(fleet.live()) - len(took)
        return {"acknowledged_s": at - began, "in_force_s": spread(took), "missing": missing}

    async def _list(self, fleet: Fleet) -> Figures:
        """Entries change one at a time; from the platform's change to the last balancer."""
        waits = []
        for number in range(3):
            before = {m.program.name: fleet.plane(m).lists for m in fleet.live()}
            entry = list_entry(number, self._shape)
            entry["state"] = "draining"
            fleet.platform.entries[number] = entry
            began = fleet.loop.time()
            await fleet.until(partial(_is_listed, fleet, before), 120.0, "the list is in force everywhere")
            waits.append(fleet.loop.time() - began)
        return {"changes": 3, "all_s": waits}

    async def _restart(self, fleet: Fleet) -> Figures:
        """One relay is killed and comes back: what that makes the others do."""
        victim = next(
            m for m in fleet.live() if role_of(fleet, m) in ("relay", "head", "leaf") and fleet.children(m)
        )
        number = list(fleet.edges).index(victim.program.name)
        victim.program.kill()
        began = fleet.loop.time()
        await asyncio.sleep(DOWN_S)
        machine = fleet.boot_edge(number)
        await fleet.until(
            lambda: machine.role is not None and fleet.plane(machine).is_ready(), 120.0, "it is ready again"
        )
        ready = fleet.loop.time() - began - DOWN_S
        await asyncio.sleep(4.0)
        return {"restarts": 1, "ready_s": ready}


def run_day(
    shape: Shape, seconds: float, charge: float, mbps: float, seed: int, calm: bool = False
) -> Figures:
    """Play a day; its figures."""
    day = Day(shape, seconds, seed, calm)
    fleet = play(shape, day, charge, mbps)
    calls = [at for at in fleet.platform.calls]
    return day.figures | {
        "charge": charge,
        "mbps": mbps,
        "seed": seed,
        "list_calls": len(calls),
        "list_calls_turned_away": fleet.platform.turned_away,
        "list_calls_most_in_a_second": max(
            (sum(1 for t in calls[i : i + 400] if t < at + 1.0) for i, at in enumerate(calls)), default=0
        ),
    }
