"""`python -m mastturn.registry serve ...`: as `mastturn registry serve ...`, without the lab's imports."""

from __future__ import annotations

import click

from mastturn.files import LabError
from mastturn.registry.commands import registry

if __name__ == "__main__":
    try:
        registry()
    except LabError as error:
        click.echo(f"mastturn: {error}", err=True)
        raise SystemExit(2) from None
