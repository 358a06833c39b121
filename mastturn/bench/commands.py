"""The commands `mastturn bench ...`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import msgspec

from mastturn.files import LabError


@click.group()
def bench() -> None:
    """Measure speed and size on this machine.

    \b
    Example:
      mastturn bench registry --agents 20 --watchers 200
    """


@bench.command("registry")
@click.option("--replicas", type=click.IntRange(1, 16), default=3, show_default=True)
@click.option("--agents", type=click.IntRange(0, 2_000), default=200, show_default=True)
@click.option("--watchers", type=click.IntRange(1, 20_000), default=10_000, show_default=True)
@click.option("--entries", type=click.IntRange(1, 20_000), default=5_000, show_default=True)
@click.option("--rate", type=click.FloatRange(1.0, 1_000.0), default=100.0, show_default=True)
@click.option("--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="File for the result.")
def bench_registry(
    replicas: int, agents: int, watchers: int, entries: int, rate: float, file: Path | None
) -> None:
    """Measure how long a change takes to reach all watchers, and the cost of idle watchers and a restart.

    \b
    Example:
      mastturn bench registry --agents 20 --watchers 200 --entries 500
    """
    from mastturn.bench.registry import Size, measure

    figures = measure(Size(replicas, agents, watchers, entries, rate=rate), click.echo)
    for name, values in figures.items():
        click.echo(f"{name:>28}  {_format_values(values)}")
    if file is not None:
        try:
            file.write_bytes(msgspec.json.format(msgspec.json.encode(figures), indent=1) + b"\n")
        except OSError as error:
            raise LabError(f"{file}: {error.strerror}") from None


def _format_values(values: dict[str, Any]) -> str:
    return "  ".join(f"{name} {value}" for name, value in values.items())
