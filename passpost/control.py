"""The operators' door: one line to a connection, one answer. It asks the balancer and owns no state of it."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable
from typing import Any, Protocol

from passpost.http1 import Address

log = logging.getLogger(__name__)

MAX_CALLS = 8  # connections at once; the oldest that has said nothing gives way to the next
ACCEPT_AT_ONCE = 4  # fewer than the places: a call that has been let in has a turn before it could give way
MAX_LINE = 1024
LINE_S = 10.0  # for the whole line: somebody may type it
LINGER_S = 1.0  # an answer is left so long to be read before its connection goes
DESCRIPTORS = (
    MAX_CALLS + 4
)  # what the door may hold: its socket, the calls, and those that give way meanwhile
RETRY_S = 0.25  # pause of accepting while descriptors are short


class Operated(Protocol):
    """What operators can ask of a balancer; a KeyError says that the upstream is unknown."""

    def is_serving(self) -> bool:
        """Whether this process takes clients."""

    def figures(self) -> dict[str, Any]:
        """The counters."""

    def cordon(self, server: str) -> None:
        """Leave an upstream out; KeyError if it is unknown."""

    def uncordon(self, server: str) -> None:
        """Use it again; KeyError if it is unknown."""

    def quiesce(self) -> None:
        """Drain, and run on."""

    def resume(self) -> bool:
        """End the drain; False while the process stops."""


class _Refused(Exception):
    """The call is owed a no, with a plain reason."""


class Door:
    """Listens on the operators' address."""

    def __init__(self, operated: Operated, address: Address) -> None:
        self._operated = operated
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.create_server(address, backlog=64, family=family)
        self._socket.setblocking(False)
        self._calls: dict[asyncio.Task[None], bool] = {}  # oldest first; whether it has said its line
        self._retry: asyncio.TimerHandle | None = None

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self._socket.getsockname()[1])

    def start(self) -> None:
        """Begin to answer."""
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def stop(self) -> None:
        """Answer no more; whoever is connected is let go."""
        if self._retry is not None:
            self._retry.cancel()
        if self._socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
        for task in self._calls:
            task.cancel()

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(ACCEPT_AT_ONCE):
            if len(self._calls) >= MAX_CALLS and not self._make_room():
                return  # all are being answered: the next has its turn right after
            try:
                client, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("control: accept: %s", error)
                loop.remove_reader(self._socket)
                self._retry = loop.call_later(RETRY_S, self.start)
                return
            client.setblocking(False)
            task = loop.create_task(self._serve(client))
            self._calls[task] = False
            task.add_done_callback(self._ended)

    def _make_room(self) -> bool:
        silent = next((task for task, spoke in self._calls.items() if not spoke), None)
        if silent is not None:
            del self._calls[silent]
            silent.cancel()
        return silent is not None

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._calls.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("control: a call could not be answered: %r", error)

    async def _serve(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with client:
            try:
                async with asyncio.timeout(LINE_S):
                    answer = self._answer(await self._read(client))
                async with asyncio.timeout(LINGER_S):
                    await loop.sock_sendall(client, answer)
                    client.shutdown(socket.SHUT_WR)
                    # A close with bytes unread would reset the connection and lose the answer.
                    while await loop.sock_recv(client, 4096):
                        pass
            except (OSError, TimeoutError):
                return  # the client has gone, or never spoke or read

    async def _read(self, client: socket.socket) -> bytes:
        """The line without its end; an end of sending ends it too, and one too long is cut."""
        line = b""
        while b"\n" not in line and len(line) <= MAX_LINE:
            data = await asyncio.get_running_loop().sock_recv(client, 4096)
            if not data:
                break
            line += data
        if (task := asyncio.current_task()) in self._calls and task is not None:
            self._calls[task] = True
        return line.split(b"\n", 1)[0]

    def _answer(self, line: bytes) -> bytes:
        try:
            return self._ask(*_words(line))
        except _Refused as refused:
            log.warning("control: refused: %s", refused)
            return b"ERR %b\n" % str(refused).encode()
        except Exception:  # one call must not take the door along
            log.exception("control: a call failed")
            return b"ERR the balancer could not answer\n"

    def _ask(self, word: str, rest: list[str]) -> bytes:
        plain: dict[str, Callable[[], bytes]] = {
            "health": self._health,
            "counters": self._counters,
            "quiesce": self._quiesce,
            "resume": self._resume,
        }
        naming = {"cordon": self._operated.cordon, "uncordon": self._operated.uncordon}
        if word in naming:
            return self._named(word, naming[word], rest)
        if word in plain:
            if rest:
                raise _Refused(f"{word} takes nothing behind it")
            return plain[word]()
        raise _Refused(f"unknown call {word!r}; known are {', '.join([*plain, *naming])}")

    def _named(self, word: str, act: Callable[[str], None], rest: list[str]) -> bytes:
        if len(rest) != 1:
            raise _Refused(f"{word} takes the id of one upstream")
        try:
            act(rest[0])
        except KeyError:
            raise _Refused(f"no upstream {rest[0]!r} is known") from None
        return self._done(f"{word} {rest[0]}")

    def _health(self) -> bytes:
        if not self._operated.is_serving():
            raise _Refused("not taking clients")
        return b"OK serving\n"

    def _counters(self) -> bytes:
        return b"%b\nEND\n" % json.dumps(self._operated.figures(), separators=(",", ":")).encode()

    def _quiesce(self) -> bytes:
        self._operated.quiesce()
        return self._done("draining")

    def _resume(self) -> bytes:
        if not self._operated.resume():
            raise _Refused("the process is stopping")
        return self._done("back to work")

    def _done(self, text: str) -> bytes:
        log.info("control: %s", text)
        return b"OK %b\n" % text.encode()


def _words(line: bytes) -> tuple[str, list[str]]:
    """The call's name and what stands behind it."""
    if len(line) > MAX_LINE:
        raise _Refused(f"the line is longer than {MAX_LINE} bytes")
    try:
        text = line.decode("ascii").strip()
    except UnicodeDecodeError:
        raise _Refused("the line is not plain text") from None
    if not text:
        raise _Refused("the line is empty")
    if not text.isprintable():
        raise _Refused("the line is not plain text")
    word, *rest = text.split()
    return word, rest
