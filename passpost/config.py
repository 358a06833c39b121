"""Loads the configuration file into typed values."""

from __future__ import annotations

import json
import logging
import os
from dataclasses import dataclass, replace
from typing import Any

from passpost.discovery import Listing, parse_address, parse_listing
from passpost.http1 import Address
from umberworks import wire
from umberworks.interface import Settings

log = logging.getLogger(__name__)


class ConfigError(Exception):
    """The configuration is invalid; the message states the reason in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one balancer; durations in seconds."""

    name: str
    listen: Address
    discovery: tuple[Address, ...]  # one, or several that serve the same list
    seed: int
    memory: int  # bytes
    sockets: int
    known: Listing
    settings: Settings
    connect_timeout: float
    idle_timeout: float
    answer_grace: float
    report_fields: tuple[str, ...] = ()  # fields of the load reports in responses
    # Address of the operators' interface; without it both the interface and handover are disabled.
    control: Address | None = None


def flatten(value: Any, path: str = "") -> wire.Fields:
    """Settings in the simulator's notation: one path=value for each scalar."""
    if isinstance(value, dict):
        prefix = path + "." if path else ""
        return {k: v for name, item in value.items() for k, v in flatten(item, prefix + name).items()}
    if isinstance(value, list):
        if not any(isinstance(item, dict) for item in value):
            return {path: ",".join(map(str, value))}
        fields = {f"{path}.count": str(len(value))}
        for i, item in enumerate(value):
            fields |= flatten(item, f"{path}.{i}")
        return fields
    if isinstance(value, bool):
        return {path: str(int(value))}
    return {} if value is None else {path: str(value)}


def load(path: str) -> Config:
    """Load the file; raises ConfigError with a one-line reason."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(json.load(file), os.environ.get("EDGE_CONTROL", ""))
    except (
        OSError,
        ValueError,
        LookupError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        reason = f"{type(error).__name__}: {error}".replace("\n", " ")
        raise ConfigError(f"configuration {path!r}: {reason}") from None


def _parse_addresses(value: Any) -> tuple[Address, ...]:
    """One or more addresses of the discovery service: a list, or one comma-separated text."""
    texts = value.split(",") if isinstance(value, str) else value
    addresses = tuple(parse_address(str(text).strip()) for text in texts)
    if not addresses or len(set(addresses)) != len(addresses):
        raise ValueError("discovery: expected one or more distinct addresses")
    return addresses


def read(data: dict[str, Any], control: str = "") -> Config:
    """Convert the file's object; `control` from the environment takes precedence over the file's."""
    control = control or data.get("control") or ""
    settings_fields = flatten(data["settings"])
    sockets = int(data["limits"]["sockets"])
    if sockets < 64:
        raise ValueError(f"limits.sockets: {sockets} is below the minimum of 64")
    return Config(
        name=str(data["name"]),
        listen=parse_address(data["listen"]),
        discovery=_parse_addresses(data["discovery"]),
        seed=int(data["seed"], 16),
        sockets=sockets,
        memory=int(float(data["limits"].get("memory_mb", 64)) * 1_000_000),
        known=parse_listing(data.get("known") or {"revision": 0, "complete": True, "members": []}),
        # The list is always polled here, also where the settings call it pushed. Our probe is a connection
        # attempt, not a request, so it is allowed where the settings forbid probe requests.
        settings=replace(
            wire.read_settings(settings_fields, log.warning), list_is_asked=True, may_probe=True
        ),
        connect_timeout=wire.number(settings_fields, "limits.connectTimeout", 250.0) / 1000,
        idle_timeout=wire.number(settings_fields, "limits.connIdle", 15_000.0) / 1000,
        answer_grace=wire.number(settings_fields, "contract.graceToAnswer", 0.0) / 1000,
        report_fields=wire.report_fields(settings_fields),
        control=parse_address(control) if control else None,
    )
