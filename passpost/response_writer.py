"""Writes responses to a client: buffered ones in one piece, long ones as a stream."""

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
    """Writes the responses of one client connection."""

    def __init__(self, transport: ClientTransport) -> None:
        self._transport = transport
        self._flow: FlowControl | None = None  # flow control of the upstream whose response is streamed
        self._chunked = False  # whether the stream uses chunked encoding
        self._blocked_since = 0.0
        self.is_blocked = False  # unread responses fill the write buffer

    def is_streaming(self) -> bool:
        """Whether a response is being streamed."""
        return self._flow is not None

    def blocked_s(self, now: float) -> float:
        """For how long the client has not read the response that is being streamed, in seconds."""
        return now - self._blocked_since if self._flow is not None and self.is_blocked else 0.0

    def on_write_blocked(self) -> None:
        """Pause the upstream: the client sends but does not read, and must not fill our memory."""
        self.is_blocked, self._blocked_since = True, time.monotonic()
        if self._flow is not None:
            self._flow.pause()

    def on_write_resumed(self) -> None:
        """The client reads again."""
        self.is_blocked = False
        if self._flow is not None:
            self._flow.resume()

    # ---- streamed responses

    def begin_stream(
        self, start: ResponseStart, flow: FlowControl, version: str, connection_headers: bytes
    ) -> None:
        """Send the head of a streamed response.

        A response without a length or chunks ends with its connection, so until it is complete any close is a
        reset.
        """
        self._flow = flow
        self._chunked = start.length is None and is_framed(start, version)
        framing = b"" if start.length is None else b"Content-Length: %d\r\n" % start.length
        if self._chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif start.length is None:
            self._transport.reset_at_close(True)  # a close before the end must not look like the end
        headers = write_headers(end_to_end_headers(start.headers))
        self._transport.write(
            b"%b%b%b%b\r\n" % (_status_line(start.status), headers, framing, connection_headers)
        )

    def write_body(self, data: bytes) -> None:
        """Send a piece of the streamed body."""
        self._transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        if self.is_blocked and self._flow is not None:
            self._flow.pause()

    def end_stream(self) -> None:
        """End the streamed response in order."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self._transport.reset_at_close(False)
        self.abandon_stream()

    def abandon_stream(self) -> None:
        """Stop streaming without completing the response."""
        self._flow, self._chunked = None, False

    # ---- buffered responses

    def write_response(self, status: int, headers: Headers, body: bytes, connection_headers: bytes) -> None:
        """Send a complete response."""
        self._transport.write(
            b"%b%bContent-Length: %d\r\n%b\r\n%b"
            % (_status_line(status), write_headers(headers), len(body), connection_headers, body)
        )


def is_framed(start: ResponseStart, version: str) -> bool:
    """Whether a streamed response marks its own end; HTTP/1.0 clients cannot read chunks."""
    return start.length is not None or version != "1.0"


def _status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %b\r\n" % (status, _REASONS.get(status, "Status").encode())
