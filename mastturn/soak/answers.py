"""The bytes of an upstream's answers, as their framing and their fault have them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from mastturn.soak.faults import Fault, Lot

CHUNK = 512  # bytes of a whole answer's body in one chunk
MISSING = 7  # bytes of a length that is wrong


class Framing(enum.Enum):
    """How an answer tells its end."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Content:
    """An answer without framing; `parts` make up its body: the events of a stream, or pieces of it."""

    status: str
    headers: tuple[tuple[str, str], ...]
    parts: tuple[bytes, ...]

    @property
    def body(self) -> bytes:
        """All of it."""
        return b"".join(self.parts)


@dataclass(frozen=True, slots=True)
class Wire:
    """An answer as it goes out. `pieces` are sent one by one; `declared`: its body as its framing has it."""

    pieces: tuple[bytes, ...]
    declared: bytes
    framing: Framing


def framing_of(lot: Lot, is_stream: bool) -> Framing:
    """How an answer with this lot is framed."""
    if lot.fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET, Fault.DEATH):
        return Framing.CLOSE
    if lot.fault is Fault.NO_LAST_CHUNK:
        return Framing.CHUNKED
    if lot.fault in (Fault.LENGTH_TOO_LONG, Fault.LENGTH_TOO_SHORT):
        return Framing.LENGTH
    return Framing.CHUNKED if is_stream or lot.pieces > 1 else Framing.LENGTH


def frame(content: Content, lot: Lot, is_stream: bool) -> Wire:
    """The answer's bytes; what its fault does to the connection is not in them."""
    framing, body = framing_of(lot, is_stream), content.body
    lines = [f"HTTP/1.1 {content.status}", *(f"{name}: {value}" for name, value in content.headers)]
    declared = body
    if framing is Framing.LENGTH:
        length = len(body)
        if lot.fault is Fault.LENGTH_TOO_LONG:
            length += MISSING
        elif lot.fault is Fault.LENGTH_TOO_SHORT:
            length = max(length - MISSING, 0)
            declared = body[:length]
        lines.append(f"Content-Length: {length}")
    elif framing is Framing.CHUNKED:
        lines.append("Transfer-Encoding: chunked")
    head = "\r\n".join([*lines, "", ""]).encode()
    if framing is not Framing.CHUNKED:
        return Wire((head, *content.parts), declared, framing)
    chunks = [_chunked(part) for part in content.parts]
    last = [] if lot.fault is Fault.NO_LAST_CHUNK else [b"0\r\n\r\n"]
    return Wire((head, *chunks, *last), declared, framing)


def _chunked(part: bytes) -> bytes:
    """A part in chunks of a bounded size."""
    chunks = (part[i : i + CHUNK] for i in range(0, len(part), CHUNK))
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
