"""`python -m mastturn.control_check`: search all orders of events, play histories, draw take-over times."""

from __future__ import annotations

import multiprocessing
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from mastturn.control_check.explore import SearchResult, explore
from mastturn.control_check.history import play, play_all
from mastturn.control_check.kept import (
    healed_table,
    histories_table,
    read_series,
    search_row,
    summarize,
    takeovers_table,
    write_series,
)
from mastturn.control_check.losses import cases, losses_table, play_cases
from mastturn.control_check.pictures import plot_takeovers
from mastturn.control_check.planted import SEARCHED, brief, ends_at_once, failed_syncs, shrinks
from mastturn.control_check.shape import STORM_LINK, Shape
from mastturn.control_check.state import Bounds
from mastturn.files import LabError

SEARCHES = {
    "three": Bounds(writes=2, campaigns=1, crashes=1),
    "three-twice": Bounds(writes=2, campaigns=2, crashes=1),
    "five": Bounds(machines=5, losses=2, writes=1, campaigns=1, crashes=0),
    "five-crash": Bounds(machines=5, losses=2, writes=1, campaigns=1, crashes=1),
    "five-twice": Bounds(machines=5, losses=2, writes=1, campaigns=2, crashes=0),
}
MODES: dict[str, dict[str, Any]] = {
    "usual": {},
    "eager": {"eager": True, "repeats": True},
    "overlaps": {"overlaps": True, "repeats": True},
    "stalls": {"stalls": True, "length_ms": 1_500_000.0},
    "zones": {"zone_losses": True, "spares": 2, "length_ms": 120_000.0},
    "storm": {"storm": True, "repeats": True, "air": STORM_LINK},
}
MODES_HELP = (
    "usual: 4 s from one loss to the next; eager: the next as soon as all are members again; "
    "overlaps: any number in trouble at once; storm: all are killed again and again; "
    "stalls: processes stand still for a moment, for 1,500 s; "
    "zones: whole zones are lost, two machines more than have slots, for 120 s."
)
SEARCH_TABLE_HEADER = "| machines | writes | campaigns | crashes | states | all of them | broken | seconds |"


@click.group()
def main() -> None:
    """Checks of the control state's machine: docs/control.md says what they have found."""


def _search(job: tuple[Bounds, int, float]) -> tuple[Bounds, SearchResult]:
    bounds, states, seconds = job
    return bounds, explore(bounds, most_states=states, most_s=seconds)


@main.command()
@click.argument("names", nargs=-1, type=click.Choice(list(SEARCHES)))
@click.option("--states", default=200_000, show_default=True, help="The most states of each search.")
@click.option("--seconds", default=1e9, help="The longest time of each search.")
@click.option("--jobs", default=2, show_default=True, help="Processes.")
def search(names: tuple[str, ...], states: int, seconds: float, jobs: int) -> None:
    """Every order of messages, losses, repeats, syncs and crashes, within named bounds (all of them)."""
    wanted = [(SEARCHES[name], states, seconds) for name in names or SEARCHES]
    click.echo(f"{SEARCH_TABLE_HEADER}\n|---|---|---|---|---|---|---|---|")
    broken = False
    with multiprocessing.Pool(min(jobs, len(wanted))) as pool:
        for bounds, found in pool.imap(_search, wanted, chunksize=1):
            click.echo(search_row(bounds, found))
            broken |= bool(found.broken)
            for line in found.story:
                click.echo(f"    {line}")
    if broken:
        raise click.ClickException("a rule is broken")


@main.command("play")
@click.option("--machines", default=3, show_default=True, help="3 or 5, of which 1 or 2 may be lost.")
@click.option("--sync_ms", default=1.0, show_default=True, help="How long a sync takes, milliseconds.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--count", default=100, show_default=True, help="How many histories.")
@click.option("--jobs", default=2, show_default=True, help="Processes.")
@click.option("--mode", type=click.Choice(list(MODES)), default="usual", show_default=True, help=MODES_HELP)
@click.option("--out", type=click.Path(path_type=Path), help="File to keep the result in, as JSON.")
def play_(
    machines: int, sync_ms: float, first: int, count: int, jobs: int, mode: str, out: Path | None
) -> None:
    """Seeded histories of a minute with troubles: what was broken, and how long nobody answered."""
    shape = replace(Shape(machines, (machines - 1) // 2, sync_ms=sync_ms), **MODES[mode])
    histories = play_all(shape, range(first, first + count), jobs)
    series = summarize(shape, histories)
    if out is not None:
        write_series(out, series)
    tables = [*histories_table([series]), "", *takeovers_table([series]), "", *healed_table([series])]
    click.echo("\n".join(tables))
    if shape.stalls:
        click.echo(f"changes of leader in each: {', '.join(str(h.leaders) for h in histories)}")
    if series.broken:
        raise click.ClickException("a rule is broken: " + "; ".join(series.broken))


@main.command()
@click.option("--machines", default=3, show_default=True, help="3 or 5, of which 1 or 2 may be lost.")
@click.option("--orders", default=1, show_default=True, help="In so many orders of messages each.")
@click.option("--jobs", default=2, show_default=True, help="Processes.")
def losses(machines: int, orders: int, jobs: int) -> None:
    """Replace a member, and lose what more is to be borne at every step of it; fails if one isn't borne."""
    outcomes = list(play_cases(cases(machines, orders), jobs))
    broken = [outcome for outcome in outcomes if outcome.broken]
    click.echo("\n".join(losses_table(outcomes)))
    for outcome in broken[:5]:
        click.echo(f"{outcome.case}: {outcome.broken}")
    if broken:
        raise click.ClickException(f"{len(broken)} of {len(outcomes)} were not borne")


@main.command()
def defects() -> None:
    """Planted defects, each with the steps that show it; fails if one isn't caught."""
    missed = []
    for planted in SEARCHED:
        found = planted.show()
        click.echo(f"{planted.name}: {found.broken or 'NOT CAUGHT'}")
        click.echo(f"    first: {', '.join(planted.bounds.before)}")
        click.echo(f"    then:  {', '.join(map(brief, found.story))}")
        if found.rule != planted.rule:
            missed.append(planted.name)
    ended = next((outcome for outcome in ends_at_once() if outcome.broken), None)
    if ended is None:
        missed.append("a holder let go too early")
    else:
        click.echo(f"a holder let go too early: {ended.case}: {ended.broken}")
    for name, histories in (
        ("holders that shrink without a majority", shrinks()),
        ("a failed sync that is taken for done", failed_syncs()),
    ):
        caught = next((h for h in histories if h.rule), None)
        if caught is None:
            missed.append(name)
        else:
            click.echo(f"{name}: seed {caught.seed}, after {caught.at_ms:,.0f} ms: {caught.broken}")
    if missed:
        raise click.ClickException(f"not caught: {', '.join(missed)}")


@main.command()
@click.argument("seed", type=int)
@click.option("--machines", default=3, show_default=True)
@click.option("--sync_ms", default=1.0, show_default=True)
@click.option("--mode", type=click.Choice(list(MODES)), default="usual", show_default=True)
def story(seed: int, machines: int, sync_ms: float, mode: str) -> None:
    """One history, line by line: messages, troubles, who leads, what is answered."""
    shape = replace(Shape(machines, (machines - 1) // 2, sync_ms=sync_ms), **MODES[mode])
    for line in play(shape, seed, with_story=True).story:
        click.echo(line)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Picture to draw.")
def draw(files: tuple[Path, ...], out: Path | None) -> None:
    """Tables of kept series, and a picture of the take-over times."""
    try:
        found = [read_series(path) for path in files]
    except LabError as error:
        raise click.ClickException(str(error)) from None
    click.echo("\n".join([*histories_table(found), "", *takeovers_table(found), "", *healed_table(found)]))
    if out is not None:
        plot_takeovers(found).savefig(out, dpi=110)


if __name__ == "__main__":
    main()
