"""Command line of `python -m mastturn.allowance_check`: `search`, `defects` and `week`."""

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
@click.option("--states", default=1_000_000, show_default=True, help="Maximum number of states.")
@click.option("--tokens", default=2, show_default=True, help="The tenant's allowance.")
@click.option("--requests", default=4, show_default=True, help="Requests, one token each.")
def search(states: int, tokens: int, requests: int) -> None:
    """Search all event orders of three replicas, a holder and its backup; exits with 1 on an overrun."""
    started_at = time.monotonic()
    result = Search(Bounds(tokens=tokens, requests=requests, states=states)).run()
    complete = "all of them" if result.complete else "not all"
    click.echo(f"{result.states} states ({complete}) in {time.monotonic() - started_at:.0f} s")
    for step in result.steps or ():
        click.echo(f"  {step}")
    raise SystemExit(0 if result.steps is None else 1)


@main.command()
def defects() -> None:
    """Plant each defect and print the shortest trace to an overrun; exits with 1 if one is not found."""
    not_found = 0
    for name, description in DEFECTS.items():
        bounds = Bounds(tokens=1, replicas=2, requests=4, losses=False, states=300_000)
        if name != "reborn":
            bounds = Bounds(tokens=1, replicas=2, requests=4, restarts=0, losses=False, states=300_000)
        result = Search(bounds, name).run()
        not_found += result.steps is None
        click.echo(
            f"{name}: {description}: {'NOT FOUND' if result.steps is None else f'{len(result.steps)} steps'}"
        )
        for step in result.steps or ():
            click.echo(f"  {step}")
    raise SystemExit(1 if not_found else 0)


@main.command()
@click.option("--tenants", default=280, show_default=True)
@click.option("--replicas", default=30, show_default=True)
@click.option(
    "--requests", default=3_000, show_default=True, help="Requests that use up the allowance of each tenant."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(), default=None, help="Write the table of all tenants to this file.")
def week(tenants: int, replicas: int, requests: int, seed: int, out: str | None) -> None:
    """Simulate a week with faults each day; exits with 1 if a tenant exceeds its allowance."""
    simulation = Week(tenants, replicas, requests, seed)
    counters = simulation.simulate()
    exceeded = [name for name, consumed in simulation.consumed.items() if consumed > simulation.tokens[name]]
    rows = [_format_row("tenant", "allowance", "run on", "left", "first refused, of it", "replicas")]
    for name, tokens in simulation.tokens.items():
        first_refusals = [
            r.consumed_at_refusal[name] / tokens for r in simulation.replicas if name in r.consumed_at_refusal
        ]
        span = f"{min(first_refusals):.4f} to {max(first_refusals):.4f}" if first_refusals else "-"
        rows.append(
            _format_row(
                name,
                tokens,
                simulation.consumed[name],
                simulation.unused_tokens(name),
                span,
                len(first_refusals),
            )
        )
    if out is not None:
        Path(out).write_text("\n".join(rows) + "\n", encoding="utf-8")
    for name, value in dataclasses.asdict(counters).items():
        click.echo(f"{name}: {value}")
    click.echo(f"tenants over their allowance: {len(exceeded)}")
    raise SystemExit(1 if exceeded else 0)


def _format_row(*cells: object) -> str:
    return "".join(f"{cell!s:>22}" for cell in cells)


if __name__ == "__main__":
    main()
