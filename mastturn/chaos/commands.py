"""The commands `mastturn chaos PLAN` and `mastturn chaos judge DIR`."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

BROKEN = 1
MAX_SHOWN = 20


class _DefaultToRun(click.Group):
    """Group that runs `run` if the first argument is not a command."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Resolve `mastturn chaos FILE ...` as `mastturn chaos run FILE ...`."""
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            args = ["run", *args]
        return super().resolve_command(ctx, args)


@click.group(cls=_DefaultToRun)
def chaos() -> None:
    """Run every program on loopback, inject faults, and check the recorded history against the rules.

    \b
    Example:
      mastturn chaos plan.toml --seed 3 --seconds 60 --out run
      mastturn chaos judge run
    """


@chaos.command("run")
@click.argument("path", type=click.Path(path_type=Path), metavar="PLAN")
@click.option("--seed", type=click.IntRange(0), help="Seed of load and random faults; default: the plan's.")
@click.option("--seconds", type=float, help="Duration of the load; default: the plan's.")
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Keep history and logs in this folder."
)
@click.option("--quiet", is_flag=True, help="Print no line for each fault.")
def run_plan(path: Path, seed: int | None, seconds: float | None, out: Path | None, quiet: bool) -> None:
    """Run PLAN, a TOML file, and check its history. Exit status 1: a rule is broken.

    \b
    Example:
      printf 'seconds = 10.0\\n[drawn]\\ncount = 5\\n' > plan.toml && mastturn chaos plan.toml
    """
    from mastturn.chaos.plan import read_plan
    from mastturn.chaos.run import run

    plan = read_plan(path, seed, seconds)

    def log(text: str) -> None:
        if not quiet:
            click.echo(text)

    if out is not None:
        run(plan, out, log)
        _report(out)
        return
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder:
        run(plan, Path(folder), log)
        _report(Path(folder))


@chaos.command("judge")
@click.argument("folder", type=click.Path(path_type=Path), metavar="DIR")
def judge_history(folder: Path) -> None:
    """Check a kept history again. Exit status 1: a rule is broken.

    \b
    Example:
      mastturn chaos judge run
    """
    _report(folder)


def _report(folder: Path) -> None:
    from mastturn.chaos.history import read
    from mastturn.chaos.rules import find_violations, summarize

    rows = read(folder)
    start = float(rows[0]["t"])
    for name, value in summarize(rows).items():
        click.echo(f"{name:>24}  {value}")
    violations = find_violations(rows)
    for violation in violations[:MAX_SHOWN]:
        click.echo(f"{violation.at_s - start:7.2f} s  {violation.rule}: {violation.description}", err=True)
    if len(violations) > MAX_SHOWN:
        click.echo(f"and {len(violations) - MAX_SHOWN} more", err=True)
    click.echo("every rule kept" if not violations else f"rules broken: {len(violations)}")
    if violations:
        sys.exit(BROKEN)
