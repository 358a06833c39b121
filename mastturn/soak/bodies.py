"""Bodies of requests: every stretch of one tells whose it is, and how it is framed varies."""

from __future__ import annotations

import random
from dataclasses import dataclass

CHUNK = 1_000  # bytes in one chunk
SIZES = (
    1,
    100,
    4_000,
    90_000,
    300_000,
)  # the balancer holds up to 64 KiB whole and passes more on as it comes
SIZE_WEIGHTS = (4, 4, 4, 1, 1)
PIECES = 5  # in which a large body is sent by some
LARGE = 50_000
LARGE_PIECE = LARGE // PIECES
IN_PIECES_SHARE = 0.5
CHUNKED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Body:
    """A request's body: its header line, and its bytes as they are sent, in pieces."""

    header: str
    size: int  # bytes, without chunks
    pieces: tuple[bytes, ...]


def content(request: str, size: int) -> bytes:
    """The body of that many bytes that belongs to a request."""
    mark = f"{request};".encode()
    return (mark * (size // len(mark) + 1))[:size]


def draw(dice: random.Random, request: str) -> Body:
    """A body with its framing, by lot."""
    data = content(request, dice.choices(SIZES, SIZE_WEIGHTS)[0])
    if dice.random() < CHUNKED_SHARE:
        header, wire = "Transfer-Encoding: chunked", _chunked(data)
    else:
        header, wire = f"Content-Length: {len(data)}", data
    count = PIECES if len(data) >= LARGE and dice.random() < IN_PIECES_SHARE else 1
    size = -(-len(wire) // count)
    return Body(header, len(data), tuple(wire[at : at + size] for at in range(0, len(wire), size)))


def _chunked(data: bytes) -> bytes:
    chunks = (data[at : at + CHUNK] for at in range(0, len(data), CHUNK))
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
