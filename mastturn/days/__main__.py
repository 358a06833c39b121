"""Command line: `python -m mastturn.days draw SITE` writes days as files, `... table` lists their results."""

from __future__ import annotations

from pathlib import Path

import click

from mastturn.days.draw import draw_days, read_site
from mastturn.days.outcomes import read_outcomes, table
from mastturn.days.overlap import PROFILES, draw_overlapping_days
from mastturn.days.written import write_day
from mastturn.files import LabError


@click.group()
def main() -> None:
    """Draw randomized days and list their results."""


@main.command()
@click.argument("site", type=click.Path(path_type=Path))
@click.option("--first", default=0, show_default=True, help="Number of the first day.")
@click.option("--count", default=150, show_default=True, help="How many days.")
@click.option("--crowd", default=0, show_default=True, help="Number of troubles within a few seconds.")
@click.option("--every", is_flag=True, help="All kinds, including those that the site doesn't name.")
@click.option(
    "--profile",
    type=click.Choice(["site", *(p.name for p in PROFILES)]),
    default="site",
    show_default=True,
    help="The site's own kinds; all that affect the control state; or all that the bench lists.",
)
@click.option("--out", required=True, type=click.Path(path_type=Path), help="Folder for the files.")
def draw(site: Path, first: int, count: int, crowd: int, every: bool, profile: str, out: Path) -> None:
    """Write days of a site, one per file: NUMBER.toml."""
    numbers = range(first, first + count)
    try:
        known = read_site(site, every)
        overlapping = next((p for p in PROFILES if p.name == profile), None)
        if overlapping is None:
            drawn = draw_days(known, numbers, crowd)
        else:
            drawn = draw_overlapping_days(known, overlapping, numbers)
    except LabError as error:
        raise click.ClickException(str(error)) from None
    out.mkdir(parents=True, exist_ok=True)
    for number, day in enumerate(drawn, first):
        (out / f"{number:04d}.toml").write_text(write_day(day), encoding="utf-8")
    click.echo(f"{out}: {count} days from {first}")


@main.command("table")
@click.option("--journal", default="journal", show_default=True, type=click.Path(path_type=Path))
def table_(journal: Path) -> None:
    """List the results of the days that were run, as Markdown."""
    click.echo("\n".join(table(read_outcomes(journal))))


if __name__ == "__main__":
    main()
