"""What control would cost a balancer at the target, by what it hears, against the operators' budget."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from dissemination.load_steps import FIGURE_BYTES, STEP_BYTES
from dissemination.loads import REPORT_INTERVAL_S
from dissemination.relay_tree import DEGREE
from mastturn.capacity.foreseen import steps_down
from mastturn.capacity.shapes import BUDGET, TARGET
from mastturn.capacity.slopes import Line, fit

DAY_S = 86_400.0
CONFIGURATIONS = 4_500.0  # a day
RESTARTS, FAILURES = 180.0, 30.0  # machines a day, of all kinds
SET_ASIDE = 7
MOVES = TARGET.reading / 2 * TARGET.upstreams  # upstreams that change their part in a day
LISTS_A_MOVE, LISTS_A_RESTART = 2.0, 3.0  # told as moving and moved; leaving, gone, come
MACHINES = TARGET.balancers + TARGET.upstreams + SET_ASIDE
BALANCER_RESTARTS = (RESTARTS + FAILURES) * TARGET.balancers / MACHINES
UPSTREAM_RESTARTS = (RESTARTS + FAILURES) * TARGET.upstreams / MACHINES
LIST_CHANGES = MOVES * LISTS_A_MOVE + UPSTREAM_RESTARTS * LISTS_A_RESTART
MEMBER_CHANGES = BALANCER_RESTARTS * 2
REQUESTS_S = TARGET.requests_s / TARGET.balancers
HELD_KEYS = {
    "list": "entries",
    "loads": "entries",
    "steps": "changes",
    "holdings": "holdings",
    "members": "members",
    "configuration": "routes",
}
Parts = dict[str, Any]


def price(parts: Parts, part: str, what: str) -> Line:
    """The line of one price of one message, through all sizes but the one that was left out."""
    held = parts["held_out"][HELD_KEYS[part]]
    return fit([(p["x"], p[what]) for p in parts["parts"][part] if p["x"] != held])


def held_out(parts: Parts, part: str, what: str) -> float:
    """The same price as measured at the size that was left out of the line."""
    held = parts["held_out"][HELD_KEYS[part]]
    found = [p[what] for p in parts["parts"][part] if p["x"] == held]
    return float(sum(found) / len(found))


@dataclass(frozen=True, slots=True)
class Cost:
    """One kind of news at one balancer: bytes in a second (mean of a day), share of a core, bytes of one."""

    name: str
    times_s: float
    one_bytes: float
    one_core_s: float
    one_more_core_s: float  # to tell it on, once for all below

    @property
    def bytes_s(self) -> float:
        """In."""
        return self.times_s * self.one_bytes

    @property
    def relayed_bytes_s(self) -> float:
        """In, and out to all that a relay may tell."""
        return self.bytes_s * (1 + DEGREE)

    @property
    def core(self) -> float:
        """Share of a core at a balancer that tells nobody."""
        return self.times_s * self.one_core_s

    @property
    def relayed_core(self) -> float:
        """The same at one that does."""
        return self.times_s * (self.one_core_s + self.one_more_core_s)


def costs(parts: Parts, frame_s: float) -> list[Cost]:
    """All kinds of news at the target; `frame_s`: of a core, for taking one frame from a socket."""
    entries, members, routes = float(TARGET.upstreams), float(TARGET.balancers), float(TARGET.routes)
    step = (steps_down(TARGET) * REPORT_INTERVAL_S - STEP_BYTES) / FIGURE_BYTES  # upstreams in one

    def at(part: str, what: str, x: float) -> float:
        return max(price(parts, part, what).at(x), 0.0)

    changes_s = 4 * REQUESTS_S  # a request is sent to be read, read, sent to be run, ended
    reports_s = 1 / (REPORT_INTERVAL_S + 1 / changes_s)
    report = changes_s / reports_s

    def read(part: str, x: float, *work: str) -> float:
        return frame_s + sum(at(part, what, x) for what in work)

    return [
        Cost("sums of load, down", 1 / REPORT_INTERVAL_S, at("steps", "bytes", step),
             read("steps", step, "decode_s", "take_s"), at("steps", "encode_s", step)),
        Cost("own report of load, up", reports_s, at("steps", "bytes", report),
             read("steps", report, "tell_s", "encode_s"), 0.0),
        Cost("list of upstreams", LIST_CHANGES / DAY_S, at("list", "change_bytes", entries),
             read("list", entries, "change_s", "parse_s", "take_s"), 0.0),
        Cost("configuration", CONFIGURATIONS / DAY_S, at("configuration", "packed_bytes", routes),
             read("configuration", routes, "unpack_s", "parse_s", "table_s"),
             at("configuration", "encode_s", routes) + at("configuration", "zlib_s", routes)),
        Cost("members", MEMBER_CHANGES / DAY_S, at("members", "bytes", members),
             read("members", members, "decode_s"), at("members", "encode_s", members)),
        Cost("pulses, own rolls, place in the tree", 1 / 0.3, 18.0,
             read("members", members, "place_s"), frame_s),
    ]  # fmt: skip


def verdict(value: float, bound: float) -> str:
    """Holds or fails, with the ratio."""
    ratio = value / bound
    times = f"{ratio:,.0f}" if ratio >= 10 else f"{ratio:.2g}"
    return f"{times} of it: {'holds' if ratio <= 1 else 'FAILS'}"


def within(parts: Parts, frame_s: float, memory_mb: dict[str, float]) -> list[tuple[str, float, float, str]]:
    """Name, foreseen and bound of each part of the budget, with its verdict."""
    found = costs(parts, frame_s)
    rows = [
        ("bytes a second, a balancer that tells nobody", sum(c.bytes_s for c in found), BUDGET.bytes_s),
        (
            "bytes a second, a relay",
            sum(c.relayed_bytes_s for c in found if not c.name.startswith("own report")),
            BUDGET.bytes_s,
        ),
        ("share of a core, a balancer that tells nobody", sum(c.core for c in found), BUDGET.core),
        ("share of a core, a relay", sum(c.relayed_core for c in found), BUDGET.core),
        *(
            (f"memory beside the bare program, {what}, MB", mb, BUDGET.memory_mb)
            for what, mb in memory_mb.items()
        ),
    ]
    return [(name, value, bound, verdict(value, bound)) for name, value, bound in rows]
