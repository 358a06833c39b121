"""Runs one balancer: `python -m passpost`, with the configuration file named by EDGE_CONFIG."""

from __future__ import annotations

import signal

# Unhandled, SIGHUP would end the process during the imports below, which take time. The configuration is read
# after them, so that an earlier signal needs no reload.
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import contextlib
import logging
import os
import socket
import sys
import time
from dataclasses import fields, replace
from typing import Any
from urllib.parse import quote

import uvloop

from passpost import control, handover
from passpost.config import Config, ConfigError, load
from passpost.discovery import Discovery, ListSource
from passpost.engine import Engine
from passpost.server import Server
from passpost.upstream import Upstreams
from umberworks import interface

log = logging.getLogger("passpost")

# Shares of the descriptors for clients and upstreams; the rest is for the listening socket, discovery, the
# event loop, files, and sockets being closed. Clients get more: requests beyond their limit wait unseen in
# the queue of the listening socket, while an attempt without a connection ends at once.
CLIENT_SHARE, UPSTREAM_SHARE = 0.55, 0.35

BUFFER_SHARE = 0.125  # of the memory, for buffered long bodies

# A planned restart kills the process KILL_AFTER_S after the longest deadline, of which at most
# MAX_COUNTED_DEADLINE_S count; the margin is for ending the process.
MAX_COUNTED_DEADLINE_S, KILL_AFTER_S, SHUTDOWN_MARGIN_S = 3.0, 0.7, 0.3

# With an old process, a new one accepts clients once it has a list of its own, or after LIST_WAIT_S with the
# list of its configuration. When stopping, a connected new process that does not serve yet is waited for
# SUCCESSOR_WAIT_S.
LIST_WAIT_S, SUCCESSOR_WAIT_S = 1.5, 1.0
REPORT_INTERVAL_S = 0.05  # how often the new process learns the number of our attempts in flight

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = {signal.SIGHUP, *STOP_SIGNALS}


def _list_source(config: Config) -> ListSource:
    """The source of the list; with one address the code for several is not imported."""
    if len(config.discovery) == 1:
        return Discovery(config.discovery[0], config.known)
    from passpost.replicated_discovery import ReplicatedDiscovery

    return ReplicatedDiscovery(config.discovery, config.known, config.seed)


class Node:
    """The components of one balancer, connected and started."""

    def __init__(
        self,
        config: Config,
        handover_path: str | None = None,
        predecessor: handover.InheritedState | None = None,
    ) -> None:
        """`handover_path`: where a new process connects; `predecessor`: the old one's state."""
        self._config, self._handover_path = config, handover_path
        self.upstreams = Upstreams(
            config.connect_timeout, config.idle_timeout, max_connections=int(config.sockets * UPSTREAM_SHARE)
        )
        self.discovery = _list_source(config)
        self.engine = Engine(
            config.settings,
            config.seed,
            self.upstreams,
            self.discovery.subscribe,
            config.answer_grace,
            config.report_fields,
        )
        clients = int(config.sockets * CLIENT_SHARE) - (control.MAX_DESCRIPTORS if config.control else 0)
        self.server = Server(
            self.engine,
            config.listen,
            max_connections=clients,
            listener=predecessor.listener if predecessor else None,
            shared=config.control is not None,
            buffer_bytes=int(config.memory * BUFFER_SHARE),
        )
        self._handover_listener: handover.HandoverListener | None = None
        self._predecessor: handover.Channel | None = None
        self._successor: handover.Channel | None = None
        self._successor_serving = asyncio.Event()
        self._join_task: asyncio.Task[None] | None = None
        self.control_server = control.ControlServer(self, config.control) if config.control else None
        self.upstreams.start()
        self.discovery.start(self.engine.on_list_update)
        if predecessor is not None:
            self._join_task = asyncio.get_running_loop().create_task(self._join(predecessor))
        else:
            self._serve()
        if self.control_server is not None:
            self.control_server.start()

    def _serve(self) -> None:
        self.server.start()
        if self._handover_path:
            try:
                self._handover_listener = handover.HandoverListener(self._handover_path, self._on_successor)
            except OSError as error:
                log.warning("handover: unavailable, a new process can't connect: %s", error)

    # ---- upgrades, see handover.py

    async def _join(self, predecessor: handover.InheritedState) -> None:
        """Join the old process as one balancer; the operators' state applies before any client connects."""
        self._predecessor = handover.Channel(
            predecessor.connection, self._on_message, self._on_predecessor_gone
        )
        for server in predecessor.cordoned:
            self.engine.cordon(server, True)
        if predecessor.closing:
            self.server.quiesce_at_once()
        elif predecessor.draining:
            self.server.quiesce()
        self.server.acceptor.set_peer_connections(predecessor.client_connections)
        self.upstreams.set_shared(True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIST_WAIT_S):
                await self.discovery.has_responded.wait()
        self._serve()
        self._predecessor.send(serving=True)
        log.info("handover: serving beside the old process")

    def _on_successor(self, connection: socket.socket) -> None:
        """A new process has connected: send it the listening socket and the operators' state."""
        if self._successor is not None:
            self._successor.close()
        self._successor_serving.clear()
        successor = self._successor = handover.Channel(connection, self._on_message, self._on_successor_gone)
        self.upstreams.set_shared(True)
        successor.send_descriptor(
            self.server.acceptor.listener.fileno(),
            cordoned=sorted(self.engine.cordoned()),
            draining=self.server.draining,
            closing=self.server.closing,
            callers=self.server.connection_count(),
        )
        for part in handover.encode_learned(self.engine.learned()):
            successor.send(learned=part)
        self._report_attempts()
        log.info("handover: listening socket sent to a new process")

    def _report_attempts(self, reported: int = -1) -> None:
        """Report our attempts in flight to the new process whenever they change, while it is connected."""
        if self._successor is not None and self._successor.is_open():
            if (in_flight := self.engine.attempts_in_flight()) != reported:
                self._successor.send(beside=in_flight)
            asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self._report_attempts, in_flight)

    def _on_message(self, message: dict[str, Any], received: socket.socket | None) -> None:
        if received is not None:
            self.server.acceptor.adopt(received, bool(message["useful"]), float(message["age"]))
        elif "cordon" in message:
            self.engine.cordon(str(message["cordon"]), bool(message["out"]))
        elif "draining" in message:
            if message["draining"]:
                self.server.quiesce()
            else:
                self.server.resume()
        elif "learned" in message:
            self.engine.on_peer_event(handover.decode_learned(message["learned"]))
        elif "beside" in message:
            self.engine.on_peer_event(interface.CallsBeside(int(message["beside"])))
        elif message.get("serving"):
            self.server.acceptor.set_yielding(True)
            self._successor_serving.set()

    def _on_successor_gone(self) -> None:
        self._successor_serving.clear()
        self.server.acceptor.set_yielding(False)
        self._update_sharing()

    def _on_predecessor_gone(self) -> None:
        self.server.acceptor.set_peer_connections(0)
        self.engine.on_peer_event(interface.CallsBeside(0))
        self._update_sharing()

    def _update_sharing(self) -> None:
        channels = [
            channel
            for channel in (self._predecessor, self._successor)
            if channel is not None and channel.is_open()
        ]
        self.upstreams.set_shared(bool(channels))

    def _broadcast(self, **message: Any) -> bool:
        """Send a message to the other processes of an upgrade; returns whether there is one."""
        channels = [
            channel
            for channel in (self._predecessor, self._successor)
            if channel is not None and channel.is_open()
        ]
        for channel in channels:
            channel.send(**message)
        return bool(channels)

    # ---- commands of operators, see control.py

    def is_serving(self) -> bool:
        """Whether this process accepts clients."""
        return self.server.acceptor.is_serving()

    def read_counters(self) -> dict[str, Any]:
        """The counters."""
        counters = self.engine.counters.snapshot(self.discovery.count(), self.engine.excluded_count())
        if source := self.discovery.status():
            counters["list"] = source
        return counters

    def cordon(self, server: str) -> None:
        """Exclude an upstream; KeyError if it is neither listed nor cordoned already."""
        self._set_cordoned(server, True)

    def uncordon(self, server: str) -> None:
        """Include it again; KeyError if it is neither listed nor cordoned."""
        self._set_cordoned(server, False)

    def _set_cordoned(self, server: str, excluded: bool) -> None:
        if not self.discovery.contains(server) and server not in self.engine.cordoned():
            raise KeyError(server)
        self.engine.cordon(server, excluded)
        self._broadcast(cordon=server, out=excluded)

    def quiesce(self) -> None:
        """Drain clients without stopping the process."""
        self.server.quiesce()
        self._broadcast(draining=True)

    def resume(self) -> bool:
        """End the drain; returns False while the process is stopping."""
        was_sent = self._broadcast(draining=False)
        return self.server.resume() or was_sent

    # ---- lifecycle

    def reload(self, config: Config) -> None:
        """Apply changed discovery addresses; other changes need a restart, which is logged."""
        changed = [f.name for f in fields(Config) if getattr(config, f.name) != getattr(self._config, f.name)]
        if needing_restart := [name for name in changed if name not in ("discovery", "known", "seed")]:
            log.warning("configuration: a change of %s needs a restart", ", ".join(needing_restart))
        if (len(config.discovery) > 1) != (len(self._config.discovery) > 1):
            log.warning("configuration: changing between one and several discovery addresses needs a restart")
            config = replace(config, discovery=self._config.discovery)
        self._config = config
        self.discovery.change_addresses(config.discovery)

    async def _finish_requests(self, timeout_s: float) -> None:
        """Answer the accepted requests, while a new process serves or without one."""
        started_at = time.monotonic()
        if self._handover_listener is not None:
            self._handover_listener.close()  # no further process may start from a state that is about to end
        if self._successor is not None and self._successor.is_open():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SUCCESSOR_WAIT_S):
                    await self._successor_serving.wait()
        timeout_s -= time.monotonic() - started_at
        if self._successor is not None and self._successor_serving.is_set():
            await self.server.hand_over(self._successor.send_descriptor, timeout_s)
        else:
            await self.server.drain(timeout_s)

    async def stop(self) -> None:
        """Answer the accepted requests, then close everything."""
        longest_s = max(c.deadline_ms for c in self._config.settings.classes) / 1000
        await self._finish_requests(min(longest_s, MAX_COUNTED_DEADLINE_S) + KILL_AFTER_S - SHUTDOWN_MARGIN_S)
        self.close()

    def close(self) -> None:
        """Close everything at once."""
        if self._join_task is not None:
            self._join_task.cancel()
        if self._handover_listener is not None:
            self._handover_listener.close()
        for channel in (self._predecessor, self._successor):
            if channel is not None:
                channel.close()
        if self.control_server is not None:
            self.control_server.stop()
        self.discovery.stop()
        self.upstreams.stop()


def handover_socket_path(config: Config, directory: str | None) -> str | None:
    """The socket path for handovers; None without an operators' interface or a directory."""
    if config.control is None or not directory or not os.path.isdir(directory):
        return None
    return os.path.join(directory, "handover." + quote(config.name, safe=""))


async def serve(path: str) -> None:
    """Run with the configuration at `path` until SIGTERM; SIGHUP reloads it."""
    node: Node | None = None

    def reload() -> None:
        if node is None:
            return  # the configuration has not been read yet
        try:
            config = load(path)
        except ConfigError as error:
            log.error("configuration not reloaded, the old one stays in use: %s", error)
        else:
            addresses = ", ".join(f"{host}:{port}" for host, port in config.discovery)
            log.info("configuration reloaded; discovery at %s", addresses)
            node.reload(config)

    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload)
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    config = load(path)
    handover_path = handover_socket_path(config, os.environ.get("TMPDIR"))
    node = Node(config, handover_path, handover.request_handover(handover_path) if handover_path else None)
    log.info("%s serves on %s:%d", config.name, config.listen[0], node.server.port)
    await stop.wait()
    log.info("stopping: finishing accepted requests")
    await node.stop()
    # The event loop is about to remove its handlers: a later signal would end the process as a crash does.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def main() -> int:
    """Run with the environment's configuration; returns the exit status."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        uvloop.run(serve(os.environ.get("EDGE_CONFIG", "")))
    except ConfigError as error:
        print(f"passpost: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # most likely the listen address is in use
        print(f"passpost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
