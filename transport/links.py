"""Connections between the system's processes: one listener, and a connection to each that is spoken to."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Any

from transport.endpoint import Endpoint
from transport.wire import Link, MessageKinds

DIAL_S = 0.5  # a connection comes up within this, or the peer is out of reach
STAGGER_S = 0.1  # where one of several is wanted, the next is dialled if the one before is not up by then
SILENT_S = 0.8  # one on which nothing was heard for so long is not trusted while another can be had
DROP_S = 4.0  # one on which nothing was heard for so long is closed
HELD_FRAMES = 64  # wait for a connection that comes up
USER_TIMEOUT_MS = 1_500  # bytes that the peer's machine does not take for so long end the connection

Heard = Callable[[Link, Any], None]


def harden(sock: socket.socket | None) -> None:
    """A machine that is gone without a word must not hold a connection for ever."""
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Links:
    """All connections of this process to others of the system, by the endpoint of each."""

    def __init__(
        self,
        kinds: MessageKinds,
        own: Endpoint,
        heard: Heard,
        ended: Callable[[Link], None],
        peers_share_port: bool = True,
    ) -> None:
        """`peers_share_port`: whoever calls us listens on our port of its own machine.

        Else a caller is nobody that is spoken to by name until `identify` says who it is.
        """
        self.kinds, self._own, self._heard, self._told_end = kinds, own, heard, ended
        self._peers_share_port = peers_share_port
        self._by_endpoint: dict[Endpoint, list[Link]] = {}
        self._unidentified: set[Link] = set()
        self._dialing: dict[Endpoint, list[bytes]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._is_stopped = False

    async def start(self) -> None:
        """Listen; raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: self._new(self._called), *self._own, backlog=512)

    def stop(self) -> None:
        """Close everything; nothing is sent any more."""
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for link in [*self._unidentified, *(k for links in self._by_endpoint.values() for k in links)]:
            link.close()

    def _new(self, begun: Callable[[Link], None]) -> Link:
        return Link(self.kinds, self._heard, self._ended, begun)

    def _called(self, link: Link) -> None:
        """Somebody has called us."""
        harden(link.socket())
        if self._peers_share_port:
            self._file(link, Endpoint(link.peer, self._own.port))
        else:
            self._unidentified.add(link)

    def _file(self, link: Link, endpoint: Endpoint) -> None:
        link.endpoint = endpoint
        self._by_endpoint.setdefault(endpoint, []).append(link)

    def identify(self, link: Link, endpoint: Endpoint) -> None:
        """A caller has shown who it is: what is for that process may go by this connection from now on."""
        if link in self._unidentified:
            self._unidentified.remove(link)
            self._file(link, endpoint)

    def _ended(self, link: Link) -> None:
        self._unidentified.discard(link)
        if link.endpoint is not None:
            links = self._by_endpoint.get(link.endpoint, [])
            if link in links:
                links.remove(link)
            if not links:
                self._by_endpoint.pop(link.endpoint, None)
        self._told_end(link)

    def find(self, endpoint: Endpoint) -> Link | None:
        """The connection to a process that was heard of last, if one is up."""
        links = [k for k in self._by_endpoint.get(endpoint, ()) if k.is_up()]
        return max(links, key=lambda k: k.last_received_at, default=None)

    def send(self, endpoint: Endpoint, message: Any) -> None:
        """Send to a process, by what connection there is or a new one; it may be lost."""
        self.send_frame(endpoint, self.kinds.encode(message))

    def send_frame(self, endpoint: Endpoint, frame: bytes) -> None:
        """The same with a message that is encoded already."""
        if self._is_stopped:
            return
        now = asyncio.get_running_loop().time()
        link = self.find(endpoint)
        if link is not None:
            for old in list(self._by_endpoint.get(endpoint, ())):
                if now - old.last_received_at > DROP_S and old is not link:
                    old.close()
            link.send_bytes(frame)
            if now - link.last_received_at <= SILENT_S:
                return
        waiting = self._dialing.get(endpoint)
        if waiting is not None:
            if link is None and len(waiting) < HELD_FRAMES:
                waiting.append(frame)
            return
        self._dialing[endpoint] = [] if link is not None else [frame]
        task = asyncio.get_running_loop().create_task(self._dial(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, endpoint: Endpoint) -> None:
        link = await self.dial(endpoint)
        waiting = self._dialing.pop(endpoint, [])
        if link is not None:
            for frame in waiting:
                link.send_bytes(frame)

    async def dial_any(self, endpoints: Sequence[Endpoint]) -> tuple[Endpoint, Link] | None:
        """A connection to the first of these that takes us in; None if nobody does."""
        dials: dict[asyncio.Task[Link | None], Endpoint] = {}
        found: tuple[Endpoint, Link] | None = None
        waiting = list(endpoints)
        try:
            while found is None and (waiting or dials):
                if waiting:
                    endpoint = waiting.pop(0)
                    dials[asyncio.get_running_loop().create_task(self.dial(endpoint))] = endpoint
                wait_s = STAGGER_S if waiting else None
                done, _ = await asyncio.wait(dials, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
                for dial in done:
                    endpoint, link = dials.pop(dial), dial.result()
                    if link is not None and found is None and link.is_up():
                        found = endpoint, link
                    elif link is not None:
                        link.close()
        finally:
            for dial in dials:
                dial.add_done_callback(_close_late)
                dial.cancel()
        return found

    async def dial(self, endpoint: Endpoint) -> Link | None:
        """A new connection to a process; None if none comes up."""

        def begun(link: Link) -> None:
            harden(link.socket())
            self._file(link, endpoint)

        try:
            async with asyncio.timeout(DIAL_S):
                # On loopback the kernel would call from 127.0.0.1 for all of us, and IPs tell us apart.
                here = (self._own.ip, 0) if self._own.ip.startswith("127.") else None
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: self._new(begun), endpoint.ip, endpoint.port, local_addr=here
                )
        except (OSError, TimeoutError):
            return None
        return link


def _close_late(dial: asyncio.Task[Link | None]) -> None:
    """It came up all the same."""
    if not dial.cancelled() and dial.exception() is None and (link := dial.result()) is not None:
        link.close()
