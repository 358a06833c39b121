"""One balancer: `python -m passpost`, told by the environment where its configuration lies."""

from __future__ import annotations

import signal

if (
    __name__ == "__main__"
):  # unhandled it ends us, and to import the rest takes time; the file is read after that
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
from passpost.discovery import Discovery, Source
from passpost.engine import Engine
from passpost.server import Server
from passpost.upstream import Upstreams
from umberworks import interface as face

log = logging.getLogger("passpost")

# Clients and upstreams get a part of the descriptors each; the rest is for the listening socket, discovery,
# the loop, files, and sockets that are closed but not gone yet. Clients get more: a request that waits in
# the listening socket's queue is taken and not seen, while an attempt without a connection ends at once.
CLIENTS_SHARE, UPSTREAMS_SHARE = 0.55, 0.35

HELD_SHARE = 0.125  # the part of the memory that long bodies held whole may take

# A planned restart kills no sooner than the longest deadline, of which no more than so much counts, and so
# much later; the spare is for ending.
LONGEST_COUNTED_S, KILL_AFTER_S, SPARE_S = 3.0, 0.7, 0.3

# Beside an old process a new one takes clients once it has a list of its own, or after so long with the one
# that it was given. A new one that has asked but does not serve yet is waited for before we stop without it.
LIST_S, HEIR_S = 1.5, 1.0
BESIDE_S = 0.05  # how often the new process hears of the calls that the old one has out

STOPS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = {signal.SIGHUP, *STOPS}


def _source(config: Config) -> Source:
    """What keeps the list; for one address nothing of the other kind is imported."""
    if len(config.discovery) == 1:
        return Discovery(config.discovery[0], config.known)
    from passpost.followed import Followed

    return Followed(config.discovery, config.known, config.seed)


class Node:
    """The parts of one balancer, wired together and started."""

    def __init__(
        self, config: Config, meeting: str | None = None, old: handover.Inherited | None = None
    ) -> None:
        """`meeting`: the path where a new process finds us; `old`: what the old one has handed over."""
        self._config, self._meeting = config, meeting
        self.upstreams = Upstreams(
            config.connect_timeout, config.idle_timeout, max_connections=int(config.sockets * UPSTREAMS_SHARE)
        )
        self.discovery = _source(config)
        self.engine = Engine(
            config.settings,
            config.seed,
            self.upstreams,
            self.discovery.subscribe,
            config.answer_grace,
            config.report_fields,
        )
        clients = int(config.sockets * CLIENTS_SHARE) - (control.DESCRIPTORS if config.control else 0)
        self.server = Server(
            self.engine,
            config.listen,
            max_connections=clients,
            listener=old.listener if old else None,
            shared=config.control is not None,
            buffer_bytes=int(config.memory * HELD_SHARE),
        )
        self._post: handover.Post | None = None
        self._old: handover.Channel | None = None
        self._heir: handover.Channel | None = None
        self._heir_serves = asyncio.Event()
        self._joining: asyncio.Task[None] | None = None
        self.door = control.Door(self, config.control) if config.control else None
        self.upstreams.start()
        self.discovery.start(self.engine.listed)
        if old is not None:
            self._joining = asyncio.get_running_loop().create_task(self._join(old))
        else:
            self._serve()
        if self.door is not None:
            self.door.start()

    def _serve(self) -> None:
        self.server.start()
        if self._meeting:
            try:
                self._post = handover.Post(self._meeting, self._meet)
            except OSError as error:
                log.warning("handover: none from us to a new process: %s", error)

    # ---- an upgrade, see handover.py

    async def _join(self, old: handover.Inherited) -> None:
        """Be one balancer with the old process: what operators told it holds here before a client comes."""
        self._old = handover.Channel(old.line, self._heard, self._old_ended)
        for server in old.cordoned:
            self.engine.cordon(server, True)
        if old.closing:
            self.server.send_off()
        elif old.draining:
            self.server.quiesce()
        self.server.acceptor.lend(old.callers)
        self.upstreams.share(True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIST_S):
                await self.discovery.heard.wait()
        self._serve()
        self._old.say(serving=True)
        log.info("handover: serving beside the old process")

    def _meet(self, line: socket.socket) -> None:
        """A new process has asked: it gets the listening socket, and what operators said."""
        if self._heir is not None:
            self._heir.close()
        self._heir_serves.clear()
        heir = self._heir = handover.Channel(line, self._heard, self._heir_ended)
        self.upstreams.share(True)
        heir.give(
            self.server.acceptor.listener.fileno(),
            cordoned=sorted(self.engine.cordoned()),
            draining=self.server.draining,
            closing=self.server.closing,
            callers=self.server.count(),
        )
        for part in handover.write_learned(self.engine.learned()):
            heir.say(learned=part)
        self._tell_calls()
        log.info("handover: a new process has the listening socket")

    def _tell_calls(self, told: int = -1) -> None:
        """Let the new process know how many calls we have out, until it is alone."""
        if self._heir is not None and self._heir.is_open():
            if (out := self.engine.calls_out()) != told:
                self._heir.say(beside=out)
            asyncio.get_running_loop().call_later(BESIDE_S, self._tell_calls, out)

    def _heard(self, message: dict[str, Any], handed: socket.socket | None) -> None:
        if handed is not None:
            self.server.acceptor.adopt(handed, bool(message["useful"]), float(message["age"]))
        elif "cordon" in message:
            self.engine.cordon(str(message["cordon"]), bool(message["out"]))
        elif "draining" in message:
            if message["draining"]:
                self.server.quiesce()
            else:
                self.server.resume()
        elif "learned" in message:
            self.engine.told(handover.read_learned(message["learned"]))
        elif "beside" in message:
            self.engine.told(face.CallsBeside(int(message["beside"])))
        elif message.get("serving"):
            self.server.acceptor.stand_back(True)
            self._heir_serves.set()

    def _heir_ended(self) -> None:
        self._heir_serves.clear()
        self.server.acceptor.stand_back(False)
        self._alone()

    def _old_ended(self) -> None:
        self.server.acceptor.lend(0)
        self.engine.told(face.CallsBeside(0))
        self._alone()

    def _alone(self) -> None:
        lines = [line for line in (self._old, self._heir) if line is not None and line.is_open()]
        self.upstreams.share(bool(lines))

    def _tell(self, **message: Any) -> bool:
        """Tell the other processes of an upgrade; whether there is one."""
        lines = [line for line in (self._old, self._heir) if line is not None and line.is_open()]
        for line in lines:
            line.say(**message)
        return bool(lines)

    # ---- what operators ask, see control.py

    def is_serving(self) -> bool:
        """Whether this process takes clients."""
        return self.server.acceptor.is_serving()

    def figures(self) -> dict[str, Any]:
        """The counters."""
        figures = self.engine.counters.figures(self.discovery.count(), self.engine.excluded())
        if source := self.discovery.figures():
            figures["list"] = source
        return figures

    def cordon(self, server: str) -> None:
        """Leave an upstream out; KeyError if it is neither listed nor left out already."""
        self._hold(server, True)

    def uncordon(self, server: str) -> None:
        """Use it again; KeyError if it is neither listed nor left out."""
        self._hold(server, False)

    def _hold(self, server: str, out: bool) -> None:
        if not self.discovery.contains(server) and server not in self.engine.cordoned():
            raise KeyError(server)
        self.engine.cordon(server, out)
        self._tell(cordon=server, out=out)

    def quiesce(self) -> None:
        """Drain, and run on."""
        self.server.quiesce()
        self._tell(draining=True)

    def resume(self) -> bool:
        """End the drain; False while the process stops."""
        told = self._tell(draining=False)
        return self.server.resume() or told

    # ---- its life

    def reload(self, config: Config) -> None:
        """Take over a changed address of discovery; all else needs a restart, which the log says."""
        changed = [f.name for f in fields(Config) if getattr(config, f.name) != getattr(self._config, f.name)]
        if later := [name for name in changed if name not in ("discovery", "known", "seed")]:
            log.warning("configuration: a change of %s waits for a restart", ", ".join(later))
        if (len(config.discovery) > 1) != (len(self._config.discovery) > 1):
            log.warning("configuration: one address of discovery in place of several waits for a restart")
            config = replace(config, discovery=self._config.discovery)
        self._config = config
        self.discovery.move(config.discovery)

    async def _leave(self, within: float) -> None:
        """Finish what was taken, with a new process beside us or without."""
        began = time.monotonic()
        if self._post is not None:
            self._post.close()  # nobody else begins with what we are about to end
        if self._heir is not None and self._heir.is_open():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEIR_S):
                    await self._heir_serves.wait()
        within -= time.monotonic() - began
        if self._heir is not None and self._heir_serves.is_set():
            await self.server.hand_over(self._heir.give, within)
        else:
            await self.server.drain(within)

    async def stop(self) -> None:
        """Finish what was taken, then close everything."""
        longest = max(c.deadline_ms for c in self._config.settings.classes) / 1000
        await self._leave(min(longest, LONGEST_COUNTED_S) + KILL_AFTER_S - SPARE_S)
        self.close()

    def close(self) -> None:
        """End everything at once."""
        if self._joining is not None:
            self._joining.cancel()
        if self._post is not None:
            self._post.close()
        for line in (self._old, self._heir):
            if line is not None:
                line.close()
        if self.door is not None:
            self.door.stop()
        self.discovery.stop()
        self.upstreams.stop()


def meeting_path(config: Config, directory: str | None) -> str | None:
    """The path by which an old and a new process of one balancer meet; none without operators' parts."""
    if config.control is None or not directory or not os.path.isdir(directory):
        return None
    return os.path.join(directory, "handover." + quote(config.name, safe=""))


async def serve(path: str) -> None:
    """Run until SIGTERM, by the configuration at `path`; SIGHUP reads it again."""
    node: Node | None = None

    def reload() -> None:
        if node is None:
            return  # the file is still to be read
        try:
            config = load(path)
        except ConfigError as error:
            log.error("the old configuration stays: %s", error)
        else:
            places = ", ".join(f"{host}:{port}" for host, port in config.discovery)
            log.info("configuration read again; discovery at %s", places)
            node.reload(config)

    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload)
    for number in STOPS:
        loop.add_signal_handler(number, stop.set)
    config = load(path)
    meeting = meeting_path(config, os.environ.get("TMPDIR"))
    node = Node(config, meeting, handover.ask(meeting) if meeting else None)
    log.info("%s serves on %s:%d", config.name, config.listen[0], node.server.port)
    await stop.wait()
    log.info("stopping: finishing what was taken")
    await node.stop()
    # The loop is about to give up its handlers: a signal that comes after that would end us as a crash does.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def main() -> int:
    """Start as the environment says; the result is the exit status."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        uvloop.run(serve(os.environ.get("EDGE_CONFIG", "")))
    except ConfigError as error:
        print(f"passpost: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # most likely the address to listen on
        print(f"passpost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
