"""Follows the list at several addresses: `fleet.registry.follower` decides, on the balancer's sockets.

Imported only where the configuration names more than one discovery address; with one, `discovery.py` is used.
The addresses are replicas or agents of the list service: entries are requested with `detail=1`, which
includes what orders two reports of one instance. Responses of any other discovery service count as invalid.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from typing import Any

from fleet.registry import follower as core
from fleet.registry.entries import Entry, Lifecycle
from fleet.registry.history import Changes, HistoryState
from passpost.discovery import CALL_TIMEOUT_S, LIST_PATH, DiscoveryConnection, Listing, parse_address
from passpost.http1 import Address, InvalidResponseError
from umberworks.interface import ListKind, ListUpdate, Member, Readiness

log = logging.getLogger(__name__)

LIFECYCLES_BY_NAME = {lifecycle.name.lower(): lifecycle for lifecycle in Lifecycle}


def read_entry(data: dict[str, Any]) -> Entry:
    """An entry in discovery's format with its detail; raises ValueError, TypeError or LookupError."""
    if "incarnation" not in data:
        raise ValueError("entries without detail: not a replica or agent of the list service")
    return Entry(
        id=str(data["id"]),
        host_port=str(data["host_port"]),
        locality=str(data.get("locality", "")),
        flavor=str(data.get("flavor", "")),
        cell=int(data.get("cell", 0)),
        size=float(data.get("size", 1.0)),
        up_since_ms=float(data.get("up_since_ms", 0)),
        incarnation=int(data["incarnation"]),
        lifecycle=LIFECYCLES_BY_NAME[data["word"]],
        holder=str(data.get("holder", "")),
        turn=int(data.get("turn", 0)),
        lapsed=bool(data.get("lapsed", False)),
    )


def read_response(data: Any, replica: str, after: int | None) -> core.ListReceived:
    """A response of `replica`; raises ValueError, TypeError or LookupError if it is not a valid list."""
    revision, whole = int(data["revision"]), bool(data["complete"])
    if revision < 0 or (not whole and (after is None or revision < after)):
        raise ValueError(f"changes up to {revision} do not follow on {after}")
    entries = tuple(read_entry(item) for item in data["members"])
    if len({entry.id for entry in entries}) != len(entries):
        raise ValueError("duplicate id in the list")
    seen = {str(name): int(number) for name, number in data.get("seen", {}).items()}
    changes = Changes(revision, whole, entries)
    return core.ListReceived(replica, str(data.get("replica", "")), changes, int(data.get("epoch", 0)), seen)


def to_member(entry: Entry) -> Member:
    """The entry as the policy sees it."""
    phase = Readiness.GONE if entry.is_gone else Readiness.READY
    if phase is Readiness.READY and entry.lifecycle is Lifecycle.LEAVING:
        phase = Readiness.DRAINING
    return Member(entry.id, phase, entry.locality, entry.cell, entry.size, entry.up_since_ms)


def _initial_state(known: Listing) -> core.FollowerState:
    """The saved list as the oldest report of all.

    Any other report replaces it; an empty list needs two witnesses.
    """
    entries = []
    for member in known.members:
        if member.readiness is not Readiness.GONE:
            host, port = known.addresses[member.server]
            host_port = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
            lifecycle = Lifecycle.LEAVING if member.readiness is Readiness.DRAINING else Lifecycle.ACTIVE
            entry = Entry(
                member.server,
                host_port,
                "",
                member.zone,
                "",
                member.cell,
                member.size,
                member.up_since_ms,
                lifecycle=lifecycle,
            )
            entries.append((0, entry))
    return core.FollowerState(HistoryState(entries=tuple(entries)))


class ReplicatedDiscovery:
    """Follows the list at the first available address; a `ListSource` like `Discovery`."""

    def __init__(self, addresses: tuple[Address, ...], known: Listing, seed: int) -> None:
        self._known, self._seed = known, seed
        self._addresses: dict[str, Address] = {}
        self._on_update: Callable[[ListUpdate, dict[str, Address]], None] = lambda update, addresses: None
        self._task: asyncio.Task[None] | None = None
        self._reset(addresses, _initial_state(known))
        self.has_responded = asyncio.Event()  # set once discovery has responded

    def _reset(self, addresses: tuple[Address, ...], state: core.FollowerState) -> None:
        self._addresses_by_name = {f"{host}:{port}": (host, port) for host, port in addresses}
        self._follower = core.Follower(tuple(self._addresses_by_name), "", self._seed, time.time(), state)
        self._published_revision = self._follower.history.revision
        self._must_publish_whole = True

    def start(self, on_update: Callable[[ListUpdate, dict[str, Address]], None]) -> None:
        """Report the saved list to `on_update`, and later updates as well."""
        self._on_update = on_update
        self._addresses = dict(self._known.addresses)
        on_update(ListUpdate(ListKind.SAVED, self._known.members), self._addresses)

    def contains(self, server: str) -> bool:
        """Whether the list contains this upstream."""
        return server in self._addresses

    def count(self) -> int:
        """How many upstreams the list contains."""
        return len(self._addresses)

    def status(self) -> dict[str, Any]:
        """The address that the list comes from, its epoch, and how long ago it responded."""
        last_answer_ms = self._follower.last_response_at
        age = round(_now_ms() - last_answer_ms) if last_answer_ms is not None else None
        return {"source": self._follower.source, "epoch": self._follower.epoch, "age_ms": age}

    def subscribe(self) -> None:
        """Follow the list from now on; the next response is reported as a whole list."""
        self._must_publish_whole = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._follow())

    def change_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Follow the list at other addresses; the known list stays until they respond."""
        if dict.fromkeys(addresses) == dict.fromkeys(self._addresses_by_name.values()):
            return
        self.stop()
        self._task = None
        self._reset(addresses, core.FollowerState(self._follower.history.state()))
        self.subscribe()

    def stop(self) -> None:
        """Stop following the list."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        connections = {
            name: DiscoveryConnection(address) for name, address in self._addresses_by_name.items()
        }
        event: core.Event = core.Begin()
        try:
            while True:
                was_down = self._follower.is_down
                actions = self._follower.handle(event, _now_ms())
                if isinstance(event, core.ListReceived) and self._follower.last_response_at is not None:
                    self._publish()
                for action in actions:
                    if isinstance(action, core.Log):
                        log.info("%s", action.text)
                if self._follower.is_down and not was_down:
                    self._on_update(ListUpdate(ListKind.FAILED), self._addresses)
                event = await self._execute(actions, connections)
        finally:
            for connection in connections.values():
                connection.close()

    async def _execute(
        self, actions: list[core.Action], connections: dict[str, DiscoveryConnection]
    ) -> core.Event:
        """Send a request or pause, one of which is always due; returns the resulting event."""
        for action in actions:
            if isinstance(action, core.Backoff):
                await asyncio.sleep(action.wait_ms / 1000)
                return core.BackoffElapsed()
            if isinstance(action, core.FetchList):
                return await self._request(action, connections[action.replica])
        raise AssertionError("the follower returned neither a request nor a pause")

    async def _request(self, request: core.FetchList, connection: DiscoveryConnection) -> core.Event:
        target = f"{LIST_PATH}?detail=1"
        if request.after is not None:
            target += f"&after={request.after}&wait_ms={request.wait_ms:.0f}"
        seconds = request.wait_ms / 1000 + CALL_TIMEOUT_S
        try:
            async with asyncio.timeout(seconds):
                response = await connection.get(target)
            if response.status != 200:
                raise InvalidResponseError(f"status {response.status}")
            return read_response(json.loads(response.body), request.replica, request.after)
        except TimeoutError:
            connection.close()
            return core.FetchFailed(request.replica, f"no answer within {seconds:g} s")
        except Exception as error:  # whatever is invalid: the old list stays, and the next address is tried
            connection.close()
            return core.FetchFailed(request.replica, f"{type(error).__name__}: {error}")

    def _publish(self) -> None:
        history = self._follower.history
        if self._must_publish_whole:
            entries = tuple(entry for entry in history.entries() if not entry.is_gone)
            self._addresses, kind = {}, ListKind.WHOLE
        elif history.revision != self._published_revision:
            entries, kind = history.changes_since(self._published_revision).entries, ListKind.CHANGES
        else:
            return
        self._must_publish_whole, self._published_revision = False, history.revision
        for entry in entries:
            if entry.is_gone:
                self._addresses.pop(entry.id, None)
            else:
                self._addresses[entry.id] = parse_address(entry.host_port)
        self._on_update(ListUpdate(kind, tuple(to_member(entry) for entry in entries)), self._addresses)
        self.has_responded.set()


def _now_ms() -> float:
    return time.monotonic() * 1000
