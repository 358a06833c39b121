"""The picture of take-over times: for each trouble of the primary, how long nobody answered."""

from __future__ import annotations

from collections.abc import Sequence

from matplotlib.figure import Figure

from mastturn.control_check.kept import TARGET_MS, TROUBLE_LABELS, TWO_TROUBLES, Series

WIDTH_IN = 11.0
COLORS = ("#2a7f9e", "#d9772b", "#6b8f3a", "#777777")
LIMIT = "#b03030"


def plot_takeovers(found: Sequence[Series]) -> Figure:
    """A row for each trouble: each time a dot, the median a bar; a colour for each series."""
    figure = Figure(figsize=(WIDTH_IN, 8.0), layout="constrained")
    axes = figure.subplots()
    kinds = [kind for kind in (*TROUBLE_LABELS, TWO_TROUBLES) if any(one.gaps.get(kind) for one in found)]
    step = 0.8 / len(found)
    for place, one in enumerate(found):
        color = COLORS[place % len(COLORS)]
        for row, kind in enumerate(kinds):
            values = one.gaps.get(kind, [])
            if not values:
                continue
            at = row - 0.4 + (place + 0.5) * step
            spread = [at + step * 0.35 * ((n * 7919 % 101) / 50 - 1) for n in range(len(values))]
            axes.plot(values, spread, ".", ms=1.6, color=color, alpha=0.35, rasterized=True)
            middle = values[len(values) // 2]
            axes.plot([middle, middle], [at - step * 0.42, at + step * 0.42], color="black", lw=1.4)
        label = f"{one.machines} machines, {one.sync_ms:g} ms a sync"
        axes.plot([], [], "o", ms=5, color=color, label=label)
    axes.axvline(TARGET_MS, color=LIMIT, ls="--", lw=1.2, label="the aim: 1.5 s")
    axes.set_yticks(range(len(kinds)), [TROUBLE_LABELS.get(kind, kind) for kind in kinds])
    axes.invert_yaxis()
    axes.set_xlim(left=0)
    axes.set_xlabel("milliseconds without an answer (black: the median)")
    axes.legend(fontsize=8, loc="upper right")
    axes.grid(axis="x", alpha=0.25)
    axes.set_title("Time without an answer after a trouble of the primary, simulated")
    return figure
