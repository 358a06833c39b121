"""One client's connection: bytes in, one request at a time taken up, and what becomes of it in between."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from passpost.answer_writer import ResponseWriter
from passpost.client_transport import LINGER_S, ClientTransport, Phase
from passpost.exchange import Exchange, ExchangeServer
from passpost.request_reader import ReaderServer, Request, RequestReader
from passpost.upstream_connection import notice_darkness

READ_HEAD, READ_BODY = 8 * 1024, 64 * 1024  # so much is read at once: what lies unparsed is ours to hold
END_S = 0.1  # what crosses our end between requests comes within this, and is dropped; then we are gone
LINGER_BODY_S = 8.0  # an error is left so long to a client that is still sending: it may read only after that


class ConnectionServer(ExchangeServer, ReaderServer, Protocol):
    """The server that connections come in by."""

    buffer: memoryview  # one place for all connections' bytes, as they are copied from there at once

    def forget(self, connection: ClientConnection) -> None:
        """A connection is over."""

    def is_handing_over(self) -> bool:
        """Whether connections go to a new process as soon as they are idle."""

    def pass_on(self, connection: ClientConnection) -> None:
        """Hand an idle connection to the new process."""


class Give(Protocol):
    """Hands an idle connection to the new process."""

    def __call__(self, descriptor: int, *, useful: bool, age: float) -> bool:
        """False if it can't go now."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection."""

    def __init__(self, server: ConnectionServer, useful: bool = False) -> None:
        self._server = server
        self.transport = ClientTransport()
        self.reader = RequestReader(self, server)
        self.answer = ResponseWriter(self.transport)
        self.exchange = Exchange(self, server)
        self._parsing: asyncio.Handle | None = None  # it is looked at again in the loop's next turn
        self.is_useful = useful  # a good request has come by it
        self.since = time.monotonic()  # of the last change: idle, reading or lingering

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        peer = self.transport.attach(transport)
        if self._server.options.unacked_timeout_ms:
            notice_darkness(peer, self._server.options.unacked_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has gone, or we have closed."""
        self.transport.detach()
        self._server.forget(self)
        self.answer.forget()
        self.exchange.client_left()

    def pause_writing(self) -> None:
        """The client sends but does not read."""
        self.answer.clog()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.answer.unclog()
        self.take_next()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes go."""
        return self._server.buffer[: READ_HEAD if self.reader.is_in_head else READ_BODY]

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes of a request, split anywhere."""
        if self.transport.phase is not Phase.OPEN or self.reader.bad:
            return  # nothing behind a bad request can be trusted
        self.reader.feed(self._server.buffer[:nbytes], self.transport.came_at())
        self._parse()

    def _parse(self) -> None:
        self._parsing = None
        self.reader.parse()
        if self.reader.bad:
            self.exchange.cut_upload()
        self.take_next()

    # ---- the reader's owner, and the flow of a body that is passed on

    def request_begins(self) -> None:
        """The first byte of a request has come; the first one has its time from connecting on."""
        if not self.exchange.is_open() and self.is_useful:
            self.since = time.monotonic()

    def head_is_read(self) -> None:
        """A head is whole and good: its client may have asked whether to go on."""
        if not self.exchange.is_open() and not self.reader.waiting:
            self._let_go_on()

    def upload_is_whole(self, request: Request) -> None:
        """The last byte of a body that is passed on has come."""
        self.exchange.upload_is_whole(request)

    def pause(self) -> None:
        """Whoever gets the body is behind: read no more for now."""
        self.reader.is_held_back = True
        self._steer()

    def resume(self) -> None:
        """Read on."""
        self.reader.is_held_back = False
        self._steer()

    def _steer(self) -> None:
        """Read on if there is a use for more; clients send one at a time, others must not fill memory."""
        reader, transport = self.reader, self.transport
        if not transport.is_usable() or transport.phase is not Phase.OPEN:
            return
        if reader.unparsed and reader.may_parse() and not self._parsing:
            self._parsing = asyncio.get_running_loop().call_soon(self._parse)
        reads = reader.may_parse() and not reader.unparsed
        if reads != transport.is_reading():  # time that is not the client's does not count against it
            reader.count_time(reads)
            transport.read_on(reads)

    def _let_go_on(self) -> None:
        """Tell a client that asked first to send its body, once it is its turn."""
        if self.reader.wants_word():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # ---- from one request to the next

    def take_next(self) -> None:
        """Take up the next request if none is open, and see to what is to be read behind it."""
        reader, transport = self.reader, self.transport
        while not self.exchange.is_open() and transport.phase is Phase.OPEN and not self.answer.is_clogged:
            if reader.waiting:
                if transport.is_attached() and not transport.is_reading() and transport.is_left():
                    return  # its end could not be read; it is told next
                self.exchange.take(reader.waiting.popleft())
            elif reader.bad:
                self.answer.write_whole(reader.bad, [], b"", b"Connection: close\r\n")
                self._linger(LINGER_S)
            else:
                self._let_go_on()
                break
        self._steer()

    def answered(self, keeps: bool, is_unfinished: bool) -> None:
        """The open request has its answer: go on to the next, or end."""
        self.since = time.monotonic()
        if is_unfinished:
            self._linger(LINGER_BODY_S)
        elif not self.transport.is_attached():
            return
        elif not keeps:
            self.close()
        elif self.reader.has_more():
            asyncio.get_running_loop().call_soon(self.take_next)
        elif self._server.is_handing_over():
            asyncio.get_running_loop().call_soon(self._server.pass_on, self)

    # ---- its end

    def _linger(self, linger_s: float, reads: bool = True) -> None:
        if self.transport.end_sending(linger_s, reads):
            self.reader.unparsed = b""
            self.since = time.monotonic()

    def close(self) -> None:
        """End our side between requests, and drop what crosses that: its client sends it once more.

        To close outright would reset the connection if a byte came just then, and take the last answer along.
        """
        self._linger(END_S, self._server.options.discards_late_input)

    def give_way(self) -> None:
        """Make room for another at once: there is no time to wait for its client."""
        if self.transport.phase is Phase.OPEN and self.transport.is_attached():
            self.transport.close()
        else:
            self.transport.abort()

    def hand_over(self, give: Give) -> bool:
        """Give it to the new process; bytes that lie unread go along, as reading has not begun on them."""
        age = time.monotonic() - self.since
        if not give(self.transport.descriptor(), useful=self.is_useful, age=age):
            return False
        self.transport.phase = Phase.ENDING  # nothing more is read here
        self.transport.abort()
        return True

    # ---- what it is at

    def is_busy(self) -> bool:
        """Whether a whole request waits for its answer."""
        return self.exchange.is_open() or bool(self.reader.waiting)

    def is_sending(self) -> bool:
        """Whether the open request's body still comes."""
        return self.reader.sending is not None

    def is_idle(self) -> bool:
        """Whether no request is open or being read."""
        reader = self.reader
        return self.transport.is_attached() and not (
            self.is_busy() or reader.is_in_request or reader.unparsed
        )

    def is_free(self) -> bool:
        """Whether its client can send a request on it."""
        return self.is_idle() and self.transport.phase is Phase.OPEN

    def is_whole(self) -> bool:
        """Whether another process could go on with it: between requests, with all answers sent."""
        return self.is_free() and self.transport.unsent() == 0
