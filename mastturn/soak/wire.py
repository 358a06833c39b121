"""Minimal HTTP/1.1 for the soak's stand-ins, which have to be able to send invalid messages."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

from mastturn.soak.records import RequestKind

METHODS = (b"POST", b"GET", b"DELETE")
REPORTED_BYTES = 60  # bytes of invalid input that are reported
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: a close sends a reset

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request."""

    method: str
    path: str
    headers: dict[str, str]

    @property
    def request_id(self) -> str:
        """The request id."""
        return self.headers.get("mastturn-request-id", "")

    @property
    def is_chunked(self) -> bool:
        """Whether the body is chunked."""
        return self.headers.get("transfer-encoding", "").lower() == "chunked"

    @property
    def length(self) -> int:
        """Bytes of the body, unless it is chunked."""
        return int(self.headers.get("content-length", 0))

    @property
    def tokens(self) -> tuple[int, int]:
        """Number of prompt tokens, and the limit of output tokens."""
        prompt, _, out = self.headers.get("mastturn-token-count", "0,1").partition(",")
        return int(prompt), int(out)

    @property
    def kind(self) -> RequestKind | None:
        """Kind of the request, by its route; None for other calls."""
        name = self.path.split("/")[1]
        return RequestKind(name) if name in {kind.value for kind in RequestKind} else None


class BadRequestError(Exception):
    """The bytes received are not a request, for example bytes of a body in place of a head."""


async def read_head(reader: Reader) -> RequestHead | None:
    """Return the head of the next request, None at the end of input. Raises BadRequestError."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial.split(b" ")[0] in METHODS or not error.partial:
            return None  # nothing, or an incomplete head
        raise BadRequestError(repr(error.partial[:REPORTED_BYTES])) from None
    except asyncio.LimitOverrunError:
        raise BadRequestError("request head exceeds the limit") from None
    line, *rest = head.decode("latin-1").strip().split("\r\n")
    try:
        method, path, _ = line.split(" ")
        if method.encode() not in METHODS:
            raise ValueError
    except ValueError:
        raise BadRequestError(repr(line[:REPORTED_BYTES])) from None
    fields = (item.partition(":") for item in rest)
    return RequestHead(method, path, {name.lower(): value.strip() for name, _, value in fields})


async def read_body(request_head: RequestHead, reader: Reader) -> bytes:
    """Read the body of a request. Raises BadRequestError."""
    if not request_head.is_chunked:
        return await reader.readexactly(request_head.length)
    body = bytearray()
    while True:
        line = (await reader.readuntil(b"\r\n")).strip()
        try:
            size = int(line, 16)
        except ValueError:
            raise BadRequestError(repr(line[:REPORTED_BYTES])) from None
        body += await reader.readexactly(size)
        if await reader.readexactly(2) != b"\r\n":
            raise BadRequestError("chunk without its line end")
        if size == 0:
            return bytes(body)


async def send_short_response(
    writer: Writer, status: str, request_head: RequestHead, *headers: tuple[str, str], body: bytes = b""
) -> bool:
    """Send a short response that is not of a run; returns True, as the connection stays open."""
    headers_of_request = [("Mastturn-Request-Id", request_head.request_id)] if request_head.request_id else []
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in (*headers_of_request, *headers))]
    await write(writer, "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)
    return True


async def write(writer: Writer, data: bytes) -> None:
    """Send data, waiting while the peer does not read."""
    writer.write(data)
    await writer.drain()


def reset(writer: Writer) -> None:
    """Reset a connection."""
    peer_socket = writer.get_extra_info("socket")
    if peer_socket is not None and peer_socket.fileno() >= 0:
        peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
