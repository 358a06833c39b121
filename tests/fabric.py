"""Simulated environment of the tests: a clock that jumps to the next timer, and an in-process network.

`Loop` is an asyncio event loop that never sleeps (`mastturn.jumping`). `Network` simulates TCP between IPs:
delays, windows, cuts (silent, one-way, refusing), resets and machines without power. `Process` is a program
on a machine: its callbacks are held while it is frozen, and dropped after a kill.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mastturn.jumping import SimulatedTimeLoop

WINDOW = 64 * 1024  # bytes that a peer accepts before its program reads them
OUTSIDE = "10.99.0.1"  # source IP of clients that are no simulated process

PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("PROCESS", default=None)


class Loop(SimulatedTimeLoop):
    """An event loop with the simulated clock and network."""

    def __init__(self) -> None:
        super().__init__(PROCESS)
        self.network = Network(self)
        self.signals: dict[int, Callable[[], Any]] = {}  # by number; call one to deliver the signal

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:  # type: ignore[override]
        self.signals[sig] = lambda: self.call_soon(callback, *args)


@dataclass(slots=True)
class _Suspended:
    """A callback that was due while its process was frozen."""

    handle: asyncio.Handle
    is_timer: bool
    context: contextvars.Context
    callback: Callable[..., object]
    args: tuple[Any, ...]


class Process:
    """One program on a machine; its code and callbacks run in a context where `PROCESS` is set to it."""

    def __init__(self, network: Network, name: str, ip: str) -> None:
        self.network, self.name, self.ip = network, name, ip
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, self)
        self.runs = True
        self.is_dead = False
        self._suspended: list[_Suspended] = []
        self.ends: set[End] = set()
        self.servers: set[Server] = set()
        self.machine: Any = None  # used by stand-ins for the operating system
        network.processes.append(self)

    def run(
        self,
        cell: list[asyncio.Handle],
        is_timer: bool,
        callback: Callable[..., object],
        args: tuple[Any, ...],
    ) -> None:
        """Run a due callback, now or when the process is resumed."""
        if self.runs:
            callback(*args)
        else:
            context = contextvars.copy_context()
            self._suspended.append(_Suspended(cell[0], is_timer, context, callback, args))

    def freeze(self) -> None:
        """Stop running callbacks; the simulated kernel still accepts connections and data."""
        self.runs = False

    def thaw(self) -> None:
        """Resume: due timers first, then received data, in the order of uvloop."""
        if self.is_dead:
            return
        self.resume()

    def resume(self) -> None:
        """Schedule the suspended callbacks."""
        self.runs = True
        suspended, self._suspended = self._suspended, []
        for item in sorted(suspended, key=lambda w: not w.is_timer):
            if not item.handle.cancelled():
                self.network.loop.call_soon(item.callback, *item.args, context=item.context)

    def kill(self, silently: bool = False) -> None:
        """End at once; open connections are reset, or left silent on a loss of power."""
        self.runs, self.is_dead = False, True
        for server in list(self.servers):
            server.close()
        for end in list(self.ends):
            end.on_process_killed(silently)
        self.ends.clear()

    def exit(self) -> None:
        """End after a regular stop, including anything left running."""
        self.kill()


class Server:
    """A listener with the interface of `asyncio.Server`."""

    def __init__(self, network: Network, factory: Any, address: tuple[str, int]) -> None:
        self.network, self.factory, self.address = network, factory, address
        self.process = PROCESS.get()
        if self.process is not None:
            self.process.servers.add(self)

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
        if self.process is not None:
            self.process.servers.discard(self)

    async def wait_closed(self) -> None:
        return None

    def is_serving(self) -> bool:
        return self.network.listeners.get(self.address) is self


class FakeSocket:
    """Accepts socket options; the network applies TCP_USER_TIMEOUT."""

    def __init__(self) -> None:
        self.user_timeout_s: float | None = None

    def setsockopt(self, level: int, option: int, value: int) -> None:
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.user_timeout_s = value / 1000


_END, _RESET = object(), object()


class End(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: Network, local: tuple[str, int], remote: tuple[str, int]) -> None:
        super().__init__()
        self.network, self.local, self.remote = network, local, remote
        self.process = PROCESS.get()
        self.context = contextvars.copy_context()
        self.protocol: Any = None
        self.peer: End = self
        self.options = FakeSocket()
        self.buffer = bytearray()
        self.in_flight = 0  # bytes in transit or unread
        self.on_wire: deque[Any] = deque()
        self.blocked_items = 0  # items that wait for a path
        self.blocked_since: float | None = None
        self.closing = self.gone = False
        self.paused = False
        self.unread: deque[Any] = deque()
        if self.process is not None:
            self.process.ends.add(self)

    # ---- interface for programs

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        info = {"peername": self.remote, "sockname": self.local, "socket": self.options}
        return info.get(name, default)

    def write(self, data: Any) -> None:
        if self.closing or self.gone or not data:
            return
        if self.network.tap is not None:
            self.network.tap(self, bytes(data))
        self.buffer += data
        self.flush_buffer()

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        return None

    def can_write_eof(self) -> bool:
        return False

    def is_closing(self) -> bool:
        return self.closing or self.gone

    def close(self) -> None:
        if not self.closing and not self.gone:
            self.closing = True
            if not self.buffer:
                self._finish()

    def abort(self) -> None:
        if not self.gone:
            self.closing = True
            self.buffer.clear()
            self._finish()

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        while self.unread and not self.paused:
            self._deliver(self.unread.popleft())

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Any:
        return self.protocol

    # ---- simulation

    def _finish(self) -> None:
        self.network.transmit(self, _END)
        self.on_lost(None)

    def on_lost(self, error: Exception | None) -> None:
        """Report the end of the connection to the program on this side."""
        if self.gone:
            return
        self.gone = self.closing = True
        self.buffer.clear()
        self.unread.clear()
        if self.process is not None:
            self.process.ends.discard(self)
        if self.protocol is not None:
            self.network.loop.call_soon(self.protocol.connection_lost, error, context=self.context)

    def on_process_killed(self, silently: bool) -> None:
        """Close after the program was killed; without power the other side is not told."""
        self.gone = self.closing = True
        self.buffer.clear()
        if silently:
            self.on_wire.clear()
        else:
            self.network.transmit(self, _RESET)

    def flush_buffer(self) -> None:
        """Send as much as the peer's window allows."""
        while self.buffer and self.in_flight < WINDOW:
            chunk = bytes(self.buffer[: WINDOW - self.in_flight])
            del self.buffer[: len(chunk)]
            self.in_flight += len(chunk)
            self.network.transmit(self, chunk)
        if self.buffer:
            self.network.start_user_timeout(self)
        elif self.closing and not self.gone:
            self._finish()

    def on_peer_read(self, size: int) -> None:
        """Free window space after the peer's program has read."""
        self.in_flight -= size
        if not self.blocked_items and self.network.is_open(self.remote[0], self.local[0]):
            self.blocked_since = None
        if self.buffer or self.closing:
            self.flush_buffer()

    def on_arrival(self, item: Any) -> None:
        """Handle an item that has arrived."""
        if self.paused and item is not _RESET:
            self.unread.append(item)
        else:
            self._deliver(item)

    def _deliver(self, item: Any) -> None:
        if self.gone:
            if isinstance(item, bytes):
                self.network.transmit(self, _RESET)
            return
        if item is _RESET:
            self.on_lost(ConnectionResetError(errno.ECONNRESET, "reset"))
        elif item is _END:
            if not self.protocol.eof_received():
                self.close()
        else:
            try:
                self.protocol.data_received(item)
            except Exception as error:  # as in asyncio: the connection ends and the process goes on
                self.network.loop.faults.append(f"data_received: {error!r}")
                self.network.transmit(self, _RESET)
                self.on_lost(error)
            else:
                sender = self.peer
                self.network.loop.call_soon(sender.on_peer_read, len(item), context=sender.context)


@dataclass
class Network:
    """Simulated TCP between IPs."""

    loop: Loop
    delay_s: float = 0.001  # one way
    listeners: dict[tuple[str, int], Server] = field(default_factory=dict)
    tap: Callable[[End, bytes], None] | None = None
    cuts: set[tuple[str, str]] = field(default_factory=set)  # (source, destination) pairs without a path
    refusing: set[str] = field(default_factory=set)  # IPs that refuse all connections
    off: set[str] = field(default_factory=set)  # IPs of machines without power
    delays: dict[tuple[str, str], float] = field(default_factory=dict)  # seconds, one way
    ends: list[End] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    ports: int = 40_000

    # ---- faults

    def cut(self, here: list[str], there: list[str], both_ways: bool = True) -> None:
        """Block packets from `here` to `there`, and back if `both_ways`, without any error."""
        for a in here:
            for b in there:
                self.cuts.add((a, b))
                if both_ways:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        """Restore all paths and send what was blocked."""
        self.cuts.clear()
        self.flush()

    def flush(self) -> None:
        """Send blocked items again after a path was restored."""
        for end in self.ends:
            blocked_items, end.blocked_items, end.blocked_since = end.blocked_items, 0, None
            for _ in range(blocked_items):
                self.loop.call_later(self.delay_s, self._arrive, end, context=contextvars.Context())
        self.ends = [end for end in self.ends if not (end.gone and end.peer.gone)]

    def reset(self, a: str, b: str) -> None:
        """Reset all connections between two IPs on both sides."""
        for end in list(self.ends):
            if (end.local[0], end.remote[0]) in ((a, b), (b, a)):
                end.on_lost(ConnectionResetError(errno.ECONNRESET, "reset"))

    def is_open(self, a: str, b: str) -> bool:
        """Return whether packets get from one IP to another."""
        return a == b or ((a, b) not in self.cuts and b not in self.off and a not in self.off)

    # ---- connections

    def listen(self, factory: Any, host: str, port: int) -> Server:
        """Return a new listener; raises OSError if the address is in use."""
        if (host, port) in self.listeners:
            raise OSError(errno.EADDRINUSE, f"address {host}:{port} is in use")
        server = self.listeners[host, port] = Server(self, factory, (host, port))
        return server

    async def connect(self, factory: Any, host: str, port: int) -> tuple[End, Any]:
        """Return a new connection; hangs if there is no path."""
        process = PROCESS.get()
        own = process.ip if process is not None else OUTSIDE
        delay = self.delay_of(own, host)
        await asyncio.sleep(delay)
        if not (self.is_open(own, host) and self.is_open(host, own)):
            await asyncio.Event().wait()
        server = self.listeners.get((host, port))
        if server is None or host in self.refusing:
            await asyncio.sleep(delay)
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"{host}:{port} refuses")
        self.ports += 1
        there = self._accept(server, (own, self.ports))
        here = End(self, (own, self.ports), (host, port))
        here.peer, there.peer = there, here
        self.ends += [here, there]
        here.protocol = factory()
        try:
            await asyncio.sleep(delay)
        except asyncio.CancelledError:
            here.protocol = None
            here.abort()
            raise
        here.protocol.connection_made(here)
        return here, here.protocol

    def _accept(self, server: Server, remote: tuple[str, int]) -> End:
        context = server.process.context if server.process is not None else contextvars.Context()
        end = context.copy().run(End, self, server.address, remote)

        def accepted() -> None:
            end.protocol = server.factory()
            end.protocol.connection_made(end)

        self.loop.call_soon(accepted, context=end.context)
        return end

    def delay_of(self, a: str, b: str) -> float:
        """Return the delay of a packet in seconds."""
        return self.delays.get((a, b), 0.0 if a == b else self.delay_s)

    # ---- packets

    def transmit(self, end: End, item: Any) -> None:
        """Send an item to the peer, in order."""
        end.on_wire.append(item)
        delay = self.delay_of(end.local[0], end.remote[0])
        self.loop.call_later(delay, self._arrive, end, context=contextvars.Context())

    def _arrive(self, end: End) -> None:
        here, there = end.local[0], end.remote[0]
        if end.blocked_items or not self.is_open(here, there):
            end.blocked_items += 1
            self.start_user_timeout(end)
            return
        if not end.on_wire:
            return
        item, peer = end.on_wire.popleft(), end.peer
        if not self.is_open(there, here):
            self.start_user_timeout(end)  # the item arrives, but no acknowledgement comes back
        if peer.process is not None and peer.process.is_dead:
            if isinstance(item, bytes) and not end.gone:  # the connection is unknown at the other side
                self.loop.call_soon(end.on_arrival, _RESET, context=end.context)
            return
        self.loop.call_soon(peer.on_arrival, item, context=peer.context)

    def start_user_timeout(self, end: End) -> None:
        """Start TCP_USER_TIMEOUT, if set, for bytes that are not acknowledged."""
        limit = end.options.user_timeout_s
        if end.blocked_since is None and limit is not None and not end.gone:
            end.blocked_since = since = self.loop.time()

            def check() -> None:
                if end.blocked_since == since and not end.gone:
                    end.on_lost(TimeoutError(errno.ETIMEDOUT, "no answer"))

            self.loop.call_later(limit, check, context=contextvars.Context())
