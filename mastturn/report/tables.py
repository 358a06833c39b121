"""Terminal tables of scenarios, runs, comparisons and traces."""

from __future__ import annotations

from typing import Any

from rich.table import Table

from mastturn.emulator.watch import TraceLine
from mastturn.lab.compare import Difference
from mastturn.lab.scenario import Scenario
from mastturn.lab.validate import Cell

MAX_CAUSES = 12


def _create_table(*columns: str) -> Table:
    table = Table(box=None, pad_edge=False, header_style="bold")
    for i, column in enumerate(columns):
        table.add_column(column, justify="left" if i == 0 else "right", no_wrap=True, overflow="ellipsis")
    return table


def scenario_table(items: list[Scenario]) -> Table:
    """Return the table of available scenarios."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in ("scenario", "balancers", "load", "seconds", "what happens"):
        table.add_column(column, overflow="fold")
    for scenario in items:
        low, high = scenario.load_share
        size = scenario.name.rpartition("-")[2]
        table.add_row(
            scenario.name,
            size,
            f"{low:.2f} to {high:.2f}",
            f"{scenario.length_ms / 1000:.0f}",
            scenario.title,
        )
    return table


def run_table(items: list[dict[str, Any]]) -> Table:
    """Return a table with one row per run."""
    table = _create_table(
        "scenario", "seed", "score", "served", "worst 10 s", "worst class", "prices", "p50 ms", "rules"
    )
    for run in items:
        if "parts" not in run:
            table.add_row(run["scenario"], str(run["seed"]), "-", "-", "-", "-", "-", "-", run["fault"])
            continue
        violated = [f"{rule} {int(v['value'])}" for rule, v in run["rules"].items() if v["value"]]
        status = "fault" if run["fault"] else ", ".join(violated) or "kept"
        table.add_row(
            run["scenario"],
            str(run["seed"]),
            f"{run['score']['value']:.3f}",
            f"{run['parts']['whole']['value']:.3f}",
            f"{run['parts']['worst_window']['value']:.3f}",
            f"{run['parts']['worst_class']['value']:.3f}",
            f"{sum(p['value'] for p in run['prices'].values()):.3f}",
            f"{run['latency']['p50']['value']:.0f}",
            status,
        )
    return table


def loss_table(run: dict[str, Any]) -> Table:
    """Return the table of the lost worth of one run by tier and cause."""
    table = _create_table("lost at", "cause", "of the worth", "requests", "dearest class", "worst second")
    for loss in run["losses"][:MAX_CAUSES]:
        cls = max(loss["by_class"].items(), key=lambda item: item[1])
        second = max(loss["by_second"].items(), key=lambda item: item[1])
        table.add_row(
            loss["tier"],
            loss["cause"],
            f"{loss['worth_share']:.4f}",
            str(loss["requests"]),
            f"{cls[0]} {cls[1]:.4f}",
            f"{second[0]} s: {second[1]:.4f}",
        )
    for name, price in run["prices"].items():
        if price["value"] >= 0.0005:
            table.add_row("price", name, f"{price['value']:.4f}", "", "", "")
    return table


def difference_table(items: list[Difference]) -> Table:
    """Return a table with one row per compared metric."""
    table = _create_table("scenario", "figure", "base", "change", "95% interval", "verdict")
    for item in items:
        interval = item.difference
        table.add_row(
            item.scenario,
            item.figure,
            f"{item.base_mean:.3f}",
            f"{interval.mean:+.3f}",
            f"{interval.low:+.3f}..{interval.high:+.3f}",
            item.verdict(),
        )
    return table


def cell_table(items: list[Cell]) -> Table:
    """Return a table of the bench and emulator scores of each version."""
    table = _create_table("kind of day", "version", "plays", "bench G", "emulated G")
    for cell in items:
        table.add_row(cell.kind, cell.version, str(cell.plays), f"{cell.bench:.3f}", f"{cell.emulated:.3f}")
    return table


def trace_table(items: list[TraceLine]) -> Table:
    """Return a table with one row per trace line."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in ("ms", "request", "balancer", "box", "what"):
        table.add_column(column, overflow="fold", justify="right" if column == "ms" else "left")
    for line in items:
        number = str(line.request) if line.request >= 0 else ""
        table.add_row(f"{line.at_ms:.2f}", number, line.balancer, line.server, line.text)
    return table
