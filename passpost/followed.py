"""The list from several addresses: the choices of `fleet.registry.follower`, on the balancer's sockets.

Imported only where the configuration names more than one address of discovery; with one, `discovery.py` does
as it always did. The addresses are of our own replicas or agents: entries are asked for with `detail=1`, and
what orders two reports of one instance comes with them. Another discovery's answers count as spoilt.
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
from passpost.discovery import CALL_TIMEOUT, PATH, Line, Listing, parse_address
from passpost.http1 import Address, BadAnswerError
from umberworks.interface import ListKind, ListUpdate, Member, Readiness

log = logging.getLogger(__name__)

WORDS = {word.name.lower(): word for word in Lifecycle}


def read_entry(told: dict[str, Any]) -> Entry:
    """An entry in discovery's form with its detail; raises ValueError, TypeError or LookupError."""
    if "incarnation" not in told:
        raise ValueError("entries without their detail: no replica or agent of the list service")
    return Entry(
        id=str(told["id"]),
        host_port=str(told["host_port"]),
        locality=str(told.get("locality", "")),
        flavor=str(told.get("flavor", "")),
        cell=int(told.get("cell", 0)),
        size=float(told.get("size", 1.0)),
        up_since_ms=float(told.get("up_since_ms", 0)),
        incarnation=int(told["incarnation"]),
        lifecycle=WORDS[told["word"]],
        holder=str(told.get("holder", "")),
        turn=int(told.get("turn", 0)),
        lapsed=bool(told.get("lapsed", False)),
    )


def read_answer(data: Any, replica: str, after: int | None) -> core.ListReceived:
    """An answer; raises ValueError, TypeError or LookupError on what a list can't be."""
    revision, whole = int(data["revision"]), bool(data["complete"])
    if revision < 0 or (not whole and (after is None or revision < after)):
        raise ValueError(f"changes up to {revision} do not follow on {after}")
    entries = tuple(read_entry(item) for item in data["members"])
    if len({entry.id for entry in entries}) != len(entries):
        raise ValueError("an id stands there twice")
    seen = {str(name): int(number) for name, number in data.get("seen", {}).items()}
    changes = Changes(revision, whole, entries)
    return core.ListReceived(replica, str(data.get("replica", "")), changes, int(data.get("epoch", 0)), seen)


def as_member(entry: Entry) -> Member:
    """What the module is told of an entry."""
    phase = Readiness.GONE if entry.is_gone else Readiness.READY
    if phase is Readiness.READY and entry.lifecycle is Lifecycle.LEAVING:
        phase = Readiness.DRAINING
    return Member(entry.id, phase, entry.locality, entry.cell, entry.size, entry.up_since_ms)


def _kept(known: Listing) -> core.FollowerState:
    """The saved list as the oldest report of all: any other replaces it, an empty one needs two witnesses."""
    entries = []
    for member in known.members:
        if member.readiness is not Readiness.GONE:
            host, port = known.addresses[member.server]
            place = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
            word = Lifecycle.LEAVING if member.readiness is Readiness.DRAINING else Lifecycle.ACTIVE
            entry = Entry(
                member.server,
                place,
                "",
                member.zone,
                "",
                member.cell,
                member.size,
                member.up_since_ms,
                lifecycle=word,
            )
            entries.append((0, entry))
    return core.FollowerState(HistoryState(entries=tuple(entries)))


class Followed:
    """Keeps the list as the first address that can be had tells it; takes the place of `Discovery`."""

    def __init__(self, addresses: tuple[Address, ...], known: Listing, seed: int) -> None:
        self._known, self._seed = known, seed
        self._addresses: dict[str, Address] = {}
        self._tell: Callable[[ListUpdate, dict[str, Address]], None] = lambda update, addresses: None
        self._task: asyncio.Task[None] | None = None
        self._begin(addresses, _kept(known))
        self.heard = asyncio.Event()  # discovery has answered

    def _begin(self, addresses: tuple[Address, ...], kept: core.FollowerState) -> None:
        self._places = {f"{host}:{port}": (host, port) for host, port in addresses}
        self._follower = core.Follower(tuple(self._places), "", self._seed, time.time(), kept)
        self._told = self._follower.history.revision
        self._owes_whole = True

    def start(self, tell: Callable[[ListUpdate, dict[str, Address]], None]) -> None:
        """Tell the saved list; what comes later goes to the same place."""
        self._tell = tell
        self._addresses = dict(self._known.addresses)
        tell(ListUpdate(ListKind.SAVED, self._known.members), self._addresses)

    def knows(self, server: str) -> bool:
        """Whether the list holds it."""
        return server in self._addresses

    def count(self) -> int:
        """How many upstreams the list holds."""
        return len(self._addresses)

    def figures(self) -> dict[str, Any]:
        """Where the list comes from, the life of that place, and how long ago it answered."""
        heard = self._follower.last_response_at
        age = round(_now_ms() - heard) if heard is not None else None
        return {"source": self._follower.source, "epoch": self._follower.epoch, "age_ms": age}

    def subscribe(self) -> None:
        """Follow the list from now on; the next answer is told as a whole list."""
        self._owes_whole = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._follow())

    def move(self, addresses: tuple[Address, ...]) -> None:
        """Follow the list at other addresses; what is known stays until they tell more."""
        if dict.fromkeys(addresses) == dict.fromkeys(self._places.values()):
            return
        self.stop()
        self._task = None
        self._begin(addresses, core.FollowerState(self._follower.history.state()))
        self.subscribe()

    def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        lines = {name: Line(address) for name, address in self._places.items()}
        event: core.Event = core.Begin()
        try:
            while True:
                was_down = self._follower.is_down
                actions = self._follower.handle(event, _now_ms())
                if isinstance(event, core.ListReceived) and self._follower.last_response_at is not None:
                    self._pass_on()
                for action in actions:
                    if isinstance(action, core.Log):
                        log.info("%s", action.text)
                if self._follower.is_down and not was_down:
                    self._tell(ListUpdate(ListKind.FAILED), self._addresses)
                event = await self._carry_out(actions, lines)
        finally:
            for line in lines.values():
                line.hang_up()

    async def _carry_out(self, actions: list[core.Action], lines: dict[str, Line]) -> core.Event:
        """Ask, or pause: one of the two is always due."""
        for action in actions:
            if isinstance(action, core.Backoff):
                await asyncio.sleep(action.wait_ms / 1000)
                return core.BackoffElapsed()
            if isinstance(action, core.FetchList):
                return await self._ask(action, lines[action.replica])
        raise AssertionError("the follower neither asks nor pauses")

    async def _ask(self, ask: core.FetchList, line: Line) -> core.Event:
        target = f"{PATH}?detail=1"
        if ask.after is not None:
            target += f"&after={ask.after}&wait_ms={ask.wait_ms:.0f}"
        seconds = ask.wait_ms / 1000 + CALL_TIMEOUT
        try:
            async with asyncio.timeout(seconds):
                answer = await line.get(target)
            if answer.status != 200:
                raise BadAnswerError(f"status {answer.status}")
            return read_answer(json.loads(answer.body), ask.replica, ask.after)
        except TimeoutError:
            line.hang_up()
            return core.FetchFailed(ask.replica, f"no answer within {seconds:g} s")
        except Exception as error:  # whatever is spoilt: the old list stands, and the next address is asked
            line.hang_up()
            return core.FetchFailed(ask.replica, f"{type(error).__name__}: {error}")

    def _pass_on(self) -> None:
        history = self._follower.history
        if self._owes_whole:
            entries = tuple(entry for entry in history.entries() if not entry.is_gone)
            self._addresses, kind = {}, ListKind.WHOLE
        elif history.revision != self._told:
            entries, kind = history.changes_since(self._told).entries, ListKind.CHANGES
        else:
            return
        self._owes_whole, self._told = False, history.revision
        for entry in entries:
            if entry.is_gone:
                self._addresses.pop(entry.id, None)
            else:
                self._addresses[entry.id] = parse_address(entry.host_port)
        self._tell(ListUpdate(kind, tuple(as_member(entry) for entry in entries)), self._addresses)
        self.heard.set()


def _now_ms() -> float:
    return time.monotonic() * 1000
