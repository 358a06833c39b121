"""Accepts client connections on the listening socket, up to a limit, and tracks those that are open."""

from __future__ import annotations

import asyncio
import logging
import socket

from passpost import connection_bounds
from passpost.client_connection import ClientConnection, ConnectionServer

log = logging.getLogger(__name__)

ACCEPT_BATCH = 64  # connections accepted per turn of the event loop


class Acceptor:
    """The listening socket and the client connections accepted on it."""

    def __init__(self, server: ConnectionServer, listener: socket.socket, max_connections: int) -> None:
        """`max_connections`: upper bound on connections that are open at once."""
        self._server, self._max_connections = server, max_connections
        self.listener = listener
        self.listener.setblocking(False)
        self.connections: set[ClientConnection] = set()
        self._peer_connections = 0  # held by the other process of an upgrade; they count towards the limit
        self._is_started, self._is_yielding, self._is_accepting = False, False, False
        self._tasks: set[asyncio.Task[object]] = set()

    def is_serving(self) -> bool:
        """Whether this process accepts clients, now or as soon as there is room."""
        return self._is_started and self.listener.fileno() >= 0

    def is_above(self, share: float) -> bool:
        """Whether more than this share of the allowed connections are open."""
        return len(self.connections) > share * self._max_connections

    def start(self) -> None:
        """Start accepting."""
        self._is_started = True
        self.resume()

    def set_peer_connections(self, connections: int) -> None:
        """Set how many connections the other process of an upgrade holds; they count here too."""
        self._peer_connections = connections
        self.resume()

    def set_yielding(self, yielding: bool) -> None:
        """Stop accepting while another process accepts on the same socket, or start again."""
        self._is_yielding = yielding
        if yielding:
            self.pause()
        else:
            self.resume()

    def close(self) -> None:
        """Close the listening socket; open connections are not affected."""
        self.pause()
        self.listener.close()

    def resume(self) -> None:
        """Accept if there is room."""
        if self._is_yielding or not self.is_serving() or self._is_accepting or self._is_full():
            return
        self._is_accepting = True
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def pause(self) -> None:
        """Stop accepting until `resume`."""
        if self._is_accepting:
            self._is_accepting = False
            asyncio.get_running_loop().remove_reader(self.listener)

    def _is_full(self) -> bool:
        return len(self.connections) + self._peer_connections >= self._max_connections

    def accept(self) -> bool:
        """Accept waiting connections; returns whether the queue was emptied.

        At the limit the connection with the lowest eviction rank is closed; if all are busy, the queue waits.
        """
        for _ in range(ACCEPT_BATCH):
            evictable = connection_bounds.find_evictable(self.connections) if self._is_full() else None
            if self._is_full() and evictable is None:
                self.pause()
                return False
            try:
                client, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:  # out of descriptors, or the client has disconnected
                log.warning("accept: %s", error)
                self.pause()  # the periodic sweep tries again
                return False
            if evictable is not None:
                self.connections.discard(evictable)
                evictable.evict()
            self._register(client, ClientConnection(self._server))
        return False

    def adopt(self, client: socket.socket, useful: bool, age_s: float) -> None:
        """Take over an idle connection from another process, with its history (`useful`, `age_s`)."""
        self._peer_connections = max(self._peer_connections - 1, 0)
        connection = ClientConnection(self._server, useful)
        connection.state_since -= max(age_s, 0.0)
        self._register(client, connection)

    def _register(self, client: socket.socket, connection: ClientConnection) -> None:
        client.setblocking(False)
        self.connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._attach(client, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _attach(self, client: socket.socket, connection: ClientConnection) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, client)
        except OSError as error:
            log.warning("accepted connection closed before it was set up: %s", error)
            client.close()
            self.remove(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection, which makes room for another."""
        self.connections.discard(connection)
        self.resume()
