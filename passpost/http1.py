"""HTTP/1.1 messages as both sides of the balancer use them, on top of httptools' parser."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import httptools

Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]

OWS = b" \t"  # may surround a header's value and is no part of it; the parser leaves what is behind it
MAX_HEAD = 16 * 1024
MAX_BODY = 32 * 1024 * 1024  # the bound for requests and answers alike
MAX_BUFFERED_BODY = (
    64 * 1024
)  # a body up to this is held whole: it can be tried again, and its last byte is what counts
MAX_BUFFERED_UNSIZED = (
    16 * 1024
)  # of a body whose length nobody knows yet, so much is held: its first bytes may count

_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade expect content-length".split()
)


def end_to_end_headers(headers: Headers) -> Headers:
    """The headers that a proxy passes on; framing and connection headers are each hop's own."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [(n, v) for n, v in headers if (low := n.lower()) not in _HOP_BY_HOP and low not in named]


def write_headers(headers: Headers) -> bytes:
    """Header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % pair for pair in headers])


class InvalidResponseError(Exception):
    """What came is no answer, or one beyond the bounds."""


@dataclass(frozen=True, slots=True)
class Response:
    """One whole answer; `reusable` says that its connection can carry another request."""

    status: int
    headers: Headers
    body: bytes
    reusable: bool


@dataclass(frozen=True, slots=True)
class ResponseStart:
    """The beginning of an answer that is passed on as it comes; `length` is None if nobody knows it yet."""

    headers: Headers
    length: int | None
    status: int = 200


class FlowControl(Protocol):
    """Where bytes come from; it can be told to wait."""

    def pause(self) -> None:
        """Read no more for now."""

    def resume(self) -> None:
        """Read on."""


class Framing(enum.Enum):
    """How an answer tells where its body ends (RFC 9112, section 6.3)."""

    UNKNOWN = "unknown"  # its head is not whole yet
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # it ends with its connection


class EndKind(enum.Enum):
    """What ended an answer."""

    WHOLE = "whole"  # its own framing: a length or the last chunk
    FIN = "fin"  # its connection was closed in order
    RESET = "reset"  # its connection was reset, or is dead
    GONE = "gone"  # its connection was closed in order, and its sender answers no more: it has crashed
    INVALID = "invalid"  # what came is no answer


class ResponseReader:
    """Reads the one answer that is due on a connection.

    With `held`, a good answer longer than that is passed on: `start` says so once, then `take` what has come.
    One that `at_once` names, by its status and headers, is passed on from its head on.
    An answer that `is_due` denies belongs to an earlier request: it is read to its end and dropped.
    """

    def __init__(
        self,
        max_body: int = MAX_BODY,
        max_buffered: int | None = None,
        is_streamed: Callable[[int, Headers], bool] | None = None,
        response_matcher: Callable[[int, Headers], bool] | None = None,
    ) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._is_due, self._is_stale = response_matcher, False
        self.stale = 0  # answers to earlier requests that were dropped
        self._max_body, self._max_buffered = max_body, max_buffered
        self._is_at_once, self._at_once = is_streamed, False
        self._head_size, self._head_done, self._status = 0, False, 0
        self._headers: Headers = []
        self._body, self._size = bytearray(), 0
        self._length: int | None = None
        self._to_the_end = False  # its body ends with the connection
        self._started = False
        self._response: Response | None = None
        self._surplus, self._bad = False, ""

    def feed(self, data: bytes) -> Response | None:
        """The answer once it is whole; raises BadAnswerError on anything that can't become one."""
        if not self._head_done:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._response is None:
                raise InvalidResponseError(str(error)) from None
            self._surplus = True
        if self._bad:
            raise InvalidResponseError(self._bad)
        if self._response is None:
            if not self._head_done and self._head_size > MAX_HEAD:
                raise InvalidResponseError("the head is too long")
            return None
        if self.has_surplus():  # the answer is good, but what follows it belongs to no request
            return replace(self._response, reusable=False)
        return self._response

    def end(self, kind: EndKind) -> Response | None:
        """The connection has ended: the answer if that is how it ends; None if it is cut short.

        A body without length and chunks ends with a close in order (RFC 9112, section 8); after a reset
        nobody can tell what is missing.
        """
        if kind is not EndKind.FIN or not self.ends_with_connection():
            return None
        self._response = Response(self._status, self._headers, self._buffered_body(), False)
        return self._response

    def ends_with_connection(self) -> bool:
        """Whether the answer that is coming would be whole if its connection ended in order now."""
        is_coming = self._response is None and not self._bad and not self._is_stale
        return is_coming and self.framing() is Framing.CLOSE

    def start(self, waited: bool = False) -> ResponseStart | None:
        """The beginning, once, of an answer too long to be held, or too slow if we have `waited` for it."""
        if self._max_buffered is None or self._started or not self._head_done or self._is_stale:
            return None
        if self._at_once:
            self._started = True
            return ResponseStart(self._headers, self._length, self._status)
        if self._status != 200:
            return None
        if self._length is None:
            due = (
                waited
                or self._response is not None
                or self._size > min(self._max_buffered, MAX_BUFFERED_UNSIZED)
            )
        else:
            due = self._length > self._max_buffered
        if not due or (self._response is not None and self._size <= self._max_buffered):
            return None
        self._started = True
        length = self._length if self._response is None else self._size
        return ResponseStart(self._headers, length)

    def is_open_ended(self) -> bool:
        """Whether a good answer is coming whose length nobody knows yet."""
        is_coming = self._head_done and self._response is None and not self._is_stale
        return is_coming and self._status == 200 and self._length is None

    def framing(self) -> Framing:
        """How the answer that is coming tells its end."""
        if not self._head_done:
            return Framing.UNKNOWN
        if self._to_the_end:
            return Framing.CLOSE
        return Framing.CHUNKED if self._length is None else Framing.LENGTH

    def has_surplus(self) -> bool:
        """Whether bytes have come behind the whole answer."""
        return self._surplus

    def status(self) -> int:
        """The status of the answer that is coming, 0 before its head is whole."""
        return self._status if self._head_done else 0

    def body_size(self) -> int:
        """The bytes of its body that have come, without their framing."""
        return self._size

    def take(self) -> bytes:
        """What has come of the body since the last time."""
        data = bytes(self._body)
        self._body.clear()
        return data

    def _buffered_body(self) -> bytes:
        return b"" if self._started else bytes(self._body)

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        """A second message behind the answer is surplus."""
        self._surplus = self._response is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, or a trailer, which nobody needs."""
        if not self._head_done:
            self._headers.append((name, value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """The head is there; a length beyond the bound is not waited for."""
        self._head_done = True
        if self._response is not None:
            return
        self._status = self._parser.get_status_code()
        fields = {n.lower(): v for n, v in self._headers}
        coding = fields.get(b"transfer-encoding")
        if coding is not None and coding.strip().lower() != b"chunked":
            self._bad = "a transfer coding that nobody asked for"
        length = fields.get(b"content-length")
        self._length = int(length) if length is not None and coding is None else None
        self._to_the_end = length is None and coding is None
        if self._is_at_once is not None and self._max_buffered is not None:
            self._at_once = self._status >= 200 and self._is_at_once(self._status, self._headers)
        if self._length is not None and self._length > self._max_body:
            self._bad = "the body is too long"
        if self._status >= 200 and self._is_due is not None:
            self._is_stale = not self._is_due(self._status, self._headers)

    def on_body(self, data: bytes) -> None:
        """A piece of the body; a longer one than the bound, or one to hold of an error, is bad."""
        if self._response is not None or self._bad or self._is_stale:
            return
        self._size += len(data)
        if self._size > (self._max_body if self._status == 200 else min(self._max_body, MAX_BUFFERED_BODY)):
            self._bad = "the body is too long"
        else:
            self._body += data

    def on_message_complete(self) -> None:
        """The answer is whole, unless it is a 1xx, which only announces it."""
        if self._response is not None:
            return
        if self._is_stale:
            self.stale += 1
            self._head_size, self._is_stale = 0, False
            self._headers, self._head_done, self._status = [], False, 0
            return
        if self._status < 200:
            self._headers, self._head_done, self._status = [], False, 0
            return
        # After an answer to an earlier request nobody knows how many more there are.
        keep = self._parser.should_keep_alive() and not self.stale
        self._response = Response(self._status, self._headers, b"", keep)
        if not self._started:
            self._response = replace(self._response, body=bytes(self._body))
