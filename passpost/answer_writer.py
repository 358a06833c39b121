"""Writes answers to a client: whole ones, and long ones that are passed on as they come."""

from __future__ import annotations

import time

from passpost.client_transport import ClientTransport
from passpost.http1 import FlowControl, Headers, ResponseStart, end_to_end_headers, write_headers

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class ResponseWriter:
    """The answers on one connection."""

    def __init__(self, transport: ClientTransport) -> None:
        self._transport = transport
        self._flow: FlowControl | None = None  # of the answer that is passed on
        self._chunked = False  # how that goes
        self._clogged_at = 0.0
        self.is_clogged = False  # answers pile up unread

    def is_passing(self) -> bool:
        """Whether an answer is passed on as it comes."""
        return self._flow is not None

    def stuck_s(self, now: float) -> float:
        """For how long an answer that is passed on has not been read, in seconds."""
        return now - self._clogged_at if self._flow is not None and self.is_clogged else 0.0

    def clog(self) -> None:
        """The client sends but does not read: its answers must not fill our memory."""
        self.is_clogged, self._clogged_at = True, time.monotonic()
        if self._flow is not None:
            self._flow.pause()

    def unclog(self) -> None:
        """The client reads again."""
        self.is_clogged = False
        if self._flow is not None:
            self._flow.resume()

    # ---- an answer that is passed on

    def begin(self, start: ResponseStart, flow: FlowControl, version: str, persistence: bytes) -> None:
        """Send its head. One that does not tell its end ends with its connection, and a reset until then."""
        self._flow = flow
        self._chunked = start.length is None and is_framed(start, version)
        framing = b"" if start.length is None else b"Content-Length: %d\r\n" % start.length
        if self._chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif start.length is None:
            self._transport.reset_at_close(True)  # whatever ends it before it is whole
        headers = write_headers(end_to_end_headers(start.headers))
        self._transport.write(b"%b%b%b%b\r\n" % (_status_line(start.status), headers, framing, persistence))

    def more(self, data: bytes) -> None:
        """A piece of its body."""
        self._transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        if self.is_clogged and self._flow is not None:
            self._flow.pause()

    def complete(self) -> None:
        """It has ended in order."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self._transport.reset_at_close(False)
        self.forget()

    def forget(self) -> None:
        """No answer is passed on any more."""
        self._flow, self._chunked = None, False

    # ---- an answer that is there in one piece

    def write_whole(self, status: int, headers: Headers, body: bytes, persistence: bytes) -> None:
        """Send it."""
        self._transport.write(
            b"%b%bContent-Length: %d\r\n%b\r\n%b"
            % (_status_line(status), write_headers(headers), len(body), persistence, body)
        )


def is_framed(start: ResponseStart, version: str) -> bool:
    """Whether an answer that is passed on tells its own end; an older client can't read chunks."""
    return start.length is not None or version != "1.0"


def _status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %b\r\n" % (status, _REASONS.get(status, "Status").encode())
