"""Operators' commands on the configuration, including drains: read, put, patch, compare, validate."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from config.checking import ConfigurationReader, check
from config.errors import InvalidConfigurationError
from config.patching import Patch, apply_patch, parse_patch
from mastturnd import asking
from mastturnd.draining import FIELD, drained_nodes
from mastturnd.wrong import CommandFailedError, RequestRefusedError, UsageError

MAX_FILE_BYTES = 4 * 1024 * 1024  # longer files are refused


@dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """The newest configuration as it was sent; version 0 while there is none."""

    ver: int
    body: bytes

    def raw(self) -> dict[str, Any]:
        """Return its JSON."""
        found: dict[str, Any] = json.loads(self.body) if self.body else {}
        return found


def read_file(name: str) -> bytes:
    """Return the bytes of a file; raises UsageError."""
    try:
        with Path(name).open("rb") as file:
            body = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise UsageError(f"{name} can't be read ({error.strerror})", "name a readable file") from None
    if len(body) > MAX_FILE_BYTES:
        raise UsageError(f"{name} is longer than {MAX_FILE_BYTES} bytes", "name a configuration's file")
    return body


def parse_valid(body: bytes, name: str) -> dict[str, Any]:
    """Return the JSON of a valid configuration; raises CommandFailedError with the field and the remedy."""
    try:
        check(body)
    except InvalidConfigurationError as error:
        raise CommandFailedError(f"{name}: {error.problem}", error.remedy) from None
    raw: dict[str, Any] = json.loads(body)
    if drained_nodes(raw) is None:
        raise CommandFailedError(f"{name}: {FIELD} is no list of names", f'write it as "{FIELD}": ["edge-1"]')
    return raw


def fetch_current(ctl: list[str], within_s: float) -> CurrentConfiguration:
    """Return the newest configuration; raises NoAnswerError or RequestRefusedError."""
    answer = asking.call_any(ctl, "GET", "/api/config", within_s=within_s)
    if answer.status == 404:
        return CurrentConfiguration(0, b"")
    if answer.status != 200:
        raise RequestRefusedError(
            f"{answer.endpoint} says: {answer.error_text()}", "see its log", answer.status
        )
    return CurrentConfiguration(int(answer.json()["ver"]), answer.body)


def put(ctl: list[str], body: bytes, base: int, within_s: float) -> None:
    """Replace version `base` by a configuration; the same bytes are resent until the answer is conclusive."""
    _send(ctl, "PUT", body, base, within_s)


def send_patch(ctl: list[str], body: bytes, base: int, within_s: float) -> None:
    """Change named items of version `base`; retries as `put` does."""
    _send(ctl, "PATCH", body, base, within_s)


def _send(ctl: list[str], method: str, body: bytes, base: int, within_s: float) -> None:
    headers = {"If-Match": str(base), "Content-Type": "application/json"}
    answer = asking.call_any(ctl, method, "/api/config", body, headers, within_s)
    if answer.status == 200:
        return
    remedy = {
        412: "look at `config diff`, and put it on top of the newest",
        413: "send a shorter one",
    }.get(answer.status, "put that right in the file")
    raise RequestRefusedError(f"{answer.endpoint} says: {answer.error_text()}", remedy, answer.status)


def prepare_patch(
    body: bytes, name: str, current: CurrentConfiguration, next_ver: bool
) -> tuple[bytes, Patch, dict[str, Any]]:
    """Return the patch to send, its parsed form and the result; raises CommandFailedError."""
    try:
        patch = parse_patch(body)
        if next_ver:
            body = json.dumps(json.loads(body) | {"ver": current.ver + 1}).encode()
            patch = parse_patch(body)
        result = apply_patch(current.body, patch, ConfigurationReader())
    except InvalidConfigurationError as error:
        raise CommandFailedError(f"{name}: {error.problem}", error.remedy) from None
    return body, patch, json.loads(result.body)


def prepare_put(
    body: bytes, name: str, current: CurrentConfiguration, next_ver: bool
) -> tuple[bytes, dict[str, Any], list[str]]:
    """Return the body to send, its JSON, and notes on changes: a new version, drains carried over."""
    raw = parse_valid(body, name)
    notes = []
    drained = drained_nodes(current.raw()) or ()
    if FIELD not in raw and drained:
        raw[FIELD] = list(drained)
        notes.append(f"{', '.join(drained)} stay drained; `undrain` ends that")
    if next_ver and raw["ver"] != current.ver + 1:
        raw["ver"] = current.ver + 1
        notes.append(f"it gets version {current.ver + 1}")
    return (json.dumps(raw).encode() if notes else body), raw, notes


def change_drain(ctl: list[str], node: str, drained: bool, within_s: float) -> tuple[int, bool]:
    """Drain or undrain a balancer; returns the version with the change, and whether it is new."""
    deadline = time.monotonic() + within_s
    while True:
        current = fetch_current(ctl, within_s)
        if not current.ver:
            raise CommandFailedError("there is no configuration yet", "put one first")
        raw = current.raw()
        names = set(drained_nodes(raw) or ())
        if (node in names) == drained:
            return current.ver, False
        names ^= {node}
        raw |= {FIELD: sorted(names), "ver": current.ver + 1}
        if not names:
            del raw[FIELD]
        try:
            put(ctl, json.dumps(raw).encode(), current.ver, within_s)
        except RequestRefusedError as error:
            # A concurrent change was first: retry on top of it.
            if error.status != 412 or time.monotonic() >= deadline:
                raise
            continue
        return current.ver + 1, True


def wait_until(condition: Callable[[], bool], within_s: float) -> bool:
    """Return whether a condition holds within the given seconds; polls every 0.3 s."""
    deadline = time.monotonic() + within_s
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(0.3)
    return True


# ---- differences


def differences(old: dict[str, Any], new: dict[str, Any]) -> list[dict[str, Any]]:
    """Return each differing field by its path; routes and services are matched by name."""
    found: list[dict[str, Any]] = []
    _compare("", _index_by_name(old), _index_by_name(new), found)
    return found


def _index_by_name(raw: dict[str, Any]) -> dict[str, Any]:
    named = dict(raw)
    for part in ("routes", "svcs"):
        if isinstance(raw.get(part), list):
            named[part] = {str(entry.get("name")): entry for entry in raw[part] if isinstance(entry, dict)}
    return named


def _compare(path: str, old: Any, new: Any, found: list[dict[str, Any]]) -> None:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in [*old, *(k for k in new if k not in old)]:
            where = f"{path}.{key}" if path else str(key)
            if key not in new:
                found.append({"path": where, "change": "-", "old": old[key]})
            elif key not in old:
                found.append({"path": where, "change": "+", "new": new[key]})
            else:
                _compare(where, old[key], new[key], found)
        return
    found.append({"path": path, "change": "~", "old": old, "new": new})


def format_difference(difference: dict[str, Any]) -> str:
    """Format one difference as a line."""
    old, new = (json.dumps(difference[k]) if k in difference else "" for k in ("old", "new"))
    values = f"{old} -> {new}" if difference["change"] == "~" else old or new
    return f"{difference['change']} {difference['path']}: {values}"
