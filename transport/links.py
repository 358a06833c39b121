"""Connections to other processes of the system: one listener, and outgoing connections by endpoint."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Any

from transport.endpoint import Endpoint
from transport.wire import Link, MessageKinds

CONNECT_TIMEOUT_S = 0.5  # a peer whose connection takes longer counts as unreachable
# `dial_any` dials the next endpoint if the one before is not connected by then.
CONNECT_STAGGER_S = 0.1
# After this silence frames are still sent, and another connection is dialled beside the silent one.
SUSPECT_AFTER_S = 0.8
CLOSE_AFTER_SILENT_S = 4.0  # after this silence a connection is closed once there is another to the same peer
MAX_QUEUED_FRAMES = 64  # frames that wait for a connection being established
USER_TIMEOUT_MS = 1_500  # unacknowledged bytes end the connection after this

OnMessage = Callable[[Link, Any], None]


def set_socket_options(sock: socket.socket | None) -> None:
    """Disable Nagle's algorithm and bound how long a vanished machine can hold a connection."""
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Links:
    """All connections of this process to other processes, by endpoint."""

    def __init__(
        self,
        kinds: MessageKinds,
        own: Endpoint,
        on_message: OnMessage,
        on_closed: Callable[[Link], None],
        peers_share_port: bool = True,
    ) -> None:
        """`peers_share_port`: a peer that connects here listens on this process's own port at its machine.

        Otherwise nothing is sent to an accepted connection's peer by endpoint until `identify` names it.
        """
        self.kinds, self._own, self._on_message, self._on_closed = kinds, own, on_message, on_closed
        self._peers_share_port = peers_share_port
        self._by_endpoint: dict[Endpoint, list[Link]] = {}
        self._unidentified: set[Link] = set()
        self._dialing: dict[Endpoint, list[bytes]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._is_stopped = False

    async def start(self) -> None:
        """Start listening; raises OSError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self._new_link(self._on_accepted), *self._own, backlog=512
        )

    def stop(self) -> None:
        """Close all connections and the listener; later sends are ignored."""
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for link in [
            *self._unidentified,
            *(candidate for links in self._by_endpoint.values() for candidate in links),
        ]:
            link.close()

    def _new_link(self, on_connected: Callable[[Link], None]) -> Link:
        return Link(self.kinds, self._on_message, self._on_link_closed, on_connected)

    def _on_accepted(self, link: Link) -> None:
        """Register an incoming connection."""
        set_socket_options(link.socket())
        if self._peers_share_port:
            self._register(link, Endpoint(link.peer, self._own.port))
        else:
            self._unidentified.add(link)

    def _register(self, link: Link, endpoint: Endpoint) -> None:
        link.endpoint = endpoint
        self._by_endpoint.setdefault(endpoint, []).append(link)

    def identify(self, link: Link, endpoint: Endpoint) -> None:
        """Bind an incoming connection to its endpoint: messages to that process may use it from now on."""
        if link in self._unidentified:
            self._unidentified.remove(link)
            self._register(link, endpoint)

    def _on_link_closed(self, link: Link) -> None:
        self._unidentified.discard(link)
        if link.endpoint is not None:
            links = self._by_endpoint.get(link.endpoint, [])
            if link in links:
                links.remove(link)
            if not links:
                self._by_endpoint.pop(link.endpoint, None)
        self._on_closed(link)

    def find(self, endpoint: Endpoint) -> Link | None:
        """Return the open connection to a process that received data last; None if there is none."""
        links = [candidate for candidate in self._by_endpoint.get(endpoint, ()) if candidate.is_up()]
        return max(links, key=lambda candidate: candidate.last_received_at, default=None)

    def send(self, endpoint: Endpoint, message: Any) -> None:
        """Send a message to a process, over an open connection or a new one; it may be lost."""
        self.send_frame(endpoint, self.kinds.encode(message))

    def send_frame(self, endpoint: Endpoint, frame: bytes) -> None:
        """Send an encoded message, as `send` does."""
        if self._is_stopped:
            return
        now = asyncio.get_running_loop().time()
        link = self.find(endpoint)
        if link is not None:
            for old in list(self._by_endpoint.get(endpoint, ())):
                if now - old.last_received_at > CLOSE_AFTER_SILENT_S and old is not link:
                    old.close()
            link.send_bytes(frame)
            if now - link.last_received_at <= SUSPECT_AFTER_S:
                return
        queued = self._dialing.get(endpoint)
        if queued is not None:
            if link is None and len(queued) < MAX_QUEUED_FRAMES:
                queued.append(frame)
            return
        self._dialing[endpoint] = [] if link is not None else [frame]
        task = asyncio.get_running_loop().create_task(self._dial(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, endpoint: Endpoint) -> None:
        link = await self.dial(endpoint)
        queued = self._dialing.pop(endpoint, [])
        if link is not None:
            for frame in queued:
                link.send_bytes(frame)

    async def dial_any(self, endpoints: Sequence[Endpoint]) -> tuple[Endpoint, Link] | None:
        """Return the first endpoint that accepts a connection, and the connection; None if none does."""
        dials: dict[asyncio.Task[Link | None], Endpoint] = {}
        found: tuple[Endpoint, Link] | None = None
        remaining = list(endpoints)
        try:
            while found is None and (remaining or dials):
                if remaining:
                    endpoint = remaining.pop(0)
                    dials[asyncio.get_running_loop().create_task(self.dial(endpoint))] = endpoint
                wait_s = CONNECT_STAGGER_S if remaining else None
                finished, _ = await asyncio.wait(dials, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
                for dial in finished:
                    endpoint, link = dials.pop(dial), dial.result()
                    if link is not None and found is None and link.is_up():
                        found = endpoint, link
                    elif link is not None:
                        link.close()
        finally:
            for dial in dials:
                dial.add_done_callback(_close_unused)
                dial.cancel()
        return found

    async def dial(self, endpoint: Endpoint) -> Link | None:
        """Return a new connection to a process; None if it can't be established in time."""

        def on_connected(link: Link) -> None:
            set_socket_options(link.socket())
            self._register(link, endpoint)

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                # On loopback the kernel would use 127.0.0.1 as the source of every process, and peers are
                # identified by IP.
                local_addr = (self._own.ip, 0) if self._own.ip.startswith("127.") else None
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: self._new_link(on_connected), endpoint.ip, endpoint.port, local_addr=local_addr
                )
        except (OSError, TimeoutError):
            return None
        return link


def _close_unused(dial: asyncio.Task[Link | None]) -> None:
    """Close a connection that was established although it is no longer wanted."""
    if not dial.cancelled() and dial.exception() is None and (link := dial.result()) is not None:
        link.close()
