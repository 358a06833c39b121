"""An upgrade under load: the old process hands its sockets to the new one; what operators said holds in both.

The serving process listens in TMPDIR. One that starts asks there first and gets the listening socket, the
cordons and the drain; the channel between the two stays open until the old one has ended. A message is one
JSON object, with at most one descriptor beside it.
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

from umberworks import interface as face

log = logging.getLogger(__name__)

ASK_S = 0.5  # an old process that has not answered by then is not waited for
MAX_MESSAGE = 64 * 1024
FULL = (errno.EAGAIN, errno.ETOOMANYREFS)  # the other process has yet to read what is on its way
EVIDENCE_AT_ONCE = 200  # servers in one message

Heard = Callable[[dict[str, Any], socket.socket | None], None]


@dataclass(frozen=True, slots=True)
class Inherited:
    """What a new process begins with."""

    listener: socket.socket
    line: socket.socket
    cordoned: tuple[str, ...]
    draining: bool
    closing: bool
    callers: int  # connections that the old process still holds


@contextlib.contextmanager
def _short(path: str) -> Iterator[str]:
    """The same place by a short name: a Unix socket's address holds 107 bytes only."""
    directory, name = os.path.split(path)
    handle = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{handle}/{name}"
    finally:
        os.close(handle)


def ask(path: str) -> Inherited | None:
    """What the old process hands over; None if there is none, or none that answers in order."""
    if not os.path.lexists(path):
        return None
    line = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    descriptors: list[int] = []
    try:
        line.settimeout(ASK_S)
        with _short(path) as short:
            line.connect(short)
        data, descriptors, _, _ = socket.recv_fds(line, MAX_MESSAGE, 1)
        told = json.loads(data)
        inherited = Inherited(
            listener=socket.socket(fileno=descriptors[0]),
            line=line,
            cordoned=tuple(str(name) for name in told["cordoned"]),
            draining=bool(told["draining"]),
            closing=bool(told["closing"]),
            callers=int(told["callers"]),
        )
    except (OSError, ValueError, LookupError, TypeError) as error:
        log.warning("handover: none from the old process, starting by ourselves: %r", error)
        for descriptor in descriptors:
            os.close(descriptor)
        line.close()
        return None
    return inherited


def write_learned(learned: face.Learned) -> Iterator[dict[str, Any]]:
    """What the module has learned, in messages that are short enough."""
    rest = learned.evidence
    for i in range(0, max(len(rest), 1), EVIDENCE_AT_ONCE):
        yield asdict(replace(learned, evidence=rest[i : i + EVIDENCE_AT_ONCE]))


def read_learned(data: dict[str, Any]) -> face.Learned:
    """The same back; raises ValueError, LookupError or TypeError if it is not one."""
    evidence = tuple(face.Evidence(**item) for item in data["evidence"])
    return face.Learned(float(data["lowest"]), float(data["aims_ms"]), float(data["spent_ms"]), evidence)


class Channel:
    """The line between the two processes, from either end."""

    def __init__(self, line: socket.socket, heard: Heard, ended: Callable[[], None]) -> None:
        self._line, self._heard, self._on_end = line, heard, ended
        self._unsaid: deque[bytes] = deque()
        line.setblocking(False)
        asyncio.get_running_loop().add_reader(line, self._read)

    def is_open(self) -> bool:
        """Whether the other process is there."""
        return self._line.fileno() >= 0

    def say(self, **message: Any) -> None:
        """Tell something, in turn."""
        self._unsaid.append(json.dumps(message).encode())
        self._flush()

    def give(self, descriptor: int, **message: Any) -> bool:
        """Hand over a descriptor; False if it can't go now."""
        if self._unsaid or not self.is_open():
            return False
        try:
            socket.send_fds(self._line, [json.dumps(message).encode()], [descriptor])
        except OSError as error:
            if error.errno not in FULL:
                self.close()
            return False
        return True

    def close(self) -> None:
        """End it; the other side notices."""
        if self.is_open():
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._line)
            loop.remove_writer(self._line)
            self._line.close()
            self._on_end()

    def _flush(self) -> None:
        if not self.is_open():
            return
        loop = asyncio.get_running_loop()
        try:
            while self._unsaid:
                self._line.send(self._unsaid[0])
                self._unsaid.popleft()
        except BlockingIOError:
            loop.add_writer(self._line, self._flush)
        except OSError:
            self.close()
        else:
            loop.remove_writer(self._line)

    def _read(self) -> None:
        while self.is_open():
            try:
                data, descriptors, _, _ = socket.recv_fds(self._line, MAX_MESSAGE, 1)
            except BlockingIOError:
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self.close()
                return
            handed = socket.socket(fileno=descriptors[0]) if descriptors else None
            try:
                self._heard(json.loads(data), handed)
            except Exception as error:  # whatever comes here must not end a process that serves
                log.error("handover: a message could not be used: %r", error)
                if handed is not None:
                    handed.close()


class Post:
    """Where the next process asks: a socket in TMPDIR that answers with what `hello` gives."""

    def __init__(self, path: str, hello: Callable[[socket.socket], None]) -> None:
        self._hello = hello
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        fresh = f"{path}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(fresh)
            with _short(fresh) as short:
                self._socket.bind(short)
            self._socket.listen(1)
            os.rename(fresh, path)  # whoever asks finds the old process or this one, never nobody
        except OSError:
            self._socket.close()
            raise
        self._socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Answer no more. The file stays, as it may be the next process's by now."""
        if self._socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()

    def _accept(self) -> None:
        try:
            line, _ = self._socket.accept()
        except OSError:
            return
        try:
            self._hello(line)
        except Exception as error:  # it goes on with what it has been told, or by itself
            log.error("handover: could not answer the new process: %r", error)
