"""`python -m mastturn.allowance_check search` and `... defects`: the allowances' protocol in every order."""

from __future__ import annotations

import dataclasses
import time
from pathlib import Path

import click

from mastturn.allowance_check.search import DEFECTS, Bounds, Search
from mastturn.allowance_check.week import Week


@click.group()
def main() -> None:
    """Check how tenants' allowances are granted."""


@main.command()
@click.option("--states", default=1_000_000, show_default=True, help="States at the most.")
@click.option("--tokens", default=2, show_default=True, help="The tenant's allowance.")
@click.option("--requests", default=4, show_default=True, help="Requests, of a token each.")
def search(states: int, tokens: int, requests: int) -> None:
    """All orders of three replicas, a holder and its backup; ends with 1 at an overrun."""
    began = time.monotonic()
    result = Search(Bounds(tokens=tokens, requests=requests, states=states)).run()
    whole = "all of them" if result.whole else "not all"
    click.echo(f"{result.states} states ({whole}) in {time.monotonic() - began:.0f} s")
    for step in result.steps or ():
        click.echo(f"  {step}")
    raise SystemExit(0 if result.steps is None else 1)


@main.command()
def defects() -> None:
    """Plant each defect and print the shortest way to an overrun; ends with 1 if one is not found."""
    missed = 0
    for name, text in DEFECTS.items():
        bounds = Bounds(tokens=1, replicas=2, requests=4, losses=False, states=300_000)
        if name != "reborn":
            bounds = Bounds(tokens=1, replicas=2, requests=4, restarts=0, losses=False, states=300_000)
        result = Search(bounds, name).run()
        missed += result.steps is None
        click.echo(f"{name}: {text}: {'NOT FOUND' if result.steps is None else f'{len(result.steps)} steps'}")
        for step in result.steps or ():
            click.echo(f"  {step}")
    raise SystemExit(1 if missed else 0)


@main.command()
@click.option("--tenants", default=280, show_default=True)
@click.option("--replicas", default=30, show_default=True)
@click.option("--requests", default=3_000, show_default=True, help="Of each tenant, until it has used all.")
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(), default=None, help="A file for the table of all tenants.")
def week(tenants: int, replicas: int, requests: int, seed: int, out: str | None) -> None:
    """A week of all tenants with faults each day; ends with 1 if one runs on more than its allowance."""
    played = Week(tenants, replicas, requests, seed)
    figures = played.play()
    over = [name for name, run_on in played.run_on.items() if run_on > played.tokens[name]]
    lines = [_row("tenant", "allowance", "run on", "left", "first refused, of it", "replicas")]
    for name, tokens in played.tokens.items():
        stops = [r.stopped_at[name] / tokens for r in played.replicas if name in r.stopped_at]
        span = f"{min(stops):.4f} to {max(stops):.4f}" if stops else "-"
        lines.append(_row(name, tokens, played.run_on[name], played.left(name), span, len(stops)))
    if out is not None:
        Path(out).write_text("\n".join(lines) + "\n", encoding="utf-8")
    for name, value in dataclasses.asdict(figures).items():
        click.echo(f"{name}: {value}")
    click.echo(f"tenants over their allowance: {len(over)}")
    raise SystemExit(1 if over else 0)


def _row(*cells: object) -> str:
    return "".join(f"{cell!s:>22}" for cell in cells)


if __name__ == "__main__":
    main()
