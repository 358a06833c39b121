"""The pictures of a run (matplotlib): its course, the load of each box, latencies, versions side by side."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from mastturn.lab.outcome import DIGITS, HIGHEST_US, LOWEST_US
from mastturn.lab.stats import bootstrap

WIDTH_IN = 9.0
SERVED, UNSERVED, NEUTRAL = "#2a7f9e", "#d9772b", "#777777"
TROUBLE = "#f3d9b1"
QUANTILES = np.concatenate(
    [np.linspace(0, 90, 46), np.linspace(90, 99, 19)[1:], np.linspace(99, 99.9, 10)[1:]]
)

Run = dict[str, Any]


def _mark(axes: Axes, run: Run, words: bool) -> None:
    """The troubles, where they last or strike; their names in rows that do not cover one another."""
    for row, trouble in enumerate(sorted(run["troubles"], key=lambda t: t["start_s"])):
        start, end = trouble["start_s"], trouble["end_s"]
        if end > start:
            axes.axvspan(start, end, color=TROUBLE, alpha=0.45, lw=0, zorder=0)
        else:
            axes.axvline(start, color=UNSERVED, lw=1, ls=":")
        if words:
            name = trouble["name"].replace("_", " ")
            axes.annotate(
                name,
                (start, 1.02 + 0.07 * (row % 3)),
                xycoords=("data", "axes fraction"),
                fontsize=8,
                color="#555555",
            )


def course(run: Run) -> Figure:
    """Worth asked and served by second of arrival, the share served, and calls out to each tier."""
    series = run["series"]
    seconds = np.arange(len(series["asked"]))
    figure = Figure(figsize=(WIDTH_IN, 7.2), layout="constrained")
    top, middle, low = figure.subplots(3, 1, sharex=True)
    asked, served = np.array(series["asked"]), np.array(series["served"])
    top.fill_between(
        seconds, asked, step="post", color=UNSERVED, alpha=0.55, label="asked, not served in time"
    )
    top.fill_between(seconds, served, step="post", color=SERVED, label="served in time")
    top.set_ylim(bottom=0)
    top.set_ylabel("worth a second")
    top.legend(loc="lower right", fontsize=8)
    share = np.divide(served, asked, out=np.ones_like(served), where=asked > 0)
    middle.step(seconds, share, where="post", color=SERVED)
    middle.set_ylim(0, 1.03)
    middle.set_ylabel("share served")
    out = np.array(series["out"])
    for tier, name in enumerate(run["tiers"]):
        low.plot(np.arange(1, len(out) + 1), out[:, tier], label=f"to {name}", lw=1.4)
    low.set_ylabel("calls out")
    low.set_xlabel("seconds")
    low.legend(loc="upper right", fontsize=8)
    low.set_ylim(bottom=0)
    low.set_xlim(0, len(seconds))
    for axes, words in ((top, True), (middle, False), (low, False)):
        _mark(axes, run, words)
        axes.grid(alpha=0.25)
    return figure


def boxes(run: Run) -> Figure:
    """A heat map: the use of each box's cores by second, tier under tier."""
    series = run["series"]
    names = series["boxes"]
    util = np.array([row + [0.0] * (len(names) - len(row)) for row in series["util"]]).T
    tiers = list(run["tiers"])
    groups = [[i for i, name in enumerate(names) if name.startswith(tier + "-")] for tier in tiers]
    figure = Figure(figsize=(WIDTH_IN, 6.4), layout="constrained")
    panels = figure.subplots(len(tiers), 1, sharex=True, height_ratios=[max(len(g), 1) for g in groups])
    for axes, tier, group in zip(np.atleast_1d(panels), tiers, groups, strict=True):
        image = axes.imshow(
            util[group], aspect="auto", vmin=0, vmax=1, cmap="viridis", interpolation="nearest",
            extent=(0.5, util.shape[1] + 0.5, len(group), 0),
        )  # fmt: skip
        axes.set_ylabel(f"{tier}\n{len(group)} boxes")
        axes.set_yticks([])
        for trouble in run["troubles"]:
            axes.axvline(trouble["start_s"], color="white", lw=0.8, ls=":")
    np.atleast_1d(panels)[-1].set_xlabel("seconds")
    figure.colorbar(image, ax=panels, label="cores in use")
    return figure


def latency(run: Run) -> Figure:
    """Time from a client's first try to its answer, by quantile, the tail drawn out."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    histogram.decode_and_add(run["latency"]["histogram"])
    times = [histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES]
    figure = Figure(figsize=(WIDTH_IN, 3.0), layout="constrained")
    axes = figure.subplots()
    axes.plot(1 / (1 - QUANTILES / 100), times, color=SERVED)
    axes.set_xscale("log")
    axes.set_xticks([1, 2, 10, 100, 1000], ["0", "50%", "90%", "99%", "99.9%"])
    axes.minorticks_off()
    axes.set_ylim(bottom=0)
    axes.set_xlabel("of the answers served")
    axes.set_ylabel("ms")
    axes.grid(alpha=0.25)
    return figure


def versions(runs: list[Run]) -> Figure:
    """The mean score of each version in each scenario, with its interval."""
    scored: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for run in runs:
        scored[run["scenario"]][run["version"]].append(run["score"]["value"])
    names = list(dict.fromkeys(run["version"] for run in runs))
    figure = Figure(figsize=(WIDTH_IN, 1.2 + 0.28 * len(names) * len(scored)), layout="constrained")
    axes = figure.subplots()
    colors = [SERVED, UNSERVED, NEUTRAL, "#5a9e4b", "#8a5aa8", "#b04a5a", "#3f5f9f", "#9a8a3a"]
    for row, (_, by_version) in enumerate(scored.items()):
        for place, name in enumerate(names):
            if name not in by_version:
                continue
            interval = bootstrap(by_version[name])
            known = interval.count > 1
            reach = [[interval.mean - interval.low], [interval.high - interval.mean]] if known else None
            axes.errorbar(
                interval.mean,
                row + 0.7 * (place - (len(names) - 1) / 2) / max(len(names), 1),
                xerr=reach,
                fmt="o",
                color=colors[place % len(colors)],
                capsize=3,
                label=name if row == 0 else None,
            )
    axes.set_yticks(range(len(scored)), list(scored))
    axes.set_ylim(len(scored) - 0.4, -0.6)
    axes.set_xlabel("mean score with its 95% interval")
    axes.legend(fontsize=8, loc="center left", bbox_to_anchor=(1.0, 0.5))
    axes.grid(alpha=0.25, axis="x")
    return figure


def plot_convergence(title: str, what: str, points: list[tuple[float, float, float]]) -> Figure:
    """How long changes take to agents, median and 99%, against one figure; points are (it, ms, ms)."""
    figure = Figure(figsize=(WIDTH_IN / 2, 3.2), layout="constrained")
    axes = figure.subplots()
    places = [point[0] for point in points]
    axes.plot(places, [point[1] for point in points], "o-", color=SERVED, label="median")
    axes.plot(places, [point[2] for point in points], "s--", color=UNSERVED, label="99%")
    axes.set(xlabel=what, ylabel="from the write to an agent, ms", title=title, ylim=(0, None))
    axes.legend(frameon=False)
    return figure


def plot_by_fleet_size(title: str, rows: Sequence[Any], figure_name: str) -> Figure:
    """One figure of each run against the size of the fleet, a line for each kind and trouble.

    `rows`: `kind`, `size`, `trouble` and the figure under its name, None where there is none.
    """
    figure = Figure(figsize=(7.0, 4.2), layout="constrained")
    axes = figure.add_subplot()
    for kind, trouble in dict.fromkeys((row.kind, row.trouble) for row in rows):
        points = [
            (row.size, getattr(row, figure_name))
            for row in rows
            if (row.kind, row.trouble) == (kind, trouble) and getattr(row, figure_name) is not None
        ]
        if points:
            style = "-" if kind == "views" else "--"
            axes.plot(*zip(*points, strict=True), style, marker="o", label=f"{kind}, {trouble}")
    axes.set(xlabel="processes", ylabel=title, xscale="log")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)
    axes.grid(alpha=0.3)
    return figure
