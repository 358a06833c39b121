"""The client side of a balancer: the listening socket, its connections, and the graceful stop."""

from __future__ import annotations

import asyncio
import math
import socket
import time

from passpost import client_options, connection_bounds
from passpost.acceptor import Acceptor
from passpost.client_connection import BODY_READ_BYTES, ClientConnection, SendDescriptor
from passpost.client_options import ClientOptions
from passpost.exchange import RequestHandler
from passpost.http1 import Address, Headers
from passpost.listening import listen
from passpost.validation import RequestHead

# Connections are scarce above this share of the limit; then every response closes one.
KEEP_ALIVE_SHARE = 0.5
# New connections arrive for at least so long; after that clients reuse theirs.
NEW_CONNECTIONS_AFTER_STOP_S = 0.2
# After a quiesce, clients connect for 0.2 s more and then reuse connections. All have to be closed before
# 2 s, as requests sent then are still open after 4 s. This delay keeps a short quiesce unnoticed.
QUIESCE_KEEP_S = 1.2
HANDOVER_CLOSE_S = 0.5  # before the end of a handover, responses start to close the connections left
FINAL_READ_S = 0.2  # for requests on connections accepted at the very end


class Server:
    """The listening socket and at most `max_connections` client connections."""

    def __init__(
        self,
        handler: RequestHandler,
        address: Address,
        max_connections: int,
        listener: socket.socket | None = None,
        shared: bool = False,
        buffer_bytes: int = 0,
        options: ClientOptions | None = None,
    ) -> None:
        """`listener`: used instead of a new socket; `shared`: another process may listen on the address too.

        `buffer_bytes`: how many bytes of long bodies may be buffered at once.
        """
        self.handler = handler
        self._configured_options, self.options = options, options or client_options.default_options()
        self.draining, self.closing = False, False  # not ready any more; every response closes its connection
        self._deadline, self._accepts_until = math.inf, math.inf
        self._is_stopping = False
        self._send_descriptor: SendDescriptor | None = None  # set during a handover
        self._quiesce_timer: asyncio.TimerHandle | None = None  # runs while quiesced
        self._free_buffer_bytes = buffer_bytes
        self.buffer = memoryview(bytearray(BODY_READ_BYTES))
        self.open_request_ids: set[bytes] = set()
        self.acceptor = Acceptor(self, listener or listen(address, shared), max_connections)
        self._sweep_timer: asyncio.TimerHandle | None = None

    def apply_options(self, options: ClientOptions) -> None:
        """Use these client options from now on."""
        self._configured_options = self.options = options

    @property
    def port(self) -> int:
        """The port it listens on."""
        return int(self.acceptor.listener.getsockname()[1])

    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        return self.handler.has_upstreams and not self.draining

    def is_crowded(self) -> bool:
        """Whether connections are scarce, so that idle ones must not keep new clients out.

        Never in a drain: no new clients arrive, and those whose connection is closed may have no other
        balancer.
        """
        return not self.draining and self.acceptor.is_above(KEEP_ALIVE_SHARE)

    def start(self) -> None:
        """Start accepting."""
        self.acceptor.start()
        self._sweep()

    def read_head(self, method: bytes, target: bytes, version: str, headers: Headers) -> RequestHead | None:
        """The parsed head of a request, None for a readiness check; raises BadRequestError."""
        return self.handler.parse_head(method, target, version, headers)

    def on_request_read(self) -> None:
        """A complete request has arrived."""
        self.handler.counters.request_received()

    def reserve_memory(self, size: int) -> bool:
        """Reserve so many bytes for long bodies, if available, or release them (negative)."""
        if size > self._free_buffer_bytes:
            return False
        self._free_buffer_bytes -= size
        return True

    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self.acceptor.connections)

    def quiesce(self) -> None:
        """Drain without stopping: readiness ends at once, connections are closed a little later."""
        if not self.draining:
            self.draining = True
            self._quiesce_timer = asyncio.get_running_loop().call_later(QUIESCE_KEEP_S, self._close_clients)

    def quiesce_at_once(self) -> None:
        """Continue a drain of the old process that is already closing connections."""
        self.quiesce()
        if self._quiesce_timer is not None:
            self._quiesce_timer.cancel()
            self._close_clients()

    def resume(self) -> bool:
        """End a `quiesce`; returns whether the server is ready for clients. A stop can't be undone."""
        if self._quiesce_timer is not None and not self._is_stopping:
            self._quiesce_timer.cancel()
            self._quiesce_timer = None
            self.draining = self.closing = False
        return not self.draining

    def _close_clients(self) -> None:
        """From now on every response closes its connection, and idle connections are closed."""
        self.closing = True
        self._close_idle()
        self._quiesce_timer = asyncio.get_running_loop().call_later(
            client_options.DRAIN_POLL_S, self._close_clients
        )

    def _close_idle(self) -> None:
        now = time.monotonic()
        for connection in list(self.acceptor.connections):
            if connection_bounds.is_closable(connection, now):
                connection.close()

    async def hand_over(self, send_descriptor: SendDescriptor, timeout_s: float) -> None:
        """Stop while a new process serves: hand over idle connections, answer open requests here.

        Readiness does not change, as the two are one balancer. Near the end the rest is closed as in a drain.
        """
        self._is_stopping, self._deadline = True, time.monotonic() + timeout_s
        self.acceptor.close()  # its queue now belongs to the new process
        self._send_descriptor = send_descriptor
        while self.acceptor.connections and (self.time_left_s() > 0 or self._has_unanswered()):
            self.closing = self.closing or self.time_left_s() < HANDOVER_CLOSE_S
            for connection in list(self.acceptor.connections):
                self.hand_over_connection(connection)
            await asyncio.sleep(client_options.DRAIN_POLL_S)
        self._abort_connections()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.acceptor.remove(connection)

    def is_handing_over(self) -> bool:
        """Whether idle connections are handed to a new process."""
        return self._send_descriptor is not None

    def hand_over_connection(self, connection: ClientConnection) -> None:
        """Hand an idle connection to the new process; if that fails near the end, close it."""
        if self._send_descriptor is None or not connection.can_hand_over():
            return
        if connection.hand_over(self._send_descriptor):
            return
        if self.closing and connection_bounds.is_closable(connection, math.inf):
            connection.close()

    async def drain(self, timeout_s: float) -> None:
        """Stop without losing a request, with all of them answered within `timeout_s` seconds.

        At first only readiness ends: clients keep their connections until the closing phase, in which every
        response closes one. Connections in the listening socket's queue count as accepted, so it is emptied
        to the end.
        """
        self._is_stopping = True
        self.draining, self._deadline = True, time.monotonic() + timeout_s
        self._accepts_until = time.monotonic() + NEW_CONNECTIONS_AFTER_STOP_S
        self.options = self._configured_options or client_options.default_options()
        self.closing, poll_s = self.closing or self.options.closes_at_stop, self.options.drain_poll_s
        await asyncio.sleep(self.options.accept_after_stop_s)
        while self.acceptor.connections and self.time_left_s() > self.options.closing_phase_s:
            if self.closing:
                self._close_idle()
            await asyncio.sleep(poll_s)
        self.closing = True
        while not self.acceptor.accept():
            await asyncio.sleep(poll_s)  # all connections are busy: each one that ends lets another in
        self.acceptor.close()
        await asyncio.sleep(FINAL_READ_S)
        while self.acceptor.connections and (self.time_left_s() > 0 or self._has_unanswered()):
            now = time.monotonic()
            for connection in list(self.acceptor.connections):
                if connection_bounds.is_closable(connection, now):
                    connection.close()
                self._sweep_one(connection, now)  # at each step, as a restart waits for this process to end
            await asyncio.sleep(poll_s)
        self._abort_connections()

    def stop(self) -> None:
        """Close everything at once."""
        self.acceptor.close()
        self._abort_connections()

    def _has_unanswered(self) -> bool:
        """Whether a client waits for a response, also for a long one, which would be lost if we closed.

        An operator who needs an earlier end kills the process. A body still arriving is not a request yet.
        """
        return any(c.is_busy() and not c.is_receiving_upload() for c in self.acceptor.connections)

    def _abort_connections(self) -> None:
        for connection in list(self.acceptor.connections):  # incomplete requests, or unread responses
            connection.transport.abort()
        for timer in (self._sweep_timer, self._quiesce_timer):
            if timer is not None:
                timer.cancel()

    def free_connections(self) -> float:
        """How many more requests clients can send at once; unlimited while they can connect."""
        if self.closing or time.monotonic() < self._accepts_until:
            return math.inf
        return sum(connection.is_available() for connection in self.acceptor.connections)

    def time_left_s(self) -> float:
        """How long a request may stay open, in seconds: after a drain the process may be killed."""
        return self._deadline - time.monotonic()

    def _sweep(self) -> None:
        self.options = self._configured_options or client_options.default_options()
        self._sweep_timer = asyncio.get_running_loop().call_later(self.options.sweep_interval_s, self._sweep)
        now = time.monotonic()
        for connection in list(self.acceptor.connections):
            self._sweep_one(connection, now)
        self.acceptor.resume()

    def _sweep_one(self, connection: ClientConnection, now: float) -> None:
        connection_bounds.sweep(connection, now, self.options, self.is_crowded())
