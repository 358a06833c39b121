"""How the answers of upstreams end, and what else upstreams send, as told to whoever watches them."""

from __future__ import annotations

import enum
import select
import socket
from dataclasses import dataclass

from passpost.http1 import EndKind, Framing, ResponseReader


class Misuse(enum.Enum):
    """What an upstream sends besides the answers that are due; its connection carries no further request."""

    STALE_ANSWER = "stale_answer"  # an answer to an earlier request, in the place of the one that is due
    SURPLUS = "surplus"  # bytes right behind a whole answer
    UNASKED = "unasked"  # bytes while no request is out


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of one answer. `status` is 0 where no whole head has come; `body_bytes` without framing."""

    kind: EndKind
    framing: Framing
    status: int
    body_bytes: int


def answer_end(kind: EndKind, reader: ResponseReader) -> ResponseEnd:
    """The end of the answer that a reader was at."""
    return ResponseEnd(kind, reader.framing(), reader.status(), reader.body_size())


def connection_end(peer: socket.socket) -> EndKind:
    """Whether a connection at its end of file was closed in order or reset.

    An event loop may report an end of file for a reset: libuv does where it finds the last bytes and a reset
    at once. The kernel still knows: after a FIN alone our side of the connection is open, while a reset
    has ended both (POLLHUP, and POLLERR until the error is read).
    """
    poll = select.poll()
    poll.register(peer, 0)  # POLLERR and POLLHUP are always told
    return EndKind.RESET if poll.poll(0) else EndKind.FIN
