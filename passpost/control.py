"""The operators' interface: one command line per connection, one answer. It holds no balancer state."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable
from typing import Any, Protocol

from passpost.http1 import Address

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 8  # open connections; the oldest without a command is closed for the next
ACCEPT_BATCH = 4  # below MAX_CONNECTIONS, so that a new connection gets a turn before it can be evicted
MAX_LINE_BYTES = 1024
LINE_TIMEOUT_S = 10.0  # for the whole line, which may be typed by hand
LINGER_TIMEOUT_S = 1.0  # time for the client to read the answer before the connection is closed
# The listening socket, the connections, and evicted ones that are still closing.
MAX_DESCRIPTORS = MAX_CONNECTIONS + 4
ACCEPT_RETRY_S = 0.25  # pause after accept fails for lack of descriptors


class ControlTarget(Protocol):
    """What operators can request of a balancer; KeyError means that the upstream is unknown."""

    def is_serving(self) -> bool:
        """Whether this process accepts clients."""

    def read_counters(self) -> dict[str, Any]:
        """The counters."""

    def cordon(self, server: str) -> None:
        """Exclude an upstream; KeyError if it is unknown."""

    def uncordon(self, server: str) -> None:
        """Include it again; KeyError if it is unknown."""

    def quiesce(self) -> None:
        """Drain clients without stopping the process."""

    def resume(self) -> bool:
        """End the drain; returns False while the process is stopping."""


class _CommandError(Exception):
    """The command is refused, with a reason for the operator."""


class ControlServer:
    """Listens on the operators' address."""

    def __init__(self, target: ControlTarget, address: Address) -> None:
        self._target = target
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.create_server(address, backlog=64, family=family)
        self._socket.setblocking(False)
        # Oldest first; the value is whether the command has been read.
        self._connections: dict[asyncio.Task[None], bool] = {}
        self._retry_timer: asyncio.TimerHandle | None = None

    @property
    def port(self) -> int:
        """The port it listens on."""
        return int(self._socket.getsockname()[1])

    def start(self) -> None:
        """Start accepting commands."""
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self._socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
        for task in self._connections:
            task.cancel()

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(ACCEPT_BATCH):
            if len(self._connections) >= MAX_CONNECTIONS and not self._evict_silent():
                return  # all are being answered; the next one is accepted afterwards
            try:
                client, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("control: accept: %s", error)
                loop.remove_reader(self._socket)
                self._retry_timer = loop.call_later(ACCEPT_RETRY_S, self.start)
                return
            client.setblocking(False)
            task = loop.create_task(self._serve(client))
            self._connections[task] = False
            task.add_done_callback(self._on_connection_done)

    def _evict_silent(self) -> bool:
        silent = next((task for task, has_command in self._connections.items() if not has_command), None)
        if silent is not None:
            del self._connections[silent]
            silent.cancel()
        return silent is not None

    def _on_connection_done(self, task: asyncio.Task[None]) -> None:
        self._connections.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("control: connection failed: %r", error)

    async def _serve(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with client:
            try:
                async with asyncio.timeout(LINE_TIMEOUT_S):
                    answer = self._answer(await self._read(client))
                async with asyncio.timeout(LINGER_TIMEOUT_S):
                    await loop.sock_sendall(client, answer)
                    client.shutdown(socket.SHUT_WR)
                    # Closing with unread bytes would reset the connection and lose the answer.
                    while await loop.sock_recv(client, 4096):
                        pass
            except (OSError, TimeoutError):
                return  # the client has disconnected, or did not send or read in time

    async def _read(self, client: socket.socket) -> bytes:
        """Read a line without its end; end of file also ends it, and one that is too long is cut."""
        line = b""
        while b"\n" not in line and len(line) <= MAX_LINE_BYTES:
            data = await asyncio.get_running_loop().sock_recv(client, 4096)
            if not data:
                break
            line += data
        if (task := asyncio.current_task()) in self._connections and task is not None:
            self._connections[task] = True
        return line.split(b"\n", 1)[0]

    def _answer(self, line: bytes) -> bytes:
        try:
            return self._dispatch(*_parse_line(line))
        except _CommandError as error:
            log.warning("control: refused: %s", error)
            return b"ERR %b\n" % str(error).encode()
        except Exception:  # a failing command must not stop the interface
            log.exception("control: command failed")
            return b"ERR the balancer could not answer\n"

    def _dispatch(self, command: str, arguments: list[str]) -> bytes:
        commands: dict[str, Callable[[], bytes]] = {
            "health": self._health,
            "counters": self._counters,
            "quiesce": self._quiesce,
            "resume": self._resume,
        }
        upstream_commands = {"cordon": self._target.cordon, "uncordon": self._target.uncordon}
        if command in upstream_commands:
            return self._run_on_upstream(command, upstream_commands[command], arguments)
        if command in commands:
            if arguments:
                raise _CommandError(f"{command} takes nothing behind it")
            return commands[command]()
        raise _CommandError(
            f"unknown call {command!r}; known are {', '.join([*commands, *upstream_commands])}"
        )

    def _run_on_upstream(self, command: str, action: Callable[[str], None], arguments: list[str]) -> bytes:
        if len(arguments) != 1:
            raise _CommandError(f"{command} takes the id of one upstream")
        try:
            action(arguments[0])
        except KeyError:
            raise _CommandError(f"no upstream {arguments[0]!r} is known") from None
        return self._confirm(f"{command} {arguments[0]}")

    def _health(self) -> bytes:
        if not self._target.is_serving():
            raise _CommandError("not taking clients")
        return b"OK serving\n"

    def _counters(self) -> bytes:
        return b"%b\nEND\n" % json.dumps(self._target.read_counters(), separators=(",", ":")).encode()

    def _quiesce(self) -> bytes:
        self._target.quiesce()
        return self._confirm("draining")

    def _resume(self) -> bytes:
        if not self._target.resume():
            raise _CommandError("the process is stopping")
        return self._confirm("back to work")

    def _confirm(self, text: str) -> bytes:
        log.info("control: %s", text)
        return b"OK %b\n" % text.encode()


def _parse_line(line: bytes) -> tuple[str, list[str]]:
    """The command and its arguments."""
    if len(line) > MAX_LINE_BYTES:
        raise _CommandError(f"the line is longer than {MAX_LINE_BYTES} bytes")
    try:
        text = line.decode("ascii").strip()
    except UnicodeDecodeError:
        raise _CommandError("the line is not plain text") from None
    if not text:
        raise _CommandError("the line is empty")
    if not text.isprintable():
        raise _CommandError("the line is not plain text")
    command, *arguments = text.split()
    return command, arguments
