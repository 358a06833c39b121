"""Hosts a role of the program: event loop, signals, logging and reloading of settings."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
from typing import Protocol

import uvloop
from loguru import logger

from config import settings as settings_file
from config.errors import FleetError
from config.settings import Settings
from mastturnd import logs
from mastturnd.roles import BALANCER

SETTINGS_POLL_S = 2.0  # the settings file is also polled, as it may change without a signal


class Role(Protocol):
    """Interface of every role of the program."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Shut down gracefully."""

    def reconfigure(self, settings: Settings) -> None:
        """Apply changed settings."""


def make_role(name: str, settings: Settings, listener: socket.socket | None) -> Role:
    """Create the named role without importing another; `listener`: the client socket already bound."""
    if name == BALANCER:
        from mastturnd.balancing import BalancerRole

        return BalancerRole(settings, listener)
    if not settings.data_dir:
        from mastturnd.referral import ReferralNode

        return ReferralNode(settings)
    from control.node import ControlNode
    from mastturnd import control_calls

    control_calls.register()
    return ControlNode(settings)


async def serve(name: str, settings: Settings, listener: socket.socket | None = None) -> None:
    """Run a role until the process receives SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    last_error = ""
    level = logs.LogLevel(name)
    level.apply(settings.log_levels)
    role = make_role(name, settings, listener)
    await role.start()
    gc.collect()
    gc.freeze()
    logger.info("event=started role={} node={}", name, settings.node)
    while not stop_requested.is_set():
        waiters = [loop.create_task(stop_requested.wait()), loop.create_task(reload_requested.wait())]
        await asyncio.wait(waiters, timeout=SETTINGS_POLL_S, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
        reload_requested.clear()
        try:
            updated = settings_file.read()
        except FleetError as error:
            if str(error) != last_error:
                last_error = str(error)
                logger.warning("event=settings_unread error={!r}", last_error)
            continue
        last_error = ""
        if updated != settings:
            settings = updated
            level.apply(settings.log_levels)
            role.reconfigure(settings)
            logger.info("event=settings_read")
    logger.info("event=stopping")
    await role.stop()
    logger.info("event=stopped")


def run(name: str, settings: Settings, log_level: str, listener: socket.socket | None) -> None:
    """Run a role on its own event loop; raises FleetError, or OSError if an address is not available."""
    logs.set_level(log_level)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(name, settings, listener))
