"""The clients' side of a balancer: the listening socket, the connections that come in by it, and its stop."""

from __future__ import annotations

import asyncio
import math
import socket
import time

from passpost import client_options, connection_bounds
from passpost.acceptor import Acceptor
from passpost.client_connection import READ_BODY, ClientConnection, Give
from passpost.client_options import ClientOptions
from passpost.exchange import RequestHandler
from passpost.http1 import Address, Headers
from passpost.listening import listen
from passpost.validation import RequestHead

KEEP_SHARE = 0.5  # clients are many past this share of the limit; then each answer closes its connection
DEALT_AFTER_STOP_S = 0.2  # new connections come for so long at the least; later clients have what they hold
# Told to drain by hand: clients come for 0.2 s more and use what they hold. They are to be gone before 2 s,
# as what is asked then is still open after 4. Kept so long, a short drain disturbs nobody.
QUIESCE_KEPT_S = 1.2
CLOSE_AT_S = 0.5  # before the end of an upgrade, answers close what could not be handed over
FINAL_READ_S = 0.2  # for the requests on connections taken at the very end


class Server:
    """The listening socket and the connections that came in by it, `max_open` at most."""

    def __init__(
        self,
        engine: RequestHandler,
        address: Address,
        max_connections: int,
        listener: socket.socket | None = None,
        shared: bool = False,
        buffer_bytes: int = 0,
        options: ClientOptions | None = None,
    ) -> None:
        """With a `listener` of the old process that one is used; `shared`: another process may listen too.

        `held`: how many bytes of long bodies may be held whole at once.
        """
        self.engine = engine
        self._given, self.options = options, options or client_options.in_service()
        self.draining, self.closing = False, False  # not ready any more; each answer closes its connection
        self._ends, self._dealt_until = math.inf, math.inf
        self._stopping = False
        self._give: Give | None = None  # hands a connection to the new process
        self._quiesce: asyncio.TimerHandle | None = None  # runs while told to drain by hand
        self._may_hold = buffer_bytes
        self.buffer = memoryview(bytearray(READ_BODY))
        self.open_ids: set[bytes] = set()
        self.acceptor = Acceptor(self, listener or listen(address, shared), max_connections)
        self._sweeper: asyncio.TimerHandle | None = None

    def apply_options(self, options: ClientOptions) -> None:
        """Treat clients so from now on."""
        self._given = self.options = options

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self.acceptor.listener.getsockname()[1])

    def is_ready(self) -> bool:
        """Whether clients should come here."""
        return self.engine.has_upstreams and not self.draining

    def is_crowded(self) -> bool:
        """Whether connections run short: kept ones must not keep clients with a request from coming in.

        In a drain nobody else comes in, and who has no connection left has nowhere to go.
        """
        return not self.draining and self.acceptor.is_beyond(KEEP_SHARE)

    def start(self) -> None:
        """Begin to accept."""
        self.acceptor.start()
        self._sweep()

    def read_head(self, method: bytes, target: bytes, version: str, headers: Headers) -> RequestHead | None:
        """The call that a head stands for, None for the question whether we are ready; or BadRequestError."""
        return self.engine.parse_head(method, target, version, headers)

    def request_is_read(self) -> None:
        """A whole request has come."""
        self.engine.counters.request_received()

    def hold(self, size: int) -> bool:
        """Take so much memory for long bodies, if there is so much, or give it back."""
        if size > self._may_hold:
            return False
        self._may_hold -= size
        return True

    def count(self) -> int:
        """The connections that are open."""
        return len(self.acceptor.connections)

    def quiesce(self) -> None:
        """Drain by hand: not ready at once, the clients sent off a little later; the process runs on."""
        if not self.draining:
            self.draining = True
            self._quiesce = asyncio.get_running_loop().call_later(QUIESCE_KEPT_S, self._send_off)

    def send_off(self) -> None:
        """Take over a drain by hand that is past its first part."""
        self.quiesce()
        if self._quiesce is not None:
            self._quiesce.cancel()
            self._send_off()

    def resume(self) -> bool:
        """End a drain by hand; whether we are at work again, as a drain at the end can't be taken back."""
        if self._quiesce is not None and not self._stopping:
            self._quiesce.cancel()
            self._quiesce = None
            self.draining = self.closing = False
        return not self.draining

    def _send_off(self) -> None:
        """From now on each answer closes its connection, and idle ones go."""
        self.closing = True
        self._send_off_idle()
        self._quiesce = asyncio.get_running_loop().call_later(client_options.DRAIN_STEP_S, self._send_off)

    def _send_off_idle(self) -> None:
        now = time.monotonic()
        for connection in list(self.acceptor.connections):
            if connection_bounds.is_spare(connection, now):
                connection.close()

    async def hand_over(self, give: Give, within: float) -> None:
        """Stop while a new process serves: idle connections go there, open requests are answered here.

        Readiness stays as it is: the two are one balancer. What is left near the end is closed as in a drain.
        """
        self._stopping, self._ends = True, time.monotonic() + within
        self.acceptor.close()  # its queue is the new process's
        self._give = give
        while self.acceptor.connections and (self.time_left() > 0 or self._is_due()):
            self.closing = self.closing or self.time_left() < CLOSE_AT_S
            for connection in list(self.acceptor.connections):
                self.pass_on(connection)
            await asyncio.sleep(client_options.DRAIN_STEP_S)
        self._end()

    def forget(self, connection: ClientConnection) -> None:
        """A connection is over."""
        self.acceptor.forget(connection)

    def is_handing_over(self) -> bool:
        """Whether connections go to a new process as soon as they are idle."""
        return self._give is not None

    def pass_on(self, connection: ClientConnection) -> None:
        """Hand an idle connection to the new process; should that have gone, close it between requests."""
        if self._give is None or not connection.is_whole():
            return
        if connection.hand_over(self._give):
            return
        if self.closing and connection_bounds.is_spare(connection, math.inf):
            connection.close()

    async def drain(self, within: float) -> None:
        """Stop without losing a request, with all answered `within` so many seconds.

        At first only readiness ends: a client keeps its connection until the last call, and then each answer
        closes one. What lies in the listening socket's queue counts as taken, so it is emptied up to the end.
        """
        self._stopping = True
        self.draining, self._ends = True, time.monotonic() + within
        self._dealt_until = time.monotonic() + DEALT_AFTER_STOP_S
        self.options = self._given or client_options.in_service()
        self.closing, step = self.closing or self.options.closes_at_stop, self.options.drain_step_s
        await asyncio.sleep(self.options.accept_after_stop_s)
        while self.acceptor.connections and self.time_left() > self.options.closing_phase_s:
            if self.closing:
                self._send_off_idle()
            await asyncio.sleep(step)
        self.closing = True
        while not self.acceptor.accept():
            await asyncio.sleep(step)  # all connections are busy: each one that ends lets one in
        self.acceptor.close()
        await asyncio.sleep(FINAL_READ_S)
        while self.acceptor.connections and (self.time_left() > 0 or self._is_due()):
            now = time.monotonic()
            for connection in list(self.acceptor.connections):
                if connection_bounds.is_spare(connection, now):
                    connection.close()
                self._sweep_one(connection, now)  # at each step: who restarts us waits for our end
            await asyncio.sleep(step)
        self._end()

    def stop(self) -> None:
        """End at once, whatever is open."""
        self.acceptor.close()
        self._end()

    def _is_due(self) -> bool:
        """Whether somebody waits for an answer: a long one too, as cut off by us it would be lost.

        Whoever wants us gone before its end kills us. A body that still comes is no request yet.
        """
        return any(c.is_busy() and not c.is_sending() for c in self.acceptor.connections)

    def _end(self) -> None:
        for connection in list(self.acceptor.connections):  # half a request, or an answer that nobody reads
            connection.transport.abort()
        for timer in (self._sweeper, self._quiesce):
            if timer is not None:
                timer.cancel()

    def free_connections(self) -> float:
        """How many more requests clients can send at once; no bound while they can open connections."""
        if self.closing or time.monotonic() < self._dealt_until:
            return math.inf
        return sum(connection.is_free() for connection in self.acceptor.connections)

    def time_left(self) -> float:
        """How long a request may stay open, in seconds: after a drain the process may be killed."""
        return self._ends - time.monotonic()

    def _sweep(self) -> None:
        self.options = self._given or client_options.in_service()
        self._sweeper = asyncio.get_running_loop().call_later(self.options.sweep_s, self._sweep)
        now = time.monotonic()
        for connection in list(self.acceptor.connections):
            self._sweep_one(connection, now)
        self.acceptor.resume()

    def _sweep_one(self, connection: ClientConnection, now: float) -> None:
        connection_bounds.sweep(connection, now, self.options, self.is_crowded())
