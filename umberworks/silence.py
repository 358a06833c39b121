"""Silence as evidence: which servers owe answers and give none (the contract: umberworks/interface.py).

A call that is out should come back at the rate at which calls come back, so that call time times that rate
is the number of answers owed. Nothing heard while n were owed happens to a server that works with
probability e^-n, as far as service times are of that kind; heavy calls make it likelier. So it proves
nothing: it raises a doubt, and a probe settles it, as a connection to a silent machine does not come up. The
owed answers are counted for each server and for each zone: what cuts off a zone silences all of it at once,
long before one server alone would stand out.
"""

from __future__ import annotations

from umberworks.members import Owed, Server

DOUBT = 4.0  # answers owed, by a server or a whole zone, that raise a doubt: by chance about one in fifty
DOUBT_BESIDE = 1.0  # the same while another server is known to be silent: troubles come to several at once
LEAST_ANSWERING = 0.25  # of the servers; with fewer we send to all of them: it may be we who are cut off
PROBE_CALLS = 0.5  # mean times in service between two probes of one server: soon enough to notice it is back


class Silence:
    """Keeps watch over the servers that calls are out to."""

    def __init__(self) -> None:
        self._zones: dict[str, Owed] = {}
        self._watched: dict[str, Server] = {}  # calls are out to them
        self._suspects: dict[str, Server] = {}  # no connection came up, and nothing has been heard since
        self._unreached: dict[str, Server] = {}  # a call could not connect, for whatever reason
        self._probed: dict[str, float] = {}  # when each server was probed last, while that matters
        self._asked = set[str]()  # probes that have not been answered yet

    def sent(self, server: Server, now: float) -> None:
        """A call goes out."""
        server.unanswered.sent(now)
        self._zone(server).sent(now)
        self._watched[server.member.server] = server

    def ended(self, server: Server, now: float) -> None:
        """A call is over, whichever way."""
        server.unanswered.ended(now)
        self._zone(server).ended(now)
        if not server.unanswered.out:
            self._watched.pop(server.member.server, None)

    def heard(self, server: Server, now: float) -> bool:
        """A server has answered, or a connection to it has come up; true if it was suspected."""
        server.unanswered.heard(now)
        self._zone(server).heard(now)
        self._asked.discard(server.member.server)
        self._probed.pop(server.member.server, None)
        return self._suspects.pop(server.member.server, None) is not None

    def unreached(self, server: Server) -> None:
        """A call could not connect, which may be for want of a descriptor here: a doubt."""
        self._unreached[server.member.server] = server

    def silent(self, server: Server) -> bool:
        """A probe's connection to it did not come up; true if that is news."""
        news = server.member.server not in self._suspects
        self._asked.discard(server.member.server)
        self._suspects[server.member.server] = server
        return news

    def suspects(self, server: Server) -> bool:
        """Whether a server is known to give no answers."""
        return server.member.server in self._suspects

    def doubts(self, usual: float, now: float) -> list[Server]:
        """The servers to probe now; `usual`: answers for each millisecond of a call."""
        enough = DOUBT_BESIDE if self._suspects else DOUBT
        found = [*self._suspects.values(), *self._unreached.values()]
        self._unreached.clear()
        zones = {
            z for z, owed in self._zones.items() if z and owed.out > 1 and owed.waited(now) * usual >= enough
        }
        for name, server in self._watched.items():
            if name in self._suspects:
                continue
            owed = server.unanswered.waited(now) * server.rate(usual, now)
            if owed >= enough or (server.member.zone in zones and owed >= DOUBT_BESIDE):
                found.append(server)
        wait = PROBE_CALLS / usual
        due = {s.member.server: s for s in found if now - self._probed.get(s.member.server, -wait) >= wait}
        due = {name: server for name, server in due.items() if name not in self._asked}
        self._probed |= dict.fromkeys(due, now)
        self._asked |= due.keys()
        return list(due.values())

    def forget(self, names: set[str]) -> None:
        """Keep nothing of servers but these: none is probed that is not to be used."""
        for kept in (self._suspects, self._watched, self._unreached, self._probed):
            for name in [name for name in kept if name not in names]:
                del kept[name]
        self._asked &= names

    def answering(self, servers: list[Server]) -> list[Server]:
        """Those that are not suspected; all of them if too few are left."""
        if not self._suspects:
            return servers
        able = [s for s in servers if s.member.server not in self._suspects]
        return able if len(able) >= LEAST_ANSWERING * len(servers) else servers

    def any(self) -> bool:
        """Whether there is anything to look after."""
        return bool(self._watched or self._suspects or self._unreached)

    def _zone(self, server: Server) -> Owed:
        zone = self._zones.get(server.member.zone)
        if zone is None:
            zone = self._zones[server.member.zone] = Owed()
        return zone
