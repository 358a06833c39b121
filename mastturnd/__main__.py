"""Command line of the program: `python3 -m mastturnd ROLE`; the role is a subcommand.

Settings are read from the YAML file named by `MASTTURN_CONFIG`. SIGHUP reloads them; SIGTERM shuts the
process down gracefully. The module that hosts a role (`mastturnd.hosting`) is imported after the client
socket is listening, because importing it takes most of the startup time.
"""

from __future__ import annotations

import signal

# An unhandled SIGHUP would end the process during the slow imports below. Ignoring it loses nothing: the
# settings file is read after them.
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os
import socket
import sys

from config import settings as settings_file
from config.errors import FleetError, SettingsError
from config.settings import Settings, parse_address
from mastturnd.roles import BALANCER, CONTROL, ROLES, current_name
from mastturnd.wrong import UsageError
from passpost.listening import listen

OPERATOR_COMMANDS = ("status", "config", "drain", "undrain", "trace", "explain")
USAGE = (
    "usage: python3 -m mastturnd [--log_level=LEVEL] ROLE, with ROLE one of: "
    + ", ".join(ROLES)
    + "; or an operator's command: "
    + ", ".join(OPERATOR_COMMANDS)
)
DEFAULT_LOG_LEVEL = "INFO"


def _require_settings(name: str, settings: Settings) -> None:
    """Raise SettingsError if a setting that the role requires is missing or unusable."""
    required = {
        BALANCER: [
            ("listen.http", settings.listen.http, "name the address for clients"),
            ("listen.readyz", settings.listen.readyz, "name the address at which readiness is asked for"),
        ],
        CONTROL: [
            ("listen.ctl", settings.listen.ctl, "name the address for operators"),
        ],
    }
    for field, value, remedy in required[name]:
        if not value:
            raise SettingsError(f"there is no {field}", remedy)
    if name == CONTROL and settings.quorum_member and not settings.data_dir:
        raise SettingsError("there is no data_dir", "name the folder of this machine's disk")
    if name == CONTROL and settings.data_dir and not os.path.isdir(settings.data_dir):
        raise SettingsError(
            f"data_dir is {settings.data_dir!r}, which is no folder", "name one that is there"
        )


def _bind_client_socket(name: str, settings: Settings) -> socket.socket | None:
    """Return the listening client socket; clients queue on it during imports instead of being refused.

    Raises OSError if the address is not available.
    """
    if name != BALANCER or settings.listen.http is None:
        return None
    return listen(parse_address(settings.listen.http), shared=False)


def main(argv: list[str]) -> int:
    """Run the program; returns 2 for a usage error and 1 for unusable settings.

    Operators' commands have exit codes of their own (docs/OPERATE.md).
    """
    has_role = any(current_name(word) in ROLES for word in argv[1:])
    if any(word in OPERATOR_COMMANDS for word in argv[1:]) and not has_role:
        from mastturnd.commands import main as run_command

        return run_command(argv[1:])
    rest, log_level = argv[1:], DEFAULT_LOG_LEVEL
    if any(word.startswith("-") for word in rest):
        from mastturnd import role_flags

        try:
            rest, log_level = role_flags.parse(argv)
        except UsageError as error:
            print(f"{error.problem}; {USAGE}", file=sys.stderr)
            return 2
    role = current_name(rest[0]) if len(rest) == 1 else ""
    if role not in ROLES:
        print(USAGE, file=sys.stderr)
        return 2
    if role != rest[0]:
        print(f"the role {rest[0]} is named {role} now; name it so", file=sys.stderr)
    try:
        settings = settings_file.read()
        _require_settings(role, settings)
        listener = _bind_client_socket(role, settings)
        from mastturnd import hosting

        hosting.run(role, settings, log_level, listener)
    except FleetError as error:
        print(str(error), file=sys.stderr)
        return 1
    except OSError as error:
        print(f"{error}; free the address, or name another in the settings", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
