"""HTTP/1.1 messages for both sides of the balancer, based on httptools' parser."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import httptools

Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]

OWS = b" \t"  # optional whitespace around a header value; the parser leaves trailing whitespace
MAX_HEAD = 16 * 1024
MAX_BODY = 32 * 1024 * 1024  # for requests and responses alike
# Bodies up to this are buffered: they can be retried, and are timed from their last byte.
MAX_BUFFERED_BODY = 64 * 1024
MAX_BUFFERED_UNSIZED = 16 * 1024  # of a body of unknown length, whose first bytes may be urgent

_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade expect content-length".split()
)


def end_to_end_headers(headers: Headers) -> Headers:
    """The headers that a proxy forwards; framing and connection headers belong to each hop."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [(n, v) for n, v in headers if (lower := n.lower()) not in _HOP_BY_HOP and lower not in named]


def write_headers(headers: Headers) -> bytes:
    """Header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % pair for pair in headers])


class InvalidResponseError(Exception):
    """The bytes received are not a valid response, or exceed a limit."""


@dataclass(frozen=True, slots=True)
class Response:
    """One complete response; `reusable`: its connection can carry another request."""

    status: int
    headers: Headers
    body: bytes
    reusable: bool


@dataclass(frozen=True, slots=True)
class ResponseStart:
    """The beginning of a streamed response; `length` is None if it is not known."""

    headers: Headers
    length: int | None
    status: int = 200


class FlowControl(Protocol):
    """A source of bytes that can be paused."""

    def pause(self) -> None:
        """Stop reading for now."""

    def resume(self) -> None:
        """Continue reading."""


class Framing(enum.Enum):
    """How a response marks the end of its body (RFC 9112, section 6.3)."""

    UNKNOWN = "unknown"  # its head is not complete yet
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # ends with its connection


class EndKind(enum.Enum):
    """What ended a response."""

    WHOLE = "whole"  # its own framing: a length or the last chunk
    FIN = "fin"  # its connection was closed in order
    RESET = "reset"  # its connection was reset or timed out
    GONE = "gone"  # its connection was closed in order, but the sender no longer responds: it has crashed
    INVALID = "invalid"  # the bytes received are not a valid response


class ResponseReader:
    """Reads the one pending response of a connection.

    With `max_buffered`, a successful response longer than that is streamed: `stream_start` returns its
    beginning once, then `take_body` what has arrived. One selected by `is_streamed`, from status and headers,
    is streamed from its head on. A response that `response_matcher` rejects belongs to an earlier request: it
    is read to its end and dropped.
    """

    def __init__(
        self,
        max_body: int = MAX_BODY,
        max_buffered: int | None = None,
        is_streamed: Callable[[int, Headers], bool] | None = None,
        response_matcher: Callable[[int, Headers], bool] | None = None,
    ) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._response_matcher, self._is_stale = response_matcher, False
        self.stale_count = 0  # responses to earlier requests that were dropped
        self._max_body, self._max_buffered = max_body, max_buffered
        self._is_streamed, self._streams_from_head = is_streamed, False
        self._head_size, self._is_head_complete, self._status = 0, False, 0
        self._headers: Headers = []
        self._body, self._body_size = bytearray(), 0
        self._length: int | None = None
        self._ends_with_connection = False  # its body ends with the connection
        self._is_streaming = False
        self._response: Response | None = None
        self._has_surplus, self._error = False, ""

    def feed(self, data: bytes) -> Response | None:
        """The response once it is complete; raises InvalidResponseError if it can't become valid."""
        if not self._is_head_complete:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._response is None:
                raise InvalidResponseError(str(error)) from None
            self._has_surplus = True
        if self._error:
            raise InvalidResponseError(self._error)
        if self._response is None:
            if not self._is_head_complete and self._head_size > MAX_HEAD:
                raise InvalidResponseError("response head exceeds the limit")
            return None
        if self.has_surplus():  # the response is valid, but what follows it belongs to no request
            return replace(self._response, reusable=False)
        return self._response

    def end(self, kind: EndKind) -> Response | None:
        """The connection has ended: returns the response if it is complete, None if it was cut short.

        A body without length and chunks ends with an orderly close (RFC 9112, section 8); after a reset it is
        unknown what is missing.
        """
        if kind is not EndKind.FIN or not self.ends_with_connection():
            return None
        self._response = Response(self._status, self._headers, self._buffered_body(), False)
        return self._response

    def ends_with_connection(self) -> bool:
        """Whether an orderly close now would complete the pending response."""
        is_pending = self._response is None and not self._error and not self._is_stale
        return is_pending and self.framing() is Framing.CLOSE

    def stream_start(self, has_waited: bool = False) -> ResponseStart | None:
        """The beginning, once, of a response too long to buffer, or too slow if `has_waited`."""
        if self._max_buffered is None or self._is_streaming or not self._is_head_complete or self._is_stale:
            return None
        if self._streams_from_head:
            self._is_streaming = True
            return ResponseStart(self._headers, self._length, self._status)
        if self._status != 200:
            return None
        if self._length is None:
            is_long = (
                has_waited
                or self._response is not None
                or self._body_size > min(self._max_buffered, MAX_BUFFERED_UNSIZED)
            )
        else:
            is_long = self._length > self._max_buffered
        if not is_long or (self._response is not None and self._body_size <= self._max_buffered):
            return None
        self._is_streaming = True
        length = self._length if self._response is None else self._body_size
        return ResponseStart(self._headers, length)

    def is_open_ended(self) -> bool:
        """Whether a successful response of unknown length is arriving."""
        is_pending = self._is_head_complete and self._response is None and not self._is_stale
        return is_pending and self._status == 200 and self._length is None

    def framing(self) -> Framing:
        """The framing of the pending response."""
        if not self._is_head_complete:
            return Framing.UNKNOWN
        if self._ends_with_connection:
            return Framing.CLOSE
        return Framing.CHUNKED if self._length is None else Framing.LENGTH

    def has_surplus(self) -> bool:
        """Whether bytes have arrived after the complete response."""
        return self._has_surplus

    def status(self) -> int:
        """The status of the pending response, 0 before its head is complete."""
        return self._status if self._is_head_complete else 0

    def body_size(self) -> int:
        """Bytes of the body that have arrived, without framing."""
        return self._body_size

    def take_body(self) -> bytes:
        """What has arrived of the body since the last call."""
        data = bytes(self._body)
        self._body.clear()
        return data

    def _buffered_body(self) -> bytes:
        return b"" if self._is_streaming else bytes(self._body)

    # ---- httptools callbacks

    def on_message_begin(self) -> None:
        """A second message after the response is surplus."""
        self._has_surplus = self._response is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header; trailers are ignored."""
        if not self._is_head_complete:
            self._headers.append((name, value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """The head is complete; a declared length above the limit is rejected at once."""
        self._is_head_complete = True
        if self._response is not None:
            return
        self._status = self._parser.get_status_code()
        fields = {n.lower(): v for n, v in self._headers}
        transfer_coding = fields.get(b"transfer-encoding")
        if transfer_coding is not None and transfer_coding.strip().lower() != b"chunked":
            self._error = "unsupported transfer coding"
        length = fields.get(b"content-length")
        self._length = int(length) if length is not None and transfer_coding is None else None
        self._ends_with_connection = length is None and transfer_coding is None
        if self._is_streamed is not None and self._max_buffered is not None:
            self._streams_from_head = self._status >= 200 and self._is_streamed(self._status, self._headers)
        if self._length is not None and self._length > self._max_body:
            self._error = "response body exceeds the limit"
        if self._status >= 200 and self._response_matcher is not None:
            self._is_stale = not self._response_matcher(self._status, self._headers)

    def on_body(self, data: bytes) -> None:
        """A piece of the body; one above the limit, or an error's above the buffer limit, is rejected."""
        if self._response is not None or self._error or self._is_stale:
            return
        self._body_size += len(data)
        if self._body_size > (
            self._max_body if self._status == 200 else min(self._max_body, MAX_BUFFERED_BODY)
        ):
            self._error = "response body exceeds the limit"
        else:
            self._body += data

    def on_message_complete(self) -> None:
        """The response is complete, unless it is an interim (1xx) response."""
        if self._response is not None:
            return
        if self._is_stale:
            self.stale_count += 1
            self._head_size, self._is_stale = 0, False
            self._headers, self._is_head_complete, self._status = [], False, 0
            return
        if self._status < 200:
            self._headers, self._is_head_complete, self._status = [], False, 0
            return
        # After a response to an earlier request it is unknown how many more follow.
        keep = self._parser.should_keep_alive() and not self.stale_count
        self._response = Response(self._status, self._headers, b"", keep)
        if not self._is_streaming:
            self._response = replace(self._response, body=bytes(self._body))
