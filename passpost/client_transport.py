"""The transport of a client connection: writes, closing each side, and the state known to the kernel."""

from __future__ import annotations

import asyncio
import math
import select
import socket
import struct
import time
from enum import Enum, auto
from typing import Any, cast

_LAST_RECEIVED_MS = struct.Struct("=52xI")  # Linux tcp_info up to tcpi_last_data_recv, in milliseconds
LINGER_S = 2.0  # an error response stays readable for so long before the connection is closed


class Phase(Enum):
    """The phase of a connection's life; it only advances."""

    OPEN = auto()
    ENDING = auto()  # our side is shut down or about to be: input is read and discarded
    GONE = auto()


class ClientTransport:
    """The transport of one connection, from before it is connected until after it is closed."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None
        self._resets = False  # whether a close now is a reset
        self._paused_since = math.inf  # when reading was last paused
        self.phase = Phase.OPEN
        self.linger_s = LINGER_S  # time from shutting down our side to closing

    def attach(self, transport: asyncio.BaseTransport) -> socket.socket:
        """Set the connected transport; returns its socket."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class is not a subclass
        return self._socket()

    def detach(self) -> None:
        """The connection is closed."""
        self._transport, self.phase = None, Phase.GONE

    def is_attached(self) -> bool:
        """Whether it is connected, possibly closing."""
        return self._transport is not None

    def is_usable(self) -> bool:
        """Whether it is connected and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def descriptor(self) -> int:
        """The descriptor of its socket."""
        return self._socket().fileno()

    def _socket(self) -> socket.socket:
        assert self._transport is not None
        peer: Any = self._transport.get_extra_info("socket")
        return cast(socket.socket, peer)

    # ---- data

    def write(self, data: bytes) -> None:
        """Send data, unless the connection is closed or closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def unsent_bytes(self) -> int:
        """Bytes that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def is_reading(self) -> bool:
        """Whether incoming bytes are read."""
        return self._transport is not None and self._transport.is_reading()

    def set_reading(self, reads: bool) -> None:
        """Read incoming bytes from now on, or leave them in the kernel."""
        if self._transport is None:
            return
        if reads:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
            self._paused_since = time.monotonic()

    def received_at(self) -> float:
        """When the bytes just read arrived, in seconds on the monotonic clock.

        For bytes that were left in the kernel while reading was paused this is when the last of them arrived,
        but not before the pause; without that information from the kernel it is now.
        """
        now = time.monotonic()
        if now < self._paused_since:
            return now
        age_ms: int
        try:
            info = self._socket().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_RECEIVED_MS.size)
            (age_ms,) = _LAST_RECEIVED_MS.unpack(info)
        except (OSError, struct.error):
            return now
        return max(now - age_ms / 1000, self._paused_since)

    # ---- closing

    def end_sending(self, linger_s: float, reads: bool) -> bool:
        """Shut down our side only; returns False if the connection is closed already.

        Closing with unread bytes would reset the connection and lose the last response. `reads`: what still
        arrives is read and discarded.
        """
        if self.phase is Phase.GONE:
            return False
        self.phase, self.linger_s = Phase.ENDING, linger_s
        if self._transport is not None and not self._transport.is_closing():
            self.set_reading(reads)
            if self._transport.can_write_eof():
                self._transport.write_eof()
        return True

    def close(self) -> None:
        """Close once everything is sent; nothing more is read."""
        self.phase = Phase.ENDING
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and discard unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Close with a reset, which no client takes for the end of a response."""
        if self.phase is Phase.OPEN:
            self.phase = Phase.ENDING
        if self._transport is not None:
            self.reset_at_close(True)
            self._transport.abort()

    def reset_at_close(self, resets: bool) -> None:
        """Set whether a close is a reset, including the kernel's close at the end of this process."""
        if resets != self._resets and self._transport is not None:
            self._resets = resets
            self._socket().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", resets, 0))

    # ---- state in the kernel that the event loop has not seen yet

    def _poll_events(self, mask: int) -> int:
        if self._transport is None or self._transport.is_closing():
            return select.POLLHUP
        if self._poll is None:
            self._poll = select.poll()
        self._poll.register(self._socket(), mask)
        return next((events for _, events in self._poll.poll(0)), 0)

    def has_unread(self) -> bool:
        """Whether the kernel holds unread bytes: a request, or bytes that would turn a close into a reset."""
        return bool(self._poll_events(select.POLLIN))

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected, also while reading is paused; if so, aborts the connection."""
        if not self._poll_events(select.POLLRDHUP):
            return False
        self.abort()
        return True
