"""TCP between the programs of a hollow fleet, in memory: delay by place, and every message counted by kind.

There are no windows: what is written arrives whole, in order, after the delay between the two places and the
time that the sender's link takes for it.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import struct
from collections.abc import Callable
from typing import Any, Protocol

import consensus.messages
import dissemination.messages
from transport.wire import COMPRESSED_KIND, MessageKinds

HEAD = struct.Struct(">IH")
KINDS = MessageKinds().include(consensus.messages.KINDS).include(dissemination.messages.KINDS)
# By class, where they differ: the names under which docs/capacity holds figures of earlier runs.
FIGURE_NAMES = {
    "PreVoteRequest": "Ask",
    "PreVoteResponse": "Answer",
    "Promise": "Promised",
    "InstallView": "Install",
    "InstallViewAck": "Installed",
    "WriteAck": "Written",
    "WriteRequest": "Write",
    "Heartbeat": "Beat",
    "HeartbeatAck": "Heard",
    "JoinRequest": "Join",
    "ViewUpdate": "Known",
    "TransferLeadership": "Succeed",
    "LeaveRequest": "Leaving",
    "LeaveAck": "Released",
    "LeaderHeartbeat": "Pulse",
    "ConfigurationUpdate": "ConfigurationNews",
    "UpstreamListUpdate": "UpstreamNews",
    "Redirect": "Moved",
    "MembershipUpdate": "MemberNews",
    "PresenceReport": "Roll",
    "LoadUpdate": "LoadNews",
    "CachedPrefixReport": "HoldingReport",
    "CachedPrefixUpdate": "HoldingNews",
    "Hello": "Speaks",
    "FailureReport": "DoubtReport",
    "FailureUpdate": "DoubtNews",
    "EpochNotice": "EpochHeard",
}
NAMES = {
    number: FIGURE_NAMES.get(kind.cls.__name__, kind.cls.__name__)
    for number, kind in KINDS._by_number.items()
}
STATION_PORT, CTL_PORT, PLATFORM_PORT = 7720, 8166, 8169
IN_ZONE_S, CROSS_ZONE_S, CROSS_REGION_S = 0.0001, 0.0014, 0.012  # one way
NEXT_S = 1e-9  # what is sent at once arrives one after the other: timers of one moment have no order
GIVEN_UP_S = 1.5  # bytes without an answer for so long end a connection, as `transport.links` asks for


def kind_of(port: int, data: bytes) -> str:
    """The name of a message on its way."""
    if port == PLATFORM_PORT:
        return "platform"
    if port == CTL_PORT:
        return "operator"
    if len(data) >= HEAD.size:
        size, number = HEAD.unpack_from(data)
        if number == COMPRESSED_KIND and size + HEAD.size == len(data):
            return NAMES.get(int.from_bytes(data[HEAD.size : HEAD.size + 2], "big"), "other")
        if size + HEAD.size == len(data) and number in NAMES:
            return NAMES[number]
    return "other"


class Owner:
    """Whoever connections belong to."""

    def __init__(self, name: str, ip: str, place: tuple[str, str]) -> None:
        self.name, self.ip, self.place = name, ip, place
        self.is_dead = False
        self.cause = ""  # of what is being done now
        self.ends: set[End] = set()
        self.servers: set[Server] = set()
        self.link_free_at = 0.0

    def count_sent(self, kind: str, size: int) -> None:
        """A message goes out."""

    def count_got(self, kind: str, size: int) -> None:
        """A message comes in."""


class Clock(Protocol):
    """What the network needs of the loop."""

    def time(self) -> float:
        """Seconds."""

    def at(self, when: float, callback: Callable[..., object], *args: Any) -> None:
        """Schedule what belongs to no program."""

    def call_soon(self, callback: Any, *args: Any, context: contextvars.Context | None = None) -> Any:
        """As asyncio has it."""


class Server:
    """A listener, as `asyncio.Server`."""

    def __init__(self, network: Network, factory: Any, address: tuple[str, int], owner: Owner | None) -> None:
        self._network, self.factory, self.address, self.owner = network, factory, address, owner
        self.context = contextvars.copy_context()
        if owner is not None:
            owner.servers.add(self)

    def close(self) -> None:
        """Listen no more."""
        self._network.listeners.pop(self.address, None)
        if self.owner is not None:
            self.owner.servers.discard(self)

    async def wait_closed(self) -> None:
        """Closed at once."""

    def is_serving(self) -> bool:
        """Whether it listens."""
        return self._network.listeners.get(self.address) is self


class _Options:
    """Takes the options of a socket."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Nothing: what is asked for is the network's way."""


class End(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self,
        network: Network,
        local: tuple[str, int],
        remote: tuple[str, int],
        owner: Owner | None,
        context: contextvars.Context,
    ) -> None:
        super().__init__()
        self._network, self.local, self.remote, self.owner = network, local, remote, owner
        self.context = context
        self.protocol: Any = None
        self.peer: End = self
        self.is_over = False
        self._doomed = False
        self.last_at = 0.0  # when the last that was sent is there
        if owner is not None:
            owner.ends.add(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The addresses, and something that takes a socket's options."""
        return {"peername": self.remote, "sockname": self.local, "socket": _Options()}.get(name, default)

    def write(self, data: Any) -> None:
        """Bytes to the other side."""
        if self.is_over or not data:
            return
        data = bytes(data)
        kind = kind_of(min(self.local[1], self.remote[1]), data)
        if self.owner is not None:
            self.owner.count_sent(kind, len(data))
        network = self._network
        if network.is_cut(self, self.peer):
            if not self._doomed:
                self._doomed = True
                network.clock.at(
                    network.clock.time() + GIVEN_UP_S, self.lose, TimeoutError(errno.ETIMEDOUT, "")
                )
            return
        network.clock.at(network.arrival(self, len(data)), self.peer.arrive, kind, data)

    def get_write_buffer_size(self) -> int:
        """Nothing waits here."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Nothing waits here."""

    def can_write_eof(self) -> bool:
        """Half a connection is never closed."""
        return False

    def is_closing(self) -> bool:
        """Whether it is over."""
        return self.is_over

    def close(self) -> None:
        """End it."""
        if not self.is_over:
            self.drop()
            self.lose(None)

    def abort(self) -> None:
        """End it at once."""
        self.close()

    def pause_reading(self) -> None:
        """Nothing is held back."""

    def resume_reading(self) -> None:
        """Nothing was held back."""

    def set_protocol(self, protocol: Any) -> None:
        """Another reads from now on."""
        self.protocol = protocol

    def get_protocol(self) -> Any:
        """Who reads."""
        return self.protocol

    # ---- below

    def arrive(self, kind: str, data: bytes) -> None:
        """Bytes have come."""
        if not self.is_over:
            self._network.clock.call_soon(self._take, kind, data, context=self.context)

    def _take(self, kind: str, data: bytes) -> None:
        if self.is_over:
            return
        if self.owner is not None:
            self.owner.count_got(kind, len(data))
        self.protocol.data_received(data)

    def drop(self) -> None:
        """The other side hears of the end, if there is a path."""
        if not self._network.is_cut(self, self.peer):
            peer, at = self.peer, self._network.arrival(self, 0)
            self._network.clock.at(at, peer.lose, ConnectionResetError(errno.ECONNRESET, "reset"))
        self.is_over = True

    def lose(self, error: Exception | None) -> None:
        """It is over for our side."""
        if self.protocol is None or (self.is_over and error is not None):
            return
        self.is_over = True
        protocol, self.protocol = self.protocol, None
        if self.owner is not None:
            self.owner.ends.discard(self)
        self._network.clock.call_soon(protocol.connection_lost, error, context=self.context)


class Network:
    """All listeners, and how far it is from one program to another."""

    def __init__(self, clock: Clock, caller: Callable[[], Owner | None]) -> None:
        """`caller`: the program that runs now."""
        self.clock, self._caller = clock, caller
        self.listeners: dict[tuple[str, int], Server] = {}
        self.mbps = 0.0  # of each machine's link; 0: no bound
        self.apart: set[str] = set()  # regions that nothing reaches from another, nor gets out of
        self.spared: set[str] = set()  # programs that everybody reaches all the same
        self._ports = 40_000

    def listen(self, factory: Any, host: str, port: int) -> Server:
        """A new listener; raises OSError where there is one."""
        if (host, port) in self.listeners:
            raise OSError(errno.EADDRINUSE, f"address {host}:{port} is in use")
        server = self.listeners[host, port] = Server(self, factory, (host, port), self._caller())
        return server

    async def connect(self, factory: Any, host: str, port: int) -> tuple[End, Any]:
        """A new connection from whoever asks; hangs where there is no path."""
        owner = self._caller()
        server = self.listeners.get((host, port))
        there = server.owner if server is not None else None
        delay = self.delay(owner, there)
        if self._is_apart(owner, there):
            await asyncio.Event().wait()
        await asyncio.sleep(2 * delay)
        server = self.listeners.get((host, port))
        if server is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"{host}:{port} refuses")
        self._ports += 1
        own = (owner.ip if owner is not None else "10.99.0.1", self._ports)
        near = End(self, own, (host, port), owner, contextvars.copy_context())
        far = End(self, (host, port), own, server.owner, server.context.copy())
        near.peer, far.peer = far, near
        far.protocol, near.protocol = server.factory(), factory()
        self.clock.call_soon(far.protocol.connection_made, far, context=far.context)
        near.protocol.connection_made(near)
        return near, near.protocol

    def delay(self, a: Owner | None, b: Owner | None) -> float:
        """Seconds one way."""
        if a is None or b is None or a.ip == b.ip:
            return IN_ZONE_S
        if a.place[1] != b.place[1]:
            return CROSS_REGION_S
        return CROSS_ZONE_S if a.place[0] != b.place[0] else IN_ZONE_S

    def arrival(self, end: End, size: int) -> float:
        """When what is sent now is there: after all that was sent before it."""
        now, owner = self.clock.time(), end.owner
        if owner is not None and self.mbps:
            now = owner.link_free_at = max(now, owner.link_free_at) + size * 8e-6 / self.mbps
        end.last_at = max(now + self.delay(owner, end.peer.owner), end.last_at + NEXT_S)
        return end.last_at

    def is_cut(self, a: End, b: End) -> bool:
        """Whether nothing gets from one end to the other."""
        return self._is_apart(a.owner, b.owner)

    def _is_apart(self, a: Owner | None, b: Owner | None) -> bool:
        if not self.apart or a is None or b is None or a.place[1] == b.place[1]:
            return False
        if a.name in self.spared or b.name in self.spared:
            return False
        return a.place[1] in self.apart or b.place[1] in self.apart
