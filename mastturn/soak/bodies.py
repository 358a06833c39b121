"""Request bodies with random size and framing; every part of a body identifies its request."""

from __future__ import annotations

import random
from dataclasses import dataclass

CHUNK = 1_000  # bytes
# The balancer buffers bodies up to 64 KiB and streams larger ones
SIZES = (
    1,
    100,
    4_000,
    90_000,
    300_000,
)
SIZE_WEIGHTS = (4, 4, 4, 1, 1)
PIECES = 5  # number of pieces in which some clients send a large body
LARGE = 50_000
LARGE_PIECE = LARGE // PIECES
IN_PIECES_SHARE = 0.5
CHUNKED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Body:
    """A request body: its framing header, and its encoded bytes in the pieces in which they are sent."""

    header: str
    size: int  # bytes, without chunk framing
    pieces: tuple[bytes, ...]


def content(request_id: str, size: int) -> bytes:
    """Return the body of a request, of this many bytes."""
    mark = f"{request_id};".encode()
    return (mark * (size // len(mark) + 1))[:size]


def draw(rng: random.Random, request_id: str) -> Body:
    """Return a body of random size and framing."""
    data = content(request_id, rng.choices(SIZES, SIZE_WEIGHTS)[0])
    if rng.random() < CHUNKED_SHARE:
        header, wire = "Transfer-Encoding: chunked", _encode_chunks(data)
    else:
        header, wire = f"Content-Length: {len(data)}", data
    piece_count = PIECES if len(data) >= LARGE and rng.random() < IN_PIECES_SHARE else 1
    size = -(-len(wire) // piece_count)
    return Body(header, len(data), tuple(wire[at : at + size] for at in range(0, len(wire), size)))


def _encode_chunks(data: bytes) -> bytes:
    chunks = (data[at : at + CHUNK] for at in range(0, len(data), CHUNK))
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
