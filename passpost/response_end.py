"""How upstream responses end, and protocol misuse by upstreams, as reported to observers."""

from __future__ import annotations

import enum
import select
import socket
from dataclasses import dataclass

from passpost.http1 import EndKind, Framing, ResponseReader


class Misuse(enum.Enum):
    """Bytes from an upstream that belong to no pending response; the connection is not used again."""

    STALE_RESPONSE = "stale_answer"  # a response to an earlier request instead of the pending one
    SURPLUS = "surplus"  # bytes after a complete response
    UNSOLICITED = "unasked"  # bytes while no request is pending


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of one response: `status` is 0 without a complete head; `body_bytes` excludes framing."""

    kind: EndKind
    framing: Framing
    status: int
    body_bytes: int


def response_end(kind: EndKind, reader: ResponseReader) -> ResponseEnd:
    """The end of the response that `reader` is reading."""
    return ResponseEnd(kind, reader.framing(), reader.status(), reader.body_size())


def connection_end(peer: socket.socket) -> EndKind:
    """Whether a connection at end of file was closed in order (FIN) or reset.

    An event loop may report a reset as an end of file: libuv does when it finds the last bytes and the reset
    together. The kernel still distinguishes them: after a FIN alone our side of the connection is open,
    whereas a reset has ended both sides (POLLHUP, and POLLERR until the error is read).
    """
    poll = select.poll()
    poll.register(peer, 0)  # POLLERR and POLLHUP are always reported
    return EndKind.RESET if poll.poll(0) else EndKind.FIN
