"""Encodes the responses of a soak's upstreams, with their framing and their fault."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from mastturn.soak.faults import Fault, FaultDraw

CHUNK = 512  # largest chunk of a response body, in bytes
LENGTH_ERROR = 7  # error of a wrong Content-Length, in bytes


class Framing(enum.Enum):
    """How a response marks the end of its body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Content:
    """A response without framing; `parts` make up its body: the events of a stream, or pieces of it."""

    status: str
    headers: tuple[tuple[str, str], ...]
    parts: tuple[bytes, ...]

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self.parts)


@dataclass(frozen=True, slots=True)
class EncodedResponse:
    """An encoded response. `pieces` are sent one by one; `declared`: the body that the framing announces."""

    pieces: tuple[bytes, ...]
    declared: bytes
    framing: Framing


def framing_of(fault_draw: FaultDraw, is_stream: bool) -> Framing:
    """Return the framing of a response with this fault."""
    if fault_draw.fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET, Fault.DEATH):
        return Framing.CLOSE
    if fault_draw.fault is Fault.NO_LAST_CHUNK:
        return Framing.CHUNKED
    if fault_draw.fault in (Fault.LENGTH_TOO_LONG, Fault.LENGTH_TOO_SHORT):
        return Framing.LENGTH
    return Framing.CHUNKED if is_stream or fault_draw.pieces > 1 else Framing.LENGTH


def encode_response(content: Content, fault_draw: FaultDraw, is_stream: bool) -> EncodedResponse:
    """Return the bytes of a response; what its fault does to the connection is not part of them."""
    framing, body = framing_of(fault_draw, is_stream), content.body
    lines = [f"HTTP/1.1 {content.status}", *(f"{name}: {value}" for name, value in content.headers)]
    declared = body
    if framing is Framing.LENGTH:
        length = len(body)
        if fault_draw.fault is Fault.LENGTH_TOO_LONG:
            length += LENGTH_ERROR
        elif fault_draw.fault is Fault.LENGTH_TOO_SHORT:
            length = max(length - LENGTH_ERROR, 0)
            declared = body[:length]
        lines.append(f"Content-Length: {length}")
    elif framing is Framing.CHUNKED:
        lines.append("Transfer-Encoding: chunked")
    head = "\r\n".join([*lines, "", ""]).encode()
    if framing is not Framing.CHUNKED:
        return EncodedResponse((head, *content.parts), declared, framing)
    chunks = [_encode_chunks(part) for part in content.parts]
    last = [] if fault_draw.fault is Fault.NO_LAST_CHUNK else [b"0\r\n\r\n"]
    return EncodedResponse((head, *chunks, *last), declared, framing)


def _encode_chunks(part: bytes) -> bytes:
    """Encode a part as chunks of at most CHUNK bytes."""
    chunks = (part[i : i + CHUNK] for i in range(0, len(part), CHUNK))
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
