"""`python -m mastturn.capacity measure ...` and `... page`: the runs behind docs/CAPACITY.md, its tables."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from mastturn.capacity import choices, links, lists, memory, plane, sources
from mastturn.capacity import parts as prices
from mastturn.capacity.days import run_day
from mastturn.capacity.shapes import TARGET, Shape
from mastturn.capacity.troubles import run_troubles

FOLDER = Path("docs/capacity")


def _save(out: str, name: str, figures: Callable[[], dict[str, Any]]) -> None:
    """Measure, and write the figures with what was measured."""
    head = sources.described()
    began = time.process_time()
    body = figures()
    path = Path(out) if out else FOLDER / f"{name}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    whole = {"run": head | {"spin_ns_after": round(sources.spin_ns(), 2)}, "kind": name.split("-")[0]} | body
    whole["run"]["cpu_s"] = round(time.process_time() - began, 1)
    path.write_text(json.dumps(whole, indent=1, sort_keys=True) + "\n", encoding="utf-8")
    click.echo(f"{path}: {whole['run']['cpu_s']} s of a core")


@click.group()
def main() -> None:
    """What the system would cost at another size."""


@main.group()
def measure() -> None:
    """Run one measurement and save its figures (docs/capacity/NAME.json, or --out)."""


@measure.command()
@click.option("--balancers", default=TARGET.balancers, show_default=True)
@click.option("--upstreams", default=TARGET.upstreams, show_default=True)
@click.option("--zones", default=TARGET.zones, show_default=True)
@click.option("--cores", default=TARGET.cores, show_default=True, help="Control processes.")
@click.option("--routes", default=TARGET.routes, show_default=True)
@click.option("--seconds", default=3.0, show_default=True, help="Of the busy phase.")
@click.option("--charge", default=0.0, show_default=True, help="Seconds that go by for a second of a core.")
@click.option("--mbps", default=0.0, show_default=True, help="Of each machine's link; 0: no bound.")
@click.option("--seed", default=1, show_default=True)
@click.option("--calm", is_flag=True, help="Without traffic.")
@click.option("--out", default="")
def fleet(
    balancers: int,
    upstreams: int,
    zones: int,
    cores: int,
    routes: int,
    seconds: float,
    charge: float,
    mbps: float,
    seed: int,
    calm: bool,
    out: str,
) -> None:
    """A hollow fleet's day."""
    shape = Shape(balancers=balancers, upstreams=upstreams, zones=zones, cores=cores, routes=routes)
    name = f"fleet-{balancers}-{upstreams}{'-charged' if charge else ''}-{seed}"
    _save(out, name, lambda: run_day(shape, seconds, charge, mbps, seed, calm))


@measure.command()
@click.option("--balancers", default=TARGET.balancers, show_default=True)
@click.option("--upstreams", default=TARGET.upstreams, show_default=True)
@click.option("--cores", default=TARGET.cores, show_default=True, help="Control processes.")
@click.option("--apart", default=60.0, show_default=True, help="Seconds that a region is cut off.")
@click.option("--charge", default=1.0, show_default=True, help="Seconds that go by for a second of a core.")
@click.option("--mbps", default=1000.0, show_default=True, help="Of each machine's link; 0: no bound.")
@click.option("--watch", default=6.0, show_default=True, help="Seconds after the primary's loss.")
@click.option("--brief", is_flag=True, help="Only the primary is lost.")
@click.option("--out", default="")
def trouble(
    balancers: int,
    upstreams: int,
    cores: int,
    apart: float,
    charge: float,
    mbps: float,
    watch: float,
    brief: bool,
    out: str,
) -> None:
    """Losses of a hollow fleet: the primary, a zone, a region for a while."""
    shape = Shape(balancers=balancers, upstreams=upstreams, cores=cores)
    _save(
        out,
        f"trouble-{balancers}-{upstreams}",
        lambda: run_troubles(shape, apart, charge, mbps, watch, brief),
    )


@measure.command()
@click.option("--repeats", default=9, show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--out", default="")
def parts(repeats: int, rounds: int, out: str) -> None:
    """The price of each message by its size."""
    _save(out, "parts", lambda: prices.measured(repeats, rounds))


@measure.command("links")
@click.option("--out", default="")
def links_(out: str) -> None:
    """What a frame costs on a real socket."""
    _save(out, "links", links.measured)


@measure.command("memory")
@click.option("--out", default="")
def memory_(out: str) -> None:
    """Memory of one balancer without traffic."""
    _save(out, "memory", memory.measured)


@measure.command("plane")
@click.option("--out", default="")
def plane_(out: str) -> None:
    """What a request and a token cost the data plane."""
    _save(out, "plane", plane.measured)


@measure.command("choices")
@click.option("--out", default="")
def choices_(out: str) -> None:
    """What the choice of a pair costs, and how often memory crosses zones."""
    _save(out, "choices", choices.measured)


@measure.command("lists")
@click.option("--out", default="")
def lists_(out: str) -> None:
    """Whether the platform's list gets through, by its pages."""
    _save(out, "lists", lists.measured)


@main.command("page")
@click.option("--folder", default=str(FOLDER), show_default=True, help="Saved outputs.")
@click.option("--page", "name", default="docs/CAPACITY.md", show_default=True)
@click.option("--pictures", default="docs/pictures", show_default=True)
def page_(folder: str, name: str, pictures: str) -> None:
    """Write the tables into the page, and draw its pictures."""
    from mastturn.capacity import page  # needs matplotlib, which measuring does not

    for path in page.write(Path(name), Path(folder), Path(pictures)):
        click.echo(path)


if __name__ == "__main__":
    main()
