"""The command `mastturn soak`."""

from __future__ import annotations

import secrets
import signal
import sys
from pathlib import Path

import click
from rich.console import Console

from mastturn.files import LabError
from mastturn.soak.rules import Rule

FOUND = 1
TERMINATED = 128 + signal.SIGTERM  # as a shell tells it
FOUND_FOLDER = Path("found") / "soak"  # where a soak that found something leaves its logs, without --out
SEEDS = 1 << 15  # drawn seeds lie below


class _OneLine(click.Command):
    """A wrong call is one line, as all that can't be had."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """As the base; raises LabError."""
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as error:
            raise LabError(f"soak: {error.format_message()} See 'mastturn soak --help'.") from None


@click.command(cls=_OneLine)
@click.option(
    "--seed", type=click.IntRange(0), help="Of faults, troubles and clients; drawn and printed if not said."
)
@click.option("--replay", type=click.IntRange(0), metavar="SEED", help="The same lots as that seed's soak.")
@click.option(
    "--seeds", type=click.IntRange(1), default=1, show_default=True, help="So many soaks, seed after seed."
)
@click.option("--seconds", type=float, default=30.0, show_default=True, help="How long troubles come.")
@click.option("--balancers", type=int, default=3, show_default=True)
@click.option("--control", type=int, default=3, show_default=True, help="Control processes.")
@click.option("--upstreams", type=int, default=6, show_default=True)
@click.option("--clients", type=int, default=24, show_default=True)
@click.option("--shared", is_flag=True, help="Control processes and balancers share machines.")
@click.option("--defect", default="", help="Play with a planted defect: see `--defect list`.")
@click.option("--only", default="", help="Of the troubles, those whose names hold this.")
@click.option("--answers", default="", help="Of the faults of answers, those whose names hold this.")
@click.option(
    "--until",
    multiple=True,
    type=click.Choice(list(Rule), case_sensitive=False),
    help="End with the first soak that finds this; may be repeated.",
)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Keep findings and logs there.")
@click.option("--quiet", is_flag=True, help="No line for each trouble, and no table.")
def soak(
    seed: int | None,
    replay: int | None,
    seeds: int,
    seconds: float,
    balancers: int,
    control: int,
    upstreams: int,
    clients: int,
    shared: bool,
    defect: str,
    only: str,
    answers: str,
    until: tuple[Rule, ...],
    out: Path | None,
    quiet: bool,
) -> None:
    """Soak a real fleet on loopback: upstreams that misbehave, overlapping troubles, every answer checked.

    Exit status 1: a rule is broken; each finding is a line of JSON.

    \b
    Example:
      mastturn soak --seed 7 --seconds 20
    """
    from mastturn.soak import planted, report
    from mastturn.soak.plan import Plan, check
    from mastturn.soak.play import EndedError, play

    if defect == "list":
        for name, what in planted.described().items():
            click.echo(f"{name:>24}  {what}")
        return
    first = replay if replay is not None else seed if seed is not None else secrets.randbelow(SEEDS)
    count = 0
    for number in range(first, first + seeds):
        plan = Plan(
            number,
            seconds,
            balancers,
            control,
            upstreams,
            clients,
            planted.known(defect),
            only,
            answers,
            shared,
        )
        check(plan)
        click.echo(f"seed {number}: {plan.balancers} balancers, {plan.control} control processes")
        say = (lambda text: None) if quiet else click.echo
        try:
            result = play(plan, say, out / str(number) if out else None, FOUND_FOLDER)
        except EndedError as error:
            click.echo(str(error), err=True)
            sys.exit(TERMINATED)
        if not quiet:
            Console(width=160).print(report.table(result))
        lines = [report.line(result, finding) for finding in result.findings]
        for line in lines:
            click.echo(line)
        if out is not None:
            (out / f"{number}.jsonl").write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")
        click.echo(report.summary(result))
        count += len(lines)
        if any(finding.rule in until for finding in result.findings):
            break
    if count:
        sys.exit(FOUND)
