"""Upgrade without downtime: the old process hands its sockets and the operators' state to the new one.

The serving process listens on a Unix socket in TMPDIR. A starting process connects there first and receives
the listening socket, the cordons and the drain state; the channel between the two stays open until the old
process has ended. A message is one JSON object, with at most one descriptor attached.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, replace
from typing import Any

from umberworks import interface

log = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 0.5  # the new process starts on its own if the old one has not responded by then
MAX_MESSAGE_BYTES = 64 * 1024
BACKPRESSURE_ERRNOS = (errno.EAGAIN, errno.ETOOMANYREFS)  # earlier messages have not been read yet
EVIDENCE_PER_MESSAGE = 200  # upstreams in one message

OnMessage = Callable[[dict[str, Any], socket.socket | None], None]


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What a new process receives from the old one."""

    listener: socket.socket
    connection: socket.socket
    cordoned: tuple[str, ...]
    draining: bool
    closing: bool
    client_connections: int  # connections that the old process still holds


@contextlib.contextmanager
def _short_path(path: str) -> Iterator[str]:
    """A short path to the same file: a Unix socket address is limited to 107 bytes."""
    directory, name = os.path.split(path)
    handle = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{handle}/{name}"
    finally:
        os.close(handle)


def request_handover(path: str) -> InheritedState | None:
    """The state handed over by the old process; None without one, or if it does not respond properly."""
    if not os.path.lexists(path):
        return None
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    descriptors: list[int] = []
    try:
        connection.settimeout(RESPONSE_TIMEOUT_S)
        with _short_path(path) as short_path:
            connection.connect(short_path)
        data, descriptors, _, _ = socket.recv_fds(connection, MAX_MESSAGE_BYTES, 1)
        message = json.loads(data)
        state = InheritedState(
            listener=socket.socket(fileno=descriptors[0]),
            connection=connection,
            cordoned=tuple(str(name) for name in message["cordoned"]),
            draining=bool(message["draining"]),
            closing=bool(message["closing"]),
            client_connections=int(message["callers"]),
        )
    except (OSError, ValueError, LookupError, TypeError) as error:
        log.warning("handover: no response from the old process, starting without it: %r", error)
        for descriptor in descriptors:
            os.close(descriptor)
        connection.close()
        return None
    return state


def encode_learned(learned: interface.Learned) -> Iterator[dict[str, Any]]:
    """The policy's learned state, split into messages of limited size."""
    rest = learned.evidence
    for i in range(0, max(len(rest), 1), EVIDENCE_PER_MESSAGE):
        yield asdict(replace(learned, evidence=rest[i : i + EVIDENCE_PER_MESSAGE]))


def decode_learned(data: dict[str, Any]) -> interface.Learned:
    """Decode one of these messages; raises ValueError, LookupError or TypeError if it is invalid."""
    evidence = tuple(interface.Evidence(**item) for item in data["evidence"])
    return interface.Learned(float(data["lowest"]), float(data["aims_ms"]), float(data["spent_ms"]), evidence)


class Channel:
    """One end of the channel between the two processes."""

    def __init__(self, connection: socket.socket, on_message: OnMessage, on_end: Callable[[], None]) -> None:
        self._connection, self._on_message, self._on_end = connection, on_message, on_end
        self._queue: deque[bytes] = deque()
        connection.setblocking(False)
        asyncio.get_running_loop().add_reader(connection, self._read)

    def is_open(self) -> bool:
        """Whether the other process is connected."""
        return self._connection.fileno() >= 0

    def send(self, **message: Any) -> None:
        """Send a message, in order."""
        self._queue.append(json.dumps(message).encode())
        self._flush()

    def send_descriptor(self, descriptor: int, **message: Any) -> bool:
        """Send a descriptor with a message; returns False if it can't be sent now."""
        if self._queue or not self.is_open():
            return False
        try:
            socket.send_fds(self._connection, [json.dumps(message).encode()], [descriptor])
        except OSError as error:
            if error.errno not in BACKPRESSURE_ERRNOS:
                self.close()
            return False
        return True

    def close(self) -> None:
        """Close the channel; the other process notices."""
        if self.is_open():
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._connection)
            loop.remove_writer(self._connection)
            self._connection.close()
            self._on_end()

    def _flush(self) -> None:
        if not self.is_open():
            return
        loop = asyncio.get_running_loop()
        try:
            while self._queue:
                self._connection.send(self._queue[0])
                self._queue.popleft()
        except BlockingIOError:
            loop.add_writer(self._connection, self._flush)
        except OSError:
            self.close()
        else:
            loop.remove_writer(self._connection)

    def _read(self) -> None:
        while self.is_open():
            try:
                data, descriptors, _, _ = socket.recv_fds(self._connection, MAX_MESSAGE_BYTES, 1)
            except BlockingIOError:
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self.close()
                return
            received = socket.socket(fileno=descriptors[0]) if descriptors else None
            try:
                self._on_message(json.loads(data), received)
            except Exception as error:  # an invalid message must not end a serving process
                log.error("handover: invalid message: %r", error)
                if received is not None:
                    received.close()


class HandoverListener:
    """Listens in TMPDIR for the next process; `on_request` gets each connection."""

    def __init__(self, path: str, on_request: Callable[[socket.socket], None]) -> None:
        self._on_request = on_request
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        temporary_path = f"{path}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary_path)
            with _short_path(temporary_path) as short_path:
                self._socket.bind(short_path)
            self._socket.listen(1)
            os.rename(temporary_path, path)  # atomic: a starting process always finds the old or this one
        except OSError:
            self._socket.close()
            raise
        self._socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Stop listening. The file stays, as it may belong to the next process by now."""
        if self._socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()

    def _accept(self) -> None:
        try:
            connection, _ = self._socket.accept()
        except OSError:
            return
        try:
            self._on_request(connection)
        except Exception as error:  # the new process continues with what it has received, or on its own
            log.error("handover: could not respond to the new process: %r", error)
