"""The commands `mastturn registry ...`."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click

from mastturn.files import LabError


@click.group()
def registry() -> None:
    """The list of instances: its replicas, the agents on balancers' machines, and registrants.

    \b
    Example:
      mastturn registry serve --name a --listen 127.0.0.1:8501 --data a.db
      mastturn registry show 127.0.0.1:8501
    """


def _address(ctx: click.Context, param: click.Parameter, value: str) -> str:
    from passpost.discovery import parse_address

    try:
        parse_address(value)
    except ValueError:
        raise click.BadParameter(f"{value!r}: allowed is an IP address and a port") from None
    return value


def _addresses(ctx: click.Context, param: click.Parameter, values: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(_address(ctx, param, value) for value in values)


def _peers(ctx: click.Context, param: click.Parameter, values: tuple[str, ...]) -> dict[str, str]:
    found: dict[str, str] = {}
    for value in values:
        name, equals, address = value.partition("=")
        if not name or not equals or name in found:
            raise click.BadParameter(f"{value!r}: allowed is NAME=ADDRESS, each name once")
        found[name] = _address(ctx, param, address)
    return found


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a program of the service; what can't be had is one line."""
    import uvloop

    from mastturn.registry.http import collect_seldom
    from mastturn.registry.store import StoreError

    collect_seldom()
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s")
    try:
        uvloop.run(work)
    except (OSError, StoreError, ValueError) as error:
        raise LabError(str(error)) from None


def stop_signal() -> asyncio.Event:
    """Set by SIGTERM and Ctrl-C."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        with contextlib.suppress(NotImplementedError, RuntimeError):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
    return stop


_listen = click.option(
    "--listen", required=True, callback=_address, metavar="ADDRESS", help="Where it listens."
)


@registry.command()
@click.option("--name", required=True, help="Its name among the replicas.")
@_listen
@click.option(
    "--peer", "peers", multiple=True, callback=_peers, metavar="NAME=ADDRESS", help="Another replica."
)
@click.option("--data", type=click.Path(dir_okay=False, path_type=Path), required=True, help="Its file.")
@click.option(
    "--forget-s",
    type=click.FloatRange(60.0),
    default=86_400.0,
    show_default=True,
    help="The longest a replica may be away and come back with what it had.",
)
def serve(name: str, listen: str, peers: dict[str, str], data: Path, forget_s: float) -> None:
    """Serve one replica of the list.

    \b
    Example:
      mastturn registry serve --name a --listen 127.0.0.1:8501 --peer b=127.0.0.1:8502 --data a.db
    """
    from mastturn.registry.service import Options, Service

    async def work() -> None:
        stop = stop_signal()
        service = Service(Options(name, listen, data, peers, forget_s))
        await service.start()
        await stop.wait()
        await service.stop()

    run(work())


@registry.command()
@_listen
@click.option(
    "--replica", "replicas", multiple=True, required=True, callback=_addresses, metavar="ADDRESS",
    help="A replica; give all of them.",
)  # fmt: skip
@click.option("--list", "list_name", default="", help="The list it follows; one of its own for each tier.")
@click.option("--snapshot", type=click.Path(dir_okay=False, path_type=Path), help="A file to start from.")
def agent(listen: str, replicas: tuple[str, ...], list_name: str, snapshot: Path | None) -> None:
    """Serve the list to the balancers of this machine, also while every replica is down.

    \b
    Example:
      mastturn registry agent --listen 127.0.0.1:8500 --replica 127.0.0.1:8501 --replica 127.0.0.1:8502
    """
    from mastturn.registry.agent import Agent, Options

    async def work() -> None:
        stop = stop_signal()
        found = Agent(Options(listen, replicas, list_name, snapshot))
        await found.start()
        await stop.wait()
        await found.stop()

    run(work())


@registry.command()
@click.argument("id_", metavar="ID")
@click.argument("host_port", callback=_address, metavar="ADDRESS")
@click.option("--replica", "replicas", multiple=True, required=True, callback=_addresses, metavar="ADDRESS")
@click.option("--list", "list_name", default="", help="The list that it stands in.")
@click.option("--locality", default="", help="Its zone.")
@click.option("--lease-s", type=click.FloatRange(0.5, 3_600.0), default=10.0, show_default=True)
def register(
    id_: str, host_port: str, replicas: tuple[str, ...], list_name: str, locality: str, lease_s: float
) -> None:
    """Keep instance ID at ADDRESS registered until Ctrl-C or SIGTERM, then take it off.

    \b
    Example:
      mastturn registry register s-1 127.0.0.1:7070 --replica 127.0.0.1:8501
    """
    import time

    from mastturn.registry.registrant import Registrant

    async def work() -> None:
        stop = stop_signal()
        started = int(time.time() * 1000)
        values = {
            "host_port": host_port,
            "locality": locality,
            "up_since_ms": started,
            "incarnation": started,
            "lease_ms": lease_s * 1000,
        }
        held = Registrant(list(replicas), id_, values, list_name)
        held.start()
        await stop.wait()
        await held.stop()

    run(work())


@registry.command()
@click.argument("addresses", nargs=-1, required=True, callback=_addresses, metavar="ADDRESS...")
@click.option("--list", "list_name", default="", help="The list to show.")
def show(addresses: tuple[str, ...], list_name: str) -> None:
    """Show the list as replicas or agents have it; where several differ, that is marked.

    \b
    Example:
      mastturn registry show 127.0.0.1:8501 127.0.0.1:8502
    """
    from mastturn.registry.http import AskError, ask_list, session

    async def ask() -> tuple[dict[str, Any], dict[str, str]]:
        found: dict[str, Any] = {}
        silent: dict[str, str] = {}
        async with session() as client:

            async def one(address: str) -> None:
                try:
                    found[address] = await ask_list(client, address, None, 0.0, list=list_name)
                except AskError as error:
                    silent[address] = str(error)

            await asyncio.gather(*(one(address) for address in addresses))
        return found, silent

    found, silent = asyncio.run(ask())
    for address, reason in silent.items():
        click.echo(f"{address}: {reason}", err=True)
    if not found:
        raise click.exceptions.Exit(3)
    from rich.console import Console

    Console().print(_table({a: found[a] for a in addresses if a in found}))
    for address in addresses:
        if address in found:
            got = found[address]
            click.echo(f"{address}: {got.replica or '-'}, revision {got.changes.revision}, epoch {got.epoch}")


def _table(found: dict[str, Any]) -> Any:
    from rich.table import Table

    table = Table("id", "address", "phase", "zone", "incarnation", "held by")
    lists = {address: {e.id: e for e in got.changes.entries} for address, got in found.items()}
    for id_ in sorted({id_ for entries in lists.values() for id_ in entries}):
        seen = [entries.get(id_) for entries in lists.values()]
        words = {(e.host_port, e.phase, e.incarnation) if e is not None else None for e in seen}
        entry = next(e for e in seen if e is not None)
        phase = entry.phase if len(words) == 1 else f"[bold]{entry.phase} (views differ)[/bold]"
        table.add_row(id_, entry.host_port, phase, entry.locality, str(entry.incarnation), entry.holder)
    return table
