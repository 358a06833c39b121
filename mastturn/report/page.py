"""Renders the runs of a folder as one self-contained HTML page with tables and plots."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from typing import Any

from matplotlib.figure import Figure

from mastturn.lab.stats import bootstrap
from mastturn.report import pictures

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 1000px; margin: 2em auto; color: #222; }
table { border-collapse: collapse; margin: 1em 0; } td, th { padding: 0.2em 0.8em; text-align: right; }
th { border-bottom: 1px solid #888; } td:first-child, th:first-child { text-align: left; }
img { max-width: 100%; } h2 { margin-top: 2em; border-top: 1px solid #ccc; padding-top: 1em; }
.bad { color: #b00; font-weight: bold; }
"""
MAX_CAUSES = 10

Run = dict[str, Any]


def render_page(runs: list[Run]) -> str:
    """Return the HTML page; `runs`: at least one, as `mastturn.lab.run.read_runs` returns them."""
    groups: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        groups[run["scenario"]].append(run)
    parts = [_render_summary(runs)]
    if len({run["version"] for run in runs}) > 1:
        parts.append(
            "<h2>Versions</h2>" + _render_image(pictures.plot_versions(runs), "Mean score of each version")
        )
    for scenario, group in groups.items():
        parts.append(f"<h2>{html.escape(scenario)}</h2>")
        runs_with_series = [run for run in group if "series" in run]
        if runs_with_series:
            parts.append(_render_run(runs_with_series[0]))
        elif "parts" in group[0]:
            parts.append(_render_losses(group[0]))
    title = "Runs in the emulator"
    body = "\n".join(parts)
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{title}</title>'
        f"<style>{STYLE}</style></head><body><h1>{title}</h1>{body}</body></html>\n"
    )


def _render_table(header: list[str], rows: list[list[str]]) -> str:
    header_cells = "".join(f"<th>{html.escape(cell)}</th>" for cell in header)
    body = "".join("<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>" for row in rows)
    return f"<table><tr>{header_cells}</tr>{body}</table>"


def _render_summary(runs: list[Run]) -> str:
    rows = []
    keys = dict.fromkeys((run["scenario"], run["version"]) for run in runs)
    for scenario, version in keys:
        group = [r for r in runs if r["scenario"] == scenario and r["version"] == version]
        scores = [r["score"]["value"] for r in group]
        interval = bootstrap(scores)
        violated = sorted({rule for r in group for rule, v in r.get("rules", {}).items() if v["value"]})
        faults = sum(r["fault"] is not None for r in group)
        note = ", ".join(
            [*(f"{rule} broken" for rule in violated), *([f"{faults} faults"] if faults else [])]
        )
        interval_text = f"{interval.low:.3f} to {interval.high:.3f}" if interval.count > 1 else ""
        rows.append(
            [
                html.escape(scenario),
                html.escape(version),
                str(len(group)),
                f"{interval.mean:.3f}",
                interval_text,
                f'<span class="bad">{note}</span>' if note else "kept",
            ]
        )
    return (
        "<p>Scores are shares of the requested worth, 0 to 1, with 95% confidence intervals of the mean.</p>"
        + _render_table(["scenario", "version", "seeds", "mean score", "interval", "rules"], rows)
    )


def _render_image(figure: Figure, caption: str) -> str:
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    text = base64.b64encode(data.getvalue()).decode()
    return f'<p><img alt="{html.escape(caption)}" src="data:image/png;base64,{text}"></p>'


def _render_losses(run: Run) -> str:
    rows = [
        [
            html.escape(loss["tier"]),
            html.escape(loss["cause"]),
            f"{100 * loss['worth_share']:.2f}%",
            str(loss["requests"]),
        ]
        for loss in run["losses"][:MAX_CAUSES]
    ]
    rows += [
        ["price", html.escape(name.replace("_", " ")), f"{100 * price['value']:.2f}%", ""]
        for name, price in run["prices"].items()
        if price["value"] >= 0.0005
    ]
    return "<h3>Lost worth by cause</h3>" + _render_table(
        ["lost at", "cause", "of the worth", "requests"], rows
    )


def _render_run(run: Run) -> str:
    caption = f"Seed {run['seed']}, version {run['version']}, score {run['score']['value']:.3f}"
    return (
        f"<p>{html.escape(caption)}; digest <code>{html.escape(run['digest'])}</code></p>"
        + _render_image(pictures.plot_worth(run), "Worth requested and served, calls in flight, by second")
        + _render_image(pictures.plot_core_use(run), "Core utilization of each server, by second")
        + _render_image(pictures.plot_latency(run), "Latency by quantile")
        + _render_losses(run)
    )
