"""One self-contained HTML page of the runs that a folder keeps: tables, pictures, troubles on the axis."""

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
MOST_CAUSES = 10

Run = dict[str, Any]


def page(runs: list[Run]) -> str:
    """The page; `runs` as `mastturn.lab.run.read_runs` gives them, at least one."""
    groups: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        groups[run["scenario"]].append(run)
    parts = [_summary(runs)]
    if len({run["version"] for run in runs}) > 1:
        parts.append("<h2>Versions</h2>" + _image(pictures.versions(runs), "Mean score of each version"))
    for scenario, group in groups.items():
        parts.append(f"<h2>{html.escape(scenario)}</h2>")
        shown = [run for run in group if "series" in run]
        if shown:
            parts.append(_run(shown[0]))
        elif "parts" in group[0]:
            parts.append(_losses(group[0]))
    title = "Runs in the emulator"
    body = "\n".join(parts)
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{title}</title>'
        f"<style>{STYLE}</style></head><body><h1>{title}</h1>{body}</body></html>\n"
    )


def _rows(head: list[str], rows: list[list[str]]) -> str:
    top = "".join(f"<th>{html.escape(cell)}</th>" for cell in head)
    body = "".join("<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>" for row in rows)
    return f"<table><tr>{top}</tr>{body}</table>"


def _summary(runs: list[Run]) -> str:
    rows = []
    keys = dict.fromkeys((run["scenario"], run["version"]) for run in runs)
    for scenario, version in keys:
        group = [r for r in runs if r["scenario"] == scenario and r["version"] == version]
        scored = [r["score"]["value"] for r in group]
        interval = bootstrap(scored)
        broken = sorted({rule for r in group for rule, v in r.get("rules", {}).items() if v["value"]})
        faults = sum(r["fault"] is not None for r in group)
        note = ", ".join([*(f"{rule} broken" for rule in broken), *([f"{faults} faults"] if faults else [])])
        between = f"{interval.low:.3f} to {interval.high:.3f}" if interval.count > 1 else ""
        rows.append(
            [
                html.escape(scenario),
                html.escape(version),
                str(len(group)),
                f"{interval.mean:.3f}",
                between,
                f'<span class="bad">{note}</span>' if note else "kept",
            ]
        )
    return "<p>Scores are shares of the worth asked, 0 to 1; intervals hold the mean with 95%.</p>" + _rows(
        ["scenario", "version", "seeds", "mean score", "interval", "rules"], rows
    )


def _image(figure: Figure, words: str) -> str:
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    text = base64.b64encode(data.getvalue()).decode()
    return f'<p><img alt="{html.escape(words)}" src="data:image/png;base64,{text}"></p>'


def _losses(run: Run) -> str:
    rows = [
        [
            html.escape(lost["tier"]),
            html.escape(lost["cause"]),
            f"{100 * lost['worth_share']:.2f}%",
            str(lost["requests"]),
        ]
        for lost in run["losses"][:MOST_CAUSES]
    ]
    rows += [
        ["price", html.escape(name.replace("_", " ")), f"{100 * price['value']:.2f}%", ""]
        for name, price in run["prices"].items()
        if price["value"] >= 0.0005
    ]
    return "<h3>Where the worth went</h3>" + _rows(["lost at", "cause", "of the worth", "requests"], rows)


def _run(run: Run) -> str:
    words = f"Seed {run['seed']}, version {run['version']}, score {run['score']['value']:.3f}"
    return (
        f"<p>{html.escape(words)}; digest <code>{html.escape(run['digest'])}</code></p>"
        + _image(pictures.course(run), "Worth asked and served, calls out, by second")
        + _image(pictures.boxes(run), "Use of each box's cores, by second")
        + _image(pictures.latency(run), "Latency by quantile")
        + _losses(run)
    )
