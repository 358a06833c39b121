"""Operators' commands of the program: `python3 -m mastturnd COMMAND`; imported only for them.

Exit codes: 0 done, or no differences; 1 failed; 2 usage error; 3 something differs or is missing.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from absl import flags

from config import settings as settings_file
from config.errors import FleetError
from config.settings import Settings, parse_address
from mastturnd import asking, configuring, fleet_status, present, salvage, tracing
from mastturnd.draining import drained_nodes
from mastturnd.explanation import format_explanation
from mastturnd.tables import table
from mastturnd.wrong import DIFFERS, DONE, FAILED, USAGE_ERROR, CommandFailedError, NoAnswerError, UsageError

USAGE = """usage: python3 -m mastturnd COMMAND [FLAGS]
  status                     show the primary, the state of each process, and what differs
  config get                 print the configuration in force, byte for byte
  config put FILE            replace the configuration in force by a file
  config patch FILE          change named items; --dry_run shows what it would change
  config diff FILE           show what a file would change
  config check FILE          validate a file without contacting any process
  config history             list the accepted versions
  config salvage FOLDER      print the configuration on the disk of a stopped control process
  drain NODE, undrain NODE   stop a balancer from accepting new clients, or undo that
  trace ID LOG...            show the lines of one request from log files
  explain NODE|IP:PORT       show how a balancer chooses upstreams
flags: --ctl=IP:PORT,... --readyz_port=N --json --within_s=S --base=VER --next --dry_run --choices=N
       --force"""


def _define_flags() -> flags.FlagValues:
    found = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string(
        "ctl",
        "",
        "Control processes, IP:PORT separated by commas; default: the seeds of the settings.",
        found,
    )
    flags.DEFINE_integer("readyz_port", 0, "Port of the balancers' readiness.", flag_values=found)
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=found)
    flags.DEFINE_float(
        "within_s", 8.0, "How long to wait for a conclusive answer, in seconds.", flag_values=found
    )
    flags.DEFINE_integer(
        "base", -1, "The version that a file is based on; default: the newest.", flag_values=found
    )
    flags.DEFINE_bool("next", False, "Number the file one above the newest version.", flag_values=found)
    flags.DEFINE_bool("dry_run", False, "Only show what a patch would change.", flag_values=found)
    flags.DEFINE_integer("choices", 0, "Record this many choices as they are made.", flag_values=found)
    flags.DEFINE_bool("force", False, "Drain even if few balancers of the zone remain.", flag_values=found)
    found.set_gnu_getopt(True)
    return found


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a command: JSON data, lines of text, and the exit code."""

    data: Any
    lines: list[str]
    code: int = DONE


class Commands:
    """The commands, with the flags of one invocation."""

    def __init__(self, given: flags.FlagValues) -> None:
        self._flag_values = given
        self._settings = self._read_settings()
        self._within_s = float(given.within_s)

    def _read_settings(self) -> Settings | None:
        """Return the settings of this machine; None if MASTTURN_CONFIG is not set."""
        if not os.environ.get(settings_file.VARIABLE):
            return None
        return settings_file.read()

    def _control_endpoints(self) -> list[str]:
        given = [part.strip() for part in self._flag_values.ctl.split(",") if part.strip()]
        if not given and self._settings is not None:
            own = self._settings.listen.ctl
            given = list(dict.fromkeys([*([own] if own else []), *self._settings.seed_addrs]))
        if not given:
            raise UsageError(
                "no control process is known",
                f"give --ctl=IP:PORT, or let {settings_file.VARIABLE} name a settings file",
            )
        return [asking.parse_endpoint(part) for part in given]

    def _readyz_port(self) -> int | None:
        if self._flag_values.readyz_port:
            return int(self._flag_values.readyz_port)
        if self._settings is None:
            return None
        readyz = self._settings.listen.readyz
        return parse_address(readyz)[1] if readyz else self._settings.readyz_port or None

    # ---- status

    def status(self) -> Report:
        """Show the state of the whole fleet."""
        found = present.wait_for_fleet(self._control_endpoints(), self._readyz_port(), self._within_s)
        return Report(found, fleet_status.format_lines(found), DIFFERS if found["differs"] else DONE)

    def explain(self, where: str) -> Report:
        """Show the ready sets of one balancer and its next choices."""
        if ":" in where:
            endpoint = asking.parse_endpoint(where)
        else:
            port = self._readyz_port()
            if port is None:
                raise UsageError(
                    "the port of the balancers' readiness is not known",
                    "give --readyz_port, or IP:PORT for NODE",
                )
            endpoint = f"{self._balancer(where)['ip']}:{port}"
        choices = int(self._flag_values.choices)
        target = "/api/explain" + (f"?next={choices}" if choices else "")
        answer = asking.call_until_answered(endpoint, target, max(self._within_s, 5.0))
        if answer is None or answer.status == 404:
            raise CommandFailedError(
                f"{endpoint} gives no answer", "name the address of a balancer's readiness"
            )
        if answer.status != 200:
            raise CommandFailedError(f"{endpoint} says: {answer.error_text()}", "ask again")
        return Report(answer.json(), format_explanation(answer.json()))

    def _balancer(self, node: str) -> dict[str, Any]:
        found = present.wait_for_balancers(
            self._control_endpoints(), self._within_s, present.contains_node(node)
        )
        balancer = next((b for b in found if b["node"] == node), None)
        if balancer is None:
            names = ", ".join(b["node"] for b in found) or "none"
            raise UsageError(f"no balancer {node!r} is present", f"name one of: {names}")
        return balancer

    # ---- the configuration

    def get(self) -> Report:
        """Print the configuration in force."""
        current = configuring.fetch_current(self._control_endpoints(), self._within_s)
        if not current.ver:
            raise CommandFailedError("no configuration has been taken yet", "put one")
        return Report(current.raw(), [current.body.decode("utf-8", "replace")])

    def put(self, name: str) -> Report:
        """Replace the configuration by a file."""
        body = configuring.read_file(name)
        configuring.parse_valid(body, name)
        ctl = self._control_endpoints()
        current = configuring.fetch_current(ctl, self._within_s)
        sent, raw, notes = configuring.prepare_put(body, name, current, bool(self._flag_values.next))
        base = int(self._flag_values.base) if self._flag_values.base >= 0 else current.ver
        configuring.put(ctl, sent, base, self._within_s)
        lines = [f"version {raw['ver']} is taken on top of {base}", *notes]
        return Report({"ver": raw["ver"], "base": base, "notes": notes}, lines)

    def patch(self, name: str) -> Report:
        """Change named items of the configuration, or show what that would change."""
        body = configuring.read_file(name)
        current = configuring.fetch_current(self._control_endpoints(), self._within_s)
        base = int(self._flag_values.base) if self._flag_values.base >= 0 else current.ver
        sent, patch, result = configuring.prepare_patch(body, name, current, bool(self._flag_values.next))
        found = configuring.differences(current.raw(), result)
        lines = [configuring.format_difference(d) for d in found]
        data = {"ver": patch.ver, "base": base, "differs": found}
        if self._flag_values.dry_run:
            return Report(data, lines, DIFFERS if found else DONE)
        configuring.send_patch(self._control_endpoints(), sent, base, self._within_s)
        return Report(data, [f"version {patch.ver} is taken on top of {base}", *lines])

    def diff(self, name: str) -> Report:
        """Show what a file would change."""
        raw = configuring.parse_valid(configuring.read_file(name), name)
        current = configuring.fetch_current(self._control_endpoints(), self._within_s)
        found = configuring.differences(current.raw(), raw)
        lines = [configuring.format_difference(d) for d in found] or [
            f"{name} is what is in force, version {current.ver}"
        ]
        return Report({"ver": current.ver, "differs": found}, lines, DIFFERS if found else DONE)

    def check(self, name: str) -> Report:
        """Validate a file without contacting any process."""
        raw = configuring.parse_valid(configuring.read_file(name), name)
        counts = {part: len(raw.get(part) or []) for part in ("routes", "svcs")}
        text = f"{name} is good: version {raw['ver']}, {counts['routes']} routes, {counts['svcs']} services"
        return Report({"ver": raw["ver"], **counts}, [text])

    def history(self) -> Report:
        """List the accepted versions."""
        answer = asking.call_any(self._control_endpoints(), "GET", "/api/history", within_s=self._within_s)
        if answer.status != 200:
            raise CommandFailedError(
                f"{answer.endpoint} says: {answer.error_text()}", "ask a process of this program"
            )
        found = answer.json()
        rows = [[t["ver"], t["digest"]] for t in found["taken"]]
        return Report(found, table(["VERSION", "DIGEST OF WHAT WAS SENT"], rows))

    def salvage(self, folder: str) -> Report:
        """Print the configuration found in a data directory, without contacting any process."""
        found = salvage.read(folder)
        if not found.ver:
            raise CommandFailedError(
                f"{folder} holds no configuration (epoch {found.epoch})",
                f"read the disk of a holder: {', '.join(found.holders) or 'not known here'}",
            )
        if not found.holds:
            print(
                "this process was not a holder of the configuration: another disk may have a newer version",
                file=sys.stderr,
            )
        data = {"ver": found.ver, "epoch": found.epoch, "holds": found.holds, "holders": found.holders}
        configuration = json.loads(found.body)
        return Report(data | {"configuration": configuration}, [found.body.decode("utf-8", "replace")])

    # ---- drained balancers

    def drain(self, node: str) -> Report:
        """Stop a balancer from accepting new clients."""
        if not self._flag_values.force:
            self._check_remaining_balancers(node)
        return self._change_drain(node, True)

    def _check_remaining_balancers(self, node: str) -> None:
        """Raise UsageError if the balancer is not present, CommandFailedError if too few would remain."""
        already_drained = (
            drained_nodes(configuring.fetch_current(self._control_endpoints(), self._within_s).raw()) or ()
        )

        def remaining_in_zone(found: present.Balancers) -> tuple[int, int, str] | None:
            """Return how many balancers of the zone would accept clients, of how many, and the zone."""
            zone = next((b["zone"] for b in found if b["node"] == node), None)
            if zone is None:
                return None
            of_zone = [b["node"] for b in found if b["zone"] == zone]
            return len([n for n in of_zone if n != node and n not in already_drained]), len(of_zone), zone

        def enough_remain(found: present.Balancers) -> bool:
            remaining = remaining_in_zone(found)
            return remaining is not None and 2 * remaining[0] >= remaining[1]

        found = present.wait_for_balancers(self._control_endpoints(), self._within_s, enough_remain)
        remaining = remaining_in_zone(found)
        if remaining is None:
            names = ", ".join(b["node"] for b in found) or "none"
            raise UsageError(f"no balancer {node!r} is present", f"name one of: {names}; or give --force")
        if 2 * remaining[0] < remaining[1]:
            raise CommandFailedError(
                f"that leaves {remaining[0]} of {remaining[1]} balancers of {remaining[2]}; "
                "with under half left, the whole zone gets clients",
                "undrain another first, or give --force",
            )

    def undrain(self, node: str) -> Report:
        """Let a balancer accept new clients again."""
        return self._change_drain(node, False)

    def _change_drain(self, node: str, drained: bool) -> Report:
        ver, is_new = configuring.change_drain(self._control_endpoints(), node, drained, self._within_s)
        state = "drained" if drained else "not drained"
        lines = [f"{node} is {state} {'since' if is_new else 'already, in'} version {ver}"]
        confirmation = self._wait_for_confirmation(node, drained)
        if confirmation is not None:
            lines.append(f"{node} says so itself; {confirmation['in_flight']} requests are open there")
        elif self._readyz_port() is not None:
            lines.append(f"{node} does not say so yet; see `status`")
        data = {
            "node": node,
            "drained": drained,
            "ver": ver,
            "changed": is_new,
            "told": confirmation is not None,
        }
        return Report(data, lines)

    def _wait_for_confirmation(self, node: str, drained: bool) -> dict[str, Any] | None:
        """Return the balancer's status once it reports the change; None without such a report."""
        port = self._readyz_port()
        if port is None:
            return None
        until = time.monotonic() + self._within_s
        try:
            found = present.wait_for_balancers(
                self._control_endpoints(), self._within_s, present.contains_node(node)
            )
        except NoAnswerError:
            return None  # the change is accepted nevertheless
        endpoint = next((f"{b['ip']}:{port}" for b in found if b["node"] == node), None)
        confirmation: list[dict[str, Any]] = []

        def is_confirmed() -> bool:
            answer = fleet_status.fetch_status(endpoint) if endpoint is not None else None
            if answer is not None and answer.get("drained") == drained:
                confirmation.append(answer)
            return bool(confirmation)

        if endpoint is not None:
            configuring.wait_until(is_confirmed, max(until - time.monotonic(), 0.0))
        return confirmation[0] if confirmation else None

    # ---- logs

    def trace(self, request: str, *logs: str) -> Report:
        """Show the log lines of one request."""
        found = tracing.trace(request, list(logs))
        if not found:
            raise CommandFailedError(
                f"no line of {len(logs)} files names request {request}",
                "successful requests are logged at level DEBUG only: set log_levels",
            )
        hidden = ("time", "level", "module", "event", "request")
        rows = [
            [e.time, e.process, e.name, " ".join(f"{k}={v}" for k, v in e.fields.items() if k not in hidden)]
            for e in found
        ]
        data = [{"process": e.process, **e.fields} for e in found]
        return Report(data, table(["TIME", "PROCESS", "EVENT", "FIELDS"], rows))


def _resolve(commands: Commands, args: list[str]) -> Callable[[], Report]:
    """Return the command that the arguments name; raises UsageError."""
    node_commands = {"drain": commands.drain, "undrain": commands.undrain, "explain": commands.explain}
    path_commands = {
        "put": commands.put,
        "patch": commands.patch,
        "diff": commands.diff,
        "check": commands.check,
        "salvage": commands.salvage,
    }
    match args:
        case ["status"]:
            return commands.status
        case ["config", "get"]:
            return commands.get
        case ["config", "history"]:
            return commands.history
        case ["config", ("put" | "patch" | "diff" | "check" | "salvage") as what, name]:
            return lambda: path_commands[what](name)
        case [("drain" | "undrain" | "explain") as what, name]:
            return lambda: node_commands[what](name)
        case ["trace", request, *logs] if logs:
            return lambda: commands.trace(request, *logs)
    remedies = {
        "config": "say `config get|history`, `config put|patch|diff|check FILE`, or `config salvage FOLDER`",
        "trace": "say `trace ID LOG...`",
        "status": "say `status` alone",
        "explain": "say `explain NODE` or `explain IP:PORT`",
    }
    remedy = remedies.get(args[0], f"say `{args[0]} NODE`") if args else "say one of the commands"
    raise UsageError(f"the call `{' '.join(args)}` can't be understood", remedy)


def main(args: list[str]) -> int:
    """Run a command and return its exit code. A reader that closes the pipe early is not an error."""
    try:
        code = _execute(args)
        sys.stdout.flush()
    except BrokenPipeError:
        # So that the flush at exit does not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return DONE
    return code


def _execute(args: list[str]) -> int:
    """Run a command; an error is printed as one line."""
    given = _define_flags()
    if "--help" in args:
        print(USAGE)
        return DONE
    try:
        rest = given(["mastturnd", *args])[1:]
        report = _resolve(Commands(given), rest)()
    except flags.Error as error:
        print(f"{str(error).splitlines()[0]}; see `python3 -m mastturnd status --help`", file=sys.stderr)
        return USAGE_ERROR
    except FleetError as error:
        print(str(error), file=sys.stderr)
        return getattr(error, "code", FAILED)
    print(json.dumps(report.data) if given.json else "\n".join(report.lines))
    return report.code
