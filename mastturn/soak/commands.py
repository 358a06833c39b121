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

EXIT_FINDINGS = 1
TERMINATED = 128 + signal.SIGTERM  # as a shell reports it
FOUND_FOLDER = Path("found") / "soak"  # where a soak with findings saves its logs, without --out
RANDOM_SEEDS = 1 << 15  # random seeds are below this


class _OneLineErrorCommand(click.Command):
    """A command that reports usage errors in one line, like all other errors."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Parse the arguments; raises LabError for a usage error."""
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as error:
            raise LabError(f"soak: {error.format_message()} See 'mastturn soak --help'.") from None


@click.command(cls=_OneLineErrorCommand)
@click.option(
    "--seed",
    type=click.IntRange(0),
    help="Seed of faults, troubles and clients; random and printed if omitted.",
)
@click.option("--replay", type=click.IntRange(0), metavar="SEED", help="Repeat the soak with this seed.")
@click.option(
    "--seeds",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="Number of soaks, with consecutive seeds.",
)
@click.option(
    "--seconds", type=float, default=30.0, show_default=True, help="How long troubles are injected."
)
@click.option("--balancers", type=int, default=3, show_default=True)
@click.option("--control", type=int, default=3, show_default=True, help="Control processes.")
@click.option("--diskless", type=int, default=2, show_default=True, help="Control processes without a disk.")
@click.option("--upstreams", type=int, default=6, show_default=True)
@click.option("--clients", type=int, default=24, show_default=True)
@click.option("--shared", is_flag=True, help="Control processes and balancers share machines.")
@click.option("--defect", default="", help="Run with a planted defect; see `--defect list`.")
@click.option("--only", default="", help="Only troubles whose names contain this.")
@click.option("--answers", default="", help="Only response faults whose names contain this.")
@click.option(
    "--until",
    multiple=True,
    type=click.Choice(list(Rule), case_sensitive=False),
    help="Stop after the first soak that finds this; may be repeated.",
)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Folder for findings and logs.")
@click.option("--quiet", is_flag=True, help="No line for each trouble, and no table.")
def soak(
    seed: int | None,
    replay: int | None,
    seeds: int,
    seconds: float,
    balancers: int,
    control: int,
    diskless: int,
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
    """Soak a real fleet on loopback: misbehaving upstreams, overlapping troubles, responses checked.

    Exit status 1: a rule was violated; each finding is a line of JSON.

    \b
    Example:
      mastturn soak --seed 7 --seconds 20
    """
    from mastturn.soak import planted, report
    from mastturn.soak.plan import Plan, check
    from mastturn.soak.play import TerminatedError, run_soak

    if defect == "list":
        for name, description in planted.descriptions().items():
            click.echo(f"{name:>24}  {description}")
        return
    first_seed = (
        replay if replay is not None else seed if seed is not None else secrets.randbelow(RANDOM_SEEDS)
    )
    finding_count = 0
    for number in range(first_seed, first_seed + seeds):
        plan = Plan(
            number,
            seconds,
            balancers,
            control,
            upstreams,
            clients,
            planted.validated(defect),
            only,
            answers,
            shared,
            diskless,
        )
        check(plan)
        click.echo(f"seed {number}: {plan.balancers} balancers, {plan.control} control processes")
        log = (lambda text: None) if quiet else click.echo
        try:
            result = run_soak(plan, log, out / str(number) if out else None, FOUND_FOLDER)
        except TerminatedError as error:
            click.echo(str(error), err=True)
            sys.exit(TERMINATED)
        if not quiet:
            Console(width=160).print(report.table(result))
        lines = [report.finding_line(result, finding) for finding in result.findings]
        for finding_line in lines:
            click.echo(finding_line)
        if out is not None:
            (out / f"{number}.jsonl").write_text(
                "".join(f"{finding_line}\n" for finding_line in lines), encoding="utf-8"
            )
        click.echo(report.summary(result))
        finding_count += len(lines)
        if any(finding.rule in until for finding in result.findings):
            break
    if finding_count:
        sys.exit(EXIT_FINDINGS)
