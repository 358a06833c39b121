"""HTTP/1.1 by hand, as the soak's stand-ins speak it: what they send may be wrong on purpose."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

from mastturn.soak.records import Kind

METHODS = (b"POST", b"GET", b"DELETE")
SHOWN = 60  # bytes of what is no request
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


@dataclass(frozen=True, slots=True)
class Got:
    """The head of a request."""

    method: str
    path: str
    headers: dict[str, str]

    @property
    def request(self) -> str:
        """Its id."""
        return self.headers.get("mastturn-request-id", "")

    @property
    def is_chunked(self) -> bool:
        """Whether its body comes in chunks."""
        return self.headers.get("transfer-encoding", "").lower() == "chunked"

    @property
    def length(self) -> int:
        """Bytes of its body, unless that is chunked."""
        return int(self.headers.get("content-length", 0))

    @property
    def tokens(self) -> tuple[int, int]:
        """Tokens of its prompt, and the most out."""
        prompt, _, out = self.headers.get("mastturn-token-count", "0,1").partition(",")
        return int(prompt), int(out)

    @property
    def kind(self) -> Kind | None:
        """By its route."""
        name = self.path.split("/")[1]
        return Kind(name) if name in {kind.value for kind in Kind} else None


class BadRequestError(Exception):
    """What came is no request: bytes of a body in the place of a head, for example."""


async def read_head(reader: Reader) -> Got | None:
    """The head of the next request; None once there is none. Raises BadRequestError."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial.split(b" ")[0] in METHODS or not error.partial:
            return None  # nothing, or the beginning of a head
        raise BadRequestError(repr(error.partial[:SHOWN])) from None
    except asyncio.LimitOverrunError:
        raise BadRequestError("no end of a head") from None
    line, *rest = head.decode("latin-1").strip().split("\r\n")
    try:
        method, path, _ = line.split(" ")
        if method.encode() not in METHODS:
            raise ValueError
    except ValueError:
        raise BadRequestError(repr(line[:SHOWN])) from None
    fields = (item.partition(":") for item in rest)
    return Got(method, path, {name.lower(): value.strip() for name, _, value in fields})


async def read_body(got: Got, reader: Reader) -> bytes:
    """The body that a head announces. Raises BadRequestError."""
    if not got.is_chunked:
        return await reader.readexactly(got.length)
    body = bytearray()
    while True:
        line = (await reader.readuntil(b"\r\n")).strip()
        try:
            size = int(line, 16)
        except ValueError:
            raise BadRequestError(repr(line[:SHOWN])) from None
        body += await reader.readexactly(size)
        if await reader.readexactly(2) != b"\r\n":
            raise BadRequestError("a chunk without its end")
        if size == 0:
            return bytes(body)


async def say(writer: Writer, status: str, got: Got, *headers: tuple[str, str], body: bytes = b"") -> bool:
    """A short answer of no run; the connection goes on."""
    told = [("Mastturn-Request-Id", got.request)] if got.request else []
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in (*told, *headers))]
    await write(writer, "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)
    return True


async def write(writer: Writer, data: bytes) -> None:
    """Send, and wait while the other side does not read."""
    writer.write(data)
    await writer.drain()


def reset(writer: Writer) -> None:
    """End a connection by a reset."""
    peer = writer.get_extra_info("socket")
    if peer is not None and peer.fileno() >= 0:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
