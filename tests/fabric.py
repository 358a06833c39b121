"""The rig of the system's tests: a clock that jumps to the next timer, and a network inside one process.

`Loop` is an asyncio event loop that never sleeps (`mastturn.jumping`). `Network` stands in for TCP between
IPs: delay, windows, cuts (silent, one way, refusing), resets, machines without power. `Process` is whoever
runs on a machine: all that its code has scheduled waits while it is frozen, and after a kill.
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

from mastturn.jumping import JumpingLoop

WINDOW = 64 * 1024  # bytes that a peer takes without its program reading them
OUTSIDE = "10.99.0.1"  # whoever calls without being one of our processes

PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("PROCESS", default=None)


class Loop(JumpingLoop):
    """An event loop on the fabric's clock and network."""

    def __init__(self) -> None:
        super().__init__(PROCESS)
        self.network = Network(self)
        self.signals: dict[int, Callable[[], Any]] = {}  # each as if the signal came

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:  # type: ignore[override]
        self.signals[sig] = lambda: self.call_soon(callback, *args)


@dataclass(slots=True)
class _Waiting:
    """Something that a process which does not run had scheduled."""

    handle: asyncio.Handle
    is_timer: bool
    context: contextvars.Context
    callback: Callable[..., object]
    args: tuple[Any, ...]


class Process:
    """One program on a machine; its code and all that it has scheduled knows it by `PROCESS`."""

    def __init__(self, network: Network, name: str, ip: str) -> None:
        self.network, self.name, self.ip = network, name, ip
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, self)
        self.runs = True
        self.is_dead = False
        self._waiting: list[_Waiting] = []
        self.ends: set[End] = set()
        self.servers: set[Server] = set()
        self.machine: Any = None  # what it runs on, for the stand-ins
        network.processes.append(self)

    def run(
        self,
        cell: list[asyncio.Handle],
        is_timer: bool,
        callback: Callable[..., object],
        args: tuple[Any, ...],
    ) -> None:
        """Carry out what was scheduled, now or once we run again."""
        if self.runs:
            callback(*args)
        else:
            context = contextvars.copy_context()
            self._waiting.append(_Waiting(cell[0], is_timer, context, callback, args))

    def freeze(self) -> None:
        """Nothing of it runs; the kernel below goes on taking connections and bytes."""
        self.runs = False

    def thaw(self) -> None:
        """It runs again: timers that are due first, then what has arrived, as uvloop has it."""
        if self.is_dead:
            return
        self.resume()

    def resume(self) -> None:
        """Carry out what has waited."""
        self.runs = True
        waiting, self._waiting = self._waiting, []
        for item in sorted(waiting, key=lambda w: not w.is_timer):
            if not item.handle.cancelled():
                self.network.loop.call_soon(item.callback, *item.args, context=item.context)

    def kill(self, silently: bool = False) -> None:
        """It ends at once; its kernel resets what is open, or says nothing if it has lost power too."""
        self.runs, self.is_dead = False, True
        for server in list(self.servers):
            server.close()
        for end in list(self.ends):
            end.drop(silently)
        self.ends.clear()

    def exit(self) -> None:
        """It has ended by itself: nothing that it may have left behind runs any more."""
        self.kill()


class Server:
    """A listener, as `asyncio.Server`."""

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
    """Takes options; the network heeds the one that bounds how long bytes may stay without an answer."""

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
        self.flight = 0  # bytes on their way or not read yet
        self.on_wire: deque[Any] = deque()
        self.stuck = 0  # items that wait for a path
        self.stuck_since: float | None = None
        self.closing = self.gone = False
        self.paused = False
        self.unread: deque[Any] = deque()
        if self.process is not None:
            self.process.ends.add(self)

    # ---- what programs call

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        found = {"peername": self.remote, "sockname": self.local, "socket": self.options}
        return found.get(name, default)

    def write(self, data: Any) -> None:
        if self.closing or self.gone or not data:
            return
        if self.network.tap is not None:
            self.network.tap(self, bytes(data))
        self.buffer += data
        self.pump()

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
            self._take(self.unread.popleft())

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Any:
        return self.protocol

    # ---- below

    def _finish(self) -> None:
        self.network.carry(self, _END)
        self.lose(None)

    def lose(self, error: Exception | None) -> None:
        """It is over for our side."""
        if self.gone:
            return
        self.gone = self.closing = True
        self.buffer.clear()
        self.unread.clear()
        if self.process is not None:
            self.process.ends.discard(self)
        if self.protocol is not None:
            self.network.loop.call_soon(self.protocol.connection_lost, error, context=self.context)

    def drop(self, silently: bool) -> None:
        """Its program was killed; without power the other side hears nothing."""
        self.gone = self.closing = True
        self.buffer.clear()
        if silently:
            self.on_wire.clear()
        else:
            self.network.carry(self, _RESET)

    def pump(self) -> None:
        """Send what the other side's window takes."""
        while self.buffer and self.flight < WINDOW:
            chunk = bytes(self.buffer[: WINDOW - self.flight])
            del self.buffer[: len(chunk)]
            self.flight += len(chunk)
            self.network.carry(self, chunk)
        if self.buffer:
            self.network.watch(self)
        elif self.closing and not self.gone:
            self._finish()

    def credit(self, size: int) -> None:
        """The other side's program has read."""
        self.flight -= size
        if not self.stuck and self.network.is_open(self.remote[0], self.local[0]):
            self.stuck_since = None
        if self.buffer or self.closing:
            self.pump()

    def take(self, item: Any) -> None:
        """Something has arrived at our program."""
        if self.paused and item is not _RESET:
            self.unread.append(item)
        else:
            self._take(item)

    def _take(self, item: Any) -> None:
        if self.gone:
            if isinstance(item, bytes):
                self.network.carry(self, _RESET)
            return
        if item is _RESET:
            self.lose(ConnectionResetError(errno.ECONNRESET, "reset"))
        elif item is _END:
            if not self.protocol.eof_received():
                self.close()
        else:
            try:
                self.protocol.data_received(item)
            except Exception as error:  # as asyncio has it: the connection ends, the process lives
                self.network.loop.faults.append(f"data_received: {error!r}")
                self.network.carry(self, _RESET)
                self.lose(error)
            else:
                sender = self.peer
                self.network.loop.call_soon(sender.credit, len(item), context=sender.context)


@dataclass
class Network:
    """TCP between IPs."""

    loop: Loop
    delay_s: float = 0.001  # one way
    listeners: dict[tuple[str, int], Server] = field(default_factory=dict)
    tap: Callable[[End, bytes], None] | None = None
    cuts: set[tuple[str, str]] = field(default_factory=set)  # from, to: nothing gets through
    refusing: set[str] = field(default_factory=set)  # IPs that refuse every connection
    off: set[str] = field(default_factory=set)  # machines without power
    delays: dict[tuple[str, str], float] = field(default_factory=dict)  # in seconds, one way
    ends: list[End] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    ports: int = 40_000

    # ---- troubles

    def cut(self, here: list[str], there: list[str], both_ways: bool = True) -> None:
        """Nothing gets from here to there any more, nor back if `both_ways`; nobody is told."""
        for a in here:
            for b in there:
                self.cuts.add((a, b))
                if both_ways:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        """All paths are there again; what was held up goes on."""
        self.cuts.clear()
        self.flush()

    def flush(self) -> None:
        """Send again what was held up: some path is open again."""
        for end in self.ends:
            held, end.stuck, end.stuck_since = end.stuck, 0, None
            for _ in range(held):
                self.loop.call_later(self.delay_s, self._arrive, end, context=contextvars.Context())
        self.ends = [end for end in self.ends if not (end.gone and end.peer.gone)]

    def reset(self, a: str, b: str) -> None:
        """Both sides of all connections between two IPs hear of a reset."""
        for end in list(self.ends):
            if (end.local[0], end.remote[0]) in ((a, b), (b, a)):
                end.lose(ConnectionResetError(errno.ECONNRESET, "reset"))

    def is_open(self, a: str, b: str) -> bool:
        """Whether packets get from one IP to another."""
        return a == b or ((a, b) not in self.cuts and b not in self.off and a not in self.off)

    # ---- connections

    def listen(self, factory: Any, host: str, port: int) -> Server:
        """A new listener; raises OSError where there is one."""
        if (host, port) in self.listeners:
            raise OSError(errno.EADDRINUSE, f"address {host}:{port} is in use")
        server = self.listeners[host, port] = Server(self, factory, (host, port))
        return server

    async def connect(self, factory: Any, host: str, port: int) -> tuple[End, Any]:
        """A new connection from whoever asks; hangs where nobody says anything."""
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
        """How long a packet takes, in seconds."""
        return self.delays.get((a, b), 0.0 if a == b else self.delay_s)

    # ---- packets

    def carry(self, end: End, item: Any) -> None:
        """Bring something to the other side, in order."""
        end.on_wire.append(item)
        delay = self.delay_of(end.local[0], end.remote[0])
        self.loop.call_later(delay, self._arrive, end, context=contextvars.Context())

    def _arrive(self, end: End) -> None:
        here, there = end.local[0], end.remote[0]
        if end.stuck or not self.is_open(here, there):
            end.stuck += 1
            self.watch(end)
            return
        if not end.on_wire:
            return
        item, peer = end.on_wire.popleft(), end.peer
        if not self.is_open(there, here):
            self.watch(end)  # it arrives, and nobody hears of that
        if peer.process is not None and peer.process.is_dead:
            if isinstance(item, bytes) and not end.gone:  # another kernel, or one that has closed it
                self.loop.call_soon(end.take, _RESET, context=end.context)
            return
        self.loop.call_soon(peer.take, item, context=peer.context)

    def watch(self, end: End) -> None:
        """Bytes are without an answer: the sender's kernel gives up after a while if it was told to."""
        limit = end.options.user_timeout_s
        if end.stuck_since is None and limit is not None and not end.gone:
            end.stuck_since = since = self.loop.time()

            def check() -> None:
                if end.stuck_since == since and not end.gone:
                    end.lose(TimeoutError(errno.ETIMEDOUT, "no answer"))

            self.loop.call_later(limit, check, context=contextvars.Context())
