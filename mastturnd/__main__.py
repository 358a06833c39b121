"""`python3 -m mastturnd ROLE`: one program, and the role is a subcommand.

Settings come from the YAML file that `MASTTURN_CONFIG` names. SIGHUP reads it again, SIGTERM ends the
process in order.
"""

from __future__ import annotations

import signal

if (
    __name__ == "__main__"
):  # unhandled it ends us, and to import the rest takes time; the file is read after that
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import gc
import os
import sys
from typing import Protocol

import uvloop
from loguru import logger

from config import settings as settings_file
from config.errors import FleetError, SettingsError
from config.settings import Settings
from mastturnd import logs
from mastturnd.roles import BALANCER, CONTROL, ROLES, current_name
from mastturnd.wrong import WrongCallError

OPERATORS = ("status", "config", "drain", "undrain", "trace", "explain")  # their commands
USAGE = (
    "usage: python3 -m mastturnd [--log_level=LEVEL] ROLE, with ROLE one of: "
    + ", ".join(ROLES)
    + "; or an operator's command: "
    + ", ".join(OPERATORS)
)
USUAL_LOG_LEVEL = "INFO"
LOOK_S = 2.0  # the settings file may change without a signal


class Role(Protocol):
    """What every role of the program does."""

    async def start(self) -> None:
        """Take up work."""

    async def stop(self) -> None:
        """End in order."""

    def reconfigure(self, settings: Settings) -> None:
        """The settings file has changed."""


def _check(name: str, settings: Settings) -> None:
    """Whether the settings hold what a role needs; raises SettingsError."""
    needed = {
        BALANCER: [
            ("listen.http", settings.listen.http, "name the address for clients"),
            ("listen.readyz", settings.listen.readyz, "name the address at which readiness is asked for"),
        ],
        CONTROL: [
            ("listen.ctl", settings.listen.ctl, "name the address for operators"),
        ],
    }
    for field, value, remedy in needed[name]:
        if not value:
            raise SettingsError(f"there is no {field}", remedy)
    if name == CONTROL and settings.quorum_member and not settings.data_dir:
        raise SettingsError("there is no data_dir", "name the folder of this machine's disk")
    if name == CONTROL and settings.data_dir and not os.path.isdir(settings.data_dir):
        raise SettingsError(
            f"data_dir is {settings.data_dir!r}, which is no folder", "name one that is there"
        )


def _role(name: str, settings: Settings) -> Role:
    """The role of that name; nothing of another is imported. Raises SettingsError."""
    _check(name, settings)
    if name == BALANCER:
        from mastturnd.balancing import BalancerRole

        return BalancerRole(settings)
    if not settings.data_dir:
        from mastturnd.referral import ReferralNode

        return ReferralNode(settings)
    from control.node import ControlNode
    from mastturnd import control_calls

    control_calls.declare()
    return ControlNode(settings)


async def serve(name: str, settings: Settings) -> None:
    """Run a role until the process is told to end."""
    loop = asyncio.get_running_loop()
    ended, changed = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    unread = ""
    level = logs.LogLevel(name)
    level.follow(settings.log_levels)
    role = _role(name, settings)
    await role.start()
    gc.collect()
    gc.freeze()
    logger.info("event=started role={} node={}", name, settings.node)
    while not ended.is_set():
        waits = [loop.create_task(ended.wait()), loop.create_task(changed.wait())]
        await asyncio.wait(waits, timeout=LOOK_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        changed.clear()
        try:
            newer = settings_file.read()
        except FleetError as error:
            if str(error) != unread:
                unread = str(error)
                logger.warning("event=settings_unread error={!r}", unread)
            continue
        unread = ""
        if newer != settings:
            settings = newer
            level.follow(settings.log_levels)
            role.reconfigure(settings)
            logger.info("event=settings_read")
    logger.info("event=stopping")
    await role.stop()
    logger.info("event=stopped")


def main(argv: list[str]) -> int:
    """Run the program; the exit code is 2 for a wrong call and 1 for settings that can't be used.

    Operators' commands have codes of their own (docs/OPERATE.md).
    """
    has_role = any(current_name(word) in ROLES for word in argv[1:])
    if any(word in OPERATORS for word in argv[1:]) and not has_role:
        from mastturnd.commands import main as operate

        return operate(argv[1:])
    rest, log_level = argv[1:], USUAL_LOG_LEVEL
    if any(word.startswith("-") for word in rest):
        from mastturnd import role_flags

        try:
            rest, log_level = role_flags.parse(argv)
        except WrongCallError as error:
            print(f"{error.wrong}; {USAGE}", file=sys.stderr)
            return 2
    role = current_name(rest[0]) if len(rest) == 1 else ""
    if role not in ROLES:
        print(USAGE, file=sys.stderr)
        return 2
    if role != rest[0]:
        print(f"the role {rest[0]} is named {role} now; name it so", file=sys.stderr)
    logs.write_from(log_level)
    try:
        settings = settings_file.read()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(role, settings))
    except FleetError as error:
        print(str(error), file=sys.stderr)
        return 1
    except OSError as error:
        print(f"{error}; free the address, or name another in the settings", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
