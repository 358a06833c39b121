"""The commands `mastturn chaos PLAN` and `mastturn chaos judge DIR`."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

BROKEN = 1
MOST_SHOWN = 20


class _PlanFirst(click.Group):
    """A word that is no command is the plan to run."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """`mastturn chaos FILE ...` is `mastturn chaos run FILE ...`."""
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            args = ["run", *args]
        return super().resolve_command(ctx, args)


@click.group(cls=_PlanFirst)
def chaos() -> None:
    """Run real copies of every program on loopback with faults between them, and judge what happened.

    \b
    Example:
      mastturn chaos plan.toml --seed 3 --seconds 60 --out run
      mastturn chaos judge run
    """


@chaos.command("run")
@click.argument("path", type=click.Path(path_type=Path), metavar="PLAN")
@click.option("--seed", type=click.IntRange(0), help="Of load and drawn faults; the plan's own if not said.")
@click.option("--seconds", type=float, help="How long clients ask; the plan's own if not said.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Keep history and logs there.")
@click.option("--quiet", is_flag=True, help="No line for each fault.")
def run_plan(path: Path, seed: int | None, seconds: float | None, out: Path | None, quiet: bool) -> None:
    """Run PLAN, a TOML file, and judge it. Exit status 1: a rule is broken.

    \b
    Example:
      printf 'seconds = 10.0\\n[drawn]\\ncount = 5\\n' > plan.toml && mastturn chaos plan.toml
    """
    from mastturn.chaos.plan import read_plan
    from mastturn.chaos.run import run

    plan = read_plan(path, seed, seconds)

    def say(text: str) -> None:
        if not quiet:
            click.echo(text)

    if out is not None:
        run(plan, out, say)
        _judge(out)
        return
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder:
        run(plan, Path(folder), say)
        _judge(Path(folder))


@chaos.command("judge")
@click.argument("folder", type=click.Path(path_type=Path), metavar="DIR")
def judge_again(folder: Path) -> None:
    """Judge a kept history again. Exit status 1: a rule is broken.

    \b
    Example:
      mastturn chaos judge run
    """
    _judge(folder)


def _judge(folder: Path) -> None:
    from mastturn.chaos.history import read
    from mastturn.chaos.rules import counts, judge

    rows = read(folder)
    began = float(rows[0]["t"])
    for name, value in counts(rows).items():
        click.echo(f"{name:>24}  {value}")
    breaches = judge(rows)
    for breach in breaches[:MOST_SHOWN]:
        click.echo(f"{breach.at_s - began:7.2f} s  {breach.rule}: {breach.words}", err=True)
    if len(breaches) > MOST_SHOWN:
        click.echo(f"and {len(breaches) - MOST_SHOWN} more", err=True)
    click.echo("every rule kept" if not breaches else f"rules broken: {len(breaches)}")
    if breaches:
        sys.exit(BROKEN)
