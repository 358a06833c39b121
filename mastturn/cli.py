"""The command `mastturn`: it reads words, calls the rooms that do the work, and prints what they return."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from mastturn.bench.commands import bench
from mastturn.chaos.commands import chaos
from mastturn.emulator.baselines import BASELINES
from mastturn.files import LabError
from mastturn.lab import scenario as scenarios
from mastturn.lab.compare import comparison_tasks, differences
from mastturn.lab.run import RunResult, Task, combine_runs, read_runs, run_all, save_run
from mastturn.lab.versions import INSTALLED, WORKING_TREE, Versions, open_version
from mastturn.registry.commands import registry
from mastturn.report import tables
from mastturn.soak.commands import soak

BAD_INPUT = 2
RUN_FAILED = 1

console = Console()
notes = Console(stderr=True)


class Main(click.Group):
    """The top of the command: what can't be had is one line and exit status 2."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """As the base; raises LabError for a command that is none."""
        try:
            return super().resolve_command(ctx, args)
        except click.UsageError as error:
            raise LabError(f"{error.format_message()} See 'mastturn --help'.") from None

    def invoke(self, ctx: click.Context) -> object:
        """Run a command."""
        try:
            return super().invoke(ctx)
        except LabError as error:
            click.echo(f"mastturn: {error}", err=True)
            ctx.exit(BAD_INPUT)


@click.group(cls=Main, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Tools around the balancer: play days in the emulator, compare versions, see where worth was lost.

    \b
    Example:
      mastturn lab run fleet-200 --seed 3
    """


def _summary(result: dict[str, Any], file: Path | None) -> None:
    ends = "  ".join(f"{end} {result[end]}" for end in ("asked", "served", "refused", "failed", "lost"))
    quantiles = "  ".join(f"{name} {value:.1f}" for name, value in result["latency_ms"].items())
    click.echo(f"{ends}\nlatency in ms: {quantiles}")
    if result["ran_twice"]:
        click.echo(f"requests that ran twice and must not: {result['ran_twice']}", err=True)
    _write(file, result)


@main.command()
@click.option("--seconds", type=float, default=20.0, show_default=True, help="How long clients ask.")
@click.option(
    "--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="Write the result there."
)
def demo(seconds: float, file: Path | None) -> None:
    """Start two tiers of upstreams, real balancers and clients on loopback, with a release in the middle.

    \b
    Example:
      mastturn demo --seconds 8
    """
    from mastturn.standins import plan, play

    _summary(play.play(plan.demo(seconds), click.echo), file)


@main.command()
@click.argument("path", type=click.Path(path_type=Path), metavar="FILE")
@click.option(
    "--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="Write the result there."
)
def load(path: Path, file: Path | None) -> None:
    """Play a scenario of one's own on loopback: a TOML file, open-loop, latency from the intended start.

    \b
    Example:
      printf 'seconds = 10.0\\nsilent_at_s = 3.0\\n' > mine.toml && mastturn load mine.toml
    """
    from mastturn.standins import plan, play

    _summary(play.play(plan.read_plan(path), click.echo), file)


main.add_command(registry)
main.add_command(chaos)
main.add_command(soak)
main.add_command(bench)


@main.group()
def lab() -> None:
    """Scenarios in the emulator.

    \b
    Example:
      mastturn lab list
    """


def _seeds(text: str | None, seed: int | None) -> list[int]:
    if text is None:
        return [seed if seed is not None else 1]
    if seed is not None:
        raise LabError("--seed and --seeds: one of the two")
    first, dots, last = text.partition("..")
    try:
        low, high = int(first), int(last if dots else first)
    except ValueError:
        raise LabError(f"--seeds {text!r}: allowed: A..B, two whole numbers") from None
    if not 0 <= low <= high:
        raise LabError(f"--seeds {text!r}: allowed: A..B with A at most B, none under 0")
    return list(range(low, high + 1))


@contextmanager
def _bar(label: str, count: int) -> Iterator[Callable[[], None]]:
    """A bar for long work; calls of what it gives move it on."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=notes, transient=True, disable=not notes.is_terminal) as progress:
        task = progress.add_task(label, total=count)
        yield lambda: progress.advance(task)


def _play(found: list[Task], jobs: int, out: Path | None, label: str) -> list[RunResult]:
    with _bar(label, len(found)) as step:

        def done(values: RunResult) -> None:
            if out is not None:
                save_run(values, out)
            step()

        return list(run_all(found, jobs, done))


def _write(path: Path | None, values: object) -> None:
    if path is not None:
        try:
            path.write_bytes(msgspec.json.format(msgspec.json.encode(values), indent=1) + b"\n")
        except OSError as error:
            raise LabError(f"{path}: {error.strerror}") from None


_jobs = click.option(
    "--jobs",
    type=click.IntRange(1),
    default=os.cpu_count() or 1,
    show_default="all cores",
    help="Runs at a time.",
)


@lab.command("list")
def list_scenarios() -> None:
    """Name the scenarios that ship, and the versions that can play them.

    \b
    Example:
      mastturn lab list
    """
    console.print(tables.scenario_table(scenarios.shipped_scenarios()))
    console.print(f"\nversions: {INSTALLED}, {', '.join(BASELINES)}, '.' or any commit of git's")


@lab.command("run")
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), help="The one day to play; 1 if nothing is said.")
@click.option("--seeds", metavar="A..B", help="All days from seed A to seed B.")
@click.option("--version", default=INSTALLED, show_default=True, help="A baseline, '.', or a commit.")
@_jobs
@click.option(
    "--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="Write the result there."
)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Keep each run under this folder."
)
@click.option("--why-lost", is_flag=True, help="Show where the worth went.")
def run(
    scenario: str,
    seed: int | None,
    seeds: str | None,
    version: str,
    jobs: int,
    file: Path | None,
    out: Path | None,
    why_lost: bool,
) -> None:
    """Play SCENARIO (a name of 'lab list', or a TOML file) and judge it.

    \b
    Example:
      mastturn lab run fleet-200 --seed 3 --json fleet.json
    """
    scenarios.find_scenario(scenario)
    with Versions() as versions:
        folder = versions.folder(version)
        found = [Task(scenario, number, version, folder) for number in _seeds(seeds, seed)]
        runs = _play(found, jobs, out, scenario)
    console.print(tables.run_table(runs))
    for values in runs:
        if values["fault"]:
            click.echo(f"seed {values['seed']}: fault: {values['fault']}", err=True)
        for words in values.get("breaks", ()):
            click.echo(f"seed {values['seed']}: rule broken: {words}", err=True)
        if why_lost and "losses" in values:
            console.print(f"\nseed {values['seed']}: where the worth went")
            console.print(tables.loss_table(values))
    _write(file, combine_runs(runs))
    if any(values["fault"] for values in runs):
        sys.exit(RUN_FAILED)


@lab.command()
@click.argument("names", nargs=-1, required=True, metavar="SCENARIO...")
@click.option("--base", required=True, help="The version to hold against: a commit, '.', or a baseline.")
@click.option("--new", default=WORKING_TREE, show_default=True, help="The version that is new.")
@click.option("--seeds", metavar="A..B", default="1..8", show_default=True, help="The days both play.")
@_jobs
@click.option(
    "--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="Write the result there."
)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Keep each run under this folder."
)
def compare(
    names: tuple[str, ...], base: str, new: str, seeds: str, jobs: int, file: Path | None, out: Path | None
) -> None:
    """Play the same days with two versions, and tell their difference with its interval.

    \b
    Example:
      mastturn lab compare lost-zone-40 herd-40 --base HEAD~1 --seeds 1..12
    """
    for name in names:
        scenarios.find_scenario(name)
    with Versions() as versions:
        pair = [(base, versions.folder(base)), (new, versions.folder(new))]
        found = _play(comparison_tasks(list(names), _seeds(seeds, None), pair), jobs, out, "compare")
    for values in found:
        if values["fault"]:
            click.echo(
                f"{values['scenario']} seed {values['seed']} {values['version']}: {values['fault']}", err=True
            )
    seen = differences(found, base, new)
    console.print(tables.difference_table(seen))
    _write(file, [msgspec.to_builtins(item) for item in seen])


@lab.command()
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The day.")
@click.option("--version", default=INSTALLED, show_default=True, help="A baseline, '.', or a commit.")
@click.option("--request", type=click.IntRange(0), help="Follow the client's request of this number.")
@click.option("--server", help="Follow a box or a balancer by its name.")
def trace(scenario: str, seed: int, version: str, request: int | None, server: str | None) -> None:
    """Follow one request, or one server, through the whole fleet.

    \b
    Example:
      mastturn lab trace calm-3 --seed 3 --request 17
    """
    from mastturn.emulator.watch import Trace
    from mastturn.emulator.world import World

    if (request is None) == (server is None):
        raise LabError("trace: give one of --request and --server")
    found = scenarios.find_scenario(scenario)
    with Versions() as versions:
        watch = Trace(request, server)
        world = World(found.day(seed), found.troubles, open_version(versions.folder(version)), watch)
        played = world.play()
    if request is not None and request >= len(played.judge.client_requests):
        raise LabError(
            f"--request {request}: this day has requests 0 to {len(played.judge.client_requests) - 1}"
        )
    names = [balancer.name for balancers in world.balancers for balancer in balancers]
    if server is not None and server not in world.boxes and server not in names:
        some = ", ".join([*list(world.boxes)[:2], *names[:2]])
        raise LabError(f"--server {server!r}: no such box or balancer; for example {some}")
    console.print(tables.trace_table(watch.lines))
    if watch.lines_dropped:
        click.echo(f"mastturn: {watch.lines_dropped} further lines left out", err=True)


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path), metavar="DIR")
@click.option(
    "--to", "file", type=click.Path(dir_okay=False, path_type=Path), help="DIR/report.html if not said."
)
def report(folder: Path, file: Path | None) -> None:
    """Write one HTML page on the runs that 'lab run --out DIR' or 'lab compare --out DIR' has kept.

    \b
    Example:
      mastturn lab run herd-40 --seeds 1..4 --out runs && mastturn lab report runs
    """
    from mastturn.report.page import render_page

    path = file or folder / "report.html"
    text = render_page(read_runs(folder))
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise LabError(f"{path}: {error.strerror}") from None
    click.echo(str(path))


@lab.command()
@click.option("--journal", type=click.Path(path_type=Path), default=Path("journal"), show_default=True)
@click.option("--seeds", metavar="A..B", default="1..2", show_default=True, help="The days of each scenario.")
@_jobs
def validate(journal: Path, seeds: str, jobs: int) -> None:
    """Play the versions of the module that the journal keeps, and hold them against the bench's figures.

    \b
    Example:
      mastturn lab validate --seeds 1..3
    """
    import tempfile

    from mastturn.lab import validate as validation

    versions = validation.read_journal(journal)
    numbers = _seeds(seeds, None)
    plays = sum(len(validation.KINDS[kind]) for seen in versions for kind in seen.days) * len(numbers)
    with tempfile.TemporaryDirectory(prefix="mastturn-") as folder, _bar("validate", plays) as step:
        found = validation.score_versions(versions, Path(folder), numbers, jobs, lambda _: step())
    console.print(tables.cell_table(found))
    kinds = validation.by_kind(found)
    console.print(tables.cell_table(kinds))
    click.echo(
        f"versions {len(versions)}, rank correlation over all {validation.rank_correlation(found):.3f}, "
    )
    click.echo(f"over kinds of days {validation.rank_correlation(kinds):.3f}")


@lab.command()
@click.option("--agents", type=click.IntRange(1, 5_000), default=200, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Write the pictures into this folder."
)
def listing(agents: int, seed: int, out: Path | None) -> None:
    """How long a change of the list takes to all agents: against replicas, loss of messages, rate of change.

    \b
    Example:
      mastturn lab listing --agents 200 --out pictures
    """
    from mastturn.lab.listing import SWEEPS, sweep
    from mastturn.report.pictures import plot_convergence

    for what in SWEEPS:
        points = sweep(what, agents, seed)
        for at, outcome in points:
            click.echo(f"{what} {at:g}: {outcome.describe()}")
        if out is not None:
            figure = plot_convergence("", what, [(at, o.median_ms, o.p99_ms) for at, o in points])
            try:
                out.mkdir(parents=True, exist_ok=True)
                figure.savefig(out / f"listing-{what.split()[0]}.png", dpi=110)
            except OSError as error:
                raise LabError(f"{out}: {error.strerror}") from None


@lab.command()
@click.option(
    "--processes",
    "sizes",
    type=click.IntRange(2, 2_000),
    multiple=True,
    default=(10, 40, 200),
    show_default=True,
    help="Sizes of the fleet.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Write the pictures into this folder."
)
def members(sizes: tuple[int, ...], seed: int, out: Path | None) -> None:
    """How fast and how surely a fleet's processes see who has failed, and what that costs each.

    Plain heartbeats to all, which take as long to give a process up, stand beside it.

    \b
    Example:
      mastturn lab members --processes 40
    """
    from mastturn.lab.members import METRICS, measure
    from mastturn.report.pictures import plot_by_fleet_size

    found = []
    for size in sizes:
        for row in measure(size, seed):
            click.echo(row.describe())
            found.append(row)
    if out is not None:
        try:
            out.mkdir(parents=True, exist_ok=True)
            for name, words in METRICS.items():
                plot_by_fleet_size(words, found, name).savefig(out / f"members-{name}.png", dpi=110)
        except OSError as error:
            raise LabError(f"{out}: {error.strerror}") from None


@lab.command()
@click.option("--bins", type=click.IntRange(3), default=10_000, show_default=True, help="How many bins.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def paper(bins: int, seed: int) -> None:
    """Hold the maximum load over non-uniform bins against the paper's bound (Theorem 3).

    \b
    Example:
      mastturn lab paper --bins 100000
    """
    from mastturn.lab.bins import fill_bins, mixed_capacities

    for draws in (1, 2, 3, 4):
        filled = fill_bins(mixed_capacities(bins), draws, seed)
        bound = "none" if draws == 1 else f"{filled.bound:.2f} + O(1)"
        console.print(f"d = {draws}: maximum load {filled.max_load:.2f}, bound {bound}")


if __name__ == "__main__":
    main()
