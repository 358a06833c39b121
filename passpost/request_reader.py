"""Reads requests off a client's connection: heads, bodies held whole, and bodies passed on as they come."""

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

# So much of what lies there is parsed at once: what many small requests take, in time and memory, is bounded.
# Of a body more, and all of it where its head tells the length.
HEAD_PARSE_BYTES, BODY_PARSE_BYTES = 1024, 32 * 1024
BODY_SPAN_S = 1.5  # the rate of a body is reckoned over so long


@dataclass(slots=True)
class Request:
    """One request as it was read; with no call it asks whether we are ready."""

    call: RequestHead | None
    body: bytes
    keep_alive: bool
    came: float
    version: str = "1.1"
    upload: Upload | None = None  # the body, if it is passed on as it comes
    is_counted: bool = True  # its last byte is there, or it has ended before

    def framing(self) -> bytes:
        """The header line that tells an upstream how long its body is."""
        if self.upload is None:
            return b"Content-Length: %d" % len(self.body)
        if self.upload.length is None:
            return b"Transfer-Encoding: chunked"
        return b"Content-Length: %d" % self.upload.length


class ReaderServer(Protocol):
    """The server that connections come in by, as their readers see it."""

    options: ClientOptions

    def read_head(self, method: bytes, target: bytes, version: str, headers: Headers) -> RequestHead | None:
        """The call that a head stands for, None for the question whether we are ready; or BadRequestError."""

    def hold(self, size: int) -> bool:
        """Take so much memory for a long body, if there is so much, or give it back."""

    def request_is_read(self) -> None:
        """A whole request has come."""


class ReaderOwner(Protocol):
    """The connection that requests are read from."""

    def request_begins(self) -> None:
        """The first byte of a request has come."""

    def head_is_read(self) -> None:
        """A head is whole and good."""

    def upload_is_whole(self, request: Request) -> None:
        """The last byte of a body that is passed on has come."""

    def pause(self) -> None:
        """Whoever gets a body that is passed on is behind."""

    def resume(self) -> None:
        """Read on."""


class RequestReader:
    """The requests on one connection, in their order; `waiting` are those that nobody has taken up."""

    def __init__(self, owner: ReaderOwner, server: ReaderServer) -> None:
        self._owner, self._server = owner, server
        self._parser = httptools.HttpRequestParser(self)
        self._target, self._headers, self._body = b"", list[tuple[bytes, bytes]](), bytearray()
        self._head_size = 0
        self._call: RequestHead | None = None  # of the request that is being read
        self._held = 0  # what is held of its body beyond the usual, in bytes
        self._length: int | None = None  # that its head tells
        self._continues = False  # its client waits for word to go on
        self.is_in_head, self.is_in_request = True, False
        self.body_size = 0
        self.body_until = 0.0  # a byte of its body has to come until then
        self.upload: Upload | None = None  # its body, if that is passed on as it comes
        self.sending: Request | None = None  # the request with that body
        self.unparsed = b""  # what came behind requests that wait
        self._came = 0.0  # when its last byte did
        self.is_held_back = False  # whoever gets its body is behind
        self.waiting: deque[Request] = deque()
        self.bad = 0  # the status that ends this connection once all before it is answered

    # ---- parsing

    def feed(self, data: bytes | memoryview, came: float) -> None:
        """Bytes that `came` then, split anywhere; `parse` takes what there is a use for."""
        self.unparsed += data
        self._came = came

    def parse(self) -> None:
        """Take what has come up to the next whole request; with one that waits, others have their turn."""
        while self.unparsed and self.may_parse() and not self.bad:
            size = HEAD_PARSE_BYTES if self.is_in_head else BODY_PARSE_BYTES
            if not self.is_in_head and self._length is not None:
                size = max(HEAD_PARSE_BYTES, self._length - self.body_size)
            piece, self.unparsed = self.unparsed[:size], self.unparsed[size:]
            self._parse_piece(piece)
        if self.bad:
            self.unparsed = b""

    def may_parse(self) -> bool:
        """Whether there is a use for more."""
        return not (self.waiting or self.is_held_back)

    def _parse_piece(self, data: bytes) -> None:
        if self.is_in_head:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:  # not offered: answered as a plain request, and that is all
            self.unparsed = b""
            if self.waiting:
                self.waiting[-1].keep_alive = False
        except httptools.HttpParserError:
            self.bad = self.bad or 400
        if self.is_in_head and self._head_size > self._server.options.max_head_bytes:
            self.bad = self.bad or 431

    def count_time(self, counts: bool) -> None:
        """Whether time counts against the client while its body comes; it starts anew."""
        self.body_until = time.monotonic() + BODY_SPAN_S if counts else math.inf

    def wants_word(self) -> bool:
        """Whether a client that asked first is to be told now to send its body; asked once a request."""
        wants = self._continues and not self.body_size and not self.bad
        self._continues = False
        return wants

    def has_more(self) -> bool:
        """Whether another request waits, or what may be one, or word of a bad one."""
        return bool(self.waiting or self.unparsed or self.bad or self._continues)

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        """A request begins."""
        self._target, self._headers, self._body = b"", [], bytearray()
        self.is_in_request, self.is_in_head = True, True
        self._owner.request_begins()

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, or a trailer, which nobody needs."""
        if self.is_in_head:
            self._headers.append((name, value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """The head is there; what its length promises may be too much already."""
        self.is_in_head, self._head_size = False, 0
        if self.bad:
            return
        parser = self._parser
        try:
            self._call = self._server.read_head(
                parser.get_method(), self._target, parser.get_http_version(), self._headers
            )
        except BadRequestError as error:
            self.bad = error.status
            return
        self.body_size = 0
        self.count_time(True)
        fields = [(name.lower(), value) for name, value in self._headers]
        self._length = next((int(value) for name, value in fields if name == b"content-length"), None)
        self._continues = any(n == b"expect" and v.lower() == b"100-continue" for n, v in fields)
        self._owner.head_is_read()

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        if self.bad:
            return
        now = time.monotonic()
        self.body_size += len(data)
        if not self.is_held_back:
            limit = max(self.body_until, now) + len(data) / self._server.options.min_body_rate
            self.body_until = min(limit, now + BODY_SPAN_S)
        if self.body_size > self._server.options.max_body_bytes:
            self.bad = 413
        elif self.upload is not None:
            self.upload.feed(data)
        else:
            self._body += data
            if len(self._body) > MAX_BUFFERED_BODY + self._held and not self._hold_more():
                self._begin_upload()

    def on_message_complete(self) -> None:
        """A request is whole: its time has started, also if it has lain unparsed behind others since."""
        self.is_in_request, self.is_in_head = False, True
        if self.bad:
            return
        keep_alive, version = self._parser.should_keep_alive(), self._parser.get_http_version()
        if self.sending is not None:
            self._complete_upload(self.sending, keep_alive)
            return
        body, self._body = bytes(self._body), bytearray()
        self.waiting.append(Request(self._call, body, keep_alive, self._came, version))
        if self._call is not None:
            self._server.request_is_read()

    # ---- long bodies

    def _hold_more(self) -> bool:
        """Whether this body may be held whole further on; one that is known to grow too long never is."""
        size = max(len(self._body), self._length or 0)
        if size > self._server.options.max_buffered_body or not self._server.hold(MAX_BUFFERED_BODY):
            return False
        self._held += MAX_BUFFERED_BODY
        return len(self._body) <= MAX_BUFFERED_BODY + self._held or self._hold_more()

    def let_go(self) -> None:
        """Give back what was held of the body of the request that has ended."""
        self._server.hold(-self._held)
        self._held = 0

    def _begin_upload(self) -> None:
        """The body is too long to be held: it goes on as it comes, and its request is taken up now."""
        if not self._server.options.streams_uploads:
            self.bad = 503  # no memory for it now
            return
        self.upload = Upload(self._length, bytes(self._body), self._owner)
        self._body = bytearray()  # what it has taken of the memory stays so until its request ends
        version = self._parser.get_http_version()
        self.sending = Request(self._call, b"", True, self._came, version, self.upload, False)
        self.waiting.append(self.sending)

    def _complete_upload(self, request: Request, keep_alive: bool) -> None:
        request.keep_alive, request.came = keep_alive, self._came
        upload, self.upload, self.sending = self.upload, None, None
        if not request.is_counted:
            request.is_counted = True
            self._server.request_is_read()
        if upload is not None:
            upload.finish()
        self._owner.upload_is_whole(request)

    def end_upload(self) -> None:
        """What is left of a body that was passed on as it came is of no use any more."""
        upload, self.upload, self.sending = self.upload, None, None
        if upload is not None:
            upload.fail()
