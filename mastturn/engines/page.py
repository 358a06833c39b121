"""Writes the tables and plots of docs/placement.md from saved results."""

from __future__ import annotations

import math
import re
import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path

import matplotlib

from mastturn.engines.choosers import CHOOSERS
from mastturn.engines.compare import BenchComparison, ChooserResult, read_comparisons, read_results

matplotlib.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.figure import Figure

PRODUCT = "ours"
TOLERANCE = 0.05  # largest difference in worth at which the emulator may decide between choosers


def _mean(items: Iterable[float]) -> float:
    return statistics.fmean(items)


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def choosers_table(results: Sequence[ChooserResult]) -> str:
    """Means over days and seeds of each site; differences to "ours" are paired by day and seed."""
    rows = []
    for site in dict.fromkeys(p.site for p in results):
        own = {(p.day, p.seed): p for p in results if p.site == site and p.chooser == PRODUCT}
        for name in CHOOSERS:
            group = [p for p in results if p.site == site and p.chooser == name]
            differences = [p.worth - own[p.day, p.seed].worth for p in group]
            error = statistics.stdev(differences) / math.sqrt(len(differences)) if name != PRODUCT else 0.0
            rows.append(
                [
                    site,
                    name,
                    f"{_mean(p.worth for p in group):.3f}",
                    "" if name == PRODUCT else f"{_mean(differences):+.3f} ± {error:.3f}",
                    f"{_mean(p.first_p99_ms for p in group):.0f}",
                    f"{_mean(p.again for p in group) / 1000:.0f}",
                    f"{_mean(p.moved_gb for p in group):.1f}",
                    f"{_mean(p.refusals for p in group):.1f}",
                ]
            )
    head = ["site", "chooser", "worth", "against ours", "99% of first token, ms"]
    return _table([*head, "tokens read again, thousands", "GB moved, as priced", "refusals"], rows)


def days_table(results: Sequence[ChooserResult]) -> str:
    """Mean worth of each chooser on each day, over seeds."""
    rows = []
    for site in dict.fromkeys(p.site for p in results):
        for day in dict.fromkeys(p.day for p in results if p.site == site):
            group = [p for p in results if p.site == site and p.day == day]
            means = [f"{_mean(p.worth for p in group if p.chooser == n):.3f}" for n in CHOOSERS]
            rows.append([site, day, *means])
    return _table(["site", "day", *CHOOSERS], rows)


def bench_table(comparisons: Sequence[BenchComparison]) -> str:
    """Worth on the bench and in the emulator, with their difference."""
    rows = []
    for item in comparisons:
        bench = _mean(item.bench)
        difference = item.emulated - bench
        rows.append(
            [
                item.site,
                item.day,
                ", ".join(f"{b:.3f}" for b in item.bench),
                f"{item.emulated:.3f} ({item.spread:.3f})",
                f"{difference:+.3f}",
                "yes" if abs(difference) <= TOLERANCE else "no",
            ]
        )
    return _table(["site", "day", "bench", "emulator (deviation over seeds)", "difference", "held"], rows)


def _plot_days(results: Sequence[ChooserResult], folder: Path) -> None:
    for site in dict.fromkeys(p.site for p in results):
        days = list(dict.fromkeys(p.day for p in results if p.site == site))
        figure, axes = plt.subplots(figsize=(9, 3.6))
        width = 0.8 / len(CHOOSERS)
        for place, name in enumerate(CHOOSERS):
            heights = [
                _mean(p.worth for p in results if (p.site, p.day, p.chooser) == (site, day, name))
                for day in days
            ]
            axes.bar([i + place * width for i in range(len(days))], heights, width, label=name)
        axes.set_xticks([i + 0.4 - width / 2 for i in range(len(days))], days)
        axes.set_ylabel("worth, prices taken off")
        axes.set_title(f"{site}: choosers on the same days")
        axes.legend(fontsize=7, ncols=3, loc="lower left")
        _save(figure, folder / f"{site}.svg")


def _plot_bench(comparisons: Sequence[BenchComparison], folder: Path) -> None:
    figure, axes = plt.subplots(figsize=(4.6, 4.4))
    for site in dict.fromkeys(h.site for h in comparisons):
        own = [h for h in comparisons if h.site == site]
        axes.errorbar(
            [_mean(h.bench) for h in own],
            [h.emulated for h in own],
            [h.spread for h in own],
            fmt="o",
            label=site,
            markersize=4,
            linewidth=0.8,
        )
    low, high = 0.4, 1.0
    axes.plot([low, high], [low, high], color="grey", linewidth=0.8)
    for difference in (-TOLERANCE, TOLERANCE):
        axes.plot(
            [low, high], [low + difference, high + difference], color="grey", linewidth=0.5, linestyle=":"
        )
    axes.set_xlabel("worth on the bench")
    axes.set_ylabel("worth in the emulator")
    axes.legend(fontsize=7)
    _save(figure, folder / "held.svg")


def _save(figure: Figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def write(page: Path, folder: Path) -> None:
    """Write the tables between the page's markers, and the plots into `folder`."""
    results = [p for path in sorted(folder.glob("choosers-*.json")) for p in read_results(path)]
    comparisons = [h for path in sorted(folder.glob("held-*.json")) for h in read_comparisons(path)]
    matplotlib.rcParams["svg.hashsalt"] = "placement"
    _plot_days(results, folder)
    _plot_bench(comparisons, folder)
    tables = {
        "choosers": choosers_table(results),
        "days": days_table(results),
        "held": bench_table(comparisons),
    }
    text = page.read_text(encoding="utf-8")
    for name, table in tables.items():
        marker = re.compile(rf"(<!-- table {name} -->\n).*?(<!-- end -->)", re.S)
        text = marker.sub(lambda m, t=table: f"{m[1]}\n{t}\n\n{m[2]}", text)  # type: ignore[misc]
    page.write_text(text, encoding="utf-8")
