"""Changes of the design, each with the figure that it would change, worked out from the measured prices."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from dissemination.follower import PULSE_INTERVAL_S
from dissemination.loads import REPORT_INTERVAL_S
from dissemination.relay_tree import DEGREE
from mastturn.capacity import budget
from mastturn.capacity.foreseen import one_report_entries, steps_down, told_entries
from mastturn.capacity.shapes import TARGET

INDEXED_B = (
    2.0  # an upstream by its place in the list, calls and tokens each in a byte on a scale of logarithms
)
SPARSE_B = 4.0  # the same with the place named, where few are told
TOTAL_B = 6.0  # the totals of another zone
HEAD_B = 20.0
CHANGE_B = 40.0  # around one entry of a list that is told as a change
SLOW_S = 0.2  # sums of load so often
LIST_SHARE = 0.8  # of the platform's rate that the one caller may use
Parts = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Remedy:
    """One way: kB a second into a balancer, out of a relay of 8, and what it costs otherwise."""

    of: str
    way: str
    in_bytes_s: float
    price: str

    @property
    def relay_bytes_s(self) -> float:
        """In and out at a relay."""
        return self.in_bytes_s * (1 + DEGREE)


def changed_entries(period_s: float) -> float:
    """Entries that change within a period: four changes a request, at upstreams drawn at random."""
    told = told_entries(TARGET)
    return told * (1 - math.exp(-4 * TARGET.requests_s * period_s / told))


def ways(parts: Parts) -> list[Remedy]:
    """All that were weighed."""

    def bytes_of(part: str, x: float) -> float:
        return max(budget.price(parts, part, "bytes").at(x), 0.0)

    def packed(part: str, x: float) -> float:
        return max(budget.price(parts, part, "packed_bytes").at(x), 0.0)

    told, own, zones = told_entries(TARGET), one_report_entries(TARGET), TARGET.zones
    entry = budget.price(parts, "list", "bytes").slope
    route = budget.price(parts, "configuration", "bytes").slope
    lists, changes = budget.LIST_CHANGES / budget.DAY_S, budget.CONFIGURATIONS / budget.DAY_S
    dense = HEAD_B + INDEXED_B * TARGET.upstreams
    zone = HEAD_B + INDEXED_B * TARGET.upstreams / zones + TOTAL_B * (zones - 1)
    named = bytes_of("loads", told / zones)
    return [
        Remedy("sums of load", "in force: by place, the most wrong first, 40 ms or 6 kB a second",
               steps_down(TARGET), "what is told of a reader is a second old at the peak"),
        Remedy("sums of load", "all by name, every 40 ms", bytes_of("loads", told) / REPORT_INTERVAL_S, ""),
        Remedy("sums of load", "what has changed, every 40 ms",
               bytes_of("loads", changed_entries(REPORT_INTERVAL_S)) / REPORT_INTERVAL_S,
               "a whole one for whoever comes"),
        Remedy("sums of load", "all by name, every 1 s", bytes_of("loads", told),
               "older than a prompt's reading"),
        Remedy("sums of load", f"all by place in the list, a byte each, every {SLOW_S} s", dense / SLOW_S,
               "tied to a version of the list"),
        Remedy("sums of load", f"one's own zone by name, every {SLOW_S} s", named / SLOW_S,
               "pairs stay in a zone unless it is full"),
        Remedy("sums of load", f"one's own zone by place, others' totals, every {SLOW_S} s", zone / SLOW_S,
               "both of the above"),
        Remedy("own report", f"by place, every {SLOW_S} s", (HEAD_B + SPARSE_B * own) / SLOW_S, "as above"),
        Remedy("list", "whole at each change", lists * bytes_of("list", TARGET.upstreams), ""),
        Remedy("list", "whole, compressed", lists * packed("list", TARGET.upstreams),
               "some ms of a core each"),
        Remedy("list", "in force: the entries that changed", lists * (entry + CHANGE_B),
               "whole for whoever comes or has missed one"),
        Remedy("configuration", "whole at each change",
               changes * bytes_of("configuration", TARGET.routes), ""),
        Remedy("configuration", "in force: whole, compressed",
               changes * packed("configuration", TARGET.routes),
               "1 ms of a core each; a body of the same bytes"),
        Remedy("configuration", "the routes that changed (two, say)",
               changes * (2 * route + CHANGE_B),
               "a digest to be checked; whole for whoever comes"),
        Remedy("members", "whole at each change, a balancer's start and end",
               budget.MEMBER_CHANGES / budget.DAY_S * bytes_of("members", TARGET.balancers), ""),
        Remedy("members", "a rolling restart of all: with each pulse",
               bytes_of("members", TARGET.balancers) / PULSE_INTERVAL_S, "for as long as that goes on"),
    ]  # fmt: skip


def list_period_s(pages: int, rate_per_s: float) -> float:
    """Seconds between two readings of the platform's list that keep within a share of its rate."""
    return max(1.0, pages / (rate_per_s * LIST_SHARE))
