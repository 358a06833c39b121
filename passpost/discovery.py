"""Follows the list of upstreams at the discovery service and reports updates."""

from __future__ import annotations

import asyncio
import ipaddress
import json
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn, Protocol

from passpost.http1 import Address, InvalidResponseError, Response, ResponseReader
from umberworks.interface import ListKind, ListUpdate, Member, Readiness

log = logging.getLogger(__name__)

# How long a watch may wait. One that loses its connection silently is never answered, even once discovery is
# back, and discovery counts what it would have sent as delivered: this plus the timeout is how late we
# notice. The agent runs on the same machine, so frequent requests are cheap.
WATCH_WAIT_MS = 2_000
CALL_TIMEOUT_S = 1.0  # for the response, beyond the requested wait; the agent responds at once
RETRY_DELAY_S = 0.2  # between failed calls; short, so that news is fetched soon after the agent is back
MAX_LIST_BYTES = 4 * 1024 * 1024

LIST_PATH = "/registry/instances"
_READINESS_BY_PHASE = {"active": Readiness.READY, "leaving": Readiness.DRAINING, "left": Readiness.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """One response of discovery: members and their addresses, the whole list or only what changed."""

    revision: int
    complete: bool
    members: tuple[Member, ...]
    addresses: dict[str, Address]


def parse_address(text: str) -> Address:
    """An IP address and port; host names are not resolved."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    if not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} has no valid port")
    return host, int(port)


def parse_listing(data: Any) -> Listing:
    """A listing in discovery's format; raises ValueError, TypeError or LookupError if it is invalid."""
    members, addresses = [], {}
    for entry in data["members"]:
        phase = entry["phase"]
        if phase not in _READINESS_BY_PHASE:
            raise ValueError(f"unknown phase {phase!r}")
        member = Member(
            server=str(entry["id"]),
            readiness=_READINESS_BY_PHASE[phase],
            zone=str(entry.get("locality", "")),
            cell=int(entry.get("cell", 0)),
            size=float(entry.get("size", 1.0)),
            up_since_ms=float(entry.get("up_since_ms", 0)),
        )
        if not math.isfinite(member.up_since_ms):
            raise ValueError(f"{member.server!r}: invalid up_since_ms {member.up_since_ms}")
        members.append(member)
        if member.readiness is not Readiness.GONE:
            addresses[member.server] = parse_address(entry["host_port"])
    return Listing(int(data["revision"]), bool(data["complete"]), tuple(members), addresses)


class DiscoveryConnection:
    """A persistent HTTP connection to the discovery service."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str) -> Response:
        """The response to a GET request; connects first if necessary."""
        if self._stream is None or self._stream[0].at_eof():
            self.close()
            self._stream = await asyncio.open_connection(*self._address)
        reader, writer = self._stream
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {self._address[0]}:{self._address[1]}\r\n\r\n".encode())
        parser = ResponseReader(MAX_LIST_BYTES)
        while (data := await reader.read(65536)) != b"":
            if (response := parser.feed(data)) is not None:
                if not response.reusable:
                    self.close()
                return response
        raise EOFError("connection closed before the response was complete")

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


class ListSource(Protocol):
    """Where the list comes from: `Discovery`, or `ReplicatedDiscovery` with several addresses."""

    has_responded: asyncio.Event

    def start(self, on_update: Callable[[ListUpdate, dict[str, Address]], None]) -> None:
        """Report the saved list to `on_update`, and later updates as well."""

    def contains(self, server: str) -> bool:
        """Whether the list contains this upstream."""

    def count(self) -> int:
        """How many upstreams the list contains."""

    def subscribe(self) -> None:
        """Follow the list from now on."""

    def change_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Follow the list at other addresses."""

    def status(self) -> dict[str, Any]:
        """Where the list comes from and how old it is; empty if that is always the same."""

    def stop(self) -> None:
        """Stop following the list."""


class _WatchEndedError(Exception):
    """A watch has ended; `had_answer`: at least one response had arrived."""

    def __init__(self, reason: str, had_response: bool) -> None:
        super().__init__(reason)
        self.had_response = had_response


class Discovery:
    """Follows the list at one discovery address, from the first `subscribe` on."""

    def __init__(self, address: Address, known: Listing) -> None:
        self._address = address
        self._known = known
        self._revision: int | None = known.revision
        self._addresses: dict[str, Address] = {}
        self._on_update: Callable[[ListUpdate, dict[str, Address]], None] = lambda update, addresses: None
        self._task: asyncio.Task[None] | None = None
        self.has_responded = asyncio.Event()  # set once discovery has responded

    def start(self, on_update: Callable[[ListUpdate, dict[str, Address]], None]) -> None:
        """Report the saved list to `on_update`, and later updates as well."""
        self._on_update = on_update
        self._apply(self._known, ListKind.SAVED)

    def contains(self, server: str) -> bool:
        """Whether the list contains this upstream."""
        return server in self._addresses

    def count(self) -> int:
        """How many upstreams the list contains."""
        return len(self._addresses)

    def subscribe(self) -> None:
        """Follow the list from now on; a failure is reported, and the watch is retried."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._follow())

    def change_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Follow the list at another address; the known list stays until a whole one arrives from there."""
        (address,) = addresses
        if address == self._address:
            return
        self._address, self._revision = address, None  # the new address may have its own revision numbers
        self.stop()
        self._task = None
        self.subscribe()

    def status(self) -> dict[str, Any]:
        """Empty: the list has only one source."""
        return {}

    def stop(self) -> None:
        """Stop following the list."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        """Watch until cancelled.

        A watch that had worked is restarted without delay, as changes may have been missed.
        """
        is_down, clock = False, asyncio.get_running_loop().time
        while True:
            started_at = clock()
            try:
                await self._watch()
            except _WatchEndedError as error:
                if error.had_response:
                    is_down = False
                    log.warning("discovery: watch ended, starting a new one: %s", error)
                elif not is_down:
                    is_down = True
                    log.warning("discovery: unreachable: %s", error)
                    self._on_update(ListUpdate(ListKind.FAILED), self._addresses)
                if not error.had_response or clock() - started_at < RETRY_DELAY_S:
                    await asyncio.sleep(RETRY_DELAY_S)

    async def _watch(self) -> NoReturn:
        """Follow the list on one connection until it fails, with _WatchEndedError."""
        connection = DiscoveryConnection(self._address)
        wait_ms = 0  # the first response comes at once and shows whether the list is available
        try:
            while True:
                listing = await self._call(connection, wait_ms)
                if wait_ms == 0 or listing.complete or listing.members:
                    kind = ListKind.WHOLE if listing.complete else ListKind.CHANGES
                    self._apply(listing, kind)
                self._revision = listing.revision
                self.has_responded.set()
                wait_ms = WATCH_WAIT_MS
        except (OSError, TimeoutError, EOFError, InvalidResponseError) as error:
            raise _WatchEndedError(f"{type(error).__name__}: {error}", wait_ms > 0) from None
        except Exception as error:
            # An invalid response must not empty or partly change the list: the old list stays, and a whole
            # one is requested next.
            self._revision = None
            raise _WatchEndedError(f"invalid response: {type(error).__name__}: {error}", False) from None
        finally:
            connection.close()

    def _apply(self, listing: Listing, kind: ListKind) -> None:
        previous = {} if listing.complete else self._addresses
        removed = {m.server for m in listing.members if m.readiness is Readiness.GONE}
        self._addresses = {k: a for k, a in (previous | listing.addresses).items() if k not in removed}
        self._on_update(ListUpdate(kind, listing.members), self._addresses)

    async def _call(self, connection: DiscoveryConnection, wait_ms: int) -> Listing:
        target = (
            LIST_PATH if self._revision is None else f"{LIST_PATH}?after={self._revision}&wait_ms={wait_ms}"
        )
        async with asyncio.timeout(wait_ms / 1000 + CALL_TIMEOUT_S):
            response = await connection.get(target)
        if response.status != 200:
            raise InvalidResponseError(f"status {response.status}")
        listing = parse_listing(json.loads(response.body))
        if not listing.complete and (self._revision is None or listing.revision < self._revision):
            raise ValueError(f"changes up to {listing.revision} do not follow on {self._revision}")
        return listing
