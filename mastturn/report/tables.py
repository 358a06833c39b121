"""Results as tables for a terminal."""

from __future__ import annotations

from typing import Any

from rich.table import Table

from mastturn.emulator.watch import TraceLine
from mastturn.lab.compare import Difference
from mastturn.lab.scenario import Scenario
from mastturn.lab.validate import Cell

MOST_CAUSES = 12


def _table(*columns: str) -> Table:
    table = Table(box=None, pad_edge=False, header_style="bold")
    for i, column in enumerate(columns):
        table.add_column(column, justify="left" if i == 0 else "right", no_wrap=True, overflow="ellipsis")
    return table


def scenarios(found: list[Scenario]) -> Table:
    """What can be run."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in ("scenario", "balancers", "load", "seconds", "what happens"):
        table.add_column(column, overflow="fold")
    for scenario in found:
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


def runs(found: list[dict[str, Any]]) -> Table:
    """One line a run."""
    table = _table(
        "scenario", "seed", "score", "served", "worst 10 s", "worst class", "prices", "p50 ms", "rules"
    )
    for run in found:
        if "parts" not in run:
            table.add_row(run["scenario"], str(run["seed"]), "-", "-", "-", "-", "-", "-", run["fault"])
            continue
        broken = [f"{rule} {int(v['value'])}" for rule, v in run["rules"].items() if v["value"]]
        note = "fault" if run["fault"] else ", ".join(broken) or "kept"
        table.add_row(
            run["scenario"],
            str(run["seed"]),
            f"{run['score']['value']:.3f}",
            f"{run['parts']['whole']['value']:.3f}",
            f"{run['parts']['worst_window']['value']:.3f}",
            f"{run['parts']['worst_class']['value']:.3f}",
            f"{sum(p['value'] for p in run['prices'].values()):.3f}",
            f"{run['latency']['p50']['value']:.0f}",
            note,
        )
    return table


def losses(run: dict[str, Any]) -> Table:
    """Where the worth of one run went."""
    table = _table("lost at", "cause", "of the worth", "requests", "dearest class", "worst second")
    for lost in run["losses"][:MOST_CAUSES]:
        cls = max(lost["by_class"].items(), key=lambda item: item[1])
        second = max(lost["by_second"].items(), key=lambda item: item[1])
        table.add_row(
            lost["tier"],
            lost["cause"],
            f"{lost['worth_share']:.4f}",
            str(lost["requests"]),
            f"{cls[0]} {cls[1]:.4f}",
            f"{second[0]} s: {second[1]:.4f}",
        )
    for name, price in run["prices"].items():
        if price["value"] >= 0.0005:
            table.add_row("price", name, f"{price['value']:.4f}", "", "", "")
    return table


def differences(found: list[Difference]) -> Table:
    """One line a figure."""
    table = _table("scenario", "figure", "base", "change", "95% interval", "verdict")
    for item in found:
        gap = item.difference
        table.add_row(
            item.scenario,
            item.figure,
            f"{item.base_mean:.3f}",
            f"{gap.mean:+.3f}",
            f"{gap.low:+.3f}..{gap.high:+.3f}",
            item.verdict(),
        )
    return table


def cells(found: list[Cell]) -> Table:
    """Bench and emulator, version by version."""
    table = _table("kind of day", "version", "plays", "bench G", "emulated G")
    for cell in found:
        table.add_row(cell.kind, cell.version, str(cell.plays), f"{cell.bench:.3f}", f"{cell.emulated:.3f}")
    return table


def lines(found: list[TraceLine]) -> Table:
    """A trace, line by line."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in ("ms", "request", "balancer", "box", "what"):
        table.add_column(column, overflow="fold", justify="right" if column == "ms" else "left")
    for line in found:
        number = str(line.request) if line.request >= 0 else ""
        table.add_row(f"{line.at_ms:.2f}", number, line.balancer, line.server, line.text)
    return table
