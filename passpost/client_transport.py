"""A client's connection below its messages: bytes out, the end of each side, what the kernel knows."""

from __future__ import annotations

import asyncio
import math
import select
import socket
import struct
import time
from enum import Enum, auto
from typing import Any, cast

_LAST_RECEIVED_MS = struct.Struct("=52xI")  # Linux's tcp_info up to tcpi_last_data_recv, in milliseconds
LINGER_S = 2.0  # an error is left so long to be read before its connection goes


class Phase(Enum):
    """How far a connection is in its life; it only moves on."""

    OPEN = auto()
    ENDING = auto()  # our side is ended or about to be: what still comes is read and dropped
    GONE = auto()


class ClientTransport:
    """The transport of one connection, from before it is there until after it has gone."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None
        self._resets = False  # a close now is a reset
        self._unread_from = math.inf  # when we last began to leave what comes in the kernel
        self.phase = Phase.OPEN
        self.linger_s = LINGER_S  # once our side has ended, it is closed after this

    def attach(self, transport: asyncio.BaseTransport) -> socket.socket:
        """It is there from now on; its socket."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's do not derive from it
        return self._socket()

    def detach(self) -> None:
        """It has gone."""
        self._transport, self.phase = None, Phase.GONE

    def is_attached(self) -> bool:
        """Whether it is there, though it may be closing."""
        return self._transport is not None

    def is_usable(self) -> bool:
        """Whether it is there and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def descriptor(self) -> int:
        """The descriptor of its socket."""
        return self._socket().fileno()

    def _socket(self) -> socket.socket:
        assert self._transport is not None
        peer: Any = self._transport.get_extra_info("socket")
        return cast(socket.socket, peer)

    # ---- bytes

    def write(self, data: bytes) -> None:
        """Send it, unless there is nobody to send it to."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def unsent(self) -> int:
        """Bytes of answers that the kernel has not taken."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def is_reading(self) -> bool:
        """Whether what comes is read."""
        return self._transport is not None and self._transport.is_reading()

    def read_on(self, reads: bool) -> None:
        """Read what comes from now on, or leave it in the kernel."""
        if self._transport is None:
            return
        if reads:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
            self._unread_from = time.monotonic()

    def came_at(self) -> float:
        """When the bytes that were just read came, in seconds on the steady clock; not before they were left.

        Of what lay in the kernel that knows when its last byte came. Where it does not tell, that is now.
        """
        now = time.monotonic()
        if now < self._unread_from:
            return now
        age_ms: int
        try:
            told = self._socket().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_RECEIVED_MS.size)
            (age_ms,) = _LAST_RECEIVED_MS.unpack(told)
        except (OSError, struct.error):
            return now
        return max(now - age_ms / 1000, self._unread_from)

    # ---- ends

    def end_sending(self, linger_s: float, reads: bool) -> bool:
        """End our side only: a close with bytes unread would reset the connection and lose the last answer.

        `reads`: what still comes is read and dropped. False if it has gone already.
        """
        if self.phase is Phase.GONE:
            return False
        self.phase, self.linger_s = Phase.ENDING, linger_s
        if self._transport is not None and not self._transport.is_closing():
            self.read_on(reads)
            if self._transport.can_write_eof():
                self._transport.write_eof()
        return True

    def close(self) -> None:
        """Close once all is sent; nothing more is read."""
        self.phase = Phase.ENDING
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once, whatever is unsent."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """End it by a reset, which no client takes for the end of an answer."""
        if self.phase is Phase.OPEN:
            self.phase = Phase.ENDING
        if self._transport is not None:
            self.reset_at_close(True)
            self._transport.abort()

    def reset_at_close(self, resets: bool) -> None:
        """Whether a close from now on is a reset, also the kernel's once this process has ended."""
        if resets != self._resets and self._transport is not None:
            self._resets = resets
            self._socket().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", resets, 0))

    # ---- what the kernel knows and the loop has not had a turn for

    def _told(self, what: int) -> int:
        if self._transport is None or self._transport.is_closing():
            return select.POLLHUP
        if self._poll is None:
            self._poll = select.poll()
        self._poll.register(self._socket(), what)
        return next((told for _, told in self._poll.poll(0)), 0)

    def has_unread(self) -> bool:
        """Whether something lies in the kernel: a request, or what would turn a close into a reset."""
        return bool(self._told(select.POLLIN))

    def is_left(self) -> bool:
        """Whether its client has gone, also while nothing is read; one that has is let go."""
        if not self._told(select.POLLRDHUP):
            return False
        self.abort()
        return True
