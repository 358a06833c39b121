"""Reads requests from a client connection: heads, buffered bodies and streamed bodies."""

from __future__ import annotations

import math
import time
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import httptools

from passpost.attempt import Upload
from passpost.client_options import ClientOptions
from passpost.http1 import MAX_BUFFERED_BODY, OWS, Headers
from passpost.validation import BadRequestError, RequestHead

# Bytes parsed at once, which bounds the time and memory that many small requests take. More of a body, and
# all of it where the head declares its length.
HEAD_PARSE_BYTES, BODY_PARSE_BYTES = 1024, 32 * 1024
BODY_RATE_WINDOW_S = 1.5  # the rate of a body is averaged over so long


@dataclass(slots=True)
class Request:
    """One request as read; without a head it is a readiness check."""

    head: RequestHead | None
    body: bytes
    keep_alive: bool
    received_at: float
    version: str = "1.1"
    upload: Upload | None = None  # the body, if it is streamed
    is_counted: bool = True  # its last byte has arrived, or it has ended before

    def framing(self) -> bytes:
        """The header line that frames its body for an upstream."""
        if self.upload is None:
            return b"Content-Length: %d" % len(self.body)
        if self.upload.length is None:
            return b"Transfer-Encoding: chunked"
        return b"Content-Length: %d" % self.upload.length


class ReaderServer(Protocol):
    """The server that accepted the connection, as its reader sees it."""

    options: ClientOptions

    def read_head(self, method: bytes, target: bytes, version: str, headers: Headers) -> RequestHead | None:
        """The parsed head of a request, None for a readiness check; raises BadRequestError."""

    def reserve_memory(self, size: int) -> bool:
        """Reserve so many bytes for a long body, if available, or release them (negative)."""

    def on_request_read(self) -> None:
        """A complete request has arrived."""


class ReaderOwner(Protocol):
    """The connection that requests are read from."""

    def on_request_start(self) -> None:
        """The first byte of a request has arrived."""

    def on_head_read(self) -> None:
        """A valid head is complete."""

    def on_upload_complete(self, request: Request) -> None:
        """The last byte of a streamed body has arrived."""

    def pause(self) -> None:
        """The receiver of a streamed body is slower than the client."""

    def resume(self) -> None:
        """Continue reading."""


class RequestReader:
    """The requests of one connection, in order; `pending` are those that have not been started."""

    def __init__(self, owner: ReaderOwner, server: ReaderServer) -> None:
        self._owner, self._server = owner, server
        self._parser = httptools.HttpRequestParser(self)
        self._target, self._headers, self._body = b"", list[tuple[bytes, bytes]](), bytearray()
        self._head_size = 0
        self._head: RequestHead | None = None  # of the request that is being read
        self._reserved = 0  # bytes reserved for its body beyond the usual buffer
        self._length: int | None = None  # declared in the head
        self._expects_continue = False  # the client expects 100 (Continue)
        self.is_in_head, self.is_in_request = True, False
        self.body_size = 0
        self.body_deadline = 0.0  # the next byte of the body is due by then
        self.upload: Upload | None = None  # its body, if it is streamed
        self.uploading: Request | None = None  # the request with that body
        self.unparsed = b""  # bytes behind pending requests
        self._received_at = 0.0  # when the last of these bytes arrived
        self.is_paused = False  # the receiver of the body is slower than the client
        self.pending: deque[Request] = deque()
        self.error_status = 0  # error status that ends the connection once earlier requests are answered

    # ---- parsing

    def feed(self, data: bytes | memoryview, received_at: float) -> None:
        """Add bytes, split anywhere, that arrived at `received_at`; `parse` consumes them."""
        self.unparsed += data
        self._received_at = received_at

    def parse(self) -> None:
        """Parse up to the next complete request; while one is pending, other connections get their turn."""
        while self.unparsed and self.can_parse() and not self.error_status:
            size = HEAD_PARSE_BYTES if self.is_in_head else BODY_PARSE_BYTES
            if not self.is_in_head and self._length is not None:
                size = max(HEAD_PARSE_BYTES, self._length - self.body_size)
            piece, self.unparsed = self.unparsed[:size], self.unparsed[size:]
            self._parse_piece(piece)
        if self.error_status:
            self.unparsed = b""

    def can_parse(self) -> bool:
        """Whether more can be parsed now."""
        return not (self.pending or self.is_paused)

    def _parse_piece(self, data: bytes) -> None:
        if self.is_in_head:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:  # unsupported: served as a plain request, then closed
            self.unparsed = b""
            if self.pending:
                self.pending[-1].keep_alive = False
        except httptools.HttpParserError:
            self.error_status = self.error_status or 400
        if self.is_in_head and self._head_size > self._server.options.max_head_bytes:
            self.error_status = self.error_status or 431

    def restart_body_timer(self, counts: bool) -> None:
        """Restart the time limit of the body; `counts`: time counts against the client."""
        self.body_deadline = time.monotonic() + BODY_RATE_WINDOW_S if counts else math.inf

    def take_expect_continue(self) -> bool:
        """Whether to send 100 (Continue) now; returns True at most once per request."""
        sends_continue = self._expects_continue and not self.body_size and not self.error_status
        self._expects_continue = False
        return sends_continue

    def has_more(self) -> bool:
        """Whether there is a pending request, unparsed bytes, an error or an expected 100 (Continue)."""
        return bool(self.pending or self.unparsed or self.error_status or self._expects_continue)

    # ---- httptools callbacks

    def on_message_begin(self) -> None:
        """A request begins."""
        self._target, self._headers, self._body = b"", [], bytearray()
        self.is_in_request, self.is_in_head = True, True
        self._owner.on_request_start()

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header; trailers are ignored."""
        if self.is_in_head:
            self._headers.append((name, value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """The head is complete; its declared length may already exceed the limit."""
        self.is_in_head, self._head_size = False, 0
        if self.error_status:
            return
        parser = self._parser
        try:
            self._head = self._server.read_head(
                parser.get_method(), self._target, parser.get_http_version(), self._headers
            )
        except BadRequestError as error:
            self.error_status = error.status
            return
        self.body_size = 0
        self.restart_body_timer(True)
        fields = [(name.lower(), value) for name, value in self._headers]
        self._length = next((int(value) for name, value in fields if name == b"content-length"), None)
        self._expects_continue = any(n == b"expect" and v.lower() == b"100-continue" for n, v in fields)
        self._owner.on_head_read()

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        if self.error_status:
            return
        now = time.monotonic()
        self.body_size += len(data)
        if not self.is_paused:
            limit = max(self.body_deadline, now) + len(data) / self._server.options.min_body_rate
            self.body_deadline = min(limit, now + BODY_RATE_WINDOW_S)
        if self.body_size > self._server.options.max_body_bytes:
            self.error_status = 413
        elif self.upload is not None:
            self.upload.feed(data)
        else:
            self._body += data
            if len(self._body) > MAX_BUFFERED_BODY + self._reserved and not self._reserve_more():
                self._start_upload()

    def on_message_complete(self) -> None:
        """A request is complete; it is timed from its arrival, also if it lay unparsed behind others."""
        self.is_in_request, self.is_in_head = False, True
        if self.error_status:
            return
        keep_alive, version = self._parser.should_keep_alive(), self._parser.get_http_version()
        if self.uploading is not None:
            self._complete_upload(self.uploading, keep_alive)
            return
        body, self._body = bytes(self._body), bytearray()
        self.pending.append(Request(self._head, body, keep_alive, self._received_at, version))
        if self._head is not None:
            self._server.on_request_read()

    # ---- long bodies

    def _reserve_more(self) -> bool:
        """Whether more of this body may be buffered; never if its declared length is too long."""
        size = max(len(self._body), self._length or 0)
        if size > self._server.options.max_buffered_body or not self._server.reserve_memory(
            MAX_BUFFERED_BODY
        ):
            return False
        self._reserved += MAX_BUFFERED_BODY
        return len(self._body) <= MAX_BUFFERED_BODY + self._reserved or self._reserve_more()

    def release_memory(self) -> None:
        """Release the memory reserved for the body of the request that has ended."""
        self._server.reserve_memory(-self._reserved)
        self._reserved = 0

    def _start_upload(self) -> None:
        """Stream the body, which is too long to buffer, and let its request be started now."""
        if not self._server.options.streams_uploads:
            self.error_status = 503  # no memory to buffer it
            return
        self.upload = Upload(self._length, bytes(self._body), self._owner)
        self._body = bytearray()  # its reservation stays until the request ends
        version = self._parser.get_http_version()
        self.uploading = Request(self._head, b"", True, self._received_at, version, self.upload, False)
        self.pending.append(self.uploading)

    def _complete_upload(self, request: Request, keep_alive: bool) -> None:
        request.keep_alive, request.received_at = keep_alive, self._received_at
        upload, self.upload, self.uploading = self.upload, None, None
        if not request.is_counted:
            request.is_counted = True
            self._server.on_request_read()
        if upload is not None:
            upload.finish()
        self._owner.on_upload_complete(request)

    def discard_upload(self) -> None:
        """Discard the rest of a streamed body."""
        upload, self.upload, self.uploading = self.upload, None, None
        if upload is not None:
            upload.fail()
