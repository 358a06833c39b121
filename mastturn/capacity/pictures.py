"""The pictures of the page: what control costs a balancer and how long a change takes, by size."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from mastturn.capacity.foreseen import Figures, per_change, rate, shape_of, steps_down
from mastturn.capacity.shapes import BUDGET, FITTED, HELD_OUT
from mastturn.capacity.slopes import fit

WIDTH_IN = 11.0
FIRST, SECOND, THIRD, LIMIT = "#2a7f9e", "#d9772b", "#6b8f3a", "#b03030"
Fleets = dict[int, list[Figures]]


def _points(fleets: Fleets, value: Any) -> list[tuple[int, float]]:
    return [(n, value(f)) for n, found in sorted(fleets.items()) for f in found]


def _draw(axes: Axes, points: Iterable[tuple[int, float]], label: str, color: str, marker: str = "o") -> None:
    points = list(points)
    axes.plot([p[0] for p in points], [p[1] for p in points], marker=marker, color=color, label=label, lw=1.2)


def _limit(axes: Axes, at: float, label: str) -> None:
    axes.axhline(at, color=LIMIT, ls="--", lw=1.2)
    where = axes.get_yaxis_transform()
    axes.text(0.01, at, label, color=LIMIT, fontsize=8, va="bottom", transform=where)


def cost(fleets: Fleets) -> Figure:
    """Bytes a second and share of a core for control at one balancer, at the peak of traffic and without."""
    figure = Figure(figsize=(WIDTH_IN, 7.0), layout="constrained")
    top, low = figure.subplots(2, 1, sharex=True)

    def all_bytes(role: str, phase: str) -> Any:
        return lambda f: (
            (rate(f, phase, role, "got_bytes") + rate(f, phase, role, "sent_bytes"))
            if role in f["phases"][phase]["roles"]
            else float("nan")
        )

    for role, color in (("head", SECOND), ("leaf", FIRST)):
        words = "first of a zone (relay)" if role == "head" else "tells nobody"
        _draw(top, _points(fleets, all_bytes(role, "busy")), f"{words}, peak", color)
        _draw(top, _points(fleets, all_bytes(role, "quiet")), f"{words}, no traffic", color, "s")

        def cpu(f: Figures, role: str = role, phase: str = "busy") -> float:
            return 100 * rate(f, phase, role, "cpu")

        _draw(low, _points(fleets, cpu), f"{words}, peak", color)
    fitted = [
        (steps_down(shape_of(n)), 100 * rate(f, "busy", "leaf", "cpu"))
        for n in FITTED
        for f in fleets.get(n, [])
    ]
    if len({x for x, _ in fitted}) > 1:
        line = fit(fitted)
        sizes = range(30, 401, 10)
        low.plot(
            list(sizes),
            [line.at(steps_down(shape_of(n))) for n in sizes],
            color=FIRST,
            ls=":",
            label=f"foreseen from up to {max(FITTED)}",
        )
    _limit(top, BUDGET.bytes_s, "the target: 11 kB a second")
    _limit(low, BUDGET.core * 100, "the target: 3.4%")
    top.set_yscale("log")
    top.set_ylabel("bytes a second, in and out")
    low.set_ylabel("% of a core (as quiet)")
    low.set_yscale("log")
    low.set_xlabel(f"balancers (2,800 upstreams, 10 zones; {HELD_OUT} was left out of the fit)")
    for axes in (top, low):
        axes.legend(fontsize=8, loc="center left", bbox_to_anchor=(1.0, 0.5))
        axes.grid(alpha=0.25)
    top.set_title("Cost of control at one balancer")
    return figure


def in_force(fleets: Fleets, charged: Fleets, sweep: list[tuple[int, float, float]]) -> Figure:
    """Seconds until a change is in force at the last balancer."""
    figure = Figure(figsize=(WIDTH_IN, 4.6), layout="constrained")
    axes = figure.subplots()

    def last(phase: str) -> Any:
        return lambda f: max(f["phases"][phase]["all_s"])

    def busy(f: Figures) -> float:
        told = f["phases"]["busy configuration"]
        return float("nan") if told.get("missing") else float(told["in_force_s"]["most"])

    _draw(axes, _points(fleets, last("configuration")), "configuration, way alone (hollow fleet)", FIRST, "s")
    _draw(
        axes, _points(charged, last("configuration")), "configuration, with processor time, no traffic", FIRST
    )
    _draw(axes, _points(charged, busy), "configuration, with processor time, peak", SECOND)
    _draw(
        axes, _points(charged, last("list")), "upstream leaves: platform to last balancer, no traffic", THIRD
    )
    if sweep:
        _draw(
            axes,
            [(n, c / 1000) for n, c, _ in sweep if c],
            "configuration, bench's sweep, longest",
            "#777777",
            "^",
        )
        _draw(
            axes,
            [(n, u / 1000) for n, _, u in sweep if u],
            "upstream leaves, bench's sweep, longest",
            "#333333",
            "v",
        )
    _limit(axes, BUDGET.in_force_s, "the target: 6 s")
    axes.set_yscale("log")
    axes.set_xlabel("balancers")
    axes.set_ylabel("seconds")
    axes.legend(fontsize=8, loc="center left", bbox_to_anchor=(1.0, 0.5))
    axes.grid(alpha=0.25)
    axes.set_title("Time until a change is in force everywhere")
    return figure


def change_cost(fleets: Fleets) -> Figure:
    """Bytes of one change into a balancer, by what changes."""
    figure = Figure(figsize=(WIDTH_IN, 4.0), layout="constrained")
    axes = figure.subplots()
    for phase, kind, label, color in (
        ("list", "UpstreamChange", "an upstream changes: its entry", SECOND),
        ("configuration", "ConfigurationNews", "a configuration, whole, compressed", FIRST),
        ("restart", "MemberNews", "a balancer restarts: members, each time whole, compressed", THIRD),
    ):
        _draw(
            axes,
            _points(fleets, lambda f, p=phase, k=kind: per_change(f, p, "leaf", "got_bytes", k) / 1000),
            label,
            color,
        )
    axes.set_yscale("log")
    axes.set_xlabel("balancers")
    axes.set_ylabel("kB into each balancer")
    axes.legend(fontsize=8, loc="center left", bbox_to_anchor=(1.0, 0.5))
    axes.grid(alpha=0.25)
    axes.set_title("What one change sends to every balancer")
    return figure
