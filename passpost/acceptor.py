"""Takes clients' connections off a listening socket, so many at most, and keeps count of them."""

from __future__ import annotations

import asyncio
import logging
import socket

from passpost import connection_bounds
from passpost.client_connection import ClientConnection, ConnectionServer

log = logging.getLogger(__name__)

ACCEPT_AT_ONCE = 64  # so many new connections, and then the others have their turn


class Acceptor:
    """The listening socket and the connections that came in by it."""

    def __init__(self, server: ConnectionServer, listener: socket.socket, most: int) -> None:
        """`most`: so many connections are open at once."""
        self._server, self._most = server, most
        self.listener = listener
        self.listener.setblocking(False)
        self.connections: set[ClientConnection] = set()
        self._lent = 0  # connections that another process still holds: they count together
        self._is_started, self._is_yielding, self._is_accepting = False, False, False
        self._tasks: set[asyncio.Task[object]] = set()

    def is_serving(self) -> bool:
        """Whether clients are taken, now or once there is room."""
        return self._is_started and self.listener.fileno() >= 0

    def is_beyond(self, share: float) -> bool:
        """Whether more than this share of the connections are open."""
        return len(self.connections) > share * self._most

    def start(self) -> None:
        """Begin to accept."""
        self._is_started = True
        self.resume()

    def lend(self, connections: int) -> None:
        """Another process holds so many connections yet."""
        self._lent = connections
        self.resume()

    def stand_back(self, yielding: bool) -> None:
        """Another process accepts in our place, or no longer."""
        self._is_yielding = yielding
        if yielding:
            self.pause()
        else:
            self.resume()

    def close(self) -> None:
        """Accept no more, for good; connections go on."""
        self.pause()
        self.listener.close()

    def resume(self) -> None:
        """Accept if there is room."""
        if self._is_yielding or not self.is_serving() or self._is_accepting or self._is_full():
            return
        self._is_accepting = True
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def pause(self) -> None:
        """Accept no more for now."""
        if self._is_accepting:
            self._is_accepting = False
            asyncio.get_running_loop().remove_reader(self.listener)

    def _is_full(self) -> bool:
        return len(self.connections) + self._lent >= self._most

    def accept(self) -> bool:
        """Take what waits, and say whether that was all.

        At the limit the connection that is worth least makes room; if all are busy, the queue waits.
        """
        for _ in range(ACCEPT_AT_ONCE):
            spare = connection_bounds.find_spare(self.connections) if self._is_full() else None
            if self._is_full() and spare is None:
                self.pause()
                return False
            try:
                client, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:  # no descriptor left, or the client has gone already
                log.warning("accept: %s", error)
                self.pause()  # the sweep tries again
                return False
            if spare is not None:
                self.connections.discard(spare)
                spare.give_way()
            self._take_in(client, ClientConnection(self._server))
        return False

    def adopt(self, client: socket.socket, useful: bool, age: float) -> None:
        """Take over an idle connection of another process, with what is held for or against it."""
        self._lent = max(self._lent - 1, 0)
        connection = ClientConnection(self._server, useful)
        connection.since -= max(age, 0.0)
        self._take_in(client, connection)

    def _take_in(self, client: socket.socket, connection: ClientConnection) -> None:
        client.setblocking(False)
        self.connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._attach(client, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _attach(self, client: socket.socket, connection: ClientConnection) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, client)
        except OSError as error:
            log.warning("a connection that was accepted is gone: %s", error)
            client.close()
            self.forget(connection)

    def forget(self, connection: ClientConnection) -> None:
        """A connection is over; another may come in for it."""
        self.connections.discard(connection)
        self.resume()
