"""Plots of runs (matplotlib): worth by second, core use of each server, latency, comparison of versions."""

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
SERVED_COLOR, UNSERVED_COLOR, NEUTRAL_COLOR = "#2a7f9e", "#d9772b", "#777777"
FAULT_COLOR = "#f3d9b1"
QUANTILES = np.concatenate(
    [np.linspace(0, 90, 46), np.linspace(90, 99, 19)[1:], np.linspace(99, 99.9, 10)[1:]]
)

Run = dict[str, Any]


def _mark_faults(axes: Axes, run: Run, show_names: bool) -> None:
    """Mark the time of each fault; names go in three rows, so that they do not overlap."""
    for row, trouble in enumerate(sorted(run["troubles"], key=lambda t: t["start_s"])):
        start, end = trouble["start_s"], trouble["end_s"]
        if end > start:
            axes.axvspan(start, end, color=FAULT_COLOR, alpha=0.45, lw=0, zorder=0)
        else:
            axes.axvline(start, color=UNSERVED_COLOR, lw=1, ls=":")
        if show_names:
            name = trouble["name"].replace("_", " ")
            axes.annotate(
                name,
                (start, 1.02 + 0.07 * (row % 3)),
                xycoords=("data", "axes fraction"),
                fontsize=8,
                color="#555555",
            )


def plot_worth(run: Run) -> Figure:
    """Plot worth requested and served by second of arrival, the share served and calls in flight per tier."""
    series = run["series"]
    seconds = np.arange(len(series["asked"]))
    figure = Figure(figsize=(WIDTH_IN, 7.2), layout="constrained")
    top, middle, low = figure.subplots(3, 1, sharex=True)
    asked, served = np.array(series["asked"]), np.array(series["served"])
    top.fill_between(
        seconds, asked, step="post", color=UNSERVED_COLOR, alpha=0.55, label="requested, not served in time"
    )
    top.fill_between(seconds, served, step="post", color=SERVED_COLOR, label="served in time")
    top.set_ylim(bottom=0)
    top.set_ylabel("worth per second")
    top.legend(loc="lower right", fontsize=8)
    share = np.divide(served, asked, out=np.ones_like(served), where=asked > 0)
    middle.step(seconds, share, where="post", color=SERVED_COLOR)
    middle.set_ylim(0, 1.03)
    middle.set_ylabel("share served")
    in_flight = np.array(series["out"])
    for tier, name in enumerate(run["tiers"]):
        low.plot(np.arange(1, len(in_flight) + 1), in_flight[:, tier], label=f"to {name}", lw=1.4)
    low.set_ylabel("calls in flight")
    low.set_xlabel("seconds")
    low.legend(loc="upper right", fontsize=8)
    low.set_ylim(bottom=0)
    low.set_xlim(0, len(seconds))
    for axes, show_names in ((top, True), (middle, False), (low, False)):
        _mark_faults(axes, run, show_names)
        axes.grid(alpha=0.25)
    return figure


def plot_core_use(run: Run) -> Figure:
    """Plot a heat map of the core use of each server by second, one panel per tier."""
    series = run["series"]
    names = series["boxes"]
    utilization = np.array([row + [0.0] * (len(names) - len(row)) for row in series["util"]]).T
    tiers = list(run["tiers"])
    groups = [[i for i, name in enumerate(names) if name.startswith(tier + "-")] for tier in tiers]
    figure = Figure(figsize=(WIDTH_IN, 6.4), layout="constrained")
    panels = figure.subplots(len(tiers), 1, sharex=True, height_ratios=[max(len(g), 1) for g in groups])
    for axes, tier, group in zip(np.atleast_1d(panels), tiers, groups, strict=True):
        image = axes.imshow(
            utilization[group], aspect="auto", vmin=0, vmax=1, cmap="viridis", interpolation="nearest",
            extent=(0.5, utilization.shape[1] + 0.5, len(group), 0),
        )  # fmt: skip
        axes.set_ylabel(f"{tier}\n{len(group)} servers")
        axes.set_yticks([])
        for trouble in run["troubles"]:
            axes.axvline(trouble["start_s"], color="white", lw=0.8, ls=":")
    np.atleast_1d(panels)[-1].set_xlabel("seconds")
    figure.colorbar(image, ax=panels, label="cores in use")
    return figure


def plot_latency(run: Run) -> Figure:
    """Plot the time from a client's first attempt to its answer by quantile; log scale for the tail."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    histogram.decode_and_add(run["latency"]["histogram"])
    times = [histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES]
    figure = Figure(figsize=(WIDTH_IN, 3.0), layout="constrained")
    axes = figure.subplots()
    axes.plot(1 / (1 - QUANTILES / 100), times, color=SERVED_COLOR)
    axes.set_xscale("log")
    axes.set_xticks([1, 2, 10, 100, 1000], ["0", "50%", "90%", "99%", "99.9%"])
    axes.minorticks_off()
    axes.set_ylim(bottom=0)
    axes.set_xlabel("quantile of the answers served")
    axes.set_ylabel("ms")
    axes.grid(alpha=0.25)
    return figure


def plot_versions(runs: list[Run]) -> Figure:
    """Plot the mean score of each version in each scenario with its 95% interval."""
    scores: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for run in runs:
        scores[run["scenario"]][run["version"]].append(run["score"]["value"])
    names = list(dict.fromkeys(run["version"] for run in runs))
    figure = Figure(figsize=(WIDTH_IN, 1.2 + 0.28 * len(names) * len(scores)), layout="constrained")
    axes = figure.subplots()
    colors = [
        SERVED_COLOR,
        UNSERVED_COLOR,
        NEUTRAL_COLOR,
        "#5a9e4b",
        "#8a5aa8",
        "#b04a5a",
        "#3f5f9f",
        "#9a8a3a",
    ]
    for row, (_, by_version) in enumerate(scores.items()):
        for place, name in enumerate(names):
            if name not in by_version:
                continue
            interval = bootstrap(by_version[name])
            has_interval = interval.count > 1
            error_bars = (
                [[interval.mean - interval.low], [interval.high - interval.mean]] if has_interval else None
            )
            axes.errorbar(
                interval.mean,
                row + 0.7 * (place - (len(names) - 1) / 2) / max(len(names), 1),
                xerr=error_bars,
                fmt="o",
                color=colors[place % len(colors)],
                capsize=3,
                label=name if row == 0 else None,
            )
    axes.set_yticks(range(len(scores)), list(scores))
    axes.set_ylim(len(scores) - 0.4, -0.6)
    axes.set_xlabel("mean score with its 95% interval")
    axes.legend(fontsize=8, loc="center left", bbox_to_anchor=(1.0, 0.5))
    axes.grid(alpha=0.25, axis="x")
    return figure


def plot_convergence(title: str, x_label: str, points: list[tuple[float, float, float]]) -> Figure:
    """Plot the median and 99% delay until a change reaches an agent; `points`: (x, median ms, 99% ms)."""
    figure = Figure(figsize=(WIDTH_IN / 2, 3.2), layout="constrained")
    axes = figure.subplots()
    x_values = [point[0] for point in points]
    axes.plot(x_values, [point[1] for point in points], "o-", color=SERVED_COLOR, label="median")
    axes.plot(x_values, [point[2] for point in points], "s--", color=UNSERVED_COLOR, label="99%")
    axes.set(xlabel=x_label, ylabel="from the write to an agent, ms", title=title, ylim=(0, None))
    axes.legend(frameon=False)
    return figure


def plot_by_fleet_size(title: str, rows: Sequence[Any], metric_name: str) -> Figure:
    """Plot one metric of each run against the fleet size, a line per kind and fault.

    `rows`: have `kind`, `size`, `trouble` and an attribute `metric_name`, None if not measured.
    """
    figure = Figure(figsize=(7.0, 4.2), layout="constrained")
    axes = figure.add_subplot()
    for kind, trouble in dict.fromkeys((row.kind, row.trouble) for row in rows):
        points = [
            (row.size, getattr(row, metric_name))
            for row in rows
            if (row.kind, row.trouble) == (kind, trouble) and getattr(row, metric_name) is not None
        ]
        if points:
            style = "-" if kind == "views" else "--"
            axes.plot(*zip(*points, strict=True), style, marker="o", label=f"{kind}, {trouble}")
    axes.set(xlabel="processes", ylabel=title, xscale="log")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)
    axes.grid(alpha=0.3)
    return figure
