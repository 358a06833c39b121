"""One client connection: parses requests and processes them one at a time."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from passpost.client_transport import LINGER_S, ClientTransport, Phase
from passpost.exchange import Exchange, ExchangeServer
from passpost.request_reader import ReaderServer, Request, RequestReader
from passpost.response_writer import ResponseWriter
from passpost.upstream_connection import set_dead_peer_timeout

HEAD_READ_BYTES, BODY_READ_BYTES = 8 * 1024, 64 * 1024  # per read: unparsed bytes use our memory
CLOSE_LINGER_S = 0.1  # a request that crosses our FIN arrives within this time and is discarded
# An error response to a client that is still sending stays readable for so long: the client may read it only
# after it has sent everything.
UPLOAD_LINGER_S = 8.0


class ConnectionServer(ExchangeServer, ReaderServer, Protocol):
    """The server that accepted the connection."""

    buffer: memoryview  # shared by all connections, as its bytes are copied at once

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

    def is_handing_over(self) -> bool:
        """Whether idle connections are handed to a new process."""

    def hand_over_connection(self, connection: ClientConnection) -> None:
        """Hand an idle connection to the new process."""


class SendDescriptor(Protocol):
    """Sends the descriptor of an idle connection to the new process."""

    def __call__(self, descriptor: int, *, useful: bool, age: float) -> bool:
        """Returns False if it can't be sent now. The keywords are fields of the handover message."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection."""

    def __init__(self, server: ConnectionServer, useful: bool = False) -> None:
        self._server = server
        self.transport = ClientTransport()
        self.reader = RequestReader(self, server)
        self.response_writer = ResponseWriter(self.transport)
        self.exchange = Exchange(self, server)
        self._parse_handle: asyncio.Handle | None = None  # scheduled for the next turn of the event loop
        self.has_had_request = useful  # a valid request has arrived on it
        self.state_since = time.monotonic()  # the last change between idle, reading and lingering

    # ---- asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        peer = self.transport.attach(transport)
        if self._server.options.unacked_timeout_ms:
            set_dead_peer_timeout(peer, self._server.options.unacked_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has been closed by either side."""
        self.transport.detach()
        self._server.remove(self)
        self.response_writer.abandon_stream()
        self.exchange.on_disconnected()

    def pause_writing(self) -> None:
        """The client sends but does not read."""
        self.response_writer.on_write_blocked()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.response_writer.on_write_resumed()
        self.start_next_request()

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the next bytes."""
        return self._server.buffer[: HEAD_READ_BYTES if self.reader.is_in_head else BODY_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes of a request have arrived, split anywhere."""
        if self.transport.phase is not Phase.OPEN or self.reader.error_status:
            return  # bytes after an invalid request can't be trusted
        self.reader.feed(self._server.buffer[:nbytes], self.transport.received_at())
        self._parse()

    def _parse(self) -> None:
        self._parse_handle = None
        self.reader.parse()
        if self.reader.error_status:
            self.exchange.abort_upload()
        self.start_next_request()

    # ---- the owner of the request reader, and flow control of a streamed body

    def on_request_start(self) -> None:
        """The first byte of a request; the first request of a connection is timed from the connect."""
        if not self.exchange.is_open() and self.has_had_request:
            self.state_since = time.monotonic()

    def on_head_read(self) -> None:
        """A valid head is complete; the client may expect a 100 (Continue)."""
        if not self.exchange.is_open() and not self.reader.pending:
            self._send_continue()

    def on_upload_complete(self, request: Request) -> None:
        """The last byte of a streamed body has arrived."""
        self.exchange.on_upload_complete(request)

    def pause(self) -> None:
        """Stop reading: the receiver of the body is slower than the client."""
        self.reader.is_paused = True
        self._update_reading()

    def resume(self) -> None:
        """Continue reading."""
        self.reader.is_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Read if more can be used; requests sent ahead by pipelining must not fill the memory."""
        reader, transport = self.reader, self.transport
        if not transport.is_usable() or transport.phase is not Phase.OPEN:
            return
        if reader.unparsed and reader.can_parse() and not self._parse_handle:
            self._parse_handle = asyncio.get_running_loop().call_soon(self._parse)
        reads = reader.can_parse() and not reader.unparsed
        if reads != transport.is_reading():  # time while we do not read does not count against the client
            reader.restart_body_timer(reads)
            transport.set_reading(reads)

    def _send_continue(self) -> None:
        """Send 100 (Continue) to a client that expects it, once its request is next."""
        if self.reader.take_expect_continue():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # ---- from one request to the next

    def start_next_request(self) -> None:
        """Start the next request if none is open, and resume or pause reading."""
        reader, transport = self.reader, self.transport
        while (
            not self.exchange.is_open()
            and transport.phase is Phase.OPEN
            and not self.response_writer.is_blocked
        ):
            if reader.pending:
                if transport.is_attached() and not transport.is_reading() and transport.is_disconnected():
                    return  # its FIN could not be read; connection_lost comes next
                self.exchange.start(reader.pending.popleft())
            elif reader.error_status:
                self.response_writer.write_response(reader.error_status, [], b"", b"Connection: close\r\n")
                self._linger(LINGER_S)
            else:
                self._send_continue()
                break
        self._update_reading()

    def on_response_sent(self, keep_alive: bool, is_upload_unfinished: bool) -> None:
        """The open request has been answered: start the next one, or close."""
        self.state_since = time.monotonic()
        if is_upload_unfinished:
            self._linger(UPLOAD_LINGER_S)
        elif not self.transport.is_attached():
            return
        elif not keep_alive:
            self.close()
        elif self.reader.has_more():
            asyncio.get_running_loop().call_soon(self.start_next_request)
        elif self._server.is_handing_over():
            asyncio.get_running_loop().call_soon(self._server.hand_over_connection, self)

    # ---- closing

    def _linger(self, linger_s: float, reads: bool = True) -> None:
        if self.transport.end_sending(linger_s, reads):
            self.reader.unparsed = b""
            self.state_since = time.monotonic()

    def close(self) -> None:
        """Shut down sending between requests and discard what still arrives; the client sends that again.

        Closing outright would reset the connection if a byte arrived just then, and lose the last response.
        """
        self._linger(CLOSE_LINGER_S, self._server.options.discards_late_input)

    def evict(self) -> None:
        """Close at once to make room for another connection, without lingering."""
        if self.transport.phase is Phase.OPEN and self.transport.is_attached():
            self.transport.close()
        else:
            self.transport.abort()

    def hand_over(self, send_descriptor: SendDescriptor) -> bool:
        """Hand the connection to the new process, with bytes that are still unread in the kernel."""
        age = time.monotonic() - self.state_since
        if not send_descriptor(self.transport.descriptor(), useful=self.has_had_request, age=age):
            return False
        self.transport.phase = Phase.ENDING  # nothing more is read in this process
        self.transport.abort()
        return True

    # ---- state

    def is_busy(self) -> bool:
        """Whether a complete request waits for its response."""
        return self.exchange.is_open() or bool(self.reader.pending)

    def is_receiving_upload(self) -> bool:
        """Whether the body of the open request is still arriving."""
        return self.reader.uploading is not None

    def is_idle(self) -> bool:
        """Whether no request is open or being read."""
        reader = self.reader
        return self.transport.is_attached() and not (
            self.is_busy() or reader.is_in_request or reader.unparsed
        )

    def is_available(self) -> bool:
        """Whether the client can send a request on it."""
        return self.is_idle() and self.transport.phase is Phase.OPEN

    def can_hand_over(self) -> bool:
        """Whether another process could continue with it: between requests, all responses sent."""
        return self.is_available() and self.transport.unsent_bytes() == 0
