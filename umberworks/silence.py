"""Detects servers that have stopped answering (the contract: umberworks/interface.py).

Calls in flight return at some usual rate, so that call time multiplied by this rate is the number of answers
expected by now. A healthy server gives none of n expected answers with probability e^-n, as far as service
times are exponential; a few long calls make it likelier. So missing answers prove nothing: they cause a
probe, and the probe decides, as no connection comes up to a machine that is down. Expected answers are
counted per server and per zone: whatever cuts off a zone silences all of it at once, long before a single
server would stand out.
"""

from __future__ import annotations

from umberworks.members import Server, UnansweredCalls

PROBE_THRESHOLD = 4.0  # expected answers, of a server or a zone, that cause a probe: by chance about 1 in 50
PROBE_THRESHOLD_BESIDE = 1.0  # the same while another server is silent: failures tend to hit several at once
MIN_ANSWERING = 0.25  # share of the servers; with fewer, all are used: this host may be the one cut off
PROBE_INTERVAL_CALLS = 0.5  # mean service times between two probes of a server, so that recovery shows soon


class SilenceDetector:
    """Tracks the servers that have calls in flight, and suspects those that do not answer."""

    def __init__(self) -> None:
        self._zones: dict[str, UnansweredCalls] = {}
        self._watched: dict[str, Server] = {}  # servers with calls in flight
        self._suspects: dict[str, Server] = {}  # a probe failed to connect, and nothing has come since
        self._unreached: dict[str, Server] = {}  # a call could not connect, for whatever reason
        self._probed: dict[str, float] = {}  # time of each server's last probe, while it matters
        self._probing = set[str]()  # servers with a probe in flight

    def on_sent(self, server: Server, now: float) -> None:
        """Count a call that is sent."""
        server.unanswered.on_sent(now)
        self._zone(server).on_sent(now)
        self._watched[server.member.server] = server

    def on_ended(self, server: Server, now: float) -> None:
        """Uncount a call that has ended, with whatever outcome."""
        server.unanswered.on_ended(now)
        self._zone(server).on_ended(now)
        if not server.unanswered.calls:
            self._watched.pop(server.member.server, None)

    def on_answer(self, server: Server, now: float) -> bool:
        """Clear a server that has answered or accepted a connection; return whether it was suspected."""
        server.unanswered.on_answer(now)
        self._zone(server).on_answer(now)
        self._probing.discard(server.member.server)
        self._probed.pop(server.member.server, None)
        return self._suspects.pop(server.member.server, None) is not None

    def on_unreached(self, server: Server) -> None:
        """Have a server probed that a call failed to connect to, perhaps for a local lack of descriptors."""
        self._unreached[server.member.server] = server

    def suspect(self, server: Server) -> bool:
        """Suspect a server whose probe failed to connect; return whether it was not suspected before."""
        is_new = server.member.server not in self._suspects
        self._probing.discard(server.member.server)
        self._suspects[server.member.server] = server
        return is_new

    def is_suspected(self, server: Server) -> bool:
        """Return whether a server is known to give no answers."""
        return server.member.server in self._suspects

    def servers_to_probe(self, rate: float, now: float) -> list[Server]:
        """Return the servers to probe now; `rate`: usual answers per millisecond of a call."""
        limit = PROBE_THRESHOLD_BESIDE if self._suspects else PROBE_THRESHOLD
        found = [*self._suspects.values(), *self._unreached.values()]
        self._unreached.clear()
        zones = {
            z for z, late in self._zones.items() if z and late.calls > 1 and late.waited(now) * rate >= limit
        }
        for name, server in self._watched.items():
            if name in self._suspects:
                continue
            late = server.unanswered.waited(now) * server.answer_rate(rate, now)
            if late >= limit or (server.member.zone in zones and late >= PROBE_THRESHOLD_BESIDE):
                found.append(server)
        wait = PROBE_INTERVAL_CALLS / rate
        due = {s.member.server: s for s in found if now - self._probed.get(s.member.server, -wait) >= wait}
        due = {name: server for name, server in due.items() if name not in self._probing}
        self._probed |= dict.fromkeys(due, now)
        self._probing |= due.keys()
        return list(due.values())

    def keep_only(self, names: set[str]) -> None:
        """Drop the state of all other servers, so that none is probed that is not in use."""
        for table in (self._suspects, self._watched, self._unreached, self._probed):
            for name in [name for name in table if name not in names]:
                del table[name]
        self._probing &= names

    def answering(self, servers: list[Server]) -> list[Server]:
        """Return the servers that are not suspected, or all of them if too few are left."""
        if not self._suspects:
            return servers
        answering = [s for s in servers if s.member.server not in self._suspects]
        return answering if len(answering) >= MIN_ANSWERING * len(servers) else servers

    def has_work(self) -> bool:
        """Return whether any server has to be checked."""
        return bool(self._watched or self._suspects or self._unreached)

    def _zone(self, server: Server) -> UnansweredCalls:
        zone = self._zones.get(server.member.zone)
        if zone is None:
            zone = self._zones[server.member.zone] = UnansweredCalls()
        return zone
